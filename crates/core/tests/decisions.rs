//! The request path's decisions, without sockets or clocks.

use std::sync::Arc;

use berylhook_core::attempt::{Action, AttemptState, Event, Verdict};
use berylhook_core::ids::{Incarnation, RequestId};
use berylhook_core::lease::HeldLease;
use berylhook_core::ledger::{Admission, ClockBounds, KeyedRequest, Ledger, RecordedResponse};
use berylhook_core::liveness::{LinkHealth, LivenessAction, LivenessConfig};
use berylhook_core::outcome::{Outcome, Refusal};
use berylhook_core::retry::{RetryBudget, RetryDecision, decide};
use berylhook_core::route::{
    Availability, RouteConfig, RouteQuery, Router, SentRequest, TargetId, subset,
};
use berylhook_core::start_gate::{RevokeReply, RunCommand, StartGate};
use berylhook_core::time::{MonoMs, WallMs};
use berylhook_core::versions::VersionMap;
use proptest::prelude::*;

const AGENT: Incarnation = Incarnation(7);

fn order(counter: u64, start_by_ms: u64) -> RunCommand {
    RunCommand {
        id: RequestId {
            origin: Incarnation(1),
            counter,
        },
        for_incarnation: AGENT,
        start_by_ms: MonoMs(start_by_ms),
    }
}

fn keyed(key: u128, issued_ms: u64) -> KeyedRequest {
    KeyedRequest {
        key,
        issued_ms: WallMs(issued_ms),
        digest: 1,
    }
}

fn answer() -> Arc<RecordedResponse> {
    Arc::new(RecordedResponse {
        status: 200,
        content_type: String::new(),
        body: Some(Vec::new()),
    })
}

proptest! {
    /// Whatever order starts, revokes and time come in, an order whose revoke
    /// was answered "will not run" never starts.
    #[test]
    fn a_promise_not_to_run_is_kept(
        moves in proptest::collection::vec((0..4u64, any::<bool>(), 0..400u64), 1..200)
    ) {
        let mut gate = StartGate::new(AGENT, 1_000);
        let mut now_ms = MonoMs(0);
        let mut promised = [false; 4];
        for (counter, is_start, wait_ms) in moves {
            now_ms = now_ms + wait_ms;
            let order = order(counter, 2_000);
            if is_start {
                let started = gate.start(order, now_ms).is_ok();
                prop_assert!(!started || !promised[usize::try_from(counter).unwrap()]);
            } else if gate.revoke(order, now_ms) == RevokeReply::WillNotRun {
                promised[usize::try_from(counter).unwrap()] = true;
            }
        }
    }

    /// A key runs at most once over any sequence of homes, whichever planned
    /// moves, takeovers, evictions and clocks within the allowance there are.
    #[test]
    fn a_key_runs_at_most_once_over_all_homes(
        moves in proptest::collection::vec((0..6u8, 0..24u128, 0..300u64, 0..400u64), 1..300)
    ) {
        let clocks = ClockBounds::default();
        let mut true_ms = 100_000u64;
        let mut ledger = Ledger::for_new_shard(clocks, 4);
        let mut skew_ms = 0;
        let mut issued = [0u64; 24];
        let mut runs = [0u32; 24];
        for (what, key, wait_ms, skew) in moves {
            true_ms += wait_ms;
            let index = usize::try_from(key).unwrap();
            let wall_ms = WallMs(true_ms + skew_ms);
            match what {
                0 => {
                    skew_ms = skew;
                    ledger = Ledger::takeover(clocks, WallMs(true_ms + skew_ms), 4);
                }
                1 if !ledger.has_running_requests() => {
                    let moved = ledger.export(3);
                    ledger = Ledger::import(clocks, &moved, 4);
                }
                2 => ledger.finish(key, answer()),
                3 => ledger.mark_interrupted(key),
                _ => {
                    if issued[index] == 0 {
                        issued[index] = true_ms;
                    }
                    let request = keyed(key, issued[index]);
                    if ledger.admit(request, wall_ms) == Admission::Run {
                        runs[index] += 1;
                    }
                    prop_assert!(runs[index] <= 1, "key {key} ran twice");
                }
            }
        }
    }

    /// Versions only rise, and two maps that exchange what differs agree.
    #[test]
    fn versions_converge_and_never_revert(
        left in proptest::collection::vec((0..20u32, 1..9u64), 0..60),
        right in proptest::collection::vec((0..20u32, 1..9u64), 0..60),
    ) {
        let fill = |offers: &[(u32, u64)]| {
            let mut map = VersionMap::default();
            for (item, version) in offers {
                let before = map.version(item);
                map.offer(*item, *version, ());
                assert!(map.version(item) >= before);
            }
            map
        };
        let mut left = fill(&left);
        let mut right = fill(&right);
        let to_right: Vec<_> = left
            .differing(right.summary())
            .map(|(item, value)| (*item, value.version))
            .collect();
        let to_left: Vec<_> = right
            .differing(left.summary())
            .map(|(item, value)| (*item, value.version))
            .collect();
        for (item, version) in to_right {
            right.offer(item, version, ());
        }
        for (item, version) in to_left {
            left.offer(item, version, ());
        }
        prop_assert_eq!(left.summary(), right.summary());
    }

    /// Whatever frames come in whatever order, an answer is only called done
    /// if every frame up to its end was delivered once and in order.
    #[test]
    fn only_whole_answers_are_done(
        frames in proptest::collection::vec((0..6u64, any::<bool>()), 0..40)
    ) {
        let mut exchange = AttemptState::new();
        exchange.on(Event::Sent);
        exchange.on(Event::Head);
        let mut delivered = Vec::new();
        for (number, is_end) in frames {
            let event = if is_end {
                Event::End { frames: number, is_complete: true }
            } else {
                Event::Data { seq: number }
            };
            match exchange.on(event) {
                Action::Deliver => delivered.push(number),
                Action::Finish(verdict) if verdict.outcome == Outcome::Done => {
                    let expected: Vec<u64> = (0..number).collect();
                    prop_assert_eq!(&delivered, &expected);
                }
                _ => {}
            }
        }
    }
}

