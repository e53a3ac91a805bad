//! Handing a service's groups over while the store is away.
//!
//! A leader that dies is followed by one that the store elects. While the store
//! does not answer nobody can be elected, and a leader that is stopped as planned
//! would leave the maps as they are until it does: six seconds of passes two and
//! three times as long were seen. So it transfers its leadership instead.
//!
//! The store's word stays the last one. An elected leader's fencing number lies above
//! all that the store has had; its successor's by transfer is the next above
//! that of its predecessor, below any that is elected later. When the store is
//! back the former leader's key lapses, a leader is elected, and the agents tell
//! the one before that it has been succeeded.
//!
//! No number is used twice: whoever transfers gives no order any more, and transfers
//! to one candidate at most. Where it is not known whether that one has accepted,
//! nobody else is asked. An agent that starts meanwhile relays nothing before it
//! has read the store, and can't hear of its predecessor's leader again, since
//! that one opens no connection any more.

use std::sync::Arc;

use berylhook_relay::era_floor;
use futures_util::future::BoxFuture;
use serde::{Deserialize, Serialize};

/// Binary digits of a fencing number that count transfers after one election.
const TRANSFER_BITS: u32 = 6;

/// The fencing number of a leader elected in that era of the store, where `kept` is the
/// highest that the store keeps of it.
///
/// A store restored from an older copy keeps a former one, and would give the numbers of
/// lost elections out again; two leaders with one number could have two maps in force in one
/// pass. So the era goes first.
#[must_use]
pub fn elected_fencing_token(era: u64, kept: u64) -> u64 {
    let next_election = (kept >> TRANSFER_BITS) + 1;
    era_floor(era).max(next_election << TRANSFER_BITS)
}

/// The fencing number of the successor by transfer of a leader with that number; `None`
/// once all that belong to one election are used up.
#[must_use]
pub fn transferred_fencing_token(fence: u64) -> Option<u64> {
    let next = fence + 1;
    let is_of_next_election = next.trailing_zeros() >= TRANSFER_BITS;
    (!is_of_next_election).then_some(next)
}

/// Makes a candidate the leader of a service's groups.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeadershipTransfer {
    /// The service.
    pub service: Arc<str>,
    /// The new leader's fencing number.
    pub fence: u64,
}

/// What became of a transfer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransferResult {
    /// A candidate leads now.
    Accepted,
    /// Nobody has accepted, and nobody will.
    Refused,
    /// Somebody may have accepted.
    Unknown,
}

/// The other candidates.
pub trait Successors: Send + Sync {
    /// Asks one after the other until one accepts or may have.
    fn transfer(&self, transfer: LeadershipTransfer) -> BoxFuture<'_, TransferResult>;
}
