//! Which requests are held back because targets end under them.

use std::sync::Arc;

use berylhook_core::digest::{RequestContent, RequestDigest};
use berylhook_core::quarantine::{
    CORRELATED_HOLD_THRESHOLD, CORRELATION_WINDOW_MS, FACT_TTL_MS, GROUP_HOLD_MS, HOLD_THRESHOLD,
    Hold, HoldKind, Quarantine, QuarantineStatus, SurvivedRun, Suspect, TargetExit,
};
use berylhook_core::time::{MonoMs, WallMs};
use proptest::prelude::*;

const WALL: WallMs = WallMs(1_790_000_000_000);
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

fn end(target: u64, at_ms: u64, suspects: &[u64]) -> TargetExit {
    TargetExit {
        target: format!("i-{target}").into(),
        at_ms: MonoMs(at_ms),
        suspects: suspects
            .iter()
            .map(|number| suspect(*number, true))
            .collect(),
    }
}

/// The same with requests that did not run alone.
fn end_among_others(target: u64, at_ms: u64, suspects: &[u64]) -> TargetExit {
    TargetExit {
        suspects: suspects
            .iter()
            .map(|number| suspect(*number, false))
            .collect(),
        ..end(target, at_ms, &[])
    }
}

fn suspect(number: u64, ran_alone: bool) -> Suspect {
    Suspect {
        digest: digest(number),
        ran_alone,
    }
}

fn outlived(number: u64, run: u64, at_ms: u64) -> SurvivedRun {
    SurvivedRun {
        digest: digest(number),
        run: format!("entry-1/{run}").into(),
        at_ms: MonoMs(at_ms),
    }
}

/// Ends of single targets, ten seconds apart, all with request 1.
fn after_ends(count: u64) -> Quarantine {
    let mut quarantine = Quarantine::default();
    for number in 0..count {
        quarantine.on_exit(&end(number, number * 10_000, &[1, 100 + number]));
    }
    quarantine
}

fn standing_at(quarantine: &Quarantine, number: u64, now_ms: u64) -> QuarantineStatus {
    quarantine.status(digest(number), MonoMs(now_ms), WALL)
}

#[test]
fn a_request_that_was_at_one_end_after_the_other_is_held_after_the_third() {
    let standings: Vec<_> = (0..=3)
        .map(|ends| standing_at(&after_ends(ends), 1, 20_000).name())
        .collect();

    assert_eq!(standings, ["clear", "suspect", "on-trial", "held"]);
}

#[test]
fn its_neighbours_at_single_ends_are_only_suspects() {
    let quarantine = after_ends(3);

    for neighbour in 100..103 {
        assert_eq!(
            standing_at(&quarantine, neighbour, 20_000),
            QuarantineStatus::Suspect
        );
    }
}

#[test]
fn a_target_that_outlives_a_suspect_clears_it() {
    let mut quarantine = after_ends(1);

    assert!(quarantine.on_survived_run(&outlived(1, 1, 500)));
    assert!(!quarantine.on_survived_run(&outlived(1, 1, 500)));

    assert_eq!(standing_at(&quarantine, 1, 600), QuarantineStatus::Clear);
}

// Symptom: one entry of a fleet lets a cleared request run one at a time for ten minutes, and
// puts it on trial after the next end. Sequence: the message that a target has ended with it
// is late, the one that another target has outlived it is not. Cause: what was outlived by a
// request that is not suspected yet was forgotten, so the order of messages mattered.
#[test]
fn what_was_outlived_counts_also_if_it_is_heard_before_the_end() {
    let mut quarantine = Quarantine::default();

    quarantine.on_survived_run(&outlived(1, 1, 500));
    quarantine.on_exit(&end_among_others(1, 100, &[1, 2]));

    assert_eq!(standing_at(&quarantine, 1, 600), QuarantineStatus::Clear);
    assert_eq!(standing_at(&quarantine, 2, 600), QuarantineStatus::Suspect);
}

// Symptom: a process grows. Sequence: peers tell of thousands of runs of requests that it
// suspects of nothing, and then of thousands of ends with them. Cause: no bound.
#[test]
fn runs_heard_of_early_are_bounded_and_fade() {
    let mut quarantine = Quarantine::default();
    for number in 0..20_000 {
        quarantine.on_survived_run(&outlived(number, number, 0));
    }
    let known = quarantine.facts(MonoMs(1)).survived_runs.len();
    assert!(known <= 1_024, "{known}");

    quarantine.expire_facts(MonoMs(FACT_TTL_MS + 1));
    assert!(quarantine.is_empty());
}

