//! Requests with an idempotency key, from their arrival at this agent to the record of their runs.
//!
//! [`HomeShards`](crate::home_shards::HomeShards) decides; this module waits for what a decision
//! depends on. An outcome that a caller was told is not taken back while the key-value service can
//! be reached: an agent whose lease has expired answers from its records only if it cannot publish
//! them, and an agent answers "unknown" only after it has looked for published ones.

use std::sync::Arc;
use std::time::Duration;

use berylhook_core::ledger::{KeyedRequest, Ledger, RecordedResponse};
use berylhook_core::outcome::Refusal;
use berylhook_core::time::WallMs;
use berylhook_peer::proto::Keyed;
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::agent::{Agent, lock};
use crate::control::ControlRequest;
use crate::home_shards::{KeyedDecision, KeyedStep};

/// How long a keyed request waits for the claim of its shard: longer than one call to the key-value
/// service may take, so that a slow service does not refuse a call that waits for a handover.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(2);

/// How long the answer to a known key waits for the renewal of an expired lease.
const LEASE_CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// How long the answer "unknown" waits for records that a previous home may have published.
const PUBLISHED_READ_TIMEOUT: Duration = Duration::from_millis(500);

/// How long the end of a response waits for the publication of its record.
const PUBLISH_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval at which a request that waits for a run or a handover checks the lease.
const DECISION_INTERVAL: Duration = Duration::from_millis(500);

/// Records in the shard's ledger how one run of a key ended. One of the methods has to be called
/// for each run.
pub(crate) struct RunRecorder {
    pub(crate) shard: u32,
    pub(crate) claim_id: u64,
    pub(crate) key: u128,
}

/// Decides how to handle a keyed request. Waits for the end of a first run of the same key, and of
/// a handover of its shard.
pub(crate) async fn decide_keyed(agent: &Arc<Agent>, entry: &str, keyed: &Keyed) -> KeyedDecision {
    if entry != &*agent.settings.service {
        return KeyedDecision::Refused(Refusal::NotHome);
    }
    let shard = keyed.shard;
    let request = KeyedRequest {
        key: (u128::from(keyed.key_high) << 64) | u128::from(keyed.key_low),
        issued_ms: WallMs(keyed.issued_ms),
        digest: keyed.digest,
    };
    let mut has_requested_claim = false;
    let mut has_checked_lease = false;
    let mut has_read_published = false;
    loop {
        // The wall clock is read before the lease is checked. If the process freezes between the
        // two, the check finds the lease expired; if it freezes after the check, the key was
        // accepted by the earlier wall-clock time.
        let wall_ms = WallMs::now();
        let now_ms = agent.now_ms();
        let step = lock(&agent.home_shards).next_step(shard, request, wall_ms, now_ms);
        match step {
            KeyedStep::Decided(KeyedDecision::Repeat {
                is_lease_valid: false,
                ..
            }) if !has_checked_lease => {
                has_checked_lease = true;
                let check_lease = |done| ControlRequest::CheckLease { done };
                ask_control(agent, check_lease, LEASE_CHECK_TIMEOUT).await;
            }
            KeyedStep::Decided(KeyedDecision::Unknown) if !has_read_published => {
                has_read_published = true;
                let read_published = |done| ControlRequest::ReadPublished { shard, done };
                ask_control(agent, read_published, PUBLISHED_READ_TIMEOUT).await;
            }
            KeyedStep::Decided(decision) => return decision,
            KeyedStep::AwaitChange(mut changes) => {
                // Decides again also if the shard was handed over or lost, which is an error here,
                // and after a while, since the lease may have expired during a handover.
                let _ = timeout(DECISION_INTERVAL, changes.changed()).await;
            }
            KeyedStep::Claim if has_requested_claim => {
                let home = lock(&agent.home_shards).other_home(shard);
                return KeyedDecision::NotHome { home };
            }
            KeyedStep::Claim => {
                has_requested_claim = true;
                let claim = |done| ControlRequest::Claim { shard, done };
                ask_control(agent, claim, CLAIM_TIMEOUT).await;
            }
        }
    }
}

/// Sends a request to the control thread, and waits until it is done or `max_wait` has passed.
async fn ask_control(
    agent: &Agent,
    request: impl FnOnce(oneshot::Sender<()>) -> ControlRequest,
    max_wait: Duration,
) {
    let (done, is_done) = oneshot::channel();
    if agent.control.send(request(done)).is_ok() {
        let _ = timeout(max_wait, is_done).await;
    }
}

impl RunRecorder {
    /// Records the complete response. If the shard was lost meanwhile, returns once the next home
    /// can read the record.
    pub(crate) async fn finish(self, agent: &Agent, response: Arc<RecordedResponse>) {
        if self.update_ledger(agent, |ledger, key| ledger.finish(key, response)) {
            log::info!("a run ended after its shard {} was lost", self.shard);
            let publish = |done| ControlRequest::Publish { done };
            ask_control(agent, publish, PUBLISH_TIMEOUT).await;
        }
    }

    pub(crate) fn mark_interrupted(self, agent: &Agent) {
        self.update_ledger(agent, Ledger::mark_interrupted);
    }

    pub(crate) fn discard_not_run(self, agent: &Agent) {
        self.update_ledger(agent, Ledger::discard_not_run);
    }

    fn update_ledger(&self, agent: &Agent, change: impl FnOnce(&mut Ledger, u128)) -> bool {
        lock(&agent.home_shards).update_ledger(self, change)
    }
}
