//! `berylhook causes`: why requests were late or not answered, from the logs of
//! entries.
//!
//! Each request leaves one line at its end, which says how it ended and where its
//! time went. This counts those lines by cause, and by the second of their end or by
//! what else was asked for. Collectors write a time and the VM's name before each
//! line, so a line is read from its first brace on. A line that is no record of a
//! request's end is passed over; one that cannot be read is counted, since a cut line at
//! the end of a log is common. Where many cannot be read the file is no such log, and
//! an empty table would hide that.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::{Context, bail};
use indexmap::IndexMap;
use serde::Deserialize;
use serde_json::json;

use crate::args::{CauseGroup, Format};

/// Length of a timestamp up to its second: `2026-01-01 00:00:00`.
const SECOND_LENGTH: usize = 19;

/// The text of the line that ends a request.
const END_LINE: &str = "request ended";

/// The text of the line that lays a target's end to a request that was there.
const TARGET_ENDED_LINE: &str = "a target ended with a request";

/// The text of the line that tells of a request that was not sent for it.
const HELD_BACK_LINE: &str = "a request was held back";

/// Of so many lines, one that cannot be read may be a cut one.
const MOST_UNREADABLE: u64 = 10;

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
    #[serde(default)]
    route: String,
    #[serde(default)]
    last_target: String,
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

/// Counts by cause, for one second, VM or the like.
type Causes = BTreeMap<String, u64>;

/// The VM that a collector names before a line: the last word before the brace.
fn vm_of(prefix: &str) -> &str {
    prefix.split_whitespace().last().unwrap_or("-")
}

#[derive(Debug)]
struct Report {
    group: CauseGroup,
    by_group: IndexMap<String, Causes>,
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
        let Ok(line) = serde_json::from_str::<Line>(record) else {
            self.unreadable += 1;
            return;
        };
        match (self.group, line.text.as_str()) {
            (CauseGroup::Digest, text) => return self.add_suspicion(text, &line.kv),
            (_, END_LINE) => {}
            _ => return,
        }
        let Ok(end) = End::deserialize(&line.kv) else {
            self.unreadable += 1;
            return;
        };
        let group = match self.group {
            CauseGroup::Second => line.timestamp.chars().take(SECOND_LENGTH).collect(),
            CauseGroup::Vm => vm_of(prefix).to_owned(),
            CauseGroup::Route => end.route.clone(),
            CauseGroup::Target => end.last_target.clone(),
            CauseGroup::Digest => return,
        };
        let causes = self.by_group.entry(group).or_default();
        *causes.entry(end.cause().to_owned()).or_default() += 1;
    }

    /// Counts a line that tells of a request under which targets end.
    fn add_suspicion(&mut self, text: &str, kv: &serde_json::Value) {
        let word = |name: &str| kv[name].as_str().unwrap_or("-").to_owned();
        let cause = match text {
            TARGET_ENDED_LINE => format!("ended {}", word("target")),
            HELD_BACK_LINE => "held back".to_owned(),
            _ => return,
        };
        let group = format!("{} of {}", word("digest"), word("account"));
        let causes = self.by_group.entry(group).or_default();
        *causes.entry(cause).or_default() += 1;
    }

    /// Whether what was read is a log of entries at all.
    fn check(&self) -> anyhow::Result<()> {
        let (lines, unreadable) = (self.lines, self.unreadable);
        if unreadable > MOST_UNREADABLE && unreadable * 10 > lines {
            bail!(
                "{unreadable} of {lines} lines could not be read; name logs of entries, \
                 with one JSON object a line behind whatever the collector writes first"
            );
        }
        Ok(())
    }

    fn total(&self) -> Causes {
        let mut total = Causes::new();
        for (cause, count) in self.by_group.values().flatten() {
            *total.entry(cause.clone()).or_default() += count;
        }
        total
    }

    fn print(&self) {
        for (group, causes) in &self.by_group {
            println!("{group:SECOND_LENGTH$}  {}", line_of(causes));
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
pub(crate) fn run(logs: &[PathBuf], group: CauseGroup, format: Format) -> anyhow::Result<ExitCode> {
    let mut report = Report::new(group);
    for path in logs {
        let shown = path.display();
        let remedy = || format!("{shown} cannot be read; name the log of an entry");
        let file = std::fs::File::open(path).with_context(remedy)?;
        for line in BufReader::new(file).lines() {
            report.add(&line.with_context(remedy)?);
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
