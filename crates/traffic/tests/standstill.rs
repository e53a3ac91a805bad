//! Groups that get no further with what they have: one of their ranks' VMs is frozen in
//! mid-switch.

use berylhook_core::time::MonoMs;
use berylhook_traffic::configuration::EngineModel;
use berylhook_traffic::dispatch::{Dispatcher, PlacementRequest, SubmitOutcome, Ticket};
use berylhook_traffic::engine_update::{EngineUpdate, GroupUpdate};
use berylhook_traffic::ownership::{Member, Membership};
use berylhook_traffic::target::{Incarnation, Phase, Target};

const GROUPS: u16 = 2;
const RANKS: u16 = 4;

/// Callers give a stream up that brings no event for so long.
const CALLERS_WAIT_MS: u64 = 2_000;

/// Time between two passes.
const PASS_MS: u64 = 60;

/// Time between two requests.
const ARRIVALS_EVERY_MS: u64 = 20;

/// Events of a stream.
const EVENTS: u64 = 10;

fn target(group: u16, rank: u16) -> Target {
    Target {
        incarnation: Incarnation {
            id: format!("g{group}-{rank}").into(),
            started_unix_ms: None,
        },
        service: "llm".into(),
        address: ([10, 0, 0, 1], 1 + group * RANKS + rank).into(),
        data_centre: "here".into(),
        slots: 12,
        phase: Phase::Ready,
        listed_revision: 1,
    }
}

fn targets(groups: u16) -> Vec<Target> {
    let groups = (0..groups).flat_map(|group| (0..RANKS).map(move |rank| (group, rank)));
    groups.map(|(group, rank)| target(group, rank)).collect()
}

fn dispatcher(groups: u16) -> Dispatcher {
    let own = Member {
        address: ([10, 0, 0, 2], 1).into(),
        data_centre: "here".into(),
        demand_per_s: None,
    };
    let engine = EngineModel {
        slots: 12,
        step_ms: 4.55,
        per_sequence_ms: 0.435,
        context_per_1000_ms: 0.0132,
        steps_per_pass: 4,
        prefill_tokens_per_s: 61_400.0,
        typical_prompt_tokens: 835.0,
        typical_response_tokens: 96.0,
        experts: None,
    };
    let news = (0..groups).map(|group| GroupUpdate {
        name: format!("g{group}").into(),
        engines: (0..RANKS).map(|rank| target(group, rank).address).collect(),
        is_open: true,
    });
    let mut dispatcher = Dispatcher::new(Membership::new(own, []), Some(&engine));
    dispatcher.set_targets(targets(groups).iter());
    let news = EngineUpdate {
        groups: news.collect(),
        ..EngineUpdate::default()
    };
    dispatcher.set_engine_update(&news, MonoMs(0));
    dispatcher
}

struct Run {
    target: Target,
    began_ms: u64,
    events: u64,
}

/// A service of groups of which the first stands still for a while.
struct Play {
    dispatcher: Dispatcher,
    runs: Vec<Run>,
    still_ms: std::ops::Range<u64>,
    /// When requests were sent to the first group.
    sent_ms: Vec<u64>,
    served: usize,
    left: usize,
}

impl Play {
    fn new(groups: u16, still_ms: std::ops::Range<u64>) -> Self {
        Self {
            dispatcher: dispatcher(groups),
            runs: Vec::new(),
            still_ms,
            sent_ms: Vec::new(),
            served: 0,
            left: 0,
        }
    }

    fn run(&mut self, length_ms: u64) {
        for now_ms in (0..length_ms).step_by(20) {
            if now_ms % PASS_MS == 0 {
                self.pass(now_ms);
            }
            self.give_up(now_ms);
            if now_ms % ARRIVALS_EVERY_MS == 0 {
                self.arrive(now_ms);
            }
        }
    }

    fn arrive(&mut self, now_ms: u64) {
        let wish = PlacementRequest {
            urgency: 1,
            wait_limit_ms: 200,
            late_wait_limit_ms: 1_500,
            on_time_until_ms: MonoMs(now_ms + 200),
        };
        let ticket = Ticket(now_ms);
        let arrival = self.dispatcher.submit(ticket, wish, now_ms, MonoMs(now_ms));
        match arrival {
            SubmitOutcome::Placed(target) => self.begin(target, now_ms),
            SubmitOutcome::Queued => self.dispatcher.cancel(ticket),
            SubmitOutcome::Refused => {}
        }
    }

