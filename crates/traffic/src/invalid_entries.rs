//! Which entries of the list name no target to use, and which of them are news.
//!
//! Anyone who may write to the store can write such an entry, as often as they
//! like. Each is news once for each reason, so that nobody's entries push the
//! lines of requests out of the logs.

use std::sync::Arc;

use indexmap::IndexMap;

use crate::configuration::Configuration;
use crate::directory::{InvalidEntry, Listing};

/// Why an entry of a service that no configuration names is not used.
const UNKNOWN_SERVICE: &str = "the configuration has no service of that name; \
     add the service, or have the target name another";

/// The entries that have been told.
#[derive(Debug, Default)]
pub struct InvalidEntryTracker {
    told: IndexMap<Arc<str>, Arc<str>>,
}

impl InvalidEntryTracker {
    /// Of the entries that name no target now, those that were not told before.
    pub fn unreported(&mut self, current: Vec<InvalidEntry>) -> Vec<InvalidEntry> {
        let told = std::mem::take(&mut self.told);
        let pairs = current.iter().map(|it| (&it.id, &it.reason));
        self.told = pairs
            .map(|(id, reason)| (Arc::clone(id), Arc::clone(reason)))
            .collect();
        let is_news = |it: &InvalidEntry| told.get(&it.id) != Some(&it.reason);
        current.into_iter().filter(is_news).collect()
    }
}

/// All entries of a list that name no target to use, under a configuration if
/// one is known.
#[must_use]
pub fn invalid_entries(
    listing: &Listing,
    configuration: Option<&Configuration>,
) -> Vec<InvalidEntry> {
    let malformed = listing.invalid.iter().map(|(id, reason)| InvalidEntry {
        id: Arc::clone(id),
        reason: Arc::clone(reason),
    });
    let unknown = |service: &str| configuration.is_some_and(|it| it.service(service).is_none());
    let of_unknown = listing
        .targets
        .values()
        .filter(|target| unknown(&target.service));
    let of_unknown = of_unknown.map(|target| InvalidEntry {
        id: Arc::clone(target.id()),
        reason: UNKNOWN_SERVICE.into(),
    });
    malformed.chain(of_unknown).collect()
}
