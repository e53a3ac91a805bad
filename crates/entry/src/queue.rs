//! The queue of one service: its dispatcher, shared by all its requests.

use std::num::NonZeroUsize;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use berylhook_backpressure::gate::{LimitChange, LimitState, SignalUpdate, WithheldReason};
use berylhook_backpressure::messages::PermitGrant;
use berylhook_backpressure::rate::RequestRate;
use berylhook_backpressure::signal::BackpressureSignal;
use berylhook_core::time::MonoMs;
use berylhook_traffic::cold::{ColdChange, ColdPolicy, KnownEntries};
use berylhook_traffic::concurrency::FirstEvent;
use berylhook_traffic::configuration::EngineModel;
use berylhook_traffic::dispatch::{
    Dispatcher, LevelReport, Load, PlacementRequest, Refusal, SlotStatus, SubmitOutcome, Ticket,
    UrgencyOutcome, UrgencyRequest,
};
use berylhook_traffic::engine_update::{EngineUpdate, PauseNotice};
use berylhook_traffic::evacuation::EvacuatedZones;
use berylhook_traffic::health::HealthSample;
use berylhook_traffic::ownership::Membership;
use berylhook_traffic::regions::{RegionMap, RegionSet};
use berylhook_traffic::retry_budget::{FleetRetryBudget, RetryBounds};
use berylhook_traffic::slot_sharing::SharedTarget;
use berylhook_traffic::slot_sharing::messages::{SlotReply, SlotReport};
use berylhook_traffic::target::{Incarnation, Target};
use indexmap::IndexMap;
use tokio::sync::oneshot;
use tokio::time::timeout;

/// A monotonic clock that starts with the process.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock(Instant);

impl Clock {
    pub(crate) fn start() -> Self {
        Self(Instant::now())
    }

    pub(crate) fn now_ms(self) -> MonoMs {
        let elapsed = self.0.elapsed().as_millis();
        MonoMs(u64::try_from(elapsed).unwrap_or(u64::MAX))
    }
}

struct State {
    dispatcher: Dispatcher,
    waiters: IndexMap<Ticket, Waiter>,
    retry_budget: FleetRetryBudget,
    last_ticket: u64,
    gap_objective_ms: f64,
}

/// A service's waiting and running requests.
pub(crate) struct ServiceQueue {
    service: Arc<str>,
    /// Whether the service's targets run in groups, so that the exit of one stops its whole
    /// group.
    exit_stops_group: bool,
    clock: Clock,
    state: Mutex<State>,
}

/// Receives the outcome of a waiting request.
type Waiter = oneshot::Sender<Result<SlotGuard, SlotError>>;

/// A request for a slot.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SlotRequest {
    /// Urgency; 0 is the most urgent.
    pub(crate) urgency: u32,
    /// Whether the slot is for resuming an interrupted response.
    pub(crate) is_resumed: bool,
    /// How long the request waits.
    pub(crate) limits: SlotWaitLimits,
    /// The times by which a new stream needs its first event.
    pub(crate) first_event: Option<FirstEventLimits>,
    /// The regions in which the request may run; `None` if it may run in any.
    pub(crate) allowed_regions: Option<RegionSet>,
}

/// The times by which a new stream needs its first event, counted from the request for a slot.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FirstEventLimits {
    /// The latency objective.
    pub(crate) objective: Duration,
    /// The shortest time that the stream waits for a slot.
    pub(crate) min_wait: Duration,
    /// The caller disconnects after this time without an event.
    pub(crate) disconnect: Duration,
}

/// How long a request waits for a slot.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SlotWaitLimits {
    /// If the response can still be on time.
    pub(crate) on_time: Duration,
    /// If a late response can be expected.
    pub(crate) late: Duration,
}

/// Time between two checks of a waiting request on the state of its service.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Why a request got no slot.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum SlotError {
    /// No slot was expected to become free in time.
    Overloaded,
    /// No slot was expected to become free in time for a request of its urgency.
    Refused(Refusal),
    /// No slot became free while the request waited.
    TimedOut,
}

