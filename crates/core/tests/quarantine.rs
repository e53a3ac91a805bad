//! Which requests are rejected because targets exit while running them.

use std::sync::Arc;

use berylhook_core::digest::{RequestContent, RequestDigest};
use berylhook_core::quarantine::{
    CORRELATED_HOLD_THRESHOLD, CORRELATION_WINDOW_MS, FACT_TTL_MS, GROUP_HOLD_MS, HOLD_THRESHOLD,
    Hold, HoldKind, Quarantine, QuarantineStatus, SurvivedRun, Suspect, TargetExit,
};
use berylhook_core::time::{MonoMs, WallMs};
use proptest::prelude::*;

const WALL_MS: WallMs = WallMs(1_790_000_000_000);
const FIVE_MINUTES_MS: u64 = 300_000;
const HOUR_MS: u64 = 3_600_000;

fn digest(number: u64) -> RequestDigest {
    RequestDigest::of(&RequestContent {
        method: "POST",
        path: "/drafts",
        account: Some("harbour"),
        body: &number.to_le_bytes(),
    })
}

fn exit(target: u64, at_ms: u64, suspects: &[u64]) -> TargetExit {
    TargetExit {
        target: format!("i-{target}").into(),
        at_ms: MonoMs(at_ms),
        suspects: suspects
            .iter()
            .map(|number| suspect(*number, true))
            .collect(),
    }
}

/// The exit of a target at which none of the requests ran alone.
fn exit_not_alone(target: u64, at_ms: u64, suspects: &[u64]) -> TargetExit {
    TargetExit {
        suspects: suspects
            .iter()
            .map(|number| suspect(*number, false))
            .collect(),
        ..exit(target, at_ms, &[])
    }
}

fn suspect(number: u64, ran_alone: bool) -> Suspect {
    Suspect {
        digest: digest(number),
        ran_alone,
    }
}

fn survived_run(number: u64, run: u64, at_ms: u64) -> SurvivedRun {
    SurvivedRun {
        digest: digest(number),
        run: format!("entry-1/{run}").into(),
        at_ms: MonoMs(at_ms),
    }
}

/// Exits of single targets, ten seconds apart, all with request 1.
fn after_exits(count: u64) -> Quarantine {
    let mut quarantine = Quarantine::default();
    for number in 0..count {
        quarantine.on_exit(&exit(number, number * 10_000, &[1, 100 + number]));
    }
    quarantine
}

fn status_at(quarantine: &Quarantine, number: u64, now_ms: u64) -> QuarantineStatus {
    quarantine.status(digest(number), MonoMs(now_ms), WALL_MS)
}

#[test]
fn a_request_is_held_after_the_third_exit() {
    let statuses: Vec<_> = (0..=3)
        .map(|exits| status_at(&after_exits(exits), 1, 20_000).name())
        .collect();

    assert_eq!(statuses, ["clear", "suspect", "on-trial", "held"]);
}

#[test]
fn requests_at_a_single_exit_are_only_suspects() {
    let quarantine = after_exits(3);

    for other in 100..103 {
        assert_eq!(
            status_at(&quarantine, other, 20_000),
            QuarantineStatus::Suspect
        );
    }
}

#[test]
fn a_survived_run_clears_a_suspect() {
    let mut quarantine = after_exits(1);

    assert!(quarantine.on_survived_run(&survived_run(1, 1, 500)));
    assert!(!quarantine.on_survived_run(&survived_run(1, 1, 500)));

    assert_eq!(status_at(&quarantine, 1, 600), QuarantineStatus::Clear);
}

// Guards against one entry that keeps a cleared request suspected for ten minutes, and puts it on
// trial after the next exit. The report of the exit arrives after the report of the survived run.
// This happens if a survived run of a request that is not suspected yet is dropped, so that the
// order of messages matters.
#[test]
fn a_survived_run_counts_even_if_received_before_the_exit() {
    let mut quarantine = Quarantine::default();

    quarantine.on_survived_run(&survived_run(1, 1, 500));
    quarantine.on_exit(&exit_not_alone(1, 100, &[1, 2]));

    assert_eq!(status_at(&quarantine, 1, 600), QuarantineStatus::Clear);
    assert_eq!(status_at(&quarantine, 2, 600), QuarantineStatus::Suspect);
}

