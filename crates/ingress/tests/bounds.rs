//! The bounds that follow from the limits of a process.

use berylhook_ingress::Bounds;
use berylhook_operator::ProcessLimits;

/// The largest request body of the deployments.
const MAX_BODY_BYTES: u64 = 4 << 20;

fn bounds(memory_mb: u64, descriptors: u64) -> Bounds {
    Bounds::of(&ProcessLimits {
        memory_mb,
        descriptors,
    })
}

// Guards against bounds that exceed the memory of the VM together.
#[test]
fn connections_and_bodies_leave_memory_for_the_process_itself() {
    for memory_mb in [64, 96, 112, 160, 260, 512] {
        let bounds = bounds(memory_mb, 8_192);

        let connections = bounds.caller_connections as u64;
        let held_bytes = connections * (48 << 10) + bounds.body_bytes;
        let own_bytes = memory_mb * 1_000_000 - held_bytes;
        assert!(own_bytes >= 25_000_000, "{memory_mb} MB: {own_bytes}");
    }
}

// Guards against callers that take the descriptors for the store, peers and targets.
#[test]
fn callers_get_half_of_the_descriptors_that_are_not_kept_for_files() {
    let bounds = bounds(260, 1_200);

    assert_eq!(bounds.caller_connections, 500);
    assert!(bounds.peer_connections > 100);
}

// Guards against a bound that a single request within the limits meets: while its buffer grows, the
// former one exists as well.
#[test]
fn the_largest_body_finds_room_in_the_smallest_process() {
    let bounds = bounds(64, 300);

    assert!(bounds.body_bytes * 5 / 8 > MAX_BODY_BYTES * 3 / 2);
}
