//! What this process knows of requests under which targets end.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use berylhook_core::digest::RequestDigest;
use berylhook_core::quarantine::{
    FACT_TTL_MS, Facts, Hold, HoldKind, Quarantine, QuarantineStatus, SurvivedRun, TargetExit,
};
use berylhook_core::time::{MonoMs, WallMs};
use berylhook_target::probe::{self, Listening};
use indexmap::IndexSet;
use tokio::sync::{mpsc, watch};
use tokio::time::sleep;

use crate::QuarantineMetrics;
use crate::abandoned_runs::Left;
use crate::initial_sync::Informed;
use crate::lost_requests::{Losses, LostRequest, TargetIncarnation};
use crate::probe::{AnyListener, Probe};
use crate::replicator::Task;
use crate::stored_holds::KeptHolds;

/// Digests in one line of the log: a target runs about as many requests.
const MOST_LISTED: usize = 16;

pub(crate) struct State {
    pub(crate) quarantine: Quarantine,
    pub(crate) losses: Losses,
    pub(crate) left: Left,
    /// Names of the locks that requests of this process hold, or are asking for.
    pub(crate) locks: IndexSet<Arc<str>>,
}

/// What this process knows of requests under which targets end.
pub struct SuspectTracker {
    /// Names this process in the names of its runs.
    process: u64,
    runs: AtomicU64,
    state: Mutex<State>,
    started: Instant,
    /// What has been heard since the start.
    informed: Mutex<Informed>,
    /// Whether it is known what is held back; it stays so.
    is_informed: AtomicBool,
    /// Whether the store failed to answer the last request for a lock.
    pub(crate) is_store_away: AtomicBool,
    /// Whether any request needs a digest.
    pub(crate) is_active: AtomicBool,
    /// Whether targets have to be looked at, since callers left runs there.
    awaits_probes: AtomicBool,
    /// What the store has of holds.
    pub(crate) kept_holds: Mutex<KeptHolds>,
    /// Rises with each change, for requests that wait for one.
    pub(crate) changes: watch::Sender<u64>,
    tasks: mpsc::UnboundedSender<Task>,
    /// Until the keeper takes it.
    pub(crate) waiting_tasks: Mutex<Option<mpsc::UnboundedReceiver<Task>>>,
    gauges: Arc<dyn QuarantineMetrics>,
}

impl SuspectTracker {
    /// Nothing is known yet.
    #[must_use]
    pub fn new(gauges: Arc<dyn QuarantineMetrics>) -> Self {
        let (tasks, waiting_tasks) = mpsc::unbounded_channel();
        Self {
            process: rand::random(),
            runs: AtomicU64::new(0),
            state: Mutex::new(State {
                quarantine: Quarantine::default(),
                losses: Losses::default(),
                left: Left::default(),
                locks: IndexSet::new(),
            }),
            started: Instant::now(),
            informed: Mutex::default(),
            is_informed: AtomicBool::new(false),
            is_store_away: AtomicBool::new(false),
            is_active: AtomicBool::new(false),
            awaits_probes: AtomicBool::new(false),
            kept_holds: Mutex::default(),
            changes: watch::Sender::new(0),
            tasks,
            waiting_tasks: Mutex::new(Some(waiting_tasks)),
            gauges,
        }
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        locked(&self.state)
    }

    /// A clock on which all facts that still count have happened.
    ///
    /// Facts are told with their age. On a clock that begins with the process, one that
    /// is older than the process would look new, and each restart would renew it.
    #[must_use]
    pub fn now_ms(&self) -> MonoMs {
        MonoMs(self.since_start_ms()) + FACT_TTL_MS
    }

    fn since_start_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    pub(crate) fn changed(&self, state: &State) {
        let is_active = !state.quarantine.is_empty() || !state.losses.is_empty();
        self.is_active.store(is_active, Ordering::Relaxed);
        let (suspected, held) = state.quarantine.counts(self.now_ms(), WallMs::now());
        self.gauges.set_request_counts(suspected, held);
        self.changes.send_modify(|count| *count += 1);
    }

    /// Whether any request needs a digest.
    pub fn is_active(&self) -> bool {
        self.is_active.load(Ordering::Relaxed)
    }

