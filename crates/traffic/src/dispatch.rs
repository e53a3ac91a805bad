//! Who waits, who is placed where, and who is refused, for one service.
//!
//! A request is placed at once if there is room. Otherwise it waits, more
//! urgent ones first, for as long as waiting serves its caller: a refusal that
//! comes early leaves time to come back, one that comes late does not. A
//! request that would not be placed in that time, going by how fast places
//! become free, is refused without waiting, unless it can be expected to be
//! served late.
//!
//! | Part | Decides |
//! |---|---|
//! | `waiting` | the order of those who wait |
//! | `places` | which target is next |
//! | `outage` | which groups run at all |
//! | `standstill` | which groups get no further with what they have |
//! | `outlook` | whether those who are late can still be served |
//! | [`crate::concurrency`] | how many may run |

mod forecast;
mod outage;
mod stall;
mod target_table;
mod wait_queue;

use std::sync::Arc;

use berylhook_backpressure::gate::{LimitChange, LimitState, SignalUpdate, WithheldReason};
use berylhook_backpressure::rate::RequestRate;
use berylhook_backpressure::signal::BackpressureSignal;
use berylhook_core::time::MonoMs;
use indexmap::IndexMap;

use self::forecast::Outlook;
use self::outage::{GroupName, Outages};
use self::stall::Standstills;
use self::target_table::Places;
use self::wait_queue::{WaitQueue, Waiting};
use crate::concurrency::{
    ConcurrencyLimiter, FirstEvent, PassModel, PassObjective, SharedCapacity,
};
use crate::configuration::EngineModel;
use crate::engine_update::EngineUpdate;
use crate::health::HealthSample;
use crate::ownership::Membership;
use crate::target::{Incarnation, Target};

/// Weight of a newly measured interval between two freed places.
const FREED_WEIGHT: f64 = 0.2;

/// Least work that a generation is taken to add to a step.
const LEAST_WORK_MS: f64 = 0.001;

/// A target from which nothing has come for this long, while others of its
/// service bring events, is silent.
const TARGET_SILENT_MS: u64 = 600;

/// A waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// What a target said of its load in an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Requests being worked on.
    pub running: u32,
    /// Requests waiting at the target.
    pub waiting: u32,
}

/// What becomes of a request that arrives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SubmitOutcome {
    /// Send it to this target.
    Placed(Target),
    /// It waits; [`Dispatcher::next`] places it.
    Queued,
    /// It would not be placed in time.
    Refused,
}

/// What a request asks of the dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlacementRequest {
    /// How urgent it is; 0 is first.
    pub urgency: u32,
    /// How long it is willing to wait while the service runs.
    pub wait_limit_ms: u64,
    /// How long it is willing to wait for a late answer.
    pub late_wait_limit_ms: u64,
    /// Placed up to this moment, it can still be answered within its goal.
    pub on_time_until_ms: MonoMs,
}

/// The waiting, placed and refused requests of one service.
pub struct Dispatcher {
    places: Places,
    queue: WaitQueue,
    outages: Outages,
    standstills: Standstills,
    /// Groups that came to stand still since this was last taken.
    stopped: Vec<GroupName>,
    outlook: Outlook,
    concurrency: Option<ConcurrencyLimiter>,
    /// Time of a pass in which nothing runs.
    empty_pass_ms: f64,
    running: usize,
    freed_every_ms: f64,
    freed_ms: MonoMs,
}

impl Dispatcher {
    /// A service without targets, shared by the entries of `membership`.
    #[must_use]
    pub fn new(membership: Membership, engine: Option<&EngineModel>) -> Self {
        let per_sequence_ms = engine.map_or(1.0, |it| it.per_sequence_ms.max(LEAST_WORK_MS));
        let step_ms = engine.map_or(0.0, |it| it.step_ms);
        let model = engine.map(PassModel::for_engine);
        Self {
            places: Places::new(membership, step_ms / per_sequence_ms),
            queue: WaitQueue::default(),
            outages: Outages::default(),
            standstills: Standstills::default(),
            stopped: Vec::new(),
            outlook: Outlook::default(),
            empty_pass_ms: model.map_or(0.0, |it| it.empty_pass_ms),
            concurrency: model.map(ConcurrencyLimiter::new),
            running: 0,
            freed_every_ms: 0.0,
            freed_ms: MonoMs(0),
        }
    }

