//! Helpers for tests: processes with a suspect tracker and a replicator.

// Each test file is a separate program and uses only a part of this module.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use berylhook_core::digest::{RequestContent, RequestDigest};
use berylhook_platform::store::StoreClient;
use berylhook_quarantine::{
    ClusterAccess, LostRequest, QuarantineMetrics, QuarantineUpdate, Replicator, RequestIdentity,
    SuspectTracker, UpdateReply, WaitLimits,
};

pub struct NoMetrics;

impl QuarantineMetrics for NoMetrics {
    fn set_request_counts(&self, _suspected: usize, _held: usize) {}

    fn add_requests_at_exit(&self, _requests: usize) {}
}

/// Cluster access of a process without peers.
pub struct NoPeers {
    /// The address of the store.
    pub store: SocketAddr,
}

impl ClusterAccess for NoPeers {
    fn name(&self) -> Arc<str> {
        "entry-1".into()
    }

    fn store(&self) -> StoreClient {
        StoreClient::new(self.store)
    }

    fn peers(&self) -> Vec<SocketAddr> {
        Vec::new()
    }

    fn send_update(&self, _peer: SocketAddr, _update: QuarantineUpdate) -> UpdateReply<'_> {
        Box::pin(async { Err("there are no peers".to_owned()) })
    }
}

/// A request to the service of this name.
pub struct DraftRequest(pub Arc<str>);

impl RequestIdentity for DraftRequest {
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

pub const WAIT_LIMITS: WaitLimits = WaitLimits {
    lock_wait: Duration::from_millis(1_500),
    response_wait: Duration::from_secs(3),
};

/// Starts a process with a store at this address.
pub fn process(store: SocketAddr) -> Arc<SuspectTracker> {
    let tracker = Arc::new(SuspectTracker::new(Arc::new(NoMetrics)));
    let replicator = Replicator::new(Arc::clone(&tracker), Arc::new(NoPeers { store }));
    tokio::spawn(Arc::new(replicator).run());
    tracker
}

/// A lost response of that request.
pub fn lost_request_of(draft: &DraftRequest) -> LostRequest {
    LostRequest {
        digest: draft.digest(),
        ran_alone: false,
        attempt_id: "attempt".into(),
        account: "harbour".into(),
    }
}
