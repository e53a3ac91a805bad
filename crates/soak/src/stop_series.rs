//! Planned work without other faults: series of stops of all entries or agents, beside reloads, new
//! configurations and targets that preempt streams. The series overlap.
//!
//! Callers keep their connections until the entries close them, and nothing excuses a response that
//! ends early.

use std::sync::Arc;
use std::time::{Duration, Instant};

use berylhook_test_support::{Behaviour, EXPERT_COUNT, Signal};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::SoakConfig;
use crate::cluster::Cluster;
use crate::faults::{reload_entry, stop_entry};

/// Separates the random numbers for series from those for faults.
const SERIES_SEED_MASK: u64 = 0x7365_7269_6573;

/// Time between the starts of two actions.
const ACTION_INTERVAL_MS: std::ops::Range<u64> = 200..2_500;

/// Time between two signals of a series.
const SIGNAL_INTERVAL_MS: std::ops::Range<u64> = 200..3_000;

/// Interval between two events of a stream, so that streams span the stages of a stop and end within
/// their deadline, also if they are preempted.
const EVENT_INTERVAL: Duration = Duration::from_millis(150);

/// A preempted stream sends nothing after this event, for this long.
const LAST_EVENT: u64 = 3;
const PREEMPTION: Duration = Duration::from_millis(1_200);

/// Time for which a target preempts all streams.
const PREEMPTING_MS: std::ops::Range<u64> = 500..3_000;

/// Planned work, or what a sound target may do at any time. The variant names are part of the printed
/// list of faults.
#[derive(Clone, Copy, Debug)]
enum Action {
    StopEntries,
    StopAgents,
    ReloadEntries,
    ChangeConfiguration,
    Preempt(usize),
    /// Shifts the demand to this expert.
    Shift(usize),
}

impl Action {
    fn choose(rng: &mut StdRng) -> Self {
        let index = rng.random_range(0..64);
        match rng.random_range(0..10) {
            0..=3 => Self::StopEntries,
            4 => Self::StopAgents,
            5 => Self::ReloadEntries,
            6 => Self::ChangeConfiguration,
            7 | 8 => Self::Preempt(index),
            _ => Self::Shift(index % EXPERT_COUNT),
        }
    }

    async fn apply(self, cluster: Arc<Cluster>, interval: Duration, preempting: Duration) {
        match self {
            Self::StopEntries => stop_entries(&cluster, interval).await,
            Self::StopAgents => {
                for agent in &cluster.agents {
                    agent.signal(Signal::Terminate);
                    sleep(interval).await;
                }
            }
            Self::ReloadEntries => {
                for index in 0..cluster.entries.len() {
                    reload_entry(&cluster, index);
                    sleep(interval).await;
                }
            }
            Self::ChangeConfiguration => cluster.publish_next_configuration(),
            Self::Preempt(index) => {
                let Some(target) = cluster.target(index) else {
                    return;
                };
                let preempts = Behaviour::PausesStreamAfter(LAST_EVENT, PREEMPTION);
                target.stand_in.set_behaviour(preempts);
                sleep(preempting).await;
                target.stand_in.set_behaviour(Behaviour::ExitsOnPoison);
            }
            Self::Shift(expert) => cluster.group.set_hot_expert(expert),
        }
    }
}

/// Stops all entries that are not stopping yet, one after the other, and waits until they have exited.
async fn stop_entries(cluster: &Arc<Cluster>, interval: Duration) {
    let mut stops = JoinSet::new();
    for index in 0..cluster.entries.len() {
        if !cluster.entries[index].process.is_exit_expected() {
            let cluster = Arc::clone(cluster);
            stops.spawn(async move { stop_entry(&cluster, index).await });
        }
        sleep(interval).await;
    }
    while stops.join_next().await.is_some() {}
}

/// Starts actions for the time of the run, and waits until the last one has ended.
pub(crate) async fn run(cluster: &Arc<Cluster>, config: SoakConfig) {
    let mut rng = StdRng::seed_from_u64(config.seed ^ SERIES_SEED_MASK);
    for target in cluster.all_targets() {
        target.stand_in.set_event_interval(EVENT_INTERVAL);
    }
    let started_at = Instant::now();
    let mut active = JoinSet::new();
    while started_at.elapsed() < config.duration {
        let action = Action::choose(&mut rng);
        let interval = Duration::from_millis(rng.random_range(SIGNAL_INTERVAL_MS));
        let preempting = Duration::from_millis(rng.random_range(PREEMPTING_MS));
        let at_s = started_at.elapsed().as_secs_f64();
        cluster.record_fault(format!("{at_s:.2} s: {action:?}, {interval:?} apart"));
        active.spawn(action.apply(Arc::clone(cluster), interval, preempting));
        sleep(Duration::from_millis(rng.random_range(ACTION_INTERVAL_MS))).await;
    }
    while active.join_next().await.is_some() {}
}
