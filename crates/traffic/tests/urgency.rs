//! Admission by urgency, simulated at one entry with 38 slots: the loads of
//! `docs/SCARCE-CAPACITY.md`, divided by its 16 entries.

use berylhook_core::time::MonoMs;
use berylhook_traffic::concurrency::FirstEvent;
use berylhook_traffic::configuration::EngineModel;
use berylhook_traffic::dispatch::{
    Dispatcher, RefusalReason, Ticket, UrgencyOutcome, UrgencyRequest,
};
use berylhook_traffic::evacuation::EvacuatedZones;
use berylhook_traffic::ownership::{Member, Membership};
use berylhook_traffic::target::{Incarnation, Phase, Target};

const TARGETS: u16 = 19;
const SLOTS_PER_TARGET: u32 = 2;
const SLOTS: u32 = TARGETS as u32 * SLOTS_PER_TARGET;
const LEVELS: usize = 3;
const OBJECTIVES_MS: [u32; LEVELS] = [400, 400, 1_000];
const LATE_WAIT_LIMIT_MS: u64 = 1_500;

/// Shortest and longest time that a request holds its slot.
const HELD_MS: [u32; 2] = [1_500, 2_200];

/// Shortest and longest time from sending a request to its first event.
const LATENCY_MS: [u32; 2] = [160, 200];

/// Arrivals per second of each level at the usual load.
const USUAL_PER_S: [f64; LEVELS] = [5.0, 2.2, 6.6];

fn times(load: f64) -> [f64; LEVELS] {
    USUAL_PER_S.map(|per_s| per_s * load)
}

fn dispatcher() -> Dispatcher {
    dispatcher_for(None)
}

fn dispatcher_for(engine: Option<&EngineModel>) -> Dispatcher {
    let own = Member {
        address: ([10, 0, 0, 2], 1).into(),
        data_centre: "here".into(),
        demand_per_s: None,
    };
    let targets: Vec<Target> = (0..TARGETS).map(target).collect();
    let mut dispatcher = Dispatcher::new(Membership::new(own, []), engine);
    dispatcher.set_targets(targets.iter());
    dispatcher.set_admission_by_urgency(true, MonoMs(0));
    dispatcher
}

/// An engine with passes so short that the concurrency limit is the number of slots.
fn engine() -> EngineModel {
    EngineModel {
        slots: SLOTS_PER_TARGET,
        step_ms: 1.0,
        per_sequence_ms: 0.1,
        context_per_1000_ms: 0.0,
        steps_per_pass: 6,
        prefill_tokens_per_s: 70_000.0,
        typical_prompt_tokens: 800.0,
        typical_response_tokens: 150.0,
        experts: None,
    }
}

fn target(number: u16) -> Target {
    Target {
        incarnation: Incarnation {
            id: format!("i-{number}").into(),
            started_unix_ms: None,
        },
        service: "llm".into(),
        address: ([10, 0, 0, 1], number + 1).into(),
        data_centre: "here".into(),
        slots: SLOTS_PER_TARGET,
        phase: Phase::Ready,
        listed_revision: 1,
        cold: None,
    }
}

/// What became of the requests of one level or account.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    in_time: u32,
    late: u32,
    refused: u32,
    /// Refused after more than an eighth of the objective.
    refused_late: u32,
}

impl Tally {
    fn total(self) -> f64 {
        f64::from(self.in_time + self.late + self.refused)
    }

    fn served(self) -> f64 {
        f64::from(self.in_time + self.late) / self.total().max(1.0)
    }

    fn in_time(self) -> f64 {
        f64::from(self.in_time) / self.total().max(1.0)
    }
}

#[derive(Clone, Copy)]
struct Caller {
    level: usize,
    account: usize,
    arrived_ms: u32,
}

struct Running {
    end_ms: u32,
    started_ms: u32,
    incarnation: Incarnation,
}

