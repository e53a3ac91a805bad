//! The command line, as it is written; what it means is checked elsewhere.

use std::path::PathBuf;

use clap::{Parser, Subcommand};

/// A load balancer for expert-parallel model groups.
#[derive(Debug, Parser)]
#[command(version)]
pub struct Args {
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// The commands.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Take callers' requests until told to stop.
    Serve {
        /// The settings file of this entry.
        settings: PathBuf,
    },
    /// Check a settings or catalogue file and name what is wrong with it.
    Check {
        /// The file.
        file: PathBuf,
    },
}
