//! What a request needs before it may be sent to a target.
//!
//! Every code path that sends a request to a target calls [`SuspectTracker::acquire_clearance`]
//! immediately before the connection, so that facts which were received while the request waited,
//! ran or was interrupted count as well. A suspect acquires a lock there that is valid for all
//! processes, and may have to wait for it.
//!
//! The locks are keys with a lease in the platform's store, so a process that dies while it holds
//! one blocks other processes no longer than the remaining time of its request. A request waits for
//! a lock whose acquisition is in progress. Once the store has failed, this process allows
//! one run of each suspect at a time, and does not run requests on trial.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use berylhook_core::digest::RequestDigest;
use berylhook_core::prompt::PromptPart;
use berylhook_core::quarantine::{QuarantineStatus, RequestStatus};
use berylhook_platform::store::Lease;
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::replicator::{LockReply, Task};
use crate::suspects::SuspectTracker;

/// Interval at which a request that waits for the end of another run polls its status.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Time by which the lease of a lock exceeds the request's remaining time, so that the outcome of
/// the run is reported before the lock expires.
const LOCK_LEASE_MARGIN: Duration = Duration::from_secs(1);

/// Maximum time to wait for the result of exit checks before a lock is released.
///
/// The target of an abandoned run is probed for a second.
const EXIT_CHECK_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Fraction of the time for its response that a request waits for something that ends by itself:
/// the reply of a slow store to its request for a lock, or a pending exit check. The rest suffices
/// for an attempt at a second target.
const PENDING_WAIT_FRACTION: f64 = 0.3;

/// Retry delay while another run of the suspect is in progress: about the duration of a run.
const BUSY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Retry delay for a caller of a process that has not loaded the quarantine state yet. Other
/// processes have loaded it, and this one usually has within milliseconds.
const UNINFORMED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Retry delay if a lock is needed and the store does not reply. Outages last for seconds.
const STORE_UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_secs(5);

/// The rejection of a request because targets exit while running it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuarantineRejection {
    /// Time after which a retry may succeed; `None` if an operator has to lift the hold first.
    pub retry_after: Option<Duration>,
    /// The reason, for log lines.
    pub reason: &'static str,
}

impl QuarantineRejection {
    /// The request reached its wait limit before it acquired its lock.
    pub const OUT_OF_TIME: Self = Self {
        retry_after: Some(BUSY_RETRY_AFTER),
        reason: "out-of-time",
    };
}

/// How long a request may wait.
#[derive(Clone, Copy, Debug)]
pub struct WaitLimits {
    /// Maximum time to wait for the lock of a suspect.
    pub lock_wait: Duration,
    /// Maximum time until the response is complete, for which the lock is needed.
    pub response_wait: Duration,
}

impl WaitLimits {
    /// Maximum time to wait for something that ends by itself.
    ///
    /// The check of a running target takes 100 ms and a health check, that of an unreachable one
    /// twice the connect timeout of 250 ms. Limited by `lock_wait`, requests with a short latency
    /// objective would always be rejected.
    fn pending_wait(self) -> Duration {
        let pending_wait = self.response_wait.mul_f64(PENDING_WAIT_FRACTION);
        self.lock_wait.max(pending_wait)
    }
}

/// The properties of a request that the quarantine needs. The digest is requested only if any
/// request is suspected or held.
pub trait RequestIdentity {
    /// The digest of the request's content.
    fn digest(&self) -> RequestDigest;

    /// The service that the request is sent to.
    fn service(&self) -> &Arc<str>;

    /// The parts of the request's prompt that other requests may have as well.
    fn shared_parts(&self) -> &[PromptPart] {
        &[]
    }

    /// Whether the exit of one of the service's targets stops a whole group.
    fn exit_stops_group(&self) -> bool {
        false
    }
}

/// The runs that a lock excludes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum LockScope {
    /// Other runs with the same suspected features.
    Features,
    /// Those, and runs of other requests on trial in the service.
    Service,
}

/// The locks that a request has to hold, all of them or none.
#[derive(Clone, Debug, PartialEq, Eq)]
struct RequiredLocks {
    scope: LockScope,
    names: Vec<Arc<str>>,
}

impl RequiredLocks {
    /// The locks for a request with these restricted features.
    ///
    /// A process that has not received the latest exit of a request on trial still runs it as a
    /// suspect, so a trial acquires the locks of the features as well.
    fn new(scope: LockScope, restricted: &[RequestDigest], service: &str) -> Self {
        let mut names: Vec<Arc<str>> = restricted.iter().map(feature_lock).collect();
        if scope == LockScope::Service {
            names.push(format!("service/{service}").into());
        }
        Self { scope, names }
    }
}

/// The name of the lock for runs with this feature.
fn feature_lock(feature: &RequestDigest) -> Arc<str> {
    format!("request/{feature}").into()
}

/// A lock over all processes, or over this process only while the store does not reply.
struct RunLock {
    tracker: Arc<SuspectTracker>,
    digest: RequestDigest,
    names: Vec<Arc<str>>,
    /// The lease of the lock; `None` if it is not in the store.
    lease: Option<Lease>,
}

