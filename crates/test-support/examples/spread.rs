//! Measures how long an accepted change takes to be in force on every entry, and the load on the
//! key-value service, with and without an outage that begins as soon as one entry has the change.
//!
//!     cargo build --release --workspace --bins
//!     cargo run --release -p berylhook-test-support --example spread

#![allow(clippy::cast_precision_loss)] // counts of one run are small
#![allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // quantile positions

use std::time::{Duration, Instant};

use berylhook_operator::IniFile;
use berylhook_test_support::Outage;
use berylhook_test_support::cluster::{
    Cluster, EntryProcess, catalogue, store_section, until, until_ready,
};

const CHANGE_COUNT: u64 = 10;

/// Waits until `version` is in force on every entry, and returns the time that each entry took.
async fn wait_until_in_force(
    entries: &[EntryProcess],
    version: u64,
    since: Instant,
) -> Vec<Duration> {
    let line = format!("entry briefing-llm version {version} is in force");
    let mut delays: Vec<Option<Duration>> = vec![None; entries.len()];
    while delays.contains(&None) {
        for (delay, entry) in delays.iter_mut().zip(entries) {
            if delay.is_none() && entry.daemon.output().contains(&line) {
                *delay = Some(since.elapsed());
            }
        }
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    delays.into_iter().flatten().collect()
}

fn apply_change(cluster: &Cluster, version: u64) {
    let text = catalogue().replace(
        "deadline_ms = 20000",
        &format!("deadline_ms = {}", 20_000 + version),
    );
    let file = IniFile::parse(&text).expect("the catalogue is INI");
    let section = file
        .section("entry briefing-llm")
        .expect("the catalogue has the entry");
    store_section(&cluster.key_value, section, version);
    cluster
        .key_value
        .put_raw("berylhook/catalogue-head", b"change");
}

fn print_delays(title: &str, mut delays: Vec<Duration>) {
    delays.sort();
    let at = |quantile: f64| {
        delays[((delays.len() - 1) as f64 * quantile) as usize].as_secs_f64() * 1_000.0
    };
    println!(
        "  {title}: p50 {:.0} ms, p99 {:.0} ms, max {:.0} ms",
        at(0.5),
        at(0.99),
        at(1.0)
    );
}

async fn measure(count: usize) {
    let cluster = Cluster::start().await;
    let entries: Vec<_> = (0..count)
        .map(|number| cluster.start_entry(&format!("entry-{number:03}")))
        .collect();
    for entry in &entries {
        until_ready(entry).await;
    }
    tokio::time::sleep(Duration::from_secs(3)).await;
    let cpu_before: u64 = entries.iter().map(|entry| entry.daemon.cpu_ms()).sum();
    let calls_before = cluster.key_value.calls();
    let idle = Duration::from_secs(5);
    tokio::time::sleep(idle).await;
    let cpu: u64 = entries.iter().map(|entry| entry.daemon.cpu_ms()).sum();
    let memory_kb = entries
        .iter()
        .map(|entry| entry.daemon.resident_kb())
        .max()
        .unwrap_or(0);
    println!(
        "{count} entries, idle: {:.1} calls/s to the service, {:.2}% of a core and {memory_kb} kB an entry",
        (cluster.key_value.calls() - calls_before) as f64 / idle.as_secs_f64(),
        (cpu - cpu_before) as f64 / idle.as_millis() as f64 / count as f64 * 100.0,
    );
    let mut delays = Vec::new();
    for version in 2..2 + CHANGE_COUNT {
        let since = Instant::now();
        apply_change(&cluster, version);
        delays.extend(wait_until_in_force(&entries, version, since).await);
    }
    print_delays("service up", delays);
    let mut delays = Vec::new();
    for version in 100..100 + CHANGE_COUNT {
        let since = Instant::now();
        apply_change(&cluster, version);
        until("one entry has the change", || async {
            entries.iter().any(|entry| {
                let line = format!("entry briefing-llm version {version} is in force");
                entry.daemon.output().contains(&line)
            })
        })
        .await;
        cluster.key_value.set_outage(Outage::Refusing);
        delays.extend(wait_until_in_force(&entries, version, since).await);
        cluster.key_value.set_outage(Outage::None);
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    print_delays("outage once one entry has the change", delays);
}

#[tokio::main]
async fn main() {
    for count in [10, 30, 100] {
        measure(count).await;
    }
}
