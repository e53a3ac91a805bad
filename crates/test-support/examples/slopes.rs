//! Prints the slopes behind docs/CAPACITY.md: what each role costs as its
//! size grows, with a straight line through the sizes and the largest miss.
//!
//!     cargo build --release --workspace --bins
//!     cargo run --release -p berylhook-test-support --example slopes

#![allow(clippy::cast_precision_loss)] // counts of one run are small
#![allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // sizes are small

use std::time::{Duration, Instant};

use berylhook_core::ledger::{ClockBounds, KeyedRequest, Ledger};
use berylhook_core::limit::{LimitHome, ShareConfig, ShareHolder, ShareRequest};
use berylhook_core::time::{MonoMs, WallMs};
use berylhook_test_support::cluster::{Cluster, until_serving};
use berylhook_test_support::{Engine, EngineConfig};

/// A measurement at one size.
struct Point {
    size: f64,
    value: f64,
}

/// Least squares through the points.
fn print_line(what: &str, unit: &str, points: &[Point]) {
    let count = points.len() as f64;
    let mean_size = points.iter().map(|point| point.size).sum::<f64>() / count;
    let mean_value = points.iter().map(|point| point.value).sum::<f64>() / count;
    let over: f64 = points
        .iter()
        .map(|point| (point.size - mean_size) * (point.value - mean_value))
        .sum();
    let under: f64 = points
        .iter()
        .map(|point| (point.size - mean_size).powi(2))
        .sum();
    let slope = over / under;
    let start = mean_value - slope * mean_size;
    let miss = points
        .iter()
        .map(|point| (point.value - start - slope * point.size).abs())
        .fold(0.0, f64::max);
    let shown: Vec<_> = points
        .iter()
        .map(|point| format!("{}: {:.3}", point.size, point.value))
        .collect();
    println!("{what} [{unit}]");
    println!("  {}", shown.join(", "));
    println!("  {start:.3} + {slope:.5} each, largest miss {miss:.3}");
}

/// An idle entry's cost by the number of agents it is connected to.
async fn links() {
    let mut cpu = Vec::new();
    let mut memory = Vec::new();
    let mut agent_cpu = Vec::new();
    for count in [4, 16, 48] {
        let cluster = Cluster::start().await;
        let engine = Engine::start(EngineConfig::default()).await;
        let agents: Vec<_> = (0..count)
            .map(|number| {
                let name = format!("target-{number}");
                cluster.start_agent(&name, "briefing-llm", engine.server.address)
            })
            .collect();
        let entry = cluster.start_entry("entry-1");
        until_serving(&entry, "briefing-llm").await;
        tokio::time::sleep(Duration::from_secs(2)).await;
        let before = entry.daemon.cpu_ms();
        let agents_before: u64 = agents.iter().map(|agent| agent.daemon.cpu_ms()).sum();
        let began = Instant::now();
        tokio::time::sleep(Duration::from_secs(6)).await;
        let wall_ms = began.elapsed().as_millis() as f64;
        let percent = |ms: u64| ms as f64 / wall_ms * 100.0;
        let agents_after: u64 = agents.iter().map(|agent| agent.daemon.cpu_ms()).sum();
        let size = f64::from(count);
        cpu.push(Point {
            size,
            value: percent(entry.daemon.cpu_ms() - before),
        });
        memory.push(Point {
            size,
            value: entry.daemon.resident_kb() as f64,
        });
        agent_cpu.push(Point {
            size,
            value: percent(agents_after - agents_before) / size,
        });
        if count == 48 {
            println!(
                "agent, idle: {} kB resident",
                agents[0].daemon.resident_kb()
            );
        }
    }
    print_line("entry, idle, by connected agents", "% of a core", &cpu);
    print_line("entry, idle, by connected agents", "kB resident", &memory);
    print_line(
        "agent, idle, by agents of the entry",
        "% of a core",
        &agent_cpu,
    );
}

/// What one answered question costs the limits' home, and how much of a
/// limit is wasted while demand moves and one message in ten is lost.
fn limits() {
    let mut points = Vec::new();
    for count in [3u64, 30, 300] {
        let config = ShareConfig::default();
        let limit = 10_000.0;
        let mut home = LimitHome::takeover(config, limit, 1, MonoMs(0));
        let mut holders: Vec<ShareHolder> = (0..count).map(|_| ShareHolder::new()).collect();
        let mut now_ms = 10_000;
        let mut asked_home = 0;
        let mut spent = Duration::ZERO;
        let mut least = limit;
        let mut sum_of_sums = 0.0;
        let mut most: f64 = 0.0;
        let rounds = 200;
        for round in 0..rounds {
            for (number, holder) in holders.iter_mut().enumerate() {
                let is_busy = (number as u64 + round / 20).is_multiple_of(3);
                let confirmed = Some(holder.confirmed_seq()).filter(|asked| *asked > 0);
                let ask = ShareRequest {
                    holder: number as u64,
                    request_seq: holder.begin_request(MonoMs(now_ms)),
                    demand: if is_busy { 100.0 } else { 1.0 },
                    in_use: 0.0,
                    confirmed_seq: confirmed,
                };
                let began = Instant::now();
                let grant = home.on_request(&ask, MonoMs(now_ms));
                spent += began.elapsed();
                asked_home += 1;
                if !(round * 31 + number as u64 * 17).is_multiple_of(10) {
                    holder.on_grant(&grant);
                }
            }
            now_ms += 500;
            let sum: f64 = holders
                .iter()
                .map(|holder| holder.share(MonoMs(now_ms)))
                .sum();
            most = most.max(sum);
            if round >= 20 {
                least = least.min(sum);
                sum_of_sums += sum;
            }
        }
        let given_out = limit * (1.0 - config.static_fraction);
        let mean = sum_of_sums / (rounds - 20) as f64;
        println!(
            "limit of {count} holders, 10% of answers lost, demand moving every 10 s: given out {:.1}% on average, {:.1}% at least, {:.1}% at most",
            mean / given_out * 100.0,
            least / given_out * 100.0,
            most / given_out * 100.0
        );
        points.push(Point {
            size: count as f64,
            value: spent.as_secs_f64() * 1e6 / f64::from(asked_home),
        });
    }
    print_line(
        "limits' home, one question about one limit, by holders",
        "us",
        &points,
    );
}

/// What a keyed request costs its home's record, by records kept.
fn ledger() {
    let mut points = Vec::new();
    for capacity in [1_000u64, 10_000, 100_000] {
        let mut ledger = Ledger::for_new_shard(ClockBounds::default(), capacity as usize);
        let wall_ms = WallMs(10_000_000);
        let began = Instant::now();
        let requests = capacity * 3;
        for number in 0..requests {
            let request = KeyedRequest {
                key: u128::from(number) * 0x9e37_79b9_7f4a_7c15,
                issued_ms: WallMs(1_000_000 + number),
                digest: number,
            };
            ledger.admit(request, wall_ms);
            ledger.mark_interrupted(request.key);
        }
        points.push(Point {
            size: capacity as f64 / 1_000.0,
            value: began.elapsed().as_secs_f64() * 1e6 / requests as f64,
        });
    }
    print_line(
        "key home, one request, by thousand records kept",
        "us",
        &points,
    );
}

#[tokio::main]
async fn main() {
    limits();
    ledger();
    links().await;
}
