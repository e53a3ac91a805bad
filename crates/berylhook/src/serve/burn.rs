//! Records how each catalogue entry keeps its objectives.

use std::sync::{Arc, Mutex};

use berylhook_core::burn::{BurnLog, SloCounts, WINDOWS_S};
use berylhook_core::time::MonoMs;
use berylhook_operator::Objectives;
use berylhook_peer::proto::{BurnAnswer, BurnWindow, EntryBurn};
use hdrhistogram::Histogram;
use hdrhistogram::serialization::{Serializer, V2Serializer};
use indexmap::IndexMap;

use super::node::lock;

/// Latencies are kept to three digits.
const DIGITS: u8 = 3;

/// Longest latency told apart: ten minutes, in microseconds.
const MAX_US: u64 = 600_000_000;

/// The histograms cover between one and two of these.
const HISTOGRAM_MS: u64 = 300_000;

/// What one request adds.
#[derive(Debug, Default)]
pub(crate) struct RequestTimes {
    first_token_us: Option<u64>,
    gaps_us: Vec<u32>,
    last_us: u64,
}

impl RequestTimes {
    /// A part with tokens arrived, `elapsed_us` after the request.
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

/// All entries' records in this process.
#[derive(Default)]
pub(crate) struct Burn {
    entries: Mutex<IndexMap<Arc<str>, Arc<Mutex<EntryLog>>>>,
}

struct EntryLog {
    log: BurnLog,
    first_token: Recent,
    token_gap: Recent,
}

/// A histogram of the last minutes: a full one and one being filled.
struct Recent {
    previous: Histogram<u32>,
    current: Histogram<u32>,
    began_ms: MonoMs,
}

impl Recent {
    fn new() -> Self {
        let empty = || {
            let mut histogram = Histogram::new_with_bounds(1, MAX_US, DIGITS)
                .expect("the bounds are constants that fit");
            histogram.auto(true);
            histogram
        };
        Self {
            previous: empty(),
            current: empty(),
            began_ms: MonoMs(0),
        }
    }

    fn record(&mut self, value_us: u64) {
        self.current.saturating_record(value_us);
    }

    fn turn(&mut self, now_ms: MonoMs) {
        if now_ms.since(self.began_ms) >= HISTOGRAM_MS {
            std::mem::swap(&mut self.previous, &mut self.current);
            self.current.reset();
            self.began_ms = now_ms;
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

impl Burn {
    /// A request ended.
    pub(crate) fn record(
        &self,
        entry: &Arc<str>,
        objectives: &Objectives,
        failed: bool,
        times: &RequestTimes,
        now_ms: MonoMs,
    ) {
        let counts = counts_of(objectives, failed, times);
        let log = self.log(entry);
        let mut log = lock(&log);
        log.log.record(&counts, now_ms);
        log.first_token.turn(now_ms);
        log.token_gap.turn(now_ms);
        if let Some(first_us) = times.first_token_us {
            log.first_token.record(first_us);
        }
        for gap_us in &times.gaps_us {
            log.token_gap.record(u64::from(*gap_us));
        }
    }

    fn log(&self, entry: &Arc<str>) -> Arc<Mutex<EntryLog>> {
        let mut entries = lock(&self.entries);
        let log = entries.entry(Arc::clone(entry)).or_insert_with(|| {
            Arc::new(Mutex::new(EntryLog {
                log: BurnLog::new(),
                first_token: Recent::new(),
                token_gap: Recent::new(),
            }))
        });
        Arc::clone(log)
    }

    /// The counts of an entry over the shortest window.
    pub(crate) fn recent(&self, now_ms: MonoMs) -> Vec<(Arc<str>, SloCounts)> {
        let entries = lock(&self.entries);
        entries
            .iter()
            .map(|(name, log)| (Arc::clone(name), lock(log).log.window(WINDOWS_S[0], now_ms)))
            .collect()
    }

    /// Everything, for the operators' report.
    pub(crate) fn answer(&self, now_ms: MonoMs) -> BurnAnswer {
        let entries = lock(&self.entries);
        let entries = entries
            .iter()
            .map(|(name, log)| entry_burn(name, &lock(log), now_ms))
            .collect();
        BurnAnswer { entries }
    }
}

fn entry_burn(name: &str, log: &EntryLog, now_ms: MonoMs) -> EntryBurn {
    let windows = WINDOWS_S
        .iter()
        .map(|length_s| window_message(*length_s, &log.log.window(*length_s, now_ms)))
        .collect();
    EntryBurn {
        entry: name.to_owned(),
        windows,
        first_token: log.first_token.to_bytes().into(),
        token_gap: log.token_gap.to_bytes().into(),
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

fn counts_of(objectives: &Objectives, failed: bool, times: &RequestTimes) -> SloCounts {
    let first_bound_us = objectives.first_token_ms * 1_000;
    let gap_bound_us = objectives.token_gap_ms * 1_000;
    let slow_gaps = times
        .gaps_us
        .iter()
        .filter(|gap_us| u64::from(**gap_us) > gap_bound_us)
        .count();
    let is_slow = times
        .first_token_us
        .is_some_and(|first_us| first_us > first_bound_us);
    SloCounts {
        requests: 1,
        failed: u64::from(failed),
        first_tokens: u64::from(times.first_token_us.is_some()),
        slow_first_tokens: u64::from(is_slow),
        gaps: times.gaps_us.len() as u64,
        slow_gaps: slow_gaps as u64,
    }
}
