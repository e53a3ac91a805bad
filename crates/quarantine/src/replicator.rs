//! Tells facts to the peers and to the store, and takes the locks there.
//!
//! News goes two ways at once. Peers hear it within milliseconds, also while the store is
//! away; the store keeps it for an entry that starts later, or that its peers do not reach.
//! What both miss is found when entries compare their summaries, each five seconds.
//!
//! A lock is given back only after all news before it stands in the store, and whoever gets
//! one reads what stands there. So the next run of a suspect begins with what the last one
//! showed, whatever news was lost on the way: without that a guilty request ended a fourth
//! target in 7 of 20 plays of a model with two entries that loses one message in five.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use berylhook_core::digest::RequestDigest;
use berylhook_core::position::Position;
use berylhook_core::quarantine::{FACT_TTL_MS, Facts, Hold, SurvivedRun, TargetExit};
use berylhook_core::time::{MonoMs, WallMs};
use berylhook_platform::store::{Lease, Put, Store, StoreError};
use futures_util::future::join_all;
use futures_util::{StreamExt, stream};
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

use crate::ClusterAccess;
use crate::messages::QuarantineUpdate;
use crate::stored::{self, ExitDocument, SurvivedRunDocument, SuspectDocument};
use crate::suspects::{SuspectTracker, locked};

/// Time for a peer's answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(600);

/// Wait before a peer that did not take news is told again.
const TELL_AGAIN: Duration = Duration::from_millis(400);

/// Times that a peer is told before it is left to find out by comparing.
const MOST_TELLINGS: usize = 3;

/// Tellings whose end the next lock to be given back waits for.
const MOST_TELLINGS_KEPT: usize = 64;

/// Ends from which on it is kept that a target outlived the request.
const ENDS_TO_KEEP_OUTLIVED: usize = 2;

/// Peers told at once: those that do not answer must not hold up the others.
const TOLD_AT_ONCE: usize = 8;

/// Time for news to stand in the store before its lock is left to its lease.
const KEPT_WITHIN: Duration = Duration::from_millis(1_500);

/// Time between two looks at what has to be kept or forgotten in the store.
const TIDY_EVERY: Duration = Duration::from_secs(1);

/// What traffic asks of the keeper.
pub(crate) enum Task {
    /// Tell these facts to all.
    Tell(Facts),
    /// A trial went well: take back what is kept of the request.
    Lift(RequestDigest),
    /// Take a lock over all entries, under all of these names or none.
    Lock {
        names: Vec<Arc<str>>,
        ttl: Duration,
        answer: oneshot::Sender<LockAnswer>,
    },
    /// Give a lock back.
    Unlock { lease: Lease },
    /// Exchange all facts with a peer that knows others.
    Compare(SocketAddr),
}

/// What became of a request for a lock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LockAnswer {
    /// It is held by that lease.
    Granted { lease: Lease },
    /// Another run has it.
    Taken,
    /// The store does not answer.
    Away,
}

/// Keeps what is known of requests under which targets end.
pub struct Replicator {
    suspects: Arc<SuspectTracker>,
    surroundings: Arc<dyn ClusterAccess>,
}

impl Replicator {
    /// A keeper of what is known in `suspects`.
    #[must_use]
    pub fn new(suspects: Arc<SuspectTracker>, surroundings: Arc<dyn ClusterAccess>) -> Self {
        Self {
            suspects,
            surroundings,
        }
    }

    fn suspects(&self) -> &Arc<SuspectTracker> {
        &self.suspects
    }

    fn store(&self) -> Store {
        self.surroundings.store()
    }

    /// Does what traffic asks, for as long as the process lives.
    pub async fn run(self: Arc<Self>) {
        let waiting = &self.suspects().waiting_tasks;
        let Some(mut tasks) = locked(waiting).take() else {
            return;
        };
        tokio::spawn(Arc::clone(&self).tidy_always());
        let mut tellings: Vec<JoinHandle<bool>> = Vec::new();
        while let Some(task) = tasks.recv().await {
            self.begin(task, &mut tellings, &mut tasks);
        }
    }

