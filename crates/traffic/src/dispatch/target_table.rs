//! The targets of a service, what runs at each, and which one is next.

use std::sync::Arc;

use berylhook_backpressure::gate::{
    AdmissionGate, LimitChange, LimitState, SignalUpdate, WithheldReason,
};
use berylhook_backpressure::rate::RequestRate;
use berylhook_backpressure::signal::BackpressureSignal;
use berylhook_core::time::MonoMs;
use indexmap::{IndexMap, IndexSet};

use super::Load;
use super::outage::GroupName;
use crate::engine_update::{GroupUpdate, Slowdowns};
use crate::health::{Health, HealthSample};
use crate::ownership::{Membership, Preference};
use crate::target::{Incarnation, Target};

/// A report of another process's load on a target is taken as current for
/// this long: about the life of a short generation.
const LOAD_VALID_MS: u64 = 1_000;

/// Weight of the newest number of running requests in the usual one. An entry has some
/// ten arrivals a second, so it follows the load within two seconds: slowly enough that
/// a few arrivals at once do not pass for a fuller service.
const RUNNING_WEIGHT: f64 = 0.05;

struct Place {
    target: Target,
    group: GroupName,
    running: u32,
    health: Health,
    /// How slow it is; 1 is usual, more is slower.
    pace: f64,
    /// Requests of other entries there, and when that was learnt.
    others: Option<(u32, MonoMs)>,
    preference: Preference,
    /// When any stream from it last brought an event.
    progressed_ms: MonoMs,
    /// What it said of how much it takes.
    gate: AdmissionGate,
}

impl Place {
    fn new(target: Target) -> Self {
        Self {
            target,
            group: None,
            running: 0,
            health: Health::default(),
            pace: 1.0,
            others: None,
            preference: Preference {
                is_owned: true,
                penalty: 0.0,
            },
            progressed_ms: MonoMs(0),
            gate: AdmissionGate::default(),
        }
    }

    /// Requests there: this entry's, and those of others as far as they are known.
    ///
    /// A target of another entry of which nothing is known is taken to be as full as
    /// targets usually are. Taken to be empty, it would draw requests from all around
    /// whenever the entries' own targets have one each.
    fn load(&self, of_others: OfOthers, now_ms: MonoMs) -> f64 {
        let told = self
            .others
            .filter(|(_, at_ms)| now_ms.since(*at_ms) < LOAD_VALID_MS);
        let others = match told {
            Some((count, _)) => f64::from(count),
            None if self.preference.is_owned => of_others.at_own,
            None => of_others.elsewhere,
        };
        f64::from(self.running) + others
    }
}

/// Requests of other entries that a target is taken to have if it has not told.
#[derive(Clone, Copy, Debug)]
struct OfOthers {
    /// One of the entry's own, which others use as far as their parts overlap.
    at_own: f64,
    /// Any other.
    elsewhere: f64,
}

/// Where a request goes.
struct Choice {
    target: Option<Target>,
    /// The target that it would have gone to if that took one more, by index.
    kept_back: Option<usize>,
}

/// The targets that may get requests.
pub(super) struct Places {
    /// The entries that share the targets, as far as they are known.
    membership: Membership,
    /// The places in the order in which they are looked through: own ones first,
    /// then by penalty.
    order: Vec<usize>,
    /// Of these, how many are owned.
    own_count: usize,
    /// This entry's part of the targets by its demand, from 0 to 1.
    share: f64,
    /// How many times its share the part is over which it spreads its requests.
    overlap: f64,
    /// Slots of a target, on average.
    slots_per_target: f64,
    /// Requests of this entry at all targets, of late.
    usual_running: f64,
    /// Whether there was a request.
    has_run: bool,
    /// Requests of this entry at all targets.
    running: u32,
    /// The groups that the targets are of.
    groups: IndexSet<GroupName>,
    /// The fixed part of a target's work, in requests.
    base_load: f64,
    /// Requests that did not go to the target chosen first, by why.
    kept_back: IndexMap<WithheldReason, u32>,
    /// By incarnation: what was learnt of a former one says nothing of a target
    /// that has started anew under the same id.
    places: IndexMap<Incarnation, Place>,
}

