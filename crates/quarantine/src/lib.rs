//! Quarantine of requests that make targets exit: collects the facts of this process, exchanges
//! them with other processes, and decides whether a request may run.
//!
//! The decisions are made by `berylhook_core::quarantine`. This crate collects the facts for them,
//! and each request is checked before it is sent. A process that uses this crate implements
//! [`ClusterAccess`] and [`QuarantineMetrics`], calls [`SuspectTracker::acquire_clearance`] before
//! each send, and reports the outcome.
//!
//! | Module | Contents |
//! |---|---|
//! | `suspects` | the state of this process, and the status of a request |
//! | `lost_requests` | detects exited targets after sends that lost their response |
//! | `abandoned_runs` | schedules probes of targets at which callers abandoned runs |
//! | `proven_parts` | parts of prompts of which a target has survived a run |
//! | `part_evidence` | what survived runs say about parts, and to whom it is sent |
//! | `probe` | asks a target which incarnation it is |
//! | `clearance` | what a request needs before it may be sent |
//! | `replicator` | sends facts to peers and to the store, and acquires locks there |
//! | `items` | applies items of the store |
//! | `stored_holds` | holds in the store, and those that a restore has removed or brought back |
//! | `survival` | whether a target has survived the beginning of a response |
//! | `follow` | follows the store, for a process that does not follow it otherwise |
//! | `initial_sync` | whether a process that has just started knows enough to serve |
//! | `messages` | messages between processes |
//! | [`stored`] | keys and documents in the store |
//!
//! Most of the time no request is suspected. A request then costs one atomic load, and its digest
//! is not computed.

mod abandoned_runs;
mod clearance;
mod follow;
mod initial_sync;
mod items;
mod lost_requests;
mod messages;
mod part_evidence;
mod probe;
mod proven_parts;
mod replicator;
pub mod stored;
mod stored_holds;
mod survival;
mod suspects;

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;

use berylhook_platform::store::StoreClient;

pub use self::clearance::{QuarantineRejection, RequestIdentity, RunClearance, WaitLimits};
pub use self::follow::follow_store;
pub use self::lost_requests::{LostRequest, LostRun, TargetIncarnation};
pub use self::messages::{MalformedUpdate, QuarantineUpdate};
pub use self::probe::{AnyListener, Probe, ProbeFuture};
pub use self::replicator::Replicator;
pub use self::survival::SurvivalCheck;
pub use self::suspects::SuspectTracker;

/// A peer's reply to an update, or the reason why there is none.
pub type UpdateReply<'a> =
    Pin<Box<dyn Future<Output = Result<QuarantineUpdate, String>> + Send + 'a>>;

/// Access to the store and to the peers of this process.
pub trait ClusterAccess: Send + Sync {
    /// The name of this process, which is stored as the holder of its locks.
    fn name(&self) -> Arc<str>;

    /// Creates a client for the platform's store.
    fn store(&self) -> StoreClient;

    /// The addresses of all known peers.
    fn peers(&self) -> Vec<SocketAddr>;

    /// Sends an update to a peer. The peer replies with all its facts if the update asks for them.
    fn send_update(&self, peer: SocketAddr, update: QuarantineUpdate) -> UpdateReply<'_>;
}

/// The metrics of the quarantine in this process.
pub trait QuarantineMetrics: Send + Sync {
    /// Sets the number of requests that are suspected, and of those that are held.
    fn set_request_counts(&self, suspected: usize, held: usize);

    /// Adds the number of requests that were newly found to have been at a target when it exited.
    fn add_requests_at_exit(&self, requests: usize);
}
