//! What the quarantine of requests under which targets end needs of this entry: what makes
//! a request the same, the way to other entries and to the store, and counts.
//!
//! Whether a target has ended is told by the agent beside it, with the end of each run that
//! was lost. For a run that nobody waits for any more the entry hears the agent out.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use berylhook_caller::Call;
use berylhook_core::digest::{RequestContent, RequestDigest};
use berylhook_core::ids::RequestId;
use berylhook_peer::proto::frame::Kind;
use berylhook_peer::proto::{Answer, End, Suspicions, answer, question};
use berylhook_platform::store::StoreClient;
use berylhook_quarantine::{
    ClusterAccess, LostRequest, QuarantineMetrics, QuarantineUpdate, Replicator, RequestIdentity,
    RunClearance, UpdateReply,
};
use bytes::Bytes;
use tokio::time::{Instant, timeout_at};

use super::link::Registration;
use super::node::Node;
use super::peers;

/// The agent tells within a second of a cancellation whether its target ended.
const HEAR_OUT: Duration = Duration::from_millis(1_200);

/// What makes a request the same when it comes again.
#[derive(Debug)]
pub(crate) struct Identity {
    id: RequestId,
    method: String,
    path: String,
    account: Arc<str>,
    service: Arc<str>,
    body: Bytes,
    /// Made when it is first asked for: most requests need none.
    digest: OnceLock<RequestDigest>,
}

impl Identity {
    pub(crate) fn of(call: &Call) -> Self {
        Self {
            id: call.id,
            method: call.method.clone(),
            path: call.path.clone(),
            account: Arc::clone(&call.account.name),
            service: Arc::clone(&call.entry.name),
            body: call.body.clone(),
            digest: OnceLock::new(),
        }
    }

    fn loss(&self, ran_alone: bool) -> LostRequest {
        LostRequest {
            digest: self.digest(),
            ran_alone,
            attempt_id: self.id.to_string().into(),
            account: Arc::clone(&self.account),
        }
    }
}

impl RequestIdentity for Identity {
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
}

/// Takes over what the end of a run shows of its target.
pub(crate) fn on_run_end(node: &Node, identity: &Identity, ran_alone: bool, end: &End) {
    let suspects = &node.suspects;
    match (end.whole, end.ended_target.as_str()) {
        (true, _) if suspects.is_active() => suspects.on_survived_run(identity.digest()),
        (true, _) | (false, "") => {}
        (false, target) => suspects.on_target_exit(&target.into(), &[identity.loss(ran_alone)]),
    }
}

/// A run that nobody waits for any more.
pub(crate) struct LeftRun {
    pub(crate) node: Arc<Node>,
    pub(crate) registration: Registration,
    pub(crate) identity: Arc<Identity>,
    /// Given back once it is known how the run ended.
    pub(crate) clearance: RunClearance,
    /// Until when the target may be at work on it.
    pub(crate) runs_until: Instant,
}

impl LeftRun {
    /// Hears what the agent tells of the run until it cannot tell more.
    pub(crate) async fn hear_out(mut self) {
        let until = (Instant::now() + HEAR_OUT).max(self.runs_until);
        while let Ok(Some(kind)) = timeout_at(until, self.registration.frames.recv()).await {
            let Kind::End(end) = kind else {
                continue;
            };
            on_run_end(
                &self.node,
                &self.identity,
                self.clearance.runs_alone(),
                &end,
            );
            if end.whole || !end.ended_target.is_empty() {
                return;
            }
        }
    }
}

/// The store and the other entries.
pub(crate) struct ServeSurroundings {
    pub(crate) node: Arc<Node>,
    pub(crate) store: SocketAddr,
}

impl ClusterAccess for ServeSurroundings {
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

    fn send_update(&self, peer: SocketAddr, news: QuarantineUpdate) -> UpdateReply<'_> {
        let question = question::Kind::Suspicions(message(&news));
        Box::pin(async move {
            let told = peers::ask(&self.node, peer, question).await;
            let told = told.map_err(|error| format!("{error:#}"))?;
            match told.kind {
                Some(answer::Kind::Suspicions(told)) => {
                    QuarantineUpdate::from_bytes(&told.news).map_err(|error| error.to_string())
                }
                _ => Err("it is of a version that keeps no suspicions".to_owned()),
            }
        })
    }
}

fn message(news: &QuarantineUpdate) -> Suspicions {
    Suspicions {
        news: news.to_bytes().into(),
    }
}

/// Answers another entry's news.
pub(crate) fn answer_news(keeper: &Replicator, told: &Suspicions) -> Suspicions {
    match QuarantineUpdate::from_bytes(&told.news) {
        Ok(news) => message(&keeper.apply_update(news)),
        Err(error) => {
            log::warn!("what another entry suspects is left out: {error}");
            Suspicions::default()
        }
    }
}

/// Compares what another entry knows, by the summary in its answer to a digest.
pub(crate) fn on_answer(node: &Node, address: SocketAddr, answer: &Answer) {
    if let Some(summary) = answer.suspicions_summary {
        node.suspects.on_peer_summary(address, summary);
    }
}

/// Counts of what is held back, for metrics and `berylhook status`.
#[derive(Debug, Default)]
pub(crate) struct QuarantineCounts {
    /// Requests that were newly found to have been at a target that ended.
    pub(crate) ended_under_requests: AtomicU64,
    /// Requests that are suspected at present.
    pub(crate) suspected: AtomicU64,
    /// Requests that are held back at present.
    pub(crate) held: AtomicU64,
}

impl QuarantineMetrics for QuarantineCounts {
    fn set_request_counts(&self, suspected: usize, held: usize) {
        self.suspected.store(suspected as u64, Ordering::Relaxed);
        self.held.store(held as u64, Ordering::Relaxed);
    }

    fn add_requests_at_exit(&self, requests: usize) {
        let ended = &self.ended_under_requests;
        ended.fetch_add(requests as u64, Ordering::Relaxed);
    }
}
