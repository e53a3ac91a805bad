//! Which targets an entry prefers.

use std::net::SocketAddr;

use berylhook_traffic::ownership::{DemandMeter, Member, Membership, Preferences};
use berylhook_traffic::target::{Incarnation, Phase, Target};

const DATA_CENTRES: usize = 5;

fn data_centre(index: usize) -> String {
    format!("dc-{}", index % DATA_CENTRES)
}

fn target(index: usize) -> Target {
    Target {
        incarnation: Incarnation {
            id: format!("t-{:04}", index * 7_919 % 10_007).into(),
            started_unix_ms: None,
        },
        service: "llm".into(),
        address: (
            [10, 0, 0, 1],
            u16::try_from(index + 1).expect("few targets"),
        )
            .into(),
        data_centre: data_centre(index).into(),
        slots: 6,
        phase: Phase::Ready,
        listed_revision: 1,
        cold: None,
    }
}

fn address(index: usize) -> SocketAddr {
    (
        [10, 0, 1, 2],
        u16::try_from(index + 1).expect("few entries"),
    )
        .into()
}

fn member(index: usize, demand_per_s: Option<f64>) -> Member {
    Member {
        address: address(index),
        data_centre: data_centre(index).into(),
        demand_per_s,
    }
}

/// Each entry's preferences, if all entries know each other.
fn preferences(members: &[Member], targets: &[Target], running: f64) -> Vec<Preferences> {
    let targets: Vec<&Target> = targets.iter().collect();
    let of = |own: &Member| {
        let membership = Membership::new(own.clone(), members.iter().cloned());
        membership.preferences(&targets, running)
    };
    members.iter().map(of).collect()
}

/// The number of entries that own each target.
fn owners(preferences: &[Preferences], targets: usize) -> Vec<usize> {
    let owned_by = |index: usize| {
        let owners = preferences.iter().filter(|it| it.targets[index].is_owned);
        owners.count()
    };
    (0..targets).map(owned_by).collect()
}

fn fleet(entries: usize, targets: usize) -> (Vec<Member>, Vec<Target>) {
    let members = (0..entries).map(|index| member(index, Some(8.0)));
    (members.collect(), (0..targets).map(target).collect())
}

#[test]
fn each_target_has_one_owner_while_entries_have_few_requests() {
    let (members, targets) = fleet(50, 190);

    let owners = owners(&preferences(&members, &targets, 0.0), 190);

    assert!(owners.iter().all(|count| *count == 1), "{owners:?}");
}

#[test]
fn few_entries_with_many_requests_use_all_targets_evenly() {
    let (members, targets) = fleet(4, 16);

    let owners = owners(&preferences(&members, &targets, 32.0), 16);

    assert!(owners.iter().all(|count| *count == 4), "{owners:?}");
}

#[test]
fn arcs_overlap_more_with_more_requests() {
    let (members, targets) = fleet(50, 190);
    let owners_with = |running| {
        let owners = owners(&preferences(&members, &targets, running), 190);
        owners.iter().sum::<usize>()
    };

    assert!(owners_with(4.0) < owners_with(16.0));
    assert!(owners_with(16.0) < owners_with(50.0));
}

#[test]
fn the_width_of_an_arc_follows_the_demand() {
    let (mut members, targets) = fleet(50, 190);
    members[0].demand_per_s = Some(24.0);

    let preferences = preferences(&members, &targets, 0.0);
    let own = |index: usize| {
        let targets = preferences[index].targets.iter();
        targets.filter(|it| it.is_owned).count()
    };

    assert!(own(0) >= 2 * own(5), "{} {}", own(0), own(5));
}

// Guards against a hash over the number of entries: when one of fifty entries exits, the others
// would get other targets all over the data centre.
#[test]
fn few_targets_change_owner_when_an_entry_leaves() {
    let (members, targets) = fleet(50, 190);

    let before = preferences(&members, &targets, 0.0);
    let after = preferences(&members[1..], &targets, 0.0);
    let moved = before[1..].iter().zip(&after).map(|(before, after)| {
        let pairs = before.targets.iter().zip(&after.targets);
        pairs
            .filter(|(before, after)| !before.is_owned && after.is_owned)
            .count()
    });

    // A tenth of the entries share the data centre; their arcs shift by a tenth.
    assert!(moved.sum::<usize>() <= 190 / DATA_CENTRES / 2);
}

// Guards against arcs that end at the data centre: the entries of one with twice the callers would
// queue requests while half of the targets elsewhere are idle.
#[test]
fn a_data_centre_short_of_targets_gets_arcs_elsewhere() {
    let (mut members, targets) = fleet(50, 190);
    members.retain(|member| &*member.data_centre != "dc-1");
    for member in &mut members {
        let is_busy = &*member.data_centre == "dc-0";
        member.demand_per_s = Some(if is_busy { 16.0 } else { 8.0 });
    }

    let preferences = preferences(&members, &targets, 0.0);
    let owners = owners(&preferences, 190);

    assert!(owners.iter().all(|count| *count <= 2), "{owners:?}");
    let unowned = owners.iter().filter(|count| **count == 0).count();
    assert!(unowned <= 190 / 8, "{unowned}");
}

#[test]
fn more_entries_than_targets_prefer_different_ones() {
    let (members, targets) = fleet(50, 5);

    let preferences = preferences(&members, &targets, 0.2);
    let first = |it: &Preferences| {
        let order = (0..5).min_by(|a, b| it.targets[*a].penalty.total_cmp(&it.targets[*b].penalty));
        order.expect("there are targets")
    };
    let mut used = [0; 5];
    for preference in &preferences {
        used[first(preference)] += 1;
    }

    assert_eq!(used, [10; 5]);
}

#[test]
fn a_lone_entry_owns_all_targets_of_its_data_centre() {
    let (members, targets) = fleet(1, 15);

    let preferences = preferences(&members, &targets, 3.0);
    let own_targets = targets.iter().zip(&preferences[0].targets);
    let mut own_targets = own_targets.filter(|(target, _)| &*target.data_centre == "dc-0");

    assert!(own_targets.all(|(_, it)| it.is_owned && it.penalty <= 0.0));
    assert!((preferences[0].share - 1.0).abs() < 1e-9);
}

#[test]
fn an_entry_without_targets_has_no_preferences() {
    let (members, _) = fleet(3, 0);

    assert!(
        preferences(&members, &[], 0.0)
            .iter()
            .all(|it| it.targets.is_empty())
    );
}

#[test]
fn unknown_demands_are_assumed_to_be_average() {
    let (mut members, targets) = fleet(50, 190);
    members[3].demand_per_s = None;

    let shares = preferences(&members, &targets, 0.0);

    assert!((shares[3].share - shares[4].share).abs() < 1e-9);
}

#[test]
fn demand_follows_arrivals_within_seconds() {
    let mut meter = DemandMeter::default();

    assert_eq!(meter.observe(0), None);
    for second in 1..5 {
        assert_eq!(meter.observe(second * 10), None);
    }
    assert_eq!(meter.observe(50), Some(10.0));
    let mut arrivals = 50;
    for _ in 0..15 {
        arrivals += 30;
        meter.observe(arrivals);
    }
    let demand = meter.observe(arrivals + 30).expect("there were requests");
    assert!((28.0..=30.0).contains(&demand), "{demand}");
}