struct Simulation {
    dispatcher: Dispatcher,
    random: u64,
    now_ms: u32,
    last_ticket: u64,
    queued: Vec<(Ticket, Caller)>,
    running: Vec<Running>,
    counted_from_ms: u32,
    levels: [Tally; LEVELS],
    accounts: [Tally; 2],
    /// Fraction of the requests that belong to the first account.
    first_account: f64,
    slot_ms: f64,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        Self {
            dispatcher: dispatcher(),
            random: seed,
            now_ms: 10_000,
            last_ticket: 0,
            queued: Vec::new(),
            running: Vec::new(),
            counted_from_ms: 0,
            levels: [Tally::default(); LEVELS],
            accounts: [Tally::default(); 2],
            first_account: 1.0,
            slot_ms: 0.0,
        }
    }

    /// A number that is evenly distributed from 0 to 1.
    fn draw(&mut self) -> f64 {
        // The constants of Knuth's MMIX generator.
        self.random = self
            .random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        let high = u32::try_from(self.random >> 32).expect("32 bits are left");
        f64::from(high) / f64::from(u32::MAX)
    }

    /// A number that is evenly distributed between both.
    fn between(&mut self, [min, max]: [u32; 2]) -> u32 {
        let values = f64::from(max - min);
        let drawn = self.draw() * values;
        (min..max)
            .find(|value| f64::from(value + 1 - min) > drawn)
            .unwrap_or(max)
    }

    /// Simulates `length_ms` with Poisson arrivals; nothing starts or ends unless `is_up`.
    fn run(&mut self, length_ms: u32, per_s: [f64; LEVELS], is_up: bool) {
        for _ in 0..length_ms {
            self.now_ms += 1;
            for (level, per_s) in per_s.iter().enumerate() {
                if self.draw() < per_s / 1_000.0 {
                    self.submit(level);
                }
            }
            self.end_requests(is_up);
            self.refuse_queued();
            self.place_queued();
            let running = u32::try_from(self.running.len()).expect("few requests");
            self.slot_ms += f64::from(running);
        }
    }

    fn submit(&mut self, level: usize) {
        self.last_ticket += 1;
        let caller = Caller {
            level,
            account: usize::from(self.draw() >= self.first_account),
            arrived_ms: self.now_ms,
        };
        let objective_ms = OBJECTIVES_MS[level];
        let latency_ms = LATENCY_MS[1];
        let request = UrgencyRequest {
            urgency: u32::try_from(level).expect("few levels"),
            is_resumed: false,
            can_be_on_time: true,
            allowed_regions: None,
            wait_limit_ms: u64::from((objective_ms - latency_ms).max(objective_ms / 8)),
            late_wait_limit_ms: LATE_WAIT_LIMIT_MS,
        };
        let ticket = Ticket(self.last_ticket);
        let now_ms = MonoMs(self.now_ms.into());
        match self
            .dispatcher
            .submit_by_urgency(ticket, request, self.last_ticket, now_ms)
        {
            UrgencyOutcome::Placed(target) => self.start(target, caller),
            UrgencyOutcome::Queued => self.queued.push((ticket, caller)),
            UrgencyOutcome::Refused(_) => self.count(caller, |tally| tally.refused += 1),
        }
    }

    fn count(&mut self, caller: Caller, count: impl Fn(&mut Tally)) {
        if caller.arrived_ms > self.counted_from_ms {
            count(&mut self.levels[caller.level]);
            count(&mut self.accounts[caller.account]);
        }
    }

    fn start(&mut self, target: Target, caller: Caller) {
        let held_ms = self.between(HELD_MS);
        let latency_ms = self.between(LATENCY_MS);
        let first_event_ms = self.now_ms + latency_ms - caller.arrived_ms;
        let is_in_time = first_event_ms <= OBJECTIVES_MS[caller.level];
        self.count(caller, |tally| {
            tally.in_time += u32::from(is_in_time);
            tally.late += u32::from(!is_in_time);
        });
        self.dispatcher.on_first_event(FirstEvent {
            load: None,
            latency_ms: latency_ms.into(),
        });
        self.running.push(Running {
            end_ms: self.now_ms + held_ms,
            started_ms: self.now_ms,
            incarnation: target.incarnation,
        });
    }

    fn end_requests(&mut self, is_up: bool) {
        let now_ms = self.now_ms;
        let ended = self
            .running
            .extract_if(.., |run| is_up && run.end_ms <= now_ms);
        for run in ended {
            let held_ms = f64::from(now_ms - run.started_ms);
            self.dispatcher.on_completed(held_ms);
            self.dispatcher
                .release(&run.incarnation, None, MonoMs(now_ms.into()));
        }
    }

    fn take_caller(&mut self, ticket: Ticket) -> Caller {
        let at = self.queued.iter().position(|(queued, _)| *queued == ticket);
        self.queued.remove(at.expect("the ticket is queued")).1
    }

    /// An entry checks its queue about every 50 ms.
    fn refuse_queued(&mut self) {
        if !self.now_ms.is_multiple_of(50) {
            return;
        }
        for (ticket, _) in self.dispatcher.take_refused(MonoMs(self.now_ms.into())) {
            let caller = self.take_caller(ticket);
            let held_ms = self.now_ms - caller.arrived_ms;
            let is_late = held_ms > OBJECTIVES_MS[caller.level] / 8;
            self.count(caller, |tally| {
                tally.refused += 1;
                tally.refused_late += u32::from(is_late);
            });
        }
    }

    fn place_queued(&mut self) {
        let now_ms = MonoMs(self.now_ms.into());
        while let Some((ticket, target)) = self.dispatcher.place_next(0, now_ms) {
            let caller = self.take_caller(ticket);
            self.start(target, caller);
        }
    }

    /// Restarts the counts; from now on, only requests that arrive later are counted.
    fn reset(&mut self) {
        self.counted_from_ms = self.now_ms;
        self.levels = [Tally::default(); LEVELS];
        self.accounts = [Tally::default(); 2];
        self.slot_ms = 0.0;
    }

    /// Mean fraction of slots in use over `length_ms`.
    fn utilisation(&self, length_ms: u32) -> f64 {
        self.slot_ms / f64::from(length_ms * SLOTS)
    }
}