    fn begin(
        self: &Arc<Self>,
        task: Task,
        tellings: &mut Vec<JoinHandle<bool>>,
        tasks: &mut mpsc::UnboundedReceiver<Task>,
    ) {
        let keeper = Arc::clone(self);
        match task {
            Task::Tell(facts) => {
                let (facts, next) = gather(facts, tasks);
                if tellings.len() >= MOST_TELLINGS_KEPT {
                    tellings.remove(0);
                }
                tellings.push(tokio::spawn(keeper.tell(facts)));
                if let Some(next) = next {
                    self.begin(next, tellings, tasks);
                }
            }
            Task::Lift(digest) => drop(tokio::spawn(async move {
                keeper.forget(digest).await;
            })),
            Task::Lock { names, ttl, answer } => drop(tokio::spawn(async move {
                let locked = keeper.take_lock(&names, ttl).await;
                // Who asked may have left.
                if let Err(LockAnswer::Granted { lease }) = answer.send(locked) {
                    keeper.give_back(lease).await;
                }
            })),
            Task::Compare(address) => drop(tokio::spawn(async move {
                keeper.compare(address).await;
            })),
            Task::Unlock { lease } => {
                let tellings = std::mem::take(tellings);
                tokio::spawn(async move {
                    if all_kept(tellings).await {
                        keeper.give_back(lease).await;
                    } else {
                        log::info!("a lock is left to its lease: the news is not kept yet");
                    }
                });
            }
        }
    }

    /// Takes a peer's news; the answer tells all that is known here if the peer wants it.
    #[must_use]
    pub fn apply_update(&self, news: QuarantineUpdate) -> QuarantineUpdate {
        let suspects = self.suspects();
        let wants_all = news.wants_all;
        suspects.take_facts(&news.into_facts(suspects.now_ms()), "peer");
        let told = if wants_all {
            suspects.facts()
        } else {
            Facts::default()
        };
        QuarantineUpdate::of(&told, false)
    }

    /// Exchanges all facts with a peer.
    async fn compare(&self, address: SocketAddr) {
        let suspects = self.suspects();
        let news = QuarantineUpdate::of(&suspects.facts(), true);
        match self.ask(address, news).await {
            Ok(told) => {
                suspects.take_facts(&told.into_facts(suspects.now_ms()), "peer");
                suspects.on_peer_told();
            }
            Err(reason) => log::debug!(reason:% = reason; "a peer does not compare its facts"),
        }
    }

    async fn ask(
        &self,
        address: SocketAddr,
        news: QuarantineUpdate,
    ) -> Result<QuarantineUpdate, String> {
        let telling = self.surroundings.send_update(address, news);
        match timeout(ANSWER_TIMEOUT, telling).await {
            Ok(told) => told,
            Err(_) => Err(format!("no answer within {ANSWER_TIMEOUT:?}")),
        }
    }

    /// Tells facts; returns whether they stand in the store.
    async fn tell(self: Arc<Self>, facts: Facts) -> bool {
        let keeper = Arc::clone(&self);
        let told = facts.clone();
        // A peer that does not answer must not hold up the next run of a suspect.
        tokio::spawn(async move { keeper.tell_peers(&told).await });
        self.keep(&facts).await
    }

    async fn tell_peers(&self, facts: &Facts) {
        let mut addresses = self.surroundings.peers();
        let peers = addresses.len();
        for telling in 0..MOST_TELLINGS {
            if telling > 0 {
                sleep(TELL_AGAIN).await;
            }
            let facts = Facts {
                now_ms: self.suspects().now_ms(),
                ..facts.clone()
            };
            let news = QuarantineUpdate::of(&facts, false);
            let told = addresses.into_iter().map(|address| {
                let news = news.clone();
                async move {
                    let answer = self.ask(address, news).await;
                    answer.is_err().then_some(address)
                }
            });
            let missed = stream::iter(told).buffer_unordered(TOLD_AT_ONCE);
            let missed: Vec<Option<SocketAddr>> = missed.collect().await;
            addresses = missed.into_iter().flatten().collect();
            if addresses.is_empty() {
                break;
            }
        }
        // Runs that targets outlived are told often, and are no call for anybody to act.
        for end in &facts.exits {
            let missed = addresses.len();
            log::info!(target = &*end.target, peers, missed; "peers were told of a target that ended");
        }
    }