#[test]
fn an_order_for_a_former_incarnation_is_refused_and_not_answered_for() {
    let mut gate = StartGate::new(AGENT, 10);
    let old = RunCommand {
        for_incarnation: Incarnation(6),
        ..order(1, 1_000)
    };

    let started = gate.start(old, MonoMs(0));
    let revoked = gate.revoke(old, MonoMs(0));

    assert_eq!(started, Err(Refusal::WrongIncarnation));
    assert_eq!(revoked, RevokeReply::NoRecord);
}

#[test]
fn after_its_start_deadline_an_order_is_refused_and_silence_proves_nothing() {
    let mut gate = StartGate::new(AGENT, 10);

    let started = gate.start(order(1, 1_000), MonoMs(1_001));
    let revoked = gate.revoke(order(2, 1_000), MonoMs(1_001));

    assert_eq!(started, Err(Refusal::TooLate));
    assert_eq!(revoked, RevokeReply::NoRecord);
}

/// Symptom: two homes start requests in the same shard.
/// Sequence: a renewal is delayed on its way; the service counts from its
/// arrival.
/// Cause: the holder counts from the sending, so it always stops first.
#[test]
fn a_right_ends_on_the_holders_clock_counted_from_the_sending() {
    let mut lease = HeldLease::granted(10_000, MonoMs(0));

    lease.on_renewed(MonoMs(4_000));
    lease.on_renewed(MonoMs(2_000));

    assert!(lease.is_valid(MonoMs(13_000)));
    assert!(!lease.is_valid(MonoMs(13_900)));
}

#[test]
fn a_full_ledger_of_running_requests_admits_no_more() {
    let mut ledger = Ledger::for_new_shard(ClockBounds::default(), 2);
    let now_ms = WallMs(1_000_000);
    assert_eq!(ledger.admit(keyed(1, 999_900), now_ms), Admission::Run);
    assert_eq!(ledger.admit(keyed(2, 999_900), now_ms), Admission::Run);

    let third = ledger.admit(keyed(3, 999_900), now_ms);

    assert_eq!(third, Admission::InProgress);
}

#[test]
fn a_process_that_was_paused_does_not_blame_its_peer() {
    let mut health = LinkHealth::new(LivenessConfig::default(), MonoMs(0));

    let after_pause = health.check(false, MonoMs(60_000));
    let soon_after = health.check(false, MonoMs(60_600));
    let still_silent = health.check(false, MonoMs(60_700));

    assert_eq!(after_pause, LivenessAction::Ping);
    assert_eq!(soon_after, LivenessAction::Ping);
    assert_eq!(still_silent, LivenessAction::Reconnect);
}

/// Symptom: a fault in the targets doubles the load on them.
/// Sequence: every attempt fails.
/// Cause: without a budget each request would be sent several times.
#[test]
fn retries_stay_within_their_share_of_first_attempts() {
    let mut budget = RetryBudget::new(10);
    let failed = Verdict {
        outcome: Outcome::Unknown,
        begun: false,
        refusal: None,
    };

    let mut retries = 0;
    for _ in 0..1_000 {
        budget.on_attempt();
        retries += u32::from(decide(failed, true, 1, &mut budget) == RetryDecision::Retry);
    }

    assert!((100..=110).contains(&retries), "{retries} retries");
}

