//! Detects stalled groups: groups with running requests of which none makes progress.
//!
//! All ranks of a group run each forward pass together, so one VM that freezes at the wrong moment
//! stalls the whole group. Requests that are sent there wait at their targets until their callers
//! give up, and those that must not run twice cannot be moved to another target. So a stalled group
//! gets no requests, except for one at a time if this entry has none left there that would show
//! that the group has resumed.

use berylhook_core::time::MonoMs;
use indexmap::IndexMap;

use super::outage::GroupName;

/// A group is stalled if none of its streams got an event for this long. The longest forward passes
/// take about half of it.
const STALL_TIMEOUT_MS: u64 = 400;

/// Running requests from which silence counts as a stall: a single one may be paused by itself.
const MIN_RUNNING: u32 = 2;

/// Progress of one group on the requests of this entry.
#[derive(Debug, Default)]
struct GroupProgress {
    /// Since when the group has had at least one request.
    busy_since_ms: MonoMs,
    /// Time of the last event on any stream of the group.
    last_event_ms: MonoMs,
    is_stalled: bool,
}

/// Detects stalls of the groups of a service.
#[derive(Debug, Default)]
pub(super) struct StallDetector {
    by_group: IndexMap<GroupName, GroupProgress>,
}

impl StallDetector {
    /// Records an event on a stream of the group; returns whether the group was stalled.
    pub(super) fn on_stream_event(&mut self, group: &GroupName, now_ms: MonoMs) -> bool {
        if !self.by_group.contains_key(group) {
            self.by_group
                .insert(group.clone(), GroupProgress::default());
        }
        let progress = &mut self.by_group[group];
        progress.last_event_ms = now_ms;
        std::mem::take(&mut progress.is_stalled)
    }

    /// Records that a request is placed in the group, where `running` others run already.
    pub(super) fn on_placed(&mut self, group: &GroupName, running: u32, now_ms: MonoMs) {
        if running > 0 {
            return;
        }
        if let Some(progress) = self.by_group.get_mut(group) {
            progress.busy_since_ms = now_ms;
        }
    }

    /// Checks a group that has `running` requests; returns whether it has stalled since the last
    /// check.
    pub(super) fn check(&mut self, group: &GroupName, running: u32, now_ms: MonoMs) -> bool {
        let Some(progress) = self.by_group.get_mut(group) else {
            return false;
        };
        let has_progressed = progress.last_event_ms > progress.busy_since_ms;
        let is_silent = now_ms.since(progress.last_event_ms) >= STALL_TIMEOUT_MS;
        let is_new = !progress.is_stalled && running >= MIN_RUNNING && has_progressed && is_silent;
        progress.is_stalled |= is_new;
        is_new
    }

    /// Whether the group was stalled at the last check.
    pub(super) fn is_stalled(&self, group: &GroupName) -> bool {
        self.by_group
            .get(group)
            .is_some_and(|progress| progress.is_stalled)
    }
}
