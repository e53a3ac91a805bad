//! Processes that keep what they know of requests under which targets end.

// Each test file is a program of its own and uses a part of this.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use berylhook_core::digest::{RequestContent, RequestDigest};
use berylhook_platform::store::Store;
use berylhook_quarantine::{
    ClusterAccess, LostRequest, QuarantineMetrics, QuarantineUpdate, Replicator, RequestIdentity,
    SuspectTracker, UpdateReply, WaitLimits,
};

pub struct NoGauges;

impl QuarantineMetrics for NoGauges {
    fn set_request_counts(&self, _suspected: usize, _held: usize) {}

    fn add_requests_at_exit(&self, _requests: usize) {}
}

/// A process without peers.
pub struct Alone {
    /// Where its store is.
    pub store: SocketAddr,
}

impl ClusterAccess for Alone {
    fn name(&self) -> Arc<str> {
        "entry-1".into()
    }

    fn store(&self) -> Store {
        Store::new(self.store)
    }

    fn peers(&self) -> Vec<SocketAddr> {
        Vec::new()
    }

    fn send_update(&self, _peer: SocketAddr, _news: QuarantineUpdate) -> UpdateReply<'_> {
        Box::pin(async { Err("there is no peer".to_owned()) })
    }
}

/// A request to a service.
pub struct Draft(pub Arc<str>);

impl RequestIdentity for Draft {
    fn digest(&self) -> RequestDigest {
        RequestDigest::of(&RequestContent {
            method: "POST",
            path: "/draft",
            account: Some("harbour"),
            body: b"a draft",
        })
    }

    fn service(&self) -> &Arc<str> {
        &self.0
    }
}

pub const PATIENCE: WaitLimits = WaitLimits {
    lock_wait: Duration::from_millis(1_500),
    response_wait: Duration::from_secs(3),
};

/// A process whose store is there.
pub fn process(store: SocketAddr) -> Arc<SuspectTracker> {
    let suspects = Arc::new(SuspectTracker::new(Arc::new(NoGauges)));
    let keeper = Replicator::new(Arc::clone(&suspects), Arc::new(Alone { store }));
    tokio::spawn(Arc::new(keeper).run());
    suspects
}

/// A loss of that request.
pub fn loss_of(draft: &Draft) -> LostRequest {
    LostRequest {
        digest: draft.digest(),
        ran_alone: false,
        attempt_id: "attempt".into(),
        account: "harbour".into(),
    }
}
