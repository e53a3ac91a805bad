//! Submission and placement for services whose requests differ in urgency.

use berylhook_core::time::MonoMs;

use super::admission::{Admission, Outlooks, PriorityClass, SlotUse};
use super::wait_queue::QueuedRequest;
use super::{Dispatcher, Ticket};
use crate::demand::SlotDemand;
use crate::regions::RegionSet;
use crate::retry_after::RetryReason;
use crate::target::Target;

/// Fraction of the wait limit that the expected wait of a new request may take. Actual waits vary
/// about as much as they last, and a request that is refused after its wait costs its caller more
/// than one that is refused at once.
const QUEUED_WAIT_FRACTION: f64 = 0.5;

/// A request to a service whose requests differ in urgency.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UrgencyRequest {
    /// Urgency of the request; 0 is the most urgent.
    pub urgency: u32,
    /// Whether the request resumes an interrupted response. It takes precedence over new requests
    /// and is refused at once only if all targets are evacuated.
    pub is_resumed: bool,
    /// The regions in which the request may run; `None` if it may run in any.
    pub allowed_regions: Option<RegionSet>,
    /// Whether a response is expected in time if the request gets a slot at once.
    pub can_be_on_time: bool,
    /// Longest wait for a slot that still allows a response in time.
    pub wait_limit_ms: u64,
    /// Longest wait for a slot if the response will be late.
    pub late_wait_limit_ms: u64,
}

/// What happened to a request that was submitted by urgency.
#[derive(Clone, Debug, PartialEq)]
pub enum UrgencyOutcome {
    /// The request occupies a slot at this target and is to be sent there.
    Placed(Target),
    /// The request is queued; [`Dispatcher::place_next`] places it, or
    /// [`Dispatcher::take_refused`] returns it.
    Queued,
    /// The request is not expected to be placed in time.
    Refused(Refusal),
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// More urgent requests need all slots at present, or there are none.
    NoRoom,
    /// The expected wait is too long.
    WaitTooLong,
    /// The wait has reached its limit.
    WaitOver,
    /// All targets have asked for a backoff that is longer than the wait limit.
    Backoff,
    /// No target may get the request: all are evacuated, or none is in its allowed regions.
    NoTarget,
}

impl RefusalReason {
    /// The name in logs.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::NoRoom => "no-room",
            Self::WaitTooLong => "wait-too-long",
            Self::WaitOver => "wait-over",
            Self::Backoff => "backoff",
            Self::NoTarget => "no-target",
        }
    }
}

/// The refusal of a request and the inputs of the decision.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Refusal {
    /// Why the request was refused.
    pub reason: RefusalReason,
    /// Urgency of the request.
    pub urgency: u32,
    /// Requests that were queued ahead of it.
    pub queued_ahead: usize,
    /// Expected wait for a slot; `None` if its urgency gets no slots at present.
    pub expected_wait_ms: Option<u64>,
    /// Longest wait that would have been of use.
    pub wait_limit_ms: u64,
    /// Slots that stay free for better requests.
    pub reserve: f64,
    /// Slots of this entry.
    pub slots: f64,
}

impl Refusal {
    /// Whether waiting is of no use, also for a request that resumes a response.
    fn is_final(&self) -> bool {
        self.reason == RefusalReason::NoTarget
    }

    /// Why and when the caller should retry; `in_time_ms` is the latest retry whose response can
    /// still be in time.
    #[must_use]
    pub fn retry_reason(&self, in_time_ms: u64) -> RetryReason {
        RetryReason::NoRoom {
            until_room_ms: self.expected_wait_ms,
            in_time_ms,
        }
    }
}

/// The state of the requests of one urgency.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LevelReport {
    /// The urgency.
    pub urgency: u32,
    /// Slots that the arrivals of the last second need.
    pub demanded_slots: f64,
    /// Requests placed since the last report.
    pub admitted: u32,
    /// Requests refused since the last report.
    pub refused: u32,
    /// Slots that are kept free from requests of this urgency.
    pub reserve: f64,
}

/// Queued requests that get a slot before a certain one.
#[derive(Clone, Copy, Debug)]
struct QueuePosition {
    ahead: usize,
    /// Once the request is late.
    late_ahead: usize,
}

/// A check of requests for those to refuse.
struct RefusalCheck {
    outlooks: Outlooks,
    /// Whether all targets are evacuated.
    is_evacuated: bool,
    /// The sets of allowed regions in which the service has no target.
    barred_regions: Vec<RegionSet>,
    /// The shortest remaining backoff of the targets.
    backoff_left_ms: u64,
    now_ms: MonoMs,
}

