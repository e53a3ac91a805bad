//! The queue of requests that wait for a slot.

use berylhook_core::time::MonoMs;

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

    /// Like [`Self::must_wait`], for the order of priority classes.
    pub(super) fn must_wait_behind(
        &self,
        class: PriorityClass,
        regions: Option<RegionSet>,
        now_ms: MonoMs,
    ) -> bool {
        let mut up_to = self
            .requests
            .iter()
            .filter(|queued| queued.class(now_ms) <= class);
        up_to.any(|queued| covers(queued.allowed_regions, regions))
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

    /// All requests by priority class, and by arrival within a class.
    pub(super) fn by_class(&self, now_ms: MonoMs) -> Vec<QueuedRequest> {
        let mut requests = self.requests.clone();
        requests.sort_by_key(|queued| queued.class(now_ms));
        requests
    }

    /// The number of queued requests of that class and of better ones that may run at the same
    /// targets as `request`, without that request.
    pub(super) fn count_others_up_to(
        &self,
        class: PriorityClass,
        request: &QueuedRequest,
        now_ms: MonoMs,
    ) -> usize {
        let others = self.requests.iter().filter(|queued| {
            queued.ticket != request.ticket
                && overlap(queued.allowed_regions, request.allowed_regions)
        });
        let classes = others.map(|queued| queued.class(now_ms));
        classes.filter(|other| *other <= class).count()
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
