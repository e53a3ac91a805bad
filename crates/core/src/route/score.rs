//! What is known of one target's load, and the estimate made from it.

use std::collections::VecDeque;

use crate::time::MonoMs;

use super::Availability;

/// Weight of a new measurement in the moving averages.
const EWMA_WEIGHT: f64 = 0.2;

/// Time a target takes for anything, before it reads the prompt.
const BASE_MS: f64 = 10.0;

/// Time a request is assumed to hold its slot until that has been measured.
const INITIAL_HOLD_MS: f64 = 300.0;

/// Part of a target's slots from which on it counts as filling up. Others
/// send to it too, and what they sent shows only in the next report.
const FULL_FROM: f64 = 0.7;

/// How long own request counts are remembered, to know what a late report
/// already contains.
const REMEMBERED_MS: u64 = 5_000;

/// A report may show at most this many requests of others for each of ours.
const MAX_OTHERS: f64 = 16.0;

/// Requests of others assumed beside one of ours as long as the reports show
/// next to nothing.
const PRIOR_OTHERS: f64 = 3.0;

/// Slowness is forgotten at this pace: a target that is no longer chosen
/// would otherwise never show that it has recovered.
const FORGET_SLOWNESS_MS: f64 = 20_000.0;

/// One request that has no first token yet.
#[derive(Clone, Copy, Debug)]
struct Awaited {
    sent_ms: MonoMs,
    expected_ms: f64,
}

/// How many of our own requests were at the target from a moment on.
#[derive(Clone, Copy, Debug)]
struct OwnCount {
    from_ms: MonoMs,
    in_flight: u32,
}

/// One target's load as one process knows it.
#[derive(Debug)]
pub struct TargetLoad {
    /// Whether it may get new work.
    pub availability: Availability,
    reported: f64,
    /// Our own requests at the moment the report speaks of.
    own_at_report: f64,
    slots: f64,
    in_flight: u32,
    own_counts: VecDeque<OwnCount>,
    awaited: Vec<Awaited>,
    /// Measured over expected time to first token.
    slowness: f64,
    slowness_ms: MonoMs,
    hold_ms: f64,
    first_token_ms: f64,
}

impl TargetLoad {
    pub(super) fn new(initial_first_token_ms: f64) -> Self {
        Self {
            availability: Availability::Down,
            reported: 0.0,
            own_at_report: 0.0,
            slots: 1.0,
            in_flight: 0,
            own_counts: VecDeque::new(),
            awaited: Vec::new(),
            slowness: 1.0,
            slowness_ms: MonoMs(0),
            hold_ms: INITIAL_HOLD_MS,
            first_token_ms: initial_first_token_ms,
        }
    }

    /// What comes all at the end takes as long as the whole request; taken for
    /// a late first token, it would make a healthy target look silent.
    pub(super) fn on_dispatch(&mut self, reading_ms: f64, is_stream: bool, now_ms: MonoMs) {
        let generating_ms = if is_stream { 0.0 } else { self.hold_ms };
        self.awaited.push(Awaited {
            sent_ms: now_ms,
            expected_ms: self.expected_ms(reading_ms) + generating_ms,
        });
        self.in_flight += 1;
        self.note_own_count(now_ms);
    }

    /// The target reported its load as of `as_of_ms` on this process's clock.
    pub fn on_load_report(&mut self, running: u32, waiting: u32, slots: u32, as_of_ms: MonoMs) {
        self.reported = f64::from(running) + f64::from(waiting);
        self.slots = f64::from(slots.max(1));
        let then = self
            .own_counts
            .iter()
            .rev()
            .find(|count| count.from_ms <= as_of_ms);
        self.own_at_report = then.map_or(0.0, |count| f64::from(count.in_flight));
    }

