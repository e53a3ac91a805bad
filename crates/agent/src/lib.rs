//! The agent that runs beside a target.
//!
//! The target receives requests from its agent only. The agent decides whether a request may still
//! start ([`berylhook_core::start_gate`]) and, for requests that must not be retried, whether this
//! agent may run them ([`berylhook_core::ledger`]). These decisions do no I/O; the agent connects
//! them to sockets.
//!
//! The agent has two threads: one for control state (leases, load reports, signals), one for
//! traffic.

mod agent;
mod args;
mod control;
mod handover;
mod home_shards;
mod keyed;
mod run;
mod server;
mod target_incarnation;

use std::path::Path;
use std::process::ExitCode;

use anyhow::Context;
use berylhook_operator::settings::AgentSettings;
use berylhook_relay::settings::RelaySettings;

pub use args::{Args, Command};

/// Runs the agent until it receives a signal to stop.
#[must_use]
pub fn main(args: &Args) -> ExitCode {
    match start(args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("berylhook-agent: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn start(args: &Args) -> anyhow::Result<()> {
    match (&args.command, &args.settings) {
        (Some(Command::Relay { settings }), _) => run_relay(settings),
        (None, Some(settings)) => run_agent(settings),
        (None, None) => anyhow::bail!("no settings file is given; pass its path as the argument"),
    }
}

fn run_agent(path: &Path) -> anyhow::Result<()> {
    let text = read_settings(path)?;
    let settings = AgentSettings::parse(&text).with_context(|| path.display().to_string())?;
    berylhook_logs::start_on_stderr(&settings.logs.level, settings.logs.json)?;
    let result = agent::Agent::run(settings);
    berylhook_logs::flush();
    result
}

fn run_relay(path: &Path) -> anyhow::Result<()> {
    let text = read_settings(path)?;
    let settings = RelaySettings::parse(&text).with_context(|| path.display().to_string())?;
    berylhook_logs::start(&settings.log_level)?;
    berylhook_relay::run(&settings)
}

fn read_settings(path: &Path) -> anyhow::Result<String> {
    std::fs::read_to_string(path).with_context(|| {
        let shown = path.display();
        format!("{shown} cannot be read; check the path and its permissions")
    })
}
