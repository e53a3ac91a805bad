//! The command line.

use std::path::PathBuf;

use clap::Parser;

/// The agent beside a target of a berylhook load balancer.
#[derive(Debug, Parser)]
#[command(version)]
pub struct Args {
    /// The settings file.
    pub settings: PathBuf,
}
