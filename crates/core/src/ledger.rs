//! At most once: which keyed requests may run, and what a repeat gets.
//!
//! Each shard of idempotency keys has one home agent, which holds a lease on
//! the shard. The home keeps a record per key and one number, the *floor*: a
//! key issued at or before the floor that has no record may have run under a
//! former home, or its record was evicted, so it is answered "unknown" and
//! never run.
//!
//! Keys carry their issue time (`UUIDv7`). A home accepts a key only if its
//! issue time is at most [`ClockBounds::max_caller_skew_ms`] ahead of the home's own
//! wall clock. A successor sets its floor to its own wall clock plus that
//! allowance plus [`ClockBounds::max_agent_skew_ms`]. Every key that any former home
//! ever accepted is then at or below the floor, including one it accepted,
//! was frozen on, and runs only after waking. No assumption is made about
//! the callers' clocks, only about the agents'.
//!
//! A planned move exports the records and the floor, and the next home
//! imports them, so it refuses nothing.
//!
//! Eviction raises the floor to the evicted key's issue time, so bounded
//! memory costs "unknown" answers and never a second run.

use std::collections::BTreeSet;
use std::sync::Arc;

use indexmap::IndexMap;

use crate::time::WallMs;

/// Shards of an entry's keys, each with one home. More would spread load
/// better; fewer cost fewer writes when an agent fails.
pub const KEY_SHARDS: u32 = 16;

/// The shard of a key.
#[must_use]
#[allow(clippy::cast_possible_truncation)] // reduced below `KEY_SHARDS` first
pub fn shard_of(key: u128) -> u32 {
    (key % u128::from(KEY_SHARDS)) as u32
}

/// What is assumed of wall clocks.
#[derive(Clone, Copy, Debug)]
pub struct ClockBounds {
    /// How far ahead of the home a key's issue time may be.
    pub max_caller_skew_ms: u64,
    /// How far apart two agents' wall clocks may be.
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

/// A keyed request as it reaches its home.
#[derive(Clone, Copy, Debug)]
pub struct KeyedRequest {
    /// The idempotency key, with the account mixed in by the entry.
    pub key: u128,
    /// The issue time the key carries.
    pub issued_ms: WallMs,
    /// A digest of the request, to tell a repeat from a reused key.
    pub digest: u64,
}

/// A recorded answer, shared with whoever repeats the key.
#[derive(Debug, PartialEq, Eq)]
pub struct RecordedResponse {
    /// HTTP status of the target's answer.
    pub status: u16,
    /// Content type of the target's answer.
    pub content_type: String,
    /// The body, if it was small enough to keep.
    pub body: Option<Vec<u8>>,
}

/// What the home does with a keyed request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// First sight of the key: run it, then call [`Ledger::finish`].
    Run,
    /// The first run has not ended.
    InProgress,
    /// The first run ended with this answer.
    Repeat(Arc<RecordedResponse>),
    /// The first run was cut off, or may have happened where no record is.
    Unknown,
    /// The key's issue time is ahead of the clock: nothing ran.
    FromFuture,
    /// The key belongs to a different request: nothing ran.
    Reused,
}

#[derive(Debug)]
enum State {
    Running,
    Finished(Arc<RecordedResponse>),
    CutOff,
}

#[derive(Debug)]
struct Record {
    issued_ms: WallMs,
    digest: u64,
    state: State,
}

/// The records of one shard under one epoch of its home.
#[derive(Debug)]
pub struct Ledger {
    clocks: ClockBounds,
    floor_ms: WallMs,
    capacity: usize,
    records: IndexMap<u128, Record>,
    /// Records that are not of a running request, oldest first.
    evictable: BTreeSet<Evictable>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Evictable {
    issued_ms: WallMs,
    key: u128,
}

/// A record on its way from one home to the next. The answer's body stays
/// behind: a repeat at the new home learns the outcome only.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExportedRecord {
    /// The idempotency key.
    pub key: u128,
    /// The issue time it carries.
    pub issued_ms: WallMs,
    /// Digest of the request.
    pub digest: u64,
    /// Status of the recorded answer; nothing where the run was cut off.
    pub status: Option<u16>,
}

/// Everything a planned move hands over.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LedgerExport {
    /// Keys issued at or before this without a record have an unknown past.
    pub low_water_ms: WallMs,
    /// The records.
    pub records: Vec<ExportedRecord>,
}

impl Ledger {
    /// The ledger of a home that takes a shard over with no records.
    ///
    /// `capacity` bounds the records kept; 0 is taken as 1.
    #[must_use]
    pub fn takeover(clocks: ClockBounds, wall_ms: WallMs, capacity: usize) -> Self {
        let floor_ms = wall_ms + clocks.max_caller_skew_ms + clocks.max_agent_skew_ms;
        Self::with_floor(clocks, floor_ms, capacity)
    }

    /// The ledger of a shard that is proved never to have had a home.
    #[must_use]
    pub fn for_new_shard(clocks: ClockBounds, capacity: usize) -> Self {
        Self::with_floor(clocks, WallMs(0), capacity)
    }

