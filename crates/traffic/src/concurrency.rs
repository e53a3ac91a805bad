//! Adaptive limit on the generations that an entry, a front-end process, runs at a group of
//! engines.
//!
//! All ranks of a group run each forward pass together, so one more generation anywhere makes the
//! pass longer for all streams. There are two regimes: with short passes, streams end soon and few
//! are open; with long passes, streams stay open longer, more of them run at once, and passes get
//! even longer. One pause above the objective makes a whole response late, so only a concurrency
//! limit keeps a group in the regime of short passes under load.
//!
//! The limit follows from what every entry can observe: the time between two events of a stream is
//! the duration of one pass, which is the same at all entries. Each entry lowers its limit while
//! passes are too long, and raises it while they are not and requests are queued. Multiplicative
//! decrease and additive increase drive the entries towards equal shares without any communication.
//!
//! Where passes stay short although every slot is taken, their duration sets no limit: requests
//! beyond the slots queue at the targets in order of arrival, and soon all of them are late. An
//! entry detects such queues from the load that targets report with the first event of each stream,
//! or else from the number of passes until the first event, and lowers its limit until the queues
//! are gone. Requests are then queued or refused at the entry, which can choose their order and
//! refuses them at once.

use berylhook_core::time::MonoMs;

use crate::configuration::EngineModel;
use crate::dispatch::Load;

/// Pass duration to aim at, as a fraction of the pause objective. The rest is for the transfer of
/// an event to the caller and for passes that are longer than usual.
const PASS_FRACTION: f64 = 0.80;

/// Interval between two adjustments: one or two passes, so that the effect of one adjustment is
/// observed before the next.
const ADJUST_INTERVAL_MS: u64 = 150;

/// Factor by which an adjustment lowers the limit after long passes.
const DECREASE_FACTOR: f64 = 0.92;

/// Proportional part of an increase of the limit.
const INCREASE_FRACTION: f64 = 0.05;

/// Constant part of an increase of the limit.
const INCREASE_STEP: f64 = 0.25;

/// Largest factor by which one adjustment raises the limit if passes leave room for it. When a
/// group gets a better expert map, its passes are half as long at once; with small steps alone, the
/// limit took three seconds to follow, and callers were refused although there was capacity. With
/// this factor, the mean worth of the responses in thirty simulated days with twelve ranks rose
/// from 0.668 to 0.679.
const MAX_INCREASE_FACTOR: f64 = 1.3;

/// A queue counts as standing if more requests are queued at a target than this fraction of its
/// running requests: one per twelve. A single queued request may be chance, as entries do not know
/// of each other's placements.
///
/// In simulations of 34 s each, the mean worth of the responses at one and a half times the load
/// that twelve ranks can serve was 0.68 without detection of queues and 0.81 with it; at twice the
/// load 0.24 and 0.45; at three times the load 0.03 and 0.19.
const STANDING_QUEUE_FRACTION: f64 = 0.08;

/// Smallest factor by which one adjustment lowers the limit because of a queue. The longer a queue
/// is, the later it is observed, so each step is small.
const MIN_QUEUE_DECREASE_FACTOR: f64 = 0.8;

/// Passes until the first event of a stream where no queue exists: the request is admitted with the
/// next pass, its prompt is processed in one, and the event is generated in another.
const TYPICAL_FIRST_EVENT_PASSES: f64 = 3.0;

/// Smallest limit. With less, the entry might never observe a pass.
const MIN_LIMIT: f64 = 2.0;

/// Pass duration that the initial limit aims at before any pass was observed, as a fraction of the
/// pause objective. After a restart the expert map may not fit the demand at all, and passes may
/// take over three times as long as this model predicts.
const INITIAL_PASS_FRACTION: f64 = 0.4;

/// Pause objective for the initial limit.
const TYPICAL_PAUSE_OBJECTIVE_MS: f64 = 120.0;

/// Lower bound for the time that a generation adds to a step: this time is a divisor.
const MIN_WORK_MS: f64 = 0.001;

/// Longer gaps are attributed to a stalled group rather than to long passes. Fewer generations
/// would not have made them shorter.
const STALL_TIMEOUT_MS: f64 = 600.0;

/// How long after a stall late first events are attributed to it: as long as callers wait for a
/// first event.
const STALL_EFFECT_MS: u64 = 2_000;

