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
//!
//! Where passes stay short with every slot taken, their time bounds nothing:
//! whatever is sent beyond the slots waits at the targets, in order of arrival,
//! and soon everybody is late. An entry sees that queue in what targets tell with
//! the first event of each stream, or else in how many passes a first event took,
//! and lowers its bound until the queue is gone. Callers then wait or are refused
//! at the entry, where the order can be chosen and a refusal comes at once.

use berylhook_core::time::MonoMs;

use crate::configuration::EngineModel;
use crate::dispatch::Load;

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

/// Most by which one adjustment raises the bound towards what passes leave room
/// for. When a group has got a better map, passes are half as long at once; by
/// small steps alone the bound followed for three seconds, in which callers were
/// refused although there was room. Mean worth of thirty days of twelve ranks rose
/// from 0.668 to 0.679.
const MOST_RAISE_FACTOR: f64 = 1.3;

/// Part of what runs at a target that waits there, over which a queue stands: one
/// request beside twelve. Entries do not know of each other's choices, so a single
/// one is chance.
///
/// Without heed of queues, half as much load again as twelve ranks can serve left a
/// worth of 0.68, with it 0.81; twice the load 0.24 and 0.45; three times 0.03 and
/// 0.19, each a play of 34 s.
const STANDING_QUEUE: f64 = 0.08;

/// Factor by which one adjustment lowers the bound for a queue, at the least. The
/// queue is seen as late as it is long, so each step is small.
const LEAST_QUEUE_FACTOR: f64 = 0.8;

/// Passes that the first event of a stream takes where nobody waits: it is
/// admitted with the next pass, read in one, and written in another.
const USUAL_FIRST_PASSES: f64 = 3.0;

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

/// For this long after a stall first events are late for it: as long as callers
/// wait for one.
const STALL_COUNTS_MS: u64 = 2_000;

/// A bound of which less is in use did not cause long passes; they come from a
/// shift of demand or a slow engine, and pass.
const BINDING_SHARE: f64 = 0.6;

/// Pass time to steer for where no pass can be timely, as a multiple of an
/// empty one: by the engines' own description a pass of this length carries
/// about as many generations as the other engines have slots.
const LATE_FACTOR: f64 = 1.6;

/// Part of the gaps that are no longer than the pass that counts as a long one.
const LONG_PASS_QUANTILE: f64 = 0.75;

/// Of first events, half are sooner.
const MEDIAN: f64 = 0.5;

/// How long passes take, by the operator's description of the engines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PassModel {
    /// Time of a pass in which nothing runs.
    pub empty_pass_ms: f64,
    /// Added by each generation at an engine.
    pub per_generation_ms: f64,
    /// Generations that an engine runs at once.
    pub slots: f64,
    /// Passes that a usual answer takes.
    pub passes_per_response: f64,
}

impl PassModel {
    /// Reads the operator's description.
    #[must_use]
    pub fn for_engine(engine: &EngineModel) -> Self {
        let steps = f64::from(engine.steps_per_pass.max(1));
        let tokens = engine.typical_prompt_tokens + engine.typical_response_tokens;
        let context_ms = engine.context_per_1000_ms * tokens / 1_000.0;
        let per_sequence_ms = (engine.per_sequence_ms + context_ms).max(LEAST_WORK_MS);
        Self {
            empty_pass_ms: engine.step_ms * steps,
            per_generation_ms: per_sequence_ms * steps,
            slots: f64::from(engine.slots.max(1)),
            passes_per_response: (engine.typical_response_tokens / steps).max(1.0),
        }
    }

    fn pass_ms(&self, generations: f64) -> f64 {
        self.empty_pass_ms + self.per_generation_ms * generations
    }

    /// Generations at an engine with which a pass takes that long.
    fn generations(&self, pass_ms: f64) -> f64 {
        let generations = (pass_ms - self.empty_pass_ms) / self.per_generation_ms;
        generations.clamp(0.0, self.slots)
    }
}

