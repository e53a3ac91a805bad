//! Error-budget burn rates of a service over several time windows.
//!
//! Counts are kept in two ring buffers of time slots: fine slots for the last
//! hour and coarse slots for the last three days. A process that has run for
//! less than a window reports the counts since its start; nothing is kept
//! across a restart.

use crate::time::MonoMs;

const FINE_SLOT_MS: u64 = 15_000;

/// Number of fine slots: an hour in total.
const FINE_SLOTS: usize = 240;

const COARSE_SLOT_MS: u64 = 300_000;

/// Number of coarse slots: three days in total.
const COARSE_SLOTS: usize = 864;

/// Lengths of the reported windows in seconds: 5 minutes, 1 hour, 6 hours, 3 days.
pub const WINDOWS_S: [u64; 4] = [300, 3_600, 21_600, 259_200];

/// Counts of all and of bad events for the service-level objectives.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SloCounts {
    /// Completed or failed requests, without those refused because of an error or
    /// a limit of the caller.
    pub requests: u64,
    /// Requests among them without a complete response.
    pub failed: u64,
    /// Responses whose first token arrived.
    pub first_tokens: u64,
    /// First tokens among them that arrived later than the objective allows.
    pub slow_first_tokens: u64,
    /// Gaps between two tokens of a response.
    pub gaps: u64,
    /// Gaps among them that were longer than the objective allows.
    pub slow_gaps: u64,
}

impl SloCounts {
    /// Adds the counts of `other` to these.
    pub fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.failed += other.failed;
        self.first_tokens += other.first_tokens;
        self.slow_first_tokens += other.slow_first_tokens;
        self.gaps += other.gaps;
        self.slow_gaps += other.slow_gaps;
    }
}

/// Returns the burn rate for `bad` events among `all` events.
///
/// A burn rate of 1 uses the error budget up exactly over the objective's period.
/// Returns `None` if there were no events.
#[must_use]
#[allow(clippy::cast_precision_loss)] // counts of a few days are exact in an f64
pub fn burn_rate(bad: u64, all: u64, objective_percent: f64) -> Option<f64> {
    if all == 0 {
        return None;
    }
    let budget = 1.0 - objective_percent / 100.0;
    Some(bad as f64 / all as f64 / budget)
}

/// The event counts of one service over the last three days.
#[derive(Debug)]
pub struct BurnLog {
    fine: Ring,
    coarse: Ring,
}

impl Default for BurnLog {
    fn default() -> Self {
        Self::new()
    }
}

impl BurnLog {
    /// Creates an empty log.
    #[must_use]
    pub fn new() -> Self {
        Self {
            fine: Ring::new(FINE_SLOT_MS, FINE_SLOTS),
            coarse: Ring::new(COARSE_SLOT_MS, COARSE_SLOTS),
        }
    }

    /// Adds `counts` to the time slots that contain `now_ms`.
    pub fn record(&mut self, counts: &SloCounts, now_ms: MonoMs) {
        self.fine.record(counts, now_ms);
        self.coarse.record(counts, now_ms);
    }

    /// Returns the counts of the last `window_s` seconds.
    #[must_use]
    pub fn window(&self, window_s: u64, now_ms: MonoMs) -> SloCounts {
        let window_ms = window_s * 1_000;
        if window_ms <= FINE_SLOT_MS * FINE_SLOTS as u64 {
            self.fine.window(window_ms, now_ms)
        } else {
            self.coarse.window(window_ms, now_ms)
        }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Slot {
    /// Number of the time interval that the slot holds, counted from 1; slots are
    /// reused for later intervals.
    interval: u64,
    counts: SloCounts,
}

#[derive(Debug)]
struct Ring {
    slot_ms: u64,
    slots: Vec<Slot>,
}

impl Ring {
    fn new(slot_ms: u64, slots: usize) -> Self {
        Self {
            slot_ms,
            slots: vec![Slot::default(); slots],
        }
    }

    fn record(&mut self, counts: &SloCounts, now_ms: MonoMs) {
        let interval = now_ms.0 / self.slot_ms + 1;
        let index = self.index(interval);
        let slot = &mut self.slots[index];
        if slot.interval != interval {
            *slot = Slot {
                interval,
                counts: SloCounts::default(),
            };
        }
        slot.counts.add(counts);
    }

    fn window(&self, window_ms: u64, now_ms: MonoMs) -> SloCounts {
        let newest = now_ms.0 / self.slot_ms + 1;
        let oldest = newest.saturating_sub(window_ms / self.slot_ms) + 1;
        let mut sum = SloCounts::default();
        for slot in &self.slots {
            if (oldest..=newest).contains(&slot.interval) {
                sum.add(&slot.counts);
            }
        }
        sum
    }

    #[allow(clippy::cast_possible_truncation)] // the remainder is below the length
    fn index(&self, interval: u64) -> usize {
        (interval % self.slots.len() as u64) as usize
    }
}
