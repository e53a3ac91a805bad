//! What one incarnation of a target has said last, and whether it may get a request now.

use berylhook_core::time::MonoMs;

use crate::rate::RequestRate;
use crate::signal::LimitSignal;

/// Longest rest. A target that takes nothing for longer leaves; one that means less would
/// be lost for a garbled figure.
const MOST_REST_MS: u64 = 3_600_000;

/// Part of a rest by which entries that got it in one moment are spread at its end, and the
/// most that this comes to.
const REST_SPREAD_PART: u64 = 4;
const MOST_REST_SPREAD_MS: u64 = 1_000;

/// Time for the answer to a request that tries a target after its rest. Another one tries
/// it after this time.
const TRY_MS: u64 = 1_000;

/// How long others are told that a limit is over.
const OVER_TOLD_MS: u64 = 3_000;

/// An entry that sent or kept back a request within this time wishes to have one permit
/// at hand for the next.
const DEMAND_RECENT_MS: u64 = 2_000;

/// Most requests wished for at once: a home gives out fewer at any sensible limit.
const MOST_WISHED: u32 = 10_000;

/// Why a target gets no request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum WithheldReason {
    /// This entry has no permit under the target's limit.
    Limit,
    /// The target asked this entry for rest, or one request tries whether it is over.
    Backoff,
    /// The target said that it leaves.
    Leaving,
    /// The target is not listed any more.
    NotListed,
}

impl WithheldReason {
    /// The name in logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Limit => "limit",
            Self::Backoff => "rest",
            Self::Leaving => "leaving",
            Self::NotListed => "not-listed",
        }
    }
}

/// A change of what a target has said.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitChange {
    /// The limit until now, and how long ago the target last said so.
    pub previous: Option<(RequestRate, u64)>,
    /// The limit from now on.
    pub limit: Option<RequestRate>,
}

/// What is new in an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SignalUpdate {
    /// The limit has changed.
    pub limit: Option<LimitChange>,
    /// A rest has begun, of that many milliseconds.
    pub backoff_ms: Option<u64>,
    /// The target said for the first time that it leaves.
    pub is_newly_leaving: bool,
}

/// What others should know of a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitState {
    /// The limit, or that there is none any more.
    pub limit: Option<RequestRate>,
    /// When the target last said so.
    pub reported_ms: MonoMs,
    /// Requests that this entry would send soon, beyond the permits that it has.
    pub requested: u32,
    /// Permits that it has.
    pub held: u32,
}

#[derive(Clone, Copy, Debug)]
struct Permits {
    count: u32,
    until_ms: MonoMs,
}

/// One target, as an entry sees it.
///
/// A request is placed at the target first and admitted when it is about to be sent; it may
/// wait in between, and the target may have said something else by then.
#[derive(Clone, Debug, Default)]
pub struct AdmissionGate {
    limit: Option<RequestRate>,
    /// When the target last said so; `None` before the first time.
    heard_ms: Option<MonoMs>,
    /// Until when the target wants nothing from this entry.
    rest_until_ms: MonoMs,
    /// Whether the target said that it leaves; this incarnation does not come back.
    is_leaving: bool,
    /// Whether it has accepted nothing since its last rest.
    is_on_trial: bool,
    /// Until when the request that tries it is waited for.
    trial_until_ms: MonoMs,
    /// Until when others are told that there is no limit any more.
    over_told_until_ms: MonoMs,
    permits: Vec<Permits>,
    /// Requests that are placed and not admitted yet.
    placed: u32,
    /// Requests that were sent or kept back under the limit since the last question.
    demand: u32,
    /// When the last of them came.
    demand_ms: MonoMs,
}

impl AdmissionGate {
    /// An answer of the target has come.
    pub fn on_limit_signal(&mut self, signal: LimitSignal, now_ms: MonoMs) -> Option<LimitChange> {
        let limit = match signal {
            LimitSignal::Absent => None,
            LimitSignal::Named(rate) => Some(rate),
            // A limit that could be read before is the better guess.
            LimitSignal::Unreadable => Some(self.limit.unwrap_or(RequestRate::UNREADABLE)),
        };
        self.set(limit, now_ms)
    }

    /// The target has turned a request of this entry away and wants nothing for so long;
    /// returns how much of a rest was left, so far. A rest that was asked for before is not
    /// shortened: that word still holds.
    pub fn start_backoff(&mut self, rest_ms: u64, random: u64, now_ms: MonoMs) -> u64 {
        let left_ms = self.backoff_left_ms(now_ms);
        let rest_ms = rest_ms.min(MOST_REST_MS);
        let spread_ms = (rest_ms / REST_SPREAD_PART).min(MOST_REST_SPREAD_MS);
        let until_ms = now_ms + rest_ms + random % (spread_ms + 1);
        self.rest_until_ms = self.rest_until_ms.max(until_ms);
        self.is_on_trial = true;
        self.trial_until_ms = MonoMs(0);
        left_ms
    }

    /// The target has said that it leaves; returns whether that is new.
    pub fn mark_leaving(&mut self) -> bool {
        !std::mem::replace(&mut self.is_leaving, true)
    }

    /// Whether the target said that it leaves.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// The target has accepted a request; returns whether that ends a trial.
    pub fn on_accepted(&mut self, now_ms: MonoMs) -> bool {
        let is_over = self.is_on_trial && self.backoff_left_ms(now_ms) == 0;
        self.is_on_trial &= !is_over;
        is_over
    }

