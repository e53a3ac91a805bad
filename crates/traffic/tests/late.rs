//! Who waits for a late answer, and who is refused at once: the load after a loss of power,
//! and a burst that goes on.

use std::collections::VecDeque;

use berylhook_core::time::MonoMs;
use berylhook_traffic::dispatch::{Dispatcher, PlacementRequest, SubmitOutcome, Ticket};
use berylhook_traffic::ownership::{Member, Membership};
use berylhook_traffic::target::{Incarnation, Phase, Target};

const PATIENCE_MS: u64 = 160;
const LATE_PATIENCE_MS: u64 = 1_500;
const TARGETS: u16 = 8;
const SLOTS: u32 = 4;

/// Requests that this many slots carry, each for [`RUN_MS`].
const RUN_MS: u64 = 400;
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
    }
}

/// What became of the requests of one play.
#[derive(Debug, Default)]
struct Tally {
    placed: u64,
    /// Of these, after they had waited for longer than a timely answer allows.
    late: u64,
    refused: u64,
    /// Refused after a wait beyond the patience for a timely answer.
    waited_in_vain: u64,
}

struct Play {
    dispatcher: Dispatcher,
    now_ms: u64,
    running: VecDeque<(u64, Incarnation)>,
    waiting: Vec<(u64, Ticket)>,
    tickets: u64,
    /// In thousandths of a request.
    owed: u64,
    tally: Tally,
}

impl Play {
    fn new() -> Self {
        Self {
            dispatcher: dispatcher(),
            now_ms: 10_000,
            running: VecDeque::new(),
            waiting: Vec::new(),
            tickets: 0,
            owed: 0,
            tally: Tally::default(),
        }
    }

    /// Plays that long with so many arrivals a second; while the service is up runs end.
    fn run(&mut self, length_ms: u64, per_s: u64, is_up: bool) {
        for _ in 0..length_ms {
            self.now_ms += 1;
            self.owed += per_s;
            while self.owed >= 1_000 {
                self.owed -= 1_000;
                self.arrive();
            }
            self.end_runs(is_up);
            self.leave();
            self.place_waiting();
        }
    }

    fn arrive(&mut self) {
        self.tickets += 1;
        let ticket = Ticket(self.tickets);
        let wish = PlacementRequest {
            urgency: 1,
            wait_limit_ms: PATIENCE_MS,
            late_wait_limit_ms: LATE_PATIENCE_MS,
            on_time_until_ms: MonoMs(self.now_ms + PATIENCE_MS),
        };
        let now_ms = MonoMs(self.now_ms);
        match self.dispatcher.submit(ticket, wish, self.tickets, now_ms) {
            SubmitOutcome::Placed(target) => self.start(target, 0),
            SubmitOutcome::Queued => self.waiting.push((self.now_ms, ticket)),
            SubmitOutcome::Refused => self.tally.refused += 1,
        }
    }

    fn start(&mut self, target: Target, waited_ms: u64) {
        self.tally.placed += 1;
        self.tally.late += u64::from(waited_ms > PATIENCE_MS);
        let ends_ms = self.now_ms + RUN_MS;
        self.running.push_back((ends_ms, target.incarnation));
    }

    fn end_runs(&mut self, is_up: bool) {
        while let Some((ends_ms, _)) = self.running.front()
            && is_up
            && *ends_ms <= self.now_ms
        {
            let (_, incarnation) = self.running.pop_front().expect("one runs");
            let now_ms = MonoMs(self.now_ms);
            self.dispatcher.release(&incarnation, None, now_ms);
        }
    }

    fn leave(&mut self) {
        let now_ms = MonoMs(self.now_ms);
        let serves_late = self.dispatcher.can_serve_late(LATE_PATIENCE_MS, now_ms);
        let patience_ms = if serves_late {
            LATE_PATIENCE_MS
        } else {
            PATIENCE_MS
        };
        let now_ms = self.now_ms;
        let is_over = |since_ms: u64| now_ms - since_ms > patience_ms;
        for (since_ms, ticket) in self.waiting.iter().filter(|it| is_over(it.0)) {
            self.dispatcher.cancel(*ticket);
            self.tally.refused += 1;
            let in_vain = now_ms - since_ms > PATIENCE_MS + 50;
            self.tally.waited_in_vain += u64::from(in_vain);
        }
        self.waiting.retain(|(since_ms, _)| !is_over(*since_ms));
    }

    fn place_waiting(&mut self) {
        let now_ms = MonoMs(self.now_ms);
        while let Some((ticket, target)) = self.dispatcher.place_next(0, now_ms) {
            let at = self.waiting.iter().position(|(_, it)| *it == ticket);
            let (since_ms, _) = self.waiting.remove(at.expect("it waits"));
            self.start(target, self.now_ms - since_ms);
        }
    }
}

/// Guards against callers that are lost in the seconds after a loss of power: each comes back
/// once, into the same second, and capacity is there a moment later.
#[test]
fn after_a_loss_of_power_the_backlog_is_kept_and_served() {
    let mut play = Play::new();
    play.run(5_000, CAPACITY_PER_S / 2, true);
    let before = std::mem::take(&mut play.tally);

    play.dispatcher.on_process_start(MonoMs(play.now_ms));
    play.run(1_200, CAPACITY_PER_S / 2, false);
    play.run(4_000, CAPACITY_PER_S / 2, true);

    assert_eq!(before.refused, 0);
    assert!(play.tally.late > 20, "{:?}", play.tally);
    assert!(play.tally.refused < play.tally.late / 2, "{:?}", play.tally);
}

/// Guards against callers that wait for nothing: under a burst that goes on newcomers always
/// go first, and who is late would be told after a second and a half.
#[test]
fn under_a_burst_that_goes_on_nobody_waits_in_vain() {
    let mut play = Play::new();
    play.run(5_000, CAPACITY_PER_S / 2, true);
    play.run(2_000, CAPACITY_PER_S * 2, true);
    play.tally = Tally::default();

    play.run(10_000, CAPACITY_PER_S * 2, true);

    assert!(play.tally.placed >= CAPACITY_PER_S * 9, "{:?}", play.tally);
    assert_eq!(play.tally.waited_in_vain, 0, "{:?}", play.tally);
}

/// Guards against refusals although there is room within a second: a short burst leaves a
/// backlog, and the load is below capacity again.
#[test]
fn a_backlog_that_drains_is_served() {
    let mut play = Play::new();
    play.run(5_000, CAPACITY_PER_S / 2, true);
    play.run(300, CAPACITY_PER_S * 3, true);
    play.tally = Tally::default();

    play.run(3_000, CAPACITY_PER_S / 3, true);

    assert_eq!(play.tally.waited_in_vain, 0, "{:?}", play.tally);
    assert!(play.tally.refused <= 5, "{:?}", play.tally);
}
