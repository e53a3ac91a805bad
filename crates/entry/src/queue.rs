//! One service's dispatcher, shared by the requests that wait for it.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use berylhook_backpressure::gate::{LimitChange, LimitState, SignalUpdate, WithheldReason};
use berylhook_backpressure::messages::PermitGrant;
use berylhook_backpressure::rate::RequestRate;
use berylhook_backpressure::signal::BackpressureSignal;
use berylhook_core::retry::RetryBudget;
use berylhook_core::time::MonoMs;
use berylhook_traffic::concurrency::FirstEvent;
use berylhook_traffic::configuration::EngineModel;
use berylhook_traffic::dispatch::{Dispatcher, Load, PlacementRequest, SubmitOutcome, Ticket};
use berylhook_traffic::engine_update::EngineUpdate;
use berylhook_traffic::health::HealthSample;
use berylhook_traffic::ownership::Membership;
use berylhook_traffic::target::{Incarnation, Target};
use indexmap::IndexMap;
use tokio::sync::oneshot;
use tokio::time::timeout;

/// Second sends for one hundred first ones.
///
/// The platform allows twenty in a hundred over all entries. Entries do not
/// talk about it; each keeps below its share, and the rest is for the reserve
/// that each entry's budget starts with.
const RETRY_PERCENT: u32 = 15;

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
    waiters: IndexMap<Ticket, oneshot::Sender<Hold>>,
    retries: RetryBudget,
    tickets: u64,
    pause_goal_ms: f64,
}

/// A service's waiting and running requests.
pub(crate) struct ServiceQueue {
    service: Arc<str>,
    /// Whether its targets run in groups.
    stops_group: bool,
    clock: Clock,
    state: Mutex<State>,
}

/// How long a request waits for a place.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Patience {
    /// For an answer in time.
    pub(crate) usual: Duration,
    /// For a late one, as long as it can be expected.
    pub(crate) late: Duration,
}

/// Time between two looks of a waiting request at whether its service is up.
const LOOK_EVERY: Duration = Duration::from_millis(50);

/// Why a request was not placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Refused {
    /// It would not have been placed in time.
    NoPlace,
    /// It waited and was not placed.
    Waited,
}

/// A place at a target, until the request there ends.
pub(crate) struct Hold {
    queue: Arc<ServiceQueue>,
    target: Target,
    is_open: bool,
    /// Whether its request was admitted to the target, or turned away there.
    is_settled: bool,
}

impl Hold {
    pub(crate) fn target(&self) -> &Target {
        &self.target
    }

    /// Asks whether the request may be sent now. This is the last question before it is.
    ///
    /// # Errors
    ///
    /// If the target takes none now: it has said so since the place was given.
    pub(crate) fn admit(&mut self) -> Result<(), WithheldReason> {
        self.is_settled = true;
        self.queue.admit(&self.target.incarnation)
    }

    /// Gives the place back, with what the request showed of the target.
    pub(crate) fn close(mut self, evidence: Option<HealthSample>) {
        self.is_open = false;
        self.give_back(evidence);
    }
}

impl Hold {
    fn give_back(&self, evidence: Option<HealthSample>) {
        if !self.is_settled {
            self.queue.leave_unsent(&self.target.incarnation);
        }
        self.queue.release(&self.target.incarnation, evidence);
    }
}

impl Drop for Hold {
    // A caller that leaves drops its request anywhere; the place must not be
    // lost with it, or the service shrinks for good.
    fn drop(&mut self) {
        if self.is_open {
            self.give_back(None);
        }
    }
}

/// A request that waits; leaving the queue is not forgotten if it is dropped.
struct Waiter<'a> {
    queue: &'a ServiceQueue,
    ticket: Ticket,
}