/// Fraction of the limit that must be in use for long passes to be attributed to load. Below it,
/// they come from a shift of demand or a slow engine and are temporary.
const BINDING_FRACTION: f64 = 0.6;

/// Pass duration to aim at if no pass can meet the objective, as a multiple of a pass in which no
/// generation runs. According to the engines' performance model, a pass of this duration runs about
/// as many generations as the other engines have slots.
const LATE_PASS_FACTOR: f64 = 1.6;

/// Quantile of the gaps that counts as the pass duration.
const PASS_QUANTILE: f64 = 0.75;

const MEDIAN: f64 = 0.5;

/// Pass durations according to the operator's description of the engines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PassModel {
    /// Duration of a forward pass in which no generation runs.
    pub empty_pass_ms: f64,
    /// Additional time per generation at an engine.
    pub per_generation_ms: f64,
    /// Generations that an engine runs at once.
    pub slots: f64,
    /// Passes that a typical response takes.
    pub passes_per_response: f64,
}

impl PassModel {
    /// Derives the model from the operator's description.
    #[must_use]
    pub fn for_engine(engine: &EngineModel) -> Self {
        let steps = f64::from(engine.steps_per_pass.max(1));
        let tokens = engine.typical_prompt_tokens + engine.typical_response_tokens;
        let context_ms = engine.context_per_1000_ms * tokens / 1_000.0;
        let per_sequence_ms = (engine.per_sequence_ms + context_ms).max(MIN_WORK_MS);
        Self {
            empty_pass_ms: engine.step_ms * steps,
            per_generation_ms: per_sequence_ms * steps,
            slots: f64::from(engine.slots.max(1)),
            passes_per_response: (engine.typical_response_tokens / steps).max(1.0),
        }
    }

    /// Time that a request is expected to hold a slot of an engine whose slots are all in use.
    #[must_use]
    pub fn expected_slot_ms(&self) -> f64 {
        (TYPICAL_FIRST_EVENT_PASSES + self.passes_per_response) * self.pass_ms(self.slots)
    }

    fn pass_ms(&self, generations: f64) -> f64 {
        self.empty_pass_ms + self.per_generation_ms * generations
    }

    /// Number of generations per engine at which a pass takes `pass_ms`.
    fn generations(&self, pass_ms: f64) -> f64 {
        let generations = (pass_ms - self.empty_pass_ms) / self.per_generation_ms;
        generations.clamp(0.0, self.slots)
    }
}

/// What was observed at the first event of a stream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FirstEvent {
    /// The load that the target reported, if any.
    pub load: Option<Load>,
    /// Time from sending the request to the event.
    pub latency_ms: f64,
}

/// This entry's part of the slots that all entries share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlotQuota {
    /// Requests that this entry may run.
    pub slots: f64,
    /// Whether no other entry uses these slots, so that requests queued at targets are no reason to
    /// lower the limit.
    pub is_exclusive: bool,
}

/// The concurrency limit of one entry for one service.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimiter {
    model: PassModel,
    initial_per_engine: f64,
    limit: f64,
    max_limit: f64,
    /// Engines in use; 0 if none were known yet.
    engines: f64,
    /// This entry's share of the engines, from 0 to 1.
    share: f64,
    /// The smallest share so far.
    min_share: f64,
    gaps_ms: Vec<f64>,
    first_events: Vec<FirstEvent>,
    /// Whether a stall was observed since the last adjustment.
    has_stalled: bool,
    /// Until when late first events are attributed to a stall.
    stall_effect_until_ms: MonoMs,
    is_limit_reached: bool,
    adjusted_ms: Option<MonoMs>,
    quota: Option<SlotQuota>,
}

/// The objective for pauses, and the pass duration that can be reached.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PassObjective {
    /// The longest acceptable pause between two events.
    pub pause_ms: f64,
    /// Duration of a pass at the slowest engine if no generation runs.
    pub min_pass_ms: f64,
}

impl PassObjective {
    /// The pass duration to aim at.
    ///
    /// With a slow engine in the group, even a pass in which no generation runs can exceed the
    /// objective. Refusals would then make no response timely, so more requests are served late
    /// instead, as long as this makes passes only a little longer.
    fn aimed_pass_ms(&self) -> f64 {
        let timely_ms = self.pause_ms * PASS_FRACTION;
        if self.min_pass_ms < timely_ms {
            timely_ms
        } else {
            self.min_pass_ms * LATE_PASS_FACTOR
        }
    }
}

