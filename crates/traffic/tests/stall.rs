//! Stalled groups: the VM of one rank freezes in the middle of a change of expert maps.

use berylhook_core::time::MonoMs;
use berylhook_traffic::configuration::EngineModel;
use berylhook_traffic::dispatch::{Dispatcher, PlacementRequest, SubmitOutcome, Ticket};
use berylhook_traffic::engine_update::{EngineUpdate, GroupUpdate};
use berylhook_traffic::ownership::{Member, Membership};
use berylhook_traffic::target::{Incarnation, Phase, Target};

const GROUPS: u16 = 2;
const RANKS: u16 = 4;

/// Callers disconnect if a stream gets no event for this long.
const CALLER_TIMEOUT_MS: u64 = 2_000;

/// Interval between two forward passes.
const PASS_INTERVAL_MS: u64 = 60;

/// Interval between two requests.
const ARRIVAL_INTERVAL_MS: u64 = 20;

/// Events per stream.
const EVENTS_PER_STREAM: u64 = 10;

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
        cold: None,
    }
}

fn targets(groups: u16) -> Vec<Target> {
    (0..groups).flat_map(targets_of).collect()
}

fn targets_of(group: u16) -> Vec<Target> {
    (0..RANKS).map(|rank| target(group, rank)).collect()
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
    let updates: Vec<GroupUpdate> = (0..groups)
        .map(|group| group_update(group, &targets_of(group)))
        .collect();
    let mut dispatcher = Dispatcher::new(Membership::new(own, []), Some(&engine));
    dispatcher.set_targets(targets(groups).iter());
    dispatcher.set_engine_update(&update_of(&updates), MonoMs(0));
    dispatcher
}

fn group_update(group: u16, members: &[Target]) -> GroupUpdate {
    GroupUpdate {
        name: format!("g{group}").into(),
        engines: members.iter().map(|target| target.address).collect(),
        is_open: true,
    }
}

fn update_of(groups: &[GroupUpdate]) -> EngineUpdate {
    EngineUpdate {
        groups: groups.to_vec(),
        ..EngineUpdate::default()
    }
}

struct RunningRequest {
    target: Target,
    began_ms: u64,
    events: u64,
}

/// Simulates a service whose first group stalls for a while.
struct Simulation {
    dispatcher: Dispatcher,
    runs: Vec<RunningRequest>,
    stall_ms: std::ops::Range<u64>,
    /// Times at which requests were sent to the first group.
    sent_ms: Vec<u64>,
    served: usize,
    disconnected: usize,
}

impl Simulation {
    fn new(groups: u16, stall_ms: std::ops::Range<u64>) -> Self {
        Self {
            dispatcher: dispatcher(groups),
            runs: Vec::new(),
            stall_ms,
            sent_ms: Vec::new(),
            served: 0,
            disconnected: 0,
        }
    }

    fn run(&mut self, length_ms: u64) {
        for now_ms in (0..length_ms).step_by(20) {
            if now_ms % PASS_INTERVAL_MS == 0 {
                self.pass(now_ms);
            }
            self.disconnect_waiting(now_ms);
            if now_ms % ARRIVAL_INTERVAL_MS == 0 {
                self.submit_request(now_ms);
            }
        }
    }

    fn submit_request(&mut self, now_ms: u64) {
        let request = PlacementRequest {
            urgency: 1,
            wait_limit_ms: 200,
            late_wait_limit_ms: 1_500,
            on_time_until_ms: MonoMs(now_ms + 200),
            allowed_regions: None,
        };
        let ticket = Ticket(now_ms);
        let outcome = self
            .dispatcher
            .submit(ticket, request, now_ms, MonoMs(now_ms));
        match outcome {
            SubmitOutcome::Placed(target) => self.start(target, now_ms),
            SubmitOutcome::Queued => self.dispatcher.cancel(ticket),
            SubmitOutcome::Refused => {}
        }
    }

    fn start(&mut self, target: Target, now_ms: u64) {
        if is_in_first_group(&target) {
            self.sent_ms.push(now_ms);
        }
        self.runs.push(RunningRequest {
            target,
            began_ms: now_ms,
            events: 0,
        });
    }

    fn pass(&mut self, now_ms: u64) {
        let is_stalled = self.stall_ms.contains(&now_ms);
        for run in &mut self.runs {
            if !(is_stalled && is_in_first_group(&run.target)) {
                run.events += 1;
                let incarnation = &run.target.incarnation;
                self.dispatcher.on_stream_event(incarnation, MonoMs(now_ms));
            }
        }
        self.served += self.remove_ended(now_ms, |run| run.events >= EVENTS_PER_STREAM);
    }

