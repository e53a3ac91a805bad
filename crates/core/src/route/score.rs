//! The known load of one target, and the estimated time to first token.

use std::collections::VecDeque;

use crate::time::MonoMs;

use super::Availability;

/// Weight of a new measurement in the moving averages.
const EWMA_WEIGHT: f64 = 0.2;

/// Base time to first token of an idle target, without reading the prompt.
const BASE_MS: f64 = 10.0;

/// Time that a request is assumed to occupy its slot until that has been measured.
const INITIAL_SLOT_TIME_MS: f64 = 300.0;

/// Fraction of a target's slots above which a wait for a slot is expected. It is below 1
/// because requests of other processes show only in the next load report.
const FULL_FRACTION: f64 = 0.7;

/// How long this process's own in-flight counts are kept, to find the count at the time
/// that a late load report describes.
const OWN_COUNTS_RETENTION_MS: u64 = 5_000;

/// Most requests of all processes that are assumed for each request of this process.
const MAX_LOAD_RATIO: f64 = 16.0;

/// Added to the reported requests, so that requests of other processes are assumed even
/// while the reports show hardly any.
const PRIOR_REQUESTS: f64 = 3.0;

/// Time after which half of a measured slowdown has decayed. Without decay, a target that
/// is no longer chosen would get no requests that could show its recovery.
const SLOWDOWN_DECAY_MS: f64 = 20_000.0;

/// A request whose first token has not arrived yet.
#[derive(Clone, Copy, Debug)]
struct PendingRequest {
    sent_ms: MonoMs,
    expected_ms: f64,
}

/// Number of this process's requests at the target from `from_ms` on.
#[derive(Clone, Copy, Debug)]
struct OwnCount {
    from_ms: MonoMs,
    in_flight: u32,
}

/// One target's load, as known to this process.
#[derive(Debug)]
pub struct TargetLoad {
    /// Whether the target may get new requests.
    pub availability: Availability,
    /// Running and waiting requests of all processes in the last load report.
    reported_requests: f64,
    /// Requests of this process at the time that the last report describes.
    own_at_report: f64,
    slots: f64,
    in_flight: u32,
    own_counts: VecDeque<OwnCount>,
    pending: Vec<PendingRequest>,
    /// Ratio of measured to expected time to first token, as a moving average.
    slowdown: f64,
    /// When the slowdown was last updated.
    slowdown_ms: MonoMs,
    /// Time that a request occupies its slot, as a moving average.
    slot_time_ms: f64,
    /// Time to first token, as a moving average.
    first_token_ms: f64,
}

impl TargetLoad {
    pub(super) fn new(initial_first_token_ms: f64) -> Self {
        Self {
            availability: Availability::Down,
            reported_requests: 0.0,
            own_at_report: 0.0,
            slots: 1.0,
            in_flight: 0,
            own_counts: VecDeque::new(),
            pending: Vec::new(),
            slowdown: 1.0,
            slowdown_ms: MonoMs(0),
            slot_time_ms: INITIAL_SLOT_TIME_MS,
            first_token_ms: initial_first_token_ms,
        }
    }

    /// Records that this process sent a request to the target.
    ///
    /// A response that is not streamed arrives only when the whole request is done. Its
    /// expected time includes that, as the target would otherwise look silent.
    pub(super) fn on_dispatch(&mut self, reading_ms: f64, is_stream: bool, now_ms: MonoMs) {
        let generating_ms = if is_stream { 0.0 } else { self.slot_time_ms };
        self.pending.push(PendingRequest {
            sent_ms: now_ms,
            expected_ms: self.expected_ms(reading_ms) + generating_ms,
        });
        self.in_flight += 1;
        self.record_own_count(now_ms);
    }

    /// Applies a load report of the target that describes `as_of_ms` on this process's clock.
    pub fn on_load_report(&mut self, running: u32, waiting: u32, slots: u32, as_of_ms: MonoMs) {
        self.reported_requests = f64::from(running) + f64::from(waiting);
        self.slots = f64::from(slots.max(1));
        let own_count = self
            .own_counts
            .iter()
            .rev()
            .find(|count| count.from_ms <= as_of_ms);
        self.own_at_report = own_count.map_or(0.0, |count| f64::from(count.in_flight));
    }