/// The engines of a service and this entry's share of them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SharedCapacity {
    /// Engines in use.
    pub engines: usize,
    /// Generations that all engines together run at once.
    pub slots: u32,
    /// This entry's share of the engines, from 0 to 1.
    pub share: f64,
}

impl ConcurrencyLimiter {
    /// Starts with the number of generations at which a pass should take a fraction of the usual
    /// pause objective.
    #[must_use]
    pub fn new(model: PassModel) -> Self {
        let initial_pass_ms = TYPICAL_PAUSE_OBJECTIVE_MS * INITIAL_PASS_FRACTION;
        Self {
            initial_per_engine: model.generations(initial_pass_ms).max(1.0),
            model,
            limit: MIN_LIMIT,
            max_limit: MIN_LIMIT,
            engines: 0.0,
            share: 1.0,
            min_share: 1.0,
            gaps_ms: Vec::new(),
            first_events: Vec::new(),
            has_stalled: false,
            stall_effect_until_ms: MonoMs(0),
            is_limit_reached: false,
            adjusted_ms: None,
            quota: None,
        }
    }

    /// Sets this entry's quota, or removes it. Passes that are too long lower the limit to a
    /// fraction of the quota, and this fraction stays when the quota changes.
    pub fn set_quota(&mut self, quota: Option<SlotQuota>) {
        let limit = match (self.quota, quota) {
            (Some(before), Some(quota)) => self.limit * quota.slots / before.slots.max(1.0),
            // The estimate for an equal share is replaced by one for this quota.
            (None, Some(quota)) if self.adjusted_ms.is_none() => {
                self.initial_per_engine * self.engines / self.max_limit * quota.slots
            }
            _ => self.limit,
        };
        self.quota = quota;
        self.limit = limit.clamp(MIN_LIMIT, self.upper_bound());
    }

    /// The largest limit allowed.
    fn upper_bound(&self) -> f64 {
        let quota = self.quota.map_or(self.max_limit, |quota| quota.slots);
        quota.clamp(MIN_LIMIT, self.max_limit)
    }

    /// Adapts the limit to a changed number of engines or entries.
    ///
    /// Until a pass was observed, the limit is this entry's share of the initial estimate.
    /// Afterwards it follows the number of engines, and shrinks when the share falls below its
    /// previous minimum. An entry that has just started assumes that it is alone. Without the
    /// reduction, fifty entries that start together would each keep a limit for all engines: every
    /// slot is taken at once, and nothing lowers a limit that is never reached. Entries that leave
    /// and return do not change the limit, as pass durations show better how much capacity the
    /// others leave. A quota already reflects both changes, so the limit then follows the quota alone.
    #[allow(clippy::cast_precision_loss)] // small counts
    pub fn set_capacity(&mut self, capacity: SharedCapacity) {
        let engines = capacity.engines as f64;
        let share_ratio = (capacity.share / self.min_share).min(1.0);
        self.limit = match self.adjusted_ms {
            _ if self.quota.is_some() => self.limit,
            None => self.initial_per_engine * engines * capacity.share,
            Some(_) if self.engines > 0.0 => self.limit * share_ratio * engines / self.engines,
            Some(_) => self.limit * share_ratio,
        };
        if engines > 0.0 {
            self.engines = engines;
        }
        self.share = capacity.share;
        self.min_share = self.min_share.min(capacity.share);
        self.max_limit = f64::from(capacity.slots).max(MIN_LIMIT);
        self.limit = self.limit.clamp(MIN_LIMIT, self.upper_bound());
    }

    /// Records the first event of a stream.
    pub fn on_first_event(&mut self, first: FirstEvent) {
        self.first_events.push(first);
    }

    /// Records the time between two events of one stream.
    pub fn on_event_gap(&mut self, gap_ms: f64) {
        if gap_ms < STALL_TIMEOUT_MS {
            self.gaps_ms.push(gap_ms);
        } else {
            self.has_stalled = true;
        }
    }

    /// Whether a request may start beside `running` others. If not, the next adjustment knows that
    /// the limit was reached.
    pub fn has_room(&mut self, running: usize) -> bool {
        #[allow(clippy::cast_precision_loss)] // a few hundred at most
        let has_room = (running as f64) < self.limit;
        self.is_limit_reached |= !has_room;
        has_room
    }

