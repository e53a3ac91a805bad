//! Requests under which targets end, on the product's own daemons: entries and agents.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use berylhook_test_support::calls::{CallResult, Caller};
use berylhook_test_support::cluster::{
    AgentProcess, Cluster, DESK_KEY, EntryProcess, until, until_ready,
};
use berylhook_test_support::{Engine, EngineConfig, PlainService, Signal};
use tokio::task::JoinHandle;

/// Targets that may end under one request before it is held back.
const MAX_EXITS: usize = 3;

/// Engines, each with an agent beside it.
const ENGINES: usize = 8;

/// Time between two looks at whether an engine has begun a run.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Time from the beginning of a run to the end of an engine that ends a while after it.
const EXIT_DELAY: Duration = Duration::from_millis(150);

/// Time for the news of an end to reach all entries.
const PROPAGATION_TIME: Duration = Duration::from_millis(800);

/// What none of the engines survives.
const POISON: &str = "what none survives";

type Engines = Arc<Mutex<Vec<Option<Engine>>>>;

/// Ends each engine that begins a run.
async fn stop_engines_on_run(engines: Engines) {
    loop {
        tokio::time::sleep(POLL_INTERVAL).await;
        for engine in engines.lock().expect("no holder panics").iter_mut() {
            engine.take_if(|engine| !engine.runs().is_empty());
        }
    }
}

/// The same a while after the run began.
async fn stop_engines_after_run_start(engines: Engines) {
    loop {
        tokio::time::sleep(POLL_INTERVAL).await;
        for engine in engines.lock().expect("no holder panics").iter_mut() {
            let stopper = engine.take_if(|engine| !engine.runs().is_empty());
            if stopper.is_some() {
                tokio::spawn(async move {
                    tokio::time::sleep(EXIT_DELAY).await;
                    drop(stopper);
                });
            }
        }
    }
}

/// Engines that end under each run, their agents, and entries before them.
struct Fleet {
    cluster: Cluster,
    agents: Vec<AgentProcess>,
    entries: Vec<EntryProcess>,
    engines: Engines,
    stopper: JoinHandle<()>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.stopper.abort();
    }
}

impl Fleet {
    async fn start(entries: usize) -> Self {
        let cluster = Cluster::start().await;
        let config = EngineConfig {
            step: Duration::from_millis(10),
            ..EngineConfig::default()
        };
        let mut engines = Vec::new();
        let mut agents = Vec::new();
        for number in 0..ENGINES {
            let engine = Engine::start(config).await;
            let name = format!("target-{number}");
            agents.push(cluster.start_agent(&name, "briefing-llm", engine.server.address));
            engines.push(Some(engine));
        }
        let engines = Arc::new(Mutex::new(engines));
        let stopper = tokio::spawn(stop_engines_on_run(Arc::clone(&engines)));
        let mut fleet = Self {
            cluster,
            agents,
            entries: Vec::new(),
            engines,
            stopper,
        };
        for _ in 0..entries {
            fleet.start_entry().await;
        }
        // Links to all agents.
        tokio::time::sleep(Duration::from_secs(1)).await;
        fleet
    }

    async fn start_entry(&mut self) {
        let name = format!("entry-{}", self.entries.len());
        let entry = self.cluster.start_entry(&name);
        until_ready(&entry).await;
        self.entries.push(entry);
    }

    fn exited_count(&self) -> usize {
        let engines = self.engines.lock().expect("no holder panics");
        engines.iter().filter(|engine| engine.is_none()).count()
    }

    async fn send(&self, entry: usize, stream: bool) -> CallResult {
        let entry = &self.entries[entry % self.entries.len()];
        let caller = Caller::new(DESK_KEY);
        caller
            .complete(entry.address, "briefing-llm", POISON, 60, stream)
            .await
    }

    /// Sends the guilty request until it is held back.
    async fn put_on_hold(&self) {
        for number in 0..MAX_EXITS {
            self.send(number, false).await;
            tokio::time::sleep(PROPAGATION_TIME).await;
        }
        assert!(self.exited_count() > 0, "it reached none");
        assert!(self.exited_count() <= MAX_EXITS, "{}", self.exited_count());
    }

    fn outputs(&self) -> String {
        let outputs = self.entries.iter().map(|entry| entry.daemon.output());
        outputs.collect()
    }
}

// The same cause as on the users' platform: an attempt that loses its answer is all that
// knows what its request did. The entry sends a stream that may be repeated to one target
// after the other by itself, and again when its caller comes again: seven of eight engines
// ended.
#[tokio::test(flavor = "multi_thread")]
async fn the_products_own_entry_lets_a_request_end_three_targets_at_most() {
    let fleet = Fleet::start(1).await;

    for _ in 0..ENGINES {
        fleet.send(0, true).await;
        tokio::time::sleep(Duration::from_millis(300)).await;
    }

    assert!(fleet.exited_count() > 0, "it reached none");
    assert!(
        fleet.exited_count() <= MAX_EXITS,
        "{}",
        fleet.exited_count()
    );
}

// What one entry has seen the other must know, or each lets three targets end.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_comes_again_at_another_entry_is_known_there() {
    let fleet = Fleet::start(3).await;

    for number in 0..2 * ENGINES {
        fleet.send(number, true).await;
        tokio::time::sleep(Duration::from_millis(300)).await;
    }

    assert!(fleet.exited_count() > 0, "it reached none");
    let log = fleet.outputs();
    assert!(
        fleet.exited_count() <= MAX_EXITS,
        "{}\n{log}",
        fleet.exited_count()
    );
}

