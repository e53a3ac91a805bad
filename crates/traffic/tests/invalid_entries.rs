//! Which invalid entries of the target list are reported.

use berylhook_core::position::Position;
use berylhook_traffic::directory::{InvalidEntry, Listing};
use berylhook_traffic::invalid_entries::{InvalidEntryTracker, invalid_entries};

fn entry(id: &str, reason: &str) -> InvalidEntry {
    InvalidEntry {
        id: id.into(),
        reason: reason.into(),
    }
}

// Guards against invalid entries that displace the log lines of requests: somebody writes the same
// unreadable entry again and again, and each write is logged.
#[test]
fn an_invalid_entry_is_reported_once_per_reason() {
    let mut entries = InvalidEntryTracker::default();

    let first = entries.unreported(vec![entry("a", "no address")]);
    let again = entries.unreported(vec![entry("a", "no address")]);
    let other = entries.unreported(vec![entry("a", "no service"), entry("b", "no address")]);
    let fixed = entries.unreported(Vec::new());
    let broken_again = entries.unreported(vec![entry("a", "no service")]);

    assert_eq!(first, [entry("a", "no address")]);
    assert!(again.is_empty() && fixed.is_empty());
    assert_eq!(other.len(), 2);
    assert_eq!(broken_again.len(), 1);
}

#[test]
fn a_list_returns_its_invalid_entries() {
    let listing =
        Listing::from_entries(Position::first_era(1), vec![Err(entry("a", "no address"))]);

    let invalid = invalid_entries(&listing, None);

    assert_eq!(invalid, [entry("a", "no address")]);
}