    /// Leaves facts in the store, for entries that start later.
    async fn keep(&self, facts: &Facts) -> bool {
        let mut are_kept = true;
        for end in &facts.exits {
            if let Err(error) = self.keep_end(end, facts.now_ms).await {
                log::warn!(target = &*end.target, reason:% = error; "an end is not kept in the store");
                are_kept = false;
            }
        }
        for outlived in &facts.survived_runs {
            if let Err(error) = self.keep_outlived(outlived, facts.now_ms).await {
                log::info!(digest:% = outlived.digest, reason:% = error; "an outlived run is not kept in the store");
            }
        }
        if !facts.exits.is_empty() {
            self.keep_holds().await;
        }
        are_kept
    }

    /// Leaves in the store that a target outlived a suspect. An entry that starts later
    /// and read of the ends alone would hold back what all others have cleared. One end
    /// holds nothing back, so its many suspects are not written.
    async fn keep_outlived(
        &self,
        outlived: &SurvivedRun,
        now_ms: MonoMs,
    ) -> Result<(), StoreError> {
        let ends = self.suspects().exits_of(outlived.digest);
        if ends < ENDS_TO_KEEP_OUTLIVED {
            return Ok(());
        }
        let age_ms = now_ms.since(outlived.at_ms);
        let document = SurvivedRunDocument {
            digest: outlived.digest.to_string(),
            run: Arc::clone(&outlived.run),
            at_unix_ms: WallMs::now().0.saturating_sub(age_ms),
        };
        let (digest, run) = (outlived.digest, &outlived.run);
        let key = format!("{}{digest}/{run}", stored::SURVIVED_RUN_PREFIX);
        let value = serde_json::to_vec(&document).expect("plain structures serialize");
        self.keep_fact(key, value).await
    }