// Guards against unbounded memory: peers report thousands of survived runs of requests that are not
// suspected here, and then thousands of exits with them.
#[test]
fn early_survived_runs_are_bounded_and_expire() {
    let mut quarantine = Quarantine::default();
    for number in 0..20_000 {
        quarantine.on_survived_run(&survived_run(number, number, 0));
    }
    let run_count = quarantine.facts(MonoMs(1)).survived_runs.len();
    assert!(run_count <= 1_024, "{run_count}");

    quarantine.expire_facts(MonoMs(FACT_TTL_MS + 1));
    assert!(quarantine.is_empty());
}

// Guards against a request that may stop five targets because a run of it was survived once. The
// request runs well for days, and then a new version of the engine crashes on it. Runs that were
// survived before the first exit must not count in its favour.
#[test]
fn runs_survived_before_any_exit_do_not_offset_exits() {
    let mut quarantine = Quarantine::default();
    for run in 0..9 {
        assert!(!quarantine.on_survived_run(&survived_run(1, run, 0)));
    }

    for number in 0..3 {
        quarantine.on_exit(&exit(number, 10_000 * number, &[1]));
    }

    assert!(matches!(
        status_at(&quarantine, 1, 20_000),
        QuarantineStatus::Held { .. }
    ));
}

// Guards against a formerly harmless request that keeps making targets exit. The request was at one
// exit, and dozens of entries each report a survived run of it; then engines of a new version crash
// on it. Survived runs must not be credited against later exits.
#[test]
fn survived_runs_do_not_accumulate_against_later_exits() {
    let mut quarantine = after_exits(1);
    for run in 0..53 {
        quarantine.on_survived_run(&survived_run(1, run, 1_000 + run));
    }
    assert_eq!(status_at(&quarantine, 1, 2_000), QuarantineStatus::Clear);

    for number in 1..=3 {
        quarantine.on_exit(&exit(number, 10_000 * number, &[1]));
    }

    assert!(matches!(
        status_at(&quarantine, 1, 30_000),
        QuarantineStatus::Held { .. }
    ));
}

// Guards against rejecting innocent requests after a rack has lost power three times. Many targets
// exit at once, callers retry, and this repeats. This happens if each exit counts fully against the
// requests that were there.
#[test]
fn three_correlated_exits_do_not_hold_a_request() {
    let mut quarantine = Quarantine::default();
    for number in 0..3 {
        let at_ms = number * 10_000;
        quarantine.on_exit(&exit(2 * number, at_ms, &[1]));
        quarantine.on_exit(&exit(
            2 * number + 1,
            at_ms + CORRELATION_WINDOW_MS / 2,
            &[2],
        ));
    }

    assert_eq!(status_at(&quarantine, 1, 20_000), QuarantineStatus::OnTrial);
}

// Guards against a poison request that is never held while targets also fail for other reasons.
// This happens if correlated exits do not count at all.
#[test]
fn a_request_at_every_exit_is_held_even_if_all_are_correlated() {
    let mut quarantine = Quarantine::default();
    for number in 0..CORRELATED_HOLD_THRESHOLD as u64 {
        quarantine.on_exit(&exit(2 * number, number * 10_000, &[1]));
        quarantine.on_exit(&exit(2 * number + 1, number * 10_000, &[2, 50 + number]));
    }

    assert!(matches!(
        status_at(&quarantine, 1, 50_000),
        QuarantineStatus::Held { .. }
    ));
}

// Guards against rejecting, for minutes, all callers who send the same request. Three targets exit
// within the duration of one of its runs. The request was at each of them, as at every other
// target, and this happens if each exit counts against it.
#[test]
fn a_request_that_is_always_at_every_target_stays_a_suspect() {
    let mut quarantine = Quarantine::default();
    for number in 0..8 {
        quarantine.on_exit(&exit_not_alone(number, number * 100, &[1, 10 + number]));
    }

    assert_eq!(status_at(&quarantine, 1, 800), QuarantineStatus::Suspect);
}

/// Three targets that exit within 110 ms, each with a request that many callers send and a poison
/// request. At each exit the poison request is reported last, as by another process.
fn after_shared_exits() -> (Quarantine, Vec<TargetExit>) {
    let mut quarantine = Quarantine::default();
    let popular_ran_alone = |target, at_ms| exit(target, at_ms, &[POPULAR]);
    quarantine.on_exit(&exit_not_alone(1, 0, &[POPULAR, POISON]));
    quarantine.on_exit(&popular_ran_alone(2, 9));
    quarantine.on_exit(&exit_not_alone(2, 23, &[POISON]));
    quarantine.on_exit(&popular_ran_alone(3, 111));
    (quarantine, vec![exit(3, 112, &[POISON])])
}

