//! Sends facts to the peers and to the store, and acquires locks in the store.
//!
//! Facts are sent on two paths at the same time. Peers receive them within milliseconds, even while
//! the store is unavailable. The store keeps them for entries that start later or that the peers
//! cannot reach. Facts that are lost on both paths are exchanged when entries compare their
//! summaries, every five seconds.
//!
//! A lock is released only after all previous facts are in the store, and the new holder of a lock
//! reads the store. So the next run of a suspect starts with the outcome of the previous run, even
//! if messages are lost. Without this, a poison request stopped a fourth target in 7 of 20 runs of
//! a simulation with two entries that loses one message in five.

mod locks;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use berylhook_core::digest::{DigestKind, RequestDigest};
use berylhook_core::position::Position;
use berylhook_core::quarantine::{FACT_TTL_MS, Facts, Hold, SurvivedRun, TargetExit};
use berylhook_core::time::{MonoMs, WallMs};
use berylhook_platform::store::{Lease, Put, StoreClient, StoreError};
use futures_util::future::join_all;
use futures_util::{StreamExt, stream};
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

pub(crate) use self::locks::LockReply;
use crate::ClusterAccess;
use crate::messages::QuarantineUpdate;
use crate::stored::{self, ExitDocument, SurvivedRunDocument, SuspectDocument};
use crate::suspects::{SuspectTracker, lock_mutex};

/// Time-out for a peer's reply.
const REPLY_TIMEOUT: Duration = Duration::from_millis(600);

/// Delay before an update is sent again to a peer that did not confirm it.
const SEND_RETRY_DELAY: Duration = Duration::from_millis(400);

/// Number of attempts to send an update to a peer. After that, the peer gets the facts when
/// summaries are compared.
const MAX_SEND_ATTEMPTS: usize = 3;

/// Maximum number of pending writes of facts that the release of the next lock waits for.
const MAX_PENDING_WRITES: usize = 64;

/// Number of exits of a request from which on its survived runs are stored.
const MIN_EXITS_TO_STORE_SURVIVED_RUNS: usize = 2;

/// Maximum number of peers to which an update is sent at the same time. Peers that do not reply
/// must not delay the others.
const MAX_CONCURRENT_SENDS: usize = 8;

/// Time-out for writing facts to the store. After that, the lock is not released but expires with
/// its lease.
const WRITE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Interval at which holds are stored and removed.
const MAINTENANCE_INTERVAL: Duration = Duration::from_secs(1);

/// A task for the replicator.
pub(crate) enum Task {
    /// Send these facts to the peers and the store.
    SendFacts(Facts),
    /// Send the survived runs of parts among these suspects that this process remembers.
    SendEarlierSurvivedRuns(Vec<RequestDigest>),
    /// Remove the hold of a request, because a target has survived its trial or a restore of the
    /// store has brought the hold back.
    RemoveHold(RequestDigest),
    /// Acquire a lock over all entries, under all of these names or none.
    Lock {
        names: Vec<Arc<str>>,
        ttl: Duration,
        reply_sender: oneshot::Sender<LockReply>,
    },
    /// Release a lock.
    Unlock { lease: Lease },
    /// Exchange all facts with a peer whose summary differs.
    ExchangeFacts(SocketAddr),
}

/// Replicates facts and holds to the peers and the store, and manages locks in the store.
pub struct Replicator {
    tracker: Arc<SuspectTracker>,
    cluster: Arc<dyn ClusterAccess>,
}

impl Replicator {
    /// Creates a replicator for the state in `tracker`.
    #[must_use]
    pub fn new(tracker: Arc<SuspectTracker>, cluster: Arc<dyn ClusterAccess>) -> Self {
        Self { tracker, cluster }
    }

    fn tracker(&self) -> &Arc<SuspectTracker> {
        &self.tracker
    }

    fn store(&self) -> StoreClient {
        self.cluster.store()
    }

    /// Runs the tasks of the tracker until the process exits.
    pub async fn run(self: Arc<Self>) {
        let task_receiver = &self.tracker().task_receiver;
        let Some(mut tasks) = lock_mutex(task_receiver).take() else {
            return;
        };
        tokio::spawn(Arc::clone(&self).run_maintenance());
        let mut pending_writes: Vec<JoinHandle<bool>> = Vec::new();
        while let Some(task) = tasks.recv().await {
            self.start_task(task, &mut pending_writes, &mut tasks);
        }
    }

