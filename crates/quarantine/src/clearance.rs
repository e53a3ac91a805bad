//! What a request needs before it may be sent to a target.
//!
//! Each way to a target leads through [`SuspectTracker::acquire_clearance`], at the last moment before the
//! connection: what was learnt while a request waited, ran or was cut counts too. A suspect
//! gets a lock over all processes there, for which it may have to wait.
//!
//! The locks are keys with a lease in the platform's store, so a process that dies with one
//! blocks nobody for longer than its request had left. A lock that is on its way is waited
//! for. Once the store has failed, a suspect runs once at a time in this process, and one on
//! trial does not run.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use berylhook_core::digest::RequestDigest;
use berylhook_core::quarantine::QuarantineStatus;
use berylhook_platform::store::Lease;
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::replicator::{LockAnswer, Task};
use crate::suspects::SuspectTracker;

/// Time between two looks of a request that waits for another run to end.
const LOOK_EVERY: Duration = Duration::from_millis(100);

/// Kept beyond a request's time by the lease of its lock: the run's end is told first.
const LEASE_MARGIN: Duration = Duration::from_secs(1);

/// Longest wait until it is known whether a target has ended, before a lock is given back.
///
/// The target of a run whose caller left is looked at for a second.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);

/// Part of the time for its answer that a request waits for a lock of a slow store: a second
/// target may be asked in the rest.
const LOCK_SHARE: f64 = 0.3;

/// When to come back while another run of a suspect goes on: about the time that it takes.
const BUSY_BACK: Duration = Duration::from_secs(1);

/// When to come back to a process that has not read yet what is held back: another one knows,
/// and this one mostly does within milliseconds.
const UNINFORMED_BACK: Duration = Duration::from_secs(1);

/// When to come back where a lock is needed and the store does not answer. Outages last
/// for seconds.
const AWAY_BACK: Duration = Duration::from_secs(5);

/// A request is not sent because targets end under it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuarantineRejection {
    /// When coming back can help; `None` if an operator has to lift it first.
    pub retry_after: Option<Duration>,
    /// Why, for the logs.
    pub reason: &'static str,
}

impl QuarantineRejection {
    /// It has waited for its turn until its time was over.
    pub const OUT_OF_TIME: Self = Self {
        retry_after: Some(BUSY_BACK),
        reason: "out-of-time",
    };
}

/// How long a request may wait.
#[derive(Clone, Copy, Debug)]
pub struct WaitLimits {
    /// For its turn, if it is suspected.
    pub lock_wait: Duration,
    /// For its whole answer, for which its lock is needed.
    pub response_wait: Duration,
}

/// What a request has to show. It is asked for its digest only where anything is suspected.
pub trait RequestIdentity {
    /// The digest of its content.
    fn digest(&self) -> RequestDigest;

    /// The service it goes to.
    fn service(&self) -> &Arc<str>;

    /// Whether the end of one of its targets stops a whole group.
    fn exit_stops_group(&self) -> bool {
        false
    }
}

/// How much else a lock keeps from running.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Scope {
    /// Other runs of the same request.
    Request,
    /// Those too, and other requests of the service that are on trial.
    Service,
}

impl Scope {
    /// The names under which a request is locked.
    ///
    /// A request on trial may still run as a suspect, for a process that has not heard of its
    /// last end, so its trial is locked under both names, all or none.
    fn names(self, asking: &impl RequestIdentity) -> Vec<Arc<str>> {
        let request: Arc<str> = format!("request/{}", asking.digest()).into();
        match self {
            Self::Request => vec![request],
            Self::Service => vec![request, format!("service/{}", asking.service()).into()],
        }
    }
}

/// A lock over all processes, or over this one while the store does not answer.
struct Permit {
    suspects: Arc<SuspectTracker>,
    digest: RequestDigest,
    scope: Scope,
    names: Vec<Arc<str>>,
    /// The lease that holds it; `None` without the store.
    lease: Option<Lease>,
}

