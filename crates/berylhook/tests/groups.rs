//! A group's expert map follows the demand: real entries and agents, stand-in store and group.

mod common;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use berylhook_test_support::{Daemon, Outage, PlatformGroup, Signal, free_address};
use common::expert_groups::{
    Fleet, RANKS, TEST_TIMEOUT, shift_demand, start_agent, start_entry, start_fleet,
    start_fleet_of, start_sized_entry, wait_until,
};

// Guards against passes that take several times as long as they should for the whole of a store
// outage, because the demand shifts and a switch of the map needs the store.
#[tokio::test]
async fn a_map_follows_the_demand_during_a_store_outage() {
    let fleet = start_fleet().await;
    let _entry = start_entry(&fleet, "entry-1");

    shift_demand(&fleet, 3).await;
    fleet.store.set_outage(Outage::Refusing);
    shift_demand(&fleet, 7).await;
    fleet.store.set_outage(Outage::None);
    shift_demand(&fleet, 11).await;

    assert_eq!(fleet.group.mixed_passes(), 0);
}

// Guards against a pass with two maps, or a group that stays paused, after its leader is lost. The
// leader is frozen or killed, another entry takes over, and the frozen one resumes, so that two
// leaders send commands.
#[tokio::test]
async fn a_map_follows_the_demand_through_frozen_and_killed_leaders() {
    let fleet = start_fleet().await;
    let first = start_entry(&fleet, "entry-1");
    shift_demand(&fleet, 3).await;
    let second = start_entry(&fleet, "entry-2");

    first.signal(Signal::Stop);
    shift_demand(&fleet, 7).await;
    first.signal(Signal::Continue);
    shift_demand(&fleet, 11).await;
    second.signal(Signal::Kill);
    shift_demand(&fleet, 14).await;

    assert_eq!(fleet.group.mixed_passes(), 0);
}

// Guards against passes that take at least twice as long as usual for seconds after a planned stop
// of the leader during a store outage. No entry can be elected without the store, so the leader has
// to hand its leadership over before it stops.
#[tokio::test]
async fn a_leader_that_stops_during_a_store_outage_has_a_successor() {
    let fleet = start_fleet().await;
    let (peers_1, peers_2) = (free_address(), free_address());
    let first = start_sized_entry(&fleet, "entry-1", 0.5, peers_1, &peers_2.to_string());
    shift_demand(&fleet, 3).await;
    let second = start_sized_entry(&fleet, "entry-2", 0.5, peers_2, &peers_1.to_string());
    let third = start_sized_entry(&fleet, "entry-3", 0.5, free_address(), &peers_1.to_string());
    tokio::time::sleep(Duration::from_secs(1)).await;

    fleet.store.set_outage(Outage::Refusing);
    first.signal(Signal::Terminate);
    shift_demand(&fleet, 7).await;
    second.signal(Signal::Terminate);
    shift_demand(&fleet, 11).await;
    fleet.store.set_outage(Outage::None);
    shift_demand(&fleet, 14).await;

    drop(third);
    assert_eq!(fleet.group.mixed_passes(), 0);
}

// Guards against passes that take at least twice as long as usual for the whole of a store outage
// after an agent has restarted. A switch needs every rank, so an agent must relay commands even
// before it has read the store.
#[tokio::test]
async fn an_agent_that_starts_during_a_store_outage_relays_for_the_leader() {
    let mut fleet = start_fleet().await;
    let _entry = start_entry(&fleet, "entry-1");
    shift_demand(&fleet, 3).await;

    fleet.store.set_outage(Outage::Refusing);
    let store = fleet.store.address();
    fleet.agents.remove(0);
    let agent = start_agent(fleet.engines[0], fleet.agent_port, store);
    fleet.agents.push(agent);
    shift_demand(&fleet, 7).await;

    assert_eq!(fleet.group.mixed_passes(), 0);
}

