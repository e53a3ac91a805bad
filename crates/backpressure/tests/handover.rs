//! Tests of the permits that a new home of a target's limit grants.

use std::net::SocketAddr;

use berylhook_backpressure::coordinator::{Members, PermitCoordinator, RequestFailure};
use berylhook_backpressure::messages::PermitRequest;
use berylhook_backpressure::rate::RequestRate;
use berylhook_core::time::MonoMs;

const LIMIT_PER_S: f64 = 2.0;

/// When the home receives its first request.
const FIRST_REQUEST_MS: u64 = 10_000;

/// Time between two permit requests of an entry.
const REQUEST_INTERVAL_MS: u64 = 200;

fn address(last: u8) -> SocketAddr {
    ([10, 0, 0, last], 7_000).into()
}

/// Returns the coordinator and the address of the entry that is the home among `entries`,
/// and the addresses of the others.
fn new_home(entries: u8) -> (PermitCoordinator<u32>, SocketAddr, Vec<SocketAddr>) {
    let all: Vec<SocketAddr> = (1..=entries).map(address).collect();
    let members = members(&all);
    let coordinator_of = |own: SocketAddr| PermitCoordinator::<u32>::new(own, "drafts");
    let home = coordinator_of(all[0]).home(&members, MonoMs(FIRST_REQUEST_MS));
    let others = all.into_iter().filter(|member| *member != home).collect();
    (coordinator_of(home), home, others)
}

fn members(all: &[SocketAddr]) -> Members {
    Members {
        present: all.to_vec(),
        known: all.to_vec(),
    }
}

/// Requests two permits for the entry `from`; returns the number granted.
fn request_permits(
    coordinator: &mut PermitCoordinator<u32>,
    all: &[SocketAddr],
    from: SocketAddr,
    held: Option<u32>,
    after_ms: u64,
) -> u32 {
    let request = PermitRequest {
        target: 0,
        requests: 2,
        held,
    };
    let limit = RequestRate::clamped(LIMIT_PER_S);
    let now_ms = MonoMs(FIRST_REQUEST_MS + after_ms);
    let grants =
        coordinator.on_permit_requests(from, &[request], |_| Some(limit), &members(all), now_ms);
    let grants = grants.expect("the entry is the home");
    grants.iter().map(|grant| grant.permits).sum()
}

/// Returns how many permits the home grants itself within `span_ms`, without requests of
/// other entries.
fn granted_within(
    coordinator: &mut PermitCoordinator<u32>,
    all: &[SocketAddr],
    home: SocketAddr,
    span_ms: u64,
) -> u32 {
    let times =
        (0..=span_ms).step_by(usize::try_from(REQUEST_INTERVAL_MS).expect("a small number"));
    times
        .map(|after_ms| request_permits(coordinator, all, home, Some(0), after_ms))
        .sum()
}

// Guards against a limit that stays unused for more than a second whenever its home exits.
#[test]
fn a_new_home_grants_the_limit_at_once_if_no_entry_holds_permits() {
    let (mut coordinator, home, others) = new_home(2);
    let all = [home, others[0]];
    coordinator.on_request_failed(others[0], RequestFailure::Refused, MonoMs(FIRST_REQUEST_MS));

    let granted = granted_within(&mut coordinator, &all, home, 1_000);

    assert_eq!(granted, 2);
}

// Guards against granting permits twice, by the previous home and by the new one.
#[test]
fn a_new_home_grants_nothing_for_a_second_while_another_entry_may_hold_permits() {
    let (mut coordinator, home, others) = new_home(3);
    let all = [home, others[0], others[1]];
    request_permits(&mut coordinator, &all, others[0], Some(0), 0);

    let granted = granted_within(&mut coordinator, &all, home, 1_000);

    assert_eq!(granted, 0);
}

// Guards against the same failure with an entry of a version that does not report its permits.
#[test]
fn an_entry_that_does_not_report_its_permits_may_hold_some() {
    let (mut coordinator, home, others) = new_home(2);
    let all = [home, others[0]];
    request_permits(&mut coordinator, &all, others[0], None, 0);

    let granted = granted_within(&mut coordinator, &all, home, 1_000);

    assert_eq!(granted, 0);
}

// Guards against a new home that ignores the permits granted by the previous home.
#[test]
fn permits_granted_by_the_previous_home_count() {
    let (mut coordinator, home, others) = new_home(2);
    let all = [home, others[0]];
    request_permits(&mut coordinator, &all, others[0], Some(1), 0);

    let granted = granted_within(&mut coordinator, &all, home, 900);

    assert_eq!(granted, 0);
}
