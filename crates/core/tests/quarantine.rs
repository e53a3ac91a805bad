//! Which requests are held back because targets end under them.

use std::sync::Arc;

use berylhook_core::digest::{RequestContent, RequestDigest};
use berylhook_core::quarantine::{
    CROWD_MS, End, FACTS_FADE_MS, GROUP_WAIT_MS, HELD_AT, HELD_AT_ANY, Hold, HoldKind, Outlived,
    Quarantine, Standing, Suspect,
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

fn end(target: u64, at_ms: u64, suspects: &[u64]) -> End {
    End {
        target: format!("i-{target}").into(),
        at_ms: MonoMs(at_ms),
        suspects: suspects
            .iter()
            .map(|number| suspect(*number, true))
            .collect(),
    }
}

/// The same with requests that did not run alone.
fn end_among_others(target: u64, at_ms: u64, suspects: &[u64]) -> End {
    End {
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

fn outlived(number: u64, run: u64, at_ms: u64) -> Outlived {
    Outlived {
        digest: digest(number),
        run: format!("entry-1/{run}").into(),
        at_ms: MonoMs(at_ms),
    }
}

/// Ends of single targets, ten seconds apart, all with request 1.
fn after_ends(count: u64) -> Quarantine {
    let mut quarantine = Quarantine::default();
    for number in 0..count {
        quarantine.on_end(&end(number, number * 10_000, &[1, 100 + number]));
    }
    quarantine
}

fn standing_at(quarantine: &Quarantine, number: u64, now_ms: u64) -> Standing {
    quarantine.standing(digest(number), MonoMs(now_ms), WALL)
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
            Standing::Suspect
        );
    }
}

#[test]
fn a_target_that_outlives_a_suspect_clears_it() {
    let mut quarantine = after_ends(1);

    assert!(quarantine.on_outlived(&outlived(1, 1, 500)));
    assert!(!quarantine.on_outlived(&outlived(1, 1, 500)));

    assert_eq!(standing_at(&quarantine, 1, 600), Standing::Clear);
}

// Symptom: one entry of a fleet lets a cleared request run one at a time for ten minutes, and
// puts it on trial after the next end. Sequence: the message that a target has ended with it
// is late, the one that another target has outlived it is not. Cause: what was outlived by a
// request that is not suspected yet was forgotten, so the order of messages mattered.
#[test]
fn what_was_outlived_counts_also_if_it_is_heard_before_the_end() {
    let mut quarantine = Quarantine::default();

    quarantine.on_outlived(&outlived(1, 1, 500));
    quarantine.on_end(&end_among_others(1, 100, &[1, 2]));

    assert_eq!(standing_at(&quarantine, 1, 600), Standing::Clear);
    assert_eq!(standing_at(&quarantine, 2, 600), Standing::Suspect);
}

// Symptom: a process grows. Sequence: peers tell of thousands of runs of requests that it
// suspects of nothing, and then of thousands of ends with them. Cause: no bound.
#[test]
fn runs_heard_of_early_are_bounded_and_fade() {
    let mut quarantine = Quarantine::default();
    for number in 0..20_000 {
        quarantine.on_outlived(&outlived(number, number, 0));
    }
    let known = quarantine.facts(MonoMs(1)).outlived.len();
    assert!(known <= 1_024, "{known}");

    quarantine.fade(MonoMs(FACTS_FADE_MS + 1));
    assert!(quarantine.is_empty());
}

// Symptom: after a request was outlived once, it may end five targets. Sequence: it runs
// well for days before an engine's new version ends under it. Cause: runs that targets
// outlived before anything was suspected counted in its favour.
#[test]
fn runs_outlived_before_any_suspicion_count_for_nothing() {
    let mut quarantine = Quarantine::default();
    for run in 0..9 {
        assert!(!quarantine.on_outlived(&outlived(1, run, 0)));
    }

    for number in 0..3 {
        quarantine.on_end(&end(number, 10_000 * number, &[1]));
    }

    assert!(matches!(
        standing_at(&quarantine, 1, 20_000),
        Standing::Held { .. }
    ));
}

// Symptom: a request that was harmless goes on ending targets. Sequence: it was at one end,
// and dozens of entries each told that it had been outlived; then engines of a new version
// end under it. Cause: what was outlived was saved up against later ends.
#[test]
fn runs_outlived_are_not_saved_up_against_later_ends() {
    let mut quarantine = after_ends(1);
    for run in 0..53 {
        quarantine.on_outlived(&outlived(1, run, 1_000 + run));
    }
    assert_eq!(standing_at(&quarantine, 1, 2_000), Standing::Clear);

    for number in 1..=3 {
        quarantine.on_end(&end(number, 10_000 * number, &[1]));
    }

    assert!(matches!(
        standing_at(&quarantine, 1, 30_000),
        Standing::Held { .. }
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
        quarantine.on_end(&end(2 * number, at_ms, &[1]));
        quarantine.on_end(&end(2 * number + 1, at_ms + CROWD_MS / 2, &[2]));
    }

    assert_eq!(standing_at(&quarantine, 1, 20_000), Standing::OnTrial);
}

// Symptom: a guilty request goes on for as long as targets fail for other causes too.
// Cause: an end in a crowd counted for nothing.
#[test]
fn a_request_at_every_end_is_held_even_if_each_is_in_a_crowd() {
    let mut quarantine = Quarantine::default();
    for number in 0..HELD_AT_ANY as u64 {
        quarantine.on_end(&end(2 * number, number * 10_000, &[1]));
        quarantine.on_end(&end(2 * number + 1, number * 10_000, &[2, 50 + number]));
    }

    assert!(matches!(
        standing_at(&quarantine, 1, 50_000),
        Standing::Held { .. }
    ));
}

// Symptom: callers who all send the same request are refused for minutes. Sequence: three
// targets end in a row, within the time of one of its runs. Cause: it was at each of them,
// as at every other target, and each end was counted against it.
#[test]
fn a_request_that_is_at_every_target_all_the_time_stays_a_suspect() {
    let mut quarantine = Quarantine::default();
    for number in 0..8 {
        quarantine.on_end(&end_among_others(number, number * 100, &[1, 10 + number]));
    }

    assert_eq!(standing_at(&quarantine, 1, 800), Standing::Suspect);
}

/// Three targets that end within 110 ms, each with a request that all callers send and a guilty
/// one. The guilty one is told last of each end, as by another process.
fn after_shared_ends() -> (Quarantine, Vec<End>) {
    let mut quarantine = Quarantine::default();
    let popular_alone = |target, at_ms| end(target, at_ms, &[POPULAR]);
    quarantine.on_end(&end_among_others(1, 0, &[POPULAR, GUILTY]));
    quarantine.on_end(&popular_alone(2, 9));
    quarantine.on_end(&end_among_others(2, 23, &[GUILTY]));
    quarantine.on_end(&popular_alone(3, 111));
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
        quarantine.on_end(end);
    }

    assert_eq!(standing_at(&quarantine, POPULAR, 500), Standing::OnTrial);
    assert_eq!(quarantine.unrecorded(MonoMs(500), WALL), Vec::new());
}

// The same while the process that had the guilty one there has not told yet: the caller is
// told to come back when it has.
#[test]
fn a_request_is_held_for_a_moment_only_while_another_may_explain_its_ends() {
    let (quarantine, _) = after_shared_ends();

    assert_eq!(
        standing_at(&quarantine, POPULAR, 120),
        Standing::Held {
            back_ms: Some(TOLD_MS - 9)
        }
    );
    assert_eq!(quarantine.unrecorded(MonoMs(120), WALL), Vec::new());
}

// A request that all callers send was held for five minutes: the process that had the guilty
// one at the third end was paused, and told of it a second later.
#[test]
fn a_request_is_not_held_for_good_before_a_paused_process_has_told() {
    let (mut quarantine, told_late) = after_shared_ends();
    let while_paused = standing_at(&quarantine, POPULAR, 111 + 1_000);
    for end in &told_late {
        quarantine.on_end(end);
    }

    assert_eq!(
        while_paused,
        Standing::Held {
            back_ms: Some(TOLD_MS - 1_000)
        }
    );
    assert_eq!(standing_at(&quarantine, POPULAR, 1_300), Standing::OnTrial);
}

// What it is exempted for ends with the first run that a target outlives: then the guilty one
// alone explains all ends.
#[test]
fn the_request_that_is_left_to_explain_all_ends_is_held() {
    let (mut quarantine, told_late) = after_shared_ends();
    for end in &told_late {
        quarantine.on_end(end);
    }
    quarantine.on_outlived(&outlived(POPULAR, 1, 300));
    quarantine.on_end(&end(4, 1_000, &[GUILTY]));

    assert!(matches!(
        standing_at(&quarantine, GUILTY, 1_300),
        Standing::Held { .. }
    ));
}

// A request that all callers send is at the guilty one's target all the time, and outlives
// most of its runs.
#[test]
fn a_request_that_targets_outlive_explains_no_ends() {
    let mut quarantine = Quarantine::default();
    for number in 0..3 {
        let at_ms = number * 1_000;
        quarantine.on_end(&end(number, at_ms, &[GUILTY]));
        quarantine.on_end(&end_among_others(number, at_ms, &[POPULAR]));
        quarantine.on_outlived(&outlived(POPULAR, number, at_ms + 200));
    }
    quarantine.on_end(&end_among_others(2, 2_000, &[POPULAR]));

    assert!(matches!(
        standing_at(&quarantine, GUILTY, 2_400),
        Standing::Held { .. }
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
    quarantine.on_end(&end_among_others(0, 0, &[1]));

    for fact in &facts {
        quarantine.on_end(fact);
    }

    assert_eq!(standing_at(&quarantine, 1, 0), Standing::OnTrial);
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
        quarantine.on_end(&end(number, at_ms, &[1]));
        quarantine.on_end(&end(number + 10, at_ms, &[2]));
    }
    quarantine.on_end(&end(1, 10_000, &[1, 3]));

    assert_eq!(standing_at(&quarantine, 1, 20_000), Standing::OnTrial);
}

#[test]
fn copies_of_one_request_are_no_crowd() {
    let mut quarantine = Quarantine::default();
    for number in 0..HELD_AT as u64 {
        quarantine.on_end(&end(number, number, &[1, 10 + number]));
    }

    assert!(matches!(
        standing_at(&quarantine, 1, 10),
        Standing::Held { .. }
    ));
    assert_eq!(standing_at(&quarantine, 10, 10), Standing::Suspect);
}

#[test]
fn what_was_told_twice_counts_once() {
    let mut quarantine = Quarantine::default();
    for _ in 0..5 {
        quarantine.on_end(&end(1, 0, &[1]));
    }

    assert_eq!(standing_at(&quarantine, 1, 0), Standing::Suspect);
}

#[test]
fn a_held_request_is_on_trial_again_once_its_time_is_over() {
    let quarantine = after_ends(3);

    let held = standing_at(&quarantine, 1, 20_000);
    let due = standing_at(&quarantine, 1, 20_000 + FIVE_MINUTES_MS);

    assert_eq!(
        held,
        Standing::Held {
            back_ms: Some(FIVE_MINUTES_MS)
        }
    );
    assert_eq!(due, Standing::OnTrial);
}

#[test]
fn a_hold_that_is_kept_outlasts_the_facts() {
    let mut quarantine = after_ends(3);
    let (held, hold) = quarantine.unrecorded(MonoMs(20_000), WALL).remove(0);
    quarantine.on_hold(held, Some(hold), MonoMs(20_100));

    quarantine.fade(MonoMs(20_000 + FACTS_FADE_MS));

    assert!(
        quarantine
            .unrecorded(MonoMs(20_000 + FACTS_FADE_MS), WALL)
            .is_empty()
    );
    assert!(matches!(
        quarantine.standing(digest(1), MonoMs(30_000 + FACTS_FADE_MS), WALL + 1_000),
        Standing::Held { .. }
    ));
    assert_eq!(
        standing_at(&quarantine, 100, 30_000 + FACTS_FADE_MS),
        Standing::Clear
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
        for (held, hold) in quarantine.unrecorded(now, wall) {
            quarantine.on_hold(held, Some(hold), now);
        }
        let Standing::Held {
            back_ms: Some(back_ms),
        } = quarantine.standing(digest(1), now, wall)
        else {
            panic!("it is held after trial {trial}");
        };
        waits_ms.push(back_ms);
        (now, wall) = (now + back_ms, wall + back_ms);
        assert_eq!(quarantine.standing(digest(1), now, wall), Standing::OnTrial);
        quarantine.fade(now);
        quarantine.on_end(&end(1_000 + trial, now.0, &[1]));
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

    quarantine.on_end(&end(1, 900, &[1]));

    assert!(quarantine.unrecorded(MonoMs(1_000), WALL).is_empty());
}

#[test]
fn a_pinned_request_is_held_without_a_trial() {
    let mut quarantine = Quarantine::default();
    quarantine.on_hold(
        digest(1),
        Some(Hold::new(HoldKind::Pinned, WALL)),
        MonoMs(0),
    );

    let much_later = quarantine.standing(digest(1), MonoMs(9), WALL + 100 * HOUR_MS);

    assert_eq!(much_later, Standing::Held { back_ms: None });
    assert!(quarantine.forgettable(WALL + 100 * HOUR_MS).is_empty());
}

#[test]
fn ends_before_it_was_lifted_count_no_more_and_later_ones_do() {
    let mut quarantine = after_ends(3);
    let hold = Hold {
        lifted: quarantine.ends_of(digest(1)).map(Arc::clone).collect(),
        ..Hold::new(HoldKind::Lifted, WALL)
    };

    quarantine.on_hold(digest(1), Some(hold), MonoMs(30_000));
    let lifted = standing_at(&quarantine, 1, 30_000);
    quarantine.on_end(&end(77, 31_000, &[1]));

    assert_eq!(lifted, Standing::Clear);
    assert_eq!(standing_at(&quarantine, 1, 31_000), Standing::Suspect);
}

#[test]
fn a_hold_that_nobody_asks_for_is_forgotten() {
    let mut quarantine = Quarantine::default();
    quarantine.on_hold(digest(1), Some(Hold::new(HoldKind::Held, WALL)), MonoMs(0));

    assert!(quarantine.forgettable(WALL + HOUR_MS).is_empty());
    assert_eq!(quarantine.forgettable(WALL + 2 * HOUR_MS), [digest(1)]);
}

// A clock that was set back by a day must not hold a request for a day.
#[test]
fn a_clock_that_is_set_back_holds_nothing_for_longer_than_its_wait() {
    let hold = Hold::new(HoldKind::Held, WALL);

    assert_eq!(hold.back_ms(WallMs(WALL.0 - 24 * HOUR_MS)), FIVE_MINUTES_MS);
}

// Symptom: a held request goes through again, and an entry grows. Sequence: somebody has
// thousands of other requests end a target each. Cause: one table for all, without bound.
#[test]
fn a_flood_of_ends_evicts_no_hold_and_is_bounded() {
    let mut quarantine = Quarantine::default();
    quarantine.on_hold(digest(1), Some(Hold::new(HoldKind::Held, WALL)), MonoMs(0));

    for number in 0..3_000 {
        let suspects: Vec<u64> = (0..200).map(|it| 10_000 + number * 200 + it).collect();
        quarantine.on_end(&end(number, number, &suspects));
    }

    assert!(matches!(
        standing_at(&quarantine, 1, 3_000),
        Standing::Held { .. }
    ));
    let facts = quarantine.facts(MonoMs(3_000));
    assert!(facts.ends.len() <= 256);
    assert!(facts.ends.iter().all(|end| end.suspects.len() <= 64));
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

    let facts = quarantine.facts(MonoMs(25_000)).at(MonoMs(1_000_000));

    let ages_ms: Vec<u64> = facts.ends.iter().map(|it| 1_000_000 - it.at_ms.0).collect();
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
        let facts: Vec<End> = ends
            .iter()
            .map(|(target, first, second)| end(*target, target * 700, &[*first, *second]))
            .collect();
        let mut once = Quarantine::default();
        for fact in &facts {
            once.on_end(fact);
        }
        let mut shuffled = Quarantine::default();
        for index in order {
            shuffled.on_end(index.get(&facts));
        }
        for fact in facts.iter().rev() {
            shuffled.on_end(fact);
        }

        prop_assert_eq!(once.summary(), shuffled.summary());
        for number in 0..4 {
            prop_assert_eq!(standing_at(&once, number, 5_000), standing_at(&shuffled, number, 5_000));
        }
    }
}

fn in_group(quarantine: &Quarantine, number: u64, now_ms: u64) -> Standing {
    quarantine.standing_in_group(digest(number), MonoMs(now_ms), WALL)
}

/// Guards against a third outage of a group for one guilty request: from the second end on
/// nothing else explains both.
#[test]
fn in_a_group_two_ends_hold_the_only_request_that_explains_both() {
    let mut quarantine = Quarantine::default();
    quarantine.on_end(&end(1, 1_000, &[1, 2, 3]));
    quarantine.on_end(&end(2, 5_000, &[1, 4, 5]));

    let guilty = in_group(&quarantine, 1, 5_000);
    let elsewhere = standing_at(&quarantine, 1, 5_000);
    let later = in_group(&quarantine, 1, 5_000 + GROUP_WAIT_MS);

    let back_ms = Some(GROUP_WAIT_MS);
    assert_eq!(guilty, Standing::Held { back_ms });
    assert_eq!(elsewhere, Standing::OnTrial);
    assert_eq!(later, Standing::OnTrial);
    assert_eq!(in_group(&quarantine, 4, 5_000), Standing::Suspect);
}

/// Guards against an innocent request that is held back: another one was at both ends, or
/// other targets ended beside one of them.
#[test]
fn in_a_group_two_ends_that_others_explain_hold_nothing() {
    let mut shared = Quarantine::default();
    shared.on_end(&end(1, 1_000, &[1, 2]));
    shared.on_end(&end(2, 5_000, &[1, 2]));
    let mut crowded = Quarantine::default();
    crowded.on_end(&end(1, 1_000, &[1]));
    crowded.on_end(&end(2, 5_000, &[1]));
    crowded.on_end(&end(3, 5_300, &[6]));

    assert_eq!(in_group(&shared, 1, 5_000), Standing::OnTrial);
    assert_eq!(in_group(&crowded, 1, 5_300), Standing::OnTrial);

    shared.on_outlived(&outlived(2, 7, 6_000));
    shared.on_outlived(&outlived(2, 8, 6_500));
    assert!(matches!(in_group(&shared, 1, 7_000), Standing::Held { .. }));
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
    quarantine.on_end(&copies(1, 1_000, &[2, 3]));
    quarantine.on_end(&copies(2, 1_120, &[4, 5]));

    let guilty = in_group(&quarantine, 1, 1_130);

    assert!(matches!(guilty, Standing::Held { .. }), "{guilty:?}");
    assert_eq!(standing_at(&quarantine, 1, 1_130), Standing::Suspect);
}