// Guards against a short objective being a disadvantage: requests with a long one can wait, so they
// took the slots, and the most urgent requests were refused most often.
#[test]
fn at_twice_the_usual_load_urgent_requests_are_served_first() {
    let mut simulation = Simulation::new(1);
    simulation.run(10_000, times(2.0), true);
    simulation.reset();

    simulation.run(60_000, times(2.0), true);

    let [first, second, third] = simulation.levels;
    let utilisation = simulation.utilisation(60_000);
    assert!(first.in_time() >= 0.97, "{first:?}");
    assert!(first.served() >= second.served(), "{first:?} {second:?}");
    assert!(second.served() >= third.served(), "{second:?} {third:?}");
    assert!(third.served() >= 0.35, "{third:?}");
    assert!(utilisation >= 0.9, "{utilisation} of the slots in use");
}

// Guards against refusals after a wait that was useless from the start: a caller that is refused
// within an eighth of its objective has time for a retry.
#[test]
fn at_twice_the_usual_load_most_refusals_are_immediate() {
    let mut simulation = Simulation::new(2);
    simulation.run(10_000, times(2.0), true);
    simulation.reset();

    simulation.run(60_000, times(2.0), true);

    let refused: u32 = simulation.levels.iter().map(|level| level.refused).sum();
    let refused_late: u32 = simulation
        .levels
        .iter()
        .map(|level| level.refused_late)
        .sum();
    assert!(refused_late * 6 < refused, "{:?}", simulation.levels);
}

/// In-time fractions of the requests that arrive within 3 s after an outage of 2 s.
fn in_time_after_an_outage(load: f64) -> [f64; LEVELS] {
    let mut levels = [Tally::default(); LEVELS];
    for seed in 0..10 {
        let mut simulation = Simulation::new(seed);
        simulation.run(8_000, times(load), true);
        simulation.run(2_000, times(load), false);
        simulation.reset();
        simulation.run(3_000, times(load), true);
        for (sum, level) in levels.iter_mut().zip(simulation.levels) {
            sum.in_time += level.in_time;
            sum.late += level.late;
            sum.refused += level.refused;
        }
    }

    levels.map(Tally::in_time)
}

// Guards against a backlog that takes all slots when a service returns: all requests of the next two
// seconds would be late.
#[test]
fn requests_that_arrive_after_an_outage_are_in_time() {
    let [first, second, third] = in_time_after_an_outage(1.0);

    assert!(first >= 0.98, "{first}");
    assert!(second >= 0.98, "{second}");
    assert!(third >= 0.95, "{third}");
}

