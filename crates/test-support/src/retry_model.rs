//! A simulation of a fleet of entries that retry requests at failing targets, in virtual time.
//!
//! Callers send requests at random to random entries. A request fails with the probability of its
//! moment, and so does each retry. Entries restart together or alone, and learn late how many they
//! are. Retries reach their targets up to two seconds after they were decided.
//!
//! Not modelled: the capacity of the targets and retries by callers.

use std::num::NonZeroUsize;

use berylhook_core::retry::RetryBudget;
use berylhook_core::time::MonoMs;
use berylhook_traffic::retry_budget::{FleetRetryBudget, RetryBounds};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Retries of one request at most.
const MAX_RETRIES: u32 = 2;

/// Longest time from the decision to retry until the retry reaches its target.
const MAX_DELAY_MS: u64 = 2_000;

/// Time from a start until an entry has completed its discovery, if all entries start together.
const DISCOVERY_MS: u64 = 5_300;

/// Percentage that a budget per process gets of the requests.
const PROCESS_PERCENT: u32 = 15;

/// How entries decide whether a request may be sent once more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// A budget for each process, with a reserve from its start on.
    PerProcess,
    /// A [`FleetRetryBudget`].
    Fleet,
    /// A [`FleetRetryBudget`] that saves nothing: its bounds have no slack.
    WithoutSlack,
    /// One budget of the whole bound for all entries, without any delay of messages.
    Central,
}

/// The parameters of a simulation.
#[derive(Clone, Copy, Debug)]
pub struct RetryScenario {
    /// How entries decide.
    pub policy: RetryPolicy,
    /// The number of entries.
    pub entries: usize,
    /// Requests per second over all entries.
    pub requests_per_s: f64,
    /// The bound for all entries together.
    pub bounds: RetryBounds,
    /// Probability that a request fails, by virtual millisecond.
    pub failure: fn(u64) -> f64,
    /// Interval at which all entries restart; `None` if they do not.
    pub restart_interval_ms: Option<u64>,
    /// Mean time between two restarts of single entries, over all of them; `None` for none.
    pub mean_single_restart_ms: Option<f64>,
    /// Virtual duration.
    pub duration_ms: u64,
    /// Seed of the random number generator.
    pub seed: u64,
}

/// What a simulation has counted.
#[derive(Clone, Copy, Debug, Default)]
pub struct RetryOutcome {
    /// Requests that failed at first.
    pub failed: u32,
    /// Requests among them that were served by a retry.
    pub rescued: u32,
    /// Retries in the worst window beyond those that the bound allows; negative if none is.
    pub max_excess: f64,
}

enum Budget {
    Process(RetryBudget),
    Fleet(FleetRetryBudget),
}

struct Entry {
    budget: Budget,
    knows_fleet_ms: u64,
}

/// Runs a simulation.
#[must_use]
pub fn simulate(scenario: &RetryScenario) -> RetryOutcome {
    Simulation::new(scenario).run()
}

struct Simulation<'a> {
    scenario: &'a RetryScenario,
    rng: StdRng,
    entries: Vec<Entry>,
    requests_ms: Vec<u64>,
    retries_ms: Vec<u64>,
    outcome: RetryOutcome,
}

impl<'a> Simulation<'a> {
    fn new(scenario: &'a RetryScenario) -> Self {
        let count = match scenario.policy {
            RetryPolicy::Central => 1,
            _ => scenario.entries,
        };
        let mut simulation = Self {
            scenario,
            rng: StdRng::seed_from_u64(scenario.seed),
            entries: Vec::new(),
            requests_ms: Vec::new(),
            retries_ms: Vec::new(),
            outcome: RetryOutcome::default(),
        };
        simulation.entries = (0..count)
            .map(|_| simulation.new_entry(0, DISCOVERY_MS))
            .collect();
        simulation
    }

    /// An entry that starts at `now_ms` and knows the others after `discovery_ms`.
    fn new_entry(&self, now_ms: u64, discovery_ms: u64) -> Entry {
        let bounds = match self.scenario.policy {
            RetryPolicy::WithoutSlack => RetryBounds {
                slack: 0.0,
                ..self.scenario.bounds
            },
            _ => self.scenario.bounds,
        };
        let budget = match self.scenario.policy {
            RetryPolicy::PerProcess => Budget::Process(RetryBudget::new(PROCESS_PERCENT)),
            RetryPolicy::Central => {
                Budget::Fleet(FleetRetryBudget::new(bounds, NonZeroUsize::new(1)))
            }
            RetryPolicy::Fleet | RetryPolicy::WithoutSlack => {
                Budget::Fleet(FleetRetryBudget::new(bounds, None))
            }
        };
        Entry {
            budget,
            knows_fleet_ms: now_ms + discovery_ms,
        }
    }