impl Drop for Waiter<'_> {
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
    ) -> Self {
        let mut dispatcher = Dispatcher::new(membership, engine);
        dispatcher.on_process_start(clock.now_ms());
        Self {
            service,
            stops_group: engine.is_some_and(|engine| engine.experts.is_some()),
            clock,
            state: Mutex::new(State {
                dispatcher,
                waiters: IndexMap::new(),
                retries: RetryBudget::new(RETRY_PERCENT),
                tickets: 0,
                pause_goal_ms: f64::INFINITY,
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

    /// Whether the end of one of its targets stops a whole group.
    pub(crate) fn stops_group(&self) -> bool {
        self.stops_group
    }

    /// Whether the target may get requests now.
    pub(crate) fn has_target(&self, of: &Incarnation) -> bool {
        self.lock().dispatcher.has_target(of)
    }

    /// Takes over the targets that may get requests.
    pub(crate) fn set_targets<'a>(self: &Arc<Self>, targets: impl Iterator<Item = &'a Target>) {
        self.lock().dispatcher.set_targets(targets);
        self.place_waiting();
    }

    /// Takes over who shares the targets.
    pub(crate) fn set_membership(self: &Arc<Self>, membership: Membership) {
        self.lock().dispatcher.set_membership(membership);
        self.place_waiting();
    }

    /// Requests that run, that wait, and targets that may get more.
    pub(crate) fn counts(&self) -> (usize, usize, usize) {
        self.lock().dispatcher.counts()
    }

    /// The bound on what runs, if there is one.
    pub(crate) fn bound(&self) -> Option<f64> {
        self.lock().dispatcher.concurrency_limit()
    }

    /// Takes over a leader's word on the targets.
    pub(crate) fn set_engine_news(self: &Arc<Self>, news: &EngineUpdate) {
        let now_ms = self.clock.now_ms();
        self.lock().dispatcher.set_engine_update(news, now_ms);
        self.place_waiting();
    }

    /// Waits up to `patience` for a place.
    pub(crate) async fn enter(
        self: &Arc<Self>,
        urgency: u32,
        patience: Patience,
    ) -> Result<Hold, Refused> {
        let patience_ms = whole_ms(patience.usual);
        let (ticket, placed) = {
            let now_ms = self.clock.now_ms();
            let mut state = self.lock();
            state.tickets += 1;
            let ticket = Ticket(state.tickets);
            let dispatcher = &mut state.dispatcher;
            let wish = PlacementRequest {
                urgency,
                wait_limit_ms: patience_ms,
                late_wait_limit_ms: whole_ms(patience.late),
                on_time_until_ms: now_ms + patience_ms,
            };
            let arrival = dispatcher.submit(ticket, wish, rand::random(), now_ms);
            let stopped = dispatcher.take_stalled_groups();
            self.log_stopped(&stopped);
            match arrival {
                SubmitOutcome::Placed(target) => return Ok(self.hold(target)),
                SubmitOutcome::Refused => return Err(Refused::NoPlace),
                SubmitOutcome::Queued => {}
            }
            let (sender, placed) = oneshot::channel();
            state.waiters.insert(ticket, sender);
            (ticket, placed)
        };
        let waiter = Waiter {
            queue: self,
            ticket,
        };
        let placed = self.wait(placed, patience).await;
        drop(waiter);
        placed.ok_or(Refused::Waited)
    }

    /// Waits for a place, longer if an answer can be expected, although late: a caller
    /// sent away now would come back to find the service as it is.
    async fn wait(
        self: &Arc<Self>,
        mut placed: oneshot::Receiver<Hold>,
        patience: Patience,
    ) -> Option<Hold> {
        let began = Instant::now();
        let late_ms = whole_ms(patience.late);
        loop {
            let now_ms = self.clock.now_ms();
            let (serves_late, all_rest_ms) = {
                let dispatcher = &mut self.lock().dispatcher;
                let serves_late = dispatcher.can_serve_late(late_ms, now_ms);
                (serves_late, dispatcher.min_backoff_left_ms(now_ms))
            };
            let whole = if serves_late {
                patience.late
            } else {
                patience.usual
            };
            let left = whole.checked_sub(began.elapsed())?;
            if all_rest_ms > whole_ms(left) {
                return None;
            }
            match timeout(left.min(LOOK_EVERY), &mut placed).await {
                Ok(placed) => return placed.ok(),
                Err(_) => self.place_waiting(),
            }
        }
    }

    /// A target refused a request.
    pub(crate) fn on_refused(&self, by: &Incarnation) {
        let now_ms = self.clock.now_ms();
        let is_down = self.lock().dispatcher.on_refused(by, now_ms);
        if is_down {
            log::info!(
                service = &*self.service,
                target = &*by.id;
                "a group refuses requests: its targets get one now and then"
            );
        }
    }

    /// A target accepted a request.
    pub(crate) fn on_accepted(self: &Arc<Self>, by: &Incarnation) {
        let now_ms = self.clock.now_ms();
        let is_back = self.lock().dispatcher.on_accepted(by, now_ms);
        if is_back {
            log::info!(
                service = &*self.service,
                target = &*by.id;
                "a group accepts requests again"
            );
            self.place_waiting();
        }
    }

    /// Whether the service refuses everything at present.
    pub(crate) fn is_down(&self) -> bool {
        self.lock().dispatcher.is_down()
    }

    /// A request has come that may need more than one send.
    pub(crate) fn note_request(&self) {
        self.lock().retries.on_attempt();
    }

    /// Whether the budget affords one more send of a request.
    pub(crate) fn affords_repeat(&self) -> bool {
        self.lock().retries.try_retry()
    }

    /// A place at one more target for a request that was sent before, if one
    /// is free at once.
    pub(crate) fn enter_again(self: &Arc<Self>, exclude: &[Incarnation]) -> Option<Hold> {
        let now_ms = self.clock.now_ms();
        let mut state = self.lock();
        let target = state
            .dispatcher
            .place_additional(exclude, rand::random(), now_ms)?;
        Some(self.hold(target))
    }

    fn hold(self: &Arc<Self>, target: Target) -> Hold {
        Hold {
            queue: Arc::clone(self),
            target,
            is_open: true,
            is_settled: false,
        }
    }

    fn release(self: &Arc<Self>, of: &Incarnation, evidence: Option<HealthSample>) {
        let now_ms = self.clock.now_ms();
        self.lock().dispatcher.release(of, evidence, now_ms);
        self.place_waiting();
    }

    /// Gives free places to those who wait.
    ///
    /// A waiter that leaves in this moment drops its hold, which gives the
    /// place to the next.
    fn place_waiting(self: &Arc<Self>) {
        while let Some((waiter, target)) = self.next_waiter() {
            let hold = self.hold(target);
            match waiter {
                Some(waiter) => drop(waiter.send(hold)),
                None => drop(hold),
            }
        }
    }

    fn next_waiter(&self) -> Option<(Option<oneshot::Sender<Hold>>, Target)> {
        let now_ms = self.clock.now_ms();
        let mut state = self.lock();
        let (ticket, target) = state.dispatcher.place_next(rand::random(), now_ms)?;
        Some((state.waiters.swap_remove(&ticket), target))
    }

    /// A stream got its first event.
    pub(crate) fn on_first_event(&self, first: FirstEvent) {
        self.lock().dispatcher.on_first_event(first);
    }

    /// A target told its load.
    pub(crate) fn on_load(&self, of: &Incarnation, load: Load) {
        let now_ms = self.clock.now_ms();
        self.lock().dispatcher.on_load(of, load, now_ms);
    }

    /// A target said in an answer how much it takes; returns what is new.
    pub(crate) fn on_signal(&self, of: &Incarnation, signal: BackpressureSignal) -> SignalUpdate {
        let now_ms = self.clock.now_ms();
        let dispatcher = &mut self.lock().dispatcher;
        dispatcher.on_signal(of, signal, rand::random(), now_ms)
    }

    /// How many targets name a limit.
    pub(crate) fn limited(&self) -> usize {
        self.lock().dispatcher.limited_target_count()
    }

    /// A target accepted a request; returns whether it was on trial after a rest until now.
    pub(crate) fn on_rest_over(self: &Arc<Self>, of: &Incarnation) -> bool {
        let now_ms = self.clock.now_ms();
        let is_over = self.lock().dispatcher.end_backoff_trial(of, now_ms);
        if is_over {
            self.place_waiting();
        }
        is_over
    }

    /// How much longer a target wants nothing from this entry.
    pub(crate) fn rest_left_ms(&self, of: &Incarnation) -> u64 {
        let now_ms = self.clock.now_ms();
        self.lock().dispatcher.backoff_left_ms(of, now_ms)
    }

    fn admit(&self, of: &Incarnation) -> Result<(), WithheldReason> {
        let now_ms = self.clock.now_ms();
        self.lock().dispatcher.admit(of, now_ms)
    }

    fn leave_unsent(&self, of: &Incarnation) {
        self.lock().dispatcher.cancel_unsent(of);
    }

    /// A peer told of a target's limit; returns what is new.
    pub(crate) fn on_limit_report(
        self: &Arc<Self>,
        of: &Incarnation,
        limit: Option<RequestRate>,
        heard_ms: MonoMs,
    ) -> Option<LimitChange> {
        let change = {
            let dispatcher = &mut self.lock().dispatcher;
            dispatcher.on_limit_report(of, limit, heard_ms)
        };
        if change.is_some() {
            self.place_waiting();
        }
        change
    }

    /// Permits under targets' limits have come.
    pub(crate) fn on_permits(
        self: &Arc<Self>,
        grants: &[PermitGrant<Incarnation>],
        asked_ms: MonoMs,
    ) {
        let mut state = self.lock();
        for grant in grants {
            let until_ms = asked_ms + grant.valid_ms;
            state
                .dispatcher
                .on_permits(&grant.target, grant.permits, until_ms);
        }
        drop(state);
        self.place_waiting();
    }

    /// Requests that did not go to the target chosen first, by why, since this was last
    /// called.
    pub(crate) fn take_kept_back(&self) -> IndexMap<WithheldReason, u32> {
        self.lock().dispatcher.take_withheld_counts()
    }

    /// What peers should know of the targets that name a limit, or did of late.
    pub(crate) fn limit_states(&self) -> Vec<(Incarnation, LimitState)> {
        let now_ms = self.clock.now_ms();
        self.lock().dispatcher.limit_states(now_ms)
    }

    /// The same, and counts the demand for permits anew from here.
    pub(crate) fn take_limit_states(&self) -> Vec<(Incarnation, LimitState)> {
        let now_ms = self.clock.now_ms();
        self.lock().dispatcher.take_limit_states(now_ms)
    }

    /// When a target takes a request again, by what they say; `None` if one does now.
    pub(crate) fn takes_again_ms(&self) -> Option<u64> {
        let now_ms = self.clock.now_ms();
        self.lock().dispatcher.until_accepting_ms(now_ms)
    }

    /// The limit that a target names.
    pub(crate) fn limit(&self, of: &Incarnation) -> Option<RequestRate> {
        self.lock().dispatcher.rate_limit(of)
    }

    /// A stream from the target got an event.
    pub(crate) fn on_progress(self: &Arc<Self>, of: &Incarnation) {
        let now_ms = self.clock.now_ms();
        let goes_on = self.lock().dispatcher.on_stream_event(of, now_ms);
        if goes_on {
            log::info!(service = &*self.service, target = &*of.id; "a group goes on");
            self.place_waiting();
        }
    }

    fn log_stopped(&self, stopped: &[Option<Arc<str>>]) {
        for group in stopped {
            let group = group.as_deref().unwrap_or("-");
            log::warn!(service = &*self.service, group; "a group stands still");
        }
    }

    /// Whether nothing comes from the target while others of the service bring
    /// events.
    pub(crate) fn is_silent(&self, of: &Incarnation) -> bool {
        let now_ms = self.clock.now_ms();
        self.lock().dispatcher.is_silent(of, now_ms)
    }

    /// A stream of a route with that pause goal got an event after `gap_ms`.
    pub(crate) fn on_gap(self: &Arc<Self>, gap_ms: f64, pause_goal_ms: f64) {
        let now_ms = self.clock.now_ms();
        let mut state = self.lock();
        // The strictest goal among the routes in use counts for all: they
        // share the passes.
        state.pause_goal_ms = state.pause_goal_ms.min(pause_goal_ms);
        let goal_ms = state.pause_goal_ms;
        state.dispatcher.on_event_gap(gap_ms, goal_ms, now_ms);
        drop(state);
        self.place_waiting();
    }
}

fn whole_ms(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