#[test]
fn what_may_have_run_is_not_retried_unless_that_does_no_harm() {
    let mut budget = RetryBudget::new(100);
    let lost = Verdict {
        outcome: Outcome::Unknown,
        begun: false,
        refusal: None,
    };
    let begun = Verdict {
        begun: true,
        ..lost
    };

    assert_eq!(
        decide(lost, false, 1, &mut budget),
        RetryDecision::ReportToCaller
    );
    assert_eq!(decide(lost, true, 1, &mut budget), RetryDecision::Retry);
    assert_eq!(
        decide(begun, true, 1, &mut budget),
        RetryDecision::ReportToCaller
    );
}

#[test]
fn a_silent_target_is_avoided_and_a_leaving_one_never_picked() {
    let mut router = Router::new(RouteConfig::default());
    for id in 0..3 {
        router.set_availability(TargetId(id), Availability::Up);
        if let Some(load) = router.load_mut(TargetId(id)) {
            load.on_load_report(0, 0, 16, MonoMs(0));
        }
    }
    router.set_availability(TargetId(2), Availability::Leaving);
    let sent = SentRequest {
        blocks: &[],
        is_stream: true,
    };
    router.on_dispatch(TargetId(0), &sent, MonoMs(0));
    let query = RouteQuery {
        blocks: &[],
        exclude: &[],
    };

    let mut number = 0;
    let picked: Vec<_> = (0..20)
        .filter_map(|_| {
            let random = &mut || {
                number += 1;
                number
            };
            router.pick(&query, MonoMs(2_000), random)
        })
        .collect();

    assert!(picked.iter().all(|id| *id == TargetId(1)), "{picked:?}");
}

#[test]
fn a_subset_changes_by_at_most_one_when_a_target_goes() {
    let names: Vec<String> = (0..500).map(|number| format!("target-{number}")).collect();
    let all: Vec<&str> = names.iter().map(String::as_str).collect();
    let before = subset("entry-1", &all, 64);

    let without: Vec<&str> = all
        .iter()
        .copied()
        .filter(|name| *name != before[0])
        .collect();
    let now = subset("entry-1", &without, 64);

    let kept = now.iter().filter(|name| before.contains(name)).count();
    assert_eq!(kept, 63);
}

/// Symptom: callers are told that a healthy target is too busy.
/// Sequence: somebody asks for a long answer all at once; nothing of it comes
/// for seconds.
/// Cause: taken for a late first token, it would make the target look silent.
#[test]
fn an_answer_that_comes_all_at_once_does_not_make_its_target_look_silent() {
    let mut router = Router::new(RouteConfig::default());
    router.set_availability(TargetId(0), Availability::Up);
    if let Some(load) = router.load_mut(TargetId(0)) {
        load.on_load_report(0, 0, 16, MonoMs(0));
    }
    let sent = |is_stream| SentRequest {
        blocks: &[],
        is_stream,
    };
    // Requests at this target usually take four seconds.
    for round in 0..40 {
        let sent_ms = MonoMs(round * 5_000);
        router.on_dispatch(TargetId(0), &sent(false), sent_ms);
        if let Some(load) = router.load_mut(TargetId(0)) {
            load.on_request_end(sent_ms, sent_ms + 4_000);
        }
    }

    router.on_dispatch(TargetId(0), &sent(false), MonoMs(300_000));
    let estimate_ms = router.estimate_ms(TargetId(0), &[], MonoMs(303_000));

    assert!(estimate_ms.is_some_and(|ms| ms < 100.0), "{estimate_ms:?}");
}

/// Symptom: a healthy connection is dropped as soon as a request uses it.
/// Sequence: an idle connection was pinged a second ago, which is often enough
/// while it is idle; then a request makes it busy.
/// Cause: the shorter bound for busy connections, held against silence from
/// before anything was asked.
#[test]
fn a_connection_that_becomes_busy_is_pinged_before_it_is_given_up() {
    let mut health = LinkHealth::new(LivenessConfig::default(), MonoMs(0));
    assert_eq!(health.check(true, MonoMs(900)), LivenessAction::Ping);
    health.on_received(MonoMs(901));

    let idle = health.check(true, MonoMs(1_700));
    let busy = health.check(false, MonoMs(1_950));
    let just_asked = health.check(false, MonoMs(2_000));
    let never_answered = health.check(false, MonoMs(2_650));

    assert_eq!(idle, LivenessAction::Wait);
    assert_eq!(busy, LivenessAction::Ping);
    assert_eq!(just_asked, LivenessAction::Wait);
    assert_eq!(never_answered, LivenessAction::Reconnect);
}
