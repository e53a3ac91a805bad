//! Tracks which groups are down, that is, refuse all requests, and whether the service delivers any
//! events.
//!
//! A group that lost a rank refuses all requests until it has formed again, while other groups of
//! its service keep running. Each request that is sent to it in the meantime is refused, sometimes
//! only after a stall, and its retry counts against the retry budget. So such a group gets a probe
//! request at intervals, or none until its leader reports that it is up again.
//!
//! Targets of no known group are treated as one group: their leader may not have reported yet, and
//! the assumption is right if all ranks are of one group.

use std::sync::Arc;

use berylhook_core::time::MonoMs;
use indexmap::IndexMap;

use crate::engine_update::GroupUpdate;

/// Interval between two probe requests to a group that refuses all requests. All front-end
/// processes send probes, and a group takes over half a second to form again.
const PROBE_INTERVAL_MS: u64 = 150;

/// How long a leader's report that a group is closed holds without being repeated: leaders repeat
/// their reports every two seconds, and report at once when a group opens.
const CLOSED_REPORT_TTL_MS: u64 = 2_500;

/// The service delivers events if its last one is no older than the longest recent interval between
/// two of them, or than this: a few forward passes.
const MIN_PROGRESS_WINDOW_MS: u64 = 300;

/// Upper bound of that window, after a stall.
const MAX_PROGRESS_WINDOW_MS: u64 = 1_000;

/// How long a service that stood still has to deliver events again before a target that does not
/// counts as silent.
const RESUMPTION_MS: u64 = 300;

/// How long an interval between two events counts as recent, at least.
const RECENT_INTERVAL_MS: u64 = 1_000;

/// A group's name; `None` for the targets of no known group.
pub(super) type GroupName = Option<Arc<str>>;

/// Whether one group is down, and when it may be probed.
#[derive(Debug, Default)]
struct Outage {
    /// Time from which the next probe may be sent to a group that is down; `None` while it is up.
    next_probe_ms: Option<MonoMs>,
    /// Whether the leader's last report said that the group is closed.
    is_reported_closed: bool,
}

/// The groups of a service that are or were down.
#[derive(Debug, Default)]
pub(super) struct Outages {
    by_group: IndexMap<GroupName, Outage>,
    /// Time of the last event on any stream of the service.
    last_event_ms: MonoMs,
    /// Time of the first event after the service last stood still.
    resumed_ms: MonoMs,
    intervals: RecentMaximum,
}

/// The longest interval of late between two events of a service.
#[derive(Debug, Default)]
struct RecentMaximum {
    period: u64,
    current_ms: u64,
    previous_ms: u64,
}

impl RecentMaximum {
    fn record(&mut self, interval_ms: u64, now_ms: MonoMs) {
        let period = now_ms.0 / RECENT_INTERVAL_MS;
        match period - self.period {
            0 => {}
            1 => (self.previous_ms, self.current_ms) = (self.current_ms, 0),
            _ => (self.previous_ms, self.current_ms) = (0, 0),
        }
        self.period = period;
        self.current_ms = self.current_ms.max(interval_ms);
    }

    fn get(&self) -> u64 {
        self.current_ms.max(self.previous_ms)
    }
}

impl Outages {
    /// Records that a target of the group refused a request although it should have had a free
    /// slot; returns whether the group was up until then.
    pub(super) fn on_refused(&mut self, group: &GroupName, now_ms: MonoMs) -> bool {
        let outage = self.by_group.entry(group.clone()).or_default();
        let was_up = outage.next_probe_ms.is_none();
        let next_probe_ms = now_ms + PROBE_INTERVAL_MS;
        outage.next_probe_ms = outage.next_probe_ms.max(Some(next_probe_ms));
        was_up
    }

    /// Records that a target of the group accepted a request; returns whether the group was down.
    pub(super) fn on_accepted(&mut self, group: &GroupName) -> bool {
        let outage = self.by_group.swap_remove(group);
        outage.is_some_and(|outage| outage.next_probe_ms.is_some())
    }

    /// Applies a leader's report on the groups; returns whether any group has closed.
    pub(super) fn on_group_update(&mut self, groups: &[GroupUpdate], now_ms: MonoMs) -> bool {
        let mut has_closed = false;
        for group in groups {
            let name = Some(Arc::clone(&group.name));
            let outage = self.by_group.entry(name).or_default();
            match (outage.is_reported_closed, group.is_open) {
                (_, false) => {
                    has_closed |= outage.next_probe_ms.is_none();
                    outage.next_probe_ms = Some(now_ms + CLOSED_REPORT_TTL_MS);
                }
                // Groups that were lost together open some milliseconds apart, and the first one
                // would get the whole backlog. So one probe is sent at once, and the other requests
                // follow when it is accepted.
                (true, true) => outage.next_probe_ms = outage.next_probe_ms.and(Some(now_ms)),
                (false, true) => {}
            }
            outage.is_reported_closed = !group.is_open;
        }
        has_closed
    }

    pub(super) fn on_stream_event(&mut self, now_ms: MonoMs) {
        if self.last_event_ms != MonoMs::default() {
            let interval_ms = now_ms.since(self.last_event_ms);
            self.intervals.record(interval_ms, now_ms);
            if interval_ms > MAX_PROGRESS_WINDOW_MS {
                self.resumed_ms = now_ms;
            }
        }
        self.last_event_ms = now_ms;
    }

    /// Whether the service has just begun to deliver events after it stood still. Its targets may
    /// have been paused together, and resume one after the other.
    pub(super) fn is_resuming(&self) -> bool {
        let progress_ms = self.last_event_ms.since(self.resumed_ms);
        self.resumed_ms != MonoMs::default() && progress_ms < RESUMPTION_MS
    }

    /// Whether the group refuses all requests at present.
    pub(super) fn is_down(&self, group: &GroupName) -> bool {
        let outage = self.by_group.get(group);
        outage.is_some_and(|outage| outage.next_probe_ms.is_some())
    }

    /// The longest interval of late between two events of the service.
    pub(super) fn event_interval_ms(&self) -> u64 {
        self.intervals.get()
    }

    /// Time of the last event on any stream of the service.
    pub(super) fn last_event_ms(&self) -> MonoMs {
        self.last_event_ms
    }

    /// Whether any stream of the service got an event recently.
    pub(super) fn has_recent_events(&self, now_ms: MonoMs) -> bool {
        let window_ms = self.intervals.get();
        let window_ms = window_ms.clamp(MIN_PROGRESS_WINDOW_MS, MAX_PROGRESS_WINDOW_MS);
        now_ms.since(self.last_event_ms) < window_ms
    }

    /// Whether a request may be sent to the group now. A group that is down gets one probe at a
    /// time.
    pub(super) fn may_send(&self, group: &GroupName, now_ms: MonoMs) -> bool {
        let next_probe_ms = self
            .by_group
            .get(group)
            .and_then(|outage| outage.next_probe_ms);
        next_probe_ms.is_none_or(|due_ms| due_ms <= now_ms)
    }

    /// Records that a request is sent to the group.
    pub(super) fn on_sent(&mut self, group: &GroupName, now_ms: MonoMs) {
        if let Some(outage) = self.by_group.get_mut(group)
            && outage.next_probe_ms.is_some()
        {
            outage.next_probe_ms = Some(now_ms + PROBE_INTERVAL_MS);
        }
    }
}
