//! The agent beside a target: receives requests from entries, runs them on the target, and streams
//! the responses back.

use std::process::ExitCode;

use clap::Parser;

fn main() -> ExitCode {
    berylhook_agent::main(&berylhook_agent::Args::parse())
}
