//! Who waits, who is placed where, and who is refused, for one service.
//!
//! A request is placed at once if there is room. Otherwise it waits, more
//! urgent ones first, for as long as waiting serves its caller: a refusal that
//! comes early leaves time to come back, one that comes late does not. A
//! request that would not be placed in that time, going by how fast places
//! become free, is refused without waiting.

use std::sync::Arc;

use berylhook_core::time::MonoMs;
use indexmap::IndexMap;

use crate::concurrency::{Concurrency, PassGoal, Size};
use crate::configuration::EngineModel;
use crate::health::{Evidence, Health};
use crate::pace::Paces;
use crate::target::{Incarnation, Target};

/// Weight of a newly measured interval between two freed places.
const FREED_WEIGHT: f64 = 0.2;

/// Least work that a generation is taken to add to a step.
const LEAST_WORK_MS: f64 = 0.001;

/// A report of another process's load on a target is taken as current for
/// this long: about the life of a short generation.
const LOAD_VALID_MS: u64 = 1_000;

/// Time between two tries of a service that refuses everything. All entries
/// try, and a group takes over half a second to form anew.
const TRY_EVERY_MS: u64 = 150;

/// A service is getting events if its last one is this recent: a few passes.
const PROGRESS_WITHIN_MS: u64 = 300;

/// A target from which nothing has come for this long, while others of its
/// service bring events, is silent.
const TARGET_SILENT_MS: u64 = 600;

/// How much emptier a target in another data centre has to be: the way there
/// and back takes a fraction of one pass.
const OTHER_DATA_CENTRE: f64 = 0.3;

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
pub enum Arrival {
    /// Send it to this target.
    Placed(Target),
    /// It waits; [`Dispatcher::next`] places it.
    Waits,
    /// It would not be placed in time.
    Refused,
}

/// What a request asks of the dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Wish {
    /// How urgent it is; 0 is first.
    pub urgency: u32,
    /// How long it is willing to wait while the service runs.
    pub patience_ms: u64,
    /// Placed up to this moment, it can still be answered within its goal.
    pub timely_until_ms: MonoMs,
}

struct Waiting {
    ticket: Ticket,
    urgency: u32,
    timely_until_ms: MonoMs,
}

struct Place {
    target: Target,
    running: u32,
    health: Health,
    /// How slow it is; 1 is usual, more is slower.
    pace: f64,
    /// Requests of other entries there, and when that was learnt.
    others: Option<(u32, MonoMs)>,
    /// When any stream from it last brought an event.
    progressed_ms: MonoMs,
}

impl Place {
    fn load(&self, now_ms: MonoMs) -> u32 {
        let others = self
            .others
            .filter(|(_, at_ms)| now_ms.since(*at_ms) < LOAD_VALID_MS);
        self.running + others.map_or(0, |(count, _)| count)
    }
}

/// The waiting, placed and refused requests of one service.
pub struct Dispatcher {
    data_centre: Arc<str>,
    /// The fixed part of a target's work, in requests.
    base_load: f64,
    /// Time of a pass in which nothing runs.
    empty_pass_ms: f64,
    /// By incarnation: what was learnt of a former one says nothing of a target
    /// that has started anew under the same id.
    places: IndexMap<Incarnation, Place>,
    concurrency: Option<Concurrency>,
    running: usize,
    waiting: Vec<Waiting>,
    freed_every_ms: f64,
    freed_ms: MonoMs,
    /// When the next request may try a service that refuses them all; `None`
    /// while the service runs.
    retry_ms: Option<MonoMs>,
    /// When any stream of the service last got an event.
    progressed_ms: MonoMs,
}

