//! Which parts of prompts are held because targets exit on them.

use berylhook_core::digest::{DigestKind, RequestContent, RequestDigest};
use berylhook_core::prompt::PromptPart;
use berylhook_core::quarantine::{
    CORRELATION_WINDOW_MS, FACT_TTL_MS, GROUP_HOLD_MS, Hold, HoldKind, Quarantine,
    QuarantineStatus, RequestFeatures, SurvivedRun, Suspect, TargetExit,
};
use berylhook_core::time::{MonoMs, WallMs};
use proptest::prelude::*;

const WALL_MS: WallMs = WallMs(1_790_000_000_000);

/// The part on which targets exit, one that all requests have, and one that few have.
const BAD: u64 = 1;
const COMMON: u64 = 2;
const RARE: u64 = 3;

/// Time between two exits that are not simultaneous.
const APART_MS: u64 = 10_000;

/// Time after which all processes have reported an exit.
const REPORTED_MS: u64 = 4_000;

fn part(number: u64) -> RequestDigest {
    RequestDigest::of_part(PromptPart(number))
}

fn queued(number: u64) -> RequestDigest {
    RequestDigest::of_queued_part(PromptPart(number))
}

fn content(number: u64) -> RequestDigest {
    RequestDigest::of(&RequestContent {
        method: "POST",
        path: "/drafts",
        account: Some("harbour"),
        body: &number.to_le_bytes(),
    })
}

fn exit(target: u64, at_ms: u64, suspects: &[RequestDigest]) -> TargetExit {
    exit_with(target, at_ms, suspects, false)
}

fn exit_alone(target: u64, at_ms: u64, suspects: &[RequestDigest]) -> TargetExit {
    exit_with(target, at_ms, suspects, true)
}

fn exit_with(target: u64, at_ms: u64, suspects: &[RequestDigest], ran_alone: bool) -> TargetExit {
    let suspects = suspects.iter().map(|digest| Suspect {
        digest: *digest,
        ran_alone,
    });
    TargetExit {
        target: format!("i-{target}").into(),
        at_ms: MonoMs(at_ms),
        suspects: suspects.collect(),
    }
}

fn survived(number: u64, at_ms: u64) -> SurvivedRun {
    SurvivedRun {
        digest: part(number),
        run: format!("entry-1/{number}/{at_ms}").into(),
        at_ms: MonoMs(at_ms),
    }
}

fn with_exits(exits: &[TargetExit]) -> Quarantine {
    let mut quarantine = Quarantine::default();
    for exit in exits {
        quarantine.on_exit(exit);
    }
    quarantine
}

fn status_of(quarantine: &Quarantine, parts: &[u64], now_ms: u64) -> QuarantineStatus {
    let parts: Vec<PromptPart> = parts.iter().copied().map(PromptPart).collect();
    let features = RequestFeatures {
        digest: content(999),
        parts: &parts,
    };
    let status = quarantine.request_status(features, true, MonoMs(now_ms), WALL_MS);
    status.status
}

fn name_of(quarantine: &Quarantine, parts: &[u64], now_ms: u64) -> &'static str {
    status_of(quarantine, parts, now_ms).name()
}

/// Two exits, apart from each other, with the bad part and one that all requests have.
fn after_two_exits() -> Quarantine {
    let mut quarantine = with_exits(&[
        exit(1, APART_MS, &[part(BAD), part(COMMON), content(1)]),
        exit_alone(2, 2 * APART_MS, &[part(BAD)]),
    ]);
    quarantine.on_exit(&exit(2, 2 * APART_MS, &[part(COMMON), content(2)]));
    quarantine.on_survived_run(&survived(COMMON, 1));
    quarantine
}

#[test]
fn a_part_and_its_queued_form_are_told_apart_from_content() {
    assert_eq!(part(BAD).kind(), DigestKind::Part(PromptPart(BAD)));
    assert_eq!(queued(BAD).kind(), DigestKind::QueuedPart(PromptPart(BAD)));
    assert_eq!(content(BAD).kind(), DigestKind::Content);
    assert_eq!(
        RequestDigest::from_bytes([0xff; 32]).kind(),
        DigestKind::Content
    );
    assert_eq!("part:01".parse(), Ok(part(1)));
    assert_eq!(part(0xa1).name().parse(), Ok(part(0xa1)));
    assert_eq!(part(0xa1).to_string().parse(), Ok(part(0xa1)));
    assert!("part:?".parse::<RequestDigest>().is_err());
}