impl Places {
    pub(super) fn new(membership: Membership, base_load: f64) -> Self {
        Self {
            membership,
            order: Vec::new(),
            own_count: 0,
            share: 1.0,
            overlap: 1.0,
            slots_per_target: 0.0,
            usual_running: 0.0,
            has_run: false,
            running: 0,
            groups: IndexSet::new(),
            base_load,
            kept_back: IndexMap::new(),
            places: IndexMap::new(),
        }
    }

    pub(super) fn contains(&self, of: &Incarnation) -> bool {
        self.places.contains_key(of)
    }

    pub(super) fn len(&self) -> usize {
        self.places.len()
    }

    /// Takes over the targets that may get requests.
    pub(super) fn set<'a>(&mut self, targets: impl Iterator<Item = &'a Target>) {
        let mut before = std::mem::take(&mut self.places);
        for target in targets {
            let place = match before.swap_remove(&target.incarnation) {
                Some(place) => Place {
                    target: target.clone(),
                    ..place
                },
                None => Place::new(target.clone()),
            };
            self.places.insert(target.incarnation.clone(), place);
        }
        self.note_groups();
        self.prefer();
    }

    /// Takes over who shares the targets.
    pub(super) fn set_membership(&mut self, membership: Membership) {
        self.membership = membership;
        self.prefer();
    }

    /// Works out which targets are this entry's own, and how far the others are.
    fn prefer(&mut self) {
        let targets: Vec<&Target> = self.places.values().map(|place| &place.target).collect();
        let preferences = self.membership.preferences(&targets, self.usual_running);
        for (place, preference) in self.places.values_mut().zip(&preferences.targets) {
            place.preference = *preference;
        }
        let by_index = &preferences.targets;
        self.order = (0..by_index.len()).collect();
        let key = |index: &usize| (!by_index[*index].is_owned, by_index[*index].penalty);
        self.order.sort_by(|a, b| {
            let ((a_other, a_penalty), (b_other, b_penalty)) = (key(a), key(b));
            a_other.cmp(&b_other).then(a_penalty.total_cmp(&b_penalty))
        });
        self.own_count = by_index.iter().filter(|it| it.is_owned).count();
        self.share = preferences.share;
        self.overlap = preferences.overlap;
        #[allow(clippy::cast_precision_loss)] // ten thousand at most
        let count = self.places.len().max(1) as f64;
        self.slots_per_target = f64::from(self.slots()) / count;
    }

    /// Takes the usual number of running requests to be that, until there was one.
    pub(super) fn expect_running(&mut self, running: f64) {
        if !self.has_run {
            self.usual_running = running;
            self.prefer();
        }
    }

    fn note_running(&mut self) {
        self.has_run = true;
        let running = f64::from(self.running);
        self.usual_running += RUNNING_WEIGHT * (running - self.usual_running);
    }

    /// What a target runs of late, by this entry's own part: all parts are as wide as
    /// their entries' demands, so others' targets are about as full.
    fn usual_load(&self) -> f64 {
        #[allow(clippy::cast_precision_loss)] // ten thousand at most
        let fair = self.share * self.places.len() as f64;
        (self.usual_running / fair.max(1.0)).min(self.slots_per_target)
    }

    /// The targets' paces, by address; all others have the usual one.
    pub(super) fn set_paces(&mut self, paces: &Slowdowns) {
        for place in self.places.values_mut() {
            let target = &place.target;
            let pace = paces.get(&target.address);
            let of_target = pace.filter(|pace| pace.applies_to(&target.incarnation));
            place.pace = of_target.map_or(1.0, |pace| pace.factor).max(1.0);
        }
    }

    /// Takes over which targets form which groups.
    pub(super) fn set_groups(&mut self, groups: &[GroupUpdate]) {
        let engines = groups.iter().flat_map(|group| {
            let engines = group.engines.iter();
            engines.map(move |engine| (*engine, &group.name))
        });
        let by_engine: IndexMap<_, _> = engines.collect();
        for place in self.places.values_mut() {
            let name = by_engine.get(&place.target.address);
            place.group = name.map(|name| Arc::clone(name));
        }
        self.note_groups();
    }

    fn note_groups(&mut self) {
        let groups = self.places.values().map(|place| place.group.clone());
        self.groups = groups.collect();
    }

    /// The groups that the targets are of.
    pub(super) fn groups(&self) -> impl Iterator<Item = &GroupName> {
        self.groups.iter()
    }

    /// Requests of this entry at targets of the group.
    pub(super) fn running_in(&self, group: &GroupName) -> u32 {
        let of_group = self.places.values().filter(|place| place.group == *group);
        of_group.map(|place| place.running).sum()
    }

    /// The target's group.
    pub(super) fn group_of(&self, of: &Incarnation) -> GroupName {
        self.places.get(of).and_then(|place| place.group.clone())
    }

    /// Targets of these groups, and the requests that they work on at once. Entries are not
    /// trusted to name sensible numbers, so the sum must not overflow.
    pub(super) fn carried_by(&self, includes: impl Fn(&GroupName) -> bool) -> (usize, u32) {
        let of_groups = self.places.values().filter(|place| includes(&place.group));
        let slots = of_groups.map(|place| place.target.slots);
        slots.fold((0, 0_u32), |(count, sum), slots| {
            (count + 1, sum.saturating_add(slots))
        })
    }

    /// The pace of the slowest target.
    pub(super) fn slowest(&self) -> f64 {
        let paces = self.places.values().map(|place| place.pace);
        paces.fold(1.0, f64::max)
    }

    /// Requests that all targets work on at once. Entries are not trusted to name
    /// sensible numbers, so the sum must not overflow.
    pub(super) fn slots(&self) -> u32 {
        let slots = self.places.values().map(|place| place.target.slots);
        slots.fold(0, u32::saturating_add)
    }

    /// This entry's part of what the targets carry, from 0 to 1, as a first guess: an
    /// equal one. Demands are too uncertain in the first seconds, when it counts most,
    /// and the bound finds its way from there by itself.
    pub(super) fn equal_share(&self) -> f64 {
        #[allow(clippy::cast_precision_loss)] // a thousand at most
        let entries = self.membership.len().max(1) as f64;
        1.0 / entries
    }

    pub(super) fn on_progress(&mut self, of: &Incarnation, now_ms: MonoMs) {
        if let Some(place) = self.places.get_mut(of) {
            place.progressed_ms = now_ms;
        }
    }

    /// Time since any stream from the target brought an event.
    pub(super) fn silent_ms(&self, of: &Incarnation, now_ms: MonoMs) -> u64 {
        let place = self.places.get(of);
        place.map_or(u64::MAX, |place| now_ms.since(place.progressed_ms))
    }

    /// A target told its load in an answer to one of this entry's requests.
    pub(super) fn on_load(&mut self, of: &Incarnation, load: Load, now_ms: MonoMs) {
        if let Some(place) = self.places.get_mut(of) {
            let others = (load.running + load.waiting).saturating_sub(place.running);
            place.others = Some((others, now_ms));
        }
    }

    /// A target said in an answer how much it takes.
    pub(super) fn on_signal(
        &mut self,
        of: &Incarnation,
        signal: BackpressureSignal,
        random: u64,
        now_ms: MonoMs,
    ) -> SignalUpdate {
        let Some(place) = self.places.get_mut(of) else {
            return SignalUpdate::default();
        };
        let rest = signal.backoff_ms.filter(|rest_ms| *rest_ms > 0);
        let rest_ms =
            rest.filter(|rest_ms| place.gate.start_backoff(*rest_ms, random, now_ms) == 0);
        SignalUpdate {
            limit: place.gate.on_limit_signal(signal.limit, now_ms),
            backoff_ms: rest_ms,
            is_newly_leaving: signal.is_leaving && place.gate.mark_leaving(),
        }
    }

    /// A target accepted a request; returns whether that ends the trial after a rest.
    pub(super) fn on_accepted(&mut self, by: &Incarnation, now_ms: MonoMs) -> bool {
        let place = self.places.get_mut(by);
        place.is_some_and(|place| place.gate.on_accepted(now_ms))
    }

    /// How much longer a target wants nothing from this entry.
    pub(super) fn rest_left_ms(&self, of: &Incarnation, now_ms: MonoMs) -> u64 {
        let place = self.places.get(of);
        place.map_or(0, |place| place.gate.backoff_left_ms(now_ms))
    }

    /// The limit that a target names.
    pub(super) fn limit(&self, of: &Incarnation) -> Option<RequestRate> {
        self.places.get(of)?.gate.limit()
    }

    /// A peer told of a target's limit.
    pub(super) fn on_limit_report(
        &mut self,
        of: &Incarnation,
        limit: Option<RequestRate>,
        heard_ms: MonoMs,
    ) -> Option<LimitChange> {
        let place = self.places.get_mut(of)?;
        place.gate.on_peer_report(limit, heard_ms)
    }

    /// Permits under a target's limit have come.
    pub(super) fn on_permits(&mut self, of: &Incarnation, count: u32, until_ms: MonoMs) {
        if let Some(place) = self.places.get_mut(of) {
            place.gate.add_permits(count, until_ms);
        }
    }

    /// Requests that did not go to the target chosen first, by why, since this was last
    /// called.
    pub(super) fn take_kept_back(&mut self) -> IndexMap<WithheldReason, u32> {
        std::mem::take(&mut self.kept_back)
    }

    /// What peers should know of the targets that name a limit, or did of late.
    pub(super) fn limit_states(&self, now_ms: MonoMs) -> Vec<(Incarnation, LimitState)> {
        let states = self.places.iter().filter_map(|(of, place)| {
            let state = place.gate.state(now_ms)?;
            Some((of.clone(), state))
        });
        states.collect()
    }

    /// The same, and counts the demand for permits anew from here.
    pub(super) fn take_limit_states(&mut self, now_ms: MonoMs) -> Vec<(Incarnation, LimitState)> {
        let states = self.places.iter_mut().filter_map(|(of, place)| {
            let state = place.gate.take_state(now_ms)?;
            Some((of.clone(), state))
        });
        states.collect()
    }

    /// A request that has a place at the target is about to be sent.
    ///
    /// A target that is not listed any more is not asked to take it either.
    pub(super) fn admit(&mut self, of: &Incarnation, now_ms: MonoMs) -> Result<(), WithheldReason> {
        match self.places.get_mut(of) {
            Some(place) => place.gate.admit(now_ms),
            None => Err(WithheldReason::NotListed),
        }
    }

    /// A request that has a place at the target goes away unsent.
    pub(super) fn leave_unsent(&mut self, of: &Incarnation) {
        if let Some(place) = self.places.get_mut(of) {
            place.gate.cancel_placement();
        }
    }

    /// When a target takes a request again, as far as they say; `None` if one does now, or
    /// all are about to leave.
    pub(super) fn takes_again_ms(&self, now_ms: MonoMs) -> Option<u64> {
        if self.gates().any(|gate| gate.can_place(now_ms)) {
            return None;
        }
        let quiet = self.staying().map(|gate| gate.hold_off_left_ms(now_ms));
        let least_quiet_ms = quiet.filter(|left_ms| *left_ms > 0).min();
        [least_quiet_ms, self.turn_ms(now_ms)]
            .into_iter()
            .flatten()
            .min()
    }

    /// For how long all targets rest that do not leave; 0 if one does not, or there is none.
    pub(super) fn all_rest_ms(&self, now_ms: MonoMs) -> u64 {
        let rests = self.staying().map(|gate| gate.backoff_left_ms(now_ms));
        rests.min().unwrap_or(0)
    }

    fn gates(&self) -> impl Iterator<Item = &AdmissionGate> {
        self.places.values().map(|place| &place.gate)
    }

    fn staying(&self) -> impl Iterator<Item = &AdmissionGate> {
        self.gates().filter(|gate| !gate.is_leaving())
    }

    /// Time until this entry has its turn at the targets that only their limits keep
    /// requests from, by the sum of these; `None` if there is no such target.
    fn turn_ms(&self, now_ms: MonoMs) -> Option<u64> {
        let awake = self
            .staying()
            .filter(|gate| gate.hold_off_left_ms(now_ms) == 0);
        let limits = awake
            .filter_map(AdmissionGate::limit)
            .map(RequestRate::per_s);
        let per_s: f64 = limits.sum();
        #[allow(clippy::cast_precision_loss)] // a thousand entries at most
        let entries = self.membership.len() as f64;
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // saturates
        let turn_ms = (entries * 1_000.0 / per_s) as u64;
        (per_s > 0.0).then_some(turn_ms)
    }

    /// How many targets name a limit.
    pub(super) fn limited(&self) -> usize {
        self.gates().filter(|gate| gate.limit().is_some()).count()
    }

    /// The least loaded target with a free slot, occupied by one request more;
    /// `random` decides between equals, so that entries that know the same do
    /// not all choose the same. A request that is not `is_new` has been counted before
    /// where a target takes no more.
    pub(super) fn occupy(
        &mut self,
        exclude: &[Incarnation],
        random: u64,
        now_ms: MonoMs,
        is_new: bool,
        may_send: impl Fn(&GroupName) -> bool,
    ) -> Option<Target> {
        let choice = self.choose(exclude, random, now_ms, may_send);
        let kept_back = choice.kept_back.filter(|_| is_new);
        if let Some((_, place)) = kept_back.and_then(|index| self.places.get_index_mut(index)) {
            let why = place.gate.withhold(now_ms);
            *self.kept_back.entry(why).or_default() += 1;
        }
        let target = choice.target?;
        if let Some(place) = self.places.get_mut(&target.incarnation) {
            place.running += 1;
            place.gate.place();
        }
        self.running += 1;
        self.note_running();
        Some(target)
    }

    /// A request at the target ended; `evidence` is what it says of the target,
    /// if anything.
    pub(super) fn release(
        &mut self,
        of: &Incarnation,
        evidence: Option<HealthSample>,
        now_ms: MonoMs,
    ) {
        self.running = self.running.saturating_sub(1);
        let Some(place) = self.places.get_mut(of) else {
            return;
        };
        place.running = place.running.saturating_sub(1);
        if let Some(evidence) = evidence {
            place.health.record(evidence, now_ms);
        }
    }

    fn choose(
        &self,
        exclude: &[Incarnation],
        random: u64,
        now_ms: MonoMs,
        may_send: impl Fn(&GroupName) -> bool,
    ) -> Choice {
        let sound = self.best(exclude, random, now_ms, |place| {
            let is_busy_trial = place.health.is_on_trial() && place.running > 0;
            !place.health.is_ejected(now_ms) && !is_busy_trial && may_send(&place.group)
        });
        let sound_exists = self.places.values().any(|place| {
            let is_excluded = exclude.contains(&place.target.incarnation);
            !place.health.is_ejected(now_ms) && !is_excluded && may_send(&place.group)
        });
        match sound.target {
            None if !sound_exists => {
                self.best(exclude, random, now_ms, |place| may_send(&place.group))
            }
            _ => sound,
        }
    }

    fn best(
        &self,
        exclude: &[Incarnation],
        random: u64,
        now_ms: MonoMs,
        accepts: impl Fn(&Place) -> bool,
    ) -> Choice {
        let usual = self.usual_load();
        let of_others = OfOthers {
            at_own: usual * (1.0 - 1.0 / self.overlap),
            elsewhere: usual,
        };
        let mut best: Option<(f64, &Place)> = None;
        let mut kept_back: Option<(f64, usize)> = None;
        for index in self.looked_through(random) {
            let Some((incarnation, place)) = self.places.get_index(index) else {
                break;
            };
            // Work is never less than one request at a target of usual pace, and
            // penalties only rise from here on.
            let least = self.base_load + 1.0 + place.preference.penalty;
            if !place.preference.is_owned && best.is_some_and(|(score, _)| score <= least) {
                break;
            }
            let is_full = place.running >= place.target.slots;
            if is_full || exclude.contains(incarnation) || !accepts(place) {
                continue;
            }
            // A slow rank holds up every pass by its fixed part alone.
            let work = self.base_load + place.load(of_others, now_ms) + 1.0;
            let score = work * place.pace + place.preference.penalty;
            match place.gate.can_place(now_ms) {
                true if best.is_none_or(|(least, _)| score < least) => best = Some((score, place)),
                false if kept_back.is_none_or(|(least, _)| score < least) => {
                    kept_back = Some((score, index));
                }
                _ => {}
            }
        }
        let is_no_worse = |score: f64| best.is_none_or(|(least, _)| score <= least);
        Choice {
            target: best.map(|(_, place)| place.target.clone()),
            kept_back: kept_back
                .filter(|(score, _)| is_no_worse(*score))
                .map(|(_, index)| index),
        }
    }

    /// The places' indices: the own ones from a random one on, then the others.
    fn looked_through(&self, random: u64) -> impl Iterator<Item = usize> {
        let (own, others) = self.order.split_at(self.own_count);
        #[allow(clippy::cast_possible_truncation)] // reduced below the count
        let start = (random % own.len().max(1) as u64) as usize;
        let (before, from) = own.split_at(start);
        from.iter().chain(before).chain(others).copied()
    }
}