/// Guards against a group without a leader, or with two, after the store has been restored from a
/// snapshot that lacks the election.
#[tokio::test]
async fn a_map_follows_the_demand_after_the_store_was_restored() {
    let mut fleet = start_fleet().await;
    let snapshot = fleet.store.snapshot();
    let _first = start_entry(&fleet, "entry-1");
    shift_demand(&fleet, 3).await;
    let _second = start_entry(&fleet, "entry-2");

    fleet.store.restore(&snapshot);
    shift_demand(&fleet, 7).await;
    fleet.store.restore(&snapshot);
    let store = fleet.store.address();
    fleet.agents.remove(0);
    let agent = start_agent(fleet.engines[0], fleet.agent_port, store);
    fleet.agents.push(agent);
    shift_demand(&fleet, 11).await;

    assert_eq!(fleet.group.mixed_passes(), 0);
}

// Guards against passes that take at least twice as long as usual for the rest of a group's life
// after an engine has restarted under its id and the group has formed again with its first map.
// State of the previous incarnation, such as its map, its counts or a pause that was commanded,
// must not be taken for that of the new one, whether the demand stays or shifts.
#[tokio::test]
async fn a_map_follows_the_demand_after_an_engine_restart() {
    let fleet = start_fleet().await;
    let _entry = start_entry(&fleet, "entry-1");
    shift_demand(&fleet, 3).await;

    fleet.group.restart_engine(1);
    shift_demand(&fleet, 3).await;
    shift_demand(&fleet, 7).await;
    fleet.store.set_outage(Outage::Refusing);
    fleet.group.restart_engine(0);
    shift_demand(&fleet, 7).await;
    shift_demand(&fleet, 11).await;

    assert_eq!(fleet.group.mixed_passes(), 0);
}

// Guards against maps that are seconds old in all groups of a service because the copies of one
// group never complete. A leader that served its groups one after the other delayed each switch
// until the one of the stuck group had timed out.
#[tokio::test]
async fn a_stuck_group_does_not_delay_other_groups() {
    const SHIFTS: usize = 6;
    let fleet = start_fleet().await;
    let engines: Vec<SocketAddr> = (0..RANKS).map(|_| free_address()).collect();
    let stuck = PlatformGroup::start("g-1", &engines).await;
    stuck.register(&fleet.store, "llm");
    stuck.set_copies_complete(false);
    let store = fleet.store.address();
    let start = |engine: &SocketAddr| start_agent(*engine, fleet.agent_port, store);
    let _agents: Vec<Daemon> = engines.iter().map(start).collect();
    let _entry = start_entry(&fleet, "entry-1");
    stuck.set_hot_expert(5);
    while stuck.prepare_commands() == 0 {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }

    let commands_before = stuck.prepare_commands();
    for hot_expert in 1..=SHIFTS {
        shift_demand(&fleet, hot_expert).await;
    }

    let prepare_rounds = (stuck.prepare_commands() - commands_before) / RANKS as u64;
    assert!(
        prepare_rounds < SHIFTS as u64,
        "{prepare_rounds} switches begun in the stuck group"
    );
    assert_eq!(fleet.group.mixed_passes(), 0);
}

// Guards against an entry with a sixth of a processor that becomes leader because it reached the
// store first: switches of maps then take twice as long as under a larger leader. All entries start
// at once.
#[tokio::test]
async fn the_entry_with_more_cpu_is_elected() {
    let fleet = start_fleet().await;
    let large_peers = free_address();
    let seeds = large_peers.to_string();

    let small_peers = free_address();
    let _small = start_sized_entry(&fleet, "small", 0.18, small_peers, &seeds);
    let _large = start_sized_entry(&fleet, "large", 0.5, large_peers, &small_peers.to_string());

    assert!(leader(&fleet).await.starts_with("large "));
}

