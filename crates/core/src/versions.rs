//! The version of each catalogue item in force, and anti-entropy between processes.
//!
//! A version only replaces a lower one, so an older snapshot from a peer or a
//! late watch event cannot revert an item. Callers validate a value before they
//! offer it: an invalid value is never offered, and the last valid value stays
//! in force.
//!
//! Two processes compare their maps by exchanging [`BUCKETS`] hashes, whatever
//! the number of items. Only the versions in buckets that differ are listed,
//! and only the items that differ are sent.

use std::fmt::Display;
use std::hash::Hash;

use indexmap::IndexMap;
use xxhash_rust::xxh3::xxh3_64;

/// Number of buckets, and so of hashes in a [`VersionSummary`].
pub const BUCKETS: usize = 64;

/// One hash per bucket of items, over their names and versions.
pub type VersionSummary = [u64; BUCKETS];

/// An item's version with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Versioned<T> {
    /// Version of the item; the first is 1.
    pub version: u64,
    /// The item's value in this version.
    pub value: T,
}

/// The result of [`VersionMap::offer`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferOutcome {
    /// The offered version is now in force.
    Applied,
    /// The same or a higher version was already in force.
    NotNewer,
}

/// The versions in force in one process.
#[derive(Clone, Debug)]
pub struct VersionMap<K, T> {
    items: IndexMap<K, Versioned<T>>,
    summary: VersionSummary,
}

impl<K, T> Default for VersionMap<K, T> {
    fn default() -> Self {
        Self {
            items: IndexMap::new(),
            summary: [0; BUCKETS],
        }
    }
}

impl<K: Hash + Eq + Display, T> VersionMap<K, T> {
    /// Puts `value` in force if `version` is higher than the version in force.
    pub fn offer(&mut self, key: K, version: u64, value: T) -> OfferOutcome {
        let current = self.version(&key);
        if version <= current {
            return OfferOutcome::NotNewer;
        }
        let name = key.to_string();
        let bucket = bucket_of(&name);
        if current > 0 {
            self.summary[bucket] ^= item_hash(&name, current);
        }
        self.summary[bucket] ^= item_hash(&name, version);
        self.items.insert(key, Versioned { version, value });
        OfferOutcome::Applied
    }

    /// Returns the item's version in force, or 0 if there is none.
    #[must_use]
    pub fn version(&self, key: &K) -> u64 {
        self.items.get(key).map_or(0, |item| item.version)
    }

    /// Returns the item's version and value in force.
    #[must_use]
    pub fn get(&self, key: &K) -> Option<&Versioned<T>> {
        self.items.get(key)
    }

    /// Iterates over all items in force.
    pub fn iter(&self) -> impl Iterator<Item = (&K, &Versioned<T>)> {
        self.items.iter()
    }

    /// Number of items in force.
    #[must_use]
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Whether no item is in force.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Returns the hashes to compare with a peer's.
    #[must_use]
    pub fn summary(&self) -> &VersionSummary {
        &self.summary
    }

    /// Iterates over the items in buckets that differ from the peer's summary.
    pub fn differing<'a>(
        &'a self,
        peer: &'a VersionSummary,
    ) -> impl Iterator<Item = (&'a K, &'a Versioned<T>)> {
        self.items
            .iter()
            .filter(move |(key, _)| self.is_bucket_different(peer, &key.to_string()))
    }

    fn is_bucket_different(&self, peer: &VersionSummary, name: &str) -> bool {
        let bucket = bucket_of(name);
        self.summary[bucket] != peer[bucket]
    }
}

#[allow(clippy::cast_possible_truncation)] // the remainder is below `BUCKETS`
fn bucket_of(name: &str) -> usize {
    (xxh3_64(name.as_bytes()) % BUCKETS as u64) as usize
}

fn item_hash(name: &str, version: u64) -> u64 {
    xxh3_64(format!("{name}@{version}").as_bytes())
}