    fn start_task(
        self: &Arc<Self>,
        task: Task,
        pending_writes: &mut Vec<JoinHandle<bool>>,
        tasks: &mut mpsc::UnboundedReceiver<Task>,
    ) {
        let replicator = Arc::clone(self);
        match task {
            Task::SendFacts(facts) => {
                let (facts, next_task) = collect_facts(facts, tasks);
                if pending_writes.len() >= MAX_PENDING_WRITES {
                    pending_writes.remove(0);
                }
                pending_writes.push(tokio::spawn(replicator.publish(facts)));
                if let Some(next_task) = next_task {
                    self.start_task(next_task, pending_writes, tasks);
                }
            }
            Task::SendEarlierSurvivedRuns(suspects) => drop(tokio::spawn(async move {
                replicator
                    .tracker()
                    .send_earlier_survived_runs(&suspects)
                    .await;
            })),
            Task::RemoveHold(digest) => drop(tokio::spawn(async move {
                replicator.remove_hold(digest).await;
            })),
            Task::Lock {
                names,
                ttl,
                reply_sender,
            } => drop(tokio::spawn(async move {
                let reply = replicator.acquire_lock(&names, ttl).await;
                // The requester may be gone, and then nobody else would release the lock.
                if let Err(LockReply::Granted { lease }) = reply_sender.send(reply) {
                    replicator.release_lock(lease).await;
                }
            })),
            Task::ExchangeFacts(address) => drop(tokio::spawn(async move {
                replicator.exchange_facts(address).await;
            })),
            Task::Unlock { lease } => {
                let pending_writes = std::mem::take(pending_writes);
                tokio::spawn(async move {
                    if all_written(pending_writes).await {
                        replicator.release_lock(lease).await;
                    } else {
                        log::info!(
                            "the exits are not in the store yet; a lock expires with its lease"
                        );
                    }
                });
            }
        }
    }

    /// Applies a peer's update; the reply contains all facts of this process if the peer asks for
    /// them.
    #[must_use]
    pub fn apply_update(&self, update: QuarantineUpdate) -> QuarantineUpdate {
        let tracker = self.tracker();
        let wants_all = update.wants_all;
        tracker.apply_facts(&update.into_facts(tracker.now_ms()), "peer");
        let reply_facts = if wants_all {
            tracker.facts()
        } else {
            Facts::default()
        };
        QuarantineUpdate::of(&reply_facts, false)
    }

    /// Exchanges all facts with a peer.
    async fn exchange_facts(&self, address: SocketAddr) {
        let tracker = self.tracker();
        let update = QuarantineUpdate::of(&tracker.facts(), true);
        match self.send_to_peer(address, update).await {
            Ok(reply) => {
                tracker.apply_facts(&reply.into_facts(tracker.now_ms()), "peer");
                tracker.on_peer_report();
            }
            Err(reason) => log::debug!(reason:% = reason; "cannot exchange facts with a peer"),
        }
    }

    async fn send_to_peer(
        &self,
        address: SocketAddr,
        update: QuarantineUpdate,
    ) -> Result<QuarantineUpdate, String> {
        let reply = self.cluster.send_update(address, update);
        match timeout(REPLY_TIMEOUT, reply).await {
            Ok(reply) => reply,
            Err(_) => Err(format!("no reply within {REPLY_TIMEOUT:?}")),
        }
    }

    /// Sends facts to the peers and the store; returns whether all exits are in the store.
    async fn publish(self: Arc<Self>, facts: Facts) -> bool {
        let replicator = Arc::clone(&self);
        let peer_facts = facts.clone();
        // A peer that does not reply must not delay the next run of a suspect.
        tokio::spawn(async move { replicator.send_to_peers(&peer_facts).await });
        self.store_facts(&facts).await
    }

