//! Decides which requests are quarantined because targets exit while running them.
//!
//! A request that crashes the process that runs it is a poison request, or query of death. Clients
//! retry it under another id and through another entry, and without shared state each retry is sent
//! to the next healthy target. A target runs several requests at once, so when it exits all of them
//! are suspects and at most one is the cause.
//!
//! The quarantine stores facts that entries exchange: which target exited, and which requests were
//! running there ([`TargetExit`]), and which runs of suspects a target has [survived](SurvivedRun).
//! Facts are merged by set union, so their order and duplicates do not matter. The status of a
//! request is derived from the facts and is therefore the same at each entry:
//!
//! | Exits, less runs survived since | [`QuarantineStatus`] | Consequence |
//! |---|---|---|
//! | 0 | `Clear` | no restriction |
//! | 1 | `Suspect` | one run of this request at a time over all entries |
//! | 2 | `OnTrial` | one run of any request on trial at a time over the whole service |
//! | 3 | `Held` | rejected until its next trial is due |
//!
//! Serialized runs separate the poison request from the innocent requests that were at the same
//! target: a suspect whose run the target survives is cleared within the duration of that run, so
//! only the poison request remains a suspect between two exits. Several exits within a short time
//! at which a request did not run alone count as one exit. Otherwise a request that many callers
//! send, and that is therefore at every target all the time, would be held for minutes after any
//! three exits within the duration of one run, and all of these callers would be rejected.
//!
//! Targets also exit for reasons that no request causes, often many at once. An exit that coincides
//! with exits of other targets (see [`CORRELATION_WINDOW_MS`]) is weak evidence. If most exits of a
//! request are of this kind, the request is held only after [`CORRELATED_HOLD_THRESHOLD`] of them.
//!
//! Where targets run in lock-step groups, one exit stops a whole group for seconds. There two exits
//! hold a request for [`GROUP_HOLD_MS`] if it is the only request that explains both (see
//! [`Quarantine::status_in_group`]).
//!
//! A request is held only if no other request explains the same exits. While another request was at
//! all of these exits and no target has survived a run of it since, both are on trial, and their
//! own runs tell them apart.
//!
//! A request is never held forever. A trial becomes due after a delay, which grows with each failed
//! trial, so that a request is accepted again once the engine is fixed.
//!
//! | Module | Contents |
//! |---|---|
//! | `facts` | the facts that processes exchange |
//! | `derive` | the status that follows from the facts |
//! | `explain` | whether a request is the only one that explains its exits |
//! | `parts` | the status of a part of prompts |
//! | `status` | the status of a request by all its features |
//! | `hold` | the stored hold of a request, and when its trials are due |
//! | `bounds` | expiry and eviction |
//!
//! A target may also exit on one part of a prompt, whatever else a request holds. Such requests have
//! nothing else in common and each is seen once, so parts are suspects too, under digests of their
//! own. The status of a request is the strictest of its own and that of its parts.
//!
//! Limitations: a request that makes targets exit only occasionally is cleared between exits. A
//! request that takes down its whole VM looks like a loss of power, which is attributed to no
//! request.

mod bounds;
mod derive;
mod explain;
mod facts;
mod hold;
mod parts;
mod status;

use std::sync::Arc;

use indexmap::{IndexMap, IndexSet};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

pub use self::facts::{Facts, SurvivedRun, Suspect, TargetExit};
pub use self::hold::{Hold, HoldKind};
pub use self::status::{QuarantineStatus, RequestFeatures, RequestStatus};
use crate::digest::{DigestKind, RequestDigest};
use crate::time::{MonoMs, WallMs};

/// Number of exits after which a request is held, if enough of them are uncorrelated. Two exits may
/// be coincidence: with sixteen targets, the second target to exit often runs a request that was
/// also at the first one.
pub const HOLD_THRESHOLD: usize = 3;

/// Duration of the hold after two exits that each stopped a group. A failed trial stops a group for
/// four seconds, and two exits may be coincidence, so this is longer than such an outage and
/// shorter than the delay after three exits.
pub const GROUP_HOLD_MS: u64 = 60_000;