// Symptom: after a request was outlived once, it may end five targets. Sequence: it runs
// well for days before an engine's new version ends under it. Cause: runs that targets
// outlived before anything was suspected counted in its favour.
#[test]
fn runs_outlived_before_any_suspicion_count_for_nothing() {
    let mut quarantine = Quarantine::default();
    for run in 0..9 {
        assert!(!quarantine.on_survived_run(&outlived(1, run, 0)));
    }

    for number in 0..3 {
        quarantine.on_exit(&end(number, 10_000 * number, &[1]));
    }

    assert!(matches!(
        standing_at(&quarantine, 1, 20_000),
        QuarantineStatus::Held { .. }
    ));
}

// Symptom: a request that was harmless goes on ending targets. Sequence: it was at one end,
// and dozens of entries each told that it had been outlived; then engines of a new version
// end under it. Cause: what was outlived was saved up against later ends.
#[test]
fn runs_outlived_are_not_saved_up_against_later_ends() {
    let mut quarantine = after_ends(1);
    for run in 0..53 {
        quarantine.on_survived_run(&outlived(1, run, 1_000 + run));
    }
    assert_eq!(standing_at(&quarantine, 1, 2_000), QuarantineStatus::Clear);

    for number in 1..=3 {
        quarantine.on_exit(&end(number, 10_000 * number, &[1]));
    }

    assert!(matches!(
        standing_at(&quarantine, 1, 30_000),
        QuarantineStatus::Held { .. }
    ));
}

// Symptom: innocent requests are refused after a rack has lost power three times.
// Sequence: many targets end at once, callers come again, and the same again and again.
// Cause: each end was taken for the doing of a request that was there.
#[test]
fn ends_in_a_crowd_alone_do_not_hold_a_request_after_the_third() {
    let mut quarantine = Quarantine::default();
    for number in 0..3 {
        let at_ms = number * 10_000;
        quarantine.on_exit(&end(2 * number, at_ms, &[1]));
        quarantine.on_exit(&end(
            2 * number + 1,
            at_ms + CORRELATION_WINDOW_MS / 2,
            &[2],
        ));
    }

    assert_eq!(
        standing_at(&quarantine, 1, 20_000),
        QuarantineStatus::OnTrial
    );
}

// Symptom: a guilty request goes on for as long as targets fail for other causes too.
// Cause: an end in a crowd counted for nothing.
#[test]
fn a_request_at_every_end_is_held_even_if_each_is_in_a_crowd() {
    let mut quarantine = Quarantine::default();
    for number in 0..CORRELATED_HOLD_THRESHOLD as u64 {
        quarantine.on_exit(&end(2 * number, number * 10_000, &[1]));
        quarantine.on_exit(&end(2 * number + 1, number * 10_000, &[2, 50 + number]));
    }

    assert!(matches!(
        standing_at(&quarantine, 1, 50_000),
        QuarantineStatus::Held { .. }
    ));
}

// Symptom: callers who all send the same request are refused for minutes. Sequence: three
// targets end in a row, within the time of one of its runs. Cause: it was at each of them,
// as at every other target, and each end was counted against it.
#[test]
fn a_request_that_is_at_every_target_all_the_time_stays_a_suspect() {
    let mut quarantine = Quarantine::default();
    for number in 0..8 {
        quarantine.on_exit(&end_among_others(number, number * 100, &[1, 10 + number]));
    }

    assert_eq!(standing_at(&quarantine, 1, 800), QuarantineStatus::Suspect);
}

/// Three targets that end within 110 ms, each with a request that all callers send and a guilty
/// one. The guilty one is told last of each end, as by another process.
fn after_shared_ends() -> (Quarantine, Vec<TargetExit>) {
    let mut quarantine = Quarantine::default();
    let popular_alone = |target, at_ms| end(target, at_ms, &[POPULAR]);
    quarantine.on_exit(&end_among_others(1, 0, &[POPULAR, GUILTY]));
    quarantine.on_exit(&popular_alone(2, 9));
    quarantine.on_exit(&end_among_others(2, 23, &[GUILTY]));
    quarantine.on_exit(&popular_alone(3, 111));
    (quarantine, vec![end(3, 112, &[GUILTY])])
}

