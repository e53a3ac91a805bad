//! The key shards that this agent is home to: it alone may run their keyed requests.
//!
//! No keyed request may run twice when this agent freezes, its lease expires, another agent takes
//! a shard over, and this agent resumes. Three rules ensure that together: the right to start a
//! run expires on this agent's own monotonic clock ([`HeldLease`]); a key is accepted only if it
//! was issued up to the wall-clock time read *before* that check, plus the allowed clock skew; and
//! the successor's low-water mark lies above the issue time of every key that could have been
//! accepted that way.

use std::sync::Arc;
use std::time::Duration;

use berylhook_core::lease::HeldLease;
use berylhook_core::ledger::{Admission, KeyedRequest, Ledger, LedgerExport, RecordedResponse};
use berylhook_core::outcome::Refusal;
use berylhook_core::time::{MonoMs, WallMs};
use berylhook_peer::proto::Keyed;
use indexmap::IndexMap;
use tokio::sync::{oneshot, watch};

use crate::agent::{Agent, lock};
use crate::control::ControlRequest;

/// How long a keyed request waits for the claim of its shard: longer than one call to the key-value
/// service may take, so that a slow service does not refuse a call that waits for a handover.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(2);

/// Interval at which a request that waits for a run or a handover checks the lease.
const DECISION_INTERVAL: Duration = Duration::from_millis(500);

/// A shard that this agent is home to.
struct HomeShard {
    claim: HomeClaim,
    ledger: Ledger,
    /// Whether the shard is being handed over. Requests with a new key wait until it has another
    /// home or is open again.
    is_closed: bool,
    /// Number of changes that waiting requests may wait for: ended runs, and the end of a handover.
    changes: watch::Sender<u64>,
}

/// A claim as the key-value service has recorded it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct HomeClaim {
    /// Random ID of the claim.
    pub(crate) id: u64,
    /// Revision of the home key.
    pub(crate) revision: i64,
}

/// All shards that this agent is home to, and the last known homes of the others.
#[derive(Default)]
pub(crate) struct HomeShards {
    lease: Option<HeldLease>,
    shards: IndexMap<u32, HomeShard>,
    other_homes: IndexMap<u32, Arc<str>>,
}

/// What a handover writes.
pub(crate) struct Handover {
    pub(crate) claim: HomeClaim,
    pub(crate) export: LedgerExport,
}

/// How this agent handles a keyed request.
pub(crate) enum KeyedDecision {
    Run(RunRecorder),
    Repeat {
        response: Arc<RecordedResponse>,
        /// Whether this agent's lease is valid. A record stays true without it: no successor runs a
        /// key that a previous home may have accepted.
        is_lease_valid: bool,
    },
    Unknown,
    NotHome {
        home: Arc<str>,
    },
    Refused(Refusal),
}

/// Records in the shard's ledger how one run of a key ended. One of the methods has to be called
/// for each run.
pub(crate) struct RunRecorder {
    shard: u32,
    claim_id: u64,
    key: u128,
}

enum KeyedStep {
    Decided(KeyedDecision),
    /// Decide again after the next change of the shard.
    AwaitChange(watch::Receiver<u64>),
    Claim,
}

impl HomeShard {
    fn notify_waiting_requests(&self) {
        self.changes.send_modify(|count| *count += 1);
    }
}

impl HomeShards {
    /// Records that the lease was granted or renewed by a call sent at `sent_ms`.
    pub(crate) fn on_lease_confirmed(&mut self, ttl_ms: u64, sent_ms: MonoMs) {
        match &mut self.lease {
            Some(lease) => lease.on_renewed(sent_ms),
            None => self.lease = Some(HeldLease::granted(ttl_ms, sent_ms)),
        }
    }

    /// Whether the lease is missing or due for renewal.
    pub(crate) fn should_renew(&self, now_ms: MonoMs) -> bool {
        self.lease.is_none_or(|lease| lease.should_renew(now_ms))
    }

