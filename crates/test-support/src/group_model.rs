//! A small model of a group of engines under load, in virtual time.
//!
//! All ranks run each pass together; its length follows the published formula:
//! steps, generations at the fullest rank, and the skew of the expert map. Ranks
//! queue what comes beyond their slots. Callers arrive at random, leave after two
//! seconds without an event, and come back once when they are told to. Several
//! entries decide by themselves, each with the real [`Dispatcher`], and may know each
//! other, with what has become of them a second late.
//!
//! Left out: reading of prompts beyond one pass, second sends, rejections, losses, and
//! the time between data centres. So
//! its figures compare policies; they are not those of a real group.

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

/// Part of a pass that goes to experts, and grows with the skew.
const EXPERT_SHARE: f64 = 0.85;

/// Callers leave after this long without an event.
const CALLER_LEAVES_MS: u64 = 2_000;

/// Part of its goal that a request waits at an entry.
const PATIENCE_SHARE: f64 = 0.4;

/// What is played.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The engines, as operators describe them.
    pub engine: EngineModel,
    /// Ranks of the group.
    pub ranks: usize,
    /// Entries that share it.
    pub entries: usize,
    /// Data centres over which ranks and entries are spread by turns.
    pub data_centres: usize,
    /// An entry's traffic at a virtual second as a part of the busiest one's; 0 while
    /// it is restarted and callers go to the others.
    pub entry_weight: fn(usize, u64) -> f64,
    /// Whether entries know each other.
    pub is_membership_shared: bool,
    /// Requests a second over all entries, by the virtual second.
    pub arrivals_per_s: fn(u64) -> f64,
    /// Skew of the map, by the virtual millisecond.
    pub skew: fn(u64) -> f64,
    /// Whether engines tell their load with their answers.
    pub reports_load: bool,
    /// Time to the first event that callers find acceptable.
    pub objective_ms: u64,
    /// Pause between events that callers find acceptable.
    pub pause_objective_ms: f64,
    /// Length of the play.
    pub duration_ms: u64,
    /// Seed of all that is random.
    pub seed: u64,
}

/// How requests ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OutcomeCounts {
    /// Answered in time and without a long pause.
    pub within_objective: u64,
    /// Answered late.
    pub late: u64,
    /// Refused, for the second time.
    pub refused: u64,
    /// Left by their callers.
    pub abandoned: u64,
    /// Sent to a rank whose slots were taken, whatever came of them.
    pub queued: u64,
    /// Sent to another data centre.
    pub cross_data_centre: u64,
}

impl OutcomeCounts {
    /// Requests that ended.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.within_objective + self.late + self.refused + self.abandoned
    }

    /// Part of the requests that were answered in goal.
    #[must_use]
    #[allow(clippy::cast_precision_loss)] // some thousands
    pub fn within_objective_fraction(&self) -> f64 {
        self.within_objective as f64 / self.total().max(1) as f64
    }
}

impl Sum for OutcomeCounts {
    fn sum<I: Iterator<Item = Self>>(tallies: I) -> Self {
        tallies.fold(Self::default(), |sum, tally| Self {
            within_objective: sum.within_objective + tally.within_objective,
            late: sum.late + tally.late,
            refused: sum.refused + tally.refused,
            abandoned: sum.abandoned + tally.abandoned,
            queued: sum.queued + tally.queued,
            cross_data_centre: sum.cross_data_centre + tally.cross_data_centre,
        })
    }
}

#[derive(Clone, Copy, Debug)]
struct Request {
    entry: usize,
    arrived_ms: u64,
    is_back: bool,
    events_left: u32,
}

/// A request at a rank.
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
    arrivals: u64,
    meter: DemandMeter,
    demand_per_s: Option<f64>,
    /// Requests that wait, and since when.
    waiting: IndexMap<Ticket, (u64, Request)>,
}

struct Play<'a> {
    scenario: &'a Scenario,
    random: StdRng,
    targets: Vec<Target>,
    ranks: Vec<Rank>,
    entries: Vec<Entry>,
    /// Refused callers, by the time at which they come back.
    back: Vec<(u64, Request)>,
    next_ticket: u64,
    tally: OutcomeCounts,
}