const POPULAR: u64 = 1;
const GUILTY: u64 = 2;

/// Time in which processes tell each other of an end.
const TOLD_MS: u64 = 3_000;

// A request that all callers send was held for five minutes: the guilty one was at each of the
// three ends too.
#[test]
fn a_request_is_not_held_for_ends_that_another_explains_as_well() {
    let (mut quarantine, told_late) = after_shared_ends();
    for end in &told_late {
        quarantine.on_exit(end);
    }

    assert_eq!(
        standing_at(&quarantine, POPULAR, 500),
        QuarantineStatus::OnTrial
    );
    assert_eq!(quarantine.unrecorded_holds(MonoMs(500), WALL), Vec::new());
}

// The same while the process that had the guilty one there has not told yet: the caller is
// told to come back when it has.
#[test]
fn a_request_is_held_for_a_moment_only_while_another_may_explain_its_ends() {
    let (quarantine, _) = after_shared_ends();

    assert_eq!(
        standing_at(&quarantine, POPULAR, 120),
        QuarantineStatus::Held {
            retry_after_ms: Some(TOLD_MS - 9)
        }
    );
    assert_eq!(quarantine.unrecorded_holds(MonoMs(120), WALL), Vec::new());
}

// A request that all callers send was held for five minutes: the process that had the guilty
// one at the third end was paused, and told of it a second later.
#[test]
fn a_request_is_not_held_for_good_before_a_paused_process_has_told() {
    let (mut quarantine, told_late) = after_shared_ends();
    let while_paused = standing_at(&quarantine, POPULAR, 111 + 1_000);
    for end in &told_late {
        quarantine.on_exit(end);
    }

    assert_eq!(
        while_paused,
        QuarantineStatus::Held {
            retry_after_ms: Some(TOLD_MS - 1_000)
        }
    );
    assert_eq!(
        standing_at(&quarantine, POPULAR, 1_300),
        QuarantineStatus::OnTrial
    );
}

// What it is exempted for ends with the first run that a target outlives: then the guilty one
// alone explains all ends.
#[test]
fn the_request_that_is_left_to_explain_all_ends_is_held() {
    let (mut quarantine, told_late) = after_shared_ends();
    for end in &told_late {
        quarantine.on_exit(end);
    }
    quarantine.on_survived_run(&outlived(POPULAR, 1, 300));
    quarantine.on_exit(&end(4, 1_000, &[GUILTY]));

    assert!(matches!(
        standing_at(&quarantine, GUILTY, 1_300),
        QuarantineStatus::Held { .. }
    ));
}

// A request that all callers send is at the guilty one's target all the time, and outlives
// most of its runs.
#[test]
fn a_request_that_targets_outlive_explains_no_ends() {
    let mut quarantine = Quarantine::default();
    for number in 0..3 {
        let at_ms = number * 1_000;
        quarantine.on_exit(&end(number, at_ms, &[GUILTY]));
        quarantine.on_exit(&end_among_others(number, at_ms, &[POPULAR]));
        quarantine.on_survived_run(&outlived(POPULAR, number, at_ms + 200));
    }
    quarantine.on_exit(&end_among_others(2, 2_000, &[POPULAR]));

    assert!(matches!(
        standing_at(&quarantine, GUILTY, 2_400),
        QuarantineStatus::Held { .. }
    ));
}

// What was told by the entry that knows that it ran alone counts, in either order.
#[test]
fn that_it_ran_alone_is_not_lost_when_others_tell_of_the_same_end() {
    let facts = [
        end_among_others(1, 0, &[1]),
        end(1, 0, &[1]),
        end_among_others(1, 0, &[1]),
    ];
    let mut quarantine = Quarantine::default();
    quarantine.on_exit(&end_among_others(0, 0, &[1]));

    for fact in &facts {
        quarantine.on_exit(fact);
    }

    assert_eq!(standing_at(&quarantine, 1, 0), QuarantineStatus::OnTrial);
}

