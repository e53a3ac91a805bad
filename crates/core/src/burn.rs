//! How fast an entry uses up its error budget.
//!
//! Counts are kept in two rings of slots: fine ones for the last hour, coarse
//! ones for the last days. A process that has run for less than a window
//! reports what it has seen; nothing is kept over a restart.

use crate::time::MonoMs;

/// Length of a fine slot.
const FINE_SLOT_MS: u64 = 15_000;

/// Fine slots kept: an hour.
const FINE_SLOTS: usize = 240;

/// Length of a coarse slot.
const COARSE_SLOT_MS: u64 = 300_000;

/// Coarse slots kept: three days.
const COARSE_SLOTS: usize = 864;

/// The windows reported, in seconds: 5 minutes, 1 hour, 6 hours, 3 days.
pub const WINDOWS_S: [u64; 4] = [300, 3_600, 21_600, 259_200];

/// Counts of good and bad events.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SloCounts {
    /// Requests that ended, but for those refused by the caller's own fault
    /// or limit.
    pub requests: u64,
    /// Of those, the ones not answered whole.
    pub failed: u64,
    /// Answers that began.
    pub first_tokens: u64,
    /// Of those, the ones that began too late.
    pub slow_first_tokens: u64,
    /// Gaps between two tokens.
    pub gaps: u64,
    /// Of those, the ones too long.
    pub slow_gaps: u64,
}

impl SloCounts {
    /// Adds another's counts to these.
    pub fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.failed += other.failed;
        self.first_tokens += other.first_tokens;
        self.slow_first_tokens += other.slow_first_tokens;
        self.gaps += other.gaps;
        self.slow_gaps += other.slow_gaps;
    }
}

/// The burn rate of `bad` in `all` against an objective.
///
/// 1 uses the budget up exactly over the objective's period; `None` where
/// nothing was counted.
#[must_use]
#[allow(clippy::cast_precision_loss)] // counts of a few days fit
pub fn burn_rate(bad: u64, all: u64, objective_percent: f64) -> Option<f64> {
    if all == 0 {
        return None;
    }
    let budget = 1.0 - objective_percent / 100.0;
    Some(bad as f64 / all as f64 / budget)
}

/// The counts of one entry over time.
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
    /// A log with nothing in it.
    #[must_use]
    pub fn new() -> Self {
        Self {
            fine: Ring::new(FINE_SLOT_MS, FINE_SLOTS),
            coarse: Ring::new(COARSE_SLOT_MS, COARSE_SLOTS),
        }
    }

    /// Adds counts at `now_ms`.
    pub fn record(&mut self, counts: &SloCounts, now_ms: MonoMs) {
        self.fine.record(counts, now_ms);
        self.coarse.record(counts, now_ms);
    }

    /// The counts of the last `window_s` seconds.
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
    /// Which stretch of time the slot holds; slots are reused in turn.
    number: u64,
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
        let number = now_ms.0 / self.slot_ms + 1;
        let index = self.index(number);
        let slot = &mut self.slots[index];
        if slot.number != number {
            *slot = Slot {
                number,
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
            if (oldest..=newest).contains(&slot.number) {
                sum.add(&slot.counts);
            }
        }
        sum
    }

    #[allow(clippy::cast_possible_truncation)] // reduced below the length first
    fn index(&self, number: u64) -> usize {
        (number % self.slots.len() as u64) as usize
    }
}