// What an entry knows must not end with its process.
#[tokio::test(flavor = "multi_thread")]
async fn what_is_held_outlasts_the_entries() {
    let mut fleet = Fleet::start(1).await;
    fleet.put_on_hold().await;
    let ended = fleet.exited_count();

    fleet.entries.clear();
    fleet.start_entry().await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let later = fleet.send(0, false).await;

    assert_eq!((later.status, fleet.exited_count()), (503, ended));
}

#[tokio::test(flavor = "multi_thread")]
async fn the_caller_is_told_that_it_did_not_run_and_when_coming_back_can_help() {
    let fleet = Fleet::start(1).await;
    fleet.put_on_hold().await;

    let held = fleet.send(0, false).await;

    assert_eq!((held.status, held.outcome.as_str()), (503, "not-run"));
    assert_eq!(held.json()["error"]["code"], "held_back", "{}", held.body);
    let back_s: f64 = held.retry_after.expect("a time").parse().expect("seconds");
    assert!((200.0..=300.0).contains(&back_s), "{back_s}");
}

// Callers that leave lose no answer, so nothing that a run shows reaches them.
#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_ends_after_its_caller_left_is_laid_to_the_request() {
    let fleet = Fleet::start(2).await;
    fleet.stopper.abort();
    let stopper = tokio::spawn(stop_engines_after_run_start(Arc::clone(&fleet.engines)));

    for number in 0..ENGINES {
        let call = fleet.send(number, true);
        let _ = tokio::time::timeout(Duration::from_millis(80), call).await;
        tokio::time::sleep(2 * PROPAGATION_TIME).await;
    }
    stopper.abort();

    assert!(fleet.exited_count() > 0, "it reached none");
    let log = fleet.outputs();
    assert!(
        fleet.exited_count() <= MAX_EXITS,
        "{}\n{log}",
        fleet.exited_count()
    );
}

// The time of a request was over before its target ended: the agent told the end of the run
// at once, and the entry did not listen any more when it told which target had ended.
#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_ends_after_the_deadline_is_laid_to_the_request() {
    let fleet = Fleet::start(2).await;
    fleet.stopper.abort();
    let stopper = tokio::spawn(stop_engines_after_run_start(Arc::clone(&fleet.engines)));

    for number in 0..ENGINES {
        let entry = &fleet.entries[number % fleet.entries.len()];
        let body = serde_json::json!({
            "model": "briefing-llm", "prompt": POISON, "max_tokens": 60, "stream": true,
        });
        let headers = [("berylhook-deadline-ms", "60")];
        let caller = Caller::new(DESK_KEY);
        caller
            .post(
                entry.address,
                "/v1/completions",
                &body.to_string(),
                &headers,
            )
            .await;
        tokio::time::sleep(2 * PROPAGATION_TIME).await;
    }
    stopper.abort();

    assert!(fleet.exited_count() > 0, "it reached none");
    let log = fleet.outputs();
    assert!(
        fleet.exited_count() <= MAX_EXITS,
        "{}\n{log}",
        fleet.exited_count()
    );
}

// A caller that draws a new idempotency key for each repeat asks for a new run each time.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_with_a_new_key_each_time_ends_three_targets_at_most() {
    let cluster = Cluster::start().await;
    let mut services = Vec::new();
    let mut agents = Vec::new();
    for number in 0..ENGINES {
        let service = PlainService::start().await;
        service.set_delay(Duration::from_secs(5));
        let name = format!("push-{number}");
        agents.push(cluster.start_agent(&name, "guide-push", service.server.address));
        services.push(Some(service));
    }
    let services = Arc::new(Mutex::new(services));
    let exited_count = || {
        let services = services.lock().expect("no holder panics");
        services.iter().filter(|service| service.is_none()).count()
    };
    let entry = cluster.start_entry("entry-1");
    until_ready(&entry).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let running_services = Arc::clone(&services);
    let stopper = tokio::spawn(async move {
        loop {
            tokio::time::sleep(POLL_INTERVAL).await;
            for service in running_services
                .lock()
                .expect("no holder panics")
                .iter_mut()
            {
                service.take_if(|service| !service.runs().is_empty());
            }
        }
    });

    for _ in 0..2 * ENGINES {
        let caller = Caller::new(DESK_KEY);
        caller.post(entry.address, "/guide-push", POISON, &[]).await;
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    stopper.abort();

    assert!(exited_count() > 0, "it reached none");
    assert!(exited_count() <= MAX_EXITS, "{}", exited_count());
}

// A VM that goes as a whole, agent and target, is laid to nobody: it may have lost power.
#[tokio::test(flavor = "multi_thread")]
async fn a_vm_that_goes_with_its_agent_makes_no_suspects() {
    let mut fleet = Fleet::start(1).await;
    fleet.stopper.abort();
    let call = fleet.send(0, true);
    let engines = Arc::clone(&fleet.engines);
    let kill_agents = async {
        until("an engine runs it", || async {
            let engines = engines.lock().expect("no holder panics");
            engines
                .iter()
                .flatten()
                .any(|engine| !engine.runs().is_empty())
        })
        .await;
        for agent in &fleet.agents {
            agent.daemon.signal(Signal::Kill);
        }
    };
    tokio::join!(call, kill_agents);
    fleet.agents.clear();
    tokio::time::sleep(PROPAGATION_TIME).await;

    let log = fleet.outputs();
    assert!(!log.contains("a target ended with a request"), "{log}");
}
