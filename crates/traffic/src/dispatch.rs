//! Queueing, placement and refusal of the requests of one service at an entry, which is a front-end
//! process.
//!
//! A request is placed at once if a target has a free slot. Otherwise it is queued, more urgent
//! requests first, for as long as queueing helps its caller: a caller that is refused early has
//! time for a retry, one that is refused late does not. A request that is not expected to be placed
//! within its wait limit, going by how often slots have become free, is refused without queueing,
//! unless it is expected to be served late.
//!
//! | Module | Decides |
//! |---|---|
//! | `wait_queue` | the order of the queued requests |
//! | `target_table` | which target gets the next request |
//! | `outage` | which groups accept requests at all |
//! | `stall` | which groups make no progress on the requests that they have |
//! | `pausing` | which targets get no requests because they pause their group |
//! | `quotas` | how many requests this entry may run at each target, as its home has allocated |
//! | `forecast` | whether requests that are already late can still be served |
//! | `cold` | how many requests a cold target gets |
//! | `admission` | which requests get the slots where requests differ in urgency |
//! | [`crate::concurrency`] | how many requests may run at once |

mod admission;
mod by_urgency;
mod cold;
mod forecast;
mod outage;
mod pausing;
mod quotas;
mod stall;
mod target_table;
mod unlisted;
mod wait_queue;

use std::sync::Arc;

use berylhook_backpressure::gate::{LimitChange, LimitState, SignalUpdate, WithheldReason};
use berylhook_backpressure::rate::RequestRate;
use berylhook_backpressure::signal::BackpressureSignal;
use berylhook_core::time::MonoMs;
use indexmap::IndexMap;

use self::admission::Admission;
pub use self::by_urgency::{LevelReport, Refusal, RefusalReason, UrgencyOutcome, UrgencyRequest};
use self::forecast::Forecast;
use self::outage::{GroupName, Outages};
use self::quotas::Quotas;
use self::stall::StallDetector;
use self::target_table::{Eligibility, TargetTable};
use self::wait_queue::{QueuedRequest, WaitQueue};
use crate::cold::{ColdChange, ColdPolicy, KnownEntries};
use crate::concurrency::{
    ConcurrencyLimiter, FirstEvent, PassModel, PassObjective, SharedCapacity, SlotQuota,
};
use crate::configuration::EngineModel;
use crate::engine_update::{EngineUpdate, PauseNotice};
use crate::evacuation::EvacuatedZones;
use crate::health::HealthSample;
use crate::ownership::Membership;
use crate::regions::{RegionMap, RegionSet};
use crate::slot_sharing::SharedTarget;
use crate::slot_sharing::messages::{SlotReply, SlotReport};
use crate::slot_sharing::smoothing::SmoothedDemand;
use crate::target::{Incarnation, Target};

/// Weight of the newest interval between two freed slots in the moving average.
const SLOT_INTERVAL_WEIGHT: f64 = 0.2;

/// Lower bound for the time that a generation adds to a step: this time is a divisor.
const MIN_WORK_MS: f64 = 0.001;

/// A target is silent if none of its streams got an event for this long, while other targets of its
/// service deliver events.
const SILENCE_TIMEOUT_MS: u64 = 600;

/// A target whose streams have missed this many forward passes of its service is cut off.
const MISSED_PASSES: f64 = 2.5;

/// Shortest silence after which a target counts as cut off: a lost packet is sent again sooner.
const MIN_CUT_OFF_MS: f64 = 300.0;

/// The fraction of that silence during which others of the service have to deliver events.
const OTHERS_PROGRESS_FRACTION: f64 = 0.66;

/// Time that a request to a target without a performance model is expected to hold a slot, until
/// some were measured.
const DEFAULT_SLOT_MS: f64 = 500.0;

/// Identifies a submitted request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// The load that a target reported in a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Requests that the target is working on.
    pub running: u32,
    /// Requests that are queued at the target.
    pub waiting: u32,
}

