//! Which requests are held back because targets end under them.
//!
//! A request that crashes what runs it is a poison request, or query of death. It comes
//! again under another id at another entry, and without a memory it is sent to the next
//! sound target each time. A target runs several requests at once, so when it ends all of
//! them are suspects and at most one is to blame.
//!
//! What is kept are facts that entries tell each other: which target ended, and with which
//! requests ([`TargetExit`]), and which suspects a target has [survived](SurvivedRun). Facts are
//! merged by union, so their order and number do not matter. What follows is derived from
//! them, the same at each entry:
//!
//! | Ends, less runs outlived since | [`QuarantineStatus`] | What it means |
//! |---|---|---|
//! | 0 | `Clear` | it goes like any other |
//! | 1 | `Suspect` | one run at a time over all entries |
//! | 2 | `OnTrial` | one such request at a time over the whole service |
//! | 3 | `Held` | it is refused until its next trial is due |
//!
//! Serialized runs are what tells the guilty one from those that ended with it: a suspect
//! that a target outlives is cleared within its own run time, so all but the guilty one
//! fall away between two ends. Ends at which it did not run alone and that come together
//! count as one: a request that many callers send is at every target all the time, and
//! three that end in a row, within the time of one run, would hold all of these callers
//! back for minutes.
//!
//! Targets are also killed by what no request did, many at once. An end with others around
//! it (see [`CORRELATION_WINDOW_MS`]) is doubtful; where most are, a request is held back only after
//! [`CORRELATED_HOLD_THRESHOLD`] of them.
//!
//! Where targets run in lock-step groups, one end stops a whole group for seconds. There two
//! ends hold a request for [`GROUP_HOLD_MS`], if it is the only one that explains both (see
//! [`Quarantine::status_in_group`]).
//!
//! A request is held only if it alone explains its ends. While another one that no target has
//! outlived since was at all of them, both are on trial, and their runs tell them apart.
//!
//! A request is never held for good. A trial is due after a while, at growing intervals,
//! so that an engine that was mended lets it through again.
//!
//! | Part | Job |
//! |---|---|
//! | `facts` | what processes tell each other |
//! | `derive` | what follows from them |
//! | `explain` | whether one request alone explains its ends |
//! | `hold` | what is kept of a request that is held back, and when its trials are due |
//! | `bounds` | what is forgotten |
//!
//! Not covered: a request under which targets end only now and then is cleared in between;
//! a request that takes its whole VM down looks like a loss of power, which is laid to
//! nobody.

mod bounds;
mod derive;
mod explain;
mod facts;
mod hold;

use std::sync::Arc;

use indexmap::IndexMap;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

pub use self::facts::{Facts, SurvivedRun, Suspect, TargetExit};
pub use self::hold::{Hold, HoldKind};
use crate::digest::RequestDigest;
use crate::time::{MonoMs, WallMs};

/// Ends after which a request is held, if enough of them stand alone. Two may be chance: of
/// sixteen targets the second to end runs a former neighbour of the guilty request often
/// enough.
pub const HOLD_THRESHOLD: usize = 3;

/// How long two ends hold a request that stops a group with each: a trial stops a group for
/// four seconds, and two ends may be chance, so it is longer than that and shorter than the
/// wait after three.
pub const GROUP_HOLD_MS: u64 = 60_000;

/// Ends after which a request is held even if others ended beside each of them.
pub const CORRELATED_HOLD_THRESHOLD: usize = 5;

/// Ends within this time of each other are taken to have one cause: a loss of power or a
/// kill hits its targets within a second, and each entry notices in its own time.
pub const CORRELATION_WINDOW_MS: u64 = 1_000;

/// A fact counts for this long. Callers that repeat a request do so within minutes, and
/// the platform's longest lease, by which facts are kept, is as long.
pub const FACT_TTL_MS: u64 = 600_000;

/// Suspects of one end: more than a large target runs and queues for all entries together.
const MOST_SUSPECTS: usize = 64;

/// What may be done with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineStatus {
    /// It goes like any other.
    Clear,
    /// One target ended with it: one run at a time.
    Suspect,
    /// Two did, or its next trial is due: one such run at a time in its service.
    OnTrial,
    /// It is refused.
    Held {
        /// Time until its next trial; `None` if an operator has to lift it.
        retry_after_ms: Option<u64>,
    },
}

impl QuarantineStatus {
    /// The name in logs.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Clear => "clear",
            Self::Suspect => "suspect",
            Self::OnTrial => "on-trial",
            Self::Held { .. } => "held",
        }
    }
}

/// What is known of one request under which targets ended.
#[derive(Clone, Debug, Default)]
struct Record {
    /// The targets that ended with it, and whether it ran alone there.
    ends: IndexMap<Arc<str>, bool>,
    /// Runs of it that their targets outlived.
    outlived: IndexMap<Arc<str>, MonoMs>,
    hold: Option<LearntHold>,
}

impl Record {
    /// Whether nothing counts against it.
    fn is_idle(&self) -> bool {
        self.ends.is_empty() && self.hold.is_none()
    }

