//! Poison requests, under which targets exit, with real entries and agents in front of stand-in
//! engines.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use berylhook_test_support::calls::{CallResult, Caller};
use berylhook_test_support::cluster::{
    AgentProcess, Cluster, DESK_KEY, EntryProcess, until, until_ready,
};
use berylhook_test_support::{Engine, EngineConfig, PlainService, Signal};
use tokio::task::JoinHandle;

/// Targets that may exit under one request before the quarantine rejects it.
const MAX_EXITS: usize = 3;

/// Number of engines, each with an agent of its own.
const ENGINES: usize = 8;

/// Time between two polls for engines that have begun a run.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Time from the beginning of a run to the exit of its engine, for engines that exit with a delay.
const EXIT_DELAY: Duration = Duration::from_millis(150);

/// Time for the report of a target exit to reach all entries.
const PROPAGATION_TIME: Duration = Duration::from_millis(800);

/// Prompt of the poison request.
const POISON: &str = "what none survives";

type Engines = Arc<Mutex<Vec<Option<Engine>>>>;

/// Stops each engine as soon as it has begun a run.
async fn stop_engines_on_run(engines: Engines) {
    loop {
        tokio::time::sleep(POLL_INTERVAL).await;
        for engine in engines.lock().expect("no holder panics").iter_mut() {
            engine.take_if(|engine| !engine.runs().is_empty());
        }
    }
}

/// Stops each engine [`EXIT_DELAY`] after it has begun a run.
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

/// Engines that exit under each run, their agents, and entries.
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
        // Time for the entries to connect to all agents.
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
        self.send_prompt(entry, POISON, stream).await
    }

    async fn send_prompt(&self, entry: usize, prompt: &str, stream: bool) -> CallResult {
        let entry = &self.entries[entry % self.entries.len()];
        let caller = Caller::new(DESK_KEY);
        caller
            .complete(entry.address, "briefing-llm", prompt, 60, stream)
            .await
    }

    /// Sends the poison request until the quarantine rejects it.
    async fn put_on_hold(&self) {
        for number in 0..MAX_EXITS {
            self.send(number, false).await;
            tokio::time::sleep(PROPAGATION_TIME).await;
        }
        assert!(self.exited_count() > 0, "the request reached no target");
        assert!(self.exited_count() <= MAX_EXITS, "{}", self.exited_count());
    }

    fn entry_outputs(&self) -> String {
        let entry_outputs = self.entries.iter().map(|entry| entry.daemon.output());
        entry_outputs.collect()
    }
}

// Guards against a poison stream that the entry retries at one target after the other, and again
// when its caller repeats it: seven of eight engines exited. Nothing but the attempt that lost its
// response had a record of what the request had caused.
#[tokio::test(flavor = "multi_thread")]
async fn a_repeated_poison_stream_causes_at_most_three_exits() {
    let fleet = Fleet::start(1).await;

    for _ in 0..ENGINES {
        fleet.send(0, true).await;
        tokio::time::sleep(Duration::from_millis(300)).await;
    }

    assert!(fleet.exited_count() > 0, "the request reached no target");
    assert!(
        fleet.exited_count() <= MAX_EXITS,
        "{}",
        fleet.exited_count()
    );
}

// Entries must share the exits that they see; otherwise each entry lets three targets exit.
#[tokio::test(flavor = "multi_thread")]
async fn a_poison_request_repeated_at_another_entry_is_known_there() {
    let fleet = Fleet::start(3).await;

    for number in 0..2 * ENGINES {
        fleet.send(number, true).await;
        tokio::time::sleep(Duration::from_millis(300)).await;
    }

    assert!(fleet.exited_count() > 0, "the request reached no target");
    let log = fleet.entry_outputs();
    assert!(
        fleet.exited_count() <= MAX_EXITS,
        "{}\n{log}",
        fleet.exited_count()
    );
}