const POPULAR: u64 = 1;
const POISON: u64 = 2;

/// Time within which processes report an exit to each other.
const EXIT_REPORT_WINDOW_MS: u64 = 3_000;

// Guards against holding a request that many callers send for five minutes, although the poison
// request was at each of the three exits too.
#[test]
fn a_request_is_not_held_for_exits_that_another_request_explains() {
    let (mut quarantine, late_reports) = after_shared_exits();
    for exit in &late_reports {
        quarantine.on_exit(exit);
    }

    assert_eq!(
        status_at(&quarantine, POPULAR, 500),
        QuarantineStatus::OnTrial
    );
    assert_eq!(
        quarantine.unrecorded_holds(MonoMs(500), WALL_MS),
        Vec::new()
    );
}

// While the process that sent the poison request has not reported it yet, the caller is told to
// retry when the report must have arrived.
#[test]
fn a_request_is_held_briefly_until_exit_reports_are_complete() {
    let (quarantine, _) = after_shared_exits();

    assert_eq!(
        status_at(&quarantine, POPULAR, 120),
        QuarantineStatus::Held {
            retry_after_ms: Some(EXIT_REPORT_WINDOW_MS - 9)
        }
    );
    assert_eq!(
        quarantine.unrecorded_holds(MonoMs(120), WALL_MS),
        Vec::new()
    );
}

// Guards against holding a request that many callers send for five minutes. The process that sent
// the poison request to the third target was paused, and reports it a second later.
#[test]
fn a_request_is_held_only_briefly_until_a_paused_process_has_reported() {
    let (mut quarantine, late_reports) = after_shared_exits();
    let while_paused = status_at(&quarantine, POPULAR, 111 + 1_000);
    for exit in &late_reports {
        quarantine.on_exit(exit);
    }

    assert_eq!(
        while_paused,
        QuarantineStatus::Held {
            retry_after_ms: Some(EXIT_REPORT_WINDOW_MS - 1_000)
        }
    );
    assert_eq!(
        status_at(&quarantine, POPULAR, 1_300),
        QuarantineStatus::OnTrial
    );
}

// A second explanation exempts both requests from a hold only until a target survives a run of one
// of them. Then the poison request alone explains all exits.
#[test]
fn the_only_remaining_explanation_is_held() {
    let (mut quarantine, late_reports) = after_shared_exits();
    for exit in &late_reports {
        quarantine.on_exit(exit);
    }
    quarantine.on_survived_run(&survived_run(POPULAR, 1, 300));
    quarantine.on_exit(&exit(4, 1_000, &[POISON]));

    assert!(matches!(
        status_at(&quarantine, POISON, 1_300),
        QuarantineStatus::Held { .. }
    ));
}

// A request that many callers send is always at the target of the poison request too, but targets
// survive most of its runs.
#[test]
fn a_request_with_survived_runs_explains_no_exits() {
    let mut quarantine = Quarantine::default();
    for number in 0..3 {
        let at_ms = number * 1_000;
        quarantine.on_exit(&exit(number, at_ms, &[POISON]));
        quarantine.on_exit(&exit_not_alone(number, at_ms, &[POPULAR]));
        quarantine.on_survived_run(&survived_run(POPULAR, number, at_ms + 200));
    }
    quarantine.on_exit(&exit_not_alone(2, 2_000, &[POPULAR]));

    assert!(matches!(
        status_at(&quarantine, POISON, 2_400),
        QuarantineStatus::Held { .. }
    ));
}

// A report that the request ran alone takes precedence over the reports of other entries, in any
// order.
#[test]
fn ran_alone_is_kept_when_other_entries_report_the_same_exit() {
    let facts = [
        exit_not_alone(1, 0, &[1]),
        exit(1, 0, &[1]),
        exit_not_alone(1, 0, &[1]),
    ];
    let mut quarantine = Quarantine::default();
    quarantine.on_exit(&exit_not_alone(0, 0, &[1]));

    for fact in &facts {
        quarantine.on_exit(fact);
    }

    assert_eq!(status_at(&quarantine, 1, 0), QuarantineStatus::OnTrial);
}

// Guards against rejecting an innocent request while a poison request stops targets and a rack
// loses power. The request is at two targets that are killed, and in between beside the poison
// request. This happens if one uncorrelated exit suffices for a hold.
#[test]
fn one_uncorrelated_exit_among_kills_holds_no_request() {
    let mut quarantine = Quarantine::default();
    for (number, at_ms) in [(0, 0), (2, 20_000)] {
        quarantine.on_exit(&exit(number, at_ms, &[1]));
        quarantine.on_exit(&exit(number + 10, at_ms, &[2]));
    }
    quarantine.on_exit(&exit(1, 10_000, &[1, 3]));

    assert_eq!(status_at(&quarantine, 1, 20_000), QuarantineStatus::OnTrial);
}