    /// Records that the first token of the request sent at `sent_ms` arrived.
    #[allow(clippy::cast_precision_loss)] // request durations are exact in an f64
    pub fn on_first_token(&mut self, sent_ms: MonoMs, now_ms: MonoMs) {
        let took_ms = now_ms.since(sent_ms) as f64;
        self.first_token_ms += EWMA_WEIGHT * (took_ms - self.first_token_ms);
        if let Some(pending) = self.remove_pending(sent_ms) {
            let measured = took_ms / pending.expected_ms;
            self.slowdown = self.decayed_slowdown(now_ms);
            self.slowdown += EWMA_WEIGHT * (measured - self.slowdown);
            self.slowdown_ms = now_ms;
        }
    }

    /// Records that the request sent at `sent_ms` ended, with or without a response.
    #[allow(clippy::cast_precision_loss)] // request durations are exact in an f64
    pub fn on_request_end(&mut self, sent_ms: MonoMs, now_ms: MonoMs) {
        let took_ms = now_ms.since(sent_ms) as f64;
        self.slot_time_ms += EWMA_WEIGHT * (took_ms - self.slot_time_ms);
        self.in_flight = self.in_flight.saturating_sub(1);
        self.record_own_count(now_ms);
        self.remove_pending(sent_ms);
    }

    fn remove_pending(&mut self, sent_ms: MonoMs) -> Option<PendingRequest> {
        let index = self
            .pending
            .iter()
            .position(|pending| pending.sent_ms == sent_ms)?;
        Some(self.pending.remove(index))
    }

    fn record_own_count(&mut self, now_ms: MonoMs) {
        let count = OwnCount {
            from_ms: now_ms,
            in_flight: self.in_flight,
        };
        match self.own_counts.back_mut() {
            Some(last) if last.from_ms == now_ms => *last = count,
            _ => self.own_counts.push_back(count),
        }
        while self
            .own_counts
            .front()
            .is_some_and(|oldest| now_ms.since(oldest.from_ms) > OWN_COUNTS_RETENTION_MS)
        {
            self.own_counts.pop_front();
        }
    }

    /// Number of requests that this process has sent to the target and that have not ended.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Moving average of the time to first token.
    #[must_use]
    pub fn first_token_ms(&self) -> f64 {
        self.first_token_ms
    }

    /// Estimates the current requests at the target: the last report, corrected by the
    /// change in this process's own requests since. Requests of other processes are
    /// assumed to have changed in the same proportion.
    fn occupancy(&self) -> f64 {
        let own = f64::from(self.in_flight);
        let load_ratio = (self.reported_requests + PRIOR_REQUESTS) / (self.own_at_report + 1.0);
        let load_ratio = load_ratio.clamp(1.0, MAX_LOAD_RATIO);
        let corrected = self.reported_requests + (own - self.own_at_report) * load_ratio;
        corrected.max(own)
    }

    /// Estimates the time to first token of one more request without any slowdown: the
    /// base time, the wait for a slot and the time to read the uncached prompt.
    fn expected_ms(&self, reading_ms: f64) -> f64 {
        let occupied = self.occupancy();
        let excess = (occupied + 1.0 - self.slots * FULL_FRACTION).max(0.0);
        let waiting_ms = excess / self.slots * self.slot_time_ms;
        BASE_MS * (1.0 + occupied / self.slots) + reading_ms + waiting_ms
    }

    /// Estimates the time to first token of one more request that needs `reading_ms`
    /// to read the uncached part of its prompt.
    pub(super) fn estimate_ms(&self, reading_ms: f64, now_ms: MonoMs) -> f64 {
        self.expected_ms(reading_ms)
            * self
                .decayed_slowdown(now_ms)
                .max(self.overdue_factor(now_ms))
    }

    #[allow(clippy::cast_precision_loss)] // process uptimes are exact in an f64
    fn decayed_slowdown(&self, now_ms: MonoMs) -> f64 {
        let age_ms = now_ms.since(self.slowdown_ms) as f64;
        let remaining = SLOWDOWN_DECAY_MS / (SLOWDOWN_DECAY_MS + age_ms);
        1.0 + (self.slowdown - 1.0) * remaining
    }

    /// Returns the ratio of waiting time to expected time of the oldest pending request.
    /// A target that has become silent is detected by this ratio only.
    #[allow(clippy::cast_precision_loss)] // request durations are exact in an f64
    fn overdue_factor(&self, now_ms: MonoMs) -> f64 {
        self.pending.first().map_or(0.0, |oldest| {
            now_ms.since(oldest.sent_ms) as f64 / oldest.expected_ms
        })
    }
}
