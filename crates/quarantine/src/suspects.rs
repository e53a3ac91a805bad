//! The state of this process: the facts and holds that it knows, and the checks that are pending.

mod sync;

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use berylhook_core::digest::{DigestKind, RequestDigest};
use berylhook_core::quarantine::{
    FACT_TTL_MS, Facts, Hold, HoldKind, Quarantine, QuarantineStatus, RequestFeatures,
    RequestStatus, SurvivedRun, TargetExit,
};
use berylhook_core::time::{MonoMs, WallMs};
use berylhook_target::probe::{self, ProbeOutcome};
use indexmap::IndexSet;
use tokio::sync::{mpsc, watch};
use tokio::time::sleep;

use crate::QuarantineMetrics;
use crate::abandoned_runs::AbandonedRuns;
use crate::clearance::RequestIdentity;
use crate::initial_sync::InitialSync;
use crate::lost_requests::{LostRequests, LostRun, TargetIncarnation, suspects_of};
use crate::probe::{AnyListener, Probe};
use crate::proven_parts::ProvenParts;
use crate::replicator::Task;
use crate::stored_holds::StoredHolds;

/// Maximum number of digests in a log line: about as many requests as a target runs at a time.
const MAX_LOGGED_DIGESTS: usize = 16;

pub(crate) struct State {
    pub(crate) quarantine: Quarantine,
    pub(crate) lost_requests: LostRequests,
    pub(crate) abandoned_runs: AbandonedRuns,
    pub(crate) proven_parts: ProvenParts,
    /// Names of the locks that requests of this process hold or are acquiring.
    pub(crate) locks: IndexSet<Arc<str>>,
}

/// Tracks suspected requests: collects the evidence of this process and of its peers, and answers
/// whether a request may run.
pub struct SuspectTracker {
    /// Random id of this process, used in the names of its runs.
    process_id: u64,
    next_run: AtomicU64,
    state: Mutex<State>,
    started: Instant,
    /// What has been received since the start.
    initial_sync: Mutex<InitialSync>,
    /// Whether the quarantine state has been loaded. Never reset.
    is_synced: AtomicBool,
    /// Whether the store failed to reply to the last request for a lock.
    pub(crate) is_store_unavailable: AtomicBool,
    /// Whether any request is suspected or held, so that digests have to be computed.
    pub(crate) is_active: AtomicBool,
    /// Whether targets must be probed because callers abandoned runs there.
    awaits_probes: AtomicBool,
    /// The holds in the store.
    pub(crate) stored_holds: Mutex<StoredHolds>,
    /// Incremented at each change, to wake up waiting requests.
    pub(crate) changes: watch::Sender<u64>,
    task_sender: mpsc::UnboundedSender<Task>,
    /// `None` once the replicator has taken it.
    pub(crate) task_receiver: Mutex<Option<mpsc::UnboundedReceiver<Task>>>,
    metrics: Arc<dyn QuarantineMetrics>,
}

impl SuspectTracker {
    /// Creates a tracker without any facts.
    #[must_use]
    pub fn new(metrics: Arc<dyn QuarantineMetrics>) -> Self {
        let (task_sender, task_receiver) = mpsc::unbounded_channel();
        Self {
            process_id: rand::random(),
            next_run: AtomicU64::new(0),
            state: Mutex::new(State {
                quarantine: Quarantine::default(),
                lost_requests: LostRequests::default(),
                abandoned_runs: AbandonedRuns::default(),
                proven_parts: ProvenParts::default(),
                locks: IndexSet::new(),
            }),
            started: Instant::now(),
            initial_sync: Mutex::default(),
            is_synced: AtomicBool::new(false),
            is_store_unavailable: AtomicBool::new(false),
            is_active: AtomicBool::new(false),
            awaits_probes: AtomicBool::new(false),
            stored_holds: Mutex::default(),
            changes: watch::Sender::new(0),
            task_sender,
            task_receiver: Mutex::new(Some(task_receiver)),
            metrics,
        }
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        lock_mutex(&self.state)
    }

    /// A clock that starts at [`FACT_TTL_MS`], so that all unexpired facts have a timestamp on it.
    ///
    /// Facts are sent with their age. On a clock that starts at zero with the process, a fact that
    /// is older than the process would get the time zero and look newer than it is, and each
    /// restart would renew it.
    #[must_use]
    pub fn now_ms(&self) -> MonoMs {
        MonoMs(self.uptime_ms()) + FACT_TTL_MS
    }