// Guards against a backlog that takes the slots of more urgent newcomers when a service returns at
// twice the load that it can serve.
#[test]
fn urgent_requests_that_arrive_after_an_outage_at_twice_the_load_are_in_time() {
    let [first, second, third] = in_time_after_an_outage(2.0);

    assert!(first >= 0.85, "{first}");
    assert!(first > second, "{first} {second}");
    assert!(second > third, "{second} {third}");
}

// Guards against slots that are reserved for callers that do not come. The demand is just below 38
// slots, so that a slot that is kept free shows in refusals.
#[test]
fn a_burst_of_the_least_urgent_level_gets_all_slots() {
    let mut simulation = Simulation::new(3);
    simulation.run(5_000, [0.0, 0.0, 5.0], true);
    simulation.run(5_000, [0.0, 0.0, 19.5], true);
    simulation.reset();

    simulation.run(60_000, [0.0, 0.0, 19.5], true);

    let third = simulation.levels[2];
    let utilisation = simulation.utilisation(60_000);
    assert!(third.served() >= 0.97, "{third:?}");
    assert!(utilisation >= 0.93, "{utilisation} of the slots in use");

    simulation.run(5_000, [0.0, 0.0, 40.0], true);
    simulation.reset();
    simulation.run(20_000, [0.0, 0.0, 40.0], true);

    let utilisation = simulation.utilisation(20_000);
    assert!(utilisation >= 0.97, "{utilisation} of the slots in use");
}

// Guards against a reserve that outlives the arrivals it is meant for.
#[test]
fn when_urgent_levels_stop_the_least_urgent_one_is_served() {
    let mut sum = Tally::default();
    for seed in 0..10 {
        let mut simulation = Simulation::new(seed);
        simulation.run(10_000, times(3.0), true);
        simulation.run(2_000, [0.0, 0.0, 19.5], true);
        simulation.reset();
        simulation.run(5_000, [0.0, 0.0, 19.5], true);
        let third = simulation.levels[2];
        sum.in_time += third.in_time;
        sum.late += third.late;
        sum.refused += third.refused;
    }

    assert!(sum.in_time() >= 0.97, "{sum:?}");
}

// Guards against a large account that takes the slots of a small one with the same urgency.
#[test]
fn an_account_with_forty_times_the_requests_of_another_is_refused_as_often() {
    let mut simulation = Simulation::new(5);
    simulation.first_account = 40.0 / 41.0;
    simulation.run(10_000, times(2.0), true);
    simulation.reset();

    simulation.run(150_000, times(2.0), true);

    let [large, small] = simulation.accounts;
    assert!(small.total() > 50.0, "{small:?}");
    assert!(
        (large.served() - small.served()).abs() < 0.1,
        "{large:?} {small:?}"
    );
}

// Guards against a backlog that takes all slots when a group has formed again: the requests of the
// next slot time would find none, although they can still be served in time.
#[test]
fn a_late_backlog_leaves_slots_for_newcomers_of_its_urgency() {
    const INTERVAL_MS: usize = 66;
    let mut dispatcher = dispatcher_for(Some(&engine()));
    (0..200).for_each(|_| dispatcher.on_completed(1_850.0));
    let trial = target(0).incarnation;
    dispatcher.on_refused(&trial, MonoMs(0));

    let mut ticket = 0;
    for ms in (0..2_000).step_by(INTERVAL_MS) {
        ticket += 1;
        let request = UrgencyRequest {
            urgency: 0,
            is_resumed: false,
            can_be_on_time: true,
            allowed_regions: None,
            wait_limit_ms: 200,
            late_wait_limit_ms: LATE_WAIT_LIMIT_MS,
        };
        let now_ms = MonoMs(ms);
        let outcome = dispatcher.submit_by_urgency(Ticket(ticket), request, ticket, now_ms);
        if let UrgencyOutcome::Placed(target) = outcome {
            dispatcher.release(&target.incarnation, None, now_ms);
            dispatcher.on_refused(&target.incarnation, now_ms);
        }
        dispatcher.take_refused(now_ms);
    }
    let returned_ms = MonoMs(2_000);
    dispatcher.on_accepted(&trial, returned_ms);
    let placed = (0..SLOTS).filter(|_| dispatcher.place_next(0, returned_ms).is_some());
    let placed = placed.count();

    // Newcomers need 15 slots per second for 1.85 s, and those that are on time go first.
    assert!((5..=14).contains(&placed), "{placed} of {SLOTS} slots");
}

