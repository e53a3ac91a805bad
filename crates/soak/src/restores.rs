//! Restores the store from older snapshots, concurrently with all other faults.
//!
//! After a restore, the configuration and the targets' entries are written again with a delay,
//! while everything that entries and agents wrote since the snapshot is lost. A failed request is
//! never attributed to a restore.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use berylhook_test_support::{Outage, StoreSnapshot};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::time::sleep;

use crate::cluster::Cluster;

/// Time between two snapshots, and the number of snapshots kept: together 4 s of history.
const SNAPSHOT_INTERVAL: Duration = Duration::from_millis(400);
const MAX_SNAPSHOTS: usize = 10;

/// Probability that a snapshot is followed by a restore.
const RESTORE_PROBABILITY: f64 = 0.12;

/// Time that the store is unavailable before a restore.
const OUTAGE_MS: std::ops::Range<u64> = 50..700;

/// Time from a restore until the operator and the targets have written their data again.
const REWRITE_DELAY_MS: std::ops::Range<u64> = 20..900;

/// Time after which the platform removes target entries that are not renewed.
const ENTRY_TTL: Duration = Duration::from_secs(3);

/// Separates the random numbers for restores from those for faults, so that a seed always produces
/// the same faults.
const RESTORE_SEED_MASK: u64 = 0x7265_7374_6f72;

/// Takes snapshots of the store periodically and restores it at random times, for `duration`.
pub(crate) async fn run(cluster: Arc<Cluster>, seed: u64, duration: Duration) {
    let mut rng = StdRng::seed_from_u64(seed ^ RESTORE_SEED_MASK);
    let mut snapshots = VecDeque::new();
    let started_at = Instant::now();
    while started_at.elapsed() < duration {
        sleep(SNAPSHOT_INTERVAL).await;
        snapshots.push_back(cluster.store.snapshot());
        if snapshots.len() > MAX_SNAPSHOTS {
            snapshots.pop_front();
        }
        if rng.random_bool(RESTORE_PROBABILITY) {
            let age = rng.random_range(0..snapshots.len());
            snapshots.truncate(snapshots.len() - age);
            let snapshot = snapshots
                .back()
                .expect("at least one snapshot is left")
                .clone();
            let at_s = started_at.elapsed().as_secs_f64();
            cluster.record_fault(format!("{at_s:.2} s: a restore from {age} copies ago"));
            restore(&cluster, &snapshot, &mut rng).await;
        }
    }
    sleep(ENTRY_TTL).await;
    cluster.remove_gone_targets();
}

async fn restore(cluster: &Arc<Cluster>, snapshot: &StoreSnapshot, rng: &mut StdRng) {
    cluster.store.set_outage(Outage::Refusing);
    sleep(Duration::from_millis(rng.random_range(OUTAGE_MS))).await;
    cluster.store.restore(snapshot);
    cluster.store.set_outage(Outage::None);
    let rewrite_delay = Duration::from_millis(rng.random_range(REWRITE_DELAY_MS));
    let cluster = Arc::clone(cluster);
    tokio::spawn(async move {
        sleep(rewrite_delay).await;
        cluster.rewrite_lost_entries();
        sleep(ENTRY_TTL).await;
        cluster.remove_gone_targets();
    });
}