/// What the first event of a stream showed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FirstEvent {
    /// What the target told of its load, if it does.
    pub load: Option<Load>,
    /// Time since the request was sent there.
    pub latency_ms: f64,
}

/// The bound of one entry on one service.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimiter {
    model: PassModel,
    first_per_engine: f64,
    bound: f64,
    most: f64,
    /// 0 while none are known.
    engines: f64,
    /// This entry's part of them.
    share: f64,
    /// The least part that it has had.
    least_share: f64,
    gaps_ms: Vec<f64>,
    first_events: Vec<FirstEvent>,
    /// Whether a stall was seen since the last adjustment.
    has_stalled: bool,
    /// Until when first events may be late for a stall.
    stall_counts_until_ms: MonoMs,
    is_wanted: bool,
    adjusted_ms: Option<MonoMs>,
}

/// What passes should take.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PassObjective {
    /// The longest pause between two events that callers find acceptable.
    pub pause_ms: f64,
    /// The time of a pass without any generation at the slowest engine.
    pub min_pass_ms: f64,
}

impl PassObjective {
    /// The pass time to steer for.
    ///
    /// With a slow engine in the group even an empty pass can miss the goal.
    /// Refusing callers then makes no answer timely; more of them are served
    /// late instead, as long as passes do not get much longer for it.
    fn target_ms(&self) -> f64 {
        let timely_ms = self.pause_ms * TARGET_SHARE;
        if self.min_pass_ms < timely_ms {
            timely_ms
        } else {
            self.min_pass_ms * LATE_FACTOR
        }
    }
}

/// The engines of a service and who shares them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SharedCapacity {
    /// Engines in use.
    pub engines: usize,
    /// Generations that all of them run at once.
    pub slots: u32,
    /// This entry's part of them, from 0 to 1.
    pub share: f64,
}

impl ConcurrencyLimiter {
    /// Starts with the number of generations at which a pass should take a
    /// part of a usual pause goal.
    #[must_use]
    pub fn new(model: PassModel) -> Self {
        let first_pass_ms = USUAL_PAUSE_GOAL_MS * FIRST_PASS_SHARE;
        Self {
            first_per_engine: model.generations(first_pass_ms).max(1.0),
            model,
            bound: LEAST,
            most: LEAST,
            engines: 0.0,
            share: 1.0,
            least_share: 1.0,
            gaps_ms: Vec::new(),
            first_events: Vec::new(),
            has_stalled: false,
            stall_counts_until_ms: MonoMs(0),
            is_wanted: false,
            adjusted_ms: None,
        }
    }

    /// Engines or entries came or went.
    ///
    /// Until a pass has been seen the bound is this entry's part of the first guess;
    /// afterwards it follows the number of engines, and shrinks when more entries are
    /// met than ever before. An entry that has just started takes itself to be alone.
    /// Without that, fifty that start together each keep a bound for all engines: every
    /// slot is taken at once, and nothing lowers a bound that is never reached. Entries
    /// that go and come back change nothing: the time of passes tells better what the
    /// others leave.
    #[allow(clippy::cast_precision_loss)] // small counts
    pub fn set_capacity(&mut self, size: SharedCapacity) {
        let engines = size.engines as f64;
        let met_more = (size.share / self.least_share).min(1.0);
        self.bound = match self.adjusted_ms {
            None => self.first_per_engine * engines * size.share,
            Some(_) if self.engines > 0.0 => self.bound * met_more * engines / self.engines,
            Some(_) => self.bound * met_more,
        };
        if engines > 0.0 {
            self.engines = engines;
        }
        self.share = size.share;
        self.least_share = self.least_share.min(size.share);
        self.most = f64::from(size.slots).max(LEAST);
        self.bound = self.bound.clamp(LEAST, self.most);
    }

    /// A stream got its first event.
    pub fn on_first_event(&mut self, first: FirstEvent) {
        self.first_events.push(first);
    }

