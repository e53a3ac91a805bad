//! The targets of a service, the load of each, and the choice of a target for a request.

mod evacuated;
mod regions;

use std::net::SocketAddr;
use std::sync::Arc;

use berylhook_backpressure::gate::{
    AdmissionGate, LimitChange, LimitState, SignalUpdate, WithheldReason,
};
use berylhook_backpressure::rate::RequestRate;
use berylhook_backpressure::signal::BackpressureSignal;
use berylhook_core::time::MonoMs;
use indexmap::{IndexMap, IndexSet};

pub(super) use self::regions::Eligibility;
use super::Load;
use super::cold::{ColdState, ColdTargets};
use super::outage::GroupName;
use super::pausing::PausingEngines;
use super::quotas::Quotas;
use super::unlisted::{Announcements, UnlistedTargets};
use crate::cold::{ColdChange, ColdPolicy, KnownEntries};
use crate::engine_update::{GroupUpdate, PauseNotice, Slowdowns};
use crate::evacuation::EvacuatedZones;
use crate::health::{Health, HealthSample};
use crate::ownership::{Membership, Preference};
use crate::regions::{RegionMap, RegionSet};
use crate::slot_sharing::SharedTarget;
use crate::target::{Incarnation, Target};

/// How long a report on the load of other entries at a target is considered current: about the
/// duration of a short generation.
const LOAD_REPORT_TTL_MS: u64 = 1_000;

/// Weight of the newest number of running requests in the moving average. With some ten arrivals
/// per second at an entry, the average follows the load within two seconds, and a few simultaneous
/// arrivals do not look like a busier service.
const RUNNING_WEIGHT: f64 = 0.05;

/// Events from one target that arrive within this time belong to the same forward pass.
const SAME_PASS_MS: u64 = 20;

/// A target with its load, its health and what it announced.
struct TargetState {
    target: Target,
    group: GroupName,
    running: u32,
    /// How many requests this entry may run at the target.
    quota: u32,
    /// Requests that were running in slots of this entry when its quota became smaller, and still
    /// run.
    in_lost_slots: u32,
    health: Health,
    /// Duration of its work as a multiple of the usual one; 1 or more.
    slowdown: f64,
    /// Requests of other entries at the target, and the time of that report.
    others: Option<(u32, MonoMs)>,
    preference: Preference,
    /// Whether its data centre is evacuated, so that it gets no new requests.
    is_evacuated: bool,
    /// The region of its data centre; empty if it has none.
    region: RegionSet,
    /// Time of the last event on any stream from the target.
    last_event_ms: MonoMs,
    /// The number of events that arrived together last, from as many streams.
    last_events: u32,
    /// Decides whether the target's rate limit, backoff or leaving withholds requests.
    gate: AdmissionGate,
    /// The target's cold period, and what this entry may send to it meanwhile.
    cold: ColdState,
}

impl TargetState {
    fn new(target: Target, announcements: Announcements) -> Self {
        let Announcements { gate, cold } = announcements;
        Self {
            target,
            group: None,
            running: 0,
            quota: 0,
            in_lost_slots: 0,
            health: Health::default(),
            slowdown: 1.0,
            others: None,
            preference: Preference {
                is_owned: true,
                penalty: 0.0,
            },
            is_evacuated: false,
            region: RegionSet::default(),
            last_event_ms: MonoMs(0),
            last_events: 0,
            gate,
            cold,
        }
    }

    /// Changes the quota. If quotas bind, the requests in slots that this entry loses are remembered.
    fn set_quota(&mut self, quota: u32, is_binding: bool) {
        if is_binding {
            let in_own_slots = (self.running - self.in_lost_slots).min(self.quota);
            self.in_lost_slots += in_own_slots.saturating_sub(quota);
            // A larger quota returns lost slots.
            let over_quota = self.running.saturating_sub(quota);
            self.in_lost_slots = self.in_lost_slots.min(over_quota);
        } else {
            self.in_lost_slots = 0;
        }
        self.quota = quota;
    }

    /// Frees a slot. Requests in lost slots are assumed to end first, so that the count of those in
    /// own slots is never too low.
    fn end_request(&mut self) {
        self.running = self.running.saturating_sub(1);
        self.in_lost_slots = self.in_lost_slots.saturating_sub(1);
    }