    /// Takes over the targets that may get requests.
    ///
    /// What runs at a target that is no longer among them still counts until
    /// it ends.
    pub fn set_targets<'a>(&mut self, targets: impl Iterator<Item = &'a Target>) {
        self.places.set(targets);
        self.resize();
    }

    /// This process has just started, and may do so together with all others: the service
    /// may have been down until now.
    pub fn on_process_start(&mut self, now_ms: MonoMs) {
        self.outlook.on_outage(now_ms);
    }

    /// Whether the target may get requests.
    #[must_use]
    pub fn has_target(&self, of: &Incarnation) -> bool {
        self.places.contains(of)
    }

    /// Takes over who shares the targets.
    pub fn set_membership(&mut self, membership: Membership) {
        self.places.set_membership(membership);
        self.resize();
    }

    /// Takes over a leader's word on the targets.
    pub fn set_engine_update(&mut self, news: &EngineUpdate, now_ms: MonoMs) {
        self.places.set_paces(&news.slowdowns);
        self.places.set_groups(&news.groups);
        if self.outages.on_news(&news.groups, now_ms) {
            self.outlook.on_outage(now_ms);
            self.resize();
        }
    }

    /// The bound is one on groups that run: what a lost group carried must not be put on
    /// top of what the others do.
    fn resize(&mut self) {
        let outages = &self.outages;
        let (engines, slots) = self.places.carried_by(|group| !outages.is_down(group));
        let (engines, slots) = match engines {
            0 => self.places.carried_by(|_| true),
            engines => (engines, slots),
        };
        let size = SharedCapacity {
            engines,
            slots,
            share: self.places.equal_share(),
        };
        if let Some(concurrency) = &mut self.concurrency {
            concurrency.set_capacity(size);
            self.places.expect_running(concurrency.limit());
        }
    }

    /// The bound on what runs, if there is one.
    #[must_use]
    pub fn concurrency_limit(&self) -> Option<f64> {
        self.concurrency.as_ref().map(ConcurrencyLimiter::limit)
    }

    /// A stream from the target got an event; returns whether its group stood still until
    /// now.
    pub fn on_stream_event(&mut self, of: &Incarnation, now_ms: MonoMs) -> bool {
        self.outages.on_progress(now_ms);
        self.places.on_progress(of, now_ms);
        let group = self.places.group_of(of);
        self.standstills.on_progress(&group, now_ms)
    }

    /// Groups that came to stand still since this was last called, by name where it is known.
    pub fn take_stalled_groups(&mut self) -> Vec<Option<Arc<str>>> {
        std::mem::take(&mut self.stopped)
    }

    fn look_for_standstills(&mut self, now_ms: MonoMs) {
        for group in self.places.groups() {
            let running = self.places.running_in(group);
            if self.standstills.look(group, running, now_ms) {
                self.stopped.push(group.clone());
                self.outlook.on_outage(now_ms);
            }
        }
    }

    /// Whether a request may be sent to the group now.
    fn may_send(&self, group: &GroupName, now_ms: MonoMs) -> bool {
        let is_tried = self.standstills.is_still(group) && self.places.running_in(group) > 0;
        !is_tried && self.outages.may_send(group, now_ms)
    }

    /// Whether nothing comes from the target while others of the service bring
    /// events.
    ///
    /// All ranks of a group run each pass together, so a target that alone is
    /// silent is not slow: it is cut off, or its VM is frozen. Its callers would
    /// wait until they give up, while another target could answer them.
    #[must_use]
    pub fn is_silent(&self, of: &Incarnation, now_ms: MonoMs) -> bool {
        self.outages.progresses(now_ms) && self.places.silent_ms(of, now_ms) > TARGET_SILENT_MS
    }

    /// A stream got its first event.
    pub fn on_first_event(&mut self, first: FirstEvent) {
        if let Some(concurrency) = &mut self.concurrency {
            concurrency.on_first_event(first);
        }
    }

    /// A stream got an event `gap_ms` after the one before it; callers find a
    /// pause of `pause_goal_ms` acceptable.
    pub fn on_event_gap(&mut self, gap_ms: f64, pause_goal_ms: f64, now_ms: MonoMs) {
        let goal = PassObjective {
            pause_ms: pause_goal_ms,
            min_pass_ms: self.empty_pass_ms * self.places.slowest(),
        };
        if let Some(concurrency) = &mut self.concurrency {
            concurrency.on_event_gap(gap_ms);
            concurrency.adjust(goal, self.running, now_ms);
        }
    }

    /// Requests that run, that wait, and targets that may get more.
    #[must_use]
    pub fn counts(&self) -> (usize, usize, usize) {
        (self.running, self.queue.len(), self.places.len())
    }

    /// A target refused a request although this entry had places for it; returns whether
    /// its group is taken to be down from now on.
    pub fn on_refused(&mut self, by: &Incarnation, now_ms: MonoMs) -> bool {
        if self.concurrency.is_none() {
            return false;
        }
        let group = self.places.group_of(by);
        let ran = self.outages.on_refused(&group, now_ms);
        self.outlook.on_outage(now_ms);
        if ran {
            self.resize();
        }
        ran
    }

    /// A target accepted a request; returns whether its group was down.
    pub fn on_accepted(&mut self, by: &Incarnation, now_ms: MonoMs) -> bool {
        let group = self.places.group_of(by);
        let is_back = self.outages.on_accepted(&group);
        if is_back {
            self.outlook.on_outage(now_ms);
            self.resize();
        }
        is_back
    }

    /// Whether those who wait can be expected to be served within `late_patience_ms`,
    /// although late.
    pub fn can_serve_late(&mut self, late_patience_ms: u64, now_ms: MonoMs) -> bool {
        let waiting = self.queue.len();
        self.is_down() || self.outlook.serves(waiting, late_patience_ms, now_ms)
    }

    /// Whether the service refuses everything at present, or gets no further with what it
    /// has.
    #[must_use]
    pub fn is_down(&self) -> bool {
        let mut groups = self.places.groups().peekable();
        let is_down =
            |group: &GroupName| self.outages.is_down(group) || self.standstills.is_still(group);
        groups.peek().is_some() && groups.all(is_down)
    }

    /// A request arrives that is willing to wait for `patience_ms`.
    pub fn submit(
        &mut self,
        ticket: Ticket,
        wish: PlacementRequest,
        random: u64,
        now_ms: MonoMs,
    ) -> SubmitOutcome {
        self.outlook.on_arrival(now_ms);
        self.look_for_standstills(now_ms);
        let ahead = self.queue.ahead_of(wish.urgency);
        if ahead == 0
            && let Some(target) = self.place(random, now_ms, true)
        {
            return SubmitOutcome::Placed(target);
        }
        #[allow(clippy::cast_precision_loss)] // short queues and waits
        let needed_ms = (ahead as f64 + 1.0) * self.freed_every_ms;
        #[allow(clippy::cast_precision_loss)]
        let is_timely = needed_ms <= wish.wait_limit_ms as f64;
        if !is_timely && !self.can_serve_late(wish.late_wait_limit_ms, now_ms) {
            return SubmitOutcome::Refused;
        }
        if self.min_backoff_left_ms(now_ms) > wish.wait_limit_ms.max(wish.late_wait_limit_ms) {
            return SubmitOutcome::Refused;
        }
        self.queue.push(Waiting {
            ticket,
            urgency: wish.urgency,
            timely_until_ms: wish.on_time_until_ms,
        });
        SubmitOutcome::Queued
    }

    /// A waiting request gives up.
    pub fn cancel(&mut self, ticket: Ticket) {
        self.queue.remove(ticket);
    }

    /// Places the first waiting request if there is room now.
    pub fn place_next(&mut self, random: u64, now_ms: MonoMs) -> Option<(Ticket, Target)> {
        let ticket = self.queue.first(now_ms)?;
        self.look_for_standstills(now_ms);
        let target = self.place(random, now_ms, false)?;
        self.queue.remove(ticket);
        Some((ticket, target))
    }

    /// Places a request that runs already at one more target, none of
    /// `exclude`. It holds its place in the bound until
    /// [`release`](Self::release).
    pub fn place_additional(
        &mut self,
        exclude: &[Incarnation],
        random: u64,
        now_ms: MonoMs,
    ) -> Option<Target> {
        self.look_for_standstills(now_ms);
        let target = self.occupy(exclude, random, now_ms, true)?;
        self.running += 1;
        Some(target)
    }

    /// Takes a place at a target whose group may get a request now.
    fn occupy(
        &mut self,
        exclude: &[Incarnation],
        random: u64,
        now_ms: MonoMs,
        is_new: bool,
    ) -> Option<Target> {
        let groups = self.places.groups().cloned();
        let closed: Vec<GroupName> = groups
            .filter(|group| !self.may_send(group, now_ms))
            .collect();
        let may_send = |group: &GroupName| !closed.contains(group);
        let target = self
            .places
            .occupy(exclude, random, now_ms, is_new, may_send)?;
        let group = self.places.group_of(&target.incarnation);
        let others = self.places.running_in(&group).saturating_sub(1);
        self.standstills.on_placed(&group, others, now_ms);
        self.outages.on_sent(&group, now_ms);
        Some(target)
    }

    fn place(&mut self, random: u64, now_ms: MonoMs, is_new: bool) -> Option<Target> {
        let is_open = |group: &GroupName| self.may_send(group, now_ms);
        if !self.places.groups().any(is_open) {
            return None;
        }
        let running = self.running;
        let has_room = self
            .concurrency
            .as_mut()
            .is_none_or(|concurrency| concurrency.has_room(running));
        if !has_room {
            return None;
        }
        let target = self.occupy(&[], random, now_ms, is_new)?;
        self.running += 1;
        self.outlook.on_placed(now_ms);
        Some(target)
    }

    /// A target told its load in an answer to one of this entry's requests.
    pub fn on_load(&mut self, of: &Incarnation, load: Load, now_ms: MonoMs) {
        self.places.on_load(of, load, now_ms);
    }

    /// A target said in an answer how much it takes; returns what is new.
    pub fn on_signal(
        &mut self,
        of: &Incarnation,
        signal: BackpressureSignal,
        random: u64,
        now_ms: MonoMs,
    ) -> SignalUpdate {
        self.places.on_signal(of, signal, random, now_ms)
    }

    /// A target accepted a request; returns whether it was on trial after a rest until now.
    pub fn end_backoff_trial(&mut self, of: &Incarnation, now_ms: MonoMs) -> bool {
        self.places.on_accepted(of, now_ms)
    }

    /// For how long all targets rest that do not leave; 0 if one does not, or there is none.
    #[must_use]
    pub fn min_backoff_left_ms(&self, now_ms: MonoMs) -> u64 {
        self.places.all_rest_ms(now_ms)
    }

    /// How much longer a target wants nothing from this entry.
    #[must_use]
    pub fn backoff_left_ms(&self, of: &Incarnation, now_ms: MonoMs) -> u64 {
        self.places.rest_left_ms(of, now_ms)
    }

    /// A peer told of a target's limit; returns what is new.
    pub fn on_limit_report(
        &mut self,
        of: &Incarnation,
        limit: Option<RequestRate>,
        heard_ms: MonoMs,
    ) -> Option<LimitChange> {
        self.places.on_limit_report(of, limit, heard_ms)
    }

    /// Permits under a target's limit have come.
    pub fn on_permits(&mut self, of: &Incarnation, count: u32, until_ms: MonoMs) {
        self.places.on_permits(of, count, until_ms);
    }

    /// Requests that did not go to the target chosen first, by why, since this was last
    /// called.
    pub fn take_withheld_counts(&mut self) -> IndexMap<WithheldReason, u32> {
        self.places.take_kept_back()
    }

    /// What peers should know of the targets that name a limit, or did of late.
    #[must_use]
    pub fn limit_states(&self, now_ms: MonoMs) -> Vec<(Incarnation, LimitState)> {
        self.places.limit_states(now_ms)
    }

    /// The same, and counts the demand for permits anew from here.
    pub fn take_limit_states(&mut self, now_ms: MonoMs) -> Vec<(Incarnation, LimitState)> {
        self.places.take_limit_states(now_ms)
    }

    /// A placed request is about to be sent.
    ///
    /// # Errors
    ///
    /// If its target takes none now: it has said so since the request was placed.
    pub fn admit(&mut self, of: &Incarnation, now_ms: MonoMs) -> Result<(), WithheldReason> {
        self.places.admit(of, now_ms)
    }

    /// A placed request goes away unsent; [`release`](Self::release) follows.
    pub fn cancel_unsent(&mut self, of: &Incarnation) {
        self.places.leave_unsent(of);
    }

    /// When a target takes a request again, by what they say; `None` if one does now, or all
    /// are about to leave.
    #[must_use]
    pub fn until_accepting_ms(&self, now_ms: MonoMs) -> Option<u64> {
        self.places.takes_again_ms(now_ms)
    }

    /// The limit that a target names.
    #[must_use]
    pub fn rate_limit(&self, of: &Incarnation) -> Option<RequestRate> {
        self.places.limit(of)
    }

    /// How many targets name a limit.
    #[must_use]
    pub fn limited_target_count(&self) -> usize {
        self.places.limited()
    }

    /// A request at the target ended; `evidence` is what it says of the target,
    /// if anything.
    pub fn release(&mut self, of: &Incarnation, evidence: Option<HealthSample>, now_ms: MonoMs) {
        self.running = self.running.saturating_sub(1);
        self.note_freed(now_ms);
        self.places.release(of, evidence, now_ms);
    }

    #[allow(clippy::cast_precision_loss)] // intervals are short
    fn note_freed(&mut self, now_ms: MonoMs) {
        let interval_ms = now_ms.since(self.freed_ms).min(1_000) as f64;
        self.freed_every_ms += FREED_WEIGHT * (interval_ms - self.freed_every_ms);
        self.freed_ms = now_ms;
    }
}