/// A reserved slot at a target, released when it is dropped.
pub(crate) struct SlotGuard {
    queue: Arc<ServiceQueue>,
    target: Target,
    reserved_at: Instant,
    is_open: bool,
    /// Whether the request has passed the target's admission gate, or was withheld there.
    is_admission_decided: bool,
}

impl SlotGuard {
    pub(crate) fn target(&self) -> &Target {
        &self.target
    }

    /// Checks the target's admission gate. This is the last check before the request is sent.
    ///
    /// # Errors
    ///
    /// If the target has signalled since the slot was reserved that it takes no requests now.
    pub(crate) fn admit(&mut self) -> Result<(), WithheldReason> {
        self.is_admission_decided = true;
        self.queue.admit(&self.target.incarnation)
    }

    /// Releases the slot and reports the sample of the target's health, if there is one.
    pub(crate) fn close(mut self, health_sample: Option<HealthSample>) {
        self.is_open = false;
        if health_sample == Some(HealthSample::Success) {
            self.queue.on_completed(self.reserved_at.elapsed());
        }
        self.release(health_sample);
    }
}

impl SlotGuard {
    fn release(&self, health_sample: Option<HealthSample>) {
        if !self.is_admission_decided {
            self.queue.cancel_unsent(&self.target.incarnation);
        }
        self.queue.release(&self.target.incarnation, health_sample);
    }
}

impl Drop for SlotGuard {
    // A disconnected caller drops its request at any await point. A slot that leaked there would
    // reduce the capacity of the service until the process restarts.
    fn drop(&mut self) {
        if self.is_open {
            self.release(None);
        }
    }
}

/// Removes a waiting request from the queue when it is dropped.
struct WaiterGuard<'a> {
    queue: &'a ServiceQueue,
    ticket: Ticket,
}

impl Drop for WaiterGuard<'_> {
    fn drop(&mut self) {
        let mut state = self.queue.lock();
        state.dispatcher.cancel(self.ticket);
        state.waiters.swap_remove(&self.ticket);
    }
}

impl ServiceQueue {
    pub(crate) fn new(
        service: Arc<str>,
        clock: Clock,
        membership: Membership,
        engine: Option<&EngineModel>,
        retry_budget: FleetRetryBudget,
    ) -> Self {
        let mut dispatcher = Dispatcher::new(membership, engine);
        dispatcher.on_process_start(clock.now_ms());
        Self {
            service,
            exit_stops_group: engine.is_some_and(|engine| engine.experts.is_some()),
            clock,
            state: Mutex::new(State {
                dispatcher,
                waiters: IndexMap::new(),
                retry_budget,
                last_ticket: 0,
                gap_objective_ms: f64::INFINITY,
            }),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }

    /// The service's name.
    pub(crate) fn service(&self) -> &Arc<str> {
        &self.service
    }

    /// Whether the exit of one of the service's targets stops a whole group.
    pub(crate) fn exit_stops_group(&self) -> bool {
        self.exit_stops_group
    }

    /// Whether the target may get requests now.
    pub(crate) fn has_target(&self, incarnation: &Incarnation) -> bool {
        self.lock().dispatcher.has_target(incarnation)
    }

    /// Replaces the targets that may get requests.
    pub(crate) fn set_targets<'a>(self: &Arc<Self>, targets: impl Iterator<Item = &'a Target>) {
        self.lock().dispatcher.set_targets(targets);
        self.dispatch_waiting();
    }

    /// Replaces the entries that share the targets.
    pub(crate) fn set_membership(self: &Arc<Self>, membership: Membership) {
        self.lock().dispatcher.set_membership(membership);
        self.dispatch_waiting();
    }

    /// Replaces the evacuated data centres.
    pub(crate) fn set_evacuated(self: &Arc<Self>, zones: &EvacuatedZones) {
        self.lock().dispatcher.set_evacuated(zones);
        self.dispatch_waiting();
    }

