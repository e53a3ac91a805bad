//! The command line.

use std::path::PathBuf;

use clap::{Parser, Subcommand};

/// The agent that runs beside a target of a berylhook load balancer.
#[derive(Debug, Parser)]
#[command(version, args_conflicts_with_subcommands = true)]
pub struct Args {
    /// The settings file.
    #[arg(required = true)]
    pub settings: Option<PathBuf>,
    /// Run mode other than that of a target's agent.
    #[command(subcommand)]
    pub command: Option<Command>,
}

/// Run modes other than that of a target's agent.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Relay a leader's requests and commands to the model engine on the same VM.
    Relay {
        /// The settings file.
        settings: PathBuf,
    },
}