    /// Whether only runs are known that targets outlived: news of an end may be on its way.
    fn is_early(&self) -> bool {
        self.is_idle() && !self.outlived.is_empty()
    }
}

#[derive(Clone, Debug)]
struct LearntHold {
    hold: Hold,
    learnt_ms: MonoMs,
}

#[derive(Clone, Debug)]
struct EndRecord {
    at_ms: MonoMs,
    /// The requests, and whether each ran alone.
    suspects: IndexMap<RequestDigest, bool>,
}

/// The requests under which targets ended.
#[derive(Debug, Default)]
pub struct Quarantine {
    ends: IndexMap<Arc<str>, EndRecord>,
    requests: IndexMap<RequestDigest, Record>,
}

impl Quarantine {
    /// Whether nothing is suspected, so that no request needs a digest.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.requests.values().all(Record::is_early)
    }

    /// Takes up that a target ended; returns the suspects that are new to this end.
    pub fn on_exit(&mut self, end: &TargetExit) -> Vec<RequestDigest> {
        let known = self.ends.entry(Arc::clone(&end.target));
        let record = known.or_insert_with(|| EndRecord {
            at_ms: end.at_ms,
            suspects: IndexMap::new(),
        });
        // The first to notice was the nearest to it.
        record.at_ms = record.at_ms.min(end.at_ms);
        let mut fresh = Vec::new();
        for suspect in &end.suspects {
            let is_known = record.suspects.contains_key(&suspect.digest);
            if !is_known && record.suspects.len() >= MOST_SUSPECTS {
                continue;
            }
            let ran_alone = record.suspects.entry(suspect.digest).or_default();
            let is_news = !is_known || (suspect.ran_alone && !*ran_alone);
            *ran_alone |= suspect.ran_alone;
            if is_news {
                let request = self.requests.entry(suspect.digest).or_default();
                request.ends.insert(Arc::clone(&end.target), *ran_alone);
                fresh.push(suspect.digest);
            }
        }
        self.bound_ends();
        fresh
    }

    /// Takes up that a target outlived a suspect; returns whether that is news and it is
    /// suspected here.
    ///
    /// The news of its end may come later: messages are lost and told again. Were this one
    /// forgotten meanwhile, the request would stay a suspect here alone, for ten minutes.
    pub fn on_survived_run(&mut self, outlived: &SurvivedRun) -> bool {
        let known = self.requests.get(&outlived.digest);
        let is_suspect = known.is_some_and(|request| !request.is_idle());
        let request = self.requests.entry(outlived.digest).or_default();
        let is_news = !request.outlived.contains_key(&outlived.run);
        let run = request.outlived.entry(Arc::clone(&outlived.run));
        let at_ms = run.or_insert(outlived.at_ms);
        *at_ms = (*at_ms).min(outlived.at_ms);
        if !is_suspect {
            self.bound_early();
        }
        is_suspect && is_news
    }

    /// Takes up what the store or an operator says of a request; `None` takes it back.
    pub fn on_hold(&mut self, digest: RequestDigest, hold: Option<Hold>, now_ms: MonoMs) {
        match hold {
            Some(hold) => {
                let request = self.requests.entry(digest).or_default();
                request.hold = Some(LearntHold {
                    hold,
                    learnt_ms: now_ms,
                });
                self.bound_holds();
            }
            None => {
                if let Some(request) = self.requests.get_mut(&digest) {
                    request.hold = None;
                }
                self.drop_idle();
            }
        }
    }

    /// What the store or an operator says of a request.
    #[must_use]
    pub fn hold(&self, digest: RequestDigest) -> Option<&Hold> {
        let learnt = self.requests.get(&digest)?.hold.as_ref()?;
        Some(&learnt.hold)
    }

    /// What may be done with the request now.
    #[must_use]
    pub fn status(
        &self,
        digest: RequestDigest,
        now_ms: MonoMs,
        wall_ms: WallMs,
    ) -> QuarantineStatus {
        let Some(request) = self.requests.get(&digest) else {
            return QuarantineStatus::Clear;
        };
        let kind = request.hold.as_ref().map(|learnt| learnt.hold.kind);
        match (kind, self.derived(digest, request, now_ms)) {
            (Some(HoldKind::Pinned), _) => QuarantineStatus::Held {
                retry_after_ms: None,
            },
            (Some(HoldKind::Held), _) => {
                let back_ms = request
                    .hold
                    .as_ref()
                    .map_or(0, |it| it.hold.retry_after_ms(wall_ms));
                match back_ms {
                    0 => QuarantineStatus::OnTrial,
                    _ => QuarantineStatus::Held {
                        retry_after_ms: Some(back_ms),
                    },
                }
            }
            (Some(HoldKind::Lifted) | None, derived) => derived,
        }
    }

    /// The same where the end of a target stops a whole group.
    ///
    /// A third end would cost all callers of a group some seconds; holding an innocent
    /// request back costs its callers the time to its trial. So two ends suffice if no other
    /// request explains both of them, and nothing else ended beside either. They do so too
    /// where they came together: a request that all callers send is not the only one then.
    #[must_use]
    pub fn status_in_group(
        &self,
        digest: RequestDigest,
        now_ms: MonoMs,
        wall_ms: WallMs,
    ) -> QuarantineStatus {
        let standing = self.status(digest, now_ms, wall_ms);
        let request = self.requests.get(&digest);
        match (standing, request) {
            (QuarantineStatus::Suspect | QuarantineStatus::OnTrial, Some(request))
                if request.hold.is_none() =>
            {
                self.held_as_sole_suspect(digest, request, now_ms)
                    .unwrap_or(standing)
            }
            _ => standing,
        }
    }

    /// The targets that ended with the request.
    pub fn exits_of(&self, digest: RequestDigest) -> impl Iterator<Item = &Arc<str>> {
        let request = self.requests.get(&digest);
        request.into_iter().flat_map(|request| request.ends.keys())
    }

    /// Whether that target is known to have ended.
    #[must_use]
    pub fn has_exited(&self, target: &str) -> bool {
        self.ends.contains_key(target)
    }

    /// Requests that the facts hold back and the store does not know of, with what to
    /// keep there.
    ///
    /// Facts fade after minutes, and a loss of power takes them from all entries; what is
    /// kept in the store lasts, and counts the trials that failed.
    #[must_use]
    pub fn unrecorded_holds(&self, now_ms: MonoMs, wall_ms: WallMs) -> Vec<(RequestDigest, Hold)> {
        let requests = self.requests.iter();
        requests
            .filter_map(|(digest, request)| {
                let kept = request.hold.as_ref();
                let hold = match kept.map(|learnt| learnt.hold.kind) {
                    Some(HoldKind::Pinned) => return None,
                    Some(HoldKind::Held) => {
                        let kept = kept?;
                        let newest_ms = self.newest(&self.counted_ends(request));
                        kept.hold.after_trial(kept.learnt_ms, newest_ms, wall_ms)?
                    }
                    Some(HoldKind::Lifted) | None => {
                        let is_held = self.is_held_alone(*digest, request, now_ms);
                        is_held.then(|| Hold::new(HoldKind::Held, wall_ms))?
                    }
                };
                Some((*digest, hold))
            })
            .collect()
    }

    /// Requests that the store keeps and nobody has asked for long after their trial was
    /// due.
    #[must_use]
    pub fn expired_holds(&self, wall_ms: WallMs) -> Vec<RequestDigest> {
        let requests = self.requests.iter();
        let held = requests.filter_map(|(digest, it)| Some((digest, it.hold.as_ref()?)));
        held.filter(|(_, learnt)| learnt.hold.is_forgettable(wall_ms))
            .map(|(digest, _)| *digest)
            .collect()
    }

    /// All facts that count, for an entry that may have missed some.
    #[must_use]
    pub fn facts(&self, now_ms: MonoMs) -> Facts {
        let ends = self.ends.iter().map(|(target, end)| TargetExit {
            target: Arc::clone(target),
            at_ms: end.at_ms,
            suspects: suspects_of(end),
        });
        let requests = self.requests.iter();
        let outlived = requests.flat_map(|(digest, request)| {
            request.outlived.iter().map(|(run, at_ms)| SurvivedRun {
                digest: *digest,
                run: Arc::clone(run),
                at_ms: *at_ms,
            })
        });
        Facts::new(ends.collect(), outlived.collect(), now_ms)
    }

    /// A summary of all facts: two entries whose summaries differ have something to tell
    /// each other. Facts may come in any order, so the sum of their hashes stands for them.
    #[must_use]
    pub fn summary(&self) -> u64 {
        let mut sum = 0_u64;
        for (target, end) in &self.ends {
            for (digest, ran_alone) in &end.suspects {
                let weight = 1 + u64::from(*ran_alone);
                let hash = fact_hash(target, *digest);
                sum = sum.wrapping_add(hash.wrapping_mul(weight));
            }
        }
        for (digest, request) in &self.requests {
            for run in request.outlived.keys() {
                sum = sum.wrapping_add(fact_hash(run, *digest));
            }
        }
        sum
    }

    /// Requests under suspicion, and requests that are held.
    #[must_use]
    pub fn counts(&self, now_ms: MonoMs, wall_ms: WallMs) -> (usize, usize) {
        let standings = self.requests.keys();
        let standings = standings.map(|digest| self.status(*digest, now_ms, wall_ms));
        standings.fold((0, 0), |(suspects, held), standing| match standing {
            QuarantineStatus::Clear => (suspects, held),
            QuarantineStatus::Suspect | QuarantineStatus::OnTrial => (suspects + 1, held),
            QuarantineStatus::Held { .. } => (suspects, held + 1),
        })
    }
}

fn suspects_of(end: &EndRecord) -> Vec<Suspect> {
    let suspects = end.suspects.iter().map(|(digest, ran_alone)| Suspect {
        digest: *digest,
        ran_alone: *ran_alone,
    });
    suspects.collect()
}

fn fact_hash(name: &str, digest: RequestDigest) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), xxh3_64(digest.as_bytes()))
}
