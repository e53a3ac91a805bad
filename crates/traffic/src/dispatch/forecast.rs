//! Forecasts whether requests that cannot be placed in time can still be served late.
//!
//! A late response is worth more to a caller than a refusal, as long as keeping the late requests
//! delays no others: requests that can still be on time are placed first. The forecast depends on
//! the capacity.
//!
//! - After an outage, and after a start of this process, capacity *recovers*: groups form, expert
//!   maps adapt to the demand, and the throughput of the last second says little about the next.
//!   Callers that are refused then retry within the same second, are refused again and give up,
//!   although there is capacity moments later.
//! - Otherwise the last second decides. If more requests were placed than arrived, the backlog
//!   drains, and a request stays queued if it would be served within the time that callers wait. If
//!   more arrived than were placed, as in a burst, late requests stay behind all new ones, and
//!   waiting would be useless.

use std::collections::VecDeque;

use berylhook_core::time::MonoMs;

/// How long capacity takes to recover: a group forms within two seconds, and its expert map adapts
/// to the demand within two more.
const RECOVERY_TIME_MS: u64 = 4_000;

/// Window over which arrivals and placements are counted: long enough to contain hundreds of them,
/// short enough to follow a burst.
const WINDOW_MS: u64 = 1_000;

/// Part of the window that expires at a time.
const SLICE_MS: u64 = 100;

/// Counts for one part of the window.
#[derive(Clone, Copy, Debug)]
struct Slice {
    started_ms: MonoMs,
    arrived: u32,
    placed: u32,
}

/// Arrivals, placements and outages of a service, from which its capacity is forecast.
#[derive(Debug, Default)]
pub(super) struct Forecast {
    /// Start of the recovery after the last outage, if there was one.
    recovery_started_ms: Option<MonoMs>,
    slices: VecDeque<Slice>,
}

impl Forecast {
    /// Counts an arrived request.
    pub(super) fn on_arrival(&mut self, now_ms: MonoMs) {
        self.slice(now_ms).arrived += 1;
    }

    /// Counts a placed request.
    pub(super) fn on_placed(&mut self, now_ms: MonoMs) {
        self.slice(now_ms).placed += 1;
    }

    /// Notes that the service is down, has come back, or may have been down because this process
    /// has just started.
    pub(super) fn on_outage(&mut self, now_ms: MonoMs) {
        self.recovery_started_ms = Some(now_ms);
    }

    fn slice(&mut self, now_ms: MonoMs) -> &mut Slice {
        let is_current = |slice: &Slice| now_ms.since(slice.started_ms) < SLICE_MS;
        if !self.slices.back().is_some_and(is_current) {
            self.slices.push_back(Slice {
                started_ms: now_ms,
                arrived: 0,
                placed: 0,
            });
        }
        while self.slices.front().is_some_and(|slice| {
            let age_ms = now_ms.since(slice.started_ms);
            age_ms > WINDOW_MS
        }) {
            self.slices.pop_front();
        }
        let last = self.slices.len() - 1;
        &mut self.slices[last]
    }

    /// Whether `waiting` requests are expected to be served within `time_ms`.
    pub(super) fn can_serve(&mut self, waiting: usize, time_ms: u64, now_ms: MonoMs) -> bool {
        let recovering_ms = self.recovery_started_ms.map(|since| now_ms.since(since));
        if recovering_ms.is_some_and(|recovering_ms| recovering_ms < RECOVERY_TIME_MS) {
            return true;
        }
        self.slice(now_ms);
        let arrived: u32 = self.slices.iter().map(|slice| slice.arrived).sum();
        let placed: u32 = self.slices.iter().map(|slice| slice.placed).sum();
        let spare = u64::from(placed.saturating_sub(arrived));
        let waiting = u64::try_from(waiting).unwrap_or(u64::MAX);
        waiting.saturating_mul(WINDOW_MS) <= spare * time_ms
    }
}
