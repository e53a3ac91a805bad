//! Counts as an agent sends them to a leader: what was added since the last
//! snapshot, where both have it.
//!
//! Counts only grow, and hardly any number of a group of many ranks changes by
//! more than a few between two readings. Sent whole, they were most of what
//! went between data centres.
//!
//! Each snapshot has a number. A leader says which one it has; the agent sends
//! the difference if that is the last one it sent, and the whole otherwise: to
//! another leader, after an answer that was lost, after either has started
//! anew, and when the engine has, since its counts then begin at zero.

use berylhook_experts::demand::RankCounts;
use berylhook_experts::switching::{Epoch, Pass};
use serde::{Deserialize, Serialize};

/// The number of one snapshot.
///
/// An agent's first one is random: one that starts anew must not take another
/// snapshot for one of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotId(pub u64);

/// Which counts a leader wants.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum CountsRequest {
    /// None.
    #[default]
    Nothing,
    /// The whole.
    #[serde(rename = "Whole")]
    Full,
    /// What was added since this snapshot, or else the whole.
    Since(SnapshotId),
}

/// Counts as they are sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CountsUpdate {
    /// This snapshot.
    pub snapshot: SnapshotId,
    /// The snapshot to which `counts` have to be added; `None` if they are whole.
    pub base: Option<SnapshotId>,
    /// Unix time of the engine's start in milliseconds, if it tells it.
    pub started_unix_ms: Option<u64>,
    /// The last pass counted.
    pub pass: Pass,
    /// The group's life.
    pub epoch: Epoch,
    /// Choices by expert, set after set.
    pub counts: Vec<u64>,
}

/// The agent's side: remembers what it sent last.
#[derive(Debug)]
pub struct CountsEncoder {
    next: SnapshotId,
    last: Option<(SnapshotId, RankCounts)>,
}

impl CountsEncoder {
    /// Nothing sent yet; the first snapshot has the number `first`.
    #[must_use]
    pub fn new(first: u64) -> Self {
        Self {
            next: SnapshotId(first),
            last: None,
        }
    }

    /// Encodes `now` as it was asked for; `None` if no counts were.
    pub fn encode(&mut self, now: RankCounts, request: CountsRequest) -> Option<CountsUpdate> {
        let snapshot = self.next;
        let difference = match request {
            CountsRequest::Nothing => return None,
            CountsRequest::Full => None,
            CountsRequest::Since(base) => self.difference(base, &now),
        };
        let update = CountsUpdate {
            snapshot,
            base: difference.as_ref().map(|(base, _)| *base),
            started_unix_ms: now.started_unix_ms,
            pass: now.pass,
            epoch: now.epoch,
            counts: difference.map_or_else(|| now.counts.clone(), |(_, counts)| counts),
        };
        self.next = SnapshotId(snapshot.0.wrapping_add(1));
        self.last = Some((snapshot, now));
        Some(update)
    }

    fn difference(&self, base: SnapshotId, now: &RankCounts) -> Option<(SnapshotId, Vec<u64>)> {
        let (_, last) = self.last.as_ref().filter(|(sent, _)| *sent == base)?;
        if !now.is_continuation_of(last) || last.counts.len() != now.counts.len() {
            return None;
        }
        let pairs = now.counts.iter().zip(&last.counts);
        let added: Option<Vec<u64>> = pairs.map(|(now, last)| now.checked_sub(*last)).collect();
        Some((base, added?))
    }
}

/// The leader's side: what one agent sent last, as a whole.
#[derive(Debug, Default)]
pub struct CountsDecoder {
    last: Option<(SnapshotId, RankCounts)>,
}

impl CountsDecoder {
    /// What to ask for.
    #[must_use]
    pub fn request(&self) -> CountsRequest {
        let known = self.last.as_ref();
        known.map_or(CountsRequest::Full, |(snapshot, _)| {
            CountsRequest::Since(*snapshot)
        })
    }

    /// Takes in an update and gives the whole; `None` if it goes on from a
    /// snapshot that is not known here, so that the whole is asked for next.
    pub fn decode(&mut self, update: CountsUpdate) -> Option<RankCounts> {
        let before = self.last.take();
        let counts = match (update.base, before) {
            (None, _) => update.counts,
            (Some(base), Some((known, last))) if base == known => sum(&last.counts, &update.counts),
            (Some(_), _) => return None,
        };
        let whole = RankCounts {
            started_unix_ms: update.started_unix_ms,
            pass: update.pass,
            epoch: update.epoch,
            counts,
        };
        self.last = Some((update.snapshot, whole.clone()));
        Some(whole)
    }
}

fn sum(last: &[u64], added: &[u64]) -> Vec<u64> {
    let pairs = last.iter().zip(added);
    pairs.map(|(last, added)| last + added).collect()
}