    /// The first token of the request sent at `sent_ms` arrived.
    #[allow(clippy::cast_precision_loss)] // milliseconds of one request
    pub fn on_first_token(&mut self, sent_ms: MonoMs, now_ms: MonoMs) {
        let took_ms = now_ms.since(sent_ms) as f64;
        self.first_token_ms += EWMA_WEIGHT * (took_ms - self.first_token_ms);
        if let Some(awaited) = self.no_longer_awaited(sent_ms) {
            let measured = took_ms / awaited.expected_ms;
            self.slowness = self.slowness_at(now_ms);
            self.slowness += EWMA_WEIGHT * (measured - self.slowness);
            self.slowness_ms = now_ms;
        }
    }

    /// The request sent at `sent_ms` ended at `now_ms`, answered or not.
    #[allow(clippy::cast_precision_loss)] // milliseconds of one request
    pub fn on_request_end(&mut self, sent_ms: MonoMs, now_ms: MonoMs) {
        let held_ms = now_ms.since(sent_ms) as f64;
        self.hold_ms += EWMA_WEIGHT * (held_ms - self.hold_ms);
        self.in_flight = self.in_flight.saturating_sub(1);
        self.note_own_count(now_ms);
        self.no_longer_awaited(sent_ms);
    }

    fn no_longer_awaited(&mut self, sent_ms: MonoMs) -> Option<Awaited> {
        let index = self
            .awaited
            .iter()
            .position(|awaited| awaited.sent_ms == sent_ms)?;
        Some(self.awaited.remove(index))
    }

    fn note_own_count(&mut self, now_ms: MonoMs) {
        let count = OwnCount {
            from_ms: now_ms,
            in_flight: self.in_flight,
        };
        match self.own_counts.back_mut() {
            Some(last) if last.from_ms == now_ms => *last = count,
            _ => self.own_counts.push_back(count),
        }
        while self
            .own_counts
            .front()
            .is_some_and(|oldest| now_ms.since(oldest.from_ms) > REMEMBERED_MS)
        {
            self.own_counts.pop_front();
        }
    }

    /// Requests sent by this process and not ended.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Recent time to first token.
    #[must_use]
    pub fn first_token_ms(&self) -> f64 {
        self.first_token_ms
    }

    /// Requests at the target now: its late report, corrected by how our own
    /// have changed since. Others are assumed to have changed alike.
    fn occupancy(&self) -> f64 {
        let own = f64::from(self.in_flight);
        let others = (self.reported + PRIOR_OTHERS) / (self.own_at_report + 1.0);
        let others = others.clamp(1.0, MAX_OTHERS);
        let corrected = self.reported + (own - self.own_at_report) * others;
        corrected.max(own)
    }

    /// Time to first token of one more request at a target of usual speed:
    /// the wait for a slot, and the part of the prompt that is not cached.
    fn expected_ms(&self, reading_ms: f64) -> f64 {
        let ahead = self.occupancy();
        let over = (ahead + 1.0 - self.slots * FULL_FROM).max(0.0);
        let waiting_ms = over / self.slots * self.hold_ms;
        BASE_MS * (1.0 + ahead / self.slots) + reading_ms + waiting_ms
    }

    /// Estimated time to first token of one more request, which needs
    /// `reading_ms` for the part of its prompt that is not cached.
    pub(super) fn estimate_ms(&self, reading_ms: f64, now_ms: MonoMs) -> f64 {
        self.expected_ms(reading_ms) * self.slowness_at(now_ms).max(self.overdue(now_ms))
    }

    #[allow(clippy::cast_precision_loss)] // milliseconds of one process's life
    fn slowness_at(&self, now_ms: MonoMs) -> f64 {
        let age_ms = now_ms.since(self.slowness_ms) as f64;
        let kept = FORGET_SLOWNESS_MS / (FORGET_SLOWNESS_MS + age_ms);
        1.0 + (self.slowness - 1.0) * kept
    }

    /// How many times longer than expected the oldest request has waited: a
    /// target that has gone silent shows in nothing else.
    #[allow(clippy::cast_precision_loss)] // milliseconds of one request
    fn overdue(&self, now_ms: MonoMs) -> f64 {
        self.awaited.first().map_or(0.0, |oldest| {
            now_ms.since(oldest.sent_ms) as f64 / oldest.expected_ms
        })
    }
}
