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

/// Part of the window that expires at a time.
const SLICE_MS: u64 = 100;

/// Weight of the newest completed request in the mean slot time.
const SLOT_TIME_WEIGHT: f64 = 0.05;

/// Largest sample of a slot time as a multiple of the mean: a single response of a minute would raise
/// a mean of two seconds to five.
const MAX_SAMPLE_FACTOR: f64 = 2.0;

/// Arrivals in one part of the window, by urgency.
#[derive(Clone, Debug)]
struct Slice {
    started_ms: MonoMs,
    arrived: IndexMap<u32, u32>,
}

/// The demand for the slots of one service at one entry, which is a front-end process.
#[derive(Clone, Debug)]
pub struct SlotDemand {
    slices: VecDeque<Slice>,
    mean_slot_ms: f64,
}

impl SlotDemand {
    /// Starts without arrivals; `expected_slot_ms` is the slot time until requests have completed.
    #[must_use]
    pub fn new(expected_slot_ms: f64) -> Self {
        Self {
            slices: VecDeque::new(),
            mean_slot_ms: expected_slot_ms,
        }
    }

    /// Counts an arrived request.
    pub fn on_arrival(&mut self, urgency: u32, now_ms: MonoMs) {
        let is_current = |slice: &Slice| now_ms.since(slice.started_ms) < SLICE_MS;
        if !self.slices.back().is_some_and(is_current) {
            self.slices.push_back(Slice {
                started_ms: now_ms,
                arrived: IndexMap::new(),
            });
        }
        self.expire(now_ms);
        if let Some(slice) = self.slices.back_mut() {
            *slice.arrived.entry(urgency).or_default() += 1;
        }
    }

    /// Records that a request has completed after it held its slot for `held_ms`. Interrupted
    /// requests are not recorded, as they end early.
    pub fn on_completed(&mut self, held_ms: f64) {
        let sample_ms = held_ms.min(self.mean_slot_ms * MAX_SAMPLE_FACTOR);
        self.mean_slot_ms += SLOT_TIME_WEIGHT * (sample_ms - self.mean_slot_ms);
    }

    fn expire(&mut self, now_ms: MonoMs) {
        let is_expired = |slice: &Slice| now_ms.since(slice.started_ms) > WINDOW_MS;
        while self.slices.front().is_some_and(is_expired) {
            self.slices.pop_front();
        }
    }

    /// Arrivals per second by urgency, the most urgent first.
    #[must_use]
    pub fn arrivals_per_s(&mut self, now_ms: MonoMs) -> IndexMap<u32, f64> {
        #[allow(clippy::cast_precision_loss)] // exact
        const WINDOWS_PER_S: f64 = 1_000.0 / WINDOW_MS as f64;
        self.expire(now_ms);
        let mut rates: IndexMap<u32, f64> = IndexMap::new();
        for (urgency, count) in self.slices.iter().flat_map(|slice| &slice.arrived) {
            *rates.entry(*urgency).or_default() += f64::from(*count) * WINDOWS_PER_S;
        }
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