// Three copies of the poison request that run at the same time stop three targets at once. These
// exits are not correlated with each other.
#[test]
fn exits_of_one_request_are_not_correlated() {
    let mut quarantine = Quarantine::default();
    for number in 0..HOLD_THRESHOLD as u64 {
        quarantine.on_exit(&exit(number, number, &[1, 10 + number]));
    }

    assert!(matches!(
        status_at(&quarantine, 1, 10),
        QuarantineStatus::Held { .. }
    ));
    assert_eq!(status_at(&quarantine, 10, 10), QuarantineStatus::Suspect);
}

#[test]
fn duplicate_reports_count_once() {
    let mut quarantine = Quarantine::default();
    for _ in 0..5 {
        quarantine.on_exit(&exit(1, 0, &[1]));
    }

    assert_eq!(status_at(&quarantine, 1, 0), QuarantineStatus::Suspect);
}

#[test]
fn a_held_request_is_on_trial_after_the_trial_delay() {
    let quarantine = after_exits(3);

    let held = status_at(&quarantine, 1, 20_000);
    let due = status_at(&quarantine, 1, 20_000 + FIVE_MINUTES_MS);

    assert_eq!(
        held,
        QuarantineStatus::Held {
            retry_after_ms: Some(FIVE_MINUTES_MS)
        }
    );
    assert_eq!(due, QuarantineStatus::OnTrial);
}

#[test]
fn a_stored_hold_outlives_the_facts() {
    let mut quarantine = after_exits(3);
    let (held_digest, hold) = quarantine
        .unrecorded_holds(MonoMs(20_000), WALL_MS)
        .remove(0);
    quarantine.on_hold(held_digest, Some(hold), MonoMs(20_100));

    quarantine.expire_facts(MonoMs(20_000 + FACT_TTL_MS));

    assert!(
        quarantine
            .unrecorded_holds(MonoMs(20_000 + FACT_TTL_MS), WALL_MS)
            .is_empty()
    );
    assert!(matches!(
        quarantine.status(digest(1), MonoMs(30_000 + FACT_TTL_MS), WALL_MS + 1_000),
        QuarantineStatus::Held { .. }
    ));
    assert_eq!(
        status_at(&quarantine, 100, 30_000 + FACT_TTL_MS),
        QuarantineStatus::Clear
    );
}

// Guards against a request that no engine survives and that stops a target every five minutes
// forever. This happens if a failed trial counts like any other exit.
#[test]
fn each_failed_trial_doubles_the_trial_delay_up_to_an_hour() {
    let mut quarantine = after_exits(3);
    let (mut now, mut wall) = (MonoMs(20_000), WALL_MS);
    let mut delays_ms = Vec::new();
    for trial in 0..6 {
        for (held_digest, hold) in quarantine.unrecorded_holds(now, wall) {
            quarantine.on_hold(held_digest, Some(hold), now);
        }
        let QuarantineStatus::Held {
            retry_after_ms: Some(retry_after_ms),
        } = quarantine.status(digest(1), now, wall)
        else {
            panic!("the request must be held after trial {trial}");
        };
        delays_ms.push(retry_after_ms);
        (now, wall) = (now + retry_after_ms, wall + retry_after_ms);
        assert_eq!(
            quarantine.status(digest(1), now, wall),
            QuarantineStatus::OnTrial
        );
        quarantine.expire_facts(now);
        quarantine.on_exit(&exit(1_000 + trial, now.0, &[1]));
    }

    let minutes: Vec<u64> = delays_ms.iter().map(|ms| ms / 60_000).collect();
    assert_eq!(minutes, [5, 10, 20, 40, 60, 60]);
}

// Guards against a hold whose next trial is delayed by minutes on a fleet with slow gossip. The
// hold arrives from the store before a peer reports the exit that led to it. This happens if any
// exit received after the hold counts as a failed trial.
#[test]
fn the_exit_that_led_to_a_hold_is_no_failed_trial() {
    let mut quarantine = Quarantine::default();
    quarantine.on_hold(
        digest(1),
        Some(Hold::new(HoldKind::Held, WALL_MS)),
        MonoMs(0),
    );

    quarantine.on_exit(&exit(1, 900, &[1]));

    assert!(
        quarantine
            .unrecorded_holds(MonoMs(1_000), WALL_MS)
            .is_empty()
    );
}

