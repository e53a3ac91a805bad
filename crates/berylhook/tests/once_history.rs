//! Histories of concurrent calls under random faults with fixed seeds. The
//! verdict does not depend on timing: whatever the faults hit, every history
//! must keep the promises.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use berylhook_test_support::calls::Caller;
use berylhook_test_support::cluster::{
    AgentProcess, Cluster, DESK_KEY, EntryProcess, until_plain_service_ready,
};
use berylhook_test_support::history::{Event, Recorder, ReportedOutcome};
use berylhook_test_support::{Fault, Link, Outage, PlainService, Signal};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use common::{attempt, fresh_key};

const WORKERS: u64 = 6;
const KEYS_PER_WORKER: usize = 40;
const ATTEMPTS_PER_KEY: usize = 4;
const FAULTS: usize = 14;

/// A cluster that faults are done to.
struct Victim {
    cluster: Cluster,
    service: PlainService,
    agents: Vec<AgentProcess>,
    links: Vec<Link>,
    entries: Vec<EntryProcess>,
}

impl Victim {
    async fn start() -> Self {
        let cluster = Cluster::start().await;
        let service = PlainService::start().await;
        service.set_delay(Duration::from_millis(5));
        let mut agents = Vec::new();
        let mut links = Vec::new();
        for name in ["push-1", "push-2", "push-3"] {
            let agent = cluster.start_unlisted_agent(name, "guide-push", service.server.address);
            let link = Link::start(agent.address).await;
            cluster.vms.add(name, link.address, "cairo-a", "guide-push");
            agents.push(agent);
            links.push(link);
        }
        let entries = vec![
            cluster.start_entry("entry-1"),
            cluster.start_entry("entry-2"),
        ];
        for entry in &entries {
            until_plain_service_ready(entry).await;
        }
        Self {
            cluster,
            service,
            agents,
            links,
            entries,
        }
    }

    /// Does one fault and undoes it.
    async fn fault(&mut self, random: &mut StdRng) {
        let which = random.random_range(0..self.agents.len());
        let lasting = Duration::from_millis(random.random_range(50..2_800));
        match random.random_range(0..8) {
            0 => {
                self.agents[which].daemon.signal(Signal::Kill);
                self.agents[which].restart();
            }
            1 => {
                self.agents[which].daemon.signal(Signal::Stop);
                tokio::time::sleep(lasting).await;
                self.agents[which].daemon.signal(Signal::Continue);
            }
            2 => {
                self.cluster.key_value.set_outage(Outage::Silent);
                tokio::time::sleep(lasting).await;
                self.cluster.key_value.set_outage(Outage::None);
            }
            3 => self.cluster.key_value.lose_responses(3),
            4 => {
                self.links[which].set_fault(Fault::FreezeOpen);
                tokio::time::sleep(lasting).await;
                self.links[which].set_fault(Fault::None);
            }
            5 => {
                self.links[which].set_fault(Fault::FreezeResponses);
                tokio::time::sleep(lasting).await;
                self.links[which].set_fault(Fault::None);
            }
            6 => {
                let entry = which % self.entries.len();
                self.entries[entry].daemon.signal(Signal::Kill);
                self.entries[entry].restart();
            }
            _ => self.service.drop_responses(2),
        }
        tokio::time::sleep(Duration::from_millis(150)).await;
    }
}

/// What one worker saw.
#[derive(Default)]
struct Work {
    events: Vec<Event>,
    /// Keys it was never told "done" of.
    open_keys: Vec<String>,
}

/// Repeats each key, at random entries, until it is told "done".
async fn work(seed: u64, entries: Vec<SocketAddr>) -> Work {
    let mut random = StdRng::seed_from_u64(seed);
    let caller = Caller::new(DESK_KEY);
    let mut work = Work::default();
    for number in 0..KEYS_PER_WORKER {
        let key = fresh_key();
        let mut is_done = false;
        for repeat in 0..ATTEMPTS_PER_KEY {
            let entry = entries[random.random_range(0..entries.len())];
            let name = format!("{seed}.{number}.{repeat}");
            let (answered, event) = attempt(&caller, entry, &key, &name).await;
            work.events.push(event);
            is_done = ReportedOutcome::of(&answered) == ReportedOutcome::Done;
            if is_done {
                break;
            }
            let pause = Duration::from_millis(random.random_range(1..400));
            tokio::time::sleep(pause).await;
        }
        if !is_done {
            work.open_keys.push(key);
        }
        // Spread over the faults instead of finishing before the first.
        let pause = Duration::from_millis(random.random_range(20..400));
        tokio::time::sleep(pause).await;
    }
    work
}

async fn history_of(seed: u64) -> Recorder {
    let mut victim = Victim::start().await;
    let addresses: Vec<_> = victim.entries.iter().map(|entry| entry.address).collect();
    let workers: Vec<_> = (0..WORKERS)
        .map(|worker| tokio::spawn(work(seed * 100 + worker, addresses.clone())))
        .collect();
    let mut random = StdRng::seed_from_u64(seed);
    for _ in 0..FAULTS {
        victim.fault(&mut random).await;
    }
    let mut recorder = Recorder::default();
    let mut open_keys = Vec::new();
    for worker in workers {
        let work = worker.await.expect("the worker ends");
        open_keys.extend(work.open_keys);
        for event in work.events {
            recorder.push(event);
        }
    }
    // By now shards have changed hands, so these keys meet homes that were
    // not there when the keys were issued.
    let caller = Caller::new(DESK_KEY);
    for (number, key) in open_keys.iter().enumerate() {
        let name = format!("{seed}.late.{number}");
        let entry = addresses[number % addresses.len()];
        recorder.push(attempt(&caller, entry, key, &name).await.1);
    }
    let runs = victim.service.runs();
    let keyed: Vec<_> = runs
        .into_iter()
        .filter(|run| !run.attempt.is_empty())
        .collect();
    recorder.add_runs(&keyed);
    recorder
}

async fn check(seed: u64) {
    let recorder = history_of(seed).await;

    println!(
        "seed {seed}: done {}, not run {}, unknown {}",
        recorder.count_reported(ReportedOutcome::Done),
        recorder.count_reported(ReportedOutcome::NotRun),
        recorder.count_reported(ReportedOutcome::Unknown),
    );
    assert_eq!(recorder.violations(), Vec::<String>::new());
    assert!(recorder.count_reported(ReportedOutcome::Done) > 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn the_promises_hold_under_faults_of_seed_1() {
    check(1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_promises_hold_under_faults_of_seed_2() {
    check(2).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_promises_hold_under_faults_of_seed_3() {
    check(3).await;
}
