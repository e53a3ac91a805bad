//! Runs the soak test for a range of seeds and prints the violations of each.

use std::time::Duration;

use berylhook_soak::{SoakConfig, run_soak};
use clap::Parser;

/// Maximum number of violations printed per seed; the first ones are usually the most telling.
const MAX_VIOLATIONS_SHOWN: usize = 6;

/// Runs real entries and agents under random faults.
#[derive(Parser)]
struct Args {
    /// First seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of consecutive seeds.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Time during which faults are started in each run, in seconds.
    #[arg(long, default_value_t = 20)]
    length_s: u64,
    /// Number of entries.
    #[arg(long, default_value_t = 3)]
    entries: usize,
    /// Number of callers.
    #[arg(long, default_value_t = 12)]
    callers: usize,
    /// Poison requests have one part of their prompts in common and differ in all else.
    #[arg(long)]
    poison_part: bool,
    /// Only planned work: series of stops of all entries or agents, beside reloads and new
    /// configurations.
    #[arg(long)]
    stop_series: bool,
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let args = Args::parse();
    let mut failed = 0;
    for seed in args.seed..args.seed + args.seeds {
        let config = SoakConfig {
            entry_count: args.entries,
            caller_count: args.callers,
            has_poison_part: args.poison_part,
            has_stop_series: args.stop_series,
            ..SoakConfig::new(seed, Duration::from_secs(args.length_s))
        };
        let report = run_soak(config).await?;
        println!(
            "seed {seed}: {} requests, {} served, {} faults, {} broken",
            report.requests,
            report.served,
            report.faults.len(),
            report.violations.len()
        );
        for violation in report.violations.iter().take(MAX_VIOLATIONS_SHOWN) {
            println!("  broken: {violation}");
        }
        if !report.violations.is_empty() {
            failed += 1;
            report.faults.iter().for_each(|fault| println!("  {fault}"));
        }
    }
    anyhow::ensure!(
        failed == 0,
        "{failed} of {} seeds broke something",
        args.seeds
    );
    Ok(())
}