    /// Drops the lease and all shards: the key-value service has reported the lease as expired.
    pub(crate) fn on_lease_expired(&mut self) {
        self.lease = None;
        self.shards.clear();
    }

    /// Adds a shard that this agent has claimed.
    pub(crate) fn add_claimed(&mut self, shard: u32, claim: HomeClaim, ledger: Ledger) {
        self.other_homes.swap_remove(&shard);
        self.shards.insert(
            shard,
            HomeShard {
                claim,
                ledger,
                is_closed: false,
                changes: watch::Sender::new(0),
            },
        );
    }

    /// Records that another agent is home to the shard.
    pub(crate) fn record_other_home(&mut self, shard: u32, home_agent: Arc<str>) {
        self.shards.swap_remove(&shard);
        self.other_homes.insert(shard, home_agent);
    }

    /// The shards that this agent is home to.
    pub(crate) fn owned_shards(&self) -> Vec<u32> {
        self.shards.keys().copied().collect()
    }

    /// Whether this agent is home to the shard.
    pub(crate) fn is_home_to(&self, shard: u32) -> bool {
        self.shards.contains_key(&shard)
    }

    /// Closes the shard for a handover if no request runs in it; returns whether it is idle. A shard
    /// that this agent is not home to is idle.
    pub(crate) fn close_if_idle(&mut self, shard: u32) -> bool {
        match self.shards.get_mut(&shard) {
            Some(home) if home.ledger.has_running_requests() => false,
            Some(home) => {
                home.is_closed = true;
                true
            }
            None => true,
        }
    }

    /// Closes the shard for a handover: no new key is admitted until it is opened again.
    pub(crate) fn close(&mut self, shard: u32) {
        if let Some(home) = self.shards.get_mut(&shard) {
            home.is_closed = true;
        }
    }

    /// Opens a closed shard again. The caller must know that no handover of it can take effect.
    pub(crate) fn open(&mut self, shard: u32) {
        if let Some(home) = self.shards.get_mut(&shard) {
            home.is_closed = false;
            home.notify_waiting_requests();
        }
    }

    /// What a handover of the shard has to write; `None` if this agent is no longer home to it.
    pub(crate) fn handover(&mut self, shard: u32, max_records: usize) -> Option<Handover> {
        let home = self.shards.get(&shard)?;
        debug_assert!(home.is_closed, "records of an open shard may change");
        Some(Handover {
            claim: home.claim,
            export: home.ledger.export(max_records),
        })
    }

    /// Updates the revision of the home key after it was read.
    pub(crate) fn set_home_revision(&mut self, shard: u32, revision: i64) {
        if let Some(home) = self.shards.get_mut(&shard) {
            home.claim.revision = revision;
        }
    }

    /// Removes a shard that this agent is no longer home to. Requests that wait for it are sent to
    /// the next home.
    pub(crate) fn remove(&mut self, shard: u32) {
        self.shards.swap_remove(&shard);
    }

    /// Removes all shards, and returns which they were.
    pub(crate) fn remove_all(&mut self) -> Vec<u32> {
        let shards = self.owned_shards();
        self.shards.clear();
        shards
    }

    fn next_step(
        &mut self,
        shard: u32,
        request: KeyedRequest,
        wall_ms: WallMs,
        now_ms: MonoMs,
    ) -> KeyedStep {
        let is_lease_valid = self.lease.is_some_and(|lease| lease.is_valid(now_ms));
        let Some(home) = self.shards.get_mut(&shard) else {
            return KeyedStep::Claim;
        };
        let admission = match home.ledger.lookup(&request) {
            Some(known) => known,
            None if is_lease_valid && home.is_closed => {
                return KeyedStep::AwaitChange(home.changes.subscribe());
            }
            None if is_lease_valid => home.ledger.admit(request, wall_ms),
            None => {
                let home = Arc::default();
                return KeyedStep::Decided(KeyedDecision::NotHome { home });
            }
        };
        match admission {
            Admission::Run => KeyedStep::Decided(KeyedDecision::Run(RunRecorder {
                shard,
                claim_id: home.claim.id,
                key: request.key,
            })),
            Admission::InProgress => KeyedStep::AwaitChange(home.changes.subscribe()),
            Admission::Repeat(response) => KeyedStep::Decided(KeyedDecision::Repeat {
                response,
                is_lease_valid,
            }),
            Admission::Unknown => KeyedStep::Decided(KeyedDecision::Unknown),
            Admission::FromFuture => {
                KeyedStep::Decided(KeyedDecision::Refused(Refusal::KeyFromFuture))
            }
            Admission::Reused => KeyedStep::Decided(KeyedDecision::Refused(Refusal::KeyReused)),
        }
    }