    fn take_announcements(&mut self) -> Announcements {
        Announcements {
            gate: std::mem::take(&mut self.gate),
            cold: std::mem::take(&mut self.cold),
        }
    }

    /// Cancels a placed request that is not sent.
    fn cancel_placement(&mut self) {
        self.gate.cancel_placement();
        self.cold.remove_placed();
    }

    /// Requests at the target: those of this entry, and those of other entries as far as known.
    ///
    /// A target of another entry whose load is unknown is assumed to have the average load. If it
    /// were assumed to be idle, it would attract requests from many entries as soon as each of
    /// their owned targets has one.
    fn load(&self, assumed: AssumedOtherLoad, now_ms: MonoMs) -> f64 {
        let reported = self
            .others
            .filter(|(_, at_ms)| now_ms.since(*at_ms) < LOAD_REPORT_TTL_MS);
        let others = match reported {
            Some((count, _)) => f64::from(count),
            None if self.preference.is_owned => assumed.at_owned,
            None => assumed.at_other,
        };
        f64::from(self.running) + others
    }
}

/// Assumed number of requests of other entries at a target that has not reported its load.
#[derive(Clone, Copy, Debug)]
struct AssumedOtherLoad {
    /// At an owned target, which other entries use as far as their arcs overlap.
    at_owned: f64,
    /// At any other target.
    at_other: f64,
}

/// The result of a search for a target.
struct SearchResult {
    target: Option<Target>,
    /// Index of the preferred target, if its admission gate withholds the request.
    withheld: Option<usize>,
}

/// The targets that may get requests.
pub(super) struct TargetTable {
    /// The entries that share the targets, as far as known.
    membership: Membership,
    /// Indices of the targets that may get requests in the order in which they are searched: owned
    /// targets first, then by penalty.
    order: Vec<usize>,
    /// The number of owned targets, which are the first of `order`.
    owned_count: usize,
    /// This entry's share of the total demand, from 0 to 1.
    share: f64,
    /// Width of the arc over which this entry spreads its requests, as a multiple of its share.
    overlap: f64,
    /// Mean number of slots per target.
    slots_per_target: f64,
    /// Moving average of `running`.
    average_running: f64,
    /// Whether any request was placed yet.
    has_placed: bool,
    /// Requests of this entry at all targets.
    running: u32,
    /// Engines whose ranks pause their groups, which get no new requests.
    pausing: PausingEngines,
    /// The group of each engine, as last reported by a leader.
    group_by_engine: IndexMap<SocketAddr, Arc<str>>,
    /// The evacuated data centres.
    evacuated: EvacuatedZones,
    /// The regions of the data centres.
    regions: RegionMap,
    /// The groups of the targets that may get requests.
    groups: IndexSet<GroupName>,
    /// The fixed duration of a target's work, in which no generation runs, expressed as a number of
    /// requests.
    base_load: f64,
    /// Requests that could not go to their preferred target, by reason.
    withheld_counts: IndexMap<WithheldReason, u32>,
    /// What the cold targets have in common.
    cold: ColdTargets,
    /// How many requests this entry may run at each target.
    pub(super) quotas: Quotas,
    /// Keyed by incarnation: what was learnt of a previous incarnation says nothing about a target
    /// that has restarted under the same id.
    states: IndexMap<Incarnation, TargetState>,
    /// What is known of targets that are not listed.
    unlisted: UnlistedTargets,
}

impl TargetTable {
    pub(super) fn new(membership: Membership, base_load: f64) -> Self {
        Self {
            membership,
            order: Vec::new(),
            owned_count: 0,
            share: 1.0,
            overlap: 1.0,
            slots_per_target: 0.0,
            average_running: 0.0,
            has_placed: false,
            running: 0,
            pausing: PausingEngines::default(),
            group_by_engine: IndexMap::new(),
            evacuated: EvacuatedZones::default(),
            regions: RegionMap::default(),
            groups: IndexSet::new(),
            base_load,
            withheld_counts: IndexMap::new(),
            cold: ColdTargets::default(),
            quotas: Quotas::default(),
            states: IndexMap::new(),
            unlisted: UnlistedTargets::default(),
        }
    }

    pub(super) fn contains(&self, incarnation: &Incarnation) -> bool {
        self.states.contains_key(incarnation)
    }

    /// The number of targets that may get requests.
    pub(super) fn len(&self) -> usize {
        self.order.len()
    }

