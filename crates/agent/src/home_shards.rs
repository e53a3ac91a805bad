//! The key shards this agent is home to.
//!
//! What goes wrong without care: the agent is frozen, its lease expires,
//! another agent takes a shard over, and the first one wakes and runs a key
//! that its successor has already run. Three things prevent it together: the
//! right to start ends on this agent's own monotonic clock
//! ([`HeldLease`]); a key is only accepted up to the wall clock read *before*
//! that check; and the successor's floor lies above every key that could
//! have been accepted so.

use std::sync::Arc;
use std::time::Duration;

use berylhook_core::lease::HeldLease;
use berylhook_core::ledger::{Admission, KeyedRequest, Ledger, RecordedResponse};
use berylhook_core::outcome::Refusal;
use berylhook_core::time::{MonoMs, WallMs};
use berylhook_peer::proto::Keyed;
use indexmap::IndexMap;
use tokio::sync::{oneshot, watch};

use crate::agent::{Agent, lock};
use crate::control::ControlRequest;

/// How long an order waits for the agent to claim the key's shard.
const CLAIM_WAIT: Duration = Duration::from_millis(500);

/// One shard this agent is home to.
struct Home {
    claim: u64,
    ledger: Ledger,
    /// Counts ended runs, for repeats that wait for the first one's answer.
    ended: watch::Sender<u64>,
}

/// All shards this agent is home to, and who is believed to hold the others.
#[derive(Default)]
pub(crate) struct Homes {
    lease: Option<HeldLease>,
    shards: IndexMap<u32, Home>,
    holders: IndexMap<u32, Arc<str>>,
}

/// A shard that was given up.
pub(crate) struct Taken {
    pub(crate) claim: u64,
    pub(crate) ledger: Ledger,
}

/// What becomes of a keyed order here.
pub(crate) enum KeyedDecision {
    Run(Recorder),
    Repeat(Arc<RecordedResponse>),
    Unknown,
    NotHome { home: Arc<str> },
    Refused(Refusal),
}

/// The duty to record how a run ended.
pub(crate) struct Recorder {
    shard: u32,
    claim: u64,
    key: u128,
}

enum Step {
    Decided(KeyedDecision),
    WaitForFirst(watch::Receiver<u64>),
    Claim,
}

impl Homes {
    /// The lease was granted or renewed by a call sent at `sent_ms`.
    pub(crate) fn lease_confirmed(&mut self, ttl_ms: u64, sent_ms: MonoMs) {
        match &mut self.lease {
            Some(lease) => lease.on_renewed(sent_ms),
            None => self.lease = Some(HeldLease::granted(ttl_ms, sent_ms)),
        }
    }

    /// Whether the lease is due for renewal.
    pub(crate) fn should_renew(&self, now_ms: MonoMs) -> bool {
        self.lease.is_none_or(|lease| lease.should_renew(now_ms))
    }

    /// The service says that the lease is gone, and with it all shards.
    pub(crate) fn lease_gone(&mut self) {
        self.lease = None;
        self.shards.clear();
    }

    /// The shard is this agent's from now on.
    pub(crate) fn claimed(&mut self, shard: u32, claim: u64, ledger: Ledger) {
        self.holders.swap_remove(&shard);
        self.shards.insert(
            shard,
            Home {
                claim,
                ledger,
                ended: watch::Sender::new(0),
            },
        );
    }

    /// Another agent holds the shard.
    pub(crate) fn held_elsewhere(&mut self, shard: u32, holder: Arc<str>) {
        self.shards.swap_remove(&shard);
        self.holders.insert(shard, holder);
    }

    /// The shards this agent is home to.
    pub(crate) fn owned(&self) -> Vec<u32> {
        self.shards.keys().copied().collect()
    }

    /// Gives the shard up if nothing runs in it; nothing new starts then.
    pub(crate) fn take_idle(&mut self, shard: u32) -> Option<Taken> {
        let is_idle = !self.shards.get(&shard)?.ledger.has_running_requests();
        match self.shards.entry(shard) {
            indexmap::map::Entry::Occupied(home) if is_idle => {
                let home = home.swap_remove();
                Some(Taken {
                    claim: home.claim,
                    ledger: home.ledger,
                })
            }
            _ => None,
        }
    }

