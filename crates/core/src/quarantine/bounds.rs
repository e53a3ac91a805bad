//! Expiry of old facts, and eviction of the oldest entries when there are too many.

use std::sync::Arc;

use super::{FACT_TTL_MS, HoldKind, Quarantine, RequestRecord};
use crate::time::MonoMs;

/// Maximum number of exits. A fleet that loses more targets in ten minutes has a larger problem
/// than poison requests. Together with the maximum number of suspects per exit, this limits the
/// memory to about a megabyte, and the messages between entries to half of one.
const MAX_EXITS: usize = 256;

/// Maximum number of held requests. Each hold has cost three targets, so a malicious account is
/// noticed before it reaches this number.
const MAX_HOLDS: usize = 1_024;

/// Maximum number of requests of which only survived runs are known. This suffices for all requests
/// of a dozen exited targets, and the reports of their exits arrive within seconds.
const MAX_EARLY_RECORDS: usize = 1_024;

impl Quarantine {
    /// Removes expired facts.
    pub fn expire_facts(&mut self, now_ms: MonoMs) {
        let is_fresh = |at_ms: MonoMs| now_ms.since(at_ms) < FACT_TTL_MS;
        self.exits.retain(|_, exit| is_fresh(exit.at_ms));
        for request in self.requests.values_mut() {
            request.survived_runs.retain(|_, at_ms| is_fresh(*at_ms));
        }
        self.remove_idle_records();
    }

    /// Evicts the oldest exit. Holds, which are the important consequence of exits, are stored
    /// separately.
    pub(super) fn evict_excess_exits(&mut self) {
        if self.exits.len() <= MAX_EXITS {
            return;
        }
        let oldest = self.exits.iter().min_by_key(|(_, exit)| exit.at_ms);
        let oldest = oldest.map(|(target, _)| Arc::clone(target));
        let Some((target, exit)) = oldest.and_then(|target| self.exits.swap_remove_entry(&target))
        else {
            return;
        };
        for digest in exit.suspects.into_keys() {
            let Some(request) = self.requests.get_mut(&digest) else {
                continue;
            };
            request.exits.swap_remove(&target);
            if request.has_no_evidence() {
                self.requests.swap_remove(&digest);
            }
        }
    }

    pub(super) fn evict_excess_holds(&mut self) {
        let is_held = |request: &RequestRecord| {
            let kind = request.hold.as_ref().map(|received| received.hold.kind);
            kind == Some(HoldKind::Held)
        };
        let held = self.requests.iter().filter(|(_, request)| is_held(request));
        let (count, oldest) = held.fold((0, None), |(count, oldest), (digest, request)| {
            let since = request.hold.as_ref().map(|received| received.hold.since);
            let older = oldest.filter(|(oldest_since, _)| Some(*oldest_since) <= since);
            (count + 1, older.or(since.map(|since| (since, *digest))))
        });
        if let (true, Some((_, digest))) = (count > MAX_HOLDS, oldest) {
            self.requests.swap_remove(&digest);
        }
    }

    pub(super) fn remove_idle_records(&mut self) {
        let exits = &self.exits;
        self.requests.retain(|_, request| {
            request.exits.retain(|exit, _| exits.contains_key(exit));
            !request.has_no_evidence() || request.has_only_survived_runs()
        });
        self.evict_excess_early_records();
    }

    pub(super) fn evict_excess_early_records(&mut self) {
        let early_records = self
            .requests
            .values()
            .filter(|request| request.has_only_survived_runs())
            .count();
        let mut surplus = early_records.saturating_sub(MAX_EARLY_RECORDS);
        if surplus == 0 {
            return;
        }
        self.requests.retain(|_, request| {
            let is_dropped = surplus > 0 && request.has_only_survived_runs();
            surplus -= usize::from(is_dropped);
            !is_dropped
        });
    }
}