    fn shard_of_run(&mut self, recorder: &RunRecorder) -> Option<&mut HomeShard> {
        self.shards
            .get_mut(&recorder.shard)
            .filter(|home| home.claim.id == recorder.claim_id)
    }
}

/// Decides how to handle a keyed request. Waits for the end of a first run of the same key, and of
/// a handover of its shard.
pub(crate) async fn decide_keyed(agent: &Arc<Agent>, entry: &str, keyed: &Keyed) -> KeyedDecision {
    if entry != &*agent.settings.service {
        return KeyedDecision::Refused(Refusal::NotHome);
    }
    let request = KeyedRequest {
        key: (u128::from(keyed.key_high) << 64) | u128::from(keyed.key_low),
        issued_ms: WallMs(keyed.issued_ms),
        digest: keyed.digest,
    };
    let mut has_requested_claim = false;
    loop {
        // The wall clock is read before the lease is checked. If the process freezes between the
        // two, the check finds the lease expired; if it freezes after the check, the key was
        // accepted by the earlier wall-clock time.
        let wall_ms = WallMs::now();
        let now_ms = agent.now_ms();
        let step = lock(&agent.home_shards).next_step(keyed.shard, request, wall_ms, now_ms);
        match step {
            KeyedStep::Decided(decision) => return decision,
            KeyedStep::AwaitChange(mut changes) => {
                // Decides again also if the shard was handed over or lost, which is an error here,
                // and after a while, since the lease may have expired during a handover.
                let _ = tokio::time::timeout(DECISION_INTERVAL, changes.changed()).await;
            }
            KeyedStep::Claim if has_requested_claim => {
                let home_shards = lock(&agent.home_shards);
                let home = home_shards
                    .other_homes
                    .get(&keyed.shard)
                    .cloned()
                    .unwrap_or_default();
                return KeyedDecision::NotHome { home };
            }
            KeyedStep::Claim => {
                has_requested_claim = true;
                request_claim(agent, keyed.shard).await;
            }
        }
    }
}

async fn request_claim(agent: &Arc<Agent>, shard: u32) {
    let (done, claimed) = oneshot::channel();
    let request = ControlRequest::Claim { shard, done };
    if agent.control.send(request).is_ok() {
        let _ = tokio::time::timeout(CLAIM_TIMEOUT, claimed).await;
    }
}

impl RunRecorder {
    pub(crate) fn finish(self, agent: &Agent, response: Arc<RecordedResponse>) {
        self.update_ledger(agent, |ledger, key| ledger.finish(key, response));
    }

    pub(crate) fn mark_interrupted(self, agent: &Agent) {
        self.update_ledger(agent, Ledger::mark_interrupted);
    }

    pub(crate) fn discard_not_run(self, agent: &Agent) {
        self.update_ledger(agent, Ledger::discard_not_run);
    }

    fn update_ledger(self, agent: &Agent, change: impl FnOnce(&mut Ledger, u128)) {
        let mut home_shards = lock(&agent.home_shards);
        let Some(home) = home_shards.shard_of_run(&self) else {
            log::warn!(
                "a run ended after its shard {} was lost; the outcome of its key stays unknown",
                self.shard
            );
            return;
        };
        change(&mut home.ledger, self.key);
        home.notify_waiting_requests();
    }
}