// Three copies of the guilty request that run at once end three targets at once; they are
// no crowd to each other.
// Symptom: an innocent request is refused while another one ends targets and a rack loses
// power. Sequence: it is at two targets that are killed, and beside the guilty one between.
// Cause: one end that stood alone was enough.
#[test]
fn one_end_that_stands_alone_among_kills_holds_nobody() {
    let mut quarantine = Quarantine::default();
    for (number, at_ms) in [(0, 0), (2, 20_000)] {
        quarantine.on_exit(&end(number, at_ms, &[1]));
        quarantine.on_exit(&end(number + 10, at_ms, &[2]));
    }
    quarantine.on_exit(&end(1, 10_000, &[1, 3]));

    assert_eq!(
        standing_at(&quarantine, 1, 20_000),
        QuarantineStatus::OnTrial
    );
}

#[test]
fn copies_of_one_request_are_no_crowd() {
    let mut quarantine = Quarantine::default();
    for number in 0..HOLD_THRESHOLD as u64 {
        quarantine.on_exit(&end(number, number, &[1, 10 + number]));
    }

    assert!(matches!(
        standing_at(&quarantine, 1, 10),
        QuarantineStatus::Held { .. }
    ));
    assert_eq!(standing_at(&quarantine, 10, 10), QuarantineStatus::Suspect);
}

#[test]
fn what_was_told_twice_counts_once() {
    let mut quarantine = Quarantine::default();
    for _ in 0..5 {
        quarantine.on_exit(&end(1, 0, &[1]));
    }

    assert_eq!(standing_at(&quarantine, 1, 0), QuarantineStatus::Suspect);
}

#[test]
fn a_held_request_is_on_trial_again_once_its_time_is_over() {
    let quarantine = after_ends(3);

    let held = standing_at(&quarantine, 1, 20_000);
    let due = standing_at(&quarantine, 1, 20_000 + FIVE_MINUTES_MS);

    assert_eq!(
        held,
        QuarantineStatus::Held {
            retry_after_ms: Some(FIVE_MINUTES_MS)
        }
    );
    assert_eq!(due, QuarantineStatus::OnTrial);
}

#[test]
fn a_hold_that_is_kept_outlasts_the_facts() {
    let mut quarantine = after_ends(3);
    let (held, hold) = quarantine.unrecorded_holds(MonoMs(20_000), WALL).remove(0);
    quarantine.on_hold(held, Some(hold), MonoMs(20_100));

    quarantine.expire_facts(MonoMs(20_000 + FACT_TTL_MS));

    assert!(
        quarantine
            .unrecorded_holds(MonoMs(20_000 + FACT_TTL_MS), WALL)
            .is_empty()
    );
    assert!(matches!(
        quarantine.status(digest(1), MonoMs(30_000 + FACT_TTL_MS), WALL + 1_000),
        QuarantineStatus::Held { .. }
    ));
    assert_eq!(
        standing_at(&quarantine, 100, 30_000 + FACT_TTL_MS),
        QuarantineStatus::Clear
    );
}

// Symptom: a request that no engine survives ends one each five minutes for ever.
// Cause: a failed trial was counted like any other end.
#[test]
fn each_failed_trial_doubles_the_time_to_the_next_up_to_an_hour() {
    let mut quarantine = after_ends(3);
    let (mut now, mut wall) = (MonoMs(20_000), WALL);
    let mut waits_ms = Vec::new();
    for trial in 0..6 {
        for (held, hold) in quarantine.unrecorded_holds(now, wall) {
            quarantine.on_hold(held, Some(hold), now);
        }
        let QuarantineStatus::Held {
            retry_after_ms: Some(retry_after_ms),
        } = quarantine.status(digest(1), now, wall)
        else {
            panic!("it is held after trial {trial}");
        };
        waits_ms.push(retry_after_ms);
        (now, wall) = (now + retry_after_ms, wall + retry_after_ms);
        assert_eq!(
            quarantine.status(digest(1), now, wall),
            QuarantineStatus::OnTrial
        );
        quarantine.expire_facts(now);
        quarantine.on_exit(&end(1_000 + trial, now.0, &[1]));
    }

    let minutes: Vec<u64> = waits_ms.iter().map(|ms| ms / 60_000).collect();
    assert_eq!(minutes, [5, 10, 20, 40, 60, 60]);
}