/// What happened to a submitted request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SubmitOutcome {
    /// The request occupies a slot at this target and is to be sent there.
    Placed(Target),
    /// The request is queued; [`Dispatcher::place_next`] places it.
    Queued,
    /// The request is not expected to be placed in time.
    Refused,
}

/// The urgency of a request and how long it may wait for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlacementRequest {
    /// Urgency of the request; 0 is the most urgent.
    pub urgency: u32,
    /// Longest wait for a slot that still allows a response in time.
    pub wait_limit_ms: u64,
    /// Longest wait for a slot if the response will be late.
    pub late_wait_limit_ms: u64,
    /// If placed up to this time, the request can still meet its latency objective.
    pub on_time_until_ms: MonoMs,
    /// The regions in which the request may run; `None` if it may run in any.
    pub allowed_regions: Option<RegionSet>,
}

/// The slots that the entries share, as known to one of them.
#[derive(Clone, Debug, PartialEq)]
pub struct SlotStatus {
    /// The sum of this entry's quotas at the targets that it knows.
    pub slots: u32,
    /// Fraction of all slots that the entries together use.
    pub fraction_in_use: f64,
    /// The most urgent level whose demand exceeds the slots that more urgent ones leave.
    pub scarce_level: Option<u32>,
}

/// The queued and running requests of one service.
pub struct Dispatcher {
    targets: TargetTable,
    queue: WaitQueue,
    outages: Outages,
    stall_detector: StallDetector,
    /// Groups that have stalled since [`Self::take_stalled_groups`] was last called.
    stalled_groups: Vec<GroupName>,
    forecast: Forecast,
    limiter: Option<ConcurrencyLimiter>,
    /// Present if the requests of the service differ in urgency.
    admission: Option<Admission>,
    /// Time that a request is expected to hold a slot before any was measured.
    expected_slot_ms: f64,
    smoothed_demand: SmoothedDemand,
    /// Duration of a forward pass in which no generation runs.
    empty_pass_ms: f64,
    running: usize,
    mean_slot_interval_ms: f64,
    slot_freed_ms: MonoMs,
}

impl Dispatcher {
    /// Creates a dispatcher without targets. The entries of `membership` share the targets.
    #[must_use]
    pub fn new(membership: Membership, engine: Option<&EngineModel>) -> Self {
        let per_sequence_ms = engine.map_or(1.0, |engine| engine.per_sequence_ms.max(MIN_WORK_MS));
        let step_ms = engine.map_or(0.0, |engine| engine.step_ms);
        let model = engine.map(PassModel::for_engine);
        Self {
            targets: TargetTable::new(membership, step_ms / per_sequence_ms),
            queue: WaitQueue::default(),
            outages: Outages::default(),
            stall_detector: StallDetector::default(),
            stalled_groups: Vec::new(),
            forecast: Forecast::default(),
            smoothed_demand: SmoothedDemand::default(),
            empty_pass_ms: model.map_or(0.0, |model| model.empty_pass_ms),
            expected_slot_ms: model.map_or(DEFAULT_SLOT_MS, |model| model.expected_slot_ms()),
            limiter: model.map(ConcurrencyLimiter::new),
            admission: None,
            running: 0,
            mean_slot_interval_ms: 0.0,
            slot_freed_ms: MonoMs(0),
        }
    }