#[test]
fn a_part_that_was_never_survived_is_held_after_two_exits() {
    let one = with_exits(&[exit(1, APART_MS, &[part(BAD), content(1)])]);
    let two = after_two_exits();

    assert_eq!(name_of(&one, &[BAD], APART_MS), "suspect");
    assert_eq!(name_of(&two, &[BAD], 2 * APART_MS), "held");
    assert_eq!(name_of(&two, &[BAD], 2 * APART_MS + REPORTED_MS), "held");
}

// Guards against a caller's other requests, and those with the same first part, being refused
// together with the part under which targets exit.
#[test]
fn a_part_that_all_requests_have_is_clear_if_it_was_ever_survived() {
    let quarantine = after_two_exits();

    assert_eq!(name_of(&quarantine, &[COMMON], 2 * APART_MS), "clear");
    assert_eq!(name_of(&quarantine, &[COMMON, RARE], 2 * APART_MS), "clear");
}

#[test]
fn requests_that_were_only_queued_speak_against_no_part_if_another_one_began() {
    let mut quarantine = after_two_exits();
    for target in [1, 2] {
        quarantine.on_exit(&exit(target, target * APART_MS, &[queued(RARE)]));
    }

    assert_eq!(
        name_of(&quarantine, &[RARE], 2 * APART_MS + REPORTED_MS),
        "clear"
    );
    assert_eq!(
        name_of(&quarantine, &[BAD], 2 * APART_MS + REPORTED_MS),
        "held"
    );
}

// Guards against a poison part that is never found because the heads of its responses were lost
// with the connections.
#[test]
fn a_queued_part_is_held_for_exits_that_no_begun_request_explains() {
    let mut quarantine = with_exits(&[
        exit(1, APART_MS, &[queued(BAD), part(COMMON)]),
        exit(2, 2 * APART_MS, &[queued(BAD), part(COMMON)]),
    ]);
    let before = name_of(&quarantine, &[BAD], 2 * APART_MS + REPORTED_MS);
    quarantine.on_survived_run(&survived(COMMON, 1));

    assert_eq!(before, "clear");
    assert_eq!(
        name_of(&quarantine, &[BAD], 2 * APART_MS + REPORTED_MS),
        "held"
    );
}

#[test]
fn two_parts_at_the_same_exits_are_on_trial_unless_a_request_has_both() {
    let suspects = [part(BAD), part(RARE)];
    let mut quarantine = with_exits(&[
        exit(1, APART_MS, &suspects),
        exit(2, 2 * APART_MS, &suspects),
    ]);
    let now_ms = 2 * APART_MS + REPORTED_MS;

    assert_eq!(name_of(&quarantine, &[BAD], now_ms), "on-trial");
    assert_eq!(name_of(&quarantine, &[RARE], now_ms), "on-trial");
    assert_eq!(name_of(&quarantine, &[BAD, RARE], now_ms), "held");

    quarantine.on_survived_run(&survived(RARE, now_ms));

    assert_eq!(name_of(&quarantine, &[RARE], now_ms), "clear");
    assert_eq!(name_of(&quarantine, &[BAD], now_ms), "held");
}

#[test]
fn two_bad_parts_are_both_held() {
    let quarantine = with_exits(&[
        exit(1, APART_MS, &[part(BAD)]),
        exit(2, 2 * APART_MS, &[part(RARE)]),
        exit_alone(3, 3 * APART_MS, &[part(BAD)]),
        exit_alone(4, 3 * APART_MS + 50, &[part(RARE)]),
    ]);
    let now_ms = 3 * APART_MS + REPORTED_MS;

    assert_eq!(name_of(&quarantine, &[BAD], now_ms), "held");
    assert_eq!(name_of(&quarantine, &[RARE], now_ms), "held");
}

