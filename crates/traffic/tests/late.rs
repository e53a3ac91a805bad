//! Which requests wait for a late response, and which are refused at once: load after a power
//! failure, and during a lasting burst.

use std::collections::VecDeque;

use berylhook_core::time::MonoMs;
use berylhook_traffic::dispatch::{Dispatcher, PlacementRequest, SubmitOutcome, Ticket};
use berylhook_traffic::ownership::{Member, Membership};
use berylhook_traffic::target::{Incarnation, Phase, Target};

const WAIT_LIMIT_MS: u64 = 160;
const LATE_WAIT_LIMIT_MS: u64 = 1_500;
const TARGETS: u16 = 8;
const SLOTS: u32 = 4;

/// With this duration of each request, the slots serve [`CAPACITY_PER_S`] requests per second.
const REQUEST_DURATION_MS: u64 = 400;
const CAPACITY_PER_S: u64 = 80;

fn dispatcher() -> Dispatcher {
    let own = Member {
        address: ([10, 0, 0, 2], 1).into(),
        data_centre: "here".into(),
        demand_per_s: None,
    };
    let targets: Vec<Target> = (0..TARGETS).map(target).collect();
    let mut dispatcher = Dispatcher::new(Membership::new(own, []), None);
    dispatcher.set_targets(targets.iter());
    dispatcher
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
        slots: SLOTS,
        phase: Phase::Ready,
        listed_revision: 1,
        cold: None,
    }
}

/// Counts of the outcomes of one simulation.
#[derive(Debug, Default)]
struct Tally {
    placed: u64,
    /// Of the placed requests, those that waited longer than their limit for a response in time.
    late: u64,
    refused: u64,
    /// Refused after a wait beyond the limit for a response in time.
    refused_late: u64,
}

struct Simulation {
    dispatcher: Dispatcher,
    now_ms: u64,
    running: VecDeque<(u64, Incarnation)>,
    waiting: Vec<(u64, Ticket)>,
    last_ticket: u64,
    /// Fractions of arrivals that are still due, in thousandths of a request.
    due_thousandths: u64,
    tally: Tally,
}

impl Simulation {
    fn new() -> Self {
        Self {
            dispatcher: dispatcher(),
            now_ms: 10_000,
            running: VecDeque::new(),
            waiting: Vec::new(),
            last_ticket: 0,
            due_thousandths: 0,
            tally: Tally::default(),
        }
    }

    /// Simulates `length_ms` with `per_s` arrivals per second. Running requests end only while
    /// `is_up`.
    fn run(&mut self, length_ms: u64, per_s: u64, is_up: bool) {
        for _ in 0..length_ms {
            self.now_ms += 1;
            self.due_thousandths += per_s;
            while self.due_thousandths >= 1_000 {
                self.due_thousandths -= 1_000;
                self.submit_request();
            }
            self.end_requests(is_up);
            self.cancel_expired();
            self.place_waiting();
        }
    }

    fn submit_request(&mut self) {
        self.last_ticket += 1;
        let ticket = Ticket(self.last_ticket);
        let request = PlacementRequest {
            urgency: 1,
            wait_limit_ms: WAIT_LIMIT_MS,
            late_wait_limit_ms: LATE_WAIT_LIMIT_MS,
            on_time_until_ms: MonoMs(self.now_ms + WAIT_LIMIT_MS),
            allowed_regions: None,
        };
        let now_ms = MonoMs(self.now_ms);
        match self
            .dispatcher
            .submit(ticket, request, self.last_ticket, now_ms)
        {
            SubmitOutcome::Placed(target) => self.start(target, 0),
            SubmitOutcome::Queued => self.waiting.push((self.now_ms, ticket)),
            SubmitOutcome::Refused => self.tally.refused += 1,
        }
    }

    fn start(&mut self, target: Target, waited_ms: u64) {
        self.tally.placed += 1;
        self.tally.late += u64::from(waited_ms > WAIT_LIMIT_MS);
        let end_ms = self.now_ms + REQUEST_DURATION_MS;
        self.running.push_back((end_ms, target.incarnation));
    }

