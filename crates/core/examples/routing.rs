//! Compares routing policies on simulated engines: round robin, fewest requests in
//! flight, two random choices, prefix affinity alone, and this crate's router.
//!
//!     cargo run --release -p berylhook-core --example routing

#![allow(clippy::cast_precision_loss)] // counts of one run are small
#![allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // quantile positions

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashSet, VecDeque};
use std::time::Instant;

use berylhook_core::route::{Availability, RouteConfig, RouteQuery, Router, SentRequest, TargetId};
use berylhook_core::time::MonoMs;

const ENTRIES: usize = 4;
const SLOTS: usize = 16;
const READ_BLOCK_MS: u64 = 5;
const TOKEN_MS: u64 = 5;
const PROMPT_BLOCKS: usize = 12;
const CACHE_CAPACITY_BLOCKS: usize = 2_000;
const REPORT_LAG_MS: u64 = 1_000;
const SILENT_FROM_MS: u64 = 800;

#[derive(Clone, Copy, PartialEq)]
enum Policy {
    RoundRobin,
    LeastInFlight,
    TwoChoices,
    PrefixOnly,
    Berylhook,
}

#[derive(Clone, Copy, PartialEq)]
enum Scenario {
    Steady,
    SkewedAccounts,
    OneSlow,
    OneSilent,
}

/// Pseudo-random number generator (xorshift), reproducible across runs.
struct Random(u64);

impl Random {
    fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    fn below(&mut self, bound: usize) -> usize {
        (self.next() % bound as u64) as usize
    }
}

#[derive(Clone)]
struct Job {
    entry: usize,
    blocks: Vec<u64>,
    tokens: u64,
    sent_ms: u64,
}

#[derive(Default)]
struct Engine {
    slowdown_factor: u64,
    is_silent: bool,
    running: usize,
    queue: VecDeque<Job>,
    cached: HashSet<u64>,
    eviction_order: VecDeque<u64>,
    served: usize,
}

impl Engine {
    /// Reads a prompt into the cache; returns how many of its blocks were not cached.
    fn read(&mut self, blocks: &[u64]) -> u64 {
        let hits = blocks
            .iter()
            .take_while(|block| self.cached.contains(block))
            .count();
        for block in &blocks[hits..] {
            if self.cached.insert(*block) {
                self.eviction_order.push_back(*block);
            }
        }
        while self.eviction_order.len() > CACHE_CAPACITY_BLOCKS {
            if let Some(old) = self.eviction_order.pop_front() {
                self.cached.remove(&old);
            }
        }
        (blocks.len() - hits) as u64
    }
}

#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    FirstToken {
        engine: usize,
        entry: usize,
        sent_ms: u64,
    },
    End {
        engine: usize,
        entry: usize,
        sent_ms: u64,
    },
    Report,
}

struct Simulation {
    policy: Policy,
    scenario: Scenario,
    engines: Vec<Engine>,
    routers: Vec<Router>,
    in_flight: Vec<Vec<u32>>,
    next_round_robin: usize,
    random: Random,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    event_seq: u64,
    reports: VecDeque<(u64, Vec<(u32, u32)>)>,
    first_token_ms: Vec<u64>,
    blocks_read: u64,
    blocks_requested: u64,
    unanswered: usize,
}

impl Simulation {
    fn new(policy: Policy, scenario: Scenario, engines: usize) -> Self {
        let routers = (0..ENTRIES)
            .map(|_| {
                let mut router = Router::new(RouteConfig::default());
                for id in 0..engines {
                    let id = TargetId(id as u32);
                    router.set_availability(id, Availability::Up);
                    // A target is up only once its first load report has arrived.
                    if let Some(load) = router.load_mut(id) {
                        load.on_load_report(0, 0, SLOTS as u32, MonoMs(0));
                    }
                }
                router
            })
            .collect();
        let mut simulation = Self {
            policy,
            scenario,
            engines: (0..engines)
                .map(|_| Engine {
                    slowdown_factor: 1,
                    ..Engine::default()
                })
                .collect(),
            routers,
            in_flight: vec![vec![0; engines]; ENTRIES],
            next_round_robin: 0,
            random: Random(0x9e37_79b9_7f4a_7c15),
            events: BinaryHeap::new(),
            event_seq: 0,
            reports: VecDeque::new(),
            first_token_ms: Vec::new(),
            blocks_read: 0,
            blocks_requested: 0,
            unanswered: 0,
        };
        if scenario == Scenario::OneSlow {
            simulation.engines[engines / 2].slowdown_factor = 5;
        }
        simulation
    }

    fn schedule(&mut self, at_ms: u64, event: Event) {
        self.event_seq += 1;
        self.events.push(Reverse((at_ms, self.event_seq, event)));
    }