impl Drop for Permit {
    // Requests are dropped wherever their callers leave them. The next run must not begin
    // before it is known and told how this one ended.
    fn drop(&mut self) {
        let suspects = Arc::clone(&self.suspects);
        let (digest, lease) = (self.digest, self.lease);
        let names = std::mem::take(&mut self.names);
        let Ok(runtime) = tokio::runtime::Handle::try_current() else {
            return;
        };
        runtime.spawn(async move {
            let settled = suspects.settled(digest);
            if timeout(SETTLE_TIME, settled).await.is_err() {
                log::warn!(digest:% = digest; "it is not known in time whether a target ended");
            }
            if let Some(lease) = lease {
                suspects.ask_keeper(Task::Unlock { lease });
            }
            let mut state = suspects.lock();
            for name in &names {
                state.locks.swap_remove(name);
            }
            suspects.changed(&state);
        });
    }
}

/// What a request has got; it is given back with it.
#[derive(Default)]
pub struct RunClearance(Option<Permit>);

impl RunClearance {
    /// Whether no other run of this request goes on in any process, as a suspect.
    ///
    /// A lock of this process alone, without the store, says nothing of the others: runs of
    /// a request that all callers send would each seem to be the only one, and the ends
    /// that a guilty one brings about together would be laid to it one by one.
    #[must_use]
    pub fn runs_alone(&self) -> bool {
        let permit = self.0.as_ref();
        permit.is_some_and(|permit| permit.lease.is_some())
    }

    fn suffices(&self, needed: Scope) -> bool {
        self.0.as_ref().is_some_and(|permit| permit.scope >= needed)
    }
}

enum Need {
    Nothing,
    Lock(Scope),
    /// The end of another run, or certainty about the last.
    Patience,
    Refusal(QuarantineRejection),
}

impl SuspectTracker {
    /// Why the request cannot be sent at present, if no waiting helps.
    pub fn rejection(&self, asking: &impl RequestIdentity) -> Option<QuarantineRejection> {
        match self.need(asking, &RunClearance::default()) {
            Need::Refusal(held) => Some(held),
            Need::Nothing | Need::Lock(_) | Need::Patience => None,
        }
    }

    /// Gets what a request needs to be sent, waiting for its turn where it has to. It may
    /// be sent as long as nothing is awaited after this.
    ///
    /// # Errors
    ///
    /// If the request may not be sent at present.
    pub async fn acquire_clearance(
        self: &Arc<Self>,
        asking: &impl RequestIdentity,
        clearance: &mut RunClearance,
        patience: WaitLimits,
    ) -> Result<(), QuarantineRejection> {
        let began = Instant::now();
        let mut changes = self.changes.subscribe();
        loop {
            changes.borrow_and_update();
            match self.need(asking, clearance) {
                Need::Nothing => return Ok(()),
                Need::Refusal(held) => return Err(held),
                Need::Patience => {}
                Need::Lock(scope) => {
                    // One request never holds two locks, so none waits for another's.
                    *clearance = RunClearance::default();
                    *clearance = self.permit(asking, scope, patience).await?;
                    if clearance.suffices(scope) {
                        continue;
                    }
                }
            }
            let Some(left) = patience.lock_wait.checked_sub(began.elapsed()) else {
                return Err(if self.is_uninformed() {
                    UNINFORMED
                } else {
                    BUSY
                });
            };
            // Running out of time is a reason to look again.
            let _ = timeout(left.min(LOOK_EVERY), changes.changed()).await;
        }
    }

