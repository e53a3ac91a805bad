//! The queue of requests that wait for a slot.

use berylhook_core::time::MonoMs;
use indexmap::IndexMap;

use super::Ticket;
use super::admission::PriorityClass;

/// A queued request.
#[derive(Clone, Copy, Debug)]
pub(super) struct QueuedRequest {
    pub(super) ticket: Ticket,
    pub(super) urgency: u32,
    pub(super) on_time_until_ms: MonoMs,
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
    pub(super) fn count_preceding(&self, urgency: u32) -> usize {
        self.requests
            .partition_point(|request| request.urgency <= urgency)
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
    /// the first.
    ///
    /// When a service returns after an outage of seconds, the requests that waited through it are
    /// late already and lose little by a slightly longer wait. If they were placed first, all
    /// requests behind them would be late too.
    pub(super) fn first(&self, now_ms: MonoMs) -> Option<Ticket> {
        let first = self.requests.first()?;
        let as_urgent = self
            .requests
            .iter()
            .take_while(|queued| queued.urgency == first.urgency);
        let mut on_time = as_urgent.filter(|queued| now_ms <= queued.on_time_until_ms);
        Some(on_time.next().unwrap_or(first).ticket)
    }

    /// The first request of each priority class, the best class first.
    pub(super) fn first_of_each_class(&self, now_ms: MonoMs) -> Vec<QueuedRequest> {
        let mut firsts: Vec<QueuedRequest> = Vec::new();
        for queued in &self.requests {
            let class = queued.class(now_ms);
            if firsts.iter().all(|first| first.class(now_ms) != class) {
                firsts.push(*queued);
            }
        }
        firsts.sort_by_key(|queued| queued.class(now_ms));
        firsts
    }

    /// The numbers of requests by priority class, the best class first.
    pub(super) fn count_by_class(&self, now_ms: MonoMs) -> IndexMap<PriorityClass, usize> {
        let mut counts = IndexMap::new();
        for queued in &self.requests {
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
