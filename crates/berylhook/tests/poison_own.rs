//! Requests under which targets end, on the product's own daemons: entries and agents.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use berylhook_test_support::calls::Caller;
use berylhook_test_support::cluster::{Cluster, DESK_KEY, until_ready};
use berylhook_test_support::{Engine, EngineConfig};

/// Targets that may end under one request before it is held back.
const ENDS_ALLOWED: usize = 3;

/// Engines, each with an agent beside it.
const ENGINES: usize = 8;

/// Time between two looks at whether an engine has begun a run.
const LOOK_EVERY: Duration = Duration::from_millis(2);

type Engines = Arc<Mutex<Vec<Option<Engine>>>>;

/// Ends each engine that begins a run.
async fn end_those_that_run(engines: Engines) {
    loop {
        tokio::time::sleep(LOOK_EVERY).await;
        for engine in engines.lock().expect("no holder panics").iter_mut() {
            engine.take_if(|engine| !engine.runs().is_empty());
        }
    }
}

// The same cause as on the users' platform: an attempt that loses its answer is all that
// knows what its request did. The entry sends a stream that may be repeated to one target
// after the other by itself, and again when its caller comes again: seven of eight engines
// ended.
#[tokio::test(flavor = "multi_thread")]
async fn the_products_own_entry_lets_a_request_end_three_targets_at_most() {
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
        agents.push(cluster.agent(&name, "briefing-llm", engine.server.address));
        engines.push(Some(engine));
    }
    let entry = cluster.entry("entry-1");
    until_ready(&entry).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let engines = Arc::new(Mutex::new(engines));
    let ending = tokio::spawn(end_those_that_run(Arc::clone(&engines)));

    for _ in 0..ENGINES {
        let caller = Caller::new(DESK_KEY);
        caller
            .complete(
                entry.address,
                "briefing-llm",
                "what none survives",
                60,
                true,
            )
            .await;
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    ending.abort();

    let engines = engines.lock().expect("no holder panics");
    let ended = engines.iter().filter(|engine| engine.is_none()).count();
    assert!(ended > 0, "it reached none");
    assert!(ended <= ENDS_ALLOWED, "{ended} of {ENGINES} engines ended");
}