    fn need(&self, asking: &impl RequestIdentity, clearance: &RunClearance) -> Need {
        if self.is_uninformed() {
            return Need::Patience;
        }
        if !self.is_active.load(Ordering::Relaxed) {
            return Need::Nothing;
        }
        let digest = asking.digest();
        if self.lock().losses.is_unsettled(digest) {
            return Need::Patience;
        }
        let scope = match self.standing(digest, asking.exit_stops_group()) {
            QuarantineStatus::Clear => return Need::Nothing,
            QuarantineStatus::Suspect => Scope::Request,
            QuarantineStatus::OnTrial => Scope::Service,
            QuarantineStatus::Held { retry_after_ms } => {
                return Need::Refusal(QuarantineRejection {
                    retry_after: retry_after_ms.map(Duration::from_millis),
                    reason: "held",
                });
            }
        };
        if clearance.suffices(scope) {
            Need::Nothing
        } else {
            Need::Lock(scope)
        }
    }

    /// Asks for a lock; an empty clearance if another run has it.
    async fn permit(
        self: &Arc<Self>,
        asking: &impl RequestIdentity,
        scope: Scope,
        patience: WaitLimits,
    ) -> Result<RunClearance, QuarantineRejection> {
        let digest = asking.digest();
        let names = scope.names(asking);
        if !self.reserve(&names) {
            return Ok(RunClearance::default());
        }
        let mut permit = Permit {
            suspects: Arc::clone(self),
            digest,
            scope,
            names: names.clone(),
            lease: None,
        };
        let (answer, answered) = oneshot::channel();
        self.ask_keeper(Task::Lock {
            names,
            ttl: patience.response_wait + LEASE_MARGIN,
            answer,
        });
        let is_away = self.is_store_away.load(Ordering::Relaxed);
        let wait = if is_away {
            patience.lock_wait.max(LOOK_EVERY)
        } else {
            patience
                .lock_wait
                .max(patience.response_wait.mul_f64(LOCK_SHARE))
        };
        // A keeper that is gone can reach the store no more.
        let answered = timeout(wait, answered).await;
        let answered = answered.map(|answer| answer.unwrap_or(LockAnswer::Away));
        match (answered, scope) {
            (Ok(LockAnswer::Granted { lease }), _) => {
                permit.lease = Some(lease);
                let lock = permit.names.last().map_or("-", |name| &**name);
                log::info!(digest:% = digest, lock; "a suspect runs alone");
                Ok(RunClearance(Some(permit)))
            }
            (Ok(LockAnswer::Taken), _) => Ok(RunClearance::default()),
            (Err(_), _) if !is_away => Err(LATE),
            (Ok(LockAnswer::Away) | Err(_), Scope::Request) => Ok(RunClearance(Some(permit))),
            (Ok(LockAnswer::Away) | Err(_), Scope::Service) => Err(AWAY),
        }
    }

    /// Keeps other requests of this process from these locks; `false` if one has any of them.
    fn reserve(&self, names: &[Arc<str>]) -> bool {
        let mut state = self.lock();
        let is_free = names.iter().all(|name| !state.locks.contains(name));
        if is_free {
            state.locks.extend(names.iter().cloned());
        }
        is_free
    }

    fn is_unsettled(&self, digest: RequestDigest) -> bool {
        let state = self.lock();
        state.losses.is_unsettled(digest) || state.left.awaits(digest)
    }

    /// Waits until it is known whether the targets at which it ran ended.
    async fn settled(&self, digest: RequestDigest) {
        let mut changes = self.changes.subscribe();
        while self.is_unsettled(digest) {
            if changes.changed().await.is_err() {
                return;
            }
        }
    }
}

const UNINFORMED: QuarantineRejection = QuarantineRejection {
    retry_after: Some(UNINFORMED_BACK),
    reason: "uninformed",
};

const AWAY: QuarantineRejection = QuarantineRejection {
    retry_after: Some(AWAY_BACK),
    reason: "no-lock",
};

const LATE: QuarantineRejection = QuarantineRejection {
    retry_after: Some(BUSY_BACK),
    reason: "lock-late",
};

const BUSY: QuarantineRejection = QuarantineRejection {
    retry_after: Some(BUSY_BACK),
    reason: "runs-elsewhere",
};