// Guards against the smallest entry leading a large group for the rest of the day after a power
// loss. All entries start at once, a small one is elected before it knows its peers, and the
// decision must not be final.
#[tokio::test]
async fn a_small_leader_hands_over_to_a_larger_peer() {
    let fleet = start_fleet().await;
    let (small_peers, large_peers) = (free_address(), free_address());
    let _small = start_sized_entry(&fleet, "small", 0.18, small_peers, "");
    assert!(leader(&fleet).await.starts_with("small "));

    let _large = start_sized_entry(&fleet, "large", 0.5, large_peers, &small_peers.to_string());

    let started_at = Instant::now();
    while !leader(&fleet).await.starts_with("large ") {
        assert!(
            started_at.elapsed() < TEST_TIMEOUT,
            "the smaller entry still leads"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    shift_demand(&fleet, 3).await;
    assert_eq!(fleet.group.mixed_passes(), 0);
}

// Guards against entries that overload some targets while others are idle, because an entry does
// not know that others share its targets, or still counts one that has stopped.
#[tokio::test]
async fn entries_track_how_many_entries_share_the_targets() {
    let fleet = start_fleet().await;
    let (first_peers, second_peers) = (free_address(), free_address());
    let first = start_sized_entry(&fleet, "first", 0.5, first_peers, "");
    let second = start_sized_entry(
        &fleet,
        "second",
        0.5,
        second_peers,
        &first_peers.to_string(),
    );

    wait_for_sharing_line(&first, r#""members":2"#).await;
    wait_for_sharing_line(&second, r#""members":2"#).await;
    second.signal(Signal::Terminate);

    wait_for_sharing_line(&first, r#""members":1"#).await;
}

/// Waits until the newest log line about sharing the targets contains `expected`.
async fn wait_for_sharing_line(entry: &Daemon, expected: &str) {
    let started_at = Instant::now();
    loop {
        let output = entry.output();
        let mut sharing_lines = output.lines().filter(|line| line.contains("shared anew"));
        if sharing_lines
            .next_back()
            .is_some_and(|line| line.contains(expected))
        {
            return;
        }
        assert!(
            started_at.elapsed() < TEST_TIMEOUT,
            "{expected} is not logged"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Waits until there is a leader and returns the value of its key.
async fn leader(fleet: &Fleet) -> String {
    let started_at = Instant::now();
    loop {
        if let Some(leader) = fleet.store.value("berylhook/leader/llm") {
            return leader;
        }
        assert!(started_at.elapsed() < TEST_TIMEOUT, "no leader is elected");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

// Guards against a group that is paused for seconds: a switch of the expert map paused it while one
// rank left commands unanswered, so that each command had to be sent several times.
#[tokio::test]
async fn no_switch_pauses_a_group_while_a_rank_leaves_commands_unanswered() {
    let fleet = start_fleet().await;
    let _entry = start_entry(&fleet, "entry-1");
    shift_demand(&fleet, 3).await;
    // One more switch may follow after the hot expert has its last replica.
    tokio::time::sleep(Duration::from_secs(2)).await;
    let pauses_before = fleet.group.pause_commands();

    fleet.group.drop_command_replies_of(Some(RANKS - 1));
    fleet.group.set_hot_expert(7);
    tokio::time::sleep(Duration::from_secs(3)).await;
    let pauses_meanwhile = fleet.group.pause_commands() - pauses_before;
    fleet.group.drop_command_replies_of(None);
    shift_demand(&fleet, 7).await;

    assert_eq!(pauses_meanwhile, 0);
    assert_eq!(fleet.group.mixed_passes(), 0);
}

/// Number of pause commands that each rank has accepted.
fn pauses_by_rank(fleet: &Fleet) -> Vec<u64> {
    let ranks = 0..fleet.engines.len();
    ranks
        .map(|rank| fleet.group.pause_commands_of(rank))
        .collect()
}

// Guards against requests that wait for seconds at the rank that pauses the group because its VM
// has frozen, and still run there after their callers have disconnected.
#[tokio::test]
async fn the_rank_with_the_least_work_gets_the_pause_command() {
    let fleet = start_fleet().await;
    for rank in 0..RANKS - 1 {
        fleet.group.set_queued(rank, 3);
    }
    let _entry = start_entry(&fleet, "entry-1");

    shift_demand(&fleet, 3).await;

    let pauses_by_rank = pauses_by_rank(&fleet);
    let (least_loaded_pauses, others) = pauses_by_rank.split_last().expect("the group has ranks");
    assert!(*least_loaded_pauses > 0, "{pauses_by_rank:?}");
    assert!(
        others.iter().all(|pauses| *pauses == 0),
        "{pauses_by_rank:?}"
    );
    assert_eq!(fleet.group.mixed_passes(), 0);
}

// Guards against a repeated pause command to a rank that has more work than the others since the
// first one, which missed its pass.
#[tokio::test]
async fn a_repeated_pause_goes_to_the_rank_with_the_least_work() {
    let fleet = start_fleet().await;
    for rank in 1..RANKS {
        fleet.group.set_queued(rank, 1);
    }
    fleet.group.withhold_pauses(true);
    let _entry = start_entry(&fleet, "entry-1");
    fleet.group.set_hot_expert(3);
    wait_until("no rank is to pause", || fleet.group.withheld_pauses() > 0).await;

    fleet.group.set_queued(0, 5);
    fleet.group.withhold_pauses(false);
    wait_until("no rank pauses", || fleet.group.pause_commands() > 0).await;

    let pauses_by_rank = pauses_by_rank(&fleet);
    assert_eq!(
        pauses_by_rank[0], 0,
        "{pauses_by_rank:?} pauses with 5, 1, 1 and 1 requests waiting"
    );
}

// Guards against a pause command to a rank that had the least work when it was ready and has more
// than the others since: the leader does not poll a rank that is ready.
#[tokio::test]
async fn the_pausing_rank_is_chosen_by_its_present_work() {
    let fleet = start_fleet().await;
    let slowest = RANKS - 1;
    fleet.group.set_queued(slowest, 1);
    for rank in 1..slowest {
        fleet.group.set_queued(rank, 2);
    }
    fleet.group.withhold_copies_of(slowest, true);
    let _entry = start_entry(&fleet, "entry-1");
    fleet.group.set_hot_expert(3);
    let is_ready = |rank: usize| fleet.group.ready_reports_of(rank) > 0;
    wait_until("ranks are not ready", || (0..slowest).all(is_ready)).await;

    tokio::time::sleep(Duration::from_millis(100)).await;
    fleet.group.set_queued(0, 5);
    fleet.group.withhold_copies_of(slowest, false);
    wait_until("no rank pauses", || fleet.group.pause_commands() > 0).await;

    let pauses_by_rank = pauses_by_rank(&fleet);
    assert_eq!(
        pauses_by_rank[0], 0,
        "{pauses_by_rank:?} pauses with 5, 2, 2 and 1 requests waiting"
    );
}

/// Shifts the demand and returns the ranks that pause the group until the map follows.
async fn pausing_ranks_of_shift(fleet: &Fleet, hot_expert: usize) -> Vec<usize> {
    let before = pauses_by_rank(fleet);
    fleet.group.set_hot_expert(hot_expert);
    let is_paused = || pauses_by_rank(fleet) != before;
    wait_until("the group is not paused", is_paused).await;
    // More switches may follow while the hot expert gets its replicas.
    tokio::time::sleep(Duration::from_secs(2)).await;
    let after = pauses_by_rank(fleet);
    (0..after.len())
        .filter(|rank| after[*rank] > before[*rank])
        .collect()
}

// Guards against requests at the pausing rank in the second of two switches: if a large group chose
// a new rank each time, the switch would have to wait until that one has begun its requests.
#[tokio::test]
async fn a_large_group_keeps_its_pausing_rank_for_the_next_switch() {
    const LARGE: usize = 12;
    let fleet = start_fleet_of(LARGE).await;
    for rank in 0..LARGE - 1 {
        fleet.group.set_queued(rank, 3);
    }
    let _entry = start_entry(&fleet, "entry-1");

    let first = pausing_ranks_of_shift(&fleet, 3).await;
    for rank in 0..LARGE - 1 {
        fleet.group.set_queued(rank, 0);
    }
    let second = pausing_ranks_of_shift(&fleet, 7).await;
    tokio::time::sleep(Duration::from_secs(6)).await;
    let later = pausing_ranks_of_shift(&fleet, 11).await;

    assert_eq!(first, [LARGE - 1]);
    assert_eq!(second, [LARGE - 1]);
    assert_eq!(later, [0], "the reservation does not end");
    assert_eq!(fleet.group.mixed_passes(), 0);
}