// Symptom: a hold's next trial moves off by minutes on a fleet where news is slow.
// Sequence: the store tells of a hold before a peer tells of the end that led to it.
// Cause: any end that was learnt after the hold was taken for a failed trial.
#[test]
fn the_end_that_led_to_a_hold_is_no_failed_trial() {
    let mut quarantine = Quarantine::default();
    quarantine.on_hold(digest(1), Some(Hold::new(HoldKind::Held, WALL)), MonoMs(0));

    quarantine.on_exit(&end(1, 900, &[1]));

    assert!(quarantine.unrecorded_holds(MonoMs(1_000), WALL).is_empty());
}

#[test]
fn a_pinned_request_is_held_without_a_trial() {
    let mut quarantine = Quarantine::default();
    quarantine.on_hold(
        digest(1),
        Some(Hold::new(HoldKind::Pinned, WALL)),
        MonoMs(0),
    );

    let much_later = quarantine.status(digest(1), MonoMs(9), WALL + 100 * HOUR_MS);

    assert_eq!(
        much_later,
        QuarantineStatus::Held {
            retry_after_ms: None
        }
    );
    assert!(quarantine.expired_holds(WALL + 100 * HOUR_MS).is_empty());
}

#[test]
fn ends_before_it_was_lifted_count_no_more_and_later_ones_do() {
    let mut quarantine = after_ends(3);
    let hold = Hold {
        lifted: quarantine.exits_of(digest(1)).map(Arc::clone).collect(),
        ..Hold::new(HoldKind::Lifted, WALL)
    };

    quarantine.on_hold(digest(1), Some(hold), MonoMs(30_000));
    let lifted = standing_at(&quarantine, 1, 30_000);
    quarantine.on_exit(&end(77, 31_000, &[1]));

    assert_eq!(lifted, QuarantineStatus::Clear);
    assert_eq!(
        standing_at(&quarantine, 1, 31_000),
        QuarantineStatus::Suspect
    );
}

#[test]
fn a_hold_that_nobody_asks_for_is_forgotten() {
    let mut quarantine = Quarantine::default();
    quarantine.on_hold(digest(1), Some(Hold::new(HoldKind::Held, WALL)), MonoMs(0));

    assert!(quarantine.expired_holds(WALL + HOUR_MS).is_empty());
    assert_eq!(quarantine.expired_holds(WALL + 2 * HOUR_MS), [digest(1)]);
}

// A clock that was set back by a day must not hold a request for a day.
#[test]
fn a_clock_that_is_set_back_holds_nothing_for_longer_than_its_wait() {
    let hold = Hold::new(HoldKind::Held, WALL);

    assert_eq!(
        hold.retry_after_ms(WallMs(WALL.0 - 24 * HOUR_MS)),
        FIVE_MINUTES_MS
    );
}

// Symptom: a held request goes through again, and an entry grows. Sequence: somebody has
// thousands of other requests end a target each. Cause: one table for all, without bound.
#[test]
fn a_flood_of_ends_evicts_no_hold_and_is_bounded() {
    let mut quarantine = Quarantine::default();
    quarantine.on_hold(digest(1), Some(Hold::new(HoldKind::Held, WALL)), MonoMs(0));

    for number in 0..3_000 {
        let suspects: Vec<u64> = (0..200).map(|it| 10_000 + number * 200 + it).collect();
        quarantine.on_exit(&end(number, number, &suspects));
    }

    assert!(matches!(
        standing_at(&quarantine, 1, 3_000),
        QuarantineStatus::Held { .. }
    ));
    let facts = quarantine.facts(MonoMs(3_000));
    assert!(facts.exits.len() <= 256);
    assert!(facts.exits.iter().all(|end| end.suspects.len() <= 64));
    let (suspects, held) = quarantine.counts(MonoMs(3_000), WALL);
    assert!(suspects <= 256 * 64, "{suspects}");
    assert_eq!(held, 1);
}

#[test]
fn holds_are_bounded_and_the_oldest_goes_first() {
    let mut quarantine = Quarantine::default();
    for number in 0..1_030 {
        let hold = Hold::new(HoldKind::Held, WALL + number);
        quarantine.on_hold(digest(number), Some(hold), MonoMs(0));
    }

    assert_eq!(quarantine.hold(digest(0)), None);
    assert!(quarantine.hold(digest(1_029)).is_some());
    assert_eq!(quarantine.counts(MonoMs(0), WALL).1, 1_024);
}