    fn run(&mut self, requests: usize, gap_us: u64) {
        for index in 0..requests {
            self.schedule(index as u64 * gap_us / 1_000, Event::Arrive);
        }
        let end_ms = requests as u64 * gap_us / 1_000 + 5_000;
        for at_ms in (0..end_ms).step_by(250) {
            self.schedule(at_ms, Event::Report);
        }
        while let Some(Reverse((now_ms, _, event))) = self.events.pop() {
            match event {
                Event::Arrive => self.arrive(now_ms),
                Event::FirstToken {
                    engine,
                    entry,
                    sent_ms,
                } => {
                    self.first_token_ms.push(now_ms - sent_ms);
                    let id = TargetId(engine as u32);
                    if let Some(load) = self.routers[entry].load_mut(id) {
                        load.on_first_token(MonoMs(sent_ms), MonoMs(now_ms));
                    }
                }
                Event::End {
                    engine,
                    entry,
                    sent_ms,
                } => self.end(engine, entry, sent_ms, now_ms),
                Event::Report => self.report(now_ms),
            }
        }
        let waiting: usize = self.engines.iter().map(|engine| engine.queue.len()).sum();
        self.unanswered += waiting;
    }

    fn job(&mut self, now_ms: u64) -> Job {
        // The number of accounts per engine does not depend on the fleet size.
        let accounts = 12 * self.engines.len();
        let account = match self.scenario {
            Scenario::SkewedAccounts if self.random.below(2) == 0 => self.random.below(5),
            _ => self.random.below(accounts),
        };
        let own = self.random.next();
        // The first three quarters of a prompt are common to all prompts of the account.
        let shared = PROMPT_BLOCKS * 3 / 4;
        let blocks = (0..PROMPT_BLOCKS)
            .map(|block| {
                if block < shared {
                    (account as u64 + 1) << 32 | block as u64
                } else {
                    own.wrapping_add(block as u64) | 1 << 63
                }
            })
            .collect();
        Job {
            entry: self.random.below(ENTRIES),
            blocks,
            tokens: 20 + self.random.next() % 80,
            sent_ms: now_ms,
        }
    }

    fn arrive(&mut self, now_ms: u64) {
        if self.scenario == Scenario::OneSilent && now_ms >= SILENT_FROM_MS {
            let middle = self.engines.len() / 2;
            self.engines[middle].is_silent = true;
        }
        let job = self.job(now_ms);
        let engine = self.pick(&job, now_ms);
        let id = TargetId(engine as u32);
        self.in_flight[job.entry][engine] += 1;
        let sent = SentRequest {
            blocks: &job.blocks,
            is_stream: true,
        };
        self.routers[job.entry].on_dispatch(id, &sent, MonoMs(now_ms));
        self.blocks_requested += job.blocks.len() as u64;
        self.engines[engine].queue.push_back(job);
        self.start(engine, now_ms);
    }

    fn pick(&mut self, job: &Job, now_ms: u64) -> usize {
        let count = self.engines.len();
        let own = &self.in_flight[job.entry];
        match self.policy {
            Policy::RoundRobin => {
                self.next_round_robin += 1;
                self.next_round_robin % count
            }
            Policy::LeastInFlight => {
                let min_in_flight = own.iter().min().copied().unwrap_or(0);
                let tied: Vec<usize> = (0..count)
                    .filter(|engine| own[*engine] == min_in_flight)
                    .collect();
                tied[self.random.below(tied.len())]
            }
            Policy::TwoChoices => {
                let (a, b) = (self.random.below(count), self.random.below(count));
                if self.in_flight[job.entry][a] <= self.in_flight[job.entry][b] {
                    a
                } else {
                    b
                }
            }
            Policy::PrefixOnly => (job.blocks[0] >> 32) as usize * 7_919 % count,
            Policy::Berylhook => {
                let random = &mut self.random;
                let query = RouteQuery {
                    blocks: &job.blocks,
                    exclude: &[],
                };
                let picked = self.routers[job.entry]
                    .pick(&query, MonoMs(now_ms), &mut || random.next())
                    .expect("all engines are up");
                picked.0 as usize
            }
        }
    }

    fn start(&mut self, index: usize, now_ms: u64) {
        let engine = &mut self.engines[index];
        if engine.is_silent {
            return;
        }
        let mut started = Vec::new();
        while engine.running < SLOTS {
            let Some(job) = engine.queue.pop_front() else {
                break;
            };
            engine.running += 1;
            engine.served += 1;
            let uncached = engine.read(&job.blocks);
            self.blocks_read += uncached;
            let first_token_ms =
                now_ms + (uncached * READ_BLOCK_MS + TOKEN_MS) * engine.slowdown_factor;
            let end_ms = first_token_ms + job.tokens * TOKEN_MS * engine.slowdown_factor;
            started.push((job, first_token_ms, end_ms));
        }
        for (job, first_token_ms, end_ms) in started {
            let (entry, sent_ms) = (job.entry, job.sent_ms);
            self.schedule(
                first_token_ms,
                Event::FirstToken {
                    engine: index,
                    entry,
                    sent_ms,
                },
            );
            self.schedule(
                end_ms,
                Event::End {
                    engine: index,
                    entry,
                    sent_ms,
                },
            );
        }
    }