    async fn send_to_peers(&self, facts: &Facts) {
        let mut addresses = self.cluster.peers();
        let peers = addresses.len();
        for attempt in 0..MAX_SEND_ATTEMPTS {
            if attempt > 0 {
                sleep(SEND_RETRY_DELAY).await;
            }
            let facts = Facts {
                now_ms: self.tracker().now_ms(),
                ..facts.clone()
            };
            let update = QuarantineUpdate::of(&facts, false);
            let sends = addresses.into_iter().map(|address| {
                let update = update.clone();
                async move {
                    let reply = self.send_to_peer(address, update).await;
                    reply.is_err().then_some(address)
                }
            });
            let missed = stream::iter(sends).buffer_unordered(MAX_CONCURRENT_SENDS);
            let missed: Vec<Option<SocketAddr>> = missed.collect().await;
            addresses = missed.into_iter().flatten().collect();
            if addresses.is_empty() {
                break;
            }
        }
        // Only exits are logged. Survived runs are sent often, and require no action of an
        // operator.
        for exit in &facts.exits {
            let missed = addresses.len();
            log::info!(target = &*exit.target, peers, missed; "exit of a target sent to peers");
        }
    }

    /// Writes facts to the store, for entries that start later; returns whether all exits were
    /// written.
    async fn store_facts(&self, facts: &Facts) -> bool {
        let mut are_stored = true;
        for exit in &facts.exits {
            if let Err(error) = self.store_exit(exit, facts.now_ms).await {
                log::warn!(target = &*exit.target, reason:% = error; "cannot store the exit of a target");
                are_stored = false;
            }
        }
        let (of_requests, of_parts): (Vec<_>, Vec<_>) = facts
            .survived_runs
            .iter()
            .partition(|survived| survived.digest.kind() == DigestKind::Content);
        for survived in of_requests {
            if let Err(error) = self.store_survived_run(survived, facts.now_ms).await {
                log::info!(digest:% = survived.digest, reason:% = error; "cannot store a survived run");
            }
        }
        if let Err(error) = self.store_survived_parts(&of_parts, facts.now_ms).await {
            log::info!(parts = of_parts.len(), reason:% = error; "cannot store the survived runs of parts");
        }
        if !facts.exits.is_empty() {
            self.store_holds().await;
        }
        are_stored
    }

    /// Writes a survived run of a suspect to the store. An entry that starts later and reads only
    /// the exits would restrict a request that all other entries have cleared. A single exit holds
    /// no request, so the survived runs of its many suspects are not written.
    async fn store_survived_run(
        &self,
        survived: &SurvivedRun,
        now_ms: MonoMs,
    ) -> Result<(), StoreError> {
        let exit_count = self.tracker().exit_count(survived.digest);
        if exit_count < MIN_EXITS_TO_STORE_SURVIVED_RUNS {
            return Ok(());
        }
        let document = SurvivedRunDocument::of(survived, now_ms);
        let (digest, run) = (survived.digest, &survived.run);
        let key = format!("{}{digest}/{run}", stored::SURVIVED_RUN_PREFIX);
        let value = serde_json::to_vec(&document).expect("plain structures serialize");
        self.store_fact(key, value).await
    }

    /// Writes survived runs of parts to the store, under one key. An entry that starts later would
    /// hold a sound part that was at two exits, so they are written from the first exit on.
    async fn store_survived_parts(
        &self,
        survived_runs: &[&SurvivedRun],
        now_ms: MonoMs,
    ) -> Result<(), StoreError> {
        if survived_runs.is_empty() {
            return Ok(());
        }
        let documents: Vec<SurvivedRunDocument> = survived_runs
            .iter()
            .map(|survived| SurvivedRunDocument::of(survived, now_ms))
            .collect();
        let report: u64 = rand::random();
        let key = format!("{}{report:016x}", stored::SURVIVED_PARTS_PREFIX);
        let value = serde_json::to_vec(&documents).expect("plain structures serialize");
        self.store_fact(key, value).await
    }

    /// Writes a fact, which is removed when its lease expires.
    async fn store_fact(&self, key: String, value: Vec<u8>) -> Result<(), StoreError> {
        let mut store = self.store();
        let lease = store.grant(FACT_TTL_MS).await?;
        let put = Put {
            key: key.into(),
            value,
            expected: None,
            lease: Some(lease),
        };
        store.commit(&[put]).await.map(drop)
    }

