//! What an entry gives out that has just become the home of a target's limit.

use std::net::SocketAddr;

use berylhook_backpressure::coordinator::{Members, PermitCoordinator, RequestFailure};
use berylhook_backpressure::messages::PermitRequest;
use berylhook_backpressure::rate::RequestRate;
use berylhook_core::time::MonoMs;

const LIMIT_PER_S: f64 = 2.0;

/// When the home is first asked.
const BEGAN_MS: u64 = 10_000;

/// Time between two questions of an entry.
const ASK_EVERY_MS: u64 = 200;

fn address(last: u8) -> SocketAddr {
    ([10, 0, 0, last], 7_000).into()
}

/// An entry that is home among `entries`, and the others.
fn home_among(entries: u8) -> (PermitCoordinator<u32>, SocketAddr, Vec<SocketAddr>) {
    let all: Vec<SocketAddr> = (1..=entries).map(address).collect();
    let members = members(&all);
    let exchange_of = |own: SocketAddr| PermitCoordinator::<u32>::new(own, "drafts");
    let home = exchange_of(all[0]).home(&members, MonoMs(BEGAN_MS));
    let others = all.into_iter().filter(|it| *it != home).collect();
    (exchange_of(home), home, others)
}

fn members(all: &[SocketAddr]) -> Members {
    Members {
        present: all.to_vec(),
        known: all.to_vec(),
    }
}

/// An entry asks for two requests.
fn ask(
    exchange: &mut PermitCoordinator<u32>,
    all: &[SocketAddr],
    from: SocketAddr,
    held: Option<u32>,
    after_ms: u64,
) -> u32 {
    let wish = PermitRequest {
        target: 0,
        requests: 2,
        held,
    };
    let limit = RequestRate::clamped(LIMIT_PER_S);
    let now_ms = MonoMs(BEGAN_MS + after_ms);
    let grants = exchange.on_permit_requests(from, &[wish], |_| Some(limit), &members(all), now_ms);
    let grants = grants.expect("it is home");
    grants.iter().map(|grant| grant.permits).sum()
}

/// What the home itself gets in so long, if nobody else asks any more.
fn given_within(
    exchange: &mut PermitCoordinator<u32>,
    all: &[SocketAddr],
    home: SocketAddr,
    span_ms: u64,
) -> u32 {
    let times = (0..=span_ms).step_by(usize::try_from(ASK_EVERY_MS).expect("a small number"));
    times
        .map(|after_ms| ask(exchange, all, home, Some(0), after_ms))
        .sum()
}

// Guards against a limit that is hardly used for a second and more each time its home ends.
#[test]
fn a_new_home_gives_out_the_limit_at_once_if_nobody_has_permits() {
    let (mut exchange, home, others) = home_among(2);
    let all = [home, others[0]];
    exchange.on_request_failed(others[0], RequestFailure::Refused, MonoMs(BEGAN_MS));

    let given = given_within(&mut exchange, &all, home, 1_000);

    assert_eq!(given, 2);
}

// Guards against permits that are given out twice, by a former home and by the new one.
#[test]
fn a_new_home_gives_out_nothing_for_a_second_while_another_entry_may_have_permits() {
    let (mut exchange, home, others) = home_among(3);
    let all = [home, others[0], others[1]];
    ask(&mut exchange, &all, others[0], Some(0), 0);

    let given = given_within(&mut exchange, &all, home, 1_000);

    assert_eq!(given, 0);
}

// The same where an entry is of a version that does not tell what it has.
#[test]
fn an_entry_that_does_not_tell_what_it_has_may_have_permits() {
    let (mut exchange, home, others) = home_among(2);
    let all = [home, others[0]];
    ask(&mut exchange, &all, others[0], None, 0);

    let given = given_within(&mut exchange, &all, home, 1_000);

    assert_eq!(given, 0);
}

// Guards against permits of a former home that the new one does not count.
#[test]
fn permits_that_others_have_from_a_former_home_count() {
    let (mut exchange, home, others) = home_among(2);
    let all = [home, others[0]];
    ask(&mut exchange, &all, others[0], Some(1), 0);

    let given = given_within(&mut exchange, &all, home, 900);

    assert_eq!(given, 0);
}
