//! VMs of engines that freeze at other moments than in a pause of their group: real entries and
//! agents, stand-in store and group.

mod common;

use std::time::Duration;

use berylhook_test_support::Signal;

use crate::common::expert_groups::{RANKS, shift_demand, start_entry, start_fleet, wait_until};

/// The rank whose copies of experts take longest.
const SLOW: usize = 0;

/// The rank whose VM freezes.
const FROZEN: usize = 2;

/// Longer than a switch takes from the last copy to the pause.
const SWITCH_TIME: Duration = Duration::from_secs(1);

// Guards against a group that is paused until a VM resumes which froze before the pause. A rank that
// had copied its experts was not asked again, and could not be armed.
#[tokio::test]
async fn no_switch_pauses_a_group_after_a_vm_has_frozen() {
    let fleet = start_fleet().await;
    let _entry = start_entry(&fleet, "entry-0");
    shift_demand(&fleet, 3).await;
    fleet.group.withhold_copies_of(SLOW, true);
    let ready_before: Vec<u64> = (0..RANKS)
        .map(|rank| fleet.group.ready_reports_of(rank))
        .collect();
    fleet.group.set_hot_expert(7);
    let have_others_copied = || {
        (0..RANKS)
            .filter(|rank| *rank != SLOW)
            .all(|rank| fleet.group.ready_reports_of(rank) > ready_before[rank])
    };
    wait_until("no switch begins", have_others_copied).await;
    let pauses_before = fleet.group.pause_commands();

    fleet.group.freeze_vm(FROZEN);
    fleet.agents[FROZEN].signal(Signal::Stop);
    fleet.group.withhold_copies_of(SLOW, false);
    tokio::time::sleep(SWITCH_TIME).await;
    let pauses = fleet.group.pause_commands() - pauses_before;
    fleet.agents[FROZEN].signal(Signal::Continue);
    fleet.group.wake_vms();
    shift_demand(&fleet, 7).await;

    assert_eq!(pauses, 0);
    assert_eq!(fleet.group.mixed_passes(), 0);
}
