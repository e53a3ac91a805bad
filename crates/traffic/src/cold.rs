//! What is known of cold targets, and the share of a cold target that belongs to each entry.
//!
//! A target is cold for some seconds after its start, and may become cold again. It then tolerates
//! only a low rate of requests over all entries. Each entry sends its fixed share of that rate, so
//! no messages are needed, and an entry that is cut off keeps to it as well. The shares add up to
//! the tolerated rate as long as the entries agree on their number. A number that is too high makes
//! the sum lower, so each entry uses the highest number that it has known recently.

use std::collections::VecDeque;
use std::net::{IpAddr, SocketAddr};

use berylhook_core::time::MonoMs;
use serde::{Deserialize, Serialize};

use crate::target::Incarnation;

/// The number of entries that an entry assumes at least, until it has completed a round of
/// discovery.
pub const MIN_ENTRIES_AT_START: usize = 64;

/// How long an entry that is no longer known still counts. It may be cut off and still send.
const ENTRY_COUNT_WINDOW_MS: u64 = 60_000;

/// Odd multiplier with evenly distributed bits; a multiplication alone leaves the low bits uneven,
/// and the shift moves the high ones there.
const MIX_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// What a target's own record says about its cold period.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdReport {
    /// How much longer the target stays cold, as of the writing of the record; 0 if it is warm.
    pub left_ms: u64,
    /// Revision of the store at which the record was written. Identifies the write.
    pub revision: u64,
    /// When this process received that write. Not sent to peers, whose clocks differ.
    #[serde(skip)]
    pub received_ms: MonoMs,
}

impl ColdReport {
    /// The report to keep when this one is received at `now_ms` and `known` was known of the same
    /// incarnation. `is_restored` tells that it comes from the first list of a restored store.
    ///
    /// The same write keeps the time at which it was first received, so that it does not extend the
    /// cold period.
    #[must_use]
    pub fn on_received(self, known: Option<Self>, is_restored: bool, now_ms: MonoMs) -> Self {
        match known {
            // The remaining time in a peer's copy of a write is lower. A restored store uses
            // revisions again, so the same revision may be another write.
            Some(known)
                if known.revision == self.revision
                    && (!is_restored || known.left_ms == self.left_ms) =>
            {
                known
            }
            // A restored store may list an older write, which cannot end what newer ones reported.
            Some(known) if is_restored && self.left_ms == 0 => Self {
                revision: self.revision,
                ..known
            },
            _ => Self {
                received_ms: now_ms,
                ..self
            },
        }
    }

    /// The report for a peer, with the time that is left now. A peer must not take the end of the
    /// time for the target's own report that it is warm.
    #[must_use]
    pub fn for_peer(self, now_ms: MonoMs) -> Self {
        let left_ms = (self.received_ms + self.left_ms).since(now_ms);
        Self {
            left_ms: left_ms.max(self.left_ms.min(1)),
            ..self
        }
    }
}

/// The entries among which the rate of a cold target is divided, as known to one of them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownEntries {
    /// Address at which this entry serves its peers.
    pub own: SocketAddr,
    /// Addresses of the other known entries, including those that do not reply.
    pub others: Vec<SocketAddr>,
    /// The number of entries to assume, including this one; see [`EntryCounter`].
    pub count: usize,
}

impl KnownEntries {
    /// What an entry that has just started assumes.
    #[must_use]
    pub fn at_start(own: SocketAddr) -> Self {
        Self {
            own,
            others: Vec::new(),
            count: MIN_ENTRIES_AT_START,
        }
    }

    /// This entry's share of `total` requests per second at a target.
    ///
    /// Each entry gets the same number, and the first entries by rendezvous hashing of the target
    /// and their addresses get one of the remainder each.
    #[must_use]
    pub fn share(&self, total: u32, target_id: &str) -> u32 {
        let count = u32::try_from(self.count.max(self.others.len() + 1)).unwrap_or(u32::MAX);
        let is_in_remainder = self.rank(target_id, count) < total % count;
        total / count + u32::from(is_in_remainder)
    }

    /// The number of entries before this one in the order of the target. Entries that count but
    /// are not known are taken to be distributed evenly.
    fn rank(&self, target_id: &str, count: u32) -> u32 {
        let own_hash = rendezvous_hash(target_id, self.own);
        let before = self
            .others
            .iter()
            .filter(|other| (rendezvous_hash(target_id, **other), **other) < (own_hash, self.own));
        let before = u32::try_from(before.count()).unwrap_or(u32::MAX);
        let known = u32::try_from(self.others.len() + 1).unwrap_or(u32::MAX);
        let unknown = u64::from(count.saturating_sub(known));
        let unknown_before = (u128::from(own_hash) * u128::from(unknown)) >> u64::BITS;
        before.saturating_add(u32::try_from(unknown_before).unwrap_or(u32::MAX))
    }
}

