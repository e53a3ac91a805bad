//! The entry daemon and the operators' commands.
//!
//! `berylhook serve` accepts callers' requests, chooses a target for each and streams the response
//! back. Its routing decisions are made in `berylhook-core`; this package connects them to sockets,
//! threads and clocks. `berylhook entry` runs the daemon of `berylhook-entry`, which connects to
//! targets directly instead of through agents. The other commands are for operators.

mod args;
mod commands;
mod serve;

use std::path::Path;
use std::process::ExitCode;

use anyhow::Context;
use berylhook_operator::settings::EntrySettings;

pub use args::{Args, Command};

/// Runs the command given on the command line.
#[must_use]
pub fn main(args: &Args) -> ExitCode {
    match run(args) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("berylhook: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(args: &Args) -> anyhow::Result<ExitCode> {
    match &args.command {
        Command::Serve { settings } => {
            let settings = read_settings(settings)?;
            berylhook_logs::start_on_stderr(&settings.logs.level, settings.logs.json)?;
            let result = serve::run(settings);
            berylhook_logs::flush();
            result?;
            Ok(ExitCode::SUCCESS)
        }
        Command::Entry { settings } => {
            let result = berylhook_entry::run(settings);
            berylhook_logs::flush();
            result?;
            Ok(ExitCode::SUCCESS)
        }
        Command::Check { file } => commands::check::run(file),
        Command::Catalogue(command) => commands::catalogue::run(command),
        Command::Status { fleet, format } => commands::status::run(fleet, *format),
        Command::Causes { logs, by, format } => commands::causes::run(logs, *by, *format),
        Command::Quarantine(command) => commands::quarantine::run(command),
        Command::Burn { fleet, format } => commands::burn::run(fleet, *format),
    }
}

fn read_settings(path: &Path) -> anyhow::Result<EntrySettings> {
    let text = read(path)?;
    EntrySettings::parse(&text).with_context(|| path.display().to_string())
}

fn read(path: &Path) -> anyhow::Result<String> {
    std::fs::read_to_string(path).with_context(|| {
        let display = path.display();
        format!("{display} cannot be read; check the path and its permissions")
    })
}
