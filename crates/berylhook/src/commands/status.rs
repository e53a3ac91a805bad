//! `berylhook status`: prints the status of each entry.

use std::process::ExitCode;

use berylhook_peer::proto::{StatusQuestion, answer, question};
use serde_json::{Value, json};

use crate::args::{FleetArgs, Format};
use crate::commands::fleet::{block_on, request_all};

/// Exit code if some entries did not reply.
const EXIT_INCOMPLETE: u8 = 3;

/// Prints the status of each entry.
pub(crate) fn run(fleet: &FleetArgs, format: Format) -> anyhow::Result<ExitCode> {
    let kind = question::Kind::Status(StatusQuestion {});
    let replies = block_on(request_all(fleet, kind))??;
    let entries: Vec<Value> = replies
        .by_entry
        .iter()
        .filter_map(|(_, reply)| match &reply.kind {
            Some(answer::Kind::Status(status)) => serde_json::from_str(&status.json).ok(),
            _ => None,
        })
        .collect();
    match format {
        Format::Json => {
            let silent: Vec<_> = replies.silent.iter().map(ToString::to_string).collect();
            println!("{:#}", json!({"entries": entries, "silent": silent}));
        }
        Format::Text => {
            for entry in &entries {
                print!("{}", format_entry(entry));
            }
            for name in &replies.silent {
                println!("{name}  no answer; check that it runs and has the same key");
            }
        }
    }
    if replies.silent.is_empty() {
        Ok(ExitCode::SUCCESS)
    } else {
        Ok(ExitCode::from(EXIT_INCOMPLETE))
    }
}

fn format_entry(entry: &Value) -> String {
    use std::fmt::Write;
    let plain_text = |value: &Value| {
        value
            .as_str()
            .map_or_else(|| value.to_string(), str::to_owned)
    };
    let mut text = format!(
        "{}  ready {}  in flight {}  catalogue {} ({} items)\n",
        plain_text(&entry["name"]),
        entry["ready"],
        entry["in_flight"],
        plain_text(&entry["catalogue_digest"]),
        entry["catalogue_items"],
    );
    for service in entry["services"].as_array().into_iter().flatten() {
        for target in service["targets"].as_array().into_iter().flatten() {
            writeln!(
                text,
                "  {}  {}  {}  in flight {}  first token {} ms",
                plain_text(&service["name"]),
                plain_text(&target["agent"]),
                plain_text(&target["availability"]),
                target["in_flight"],
                target["first_token_ms"],
            )
            .expect("strings can be written to");
        }
    }
    text
}