impl RunLock {
    /// Whether no other run with this feature is in progress in any process.
    fn excludes(&self, feature: &RequestDigest) -> bool {
        self.lease.is_some() && self.names.contains(&feature_lock(feature))
    }
}

impl Drop for RunLock {
    // A request is dropped as soon as its caller disconnects. The next run must not start before
    // the outcome of this one is known and reported.
    fn drop(&mut self) {
        let tracker = Arc::clone(&self.tracker);
        let (digest, lease) = (self.digest, self.lease);
        let names = std::mem::take(&mut self.names);
        let Ok(runtime) = tokio::runtime::Handle::try_current() else {
            return;
        };
        runtime.spawn(async move {
            let exit_checks_done = tracker.exit_checks_done(digest);
            if timeout(EXIT_CHECK_TIMEOUT, exit_checks_done).await.is_err() {
                log::warn!(digest:% = digest; "exit check did not finish in time; releasing the lock");
            }
            if let Some(lease) = lease {
                tracker.send_task(Task::Unlock { lease });
            }
            let mut state = tracker.lock();
            for name in &names {
                state.locks.swap_remove(name);
            }
            tracker.publish_change(&state);
        });
    }
}

/// Permission to run a request, which holds the lock of a suspect until it is dropped.
#[derive(Default)]
pub struct RunClearance(Option<RunLock>);

impl RunClearance {
    /// Whether the request runs as a suspect and no other run of it is in progress in any process.
    ///
    /// A lock of this process only, without the store, does not exclude runs in other processes.
    /// Otherwise each run of a request that many callers send would seem to be the only one, and
    /// simultaneous exits that a poison request causes would each count against it.
    #[must_use]
    pub fn runs_alone(&self) -> bool {
        let run_lock = self.0.as_ref();
        run_lock.is_some_and(|run_lock| run_lock.excludes(&run_lock.digest))
    }

    /// Whether the request runs as a suspect, so that only one run of it may be in progress.
    #[must_use]
    pub fn is_exclusive(&self) -> bool {
        self.0.is_some()
    }

    /// Those of the parts of which no other run is in progress in any process.
    #[must_use]
    pub fn parts_alone(&self, parts: &[PromptPart]) -> Vec<PromptPart> {
        let Some(run_lock) = &self.0 else {
            return Vec::new();
        };
        let parts = parts.iter().copied();
        parts
            .filter(|part| run_lock.excludes(&RequestDigest::of_part(*part)))
            .collect()
    }

    fn covers(&self, required: &RequiredLocks) -> bool {
        self.0.as_ref().is_some_and(|run_lock| {
            let mut names = required.names.iter();
            names.all(|name| run_lock.names.contains(name))
        })
    }
}

enum Requirement {
    Nothing,
    Lock(RequiredLocks),
    /// The quarantine state, which this process has not loaded yet.
    InitialSync,
    /// The result of a pending exit check.
    ExitCheck,
    Rejection(QuarantineRejection),
}

impl SuspectTracker {
    /// The reason why the request cannot be sent at present, if waiting does not help.
    pub fn rejection(&self, request: &impl RequestIdentity) -> Option<QuarantineRejection> {
        match self.requirement(request, &RunClearance::default()) {
            Requirement::Rejection(rejection) => Some(rejection),
            Requirement::Nothing
            | Requirement::Lock(_)
            | Requirement::InitialSync
            | Requirement::ExitCheck => None,
        }
    }

    /// Acquires what a request needs to be sent, and waits for the lock of a suspect or for a
    /// pending exit check if necessary. The request may be sent if there is no await point between
    /// this call and the send.
    ///
    /// # Errors
    ///
    /// If the request may not be sent at present.
    pub async fn acquire_clearance(
        self: &Arc<Self>,
        request: &impl RequestIdentity,
        clearance: &mut RunClearance,
        limits: WaitLimits,
    ) -> Result<(), QuarantineRejection> {
        let started = Instant::now();
        let mut changes = self.changes.subscribe();
        loop {
            changes.borrow_and_update();
            let (wait_limit, rejection) = match self.requirement(request, clearance) {
                Requirement::Nothing => return Ok(()),
                Requirement::Rejection(rejection) => return Err(rejection),
                Requirement::InitialSync => (limits.lock_wait, UNINFORMED),
                Requirement::ExitCheck => (limits.pending_wait(), EXIT_CHECK_PENDING),
                Requirement::Lock(required) => {
                    // The old lock is released first: a request never holds two locks, so requests
                    // cannot wait for each other's locks.
                    *clearance = RunClearance::default();
                    *clearance = self.acquire_lock(request, &required, limits).await?;
                    if clearance.covers(&required) {
                        continue;
                    }
                    (limits.lock_wait, RUNS_ELSEWHERE)
                }
            };
            let Some(remaining) = wait_limit.checked_sub(started.elapsed()) else {
                return Err(rejection);
            };
            // After the time-out the status is checked again, as after a change.
            let _ = timeout(remaining.min(POLL_INTERVAL), changes.changed()).await;
        }
    }

