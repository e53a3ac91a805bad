//! Which groups run, which refuse everything, and whether anything comes at all.
//!
//! A group that lost a rank refuses all that it gets until it has formed anew, while other
//! groups of its service go on. Every request sent there meanwhile is refused, after a stall
//! at times, and each counts against the budget for second sends. So it gets a try now and
//! then, or none until its leader says that it runs again.
//!
//! Targets of which no group is known are taken for one: a leader may not have told yet, and
//! where all ranks are of one group it is so.

use std::sync::Arc;

use berylhook_core::time::MonoMs;
use indexmap::IndexMap;

use crate::engine_update::GroupUpdate;

/// Time between two tries of a group that refuses everything. All entries try, and a group
/// takes over half a second to form anew.
const TRY_EVERY_MS: u64 = 150;

/// Time until a group that its leader calls closed is tried without another word: the leader
/// repeats itself every two seconds, and tells at once when the group runs.
const TOLD_CLOSED_MS: u64 = 2_500;

/// A service is getting events if its last one is this recent: a few passes.
const PROGRESS_WITHIN_MS: u64 = 300;

/// A group's name; `None` where none is known.
pub(super) type GroupName = Option<Arc<str>>;

/// What is known of one group's outage.
#[derive(Debug, Default)]
struct Outage {
    /// When the next request may try a group that refuses them all; `None` while it runs.
    retry_ms: Option<MonoMs>,
    /// Whether its leader called it closed.
    is_told_closed: bool,
}

/// What is known of a service's outages.
#[derive(Debug, Default)]
pub(super) struct Outages {
    by_group: IndexMap<GroupName, Outage>,
    /// When any stream of the service last got an event.
    progressed_ms: MonoMs,
}

impl Outages {
    /// A target of the group refused a request although this entry had places for it;
    /// returns whether the group ran until then.
    pub(super) fn on_refused(&mut self, group: &GroupName, now_ms: MonoMs) -> bool {
        let outage = self.by_group.entry(group.clone()).or_default();
        let ran = outage.retry_ms.is_none();
        let retry_ms = now_ms + TRY_EVERY_MS;
        outage.retry_ms = outage.retry_ms.max(Some(retry_ms));
        ran
    }

    /// A target of the group accepted a request; returns whether the group was down.
    pub(super) fn on_accepted(&mut self, group: &GroupName) -> bool {
        let outage = self.by_group.swap_remove(group);
        outage.is_some_and(|outage| outage.retry_ms.is_some())
    }

    /// The leader tells of the groups; returns whether one has closed.
    pub(super) fn on_news(&mut self, groups: &[GroupUpdate], now_ms: MonoMs) -> bool {
        let mut is_changed = false;
        for group in groups {
            let name = Some(Arc::clone(&group.name));
            let outage = self.by_group.entry(name).or_default();
            match (outage.is_told_closed, group.is_open) {
                (_, false) => {
                    is_changed |= outage.retry_ms.is_none();
                    outage.retry_ms = Some(now_ms + TOLD_CLOSED_MS);
                }
                // Groups that were lost together open some milliseconds apart, and the first one
                // would get all that waits. A try goes at once; the others once it streams.
                (true, true) => outage.retry_ms = outage.retry_ms.and(Some(now_ms)),
                (false, true) => {}
            }
            outage.is_told_closed = !group.is_open;
        }
        is_changed
    }

    pub(super) fn on_progress(&mut self, now_ms: MonoMs) {
        self.progressed_ms = now_ms;
    }

    /// Whether the group refuses everything at present.
    pub(super) fn is_down(&self, group: &GroupName) -> bool {
        let outage = self.by_group.get(group);
        outage.is_some_and(|outage| outage.retry_ms.is_some())
    }

    /// Whether streams of the service bring events.
    pub(super) fn progresses(&self, now_ms: MonoMs) -> bool {
        now_ms.since(self.progressed_ms) < PROGRESS_WITHIN_MS
    }

    /// Whether a request may be sent to the group now, so that one at a time tries a group
    /// that is down.
    pub(super) fn may_send(&self, group: &GroupName, now_ms: MonoMs) -> bool {
        let retry_ms = self.by_group.get(group).and_then(|outage| outage.retry_ms);
        retry_ms.is_none_or(|due_ms| due_ms <= now_ms)
    }

    /// A request is sent to the group.
    pub(super) fn on_sent(&mut self, group: &GroupName, now_ms: MonoMs) {
        if let Some(outage) = self.by_group.get_mut(group)
            && outage.retry_ms.is_some()
        {
            outage.retry_ms = Some(now_ms + TRY_EVERY_MS);
        }
    }
}
