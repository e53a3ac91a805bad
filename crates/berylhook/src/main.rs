//! The load balancer's entry daemon and its operators' commands.

use std::process::ExitCode;

use clap::Parser;

fn main() -> ExitCode {
    berylhook::main(&berylhook::Args::parse())
}