    /// Sets the regions of the data centres.
    pub(crate) fn set_regions(&self, regions: RegionMap) {
        self.lock().dispatcher.set_regions(regions);
    }

    /// Whether no target may get a request that is allowed in `regions`.
    pub(crate) fn is_barred(&self, regions: Option<RegionSet>) -> bool {
        self.lock().dispatcher.is_barred(regions)
    }

    /// Whether all targets of the service are in evacuated data centres.
    pub(crate) fn is_evacuated(&self) -> bool {
        self.lock().dispatcher.is_evacuated()
    }

    /// The numbers of running requests, waiting requests, and targets that may get more.
    pub(crate) fn counts(&self) -> (usize, usize, usize) {
        self.lock().dispatcher.counts()
    }

    /// The concurrency limit, if there is one.
    pub(crate) fn concurrency_limit(&self) -> Option<f64> {
        self.lock().dispatcher.concurrency_limit()
    }

    /// Applies a leader's update on the engines.
    pub(crate) fn set_engine_update(self: &Arc<Self>, update: &EngineUpdate) {
        let now_ms = self.clock.now_ms();
        self.lock().dispatcher.set_engine_update(update, now_ms);
        self.dispatch_waiting();
    }

    /// Applies a leader's notice that the rank of an engine is reserved to pause its group.
    pub(crate) fn on_pause_notice(self: &Arc<Self>, notice: PauseNotice) {
        let now_ms = self.clock.now_ms();
        self.lock().dispatcher.on_pause_notice(notice, now_ms);
        self.dispatch_waiting();
    }

    /// Sets whether the requests of the service differ in urgency.
    pub(crate) fn set_admission_by_urgency(&self, is_enabled: bool) {
        let now_ms = self.clock.now_ms();
        let dispatcher = &mut self.lock().dispatcher;
        if dispatcher.admits_by_urgency() != is_enabled {
            log::info!(service = &*self.service, is_enabled; "admission by urgency changed");
        }
        dispatcher.set_admission_by_urgency(is_enabled, now_ms);
    }

    /// Takes the state of each urgency since the last call; empty if requests do not differ in it.
    pub(crate) fn take_level_reports(&self) -> Vec<LevelReport> {
        let now_ms = self.clock.now_ms();
        self.lock().dispatcher.take_level_reports(now_ms)
    }

    /// Whether requests are admitted by urgency.
    pub(crate) fn admits_by_urgency(&self) -> bool {
        self.lock().dispatcher.admits_by_urgency()
    }

    /// Waits for a slot.
    pub(crate) async fn acquire_slot(
        self: &Arc<Self>,
        request: SlotRequest,
    ) -> Result<SlotGuard, SlotError> {
        if self.admits_by_urgency() {
            self.acquire_slot_by_urgency(request).await
        } else {
            self.acquire_slot_in_turn(request).await
        }
    }