    fn begin(&mut self, target: Target, now_ms: u64) {
        if is_in_first(&target) {
            self.sent_ms.push(now_ms);
        }
        self.runs.push(Run {
            target,
            began_ms: now_ms,
            events: 0,
        });
    }

    fn pass(&mut self, now_ms: u64) {
        let is_still = self.still_ms.contains(&now_ms);
        for run in &mut self.runs {
            if !(is_still && is_in_first(&run.target)) {
                run.events += 1;
                let of = &run.target.incarnation;
                self.dispatcher.on_stream_event(of, MonoMs(now_ms));
            }
        }
        self.served += self.end(now_ms, |run| run.events >= EVENTS);
    }

    fn give_up(&mut self, now_ms: u64) {
        self.left += self.end(now_ms, |run| {
            run.events == 0 && now_ms - run.began_ms >= CALLERS_WAIT_MS
        });
    }

    fn end(&mut self, now_ms: u64, has_ended: impl Fn(&Run) -> bool) -> usize {
        let ended: Vec<Run> = self.runs.extract_if(.., |run| has_ended(run)).collect();
        for run in &ended {
            let of = &run.target.incarnation;
            self.dispatcher.release(of, None, MonoMs(now_ms));
        }
        ended.len()
    }

    fn sent_within(&self, span_ms: std::ops::Range<u64>) -> usize {
        let sent = self.sent_ms.iter();
        sent.filter(|at_ms| span_ms.contains(at_ms)).count()
    }
}

fn is_in_first(target: &Target) -> bool {
    target.id().starts_with("g0")
}

// Guards against requests that are sent to a group which stands still, and wait there until
// their callers give up.
#[test]
fn nothing_is_sent_to_a_group_that_stands_still() {
    let mut play = Play::new(1, 2_000..6_000);

    play.run(6_000);

    assert_eq!(play.sent_within(2_500..3_900), 0);
    // Where nothing is left there that could tell, one request at a time finds out.
    assert!(play.sent_within(3_900..6_000) <= 3, "{:?}", play.sent_ms);
}

// Guards against a group that stays unused after it has gone on.
#[test]
fn a_group_that_goes_on_is_used_again_at_once() {
    let mut play = Play::new(1, 2_000..3_500);

    play.run(6_000);

    let sent = play.sent_within(3_600..6_000);
    assert!(sent >= 100, "{sent} of 120");
}

// Guards against a service that is given up since one of its groups stands still.
#[test]
fn other_groups_take_the_requests_of_one_that_stands_still() {
    let mut play = Play::new(GROUPS, 2_000..4_000);

    play.run(4_000);

    assert_eq!(play.sent_within(2_500..4_000), 0);
    assert!(play.served >= 150, "{}", play.served);
    assert!(!play.dispatcher.is_down());
}

// Guards against a group that is taken to stand still since it had nothing to do.
#[test]
fn a_group_that_was_idle_does_not_stand_still() {
    let mut dispatcher = dispatcher(1);
    let mut play = Play::new(1, 0..0);
    play.run(1_000);
    std::mem::swap(&mut dispatcher, &mut play.dispatcher);
    for run in &play.runs {
        dispatcher.release(&run.target.incarnation, None, MonoMs(1_000));
    }
    play.runs.clear();
    play.dispatcher = dispatcher;

    for now_ms in [5_000, 5_020, 5_040] {
        play.arrive(now_ms);
    }

    assert_eq!(play.sent_within(5_000..5_100), 3);
}

// Guards against callers that are told that the service is busy while all of it stands still.
#[test]
fn a_service_whose_only_group_stands_still_is_down_until_it_goes_on() {
    let mut play = Play::new(1, 2_000..3_000);
    play.run(2_600);
    let was_down = play.dispatcher.is_down();

    let goes_on = play
        .dispatcher
        .on_stream_event(&play.runs[0].target.incarnation, MonoMs(2_600));

    assert_eq!((was_down, goes_on), (true, true));
    assert!(!play.dispatcher.is_down());
}
