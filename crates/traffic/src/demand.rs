//! Measures the demand for a service's slots: arrivals by urgency, and how long a request holds its
//! slot.
//!
//! By Little's law, the product of both is the number of slots that the requests of one urgency
//! need.

use std::collections::VecDeque;

use berylhook_core::time::MonoMs;
use indexmap::IndexMap;

/// Window over which arrivals are counted. A few arrivals per second and urgency at a small entry
/// vary too much over a shorter one, and a longer one follows a burst too late.
const WINDOW_MS: u64 = 1_000;

/// Weight of the newest completed request in the mean slot time.
const SLOT_TIME_WEIGHT: f64 = 0.05;

/// Largest sample of a slot time as a multiple of the mean: a single response of a minute would raise
/// a mean of two seconds to five.
const MAX_SAMPLE_FACTOR: f64 = 2.0;

/// An arrived request.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    at_ms: MonoMs,
    urgency: u32,
}

/// The demand for the slots of one service at one entry, which is a front-end process.
#[derive(Clone, Debug)]
pub struct SlotDemand {
    /// The arrivals of the window, the earliest first. Each expires by itself: if several expired
    /// together, the window would cover less time than its length.
    arrivals: VecDeque<Arrival>,
    /// The numbers of `arrivals` by urgency.
    counts: IndexMap<u32, u32>,
    mean_slot_ms: f64,
}

impl SlotDemand {
    /// Starts without arrivals; `expected_slot_ms` is the slot time until requests have completed.
    #[must_use]
    pub fn new(expected_slot_ms: f64) -> Self {
        Self {
            arrivals: VecDeque::new(),
            counts: IndexMap::new(),
            mean_slot_ms: expected_slot_ms,
        }
    }

    /// Counts an arrived request.
    pub fn on_arrival(&mut self, urgency: u32, now_ms: MonoMs) {
        self.expire(now_ms);
        self.arrivals.push_back(Arrival {
            at_ms: now_ms,
            urgency,
        });
        *self.counts.entry(urgency).or_default() += 1;
    }

    /// Records that a request has completed after it held its slot for `held_ms`. Interrupted
    /// requests are not recorded, as they end early.
    pub fn on_completed(&mut self, held_ms: f64) {
        let sample_ms = held_ms.min(self.mean_slot_ms * MAX_SAMPLE_FACTOR);
        self.mean_slot_ms += SLOT_TIME_WEIGHT * (sample_ms - self.mean_slot_ms);
    }

    fn expire(&mut self, now_ms: MonoMs) {
        let is_expired = |arrival: &Arrival| now_ms.since(arrival.at_ms) >= WINDOW_MS;
        while let Some(expired) = self.arrivals.pop_front_if(|arrival| is_expired(arrival)) {
            if let Some(count) = self.counts.get_mut(&expired.urgency) {
                *count -= 1;
            }
        }
        self.counts.retain(|_, count| *count > 0);
    }

    /// Arrivals per second by urgency, the most urgent first.
    #[must_use]
    pub fn arrivals_per_s(&mut self, now_ms: MonoMs) -> IndexMap<u32, f64> {
        #[allow(clippy::cast_precision_loss)] // exact
        const WINDOWS_PER_S: f64 = 1_000.0 / WINDOW_MS as f64;
        self.expire(now_ms);
        let counts = self.counts.iter();
        let mut rates: IndexMap<u32, f64> = counts
            .map(|(urgency, count)| (*urgency, f64::from(*count) * WINDOWS_PER_S))
            .collect();
        rates.sort_unstable_keys();
        rates
    }

    /// Arrivals per second that are more urgent than `urgency`.
    #[must_use]
    pub fn more_urgent_per_s(&mut self, urgency: u32, now_ms: MonoMs) -> f64 {
        let rates = self.arrivals_per_s(now_ms);
        let more_urgent = rates.iter().filter(|(other, _)| **other < urgency);
        more_urgent.map(|(_, rate)| rate).sum()
    }

    /// Mean time in milliseconds that a request holds its slot.
    #[must_use]
    pub fn mean_slot_ms(&self) -> f64 {
        self.mean_slot_ms
    }
}