// Guards against refusing callers because a rack lost its targets while their part was suspected.
#[test]
fn exits_that_coincide_with_others_do_not_hold_a_part() {
    let mut quarantine = with_exits(&[exit(1, APART_MS, &[part(BAD)])]);
    quarantine.on_exit(&exit_alone(2, 2 * APART_MS, &[part(BAD)]));
    quarantine.on_exit(&exit(
        3,
        2 * APART_MS + CORRELATION_WINDOW_MS,
        &[content(3)],
    ));

    assert_eq!(
        name_of(&quarantine, &[BAD], 2 * APART_MS + REPORTED_MS),
        "on-trial"
    );
}

// Guards against a caller that gets other callers' requests refused by naming their part beside one
// under which targets exit.
#[test]
fn a_part_that_others_use_is_not_held_for_exits_that_new_parts_explain() {
    let mut quarantine = Quarantine::default();
    quarantine.on_survived_run(&survived(COMMON, 1));
    for number in 1..=10 {
        let suspects = [part(COMMON), part(100 + number)];
        quarantine.on_exit(&exit(number, number * APART_MS, &suspects));
    }

    assert_eq!(
        name_of(&quarantine, &[COMMON], 10 * APART_MS + REPORTED_MS),
        "clear"
    );
}

#[test]
fn a_part_that_was_sound_before_is_held_after_four_exits() {
    let names: Vec<_> = (1..=4)
        .map(|exits| {
            let exits: Vec<_> = (1..=exits)
                .map(|number| exit(number, number * APART_MS, &[part(COMMON), content(number)]))
                .collect();
            let mut quarantine = with_exits(&exits);
            quarantine.on_survived_run(&survived(COMMON, 1));
            name_of(&quarantine, &[COMMON], 4 * APART_MS + REPORTED_MS)
        })
        .collect();

    assert_eq!(names, ["clear", "clear", "on-trial", "held"]);
}

#[test]
fn a_hold_after_two_exits_ends_with_a_trial() {
    let together = with_exits(&[
        exit(1, APART_MS, &[part(BAD), content(1)]),
        exit(2, APART_MS + 20, &[part(BAD), content(2)]),
    ]);
    let alone = after_two_exits();

    assert_eq!(
        name_of(&together, &[BAD], APART_MS + GROUP_HOLD_MS - 1),
        "held"
    );
    assert_eq!(
        name_of(&together, &[BAD], APART_MS + GROUP_HOLD_MS + 20),
        "on-trial"
    );
    assert_eq!(name_of(&alone, &[BAD], 2 * APART_MS + 299_000), "held");
    assert_eq!(name_of(&alone, &[BAD], 2 * APART_MS + 300_000), "on-trial");
}

#[test]
fn three_exits_give_a_hold_to_store_and_two_do_not() {
    let mut quarantine = after_two_exits();
    let now_ms = MonoMs(2 * APART_MS + REPORTED_MS);
    let after_two = quarantine.unrecorded_holds(now_ms, WALL_MS);
    quarantine.on_exit(&exit_alone(3, 3 * APART_MS, &[queued(BAD)]));
    quarantine.on_exit(&exit(3, 3 * APART_MS, &[part(BAD)]));
    let now_ms = MonoMs(3 * APART_MS + REPORTED_MS);

    let after_three = quarantine.unrecorded_holds(now_ms, WALL_MS);

    assert_eq!(after_two, []);
    assert_eq!(
        after_three,
        [(part(BAD), Hold::new(HoldKind::Held, WALL_MS))]
    );
}

#[test]
fn operators_pin_and_lift_a_part() {
    let mut quarantine = after_two_exits();
    let now_ms = 2 * APART_MS + REPORTED_MS;

    let lift = Hold {
        lifted: vec!["i-1".into(), "i-2".into()],
        ..Hold::new(HoldKind::Lifted, WALL_MS)
    };
    quarantine.on_hold(part(BAD), Some(lift), MonoMs(now_ms));
    assert_eq!(name_of(&quarantine, &[BAD], now_ms), "clear");

    let pin = Hold::new(HoldKind::Pinned, WALL_MS);
    quarantine.on_hold(part(RARE), Some(pin), MonoMs(now_ms));
    assert_eq!(
        status_of(&quarantine, &[RARE], now_ms),
        QuarantineStatus::Held {
            retry_after_ms: None
        }
    );
}

