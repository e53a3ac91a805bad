//! Starts stand-ins of the platform, two entries and three targets, sends real requests through
//! them and prints the responses.
//!
//!     cargo build --workspace --bins
//!     cargo run -p berylhook-test-support --example quickstart
//!
//! With `--serve` it keeps running until Ctrl-C, so that requests can be sent with curl.

use anyhow::{Result, ensure};
use berylhook_test_support::calls::{CallResult, Caller};
use berylhook_test_support::cluster::{
    AgentProcess, Cluster, DESK_KEY, EntryProcess, catalogue, until_plain_service_ready,
    until_serving,
};
use berylhook_test_support::command::{TemporaryFile, berylhook};
use berylhook_test_support::{Engine, EngineConfig, PlainService};

/// Processes and stand-ins, which run until they are dropped.
struct RunningCluster {
    cluster: Cluster,
    entries: Vec<EntryProcess>,
    _agents: Vec<AgentProcess>,
    _engines: Vec<Engine>,
    _service: PlainService,
}

async fn start() -> Result<RunningCluster> {
    let cluster = Cluster::empty().await;
    let file = TemporaryFile::new(&catalogue());
    let url = cluster.key_value.url();
    let arguments = ["catalogue", "apply", "--key-value", &url, "--based-on", "0"];
    let output = berylhook(&[&arguments[..], &[file.path()]].concat());
    ensure!(output.code == 0, "{}", output.stderr);
    print!("{}", output.stdout);
    let engines = vec![
        Engine::start(EngineConfig::default()).await,
        Engine::start(EngineConfig::default()).await,
    ];
    let service = PlainService::start().await;
    let agents = vec![
        cluster.start_agent("target-1", "briefing-llm", engines[0].server.address),
        cluster.start_agent("target-2", "briefing-llm", engines[1].server.address),
        cluster.start_agent("push-1", "guide-push", service.server.address),
    ];
    let entries = vec![
        cluster.start_entry("entry-1"),
        cluster.start_entry("entry-2"),
    ];
    for entry in &entries {
        until_serving(entry, "briefing-llm").await;
        until_plain_service_ready(entry).await;
    }
    Ok(RunningCluster {
        cluster,
        entries,
        _agents: agents,
        _engines: engines,
        _service: service,
    })
}

fn print_result(title: &str, result: &CallResult) {
    println!(
        "\n{title}: status {}, outcome {}, complete {}\n{}",
        result.status,
        result.outcome,
        result.is_complete,
        result.body.trim_end()
    );
}

async fn send_requests(running: &RunningCluster) -> Result<()> {
    let caller = Caller::new(DESK_KEY);
    let first = running.entries[0].address;
    let second = running.entries[1].address;
    let stream = caller
        .complete(first, "briefing-llm", "river conditions", 5, true)
        .await;
    print_result("a streamed briefing", &stream);
    ensure!(stream.is_complete && stream.outcome == "done");
    let key = uuid::Uuid::now_v7().to_string();
    let headers = [("idempotency-key", key.as_str())];
    let path = "/guide-push/confirm";
    let confirmed = caller.post(first, path, "canoe 7", &headers).await;
    print_result("a launch confirmation", &confirmed);
    let repeated = caller.post(second, path, "canoe 7", &headers).await;
    print_result(
        "its repeat at the other entry, served from the ledger",
        &repeated,
    );
    ensure!(confirmed.body == repeated.body && repeated.outcome == "done");
    let unknown = caller.complete(first, "no-such-model", "x", 1, false).await;
    print_result("an unknown model", &unknown);
    ensure!(unknown.outcome == "not-run");
    Ok(())
}

#[tokio::main]
async fn main() -> Result<()> {
    let running = start().await?;
    send_requests(&running).await?;
    let settings = TemporaryFile::new(&running.entries[0].settings);
    let burn = berylhook(&["burn", "--settings", settings.path()]);
    println!("\nburn report\n{}", burn.stdout);
    ensure!(burn.code == 0, "{}", burn.stderr);
    if std::env::args().any(|argument| argument == "--serve") {
        for entry in &running.entries {
            println!("entry: http://{}", entry.address);
        }
        println!("bearer key: {DESK_KEY}");
        println!("settings for status and burn: {}", settings.path());
        println!("key-value service: {}", running.cluster.key_value.url());
        tokio::signal::ctrl_c().await?;
    }
    Ok(())
}
