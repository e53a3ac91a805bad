//! What is forgotten: facts that are too old, and the oldest where there are too many.

use std::sync::Arc;

use super::{FACT_TTL_MS, HoldKind, Quarantine, Record};
use crate::time::MonoMs;

/// Ends that are remembered. A fleet that loses more in ten minutes has other troubles;
/// with the suspects below it bounds the memory at about a megabyte, and what entries
/// tell each other at half of one.
const MOST_ENDS: usize = 256;

/// Requests that are held. Each has cost three targets, so one account that means harm
/// does not get there before it is noticed.
const MOST_HOLDS: usize = 1_024;

/// Requests of which only runs are known that targets outlived. All that ended with a dozen
/// targets have room, and news of their ends is seconds behind.
const MOST_EARLY: usize = 1_024;

impl Quarantine {
    /// Forgets facts that are too old to count.
    pub fn expire_facts(&mut self, now_ms: MonoMs) {
        let is_fresh = |at_ms: MonoMs| now_ms.since(at_ms) < FACT_TTL_MS;
        self.ends.retain(|_, end| is_fresh(end.at_ms));
        for request in self.requests.values_mut() {
            request.outlived.retain(|_, at_ms| is_fresh(*at_ms));
        }
        self.drop_idle();
    }

    /// The oldest ends go first. What matters of them, who is held, is kept apart.
    pub(super) fn bound_ends(&mut self) {
        if self.ends.len() <= MOST_ENDS {
            return;
        }
        let oldest = self.ends.iter().min_by_key(|(_, end)| end.at_ms);
        let oldest = oldest.map(|(target, _)| Arc::clone(target));
        let Some((target, end)) = oldest.and_then(|it| self.ends.swap_remove_entry(&it)) else {
            return;
        };
        for digest in end.suspects.into_keys() {
            let Some(request) = self.requests.get_mut(&digest) else {
                continue;
            };
            request.ends.swap_remove(&target);
            if request.is_idle() {
                self.requests.swap_remove(&digest);
            }
        }
    }

    pub(super) fn bound_holds(&mut self) {
        let is_held = |request: &Record| {
            let kind = request.hold.as_ref().map(|it| it.hold.kind);
            kind == Some(HoldKind::Held)
        };
        let held = self.requests.iter().filter(|(_, it)| is_held(it));
        let (count, oldest) = held.fold((0, None), |(count, oldest), (digest, request)| {
            let since = request.hold.as_ref().map(|it| it.hold.since);
            let older = oldest.filter(|(known, _)| Some(*known) <= since);
            (count + 1, older.or(since.map(|since| (since, *digest))))
        });
        if let (true, Some((_, digest))) = (count > MOST_HOLDS, oldest) {
            self.requests.swap_remove(&digest);
        }
    }

    pub(super) fn drop_idle(&mut self) {
        let ends = &self.ends;
        self.requests.retain(|_, request| {
            request.ends.retain(|end, _| ends.contains_key(end));
            !request.is_idle() || request.is_early()
        });
        self.bound_early();
    }

    pub(super) fn bound_early(&mut self) {
        let early = self.requests.values().filter(|it| it.is_early()).count();
        let mut surplus = early.saturating_sub(MOST_EARLY);
        if surplus == 0 {
            return;
        }
        self.requests.retain(|_, request| {
            let is_dropped = surplus > 0 && request.is_early();
            surplus -= usize::from(is_dropped);
            !is_dropped
        });
    }
}
