//! Lets a target leave while the entries' open connections to the store carry nothing more, and
//! checks that it gets no requests.

use std::time::{Duration, Instant};

use berylhook_test_support::Fault;
use tokio::time::sleep;

use crate::cluster::{Cluster, Registration};

/// Time from the announcement until no request reaches the target.
const DEPARTURE_BOUND: Duration = Duration::from_secs(3);

/// Time for which the target is observed after it.
const CHECK_DURATION: Duration = Duration::from_secs(1);

/// Checks that departures take effect within their bound while callers send requests: that of a
/// target that announces it, and that of one whose entry is removed.
pub(crate) async fn check(cluster: &Cluster) {
    for registration in [Registration::Leaving, Registration::Gone] {
        let Some(target) = cluster.target(0) else {
            return;
        };
        for entry in &cluster.entries {
            entry.store_link.set_fault(Fault::FreezeOpen);
        }
        if !cluster.retire(&target) {
            return;
        }
        target.set_registration(&cluster.store, registration);
        if registration == Registration::Gone {
            target.stand_in.remove(&cluster.store);
        }
        sleep(DEPARTURE_BOUND).await;
        let from = Instant::now();
        sleep(CHECK_DURATION).await;
        let to = Instant::now();
        let runs = target.stand_in.runs();
        let late_runs = runs.iter().filter(|run| (from..to).contains(&run.began));
        let late_runs = late_runs.count();
        if late_runs > 0 {
            cluster.record_violation(format!(
                "{late_runs} requests ran at a target that had left ({registration:?})"
            ));
        }
        for entry in &cluster.entries {
            entry.store_link.set_fault(Fault::None);
        }
    }
}
