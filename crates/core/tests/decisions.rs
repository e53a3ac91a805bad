//! Tests of the decisions on the request path, without sockets or clocks.

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

fn command(counter: u64, start_by_ms: u64) -> RunCommand {
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

fn response() -> Arc<RecordedResponse> {
    Arc::new(RecordedResponse {
        status: 200,
        content_type: String::new(),
        body: Some(Vec::new()),
    })
}

proptest! {
    /// In any order of starts, revokes and waits, a command never starts after the
    /// gate has replied "will not run" to its revoke.
    #[test]
    fn a_command_reported_as_will_not_run_never_starts(
        steps in proptest::collection::vec((0..4u64, any::<bool>(), 0..400u64), 1..200)
    ) {
        let mut gate = StartGate::new(AGENT, 1_000);
        let mut now_ms = MonoMs(0);
        let mut will_not_run = [false; 4];
        for (counter, is_start, wait_ms) in steps {
            now_ms = now_ms + wait_ms;
            let command = command(counter, 2_000);
            if is_start {
                let started = gate.start(command, now_ms).is_ok();
                prop_assert!(!started || !will_not_run[usize::try_from(counter).unwrap()]);
            } else if gate.revoke(command, now_ms) == RevokeReply::WillNotRun {
                will_not_run[usize::try_from(counter).unwrap()] = true;
            }
        }
    }

    /// A key runs at most once over any sequence of homes, with planned moves,
    /// takeovers, evictions and clock skew within the bounds.
    #[test]
    fn a_key_runs_at_most_once_over_all_homes(
        steps in proptest::collection::vec((0..6u8, 0..24u128, 0..300u64, 0..400u64), 1..300)
    ) {
        let clock_bounds = ClockBounds::default();
        let mut reference_ms = 100_000u64;
        let mut ledger = Ledger::for_new_shard(clock_bounds, 4);
        let mut skew_ms = 0;
        let mut issued = [0u64; 24];
        let mut runs = [0u32; 24];
        for (action, key, wait_ms, skew) in steps {
            reference_ms += wait_ms;
            let index = usize::try_from(key).unwrap();
            let wall_ms = WallMs(reference_ms + skew_ms);
            match action {
                0 => {
                    skew_ms = skew;
                    ledger = Ledger::takeover(clock_bounds, WallMs(reference_ms + skew_ms), 4);
                }
                1 => {
                    let exported = ledger.export(3);
                    ledger = Ledger::import(clock_bounds, &exported, 4);
                }
                2 => ledger.finish(key, response()),
                3 => ledger.mark_interrupted(key),
                _ => {
                    if issued[index] == 0 {
                        issued[index] = reference_ms;
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

    /// Versions only increase, and two maps that exchange their differing items converge.
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

    /// With any frames in any order, a response counts as done only if every frame up
    /// to its end was delivered once and in order.
    #[test]
    fn only_complete_responses_are_done(
        frames in proptest::collection::vec((0..6u64, any::<bool>()), 0..40)
    ) {
        let mut attempt = AttemptState::new();
        attempt.on(Event::Sent);
        attempt.on(Event::Head);
        let mut delivered = Vec::new();
        for (number, is_end) in frames {
            let event = if is_end {
                Event::End { frames: number, is_complete: true }
            } else {
                Event::Data { seq: number }
            };
            match attempt.on(event) {
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

/// Guards against "not run" for a command whose reply was lost with an earlier connection: only an
/// agent that goes away on the command's own connection shows that it did not start.
#[test]
fn an_agent_that_goes_away_did_not_run_commands_of_that_connection_alone() {
    let mut on_same_connection = AttemptState::new();
    on_same_connection.on(Event::Sent);
    let mut on_earlier_connection = AttemptState::new();
    on_earlier_connection.on(Event::Sent);
    on_earlier_connection.on(Event::LinkLost);
    let mut responding = AttemptState::new();
    responding.on(Event::Sent);
    responding.on(Event::Head);

    let same = on_same_connection.on(Event::GoAway);
    let earlier = on_earlier_connection.on(Event::GoAway);
    let responding = responding.on(Event::GoAway);

    let not_run = Verdict {
        outcome: Outcome::NotRun,
        begun: false,
        refusal: Some(Refusal::Draining),
    };
    assert_eq!(same, Action::Finish(not_run));
    assert_eq!(earlier, Action::Wait);
    assert!(matches!(responding, Action::Finish(verdict) if verdict.outcome == Outcome::Unknown));
}

/// Guards against a run of a key whose first run had not ended when its shard was handed over.
#[test]
fn a_key_that_runs_during_a_handover_does_not_run_at_the_next_home() {
    let clock_bounds = ClockBounds::default();
    let mut ledger = Ledger::for_new_shard(clock_bounds, 4);
    ledger.admit(keyed(1, 1_000), WallMs(1_000));
    ledger.finish(1, response());
    ledger.admit(keyed(2, 1_100), WallMs(1_100));

    let exported = ledger.export(0);
    let mut next = Ledger::import(clock_bounds, &exported, 4);

    assert_eq!(
        next.admit(keyed(2, 1_100), WallMs(1_200)),
        Admission::Unknown
    );
    assert_eq!(
        next.admit(keyed(1, 1_000), WallMs(1_200)),
        Admission::Unknown
    );
    assert_eq!(next.admit(keyed(3, 1_001), WallMs(1_200)), Admission::Run);
}

#[test]
fn a_command_for_a_previous_incarnation_is_refused_and_has_no_record() {
    let mut gate = StartGate::new(AGENT, 10);
    let old = RunCommand {
        for_incarnation: Incarnation(6),
        ..command(1, 1_000)
    };

    let started = gate.start(old, MonoMs(0));
    let revoked = gate.revoke(old, MonoMs(0));

    assert_eq!(started, Err(Refusal::WrongIncarnation));
    assert_eq!(revoked, RevokeReply::NoRecord);
}

#[test]
fn after_the_start_deadline_a_command_is_refused_and_a_revoke_finds_no_record() {
    let mut gate = StartGate::new(AGENT, 10);

    let started = gate.start(command(1, 1_000), MonoMs(1_001));
    let revoked = gate.revoke(command(2, 1_000), MonoMs(1_001));

    assert_eq!(started, Err(Refusal::TooLate));
    assert_eq!(revoked, RevokeReply::NoRecord);
}

/// Guards against two homes that run requests of one shard at the same time. The store
/// counts a lease from when a delayed renewal arrives; the holder must count from when
/// it sent the renewal, so that its lease ends first.
#[test]
fn a_lease_ends_on_the_holders_clock_counted_from_when_the_renewal_was_sent() {
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
fn after_a_pause_of_the_process_the_peer_is_pinged_before_reconnecting() {
    let mut health = LinkHealth::new(LivenessConfig::default(), MonoMs(0));

    let after_pause = health.check(false, MonoMs(60_000));
    let soon_after = health.check(false, MonoMs(60_600));
    let still_silent = health.check(false, MonoMs(60_700));

    assert_eq!(after_pause, LivenessAction::Ping);
    assert_eq!(soon_after, LivenessAction::Ping);
    assert_eq!(still_silent, LivenessAction::Reconnect);
}

/// Guards against retries that multiply the load on failing targets: when every attempt
/// fails, each request would be sent several times without a budget.
#[test]
fn retries_stay_within_the_budget() {
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
fn a_request_that_may_have_run_is_retried_only_if_safe_to_repeat() {
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
fn a_silent_target_is_avoided_and_a_leaving_target_is_never_picked() {
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
fn a_subset_changes_by_at_most_one_when_a_target_is_removed() {
    let names: Vec<String> = (0..500).map(|number| format!("target-{number}")).collect();
    let all: Vec<&str> = names.iter().map(String::as_str).collect();
    let before = subset("entry-1", &all, 64);

    let without: Vec<&str> = all
        .iter()
        .copied()
        .filter(|name| *name != before[0])
        .collect();
    let now = subset("entry-1", &without, 64);

    let retained = now.iter().filter(|name| before.contains(name)).count();
    assert_eq!(retained, 63);
}

/// Guards against a healthy target that counts as too busy. A long response that is not
/// streamed arrives only after seconds; if it were judged as a late first token, the
/// target would look silent.
#[test]
fn a_response_that_is_not_streamed_does_not_make_its_target_look_silent() {
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

/// Guards against closing a healthy connection as soon as a request uses it. The last
/// ping of the idle connection was a second ago, which is within the idle interval but
/// exceeds the shorter silence timeout that applies once the connection is busy.
#[test]
fn a_connection_that_becomes_busy_is_pinged_before_reconnecting() {
    let mut health = LinkHealth::new(LivenessConfig::default(), MonoMs(0));
    assert_eq!(health.check(true, MonoMs(900)), LivenessAction::Ping);
    health.on_received(MonoMs(901));

    let idle = health.check(true, MonoMs(1_700));
    let busy = health.check(false, MonoMs(1_950));
    let just_pinged = health.check(false, MonoMs(2_000));
    let no_reply = health.check(false, MonoMs(2_650));

    assert_eq!(idle, LivenessAction::Wait);
    assert_eq!(busy, LivenessAction::Ping);
    assert_eq!(just_pinged, LivenessAction::Wait);
    assert_eq!(no_reply, LivenessAction::Reconnect);
}
