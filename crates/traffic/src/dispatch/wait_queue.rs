//! The queue of requests that wait for a slot.

use berylhook_core::time::MonoMs;
use indexmap::{IndexMap, IndexSet};

use super::Ticket;
use super::admission::PriorityClass;
use crate::regions::RegionSet;

/// A queued request.
#[derive(Clone, Copy, Debug)]
pub(super) struct QueuedRequest {
    pub(super) ticket: Ticket,
    pub(super) urgency: u32,
    pub(super) on_time_until_ms: MonoMs,
    /// The regions in which the request may run; `None` if it may run in any.
    pub(super) allowed_regions: Option<RegionSet>,
    /// Whether the request resumes an interrupted response.
    pub(super) is_resumed: bool,
    /// When the wait ends in any case; `None` if the dispatcher does not end it.
    pub(super) late_until_ms: Option<MonoMs>,
}

impl QueuedRequest {
    pub(super) fn class(&self, now_ms: MonoMs) -> PriorityClass {
        PriorityClass {
            is_new: !self.is_resumed,
            urgency: self.urgency,
            is_late: now_ms > self.on_time_until_ms,
        }
    }
}

/// Queued requests by urgency, and by arrival within the same urgency.
#[derive(Debug, Default)]
pub(super) struct WaitQueue {
    requests: Vec<QueuedRequest>,
}

impl WaitQueue {
    pub(super) fn len(&self) -> usize {
        self.requests.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// The number of queued requests that precede a new one of that urgency.
    fn count_preceding(&self, urgency: u32) -> usize {
        self.requests
            .partition_point(|request| request.urgency <= urgency)
    }

    fn preceding(&self, urgency: u32) -> &[QueuedRequest] {
        &self.requests[..self.count_preceding(urgency)]
    }

    /// The number of queued requests that precede a new one and may run at the same targets.
    pub(super) fn count_competing(&self, urgency: u32, regions: Option<RegionSet>) -> usize {
        let preceding = self.preceding(urgency).iter();
        preceding
            .filter(|queued| overlap(queued.allowed_regions, regions))
            .count()
    }

    /// Whether a new request has to be queued because one that precedes it may run at all targets
    /// at which the new one may run. The others wait for targets in their own regions.
    pub(super) fn must_wait(&self, urgency: u32, regions: Option<RegionSet>) -> bool {
        let mut preceding = self.preceding(urgency).iter();
        preceding.any(|queued| covers(queued.allowed_regions, regions))
    }

    /// Queues a request behind all of the same urgency.
    pub(super) fn push(&mut self, request: QueuedRequest) {
        let preceding = self.count_preceding(request.urgency);
        self.requests.insert(preceding, request);
    }

    /// Removes a request that was placed or cancelled.
    pub(super) fn remove(&mut self, ticket: Ticket) {
        self.requests.retain(|request| request.ticket != ticket);
    }

    /// Of the most urgent requests, the first that can still meet its latency objective, or else
    /// the first. Requests with one of the constraints `blocked` are left out.
    ///
    /// When a service returns after an outage of seconds, the requests that waited through it are
    /// late already and lose little by a slightly longer wait. If they were placed first, all
    /// requests behind them would be late too.
    pub(super) fn first(
        &self,
        blocked: &[Option<RegionSet>],
        now_ms: MonoMs,
    ) -> Option<QueuedRequest> {
        let requests = self.requests.iter();
        let requests = requests.filter(|queued| !blocked.contains(&queued.allowed_regions));
        let first = requests.clone().next()?;
        let as_urgent = requests.take_while(|queued| queued.urgency == first.urgency);
        let mut on_time = as_urgent.filter(|queued| now_ms <= queued.on_time_until_ms);
        Some(*on_time.next().unwrap_or(first))
    }

    /// The first request of each priority class and set of allowed regions, the best class first.
    pub(super) fn first_of_each_class(&self, now_ms: MonoMs) -> Vec<QueuedRequest> {
        let key = |queued: &QueuedRequest| (queued.class(now_ms), queued.allowed_regions);
        let mut firsts: Vec<QueuedRequest> = Vec::new();
        for queued in &self.requests {
            if firsts.iter().all(|first| key(first) != key(queued)) {
                firsts.push(*queued);
            }
        }
        firsts.sort_by_key(|queued| queued.class(now_ms));
        firsts
    }

    /// The sets of allowed regions of the queued requests.
    pub(super) fn allowed_regions(&self) -> IndexSet<RegionSet> {
        let regions = self
            .requests
            .iter()
            .filter_map(|queued| queued.allowed_regions);
        regions.collect()
    }

    /// The numbers of requests by priority class, the best class first.
    pub(super) fn count_by_class(&self, now_ms: MonoMs) -> IndexMap<PriorityClass, usize> {
        self.count_classes(now_ms, |_| true)
    }

    /// Like [`Self::count_by_class`], for the requests that may run at all targets at which a
    /// request with these allowed regions may run.
    pub(super) fn count_competing_by_class(
        &self,
        regions: Option<RegionSet>,
        now_ms: MonoMs,
    ) -> IndexMap<PriorityClass, usize> {
        self.count_classes(now_ms, |queued| covers(queued.allowed_regions, regions))
    }

    fn count_classes(
        &self,
        now_ms: MonoMs,
        includes: impl Fn(&QueuedRequest) -> bool,
    ) -> IndexMap<PriorityClass, usize> {
        let mut counts = IndexMap::new();
        for queued in self.requests.iter().filter(|queued| includes(queued)) {
            *counts.entry(queued.class(now_ms)).or_default() += 1;
        }
        counts.sort_unstable_keys();
        counts
    }

    /// Removes the requests of the class for which `is_kept` is false, in the order of arrival.
    pub(super) fn retain_class(
        &mut self,
        class: PriorityClass,
        now_ms: MonoMs,
        mut is_kept: impl FnMut(&QueuedRequest) -> bool,
    ) {
        self.requests
            .retain(|queued| queued.class(now_ms) != class || is_kept(queued));
    }
}

/// Whether two requests may run at the same targets; `None` if a request may run in any region.
pub(super) fn overlap(one: Option<RegionSet>, other: Option<RegionSet>) -> bool {
    match (one, other) {
        (Some(one), Some(other)) => one.intersects(other),
        _ => true,
    }
}

/// Whether a request may run at all targets at which another one may run.
fn covers(one: Option<RegionSet>, other: Option<RegionSet>) -> bool {
    match (one, other) {
        (Some(one), Some(other)) => one.contains(other),
        (Some(_), None) => false,
        (None, _) => true,
    }
}
