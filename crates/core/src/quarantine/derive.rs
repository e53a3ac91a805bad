//! What follows for a request from the facts alone.

use std::sync::Arc;

use super::explain::Explanation;
use super::{
    CORRELATED_HOLD_THRESHOLD, CORRELATION_WINDOW_MS, GROUP_HOLD_MS, Quarantine, QuarantineStatus,
    Record, hold,
};
use crate::digest::RequestDigest;
use crate::time::MonoMs;

/// Ends after which a request is on trial.
const TRIAL_AT: usize = 2;

/// Ends of these that have to stand alone. One may be the guilty request's, with a neighbour
/// that was at two targets that were killed.
const ALONE_AT: usize = 2;

/// Ends of a request that did not run alone this soon after each other count as one: those
/// runs began before their entries had heard of the first end, which takes some tens of
/// milliseconds, more on a thin VM.
const TOGETHER_MS: u64 = 250;

impl Quarantine {
    /// What follows from the facts alone.
    pub(super) fn derived(
        &self,
        digest: RequestDigest,
        request: &Record,
        now_ms: MonoMs,
    ) -> QuarantineStatus {
        let ends = self.counted_ends(request);
        let counted = self.apart(request, &ends);
        let net = self.net(&counted, request);
        let alone = counted.iter().filter(|end| !self.is_crowded(end, digest));
        match net {
            0 => QuarantineStatus::Clear,
            1 => QuarantineStatus::Suspect,
            TRIAL_AT => QuarantineStatus::OnTrial,
            _ if net < CORRELATED_HOLD_THRESHOLD && alone.count() < ALONE_AT => {
                QuarantineStatus::OnTrial
            }
            _ => self.held_if_sole(digest, &ends, now_ms),
        }
    }

    /// The standing of a request that enough ends speak against.
    fn held_if_sole(
        &self,
        digest: RequestDigest,
        ends: &[&Arc<str>],
        now_ms: MonoMs,
    ) -> QuarantineStatus {
        let waited_ms = now_ms.since(self.newest(ends));
        let left_ms = hold::FIRST_WAIT_MS.saturating_sub(waited_ms);
        match self.explanation(digest, ends, now_ms) {
            _ if left_ms == 0 => QuarantineStatus::OnTrial,
            Explanation::Shared => QuarantineStatus::OnTrial,
            Explanation::Open { known_in_ms } => QuarantineStatus::Held {
                retry_after_ms: Some(known_in_ms),
            },
            Explanation::Sole => QuarantineStatus::Held {
                retry_after_ms: Some(left_ms),
            },
        }
    }

    /// Whether the facts hold a request that surely alone explains its ends.
    pub(super) fn is_held_alone(
        &self,
        digest: RequestDigest,
        request: &Record,
        now_ms: MonoMs,
    ) -> bool {
        let ends = self.counted_ends(request);
        matches!(
            self.derived(digest, request, now_ms),
            QuarantineStatus::Held { .. }
        ) && self.explanation(digest, &ends, now_ms) == Explanation::Sole
    }

    /// The hold of a request that alone explains its ends; `None` if it does not, or its trial
    /// is due.
    pub(super) fn held_as_sole_suspect(
        &self,
        digest: RequestDigest,
        request: &Record,
        now_ms: MonoMs,
    ) -> Option<QuarantineStatus> {
        let ends = self.counted_ends(request);
        let is_alone = ends.iter().all(|end| !self.is_crowded(end, digest));
        let is_shared = self.explanation(digest, &ends, now_ms) == Explanation::Shared;
        let left_ms = GROUP_HOLD_MS.checked_sub(now_ms.since(self.newest(&ends)))?;
        let is_enough = self.net(&ends, request) >= TRIAL_AT;
        let is_held = is_enough && is_alone && !is_shared && left_ms > 0;
        is_held.then_some(QuarantineStatus::Held {
            retry_after_ms: Some(left_ms),
        })
    }

    /// Ends less the runs outlived since. What was outlived before an end speaks for the
    /// request no more: an engine's new version may end under what the former survived.
    pub(super) fn net(&self, counted: &[&Arc<str>], request: &Record) -> usize {
        let ends = counted.iter().filter_map(|end| self.ends.get(*end));
        let ends = ends.map(|end| (end.at_ms, true));
        let outlived = request.outlived.values().map(|at_ms| (*at_ms, false));
        let mut events: Vec<(MonoMs, bool)> = ends.chain(outlived).collect();
        // Of what happened in the same millisecond the end is taken for the later.
        events.sort();
        events.into_iter().fold(0_usize, |net, (_, is_end)| {
            if is_end {
                net + 1
            } else {
                net.saturating_sub(1)
            }
        })
    }

    /// The ends that count against a request: those that no operator has lifted.
    pub(super) fn counted_ends<'a>(&'a self, request: &'a Record) -> Vec<&'a Arc<str>> {
        let lifted = request.hold.as_ref().map(|learnt| &learnt.hold.lifted);
        let is_lifted = |end: &Arc<str>| lifted.is_some_and(|lifted| lifted.contains(end));
        let ends = request.ends.keys();
        ends.filter(|end| self.ends.contains_key(*end) && !is_lifted(end))
            .collect()
    }

    /// Those ends that count one each: all at which the request ran alone, and the first of
    /// those that came together.
    pub(super) fn apart<'a>(&self, request: &Record, ends: &[&'a Arc<str>]) -> Vec<&'a Arc<str>> {
        let ran_alone = |end: &Arc<str>| request.ends.get(end) == Some(&true);
        let at_ms = |end: &Arc<str>| self.ends.get(end).map_or(MonoMs(0), |it| it.at_ms);
        let mut sorted = ends.to_vec();
        sorted.sort_by_key(|end| at_ms(end));
        let mut last_among_others: Option<MonoMs> = None;
        sorted.retain(|end| {
            if ran_alone(end) {
                return true;
            }
            let last = last_among_others.replace(at_ms(end));
            last.is_none_or(|last| at_ms(end).since(last) > TOGETHER_MS)
        });
        sorted
    }

    pub(super) fn newest(&self, ends: &[&Arc<str>]) -> MonoMs {
        let times = ends.iter().filter_map(|end| self.ends.get(*end));
        times.map(|end| end.at_ms).max().unwrap_or_default()
    }

    /// Whether another target ended at the same time without the request.
    fn is_crowded(&self, end: &Arc<str>, digest: RequestDigest) -> bool {
        let Some(own) = self.ends.get(end) else {
            return false;
        };
        let mut others = self.ends.values();
        others.any(|other| {
            let apart_ms = other
                .at_ms
                .since(own.at_ms)
                .max(own.at_ms.since(other.at_ms));
            apart_ms <= CORRELATION_WINDOW_MS && !other.suspects.contains_key(&digest)
        })
    }
}