    fn uptime_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    pub(crate) fn publish_change(&self, state: &State) {
        let is_active = !state.quarantine.is_empty() || !state.lost_requests.is_empty();
        self.is_active.store(is_active, Ordering::Relaxed);
        let (suspected, held) = state.quarantine.counts(self.now_ms(), WallMs::now());
        self.metrics.set_request_counts(suspected, held);
        self.changes.send_modify(|count| *count += 1);
    }

    /// Whether any request is suspected or held, so that digests have to be computed.
    pub fn is_active(&self) -> bool {
        self.is_active.load(Ordering::Relaxed)
    }

    /// The status of the request at this time, and its restricted features.
    pub(crate) fn status(&self, request: &impl RequestIdentity) -> RequestStatus {
        let features = RequestFeatures {
            digest: request.digest(),
            parts: request.shared_parts(),
        };
        self.lock().quarantine.request_status(
            features,
            request.exit_stops_group(),
            self.now_ms(),
            WallMs::now(),
        )
    }

    /// The restricted feature of the request that a log line names, the strictest first; a dash if
    /// there is none.
    pub fn restricted_feature(&self, request: &impl RequestIdentity) -> String {
        let restricted = self.status(request).restricted;
        let strictest = restricted.first();
        strictest.map_or_else(|| "-".to_owned(), RequestDigest::name)
    }

    /// Reports a send that lost its response.
    ///
    /// A connection to the target shows whether it has exited; until this is known the request is
    /// not sent again. Any listener at the address is assumed to be the target.
    pub fn on_lost_response(
        self: &Arc<Self>,
        incarnation: &TargetIncarnation,
        run: impl Into<LostRun>,
    ) {
        self.on_lost_response_with_probe(
            incarnation,
            run,
            Arc::new(AnyListener(incarnation.address)),
        );
    }

    /// Like [`Self::on_lost_response`], for a target that can be asked for its identity.
    pub fn on_lost_response_with_probe(
        self: &Arc<Self>,
        incarnation: &TargetIncarnation,
        run: impl Into<LostRun>,
        probe: Arc<dyn Probe>,
    ) {
        let run = run.into();
        let mut state = self.lock();
        if state.quarantine.has_exited(&incarnation.target) {
            self.record_exit(&mut state, &incarnation.target, &[run]);
            return;
        }
        let needs_probe = state.lost_requests.add(incarnation, run);
        self.publish_change(&state);
        drop(state);
        if needs_probe {
            let tracker = Arc::clone(self);
            let incarnation = incarnation.clone();
            tokio::spawn(async move {
                let has_exited = probe::has_exited(incarnation.address).await
                    || matches!(
                        probe.probe().await,
                        ProbeOutcome::Refused | ProbeOutcome::OtherIncarnation
                    );
                tracker.on_exit_check(&incarnation.target, has_exited);
            });
        }
    }

    /// Reports a run whose caller disconnected, or that was given up.
    ///
    /// The target may still exit because of the run, so it is probed until it has survived the run.
    /// Any listener at the address is assumed to be the target.
    pub fn on_abandoned_run(
        self: &Arc<Self>,
        incarnation: &TargetIncarnation,
        run: impl Into<LostRun>,
    ) {
        self.on_abandoned_run_with_probe(
            incarnation,
            run,
            Arc::new(AnyListener(incarnation.address)),
        );
    }

    /// Like [`Self::on_abandoned_run`], for a target that can be asked for its identity.
    pub fn on_abandoned_run_with_probe(
        self: &Arc<Self>,
        incarnation: &TargetIncarnation,
        run: impl Into<LostRun>,
        probe: Arc<dyn Probe>,
    ) {
        let is_new = self
            .lock()
            .abandoned_runs
            .add(incarnation, run.into(), self.now_ms());
        self.awaits_probes.store(true, Ordering::Relaxed);
        let Ok(runtime) = tokio::runtime::Handle::try_current() else {
            return;
        };
        if is_new {
            runtime.spawn(Arc::clone(self).probe_until_resolved(incarnation.clone(), probe));
        }
    }

    /// Probes a target until it has survived its abandoned runs, or is found to have exited.
    async fn probe_until_resolved(
        self: Arc<Self>,
        incarnation: TargetIncarnation,
        probe: Arc<dyn Probe>,
    ) {
        while let Some(wait) = self.next_probe_delay(&incarnation.target) {
            if !wait.is_zero() {
                // Other sends may show in the meantime that the target is alive, which makes the
                // probe unnecessary.
                sleep(wait).await;
                continue;
            }
            let requested_ms = self.now_ms();
            match probe.probe().await {
                ProbeOutcome::Accepted => {
                    self.on_connection_accepted(&incarnation.target, requested_ms);
                }
                ProbeOutcome::Refused | ProbeOutcome::OtherIncarnation => {
                    self.on_connection_refused(&incarnation.target);
                }
                // No request is blamed for a VM that is unreachable or has lost its power.
                ProbeOutcome::NoResponse => {
                    self.lock().abandoned_runs.take_target(&incarnation.target);
                }
            }
        }
        let state = self.lock();
        self.awaits_probes
            .store(!state.abandoned_runs.is_empty(), Ordering::Relaxed);
        // Wakes up the tasks that release locks once the pending checks are done.
        self.publish_change(&state);
    }

