//! Measures the cost of an entry and an agent between caller and engine, compared with direct calls
//! of the same stand-in engine in the same run.
//!
//!     cargo build --release --workspace --bins
//!     cargo run --release -p berylhook-test-support --example load

#![allow(clippy::cast_precision_loss)] // counts of one run are small
#![allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // quantile positions

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use berylhook_test_support::calls::Caller;
use berylhook_test_support::cluster::{
    AgentProcess, Cluster, DESK_KEY, EntryProcess, until_serving,
};
use berylhook_test_support::{Engine, EngineConfig};

const UNARY_REQUESTS: usize = 4_000;
const STREAM_TOKENS: usize = 200;

/// Throughput and latencies of one load.
struct LoadResult {
    /// Requests per second; tokens per second for streams.
    per_second: f64,
    p50_ms: f64,
    p99_ms: f64,
}

/// CPU time and memory used by the processes.
struct ResourceUsage {
    entry_cpu_ms: u64,
    agent_cpu_ms: u64,
    entry_kb: u64,
    at: Instant,
}

impl ResourceUsage {
    fn now(entry: &EntryProcess, agent: &AgentProcess) -> Self {
        Self {
            entry_cpu_ms: entry.daemon.cpu_ms(),
            agent_cpu_ms: agent.daemon.cpu_ms(),
            entry_kb: entry.daemon.resident_kb(),
            at: Instant::now(),
        }
    }

    fn since(&self, before: &Self) -> String {
        let wall_ms = (self.at - before.at).as_secs_f64() * 1_000.0;
        format!(
            "entry {:.2} cores, agent {:.2} cores, entry grew {} kB",
            (self.entry_cpu_ms - before.entry_cpu_ms) as f64 / wall_ms,
            (self.agent_cpu_ms - before.agent_cpu_ms) as f64 / wall_ms,
            self.entry_kb.saturating_sub(before.entry_kb),
        )
    }
}

async fn measure_unary(address: SocketAddr, concurrency: usize) -> LoadResult {
    let started = Instant::now();
    let workers: Vec<_> = (0..concurrency)
        .map(|_| {
            tokio::spawn(async move {
                let caller = Caller::new(DESK_KEY);
                let mut latencies = Vec::new();
                for _ in 0..UNARY_REQUESTS / concurrency {
                    let result = caller
                        .complete(address, "briefing-llm", "x", 1, false)
                        .await;
                    assert_eq!(result.status, 200, "{}", result.body);
                    latencies.push(result.took);
                }
                latencies
            })
        })
        .collect();
    let mut latencies = Vec::new();
    for worker in workers {
        latencies.extend(worker.await.expect("the worker ends"));
    }
    summarize(
        latencies.len() as f64 / started.elapsed().as_secs_f64(),
        latencies,
    )
}

/// The latencies are those of the first event.
async fn measure_streams(address: SocketAddr, concurrency: usize) -> LoadResult {
    let started = Instant::now();
    let workers: Vec<_> = (0..concurrency)
        .map(|_| {
            tokio::spawn(async move {
                let caller = Caller::new(DESK_KEY);
                let result = caller
                    .complete(address, "briefing-llm", "x", STREAM_TOKENS, true)
                    .await;
                assert!(result.is_complete, "{}", result.body);
                result.time_to_first_byte
            })
        })
        .collect();
    let mut latencies = Vec::new();
    for worker in workers {
        latencies.push(worker.await.expect("the worker ends"));
    }
    let tokens = (concurrency * STREAM_TOKENS) as f64;
    summarize(tokens / started.elapsed().as_secs_f64(), latencies)
}

fn summarize(per_second: f64, mut latencies: Vec<Duration>) -> LoadResult {
    latencies.sort();
    let at =
        |quantile: f64| latencies[((latencies.len() - 1) as f64 * quantile) as usize].as_secs_f64();
    LoadResult {
        per_second,
        p50_ms: at(0.5) * 1_000.0,
        p99_ms: at(0.99) * 1_000.0,
    }
}

fn print_comparison(title: &str, direct: &LoadResult, through: &LoadResult, usage: &str) {
    println!(
        "{title}\n  direct  {:>8.0}/s  p50 {:>7.3} ms  p99 {:>7.3} ms",
        direct.per_second, direct.p50_ms, direct.p99_ms
    );
    println!(
        "  through {:>8.0}/s  p50 {:>7.3} ms  p99 {:>7.3} ms  {usage}",
        through.per_second, through.p50_ms, through.p99_ms
    );
    println!(
        "  ratio {:.2}, added p50 {:.3} ms, added p99 {:.3} ms",
        through.per_second / direct.per_second,
        through.p50_ms - direct.p50_ms,
        through.p99_ms - direct.p99_ms,
    );
}

#[tokio::main]
async fn main() {
    let cluster = Cluster::start().await;
    let engine = Engine::start(EngineConfig {
        step: Duration::ZERO,
        slots: 4_096,
        report_lag: Duration::from_millis(100),
    })
    .await;
    let agent = cluster.start_agent("target-1", "briefing-llm", engine.server.address);
    let entry = cluster.start_entry("entry-1");
    until_serving(&entry, "briefing-llm").await;
    println!(
        "idle: entry {} kB, agent {} kB resident",
        entry.daemon.resident_kb(),
        agent.daemon.resident_kb()
    );
    for concurrency in [1, 8, 64] {
        let direct = measure_unary(engine.server.address, concurrency).await;
        let before = ResourceUsage::now(&entry, &agent);
        let through = measure_unary(entry.address, concurrency).await;
        let usage = ResourceUsage::now(&entry, &agent).since(&before);
        print_comparison(
            &format!("unary, {concurrency} at a time"),
            &direct,
            &through,
            &usage,
        );
    }
    for concurrency in [64, 512] {
        let direct = measure_streams(engine.server.address, concurrency).await;
        let before = ResourceUsage::now(&entry, &agent);
        let through = measure_streams(entry.address, concurrency).await;
        let usage = ResourceUsage::now(&entry, &agent).since(&before);
        print_comparison(
            &format!("streams, {concurrency} open"),
            &direct,
            &through,
            &usage,
        );
    }
}