#[test]
fn an_innocent_request_at_the_exits_of_a_part_is_not_held_for_them() {
    let mut quarantine = after_two_exits();
    for target in [1, 2] {
        quarantine.on_exit(&exit(target, target * APART_MS, &[content(7)]));
    }
    let status = |parts: &[PromptPart]| {
        let features = RequestFeatures {
            digest: content(7),
            parts,
        };
        let now_ms = MonoMs(2 * APART_MS + REPORTED_MS);
        quarantine.request_status(features, true, now_ms, WALL_MS)
    };

    assert_eq!(status(&[]).status, QuarantineStatus::OnTrial);
    assert_eq!(status(&[PromptPart(BAD)]).status.name(), "held");
}

#[test]
fn facts_about_parts_expire() {
    let mut quarantine = after_two_exits();
    let now_ms = 2 * APART_MS + FACT_TTL_MS;

    quarantine.expire_facts(MonoMs(now_ms));

    assert_eq!(name_of(&quarantine, &[BAD], now_ms), "clear");
}

#[test]
fn a_flood_of_parts_does_not_evict_the_requests_of_an_exit() {
    let parts: Vec<_> = (0..1_000).map(part).collect();
    let mut quarantine = with_exits(&[exit(1, APART_MS, &parts)]);
    quarantine.on_exit(&exit(1, APART_MS, &[content(1)]));

    let facts = quarantine.facts(MonoMs(APART_MS));

    assert!(facts.exits[0].suspects.len() < 200);
    let status = quarantine.status(content(1), MonoMs(APART_MS), WALL_MS);
    assert_eq!(status, QuarantineStatus::Suspect);
}

#[derive(Clone, Debug)]
enum Fact {
    Exit(TargetExit),
    Survived(SurvivedRun),
}

fn any_fact() -> impl Strategy<Value = Fact> {
    let suspect =
        (1..5_u64, any::<bool>(), any::<bool>()).prop_map(|(number, begun, ran_alone)| Suspect {
            digest: if begun { part(number) } else { queued(number) },
            ran_alone,
        });
    let suspects = prop::collection::vec(suspect, 0..4);
    let exits = (0..6_u64, 0..20_000_u64, suspects).prop_map(|(target, at_ms, suspects)| {
        Fact::Exit(TargetExit {
            suspects,
            ..exit(target, at_ms, &[])
        })
    });
    let runs = (1..5_u64, 0..20_000_u64)
        .prop_map(|(number, at_ms)| Fact::Survived(survived(number, at_ms)));
    prop_oneof![3 => exits, 1 => runs]
}

fn quarantine_of<'a>(facts: impl Iterator<Item = &'a Fact>) -> Quarantine {
    let mut quarantine = Quarantine::default();
    for fact in facts {
        match fact {
            Fact::Exit(exit) => {
                quarantine.on_exit(exit);
            }
            Fact::Survived(run) => {
                quarantine.on_survived_run(run);
            }
        }
    }
    quarantine
}

proptest! {
    #[test]
    fn the_order_of_facts_does_not_matter(
        facts in prop::collection::vec(any_fact(), 0..24),
        now_ms in 0..60_000_u64,
    ) {
        let forward = quarantine_of(facts.iter());
        let backward = quarantine_of(facts.iter().rev().chain(&facts));

        prop_assert_eq!(forward.summary(), backward.summary());
        for number in 1..5 {
            prop_assert_eq!(
                status_of(&forward, &[number], now_ms),
                status_of(&backward, &[number], now_ms)
            );
        }
    }

    #[test]
    fn a_part_with_a_run_survived_after_its_last_exit_is_clear(
        facts in prop::collection::vec(any_fact(), 0..24),
    ) {
        let mut quarantine = quarantine_of(facts.iter());
        for number in 1..5 {
            quarantine.on_survived_run(&survived(number, 20_000));
            for now_ms in [20_000, 30_000, 100_000] {
                prop_assert_eq!(status_of(&quarantine, &[number], now_ms), QuarantineStatus::Clear);
            }
        }
    }
}
