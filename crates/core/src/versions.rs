//! Which version of each item is in force, and how two processes find out
//! what the other lacks.
//!
//! A version only ever replaces a lower one, so an older snapshot from a peer
//! or a late watch event reverts nothing. Whoever offers a version has
//! checked its value first: an invalid value is never offered, and the last
//! valid one stays in force.
//!
//! Comparing two maps costs a fixed [`BUCKETS`] hashes; only the versions in
//! buckets that differ are listed, and only the items that differ are sent.

use std::fmt::Display;
use std::hash::Hash;

use indexmap::IndexMap;
use xxhash_rust::xxh3::xxh3_64;

/// Hashes in a [`VersionSummary`].
pub const BUCKETS: usize = 64;

/// One hash per bucket of items.
pub type VersionSummary = [u64; BUCKETS];

/// An item's version with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Versioned<T> {
    /// Counts up from 1 for each item.
    pub version: u64,
    /// The value of that version.
    pub value: T,
}

/// What became of an offered version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferOutcome {
    /// It is now in force.
    Applied,
    /// A version at least as high was in force already.
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
    /// Takes `value` up if its version is higher than the one in force.
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

    /// The version in force; 0 where there is none.
    #[must_use]
    pub fn version(&self, key: &K) -> u64 {
        self.items.get(key).map_or(0, |item| item.version)
    }

    /// The item in force.
    #[must_use]
    pub fn get(&self, key: &K) -> Option<&Versioned<T>> {
        self.items.get(key)
    }

    /// All items in force.
    pub fn iter(&self) -> impl Iterator<Item = (&K, &Versioned<T>)> {
        self.items.iter()
    }

    /// How many items are in force.
    #[must_use]
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Whether nothing is in force yet.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// The hashes to compare with a peer's.
    #[must_use]
    pub fn summary(&self) -> &VersionSummary {
        &self.summary
    }

    /// The items in buckets that differ from the peer's summary.
    pub fn differing<'a>(
        &'a self,
        peer: &'a VersionSummary,
    ) -> impl Iterator<Item = (&'a K, &'a Versioned<T>)> {
        self.items
            .iter()
            .filter(move |(key, _)| self.differs(peer, &key.to_string()))
    }

    fn differs(&self, peer: &VersionSummary, name: &str) -> bool {
        let bucket = bucket_of(name);
        self.summary[bucket] != peer[bucket]
    }
}

#[allow(clippy::cast_possible_truncation)] // reduced below BUCKETS first
fn bucket_of(name: &str) -> usize {
    (xxh3_64(name.as_bytes()) % BUCKETS as u64) as usize
}

fn item_hash(name: &str, version: u64) -> u64 {
    xxh3_64(format!("{name}@{version}").as_bytes())
}
