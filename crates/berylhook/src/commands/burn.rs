//! `berylhook burn`: reports how fast catalogue entries use up their error budgets.

mod html;

use std::process::ExitCode;
use std::sync::Arc;

use berylhook_core::burn::{SloCounts, burn_rate};
use berylhook_keyvalue::KeyValue;
use berylhook_operator::change::StoredCatalogue;
use berylhook_operator::document::{CATALOGUE_PREFIX, parse_version_key};
use berylhook_operator::{Catalogue, Objectives};
use berylhook_peer::proto::{BurnQuestion, BurnWindow, EntryBurn, answer, question};
use berylhook_platform::key_value::PlatformKeyValue;
use hdrhistogram::Histogram;
use hdrhistogram::serialization::Deserializer;
use indexmap::IndexMap;
use serde::Serialize;

use crate::args::{FleetArgs, ReportFormat};
use crate::commands::fleet::{FleetReplies, block_on, request_all};

/// The report on all catalogue entries.
#[derive(Serialize)]
pub(crate) struct Report {
    /// Reports by catalogue entry.
    pub(crate) entries: Vec<EntryReport>,
    /// Processes that did not reply; their traffic is not counted in the report.
    pub(crate) silent: Vec<Arc<str>>,
    /// Number of processes that replied.
    pub(crate) answered: usize,
}

/// The report on one catalogue entry.
#[derive(Serialize)]
pub(crate) struct EntryReport {
    /// Name of the catalogue entry.
    pub(crate) name: String,
    /// The service-level objectives; `None` if the catalogue could not be read.
    pub(crate) objectives: Option<Objectives>,
    /// Burn rates by window.
    pub(crate) windows: Vec<WindowReport>,
    /// Percentiles of the last minutes.
    pub(crate) first_token_ms: Percentiles,
    /// Percentiles of the last minutes.
    pub(crate) token_gap_ms: Percentiles,
}

/// One window of one entry.
#[derive(Serialize)]
pub(crate) struct WindowReport {
    /// Length of the window.
    pub(crate) length_s: u64,
    /// Requests in the window.
    pub(crate) requests: u64,
    /// Requests without a complete response.
    pub(crate) failed: u64,
    /// Burn rate of the availability objective. A burn rate is `None` if there were no events or
    /// the objective is not known.
    pub(crate) availability: Option<f64>,
    /// Burn rate of the objective for the time to the first token.
    pub(crate) first_token: Option<f64>,
    /// Burn rate of the objective for the time between two tokens.
    pub(crate) token_gap: Option<f64>,
}

/// Percentiles in milliseconds.
#[derive(Default, Serialize)]
pub(crate) struct Percentiles {
    /// Events counted.
    pub(crate) count: u64,
    /// Median.
    pub(crate) p50: f64,
    /// 95th percentile.
    pub(crate) p95: f64,
    /// 99th percentile.
    pub(crate) p99: f64,
}

#[derive(Default)]
struct MergedCounts {
    windows: IndexMap<u64, SloCounts>,
    first_token: Option<Histogram<u64>>,
    token_gap: Option<Histogram<u64>>,
}

/// Prints the report.
pub(crate) fn run(fleet: &FleetArgs, format: ReportFormat) -> anyhow::Result<ExitCode> {
    let report = block_on(async {
        let kind = question::Kind::Burn(BurnQuestion {});
        let replies = request_all(fleet, kind).await?;
        let catalogue = read_catalogue(&replies.settings.platform.key_value).await?;
        anyhow::Ok(build_report(&replies, &catalogue))
    })??;
    match format {
        ReportFormat::Text => print!("{}", format_text(&report)),
        ReportFormat::Json => println!("{:#}", serde_json::to_value(&report)?),
        ReportFormat::Html => print!("{}", html::render_page(&report)),
    }
    Ok(ExitCode::SUCCESS)
}

/// Reads the catalogue in force for its objectives. It is empty if the key-value service cannot be
/// reached; the report then has counts but no burn rates.
async fn read_catalogue(key_value: &str) -> anyhow::Result<Catalogue> {
    let mut stored = StoredCatalogue::default();
    let service = PlatformKeyValue::new(key_value)?;
    match service.range(CATALOGUE_PREFIX).await {
        Ok(range) => {
            for kv in range.kvs {
                if let Some(key) = parse_version_key(&kv.key) {
                    stored.add(key, &kv.value);
                }
            }
        }
        Err(error) => eprintln!("burn rates are not shown: {error}"),
    }
    Ok(Catalogue::parse(&stored.to_ini(0)).unwrap_or_default())
}