// Quarantine state must outlive the process of the entry.
#[tokio::test(flavor = "multi_thread")]
async fn holds_survive_the_loss_of_all_entries() {
    let mut fleet = Fleet::start(1).await;
    fleet.put_on_hold().await;
    let exited_before = fleet.exited_count();

    fleet.entries.clear();
    fleet.start_entry().await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let response = fleet.send(0, false).await;

    assert_eq!(
        (response.status, fleet.exited_count()),
        (503, exited_before)
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_rejection_reports_not_run_and_when_a_retry_can_succeed() {
    let fleet = Fleet::start(1).await;
    fleet.put_on_hold().await;

    let rejected = fleet.send(0, false).await;

    assert_eq!(
        (rejected.status, rejected.outcome.as_str()),
        (503, "not-run")
    );
    assert_eq!(
        rejected.json()["error"]["code"],
        "held_back",
        "{}",
        rejected.body
    );
    let retry_after_s: f64 = rejected
        .retry_after
        .expect("a Retry-After header")
        .parse()
        .expect("seconds");
    assert!((200.0..=300.0).contains(&retry_after_s), "{retry_after_s}");
}

// Guards against exits that are attributed to no request because its caller has disconnected and so
// loses no response.
#[tokio::test(flavor = "multi_thread")]
async fn an_exit_after_the_caller_disconnected_is_attributed_to_the_request() {
    let fleet = Fleet::start(2).await;
    fleet.stopper.abort();
    let stopper = tokio::spawn(stop_engines_after_run_start(Arc::clone(&fleet.engines)));

    for number in 0..ENGINES {
        let call = fleet.send(number, true);
        let _ = tokio::time::timeout(Duration::from_millis(80), call).await;
        tokio::time::sleep(2 * PROPAGATION_TIME).await;
    }
    stopper.abort();

    assert!(fleet.exited_count() > 0, "the request reached no target");
    let log = fleet.entry_outputs();
    assert!(
        fleet.exited_count() <= MAX_EXITS,
        "{}\n{log}",
        fleet.exited_count()
    );
}

// Guards against a target exit after the deadline of its request. The agent reported the end of the
// run at the deadline, and the entry no longer listened when the agent reported which target had
// exited.
#[tokio::test(flavor = "multi_thread")]
async fn an_exit_after_the_deadline_is_attributed_to_the_request() {
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

    assert!(fleet.exited_count() > 0, "the request reached no target");
    let log = fleet.entry_outputs();
    assert!(
        fleet.exited_count() <= MAX_EXITS,
        "{}\n{log}",
        fleet.exited_count()
    );
}

// A new idempotency key makes each repeat a new run, but must not hide that the request is the
// same.
#[tokio::test(flavor = "multi_thread")]
async fn a_poison_request_with_a_new_key_each_time_causes_at_most_three_exits() {
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

    assert!(exited_count() > 0, "the request reached no target");
    assert!(exited_count() <= MAX_EXITS, "{}", exited_count());
}

// The loss of a whole VM, agent and target, is not attributed to a request: the VM may have lost
// power.
#[tokio::test(flavor = "multi_thread")]
async fn the_loss_of_a_vm_with_its_agent_makes_no_suspects() {
    let mut fleet = Fleet::start(1).await;
    fleet.stopper.abort();
    let call = fleet.send(0, true);
    let engines = Arc::clone(&fleet.engines);
    let kill_agents = async {
        until("an engine runs the request", || async {
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

    let log = fleet.entry_outputs();
    assert!(!log.contains("a target ended with a request"), "{log}");
}

// Guards against a beginning of prompts that stops one engine after the other, because each request
// with it ends differently and so is known for nothing.
#[tokio::test(flavor = "multi_thread")]
async fn a_poison_beginning_in_different_requests_causes_at_most_three_exits() {
    for stream in [true, false] {
        let fleet = Fleet::start(2).await;
        let beginning = "what none survives ".repeat(40);

        for number in 0..ENGINES {
            let prompt = format!("{beginning}{number}");
            fleet.send_prompt(number, &prompt, stream).await;
            tokio::time::sleep(PROPAGATION_TIME).await;
        }

        let exits = fleet.exited_count();
        assert!(exits > 0, "the requests reached no target");
        assert!(exits <= MAX_EXITS, "{exits} exits, streamed: {stream}");
        fleet.stopper.abort();
        let sound = fleet.send_prompt(0, "something else", stream).await;
        assert_eq!(sound.status, 200, "streamed: {stream}");
    }
}
