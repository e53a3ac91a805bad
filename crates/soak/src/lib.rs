//! Randomized fault injection against the real programs.
//!
//! Entries and agents run as processes of their own. Callers, targets, the store and a group of
//! engine ranks are stand-ins within this process. TCP forwarders between the programs and the
//! stand-ins cut, freeze and delay connections. Several faults may be active at the same time.
//!
//! The following invariants are checked on what callers and targets observed, never on what the
//! programs report:
//!
//! - a request that must not be repeated runs at most once, and not at all if its caller was told
//!   that it did not run;
//! - a response is complete, sealed by a target, and belongs to its request; the events of a
//!   stream arrive in order, without gaps or duplicates;
//! - no request runs at more targets than its route allows;
//! - a request that every configuration allows is never rejected as unknown;
//! - an entry process never returns to an older configuration;
//! - a planned stop completes, and does not by itself interrupt a request that has run;
//! - no process exits unexpectedly;
//! - no forward pass starts with different expert maps on its ranks;
//! - a poison request, under which targets exit, is sent to no further targets once three have
//!   exited and the update had time to spread, and no other request is quarantined for it;
//! - a target that sets a rate limit, asks for a backoff or announces its shutdown gets no more
//!   requests than specified;
//! - after the last fault, an evacuated data centre gets no requests once the bound is over;
//! - after the last fault, every entry serves again with the newest configuration.

pub mod callers;
pub mod checks;
mod cluster;
mod departures;
mod evacuations;
mod faults;
mod pressure;
mod restores;
mod stop_series;

use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::checks::Observations;
use crate::cluster::Cluster;

/// Time in which every entry has to serve again after the last fault.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(12);

/// Parameters of one run.
#[derive(Clone, Copy, Debug)]
pub struct SoakConfig {
    /// Determines the faults and their times.
    pub seed: u64,
    /// Time during which faults are started.
    pub duration: Duration,
    /// Number of entries.
    pub entry_count: usize,
    /// Number of callers; each sends one request at a time.
    pub caller_count: usize,
    /// Whether poison requests have one part of their prompts in common and differ in all else.
    pub has_poison_part: bool,
    /// Whether the run has series of planned stops and no faults.
    pub has_stop_series: bool,
}

impl SoakConfig {
    /// Parameters for a run with the default number of entries and callers.
    #[must_use]
    pub fn new(seed: u64, duration: Duration) -> Self {
        Self {
            seed,
            duration,
            entry_count: 3,
            caller_count: 12,
            has_poison_part: false,
            has_stop_series: false,
        }
    }
}

/// Result of one run.
#[derive(Clone, Debug, Default)]
pub struct SoakReport {
    /// Number of requests sent.
    pub requests: usize,
    /// Number of requests with a complete, successful response.
    pub served: usize,
    /// Faults that were injected, in order.
    pub faults: Vec<String>,
    /// Invariants that were violated, one line each.
    pub violations: Vec<String>,
}

/// Runs the programs under random faults and checks the invariants.
///
/// # Errors
///
/// If the programs cannot be started.
pub async fn run_soak(config: SoakConfig) -> anyhow::Result<SoakReport> {
    let cluster = Arc::new(Cluster::start(config.entry_count).await?);
    cluster.wait_until_serving(RECOVERY_TIMEOUT).await;
    let callers = callers::start(&cluster, config);
    if config.has_stop_series {
        stop_series::run(&cluster, config).await;
    } else {
        run_faults(&cluster, config).await?;
    }
    faults::clear_all(&cluster).await;
    evacuations::clear(&cluster);
    cluster.wait_until_serving(RECOVERY_TIMEOUT).await;
    evacuations::check(&cluster).await;
    departures::check(&cluster).await;
    let history = callers.finish().await;
    cluster.check_final_state(RECOVERY_TIMEOUT).await;
    let (poison_run_starts, poison_exits) = checks::poison_times(&cluster);
    let observations = Observations {
        runs: checks::runs_by_attempt(&cluster),
        poison_run_starts,
        poison_exits,
        disturbances: cluster.disturbances(),
        planned_at: &|entry_index| cluster.planned_at(entry_index),
    };
    let mut violations = checks::violations(&observations, &history);
    violations.extend(cluster.take_violations());
    if !violations.is_empty() {
        let folder = cluster.save_logs(config.seed)?;
        violations.push(format!("logs of all processes: {}", folder.display()));
    }
    let served = history.iter().filter(|it| it.is_served()).count();
    Ok(SoakReport {
        requests: history.len(),
        served,
        faults: cluster.take_faults(),
        violations,
    })
}

/// Injects all faults at the same time, and waits until the last one has ended.
async fn run_faults(cluster: &Arc<Cluster>, config: SoakConfig) -> anyhow::Result<()> {
    let mut rng = StdRng::seed_from_u64(config.seed);
    let poison = faults::run_poison_bursts(Arc::clone(cluster), config);
    let poison = tokio::spawn(poison);
    let restores = restores::run(Arc::clone(cluster), config.seed, config.duration);
    let restores = tokio::spawn(restores);
    let pressure = pressure::run(Arc::clone(cluster), config.seed, config.duration);
    let pressure = tokio::spawn(pressure);
    let evacuations = evacuations::run(Arc::clone(cluster), config.seed, config.duration);
    let evacuations = tokio::spawn(evacuations);
    faults::run(cluster, config.duration, &mut rng).await;
    evacuations.await?;
    pressure.await?;
    poison.await?;
    restores.await?;
    Ok(())
}