fn build_report(replies: &FleetReplies, catalogue: &Catalogue) -> Report {
    let mut merged: IndexMap<String, MergedCounts> = IndexMap::new();
    for (_, reply) in &replies.by_entry {
        if let Some(answer::Kind::Burn(burn)) = &reply.kind {
            for entry in &burn.entries {
                merged.entry(entry.entry.clone()).or_default().add(entry);
            }
        }
    }
    let entries = merged
        .into_iter()
        .map(|(name, merged)| {
            let entry = catalogue.entries.get(name.as_str());
            merged.report(name, entry.map(|entry| entry.objectives))
        })
        .collect();
    Report {
        entries,
        silent: replies.silent.clone(),
        answered: replies.by_entry.len(),
    }
}

impl MergedCounts {
    fn add(&mut self, burn: &EntryBurn) {
        for window in &burn.windows {
            let counts = slo_counts(window);
            self.windows
                .entry(window.length_s)
                .or_default()
                .add(&counts);
        }
        add_histogram(&mut self.first_token, &burn.first_token);
        add_histogram(&mut self.token_gap, &burn.token_gap);
    }

    fn report(self, name: String, objectives: Option<Objectives>) -> EntryReport {
        let windows = self
            .windows
            .iter()
            .map(|(length_s, counts)| window_report(*length_s, counts, objectives.as_ref()))
            .collect();
        EntryReport {
            name,
            objectives,
            windows,
            first_token_ms: percentiles(self.first_token.as_ref()),
            token_gap_ms: percentiles(self.token_gap.as_ref()),
        }
    }
}

fn slo_counts(window: &BurnWindow) -> SloCounts {
    SloCounts {
        requests: window.requests,
        failed: window.failed,
        first_tokens: window.first_tokens,
        slow_first_tokens: window.slow_first_tokens,
        gaps: window.gaps,
        slow_gaps: window.slow_gaps,
    }
}

fn window_report(
    length_s: u64,
    counts: &SloCounts,
    objectives: Option<&Objectives>,
) -> WindowReport {
    let rate = |bad, all, percent: fn(&Objectives) -> f64| {
        objectives.and_then(|objectives| burn_rate(bad, all, percent(objectives)))
    };
    let latency = |objectives: &Objectives| objectives.latency_percent;
    WindowReport {
        length_s,
        requests: counts.requests,
        failed: counts.failed,
        availability: rate(counts.failed, counts.requests, |objectives| {
            objectives.availability_percent
        }),
        first_token: rate(counts.slow_first_tokens, counts.first_tokens, latency),
        token_gap: rate(counts.slow_gaps, counts.gaps, latency),
    }
}

fn add_histogram(sum: &mut Option<Histogram<u64>>, bytes: &[u8]) {
    let Ok(histogram) = Deserializer::new().deserialize::<u64, _>(&mut &*bytes) else {
        return;
    };
    match sum {
        None => *sum = Some(histogram),
        Some(sum) => {
            // Both histograms have the same bounds, so adding cannot fail.
            let _ = sum.add(&histogram);
        }
    }
}

#[allow(clippy::cast_precision_loss)] // latencies of minutes fit
fn percentiles(histogram: Option<&Histogram<u64>>) -> Percentiles {
    let Some(histogram) = histogram else {
        return Percentiles::default();
    };
    let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
    Percentiles {
        count: histogram.len(),
        p50: at(0.5),
        p95: at(0.95),
        p99: at(0.99),
    }
}

/// Formats a window length, such as `5m` or `3d`.
pub(crate) fn format_length(length_s: u64) -> String {
    match length_s {
        0..3_600 => format!("{}m", length_s / 60),
        3_600..86_400 => format!("{}h", length_s / 3_600),
        _ => format!("{}d", length_s / 86_400),
    }
}

fn format_text(report: &Report) -> String {
    use std::fmt::Write;
    let mut text = String::new();
    let mut line = |arguments: std::fmt::Arguments<'_>| {
        text.write_fmt(arguments)
            .expect("strings can be written to");
        text.push('\n');
    };
    let format_rate = |rate: Option<f64>| rate.map_or("-".to_owned(), |rate| format!("{rate:.2}"));
    for entry in &report.entries {
        line(format_args!("{}", entry.name));
        line(format_args!(
            "  window  requests   failed  availability  first token  token gap"
        ));
        for window in &entry.windows {
            line(format_args!(
                "  {:>6}  {:>8}  {:>7}  {:>12}  {:>11}  {:>9}",
                format_length(window.length_s),
                window.requests,
                window.failed,
                format_rate(window.availability),
                format_rate(window.first_token),
                format_rate(window.token_gap),
            ));
        }
        for (label, times) in [
            ("first token", &entry.first_token_ms),
            ("token gap", &entry.token_gap_ms),
        ] {
            line(format_args!(
                "  {label}: p50 {:.1} ms, p95 {:.1} ms, p99 {:.1} ms of {}",
                times.p50, times.p95, times.p99, times.count
            ));
        }
    }
    line(format_args!("{} entries answered", report.answered));
    for name in &report.silent {
        line(format_args!(
            "{name} did not answer; its traffic is missing above"
        ));
    }
    text
}