    /// Waits for a slot as long as the dispatcher expects one in time.
    async fn acquire_slot_by_urgency(
        self: &Arc<Self>,
        request: SlotRequest,
    ) -> Result<SlotGuard, SlotError> {
        let (ticket, mut receiver, limits) = {
            let now_ms = self.clock.now_ms();
            let mut state = self.lock();
            state.last_ticket += 1;
            let ticket = Ticket(state.last_ticket);
            let dispatcher = &mut state.dispatcher;
            let latency_ms = dispatcher.first_event_latency_ms();
            let limits = request.wait_limits(latency_ms);
            let submission = UrgencyRequest {
                urgency: request.urgency,
                is_resumed: request.is_resumed,
                can_be_on_time: request.can_be_on_time(latency_ms),
                wait_limit_ms: duration_ms(limits.on_time),
                late_wait_limit_ms: duration_ms(limits.late),
                allowed_regions: request.allowed_regions,
            };
            let outcome = dispatcher.submit_by_urgency(ticket, submission, rand::random(), now_ms);
            let stalled = dispatcher.take_stalled_groups();
            self.log_stalled(&stalled);
            match outcome {
                UrgencyOutcome::Placed(target) => return Ok(self.slot_guard(target)),
                UrgencyOutcome::Refused(refusal) => return Err(SlotError::Refused(refusal)),
                UrgencyOutcome::Queued => {}
            }
            let (sender, receiver) = oneshot::channel();
            state.waiters.insert(ticket, sender);
            (ticket, receiver, limits)
        };
        let waiter = WaiterGuard {
            queue: self,
            ticket,
        };
        let started = Instant::now();
        // The dispatcher ends the wait, unless a new configuration has ended admission by urgency.
        let limit = limits.on_time.max(limits.late) + POLL_INTERVAL;
        let slot = loop {
            let Some(remaining) = limit.checked_sub(started.elapsed()) else {
                break Err(SlotError::TimedOut);
            };
            match timeout(remaining.min(POLL_INTERVAL), &mut receiver).await {
                Ok(slot) => break slot.unwrap_or(Err(SlotError::TimedOut)),
                Err(_) => self.dispatch_waiting(),
            }
        };
        drop(waiter);
        slot
    }

    /// Waits for a slot within the limits of the request, in the order of urgency and arrival.
    async fn acquire_slot_in_turn(
        self: &Arc<Self>,
        request: SlotRequest,
    ) -> Result<SlotGuard, SlotError> {
        let SlotRequest {
            limits,
            allowed_regions,
            ..
        } = request;
        let on_time_ms = duration_ms(limits.on_time);
        let (ticket, receiver) = {
            let now_ms = self.clock.now_ms();
            let mut state = self.lock();
            state.last_ticket += 1;
            let ticket = Ticket(state.last_ticket);
            let dispatcher = &mut state.dispatcher;
            let placement = PlacementRequest {
                urgency: request.urgency,
                wait_limit_ms: on_time_ms,
                late_wait_limit_ms: duration_ms(limits.late),
                on_time_until_ms: now_ms + on_time_ms,
                allowed_regions,
            };
            let outcome = dispatcher.submit(ticket, placement, rand::random(), now_ms);
            let stalled = dispatcher.take_stalled_groups();
            self.log_stalled(&stalled);
            match outcome {
                SubmitOutcome::Placed(target) => return Ok(self.slot_guard(target)),
                SubmitOutcome::Refused => return Err(SlotError::Overloaded),
                SubmitOutcome::Queued => {}
            }
            let (sender, receiver) = oneshot::channel();
            state.waiters.insert(ticket, sender);
            (ticket, receiver)
        };
        let waiter = WaiterGuard {
            queue: self,
            ticket,
        };
        let slot = self.wait_for_slot(receiver, allowed_regions, limits).await;
        drop(waiter);
        slot.ok_or(SlotError::TimedOut)
    }

    /// Waits for a slot, longer than the usual limit if a late response can still be expected: a
    /// caller rejected now would return to a service in the same state.
    async fn wait_for_slot(
        self: &Arc<Self>,
        mut receiver: oneshot::Receiver<Result<SlotGuard, SlotError>>,
        regions: Option<RegionSet>,
        limits: SlotWaitLimits,
    ) -> Option<SlotGuard> {
        let started = Instant::now();
        let late_ms = duration_ms(limits.late);
        loop {
            let now_ms = self.clock.now_ms();
            let (can_serve_late, min_backoff_left_ms) = {
                let dispatcher = &mut self.lock().dispatcher;
                if dispatcher.is_barred(regions) {
                    return None;
                }
                let can_serve_late = dispatcher.can_serve_late(late_ms, now_ms);
                (can_serve_late, dispatcher.min_backoff_left_ms(now_ms))
            };
            let limit = if can_serve_late {
                limits.late
            } else {
                limits.on_time
            };
            let remaining = limit.checked_sub(started.elapsed())?;
            if min_backoff_left_ms > duration_ms(remaining) {
                return None;
            }
            match timeout(remaining.min(POLL_INTERVAL), &mut receiver).await {
                Ok(slot) => return slot.ok()?.ok(),
                Err(_) => self.dispatch_waiting(),
            }
        }
    }

