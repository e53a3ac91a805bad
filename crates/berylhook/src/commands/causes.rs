//! `berylhook causes`: why requests were late or not answered, from the logs of
//! entries.
//!
//! Each request leaves one line at its end, which says how it ended and where its
//! time went. This counts those lines by the second of their end and by cause. A
//! line that is no record of a request's end is passed over; one that cannot be
//! read is counted, since a cut line at the end of a log is common.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::Context;
use indexmap::IndexMap;
use serde::Deserialize;
use serde_json::json;

use crate::args::Format;

/// Length of a timestamp up to its second: `2026-01-01 00:00:00`.
const SECOND_LENGTH: usize = 19;

/// The text of the line that ends a request.
const END_LINE: &str = "request ended";

/// A line of a log, as far as it matters here.
#[derive(Debug, Deserialize)]
struct Line {
    timestamp: String,
    text: String,
    #[serde(default)]
    kv: serde_json::Value,
}

/// How a request ended and where its time went.
#[derive(Debug, Deserialize)]
struct End {
    outcome: String,
    /// From its arrival to its first event or whole answer.
    first_ms: u64,
    /// Spent waiting for places at the entry.
    waited_ms: u64,
    longest_pause_ms: u64,
    goal_ms: u64,
    /// 0 for answers that come all at once.
    pause_goal_ms: u64,
}

impl End {
    /// The cause in a word or two.
    fn cause(&self) -> &str {
        let is_answered = matches!(self.outcome.as_str(), "streamed" | "answered");
        let is_late = self.first_ms > self.goal_ms;
        let has_paused = self.pause_goal_ms > 0 && self.longest_pause_ms > self.pause_goal_ms;
        match is_answered {
            false => &self.outcome,
            true if is_late && has_paused => "late, and paused",
            true if has_paused => "paused",
            true if is_late && self.waited_ms * 2 > self.first_ms => "late, waited here",
            true if is_late => "late at the target",
            true => "in goal",
        }
    }
}

/// Counts by cause, for one second.
type Causes = BTreeMap<String, u64>;

#[derive(Debug, Default)]
struct Report {
    by_second: IndexMap<String, Causes>,
    unreadable: u64,
}

impl Report {
    fn add(&mut self, text: &str) {
        let Ok(line) = serde_json::from_str::<Line>(text) else {
            self.unreadable += u64::from(!text.trim().is_empty());
            return;
        };
        if line.text != END_LINE {
            return;
        }
        let Ok(end) = End::deserialize(&line.kv) else {
            self.unreadable += 1;
            return;
        };
        let second: String = line.timestamp.chars().take(SECOND_LENGTH).collect();
        let causes = self.by_second.entry(second).or_default();
        *causes.entry(end.cause().to_owned()).or_default() += 1;
    }

    fn total(&self) -> Causes {
        let mut total = Causes::new();
        for (cause, count) in self.by_second.values().flatten() {
            *total.entry(cause.clone()).or_default() += count;
        }
        total
    }

    fn print(&self) {
        for (second, causes) in &self.by_second {
            println!("{second}  {}", line_of(causes));
        }
        println!("{:SECOND_LENGTH$}  {}", "all", line_of(&self.total()));
        if self.unreadable > 0 {
            println!("{} lines could not be read", self.unreadable);
        }
    }
}

fn line_of(causes: &Causes) -> String {
    let words = causes
        .iter()
        .map(|(cause, count)| format!("{cause} {count}"));
    words.collect::<Vec<_>>().join(";  ")
}

/// Prints the causes found in the logs.
pub(crate) fn run(logs: &[PathBuf], format: Format) -> anyhow::Result<ExitCode> {
    let mut report = Report::default();
    for path in logs {
        let shown = path.display();
        let remedy = || format!("{shown} cannot be read; name the log of an entry");
        let file = std::fs::File::open(path).with_context(remedy)?;
        for line in BufReader::new(file).lines() {
            report.add(&line.with_context(remedy)?);
        }
    }
    report.by_second.sort_keys();
    match format {
        Format::Text => report.print(),
        Format::Json => println!(
            "{:#}",
            json!({
                "by_second": report.by_second,
                "all": report.total(),
                "unreadable_lines": report.unreadable,
            })
        ),
    }
    Ok(ExitCode::SUCCESS)
}