    /// How much longer the target wants nothing from this entry.
    #[must_use]
    pub fn backoff_left_ms(&self, now_ms: MonoMs) -> u64 {
        self.rest_until_ms.since(now_ms)
    }

    /// How much longer nothing is sent there: for its rest, or for an answer to the request
    /// that tries it.
    #[must_use]
    pub fn hold_off_left_ms(&self, now_ms: MonoMs) -> u64 {
        match self.backoff_left_ms(now_ms) {
            0 if self.is_on_trial && self.placed > 0 => TRY_MS,
            0 if self.is_on_trial => self.trial_until_ms.since(now_ms),
            left_ms => left_ms,
        }
    }

    /// Another entry has heard from the target; what is older than known changes nothing.
    pub fn on_peer_report(
        &mut self,
        limit: Option<RequestRate>,
        heard_ms: MonoMs,
    ) -> Option<LimitChange> {
        if self.heard_ms.is_some_and(|known_ms| heard_ms <= known_ms) {
            return None;
        }
        self.set(limit, heard_ms)
    }

    fn set(&mut self, limit: Option<RequestRate>, heard_ms: MonoMs) -> Option<LimitChange> {
        let known_ms = self.heard_ms.replace(heard_ms).unwrap_or_default();
        let former = self.limit.map(|rate| (rate, heard_ms.since(known_ms)));
        if self.limit == limit {
            return None;
        }
        if limit.is_none() {
            self.permits.clear();
            self.demand = 0;
            self.over_told_until_ms = heard_ms + OVER_TOLD_MS;
        }
        self.limit = limit;
        Some(LimitChange {
            previous: former,
            limit,
        })
    }

    /// The limit in force.
    #[must_use]
    pub fn limit(&self) -> Option<RequestRate> {
        self.limit
    }

    /// Whether one more request can be placed.
    #[must_use]
    pub fn can_place(&self, now_ms: MonoMs) -> bool {
        let has_permit = self.limit.is_none() || self.permits(now_ms) > self.placed;
        has_permit && !self.is_leaving && self.hold_off_left_ms(now_ms) == 0
    }

    /// A request is placed here; [`admit`](Self::admit) or [`leave`](Self::leave) follows.
    pub fn place(&mut self) {
        self.placed += 1;
    }

    /// A placed request goes away unsent.
    pub fn cancel_placement(&mut self) {
        self.placed = self.placed.saturating_sub(1);
    }

    /// A placed request is about to be sent.
    ///
    /// # Errors
    ///
    /// If it may not be sent now.
    pub fn admit(&mut self, now_ms: MonoMs) -> Result<(), WithheldReason> {
        self.cancel_placement();
        if self.is_leaving {
            return Err(WithheldReason::Leaving);
        }
        if self.hold_off_left_ms(now_ms) > 0 {
            return Err(WithheldReason::Backoff);
        }
        if self.limit.is_some() {
            self.take_permit(now_ms)?;
        }
        if self.is_on_trial {
            self.trial_until_ms = now_ms + TRY_MS;
        }
        Ok(())
    }

    fn take_permit(&mut self, now_ms: MonoMs) -> Result<(), WithheldReason> {
        self.note_demand(now_ms);
        self.permits.retain(|permits| now_ms < permits.until_ms);
        let permits = self.permits.first_mut().ok_or(WithheldReason::Limit)?;
        permits.count -= 1;
        self.permits.retain(|permits| permits.count > 0);
        Ok(())
    }

    /// A request would have been placed here if there were room; returns why there is none.
    pub fn withhold(&mut self, now_ms: MonoMs) -> WithheldReason {
        if self.is_leaving {
            return WithheldReason::Leaving;
        }
        if self.hold_off_left_ms(now_ms) > 0 {
            return WithheldReason::Backoff;
        }
        self.note_demand(now_ms);
        WithheldReason::Limit
    }

    fn note_demand(&mut self, now_ms: MonoMs) {
        self.demand_ms = now_ms;
        self.demand = self.demand.saturating_add(1).min(MOST_WISHED);
    }

    /// Permits have come.
    pub fn add_permits(&mut self, count: u32, until_ms: MonoMs) {
        if self.limit.is_some() && count > 0 {
            self.permits.push(Permits { count, until_ms });
        }
    }

    /// What others should know; `None` where there has been no limit of late.
    #[must_use]
    pub fn state(&self, now_ms: MonoMs) -> Option<LimitState> {
        if self.limit.is_none() && now_ms >= self.over_told_until_ms {
            return None;
        }
        let is_recent = self.demand_ms + DEMAND_RECENT_MS > now_ms;
        let at_hand = u32::from(is_recent && self.limit.is_some());
        let held = self.permits(now_ms);
        Some(LimitState {
            limit: self.limit,
            reported_ms: self.heard_ms.unwrap_or_default(),
            requested: self.demand.max(at_hand).saturating_sub(held),
            held,
        })
    }

    /// The same, and counts the demand anew from here.
    pub fn take_state(&mut self, now_ms: MonoMs) -> Option<LimitState> {
        let state = self.state(now_ms);
        self.demand = 0;
        state
    }

    fn permits(&self, now_ms: MonoMs) -> u32 {
        let valid = self.permits.iter().filter(|it| now_ms < it.until_ms);
        valid.map(|permits| permits.count).sum()
    }
}