    /// Records that a target refused a request.
    pub(crate) fn on_refused(&self, incarnation: &Incarnation) {
        let now_ms = self.clock.now_ms();
        let is_down = self.lock().dispatcher.on_refused(incarnation, now_ms);
        if is_down {
            log::info!(
                service = &*self.service,
                target = &*incarnation.id;
                "a group refuses requests; its targets get only occasional trial requests"
            );
        }
    }

    /// Records that a target accepted a request.
    pub(crate) fn on_accepted(self: &Arc<Self>, incarnation: &Incarnation) {
        let now_ms = self.clock.now_ms();
        let has_recovered = self.lock().dispatcher.on_accepted(incarnation, now_ms);
        if has_recovered {
            log::info!(
                service = &*self.service,
                target = &*incarnation.id;
                "a group accepts requests again"
            );
            self.dispatch_waiting();
        }
    }

    /// Whether the service refuses all requests at present.
    pub(crate) fn is_down(&self) -> bool {
        self.lock().dispatcher.is_down()
    }

    /// Records a new request for the retry budget.
    pub(crate) fn record_request(&self) {
        let now_ms = self.clock.now_ms();
        self.lock().retry_budget.on_request(now_ms);
    }

    /// Takes one retry from the budget; returns whether it had one.
    pub(crate) fn try_take_retry(&self) -> bool {
        let now_ms = self.clock.now_ms();
        self.lock().retry_budget.try_retry(now_ms)
    }

    /// Sets the bounds of the retries and the number of entries that keep to them together.
    pub(crate) fn set_retry_policy(&self, bounds: RetryBounds, entries: Option<NonZeroUsize>) {
        self.lock().retry_budget.set_policy(bounds, entries);
    }

    /// The number of retries that the budget has now.
    pub(crate) fn available_retries(&self) -> f64 {
        let now_ms = self.clock.now_ms();
        self.lock().retry_budget.available(now_ms)
    }

    /// Reserves a slot at another target in `regions` for a request that was sent before, if one is
    /// free now.
    pub(crate) fn try_acquire_other_slot(
        self: &Arc<Self>,
        regions: Option<RegionSet>,
        exclude: &[Incarnation],
    ) -> Option<SlotGuard> {
        let now_ms = self.clock.now_ms();
        let mut state = self.lock();
        let target =
            state
                .dispatcher
                .place_additional_within(regions, exclude, rand::random(), now_ms)?;
        Some(self.slot_guard(target))
    }

    fn slot_guard(self: &Arc<Self>, target: Target) -> SlotGuard {
        SlotGuard {
            queue: Arc::clone(self),
            target,
            reserved_at: Instant::now(),
            is_open: true,
            is_admission_decided: false,
        }
    }

    fn release(self: &Arc<Self>, incarnation: &Incarnation, health_sample: Option<HealthSample>) {
        let now_ms = self.clock.now_ms();
        self.lock()
            .dispatcher
            .release(incarnation, health_sample, now_ms);
        self.dispatch_waiting();
    }

    /// Records that a request has completed after it held its slot for `held`.
    fn on_completed(&self, held: Duration) {
        let held_ms = held.as_secs_f64() * 1_000.0;
        self.lock().dispatcher.on_completed(held_ms);
    }

    /// This entry's report to the home of the shared slots.
    pub(crate) fn slot_report(&self, data_centre: &Arc<str>, lists_quotas: bool) -> SlotReport {
        let now_ms = self.clock.now_ms();
        let dispatcher = &mut self.lock().dispatcher;
        dispatcher.slot_report(data_centre, lists_quotas, now_ms)
    }