// Guards against requests that wait although no target is known, for as long as a late response
// would be of use.
#[test]
fn without_targets_requests_are_refused_at_once() {
    let request = UrgencyRequest {
        urgency: 0,
        is_resumed: false,
        can_be_on_time: true,
        allowed_regions: None,
        wait_limit_ms: 200,
        late_wait_limit_ms: LATE_WAIT_LIMIT_MS,
    };
    for engine in [None, Some(engine())] {
        let mut dispatcher = dispatcher_for(engine.as_ref());
        dispatcher.set_targets([].into_iter());

        let outcome = dispatcher.submit_by_urgency(Ticket(1), request, 0, MonoMs(0));

        let UrgencyOutcome::Refused(refusal) = outcome else {
            panic!("{outcome:?}");
        };
        assert_eq!(refusal.reason, RefusalReason::NoRoom);
    }
}

// Guards against idle slots beside a request that is on time: a backlog that has to leave its slots
// to better requests must not hold back the less urgent ones, which leave only their reserve.
#[test]
fn a_late_backlog_does_not_block_less_urgent_requests_that_are_on_time() {
    const INTERVAL_MS: usize = 66;
    let mut dispatcher = dispatcher_for(Some(&engine()));
    (0..200).for_each(|_| dispatcher.on_completed(1_850.0));
    let trial = target(0).incarnation;
    dispatcher.on_refused(&trial, MonoMs(0));
    let request = |urgency| UrgencyRequest {
        urgency,
        is_resumed: false,
        can_be_on_time: true,
        allowed_regions: None,
        wait_limit_ms: 200,
        late_wait_limit_ms: 10_000,
    };

    let mut ticket = 0;
    for ms in (0..2_000).step_by(INTERVAL_MS) {
        ticket += 1;
        let now_ms = MonoMs(ms);
        let outcome = dispatcher.submit_by_urgency(Ticket(ticket), request(1), ticket, now_ms);
        if let UrgencyOutcome::Placed(target) = outcome {
            dispatcher.release(&target.incarnation, None, now_ms);
            dispatcher.on_refused(&target.incarnation, now_ms);
        }
        dispatcher.take_refused(now_ms);
    }
    let queued = Ticket(ticket + 1);
    let returned_ms = MonoMs(2_000);
    let outcome = dispatcher.submit_by_urgency(queued, request(2), 0, returned_ms);
    assert_eq!(outcome, UrgencyOutcome::Queued);
    dispatcher.on_accepted(&trial, returned_ms);
    let placed: Vec<Ticket> = (0..SLOTS)
        .map_while(|_| dispatcher.place_next(0, returned_ms))
        .map(|(ticket, _)| ticket)
        .collect();
    assert!(placed.contains(&queued), "{placed:?}");
    let (running, waiting, _) = dispatcher.counts();
    assert!(running < 20, "{running} running");
    assert!(waiting > 3, "{waiting} waiting");

    let on_time = (100..100 + u64::from(SLOTS)).filter(|ticket| {
        let outcome =
            dispatcher.submit_by_urgency(Ticket(*ticket), request(2), *ticket, returned_ms);
        matches!(outcome, UrgencyOutcome::Placed(_))
    });
    assert!(on_time.count() > 10);

    // Half of the square root of 15 * 1.85.
    let (running, _, _) = dispatcher.counts();
    assert_eq!(running, SLOTS as usize - 3);
}

// Guards against a late request that counts those behind it as ahead: it would be refused although
// it is the next to get a slot.
#[test]
fn of_a_late_backlog_the_first_requests_stay_queued() {
    let request = UrgencyRequest {
        urgency: 0,
        is_resumed: false,
        can_be_on_time: false,
        allowed_regions: None,
        wait_limit_ms: 200,
        late_wait_limit_ms: 5_000,
    };
    let mut dispatcher = dispatcher();
    (0..200).for_each(|_| dispatcher.on_completed(2_000.0));
    for ticket in 1..=100 {
        let now_ms = MonoMs(if ticket > u64::from(SLOTS) { 100 } else { 0 });
        dispatcher.submit_by_urgency(Ticket(ticket), request, ticket, now_ms);
    }
    let (running, waiting, _) = dispatcher.counts();
    assert_eq!(running, SLOTS as usize);
    assert!(waiting > 30, "{waiting} waiting");

    // The slots are overdue. One is expected every 53 ms, and the wait ends in 1.1 s.
    let refused = dispatcher.take_refused(MonoMs(4_000));

    let first = u64::from(SLOTS) + 1;
    assert!(!refused.is_empty());
    assert!(
        refused.iter().all(|(ticket, _)| ticket.0 >= first + 20),
        "{refused:?}"
    );
}

