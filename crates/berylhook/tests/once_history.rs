//! Histories of concurrent at-most-once calls under random faults with fixed seeds. The checks do
//! not depend on timing: every history must satisfy the guarantees, whatever the faults hit.

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

use common::{new_key, send_attempt};

const WORKERS: u64 = 6;
const KEYS_PER_WORKER: usize = 40;
const ATTEMPTS_PER_KEY: usize = 4;
const FAULTS: usize = 14;

/// A cluster into which faults are injected.
struct FaultedCluster {
    cluster: Cluster,
    service: PlainService,
    agents: Vec<AgentProcess>,
    links: Vec<Link>,
    entries: Vec<EntryProcess>,
}

impl FaultedCluster {
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

    /// Injects one random fault and ends it again.
    async fn inject_fault(&mut self, random: &mut StdRng) {
        let index = random.random_range(0..self.agents.len());
        let duration = Duration::from_millis(random.random_range(50..2_800));
        match random.random_range(0..8) {
            0 => {
                self.agents[index].daemon.signal(Signal::Kill);
                self.agents[index].restart();
            }
            1 => {
                self.agents[index].daemon.signal(Signal::Stop);
                tokio::time::sleep(duration).await;
                self.agents[index].daemon.signal(Signal::Continue);
            }
            2 => {
                self.cluster.key_value.set_outage(Outage::Silent);
                tokio::time::sleep(duration).await;
                self.cluster.key_value.set_outage(Outage::None);
            }
            3 => self.cluster.key_value.lose_responses(3),
            4 => {
                self.links[index].set_fault(Fault::FreezeOpen);
                tokio::time::sleep(duration).await;
                self.links[index].set_fault(Fault::None);
            }
            5 => {
                self.links[index].set_fault(Fault::FreezeResponses);
                tokio::time::sleep(duration).await;
                self.links[index].set_fault(Fault::None);
            }
            6 => {
                let entry = index % self.entries.len();
                self.entries[entry].daemon.signal(Signal::Kill);
                self.entries[entry].restart();
            }
            _ => self.service.drop_responses(2),
        }
        tokio::time::sleep(Duration::from_millis(150)).await;
    }
}

/// Attempts that one worker made.
#[derive(Default)]
struct WorkerResult {
    events: Vec<Event>,
    /// Keys of which no attempt was reported as done.
    unconfirmed_keys: Vec<String>,
}

/// Sends each key, at random entries, until an attempt is reported as done or [`ATTEMPTS_PER_KEY`]
/// is reached.
async fn run_worker(seed: u64, entries: Vec<SocketAddr>) -> WorkerResult {
    let mut random = StdRng::seed_from_u64(seed);
    let caller = Caller::new(DESK_KEY);
    let mut result = WorkerResult::default();
    for number in 0..KEYS_PER_WORKER {
        let key = new_key();
        let mut is_done = false;
        for repeat in 0..ATTEMPTS_PER_KEY {
            let entry = entries[random.random_range(0..entries.len())];
            let name = format!("{seed}.{number}.{repeat}");
            let (response, event) = send_attempt(&caller, entry, &key, &name).await;
            result.events.push(event);
            is_done = ReportedOutcome::of(&response) == ReportedOutcome::Done;
            if is_done {
                break;
            }
            let pause = Duration::from_millis(random.random_range(1..400));
            tokio::time::sleep(pause).await;
        }
        if !is_done {
            result.unconfirmed_keys.push(key);
        }
        // Pauses spread the keys over all faults; without them the worker ends before the first.
        let pause = Duration::from_millis(random.random_range(20..400));
        tokio::time::sleep(pause).await;
    }
    result
}

async fn record_history(seed: u64) -> Recorder {
    let mut cluster = FaultedCluster::start().await;
    let addresses: Vec<_> = cluster.entries.iter().map(|entry| entry.address).collect();
    let workers: Vec<_> = (0..WORKERS)
        .map(|worker| tokio::spawn(run_worker(seed * 100 + worker, addresses.clone())))
        .collect();
    let mut random = StdRng::seed_from_u64(seed);
    for _ in 0..FAULTS {
        cluster.inject_fault(&mut random).await;
    }
    let mut recorder = Recorder::default();
    let mut unconfirmed_keys = Vec::new();
    for worker in workers {
        let result = worker.await.expect("the worker ends");
        unconfirmed_keys.extend(result.unconfirmed_keys);
        for event in result.events {
            recorder.push(event);
        }
    }
    // By now shards have moved, so these keys reach agents that were not their home when the
    // keys were issued.
    let caller = Caller::new(DESK_KEY);
    for (number, key) in unconfirmed_keys.iter().enumerate() {
        let name = format!("{seed}.late.{number}");
        let entry = addresses[number % addresses.len()];
        recorder.push(send_attempt(&caller, entry, key, &name).await.1);
    }
    let runs = cluster.service.runs();
    let keyed: Vec<_> = runs
        .into_iter()
        .filter(|run| !run.attempt.is_empty())
        .collect();
    recorder.add_runs(&keyed);
    recorder
}

async fn check_seed(seed: u64) {
    let recorder = record_history(seed).await;

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
async fn at_most_once_holds_under_faults_of_seed_1() {
    check_seed(1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn at_most_once_holds_under_faults_of_seed_2() {
    check_seed(2).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn at_most_once_holds_under_faults_of_seed_3() {
    check_seed(3).await;
}
