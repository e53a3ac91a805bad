//! The command line.

use std::path::PathBuf;

use clap::{Parser, Subcommand};

/// The agent beside a target of a berylhook load balancer.
#[derive(Debug, Parser)]
#[command(version, args_conflicts_with_subcommands = true)]
pub struct Args {
    /// The settings file.
    #[arg(required = true)]
    pub settings: Option<PathBuf>,
    /// Another way to run.
    #[command(subcommand)]
    pub command: Option<Command>,
}

/// Other ways to run.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Relay a controller's questions and orders to the model engine beside it.
    Relay {
        /// The settings file.
        settings: PathBuf,
    },
}
