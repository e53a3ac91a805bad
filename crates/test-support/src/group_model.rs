//! A simulation of a group of engines under load, in virtual time.
//!
//! All ranks run each forward pass together. Its duration follows the published formula: steps per
//! pass, running generations on the fullest rank, and the skew of the expert map. Ranks queue
//! requests beyond their slots. Callers arrive at random, disconnect after two seconds without an
//! event, and retry once if they are refused. Several entries decide independently, each with the
//! real [`Dispatcher`]. They may exchange their membership and demand, in which case a restart is
//! known one second late.
//!
//! Not modelled: prefill beyond one pass, additional sends of a request, rejections by targets,
//! lost responses and the latency between data centres. The results therefore compare policies;
//! they are not figures of a real group.

use std::collections::VecDeque;
use std::iter::Sum;
use std::sync::Arc;

use berylhook_core::time::MonoMs;
use berylhook_traffic::concurrency::FirstEvent;
use berylhook_traffic::configuration::EngineModel;
use berylhook_traffic::dispatch::{Dispatcher, Load, PlacementRequest, SubmitOutcome, Ticket};
use berylhook_traffic::ownership::{DemandMeter, Member, Membership};
use berylhook_traffic::target::{Incarnation, Phase, Target};
use indexmap::IndexMap;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Fraction of a pass that is spent in experts. It grows with the skew.
const EXPERT_FRACTION: f64 = 0.85;

/// Callers disconnect after this time without an event.
const CALLER_TIMEOUT_MS: u64 = 2_000;

/// Fraction of the objective for the first event that a request may wait at an entry.
const WAIT_LIMIT_FRACTION: f64 = 0.4;

/// The parameters of a simulation.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The engine model that operators configure.
    pub engine: EngineModel,
    /// Number of ranks in the group.
    pub ranks: usize,
    /// Number of entries that send requests to the group.
    pub entries: usize,
    /// Number of data centres, to which ranks and entries are assigned round-robin.
    pub data_centres: usize,
    /// Traffic of an entry in a virtual second, as a fraction of the busiest entry's traffic; 0
    /// while the entry restarts and callers connect to other entries.
    pub entry_weight: fn(usize, u64) -> f64,
    /// Whether entries exchange their membership and demand.
    pub is_membership_shared: bool,
    /// Requests per second over all entries, by virtual second.
    pub arrivals_per_s: fn(u64) -> f64,
    /// Skew of the expert map, by virtual millisecond.
    pub skew: fn(u64) -> f64,
    /// Whether engines report their load with their responses.
    pub reports_load: bool,
    /// Objective for the time to the first event.
    pub objective_ms: u64,
    /// Objective for the gap between two events.
    pub pause_objective_ms: f64,
    /// Virtual duration of the simulation.
    pub duration_ms: u64,
    /// Seed of the random number generator.
    pub seed: u64,
}

/// Number of requests by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OutcomeCounts {
    /// Served with the first event and all gaps within the objectives.
    pub within_objective: u64,
    /// Served, but with an objective missed.
    pub late: u64,
    /// Refused for the second time.
    pub refused: u64,
    /// Abandoned by their callers.
    pub abandoned: u64,
    /// Sent to a rank without a free slot, whatever the outcome.
    pub queued: u64,
    /// Sent to another data centre, whatever the outcome.
    pub cross_data_centre: u64,
}

impl OutcomeCounts {
    /// Number of requests that have ended.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.within_objective + self.late + self.refused + self.abandoned
    }

    /// Fraction of the requests that were served within the objectives.
    #[must_use]
    #[allow(clippy::cast_precision_loss)] // counts are in the thousands
    pub fn within_objective_fraction(&self) -> f64 {
        self.within_objective as f64 / self.total().max(1) as f64
    }
}

impl Sum for OutcomeCounts {
    fn sum<I: Iterator<Item = Self>>(counts: I) -> Self {
        counts.fold(Self::default(), |sum, run| Self {
            within_objective: sum.within_objective + run.within_objective,
            late: sum.late + run.late,
            refused: sum.refused + run.refused,
            abandoned: sum.abandoned + run.abandoned,
            queued: sum.queued + run.queued,
            cross_data_centre: sum.cross_data_centre + run.cross_data_centre,
        })
    }
}

#[derive(Clone, Copy, Debug)]
struct Request {
    entry: usize,
    arrived_ms: u64,
    is_retry: bool,
    events_left: u32,
}

/// A request that was sent to a rank.
struct Stream {
    request: Request,
    sent_ms: u64,
    last_event_ms: Option<u64>,
    is_late: bool,
}

