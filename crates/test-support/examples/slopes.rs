//! Prints the slopes that docs/CAPACITY.md uses: the cost of each role by its size, as a straight
//! line through the measured sizes with its largest deviation.
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

/// A value measured at one size.
struct Point {
    size: f64,
    value: f64,
}

/// Prints the points and the least-squares line through them.
fn print_fit(title: &str, unit: &str, points: &[Point]) {
    let count = points.len() as f64;
    let mean_size = points.iter().map(|point| point.size).sum::<f64>() / count;
    let mean_value = points.iter().map(|point| point.value).sum::<f64>() / count;
    let sum_of_products: f64 = points
        .iter()
        .map(|point| (point.size - mean_size) * (point.value - mean_value))
        .sum();
    let sum_of_squares: f64 = points
        .iter()
        .map(|point| (point.size - mean_size).powi(2))
        .sum();
    let slope = sum_of_products / sum_of_squares;
    let intercept = mean_value - slope * mean_size;
    let largest_residual = points
        .iter()
        .map(|point| (point.value - intercept - slope * point.size).abs())
        .fold(0.0, f64::max);
    let values: Vec<_> = points
        .iter()
        .map(|point| format!("{}: {:.3}", point.size, point.value))
        .collect();
    println!("{title} [{unit}]");
    println!("  {}", values.join(", "));
    println!("  {intercept:.3} + {slope:.5} each, largest deviation {largest_residual:.3}");
}

/// Cost of an idle entry by the number of connected agents.
async fn measure_idle_connections() {
    let mut cpu = Vec::new();
    let mut memory = Vec::new();
    let mut agent_cpu = Vec::new();
    for count in [4, 16, 48] {
        let cluster = Cluster::start().await;
        let engine = Engine::start(EngineConfig::default()).await;
        let agents: Vec<_> = (0..count)
            .map(|index| {
                let name = format!("target-{index}");
                cluster.start_agent(&name, "briefing-llm", engine.server.address)
            })
            .collect();
        let entry = cluster.start_entry("entry-1");
        until_serving(&entry, "briefing-llm").await;
        tokio::time::sleep(Duration::from_secs(2)).await;
        let cpu_before = entry.daemon.cpu_ms();
        let agents_cpu_before: u64 = agents.iter().map(|agent| agent.daemon.cpu_ms()).sum();
        let started = Instant::now();
        tokio::time::sleep(Duration::from_secs(6)).await;
        let wall_ms = started.elapsed().as_millis() as f64;
        let percent = |ms: u64| ms as f64 / wall_ms * 100.0;
        let agents_cpu_after: u64 = agents.iter().map(|agent| agent.daemon.cpu_ms()).sum();
        let size = f64::from(count);
        cpu.push(Point {
            size,
            value: percent(entry.daemon.cpu_ms() - cpu_before),
        });
        memory.push(Point {
            size,
            value: entry.daemon.resident_kb() as f64,
        });
        agent_cpu.push(Point {
            size,
            value: percent(agents_cpu_after - agents_cpu_before) / size,
        });
        if count == 48 {
            println!(
                "agent, idle: {} kB resident",
                agents[0].daemon.resident_kb()
            );
        }
    }
    print_fit("entry, idle, by connected agents", "% of a core", &cpu);
    print_fit("entry, idle, by connected agents", "kB resident", &memory);
    print_fit(
        "agent, idle, by agents of the entry",
        "% of a core",
        &agent_cpu,
    );
}

/// Cost of one share request at the home of a limit (the process that divides the limit into
/// shares), and the part of a limit that stays unallocated while demand moves and one message in
/// ten is lost.
fn measure_limits() {
    let mut points = Vec::new();
    for count in [3u64, 30, 300] {
        let config = ShareConfig::default();
        let limit = 10_000.0;
        let mut home = LimitHome::takeover(config, limit, 1, MonoMs(0));
        let mut holders: Vec<ShareHolder> = (0..count).map(|_| ShareHolder::new()).collect();
        let mut now_ms = 10_000;
        let mut request_count = 0;
        let mut busy_time = Duration::ZERO;
        let mut min_allocated = limit;
        let mut allocated_total = 0.0;
        let mut max_allocated: f64 = 0.0;
        let rounds = 200;
        for round in 0..rounds {
            for (index, holder) in holders.iter_mut().enumerate() {
                let is_busy = (index as u64 + round / 20).is_multiple_of(3);
                let confirmed = Some(holder.confirmed_seq()).filter(|seq| *seq > 0);
                let request = ShareRequest {
                    holder: index as u64,
                    request_seq: holder.begin_request(MonoMs(now_ms)),
                    demand: if is_busy { 100.0 } else { 1.0 },
                    in_use: 0.0,
                    confirmed_seq: confirmed,
                };
                let started = Instant::now();
                let grant = home.on_request(&request, MonoMs(now_ms));
                busy_time += started.elapsed();
                request_count += 1;
                if !(round * 31 + index as u64 * 17).is_multiple_of(10) {
                    holder.on_grant(&grant);
                }
            }
            now_ms += 500;
            let sum: f64 = holders
                .iter()
                .map(|holder| holder.share(MonoMs(now_ms)))
                .sum();
            max_allocated = max_allocated.max(sum);
            if round >= 20 {
                min_allocated = min_allocated.min(sum);
                allocated_total += sum;
            }
        }
        let allocatable = limit * (1.0 - config.static_fraction);
        let mean = allocated_total / (rounds - 20) as f64;
        println!(
            "limit of {count} holders, 10% of replies lost, demand moving every 10 s: {:.1}% allocated on average, {:.1}% at least, {:.1}% at most",
            mean / allocatable * 100.0,
            min_allocated / allocatable * 100.0,
            max_allocated / allocatable * 100.0
        );
        points.push(Point {
            size: count as f64,
            value: busy_time.as_secs_f64() * 1e6 / f64::from(request_count),
        });
    }
    print_fit(
        "home of a limit, one share request, by holders",
        "us",
        &points,
    );
}

/// Cost of one keyed request at the home of its key (the process that owns the key's shard), by the
/// number of records in the ledger.
fn measure_ledger() {
    let mut points = Vec::new();
    for capacity in [1_000u64, 10_000, 100_000] {
        let mut ledger = Ledger::for_new_shard(ClockBounds::default(), capacity as usize);
        let wall_ms = WallMs(10_000_000);
        let started = Instant::now();
        let requests = capacity * 3;
        for index in 0..requests {
            let request = KeyedRequest {
                key: u128::from(index) * 0x9e37_79b9_7f4a_7c15,
                issued_ms: WallMs(1_000_000 + index),
                digest: index,
            };
            ledger.admit(request, wall_ms);
            ledger.mark_interrupted(request.key);
        }
        points.push(Point {
            size: capacity as f64 / 1_000.0,
            value: started.elapsed().as_secs_f64() * 1e6 / requests as f64,
        });
    }
    print_fit(
        "home of a key, one request, by thousand ledger records",
        "us",
        &points,
    );
}

#[tokio::main]
async fn main() {
    measure_limits();
    measure_ledger();
    measure_idle_connections().await;
}
