//! Runs that their callers left, until it is known that their targets have outlived them.
//!
//! A target may end under such a run, and nobody loses an answer that would tell of it. The
//! next request that comes to the target would, but there may be none for seconds, and until
//! then the guilty request runs elsewhere and ends another target. So this process looks at
//! the target itself. What other sends show of it counts too: at a busy target that is
//! enough, and no connection is made for it.
//!
//! Whoever listens at its address may have taken the place of a target that ended, so a look
//! asks who that is.

use std::sync::Arc;

use berylhook_core::digest::RequestDigest;
use berylhook_core::time::MonoMs;
use indexmap::IndexMap;

use crate::lost_requests::{LostRequest, TargetIncarnation};

/// The first look is this long after the caller left: a run that ends its target mostly
/// does so at once, and its caller may be back as soon.
const FIRST_LOOK_MS: u64 = 100;

/// The last look. Targets are told that nobody waits, and drop a run within this time.
const LAST_LOOK_MS: u64 = 1_000;

/// A look counts for runs for which it comes this much early. Callers often leave together,
/// and each would bring looks of its own, milliseconds after the others.
const EARLY_MS: u64 = 50;

/// Least time between two looks at a target, however many leave it.
const LOOK_SPACING_MS: u64 = 100;

/// Targets that are looked at; the oldest go first. A process with more callers that leave
/// within a second has them at targets at which it sends other requests too.
const MOST_TARGETS: usize = 256;

/// Runs at each of them, the oldest go first: more than a target runs at a time.
const MOST_RUNS: usize = 64;

struct Run {
    loss: LostRequest,
    left_ms: MonoMs,
}

struct LeftRuns {
    /// The oldest is the first.
    runs: Vec<Run>,
    /// When the target was last known to listen.
    seen_ms: MonoMs,
}

impl LeftRuns {
    fn next_look(&self) -> Option<MonoMs> {
        let looks = self.runs.iter().map(|run| {
            let first_ms = run.left_ms + FIRST_LOOK_MS;
            if self.was_seen_by(first_ms) {
                run.left_ms + LAST_LOOK_MS
            } else {
                first_ms
            }
        });
        let soonest_ms = self.seen_ms + LOOK_SPACING_MS;
        looks.min().map(|due_ms| due_ms.max(soonest_ms))
    }

    fn was_seen_by(&self, due_ms: MonoMs) -> bool {
        self.seen_ms + EARLY_MS >= due_ms
    }
}

/// The runs that their callers left, by the incarnation of their target.
#[derive(Default)]
pub(crate) struct Left {
    by_target: IndexMap<Arc<str>, LeftRuns>,
}

impl Left {
    /// Whether no target has to be looked at.
    pub(crate) fn is_empty(&self) -> bool {
        self.by_target.is_empty()
    }

    /// Adds a run that its caller left; returns whether the target is a new one to look at.
    pub(crate) fn add(
        &mut self,
        place: &TargetIncarnation,
        loss: LostRequest,
        now_ms: MonoMs,
    ) -> bool {
        let is_new = !self.by_target.contains_key(&place.target);
        if is_new && self.by_target.len() >= MOST_TARGETS {
            self.by_target.shift_remove_index(0);
        }
        let entry = self.by_target.entry(Arc::clone(&place.target));
        let left = entry.or_insert_with(|| LeftRuns {
            runs: Vec::new(),
            seen_ms: now_ms,
        });
        if left.runs.len() >= MOST_RUNS {
            left.runs.remove(0);
        }
        left.runs.push(Run {
            loss,
            left_ms: now_ms,
        });
        is_new
    }

    /// When the target has to be looked at next; `None` if it has outlived all that were
    /// left there.
    pub(crate) fn next_look(&self, target: &str) -> Option<MonoMs> {
        self.by_target.get(target)?.next_look()
    }

    /// The target took a connection that was asked for at `at_ms`.
    pub(crate) fn on_connection_accepted(&mut self, target: &str, at_ms: MonoMs) {
        let Some(left) = self.by_target.get_mut(target) else {
            return;
        };
        left.seen_ms = left.seen_ms.max(at_ms);
        let runs = std::mem::take(&mut left.runs).into_iter();
        let open = runs.filter(|run| !left.was_seen_by(run.left_ms + LAST_LOOK_MS));
        left.runs = open.collect();
        if left.runs.is_empty() {
            self.by_target.shift_remove(target);
        }
    }

    /// Gives up the runs at a target: it has ended, or nothing can be known of it.
    pub(crate) fn take(&mut self, target: &str) -> Vec<LostRequest> {
        let left = self.by_target.shift_remove(target);
        let runs = left.map(|left| left.runs).unwrap_or_default();
        runs.into_iter().map(|run| run.loss).collect()
    }

    /// Whether a target of this request has still to be looked at.
    pub(crate) fn awaits(&self, digest: RequestDigest) -> bool {
        let mut runs = self.by_target.values().flat_map(|left| &left.runs);
        runs.any(|run| run.loss.digest == digest)
    }
}