    fn next_probe_delay(&self, target: &str) -> Option<Duration> {
        let due_ms = self.lock().abandoned_runs.next_probe_ms(target)?;
        Some(Duration::from_millis(due_ms.since(self.now_ms())))
    }

    /// Whether accepted connections have to be reported to [`Self::on_connection_accepted`].
    #[must_use]
    pub fn awaits_probes(&self) -> bool {
        self.awaits_probes.load(Ordering::Relaxed)
    }

    /// Reports that a target accepted a connection that was requested at `requested_ms` of this
    /// clock.
    pub fn on_connection_accepted(&self, target: &str, requested_ms: MonoMs) {
        self.lock()
            .abandoned_runs
            .on_connection_accepted(target, requested_ms);
    }

    /// Reports that a target has exited during these runs.
    pub fn on_target_exit<R>(&self, target: &Arc<str>, lost_runs: &[R])
    where
        R: Clone + Into<LostRun>,
    {
        let lost_runs: Vec<LostRun> = lost_runs.iter().cloned().map(Into::into).collect();
        self.record_exit(&mut self.lock(), target, &lost_runs);
    }

    /// Reports that a connection to a target was refused, so that the target has exited.
    pub fn on_connection_refused(&self, target: &Arc<str>) {
        let mut state = self.lock();
        let mut lost_runs = state.lost_requests.take_target(target);
        lost_runs.extend(state.abandoned_runs.take_target(target));
        self.record_exit(&mut state, target, &lost_runs);
    }

    fn on_exit_check(&self, target: &Arc<str>, has_exited: bool) {
        let mut state = self.lock();
        if has_exited {
            // A refused connection may have been reported before, which already removed these
            // requests.
            let mut lost_runs = state.lost_requests.take_target(target);
            lost_runs.extend(state.abandoned_runs.take_target(target));
            self.record_exit(&mut state, target, &lost_runs);
        } else {
            state.lost_requests.on_no_exit_found(target, self.now_ms());
            self.publish_change(&state);
        }
    }

    /// Applies the list of targets that may receive requests. A later incarnation at the address of
    /// a target that lost responses proves that the previous incarnation has exited.
    pub fn on_target_list(&self, listed: impl Iterator<Item = TargetIncarnation>) {
        let mut state = self.lock();
        if state.lost_requests.is_empty() {
            return;
        }
        let listed: Vec<TargetIncarnation> = listed.collect();
        for (target, lost_runs) in state.lost_requests.take_superseded(&listed) {
            self.record_exit(&mut state, &target, &lost_runs);
        }
        self.publish_change(&state);
    }

    fn record_exit(&self, state: &mut State, target: &Arc<str>, lost_runs: &[LostRun]) {
        if lost_runs.is_empty() {
            return;
        }
        let exit = TargetExit {
            target: Arc::clone(target),
            at_ms: self.now_ms(),
            suspects: suspects_of(lost_runs),
        };
        let new_suspects = state.quarantine.on_exit(&exit);
        let new_requests = new_suspects
            .iter()
            .filter(|digest| digest.kind() == DigestKind::Content);
        self.metrics.add_requests_at_exit(new_requests.count());
        let earlier_runs = self.earlier_survived_runs(state, &new_suspects);
        for survived in &earlier_runs {
            state.quarantine.on_survived_run(survived);
        }
        for run in lost_runs {
            let request = &run.request;
            let status = state
                .quarantine
                .status(request.digest, self.now_ms(), WallMs::now());
            log::warn!(
                target = &**target,
                request = &*request.attempt_id,
                account = &*request.account,
                digest:% = request.digest,
                parts:% = run.shared_parts,
                may_have_begun = run.may_have_begun,
                standing = status.name();
                "a target ended with a request"
            );
        }
        self.log_restricted_parts(state, &exit);
        self.publish_change(state);
        self.send_facts(Facts::new(vec![exit], earlier_runs, self.now_ms()));
    }

