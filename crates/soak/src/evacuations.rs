//! Evacuates the data centre of half of the targets at random times, concurrently with all other
//! faults, and checks after the last fault that its targets get no requests.

use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::time::sleep;

use crate::cluster::Cluster;

/// The data centre that is evacuated.
pub(crate) const EVACUATED: &str = "here";

/// Key whose existence evacuates the data centre.
const KEY: &str = "op/evacuate/here";

/// Setting of the entries: time from the write until no request reaches the data centre.
pub(crate) const EVACUATE_MS: u64 = 5_000;

/// Time for which the data centre is watched in the final check.
const CHECK_DURATION: Duration = Duration::from_secs(1);

/// Time between two evacuations, and the duration of one.
const INTERVAL_MS: std::ops::Range<u64> = 500..6_000;
const DURATION_MS: std::ops::Range<u64> = 200..4_000;

/// Separates the random numbers for evacuations from those for faults, so that a seed always
/// produces the same faults.
const EVACUATION_SEED_MASK: u64 = 0x6576_6163;

/// Evacuates the data centre at random times, for `duration`.
pub(crate) async fn run(cluster: Arc<Cluster>, seed: u64, duration: Duration) {
    let mut rng = StdRng::seed_from_u64(seed ^ EVACUATION_SEED_MASK);
    let started_at = Instant::now();
    while started_at.elapsed() < duration {
        sleep(Duration::from_millis(rng.random_range(INTERVAL_MS))).await;
        let at_s = started_at.elapsed().as_secs_f64();
        cluster.record_fault(format!("{at_s:.2} s: an evacuation"));
        cluster.store.put_raw(KEY, b"{}");
        sleep(Duration::from_millis(rng.random_range(DURATION_MS))).await;
        cluster.store.remove_raw(KEY);
    }
}

/// Ends an evacuation that a restore of the store has brought back.
pub(crate) fn clear(cluster: &Cluster) {
    cluster.store.remove_raw(KEY);
}

/// Checks that an evacuation takes effect within its bound while callers send requests.
pub(crate) async fn check(cluster: &Cluster) {
    cluster.store.put_raw(KEY, b"{}");
    sleep(Duration::from_millis(EVACUATE_MS)).await;
    let from = Instant::now();
    sleep(CHECK_DURATION).await;
    let to = Instant::now();
    cluster.store.remove_raw(KEY);
    let targets = cluster.all_targets();
    let evacuated = targets.iter().filter(|it| it.data_centre == EVACUATED);
    let runs = evacuated.flat_map(|target| target.stand_in.runs());
    let late_runs = runs.filter(|run| (from..to).contains(&run.began)).count();
    if late_runs > 0 {
        cluster.record_violation(format!(
            "{late_runs} requests ran in an evacuated data centre"
        ));
    }
}