    /// Writes a fact, which ends with its lease.
    async fn keep_fact(&self, key: String, value: Vec<u8>) -> Result<(), StoreError> {
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

    async fn keep_end(&self, end: &TargetExit, now_ms: MonoMs) -> Result<(), StoreError> {
        let age_ms = now_ms.since(end.at_ms);
        let document = ExitDocument {
            target: Arc::clone(&end.target),
            at_unix_ms: WallMs::now().0.saturating_sub(age_ms),
            suspects: end.suspects.iter().map(SuspectDocument::from).collect(),
        };
        // Each telling has a key of its own: what is told later of the same end adds to it.
        let telling: u64 = rand::random();
        let key = format!("{}{}/{telling:016x}", stored::EXIT_PREFIX, end.target);
        let value = serde_json::to_vec(&document).expect("plain structures serialize");
        self.keep_fact(key, value).await
    }

    /// Keeps in the store which requests are held back, and how often their trials failed.
    async fn keep_holds(&self) {
        let suspects = self.suspects();
        let unrecorded_holds = {
            let state = suspects.lock();
            state
                .quarantine
                .unrecorded_holds(suspects.now_ms(), WallMs::now())
        };
        for (digest, hold) in suspects.lost_holds().into_iter().chain(unrecorded_holds) {
            match self.keep_hold(digest, &hold).await {
                Ok(written) => {
                    log::warn!(digest:% = digest, failed_trials = hold.failed_trials; "a request is held back");
                    suspects.learn_hold(digest, Some(hold), written);
                }
                // Another entry was first; the watch tells what it wrote.
                Err(StoreError::Conflict) => {}
                Err(error) => {
                    log::warn!(digest:% = digest, reason:% = error; "a hold is not kept in the store");
                }
            }
        }
    }

    async fn keep_hold(&self, digest: RequestDigest, hold: &Hold) -> Result<Position, StoreError> {
        let put = Put {
            key: stored::hold_key(digest),
            value: stored::hold_value(hold),
            expected: self.suspects().hold_written(digest),
            lease: None,
        };
        self.store().commit(&[put]).await
    }

    async fn take_lock(&self, names: &[Arc<str>], ttl: Duration) -> LockAnswer {
        let locked = self.try_lock(names, ttl).await;
        let is_away = &self.suspects().is_store_away;
        is_away.store(locked.is_err(), Ordering::Relaxed);
        match locked {
            Ok(Some(lease)) => LockAnswer::Granted { lease },
            Ok(None) => LockAnswer::Taken,
            Err(error) => {
                log::warn!(lock:? = names, reason:% = error; "a lock cannot be taken");
                LockAnswer::Away
            }
        }
    }

    async fn try_lock(
        &self,
        names: &[Arc<str>],
        ttl: Duration,
    ) -> Result<Option<Lease>, StoreError> {
        let mut store = self.store();
        let keys = names
            .iter()
            .map(|name| format!("{}{name}", stored::LOCK_PREFIX).into());
        let keys: Vec<Arc<str>> = keys.collect();
        for key in &keys {
            if store.item(key).await?.is_some() {
                return Ok(None);
            }
        }
        let ttl_ms = u64::try_from(ttl.as_millis()).unwrap_or(u64::MAX);
        let lease = store
            .grant(ttl_ms.clamp(LEAST_LEASE_MS, FACT_TTL_MS))
            .await?;
        let puts = keys.into_iter().map(|key| Put {
            key,
            value: self.surroundings.name().as_bytes().to_vec(),
            expected: None,
            lease: Some(lease),
        });
        let puts: Vec<Put> = puts.collect();
        let locked = match store.commit(&puts).await {
            Ok(_) => store.own_items(stored::PREFIX).await,
            Err(error) => Err(error),
        };
        match locked {
            Ok((items, position)) => {
                self.suspects().apply_items(&items, position);
                Ok(Some(lease))
            }
            Err(error) => {
                // It may have been taken all the same; the lease gives it back.
                self.give_back(lease).await;
                match error {
                    StoreError::Conflict => Ok(None),
                    error => Err(error),
                }
            }
        }
    }

    async fn give_back(&self, lease: Lease) {
        if self.suspects().is_of_former_era(lease.era) {
            return;
        }
        if let Err(error) = self.store().end(lease).await {
            log::info!(reason:% = error; "a lock ends with its lease");
        }
    }

    /// Keeps and forgets what nobody else has. Calls to a store that is away take their
    /// time, so requests for locks must not wait behind them.
    async fn tidy_always(self: Arc<Self>) {
        loop {
            sleep(TIDY_EVERY).await;
            if self.suspects().is_active() {
                self.tidy().await;
            }
        }
    }

    async fn tidy(&self) {
        self.suspects().expire_facts();
        self.keep_holds().await;
        let expired_holds = self
            .suspects()
            .lock()
            .quarantine
            .expired_holds(WallMs::now());
        for digest in expired_holds {
            self.forget(digest).await;
        }
    }

    async fn forget(&self, digest: RequestDigest) {
        let suspects = self.suspects();
        let key = stored::hold_key(digest);
        let Some(written) = suspects.hold_written(digest) else {
            suspects.learn_hold(digest, None, Position::default());
            return;
        };
        match self.store().remove(&key, written).await {
            Ok(removed) => {
                log::warn!(digest:% = digest; "a request is held back no more");
                suspects.learn_hold(digest, None, removed);
            }
            Err(StoreError::Conflict) => {}
            Err(error) => {
                log::warn!(digest:% = digest, reason:% = error; "a hold stays in the store");
            }
        }
    }
}

/// The platform grants no shorter leases.
const LEAST_LEASE_MS: u64 = 1_000;

async fn all_kept(tellings: Vec<JoinHandle<bool>>) -> bool {
    let kept = timeout(KEPT_WITHIN, join_all(tellings)).await;
    kept.is_ok_and(|kept| kept.iter().all(|kept| matches!(kept, Ok(true))))
}

/// Takes all facts that wait to be told, and the first task that is not of this kind.
fn gather(mut facts: Facts, tasks: &mut mpsc::UnboundedReceiver<Task>) -> (Facts, Option<Task>) {
    while let Ok(task) = tasks.try_recv() {
        match task {
            Task::Tell(more) => {
                facts.now_ms = facts.now_ms.max(more.now_ms);
                facts.exits.extend(more.exits);
                facts.survived_runs.extend(more.survived_runs);
            }
            other => return (facts, Some(other)),
        }
    }
    (facts, None)
}