    /// What may be done with the request now.
    pub(crate) fn standing(&self, digest: RequestDigest, stops_group: bool) -> QuarantineStatus {
        let state = self.lock();
        let (now_ms, wall_ms) = (self.now_ms(), WallMs::now());
        if stops_group {
            state.quarantine.status_in_group(digest, now_ms, wall_ms)
        } else {
            state.quarantine.status(digest, now_ms, wall_ms)
        }
    }

    /// A send lost its answer.
    ///
    /// Whether its target has ended is found out by a connection to it; until that is
    /// known the request is not sent again. Whoever listens at its address is taken for it.
    pub fn on_lost_response(self: &Arc<Self>, place: &TargetIncarnation, loss: LostRequest) {
        self.on_lost_response_with_probe(place, loss, Arc::new(AnyListener(place.address)));
    }

    /// The same at a target that can be asked who it is.
    pub fn on_lost_response_with_probe(
        self: &Arc<Self>,
        place: &TargetIncarnation,
        loss: LostRequest,
        asked: Arc<dyn Probe>,
    ) {
        let mut state = self.lock();
        if state.quarantine.has_exited(&place.target) {
            self.take_end(&mut state, &place.target, &[loss]);
            return;
        }
        let is_first = state.losses.add(place, loss);
        self.changed(&state);
        drop(state);
        if is_first {
            let suspects = Arc::clone(self);
            let place = place.clone();
            tokio::spawn(async move {
                let has_ended = probe::has_ended(place.address).await
                    || matches!(asked.probe().await, Listening::Refused | Listening::Another);
                suspects.settle(&place.target, has_ended);
            });
        }
    }

    /// A caller has left its request while it ran, or it was given up there.
    ///
    /// Its target may end all the same, so it is looked at until it has outlived the run.
    /// Whoever listens at its address is taken for it.
    pub fn on_abandoned_run(self: &Arc<Self>, place: &TargetIncarnation, loss: LostRequest) {
        self.on_abandoned_run_with_probe(place, loss, Arc::new(AnyListener(place.address)));
    }

    /// The same at a target that can be asked who it is.
    pub fn on_abandoned_run_with_probe(
        self: &Arc<Self>,
        place: &TargetIncarnation,
        loss: LostRequest,
        asked: Arc<dyn Probe>,
    ) {
        let is_new = self.lock().left.add(place, loss, self.now_ms());
        self.awaits_probes.store(true, Ordering::Relaxed);
        let Ok(runtime) = tokio::runtime::Handle::try_current() else {
            return;
        };
        if is_new {
            runtime.spawn(Arc::clone(self).look_at(place.clone(), asked));
        }
    }

    /// Looks at a target until it has outlived the runs that callers left there.
    async fn look_at(self: Arc<Self>, place: TargetIncarnation, asked: Arc<dyn Probe>) {
        while let Some(wait) = self.next_look(&place.target) {
            if !wait.is_zero() {
                // Other sends may tell meanwhile, and then there is nothing to look at.
                sleep(wait).await;
                continue;
            }
            let asked_ms = self.now_ms();
            match asked.probe().await {
                Listening::Accepted => self.on_connection_accepted(&place.target, asked_ms),
                Listening::Refused | Listening::Another => {
                    self.on_connection_refused(&place.target);
                }
                // No request is blamed for a VM that is cut off or has lost its power.
                Listening::Silent => {
                    self.lock().left.take(&place.target);
                }
            }
        }
        let state = self.lock();
        self.awaits_probes
            .store(!state.left.is_empty(), Ordering::Relaxed);
        // Locks are given back once this is known.
        self.changed(&state);
    }

    fn next_look(&self, target: &str) -> Option<Duration> {
        let due_ms = self.lock().left.next_look(target)?;
        Some(Duration::from_millis(due_ms.since(self.now_ms())))
    }

    /// Whether what sends show of their targets has to be told to [`Self::on_connection_accepted`].
    #[must_use]
    pub fn awaits_probes(&self) -> bool {
        self.awaits_probes.load(Ordering::Relaxed)
    }

    /// A target took a connection that was asked for at `asked_ms` of this clock.
    pub fn on_connection_accepted(&self, target: &str, asked_ms: MonoMs) {
        self.lock().left.on_connection_accepted(target, asked_ms);
    }

