//! Requests that are held back because targets end under them: what this process saw, what
//! it heard, and who may go on.
//!
//! The decision is `berylhook_core::quarantine`'s. Here its facts are gathered, and each
//! request asks before it is sent. A process that embeds this brings its [`ClusterAccess`]
//! and its [`QuarantineMetrics`], asks [`SuspectTracker::acquire_clearance`] before each send, and tells what became of
//! it.
//!
//! | Part | Job |
//! |---|---|
//! | `suspects` | what is known, and what follows for a request |
//! | `losses` | which targets ended, from sends that lost their answer |
//! | `left` | which targets to look at, since callers left runs there |
//! | `look` | how a target is asked who it is |
//! | `clearance` | what a request needs before it may be sent |
//! | `keeper` | tells facts to peers and to the store, takes locks there |
//! | `items` | takes over the items that the store keeps |
//! | `kept_holds` | what the store has of holds, and what a restore took from it |
//! | `follow` | follows it, for a process that follows nothing else there |
//! | `initial_sync` | whether a process that has just started knows enough to serve |
//! | `messages` | what processes tell each other |
//! | [`stored`] | what stands in the store |
//!
//! Most of the time nothing is suspected; a request then costs one atomic load, and no
//! digest is made of it.

mod abandoned_runs;
mod clearance;
mod follow;
mod initial_sync;
mod items;
mod lost_requests;
mod messages;
mod probe;
mod replicator;
pub mod stored;
mod stored_holds;
mod suspects;

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;

use berylhook_platform::store::Store;

pub use self::clearance::{QuarantineRejection, RequestIdentity, RunClearance, WaitLimits};
pub use self::follow::follow_store;
pub use self::lost_requests::{LostRequest, TargetIncarnation};
pub use self::messages::{MalformedUpdate, QuarantineUpdate};
pub use self::probe::{AnyListener, Probe, ProbeFuture};
pub use self::replicator::Replicator;
pub use self::suspects::SuspectTracker;

/// A peer's answer to news, or why there is none.
pub type UpdateReply<'a> =
    Pin<Box<dyn Future<Output = Result<QuarantineUpdate, String>> + Send + 'a>>;

/// The store and the peers of the process.
pub trait ClusterAccess: Send + Sync {
    /// This process's name, as the holder of a lock.
    fn name(&self) -> Arc<str>;

    /// A client for the platform's store.
    fn store(&self) -> Store;

    /// All peers known.
    fn peers(&self) -> Vec<SocketAddr>;

    /// Tells a peer news; it answers with all that it knows where the news asks for it.
    fn send_update(&self, peer: SocketAddr, news: QuarantineUpdate) -> UpdateReply<'_>;
}

/// Where the process counts what happens here.
pub trait QuarantineMetrics: Send + Sync {
    /// How many requests are suspected at present, and how many held back.
    fn set_request_counts(&self, suspected: usize, held: usize);

    /// So many requests were newly found to have been at a target that ended.
    fn add_requests_at_exit(&self, requests: usize);
}
