//! Records how well each catalogue entry meets its service-level objectives.

use std::sync::{Arc, Mutex};

use berylhook_core::burn::{BurnLog, SloCounts, WINDOWS_S};
use berylhook_core::time::MonoMs;
use berylhook_operator::Objectives;
use berylhook_peer::proto::{BurnAnswer, BurnWindow, EntryBurn};
use hdrhistogram::Histogram;
use hdrhistogram::serialization::{Serializer, V2Serializer};
use indexmap::IndexMap;

use super::node::lock;

/// Significant decimal digits of the latencies in the histograms.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Longest latency that the histograms resolve: ten minutes, in microseconds.
const MAX_LATENCY_US: u64 = 600_000_000;

/// Rotation interval of the histograms; a report covers between one and two intervals.
const HISTOGRAM_INTERVAL_MS: u64 = 300_000;

/// The latencies of one request.
#[derive(Debug, Default)]
pub(crate) struct RequestLatencies {
    first_token_us: Option<u64>,
    gaps_us: Vec<u32>,
    last_us: u64,
}

impl RequestLatencies {
    /// Records a chunk with tokens that arrived `elapsed_us` after the request.
    pub(crate) fn on_tokens(&mut self, elapsed_us: u64) {
        if self.first_token_us.is_none() {
            self.first_token_us = Some(elapsed_us);
        } else {
            let gap_us = elapsed_us.saturating_sub(self.last_us);
            self.gaps_us.push(u32::try_from(gap_us).unwrap_or(u32::MAX));
        }
        self.last_us = elapsed_us;
    }
}

/// The records of all catalogue entries in this process.
#[derive(Default)]
pub(crate) struct BurnRecorder {
    entries: Mutex<IndexMap<Arc<str>, Arc<Mutex<EntryRecord>>>>,
}

struct EntryRecord {
    counts: BurnLog,
    first_token: RecentHistogram,
    token_gap: RecentHistogram,
}

/// A histogram of the last minutes: that of the previous interval and the one being filled.
struct RecentHistogram {
    previous: Histogram<u32>,
    current: Histogram<u32>,
    started_ms: MonoMs,
}

impl RecentHistogram {
    fn new() -> Self {
        let empty = || {
            let mut histogram = Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
                .expect("the histogram bounds are valid constants");
            histogram.auto(true);
            histogram
        };
        Self {
            previous: empty(),
            current: empty(),
            started_ms: MonoMs(0),
        }
    }

    fn record(&mut self, value_us: u64) {
        self.current.saturating_record(value_us);
    }

    fn rotate(&mut self, now_ms: MonoMs) {
        if now_ms.since(self.started_ms) >= HISTOGRAM_INTERVAL_MS {
            std::mem::swap(&mut self.previous, &mut self.current);
            self.current.reset();
            self.started_ms = now_ms;
        }
    }

    fn to_bytes(&self) -> Vec<u8> {
        let mut sum = self.previous.clone();
        let mut bytes = Vec::new();
        let added = sum.add(&self.current);
        let written = V2Serializer::new().serialize(&sum, &mut bytes);
        if added.is_err() || written.is_err() {
            bytes.clear();
        }
        bytes
    }
}

impl BurnRecorder {
    /// Records the end of a request.
    pub(crate) fn record(
        &self,
        entry: &Arc<str>,
        objectives: &Objectives,
        failed: bool,
        times: &RequestLatencies,
        now_ms: MonoMs,
    ) {
        let counts = request_counts(objectives, failed, times);
        let record = self.entry_record(entry);
        let mut record = lock(&record);
        record.counts.record(&counts, now_ms);
        record.first_token.rotate(now_ms);
        record.token_gap.rotate(now_ms);
        if let Some(first_us) = times.first_token_us {
            record.first_token.record(first_us);
        }
        for gap_us in &times.gaps_us {
            record.token_gap.record(u64::from(*gap_us));
        }
    }

    fn entry_record(&self, entry: &Arc<str>) -> Arc<Mutex<EntryRecord>> {
        let mut entries = lock(&self.entries);
        let record = entries.entry(Arc::clone(entry)).or_insert_with(|| {
            Arc::new(Mutex::new(EntryRecord {
                counts: BurnLog::new(),
                first_token: RecentHistogram::new(),
                token_gap: RecentHistogram::new(),
            }))
        });
        Arc::clone(record)
    }

    /// The counts of each catalogue entry over the shortest window.
    pub(crate) fn recent_counts(&self, now_ms: MonoMs) -> Vec<(Arc<str>, SloCounts)> {
        let entries = lock(&self.entries);
        entries
            .iter()
            .map(|(name, record)| {
                (
                    Arc::clone(name),
                    lock(record).counts.window(WINDOWS_S[0], now_ms),
                )
            })
            .collect()
    }

    /// Counts and histograms of all catalogue entries, for the operators' report.
    pub(crate) fn reply(&self, now_ms: MonoMs) -> BurnAnswer {
        let entries = lock(&self.entries);
        let entries = entries
            .iter()
            .map(|(name, record)| entry_message(name, &lock(record), now_ms))
            .collect();
        BurnAnswer { entries }
    }
}

fn entry_message(name: &str, record: &EntryRecord, now_ms: MonoMs) -> EntryBurn {
    let windows = WINDOWS_S
        .iter()
        .map(|length_s| window_message(*length_s, &record.counts.window(*length_s, now_ms)))
        .collect();
    EntryBurn {
        entry: name.to_owned(),
        windows,
        first_token: record.first_token.to_bytes().into(),
        token_gap: record.token_gap.to_bytes().into(),
    }
}

fn window_message(length_s: u64, counts: &SloCounts) -> BurnWindow {
    BurnWindow {
        length_s,
        requests: counts.requests,
        failed: counts.failed,
        first_tokens: counts.first_tokens,
        slow_first_tokens: counts.slow_first_tokens,
        gaps: counts.gaps,
        slow_gaps: counts.slow_gaps,
    }
}

fn request_counts(objectives: &Objectives, failed: bool, times: &RequestLatencies) -> SloCounts {
    let first_token_objective_us = objectives.first_token_ms * 1_000;
    let gap_objective_us = objectives.token_gap_ms * 1_000;
    let slow_gaps = times
        .gaps_us
        .iter()
        .filter(|gap_us| u64::from(**gap_us) > gap_objective_us)
        .count();
    let is_slow = times
        .first_token_us
        .is_some_and(|first_us| first_us > first_token_objective_us);
    SloCounts {
        requests: 1,
        failed: u64::from(failed),
        first_tokens: u64::from(times.first_token_us.is_some()),
        slow_first_tokens: u64::from(is_slow),
        gaps: times.gaps_us.len() as u64,
        slow_gaps: slow_gaps as u64,
    }
}