    fn requirement(&self, request: &impl RequestIdentity, clearance: &RunClearance) -> Requirement {
        if self.is_uninformed() {
            return Requirement::InitialSync;
        }
        if !self.is_active.load(Ordering::Relaxed) {
            return Requirement::Nothing;
        }
        let digest = request.digest();
        if self.lock().lost_requests.is_pending(digest) {
            return Requirement::ExitCheck;
        }
        let RequestStatus { status, restricted } = self.status(request);
        let scope = match status {
            QuarantineStatus::Clear => return Requirement::Nothing,
            QuarantineStatus::Suspect => LockScope::Features,
            QuarantineStatus::OnTrial => LockScope::Service,
            QuarantineStatus::Held { retry_after_ms } => {
                return Requirement::Rejection(QuarantineRejection {
                    retry_after: retry_after_ms.map(Duration::from_millis),
                    reason: "held",
                });
            }
        };
        let required = RequiredLocks::new(scope, &restricted, request.service());
        if clearance.covers(&required) {
            Requirement::Nothing
        } else {
            Requirement::Lock(required)
        }
    }

    /// Acquires a lock; returns an empty clearance if another run holds it.
    async fn acquire_lock(
        self: &Arc<Self>,
        request: &impl RequestIdentity,
        required: &RequiredLocks,
        limits: WaitLimits,
    ) -> Result<RunClearance, QuarantineRejection> {
        let digest = request.digest();
        let RequiredLocks { scope, names } = required.clone();
        if !self.reserve_lock_names(&names) {
            return Ok(RunClearance::default());
        }
        let mut run_lock = RunLock {
            tracker: Arc::clone(self),
            digest,
            names: names.clone(),
            lease: None,
        };
        let (reply_sender, reply) = oneshot::channel();
        self.send_task(Task::Lock {
            names,
            ttl: limits.response_wait + LOCK_LEASE_MARGIN,
            reply_sender,
        });
        let is_store_unavailable = self.is_store_unavailable.load(Ordering::Relaxed);
        let wait = if is_store_unavailable {
            limits.lock_wait.max(POLL_INTERVAL)
        } else {
            limits.pending_wait()
        };
        // A dropped sender means that the replicator is gone, and with it the access to the store.
        let reply = timeout(wait, reply).await;
        let reply = reply.map(|reply| reply.unwrap_or(LockReply::StoreUnavailable));
        match (reply, scope) {
            (Ok(LockReply::Granted { lease }), _) => {
                run_lock.lease = Some(lease);
                let lock = run_lock.names.last().map_or("-", |name| &**name);
                log::info!(digest:% = digest, lock; "a suspect runs alone");
                Ok(RunClearance(Some(run_lock)))
            }
            (Ok(LockReply::Taken), _) => Ok(RunClearance::default()),
            (Err(_), _) if !is_store_unavailable => Err(LOCK_LATE),
            (Ok(LockReply::StoreUnavailable) | Err(_), LockScope::Features) => {
                Ok(RunClearance(Some(run_lock)))
            }
            (Ok(LockReply::StoreUnavailable) | Err(_), LockScope::Service) => Err(NO_LOCK),
        }
    }

    /// Reserves these locks among the requests of this process; returns `false` if one of them is
    /// taken.
    fn reserve_lock_names(&self, names: &[Arc<str>]) -> bool {
        let mut state = self.lock();
        let is_free = names.iter().all(|name| !state.locks.contains(name));
        if is_free {
            state.locks.extend(names.iter().cloned());
        }
        is_free
    }

    fn has_pending_exit_check(&self, digest: RequestDigest) -> bool {
        let state = self.lock();
        state.lost_requests.is_pending(digest) || state.abandoned_runs.awaits_probe(digest)
    }

    /// Waits until it is known whether the targets of the request's previous runs have exited.
    async fn exit_checks_done(&self, digest: RequestDigest) {
        let mut changes = self.changes.subscribe();
        while self.has_pending_exit_check(digest) {
            if changes.changed().await.is_err() {
                return;
            }
        }
    }
}

const UNINFORMED: QuarantineRejection = QuarantineRejection {
    retry_after: Some(UNINFORMED_RETRY_AFTER),
    reason: "uninformed",
};

const NO_LOCK: QuarantineRejection = QuarantineRejection {
    retry_after: Some(STORE_UNAVAILABLE_RETRY_AFTER),
    reason: "no-lock",
};

const LOCK_LATE: QuarantineRejection = QuarantineRejection {
    retry_after: Some(BUSY_RETRY_AFTER),
    reason: "lock-late",
};

const EXIT_CHECK_PENDING: QuarantineRejection = QuarantineRejection {
    retry_after: Some(BUSY_RETRY_AFTER),
    reason: "exit-check",
};

const RUNS_ELSEWHERE: QuarantineRejection = QuarantineRejection {
    retry_after: Some(BUSY_RETRY_AFTER),
    reason: "runs-elsewhere",
};