#[test]
fn a_pinned_request_is_held_without_a_trial() {
    let mut quarantine = Quarantine::default();
    quarantine.on_hold(
        digest(1),
        Some(Hold::new(HoldKind::Pinned, WALL_MS)),
        MonoMs(0),
    );

    let much_later = quarantine.status(digest(1), MonoMs(9), WALL_MS + 100 * HOUR_MS);

    assert_eq!(
        much_later,
        QuarantineStatus::Held {
            retry_after_ms: None
        }
    );
    assert!(quarantine.expired_holds(WALL_MS + 100 * HOUR_MS).is_empty());
}

#[test]
fn only_exits_after_a_lift_count() {
    let mut quarantine = after_exits(3);
    let hold = Hold {
        lifted: quarantine.exits_of(digest(1)).map(Arc::clone).collect(),
        ..Hold::new(HoldKind::Lifted, WALL_MS)
    };

    quarantine.on_hold(digest(1), Some(hold), MonoMs(30_000));
    let lifted = status_at(&quarantine, 1, 30_000);
    quarantine.on_exit(&exit(77, 31_000, &[1]));

    assert_eq!(lifted, QuarantineStatus::Clear);
    assert_eq!(status_at(&quarantine, 1, 31_000), QuarantineStatus::Suspect);
}

#[test]
fn an_unused_hold_expires() {
    let mut quarantine = Quarantine::default();
    quarantine.on_hold(
        digest(1),
        Some(Hold::new(HoldKind::Held, WALL_MS)),
        MonoMs(0),
    );

    assert!(quarantine.expired_holds(WALL_MS + HOUR_MS).is_empty());
    assert_eq!(quarantine.expired_holds(WALL_MS + 2 * HOUR_MS), [digest(1)]);
}

// A clock that is set back by a day must not hold a request for a day.
#[test]
fn a_clock_set_back_does_not_extend_a_hold() {
    let hold = Hold::new(HoldKind::Held, WALL_MS);

    assert_eq!(
        hold.retry_after_ms(WallMs(WALL_MS.0 - 24 * HOUR_MS)),
        FIVE_MINUTES_MS
    );
}

// Guards against the eviction of a hold, and against unbounded memory, while a client sends
// thousands of other requests that each make a target exit. Both occur if holds and exits share one
// table.
#[test]
fn a_flood_of_exits_is_bounded_and_evicts_no_hold() {
    let mut quarantine = Quarantine::default();
    quarantine.on_hold(
        digest(1),
        Some(Hold::new(HoldKind::Held, WALL_MS)),
        MonoMs(0),
    );

    for number in 0..3_000 {
        let suspects: Vec<u64> = (0..200)
            .map(|index| 10_000 + number * 200 + index)
            .collect();
        quarantine.on_exit(&exit(number, number, &suspects));
    }

    assert!(matches!(
        status_at(&quarantine, 1, 3_000),
        QuarantineStatus::Held { .. }
    ));
    let facts = quarantine.facts(MonoMs(3_000));
    assert!(facts.exits.len() <= 256);
    assert!(facts.exits.iter().all(|exit| exit.suspects.len() <= 64));
    let (suspects, held) = quarantine.counts(MonoMs(3_000), WALL_MS);
    assert!(suspects <= 256 * 64, "{suspects}");
    assert_eq!(held, 1);
}

#[test]
fn holds_are_bounded_and_the_oldest_is_evicted() {
    let mut quarantine = Quarantine::default();
    for number in 0..1_030 {
        let hold = Hold::new(HoldKind::Held, WALL_MS + number);
        quarantine.on_hold(digest(number), Some(hold), MonoMs(0));
    }

    assert_eq!(quarantine.hold(digest(0)), None);
    assert!(quarantine.hold(digest(1_029)).is_some());
    assert_eq!(quarantine.counts(MonoMs(0), WALL_MS).1, 1_024);
}

#[test]
fn facts_keep_their_age_on_another_clock() {
    let quarantine = after_exits(3);

    let facts = quarantine
        .facts(MonoMs(25_000))
        .rebased_to(MonoMs(1_000_000));

    let ages_ms: Vec<u64> = facts
        .exits
        .iter()
        .map(|exit| 1_000_000 - exit.at_ms.0)
        .collect();
    assert_eq!(ages_ms, [25_000, 15_000, 5_000]);
}

