//! At-most-once execution of requests with an idempotency key.
//!
//! Each shard of idempotency keys has a *home*: the one agent that holds the
//! lease on the shard. The home keeps a record per key and a *low-water mark*.
//! A key issued at or before the low-water mark that has no record may have run
//! under a previous home, or its record was evicted. Such a key gets the
//! outcome "unknown" and is never run.
//!
//! Keys carry their issue time (`UUIDv7`). A home accepts a key only if its
//! issue time is at most [`ClockBounds::max_caller_skew_ms`] ahead of the home's
//! wall clock. A new home sets its low-water mark to its own wall clock plus that
//! allowance plus [`ClockBounds::max_agent_skew_ms`]. Every key that any previous
//! home accepted was therefore issued at or before the mark. That includes a key
//! that a previous home accepted just before its process was paused and runs
//! after the pause. No assumption is made about the callers' clocks, only about
//! the agents' clocks.
//!
//! A home that has lost the shard may still learn, or know, how its runs ended.
//! The next home takes these responses from it later
//! ([`Ledger::add_earlier_records`]), and a key that was unknown is settled.
//!
//! In a planned move, the old home exports its records and low-water mark and
//! the next home imports them, so no key becomes "unknown".
//!
//! Evicting a record raises the low-water mark to the key's issue time. Bounded
//! memory can therefore cause "unknown" outcomes, but never a second run.

use std::collections::BTreeSet;
use std::sync::Arc;

use indexmap::IndexMap;

use crate::time::WallMs;

/// Number of key shards of a service, each with one home. More shards would spread the
/// load better; fewer shards need fewer writes when an agent fails.
pub const KEY_SHARDS: u32 = 16;

/// Returns the shard of a key.
#[must_use]
#[allow(clippy::cast_possible_truncation)] // the remainder is below `KEY_SHARDS`
pub fn shard_of(key: u128) -> u32 {
    (key % u128::from(KEY_SHARDS)) as u32
}

/// Bounds on the skew between wall clocks.
#[derive(Clone, Copy, Debug)]
pub struct ClockBounds {
    /// Most that a key's issue time may be ahead of the home's wall clock.
    pub max_caller_skew_ms: u64,
    /// Most that the wall clocks of two agents may differ.
    pub max_agent_skew_ms: u64,
}

impl Default for ClockBounds {
    fn default() -> Self {
        Self {
            max_caller_skew_ms: 500,
            max_agent_skew_ms: 500,
        }
    }
}

/// A request with an idempotency key, as its home receives it.
#[derive(Clone, Copy, Debug)]
pub struct KeyedRequest {
    /// The idempotency key, hashed together with the client account by the entry.
    pub key: u128,
    /// The issue time contained in the key.
    pub issued_ms: WallMs,
    /// Digest of the request, to distinguish a repeat from a reused key.
    pub digest: u64,
}

/// A target's response, recorded to be returned for repeats of the key.
#[derive(Debug, PartialEq, Eq)]
pub struct RecordedResponse {
    /// HTTP status of the response.
    pub status: u16,
    /// Content type of the response.
    pub content_type: String,
    /// The body, if it was small enough to be recorded.
    pub body: Option<Vec<u8>>,
}

/// The home's decision on a request with an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The key is new: run the request, then call [`Ledger::finish`],
    /// [`Ledger::mark_interrupted`] or [`Ledger::discard_not_run`].
    Run,
    /// The first run has not ended, or the ledger is full of running requests.
    InProgress,
    /// The first run ended with this response.
    Repeat(Arc<RecordedResponse>),
    /// The first run was interrupted, or may have happened without a record here.
    Unknown,
    /// The key's issue time is too far ahead of the clock; the request was not run.
    FromFuture,
    /// The key was first used for a different request; this request was not run.
    Reused,
}

#[derive(Debug)]
enum RunState {
    Running,
    Finished(Arc<RecordedResponse>),
    Interrupted,
}

#[derive(Debug)]
struct Record {
    issued_ms: WallMs,
    digest: u64,
    state: RunState,
}