    fn run(mut self) -> RetryOutcome {
        let requests_per_ms = self.scenario.requests_per_s / 1_000.0;
        let mut due = 0.0;
        for now_ms in 0..self.scenario.duration_ms {
            self.restart(now_ms);
            due += requests_per_ms * self.rng.random_range(0.0..2.0);
            while due >= 1.0 {
                due -= 1.0;
                self.send(now_ms);
            }
        }
        self.outcome.max_excess = self.max_excess();
        self.outcome
    }

    fn restart(&mut self, now_ms: u64) {
        if self.scenario.policy == RetryPolicy::Central {
            return;
        }
        let interval_ms = self.scenario.restart_interval_ms;
        if interval_ms.is_some_and(|interval_ms| now_ms > 0 && now_ms.is_multiple_of(interval_ms)) {
            for index in 0..self.entries.len() {
                self.entries[index] = self.new_entry(now_ms, DISCOVERY_MS);
            }
        }
        let mean_ms = self.scenario.mean_single_restart_ms;
        if mean_ms.is_some_and(|mean_ms| self.rng.random::<f64>() * mean_ms < 1.0) {
            let index = self.rng.random_range(0..self.entries.len());
            let knows_at_once = self.entries.iter().any(|it| it.knows_fleet_ms <= now_ms);
            let discovery_ms = if knows_at_once { 0 } else { DISCOVERY_MS };
            self.entries[index] = self.new_entry(now_ms, discovery_ms);
        }
    }

    fn send(&mut self, now_ms: u64) {
        self.requests_ms.push(now_ms);
        let index = self.rng.random_range(0..self.entries.len());
        self.entries[index].on_request(self.scenario, now_ms);
        let failure = (self.scenario.failure)(now_ms);
        if self.rng.random::<f64>() >= failure {
            return;
        }
        self.outcome.failed += 1;
        for _ in 0..MAX_RETRIES {
            if !self.entries[index].try_retry(now_ms) {
                return;
            }
            let arrives_ms = now_ms + self.rng.random_range(0..=MAX_DELAY_MS);
            self.retries_ms.push(arrives_ms);
            if self.rng.random::<f64>() >= failure {
                self.outcome.rescued += 1;
                return;
            }
        }
    }

    /// The largest number of retries beyond the bound in any window that ends with a retry. The
    /// requests are those of the window, of the one before it, or of the one half a window before
    /// it.
    #[allow(clippy::cast_precision_loss)] // some hundred thousand
    fn max_excess(&mut self) -> f64 {
        self.retries_ms.sort_unstable();
        let RetryBounds {
            ratio,
            window_ms,
            slack,
        } = self.scenario.bounds;
        let requests_in = |from_ms: u64, to_ms: u64| {
            let first = self.requests_ms.partition_point(|at_ms| *at_ms < from_ms);
            self.requests_ms.partition_point(|at_ms| *at_ms < to_ms) - first
        };
        let excesses = self.retries_ms.iter().enumerate().map(|(index, last_ms)| {
            let end_ms = last_ms + 1;
            let start_ms = end_ms.saturating_sub(window_ms);
            let first = self.retries_ms.partition_point(|at_ms| *at_ms < start_ms);
            let requests = [0, window_ms / 2, window_ms].map(|back_ms| {
                requests_in(
                    start_ms.saturating_sub(back_ms),
                    end_ms.saturating_sub(back_ms),
                )
            });
            let requests = requests.into_iter().max().unwrap_or(0);
            (index + 1 - first) as f64 - ratio * requests as f64 - slack
        });
        excesses.fold(f64::NEG_INFINITY, f64::max)
    }
}

impl Entry {
    fn on_request(&mut self, scenario: &RetryScenario, now_ms: u64) {
        let knows_fleet = self.knows_fleet_ms <= now_ms;
        match &mut self.budget {
            Budget::Process(budget) => budget.on_attempt(),
            Budget::Fleet(budget) => {
                if knows_fleet && scenario.policy == RetryPolicy::Fleet {
                    budget.set_policy(scenario.bounds, NonZeroUsize::new(scenario.entries));
                }
                budget.on_request(MonoMs(now_ms));
            }
        }
    }

    fn try_retry(&mut self, now_ms: u64) -> bool {
        match &mut self.budget {
            Budget::Process(budget) => budget.try_retry(),
            Budget::Fleet(budget) => budget.try_retry(MonoMs(now_ms)),
        }
    }
}
