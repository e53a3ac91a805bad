//! Handing a service's groups over while the store is away.
//!
//! A leader that dies is followed by one that the store elects. While the store
//! does not answer nobody can be elected, and a leader that is stopped as planned
//! would leave the maps as they are until it does: six seconds of passes two and
//! three times as long were seen. So it appoints another candidate instead.
//!
//! The store's word stays the last one. An elected leader's fencing number is
//! made of the revision that elected it; an appointed one's is the next above
//! that of its predecessor, below any that is elected later. When the store is
//! back the former leader's key lapses, a leader is elected, and the agents tell
//! the appointed one that it has been succeeded.
//!
//! No number is used twice: whoever appoints gives no order any more, and appoints
//! one candidate at most. Where it is not known whether that one has taken office,
//! nobody else is asked. An agent that starts meanwhile relays nothing before it
//! has read the store, and can't hear of its predecessor's leader again, since
//! that one opens no connection any more.

use std::sync::Arc;

use futures_util::future::BoxFuture;
use serde::{Deserialize, Serialize};

/// Binary digits of a fencing number that count appointments after one election.
const APPOINTMENT_BITS: u32 = 6;

/// The fencing number of a leader elected at that revision of the store.
#[must_use]
pub fn elected_number(revision: u64) -> u64 {
    revision << APPOINTMENT_BITS
}

/// The fencing number of the one appointed by a leader with that number; `None`
/// once all that belong to one election are used up.
#[must_use]
pub fn appointed_number(fence: u64) -> Option<u64> {
    let next = fence + 1;
    let is_of_next_election = next.trailing_zeros() >= APPOINTMENT_BITS;
    (!is_of_next_election).then_some(next)
}

/// Makes a candidate the leader of a service's groups.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Appointment {
    /// The service.
    pub service: Arc<str>,
    /// The new leader's fencing number.
    pub fence: u64,
}

/// What became of an appointment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Appointed {
    /// A candidate has taken office.
    Taken,
    /// Nobody has, and nobody will.
    Refused,
    /// Somebody may have.
    Unknown,
}

/// The other candidates.
pub trait Successors: Send + Sync {
    /// Asks one after the other until one takes office or may have.
    fn appoint(&self, appointment: Appointment) -> BoxFuture<'_, Appointed>;
}
