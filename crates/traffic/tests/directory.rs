//! Which targets are used while the list changes, is lost and comes back.

use std::sync::Arc;

use berylhook_core::position::Position;
use berylhook_core::time::MonoMs;
use berylhook_traffic::directory::{
    Directory, InvalidEntry, Listing, ListingChange, RESTORED_ENTRY_EXCLUSION_MS,
    STORE_RECOVERY_GRACE_MS,
};
use berylhook_traffic::target::{Incarnation, Phase, Target};

fn incarnation(id: &str) -> Incarnation {
    Incarnation {
        id: id.into(),
        started_unix_ms: None,
    }
}

fn target(id: &str, port: u16) -> Target {
    Target {
        incarnation: incarnation(id),
        service: "llm".into(),
        address: ([10, 0, 0, 1], port).into(),
        data_centre: "cairo-a".into(),
        slots: 12,
        phase: Phase::Ready,
        listed_revision: 1,
    }
}

fn younger(id: &str, port: u16) -> Target {
    Target {
        listed_revision: 4,
        ..target(id, port)
    }
}

fn at(revision: u64) -> Position {
    Position::first_era(revision)
}

fn listing(revision: u64, targets: &[Target]) -> Listing {
    let by_id = targets
        .iter()
        .map(|target| (Arc::clone(target.id()), target.clone()));
    Listing {
        position: at(revision),
        targets: by_id.collect(),
        ..Listing::default()
    }
}

fn usable(directory: &Directory) -> Vec<String> {
    directory
        .usable()
        .map(|target| target.id().to_string())
        .collect()
}

#[test]
fn a_leaving_target_gets_nothing_new_at_once() {
    let mut directory = Directory::default();
    directory.replace(listing(5, &[target("a", 1), target("b", 2)]), MonoMs(0));
    let leaving = Target {
        phase: Phase::Leaving,
        ..target("a", 1)
    };

    directory.apply(ListingChange::Set(leaving), at(6), MonoMs(10));

    assert_eq!(usable(&directory), ["b"]);
}

// Symptom: a target that has left gets requests again. Sequence: a peer or a
// stale read offers an older list. Cause: the list was taken without looking at
// its revision.
#[test]
fn an_older_list_or_change_brings_nothing_back() {
    let mut directory = Directory::default();
    directory.replace(listing(5, &[target("a", 1)]), MonoMs(0));
    directory.apply(ListingChange::Removed("a".into()), at(8), MonoMs(10));

    let is_taken = directory.replace(listing(7, &[target("a", 1)]), MonoMs(20));
    directory.apply(ListingChange::Set(target("a", 1)), at(6), MonoMs(30));

    assert!(!is_taken);
    assert!(usable(&directory).is_empty());
}

// Symptom: no target is left just as the store comes back. Sequence: the store
// is away for seconds, the entries of all targets lapse meanwhile, the first
// list read after its return is empty. Cause: missing entries were taken for
// targets that are gone.
#[test]
fn targets_missing_right_after_the_stores_return_stay_in_use_for_a_while() {
    let mut directory = Directory::default();
    directory.replace(listing(5, &[target("a", 1), target("b", 2)]), MonoMs(0));
    directory.on_store_recovered(MonoMs(1_000));

    directory.replace(listing(9, &[target("b", 2)]), MonoMs(1_010));
    assert_eq!(usable(&directory), ["b", "a"]);

    directory.apply(ListingChange::Set(target("a", 1)), at(10), MonoMs(1_500));
    let after = MonoMs(1_000 + STORE_RECOVERY_GRACE_MS);
    directory.expire(after);
    assert_eq!(usable(&directory), ["b", "a"]);
}

#[test]
fn a_target_still_missing_after_the_grace_is_gone() {
    let mut directory = Directory::default();
    directory.replace(listing(5, &[target("a", 1)]), MonoMs(0));
    directory.on_store_recovered(MonoMs(1_000));
    directory.replace(listing(9, &[]), MonoMs(1_010));
    let due = directory.next_expiry_ms().expect("one is missing");

    assert!(directory.expire(due));

    assert!(usable(&directory).is_empty());
    assert_eq!(directory.next_expiry_ms(), None);
}

