//! Conditions under which an entry reports that it is ready.

use berylhook_entry::readiness::{Requirement, is_ready};

#[test]
fn an_entry_that_meets_all_requirements_is_ready() {
    assert!(is_ready(|_| true));
}

// Guards against callers being sent to an entry that does not accept their connections yet, or
// has not loaded the quarantine.
#[test]
fn an_entry_that_misses_one_requirement_is_not_ready() {
    for missing in Requirement::ALL {
        assert!(
            !is_ready(|requirement| requirement != missing),
            "{missing:?}"
        );
    }
}
