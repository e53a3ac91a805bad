//! When an entry says that it is ready.

use berylhook_entry::readiness::Readiness;

/// An entry that lacks nothing.
fn complete() -> Readiness {
    Readiness {
        is_listening: true,
        has_configuration: true,
        is_stopping: false,
    }
}

#[test]
fn an_entry_that_lacks_nothing_is_ready() {
    assert!(complete().is_ready());
}

// Callers were refused the connection by an entry that had said that it was ready.
#[test]
fn an_entry_that_does_not_listen_for_callers_is_not_ready() {
    let readiness = Readiness {
        is_listening: false,
        ..complete()
    };

    assert!(!readiness.is_ready());
}

#[test]
fn an_entry_without_a_configuration_is_not_ready() {
    let readiness = Readiness {
        has_configuration: false,
        ..complete()
    };

    assert!(!readiness.is_ready());
}

#[test]
fn an_entry_that_stops_is_not_ready() {
    let readiness = Readiness {
        is_stopping: true,
        ..complete()
    };

    assert!(!readiness.is_ready());
}