    /// A target has ended, and these requests ran there.
    pub fn on_target_exit(&self, target: &Arc<str>, lost: &[LostRequest]) {
        self.take_end(&mut self.lock(), target, lost);
    }

    /// Nobody listens at a target's address: it has ended, if only now.
    pub fn on_connection_refused(&self, target: &Arc<str>) {
        let mut state = self.lock();
        let mut lost = state.losses.take(target);
        lost.extend(state.left.take(target));
        self.take_end(&mut state, target, &lost);
    }

    fn settle(&self, name: &Arc<str>, has_ended: bool) {
        let mut state = self.lock();
        if has_ended {
            // A refused connection may have told before.
            let mut lost = state.losses.take(name);
            lost.extend(state.left.take(name));
            self.take_end(&mut state, name, &lost);
        } else {
            state.losses.set_unproved(name, self.now_ms());
            self.changed(&state);
        }
    }

    /// Takes over which targets may get requests. A younger one at the address of one
    /// that lost answers proves that the former has ended.
    pub fn on_target_list(&self, usable: impl Iterator<Item = TargetIncarnation>) {
        let mut state = self.lock();
        if state.losses.is_empty() {
            return;
        }
        let usable: Vec<TargetIncarnation> = usable.collect();
        for (name, lost) in state.losses.superseded(&usable) {
            self.take_end(&mut state, &name, &lost);
        }
        self.changed(&state);
    }

    fn take_end(&self, state: &mut State, name: &Arc<str>, lost: &[LostRequest]) {
        if lost.is_empty() {
            return;
        }
        let end = TargetExit {
            target: Arc::clone(name),
            at_ms: self.now_ms(),
            suspects: lost.iter().map(LostRequest::suspect).collect(),
        };
        let fresh = state.quarantine.on_exit(&end);
        self.gauges.add_requests_at_exit(fresh.len());
        for loss in lost {
            let standing = state
                .quarantine
                .status(loss.digest, self.now_ms(), WallMs::now());
            log::warn!(
                target = &**name,
                request = &*loss.attempt_id,
                account = &*loss.account,
                digest:% = loss.digest,
                standing = standing.name();
                "a target ended with a request"
            );
        }
        self.changed(state);
        self.tell(Facts::new(vec![end], Vec::new(), self.now_ms()));
    }

    /// A target has outlived a run of the request.
    pub fn on_survived_run(&self, digest: RequestDigest) {
        let mut state = self.lock();
        let standing = state
            .quarantine
            .status(digest, self.now_ms(), WallMs::now());
        if standing == QuarantineStatus::Clear {
            return;
        }
        let run = self.runs.fetch_add(1, Ordering::Relaxed);
        let outlived = SurvivedRun {
            digest,
            run: format!("{:016x}/{run}", self.process).into(),
            at_ms: self.now_ms(),
        };
        state.quarantine.on_survived_run(&outlived);
        let hold = state.quarantine.hold(digest).map(|hold| hold.kind);
        if hold == Some(HoldKind::Held) {
            state.quarantine.on_hold(digest, None, self.now_ms());
            self.ask_keeper(Task::Lift(digest));
        }
        log::info!(digest:% = digest, standing = standing.name(); "a target outlived a suspect");
        self.changed(&state);
        drop(state);
        self.tell(Facts::new(Vec::new(), vec![outlived], self.now_ms()));
    }

    /// Takes over facts from a peer or the store.
    pub(crate) fn take_facts(&self, facts: &Facts, source: &'static str) {
        if facts.is_empty() {
            return;
        }
        let mut state = self.lock();
        let mut is_news = false;
        for end in &facts.exits {
            let fresh = state.quarantine.on_exit(end);
            is_news |= !fresh.is_empty();
            log_learnt(source, &end.target, &fresh);
        }
        let outlived = facts.survived_runs.iter();
        let cleared = outlived.filter(|it| state.quarantine.on_survived_run(it));
        let cleared: Vec<RequestDigest> = cleared.map(|it| it.digest).collect();
        state.quarantine.expire_facts(self.now_ms());
        if !cleared.is_empty() {
            let digests = listed(&cleared);
            log::info!(source, runs = cleared.len(), digests = &*digests; "runs learnt that targets outlived");
        }
        if is_news || !cleared.is_empty() {
            self.changed(&state);
        }
    }

