//! What is known of one target's load, and the estimate made from it.

use crate::time::MonoMs;

use super::Availability;

/// Weight of a new measurement in the moving averages.
const EWMA_WEIGHT: f64 = 0.2;

/// One target's load as one process knows it.
#[derive(Debug)]
pub struct TargetLoad {
    /// Whether it may get new work.
    pub availability: Availability,
    reported_running: u32,
    reported_waiting: u32,
    slots: u32,
    /// Sent by this process since the moment the report speaks of.
    sent_since_report: Vec<MonoMs>,
    /// Sent by this process and not ended.
    in_flight: u32,
    /// Send times of requests that have no first token yet, in order.
    awaiting_first: Vec<MonoMs>,
    first_token_ms: f64,
}

impl TargetLoad {
    pub(super) fn new(initial_first_token_ms: f64) -> Self {
        Self {
            availability: Availability::Down,
            reported_running: 0,
            reported_waiting: 0,
            slots: 1,
            sent_since_report: Vec::new(),
            in_flight: 0,
            awaiting_first: Vec::new(),
            first_token_ms: initial_first_token_ms,
        }
    }

    pub(super) fn on_dispatch(&mut self, now_ms: MonoMs) {
        self.in_flight += 1;
        self.sent_since_report.push(now_ms);
        self.awaiting_first.push(now_ms);
    }

    /// The target reported its load as of `as_of_ms` on this process's clock.
    pub fn on_report(&mut self, running: u32, waiting: u32, slots: u32, as_of_ms: MonoMs) {
        self.reported_running = running;
        self.reported_waiting = waiting;
        self.slots = slots.max(1);
        self.sent_since_report.retain(|sent| *sent > as_of_ms);
    }

    /// The first token of the request sent at `sent_ms` arrived.
    pub fn on_first_token(&mut self, sent_ms: MonoMs, now_ms: MonoMs) {
        self.no_longer_awaited(sent_ms);
        #[allow(clippy::cast_precision_loss)] // milliseconds of one request
        let took_ms = now_ms.since(sent_ms) as f64;
        self.first_token_ms += EWMA_WEIGHT * (took_ms - self.first_token_ms);
    }

    /// The request sent at `sent_ms` ended, answered or not.
    pub fn on_end(&mut self, sent_ms: MonoMs) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.no_longer_awaited(sent_ms);
    }

    fn no_longer_awaited(&mut self, sent_ms: MonoMs) {
        if let Some(index) = self.awaiting_first.iter().position(|sent| *sent == sent_ms) {
            self.awaiting_first.remove(index);
        }
    }

    /// Requests sent by this process and not ended.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Recent time to first token.
    #[must_use]
    pub fn first_token_ms(&self) -> f64 {
        self.first_token_ms
    }

    /// Requests at the target: its own report, plus what was sent since, and
    /// never less than what this process still has there.
    fn occupancy(&self) -> f64 {
        let reported = f64::from(self.reported_running + self.reported_waiting);
        #[allow(clippy::cast_precision_loss)] // a few hundred at most
        let sent = self.sent_since_report.len() as f64;
        (reported + sent).max(f64::from(self.in_flight))
    }

    /// Estimated time to first token of one more request, which needs
    /// `reading_ms` for the part of its prompt that is not cached.
    pub(super) fn estimate_ms(&self, reading_ms: f64, now_ms: MonoMs) -> f64 {
        let slots = f64::from(self.slots);
        let ahead = self.occupancy();
        let queued = (ahead + 1.0 - slots).max(0.0);
        let pressure = queued / slots + ahead / slots;
        self.pace_ms(now_ms) * (1.0 + pressure) + reading_ms
    }

    fn pace_ms(&self, now_ms: MonoMs) -> f64 {
        #[allow(clippy::cast_precision_loss)] // milliseconds of one request
        let oldest_wait_ms = self
            .awaiting_first
            .first()
            .map_or(0.0, |sent| now_ms.since(*sent) as f64);
        self.first_token_ms.max(oldest_wait_ms)
    }
}
