//! Derives the status of a part of prompts, under which targets may exit whatever else a request
//! holds.
//!
//! At an exit, the parts of all requests to which the target may have begun to respond are suspects.
//! Almost all of them are sound and are in use elsewhere, so the evidence in their favour decides: a
//! part is *proven* if any target has survived a run of it. The exits before the last survived run
//! never count.
//!
//! | Exits that count | Not proven | Proven earlier |
//! |---|---|---|
//! | 1 | `Suspect` | `Clear` |
//! | 2 | `Held` | `Clear` |
//! | 3 | `Held` | `OnTrial` |
//! | 4 or more | `Held` | `Held` |
//!
//! A part is held only if no other part that is not proven was at all of its exits, unless a request
//! has both; else it is on trial. Two exits hold a part also if they come together, as different
//! requests with the part reach several targets at a time.
//!
//! An exit counts against a proven part, or against one whose requests were only queued or being
//! read, if no part that is not proven explains it; against the latter only once all processes have
//! reported the exit. So a caller that names a part which others use, beside one under which targets
//! exit, does not get the former held.

use std::sync::Arc;

use super::derive::MIN_UNCORRELATED_EXITS;
use super::explain::{EXIT_REPORT_WINDOW_MS, Explanation};
use super::{
    CORRELATED_HOLD_THRESHOLD, CORRELATION_WINDOW_MS, ExitRecord, GROUP_HOLD_MS, HOLD_THRESHOLD,
    Quarantine, QuarantineStatus, RequestRecord, hold,
};
use crate::digest::{DigestKind, RequestDigest};
use crate::prompt::PromptPart;
use crate::time::MonoMs;

/// Number of exits after which a part that is not proven is held.
const UNPROVEN_HOLD_THRESHOLD: usize = 2;

/// Number of exits after which a proven part is on trial, and after which it is held. It was sound
/// before, so these exits may also have other causes.
const PROVEN_TRIAL_THRESHOLD: usize = 3;
const PROVEN_HOLD_THRESHOLD: usize = 4;

impl Quarantine {
    /// Whether a survived run of the part would change what is known about it: no run is known that
    /// was survived after its last exit, or the part is held.
    #[must_use]
    pub fn awaits_survived_run(&self, part: PromptPart) -> bool {
        let last_survived_ms = self.last_survived_ms(part);
        let mut exits = self.exits_with(part).into_iter();
        let has_exit = exits.any(|(target, _)| {
            let exit = self.exits.get(target);
            exit.is_some_and(|exit| Some(exit.at_ms) > last_survived_ms)
        });
        has_exit || self.hold(RequestDigest::of_part(part)).is_some()
    }

    /// Whether any target is known to have survived a run of the part.
    #[must_use]
    pub fn is_proven(&self, part: PromptPart) -> bool {
        self.last_survived_ms(part).is_some()
    }

    /// The status of a part that follows from the facts. Another part that explains its exits as
    /// well does not count if the same request carries it.
    pub(super) fn derived_part_status(
        &self,
        part: PromptPart,
        carried: &[PromptPart],
        now_ms: MonoMs,
    ) -> QuarantineStatus {
        let exits = self.blamed_exits(part, now_ms);
        let is_proven = self.is_proven(part);
        let (trial_threshold, hold_threshold) = if is_proven {
            (PROVEN_TRIAL_THRESHOLD, PROVEN_HOLD_THRESHOLD)
        } else {
            (UNPROVEN_HOLD_THRESHOLD, UNPROVEN_HOLD_THRESHOLD)
        };
        match exits.len() {
            0 => QuarantineStatus::Clear,
            1 if !is_proven => QuarantineStatus::Suspect,
            count if count < trial_threshold => QuarantineStatus::Clear,
            count if count < hold_threshold => QuarantineStatus::OnTrial,
            count
                if count < CORRELATED_HOLD_THRESHOLD
                    && self.uncorrelated_count(part, &exits) < MIN_UNCORRELATED_EXITS =>
            {
                QuarantineStatus::OnTrial
            }
            _ => self.part_status_at_threshold(part, &exits, carried, now_ms),
        }
    }

    /// Whether the part has enough exits for a hold that outlasts the facts, and is certain to be
    /// the only one that explains them.
    pub(super) fn is_part_held_as_sole_cause(&self, part: PromptPart, now_ms: MonoMs) -> bool {
        let exits = self.blamed_exits(part, now_ms);
        let is_held = matches!(
            self.derived_part_status(part, &[], now_ms),
            QuarantineStatus::Held { .. }
        );
        is_held
            && exits.len() >= HOLD_THRESHOLD
            && self.part_explanation(part, &exits, &[], now_ms) == Explanation::Sole
    }

    fn part_status_at_threshold(
        &self,
        part: PromptPart,
        exits: &[&Arc<str>],
        carried: &[PromptPart],
        now_ms: MonoMs,
    ) -> QuarantineStatus {
        let waited_ms = now_ms.since(self.newest_exit_ms(exits));
        let left_ms = self.part_hold_ms(part, exits).saturating_sub(waited_ms);
        self.part_explanation(part, exits, carried, now_ms)
            .status(left_ms)
    }