impl RefusalCheck {
    /// Why a request is not expected to be placed within `fraction` of its wait limits; `None` if it
    /// is.
    fn refusal(
        &mut self,
        queued: &QueuedRequest,
        position: QueuePosition,
        fraction: f64,
    ) -> Option<Refusal> {
        let late_until_ms = queued.late_until_ms?;
        let class = queued.class(self.now_ms);
        let regions = queued.allowed_regions;
        let has_no_region = regions.is_some_and(|it| self.barred_regions.contains(&it));
        let is_barred = self.is_evacuated || has_no_region;
        let is_expired = self.now_ms >= late_until_ms;
        let is_withheld = self.backoff_left_ms > late_until_ms.since(self.now_ms);
        let on_time = (class, position.ahead, queued.on_time_until_ms);
        let late = (class.late(), position.late_ahead, late_until_ms);
        let candidates = [Some(on_time).filter(|_| !class.is_late), Some(late)];
        let mut refusal = None;
        for (class, ahead, until_ms) in candidates.into_iter().flatten() {
            let outlook = self.outlooks.of(class);
            let expected_wait_ms = if is_barred {
                f64::INFINITY
            } else {
                self.outlooks.expected_wait_ms(class, ahead)
            };
            let wait_limit_ms = until_ms.since(self.now_ms);
            #[allow(clippy::cast_precision_loss)] // a few seconds
            let is_expected_in_time = expected_wait_ms <= wait_limit_ms as f64 * fraction;
            if is_expected_in_time && !is_expired && !is_withheld {
                return None;
            }
            let reason = match expected_wait_ms.is_finite() {
                _ if is_barred => RefusalReason::NoTarget,
                _ if is_withheld => RefusalReason::Backoff,
                _ if is_expired => RefusalReason::WaitOver,
                false => RefusalReason::NoRoom,
                true => RefusalReason::WaitTooLong,
            };
            #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // not negative
            let expected_wait_ms =
                (expected_wait_ms.is_finite()).then_some(expected_wait_ms as u64);
            refusal.get_or_insert(Refusal {
                reason,
                urgency: queued.urgency,
                queued_ahead: ahead,
                expected_wait_ms,
                wait_limit_ms,
                reserve: outlook.reserve,
                slots: outlook.limit,
            });
        }
        refusal
    }
}

impl Dispatcher {
    /// Sets whether the requests of the service differ in urgency.
    pub fn set_admission_by_urgency(&mut self, is_enabled: bool, now_ms: MonoMs) {
        self.admission = match self.admission.take() {
            _ if !is_enabled => None,
            Some(admission) => Some(admission),
            None => Some(Admission::new(self.expected_slot_ms, self.running, now_ms)),
        };
    }

    /// Whether requests are admitted by urgency.
    #[must_use]
    pub fn admits_by_urgency(&self) -> bool {
        self.admission.is_some()
    }

    /// The demand for slots by urgency; `None` if the requests of the service do not differ in
    /// urgency.
    pub fn slot_demand(&mut self) -> Option<&mut SlotDemand> {
        self.admission.as_mut().map(Admission::demand)
    }

    /// Largest number of requests that may run at once; 0 without targets. While quotas bind, it is
    /// at most their sum: the concurrency limit has a minimum, which may exceed the quotas.
    #[must_use]
    pub fn slot_limit(&self) -> f64 {
        let total_slots = f64::from(self.targets.total_slots());
        let max_limit = if self.targets.quotas.are_binding() {
            total_slots.min(self.targets.quota_sum().into())
        } else {
            total_slots
        };
        let limit = self.concurrency_limit();
        limit.unwrap_or(max_limit).min(max_limit)
    }

    /// Records that a request has completed after it held its slot for `held_ms`.
    pub fn on_completed(&mut self, held_ms: f64) {
        if let Some(admission) = &mut self.admission {
            admission.demand().on_completed(held_ms);
        }
    }

    /// Mean time that a request holds a slot; an estimate until some have completed.
    pub(super) fn mean_slot_ms(&self) -> f64 {
        let admission = self.admission.as_ref();
        admission.map_or(self.expected_slot_ms, Admission::mean_slot_ms)
    }