#[test]
fn facts_keep_their_age_when_another_process_takes_them_up() {
    let quarantine = after_ends(3);

    let facts = quarantine
        .facts(MonoMs(25_000))
        .rebased_to(MonoMs(1_000_000));

    let ages_ms: Vec<u64> = facts
        .exits
        .iter()
        .map(|it| 1_000_000 - it.at_ms.0)
        .collect();
    assert_eq!(ages_ms, [25_000, 15_000, 5_000]);
}

proptest! {
    // Entries hear the same facts in any order and number; if what follows depended on
    // that, one would refuse what another sends on.
    #[test]
    fn the_order_and_number_of_facts_do_not_matter(
        ends in prop::collection::vec((0_u64..6, 0_u64..4, 0_u64..4), 1..12),
        order in prop::collection::vec(any::<prop::sample::Index>(), 40),
    ) {
        let facts: Vec<TargetExit> = ends
            .iter()
            .map(|(target, first, second)| end(*target, target * 700, &[*first, *second]))
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
            prop_assert_eq!(standing_at(&once, number, 5_000), standing_at(&shuffled, number, 5_000));
        }
    }
}

fn in_group(quarantine: &Quarantine, number: u64, now_ms: u64) -> QuarantineStatus {
    quarantine.status_in_group(digest(number), MonoMs(now_ms), WALL)
}

/// Guards against a third outage of a group for one guilty request: from the second end on
/// nothing else explains both.
#[test]
fn in_a_group_two_ends_hold_the_only_request_that_explains_both() {
    let mut quarantine = Quarantine::default();
    quarantine.on_exit(&end(1, 1_000, &[1, 2, 3]));
    quarantine.on_exit(&end(2, 5_000, &[1, 4, 5]));

    let guilty = in_group(&quarantine, 1, 5_000);
    let elsewhere = standing_at(&quarantine, 1, 5_000);
    let later = in_group(&quarantine, 1, 5_000 + GROUP_HOLD_MS);

    let retry_after_ms = Some(GROUP_HOLD_MS);
    assert_eq!(guilty, QuarantineStatus::Held { retry_after_ms });
    assert_eq!(elsewhere, QuarantineStatus::OnTrial);
    assert_eq!(later, QuarantineStatus::OnTrial);
    assert_eq!(in_group(&quarantine, 4, 5_000), QuarantineStatus::Suspect);
}

/// Guards against an innocent request that is held back: another one was at both ends, or
/// other targets ended beside one of them.
#[test]
fn in_a_group_two_ends_that_others_explain_hold_nothing() {
    let mut shared = Quarantine::default();
    shared.on_exit(&end(1, 1_000, &[1, 2]));
    shared.on_exit(&end(2, 5_000, &[1, 2]));
    let mut crowded = Quarantine::default();
    crowded.on_exit(&end(1, 1_000, &[1]));
    crowded.on_exit(&end(2, 5_000, &[1]));
    crowded.on_exit(&end(3, 5_300, &[6]));

    assert_eq!(in_group(&shared, 1, 5_000), QuarantineStatus::OnTrial);
    assert_eq!(in_group(&crowded, 1, 5_300), QuarantineStatus::OnTrial);

    shared.on_survived_run(&outlived(2, 7, 6_000));
    shared.on_survived_run(&outlived(2, 8, 6_500));
    assert!(matches!(
        in_group(&shared, 1, 7_000),
        QuarantineStatus::Held { .. }
    ));
}

/// Guards against a third group that is stopped within milliseconds: two copies of the guilty
/// request end two targets together, which elsewhere counts as one end.
#[test]
fn in_a_group_two_ends_that_come_together_count_as_two() {
    let copies = |target, at_ms, others: &[u64]| {
        let mut end = end(target, at_ms, others);
        end.suspects.push(suspect(1, false));
        end
    };
    let mut quarantine = Quarantine::default();
    quarantine.on_exit(&copies(1, 1_000, &[2, 3]));
    quarantine.on_exit(&copies(2, 1_120, &[4, 5]));

    let guilty = in_group(&quarantine, 1, 1_130);

    assert!(
        matches!(guilty, QuarantineStatus::Held { .. }),
        "{guilty:?}"
    );
    assert_eq!(
        standing_at(&quarantine, 1, 1_130),
        QuarantineStatus::Suspect
    );
}