    /// The shared slots as known to this entry; `None` if it has no quotas.
    pub(crate) fn slot_status(&self) -> Option<SlotStatus> {
        self.lock().dispatcher.slot_status()
    }

    /// Applies the reply of the home of the shared slots.
    pub(crate) fn on_slot_reply(self: &Arc<Self>, reply: &SlotReply) {
        let now_ms = self.clock.now_ms();
        self.lock().dispatcher.on_slot_reply(reply, now_ms);
        self.dispatch_waiting();
    }

    /// Falls back to an equal share of the slots if no home replies; returns whether this has just
    /// begun.
    pub(crate) fn expire_quotas(&self) -> bool {
        let now_ms = self.clock.now_ms();
        self.lock().dispatcher.expire_quotas(now_ms)
    }

    /// Removes the quotas, as the service no longer shares its slots by them.
    pub(crate) fn remove_quotas(self: &Arc<Self>) {
        self.lock().dispatcher.remove_quotas();
        self.dispatch_waiting();
    }

    /// The targets whose slots this entry allocates as the home.
    pub(crate) fn shared_targets(&self) -> Vec<SharedTarget> {
        self.lock().dispatcher.shared_targets()
    }

    /// Assigns free slots to waiting requests, and refuses those that are no longer expected to
    /// get one in time.
    ///
    /// A waiter that is dropped at the same time drops the slot sent to it, which releases the
    /// slot to the next waiter.
    fn dispatch_waiting(self: &Arc<Self>) {
        while let Some((waiter, target)) = self.next_waiter() {
            let slot = self.slot_guard(target);
            match waiter {
                Some(waiter) => drop(waiter.send(Ok(slot))),
                None => drop(slot),
            }
        }
        let mut state = self.lock();
        for (ticket, refusal) in state.dispatcher.take_refused(self.clock.now_ms()) {
            if let Some(waiter) = state.waiters.swap_remove(&ticket) {
                // The waiter may have been dropped at the same time.
                let _ = waiter.send(Err(SlotError::Refused(refusal)));
            }
        }
    }

    fn next_waiter(&self) -> Option<(Option<Waiter>, Target)> {
        let now_ms = self.clock.now_ms();
        let mut state = self.lock();
        let (ticket, target) = state.dispatcher.place_next(rand::random(), now_ms)?;
        Some((state.waiters.swap_remove(&ticket), target))
    }

    /// Records the first event of a stream.
    pub(crate) fn on_first_event(&self, first: FirstEvent) {
        self.lock().dispatcher.on_first_event(first);
    }

    /// Records the load that a target reported.
    pub(crate) fn on_load(&self, incarnation: &Incarnation, load: Load) {
        let now_ms = self.clock.now_ms();
        self.lock().dispatcher.on_load(incarnation, load, now_ms);
    }

    /// Applies the back-pressure signals of a target's response; returns what has changed.
    pub(crate) fn on_signal(
        &self,
        incarnation: &Incarnation,
        signal: BackpressureSignal,
    ) -> SignalUpdate {
        let now_ms = self.clock.now_ms();
        let dispatcher = &mut self.lock().dispatcher;
        dispatcher.on_signal(incarnation, signal, rand::random(), now_ms)
    }

    /// The number of targets with a request limit.
    pub(crate) fn limited_target_count(&self) -> usize {
        self.lock().dispatcher.limited_target_count()
    }

    /// Records that a target accepted a request; returns whether this ended its trial after a
    /// backoff.
    pub(crate) fn end_backoff_trial(self: &Arc<Self>, incarnation: &Incarnation) -> bool {
        let now_ms = self.clock.now_ms();
        let has_ended_trial = self
            .lock()
            .dispatcher
            .end_backoff_trial(incarnation, now_ms);
        if has_ended_trial {
            self.dispatch_waiting();
        }
        has_ended_trial
    }

    /// How much longer the target's backoff lasts for this entry.
    pub(crate) fn backoff_left_ms(&self, incarnation: &Incarnation) -> u64 {
        let now_ms = self.clock.now_ms();
        self.lock().dispatcher.backoff_left_ms(incarnation, now_ms)
    }