/// The records of one key shard at its home.
#[derive(Debug)]
pub struct Ledger {
    clock_bounds: ClockBounds,
    low_water_ms: WallMs,
    capacity: usize,
    records: IndexMap<u128, Record>,
    /// Records of requests that are not running, oldest first.
    evictable: BTreeSet<Evictable>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Evictable {
    issued_ms: WallMs,
    key: u128,
}

/// A record that is handed over to the next home.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExportedRecord {
    /// The idempotency key.
    pub key: u128,
    /// The issue time contained in the key.
    pub issued_ms: WallMs,
    /// Digest of the request.
    pub digest: u64,
    /// The recorded response; `None` if the run was interrupted, or had not ended.
    pub response: Option<Arc<RecordedResponse>>,
}

/// The state that a home hands over to the next home in a planned move.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LedgerExport {
    /// Keys issued at or before this time that have no record may have run.
    pub low_water_ms: WallMs,
    /// Records of the requests that were run.
    pub records: Vec<ExportedRecord>,
}

impl Ledger {
    /// Creates the ledger of a home that takes over a shard without its records.
    ///
    /// `capacity` limits the number of records; 0 is treated as 1.
    #[must_use]
    pub fn takeover(clock_bounds: ClockBounds, wall_ms: WallMs, capacity: usize) -> Self {
        let low_water_ms =
            wall_ms + clock_bounds.max_caller_skew_ms + clock_bounds.max_agent_skew_ms;
        Self::with_low_water_mark(clock_bounds, low_water_ms, capacity)
    }

    /// Creates the ledger of a shard that provably never had a home.
    #[must_use]
    pub fn for_new_shard(clock_bounds: ClockBounds, capacity: usize) -> Self {
        Self::with_low_water_mark(clock_bounds, WallMs(0), capacity)
    }

    /// Creates the ledger of a home from the records that the previous home exported.
    #[must_use]
    pub fn import(clock_bounds: ClockBounds, exported: &LedgerExport, capacity: usize) -> Self {
        let mut ledger = Self::with_low_water_mark(clock_bounds, exported.low_water_ms, capacity);
        for record in &exported.records {
            ledger.import_record(record);
        }
        ledger
    }

    fn with_low_water_mark(
        clock_bounds: ClockBounds,
        low_water_ms: WallMs,
        capacity: usize,
    ) -> Self {
        Self {
            clock_bounds,
            low_water_ms,
            capacity: capacity.max(1),
            records: IndexMap::new(),
            evictable: BTreeSet::new(),
        }
    }

    fn import_record(&mut self, exported: &ExportedRecord) {
        let state = match &exported.response {
            Some(response) => RunState::Finished(Arc::clone(response)),
            None => RunState::Interrupted,
        };
        self.records.insert(
            exported.key,
            Record {
                issued_ms: exported.issued_ms,
                digest: exported.digest,
                state,
            },
        );
        self.mark_evictable(exported.key);
        if self.records.len() > self.capacity {
            self.evict();
        }
    }

    /// Exports the records for the next home: the newest `max_records` of those that have ended, and
    /// all of running requests, whose outcome the next home does not know.
    ///
    /// The caller must admit no request afterwards unless the export is discarded.
    #[must_use]
    pub fn export(&self, max_records: usize) -> LedgerExport {
        let omitted_count = self.evictable.len().saturating_sub(max_records);
        let newest_omitted = self.evictable.iter().take(omitted_count).next_back();
        let low_water_ms = newest_omitted.map_or(self.low_water_ms, |omitted| {
            self.low_water_ms.max(omitted.issued_ms)
        });
        let ended = self.evictable.iter().skip(omitted_count);
        let ended = ended.filter_map(|at| Some((at.key, self.records.get(&at.key)?)));
        let running = self.records.iter().filter(|(_, it)| it.is_running());
        let running = running.map(|(key, record)| (*key, record));
        LedgerExport {
            low_water_ms,
            records: ended
                .chain(running)
                .map(|(key, record)| record.exported(key))
                .collect(),
        }
    }

    /// Adds responses that a previous home recorded after it had lost the shard. They settle keys
    /// whose outcome is unknown here; no key that may run here is affected.
    pub fn add_earlier_records(&mut self, records: &[ExportedRecord]) {
        for record in records.iter().filter(|it| it.response.is_some()) {
            let is_settled = match self.records.get(&record.key) {
                Some(known) => !known.is_interrupted() || known.digest != record.digest,
                None => record.issued_ms > self.low_water_ms || self.records.len() >= self.capacity,
            };
            if !is_settled {
                self.import_record(record);
            }
        }
    }

