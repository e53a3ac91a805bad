//! Makes targets send back-pressure signals, concurrently with all faults: a rate limit, a backoff
//! or the announcement of a shutdown.
//!
//! The requests that reach such a target are counted at the target. An entry that exits, starts or
//! is paused meanwhile may exceed the limit. As its requests cannot be told apart from those of
//! the other entries, each such event adds a few requests to the limit.

use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::time::sleep;

use crate::cluster::{Cluster, Target};
use crate::faults::retire_and_replace;

/// Separates the random numbers for back-pressure signals from those for faults.
const PRESSURE_SEED_MASK: u64 = 0x7072_6573_7375;

/// Time between the end of one signal and the start of the next.
const SIGNAL_INTERVAL_MS: std::ops::Range<u64> = 200..1_500;

/// Rate limit that a target sets, and the time for which it is checked. By specification it must
/// be obeyed from three seconds after it is set.
const LIMIT_PER_S: usize = 2;
const LIMIT_GRACE_PERIOD: Duration = Duration::from_secs(3);
const LIMIT_CHECK_S: usize = 3;
const LIMIT_CHECK_WINDOW: Duration = Duration::from_secs(LIMIT_CHECK_S as u64);

/// Backoff that a target asks for.
const BACKOFF: Duration = Duration::from_secs(2);

/// Time for which requests to a leaving target are counted. The specification allows two seconds
/// or more until no request arrives.
const LEAVING_CHECK_WINDOW: Duration = Duration::from_secs(2);

/// Requests that arrive this soon after the signal are not counted, as they were sent before it.
const IN_FLIGHT_GRACE_PERIOD: Duration = Duration::from_millis(500);

/// Requests per entry that are allowed during a backoff: two by specification, and the one whose
/// rejection carries the signal.
const MAX_REQUESTS_PER_ENTRY: usize = 2 + 1;

/// Additional requests that are allowed for each exit, start or pause of an entry meanwhile.
const EXTRA_REQUESTS_PER_EVENT: usize = 8;

/// A signal that a target sends. The variant names are part of the printed list of faults.
#[derive(Clone, Copy, Debug)]
enum PressureSignal {
    Limit,
    /// Rejects all requests with a `Retry-After`.
    Rest,
    Leaving,
}

/// Makes random targets, one at a time, send a random signal, for `duration`.
pub(crate) async fn run(cluster: Arc<Cluster>, seed: u64, duration: Duration) {
    let mut rng = StdRng::seed_from_u64(seed ^ PRESSURE_SEED_MASK);
    let started_at = Instant::now();
    while started_at.elapsed() < duration {
        sleep(Duration::from_millis(rng.random_range(SIGNAL_INTERVAL_MS))).await;
        let index = rng.random_range(0..64);
        let signal = match rng.random_range(0..3) {
            0 => PressureSignal::Limit,
            1 => PressureSignal::Rest,
            _ => PressureSignal::Leaving,
        };
        if let Some(target) = cluster.target(index) {
            let at_s = started_at.elapsed().as_secs_f64();
            cluster.record_fault(format!(
                "{at_s:.2} s: {signal:?} at {}",
                target.stand_in.id()
            ));
            apply_and_check(&cluster, &target, signal).await;
        }
    }
}

async fn apply_and_check(cluster: &Arc<Cluster>, target: &Arc<Target>, signal: PressureSignal) {
    let entry_events = cluster.entry_signal_count();
    let stand_in = &target.stand_in;
    let started_at = Instant::now();
    let (grace_period, allowed) = match signal {
        PressureSignal::Limit => {
            stand_in.set_limit(Some(&LIMIT_PER_S.to_string()));
            sleep(LIMIT_GRACE_PERIOD + LIMIT_CHECK_WINDOW).await;
            stand_in.set_limit(None);
            (LIMIT_GRACE_PERIOD, LIMIT_PER_S * LIMIT_CHECK_S * 3 / 2 + 5)
        }
        PressureSignal::Rest => {
            stand_in.set_backoff(Some(&BACKOFF.as_secs().to_string()));
            sleep(BACKOFF).await;
            stand_in.set_backoff(None);
            (
                IN_FLIGHT_GRACE_PERIOD,
                MAX_REQUESTS_PER_ENTRY * cluster.entries.len(),
            )
        }
        PressureSignal::Leaving => {
            stand_in.announce_leaving();
            sleep(LEAVING_CHECK_WINDOW).await;
            (
                IN_FLIGHT_GRACE_PERIOD,
                MAX_REQUESTS_PER_ENTRY * cluster.entries.len(),
            )
        }
    };
    let ended_at = Instant::now();
    let arrivals = stand_in.arrivals();
    let request_count = arrivals
        .iter()
        .filter(|at| (started_at + grace_period..ended_at).contains(*at))
        .count();
    let entry_events = cluster.entry_signal_count() - entry_events;
    if request_count > allowed + EXTRA_REQUESTS_PER_EVENT * entry_events {
        let id = stand_in.id();
        cluster.record_violation(format!(
            "{id} got {request_count} requests under {signal:?}; {allowed} are allowed, and \
             {EXTRA_REQUESTS_PER_EVENT} for each of {entry_events} events"
        ));
    }
    if matches!(signal, PressureSignal::Leaving) {
        retire_and_replace(cluster, target).await;
    }
}