    fn step(&mut self, shard: u32, request: KeyedRequest, wall_ms: WallMs, now_ms: MonoMs) -> Step {
        let holds = self.lease.is_some_and(|lease| lease.is_valid(now_ms));
        let Some(home) = self.shards.get_mut(&shard) else {
            return Step::Claim;
        };
        let admission = match home.ledger.lookup(&request) {
            Some(known) => known,
            None if holds => home.ledger.admit(request, wall_ms),
            None => {
                let home = Arc::default();
                return Step::Decided(KeyedDecision::NotHome { home });
            }
        };
        match admission {
            Admission::Run => Step::Decided(KeyedDecision::Run(Recorder {
                shard,
                claim: home.claim,
                key: request.key,
            })),
            Admission::InProgress => Step::WaitForFirst(home.ended.subscribe()),
            Admission::Repeat(answer) => Step::Decided(KeyedDecision::Repeat(answer)),
            Admission::Unknown => Step::Decided(KeyedDecision::Unknown),
            Admission::FromFuture => Step::Decided(KeyedDecision::Refused(Refusal::KeyFromFuture)),
            Admission::Reused => Step::Decided(KeyedDecision::Refused(Refusal::KeyReused)),
        }
    }

    fn ledger_of(&mut self, recorder: &Recorder) -> Option<&mut Home> {
        self.shards
            .get_mut(&recorder.shard)
            .filter(|home| home.claim == recorder.claim)
    }
}

/// Decides a keyed order, waiting for a first run of the same key to end.
pub(crate) async fn decide(agent: &Arc<Agent>, entry: &str, keyed: &Keyed) -> KeyedDecision {
    if entry != &*agent.settings.service {
        return KeyedDecision::Refused(Refusal::NotHome);
    }
    let request = KeyedRequest {
        key: (u128::from(keyed.key_high) << 64) | u128::from(keyed.key_low),
        issued_ms: WallMs(keyed.issued_ms),
        digest: keyed.digest,
    };
    let mut has_claimed = false;
    loop {
        // The wall clock is read before the right is checked. If the process
        // is frozen in between, the right has lapsed; if it is frozen after
        // the check, the key was already accepted by the older reading.
        let wall_ms = WallMs::now();
        let now_ms = agent.now_ms();
        let step = lock(&agent.homes).step(keyed.shard, request, wall_ms, now_ms);
        match step {
            Step::Decided(decision) => return decision,
            Step::WaitForFirst(mut ended) => {
                // An error means that the shard was given up: decide anew.
                let _ = ended.changed().await;
            }
            Step::Claim if has_claimed => {
                let homes = lock(&agent.homes);
                let home = homes.holders.get(&keyed.shard).cloned().unwrap_or_default();
                return KeyedDecision::NotHome { home };
            }
            Step::Claim => {
                has_claimed = true;
                claim(agent, keyed.shard).await;
            }
        }
    }
}

async fn claim(agent: &Arc<Agent>, shard: u32) {
    let (done, claimed) = oneshot::channel();
    let request = ControlRequest::Claim { shard, done };
    if agent.control.send(request).is_ok() {
        let _ = tokio::time::timeout(CLAIM_WAIT, claimed).await;
    }
}

impl Recorder {
    pub(crate) fn finish(self, agent: &Agent, answer: Arc<RecordedResponse>) {
        self.end(agent, |ledger, key| ledger.finish(key, answer));
    }

    pub(crate) fn cut_off(self, agent: &Agent) {
        self.end(agent, Ledger::mark_interrupted);
    }

    pub(crate) fn withdraw(self, agent: &Agent) {
        self.end(agent, Ledger::discard_not_run);
    }

    fn end(self, agent: &Agent, change: impl FnOnce(&mut Ledger, u128)) {
        let mut homes = lock(&agent.homes);
        let Some(home) = homes.ledger_of(&self) else {
            log::warn!(
                "a run ended after its shard {} was lost; its key stays unknown",
                self.shard
            );
            return;
        };
        change(&mut home.ledger, self.key);
        home.ended.send_modify(|count| *count += 1);
    }
}