/// Plays a scenario to its end.
#[must_use]
pub fn simulate(scenario: &Scenario) -> OutcomeCounts {
    let targets: Vec<Target> = (0..scenario.ranks)
        .map(|rank| target(scenario, rank))
        .collect();
    let entry = |index| {
        let all = (0..scenario.entries).map(|other| member(scenario, other, None));
        let others = all.filter(|_| scenario.is_membership_shared);
        let known = Membership::new(member(scenario, index, None), others);
        let mut dispatcher = Dispatcher::new(known, Some(&scenario.engine));
        dispatcher.set_targets(targets.iter());
        Entry {
            dispatcher,
            arrivals: 0,
            meter: DemandMeter::default(),
            demand_per_s: None,
            waiting: IndexMap::new(),
        }
    };
    let mut play = Play {
        scenario,
        random: StdRng::seed_from_u64(scenario.seed),
        ranks: (0..scenario.ranks).map(|_| Rank::default()).collect(),
        entries: (0..scenario.entries).map(entry).collect(),
        targets,
        back: Vec::new(),
        next_ticket: 0,
        tally: OutcomeCounts::default(),
    };
    play.run();
    play.tally
}

/// Plays a scenario with each seed and adds up how requests ended.
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
    }
}

impl Play<'_> {
    fn run(&mut self) {
        let mut pass_ends_ms = 0;
        for now_ms in 0..self.scenario.duration_ms {
            if now_ms % 1_000 == 0 {
                self.share(now_ms / 1_000);
            }
            self.arrivals(now_ms);
            self.give_up_waiting(now_ms);
            if now_ms >= pass_ends_ms {
                self.end_pass(now_ms);
                pass_ends_ms = now_ms + self.pass_ms(now_ms);
            }
        }
    }

    /// Entries measure their demand and hear of each other; of a restart they hear a
    /// second late.
    fn share(&mut self, second: u64) {
        for entry in &mut self.entries {
            entry.demand_per_s = entry.meter.observe(entry.arrivals);
        }
        if !self.scenario.is_membership_shared {
            return;
        }
        let is_there =
            |entry: &usize| (self.scenario.entry_weight)(*entry, second.max(1) - 1) > 0.0;
        let there: Vec<Member> = (0..self.entries.len())
            .filter(is_there)
            .map(|entry| member(self.scenario, entry, self.entries[entry].demand_per_s))
            .collect();
        for index in 0..self.entries.len() {
            let own = member(self.scenario, index, self.entries[index].demand_per_s);
            let membership = Membership::new(own, there.iter().cloned());
            self.entries[index].dispatcher.set_membership(membership);
        }
    }

    /// The entry that a caller's connection leads to.
    fn entry_at(&mut self, now_ms: u64) -> usize {
        loop {
            let entry = self.random.random_range(0..self.entries.len());
            let weight = (self.scenario.entry_weight)(entry, now_ms / 1_000);
            if weight >= 1.0 || self.random.random::<f64>() < weight {
                return entry;
            }
        }
    }

    /// The length of the pass that begins now.
    fn pass_ms(&self, now_ms: u64) -> u64 {
        let engine = &self.scenario.engine;
        let fullest = self.ranks.iter().map(|rank| rank.running.len()).max();
        #[allow(clippy::cast_precision_loss)] // a dozen
        let generations = fullest.unwrap_or(0) as f64;
        let step_ms = engine.step_ms + engine.per_sequence_ms * generations;
        let skew = (self.scenario.skew)(now_ms);
        let stretch = 1.0 - EXPERT_SHARE + EXPERT_SHARE * skew;
        let pass_ms = step_ms * f64::from(engine.steps_per_pass) * stretch;
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // milliseconds
        let whole_ms = pass_ms.round().max(1.0) as u64;
        whole_ms
    }

    fn arrivals(&mut self, now_ms: u64) {
        let per_ms = (self.scenario.arrivals_per_s)(now_ms / 1_000) / 1_000.0;
        if self.random.random::<f64>() < per_ms {
            let request = Request {
                entry: self.entry_at(now_ms),
                arrived_ms: now_ms,
                is_back: false,
                events_left: self.answer_events(),
            };
            self.arrive(request, now_ms);
        }
        let due: Vec<(u64, Request)> = self.back.extract_if(.., |it| it.0 <= now_ms).collect();
        for (_, request) in due {
            let entry = self.entry_at(now_ms);
            self.arrive(Request { entry, ..request }, now_ms);
        }
    }

    /// Events of one answer: between a third and five thirds of the usual number.
    fn answer_events(&mut self) -> u32 {
        let engine = &self.scenario.engine;
        let usual = engine.typical_response_tokens / f64::from(engine.steps_per_pass);
        let events = usual * self.random.random_range(0.33..1.67);
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // some dozens
        let events = events.max(1.0) as u32;
        events
    }

    fn arrive(&mut self, request: Request, now_ms: u64) {
        self.next_ticket += 1;
        let ticket = Ticket(self.next_ticket);
        let patience_ms = self.patience_ms();
        let wish = PlacementRequest {
            urgency: 1,
            wait_limit_ms: patience_ms,
            late_wait_limit_ms: patience_ms,
            on_time_until_ms: MonoMs(now_ms + patience_ms),
        };
        let random = self.random.random();
        let entry = &mut self.entries[request.entry];
        entry.arrivals += 1;
        match entry
            .dispatcher
            .submit(ticket, wish, random, MonoMs(now_ms))
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
    fn patience_ms(&self) -> u64 {
        (self.scenario.objective_ms as f64 * PATIENCE_SHARE) as u64
    }

    fn send(&mut self, target: &Target, request: Request, now_ms: u64) {
        let rank = usize::from(target.address.port() - 1);
        let load = self.ranks[rank].load();
        self.tally.queued += u64::from(load.running + load.waiting >= target.slots);
        let here = data_centre(self.scenario, request.entry);
        self.tally.cross_data_centre += u64::from(target.data_centre != here);
        self.ranks[rank].queue.push_back(Stream {
            request,
            sent_ms: now_ms,
            last_event_ms: None,
            is_late: false,
        });
    }

    /// A caller comes back once, at a random time in the next two seconds.
    fn refuse(&mut self, request: Request, now_ms: u64) {
        if request.is_back {
            self.tally.refused += 1;
            return;
        }
        let after_ms = self.random.random_range(700..2_000);
        let back = Request {
            is_back: true,
            ..request
        };
        self.back.push((now_ms + after_ms, back));
    }

    fn give_up_waiting(&mut self, now_ms: u64) {
        let patience_ms = self.patience_ms();
        let mut refused = Vec::new();
        for entry in &mut self.entries {
            let waiting = entry.waiting.iter();
            let over = waiting.filter(|(_, (since_ms, _))| now_ms - since_ms > patience_ms);
            let over: Vec<Ticket> = over.map(|(ticket, _)| *ticket).collect();
            for ticket in over {
                entry.dispatcher.cancel(ticket);
                let left = entry.waiting.shift_remove(&ticket);
                refused.extend(left.map(|(_, request)| request));
            }
        }
        for request in refused {
            self.refuse(request, now_ms);
        }
    }

    /// Every running stream gets an event, ended ones leave, and waiting ones
    /// take the free slots.
    fn end_pass(&mut self, now_ms: u64) {
        for rank in 0..self.ranks.len() {
            let load = self.ranks[rank].load();
            for mut stream in std::mem::take(&mut self.ranks[rank].running) {
                self.event(rank, &mut stream, load, now_ms);
                if stream.request.events_left == 0 {
                    self.end(rank, &stream, now_ms);
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

    #[allow(clippy::cast_precision_loss)] // milliseconds of a play
    fn event(&mut self, rank: usize, stream: &mut Stream, load: Load, now_ms: u64) {
        let target = &self.targets[rank].incarnation;
        let dispatcher = &mut self.entries[stream.request.entry].dispatcher;
        dispatcher.on_stream_event(target, MonoMs(now_ms));
        match stream.last_event_ms.replace(now_ms) {
            None => {
                let first_ms = now_ms - stream.request.arrived_ms;
                stream.is_late |= first_ms > self.scenario.objective_ms;
                dispatcher.on_first_event(FirstEvent {
                    load: self.scenario.reports_load.then_some(load),
                    latency_ms: (now_ms - stream.sent_ms) as f64,
                });
            }
            Some(last_ms) => {
                let pause_ms = (now_ms - last_ms) as f64;
                stream.is_late |= pause_ms > self.scenario.pause_objective_ms;
                dispatcher.on_event_gap(pause_ms, self.scenario.pause_objective_ms, MonoMs(now_ms));
            }
        }
        stream.request.events_left -= 1;
    }

    fn end(&mut self, rank: usize, stream: &Stream, now_ms: u64) {
        let target = &self.targets[rank].incarnation;
        let dispatcher = &mut self.entries[stream.request.entry].dispatcher;
        dispatcher.release(target, None, MonoMs(now_ms));
        if stream.is_late {
            self.tally.late += 1;
        } else {
            self.tally.within_objective += 1;
        }
    }

    /// Callers whose request has begun nowhere for too long have left.
    fn admit(&mut self, rank: usize, now_ms: u64) {
        let slots = usize::try_from(self.scenario.engine.slots).unwrap_or(usize::MAX);
        while self.ranks[rank].running.len() < slots {
            let Some(stream) = self.ranks[rank].queue.pop_front() else {
                return;
            };
            if now_ms - stream.sent_ms > CALLER_LEAVES_MS {
                let target = &self.targets[rank].incarnation;
                let dispatcher = &mut self.entries[stream.request.entry].dispatcher;
                dispatcher.release(target, None, MonoMs(now_ms));
                self.tally.abandoned += 1;
            } else {
                self.ranks[rank].running.push(stream);
            }
        }
    }

    fn place_waiting(&mut self, entry: usize, now_ms: u64) {
        loop {
            let random = self.random.random();
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
