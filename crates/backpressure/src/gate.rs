//! Admission control for one incarnation of a target: decides whether a request may be sent
//! now, according to the target's last back-pressure signals.

use berylhook_core::time::MonoMs;

use crate::rate::RequestRate;
use crate::signal::LimitSignal;

/// Longest backoff. A target that is unavailable for longer announces that it stops instead,
/// and a garbled larger value must not disable a target for good.
const MAX_BACKOFF_MS: u64 = 3_600_000;

/// The end of a backoff is randomized by up to one part in this many of its length, so that
/// entries that got it at the same time do not resume at the same time.
const BACKOFF_JITTER_DIVISOR: u64 = 4;

/// Most by which the end of a backoff is randomized.
const MAX_BACKOFF_JITTER_MS: u64 = 1_000;

/// Time to wait for the response to the trial request after a backoff. Another trial
/// request may be sent after this time.
const TRIAL_TIMEOUT_MS: u64 = 1_000;

/// How long other entries are notified that a target no longer has a limit.
const LIMIT_REMOVED_PUBLISH_MS: u64 = 3_000;

/// An entry that sent or withheld a request within this time requests at least one permit
/// in advance.
const DEMAND_WINDOW_MS: u64 = 2_000;

/// Most permits requested at a time; a home grants fewer under any realistic limit.
const MAX_REQUESTED: u32 = 10_000;

/// Why a request is withheld from a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum WithheldReason {
    /// This entry has no permit under the target's limit.
    Limit,
    /// The target requested a backoff, or a trial request after the backoff is still pending.
    Backoff,
    /// The target announced that it is draining and will stop.
    Leaving,
    /// The target is no longer listed.
    NotListed,
    /// The target's rank is reserved to pause its group.
    Pausing,
    /// The target's data centre is evacuated.
    Evacuated,
    /// The target is cold, and this entry's share of its requests is in use.
    Cold,
}

impl WithheldReason {
    /// Returns the name used in logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Limit => "limit",
            Self::Backoff => "rest",
            Self::Leaving => "leaving",
            Self::NotListed => "not-listed",
            Self::Pausing => "pausing",
            Self::Evacuated => "evacuated",
            Self::Cold => "cold",
        }
    }
}

/// A change of a target's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitChange {
    /// The previous limit, and the time in milliseconds since the target last announced it.
    pub previous: Option<(RequestRate, u64)>,
    /// The new limit.
    pub limit: Option<RequestRate>,
}

/// The changes that a response's back-pressure signals made.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SignalUpdate {
    /// The change of the limit, if it has changed.
    pub limit: Option<LimitChange>,
    /// The length of the backoff, if one has started.
    pub backoff_ms: Option<u64>,
    /// Whether the target announced for the first time that it is draining.
    pub is_newly_leaving: bool,
}

/// The state of a target's limit to be reported to other entries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitState {
    /// The limit; `None` if the target no longer announces one.
    pub limit: Option<RequestRate>,
    /// When the target last announced this.
    pub reported_ms: MonoMs,
    /// Requests that this entry expects to send soon, beyond the permits it holds.
    pub requested: u32,
    /// Permits that this entry holds.
    pub held: u32,
}

#[derive(Clone, Copy, Debug)]
struct PermitBatch {
    count: u32,
    expires_ms: MonoMs,
}

/// The admission gate of one entry for one target.
///
/// A request is first placed (assigned to the target), and admitted when it is about to be
/// sent. It may wait in between, and the target's signals may have changed by then.
#[derive(Clone, Debug, Default)]
pub struct AdmissionGate {
    limit: Option<RequestRate>,
    /// When the target last announced its limit or that it has none; `None` before the first
    /// response.
    reported_ms: Option<MonoMs>,
    /// Until when the target requested that this entry send nothing.
    backoff_until_ms: MonoMs,
    /// Whether the target announced that it is draining; this incarnation never accepts
    /// requests again.
    is_leaving: bool,
    /// Whether the target has accepted no request since its last backoff.
    is_on_trial: bool,
    /// Until when the response to the trial request is awaited.
    trial_until_ms: MonoMs,
    /// Until when other entries are notified that the target no longer has a limit.
    publish_until_ms: MonoMs,
    permits: Vec<PermitBatch>,
    /// Requests that are placed and not admitted yet.
    placed: u32,
    /// Requests that were sent or withheld under the limit since the last permit request.
    demand: u32,
    /// When the last request counted in `demand` was sent or withheld.
    last_demand_ms: MonoMs,
}

