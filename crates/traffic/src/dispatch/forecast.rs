//! Whether those who cannot be placed in time can still be served late.
//!
//! A late answer is worth more to a caller than a refusal, as long as keeping the caller
//! makes nobody else late: the timely go first. What decides is where capacity goes.
//!
//! - After an outage, and after a start of this process, it *returns*: groups form, maps
//!   follow the demand, and what the last second served says little of the next. Who is
//!   refused then comes back into the same second, is refused again, and is lost although
//!   there is room moments later.
//! - Otherwise the last second tells. If more are placed than arrive, the backlog drains, and
//!   who would be served within the time that callers bear waits for it. If more arrive than
//!   are placed, as under a burst, those who are late stay behind all newcomers and would
//!   wait for nothing.

use std::collections::VecDeque;

use berylhook_core::time::MonoMs;

/// Time in which capacity returns: a group forms within two seconds, and its map follows
/// the demand within two more.
const RETURN_TIME_MS: u64 = 4_000;

/// Span over which arrivals and placements are counted: long enough to have hundreds of
/// them, short enough to follow a burst.
const WINDOW_MS: u64 = 1_000;

/// Parts of the span that are forgotten one by one.
const SLICE_MS: u64 = 100;

/// What happened within one part of the span.
#[derive(Clone, Copy, Debug)]
struct Slice {
    began_ms: MonoMs,
    arrived: u32,
    placed: u32,
}

/// What is known of where a service's capacity goes.
#[derive(Debug, Default)]
pub(super) struct Outlook {
    /// Since when capacity returns, if it was away.
    returns_since_ms: Option<MonoMs>,
    slices: VecDeque<Slice>,
}

impl Outlook {
    /// A request has arrived.
    pub(super) fn on_arrival(&mut self, now_ms: MonoMs) {
        self.slice(now_ms).arrived += 1;
    }

    /// A request was placed.
    pub(super) fn on_placed(&mut self, now_ms: MonoMs) {
        self.slice(now_ms).placed += 1;
    }

    /// The service is down, runs again after it was, or may have been down: this process
    /// has just started.
    pub(super) fn on_outage(&mut self, now_ms: MonoMs) {
        self.returns_since_ms = Some(now_ms);
    }

    fn slice(&mut self, now_ms: MonoMs) -> &mut Slice {
        let is_current = |slice: &Slice| now_ms.since(slice.began_ms) < SLICE_MS;
        if !self.slices.back().is_some_and(is_current) {
            self.slices.push_back(Slice {
                began_ms: now_ms,
                arrived: 0,
                placed: 0,
            });
        }
        while self.slices.front().is_some_and(|slice| {
            let age_ms = now_ms.since(slice.began_ms);
            age_ms > WINDOW_MS
        }) {
            self.slices.pop_front();
        }
        let last = self.slices.len() - 1;
        &mut self.slices[last]
    }

    /// Whether so many who wait can be expected to be served within `time_ms`.
    pub(super) fn serves(&mut self, waiting: usize, time_ms: u64, now_ms: MonoMs) -> bool {
        let since_ms = self.returns_since_ms.map(|since| now_ms.since(since));
        if since_ms.is_some_and(|since_ms| since_ms < RETURN_TIME_MS) {
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