    /// Replaces the targets that may get requests. Targets that stay keep their state, and what the
    /// others said of themselves is kept until they are listed again.
    pub(super) fn set_targets<'a>(&mut self, targets: impl Iterator<Item = &'a Target>) {
        let targets: Vec<&Target> = targets.collect();
        let mut before = std::mem::take(&mut self.states);
        let listed: IndexSet<&Incarnation> = targets.iter().map(|it| &it.incarnation).collect();
        before.retain(|incarnation, state| {
            let is_listed = listed.contains(incarnation);
            if !is_listed {
                let announcements = state.take_announcements();
                self.unlisted.keep(&state.target, announcements);
            }
            is_listed
        });
        for target in targets {
            let mut state = match before.swap_remove(&target.incarnation) {
                Some(state) => TargetState {
                    target: target.clone(),
                    ..state
                },
                None => self.new_state(target),
            };
            if let Some(report) = target.cold {
                state.cold.on_report(report);
            }
            self.states.insert(target.incarnation.clone(), state);
        }
        self.assign_regions();
        self.apply_evacuation();
    }

    fn new_state(&mut self, target: &Target) -> TargetState {
        let mut announcements = self.unlisted.take(target);
        self.cold
            .set_share(&mut announcements.cold, &target.incarnation);
        TargetState::new(target.clone(), announcements)
    }

    /// Replaces the entries that share the targets.
    pub(super) fn set_membership(&mut self, membership: Membership) {
        self.membership = membership;
        self.update_preferences();
    }

    /// Computes which targets this entry owns, and the penalties of the others.
    fn update_preferences(&mut self) {
        let open = self.open_states();
        let targets: Vec<&Target> = open.map(|state| &state.target).collect();
        let preferences = self.membership.preferences(&targets, self.average_running);
        let open_states = self.states.values_mut().filter(|state| !state.is_evacuated);
        for (state, preference) in open_states.zip(&preferences.targets) {
            state.preference = *preference;
        }
        let states = &self.states;
        self.order = (0..states.len())
            .filter(|index| !states[*index].is_evacuated)
            .collect();
        let key = |index: &usize| {
            let preference = states[*index].preference;
            (!preference.is_owned, preference.penalty)
        };
        self.order.sort_by(|a, b| {
            let ((a_other, a_penalty), (b_other, b_penalty)) = (key(a), key(b));
            a_other.cmp(&b_other).then(a_penalty.total_cmp(&b_penalty))
        });
        self.owned_count = preferences.targets.iter().filter(|it| it.is_owned).count();
        self.share = preferences.share;
        self.overlap = preferences.overlap;
        #[allow(clippy::cast_precision_loss)] // ten thousand at most
        let count = self.len().max(1) as f64;
        self.slots_per_target = f64::from(self.total_slots()) / count;
    }

    /// Sets the average number of running requests, unless a request was placed already.
    pub(super) fn expect_running(&mut self, running: f64) {
        if !self.has_placed {
            self.average_running = running;
            self.update_preferences();
        }
    }

    fn record_running(&mut self) {
        self.has_placed = true;
        let running = f64::from(self.running);
        self.average_running += RUNNING_WEIGHT * (running - self.average_running);
    }

    /// Average load of a target, estimated from this entry's own load: arcs are as wide as their
    /// entries' demands, so the targets of other entries have about the same load.
    fn average_load(&self) -> f64 {
        #[allow(clippy::cast_precision_loss)] // ten thousand at most
        let owned_targets = self.share * self.len() as f64;
        (self.average_running / owned_targets.max(1.0)).min(self.slots_per_target)
    }

    /// Sets the slowdowns by target address; all other targets have a slowdown of 1.
    pub(super) fn set_slowdowns(&mut self, slowdowns: &Slowdowns) {
        for state in self.states.values_mut() {
            let target = &state.target;
            let slowdown = slowdowns.get(&target.address);
            let applicable = slowdown.filter(|slowdown| slowdown.applies_to(&target.incarnation));
            state.slowdown = applicable.map_or(1.0, |slowdown| slowdown.factor).max(1.0);
        }
    }

    /// Applies a leader's notice that the rank of an engine pauses its group.
    pub(super) fn on_pause_notice(&mut self, notice: PauseNotice, now_ms: MonoMs) {
        self.pausing.apply(notice, now_ms);
    }

    /// Sets which targets form which groups.
    pub(super) fn set_groups(&mut self, groups: &[GroupUpdate]) {
        let engines = groups.iter().flat_map(|group| {
            let engines = group.engines.iter();
            engines.map(move |engine| (*engine, Arc::clone(&group.name)))
        });
        let reported: IndexMap<_, _> = engines.collect();
        // A VM that was frozen is listed again before the leader has polled its engine.
        self.group_by_engine
            .retain(|_, name| groups.iter().any(|group| group.name == *name));
        self.group_by_engine.extend(reported);
        self.assign_groups();
    }

    /// Assigns the targets to the groups that the leader last reported.
    fn assign_groups(&mut self) {
        for state in self.states.values_mut() {
            state.group = self.group_by_engine.get(&state.target.address).cloned();
        }
        let groups = self.open_states().map(|state| state.group.clone());
        self.groups = groups.collect();
    }

    /// The groups of the targets that may get requests.
    pub(super) fn groups(&self) -> impl Iterator<Item = &GroupName> {
        self.groups.iter()
    }

    /// Requests of this entry at the group's targets.
    pub(super) fn running_in(&self, group: &GroupName) -> u32 {
        let in_group = self.states.values().filter(|state| state.group == *group);
        in_group.map(|state| state.running).sum()
    }

    /// The group of a target.
    pub(super) fn group_of(&self, incarnation: &Incarnation) -> GroupName {
        self.states
            .get(incarnation)
            .and_then(|state| state.group.clone())
    }

    /// The number of targets that may get requests in the groups for which `includes` holds, and the
    /// sum of their slots. A target may register an absurd slot count, so the sum saturates.
    pub(super) fn capacity_of(&self, includes: impl Fn(&GroupName) -> bool) -> (usize, u32) {
        let in_groups = self.open_states().filter(|state| includes(&state.group));
        let slots = in_groups.map(|state| state.target.slots);
        slots.fold((0, 0_u32), |(count, sum), slots| {
            (count + 1, sum.saturating_add(slots))
        })
    }

    /// The targets in the groups for which `includes` holds whose slots the entries share.
    pub(super) fn shared_targets(
        &self,
        includes: impl Fn(&GroupName) -> bool,
    ) -> Vec<SharedTarget> {
        let staying = self.open_states().filter(|state| !state.gate.is_leaving());
        let in_groups = staying.filter(|state| includes(&state.group));
        let targets = in_groups.map(|state| SharedTarget {
            data_centre: Arc::clone(&state.target.data_centre),
            id: Arc::clone(state.target.id()),
            slots: state.target.slots,
        });
        targets.collect()
    }

    /// Assigns the quotas to the targets.
    pub(super) fn assign_quotas(&mut self) {
        let is_binding = self.quotas.are_binding();
        for state in self.states.values_mut() {
            state.set_quota(self.quotas.at(state.target.id()), is_binding);
        }
    }

    /// The sum of this entry's quotas at the targets that it knows.
    pub(super) fn quota_sum(&self) -> u32 {
        let quotas = self.open_states().map(|state| state.quota);
        quotas.fold(0, u32::saturating_add)
    }

    /// This entry's requests at each target beyond its quota there, while quotas bind. Their slots
    /// are not free for other entries.
    pub(super) fn over_quota(&self) -> impl Iterator<Item = (&Arc<str>, u32)> {
        let states = self.open_states().filter(|_| self.quotas.are_binding());
        let excesses = states.map(|state| {
            let excess = state.running.saturating_sub(state.quota);
            (state.target.id(), excess)
        });
        excesses.filter(|(_, excess)| *excess > 0)
    }

    /// Requests in slots that this entry has lost while quotas bind, and which their new owners do
    /// not use yet.
    pub(super) fn in_lost_slots(&self) -> usize {
        let counts = self.open_states().map(|state| state.in_lost_slots as usize);
        counts.sum()
    }

    /// The slowdown of the slowest target.
    pub(super) fn max_slowdown(&self) -> f64 {
        let slowdowns = self.states.values().map(|state| state.slowdown);
        slowdowns.fold(1.0, f64::max)
    }

    /// The sum of the slots of all targets that may get requests. A target may register an absurd slot count, so the sum
    /// saturates.
    pub(super) fn total_slots(&self) -> u32 {
        let slots = self.open_states().map(|state| state.target.slots);
        slots.fold(0, u32::saturating_add)
    }

    /// This entry's initial share of the capacity, from 0 to 1: all entries have equal shares. In
    /// the first seconds, when the share matters most, demands are too uncertain, and the
    /// concurrency limit adapts by itself afterwards.
    pub(super) fn equal_share(&self) -> f64 {
        #[allow(clippy::cast_precision_loss)] // a thousand at most
        let entries = self.membership.len().max(1) as f64;
        1.0 / entries
    }

    pub(super) fn on_stream_event(&mut self, incarnation: &Incarnation, now_ms: MonoMs) {
        if let Some(state) = self.states.get_mut(incarnation) {
            let is_same_pass = now_ms.since(state.last_event_ms) < SAME_PASS_MS;
            let earlier = if is_same_pass { state.last_events } else { 0 };
            state.last_events = earlier.saturating_add(1);
            state.last_event_ms = now_ms;
        }
    }

    /// Time of the last forward pass that brought events, if it brought them to several streams.
    pub(super) fn last_pass_of_several_ms(&self, incarnation: &Incarnation) -> Option<MonoMs> {
        let state = self.states.get(incarnation)?;
        (state.last_events > 1).then_some(state.last_event_ms)
    }

    /// Time since the last event on any stream from the target.
    pub(super) fn silence_ms(&self, incarnation: &Incarnation, now_ms: MonoMs) -> u64 {
        let state = self.states.get(incarnation);
        state.map_or(u64::MAX, |state| now_ms.since(state.last_event_ms))
    }

    /// Records the load that a target reported in a response to this entry.
    pub(super) fn on_load(&mut self, incarnation: &Incarnation, load: Load, now_ms: MonoMs) {
        if let Some(state) = self.states.get_mut(incarnation) {
            let others = (load.running + load.waiting).saturating_sub(state.running);
            state.others = Some((others, now_ms));
        }
    }

    /// Applies the backpressure signal of a response.
    pub(super) fn on_signal(
        &mut self,
        incarnation: &Incarnation,
        signal: BackpressureSignal,
        random: u64,
        now_ms: MonoMs,
    ) -> SignalUpdate {
        let gate = match self.states.get_mut(incarnation) {
            Some(state) => &mut state.gate,
            None if signal == BackpressureSignal::default()
                && !self.unlisted.contains(incarnation) =>
            {
                return SignalUpdate::default();
            }
            None => self.unlisted.gate(incarnation),
        };
        let backoff = signal.backoff_ms.filter(|backoff_ms| *backoff_ms > 0);
        let backoff_ms =
            backoff.filter(|backoff_ms| gate.start_backoff(*backoff_ms, random, now_ms) == 0);
        SignalUpdate {
            limit: gate.on_limit_signal(signal.limit, now_ms),
            backoff_ms,
            is_newly_leaving: signal.is_leaving && gate.mark_leaving(),
        }
    }

    /// Records that a target accepted a request; returns whether that ended the trial after a
    /// backoff.
    pub(super) fn on_accepted(&mut self, incarnation: &Incarnation, now_ms: MonoMs) -> bool {
        let state = self.states.get_mut(incarnation);
        state.is_some_and(|state| state.gate.on_accepted(now_ms))
    }

    /// Remaining time of the backoff that a target asked for.
    pub(super) fn backoff_left_ms(&self, incarnation: &Incarnation, now_ms: MonoMs) -> u64 {
        let state = self.states.get(incarnation);
        state.map_or(0, |state| state.gate.backoff_left_ms(now_ms))
    }

    /// The rate limit that a target announced.
    pub(super) fn rate_limit(&self, incarnation: &Incarnation) -> Option<RequestRate> {
        self.states.get(incarnation)?.gate.limit()
    }

    /// Applies a peer's report on a target's rate limit.
    pub(super) fn on_limit_report(
        &mut self,
        incarnation: &Incarnation,
        limit: Option<RequestRate>,
        reported_ms: MonoMs,
    ) -> Option<LimitChange> {
        let state = self.states.get_mut(incarnation)?;
        state.gate.on_peer_report(limit, reported_ms)
    }

    /// Adds permits that were granted under a target's rate limit.
    pub(super) fn on_permits(&mut self, incarnation: &Incarnation, count: u32, until_ms: MonoMs) {
        if let Some(state) = self.states.get_mut(incarnation) {
            state.gate.add_permits(count, until_ms);
        }
    }

    /// Requests that could not go to their preferred target since the last call, by reason.
    pub(super) fn take_withheld_counts(&mut self) -> IndexMap<WithheldReason, u32> {
        std::mem::take(&mut self.withheld_counts)
    }

    /// The rate-limit states that peers need: those of targets that have a rate limit, or had one
    /// recently.
    pub(super) fn limit_states(&self, now_ms: MonoMs) -> Vec<(Incarnation, LimitState)> {
        let states = self.states.iter().filter_map(|(incarnation, state)| {
            let limit_state = state.gate.state(now_ms)?;
            Some((incarnation.clone(), limit_state))
        });
        states.collect()
    }

    /// Like [`Self::limit_states`], but also resets the counts of requested permits.
    pub(super) fn take_limit_states(&mut self, now_ms: MonoMs) -> Vec<(Incarnation, LimitState)> {
        let states = self.states.iter_mut().filter_map(|(incarnation, state)| {
            let limit_state = state.gate.take_state(now_ms)?;
            Some((incarnation.clone(), limit_state))
        });
        states.collect()
    }

    /// Checks that a placed request may still be sent to its target.
    ///
    /// The request is also withheld if the target is no longer listed.
    pub(super) fn admit(
        &mut self,
        incarnation: &Incarnation,
        now_ms: MonoMs,
    ) -> Result<(), WithheldReason> {
        match self.states.get_mut(incarnation) {
            Some(state) if self.pausing.contains(state.target.address, now_ms) => {
                state.cancel_placement();
                Err(WithheldReason::Pausing)
            }
            Some(state) if state.is_evacuated => {
                state.cancel_placement();
                *self
                    .withheld_counts
                    .entry(WithheldReason::Evacuated)
                    .or_default() += 1;
                Err(WithheldReason::Evacuated)
            }
            Some(state) if !state.cold.may_send(now_ms) => {
                state.cancel_placement();
                Err(WithheldReason::Cold)
            }
            Some(state) => {
                state.cold.remove_placed();
                state.gate.admit(now_ms)?;
                state.cold.record_sent(now_ms);
                Ok(())
            }
            None => Err(WithheldReason::NotListed),
        }
    }

    /// Cancels a placed request that was not sent.
    pub(super) fn cancel_unsent(&mut self, incarnation: &Incarnation) {
        if let Some(state) = self.states.get_mut(incarnation) {
            state.cancel_placement();
        }
    }

    /// Sets how cold targets are treated; `None` if the rate of their requests is not bounded.
    pub(super) fn set_cold_policy(&mut self, policy: Option<ColdPolicy>, entries: &KnownEntries) {
        if self.cold.set_policy(policy, entries) {
            for (incarnation, state) in &mut self.states {
                self.cold.set_share(&mut state.cold, incarnation);
            }
        }
    }

    /// Applies the remaining cold period in a target's health response.
    pub(super) fn on_health_response(
        &mut self,
        incarnation: &Incarnation,
        cold_left_ms: u64,
        now_ms: MonoMs,
    ) {
        if let Some(state) = self.states.get_mut(incarnation) {
            state.cold.on_health_response(cold_left_ms, now_ms);
        }
    }

    /// Notes that the targets of a data centre may have become cold while it was evacuated.
    pub(super) fn mark_data_centre_cold(&mut self, data_centre: &str, now_ms: MonoMs) {
        let Some(start_ms) = self.cold.start_ms() else {
            return;
        };
        let states = self.states.values_mut();
        for state in states.filter(|state| &*state.target.data_centre == data_centre) {
            state.cold.on_evacuation_end(start_ms, now_ms);
        }
    }

    /// The number of cold targets.
    pub(super) fn cold_target_count(&self, now_ms: MonoMs) -> usize {
        let states = self.states.values();
        states.filter(|state| state.cold.is_cold(now_ms)).count()
    }

    /// The targets that have become cold or warm since the last call.
    pub(super) fn take_cold_changes(&mut self, now_ms: MonoMs) -> Vec<ColdChange> {
        self.unlisted.forget_expired(now_ms);
        let changes = self.states.iter_mut().filter_map(|(incarnation, state)| {
            let (source, left_ms, share) = state.cold.take_change(now_ms)?;
            Some(ColdChange {
                incarnation: incarnation.clone(),
                source,
                left_ms,
                share,
            })
        });
        changes.collect()
    }

    /// Time until a target accepts a request again, as announced by the targets; `None` if one
    /// accepts requests now, or all are leaving.
    pub(super) fn until_accepting_ms(&self, now_ms: MonoMs) -> Option<u64> {
        if self.gates().any(|gate| gate.can_place(now_ms)) {
            return None;
        }
        let hold_offs = self
            .staying_gates()
            .map(|gate| gate.hold_off_left_ms(now_ms));
        let min_hold_off_ms = hold_offs.filter(|left_ms| *left_ms > 0).min();
        [min_hold_off_ms, self.permit_turn_ms(now_ms)]
            .into_iter()
            .flatten()
            .min()
    }

    /// The shortest remaining backoff of the targets that are not leaving; 0 if one of them takes
    /// requests, or there is none.
    pub(super) fn min_backoff_left_ms(&self, now_ms: MonoMs) -> u64 {
        let backoffs = self
            .staying_gates()
            .map(|gate| gate.backoff_left_ms(now_ms));
        backoffs.min().unwrap_or(0)
    }

    fn gates(&self) -> impl Iterator<Item = &AdmissionGate> {
        self.open_states().map(|state| &state.gate)
    }

    fn staying_gates(&self) -> impl Iterator<Item = &AdmissionGate> {
        self.gates().filter(|gate| !gate.is_leaving())
    }

    /// Expected time until this entry gets a permit at one of the targets that only their rate
    /// limits keep from accepting requests: the permits of all these targets are taken to go to the
    /// entries in turn. `None` if there is no such target.
    fn permit_turn_ms(&self, now_ms: MonoMs) -> Option<u64> {
        let unblocked = self
            .staying_gates()
            .filter(|gate| gate.hold_off_left_ms(now_ms) == 0);
        let limits = unblocked
            .filter_map(AdmissionGate::limit)
            .map(RequestRate::per_s);
        let per_s: f64 = limits.sum();
        #[allow(clippy::cast_precision_loss)] // a thousand entries at most
        let entries = self.membership.len() as f64;
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // saturates
        let permit_turn_ms = (entries * 1_000.0 / per_s) as u64;
        (per_s > 0.0).then_some(permit_turn_ms)
    }

    /// The number of targets that announced a rate limit.
    pub(super) fn limited_target_count(&self) -> usize {
        self.gates().filter(|gate| gate.limit().is_some()).count()
    }

    /// Occupies a slot at the least loaded target. `random` breaks ties, so that entries with the
    /// same information do not all choose the same target. Only a request that `is_new` is counted
    /// as withheld; a queued one was counted when it was submitted.
    pub(super) fn occupy(
        &mut self,
        eligibility: Eligibility<'_>,
        random: u64,
        now_ms: MonoMs,
        is_new: bool,
        may_send: impl Fn(&GroupName) -> bool,
    ) -> Option<Target> {
        let choice = self.choose(eligibility, random, now_ms, may_send);
        let withheld = choice.withheld.filter(|_| is_new);
        if let Some((_, state)) = withheld.and_then(|index| self.states.get_index_mut(index)) {
            let reason = if state.gate.can_place(now_ms) {
                WithheldReason::Cold
            } else {
                state.gate.withhold(now_ms)
            };
            *self.withheld_counts.entry(reason).or_default() += 1;
        }
        let target = choice.target?;
        if let Some(state) = self.states.get_mut(&target.incarnation) {
            state.running += 1;
            state.gate.place();
            state.cold.place();
        }
        self.running += 1;
        self.record_running();
        Some(target)
    }

    /// Frees the slot of a request that ended; `sample` is what its end shows of the target's
    /// health, if anything.
    pub(super) fn release(
        &mut self,
        incarnation: &Incarnation,
        sample: Option<HealthSample>,
        now_ms: MonoMs,
    ) {
        self.running = self.running.saturating_sub(1);
        let Some(state) = self.states.get_mut(incarnation) else {
            return;
        };
        state.end_request();
        if let Some(sample) = sample {
            state.health.record(sample, now_ms);
        }
    }

    /// Records what a request that still runs shows of the target's health.
    pub(super) fn record_health(
        &mut self,
        incarnation: &Incarnation,
        sample: HealthSample,
        now_ms: MonoMs,
    ) {
        if let Some(state) = self.states.get_mut(incarnation) {
            state.health.record(sample, now_ms);
        }
    }

    /// While quotas bind, chooses among the targets where this entry has a free slot of its own. If
    /// all of these are unavailable, slots of other targets may be used, up to the sum of the quotas.
    fn choose(
        &self,
        eligibility: Eligibility<'_>,
        random: u64,
        now_ms: MonoMs,
        may_send: impl Fn(&GroupName) -> bool,
    ) -> SearchResult {
        if !self.quotas.are_binding() {
            return self.choose_among(eligibility, random, now_ms, may_send, |_| true);
        }
        let has_quota = |state: &TargetState| state.running < state.quota;
        let within_quotas = self.choose_among(eligibility, random, now_ms, &may_send, has_quota);
        if within_quotas.target.is_some() || self.running >= self.quota_sum() {
            return within_quotas;
        }
        self.choose_among(eligibility, random, now_ms, may_send, |_| true)
    }

    fn choose_among(
        &self,
        eligibility: Eligibility<'_>,
        random: u64,
        now_ms: MonoMs,
        may_send: impl Fn(&GroupName) -> bool,
        has_quota: impl Fn(&TargetState) -> bool,
    ) -> SearchResult {
        let healthy = self.search(eligibility, random, now_ms, |state| {
            let is_busy_trial = state.health.is_on_trial() && state.running > 0;
            let is_healthy = !state.health.is_ejected(now_ms) && !is_busy_trial;
            is_healthy && may_send(&state.group) && has_quota(state)
        });
        let healthy_exists = self.states.values().any(|state| {
            let is_healthy = !state.health.is_ejected(now_ms) && !state.is_evacuated;
            is_healthy && eligibility.allows(state) && may_send(&state.group)
        });
        match healthy.target {
            None if !healthy_exists => self.search(eligibility, random, now_ms, |state| {
                may_send(&state.group) && has_quota(state)
            }),
            _ => healthy,
        }
    }

    fn search(
        &self,
        eligibility: Eligibility<'_>,
        random: u64,
        now_ms: MonoMs,
        accepts: impl Fn(&TargetState) -> bool,
    ) -> SearchResult {
        let average = self.average_load();
        let assumed = AssumedOtherLoad {
            at_owned: average * (1.0 - 1.0 / self.overlap),
            at_other: average,
        };
        let mut best: Option<(f64, &TargetState)> = None;
        let mut withheld: Option<(f64, usize)> = None;
        for index in self.search_order(random) {
            let Some((_, state)) = self.states.get_index(index) else {
                break;
            };
            // A score is at least that of one request at a target without slowdown, and the
            // penalties of the remaining targets are no lower than this one.
            let min_score = self.base_load + 1.0 + state.preference.penalty;
            if !state.preference.is_owned && best.is_some_and(|(score, _)| score <= min_score) {
                break;
            }
            let is_full = state.running >= state.target.slots;
            let is_pausing = self.pausing.contains(state.target.address, now_ms);
            let is_unavailable = is_full || is_pausing;
            if is_unavailable || !eligibility.allows(state) || !accepts(state) {
                continue;
            }
            // The fixed part of a slow rank's work alone delays every forward pass of its group.
            let work = self.base_load + state.load(assumed, now_ms) + 1.0;
            let score =
                work * state.slowdown + state.preference.penalty + state.cold.penalty(now_ms);
            match state.gate.can_place(now_ms) && state.cold.can_place(now_ms) {
                true if best.is_none_or(|(min, _)| score < min) => best = Some((score, state)),
                false if withheld.is_none_or(|(min, _)| score < min) => {
                    withheld = Some((score, index));
                }
                _ => {}
            }
        }
        let is_no_worse = |score: f64| best.is_none_or(|(min, _)| score <= min);
        SearchResult {
            target: best.map(|(_, state)| state.target.clone()),
            withheld: withheld
                .filter(|(score, _)| is_no_worse(*score))
                .map(|(_, index)| index),
        }
    }

    /// Indices of the targets: the owned ones, beginning at a random one, then the others.
    fn search_order(&self, random: u64) -> impl Iterator<Item = usize> {
        let (owned, others) = self.order.split_at(self.owned_count);
        #[allow(clippy::cast_possible_truncation)] // reduced below the count
        let start = (random % owned.len().max(1) as u64) as usize;
        let (before, from) = owned.split_at(start);
        from.iter().chain(before).chain(others).copied()
    }
}
