//! The queue of requests that wait for a slot.

use berylhook_core::time::MonoMs;

use super::Ticket;

/// A queued request.
#[derive(Clone, Copy, Debug)]
pub(super) struct QueuedRequest {
    pub(super) ticket: Ticket,
    pub(super) urgency: u32,
    pub(super) on_time_until_ms: MonoMs,
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
}
