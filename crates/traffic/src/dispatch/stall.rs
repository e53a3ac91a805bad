//! Which groups stand still: they have requests, and none of these gets any further.
//!
//! All ranks of a group run each pass together, so one VM that is frozen at the wrong moment
//! stops the whole group. What is sent there meanwhile waits at its target until its caller
//! gives up, and where it may run once only nobody can take it elsewhere. So nothing is sent
//! to such a group, but one request where this entry has none there that would tell that the
//! group goes on.

use berylhook_core::time::MonoMs;
use indexmap::IndexMap;

use super::outage::GroupName;

/// A group whose streams get no event for this long stands still. The longest passes take
/// about half of it.
const STILL_AFTER_MS: u64 = 400;

/// Requests that a group needs for its silence to count: the only one may be paused alone.
const LEAST_RUNNING: u32 = 2;

/// How one group gets on with the requests of this entry.
#[derive(Debug, Default)]
struct Flow {
    /// Since when it has had requests all the time.
    busy_since_ms: MonoMs,
    /// When any of its streams last got an event.
    progressed_ms: MonoMs,
    is_still: bool,
}

/// How the groups get on.
#[derive(Debug, Default)]
pub(super) struct Standstills {
    by_group: IndexMap<GroupName, Flow>,
}

impl Standstills {
    /// A stream of the group got an event; returns whether the group stood still.
    pub(super) fn on_progress(&mut self, group: &GroupName, now_ms: MonoMs) -> bool {
        if !self.by_group.contains_key(group) {
            self.by_group.insert(group.clone(), Flow::default());
        }
        let flow = &mut self.by_group[group];
        flow.progressed_ms = now_ms;
        std::mem::take(&mut flow.is_still)
    }

    /// A request is placed in the group, beside `running` others.
    pub(super) fn on_placed(&mut self, group: &GroupName, running: u32, now_ms: MonoMs) {
        if running > 0 {
            return;
        }
        if let Some(flow) = self.by_group.get_mut(group) {
            flow.busy_since_ms = now_ms;
        }
    }

    /// Looks at a group with that many requests; returns whether it has come to stand still.
    pub(super) fn look(&mut self, group: &GroupName, running: u32, now_ms: MonoMs) -> bool {
        let Some(flow) = self.by_group.get_mut(group) else {
            return false;
        };
        let has_flowed = flow.progressed_ms > flow.busy_since_ms;
        let is_silent = now_ms.since(flow.progressed_ms) >= STILL_AFTER_MS;
        let is_new = !flow.is_still && running >= LEAST_RUNNING && has_flowed && is_silent;
        flow.is_still |= is_new;
        is_new
    }

    /// Whether the group stood still when it was last looked at.
    pub(super) fn is_still(&self, group: &GroupName) -> bool {
        self.by_group.get(group).is_some_and(|flow| flow.is_still)
    }
}