/// Number of exits after which a request is held even if each of them coincides with exits of other
/// targets.
pub const CORRELATED_HOLD_THRESHOLD: usize = 5;

/// Exits within this time of each other are assumed to have a common cause. A loss of power or a
/// kill stops its targets within a second, and each entry detects the exits at its own time.
pub const CORRELATION_WINDOW_MS: u64 = 1_000;

/// Lifetime of a fact. Callers retry a request within minutes, and the store's longest lease, which
/// limits how long it keeps facts, has the same duration.
pub const FACT_TTL_MS: u64 = 600_000;

/// Maximum number of suspects of one exit: more than a large target runs and queues for all entries
/// together.
const MAX_SUSPECTS_PER_EXIT: usize = 64;

/// Maximum number of parts of prompts among the suspects of one exit.
const MAX_PARTS_PER_EXIT: usize = 128;

/// The evidence about one request, or about one part of prompts.
#[derive(Clone, Debug, Default)]
struct RequestRecord {
    /// Targets that exited while running the request, and whether it ran alone there.
    exits: IndexMap<Arc<str>, bool>,
    /// Runs of the request that the target survived, with the time at which each run ended.
    survived_runs: IndexMap<Arc<str>, MonoMs>,
    hold: Option<ReceivedHold>,
}

impl RequestRecord {
    /// Whether there is neither an exit nor a hold for this request.
    fn has_no_evidence(&self) -> bool {
        self.exits.is_empty() && self.hold.is_none()
    }

    /// Whether only survived runs are known. The report of an exit may still be on its way.
    fn has_only_survived_runs(&self) -> bool {
        self.has_no_evidence() && !self.survived_runs.is_empty()
    }
}

#[derive(Clone, Debug)]
struct ReceivedHold {
    hold: Hold,
    received_ms: MonoMs,
}

#[derive(Clone, Debug)]
struct ExitRecord {
    at_ms: MonoMs,
    /// The requests at the target, and whether each ran alone.
    suspects: IndexMap<RequestDigest, bool>,
}

impl ExitRecord {
    /// Whether the maximum number of suspects of this kind is reached.
    fn is_full_for(&self, digest: RequestDigest) -> bool {
        let is_content = |digest: RequestDigest| digest.kind() == DigestKind::Content;
        let digests = self.suspects.keys();
        let same_kind = digests.filter(|other| is_content(**other) == is_content(digest));
        let limit = if is_content(digest) {
            MAX_SUSPECTS_PER_EXIT
        } else {
            MAX_PARTS_PER_EXIT
        };
        same_kind.count() >= limit
    }
}

/// The facts and holds that one process knows, and the status that follows for each request.
#[derive(Debug, Default)]
pub struct Quarantine {
    exits: IndexMap<Arc<str>, ExitRecord>,
    requests: IndexMap<RequestDigest, RequestRecord>,
}