impl AdmissionGate {
    /// Applies the limit signal of a response; returns the change of the limit, if any.
    pub fn on_limit_signal(&mut self, signal: LimitSignal, now_ms: MonoMs) -> Option<LimitChange> {
        let limit = match signal {
            LimitSignal::Absent => None,
            LimitSignal::Named(rate) => Some(rate),
            // The last valid limit is a better estimate than the fallback.
            LimitSignal::Unreadable => Some(self.limit.unwrap_or(RequestRate::UNREADABLE)),
        };
        self.set_limit(limit, now_ms)
    }

    /// Starts or extends the backoff that the target requested when it refused a request.
    /// Returns the remaining time of the backoff before this call. A longer backoff
    /// requested before is not shortened, as the earlier request still applies.
    pub fn start_backoff(&mut self, backoff_ms: u64, random: u64, now_ms: MonoMs) -> u64 {
        let left_ms = self.backoff_left_ms(now_ms);
        let backoff_ms = backoff_ms.min(MAX_BACKOFF_MS);
        let jitter_ms = (backoff_ms / BACKOFF_JITTER_DIVISOR).min(MAX_BACKOFF_JITTER_MS);
        let until_ms = now_ms + backoff_ms + random % (jitter_ms + 1);
        self.backoff_until_ms = self.backoff_until_ms.max(until_ms);
        self.is_on_trial = true;
        self.trial_until_ms = MonoMs(0);
        left_ms
    }

    /// Records that the target announced that it is draining; returns whether that is new.
    pub fn mark_leaving(&mut self) -> bool {
        !std::mem::replace(&mut self.is_leaving, true)
    }

    /// Whether the target announced that it is draining.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// Records that the target accepted a request; returns whether that ends a trial.
    pub fn on_accepted(&mut self, now_ms: MonoMs) -> bool {
        let ends_trial = self.is_on_trial && self.backoff_left_ms(now_ms) == 0;
        self.is_on_trial &= !ends_trial;
        ends_trial
    }

    /// Returns the remaining time of the backoff; 0 if there is none.
    #[must_use]
    pub fn backoff_left_ms(&self, now_ms: MonoMs) -> u64 {
        self.backoff_until_ms.since(now_ms)
    }

    /// Returns how much longer no request may be sent because of a backoff or a pending trial
    /// request; 0 if one may be sent now.
    #[must_use]
    pub fn hold_off_left_ms(&self, now_ms: MonoMs) -> u64 {
        match self.backoff_left_ms(now_ms) {
            0 if self.is_on_trial && self.placed > 0 => TRIAL_TIMEOUT_MS,
            0 if self.is_on_trial => self.trial_until_ms.since(now_ms),
            left_ms => left_ms,
        }
    }

    /// Applies the limit that another entry reports; returns the change of the limit, if any.
    /// A report that is not newer than the known state is ignored.
    pub fn on_peer_report(
        &mut self,
        limit: Option<RequestRate>,
        reported_ms: MonoMs,
    ) -> Option<LimitChange> {
        if self
            .reported_ms
            .is_some_and(|known_ms| reported_ms <= known_ms)
        {
            return None;
        }
        self.set_limit(limit, reported_ms)
    }

    fn set_limit(
        &mut self,
        limit: Option<RequestRate>,
        reported_ms: MonoMs,
    ) -> Option<LimitChange> {
        let known_ms = self.reported_ms.replace(reported_ms).unwrap_or_default();
        let previous = self.limit.map(|rate| (rate, reported_ms.since(known_ms)));
        if self.limit == limit {
            return None;
        }
        if limit.is_none() {
            self.permits.clear();
            self.demand = 0;
            self.publish_until_ms = reported_ms + LIMIT_REMOVED_PUBLISH_MS;
        }
        self.limit = limit;
        Some(LimitChange { previous, limit })
    }

