//! Measures how long an accepted change takes to be in force on every entry,
//! and what it costs the key-value service, with and without an outage that
//! begins as soon as the change is accepted.
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

const CHANGES: u64 = 10;

/// Waits for `version` on every entry; gives the time each took.
async fn wait_for(entries: &[EntryProcess], version: u64, since: Instant) -> Vec<Duration> {
    let line = format!("entry briefing-llm version {version} is in force");
    let mut took: Vec<Option<Duration>> = vec![None; entries.len()];
    while took.contains(&None) {
        for (slot, entry) in took.iter_mut().zip(entries) {
            if slot.is_none() && entry.daemon.output().contains(&line) {
                *slot = Some(since.elapsed());
            }
        }
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    took.into_iter().flatten().collect()
}

fn change(cluster: &Cluster, version: u64) {
    let text = catalogue().replace(
        "deadline_ms = 20000",
        &format!("deadline_ms = {}", 20_000 + version),
    );
    let file = IniFile::parse(&text).expect("the catalogue is INI");
    let section = file.section("entry briefing-llm").expect("it is there");
    store_section(&cluster.key_value, section, version);
    cluster
        .key_value
        .put_raw("berylhook/catalogue-head", b"change");
}

fn report(what: &str, mut took: Vec<Duration>) {
    took.sort();
    let at =
        |quantile: f64| took[((took.len() - 1) as f64 * quantile) as usize].as_secs_f64() * 1_000.0;
    println!(
        "  {what}: p50 {:.0} ms, p99 {:.0} ms, max {:.0} ms",
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
    let mut took = Vec::new();
    for version in 2..2 + CHANGES {
        let since = Instant::now();
        change(&cluster, version);
        took.extend(wait_for(&entries, version, since).await);
    }
    report("service up", took);
    let mut took = Vec::new();
    for version in 100..100 + CHANGES {
        let since = Instant::now();
        change(&cluster, version);
        until("one entry has it", || async {
            entries.iter().any(|entry| {
                let line = format!("entry briefing-llm version {version} is in force");
                entry.daemon.output().contains(&line)
            })
        })
        .await;
        cluster.key_value.set_outage(Outage::Refusing);
        took.extend(wait_for(&entries, version, since).await);
        cluster.key_value.set_outage(Outage::None);
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    report("outage once one entry has it", took);
}

#[tokio::main]
async fn main() {
    for count in [10, 30, 100] {
        measure(count).await;
    }
}
