//! Invalid entries of the target list, and which of them were not reported yet.
//!
//! Anyone who can write to the store can write an invalid entry, as often as they like. Each is
//! reported only once per reason, so that such entries do not displace the log lines of requests.

use std::sync::Arc;

use indexmap::IndexMap;

use crate::configuration::Configuration;
use crate::directory::{InvalidEntry, Listing};

/// Why an entry of a service that is not in the configuration is invalid.
const UNKNOWN_SERVICE: &str = "the configuration has no service of that name; \
     add the service, or correct the name that the target registers";

/// Keeps track of the invalid entries that were reported.
#[derive(Debug, Default)]
pub struct InvalidEntryTracker {
    reported: IndexMap<Arc<str>, Arc<str>>,
}

impl InvalidEntryTracker {
    /// Returns those of the current invalid entries that were not reported before.
    pub fn unreported(&mut self, current: Vec<InvalidEntry>) -> Vec<InvalidEntry> {
        let reported = std::mem::take(&mut self.reported);
        let pairs = current.iter().map(|entry| (&entry.id, &entry.reason));
        self.reported = pairs
            .map(|(id, reason)| (Arc::clone(id), Arc::clone(reason)))
            .collect();
        let is_new = |entry: &InvalidEntry| reported.get(&entry.id) != Some(&entry.reason);
        current.into_iter().filter(is_new).collect()
    }
}

/// All invalid entries of a list. If a configuration is known, entries of services that it lacks
/// are included.
#[must_use]
pub fn invalid_entries(
    listing: &Listing,
    configuration: Option<&Configuration>,
) -> Vec<InvalidEntry> {
    let malformed = listing.invalid.iter().map(|(id, reason)| InvalidEntry {
        id: Arc::clone(id),
        reason: Arc::clone(reason),
    });
    let is_unknown = |service: &str| {
        configuration.is_some_and(|configuration| configuration.service(service).is_none())
    };
    let of_unknown_services = listing
        .targets
        .values()
        .filter(|target| is_unknown(&target.service));
    let of_unknown_services = of_unknown_services.map(|target| InvalidEntry {
        id: Arc::clone(target.id()),
        reason: UNKNOWN_SERVICE.into(),
    });
    malformed.chain(of_unknown_services).collect()
}