    /// The time between two events of one stream.
    pub fn on_event_gap(&mut self, gap_ms: f64) {
        if gap_ms < STALL_MS {
            self.gaps_ms.push(gap_ms);
        } else {
            self.has_stalled = true;
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
    pub fn limit(&self) -> f64 {
        self.bound
    }

    /// Adjusts the bound to passes seen since the last time, with that many
    /// generations running.
    pub fn adjust(&mut self, goal: PassObjective, running: usize, now_ms: MonoMs) {
        let is_due = self
            .adjusted_ms
            .is_none_or(|adjusted_ms| now_ms.since(adjusted_ms) >= ADJUST_EVERY_MS);
        if !is_due {
            return;
        }
        let Some(pass_ms) = quantile(&mut self.gaps_ms, LONG_PASS_QUANTILE) else {
            return;
        };
        if std::mem::take(&mut self.has_stalled) {
            self.stall_counts_until_ms = now_ms + STALL_COUNTS_MS;
        }
        let target_ms = goal.target_ms();
        let queue = self.queue(pass_ms, now_ms);
        #[allow(clippy::cast_precision_loss)] // a few hundred at most
        let running = running as f64;
        let binds = running > self.bound * BINDING_SHARE;
        let bound = match pass_ms > target_ms {
            true if binds => self.bound * LOWER_FACTOR,
            true => self.bound,
            false if queue > STANDING_QUEUE && binds => {
                self.bound * (1.0 / (1.0 + queue)).max(LEAST_QUEUE_FACTOR)
            }
            false if queue > STANDING_QUEUE => self.bound,
            false if self.is_wanted => self.raised(running, pass_ms, target_ms),
            false => self.bound,
        };
        self.bound = bound.clamp(LEAST, self.most);
        self.gaps_ms.clear();
        self.first_events.clear();
        self.is_wanted = false;
        self.adjusted_ms = Some(now_ms);
    }

    /// What waits at the targets as a part of what runs there, by the median of
    /// the first events seen.
    ///
    /// Time alone would not do: after a shift of demand first events come late
    /// because passes are long, and fewer admissions would help nobody. So it is
    /// counted in passes, and not at all after a stall.
    fn queue(&self, pass_ms: f64, now_ms: MonoMs) -> f64 {
        let is_stalled = now_ms < self.stall_counts_until_ms;
        let of_first = |first: &FirstEvent| match first.load {
            Some(load) => f64::from(load.waiting) / f64::from(load.running.max(1)),
            None if is_stalled => 0.0,
            None => {
                let passes = first.latency_ms / pass_ms.max(1.0) - USUAL_FIRST_PASSES;
                passes.max(0.0) / self.model.passes_per_response
            }
        };
        let mut queues: Vec<f64> = self.first_events.iter().map(of_first).collect();
        quantile(&mut queues, MEDIAN).unwrap_or(0.0)
    }

    /// The bound raised by a step, or further towards what leaves passes at
    /// `target_ms` as far as passes of `pass_ms` tell.
    fn raised(&self, running: f64, pass_ms: f64, target_ms: f64) -> f64 {
        let share = self.engines.max(1.0) * self.share;
        let slots = self.model.slots;
        // Others may run more or less than this entry. Engines that are taken to
        // be fuller than they are make the estimate a careful one.
        let at_engine = (running / share).clamp(slots / 2.0, slots);
        let stretch = (pass_ms / self.model.pass_ms(at_engine)).max(1.0);
        let room = self.model.generations(target_ms / stretch) * share;
        let step = self.bound * (1.0 + RAISE_SHARE) + RAISE_STEP;
        step.max(room.min(self.bound * MOST_RAISE_FACTOR))
    }
}

/// The value below which that part of the values lies; `None` if there are none.
fn quantile(values: &mut [f64], part: f64) -> Option<f64> {
    let last = values.len().checked_sub(1)?;
    #[allow(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss
    )] // an index below the length
    let index = (last as f64 * part) as usize;
    let (_, value, _) = values.select_nth_unstable_by(index, f64::total_cmp);
    Some(*value)
}