#[test]
fn without_an_outage_a_removed_target_is_gone_at_once() {
    let mut directory = Directory::default();
    directory.replace(listing(5, &[target("a", 1)]), MonoMs(0));

    directory.apply(ListingChange::Removed("a".into()), at(6), MonoMs(10_000));

    assert!(usable(&directory).is_empty());
}

// Symptom: half of the requests to a group that has just restarted are refused
// by "another incarnation". Sequence: engines lose power and start again; their
// former entries stay listed until their heartbeats lapse. Cause: two
// incarnations at one address were both used.
#[test]
fn a_new_incarnation_at_an_address_supersedes_the_former() {
    let mut directory = Directory::default();
    directory.replace(listing(5, &[target("old", 1), target("b", 2)]), MonoMs(0));

    directory.apply(ListingChange::Set(younger("new", 1)), at(6), MonoMs(10));
    assert_eq!(usable(&directory), ["b", "new"]);

    let both = [
        target("old", 1),
        younger("new", 1),
        target("b", 2),
        younger("newer", 2),
    ];
    directory.replace(listing(9, &both), MonoMs(20));
    assert_eq!(usable(&directory), ["new", "newer"]);
}

fn started(id: &str, started_unix_ms: u64) -> Target {
    Target {
        incarnation: Incarnation {
            id: id.into(),
            started_unix_ms: Some(started_unix_ms),
        },
        ..target(id, 1)
    }
}

fn unusable(id: &str) -> InvalidEntry {
    InvalidEntry {
        id: id.into(),
        reason: "somebody else wrote it".into(),
    }
}

fn only_start(directory: &Directory) -> Option<u64> {
    let targets: Vec<&Target> = directory.usable().collect();
    assert_eq!(targets.len(), 1, "{targets:?}");
    targets[0].incarnation.started_unix_ms
}

// Symptom: what was learnt of a target is held against its new start. Sequence:
// it starts again under its id; a late heartbeat of the former start follows.
// Cause: identity was the id alone.
#[test]
fn a_later_start_is_a_new_incarnation_and_an_earlier_one_a_late_write() {
    let mut directory = Directory::default();
    let leaving = Target {
        phase: Phase::Leaving,
        ..started("a", 1_000)
    };

    directory.apply(ListingChange::Set(started("a", 1_000)), at(1), MonoMs(0));
    directory.apply(ListingChange::Set(started("a", 2_000)), at(2), MonoMs(0));
    directory.apply(ListingChange::Set(leaving.clone()), at(3), MonoMs(0));
    let by_watch = only_start(&directory);
    directory.replace(listing(4, &[leaving]), MonoMs(0));
    let by_list = only_start(&directory);

    assert_eq!((by_watch, by_list), (Some(2_000), Some(2_000)));
}

// Symptom: requests go to an address that no target of the service has. Sequence:
// somebody else writes under the key of a target that tells its start, and leaves
// the start out. Cause: a missing start was taken as unknown, whatever was told.
#[test]
fn an_entry_without_the_start_that_was_told_before_names_no_target() {
    let mut directory = Directory::default();
    directory.apply(ListingChange::Set(started("a", 1_000)), at(1), MonoMs(0));

    directory.apply(ListingChange::Set(target("a", 9)), at(2), MonoMs(0));
    let after_one = usable(&directory);
    directory.apply(ListingChange::Set(target("a", 9)), at(3), MonoMs(0));
    let after_two = usable(&directory);
    directory.replace(listing(4, &[target("a", 9)]), MonoMs(0));
    let after_list = usable(&directory);
    directory.apply(ListingChange::Set(started("a", 1_000)), at(5), MonoMs(0));

    assert!(after_one.is_empty() && after_two.is_empty() && after_list.is_empty());
    assert_eq!(usable(&directory), ["a"]);
}

