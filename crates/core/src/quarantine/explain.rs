//! Decides whether a request, or a part of prompts, is the only one that explains its exits.
//!
//! Two requests that were at the same exits explain them equally well. Holding both would reject an
//! innocent request, so neither is held until their own runs tell them apart.

use std::sync::Arc;

use super::{Quarantine, QuarantineStatus, RequestRecord};
use crate::digest::{DigestKind, RequestDigest};
use crate::prompt::PromptPart;
use crate::time::MonoMs;

/// Time within which all processes report an exit. Each process detects the exit on its own, a
/// paused process only after it resumes. The requirements allow this time for reports.
pub(super) const EXIT_REPORT_WINDOW_MS: u64 = 3_000;

/// Which requests explain the exits of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Explanation {
    /// Only the request itself explains the exits.
    Sole,
    /// Another request may explain the exits as well, depending on reports that arrive within this
    /// time.
    Undecided { resolved_in_ms: u64 },
    /// At least one other request explains the exits as well.
    Shared,
}

impl Explanation {
    /// The status of a request with enough exits for a hold, of which `left_ms` are left.
    pub(super) fn status(self, left_ms: u64) -> QuarantineStatus {
        let held_ms = match self {
            _ if left_ms == 0 => return QuarantineStatus::OnTrial,
            Self::Shared => return QuarantineStatus::OnTrial,
            Self::Undecided { resolved_in_ms } => resolved_in_ms,
            Self::Sole => left_ms,
        };
        QuarantineStatus::Held {
            retry_after_ms: Some(held_ms),
        }
    }
}

/// What may explain the exits of a request, besides the request itself.
#[derive(Clone, Copy, Debug)]
pub(super) enum Alternatives<'a> {
    /// Other requests.
    Requests,
    /// Other requests, and parts of prompts that the request does not carry.
    RequestsAndPartsExcept(&'a [PromptPart]),
}

impl Alternatives<'_> {
    fn include(self, quarantine: &Quarantine, digest: &RequestDigest) -> bool {
        match (digest.kind(), self) {
            (DigestKind::Content, _) => true,
            (DigestKind::Part(part), Self::RequestsAndPartsExcept(carried)) => {
                !carried.contains(&part) && !quarantine.is_proven(part)
            }
            (DigestKind::Part(_), Self::Requests) | (DigestKind::QueuedPart(_), _) => false,
        }
    }
}

impl Quarantine {
    /// Determines which requests explain these exits of a request.
    pub(super) fn explanation(
        &self,
        digest: RequestDigest,
        alternatives: Alternatives<'_>,
        exits: &[&Arc<str>],
        now_ms: MonoMs,
    ) -> Explanation {
        self.explanation_among(exits, now_ms, |other| {
            *other != digest && alternatives.include(self, other)
        })
    }

    /// Determines which of the suspects at these exits explain them.
    pub(super) fn explanation_among(
        &self,
        exits: &[&Arc<str>],
        now_ms: MonoMs,
        is_alternative: impl Fn(&RequestDigest) -> bool,
    ) -> Explanation {
        let exit_records = exits.iter().filter_map(|exit| self.exits.get(*exit));
        let suspects = exit_records.flat_map(|exit| exit.suspects.keys());
        let others = suspects.filter(|other| is_alternative(other));
        let waits = others.filter_map(|other| self.time_until_resolved(*other, exits, now_ms));
        waits.fold(Explanation::Sole, |explanation, wait_ms| {
            match (explanation, wait_ms) {
                (Explanation::Shared, _) | (_, 0) => Explanation::Shared,
                (Explanation::Undecided { resolved_in_ms }, _) => Explanation::Undecided {
                    resolved_in_ms: resolved_in_ms.max(wait_ms),
                },
                (Explanation::Sole, resolved_in_ms) => Explanation::Undecided { resolved_in_ms },
            }
        })
    }

    /// Time until it is known whether another request was at all of these exits: 0 if it was,
    /// `None` if it was not, or if it is not an alternative cause.
    fn time_until_resolved(
        &self,
        other: RequestDigest,
        exits: &[&Arc<str>],
        now_ms: MonoMs,
    ) -> Option<u64> {
        let record = self.requests.get(&other)?;
        if !self.is_alternative_cause(record, exits) {
            return None;
        }
        let unreported_exits = exits
            .iter()
            .filter(|exit| !record.exits.contains_key(**exit));
        unreported_exits
            .into_iter()
            .try_fold(0, |longest_ms: u64, exit| {
                let age_ms = now_ms.since(self.exits.get(*exit)?.at_ms);
                let wait_ms = EXIT_REPORT_WINDOW_MS
                    .checked_sub(age_ms)
                    .filter(|wait_ms| *wait_ms > 0)?;
                Some(longest_ms.max(wait_ms))
            })
    }

    /// Whether a request is suspected and no target has survived a run of it since the first of
    /// these exits.
    fn is_alternative_cause(&self, record: &RequestRecord, exits: &[&Arc<str>]) -> bool {
        let exit_records = exits.iter().filter_map(|exit| self.exits.get(*exit));
        let first_exit_ms = exit_records
            .map(|exit| exit.at_ms)
            .min()
            .unwrap_or_default();
        let has_survived_run = record
            .survived_runs
            .values()
            .any(|at_ms| *at_ms > first_exit_ms);
        let own_exits = self.counted_exits(record);
        !has_survived_run && self.net_exits(&self.distinct_exits(record, &own_exits), record) > 0
    }
}
