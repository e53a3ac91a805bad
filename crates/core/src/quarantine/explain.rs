//! Whether one request alone explains the ends at which it was.
//!
//! Two requests that were at the same ends explain them equally well. Holding both would
//! refuse one of them for nothing, so neither is held until its own runs tell them apart.

use std::sync::Arc;

use super::{Quarantine, Record};
use crate::digest::RequestDigest;
use crate::time::MonoMs;

/// Time in which all processes tell of an end. Each notices it on its own, one that is paused
/// only once it goes on; the users allow this long for the news.
const TOLD_WITHIN_MS: u64 = 3_000;

/// Who explains the ends of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Explanation {
    /// It alone does.
    Sole,
    /// Another may, by what is told within this time.
    Open { known_in_ms: u64 },
    /// Another does as well.
    Shared,
}

impl Quarantine {
    /// Who explains these ends of a request.
    pub(super) fn explanation(
        &self,
        digest: RequestDigest,
        ends: &[&Arc<str>],
        now_ms: MonoMs,
    ) -> Explanation {
        let known = ends.iter().filter_map(|end| self.ends.get(*end));
        let suspects = known.flat_map(|end| end.suspects.keys());
        let others = suspects.filter(|other| **other != digest);
        let waits = others.filter_map(|other| self.wait_for(*other, ends, now_ms));
        waits.fold(Explanation::Sole, |found, wait_ms| match (found, wait_ms) {
            (Explanation::Shared, _) | (_, 0) => Explanation::Shared,
            (Explanation::Open { known_in_ms }, _) => Explanation::Open {
                known_in_ms: known_in_ms.max(wait_ms),
            },
            (Explanation::Sole, known_in_ms) => Explanation::Open { known_in_ms },
        })
    }

    /// Time until it is known whether another request was at all of these ends: 0 if it was,
    /// `None` if it was not, or is out of the question.
    fn wait_for(&self, other: RequestDigest, ends: &[&Arc<str>], now_ms: MonoMs) -> Option<u64> {
        let record = self.requests.get(&other)?;
        if !self.is_alternative(record, ends) {
            return None;
        }
        let missed = ends.iter().filter(|end| !record.ends.contains_key(**end));
        missed.into_iter().try_fold(0, |longest_ms: u64, end| {
            let age_ms = now_ms.since(self.ends.get(*end)?.at_ms);
            let wait_ms = TOLD_WITHIN_MS.checked_sub(age_ms).filter(|it| *it > 0)?;
            Some(longest_ms.max(wait_ms))
        })
    }

    /// Whether a request is suspected and no target has outlived it since the first of these
    /// ends.
    fn is_alternative(&self, record: &Record, ends: &[&Arc<str>]) -> bool {
        let times = ends.iter().filter_map(|end| self.ends.get(*end));
        let first_ms = times.map(|end| end.at_ms).min().unwrap_or_default();
        let is_outlived = record.outlived.values().any(|at_ms| *at_ms > first_ms);
        let own = self.counted_ends(record);
        !is_outlived && self.net(&self.apart(record, &own), record) > 0
    }
}