impl Dispatcher {
    /// A service without targets, seen from `data_centre`.
    #[must_use]
    pub fn new(data_centre: Arc<str>, engine: Option<&EngineModel>) -> Self {
        let per_sequence_ms = engine.map_or(1.0, |it| it.per_sequence_ms.max(LEAST_WORK_MS));
        let step_ms = engine.map_or(0.0, |it| it.step_ms);
        let steps = engine.map_or(1.0, |it| f64::from(it.steps_per_pass.max(1)));
        Self {
            data_centre,
            base_load: step_ms / per_sequence_ms,
            empty_pass_ms: step_ms * steps,
            concurrency: engine.map(Concurrency::for_engine),
            places: IndexMap::new(),
            running: 0,
            waiting: Vec::new(),
            freed_every_ms: 0.0,
            freed_ms: MonoMs(0),
            retry_ms: None,
            progressed_ms: MonoMs(0),
        }
    }

    /// Takes over the targets that may get requests.
    ///
    /// What runs at a target that is no longer among them still counts until
    /// it ends.
    pub fn set_targets<'a>(&mut self, targets: impl Iterator<Item = &'a Target>) {
        let mut before = std::mem::take(&mut self.places);
        for target in targets {
            let place = match before.swap_remove(&target.incarnation) {
                Some(place) => Place {
                    target: target.clone(),
                    ..place
                },
                None => Place {
                    target: target.clone(),
                    running: 0,
                    pace: 1.0,
                    health: Health::default(),
                    others: None,
                    progressed_ms: MonoMs(0),
                },
            };
            self.places.insert(target.incarnation.clone(), place);
        }
    }

    /// The targets' paces, by address; all others have the usual one.
    pub fn set_paces(&mut self, paces: &Paces) {
        for place in self.places.values_mut() {
            let target = &place.target;
            let pace = paces.get(&target.address);
            let of_target = pace.filter(|pace| pace.is_of(&target.incarnation));
            place.pace = of_target.map_or(1.0, |pace| pace.factor).max(1.0);
        }
    }

    /// This many entries share the targets.
    pub fn resize(&mut self, entries: usize) {
        let size = Size {
            engines: self.places.len(),
            slots: self.slots(),
            entries,
        };
        if let Some(concurrency) = &mut self.concurrency {
            concurrency.resize(size);
        }
    }

    /// Requests that all targets work on at once. Entries are not trusted to name
    /// sensible numbers, so the sum must not overflow.
    fn slots(&self) -> u32 {
        let slots = self.places.values().map(|place| place.target.slots);
        slots.fold(0, u32::saturating_add)
    }

    /// The bound on what runs, if there is one.
    #[must_use]
    pub fn bound(&self) -> Option<f64> {
        self.concurrency.as_ref().map(Concurrency::bound)
    }

    /// A stream from the target got an event.
    pub fn on_progress(&mut self, of: &Incarnation, now_ms: MonoMs) {
        self.progressed_ms = now_ms;
        if let Some(place) = self.places.get_mut(of) {
            place.progressed_ms = now_ms;
        }
    }

    /// Whether nothing comes from the target while others of the service bring
    /// events.
    ///
    /// All ranks of a group run each pass together, so a target that alone is
    /// silent is not slow: it is cut off, or its VM is frozen. Its callers would
    /// wait until they give up, while another target could answer them.
    #[must_use]
    pub fn is_silent(&self, of: &Incarnation, now_ms: MonoMs) -> bool {
        let others_progress = now_ms.since(self.progressed_ms) < PROGRESS_WITHIN_MS;
        let place = self.places.get(of);
        let silent_ms = place.map_or(u64::MAX, |place| now_ms.since(place.progressed_ms));
        others_progress && silent_ms > TARGET_SILENT_MS
    }

    /// A stream got an event `gap_ms` after the one before it; callers find a
    /// pause of `pause_goal_ms` acceptable.
    pub fn on_gap(&mut self, gap_ms: f64, pause_goal_ms: f64, now_ms: MonoMs) {
        let paces = self.places.values().map(|place| place.pace);
        let goal = PassGoal {
            pause_ms: pause_goal_ms,
            least_pass_ms: self.empty_pass_ms * paces.fold(1.0, f64::max),
        };
        if let Some(concurrency) = &mut self.concurrency {
            concurrency.on_gap(gap_ms);
            concurrency.adjust(goal, self.running, now_ms);
        }
    }

    /// Requests that run, that wait, and targets that may get more.
    #[must_use]
    pub fn counts(&self) -> (usize, usize, usize) {
        (self.running, self.waiting.len(), self.places.len())
    }

    /// A target refused a request although this entry had places for it.
    ///
    /// A group that lost a rank refuses everything until it has formed anew.
    /// Every request sent meanwhile is refused too, and each counts against the
    /// budget for second sends. They wait instead, and one tries now and then.
    pub fn on_refused(&mut self, now_ms: MonoMs) {
        if self.concurrency.is_some() {
            self.retry_ms = Some(now_ms + TRY_EVERY_MS);
        }
    }

    /// A target accepted a request.
    pub fn on_accepted(&mut self) {
        self.retry_ms = None;
    }

    /// Whether the service refuses everything at present.
    #[must_use]
    pub fn is_down(&self) -> bool {
        self.retry_ms.is_some()
    }

    /// Whether a request may be sent now, so that one at a time tries a
    /// service that is down.
    fn may_send(&mut self, now_ms: MonoMs) -> bool {
        match self.retry_ms {
            None => true,
            Some(due_ms) if now_ms < due_ms => false,
            Some(_) => {
                self.retry_ms = Some(now_ms + TRY_EVERY_MS);
                true
            }
        }
    }

    /// A request arrives that is willing to wait for `patience_ms`.
    pub fn arrive(&mut self, ticket: Ticket, wish: Wish, random: u64, now_ms: MonoMs) -> Arrival {
        let ahead = self.ahead_of(wish.urgency);
        if ahead == 0
            && let Some(target) = self.place(&[], random, now_ms)
        {
            return Arrival::Placed(target);
        }
        #[allow(clippy::cast_precision_loss)] // short queues and waits
        let needed_ms = (ahead as f64 + 1.0) * self.freed_every_ms;
        #[allow(clippy::cast_precision_loss)]
        if !self.is_down() && needed_ms > wish.patience_ms as f64 {
            return Arrival::Refused;
        }
        let waiting = Waiting {
            ticket,
            urgency: wish.urgency,
            timely_until_ms: wish.timely_until_ms,
        };
        self.waiting.insert(ahead, waiting);
        Arrival::Waits
    }

    /// Waiting requests that go before a new one of that urgency.
    fn ahead_of(&self, urgency: u32) -> usize {
        self.waiting
            .partition_point(|waiting| waiting.urgency <= urgency)
    }

    /// A waiting request gives up.
    pub fn leave(&mut self, ticket: Ticket) {
        self.waiting.retain(|waiting| waiting.ticket != ticket);
    }

    /// Places the first waiting request if there is room now.
    pub fn next(&mut self, random: u64, now_ms: MonoMs) -> Option<(Ticket, Target)> {
        let first = self.first_waiting(now_ms)?;
        let target = self.place(&[], random, now_ms)?;
        let waiting = self.waiting.remove(first);
        Some((waiting.ticket, target))
    }

    /// Of the most urgent requests, the first that can still be answered within
    /// its goal, or else the first.
    ///
    /// When a service is back after seconds, those who waited through them are
    /// late already and lose little by a moment more; placed first, they would
    /// make everybody behind them late too.
    fn first_waiting(&self, now_ms: MonoMs) -> Option<usize> {
        let urgency = self.waiting.first()?.urgency;
        let as_urgent = self.waiting.iter().take_while(|it| it.urgency == urgency);
        let timely = as_urgent.enumerate();
        let first_timely = timely
            .filter(|(_, it)| now_ms <= it.timely_until_ms)
            .map(|(index, _)| index)
            .next();
        Some(first_timely.unwrap_or(0))
    }

    /// Places a request that runs already at one more target, none of
    /// `exclude`. It holds its place in the bound until
    /// [`release`](Self::release).
    pub fn place_again(
        &mut self,
        exclude: &[Incarnation],
        random: u64,
        now_ms: MonoMs,
    ) -> Option<Target> {
        if !self.may_send(now_ms) {
            return None;
        }
        let target = self.choose(exclude, random, now_ms)?;
        self.occupy(&target.incarnation);
        Some(target)
    }

    fn place(&mut self, exclude: &[Incarnation], random: u64, now_ms: MonoMs) -> Option<Target> {
        if self.places.is_empty() || !self.may_send(now_ms) {
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
        let target = self.choose(exclude, random, now_ms)?;
        self.occupy(&target.incarnation);
        Some(target)
    }

    fn occupy(&mut self, of: &Incarnation) {
        self.running += 1;
        if let Some(place) = self.places.get_mut(of) {
            place.running += 1;
        }
    }

    /// The least loaded target with a free slot; `random` decides between
    /// equals, so that entries that know the same do not all choose the same.
    fn choose(&self, exclude: &[Incarnation], random: u64, now_ms: MonoMs) -> Option<Target> {
        let sound = self.best(exclude, random, now_ms, |place| {
            let is_busy_trial = place.health.is_on_trial() && place.running > 0;
            !place.health.is_avoided(now_ms) && !is_busy_trial
        });
        let sound_exists = self.places.values().any(|place| {
            !place.health.is_avoided(now_ms) && !exclude.contains(&place.target.incarnation)
        });
        match sound {
            Some(target) => Some(target),
            None if sound_exists => None,
            None => self.best(exclude, random, now_ms, |_| true),
        }
    }

    fn best(
        &self,
        exclude: &[Incarnation],
        random: u64,
        now_ms: MonoMs,
        accepts: impl Fn(&Place) -> bool,
    ) -> Option<Target> {
        let count = self.places.len();
        if count == 0 {
            return None;
        }
        #[allow(clippy::cast_possible_truncation)] // reduced below the count
        let start = (random % count as u64) as usize;
        let mut best: Option<(f64, &Place)> = None;
        for offset in 0..count {
            let (incarnation, place) = self.places.get_index((start + offset) % count)?;
            let load = place.load(now_ms);
            let is_full = place.running >= place.target.slots;
            if is_full || exclude.contains(incarnation) || !accepts(place) {
                continue;
            }
            let is_far = place.target.data_centre != self.data_centre;
            // A slow rank holds up every pass by its fixed part alone.
            let work = self.base_load + f64::from(load) + 1.0;
            let score = work * place.pace + if is_far { OTHER_DATA_CENTRE } else { 0.0 };
            if best.is_none_or(|(least, _)| score < least) {
                best = Some((score, place));
            }
        }
        best.map(|(_, place)| place.target.clone())
    }

    /// A target told its load in an answer to one of this entry's requests.
    pub fn on_load(&mut self, of: &Incarnation, load: Load, now_ms: MonoMs) {
        if let Some(place) = self.places.get_mut(of) {
            let others = (load.running + load.waiting).saturating_sub(place.running);
            place.others = Some((others, now_ms));
        }
    }

    /// A request at the target ended; `evidence` is what it says of the target,
    /// if anything.
    pub fn release(&mut self, of: &Incarnation, evidence: Option<Evidence>, now_ms: MonoMs) {
        self.running = self.running.saturating_sub(1);
        self.note_freed(now_ms);
        if let Some(place) = self.places.get_mut(of) {
            place.running = place.running.saturating_sub(1);
            if let Some(evidence) = evidence {
                place.health.record(evidence, now_ms);
            }
        }
    }

    #[allow(clippy::cast_precision_loss)] // intervals are short
    fn note_freed(&mut self, now_ms: MonoMs) {
        let interval_ms = now_ms.since(self.freed_ms).min(1_000) as f64;
        self.freed_every_ms += FREED_WEIGHT * (interval_ms - self.freed_every_ms);
        self.freed_ms = now_ms;
    }
}
