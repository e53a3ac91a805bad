//! Which targets exist, which are leaving, and which of two views is newer.
//!
//! The platform's store lists the targets under one revision counter. A view
//! is identified by the revision it was read at, so an entry that the store
//! shuts out can take a peer's view over as a whole if its revision is higher,
//! and nothing ever goes back.
//!
//! A target that stops sending heartbeats is dropped from the list, and so is
//! every target whose heartbeats could not reach the store during an outage.
//! Dropping those at once would empty the list just as the store comes back.
//! A target that is missing within [`RETURN_GRACE_MS`] of the store's return
//! therefore stays in use until that time is over.

use std::net::SocketAddr;
use std::sync::Arc;

use berylhook_core::time::MonoMs;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// How long after the store's return a missing target still counts as alive.
///
/// The platform promises that targets which live are listed again within about
/// two seconds of its return.
pub const RETURN_GRACE_MS: u64 = 2_200;

/// What a target says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// It takes requests.
    Ready,
    /// It is about to leave and takes no new requests.
    Leaving,
}

/// One target of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The incarnation of the target; each start has a new one.
    pub id: Arc<str>,
    /// The service it belongs to.
    pub service: Arc<str>,
    /// Where it listens. Another incarnation may listen there later.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: Arc<str>,
    /// Requests it works on at once.
    pub slots: u32,
    /// Whether it takes requests.
    pub phase: Phase,
    /// The store's revision at which it was first listed; of two incarnations
    /// at one address the younger has the higher one.
    pub listed_revision: u64,
}

/// A change of the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A target was added, or its description changed.
    Set(Target),
    /// A target is no longer listed.
    Removed(Arc<str>),
}

/// The list at one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// The store's revision at which the list was read.
    pub revision: u64,
    /// All targets, by id.
    pub targets: IndexMap<Arc<str>, Target>,
}

/// The targets as this process knows them.
#[derive(Debug, Default)]
pub struct Directory {
    listing: Listing,
    /// Targets no longer listed that are still used, and until when.
    missing: IndexMap<Arc<str>, (Target, MonoMs)>,
    /// Until when a missing target counts as alive.
    grace_until_ms: MonoMs,
}

impl Directory {
    /// The store answers again after it was away.
    ///
    /// The list read next may lack targets that live.
    pub fn store_returned(&mut self, now_ms: MonoMs) {
        self.grace_until_ms = now_ms + RETURN_GRACE_MS;
    }

    /// Takes a whole list over if it is not older than the one in force.
    ///
    /// Returns whether it was taken over.
    pub fn replace(&mut self, listing: Listing, now_ms: MonoMs) -> bool {
        if listing.revision < self.listing.revision {
            return false;
        }
        let before = std::mem::replace(&mut self.listing, listing);
        for (id, target) in before.targets {
            if !self.listing.targets.contains_key(&id) {
                self.keep_for_a_while(target, now_ms);
            }
        }
        let listing = &self.listing;
        self.missing
            .retain(|id, _| !listing.targets.contains_key(id));
        true
    }

    /// Whether a younger incarnation than the target listens at its address.
    ///
    /// A target that crashes and starts again is listed twice until its former
    /// heartbeats lapse, seconds later. Half of its service's requests would go
    /// to incarnations that no longer exist, and be refused.
    fn is_superseded(&self, target: &Target) -> bool {
        let mut listed = self.listing.targets.values();
        listed.any(|other| {
            other.address == target.address && other.listed_revision > target.listed_revision
        })
    }

    /// Applies the change made at `revision`; an older one changes nothing.
    pub fn apply(&mut self, change: Change, revision: u64, now_ms: MonoMs) {
        if revision <= self.listing.revision {
            return;
        }
        self.listing.revision = revision;
        match change {
            Change::Set(target) => {
                self.missing.shift_remove(&target.id);
                self.listing.targets.insert(Arc::clone(&target.id), target);
            }
            Change::Removed(id) => {
                if let Some(target) = self.listing.targets.shift_remove(&id) {
                    self.keep_for_a_while(target, now_ms);
                }
            }
        }
    }

    fn keep_for_a_while(&mut self, target: Target, now_ms: MonoMs) {
        let is_in_grace = now_ms < self.grace_until_ms;
        if is_in_grace && target.phase == Phase::Ready {
            let until_ms = self.grace_until_ms;
            self.missing
                .insert(Arc::clone(&target.id), (target, until_ms));
        }
    }

    /// Forgets missing targets whose time is over; returns whether there were
    /// any.
    pub fn expire(&mut self, now_ms: MonoMs) -> bool {
        let before = self.missing.len();
        self.missing.retain(|_, (_, until_ms)| now_ms < *until_ms);
        self.missing.len() != before
    }

    /// When [`expire`](Self::expire) is due next.
    #[must_use]
    pub fn next_expiry_ms(&self) -> Option<MonoMs> {
        self.missing.values().map(|(_, until_ms)| *until_ms).min()
    }

    /// The list in force, for peers.
    #[must_use]
    pub fn listing(&self) -> &Listing {
        &self.listing
    }

    /// Targets that may get new requests.
    pub fn usable(&self) -> impl Iterator<Item = &Target> {
        let listed = self.listing.targets.values();
        let missing = self.missing.values().map(|(target, _)| target);
        listed
            .chain(missing)
            .filter(|target| target.phase == Phase::Ready && !self.is_superseded(target))
    }
}