proptest! {
    // Entries receive the same facts in any order and with duplicates. If the result depended on
    // that, one entry would reject a request that another one sends on.
    #[test]
    fn the_order_and_duplicates_of_facts_do_not_matter(
        exits in prop::collection::vec((0_u64..6, 0_u64..4, 0_u64..4), 1..12),
        order in prop::collection::vec(any::<prop::sample::Index>(), 40),
    ) {
        let facts: Vec<TargetExit> = exits
            .iter()
            .map(|(target, first, second)| exit(*target, target * 700, &[*first, *second]))
            .collect();
        let mut once = Quarantine::default();
        for fact in &facts {
            once.on_exit(fact);
        }
        let mut shuffled = Quarantine::default();
        for index in order {
            shuffled.on_exit(index.get(&facts));
        }
        for fact in facts.iter().rev() {
            shuffled.on_exit(fact);
        }

        prop_assert_eq!(once.summary(), shuffled.summary());
        for number in 0..4 {
            prop_assert_eq!(status_at(&once, number, 5_000), status_at(&shuffled, number, 5_000));
        }
    }
}

fn status_in_group_at(quarantine: &Quarantine, number: u64, now_ms: u64) -> QuarantineStatus {
    quarantine.status_in_group(digest(number), MonoMs(now_ms), WALL_MS)
}

/// Guards against a third outage of a group caused by one poison request: from the second exit on,
/// no other request explains both exits.
#[test]
fn in_a_group_two_exits_hold_the_only_explanation() {
    let mut quarantine = Quarantine::default();
    quarantine.on_exit(&exit(1, 1_000, &[1, 2, 3]));
    quarantine.on_exit(&exit(2, 5_000, &[1, 4, 5]));

    let poison = status_in_group_at(&quarantine, 1, 5_000);
    let outside_group = status_at(&quarantine, 1, 5_000);
    let later = status_in_group_at(&quarantine, 1, 5_000 + GROUP_HOLD_MS);

    let retry_after_ms = Some(GROUP_HOLD_MS);
    assert_eq!(poison, QuarantineStatus::Held { retry_after_ms });
    assert_eq!(outside_group, QuarantineStatus::OnTrial);
    assert_eq!(later, QuarantineStatus::OnTrial);
    assert_eq!(
        status_in_group_at(&quarantine, 4, 5_000),
        QuarantineStatus::Suspect
    );
}

/// Guards against holding an innocent request: another request was at both exits, or other targets
/// exited at the same time as one of them.
#[test]
fn in_a_group_two_exits_with_other_explanations_hold_nothing() {
    let mut shared = Quarantine::default();
    shared.on_exit(&exit(1, 1_000, &[1, 2]));
    shared.on_exit(&exit(2, 5_000, &[1, 2]));
    let mut correlated = Quarantine::default();
    correlated.on_exit(&exit(1, 1_000, &[1]));
    correlated.on_exit(&exit(2, 5_000, &[1]));
    correlated.on_exit(&exit(3, 5_300, &[6]));

    assert_eq!(
        status_in_group_at(&shared, 1, 5_000),
        QuarantineStatus::OnTrial
    );
    assert_eq!(
        status_in_group_at(&correlated, 1, 5_300),
        QuarantineStatus::OnTrial
    );

    shared.on_survived_run(&survived_run(2, 7, 6_000));
    shared.on_survived_run(&survived_run(2, 8, 6_500));
    assert!(matches!(
        status_in_group_at(&shared, 1, 7_000),
        QuarantineStatus::Held { .. }
    ));
}

/// Guards against a third group that stops within milliseconds: two copies of the poison request
/// stop two targets at the same time, which counts as one exit outside of groups.
#[test]
fn in_a_group_two_exits_at_the_same_time_count_as_two() {
    let exit_of_copy = |target, at_ms, others: &[u64]| {
        let mut exit = exit(target, at_ms, others);
        exit.suspects.push(suspect(1, false));
        exit
    };
    let mut quarantine = Quarantine::default();
    quarantine.on_exit(&exit_of_copy(1, 1_000, &[2, 3]));
    quarantine.on_exit(&exit_of_copy(2, 1_120, &[4, 5]));

    let poison = status_in_group_at(&quarantine, 1, 1_130);

    assert!(
        matches!(poison, QuarantineStatus::Held { .. }),
        "{poison:?}"
    );
    assert_eq!(status_at(&quarantine, 1, 1_130), QuarantineStatus::Suspect);
}
