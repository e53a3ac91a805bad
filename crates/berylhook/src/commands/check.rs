//! `berylhook check`: validates a settings or catalogue file.

use std::path::Path;
use std::process::ExitCode;

use anyhow::Context;
use berylhook_operator::settings::{AgentSettings, EntrySettings};
use berylhook_operator::{Catalogue, IniError, IniFile};

/// Checks the file, and prints a description of it or the first error.
pub(crate) fn run(path: &Path) -> anyhow::Result<ExitCode> {
    let display = path.display();
    let text = std::fs::read_to_string(path)
        .with_context(|| format!("{display} cannot be read; check the path and its permissions"))?;
    match describe(&text) {
        Ok(description) => {
            println!("{display}: {description}");
            Ok(ExitCode::SUCCESS)
        }
        Err(error) => {
            eprintln!("{display}: {error}");
            Ok(ExitCode::FAILURE)
        }
    }
}

/// Parses the file and describes it. Its sections show whether it is a settings file or a
/// catalogue.
fn describe(text: &str) -> Result<String, IniError> {
    let file = IniFile::parse(text)?;
    if file.section("entry").is_some() {
        let settings = EntrySettings::parse(text)?;
        return Ok(format!(
            "settings of entry {}, no errors",
            settings.node.name
        ));
    }
    if file.section("agent").is_some() {
        let settings = AgentSettings::parse(text)?;
        return Ok(format!(
            "settings of agent {}, no errors",
            settings.node.name
        ));
    }
    let catalogue = Catalogue::parse(text)?;
    Ok(format!(
        "catalogue of {} entries, {} accounts and {} groups, no errors",
        catalogue.entries.len(),
        catalogue.accounts.len(),
        catalogue.groups.len()
    ))
}
