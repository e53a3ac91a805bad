//! Who waits for a place, and in which order.

use berylhook_core::time::MonoMs;

use super::Ticket;

/// A request that waits.
#[derive(Clone, Copy, Debug)]
pub(super) struct Waiting {
    pub(super) ticket: Ticket,
    pub(super) urgency: u32,
    pub(super) timely_until_ms: MonoMs,
}

/// Waiting requests, more urgent ones first, in order of arrival.
#[derive(Debug, Default)]
pub(super) struct WaitQueue {
    waiting: Vec<Waiting>,
}

impl WaitQueue {
    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Waiting requests that go before a new one of that urgency.
    pub(super) fn ahead_of(&self, urgency: u32) -> usize {
        self.waiting
            .partition_point(|waiting| waiting.urgency <= urgency)
    }

    /// Takes in a request behind all of its urgency.
    pub(super) fn push(&mut self, waiting: Waiting) {
        let ahead = self.ahead_of(waiting.urgency);
        self.waiting.insert(ahead, waiting);
    }

    /// A request gives up, or is placed.
    pub(super) fn remove(&mut self, ticket: Ticket) {
        self.waiting.retain(|waiting| waiting.ticket != ticket);
    }

    /// Of the most urgent requests, the first that can still be answered within
    /// its goal, or else the first.
    ///
    /// When a service is back after seconds, those who waited through them are
    /// late already and lose little by a moment more; placed first, they would
    /// make everybody behind them late too.
    pub(super) fn first(&self, now_ms: MonoMs) -> Option<Ticket> {
        let first = self.waiting.first()?;
        let as_urgent = self
            .waiting
            .iter()
            .take_while(|it| it.urgency == first.urgency);
        let mut timely = as_urgent.filter(|it| now_ms <= it.timely_until_ms);
        Some(timely.next().unwrap_or(first).ticket)
    }
}
