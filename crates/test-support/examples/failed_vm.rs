//! Measures how many calls that must not be repeated fail after an agent's VM has failed, and how
//! long requests take to end when a link carries no more data.
//!
//!     cargo build --release --workspace --bins
//!     cargo run --release -p berylhook-test-support --example failed_vm

use std::time::{Duration, Instant};

use berylhook_test_support::calls::Caller;
use berylhook_test_support::cluster::{
    Cluster, DESK_KEY, until, until_plain_service_ready, until_serving,
};
use berylhook_test_support::history::ReportedOutcome;
use berylhook_test_support::{Engine, EngineConfig, Fault, PlainService, Signal};

const CALL_INTERVAL: Duration = Duration::from_millis(5);
const CALL_COUNT: u32 = 4_000;
const FAIL_AT_CALL: u32 = 1_000;
const LEASE_TTL_S: u32 = 10;

/// Outcomes of the calls sent after the failure.
#[derive(Default)]
struct CallCounts {
    done: u32,
    not_run: u32,
    unknown: u32,
    /// When the last call that was not done was sent, after the failure.
    last_failure: Duration,
    /// Latencies of the calls sent before the failure.
    earlier_latencies: Vec<Duration>,
}

async fn measure_failed_agent() {
    let mut cluster = Cluster::start().await;
    cluster.agent_settings = format!("lease_ttl_s = {LEASE_TTL_S}\n");
    let service = PlainService::start().await;
    let agents = ["push-1", "push-2", "push-3"]
        .map(|name| cluster.start_agent(name, "guide-push", service.server.address));
    let entry = cluster.start_entry("entry-1");
    until_plain_service_ready(&entry).await;
    until("the shards are spread", || async {
        let homes = cluster.key_value.keys("berylhook/homes/guide-push/");
        homes.iter().filter(|key| key.ends_with("/home")).count() == 16
    })
    .await;
    tokio::time::sleep(Duration::from_secs(4)).await;
    let writes_before = cluster.key_value.writes();
    let started = Instant::now();
    let mut calls = Vec::new();
    let mut failed_at = None;
    for number in 0..CALL_COUNT {
        if number == FAIL_AT_CALL {
            agents[0].daemon.signal(Signal::Kill);
            cluster.vms.remove("push-1");
            failed_at = Some(Instant::now());
        }
        let address = entry.address;
        calls.push(tokio::spawn(async move {
            let sent = Instant::now();
            let key = uuid::Uuid::now_v7().to_string();
            let headers = [("idempotency-key", key.as_str())];
            let caller = Caller::new(DESK_KEY);
            let result = caller.post(address, "/guide-push", "x", &headers).await;
            (sent, result)
        }));
        tokio::time::sleep(CALL_INTERVAL).await;
    }
    let failed_at = failed_at.expect("the agent was killed");
    let mut counts = CallCounts::default();
    for call in calls {
        let (sent, result) = call.await.expect("the call ends");
        if sent < failed_at {
            counts.earlier_latencies.push(result.took);
            continue;
        }
        match ReportedOutcome::of(&result) {
            ReportedOutcome::Done => counts.done += 1,
            ReportedOutcome::NotRun => counts.not_run += 1,
            ReportedOutcome::Unknown => counts.unknown += 1,
        }
        if result.outcome != "done" {
            counts.last_failure = counts.last_failure.max(sent - failed_at);
        }
    }
    counts.earlier_latencies.sort();
    println!(
        "one of three agents killed, lease {LEASE_TTL_S} s, a call every {CALL_INTERVAL:?}: of {} calls after the failure {} done, {} not run, {} unknown; the last call that failed was sent {:.1} s after the failure",
        CALL_COUNT - FAIL_AT_CALL,
        counts.done,
        counts.not_run,
        counts.unknown,
        counts.last_failure.as_secs_f64()
    );
    println!(
        "before the failure: p50 {:.2} ms; {:.1} writes/s to the key-value service in total",
        counts.earlier_latencies[counts.earlier_latencies.len() / 2].as_secs_f64() * 1_000.0,
        f64::from(u32::try_from(cluster.key_value.writes() - writes_before).unwrap_or(0))
            / started.elapsed().as_secs_f64()
    );
}

async fn measure_frozen_link() {
    let cluster = Cluster::start().await;
    let engine = Engine::start(EngineConfig {
        step: Duration::from_millis(10),
        ..EngineConfig::default()
    })
    .await;
    let linked_agent = cluster
        .start_linked_agent("target-1", "briefing-llm", engine.server.address)
        .await;
    let entry = cluster.start_entry("entry-1");
    until_serving(&entry, "briefing-llm").await;
    for (description, fault) in [
        ("open connections frozen", Fault::FreezeOpen),
        ("all connections frozen", Fault::FreezeAll),
    ] {
        let address = entry.address;
        let calls: Vec<_> = (0..32)
            .map(|number| {
                tokio::spawn(async move {
                    let caller = Caller::new(DESK_KEY);
                    let stream = number % 2 == 0;
                    caller
                        .complete(address, "briefing-llm", "x", 100, stream)
                        .await
                })
            })
            .collect();
        tokio::time::sleep(Duration::from_millis(300)).await;
        linked_agent.link.set_fault(fault);
        let frozen_at = Instant::now();
        let mut done = 0;
        let mut longest_failure = Duration::ZERO;
        for call in calls {
            let result = call.await.expect("the call ends");
            if result.outcome == "done" && result.is_complete {
                done += 1;
            } else {
                longest_failure = longest_failure.max(frozen_at.elapsed());
            }
        }
        println!(
            "{description}: {done} of 32 requests done, the others failed within {:.2} s, all ended after {:.2} s",
            longest_failure.as_secs_f64(),
            frozen_at.elapsed().as_secs_f64()
        );
        linked_agent.link.set_fault(Fault::None);
        until_serving(&entry, "briefing-llm").await;
    }
}

#[tokio::main]
async fn main() {
    measure_failed_agent().await;
    measure_frozen_link().await;
}