    fn end(&mut self, engine: usize, entry: usize, sent_ms: u64, now_ms: u64) {
        self.engines[engine].running -= 1;
        self.in_flight[entry][engine] -= 1;
        let id = TargetId(engine as u32);
        if let Some(load) = self.routers[entry].load_mut(id) {
            load.on_request_end(MonoMs(sent_ms), MonoMs(now_ms));
        }
        self.start(engine, now_ms);
    }

    fn report(&mut self, now_ms: u64) {
        let current = self
            .engines
            .iter()
            .map(|engine| (engine.running as u32, engine.queue.len() as u32))
            .collect();
        self.reports.push_back((now_ms, current));
        while self
            .reports
            .front()
            .is_some_and(|(taken_ms, _)| now_ms - taken_ms > REPORT_LAG_MS)
        {
            let Some((taken_ms, loads)) = self.reports.pop_front() else {
                return;
            };
            for router in &mut self.routers {
                for (engine, (running, waiting)) in loads.iter().enumerate() {
                    if self.engines[engine].is_silent {
                        continue;
                    }
                    if let Some(load) = router.load_mut(TargetId(engine as u32)) {
                        load.on_load_report(*running, *waiting, SLOTS as u32, MonoMs(taken_ms));
                    }
                }
            }
        }
    }
}

fn main() {
    let policies = [
        ("round robin", Policy::RoundRobin),
        ("least in flight", Policy::LeastInFlight),
        ("two choices", Policy::TwoChoices),
        ("prefix only", Policy::PrefixOnly),
        ("berylhook", Policy::Berylhook),
    ];
    let scenarios = [
        ("steady", Scenario::Steady),
        ("skewed accounts", Scenario::SkewedAccounts),
        ("one 5x slow", Scenario::OneSlow),
        ("one silent", Scenario::OneSilent),
    ];
    println!("{ENTRIES} entries, load reports {REPORT_LAG_MS} ms old; first token in ms");
    println!(
        "engines  scenario         policy              p50     p95     p99  cached  imbalance  unanswered"
    );
    for engines in [16, 1_000] {
        for (scenario_name, scenario) in scenarios {
            for (policy_name, policy) in policies {
                let mut simulation = Simulation::new(policy, scenario, engines);
                // The load occupies about 60% of the engines' slots.
                let requests = engines * if engines > 100 { 60 } else { 600 };
                simulation.run(requests, 33_000 / engines as u64);
                let first = &mut simulation.first_token_ms;
                first.sort_unstable();
                let quantile_ms =
                    |quantile: f64| first[((first.len() - 1) as f64 * quantile) as usize];
                let max_served = simulation.engines.iter().map(|engine| engine.served).max();
                let mean = first.len() as f64 / engines as f64;
                println!(
                    "{engines:>7}  {scenario_name:<15}  {policy_name:<15}  {:>6}  {:>6}  {:>6}  {:>5.1}%  {:>9.2}  {:>10}",
                    quantile_ms(0.5),
                    quantile_ms(0.95),
                    quantile_ms(0.99),
                    100.0
                        * (1.0
                            - simulation.blocks_read as f64 / simulation.blocks_requested as f64),
                    max_served.unwrap_or(0) as f64 / mean,
                    simulation.unanswered,
                );
            }
        }
    }
    decision_cost();
}

fn decision_cost() {
    for engines in [16, 1_000, 10_000] {
        let mut router = Router::new(RouteConfig::default());
        let mut random = Random(7);
        for id in 0..engines {
            router.set_availability(TargetId(id), Availability::Up);
        }
        let prompts: Vec<Vec<u64>> = (0..256u64)
            .map(|prompt| {
                (0..PROMPT_BLOCKS as u64)
                    .map(|block| prompt << 32 | block)
                    .collect()
            })
            .collect();
        let rounds = 100_000;
        let began = Instant::now();
        for round in 0..rounds {
            let blocks = &prompts[round % prompts.len()];
            let query = RouteQuery {
                blocks,
                exclude: &[],
            };
            let picked = router
                .pick(&query, MonoMs(round as u64), &mut || random.next())
                .expect("all engines are up");
            if round % 8 == 0 {
                let sent = SentRequest {
                    blocks,
                    is_stream: true,
                };
                router.on_dispatch(picked, &sent, MonoMs(round as u64));
                if let Some(load) = router.load_mut(picked) {
                    load.on_first_token(MonoMs(round as u64), MonoMs(round as u64 + 1));
                    load.on_request_end(MonoMs(round as u64), MonoMs(round as u64 + 1));
                    load.on_load_report(1, 0, 16, MonoMs(round as u64));
                }
            }
        }
        let each_us = began.elapsed().as_secs_f64() * 1e6 / rounds as f64;
        println!("decision with {engines} engines known: {each_us:.2} us");
    }
}