    /// Duration of a hold that follows from the facts. Exits at which no run of the part was alone
    /// may be a coincidence.
    fn part_hold_ms(&self, part: PromptPart, exits: &[&Arc<str>]) -> u64 {
        if exits.iter().any(|exit| self.ran_part_alone(part, exit)) {
            hold::FIRST_TRIAL_DELAY_MS
        } else {
            GROUP_HOLD_MS
        }
    }

    fn part_explanation(
        &self,
        part: PromptPart,
        exits: &[&Arc<str>],
        carried: &[PromptPart],
        now_ms: MonoMs,
    ) -> Explanation {
        let is_alternative = |digest: &RequestDigest| match digest.kind() {
            DigestKind::Part(other) => {
                other != part && !carried.contains(&other) && !self.is_proven(other)
            }
            DigestKind::Content | DigestKind::QueuedPart(_) => false,
        };
        self.explanation_among(exits, now_ms, is_alternative)
    }

    /// The exits that count against a part.
    pub(super) fn blamed_exits(&self, part: PromptPart, now_ms: MonoMs) -> Vec<&Arc<str>> {
        let last_survived_ms = self.last_survived_ms(part);
        let is_proven = last_survived_ms.is_some();
        let lifted = self.hold(RequestDigest::of_part(part));
        let lifted = lifted.map_or(&[][..], |hold| &hold.lifted);
        let counts = |target: &Arc<str>, exit: &ExitRecord, has_begun: bool| {
            let is_later = Some(exit.at_ms) > last_survived_ms && !lifted.contains(target);
            let is_fully_reported = now_ms.since(exit.at_ms) >= EXIT_REPORT_WINDOW_MS;
            match (is_proven, has_begun) {
                _ if !is_later => false,
                (false, true) => true,
                (true, false) => false,
                (false, false) if !is_fully_reported => false,
                (true, true) | (false, false) => !self.is_explained_by_other(exit, part),
            }
        };
        let exits = self.exits_with(part).into_iter();
        exits
            .filter(|(target, has_begun)| {
                let exit = self.exits.get(*target);
                exit.is_some_and(|exit| counts(target, exit, *has_begun))
            })
            .map(|(target, _)| target)
            .collect()
    }

    /// The exits of targets at which requests with the part were, and whether the target may have
    /// begun to respond to one of them.
    fn exits_with(&self, part: PromptPart) -> Vec<(&Arc<str>, bool)> {
        let exits_of = |digest: RequestDigest| {
            let record = self.requests.get(&digest);
            record.into_iter().flat_map(|record| record.exits.keys())
        };
        let begun: Vec<&Arc<str>> = exits_of(RequestDigest::of_part(part)).collect();
        let queued = exits_of(RequestDigest::of_queued_part(part));
        let only_queued: Vec<_> = queued.filter(|target| !begun.contains(target)).collect();
        let begun = begun.into_iter().map(|target| (target, true));
        begun
            .chain(only_queued.into_iter().map(|target| (target, false)))
            .collect()
    }

    /// Whether another part that is not proven may have caused the exit.
    fn is_explained_by_other(&self, exit: &ExitRecord, part: PromptPart) -> bool {
        let mut suspects = exit.suspects.keys();
        suspects.any(|digest| match digest.kind() {
            DigestKind::Part(other) => other != part && !self.is_proven(other),
            DigestKind::Content | DigestKind::QueuedPart(_) => false,
        })
    }

    /// The time of the last run of the part that a target has survived.
    pub(super) fn last_survived_ms(&self, part: PromptPart) -> Option<MonoMs> {
        let record = self.requests.get(&RequestDigest::of_part(part))?;
        record.survived_runs.values().max().copied()
    }

    fn ran_part_alone(&self, part: PromptPart, target: &Arc<str>) -> bool {
        let digests = [
            RequestDigest::of_part(part),
            RequestDigest::of_queued_part(part),
        ];
        let ran_alone = |record: &RequestRecord| record.exits.get(target) == Some(&true);
        digests
            .iter()
            .any(|digest| self.requests.get(digest).is_some_and(ran_alone))
    }

    /// Number of exits that do not coincide with the exit of a target that did not run the part.
    /// Another exit does not count if something else ran alone there, which explains it.
    fn uncorrelated_count(&self, part: PromptPart, exits: &[&Arc<str>]) -> usize {
        let digests = [
            RequestDigest::of_part(part),
            RequestDigest::of_queued_part(part),
        ];
        let is_unexplained = |other: &ExitRecord| {
            let has_part = digests
                .iter()
                .any(|digest| other.suspects.contains_key(digest));
            !has_part && !other.suspects.values().any(|ran_alone| *ran_alone)
        };
        let is_correlated = |at_ms: MonoMs| {
            let mut others = self.exits.values().filter(|other| is_unexplained(other));
            others.any(|other| other.at_ms.distance_ms(at_ms) <= CORRELATION_WINDOW_MS)
        };
        let records = exits.iter().filter_map(|exit| self.exits.get(*exit));
        records.filter(|exit| !is_correlated(exit.at_ms)).count()
    }
}
