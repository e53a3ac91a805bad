//! Connects the quarantine to this entry: identities of requests, access to the other entries and
//! the store, and counts.
//!
//! The quarantine tracks requests during which targets exited. The agent beside a target reports,
//! with the end of each lost run, whether the target has exited. For a run that no caller waits for
//! any more, the entry waits for that report.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use berylhook_caller::Call;
use berylhook_core::digest::{RequestContent, RequestDigest};
use berylhook_core::ids::RequestId;
use berylhook_core::prompt::{PromptPart, SharedParts};
use berylhook_peer::proto::frame::Kind;
use berylhook_peer::proto::{Answer, End, Suspicions, answer, question};
use berylhook_platform::store::StoreClient;
use berylhook_quarantine::{
    ClusterAccess, LostRequest, LostRun, QuarantineMetrics, QuarantineUpdate, Replicator,
    RequestIdentity, RunClearance, UpdateReply,
};
use bytes::Bytes;
use tokio::time::{Instant, timeout_at};

use super::link::Registration;
use super::node::Node;
use super::peers;

/// An agent reports within one second of a cancel whether its target has exited.
const OUTCOME_WAIT: Duration = Duration::from_millis(1_200);

/// Identifies repeats of the same request to the quarantine.
#[derive(Debug)]
pub(crate) struct CallIdentity {
    id: RequestId,
    method: String,
    path: String,
    account: Arc<str>,
    service: Arc<str>,
    body: Bytes,
    /// The blocks of the body, each together with all that precedes it.
    shared_parts: SharedParts,
    /// Computed on first use, since most requests do not need it.
    digest: OnceLock<RequestDigest>,
}

impl CallIdentity {
    /// `blocks` are the hashes of the blocks of the body.
    pub(crate) fn of(call: &Call, blocks: &[u64]) -> Self {
        let parts = blocks.iter().map(|block| Some(PromptPart(*block)));
        Self {
            id: call.id,
            method: call.method.clone(),
            path: call.path.clone(),
            account: Arc::clone(&call.account.name),
            service: Arc::clone(&call.entry.name),
            body: call.body.clone(),
            shared_parts: SharedParts::of_prompt(parts),
            digest: OnceLock::new(),
        }
    }

    pub(crate) fn shared_parts(&self) -> &SharedParts {
        &self.shared_parts
    }
}

impl RequestIdentity for CallIdentity {
    fn digest(&self) -> RequestDigest {
        *self.digest.get_or_init(|| {
            RequestDigest::of(&RequestContent {
                method: &self.method,
                path: &self.path,
                account: Some(&self.account),
                body: &self.body,
            })
        })
    }

    fn service(&self) -> &Arc<str> {
        &self.service
    }

    fn shared_parts(&self) -> &[PromptPart] {
        self.shared_parts.as_slice()
    }
}

/// What the quarantine has to know about a run when it ends.
pub(crate) struct RunEvidence<'a> {
    pub(crate) identity: &'a CallIdentity,
    pub(crate) clearance: &'a RunClearance,
    /// Whether the target may have begun to respond.
    pub(crate) may_have_begun: bool,
}

impl RunEvidence<'_> {
    fn lost_run(&self) -> LostRun {
        let identity = self.identity;
        LostRun {
            request: LostRequest {
                digest: identity.digest(),
                ran_alone: self.clearance.runs_alone(),
                attempt_id: identity.id.to_string().into(),
                account: Arc::clone(&identity.account),
            },
            shared_parts: identity.shared_parts.clone(),
            alone_parts: self.clearance.parts_alone(identity.shared_parts.as_slice()),
            may_have_begun: self.may_have_begun,
        }
    }
}

/// Reports to the quarantine whether a target survived a run or exited.
pub(crate) fn on_run_end(node: &Node, run: &RunEvidence<'_>, end: &End) {
    let suspects = &node.suspects;
    match (end.whole, end.ended_target.as_str()) {
        (true, _) => {
            if suspects.is_active() {
                suspects.on_survived_run(run.identity.digest());
            }
            suspects.on_parts_survived(run.identity.shared_parts().as_slice());
        }
        (false, "") => {}
        (false, target) => suspects.on_target_exit(&target.into(), &[run.lost_run()]),
    }
}

