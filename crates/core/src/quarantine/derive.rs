//! Derives the status of a request from the facts alone.

use std::sync::Arc;

use super::explain::{Alternatives, Explanation};
use super::{
    CORRELATED_HOLD_THRESHOLD, CORRELATION_WINDOW_MS, GROUP_HOLD_MS, Quarantine, QuarantineStatus,
    RequestRecord, hold,
};
use crate::digest::RequestDigest;
use crate::time::MonoMs;

/// Number of exits after which a request is on trial.
const TRIAL_THRESHOLD: usize = 2;

/// Number of exits that must be uncorrelated for a hold below `CORRELATED_HOLD_THRESHOLD`. One is
/// not enough: it may be caused by the poison request, while the suspect ran beside it and also at
/// two targets that were killed.
pub(super) const MIN_UNCORRELATED_EXITS: usize = 2;

/// Exits within this time of each other at which the request did not run alone count as one. The
/// later runs began before their entries were notified of the first exit, which takes some tens of
/// milliseconds, and longer on a VM with little CPU.
const SIMULTANEOUS_WINDOW_MS: u64 = 250;

impl Quarantine {
    /// The status that follows from the facts alone.
    pub(super) fn derived_status(
        &self,
        digest: RequestDigest,
        request: &RequestRecord,
        alternatives: Alternatives<'_>,
        now_ms: MonoMs,
    ) -> QuarantineStatus {
        let exits = self.counted_exits(request);
        let counted = self.distinct_exits(request, &exits);
        let net_exits = self.net_exits(&counted, request);
        let uncorrelated = counted
            .iter()
            .filter(|exit| !self.is_correlated(exit, digest));
        match net_exits {
            0 => QuarantineStatus::Clear,
            1 => QuarantineStatus::Suspect,
            TRIAL_THRESHOLD => QuarantineStatus::OnTrial,
            _ if net_exits < CORRELATED_HOLD_THRESHOLD
                && uncorrelated.count() < MIN_UNCORRELATED_EXITS =>
            {
                QuarantineStatus::OnTrial
            }
            _ => self.status_at_threshold(digest, alternatives, &exits, now_ms),
        }
    }

    /// The status of a request with enough exits for a hold.
    fn status_at_threshold(
        &self,
        digest: RequestDigest,
        alternatives: Alternatives<'_>,
        exits: &[&Arc<str>],
        now_ms: MonoMs,
    ) -> QuarantineStatus {
        let waited_ms = now_ms.since(self.newest_exit_ms(exits));
        let left_ms = hold::FIRST_TRIAL_DELAY_MS.saturating_sub(waited_ms);
        self.explanation(digest, alternatives, exits, now_ms)
            .status(left_ms)
    }

    /// Whether the facts hold the request and it is certain that no other request explains its
    /// exits.
    pub(super) fn is_held_as_sole_cause(
        &self,
        digest: RequestDigest,
        request: &RequestRecord,
        now_ms: MonoMs,
    ) -> bool {
        let exits = self.counted_exits(request);
        matches!(
            self.derived_status(digest, request, Alternatives::Requests, now_ms),
            QuarantineStatus::Held { .. }
        ) && self.explanation(digest, Alternatives::Requests, &exits, now_ms) == Explanation::Sole
    }

    /// The `Held` status of a request where exits stop whole groups; `None` if it has too few net
    /// exits, if one of them is correlated, if another request explains them as well, or if the
    /// trial is due.
    pub(super) fn hold_as_sole_cause(
        &self,
        digest: RequestDigest,
        request: &RequestRecord,
        alternatives: Alternatives<'_>,
        now_ms: MonoMs,
    ) -> Option<QuarantineStatus> {
        let exits = self.counted_exits(request);
        let is_uncorrelated = exits.iter().all(|exit| !self.is_correlated(exit, digest));
        let explanation = self.explanation(digest, alternatives, &exits, now_ms);
        let is_shared = explanation == Explanation::Shared;
        let left_ms = GROUP_HOLD_MS.checked_sub(now_ms.since(self.newest_exit_ms(&exits)))?;
        let reaches_threshold = self.net_exits(&exits, request) >= TRIAL_THRESHOLD;
        let is_held = reaches_threshold && is_uncorrelated && !is_shared && left_ms > 0;
        is_held.then_some(QuarantineStatus::Held {
            retry_after_ms: Some(left_ms),
        })
    }

    /// The number of exits, less the runs survived after each of them. A run that was survived
    /// before an exit does not offset that exit: a new version of an engine may crash on a request
    /// that the previous version survived.
    pub(super) fn net_exits(&self, counted: &[&Arc<str>], request: &RequestRecord) -> usize {
        let exits = counted.iter().filter_map(|exit| self.exits.get(*exit));
        let exits = exits.map(|exit| (exit.at_ms, true));
        let survived_runs = request.survived_runs.values().map(|at_ms| (*at_ms, false));
        let mut events: Vec<(MonoMs, bool)> = exits.chain(survived_runs).collect();
        // At equal times, survived runs (`false`) sort before exits (`true`), so the exit counts as
        // later.
        events.sort();
        events.into_iter().fold(0_usize, |net_exits, (_, is_exit)| {
            if is_exit {
                net_exits + 1
            } else {
                net_exits.saturating_sub(1)
            }
        })
    }

    /// The exits that count against a request: those that no operator has lifted.
    pub(super) fn counted_exits<'a>(&'a self, request: &'a RequestRecord) -> Vec<&'a Arc<str>> {
        let lifted = request.hold.as_ref().map(|received| &received.hold.lifted);
        let is_lifted = |exit: &Arc<str>| lifted.is_some_and(|lifted| lifted.contains(exit));
        let exits = request.exits.keys();
        exits
            .filter(|exit| self.exits.contains_key(*exit) && !is_lifted(exit))
            .collect()
    }

    /// The exits that count individually: all at which the request ran alone, and the first of
    /// several within `SIMULTANEOUS_WINDOW_MS` at which it did not.
    pub(super) fn distinct_exits<'a>(
        &self,
        request: &RequestRecord,
        exits: &[&'a Arc<str>],
    ) -> Vec<&'a Arc<str>> {
        let ran_alone = |exit: &Arc<str>| request.exits.get(exit) == Some(&true);
        let at_ms = |exit: &Arc<str>| {
            self.exits
                .get(exit)
                .map_or(MonoMs(0), |record| record.at_ms)
        };
        let mut sorted = exits.to_vec();
        sorted.sort_by_key(|exit| at_ms(exit));
        let mut last_not_alone_ms: Option<MonoMs> = None;
        sorted.retain(|exit| {
            if ran_alone(exit) {
                return true;
            }
            let last = last_not_alone_ms.replace(at_ms(exit));
            last.is_none_or(|last| at_ms(exit).since(last) > SIMULTANEOUS_WINDOW_MS)
        });
        sorted
    }

    pub(super) fn newest_exit_ms(&self, exits: &[&Arc<str>]) -> MonoMs {
        let records = exits.iter().filter_map(|exit| self.exits.get(*exit));
        records.map(|exit| exit.at_ms).max().unwrap_or_default()
    }

    /// Whether another target that did not run this request exited at about the same time.
    fn is_correlated(&self, exit: &Arc<str>, digest: RequestDigest) -> bool {
        let Some(own) = self.exits.get(exit) else {
            return false;
        };
        let mut others = self.exits.values();
        others.any(|other| {
            let distance_ms = other.at_ms.distance_ms(own.at_ms);
            distance_ms <= CORRELATION_WINDOW_MS && !other.suspects.contains_key(&digest)
        })
    }
}