    /// The current limit.
    #[must_use]
    pub fn limit(&self) -> f64 {
        self.limit
    }

    /// Adjusts the limit to the passes observed since the last adjustment, if the next one is due.
    pub fn adjust(&mut self, objective: PassObjective, running: usize, now_ms: MonoMs) {
        let is_due = self
            .adjusted_ms
            .is_none_or(|adjusted_ms| now_ms.since(adjusted_ms) >= ADJUST_INTERVAL_MS);
        if !is_due {
            return;
        }
        let Some(pass_ms) = quantile(&mut self.gaps_ms, PASS_QUANTILE) else {
            return;
        };
        if std::mem::take(&mut self.has_stalled) {
            self.stall_effect_until_ms = now_ms + STALL_EFFECT_MS;
        }
        let aimed_pass_ms = objective.aimed_pass_ms();
        let queue = self.queue(pass_ms, now_ms);
        #[allow(clippy::cast_precision_loss)] // a few hundred at most
        let running = running as f64;
        let is_binding = running > self.limit * BINDING_FRACTION;
        let limit = match pass_ms > aimed_pass_ms {
            true if is_binding => self.limit * DECREASE_FACTOR,
            true => self.limit,
            false if queue > STANDING_QUEUE_FRACTION && is_binding => {
                self.limit * (1.0 / (1.0 + queue)).max(MIN_QUEUE_DECREASE_FACTOR)
            }
            false if queue > STANDING_QUEUE_FRACTION => self.limit,
            false if self.is_limit_reached => self.increased(running, pass_ms, aimed_pass_ms),
            false => self.limit,
        };
        self.limit = limit.clamp(MIN_LIMIT, self.upper_bound());
        self.gaps_ms.clear();
        self.first_events.clear();
        self.is_limit_reached = false;
        self.adjusted_ms = Some(now_ms);
    }

    /// Queued requests at the targets as a fraction of their running requests: the median of the
    /// observed first events.
    ///
    /// Without a reported load, the queue is estimated from the passes until the first event, and
    /// not at all after a stall. The plain time would not do: after a shift of demand first events
    /// are late because passes are long, and fewer admissions would not help.
    fn queue(&self, pass_ms: f64, now_ms: MonoMs) -> f64 {
        if self.quota.is_some_and(|quota| quota.is_exclusive) {
            return 0.0;
        }
        let is_stalled = now_ms < self.stall_effect_until_ms;
        let queue_at_first_event = |first: &FirstEvent| match first.load {
            Some(load) => f64::from(load.waiting) / f64::from(load.running.max(1)),
            None if is_stalled => 0.0,
            None => {
                let passes = first.latency_ms / pass_ms.max(1.0) - TYPICAL_FIRST_EVENT_PASSES;
                passes.max(0.0) / self.model.passes_per_response
            }
        };
        let mut queues: Vec<f64> = self.first_events.iter().map(queue_at_first_event).collect();
        quantile(&mut queues, MEDIAN).unwrap_or(0.0)
    }

    /// The limit after an increase: by a step, or further towards the limit at which passes are
    /// estimated to take `aimed_pass_ms`, given passes of `pass_ms` now.
    fn increased(&self, running: f64, pass_ms: f64, aimed_pass_ms: f64) -> f64 {
        let share = self.engines.max(1.0) * self.share;
        let slots = self.model.slots;
        // Other entries may run more or fewer requests per engine than this one, so an engine is
        // assumed to be at least half full.
        let per_engine = (running / share).clamp(slots / 2.0, slots);
        let stretch = (pass_ms / self.model.pass_ms(per_engine)).max(1.0);
        let room = self.model.generations(aimed_pass_ms / stretch) * share;
        let step = self.limit * (1.0 + INCREASE_FRACTION) + INCREASE_STEP;
        step.max(room.min(self.limit * MAX_INCREASE_FACTOR))
    }
}

/// The value at that quantile; `None` if there are no values.
fn quantile(values: &mut [f64], fraction: f64) -> Option<f64> {
    let last = values.len().checked_sub(1)?;
    #[allow(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss
    )] // an index below the length
    let index = (last as f64 * fraction) as usize;
    let (_, value, _) = values.select_nth_unstable_by(index, f64::total_cmp);
    Some(*value)
}