    /// Returns the limit in force.
    #[must_use]
    pub fn limit(&self) -> Option<RequestRate> {
        self.limit
    }

    /// Whether one more request can be placed at the target.
    #[must_use]
    pub fn can_place(&self, now_ms: MonoMs) -> bool {
        let has_permit = self.limit.is_none() || self.valid_permits(now_ms) > self.placed;
        has_permit && !self.is_leaving && self.hold_off_left_ms(now_ms) == 0
    }

    /// Places a request at the target; a call of [`admit`](Self::admit) or
    /// [`cancel_placement`](Self::cancel_placement) must follow.
    pub fn place(&mut self) {
        self.placed += 1;
    }

    /// Removes a placed request that is not sent.
    pub fn cancel_placement(&mut self) {
        self.placed = self.placed.saturating_sub(1);
    }

    /// Cancels all placed requests: the target is not listed any more, so none of them is sent.
    pub fn cancel_placements(&mut self) {
        self.placed = 0;
    }

    /// Whether anything that the target announced still restricts requests to it.
    #[must_use]
    pub fn is_restricting(&self, now_ms: MonoMs) -> bool {
        self.is_leaving || self.limit.is_some() || self.hold_off_left_ms(now_ms) > 0
    }

    /// Admits a placed request that is about to be sent, and consumes a permit if there is
    /// a limit.
    ///
    /// # Errors
    ///
    /// Returns the reason if the request may not be sent now.
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
            self.trial_until_ms = now_ms + TRIAL_TIMEOUT_MS;
        }
        Ok(())
    }

    fn take_permit(&mut self, now_ms: MonoMs) -> Result<(), WithheldReason> {
        self.record_demand(now_ms);
        self.permits.retain(|batch| now_ms < batch.expires_ms);
        let batch = self.permits.first_mut().ok_or(WithheldReason::Limit)?;
        batch.count -= 1;
        self.permits.retain(|batch| batch.count > 0);
        Ok(())
    }

    /// Records the demand of a request that could not be placed at the target; returns the
    /// reason.
    pub fn withhold(&mut self, now_ms: MonoMs) -> WithheldReason {
        if self.is_leaving {
            return WithheldReason::Leaving;
        }
        if self.hold_off_left_ms(now_ms) > 0 {
            return WithheldReason::Backoff;
        }
        self.record_demand(now_ms);
        WithheldReason::Limit
    }

    fn record_demand(&mut self, now_ms: MonoMs) {
        self.last_demand_ms = now_ms;
        self.demand = self.demand.saturating_add(1).min(MAX_REQUESTED);
    }

    /// Adds permits that the home granted.
    pub fn add_permits(&mut self, count: u32, expires_ms: MonoMs) {
        if self.limit.is_some() && count > 0 {
            self.permits.push(PermitBatch { count, expires_ms });
        }
    }

    /// Returns the state to report to other entries; `None` if the target has had no limit
    /// recently.
    #[must_use]
    pub fn state(&self, now_ms: MonoMs) -> Option<LimitState> {
        if self.limit.is_none() && now_ms >= self.publish_until_ms {
            return None;
        }
        let is_recent = self.last_demand_ms + DEMAND_WINDOW_MS > now_ms;
        let min_requested = u32::from(is_recent && self.limit.is_some());
        let held = self.valid_permits(now_ms);
        Some(LimitState {
            limit: self.limit,
            reported_ms: self.reported_ms.unwrap_or_default(),
            requested: self.demand.max(min_requested).saturating_sub(held),
            held,
        })
    }

    /// Returns the state as [`state`](Self::state) does, and resets the demand.
    pub fn take_state(&mut self, now_ms: MonoMs) -> Option<LimitState> {
        let state = self.state(now_ms);
        self.demand = 0;
        state
    }

    fn valid_permits(&self, now_ms: MonoMs) -> u32 {
        let valid = self
            .permits
            .iter()
            .filter(|batch| now_ms < batch.expires_ms);
        valid.map(|batch| batch.count).sum()
    }
}
