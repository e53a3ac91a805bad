//! How many generations an entry may have running at a group of engines.
//!
//! All ranks of a group run each pass together, so one more generation
//! anywhere makes the pass longer for everybody. There are two regimes: with
//! short passes, streams end soon and few are open; with long passes, streams
//! stay open longer, more of them run at once, and passes get longer still.
//! One pause over the goal makes a whole answer late, so only a bound on what
//! runs keeps a group in the short regime under load.
//!
//! The bound is found from what all entries can see: the time between two
//! events of a stream is the time of one pass, and it is the same at every
//! entry. Each entry lowers its bound while passes take too long and raises
//! it while they do not and somebody waits. Lowering by a factor and raising
//! by steps drives the entries towards equal shares without a word between
//! them.

use berylhook_core::time::MonoMs;

/// Share of the pause goal that a pass should take; the rest is for the time
/// an event needs to the caller and for passes longer than usual.
const TARGET_SHARE: f64 = 0.80;

/// Time between two adjustments: a pass or two, so that the effect of the last
/// one is seen before the next.
const ADJUST_EVERY_MS: u64 = 150;

/// Factor of a lowered bound.
const LOWER_FACTOR: f64 = 0.92;

/// Added to the bound when it is raised, as a share of it.
const RAISE_SHARE: f64 = 0.05;

/// Added to the bound when it is raised, whatever its size.
const RAISE_STEP: f64 = 0.25;

/// A bound below this would stop the entry from ever seeing a pass.
const LEAST: f64 = 2.0;

/// Gaps longer than this are a stalled group, not a long pass. Fewer
/// generations would not have made it shorter.
const STALL_MS: f64 = 600.0;

/// Part of the gaps that may be longer than the target.
const QUANTILE: f64 = 0.75;

/// The bound of one entry on one service.
#[derive(Clone, Debug)]
pub struct Concurrency {
    first_per_engine: f64,
    bound: f64,
    most: f64,
    engines: usize,
    gaps_ms: Vec<f64>,
    is_wanted: bool,
    adjusted_ms: Option<MonoMs>,
}

/// The engines of a service and who shares them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    /// Engines in use.
    pub engines: usize,
    /// Generations that all of them run at once.
    pub slots: u32,
    /// Entries that share them, this one included.
    pub entries: usize,
}

impl Concurrency {
    /// Starts with this many generations for each engine, over all entries.
    #[must_use]
    pub fn new(first_per_engine: f64) -> Self {
        Self {
            first_per_engine,
            bound: LEAST,
            most: LEAST,
            engines: 0,
            gaps_ms: Vec::new(),
            is_wanted: false,
            adjusted_ms: None,
        }
    }

    /// Engines or entries came or went.
    ///
    /// Until a pass has been seen the bound is this entry's share of the
    /// first guess; afterwards it follows the number of engines.
    #[allow(clippy::cast_precision_loss)] // small counts
    pub fn resize(&mut self, size: Size) {
        let engines = size.engines as f64;
        self.bound = match self.adjusted_ms {
            None => self.first_per_engine * engines / size.entries.max(1) as f64,
            Some(_) if self.engines > 0 => self.bound * engines / self.engines as f64,
            Some(_) => self.bound,
        };
        if size.engines > 0 {
            self.engines = size.engines;
        }
        self.most = f64::from(size.slots).max(LEAST);
        self.bound = self.bound.clamp(LEAST, self.most);
    }

    /// The time between two events of one stream.
    pub fn on_gap(&mut self, gap_ms: f64) {
        if gap_ms < STALL_MS {
            self.gaps_ms.push(gap_ms);
        }
    }

    /// Whether `running` leaves room for one more; remembers that more was
    /// wanted if not.
    pub fn has_room(&mut self, running: usize) -> bool {
        #[allow(clippy::cast_precision_loss)] // a few hundred at most
        let has_room = (running as f64) < self.bound;
        self.is_wanted |= !has_room;
        has_room
    }

    /// The bound in force.
    #[must_use]
    pub fn bound(&self) -> f64 {
        self.bound
    }

    /// Adjusts the bound to passes seen since the last time, against the
    /// longest pause that a caller finds acceptable.
    pub fn adjust(&mut self, pause_goal_ms: f64, now_ms: MonoMs) {
        let is_due = self
            .adjusted_ms
            .is_none_or(|adjusted_ms| now_ms.since(adjusted_ms) >= ADJUST_EVERY_MS);
        if !is_due {
            return;
        }
        let Some(gap_ms) = quantile(&mut self.gaps_ms) else {
            return;
        };
        let target_ms = pause_goal_ms * TARGET_SHARE;
        match gap_ms > target_ms {
            true => self.bound *= LOWER_FACTOR,
            false if self.is_wanted => self.bound += self.bound * RAISE_SHARE + RAISE_STEP,
            false => {}
        }
        self.bound = self.bound.clamp(LEAST, self.most);
        self.gaps_ms.clear();
        self.is_wanted = false;
        self.adjusted_ms = Some(now_ms);
    }
}

fn quantile(gaps_ms: &mut [f64]) -> Option<f64> {
    let last = gaps_ms.len().checked_sub(1)?;
    #[allow(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss
    )] // an index below the length
    let index = (last as f64 * QUANTILE) as usize;
    let (_, value, _) = gaps_ms.select_nth_unstable_by(index, f64::total_cmp);
    Some(*value)
}
