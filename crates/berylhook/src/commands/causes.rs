//! `berylhook causes`: counts why requests were late or not answered, from the logs of entries.
//!
//! Each request logs one line when it ends, with its outcome and where its time was spent. Those
//! lines are counted by cause, grouped by the second of their end or by another property. Log
//! collectors write a time and the VM's name before each line, so a line is parsed from its first
//! brace on. A line that does not record the end of a request is skipped. A line that cannot be
//! parsed is counted, since a truncated line at the end of a log is common. If many lines cannot be
//! parsed, the file is not the log of an entry, and the command fails, as an empty table would hide
//! that.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::{Context, bail};
use indexmap::IndexMap;
use serde::Deserialize;
use serde_json::json;

use crate::args::{CauseGroup, Format};

/// Length of a timestamp up to and including its second: `2026-01-01 00:00:00`.
const TIMESTAMP_LEN: usize = 19;

/// Text of the log line about the end of a request.
const REQUEST_ENDED_TEXT: &str = "request ended";

/// Text of the log line that attributes a target's exit to a request it was running.
const TARGET_EXIT_TEXT: &str = "a target ended with a request";

/// Text of the log line about a request that the quarantine rejected.
const REJECTED_TEXT: &str = "a request was held back";

/// Up to this many lines that cannot be parsed are accepted in any log, since they may be
/// truncated.
const MAX_UNREADABLE_LINES: u64 = 10;

/// The fields of a log line that are used here.
#[derive(Debug, Deserialize)]
struct LogLine {
    timestamp: String,
    text: String,
    #[serde(default)]
    kv: serde_json::Value,
}

/// The outcome of a request and where its time was spent.
#[derive(Debug, Deserialize)]
struct RequestEnd {
    outcome: String,
    /// Time from the arrival of the request to its first event or complete response.
    first_ms: u64,
    /// Time spent at the entry waiting for a slot at a target.
    waited_ms: u64,
    longest_pause_ms: u64,
    /// Objective for the time to the first event or the complete response.
    goal_ms: u64,
    /// Objective for the longest pause between events; 0 for responses that arrive in one piece.
    pause_goal_ms: u64,
    #[serde(default)]
    route: String,
    #[serde(default)]
    last_target: String,
}

impl RequestEnd {
    /// The name of the cause.
    fn cause(&self) -> &str {
        let has_response = matches!(self.outcome.as_str(), "streamed" | "answered");
        let is_late = self.first_ms > self.goal_ms;
        let is_paused = self.pause_goal_ms > 0 && self.longest_pause_ms > self.pause_goal_ms;
        match has_response {
            false => &self.outcome,
            true if is_late && is_paused => "late, and paused",
            true if is_paused => "paused",
            true if is_late && self.waited_ms * 2 > self.first_ms => "late, waited here",
            true if is_late => "late at the target",
            true => "in goal",
        }
    }
}

/// Number of requests by cause, within one group.
type CauseCounts = BTreeMap<String, u64>;

/// The VM that the log collector names before a line: the last word before the brace.
fn vm_name(prefix: &str) -> &str {
    prefix.split_whitespace().last().unwrap_or("-")
}

#[derive(Debug)]
struct Report {
    group: CauseGroup,
    by_group: IndexMap<String, CauseCounts>,
    lines: u64,
    unreadable: u64,
}

impl Report {
    fn new(group: CauseGroup) -> Self {
        Self {
            group,
            by_group: IndexMap::new(),
            lines: 0,
            unreadable: 0,
        }
    }

    fn add(&mut self, text: &str) {
        if text.trim().is_empty() {
            return;
        }
        self.lines += 1;
        let (prefix, record) = text.split_at(text.find('{').unwrap_or(0));
        let Ok(line) = serde_json::from_str::<LogLine>(record) else {
            self.unreadable += 1;
            return;
        };
        match (self.group, line.text.as_str()) {
            (CauseGroup::Digest | CauseGroup::Part, text) => {
                return self.add_quarantine_line(text, &line.kv);
            }
            (_, REQUEST_ENDED_TEXT) => {}
            _ => return,
        }
        let Ok(end) = RequestEnd::deserialize(&line.kv) else {
            self.unreadable += 1;
            return;
        };
        let group = match self.group {
            CauseGroup::Second => line.timestamp.chars().take(TIMESTAMP_LEN).collect(),
            CauseGroup::Vm => vm_name(prefix).to_owned(),
            CauseGroup::Route => end.route.clone(),
            CauseGroup::Target => end.last_target.clone(),
            CauseGroup::Digest | CauseGroup::Part => return,
        };
        let causes = self.by_group.entry(group).or_default();
        *causes.entry(end.cause().to_owned()).or_default() += 1;
    }

    /// Counts a line about a request that was running on a target when it exited, or was rejected
    /// for that.
    fn add_quarantine_line(&mut self, text: &str, kv: &serde_json::Value) {
        let text_field = |name: &str| kv[name].as_str().unwrap_or("-").to_owned();
        let cause = match text {
            TARGET_EXIT_TEXT => format!("ended {}", text_field("target")),
            REJECTED_TEXT => "held back".to_owned(),
            _ => return,
        };
        let groups = match self.group {
            CauseGroup::Part => text_field("parts").split(',').map(str::to_owned).collect(),
            _ => vec![format!(
                "{} of {}",
                text_field("digest"),
                text_field("account")
            )],
        };
        for group in groups {
            let causes = self.by_group.entry(group).or_default();
            *causes.entry(cause.clone()).or_default() += 1;
        }
    }

    /// Returns an error if the lines read are not from the log of an entry.
    fn check(&self) -> anyhow::Result<()> {
        let (lines, unreadable) = (self.lines, self.unreadable);
        if unreadable > MAX_UNREADABLE_LINES && unreadable * 10 > lines {
            bail!(
                "{unreadable} of {lines} lines could not be read; name logs of entries, \
                 with one JSON object per line after the collector's prefix"
            );
        }
        Ok(())
    }

    fn total(&self) -> CauseCounts {
        let mut total = CauseCounts::new();
        for (cause, count) in self.by_group.values().flatten() {
            *total.entry(cause.clone()).or_default() += count;
        }
        total
    }

    fn print(&self) {
        for (group, causes) in &self.by_group {
            println!("{group:TIMESTAMP_LEN$}  {}", format_counts(causes));
        }
        println!("{:TIMESTAMP_LEN$}  {}", "all", format_counts(&self.total()));
        if self.unreadable > 0 {
            println!("{} lines could not be read", self.unreadable);
        }
    }
}

fn format_counts(causes: &CauseCounts) -> String {
    let words = causes
        .iter()
        .map(|(cause, count)| format!("{cause} {count}"));
    words.collect::<Vec<_>>().join(";  ")
}

/// Prints the counts of the causes found in the logs.
pub(crate) fn run(logs: &[PathBuf], group: CauseGroup, format: Format) -> anyhow::Result<ExitCode> {
    let mut report = Report::new(group);
    for path in logs {
        let display = path.display();
        let error_context = || format!("{display} cannot be read; name the log of an entry");
        let file = std::fs::File::open(path).with_context(error_context)?;
        for line in BufReader::new(file).lines() {
            report.add(&line.with_context(error_context)?);
        }
    }
    report.check()?;
    report.by_group.sort_keys();
    match format {
        Format::Text => report.print(),
        Format::Json => println!(
            "{:#}",
            json!({
                (format!("by_{}", group.name())): report.by_group,
                "all": report.total(),
                "unreadable_lines": report.unreadable,
            })
        ),
    }
    Ok(ExitCode::SUCCESS)
}