impl Quarantine {
    /// Whether no request is suspected or held, so that no digest has to be computed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.requests
            .values()
            .all(RequestRecord::has_only_survived_runs)
    }

    /// Merges a target's exit; returns the suspects that are new for this exit.
    pub fn on_exit(&mut self, exit: &TargetExit) -> Vec<RequestDigest> {
        let entry = self.exits.entry(Arc::clone(&exit.target));
        let record = entry.or_insert_with(|| ExitRecord {
            at_ms: exit.at_ms,
            suspects: IndexMap::new(),
        });
        // The earliest report is the closest to the actual exit.
        record.at_ms = record.at_ms.min(exit.at_ms);
        let mut new_suspects = Vec::new();
        for suspect in &exit.suspects {
            let is_known = record.suspects.contains_key(&suspect.digest);
            if !is_known && record.is_full_for(suspect.digest) {
                continue;
            }
            let ran_alone = record.suspects.entry(suspect.digest).or_default();
            let is_new = !is_known || (suspect.ran_alone && !*ran_alone);
            *ran_alone |= suspect.ran_alone;
            if is_new {
                let request = self.requests.entry(suspect.digest).or_default();
                request.exits.insert(Arc::clone(&exit.target), *ran_alone);
                new_suspects.push(suspect.digest);
            }
        }
        self.evict_excess_exits();
        new_suspects
    }

    /// Merges a run that a target survived; returns whether the run is new and its request is
    /// suspected in this process.
    ///
    /// The run is stored even if no exit of the request is known yet, since messages are lost and
    /// resent, and the report of the exit may arrive later. If the run were dropped, the request
    /// would stay a suspect for ten minutes, in this process only.
    pub fn on_survived_run(&mut self, survived: &SurvivedRun) -> bool {
        let record = self.requests.get(&survived.digest);
        let is_suspect = record.is_some_and(|request| !request.has_no_evidence());
        let request = self.requests.entry(survived.digest).or_default();
        let is_new = !request.survived_runs.contains_key(&survived.run);
        let run = request.survived_runs.entry(Arc::clone(&survived.run));
        let at_ms = run.or_insert(survived.at_ms);
        *at_ms = (*at_ms).min(survived.at_ms);
        if !is_suspect {
            self.evict_excess_early_records();
        }
        is_suspect && is_new
    }

    /// Sets the hold that the store or an operator gives for a request; `None` removes it.
    pub fn on_hold(&mut self, digest: RequestDigest, hold: Option<Hold>, now_ms: MonoMs) {
        match hold {
            Some(hold) => {
                let request = self.requests.entry(digest).or_default();
                request.hold = Some(ReceivedHold {
                    hold,
                    received_ms: now_ms,
                });
                self.evict_excess_holds();
            }
            None => {
                if let Some(request) = self.requests.get_mut(&digest) {
                    request.hold = None;
                }
                self.remove_idle_records();
            }
        }
    }

    /// The hold that the store or an operator gives for a request.
    #[must_use]
    pub fn hold(&self, digest: RequestDigest) -> Option<&Hold> {
        let received = self.requests.get(&digest)?.hold.as_ref()?;
        Some(&received.hold)
    }

    /// The targets that exited while running the request.
    pub fn exits_of(&self, digest: RequestDigest) -> impl Iterator<Item = &Arc<str>> {
        let request = self.requests.get(&digest);
        request.into_iter().flat_map(|request| request.exits.keys())
    }

    /// Whether the exit of this target is known.
    #[must_use]
    pub fn has_exited(&self, target: &str) -> bool {
        self.exits.contains_key(target)
    }

    /// Requests that the facts hold and for which the store has no hold yet, with the hold to
    /// store.
    ///
    /// Facts expire after minutes, and a loss of power removes them from all entries. A stored hold
    /// persists and counts the failed trials.
    #[must_use]
    pub fn unrecorded_holds(&self, now_ms: MonoMs, wall_ms: WallMs) -> Vec<(RequestDigest, Hold)> {
        // The evidence about a part may be known of queued requests only.
        let digests = self.requests.keys().map(|digest| match digest.kind() {
            DigestKind::QueuedPart(part) => RequestDigest::of_part(part),
            DigestKind::Content | DigestKind::Part(_) => *digest,
        });
        let digests: IndexSet<RequestDigest> = digests.collect();
        let holds = digests.into_iter().filter_map(|digest| {
            let hold = self.unrecorded_hold(digest, now_ms, wall_ms)?;
            Some((digest, hold))
        });
        holds.collect()
    }

    fn unrecorded_hold(
        &self,
        digest: RequestDigest,
        now_ms: MonoMs,
        wall_ms: WallMs,
    ) -> Option<Hold> {
        let request = self.requests.get(&digest);
        let received = request.and_then(|request| request.hold.as_ref());
        match received.map(|received| (received, received.hold.kind)) {
            Some((_, HoldKind::Pinned)) => None,
            Some((received, HoldKind::Held)) => {
                let newest_ms = self.newest_exit_ms(&self.exits_against(digest, now_ms));
                received
                    .hold
                    .after_failed_trial(received.received_ms, newest_ms, wall_ms)
            }
            Some((_, HoldKind::Lifted)) | None => self
                .is_certainly_held(digest, now_ms)
                .then(|| Hold::new(HoldKind::Held, wall_ms)),
        }
    }

    fn exits_against(&self, digest: RequestDigest, now_ms: MonoMs) -> Vec<&Arc<str>> {
        match (digest.kind(), self.requests.get(&digest)) {
            (DigestKind::Part(part), _) => self.blamed_exits(part, now_ms),
            (_, request) => request.map_or_else(Vec::new, |request| self.counted_exits(request)),
        }
    }

    /// Whether the facts hold the request or part, and nothing else explains its exits.
    fn is_certainly_held(&self, digest: RequestDigest, now_ms: MonoMs) -> bool {
        match (digest.kind(), self.requests.get(&digest)) {
            (DigestKind::Part(part), _) => self.is_part_held_as_sole_cause(part, now_ms),
            (_, request) => {
                request.is_some_and(|request| self.is_held_as_sole_cause(digest, request, now_ms))
            }
        }
    }

    /// Requests whose stored hold has expired: nobody has sent the request for a long time after
    /// its trial was due.
    #[must_use]
    pub fn expired_holds(&self, wall_ms: WallMs) -> Vec<RequestDigest> {
        let requests = self.requests.iter();
        let with_hold =
            requests.filter_map(|(digest, request)| Some((digest, request.hold.as_ref()?)));
        with_hold
            .filter(|(_, received)| received.hold.is_expired(wall_ms))
            .map(|(digest, _)| *digest)
            .collect()
    }

    /// All unexpired facts, to be sent to an entry that may have missed some.
    #[must_use]
    pub fn facts(&self, now_ms: MonoMs) -> Facts {
        let exits = self.exits.iter().map(|(target, exit)| TargetExit {
            target: Arc::clone(target),
            at_ms: exit.at_ms,
            suspects: exit_suspects(exit),
        });
        let requests = self.requests.iter();
        let survived_runs = requests.flat_map(|(digest, request)| {
            request
                .survived_runs
                .iter()
                .map(|(run, at_ms)| SurvivedRun {
                    digest: *digest,
                    run: Arc::clone(run),
                    at_ms: *at_ms,
                })
        });
        Facts::new(exits.collect(), survived_runs.collect(), now_ms)
    }

    /// A hash over all facts: two entries with different summaries have facts to exchange. The
    /// summary is the sum of the hashes of the facts, so it does not depend on their order.
    #[must_use]
    pub fn summary(&self) -> u64 {
        let mut sum = 0_u64;
        for (target, exit) in &self.exits {
            for (digest, ran_alone) in &exit.suspects {
                let weight = 1 + u64::from(*ran_alone);
                let hash = fact_hash(target, *digest);
                sum = sum.wrapping_add(hash.wrapping_mul(weight));
            }
        }
        for (digest, request) in &self.requests {
            for run in request.survived_runs.keys() {
                sum = sum.wrapping_add(fact_hash(run, *digest));
            }
        }
        sum
    }

    /// The number of suspected requests (including those on trial), and of held requests.
    #[must_use]
    pub fn counts(&self, now_ms: MonoMs, wall_ms: WallMs) -> (usize, usize) {
        let statuses = self.requests.keys();
        let statuses = statuses.map(|digest| self.status(*digest, now_ms, wall_ms));
        statuses.fold((0, 0), |(suspects, held), status| match status {
            QuarantineStatus::Clear => (suspects, held),
            QuarantineStatus::Suspect | QuarantineStatus::OnTrial => (suspects + 1, held),
            QuarantineStatus::Held { .. } => (suspects, held + 1),
        })
    }
}

fn exit_suspects(exit: &ExitRecord) -> Vec<Suspect> {
    let suspects = exit.suspects.iter().map(|(digest, ran_alone)| Suspect {
        digest: *digest,
        ran_alone: *ran_alone,
    });
    suspects.collect()
}

fn fact_hash(name: &str, digest: RequestDigest) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), xxh3_64(digest.as_bytes()))
}
