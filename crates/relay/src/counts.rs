//! Delta encoding of the expert counts that an agent sends to a leader.
//!
//! Counts only grow, and in a group of many ranks hardly any count changes by more than a few
//! between two polls. Sent in full, counts made up most of the traffic between data centres.
//!
//! Each snapshot has an ID. A leader requests the delta since the snapshot that it has. The
//! agent sends a delta if that is the last snapshot it sent, and all counts otherwise: to
//! another leader, after a lost reply, after a restart of the agent or the leader, and after a
//! restart of the engine, whose counts then start at zero.

use berylhook_experts::demand::RankCounts;
use berylhook_experts::switching::{Epoch, Pass};
use serde::{Deserialize, Serialize};

/// ID of a snapshot of the counts.
///
/// An agent's first ID is random, so that a restarted agent does not mistake a snapshot of its
/// predecessor for one of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotId(pub u64);

/// Which counts a leader requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum CountsRequest {
    /// No counts.
    #[default]
    Nothing,
    /// All counts.
    #[serde(rename = "Whole")]
    Full,
    /// The delta since this snapshot, or all counts if the agent cannot compute the delta.
    Since(SnapshotId),
}

/// Counts as sent to a leader: all counts, or a delta.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CountsUpdate {
    /// Snapshot that the leader has after it has applied this update.
    pub snapshot: SnapshotId,
    /// Snapshot to which `counts` is a delta; `None` if `counts` has all counts.
    pub base: Option<SnapshotId>,
    /// Unix time of the engine's start in milliseconds, if the engine reports it.
    pub started_unix_ms: Option<u64>,
    /// The last forward pass counted.
    pub pass: Pass,
    /// Epoch of the engine's group.
    pub epoch: Epoch,
    /// How often each expert was chosen, ordered by layer set.
    pub counts: Vec<u64>,
}

/// Encoder of the agent; keeps the last snapshot sent.
#[derive(Debug)]
pub struct CountsEncoder {
    next: SnapshotId,
    last: Option<(SnapshotId, RankCounts)>,
}

impl CountsEncoder {
    /// Creates an encoder whose first snapshot gets the ID `first`.
    #[must_use]
    pub fn new(first: u64) -> Self {
        Self {
            next: SnapshotId(first),
            last: None,
        }
    }

    /// Encodes the current counts as requested; `None` if no counts were requested.
    pub fn encode(&mut self, current: RankCounts, request: CountsRequest) -> Option<CountsUpdate> {
        let snapshot = self.next;
        let delta = match request {
            CountsRequest::Nothing => return None,
            CountsRequest::Full => None,
            CountsRequest::Since(base) => self.delta(base, &current),
        };
        let update = CountsUpdate {
            snapshot,
            base: delta.as_ref().map(|(base, _)| *base),
            started_unix_ms: current.started_unix_ms,
            pass: current.pass,
            epoch: current.epoch,
            counts: delta.map_or_else(|| current.counts.clone(), |(_, counts)| counts),
        };
        self.next = SnapshotId(snapshot.0.wrapping_add(1));
        self.last = Some((snapshot, current));
        Some(update)
    }

    fn delta(&self, base: SnapshotId, current: &RankCounts) -> Option<(SnapshotId, Vec<u64>)> {
        let (_, last) = self.last.as_ref().filter(|(sent, _)| *sent == base)?;
        if !current.is_continuation_of(last) || last.counts.len() != current.counts.len() {
            return None;
        }
        let pairs = current.counts.iter().zip(&last.counts);
        let increments: Option<Vec<u64>> = pairs
            .map(|(current, last)| current.checked_sub(*last))
            .collect();
        Some((base, increments?))
    }
}

/// Decoder of the leader; keeps the last counts of one agent in full.
#[derive(Debug, Default)]
pub struct CountsDecoder {
    last: Option<(SnapshotId, RankCounts)>,
}

impl CountsDecoder {
    /// The request to send for the next update.
    #[must_use]
    pub fn request(&self) -> CountsRequest {
        let last = self.last.as_ref();
        last.map_or(CountsRequest::Full, |(snapshot, _)| {
            CountsRequest::Since(*snapshot)
        })
    }

    /// Applies an update and returns all counts. Returns `None` if the update is a delta to an
    /// unknown snapshot; [`Self::request`] then requests all counts.
    pub fn decode(&mut self, update: CountsUpdate) -> Option<RankCounts> {
        let previous = self.last.take();
        let counts = match (update.base, previous) {
            (None, _) => update.counts,
            (Some(base), Some((last_id, last))) if base == last_id => {
                sum(&last.counts, &update.counts)
            }
            (Some(_), _) => return None,
        };
        let full = RankCounts {
            started_unix_ms: update.started_unix_ms,
            pass: update.pass,
            epoch: update.epoch,
            counts,
        };
        self.last = Some((update.snapshot, full.clone()));
        Some(full)
    }
}

fn sum(last: &[u64], increments: &[u64]) -> Vec<u64> {
    let pairs = last.iter().zip(increments);
    pairs.map(|(last, increment)| last + increment).collect()
}
