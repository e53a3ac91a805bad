//! Plays seeds one after the other and prints what each broke.

use std::time::Duration;

use berylhook_soak::{SoakConfig, run_soak};
use clap::Parser;

/// Lines shown of what one seed broke; the first ones tell most.
const MOST_SHOWN: usize = 6;

/// Plays random faults on real entries and agents.
#[derive(Parser)]
struct Args {
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How many seeds, one after the other.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// How long faults come in each play, in seconds.
    #[arg(long, default_value_t = 20)]
    length_s: u64,
    /// Entries.
    #[arg(long, default_value_t = 3)]
    entries: usize,
    /// Callers.
    #[arg(long, default_value_t = 12)]
    callers: usize,
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let args = Args::parse();
    let mut failed = 0;
    for seed in args.seed..args.seed + args.seeds {
        let plan = SoakConfig {
            entry_count: args.entries,
            caller_count: args.callers,
            ..SoakConfig::new(seed, Duration::from_secs(args.length_s))
        };
        let report = run_soak(plan).await?;
        println!(
            "seed {seed}: {} requests, {} served, {} faults, {} broken",
            report.requests,
            report.served,
            report.faults.len(),
            report.violations.len()
        );
        for what in report.violations.iter().take(MOST_SHOWN) {
            println!("  broken: {what}");
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
