//! A randomized soak of the real programs under faults from outside.
//!
//! Entries and agents run as processes; callers, targets, the store and a group
//! of ranks are stand-ins in this one. Between the programs and the stand-ins
//! are forwarders that cut, freeze and delay. Faults come in series and overlap.
//! What must hold is read off what callers and targets saw, never off the
//! programs' own word:
//!
//! - a request that must not be repeated runs once at most, and not at all if
//!   its caller was told that it did not run;
//! - an answer is whole, marked, and its own caller's; a stream's events come in
//!   order, none missing, none twice;
//! - no request runs at more targets than its route allows;
//! - what every configuration allows is never refused as unknown;
//! - within one lifetime of an entry no older configuration comes back;
//! - a planned stop ends by itself, and alone cuts nothing off that has run;
//! - no process ends by itself;
//! - no pass begins with two maps;
//! - a request under which targets end goes to no more once three have ended and the news
//!   had time to spread, and nobody else is held back for it;
//! - a target that names a limit, asks for rest or says that it leaves gets no more than the
//!   users allow;
//! - after the last fault, everything is served again and the newest
//!   configuration is in force.

pub mod callers;
pub mod checks;
mod faults;
mod pressure;
mod restores;
mod world;

use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::checks::Observations;
use crate::world::World;

/// Time in which everything has to be served again after the last fault.
const RECOVERY: Duration = Duration::from_secs(12);

/// One play.
#[derive(Clone, Copy, Debug)]
pub struct SoakConfig {
    /// Decides the faults and their moments.
    pub seed: u64,
    /// How long faults come.
    pub duration: Duration,
    /// Entries.
    pub entry_count: usize,
    /// Callers that send one request after the other.
    pub caller_count: usize,
}

impl SoakConfig {
    /// A play of the usual size.
    #[must_use]
    pub fn new(seed: u64, duration: Duration) -> Self {
        Self {
            seed,
            duration,
            entry_count: 3,
            caller_count: 12,
        }
    }
}

/// What came of a play.
#[derive(Clone, Debug, Default)]
pub struct SoakReport {
    /// Requests sent.
    pub requests: usize,
    /// Requests answered in full.
    pub served: usize,
    /// Faults played, in order.
    pub faults: Vec<String>,
    /// What was broken.
    pub violations: Vec<String>,
}

/// Plays one plan.
///
/// # Errors
///
/// If the programs cannot be started.
pub async fn run_soak(plan: SoakConfig) -> anyhow::Result<SoakReport> {
    let mut random = StdRng::seed_from_u64(plan.seed);
    let world = Arc::new(World::start(plan.entry_count).await?);
    world.until_serving(RECOVERY).await;
    let callers = callers::start(&world, plan);
    let poison = faults::poison(Arc::clone(&world), plan.seed, plan.duration);
    let poison = tokio::spawn(poison);
    let restores = restores::play(Arc::clone(&world), plan.seed, plan.duration);
    let restores = tokio::spawn(restores);
    let pressure = pressure::play(Arc::clone(&world), plan.seed, plan.duration);
    let pressure = tokio::spawn(pressure);
    faults::play(&world, plan.duration, &mut random).await;
    pressure.await?;
    poison.await?;
    restores.await?;
    faults::end_all(&world).await;
    world.until_serving(RECOVERY).await;
    let history = callers.close().await;
    world.check_end(RECOVERY).await;
    let (poison_run_starts, poison_exits) = checks::poison(&world);
    let evidence = Observations {
        run_counts: checks::runs(&world),
        poison_run_starts,
        poison_exits,
        is_undisturbed: &|from, to| world.is_undisturbed(from, to),
    };
    let mut violations = checks::violations(&evidence, &history);
    violations.extend(world.take_broken());
    if !violations.is_empty() {
        let folder = world.keep_logs(plan.seed)?;
        violations.push(format!("logs of all processes: {}", folder.display()));
    }
    let served = history.iter().filter(|it| it.is_served()).count();
    Ok(SoakReport {
        requests: history.len(),
        served,
        faults: world.take_faults(),
        violations,
    })
}
