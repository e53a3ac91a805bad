//! Which entries of the list are told to name no target.

use berylhook_core::position::Position;
use berylhook_traffic::directory::{InvalidEntry, Listing};
use berylhook_traffic::invalid_entries::{InvalidEntryTracker, invalid_entries};

fn entry(id: &str, reason: &str) -> InvalidEntry {
    InvalidEntry {
        id: id.into(),
        reason: reason.into(),
    }
}

// Symptom: lines of requests are missing from the logs. Sequence: somebody writes
// the same unreadable entry again and again. Cause: each write was a line.
#[test]
fn an_entry_is_news_once_for_each_reason() {
    let mut entries = InvalidEntryTracker::default();

    let first = entries.unreported(vec![entry("a", "no address")]);
    let again = entries.unreported(vec![entry("a", "no address")]);
    let other = entries.unreported(vec![entry("a", "no service"), entry("b", "no address")]);
    let mended = entries.unreported(Vec::new());
    let broken_again = entries.unreported(vec![entry("a", "no service")]);

    assert_eq!(first, [entry("a", "no address")]);
    assert!(again.is_empty() && mended.is_empty());
    assert_eq!(other.len(), 2);
    assert_eq!(broken_again.len(), 1);
}

#[test]
fn a_list_tells_its_unusable_entries() {
    let listing =
        Listing::from_entries(Position::first_era(1), vec![Err(entry("a", "no address"))]);

    let told = invalid_entries(&listing, None);

    assert_eq!(told, [entry("a", "no address")]);
}
