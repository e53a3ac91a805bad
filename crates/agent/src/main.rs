//! Runs beside each target: takes orders from entries, gives them to the
//! target, and streams the answers back.

use std::process::ExitCode;

use clap::Parser;

fn main() -> ExitCode {
    berylhook_agent::main(&berylhook_agent::Args::parse())
}
