//! Runs that were abandoned by their callers, until it is known that the target survived them.
//!
//! If a target exits during an abandoned run, no response is lost that would show the exit. The
//! next request for the target would show it, but there may be none for seconds, and meanwhile the
//! poison request is retried and stops another target. So this process probes the target itself.
//! The results of other sends count as well: at a busy target they suffice, and no connection is
//! made for probes.
//!
//! The listener at the target's address may be the successor of a target that exited, so a probe
//! asks for its identity.

use std::sync::Arc;

use berylhook_core::digest::RequestDigest;
use berylhook_core::time::MonoMs;
use indexmap::IndexMap;

use crate::lost_requests::{LostRun, TargetIncarnation};

/// Delay from the abandonment of a run to the first probe. A run that makes its target exit mostly
/// does so immediately, and the caller may retry as soon.
const FIRST_PROBE_DELAY_MS: u64 = 100;

/// Delay from the abandonment of a run to the last probe. Targets are notified that the caller has
/// disconnected, and cancel the run within this time.
const LAST_PROBE_DELAY_MS: u64 = 1_000;

/// A probe also counts for runs for which it is early by at most this time. Callers often
/// disconnect together, and otherwise the run of each would require its own probes, milliseconds
/// apart.
const PROBE_TOLERANCE_MS: u64 = 50;

/// Minimum time between two probes of a target, for any number of abandoned runs.
const MIN_PROBE_SPACING_MS: u64 = 100;

/// Maximum number of targets to probe; the oldest are evicted. A process with more callers that
/// disconnect within a second also sends other requests to these targets.
const MAX_TARGETS: usize = 256;

/// Maximum number of abandoned runs at each target, which is more than a target runs at a time. The
/// oldest are evicted.
const MAX_RUNS_PER_TARGET: usize = 64;

struct AbandonedRun {
    run: LostRun,
    abandoned_ms: MonoMs,
}

struct TargetRuns {
    /// Ordered from oldest to newest.
    runs: Vec<AbandonedRun>,
    /// The time of the last request for a connection that the target accepted.
    last_accepted_ms: MonoMs,
}

impl TargetRuns {
    fn next_probe_ms(&self) -> Option<MonoMs> {
        let probe_times = self.runs.iter().map(|run| {
            let first_probe_ms = run.abandoned_ms + FIRST_PROBE_DELAY_MS;
            if self.covers_probe_at(first_probe_ms) {
                run.abandoned_ms + LAST_PROBE_DELAY_MS
            } else {
                first_probe_ms
            }
        });
        let earliest_ms = self.last_accepted_ms + MIN_PROBE_SPACING_MS;
        probe_times.min().map(|due_ms| due_ms.max(earliest_ms))
    }

    fn covers_probe_at(&self, due_ms: MonoMs) -> bool {
        self.last_accepted_ms + PROBE_TOLERANCE_MS >= due_ms
    }
}

/// The abandoned runs, by target incarnation.
#[derive(Default)]
pub(crate) struct AbandonedRuns {
    by_target: IndexMap<Arc<str>, TargetRuns>,
}

impl AbandonedRuns {
    /// Whether no target needs a probe.
    pub(crate) fn is_empty(&self) -> bool {
        self.by_target.is_empty()
    }

    /// Adds an abandoned run; returns whether the target had none before, so that probing must be
    /// started.
    pub(crate) fn add(
        &mut self,
        incarnation: &TargetIncarnation,
        run: LostRun,
        now_ms: MonoMs,
    ) -> bool {
        let is_new = !self.by_target.contains_key(&incarnation.target);
        if is_new && self.by_target.len() >= MAX_TARGETS {
            self.by_target.shift_remove_index(0);
        }
        let entry = self.by_target.entry(Arc::clone(&incarnation.target));
        let target_runs = entry.or_insert_with(|| TargetRuns {
            runs: Vec::new(),
            last_accepted_ms: now_ms,
        });
        if target_runs.runs.len() >= MAX_RUNS_PER_TARGET {
            target_runs.runs.remove(0);
        }
        target_runs.runs.push(AbandonedRun {
            run,
            abandoned_ms: now_ms,
        });
        is_new
    }

    /// The time of the next probe of the target; `None` if it has survived all abandoned runs.
    pub(crate) fn next_probe_ms(&self, target: &str) -> Option<MonoMs> {
        self.by_target.get(target)?.next_probe_ms()
    }

    /// Records that the target accepted a connection that was requested at `requested_ms`.
    pub(crate) fn on_connection_accepted(&mut self, target: &str, requested_ms: MonoMs) {
        let Some(target_runs) = self.by_target.get_mut(target) else {
            return;
        };
        target_runs.last_accepted_ms = target_runs.last_accepted_ms.max(requested_ms);
        let runs = std::mem::take(&mut target_runs.runs).into_iter();
        let unproven =
            runs.filter(|run| !target_runs.covers_probe_at(run.abandoned_ms + LAST_PROBE_DELAY_MS));
        target_runs.runs = unproven.collect();
        if target_runs.runs.is_empty() {
            self.by_target.shift_remove(target);
        }
    }

    /// Removes the runs at a target that has exited, or whose state cannot be determined, and
    /// returns them.
    pub(crate) fn take_target(&mut self, target: &str) -> Vec<LostRun> {
        let target_runs = self.by_target.shift_remove(target);
        let runs = target_runs
            .map(|target_runs| target_runs.runs)
            .unwrap_or_default();
        runs.into_iter().map(|abandoned| abandoned.run).collect()
    }

    /// Whether a target with a run of this request still needs a probe.
    pub(crate) fn awaits_probe(&self, digest: RequestDigest) -> bool {
        let mut runs = self
            .by_target
            .values()
            .flat_map(|target_runs| &target_runs.runs);
        runs.any(|abandoned| abandoned.run.request.digest == digest)
    }
}
