//! Submission and placement for services whose requests differ in urgency.

use berylhook_core::time::MonoMs;
use indexmap::IndexMap;

use super::admission::{Admission, Outlook, PriorityClass, SlotUse};
use super::wait_queue::{QueuedRequest, overlap};
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
    /// and is not refused at once.
    pub is_resumed: bool,
    /// Longest wait for a slot that still allows a response in time.
    pub wait_limit_ms: u64,
    /// Longest wait for a slot if the response will be late.
    pub late_wait_limit_ms: u64,
    /// The regions in which the request may run; `None` if it may run in any.
    pub allowed_regions: Option<RegionSet>,
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
    /// More urgent requests need all slots at present.
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

    /// Why and when the caller should retry.
    #[must_use]
    pub fn retry_reason(&self) -> RetryReason {
        RetryReason::NoRoom {
            until_room_ms: self.expected_wait_ms,
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

    /// Largest number of requests that may run at once; 0 without targets.
    #[must_use]
    pub fn slot_limit(&self) -> f64 {
        let total_slots = f64::from(self.targets.total_slots());
        let limit = self.concurrency_limit().unwrap_or(total_slots);
        limit.min(total_slots)
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
            admission.demand().on_arrival(request.urgency, now_ms);
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
        let class = queued.class(now_ms);
        let regions = request.allowed_regions;
        let ahead = self.queue.count_others_up_to(class, &queued, now_ms);
        if !self.queue.must_wait_behind(class, regions, now_ms)
            && let Some(target) = self.place_class(class, regions, random, now_ms, true)
        {
            return UrgencyOutcome::Placed(target);
        }
        let refusal = self.refusal(&queued, ahead, QUEUED_WAIT_FRACTION, now_ms);
        if let Some(refusal) = refusal.filter(|it| !request.is_resumed || it.is_final()) {
            self.count_refused(request.urgency);
            return UrgencyOutcome::Refused(refusal);
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
        if !is_due {
            return Vec::new();
        }
        let mut refused = Vec::new();
        let mut kept: IndexMap<Option<RegionSet>, usize> = IndexMap::new();
        for queued in self.queue.by_class(now_ms) {
            // Nothing is lost by a longer wait for resuming a response.
            let may_refuse = !queued.is_resumed || Some(now_ms) >= queued.late_until_ms;
            let regions = queued.allowed_regions;
            let competing = kept.iter().filter(|(kept, _)| overlap(**kept, regions));
            let ahead = competing.map(|(_, count)| count).sum();
            match self.refusal(&queued, ahead, 1.0, now_ms) {
                Some(refusal) if may_refuse || refusal.is_final() => {
                    self.queue.remove(queued.ticket);
                    self.count_refused(queued.urgency);
                    refused.push((queued.ticket, refusal));
                }
                _ => *kept.entry(regions).or_default() += 1,
            }
        }
        refused
    }

    /// Why a request behind `ahead` others is not expected to be placed within `fraction` of its
    /// wait limits; `None` if it is.
    fn refusal(
        &mut self,
        queued: &QueuedRequest,
        ahead: usize,
        fraction: f64,
        now_ms: MonoMs,
    ) -> Option<Refusal> {
        let late_until_ms = queued.late_until_ms?;
        let class = queued.class(now_ms);
        let late_class = PriorityClass {
            is_late: true,
            ..class
        };
        let late_ahead = self.queue.count_others_up_to(late_class, queued, now_ms);
        let on_time = (class, ahead, queued.on_time_until_ms);
        let late = (late_class, late_ahead, late_until_ms);
        let candidates = if class.is_late {
            vec![(class, ahead, late_until_ms)]
        } else {
            vec![on_time, late]
        };
        let is_barred = self.is_barred(queued.allowed_regions);
        let is_expired = now_ms >= late_until_ms;
        let is_withheld = self.min_backoff_left_ms(now_ms) > late_until_ms.since(now_ms);
        let mut refusal = None;
        for (class, ahead, until_ms) in candidates {
            let outlook = self.outlook(class, now_ms)?;
            let expected_wait_ms = outlook.expected_wait_ms(ahead);
            let wait_limit_ms = until_ms.since(now_ms);
            #[allow(clippy::cast_precision_loss)] // a few seconds
            let is_expected_in_time = expected_wait_ms <= wait_limit_ms as f64 * fraction;
            if is_expected_in_time && !is_expired && !is_withheld && !is_barred {
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

    fn count_refused(&mut self, urgency: u32) {
        if let Some(admission) = &mut self.admission {
            admission.level_counts(urgency).refused += 1;
        }
    }

    /// The state of each urgency that has had requests since admission by urgency began. Resets
    /// the counts.
    pub fn take_level_reports(&mut self, now_ms: MonoMs) -> Vec<LevelReport> {
        let Some(admission) = &mut self.admission else {
            return Vec::new();
        };
        let arrivals_per_s = admission.demand().arrivals_per_s(now_ms);
        let slot_s = admission.demand().mean_slot_ms() / 1_000.0;
        let counts = admission.take_level_counts();
        let reports = counts.into_iter().filter_map(|(urgency, counts)| {
            let class = PriorityClass {
                is_new: true,
                urgency,
                is_late: false,
            };
            Some(LevelReport {
                urgency,
                demanded_slots: arrivals_per_s.get(&urgency).copied().unwrap_or(0.0) * slot_s,
                admitted: counts.admitted,
                refused: counts.refused,
                reserve: self.outlook(class, now_ms)?.reserve,
            })
        });
        reports.collect()
    }

    fn outlook(&mut self, class: PriorityClass, now_ms: MonoMs) -> Option<Outlook> {
        let slots = SlotUse {
            limit: self.slot_limit(),
            running: self.counted_running(),
        };
        let admission = self.admission.as_mut()?;
        Some(admission.outlook(class, slots, now_ms))
    }

    /// Places the first queued request of the best class for which a slot is free. A request that
    /// waits for a slot in its allowed regions does not hold up those behind it.
    pub(super) fn place_next_by_urgency(
        &mut self,
        random: u64,
        now_ms: MonoMs,
    ) -> Option<(Ticket, Target)> {
        let mut blocked = Vec::new();
        for queued in self.queue.by_class(now_ms) {
            let regions = queued.allowed_regions;
            if blocked.contains(&regions) {
                continue;
            }
            if blocked.is_empty() {
                self.detect_stalls(now_ms);
            }
            let class = queued.class(now_ms);
            if let Some(target) = self.place_class(class, regions, random, now_ms, false) {
                self.queue.remove(queued.ticket);
                return Some((queued.ticket, target));
            }
            blocked.push(regions);
        }
        None
    }

    fn place_class(
        &mut self,
        class: PriorityClass,
        regions: Option<RegionSet>,
        random: u64,
        now_ms: MonoMs,
        is_new: bool,
    ) -> Option<Target> {
        let running = self.counted_running();
        let has_room = self
            .limiter
            .as_mut()
            .is_none_or(|limiter| limiter.has_room(running));
        if !has_room {
            return None;
        }
        let outlook = self.outlook(class, now_ms)?;
        if outlook.admits() {
            let target = self.place(regions, random, now_ms, is_new)?;
            if let Some(admission) = self.admission.as_mut().filter(|_| class.is_new) {
                admission.level_counts(class.urgency).admitted += 1;
            }
            return Some(target);
        }
        if let Some(limiter) = &mut self.limiter {
            // The limit counts as reached if the request would have got a slot with a higher one.
            #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // few slots
            let margin = outlook.margin().ceil() as usize;
            limiter.has_room(running + margin);
        }
        None
    }
}
