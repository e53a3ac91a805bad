//! Notifications that a home sends to its peers in the background.

use std::sync::Arc;

use berylhook_entry::notifications::Notifications;

// Guards against notifications to silent peers that pile up, and against a service whose peers are
// never notified again.
#[test]
fn a_service_has_one_series_of_notifications_at_a_time() {
    let notifications = Notifications::default();
    let (first, second): (Arc<str>, Arc<str>) = ("first".into(), "second".into());

    let running = notifications.begin(&first);
    let again = notifications.begin(&first);
    let other = notifications.begin(&second);
    drop(running);
    let after_end = notifications.begin(&first);

    assert!(again.is_none());
    assert!(other.is_some());
    assert!(after_end.is_some());
}