    /// Reports that a target has survived a run of the request.
    pub fn on_survived_run(&self, digest: RequestDigest) {
        let mut state = self.lock();
        let status = state
            .quarantine
            .status(digest, self.now_ms(), WallMs::now());
        if status == QuarantineStatus::Clear {
            return;
        }
        let survived = self.survived_run(digest, self.now_ms());
        state.quarantine.on_survived_run(&survived);
        self.end_hold(&mut state, digest);
        log::info!(digest = &*digest.name(), standing = status.name(); "target survived a run of a suspect");
        self.publish_change(&state);
        drop(state);
        self.send_facts(Facts::new(Vec::new(), vec![survived], self.now_ms()));
    }

    /// A run of the request or part that a target survived, under a name of its own.
    pub(crate) fn survived_run(&self, digest: RequestDigest, at_ms: MonoMs) -> SurvivedRun {
        let run = self.next_run.fetch_add(1, Ordering::Relaxed);
        SurvivedRun {
            digest,
            run: format!("{:016x}/{run}", self.process_id).into(),
            at_ms,
        }
    }

    /// Ends a hold whose trial succeeded. Only an operator ends a pinned one.
    pub(crate) fn end_hold(&self, state: &mut State, digest: RequestDigest) {
        let hold = state.quarantine.hold(digest).map(|hold| hold.kind);
        if hold == Some(HoldKind::Held) {
            state.quarantine.on_hold(digest, None, self.now_ms());
            self.send_task(Task::RemoveHold(digest));
        }
    }

    /// Applies facts from a peer or from the store.
    pub(crate) fn apply_facts(&self, facts: &Facts, source: &'static str) {
        if facts.is_empty() {
            return;
        }
        let mut state = self.lock();
        let mut all_new_suspects = Vec::new();
        for exit in &facts.exits {
            let new_suspects = state.quarantine.on_exit(exit);
            log_new_suspects(source, &exit.target, &new_suspects);
            all_new_suspects.extend(new_suspects);
        }
        let is_new = !all_new_suspects.is_empty();
        let survived_runs = facts.survived_runs.iter();
        let cleared_runs =
            survived_runs.filter(|survived| state.quarantine.on_survived_run(survived));
        let cleared_digests: Vec<RequestDigest> =
            cleared_runs.map(|survived| survived.digest).collect();
        state.quarantine.expire_facts(self.now_ms());
        if !cleared_digests.is_empty() {
            let digests = format_digests(&cleared_digests);
            log::info!(source, runs = cleared_digests.len(), digests = &*digests; "received survived runs");
        }
        if is_new || !cleared_digests.is_empty() {
            self.publish_change(&state);
        }
        self.request_earlier_survived_runs(&state, all_new_suspects);
    }

    /// Applies the stored hold of a request; `None` if the store no longer has one.
    pub(crate) fn apply_hold(&self, digest: RequestDigest, hold: Option<Hold>) {
        let mut state = self.lock();
        if state.quarantine.hold(digest) == hold.as_ref() {
            return;
        }
        let kind = hold
            .as_ref()
            .map_or("none", |hold| crate::stored::kind_name(hold.kind));
        log::warn!(digest = &*digest.name(), hold = kind; "hold of a request changed");
        state.quarantine.on_hold(digest, hold, self.now_ms());
        self.publish_change(&state);
    }

    /// The number of targets that exited while running the request.
    pub(crate) fn exit_count(&self, digest: RequestDigest) -> usize {
        self.lock().quarantine.exits_of(digest).count()
    }

    /// Removes expired facts and lost requests.
    pub(crate) fn expire_facts(&self) {
        let mut state = self.lock();
        state.quarantine.expire_facts(self.now_ms());
        state.lost_requests.expire(self.now_ms());
        self.publish_change(&state);
    }

    pub(crate) fn facts(&self) -> Facts {
        self.expire_facts();
        self.lock().quarantine.facts(self.now_ms())
    }

    pub(crate) fn send_facts(&self, facts: Facts) {
        self.send_task(Task::SendFacts(facts));
    }

    pub(crate) fn send_task(&self, task: Task) {
        if self.task_sender.send(task).is_err() {
            log::debug!("process is exiting; task for the replicator dropped");
        }
    }
}

fn log_new_suspects(source: &'static str, target: &str, new_suspects: &[RequestDigest]) {
    if !new_suspects.is_empty() {
        let digests = format_digests(new_suspects);
        log::info!(source, target, suspects = new_suspects.len(), digests = &*digests; "suspicions learnt");
    }
}

/// Joins the first digests for a log line.
fn format_digests(digests: &[RequestDigest]) -> String {
    let texts = digests
        .iter()
        .take(MAX_LOGGED_DIGESTS)
        .map(RequestDigest::name);
    texts.collect::<Vec<_>>().join(" ")
}

/// Locks a mutex that is only held for a few instructions at a time.
pub(crate) fn lock_mutex<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no holder of this lock panics")
}