#[derive(Default)]
struct Rank {
    running: Vec<Stream>,
    queue: VecDeque<Stream>,
}

impl Rank {
    fn load(&self) -> Load {
        let count = |length: usize| u32::try_from(length).unwrap_or(u32::MAX);
        Load {
            running: count(self.running.len()),
            waiting: count(self.queue.len()),
        }
    }
}

struct Entry {
    dispatcher: Dispatcher,
    arrival_count: u64,
    demand_meter: DemandMeter,
    demand_per_s: Option<f64>,
    /// Waiting requests, each with the time at which it began to wait.
    waiting: IndexMap<Ticket, (u64, Request)>,
}

struct Simulation<'a> {
    scenario: &'a Scenario,
    rng: StdRng,
    targets: Vec<Target>,
    ranks: Vec<Rank>,
    entries: Vec<Entry>,
    /// Refused requests, each with the time of its retry.
    retries: Vec<(u64, Request)>,
    last_ticket: u64,
    outcomes: OutcomeCounts,
}

/// Runs a simulation to its end.
#[must_use]
pub fn simulate(scenario: &Scenario) -> OutcomeCounts {
    let targets: Vec<Target> = (0..scenario.ranks)
        .map(|rank| target(scenario, rank))
        .collect();
    let new_entry = |index| {
        let members = (0..scenario.entries).map(|other| member(scenario, other, None));
        let peers = members.filter(|_| scenario.is_membership_shared);
        let membership = Membership::new(member(scenario, index, None), peers);
        let mut dispatcher = Dispatcher::new(membership, Some(&scenario.engine));
        dispatcher.set_targets(targets.iter());
        Entry {
            dispatcher,
            arrival_count: 0,
            demand_meter: DemandMeter::default(),
            demand_per_s: None,
            waiting: IndexMap::new(),
        }
    };
    let mut simulation = Simulation {
        scenario,
        rng: StdRng::seed_from_u64(scenario.seed),
        ranks: (0..scenario.ranks).map(|_| Rank::default()).collect(),
        entries: (0..scenario.entries).map(new_entry).collect(),
        targets,
        retries: Vec::new(),
        last_ticket: 0,
        outcomes: OutcomeCounts::default(),
    };
    simulation.run();
    simulation.outcomes
}

/// Runs a simulation with each seed and sums the outcomes.
#[must_use]
pub fn simulate_all(seeds: &[u64], scenario: impl Fn(u64) -> Scenario) -> OutcomeCounts {
    seeds.iter().map(|seed| simulate(&scenario(*seed))).sum()
}

fn data_centre(scenario: &Scenario, index: usize) -> Arc<str> {
    format!("dc-{}", index % scenario.data_centres).into()
}

fn member(scenario: &Scenario, entry: usize, demand_per_s: Option<f64>) -> Member {
    let port = u16::try_from(entry + 1).unwrap_or(u16::MAX);
    Member {
        address: ([10, 0, 0, 2], port).into(),
        data_centre: data_centre(scenario, entry),
        demand_per_s,
    }
}

fn target(scenario: &Scenario, rank: usize) -> Target {
    Target {
        incarnation: Incarnation {
            id: format!("rank-{rank}").into(),
            started_unix_ms: None,
        },
        service: "llm".into(),
        address: ([10, 0, 0, 1], u16::try_from(rank + 1).unwrap_or(u16::MAX)).into(),
        data_centre: data_centre(scenario, rank),
        slots: scenario.engine.slots,
        phase: Phase::Ready,
        listed_revision: 1,
        cold: None,
    }
}