    /// The ledger of a home that the former home handed its records to.
    #[must_use]
    pub fn import(clocks: ClockBounds, moved: &LedgerExport, capacity: usize) -> Self {
        let mut ledger = Self::with_floor(clocks, moved.low_water_ms, capacity);
        for record in &moved.records {
            ledger.import_record(*record);
        }
        ledger
    }

    fn with_floor(clocks: ClockBounds, floor_ms: WallMs, capacity: usize) -> Self {
        Self {
            clocks,
            floor_ms,
            capacity: capacity.max(1),
            records: IndexMap::new(),
            evictable: BTreeSet::new(),
        }
    }

    fn import_record(&mut self, moved: ExportedRecord) {
        let state = match moved.status {
            Some(status) => State::Finished(Arc::new(RecordedResponse {
                status,
                content_type: String::new(),
                body: None,
            })),
            None => State::CutOff,
        };
        self.records.insert(
            moved.key,
            Record {
                issued_ms: moved.issued_ms,
                digest: moved.digest,
                state,
            },
        );
        self.now_evictable(moved.key);
        if self.records.len() > self.capacity {
            self.evict();
        }
    }

    /// What to hand over: at most `most` records, the newest ones.
    ///
    /// Only to be called when nothing is running, after which this ledger
    /// must admit nothing any more.
    #[must_use]
    pub fn export(mut self, most: usize) -> LedgerExport {
        while self.evictable.len() > most {
            self.evict();
        }
        let records = self
            .evictable
            .iter()
            .filter_map(|at| self.records.get(&at.key).map(|record| record.moved(at.key)))
            .collect();
        LedgerExport {
            low_water_ms: self.floor_ms,
            records,
        }
    }

    /// Whether a first run has not ended.
    #[must_use]
    pub fn has_running_requests(&self) -> bool {
        self.evictable.len() < self.records.len()
    }

    /// The record of a key, without deciding anything about a new one.
    ///
    /// A home whose right has lapsed may still say what it knows.
    #[must_use]
    pub fn lookup(&self, request: &KeyedRequest) -> Option<Admission> {
        self.records
            .get(&request.key)
            .map(|record| record.answer_repeat(request.digest))
    }

    /// Keys issued at or before this have an unknown past.
    #[must_use]
    pub fn low_water_ms(&self) -> WallMs {
        self.floor_ms
    }

    /// Records held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no record is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Decides what to do with `request`; a [`Admission::Run`] is recorded.
    ///
    /// The caller has checked just before that its lease on the shard holds.
    pub fn admit(&mut self, request: KeyedRequest, wall_ms: WallMs) -> Admission {
        if let Some(known) = self.lookup(&request) {
            return known;
        }
        match request.issued_ms {
            issued if issued > wall_ms + self.clocks.max_caller_skew_ms => Admission::FromFuture,
            issued if issued <= self.floor_ms => Admission::Unknown,
            _ => self.record_run(request),
        }
    }

    fn record_run(&mut self, request: KeyedRequest) -> Admission {
        if self.records.len() >= self.capacity && !self.evict() {
            // Every record is of a running request: none can be dropped
            // without risking a second run, so this one is not admitted.
            return Admission::InProgress;
        }
        // The evicted record may have been issued after this key.
        if request.issued_ms <= self.floor_ms {
            return Admission::Unknown;
        }
        self.records.insert(
            request.key,
            Record {
                issued_ms: request.issued_ms,
                digest: request.digest,
                state: State::Running,
            },
        );
        Admission::Run
    }

    /// Records the whole answer of a run.
    pub fn finish(&mut self, key: u128, answer: Arc<RecordedResponse>) {
        self.end(key, State::Finished(answer));
    }

    /// Records that a run was cut off with its effect unknown.
    pub fn mark_interrupted(&mut self, key: u128) {
        self.end(key, State::CutOff);
    }

    fn end(&mut self, key: u128, state: State) {
        if let Some(record) = self.records.get_mut(&key) {
            record.state = state;
            self.now_evictable(key);
        }
    }

    fn now_evictable(&mut self, key: u128) {
        if let Some(record) = self.records.get(&key) {
            let issued_ms = record.issued_ms;
            self.evictable.insert(Evictable { issued_ms, key });
        }
    }

    /// Forgets a run that is proved not to have reached the target.
    pub fn discard_not_run(&mut self, key: u128) {
        self.records.swap_remove(&key);
    }

    /// Drops the oldest record that is not running; false if there is none.
    fn evict(&mut self) -> bool {
        let Some(oldest) = self.evictable.pop_first() else {
            return false;
        };
        self.floor_ms = self.floor_ms.max(oldest.issued_ms);
        self.records.swap_remove(&oldest.key);
        true
    }
}

impl Record {
    fn moved(&self, key: u128) -> ExportedRecord {
        let status = match &self.state {
            State::Finished(answer) => Some(answer.status),
            State::Running | State::CutOff => None,
        };
        ExportedRecord {
            key,
            issued_ms: self.issued_ms,
            digest: self.digest,
            status,
        }
    }

    fn answer_repeat(&self, digest: u64) -> Admission {
        match &self.state {
            _ if digest != self.digest => Admission::Reused,
            State::Running => Admission::InProgress,
            State::Finished(answer) => Admission::Repeat(Arc::clone(answer)),
            State::CutOff => Admission::Unknown,
        }
    }
}