    /// Whether any admitted request is still running.
    #[must_use]
    pub fn has_running_requests(&self) -> bool {
        self.evictable.len() < self.records.len()
    }

    /// Returns the decision on a repeat of a recorded key, or `None` if the key has no record.
    ///
    /// May also be used by a home whose lease has expired, as it never admits a new key.
    #[must_use]
    pub fn lookup(&self, request: &KeyedRequest) -> Option<Admission> {
        self.records
            .get(&request.key)
            .map(|record| record.admission_of_repeat(request.digest))
    }

    /// Keys issued at or before this time that have no record may have run.
    #[must_use]
    pub fn low_water_ms(&self) -> WallMs {
        self.low_water_ms
    }

    /// Number of records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there are no records.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Decides whether to run `request`, and records it as running if so.
    ///
    /// The caller must check just before the call that its lease on the shard is valid.
    pub fn admit(&mut self, request: KeyedRequest, wall_ms: WallMs) -> Admission {
        if let Some(known) = self.lookup(&request) {
            return known;
        }
        match request.issued_ms {
            issued if issued > wall_ms + self.clock_bounds.max_caller_skew_ms => {
                Admission::FromFuture
            }
            issued if issued <= self.low_water_ms => Admission::Unknown,
            _ => self.record_run(request),
        }
    }

    fn record_run(&mut self, request: KeyedRequest) -> Admission {
        if self.records.len() >= self.capacity && !self.evict() {
            // All records belong to running requests. Evicting any of them could
            // allow a second run, so the new request is not admitted.
            return Admission::InProgress;
        }
        // Evicting a record that was issued after this key raised the low-water mark.
        if request.issued_ms <= self.low_water_ms {
            return Admission::Unknown;
        }
        self.records.insert(
            request.key,
            Record {
                issued_ms: request.issued_ms,
                digest: request.digest,
                state: RunState::Running,
            },
        );
        Admission::Run
    }

    /// Records the complete response of a run.
    pub fn finish(&mut self, key: u128, response: Arc<RecordedResponse>) {
        self.end(key, RunState::Finished(response));
    }

    /// Records that a run was interrupted and its effect is unknown.
    pub fn mark_interrupted(&mut self, key: u128) {
        self.end(key, RunState::Interrupted);
    }

    fn end(&mut self, key: u128, state: RunState) {
        if let Some(record) = self.records.get_mut(&key) {
            record.state = state;
            self.mark_evictable(key);
        }
    }

    fn mark_evictable(&mut self, key: u128) {
        if let Some(record) = self.records.get(&key) {
            let issued_ms = record.issued_ms;
            self.evictable.insert(Evictable { issued_ms, key });
        }
    }

    /// Removes the record of a run that provably did not reach the target.
    pub fn discard_not_run(&mut self, key: u128) {
        self.records.swap_remove(&key);
    }

    /// Evicts the oldest record of a request that is not running; returns false if there
    /// is none.
    fn evict(&mut self) -> bool {
        let Some(oldest) = self.evictable.pop_first() else {
            return false;
        };
        self.low_water_ms = self.low_water_ms.max(oldest.issued_ms);
        self.records.swap_remove(&oldest.key);
        true
    }
}

impl Record {
    fn is_running(&self) -> bool {
        matches!(self.state, RunState::Running)
    }

    fn is_interrupted(&self) -> bool {
        matches!(self.state, RunState::Interrupted)
    }

    fn exported(&self, key: u128) -> ExportedRecord {
        let response = match &self.state {
            RunState::Finished(response) => Some(Arc::clone(response)),
            RunState::Running | RunState::Interrupted => None,
        };
        ExportedRecord {
            key,
            issued_ms: self.issued_ms,
            digest: self.digest,
            response,
        }
    }

    fn admission_of_repeat(&self, digest: u64) -> Admission {
        match &self.state {
            _ if digest != self.digest => Admission::Reused,
            RunState::Running => Admission::InProgress,
            RunState::Finished(response) => Admission::Repeat(Arc::clone(response)),
            RunState::Interrupted => Admission::Unknown,
        }
    }
}