    fn admit(&self, incarnation: &Incarnation) -> Result<(), WithheldReason> {
        let now_ms = self.clock.now_ms();
        self.lock().dispatcher.admit(incarnation, now_ms)
    }

    fn cancel_unsent(&self, incarnation: &Incarnation) {
        self.lock().dispatcher.cancel_unsent(incarnation);
    }

    /// Sets how cold targets are treated, and the entries that share their rate.
    pub(crate) fn set_cold_policy(&self, policy: Option<ColdPolicy>, entries: &KnownEntries) {
        self.lock().dispatcher.set_cold_policy(policy, entries);
    }

    /// Applies the remaining cold period in a target's health response.
    pub(crate) fn on_cold_health_response(&self, incarnation: &Incarnation, cold_left_ms: u64) {
        let now_ms = self.clock.now_ms();
        let dispatcher = &mut self.lock().dispatcher;
        dispatcher.on_cold_health_response(incarnation, cold_left_ms, now_ms);
    }

    /// Notes that the evacuation of a data centre has ended, after which its targets may be cold.
    pub(crate) fn mark_data_centre_cold(&self, data_centre: &str) {
        let now_ms = self.clock.now_ms();
        let dispatcher = &mut self.lock().dispatcher;
        dispatcher.mark_data_centre_cold(data_centre, now_ms);
    }

    /// The number of cold targets, and those that have become cold or warm since the last call.
    pub(crate) fn take_cold_changes(&self) -> (usize, Vec<ColdChange>) {
        let now_ms = self.clock.now_ms();
        let dispatcher = &mut self.lock().dispatcher;
        let changes = dispatcher.take_cold_changes(now_ms);
        (dispatcher.cold_target_count(now_ms), changes)
    }

    /// Applies a peer's report of a target's limit; returns the change.
    pub(crate) fn on_limit_report(
        self: &Arc<Self>,
        incarnation: &Incarnation,
        limit: Option<RequestRate>,
        received_ms: MonoMs,
    ) -> Option<LimitChange> {
        let change = {
            let dispatcher = &mut self.lock().dispatcher;
            dispatcher.on_limit_report(incarnation, limit, received_ms)
        };
        if change.is_some() {
            self.dispatch_waiting();
        }
        change
    }

    /// Applies permits granted under targets' limits.
    pub(crate) fn on_permits(
        self: &Arc<Self>,
        grants: &[PermitGrant<Incarnation>],
        requested_ms: MonoMs,
    ) {
        let mut state = self.lock();
        for grant in grants {
            let until_ms = requested_ms + grant.valid_ms;
            state
                .dispatcher
                .on_permits(&grant.target, grant.permits, until_ms);
        }
        drop(state);
        self.dispatch_waiting();
    }

    /// Takes the numbers of requests that were withheld from the target chosen first, by reason,
    /// since the last call.
    pub(crate) fn take_withheld_counts(&self) -> IndexMap<WithheldReason, u32> {
        self.lock().dispatcher.take_withheld_counts()
    }

    /// The state of each target that has a request limit, or had one recently, for peers.
    pub(crate) fn limit_states(&self) -> Vec<(Incarnation, LimitState)> {
        let now_ms = self.clock.now_ms();
        self.lock().dispatcher.limit_states(now_ms)
    }

    /// The same as [`Self::limit_states`], and restarts the count of the demand for permits.
    pub(crate) fn take_limit_states(&self) -> Vec<(Incarnation, LimitState)> {
        let now_ms = self.clock.now_ms();
        self.lock().dispatcher.take_limit_states(now_ms)
    }

    /// Time until a target takes requests again, according to the targets' signals; `None` if one
    /// takes them now, or all are about to leave.
    pub(crate) fn until_accepting_ms(&self) -> Option<u64> {
        let now_ms = self.clock.now_ms();
        self.lock().dispatcher.until_accepting_ms(now_ms)
    }