// Guards against requests that wait although all targets are evacuated, for as long as a late
// response would be of use.
#[test]
fn with_all_targets_evacuated_requests_are_refused_at_once() {
    let request = UrgencyRequest {
        urgency: 0,
        is_resumed: false,
        can_be_on_time: true,
        allowed_regions: None,
        wait_limit_ms: 200,
        late_wait_limit_ms: LATE_WAIT_LIMIT_MS,
    };
    let mut dispatcher = dispatcher();
    let last = u64::from(SLOTS) + 1;
    for ticket in 1..=last {
        dispatcher.submit_by_urgency(Ticket(ticket), request, ticket, MonoMs(0));
    }
    assert_eq!(dispatcher.counts().1, 1);
    dispatcher.set_evacuated(&zones("here"));

    let outcome = dispatcher.submit_by_urgency(Ticket(last + 1), request, 0, MonoMs(100));
    let resumed = UrgencyRequest {
        is_resumed: true,
        ..request
    };
    let resumed = dispatcher.submit_by_urgency(Ticket(last + 2), resumed, 0, MonoMs(100));
    let refused = dispatcher.take_refused(MonoMs(100));

    let UrgencyOutcome::Refused(refusal) = outcome else {
        panic!("{outcome:?}");
    };
    assert_eq!(refusal.reason, RefusalReason::NoTarget);
    assert_eq!(refusal.expected_wait_ms, None);
    let tickets: Vec<Ticket> = refused.iter().map(|(ticket, _)| *ticket).collect();
    assert_eq!(tickets, [Ticket(last)]);
    assert!(matches!(resumed, UrgencyOutcome::Refused(_)), "{resumed:?}");
}

// Guards against a wait that is expected to end with requests whose slots this entry does not get
// back, such as those of an evacuated data centre.
#[test]
fn the_ends_of_evacuated_requests_free_no_slots() {
    let request = |limit_ms| UrgencyRequest {
        urgency: 0,
        is_resumed: false,
        can_be_on_time: true,
        allowed_regions: None,
        wait_limit_ms: limit_ms,
        late_wait_limit_ms: limit_ms,
    };
    let mut dispatcher = dispatcher();
    (0..200).for_each(|_| dispatcher.on_completed(1_850.0));
    let mut evacuated: Vec<Target> = (0..9).map(target).collect();
    for target in &mut evacuated {
        target.data_centre = "there".into();
    }
    let all: Vec<Target> = (evacuated.iter().cloned())
        .chain((9..TARGETS).map(target))
        .collect();
    let mut ticket = 0;
    for (targets, count, ms) in [(&evacuated, 18, 0), (&all, 20, 1_000)] {
        dispatcher.set_targets(targets.iter());
        for _ in 0..count {
            ticket += 1;
            let outcome =
                dispatcher.submit_by_urgency(Ticket(ticket), request(800), ticket, MonoMs(ms));
            assert!(matches!(outcome, UrgencyOutcome::Placed(_)), "{outcome:?}");
        }
    }
    dispatcher.set_evacuated(&zones("there"));

    let outcome = dispatcher.submit_by_urgency(Ticket(100), request(800), 0, MonoMs(1_500));

    // The requests at the other targets end 1.85 s after their start, at 2.85 s.
    let UrgencyOutcome::Refused(refusal) = outcome else {
        panic!("{outcome:?}");
    };
    let expected_wait_ms = refusal.expected_wait_ms.expect("slots become free");
    assert!((1_340..=1_360).contains(&expected_wait_ms), "{refusal:?}");
}

fn zones(data_centre: &str) -> EvacuatedZones {
    EvacuatedZones {
        data_centres: [data_centre.into()].into_iter().collect(),
        ..EvacuatedZones::default()
    }
}