// Symptom: a target stays in use after its entry was overwritten with something
// else, also for two seconds after an outage. Sequence: as said. Cause: what could
// not be read was skipped, as if nothing had been written.
#[test]
fn an_unusable_entry_takes_its_target_out_of_use_and_no_other() {
    let mut directory = Directory::default();
    let targets = [target("a", 1), target("b", 2), target("c", 3)];
    directory.replace(listing(1, &targets), MonoMs(0));
    directory.on_store_recovered(MonoMs(100));

    directory.apply(ListingChange::Invalid(unusable("a")), at(2), MonoMs(110));
    let by_watch = usable(&directory);
    let mut read = listing(3, &[target("c", 3)]);
    read.invalid = [("b".into(), "it has no address".into())].into();
    directory.replace(read, MonoMs(120));
    let by_list = usable(&directory);
    directory.apply(ListingChange::Set(target("a", 1)), at(4), MonoMs(130));

    assert_eq!(by_watch, ["b", "c"]);
    // `a` is missing from the list as a whole and could be back within the grace
    // period, but it was taken out before the list was read.
    assert_eq!(by_list, ["c"]);
    assert_eq!(usable(&directory), ["c", "a"]);
}

fn restored(revision: u64, targets: &[Target]) -> Listing {
    Listing {
        position: Position { era: 1, revision },
        ..listing(revision, targets)
    }
}

/// Guards against a list that ignores all news after a restore, since revisions went back.
#[test]
fn a_restored_store_is_followed_although_its_revisions_went_back() {
    let mut directory = Directory::default();
    directory.replace(listing(50, &[target("a", 1)]), MonoMs(0));
    let leaving = Target {
        phase: Phase::Leaving,
        ..target("a", 1)
    };

    let is_taken = directory.replace(restored(40, &[target("a", 1)]), MonoMs(10));
    let position = Position {
        era: 1,
        revision: 41,
    };
    directory.apply(ListingChange::Set(leaving), position, MonoMs(20));

    assert!(is_taken);
    assert!(usable(&directory).is_empty());
}

/// Guards against requests to a target that is leaving: the older copy says it is ready.
#[test]
fn a_target_that_was_leaving_before_a_restore_leaves_still() {
    let mut directory = Directory::default();
    let leaving = Target {
        phase: Phase::Leaving,
        ..target("a", 1)
    };
    directory.replace(listing(50, &[leaving, target("b", 2)]), MonoMs(0));

    directory.replace(restored(40, &[target("a", 1), target("b", 2)]), MonoMs(10));

    assert_eq!(usable(&directory), ["b"]);
}

/// Guards against requests to a target that has left and is listed again by an older copy,
/// and against one that lives being left out for good.
#[test]
fn a_target_that_had_left_before_a_restore_is_used_once_somebody_renews_its_entry() {
    let mut directory = Directory::default();
    directory.replace(listing(5, &[target("a", 1), target("b", 2)]), MonoMs(0));
    directory.apply(ListingChange::Removed("a".into()), at(50), MonoMs(100));

    directory.replace(
        restored(40, &[target("a", 1), target("b", 2)]),
        MonoMs(1_000),
    );
    let at_first = usable(&directory);
    directory.expire(MonoMs(1_000 + RESTORED_ENTRY_EXCLUSION_MS));

    assert_eq!(at_first, ["b"]);
    assert_eq!(usable(&directory), ["a", "b"]);
}

/// Guards against an empty list just after a restore: targets that registered since the copy
/// are missing there until they write again.
#[test]
fn targets_that_a_restore_has_lost_stay_in_use_for_a_while() {
    let mut directory = Directory::default();
    directory.replace(listing(50, &[target("a", 1), target("b", 2)]), MonoMs(0));

    directory.replace(restored(40, &[target("b", 2)]), MonoMs(10));
    let at_first = usable(&directory);
    directory.expire(MonoMs(10 + STORE_RECOVERY_GRACE_MS));

    assert_eq!(at_first, ["b", "a"]);
    assert_eq!(usable(&directory), ["b"]);
}