/// A run that no caller waits for any more.
pub(crate) struct AbandonedRun {
    pub(crate) node: Arc<Node>,
    pub(crate) registration: Registration,
    pub(crate) identity: Arc<CallIdentity>,
    /// Released once the outcome of the run is known.
    pub(crate) clearance: RunClearance,
    /// Whether the target may have begun to respond.
    pub(crate) may_have_begun: bool,
    /// Latest time at which the target may still be running the request.
    pub(crate) may_run_until: Instant,
}

impl AbandonedRun {
    /// Waits until the agent has reported the outcome of the run or can no longer report it.
    pub(crate) async fn await_outcome(mut self) {
        let until = (Instant::now() + OUTCOME_WAIT).max(self.may_run_until);
        while let Ok(Some(kind)) = timeout_at(until, self.registration.frames.recv()).await {
            let Kind::End(end) = kind else {
                continue;
            };
            let evidence = RunEvidence {
                identity: &self.identity,
                clearance: &self.clearance,
                may_have_begun: self.may_have_begun,
            };
            on_run_end(&self.node, &evidence, &end);
            if end.whole || !end.ended_target.is_empty() {
                return;
            }
        }
    }
}

/// Gives the quarantine access to the store and the other entries.
pub(crate) struct ServeClusterAccess {
    pub(crate) node: Arc<Node>,
    pub(crate) store: SocketAddr,
}

impl ClusterAccess for ServeClusterAccess {
    fn name(&self) -> Arc<str> {
        Arc::clone(&self.node.settings.node.name)
    }

    fn store(&self) -> StoreClient {
        StoreClient::new(self.store)
    }

    fn peers(&self) -> Vec<SocketAddr> {
        let others = peers::other_entries(&self.node);
        others.into_iter().map(|vm| vm.address).collect()
    }

    fn send_update(&self, peer: SocketAddr, update: QuarantineUpdate) -> UpdateReply<'_> {
        let request = question::Kind::Suspicions(to_message(&update));
        Box::pin(async move {
            let reply = peers::send_request(&self.node, peer, request).await;
            let reply = reply.map_err(|error| format!("{error:#}"))?;
            match reply.kind {
                Some(answer::Kind::Suspicions(suspicions)) => {
                    QuarantineUpdate::from_bytes(&suspicions.news)
                        .map_err(|error| error.to_string())
                }
                _ => Err("the peer runs a version without quarantine updates".to_owned()),
            }
        })
    }
}

fn to_message(update: &QuarantineUpdate) -> Suspicions {
    Suspicions {
        news: update.to_bytes().into(),
    }
}

/// Applies another entry's quarantine update and returns the update to reply with.
pub(crate) fn apply_peer_update(replicator: &Replicator, suspicions: &Suspicions) -> Suspicions {
    match QuarantineUpdate::from_bytes(&suspicions.news) {
        Ok(update) => to_message(&replicator.apply_update(update)),
        Err(error) => {
            log::warn!("ignoring an invalid quarantine update from another entry: {error}");
            Suspicions::default()
        }
    }
}

/// Compares the quarantine state of another entry with this one's, by the summary in its reply to a
/// digest.
pub(crate) fn on_digest_reply(node: &Node, address: SocketAddr, reply: &Answer) {
    if let Some(summary) = reply.suspicions_summary {
        node.suspects.on_peer_summary(address, summary);
    }
}

/// Counts of suspected and rejected requests, for metrics and `berylhook status`.
#[derive(Debug, Default)]
pub(crate) struct QuarantineCounts {
    /// Requests newly found to have been running on a target that exited.
    pub(crate) requests_at_exit: AtomicU64,
    /// Requests that are suspected at present.
    pub(crate) suspected: AtomicU64,
    /// Requests that the quarantine rejects at present.
    pub(crate) held: AtomicU64,
}

impl QuarantineMetrics for QuarantineCounts {
    fn set_request_counts(&self, suspected: usize, held: usize) {
        self.suspected.store(suspected as u64, Ordering::Relaxed);
        self.held.store(held as u64, Ordering::Relaxed);
    }

    fn add_requests_at_exit(&self, requests: usize) {
        let counter = &self.requests_at_exit;
        counter.fetch_add(requests as u64, Ordering::Relaxed);
    }
}