    async fn store_exit(&self, exit: &TargetExit, now_ms: MonoMs) -> Result<(), StoreError> {
        let age_ms = now_ms.since(exit.at_ms);
        let document = ExitDocument {
            target: Arc::clone(&exit.target),
            at_unix_ms: WallMs::now().0.saturating_sub(age_ms),
            suspects: exit.suspects.iter().map(SuspectDocument::from).collect(),
        };
        // Each report has its own key, so that a later report of the same exit adds to it.
        let telling: u64 = rand::random();
        let key = format!("{}{}/{telling:016x}", stored::EXIT_PREFIX, exit.target);
        let value = serde_json::to_vec(&document).expect("plain structures serialize");
        self.store_fact(key, value).await
    }

    /// Stores the holds that follow from the facts, and how many of their trials have failed.
    async fn store_holds(&self) {
        let tracker = self.tracker();
        let unrecorded_holds = {
            let state = tracker.lock();
            state
                .quarantine
                .unrecorded_holds(tracker.now_ms(), WallMs::now())
        };
        for (digest, hold) in tracker.missing_holds().into_iter().chain(unrecorded_holds) {
            match self.store_hold(digest, &hold).await {
                Ok(position) => {
                    log::warn!(digest = &*digest.name(), failed_trials = hold.failed_trials; "hold of a request stored");
                    tracker.apply_stored_hold(digest, Some(hold), position);
                }
                // Another entry wrote the hold first; the watch delivers its value.
                Err(StoreError::Conflict) => {}
                Err(error) => {
                    log::warn!(digest = &*digest.name(), reason:% = error; "cannot store the hold of a request");
                }
            }
        }
    }

    async fn store_hold(&self, digest: RequestDigest, hold: &Hold) -> Result<Position, StoreError> {
        let put = Put {
            key: stored::hold_key(digest),
            value: stored::hold_value(hold),
            expected: self.tracker().hold_position(digest),
            lease: None,
        };
        self.store().commit(&[put]).await
    }

    /// Stores and removes holds periodically. Calls to an unavailable store take long, so this runs
    /// in its own task, in order not to delay requests for locks.
    async fn run_maintenance(self: Arc<Self>) {
        loop {
            sleep(MAINTENANCE_INTERVAL).await;
            if self.tracker().is_active() {
                self.maintain().await;
            }
        }
    }

    async fn maintain(&self) {
        self.tracker().expire_facts();
        self.store_holds().await;
        let expired_holds = self
            .tracker()
            .lock()
            .quarantine
            .expired_holds(WallMs::now());
        for digest in expired_holds {
            self.remove_hold(digest).await;
        }
    }

    async fn remove_hold(&self, digest: RequestDigest) {
        let tracker = self.tracker();
        let key = stored::hold_key(digest);
        let Some(position) = tracker.hold_position(digest) else {
            tracker.apply_stored_hold(digest, None, Position::default());
            return;
        };
        match self.store().remove(&key, position).await {
            Ok(removed_at) => {
                log::warn!(digest = &*digest.name(); "hold of a request removed");
                tracker.apply_stored_hold(digest, None, removed_at);
            }
            Err(StoreError::Conflict) => {}
            Err(error) => {
                log::warn!(digest = &*digest.name(), reason:% = error; "cannot remove the hold of a request from the store");
            }
        }
    }
}

async fn all_written(pending_writes: Vec<JoinHandle<bool>>) -> bool {
    let results = timeout(WRITE_TIMEOUT, join_all(pending_writes)).await;
    results.is_ok_and(|results| results.iter().all(|result| matches!(result, Ok(true))))
}

/// Merges all queued facts into one update, and returns the first task of another kind.
fn collect_facts(
    mut facts: Facts,
    tasks: &mut mpsc::UnboundedReceiver<Task>,
) -> (Facts, Option<Task>) {
    while let Ok(task) = tasks.try_recv() {
        match task {
            Task::SendFacts(more) => {
                facts.now_ms = facts.now_ms.max(more.now_ms);
                facts.exits.extend(more.exits);
                facts.survived_runs.extend(more.survived_runs);
            }
            other => return (facts, Some(other)),
        }
    }
    (facts, None)
}
