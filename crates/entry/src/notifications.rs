//! Notifications that the home of a service sends to its peers.
//!
//! Peers that do not reply take a timeout each. The home must not wait for them in its rounds, since
//! it would lose its own share if it did not report to itself meanwhile.

use std::sync::{Arc, Mutex, MutexGuard};

use indexmap::IndexSet;

/// The services whose notifications are being sent.
#[derive(Default)]
pub struct Notifications {
    in_progress: Arc<Mutex<IndexSet<Arc<str>>>>,
}

/// The notifications of one service, which are in progress until this is dropped.
pub struct ServiceNotifications {
    service: Arc<str>,
    in_progress: Arc<Mutex<IndexSet<Arc<str>>>>,
}

impl Notifications {
    /// Begins to notify the peers of a service; `None` if previous notifications have not ended.
    #[must_use]
    pub fn begin(&self, service: &Arc<str>) -> Option<ServiceNotifications> {
        let is_first = lock(&self.in_progress).insert(Arc::clone(service));
        is_first.then(|| ServiceNotifications {
            service: Arc::clone(service),
            in_progress: Arc::clone(&self.in_progress),
        })
    }
}

impl Drop for ServiceNotifications {
    fn drop(&mut self) {
        lock(&self.in_progress).swap_remove(&self.service);
    }
}

fn lock(in_progress: &Mutex<IndexSet<Arc<str>>>) -> MutexGuard<'_, IndexSet<Arc<str>>> {
    in_progress.lock().expect("no holder panics")
}
