//! Transfers the leadership of a service's groups while the store is unavailable.
//!
//! When a leader crashes, a new one is elected through the store. While the store does not
//! reply, no leader can be elected, and the maps would not change after a planned shutdown
//! of the leader. Passes of two and three times the usual length were observed for six
//! seconds in this case. A leader that shuts down therefore transfers its leadership to
//! another candidate.
//!
//! Elections take precedence over transfers. The fencing token of an elected leader is
//! higher than all tokens that the store has held. A transfer increments the token of the
//! previous leader by one, and the result is lower than the token of any later election. When
//! the store is available again, the key of the last elected leader expires, a leader is
//! elected, and the agents notify the leader by transfer that it has been succeeded.
//!
//! No token is used twice. A leader that transfers its leadership sends no more commands, and
//! transfers it to at most one candidate: if the outcome of a request is unknown, it asks no
//! other candidate. An agent that restarts in the meantime relays nothing before it has read
//! the store, and the previous leader cannot reach it, as it opens no more connections.

use std::sync::Arc;

use berylhook_relay::era_base_token;
use futures_util::future::BoxFuture;
use serde::{Deserialize, Serialize};

/// Low bits of a fencing token that count the transfers after one election.
const TRANSFER_BITS: u32 = 6;

/// Returns the fencing token of a leader that is elected in era `era` of the store.
/// `stored` is the highest token of this era in the store.
///
/// The era is in the highest bits. A store that was restored from an older copy holds an
/// older token and would otherwise issue the tokens of the lost elections again. Two leaders
/// with the same token could make ranks use different maps in one pass.
#[must_use]
pub fn elected_fencing_token(era: u64, stored: u64) -> u64 {
    let next_election = (stored >> TRANSFER_BITS) + 1;
    era_base_token(era).max(next_election << TRANSFER_BITS)
}

/// Returns the fencing token of the leader to which a leader with the token `fence` transfers
/// its leadership. `None` if all tokens for transfers after one election are used up.
#[must_use]
pub fn transferred_fencing_token(fence: u64) -> Option<u64> {
    let next = fence + 1;
    let is_of_next_election = next.trailing_zeros() >= TRANSFER_BITS;
    (!is_of_next_election).then_some(next)
}

/// Request to a candidate to become the leader of a service's groups.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeadershipTransfer {
    /// The name of the service.
    pub service: Arc<str>,
    /// The fencing token of the new leader.
    pub fence: u64,
}

/// Outcome of a leadership transfer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransferResult {
    /// A candidate has accepted and leads now.
    Accepted,
    /// No candidate has accepted, and none will accept later.
    Refused,
    /// A candidate may have accepted.
    Unknown,
}

/// The other candidates, to which a leader can transfer its leadership.
pub trait Successors: Send + Sync {
    /// Sends the request to one candidate after the other, until one accepts or may have
    /// accepted.
    fn transfer(&self, transfer: LeadershipTransfer) -> BoxFuture<'_, TransferResult>;
}