    /// Takes over what the store keeps of a request; `None` if it keeps nothing any more.
    pub(crate) fn take_hold(&self, digest: RequestDigest, hold: Option<Hold>) {
        let mut state = self.lock();
        if state.quarantine.hold(digest) == hold.as_ref() {
            return;
        }
        let kind = hold
            .as_ref()
            .map_or("none", |hold| crate::stored::kind_name(hold.kind));
        log::warn!(digest:% = digest, hold = kind; "what is kept of a request has changed");
        state.quarantine.on_hold(digest, hold, self.now_ms());
        self.changed(&state);
    }

    /// How many targets ended with the request.
    pub(crate) fn exits_of(&self, digest: RequestDigest) -> usize {
        self.lock().quarantine.exits_of(digest).count()
    }

    /// A summary of the facts, to be compared with that of a peer.
    #[must_use]
    pub fn summary(&self) -> u64 {
        self.lock().quarantine.summary()
    }

    /// The summary for a peer; `None` while this process may still be about to learn what
    /// others know.
    #[must_use]
    pub fn summary_for_peers(&self) -> Option<u64> {
        (!self.is_uninformed()).then(|| self.summary())
    }

    /// Has all facts exchanged with a peer whose summary differs.
    pub fn on_peer_summary(&self, address: SocketAddr, summary: u64) {
        if summary == self.summary() {
            self.on_peer_told();
        } else {
            self.ask_keeper(Task::Compare(address));
        }
    }

    /// The process follows the store: it waits for what is read there before it serves.
    #[must_use]
    pub fn with_store_follower(self) -> Self {
        locked(&self.informed).follow_store();
        self
    }

    /// The store has told all that it keeps.
    pub(crate) fn on_store_read(&self) {
        self.hear(Informed::on_store_read);
    }

    /// A peer that knows what is held back has told all its facts.
    pub(crate) fn on_peer_told(&self) {
        self.hear(Informed::on_peer_told);
    }

    /// What the store keeps cannot be read at present.
    pub fn on_store_failed(&self) {
        let since_start_ms = self.since_start_ms();
        self.hear(|informed| informed.on_store_failed(since_start_ms));
    }

    fn hear(&self, heard: impl FnOnce(&mut Informed)) {
        if self.is_informed.load(Ordering::Relaxed) {
            return;
        }
        heard(&mut locked(&self.informed));
        if !self.is_uninformed() {
            self.changes.send_modify(|count| *count += 1);
        }
    }

    /// Whether this process may still be about to hear of what is held back. It should get
    /// no requests then.
    #[must_use]
    pub fn is_uninformed(&self) -> bool {
        if self.is_informed.load(Ordering::Relaxed) {
            return false;
        }
        let Some(source) = locked(&self.informed).source(self.since_start_ms()) else {
            return true;
        };
        if !self.is_informed.swap(true, Ordering::Relaxed) {
            log::info!(source; "it is known what is held back");
        }
        false
    }

    /// Forgets what is too old to count.
    pub(crate) fn expire_facts(&self) {
        let mut state = self.lock();
        state.quarantine.expire_facts(self.now_ms());
        state.losses.forget_old(self.now_ms());
        self.changed(&state);
    }

    pub(crate) fn facts(&self) -> Facts {
        self.expire_facts();
        self.lock().quarantine.facts(self.now_ms())
    }

    fn tell(&self, facts: Facts) {
        self.ask_keeper(Task::Tell(facts));
    }

    pub(crate) fn ask_keeper(&self, task: Task) {
        if self.tasks.send(task).is_err() {
            log::debug!("the process ends; peers are not told");
        }
    }
}

fn log_learnt(source: &'static str, target: &str, fresh: &[RequestDigest]) {
    if !fresh.is_empty() {
        let digests = listed(fresh);
        log::info!(source, target, suspects = fresh.len(), digests = &*digests; "suspicions learnt");
    }
}

/// The first digests in one text.
fn listed(digests: &[RequestDigest]) -> String {
    let texts = digests.iter().take(MOST_LISTED).map(ToString::to_string);
    texts.collect::<Vec<_>>().join(" ")
}

/// Locks a state that is only ever held for a few instructions.
pub(crate) fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no holder of this lock panics")
}