    fn disconnect_waiting(&mut self, now_ms: u64) {
        self.disconnected += self.remove_ended(now_ms, |run| {
            run.events == 0 && now_ms - run.began_ms >= CALLER_TIMEOUT_MS
        });
    }

    fn remove_ended(&mut self, now_ms: u64, has_ended: impl Fn(&RunningRequest) -> bool) -> usize {
        let ended: Vec<RunningRequest> = self.runs.extract_if(.., |run| has_ended(run)).collect();
        for run in &ended {
            let incarnation = &run.target.incarnation;
            self.dispatcher.release(incarnation, None, MonoMs(now_ms));
        }
        ended.len()
    }

    fn sent_within(&self, span_ms: std::ops::Range<u64>) -> usize {
        let sent = self.sent_ms.iter();
        sent.filter(|at_ms| span_ms.contains(at_ms)).count()
    }
}

fn is_in_first_group(target: &Target) -> bool {
    target.id().starts_with("g0")
}

// Guards against requests that are sent to a stalled group and wait there until their callers give
// up.
#[test]
fn a_stalled_group_gets_no_requests() {
    let mut simulation = Simulation::new(1, 2_000..6_000);

    simulation.run(6_000);

    assert_eq!(simulation.sent_within(2_500..3_900), 0);
    // Once no request is left there that would show progress, one at a time probes the group.
    assert!(
        simulation.sent_within(3_900..6_000) <= 3,
        "{:?}",
        simulation.sent_ms
    );
}

// Guards against a group that stays unused after it has resumed.
#[test]
fn a_resumed_group_is_used_again_at_once() {
    let mut simulation = Simulation::new(1, 2_000..3_500);

    simulation.run(6_000);

    let sent = simulation.sent_within(3_600..6_000);
    assert!(sent >= 100, "{sent} of 120");
}

// Guards against a service that is considered down because one of its groups is stalled.
#[test]
fn other_groups_take_the_requests_of_a_stalled_one() {
    let mut simulation = Simulation::new(GROUPS, 2_000..4_000);

    simulation.run(4_000);

    assert_eq!(simulation.sent_within(2_500..4_000), 0);
    assert!(simulation.served >= 150, "{}", simulation.served);
    assert!(!simulation.dispatcher.is_down());
}

// Guards against a group that is considered stalled because it had nothing to do.
#[test]
fn an_idle_group_is_not_stalled() {
    let mut dispatcher = dispatcher(1);
    let mut simulation = Simulation::new(1, 0..0);
    simulation.run(1_000);
    std::mem::swap(&mut dispatcher, &mut simulation.dispatcher);
    for run in &simulation.runs {
        dispatcher.release(&run.target.incarnation, None, MonoMs(1_000));
    }
    simulation.runs.clear();
    simulation.dispatcher = dispatcher;

    for now_ms in [5_000, 5_020, 5_040] {
        simulation.submit_request(now_ms);
    }

    assert_eq!(simulation.sent_within(5_000..5_100), 3);
}

// Guards against callers being told that the service is busy while all of it is stalled.
#[test]
fn a_service_is_down_while_its_only_group_is_stalled() {
    let mut simulation = Simulation::new(1, 2_000..3_000);
    simulation.run(2_600);
    let was_down = simulation.dispatcher.is_down();

    let has_resumed = simulation
        .dispatcher
        .on_stream_event(&simulation.runs[0].target.incarnation, MonoMs(2_600));

    assert_eq!((was_down, has_resumed), (true, true));
    assert!(!simulation.dispatcher.is_down());
}

// Guards against all queued requests being sent to the target of a frozen VM that is listed again:
// without a known group, the target did not count as part of the stalled one.
#[test]
fn a_target_that_is_listed_again_belongs_to_its_stalled_group() {
    let mut simulation = Simulation::new(1, 2_000..6_000);
    simulation.run(2_600);
    let all = targets(1);
    let (frozen, others) = all.split_first().expect("the group has targets");
    let without_frozen = update_of(&[group_update(0, others)]);

    let dispatcher = &mut simulation.dispatcher;
    dispatcher.set_targets(others.iter());
    dispatcher.set_engine_update(&without_frozen, MonoMs(2_600));
    dispatcher.set_targets(all.iter());
    simulation.sent_ms.clear();
    simulation.submit_request(2_620);

    assert_eq!(simulation.sent_ms, [], "sent to {}", frozen.id());
}