impl Simulation<'_> {
    fn run(&mut self) {
        let mut pass_end_ms = 0;
        for now_ms in 0..self.scenario.duration_ms {
            if now_ms % 1_000 == 0 {
                self.exchange_demand(now_ms / 1_000);
            }
            self.generate_arrivals(now_ms);
            self.expire_waiting(now_ms);
            if now_ms >= pass_end_ms {
                self.finish_pass(now_ms);
                pass_end_ms = now_ms + self.pass_ms(now_ms);
            }
        }
    }

    /// Entries measure their demand and exchange it. A restart is known one second late.
    fn exchange_demand(&mut self, second: u64) {
        for entry in &mut self.entries {
            entry.demand_per_s = entry.demand_meter.observe(entry.arrival_count);
        }
        if !self.scenario.is_membership_shared {
            return;
        }
        let was_running =
            |entry: &usize| (self.scenario.entry_weight)(*entry, second.max(1) - 1) > 0.0;
        let running: Vec<Member> = (0..self.entries.len())
            .filter(was_running)
            .map(|entry| member(self.scenario, entry, self.entries[entry].demand_per_s))
            .collect();
        for index in 0..self.entries.len() {
            let own = member(self.scenario, index, self.entries[index].demand_per_s);
            let membership = Membership::new(own, running.iter().cloned());
            self.entries[index].dispatcher.set_membership(membership);
        }
    }

    /// Picks the entry that a caller connects to, by the weights of the entries.
    fn pick_entry(&mut self, now_ms: u64) -> usize {
        loop {
            let entry = self.rng.random_range(0..self.entries.len());
            let weight = (self.scenario.entry_weight)(entry, now_ms / 1_000);
            if weight >= 1.0 || self.rng.random::<f64>() < weight {
                return entry;
            }
        }
    }

    /// Duration of the pass that begins now.
    fn pass_ms(&self, now_ms: u64) -> u64 {
        let engine = &self.scenario.engine;
        let max_running = self.ranks.iter().map(|rank| rank.running.len()).max();
        #[allow(clippy::cast_precision_loss)] // slots of one rank
        let generations = max_running.unwrap_or(0) as f64;
        let step_ms = engine.step_ms + engine.per_sequence_ms * generations;
        let skew = (self.scenario.skew)(now_ms);
        let skew_factor = 1.0 - EXPERT_FRACTION + EXPERT_FRACTION * skew;
        let pass_ms = step_ms * f64::from(engine.steps_per_pass) * skew_factor;
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // milliseconds
        let rounded_ms = pass_ms.round().max(1.0) as u64;
        rounded_ms
    }

    fn generate_arrivals(&mut self, now_ms: u64) {
        let arrivals_per_ms = (self.scenario.arrivals_per_s)(now_ms / 1_000) / 1_000.0;
        if self.rng.random::<f64>() < arrivals_per_ms {
            let request = Request {
                entry: self.pick_entry(now_ms),
                arrived_ms: now_ms,
                is_retry: false,
                events_left: self.response_events(),
            };
            self.submit(request, now_ms);
        }
        let due_retries: Vec<(u64, Request)> = self
            .retries
            .extract_if(.., |retry| retry.0 <= now_ms)
            .collect();
        for (_, request) in due_retries {
            let entry = self.pick_entry(now_ms);
            self.submit(Request { entry, ..request }, now_ms);
        }
    }

    /// Number of events of one response: between one third and five thirds of the typical number.
    fn response_events(&mut self) -> u32 {
        let engine = &self.scenario.engine;
        let typical_events = engine.typical_response_tokens / f64::from(engine.steps_per_pass);
        let events = typical_events * self.rng.random_range(0.33..1.67);
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // events of one response
        let events = events.max(1.0) as u32;
        events
    }

    fn submit(&mut self, request: Request, now_ms: u64) {
        self.last_ticket += 1;
        let ticket = Ticket(self.last_ticket);
        let wait_limit_ms = self.wait_limit_ms();
        let placement = PlacementRequest {
            urgency: 1,
            wait_limit_ms,
            late_wait_limit_ms: wait_limit_ms,
            on_time_until_ms: MonoMs(now_ms + wait_limit_ms),
            allowed_regions: None,
        };
        let random = self.rng.random();
        let entry = &mut self.entries[request.entry];
        entry.arrival_count += 1;
        match entry
            .dispatcher
            .submit(ticket, placement, random, MonoMs(now_ms))
        {
            SubmitOutcome::Placed(target) => self.send(&target, request, now_ms),
            SubmitOutcome::Refused => self.refuse(request, now_ms),
            SubmitOutcome::Queued => {
                entry.waiting.insert(ticket, (now_ms, request));
            }
        }
    }

    #[allow(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss
    )]
    fn wait_limit_ms(&self) -> u64 {
        (self.scenario.objective_ms as f64 * WAIT_LIMIT_FRACTION) as u64
    }

    fn send(&mut self, target: &Target, request: Request, now_ms: u64) {
        let rank = usize::from(target.address.port() - 1);
        let load = self.ranks[rank].load();
        self.outcomes.queued += u64::from(load.running + load.waiting >= target.slots);
        let own_data_centre = data_centre(self.scenario, request.entry);
        self.outcomes.cross_data_centre += u64::from(target.data_centre != own_data_centre);
        self.ranks[rank].queue.push_back(Stream {
            request,
            sent_ms: now_ms,
            last_event_ms: None,
            is_late: false,
        });
    }

    /// Refuses a request. Its caller retries it once, at a random time within the next two seconds.
    fn refuse(&mut self, request: Request, now_ms: u64) {
        if request.is_retry {
            self.outcomes.refused += 1;
            return;
        }
        let delay_ms = self.rng.random_range(700..2_000);
        let retry = Request {
            is_retry: true,
            ..request
        };
        self.retries.push((now_ms + delay_ms, retry));
    }

    fn expire_waiting(&mut self, now_ms: u64) {
        let wait_limit_ms = self.wait_limit_ms();
        let mut refused = Vec::new();
        for entry in &mut self.entries {
            let waiting = entry.waiting.iter();
            let expired = waiting.filter(|(_, (since_ms, _))| now_ms - since_ms > wait_limit_ms);
            let expired: Vec<Ticket> = expired.map(|(ticket, _)| *ticket).collect();
            for ticket in expired {
                entry.dispatcher.cancel(ticket);
                let removed = entry.waiting.shift_remove(&ticket);
                refused.extend(removed.map(|(_, request)| request));
            }
        }
        for request in refused {
            self.refuse(request, now_ms);
        }
    }

    /// Every running stream gets an event. Completed streams are removed, and queued ones start in
    /// the free slots.
    fn finish_pass(&mut self, now_ms: u64) {
        for rank in 0..self.ranks.len() {
            let load = self.ranks[rank].load();
            for mut stream in std::mem::take(&mut self.ranks[rank].running) {
                self.deliver_event(rank, &mut stream, load, now_ms);
                if stream.request.events_left == 0 {
                    self.complete(rank, &stream, now_ms);
                } else {
                    self.ranks[rank].running.push(stream);
                }
            }
            self.admit(rank, now_ms);
        }
        for entry in 0..self.entries.len() {
            self.place_waiting(entry, now_ms);
        }
    }

    #[allow(clippy::cast_precision_loss)] // milliseconds of a simulation
    fn deliver_event(&mut self, rank: usize, stream: &mut Stream, load: Load, now_ms: u64) {
        let target = &self.targets[rank].incarnation;
        let dispatcher = &mut self.entries[stream.request.entry].dispatcher;
        dispatcher.on_stream_event(target, MonoMs(now_ms));
        match stream.last_event_ms.replace(now_ms) {
            None => {
                let first_event_ms = now_ms - stream.request.arrived_ms;
                stream.is_late |= first_event_ms > self.scenario.objective_ms;
                dispatcher.on_first_event(FirstEvent {
                    load: self.scenario.reports_load.then_some(load),
                    latency_ms: (now_ms - stream.sent_ms) as f64,
                });
            }
            Some(last_ms) => {
                let gap_ms = (now_ms - last_ms) as f64;
                stream.is_late |= gap_ms > self.scenario.pause_objective_ms;
                dispatcher.on_event_gap(gap_ms, self.scenario.pause_objective_ms, MonoMs(now_ms));
            }
        }
        stream.request.events_left -= 1;
    }

    fn complete(&mut self, rank: usize, stream: &Stream, now_ms: u64) {
        let target = &self.targets[rank].incarnation;
        let dispatcher = &mut self.entries[stream.request.entry].dispatcher;
        dispatcher.release(target, None, MonoMs(now_ms));
        if stream.is_late {
            self.outcomes.late += 1;
        } else {
            self.outcomes.within_objective += 1;
        }
    }

    /// Starts queued requests in the free slots. Requests that have been queued for longer than the
    /// callers' timeout are counted as abandoned.
    fn admit(&mut self, rank: usize, now_ms: u64) {
        let slots = usize::try_from(self.scenario.engine.slots).unwrap_or(usize::MAX);
        while self.ranks[rank].running.len() < slots {
            let Some(stream) = self.ranks[rank].queue.pop_front() else {
                return;
            };
            if now_ms - stream.sent_ms > CALLER_TIMEOUT_MS {
                let target = &self.targets[rank].incarnation;
                let dispatcher = &mut self.entries[stream.request.entry].dispatcher;
                dispatcher.release(target, None, MonoMs(now_ms));
                self.outcomes.abandoned += 1;
            } else {
                self.ranks[rank].running.push(stream);
            }
        }
    }

    fn place_waiting(&mut self, entry: usize, now_ms: u64) {
        loop {
            let random = self.rng.random();
            let Entry {
                dispatcher,
                waiting,
                ..
            } = &mut self.entries[entry];
            let Some((ticket, target)) = dispatcher.place_next(random, MonoMs(now_ms)) else {
                return;
            };
            if let Some((_, request)) = waiting.shift_remove(&ticket) {
                self.send(&target, request, now_ms);
            }
        }
    }
}