    /// Replaces the targets that may get requests.
    ///
    /// Requests that run at a target that was removed still count until they end.
    pub fn set_targets<'a>(&mut self, targets: impl Iterator<Item = &'a Target>) {
        self.targets.set_targets(targets);
        self.update_capacity();
        self.update_quota();
    }

    /// Replaces the set of evacuated data centres.
    pub fn set_evacuated(&mut self, zones: &EvacuatedZones) {
        self.targets.set_evacuated(zones);
        self.update_capacity();
        self.update_quota();
    }

    /// Whether the service has targets and all of them are in evacuated data centres.
    #[must_use]
    pub fn is_evacuated(&self) -> bool {
        self.targets.is_evacuated()
    }

    /// Sets the regions of the data centres.
    pub fn set_regions(&mut self, regions: RegionMap) {
        self.targets.set_regions(regions);
    }

    /// Whether no target may get a request that is allowed in `regions`, because the service is
    /// evacuated or has no target in these regions.
    #[must_use]
    pub fn is_barred(&self, regions: Option<RegionSet>) -> bool {
        self.is_evacuated() || regions.is_some_and(|regions| !self.targets.has_target_in(regions))
    }

    /// Notes that this process has just started. All other processes may have started at the same
    /// time, so the service may have been down until now.
    pub fn on_process_start(&mut self, now_ms: MonoMs) {
        self.forecast.on_outage(now_ms);
    }

    /// Whether the target may get requests.
    #[must_use]
    pub fn has_target(&self, incarnation: &Incarnation) -> bool {
        self.targets.contains(incarnation)
    }

    /// Replaces the entries that share the targets.
    pub fn set_membership(&mut self, membership: Membership) {
        self.targets.set_membership(membership);
        self.update_capacity();
        self.update_quota();
    }

    /// Applies a leader's update on the slowdowns and the states of the groups.
    pub fn set_engine_update(&mut self, update: &EngineUpdate, now_ms: MonoMs) {
        self.targets.set_slowdowns(&update.slowdowns);
        self.targets.set_groups(&update.groups);
        if self.outages.on_group_update(&update.groups, now_ms) {
            self.forecast.on_outage(now_ms);
            self.update_capacity();
        }
    }

    /// Applies a leader's notice that the rank of an engine is reserved to pause its group.
    pub fn on_pause_notice(&mut self, notice: PauseNotice, now_ms: MonoMs) {
        self.targets.on_pause_notice(notice, now_ms);
    }

    /// Counts only the slots of groups that are up: the load of a lost group must not be added to
    /// that of the remaining groups. While all targets are evacuated, the limit stays as it was, and
    /// applies again after the withdrawal.
    fn update_capacity(&mut self) {
        if self.is_evacuated() {
            return;
        }
        let outages = &self.outages;
        let (engines, slots) = self.targets.capacity_of(|group| !outages.is_down(group));
        let (engines, slots) = match engines {
            0 => self.targets.capacity_of(|_| true),
            engines => (engines, slots),
        };
        let capacity = SharedCapacity {
            engines,
            slots,
            share: self.targets.equal_share(),
        };
        if let Some(limiter) = &mut self.limiter {
            limiter.set_capacity(capacity);
            self.targets.expect_running(limiter.limit());
        }
    }

    /// Applies the home's reply to a report of this entry.
    pub fn on_slot_reply(&mut self, reply: &SlotReply, now_ms: MonoMs) {
        self.targets.quotas.apply(reply, now_ms);
        self.update_quota();
    }

    /// Falls back to an equal share of all slots if no home has replied for too long; returns
    /// whether this has just begun.
    pub fn expire_quotas(&mut self, now_ms: MonoMs) -> bool {
        let has_expired = self.targets.quotas.expire(now_ms);
        if has_expired {
            self.update_quota();
        }
        has_expired
    }

    /// Removes the quotas, as the service no longer shares its slots by them.
    pub fn remove_quotas(&mut self) {
        self.targets.quotas = Quotas::default();
        self.update_quota();
    }

    fn update_quota(&mut self) {
        self.targets.assign_quotas();
        let quotas = &self.targets.quotas;
        let sum = f64::from(self.targets.quota_sum());
        let equal_slots = f64::from(self.targets.total_slots()) * self.targets.equal_share();
        let is_exclusive = quotas.are_exclusive();
        let slots = if is_exclusive {
            sum
        } else {
            sum.min(equal_slots)
        };
        let quota = quotas.version().map(|_| SlotQuota {
            slots,
            is_exclusive,
        });
        if let Some(limiter) = &mut self.limiter {
            limiter.set_quota(quota);
        }
    }

    /// The shared slots as known to this entry; `None` if it has no quotas.
    #[must_use]
    pub fn slot_status(&self) -> Option<SlotStatus> {
        let quotas = &self.targets.quotas;
        quotas.version()?;
        Some(SlotStatus {
            slots: self.targets.quota_sum(),
            fraction_in_use: quotas.fraction_in_use(),
            scarce_level: quotas.scarce_level(),
        })
    }

    /// This entry's report to the home of the shared slots.
    pub fn slot_report(
        &mut self,
        data_centre: &Arc<str>,
        lists_quotas: bool,
        now_ms: MonoMs,
    ) -> SlotReport {
        if let Some(admission) = &mut self.admission {
            self.smoothed_demand.update(admission.demand(), now_ms);
        }
        let count = |count: usize| u32::try_from(count).unwrap_or(u32::MAX);
        let quotas = &self.targets.quotas;
        let version = quotas.version();
        SlotReport {
            data_centre: Arc::clone(data_centre),
            arrivals_per_s: self.smoothed_demand.arrivals_per_s(),
            recent_per_s: self.smoothed_demand.recent_per_s(),
            mean_slot_ms: self.mean_slot_ms().round(),
            running: count(self.running),
            queued: count(self.queue.len()),
            limit: self.concurrency_limit().map(f64::round),
            version,
            quotas: version.filter(|_| lists_quotas).map(|_| quotas.list()),
            over_quota: self
                .targets
                .over_quota()
                .map(|(id, excess)| (Arc::clone(id), excess))
                .collect(),
        }
    }

    /// The targets whose slots this entry allocates as the home: those that may get requests. If
    /// all groups are down, all targets are included, as nothing is known of which returns first.
    #[must_use]
    pub fn shared_targets(&self) -> Vec<SharedTarget> {
        let outages = &self.outages;
        let up = self.targets.shared_targets(|group| !outages.is_down(group));
        if up.is_empty() {
            self.targets.shared_targets(|_| true)
        } else {
            up
        }
    }

    /// The limit on concurrently running requests; `None` if the service has none.
    #[must_use]
    pub fn concurrency_limit(&self) -> Option<f64> {
        self.limiter.as_ref().map(ConcurrencyLimiter::limit)
    }

    /// Records an event on a stream from the target; returns whether its group was stalled until
    /// now.
    pub fn on_stream_event(&mut self, incarnation: &Incarnation, now_ms: MonoMs) -> bool {
        self.outages.on_stream_event(now_ms);
        self.targets.on_stream_event(incarnation, now_ms);
        let group = self.targets.group_of(incarnation);
        self.stall_detector.on_stream_event(&group, now_ms)
    }

    /// Groups that have stalled since the last call; `None` stands for targets of no known group.
    pub fn take_stalled_groups(&mut self) -> Vec<Option<Arc<str>>> {
        std::mem::take(&mut self.stalled_groups)
    }

    fn detect_stalls(&mut self, now_ms: MonoMs) {
        for group in self.targets.groups() {
            let running = self.targets.running_in(group);
            if self.stall_detector.check(group, running, now_ms) {
                self.stalled_groups.push(group.clone());
                self.forecast.on_outage(now_ms);
            }
        }
    }

    /// Whether a request may be sent to the group now.
    fn may_send(&self, group: &GroupName, now_ms: MonoMs) -> bool {
        let is_probed = self.stall_detector.is_stalled(group) && self.targets.running_in(group) > 0;
        !is_probed && self.outages.may_send(group, now_ms)
    }

    /// Whether the target delivers no events while others of its service do.
    ///
    /// All ranks of a group run each forward pass together, so a single silent target is not slow:
    /// it is disconnected or its VM is frozen. Its callers would wait until they give up, while
    /// another target could serve them.
    #[must_use]
    pub fn is_silent(&self, incarnation: &Incarnation, now_ms: MonoMs) -> bool {
        self.has_service_progress(now_ms)
            && self.targets.silence_ms(incarnation, now_ms) > SILENCE_TIMEOUT_MS
    }

    /// Time since the last event on any stream from the target to this entry; `None` if there was
    /// none, or the target is not listed.
    #[must_use]
    pub fn silence_ms(&self, incarnation: &Incarnation, now_ms: MonoMs) -> Option<u64> {
        let silence_ms = self.targets.silence_ms(incarnation, now_ms);
        (silence_ms < now_ms.0).then_some(silence_ms)
    }

    /// Whether the target is cut off: several of its streams have missed some forward passes together,
    /// while others of the service have not. A single stream can be silent for other reasons, such as
    /// a lost packet.
    #[must_use]
    #[allow(clippy::cast_precision_loss)] // a few seconds at most
    pub fn is_cut_off(&self, incarnation: &Incarnation, now_ms: MonoMs) -> bool {
        let Some(last_ms) = self.targets.last_pass_of_several_ms(incarnation) else {
            return false;
        };
        let interval_ms = self.outages.event_interval_ms() as f64;
        let limit_ms = (MISSED_PASSES * interval_ms).max(MIN_CUT_OFF_MS);
        let others_ms = self.outages.last_event_ms().since(last_ms) as f64;
        self.has_service_progress(now_ms)
            && now_ms.since(last_ms) as f64 > limit_ms
            && others_ms >= OTHERS_PROGRESS_FRACTION * limit_ms
    }

    /// Whether the service delivers events, so that the silence of a single target shows something.
    fn has_service_progress(&self, now_ms: MonoMs) -> bool {
        self.outages.has_recent_events(now_ms) && !self.outages.is_resuming()
    }

    /// Records the first event of a stream.
    pub fn on_first_event(&mut self, first: FirstEvent) {
        if let Some(limiter) = &mut self.limiter {
            limiter.on_first_event(first);
        }
        if let Some(admission) = &mut self.admission {
            admission.on_first_event(first.latency_ms);
        }
    }

    /// Records an event that came `gap_ms` after the previous one of its stream, where the route's
    /// objective for such pauses is `pause_objective_ms`.
    pub fn on_event_gap(&mut self, gap_ms: f64, pause_objective_ms: f64, now_ms: MonoMs) {
        let objective = PassObjective {
            pause_ms: pause_objective_ms,
            min_pass_ms: self.empty_pass_ms * self.targets.max_slowdown(),
        };
        if let Some(limiter) = &mut self.limiter {
            limiter.on_event_gap(gap_ms);
            limiter.adjust(objective, self.running, now_ms);
        }
    }

    /// The numbers of running requests, queued requests and targets.
    #[must_use]
    pub fn counts(&self) -> (usize, usize, usize) {
        (self.running, self.queue.len(), self.targets.len())
    }

    /// Records that a target refused a request although it should have had a free slot. Returns
    /// whether its group was up and is considered down from now on.
    pub fn on_refused(&mut self, incarnation: &Incarnation, now_ms: MonoMs) -> bool {
        if self.limiter.is_none() {
            return false;
        }
        let group = self.targets.group_of(incarnation);
        let was_up = self.outages.on_refused(&group, now_ms);
        self.forecast.on_outage(now_ms);
        if was_up {
            self.update_capacity();
        }
        was_up
    }

    /// Records that a target accepted a request; returns whether its group was down.
    pub fn on_accepted(&mut self, incarnation: &Incarnation, now_ms: MonoMs) -> bool {
        let group = self.targets.group_of(incarnation);
        let has_recovered = self.outages.on_accepted(&group);
        if has_recovered {
            self.forecast.on_outage(now_ms);
            self.update_capacity();
        }
        has_recovered
    }

    /// Whether the queued requests are expected to be served within `late_wait_limit_ms`, although
    /// late.
    pub fn can_serve_late(&mut self, late_wait_limit_ms: u64, now_ms: MonoMs) -> bool {
        let waiting = self.queue.len();
        self.is_down() || self.forecast.can_serve(waiting, late_wait_limit_ms, now_ms)
    }

    /// Whether all groups of the service are down or stalled.
    #[must_use]
    pub fn is_down(&self) -> bool {
        let mut groups = self.targets.groups().peekable();
        let is_down = |group: &GroupName| {
            self.outages.is_down(group) || self.stall_detector.is_stalled(group)
        };
        groups.peek().is_some() && groups.all(is_down)
    }

    /// Places or queues a request, or refuses it if it is not expected to be placed in time.
    pub fn submit(
        &mut self,
        ticket: Ticket,
        request: PlacementRequest,
        random: u64,
        now_ms: MonoMs,
    ) -> SubmitOutcome {
        self.forecast.on_arrival(now_ms);
        let regions = request.allowed_regions;
        if self.is_barred(regions) {
            return SubmitOutcome::Refused;
        }
        if let Some(admission) = &mut self.admission {
            admission.demand().on_arrival(request.urgency, now_ms);
        }
        self.detect_stalls(now_ms);
        let preceding = self.queue.count_competing(request.urgency, regions);
        if !self.queue.must_wait(request.urgency, regions)
            && let Some(target) = self.place(regions, random, now_ms, true)
        {
            return SubmitOutcome::Placed(target);
        }
        #[allow(clippy::cast_precision_loss)] // short queues and waits
        let expected_wait_ms = (preceding as f64 + 1.0) * self.mean_slot_interval_ms;
        #[allow(clippy::cast_precision_loss)]
        let is_in_time = expected_wait_ms <= request.wait_limit_ms as f64;
        if !is_in_time && !self.can_serve_late(request.late_wait_limit_ms, now_ms) {
            return SubmitOutcome::Refused;
        }
        if self.min_backoff_left_ms(now_ms) > request.wait_limit_ms.max(request.late_wait_limit_ms)
        {
            return SubmitOutcome::Refused;
        }
        self.queue.push(QueuedRequest {
            ticket,
            urgency: request.urgency,
            on_time_until_ms: request.on_time_until_ms,
            is_resumed: false,
            late_until_ms: None,
            allowed_regions: regions,
        });
        SubmitOutcome::Queued
    }

    /// Removes a queued request whose caller no longer waits.
    pub fn cancel(&mut self, ticket: Ticket) {
        self.queue.remove(ticket);
    }

    /// Places the first queued request for which a slot is free. A request that waits for a slot
    /// in its allowed regions does not hold up those behind it.
    pub fn place_next(&mut self, random: u64, now_ms: MonoMs) -> Option<(Ticket, Target)> {
        if self.admission.is_some() {
            return self.place_next_by_urgency(random, now_ms);
        }
        let mut blocked = Vec::new();
        let mut queued = self.queue.first(&blocked, now_ms)?;
        self.detect_stalls(now_ms);
        loop {
            if let Some(target) = self.place(queued.allowed_regions, random, now_ms, false) {
                self.queue.remove(queued.ticket);
                return Some((queued.ticket, target));
            }
            blocked.push(queued.allowed_regions);
            queued = self.queue.first(&blocked, now_ms)?;
        }
    }

    /// Places a request that already runs at one more target, none of `exclude`. The additional
    /// slot counts towards the concurrency limit until [`release`](Self::release) is called.
    pub fn place_additional(
        &mut self,
        exclude: &[Incarnation],
        random: u64,
        now_ms: MonoMs,
    ) -> Option<Target> {
        self.place_additional_within(None, exclude, random, now_ms)
    }

    /// Like [`place_additional`](Self::place_additional), for a request that may run only in
    /// `regions`.
    pub fn place_additional_within(
        &mut self,
        regions: Option<RegionSet>,
        exclude: &[Incarnation],
        random: u64,
        now_ms: MonoMs,
    ) -> Option<Target> {
        self.detect_stalls(now_ms);
        let eligibility = Eligibility { exclude, regions };
        let target = self.occupy(eligibility, random, now_ms, true)?;
        self.count_started(now_ms);
        Some(target)
    }

    fn count_started(&mut self, now_ms: MonoMs) {
        self.running += 1;
        if let Some(admission) = &mut self.admission {
            admission.on_started(now_ms);
        }
    }

    /// Occupies a slot at a target whose group may get a request now.
    fn occupy(
        &mut self,
        eligibility: Eligibility<'_>,
        random: u64,
        now_ms: MonoMs,
        is_new: bool,
    ) -> Option<Target> {
        let groups = self.targets.groups().cloned();
        let unavailable: Vec<GroupName> = groups
            .filter(|group| !self.may_send(group, now_ms))
            .collect();
        let may_send = |group: &GroupName| !unavailable.contains(group);
        let target = self
            .targets
            .occupy(eligibility, random, now_ms, is_new, may_send)?;
        let group = self.targets.group_of(&target.incarnation);
        let others = self.targets.running_in(&group).saturating_sub(1);
        self.stall_detector.on_placed(&group, others, now_ms);
        self.outages.on_sent(&group, now_ms);
        Some(target)
    }

    /// Running requests that count towards the limit: neither those in evacuated data centres nor
    /// those in slots that another entry gets once they end. Requests that were placed beyond a
    /// quota count: if they did not, an entry would start as many again when quotas begin to bind.
    fn counted_running(&self) -> usize {
        let uncounted = self.targets.evacuated_running() + self.targets.in_lost_slots();
        self.running.saturating_sub(uncounted)
    }

    fn place(
        &mut self,
        regions: Option<RegionSet>,
        random: u64,
        now_ms: MonoMs,
        is_new: bool,
    ) -> Option<Target> {
        let is_open = |group: &GroupName| self.may_send(group, now_ms);
        if !self.targets.groups().any(is_open) {
            return None;
        }
        let running = self.counted_running();
        let has_room = self
            .limiter
            .as_mut()
            .is_none_or(|limiter| limiter.has_room(running));
        if !has_room {
            return None;
        }
        let eligibility = Eligibility {
            exclude: &[],
            regions,
        };
        let target = self.occupy(eligibility, random, now_ms, is_new)?;
        self.count_started(now_ms);
        self.forecast.on_placed(now_ms);
        Some(target)
    }

    /// Records the load that a target reported in a response to this entry.
    pub fn on_load(&mut self, incarnation: &Incarnation, load: Load, now_ms: MonoMs) {
        self.targets.on_load(incarnation, load, now_ms);
    }

    /// Applies the backpressure signal of a response; returns what changed.
    pub fn on_signal(
        &mut self,
        incarnation: &Incarnation,
        signal: BackpressureSignal,
        random: u64,
        now_ms: MonoMs,
    ) -> SignalUpdate {
        self.targets.on_signal(incarnation, signal, random, now_ms)
    }

    /// Records that a target accepted a request; returns whether that ended the trial after a
    /// backoff.
    pub fn end_backoff_trial(&mut self, incarnation: &Incarnation, now_ms: MonoMs) -> bool {
        self.targets.on_accepted(incarnation, now_ms)
    }

    /// The shortest remaining backoff of the targets that are not leaving; 0 if one of them takes
    /// requests, or there is none.
    #[must_use]
    pub fn min_backoff_left_ms(&self, now_ms: MonoMs) -> u64 {
        self.targets.min_backoff_left_ms(now_ms)
    }

    /// Remaining time of the backoff that a target asked for.
    #[must_use]
    pub fn backoff_left_ms(&self, incarnation: &Incarnation, now_ms: MonoMs) -> u64 {
        self.targets.backoff_left_ms(incarnation, now_ms)
    }

    /// Applies a peer's report on a target's rate limit; returns what changed.
    pub fn on_limit_report(
        &mut self,
        incarnation: &Incarnation,
        limit: Option<RequestRate>,
        reported_ms: MonoMs,
    ) -> Option<LimitChange> {
        self.targets
            .on_limit_report(incarnation, limit, reported_ms)
    }

    /// Adds permits that were granted under a target's rate limit.
    pub fn on_permits(&mut self, incarnation: &Incarnation, count: u32, until_ms: MonoMs) {
        self.targets.on_permits(incarnation, count, until_ms);
    }

    /// Requests that could not go to their preferred target since the last call, by reason.
    pub fn take_withheld_counts(&mut self) -> IndexMap<WithheldReason, u32> {
        self.targets.take_withheld_counts()
    }

    /// The rate-limit states that peers need: those of targets that have a rate limit, or had one
    /// recently.
    #[must_use]
    pub fn limit_states(&self, now_ms: MonoMs) -> Vec<(Incarnation, LimitState)> {
        self.targets.limit_states(now_ms)
    }

    /// Like [`limit_states`](Self::limit_states), but also resets the counts of requested permits.
    pub fn take_limit_states(&mut self, now_ms: MonoMs) -> Vec<(Incarnation, LimitState)> {
        self.targets.take_limit_states(now_ms)
    }

    /// Checks that a placed request may still be sent to its target.
    ///
    /// # Errors
    ///
    /// If the target has stopped accepting requests since the request was placed.
    pub fn admit(
        &mut self,
        incarnation: &Incarnation,
        now_ms: MonoMs,
    ) -> Result<(), WithheldReason> {
        self.targets.admit(incarnation, now_ms)
    }

    /// Sets how cold targets are treated, and the entries that share their rate; `None` if the rate
    /// is not bounded.
    pub fn set_cold_policy(&mut self, policy: Option<ColdPolicy>, entries: &KnownEntries) {
        self.targets.set_cold_policy(policy, entries);
    }

    /// Applies the remaining cold period in a target's health response.
    pub fn on_cold_health_response(
        &mut self,
        incarnation: &Incarnation,
        cold_left_ms: u64,
        now_ms: MonoMs,
    ) {
        self.targets
            .on_health_response(incarnation, cold_left_ms, now_ms);
    }

    /// Notes that the evacuation of a data centre has ended: its targets count as cold for as long
    /// as after a start.
    pub fn mark_data_centre_cold(&mut self, data_centre: &str, now_ms: MonoMs) {
        self.targets.mark_data_centre_cold(data_centre, now_ms);
    }

    /// The number of cold targets.
    #[must_use]
    pub fn cold_target_count(&self, now_ms: MonoMs) -> usize {
        self.targets.cold_target_count(now_ms)
    }

    /// The targets that have become cold or warm since the last call.
    pub fn take_cold_changes(&mut self, now_ms: MonoMs) -> Vec<ColdChange> {
        self.targets.take_cold_changes(now_ms)
    }

    /// Cancels a placed request that was not sent; [`release`](Self::release) must follow.
    pub fn cancel_unsent(&mut self, incarnation: &Incarnation) {
        self.targets.cancel_unsent(incarnation);
    }

    /// Time until a target accepts a request again, as announced by the targets; `None` if one
    /// accepts requests now, or all are leaving.
    #[must_use]
    pub fn until_accepting_ms(&self, now_ms: MonoMs) -> Option<u64> {
        self.targets.until_accepting_ms(now_ms)
    }

    /// The rate limit that a target announced.
    #[must_use]
    pub fn rate_limit(&self, incarnation: &Incarnation) -> Option<RequestRate> {
        self.targets.rate_limit(incarnation)
    }

    /// The number of targets that announced a rate limit.
    #[must_use]
    pub fn limited_target_count(&self) -> usize {
        self.targets.limited_target_count()
    }

    /// Frees the slot of a request that ended; `sample` is what its end shows of the target's
    /// health, if anything.
    pub fn release(
        &mut self,
        incarnation: &Incarnation,
        sample: Option<HealthSample>,
        now_ms: MonoMs,
    ) {
        self.running = self.running.saturating_sub(1);
        if let Some(admission) = &mut self.admission {
            admission.on_ended();
        }
        self.record_slot_freed(now_ms);
        self.targets.release(incarnation, sample, now_ms);
    }

    /// Records what a request that still runs shows of its target's health.
    pub fn record_health(
        &mut self,
        incarnation: &Incarnation,
        sample: HealthSample,
        now_ms: MonoMs,
    ) {
        self.targets.record_health(incarnation, sample, now_ms);
    }

    #[allow(clippy::cast_precision_loss)] // intervals are short
    fn record_slot_freed(&mut self, now_ms: MonoMs) {
        let interval_ms = now_ms.since(self.slot_freed_ms).min(1_000) as f64;
        self.mean_slot_interval_ms +=
            SLOT_INTERVAL_WEIGHT * (interval_ms - self.mean_slot_interval_ms);
        self.slot_freed_ms = now_ms;
    }
}
