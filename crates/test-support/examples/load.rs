//! Measures what entry and agent add to a direct call of the same stand-in
//! engine, in the same run.
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

/// What one load found.
struct Found {
    /// Requests, or tokens for streams, in a second.
    per_second: f64,
    p50_ms: f64,
    p99_ms: f64,
}

/// Processor time and memory of the processes under load.
struct Used {
    entry_cpu_ms: u64,
    agent_cpu_ms: u64,
    entry_kb: u64,
    at: Instant,
}

impl Used {
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

async fn unary(address: SocketAddr, at_a_time: usize) -> Found {
    let began = Instant::now();
    let workers: Vec<_> = (0..at_a_time)
        .map(|_| {
            tokio::spawn(async move {
                let caller = Caller::new(DESK_KEY);
                let mut took = Vec::new();
                for _ in 0..UNARY_REQUESTS / at_a_time {
                    let answered = caller
                        .complete(address, "briefing-llm", "x", 1, false)
                        .await;
                    assert_eq!(answered.status, 200, "{}", answered.body);
                    took.push(answered.took);
                }
                took
            })
        })
        .collect();
    let mut took = Vec::new();
    for worker in workers {
        took.extend(worker.await.expect("the worker ends"));
    }
    found(took.len() as f64 / began.elapsed().as_secs_f64(), took)
}

/// The latencies are those of the first event.
async fn streams(address: SocketAddr, at_a_time: usize) -> Found {
    let began = Instant::now();
    let workers: Vec<_> = (0..at_a_time)
        .map(|_| {
            tokio::spawn(async move {
                let caller = Caller::new(DESK_KEY);
                let answered = caller
                    .complete(address, "briefing-llm", "x", STREAM_TOKENS, true)
                    .await;
                assert!(answered.is_complete, "{}", answered.body);
                answered.time_to_first_byte
            })
        })
        .collect();
    let mut took = Vec::new();
    for worker in workers {
        took.push(worker.await.expect("the worker ends"));
    }
    let tokens = (at_a_time * STREAM_TOKENS) as f64;
    found(tokens / began.elapsed().as_secs_f64(), took)
}

fn found(per_second: f64, mut took: Vec<Duration>) -> Found {
    took.sort();
    let at = |quantile: f64| took[((took.len() - 1) as f64 * quantile) as usize].as_secs_f64();
    Found {
        per_second,
        p50_ms: at(0.5) * 1_000.0,
        p99_ms: at(0.99) * 1_000.0,
    }
}

fn print(what: &str, direct: &Found, through: &Found, used: &str) {
    println!(
        "{what}\n  direct  {:>8.0}/s  p50 {:>7.3} ms  p99 {:>7.3} ms",
        direct.per_second, direct.p50_ms, direct.p99_ms
    );
    println!(
        "  through {:>8.0}/s  p50 {:>7.3} ms  p99 {:>7.3} ms  {used}",
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
    for at_a_time in [1, 8, 64] {
        let direct = unary(engine.server.address, at_a_time).await;
        let before = Used::now(&entry, &agent);
        let through = unary(entry.address, at_a_time).await;
        let used = Used::now(&entry, &agent).since(&before);
        print(
            &format!("unary, {at_a_time} at a time"),
            &direct,
            &through,
            &used,
        );
    }
    for at_a_time in [64, 512] {
        let direct = streams(engine.server.address, at_a_time).await;
        let before = Used::now(&entry, &agent);
        let through = streams(entry.address, at_a_time).await;
        let used = Used::now(&entry, &agent).since(&before);
        print(
            &format!("streams, {at_a_time} open"),
            &direct,
            &through,
            &used,
        );
    }
}