    /// A high quantile of the latest times from sending a request to its first event; `None` if
    /// unknown.
    #[must_use]
    pub fn first_event_latency_ms(&self) -> Option<f64> {
        self.admission.as_ref()?.first_event_latency_ms()
    }

    /// Places or queues a request, or refuses it if it is not expected to be placed in time.
    ///
    /// Without admission by urgency, the request is queued.
    pub fn submit_by_urgency(
        &mut self,
        ticket: Ticket,
        request: UrgencyRequest,
        random: u64,
        now_ms: MonoMs,
    ) -> UrgencyOutcome {
        self.forecast.on_arrival(now_ms);
        self.detect_stalls(now_ms);
        if let Some(admission) = self.admission.as_mut().filter(|_| !request.is_resumed) {
            admission.on_arrival(request.urgency, request.can_be_on_time, now_ms);
        }
        let late_wait_limit_ms = request.late_wait_limit_ms.max(request.wait_limit_ms);
        let queued = QueuedRequest {
            ticket,
            urgency: request.urgency,
            on_time_until_ms: now_ms + request.wait_limit_ms,
            is_resumed: request.is_resumed,
            late_until_ms: Some(now_ms + late_wait_limit_ms),
            allowed_regions: request.allowed_regions,
        };
        if let Some(mut outlooks) = self.outlooks(now_ms) {
            let class = queued.class(now_ms);
            let regions = queued.allowed_regions;
            let counts = self.queue.count_competing_by_class(regions, now_ms);
            let ahead = outlooks.count_ahead(&counts, class);
            if ahead == 0
                && self.may_use_slot(class, &mut outlooks)
                && let Some(target) = self.place_class(&queued, random, now_ms, true)
            {
                return UrgencyOutcome::Placed(target);
            }
            let late_ahead = outlooks.count_ahead(&counts, class.late());
            let position = QueuePosition { ahead, late_ahead };
            let mut check = self.refusal_check(outlooks, regions.into_iter(), now_ms);
            let refusal = check.refusal(&queued, position, QUEUED_WAIT_FRACTION);
            if let Some(refusal) = refusal.filter(|it| !request.is_resumed || it.is_final()) {
                self.count_refused(request.urgency);
                return UrgencyOutcome::Refused(refusal);
            }
        }
        self.queue.push(queued);
        UrgencyOutcome::Queued
    }

    /// Removes the queued requests that are no longer expected to be placed in time.
    pub fn take_refused(&mut self, now_ms: MonoMs) -> Vec<(Ticket, Refusal)> {
        let is_due = self
            .admission
            .as_mut()
            .is_some_and(|admission| admission.is_refusal_check_due(now_ms));
        if !is_due || self.queue.is_empty() {
            return Vec::new();
        }
        let Some(outlooks) = self.outlooks(now_ms) else {
            return Vec::new();
        };
        let regions = self.queue.allowed_regions();
        let mut check = self.refusal_check(outlooks, regions.into_iter(), now_ms);
        let mut refused = Vec::new();
        let mut counts = self.queue.count_by_class(now_ms);
        let classes: Vec<PriorityClass> = counts.keys().copied().collect();
        for class in classes {
            let class_count = counts.insert(class, 0).unwrap_or(0);
            let better_ahead = check.outlooks.count_ahead(&counts, class);
            let late_ahead = check.outlooks.count_ahead(&counts, class.late());
            let mut refused_count = 0;
            let mut kept = 0;
            self.queue.retain_class(class, now_ms, |queued| {
                // Once late, a request is behind all that are on time now.
                let others = class_count - refused_count - 1;
                let position = QueuePosition {
                    ahead: better_ahead + kept,
                    late_ahead: late_ahead + if class.is_late { kept } else { others },
                };
                // Nothing is lost by a longer wait for resuming a response, unless no target may get
                // the request.
                let may_refuse = !queued.is_resumed || Some(now_ms) >= queued.late_until_ms;
                let refusal = check.refusal(queued, position, 1.0);
                if let Some(refusal) = refusal.filter(|it| may_refuse || it.is_final()) {
                    refused.push((queued.ticket, refusal));
                    refused_count += 1;
                    return false;
                }
                kept += 1;
                true
            });
            counts.insert(class, kept);
        }
        for (_, refusal) in &refused {
            self.count_refused(refusal.urgency);
        }
        refused
    }

