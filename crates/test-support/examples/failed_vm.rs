//! Measures what a failed VM costs callers whose calls must not be repeated,
//! and how long a black hole takes to be settled.
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

const EVERY: Duration = Duration::from_millis(5);
const CALLS: u32 = 4_000;
const FAIL_AT: u32 = 1_000;
const LEASE_TTL_S: u32 = 10;

/// What became of the calls sent after the failure.
#[derive(Default)]
struct Counted {
    done: u32,
    not_run: u32,
    unknown: u32,
    last_bad: Duration,
    took: Vec<Duration>,
}

async fn failed_agent() {
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
    let began = Instant::now();
    let mut calls = Vec::new();
    let mut failed_at = None;
    for number in 0..CALLS {
        if number == FAIL_AT {
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
            let answered = caller.post(address, "/guide-push", "x", &headers).await;
            (sent, answered)
        }));
        tokio::time::sleep(EVERY).await;
    }
    let failed_at = failed_at.expect("it has failed");
    let mut counted = Counted::default();
    for call in calls {
        let (sent, answered) = call.await.expect("the call ends");
        if sent < failed_at {
            counted.took.push(answered.took);
            continue;
        }
        match ReportedOutcome::of(&answered) {
            ReportedOutcome::Done => counted.done += 1,
            ReportedOutcome::NotRun => counted.not_run += 1,
            ReportedOutcome::Unknown => counted.unknown += 1,
        }
        if answered.outcome != "done" {
            counted.last_bad = counted.last_bad.max(sent - failed_at);
        }
    }
    counted.took.sort();
    println!(
        "one of three agents killed, lease {LEASE_TTL_S} s, a call each {EVERY:?}: of {} calls after it {} done, {} not run, {} unknown; the last refusal {:.1} s after it",
        CALLS - FAIL_AT,
        counted.done,
        counted.not_run,
        counted.unknown,
        counted.last_bad.as_secs_f64()
    );
    println!(
        "before it: p50 {:.2} ms; {:.1} writes/s to the key-value service in all",
        counted.took[counted.took.len() / 2].as_secs_f64() * 1_000.0,
        f64::from(u32::try_from(cluster.key_value.writes() - writes_before).unwrap_or(0))
            / began.elapsed().as_secs_f64()
    );
}

async fn black_hole() {
    let cluster = Cluster::start().await;
    let engine = Engine::start(EngineConfig {
        step: Duration::from_millis(10),
        ..EngineConfig::default()
    })
    .await;
    let linked = cluster
        .start_linked_agent("target-1", "briefing-llm", engine.server.address)
        .await;
    let entry = cluster.start_entry("entry-1");
    until_serving(&entry, "briefing-llm").await;
    for (what, fault) in [
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
        linked.link.set_fault(fault);
        let since = Instant::now();
        let mut done = 0;
        let mut longest = Duration::ZERO;
        for call in calls {
            let answered = call.await.expect("the call ends");
            if answered.outcome == "done" && answered.is_complete {
                done += 1;
            } else {
                longest = longest.max(since.elapsed());
            }
        }
        println!(
            "{what}: {done} of 32 requests done, the rest settled within {:.2} s, all ended after {:.2} s",
            longest.as_secs_f64(),
            since.elapsed().as_secs_f64()
        );
        linked.link.set_fault(Fault::None);
        until_serving(&entry, "briefing-llm").await;
    }
}

#[tokio::main]
async fn main() {
    failed_agent().await;
    black_hole().await;
}
