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

use crate::configuration::EngineModel;

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

/// Share of the pause goal that the first bound aims at, before any pass was
/// seen. After a restart the map in use may be far from the demand, and passes
/// over three times as long as this model has them.
const FIRST_PASS_SHARE: f64 = 0.4;

/// Pause goal that the first bound is made for.
const USUAL_PAUSE_GOAL_MS: f64 = 120.0;

/// Least work that a generation is taken to add to a step.
const LEAST_WORK_MS: f64 = 0.001;

/// Gaps longer than this are a stalled group, not a long pass. Fewer
/// generations would not have made it shorter.
const STALL_MS: f64 = 600.0;

/// A bound of which less is in use did not cause long passes; they come from a
/// shift of demand or a slow engine, and pass.
const BINDING_SHARE: f64 = 0.6;

/// Pass time to steer for where no pass can be timely, as a multiple of an
/// empty one: by the engines' own description a pass of this length carries
/// about as many generations as the other engines have slots.
const LATE_FACTOR: f64 = 1.6;

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

/// What passes should take.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PassGoal {
    /// The longest pause between two events that callers find acceptable.
    pub pause_ms: f64,
    /// The time of a pass without any generation at the slowest engine.
    pub least_pass_ms: f64,
}

impl PassGoal {
    /// The pass time to steer for.
    ///
    /// With a slow engine in the group even an empty pass can miss the goal.
    /// Refusing callers then makes no answer timely; more of them are served
    /// late instead, as long as passes do not get much longer for it.
    fn target_ms(&self) -> f64 {
        let timely_ms = self.pause_ms * TARGET_SHARE;
        if self.least_pass_ms < timely_ms {
            timely_ms
        } else {
            self.least_pass_ms * LATE_FACTOR
        }
    }
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
    /// Starts with the number of generations at which a pass should take a
    /// part of a usual pause goal, by the operator's description of the engine.
    #[must_use]
    pub fn for_engine(engine: &EngineModel) -> Self {
        let steps = f64::from(engine.steps_per_pass.max(1));
        let tokens = engine.usual_prompt_tokens + engine.usual_answer_tokens;
        let context_ms = engine.context_per_1000_ms * tokens / 1_000.0;
        let per_sequence_ms = (engine.per_sequence_ms + context_ms).max(LEAST_WORK_MS);
        let step_ms = USUAL_PAUSE_GOAL_MS * FIRST_PASS_SHARE / steps;
        let count = (step_ms - engine.step_ms) / per_sequence_ms;
        Self::new(count.clamp(1.0, f64::from(engine.slots.max(1))))
    }

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

    /// Adjusts the bound to passes seen since the last time, with that many
    /// generations running.
    pub fn adjust(&mut self, goal: PassGoal, running: usize, now_ms: MonoMs) {
        let is_due = self
            .adjusted_ms
            .is_none_or(|adjusted_ms| now_ms.since(adjusted_ms) >= ADJUST_EVERY_MS);
        if !is_due {
            return;
        }
        let Some(gap_ms) = quantile(&mut self.gaps_ms) else {
            return;
        };
        let target_ms = goal.target_ms();
        #[allow(clippy::cast_precision_loss)] // a few hundred at most
        let binds = running as f64 > self.bound * BINDING_SHARE;
        match gap_ms > target_ms {
            true if binds => self.bound *= LOWER_FACTOR,
            true => {}
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