    fn end_requests(&mut self, is_up: bool) {
        while let Some((end_ms, _)) = self.running.front()
            && is_up
            && *end_ms <= self.now_ms
        {
            let (_, incarnation) = self
                .running
                .pop_front()
                .expect("the front request was checked");
            let now_ms = MonoMs(self.now_ms);
            self.dispatcher.release(&incarnation, None, now_ms);
        }
    }

    fn cancel_expired(&mut self) {
        let now_ms = MonoMs(self.now_ms);
        let can_serve_late = self.dispatcher.can_serve_late(LATE_WAIT_LIMIT_MS, now_ms);
        let wait_limit_ms = if can_serve_late {
            LATE_WAIT_LIMIT_MS
        } else {
            WAIT_LIMIT_MS
        };
        let now_ms = self.now_ms;
        let is_over = |since_ms: u64| now_ms - since_ms > wait_limit_ms;
        for (since_ms, ticket) in self.waiting.iter().filter(|it| is_over(it.0)) {
            self.dispatcher.cancel(*ticket);
            self.tally.refused += 1;
            let is_refused_late = now_ms - since_ms > WAIT_LIMIT_MS + 50;
            self.tally.refused_late += u64::from(is_refused_late);
        }
        self.waiting.retain(|(since_ms, _)| !is_over(*since_ms));
    }

    fn place_waiting(&mut self) {
        let now_ms = MonoMs(self.now_ms);
        while let Some((ticket, target)) = self.dispatcher.place_next(0, now_ms) {
            let at = self.waiting.iter().position(|(_, it)| *it == ticket);
            let (since_ms, _) = self.waiting.remove(at.expect("the ticket is queued"));
            self.start(target, self.now_ms - since_ms);
        }
    }
}

/// Guards against requests that are lost in the seconds after a power failure: each caller retries
/// once, within the same second, and capacity is available a moment later.
#[test]
fn the_backlog_is_served_after_a_power_failure() {
    let mut simulation = Simulation::new();
    simulation.run(5_000, CAPACITY_PER_S / 2, true);
    let before = std::mem::take(&mut simulation.tally);

    simulation
        .dispatcher
        .on_process_start(MonoMs(simulation.now_ms));
    simulation.run(1_200, CAPACITY_PER_S / 2, false);
    simulation.run(4_000, CAPACITY_PER_S / 2, true);

    assert_eq!(before.refused, 0);
    assert!(simulation.tally.late > 20, "{:?}", simulation.tally);
    assert!(
        simulation.tally.refused < simulation.tally.late / 2,
        "{:?}",
        simulation.tally
    );
}

/// Guards against requests that wait for nothing: in a lasting burst new requests always go first,
/// and late ones would be refused only after a second and a half.
#[test]
fn in_a_lasting_burst_no_request_waits_for_nothing() {
    let mut simulation = Simulation::new();
    simulation.run(5_000, CAPACITY_PER_S / 2, true);
    simulation.run(2_000, CAPACITY_PER_S * 2, true);
    simulation.tally = Tally::default();

    simulation.run(10_000, CAPACITY_PER_S * 2, true);

    assert!(
        simulation.tally.placed >= CAPACITY_PER_S * 9,
        "{:?}",
        simulation.tally
    );
    assert_eq!(simulation.tally.refused_late, 0, "{:?}", simulation.tally);
}

/// Guards against refusals although there will be capacity within a second: a short burst leaves a
/// backlog, and then the load is below capacity again.
#[test]
fn a_backlog_that_drains_is_served() {
    let mut simulation = Simulation::new();
    simulation.run(5_000, CAPACITY_PER_S / 2, true);
    simulation.run(300, CAPACITY_PER_S * 3, true);
    simulation.tally = Tally::default();

    simulation.run(3_000, CAPACITY_PER_S / 3, true);

    assert_eq!(simulation.tally.refused_late, 0, "{:?}", simulation.tally);
    assert!(simulation.tally.refused <= 5, "{:?}", simulation.tally);
}
