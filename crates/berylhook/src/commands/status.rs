//! `berylhook status`.

use std::process::ExitCode;

use berylhook_peer::proto::{StatusQuestion, answer, question};
use serde_json::{Value, json};

use crate::args::{FleetArgs, Format};
use crate::commands::fleet::{ask_all, block_on};

/// Exit code where some entries did not answer.
const INCOMPLETE: u8 = 3;

/// Prints what each entry says of itself.
pub(crate) fn run(fleet: &FleetArgs, format: Format) -> anyhow::Result<ExitCode> {
    let kind = question::Kind::Status(StatusQuestion {});
    let answers = block_on(ask_all(fleet, kind))??;
    let entries: Vec<Value> = answers
        .answered
        .iter()
        .filter_map(|(_, answer)| match &answer.kind {
            Some(answer::Kind::Status(status)) => serde_json::from_str(&status.json).ok(),
            _ => None,
        })
        .collect();
    match format {
        Format::Json => {
            let silent: Vec<_> = answers.silent.iter().map(ToString::to_string).collect();
            println!("{:#}", json!({"entries": entries, "silent": silent}));
        }
        Format::Text => {
            for entry in &entries {
                print!("{}", text_of(entry));
            }
            for name in &answers.silent {
                println!("{name}  no answer; check that it runs and has the same key");
            }
        }
    }
    if answers.silent.is_empty() {
        Ok(ExitCode::SUCCESS)
    } else {
        Ok(ExitCode::from(INCOMPLETE))
    }
}

fn text_of(entry: &Value) -> String {
    use std::fmt::Write;
    let word = |value: &Value| {
        value
            .as_str()
            .map_or_else(|| value.to_string(), str::to_owned)
    };
    let mut text = format!(
        "{}  ready {}  in flight {}  catalogue {} ({} items)\n",
        word(&entry["name"]),
        entry["ready"],
        entry["in_flight"],
        word(&entry["catalogue_digest"]),
        entry["catalogue_items"],
    );
    for service in entry["services"].as_array().into_iter().flatten() {
        for target in service["targets"].as_array().into_iter().flatten() {
            writeln!(
                text,
                "  {}  {}  {}  in flight {}  first token {} ms",
                word(&service["name"]),
                word(&target["agent"]),
                word(&target["availability"]),
                target["in_flight"],
                target["first_token_ms"],
            )
            .expect("strings can be written to");
        }
    }
    text
}