    fn refusal_check(
        &self,
        outlooks: Outlooks,
        regions: impl Iterator<Item = RegionSet>,
        now_ms: MonoMs,
    ) -> RefusalCheck {
        RefusalCheck {
            outlooks,
            is_evacuated: self.is_evacuated(),
            barred_regions: regions
                .filter(|regions| self.is_barred(Some(*regions)))
                .collect(),
            backoff_left_ms: self.min_backoff_left_ms(now_ms),
            now_ms,
        }
    }

    fn count_refused(&mut self, urgency: u32) {
        if let Some(admission) = &mut self.admission {
            admission.level_counts(urgency).refused += 1;
        }
    }

    /// The state of each urgency that has had requests since admission by urgency began. Resets
    /// the counts.
    pub fn take_level_reports(&mut self, now_ms: MonoMs) -> Vec<LevelReport> {
        let Some(mut outlooks) = self.outlooks(now_ms) else {
            return Vec::new();
        };
        let Some(admission) = &mut self.admission else {
            return Vec::new();
        };
        let arrivals_per_s = admission.demand().arrivals_per_s(now_ms);
        let slot_s = admission.demand().mean_slot_ms() / 1_000.0;
        let counts = admission.take_level_counts();
        let reports = counts.into_iter().map(|(urgency, counts)| {
            let class = PriorityClass {
                is_new: true,
                urgency,
                is_late: false,
            };
            LevelReport {
                urgency,
                demanded_slots: arrivals_per_s.get(&urgency).copied().unwrap_or(0.0) * slot_s,
                admitted: counts.admitted,
                refused: counts.refused,
                reserve: outlooks.of(class).reserve,
            }
        });
        reports.collect()
    }

    fn outlooks(&mut self, now_ms: MonoMs) -> Option<Outlooks> {
        let slots = SlotUse {
            limit: self.slot_limit(),
            running: self.counted_running(),
        };
        let admission = self.admission.as_mut()?;
        Some(admission.outlooks(slots, now_ms))
    }

    /// Places the first queued request of the best class that may use a free slot.
    pub(super) fn place_next_by_urgency(
        &mut self,
        random: u64,
        now_ms: MonoMs,
    ) -> Option<(Ticket, Target)> {
        if self.queue.is_empty() {
            return None;
        }
        self.detect_stalls(now_ms);
        // The check for room is first, as each event of a stream and each waiting request causes a
        // call, and a scarce slot is rarely free.
        if !self.has_free_slot() {
            return None;
        }
        let mut outlooks = self.outlooks(now_ms)?;
        let firsts = self.queue.first_of_each_class(now_ms);
        // A late class may have to leave more slots than a less urgent one that is on time, and the
        // allowed regions of a request may have no free slot.
        for first in firsts {
            if self.may_use_slot(first.class(now_ms), &mut outlooks)
                && let Some(target) = self.place_class(&first, random, now_ms, false)
            {
                self.queue.remove(first.ticket);
                return Some((first.ticket, target));
            }
        }
        None
    }

    /// Whether fewer requests run than may run at once. If not, the next adjustment of the
    /// concurrency limit knows that the limit was reached.
    fn has_free_slot(&mut self) -> bool {
        let running = self.counted_running();
        let has_room = self
            .limiter
            .as_mut()
            .is_none_or(|limiter| limiter.has_room(running));
        #[allow(clippy::cast_precision_loss)] // a few hundred at most
        let is_below_limit = (running as f64) < self.slot_limit();
        has_room && is_below_limit
    }

    /// Whether a request of the class may use a free slot. If not, the next adjustment of the
    /// concurrency limit knows whether a higher limit would have given it one.
    fn may_use_slot(&mut self, class: PriorityClass, outlooks: &mut Outlooks) -> bool {
        if !self.has_free_slot() {
            return false;
        }
        let outlook = outlooks.of(class);
        let is_admitted = outlook.admits();
        if let Some(limiter) = self.limiter.as_mut().filter(|_| !is_admitted) {
            #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // few slots
            let margin = outlook.margin().ceil() as usize;
            limiter.has_room(outlooks.running() + margin);
        }
        is_admitted
    }

    /// Places a request of a class that may use a free slot.
    fn place_class(
        &mut self,
        queued: &QueuedRequest,
        random: u64,
        now_ms: MonoMs,
        is_new: bool,
    ) -> Option<Target> {
        let target = self.place(queued.allowed_regions, random, now_ms, is_new)?;
        if let Some(admission) = self.admission.as_mut().filter(|_| !queued.is_resumed) {
            admission.level_counts(queued.urgency).admitted += 1;
        }
        Some(target)
    }
}