/// All entries, also those of other versions, must compute the same value.
fn rendezvous_hash(target_id: &str, entry: SocketAddr) -> u64 {
    let hashed = fnv(FNV_OFFSET_BASIS, target_id.as_bytes());
    let hashed = match entry.ip() {
        IpAddr::V4(ip) => fnv(hashed, &ip.octets()),
        IpAddr::V6(ip) => fnv(hashed, &ip.octets()),
    };
    mix(mix(fnv(hashed, &entry.port().to_be_bytes())))
}

fn fnv(start: u64, bytes: &[u8]) -> u64 {
    let next = |hashed: u64, byte: &u8| (hashed ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
    bytes.iter().fold(start, next)
}

fn mix(hashed: u64) -> u64 {
    let mixed = (hashed ^ (hashed >> 32)).wrapping_mul(MIX_FACTOR);
    mixed ^ (mixed >> 32)
}

/// One observation of the entries that are known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EntryObservation {
    /// The number of known entries, including this one and those that do not reply.
    pub known: usize,
    /// The number of other entries that replied to the last query.
    pub replying: usize,
    /// Whether a round of discovery was completed since the start.
    pub is_discovered: bool,
}

/// Determines the number of entries that share a bound, such as the rate of a cold target: the
/// highest that was known within the last minute.
#[derive(Clone, Debug, Default)]
pub struct EntryCounter {
    /// Counts in descending order, each with the last time at which it was observed.
    counts: VecDeque<(usize, MonoMs)>,
}

impl EntryCounter {
    /// Records an observation; returns the number to use.
    ///
    /// Unless this entry and those that reply to it are a majority of the last number, that number
    /// stays: the others have probably been cut off, and still send. Of two separated parts, at most
    /// one then takes the whole rate, and the other one less than half of it.
    pub fn observe(&mut self, observation: EntryObservation, now_ms: MonoMs) -> usize {
        let highest = self.counts.front().map_or(0, |(count, _)| *count);
        let is_majority = (observation.replying + 1) * 2 > highest;
        let known = if is_majority {
            observation.known
        } else {
            observation.known.max(highest)
        };
        let is_current = |at_ms: MonoMs| now_ms.since(at_ms) < ENTRY_COUNT_WINDOW_MS;
        self.counts
            .retain(|(count, at_ms)| *count > known && is_current(*at_ms));
        self.counts.push_back((known, now_ms));
        let highest = self.counts.front().map_or(known, |(count, _)| *count);
        if observation.is_discovered {
            highest
        } else {
            highest.max(MIN_ENTRIES_AT_START)
        }
    }
}

/// How an entry treats the cold targets of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdPolicy {
    /// How long a target is cold after its start.
    pub start_ms: u64,
    /// Requests per second that a cold target gets from all entries together.
    pub total_per_s: u32,
}

/// Factor and constant by which cold targets may get more than their rate for a second. Both absorb
/// differences between the entries' views of each other.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdBounds {
    /// Factor of the rate.
    pub overshoot: f64,
    /// Requests beyond the multiple of the rate.
    pub slack: f64,
}

impl ColdPolicy {
    /// The policy for a service with these parameters of the configuration; `None` if the rate of
    /// cold targets is not bounded.
    #[must_use]
    pub fn new(start_s: Option<f64>, per_s: Option<f64>, bounds: ColdBounds) -> Option<Self> {
        let per_s = per_s.filter(|per_s| *per_s > 0.0)?;
        let max_per_s = per_s * bounds.overshoot + bounds.slack;
        // With a rate below one request per second, a service whose targets are all cold could
        // serve no request at all.
        let total_per_s = per_s.min(max_per_s).max(1.0);
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // saturates
        Some(Self {
            start_ms: (start_s.unwrap_or(0.0).max(0.0) * 1_000.0) as u64,
            total_per_s: total_per_s as u32,
        })
    }
}

/// Where an entry learnt that a target is cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ColdSource {
    /// The target's record in the list of targets.
    Listing,
    /// The response to a health check.
    HealthResponse,
    /// The end of the evacuation of the target's data centre.
    EvacuationEnd,
}

impl ColdSource {
    /// Returns the name used in logs.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Listing => "list",
            Self::HealthResponse => "health-response",
            Self::EvacuationEnd => "evacuation-end",
        }
    }
}

/// A target that has become cold or warm.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ColdChange {
    /// The target.
    pub incarnation: Incarnation,
    /// The source of the latest end; of the last one if the target has become warm.
    pub source: ColdSource,
    /// How much longer the target is cold; 0 if it has become warm.
    pub left_ms: u64,
    /// Requests per second that this entry may send to the target while it is cold.
    pub share: u32,
}