    /// The request limit of a target.
    pub(crate) fn rate_limit(&self, incarnation: &Incarnation) -> Option<RequestRate> {
        self.lock().dispatcher.rate_limit(incarnation)
    }

    /// Records an event of a stream from the target.
    pub(crate) fn on_stream_event(self: &Arc<Self>, incarnation: &Incarnation) {
        let now_ms = self.clock.now_ms();
        let has_resumed = self.lock().dispatcher.on_stream_event(incarnation, now_ms);
        if has_resumed {
            log::info!(service = &*self.service, target = &*incarnation.id; "a stalled group has resumed");
            self.dispatch_waiting();
        }
    }

    fn log_stalled(&self, stalled: &[Option<Arc<str>>]) {
        for group in stalled {
            let group = group.as_deref().unwrap_or("-");
            log::warn!(service = &*self.service, group; "a group has stalled");
        }
    }

    /// Time since the last event on any stream from the target; `None` if there was none.
    pub(crate) fn silence_ms(&self, incarnation: &Incarnation) -> Option<u64> {
        let now_ms = self.clock.now_ms();
        self.lock().dispatcher.silence_ms(incarnation, now_ms)
    }

    /// Records what a request that still runs shows of its target's health.
    pub(crate) fn record_health(&self, incarnation: &Incarnation, sample: HealthSample) {
        let now_ms = self.clock.now_ms();
        let dispatcher = &mut self.lock().dispatcher;
        dispatcher.record_health(incarnation, sample, now_ms);
    }

    /// Whether nothing arrives from the target while other targets of the service deliver events.
    pub(crate) fn is_silent(&self, incarnation: &Incarnation) -> bool {
        let now_ms = self.clock.now_ms();
        self.lock().dispatcher.is_silent(incarnation, now_ms)
    }

    /// Whether several streams from the target have stopped together while others continue.
    pub(crate) fn is_cut_off(&self, incarnation: &Incarnation) -> bool {
        let now_ms = self.clock.now_ms();
        self.lock().dispatcher.is_cut_off(incarnation, now_ms)
    }

    /// Records an event that came `gap_ms` after the previous one, on a route with that objective
    /// for the gap.
    pub(crate) fn on_event_gap(self: &Arc<Self>, gap_ms: f64, objective_ms: f64) {
        let now_ms = self.clock.now_ms();
        let mut state = self.lock();
        // The strictest objective of the routes in use applies to all, as they share the forward
        // passes.
        state.gap_objective_ms = state.gap_objective_ms.min(objective_ms);
        let objective_ms = state.gap_objective_ms;
        state.dispatcher.on_event_gap(gap_ms, objective_ms, now_ms);
        drop(state);
        self.dispatch_waiting();
    }
}

impl SlotRequest {
    /// Whether the first event is expected within the objective if the request gets a slot at once.
    /// Before any latency was measured, it is not: the engines may have just started.
    fn can_be_on_time(&self, latency_ms: Option<f64>) -> bool {
        let Some(first_event) = self.first_event else {
            return true;
        };
        let objective_ms = first_event.objective.as_secs_f64() * 1_000.0;
        latency_ms.is_some_and(|latency_ms| latency_ms < objective_ms)
    }

    /// The wait limits, given the latency of first events. A late first event is of no use to a
    /// caller that has disconnected.
    fn wait_limits(&self, latency_ms: Option<f64>) -> SlotWaitLimits {
        let (Some(first_event), Some(latency_ms)) = (self.first_event, latency_ms) else {
            return self.limits;
        };
        let latency = Duration::from_secs_f64(latency_ms.max(0.0) / 1_000.0);
        let on_time = first_event.objective.saturating_sub(latency);
        let late = first_event.disconnect.saturating_sub(latency);
        SlotWaitLimits {
            on_time: on_time.max(first_event.min_wait),
            late: self.limits.late.min(late),
        }
    }
}

fn duration_ms(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
