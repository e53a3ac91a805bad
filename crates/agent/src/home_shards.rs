//! The key shards that this agent is home to: it alone may run their keyed requests.
//!
//! No keyed request may run twice when this agent freezes, its lease expires, another agent takes
//! a shard over, and this agent resumes. Three rules ensure that together: the right to start a
//! run expires on this agent's own monotonic clock ([`HeldLease`]); a key is accepted only if it
//! was issued up to the wall-clock time read *before* that check, plus the allowed clock skew; and
//! the successor's low-water mark lies above the issue time of every key that could have been
//! accepted that way.

use std::sync::Arc;

use berylhook_core::lease::HeldLease;
use berylhook_core::ledger::{
    Admission, ExportedRecord, KeyedRequest, Ledger, LedgerExport, RecordedResponse,
};
use berylhook_core::outcome::Refusal;
use berylhook_core::time::{MonoMs, WallMs};
use indexmap::IndexMap;
use tokio::sync::watch;

use crate::handover::MAX_EXPORTED_RECORDS;
use crate::keyed::RunRecorder;

/// A shard that this agent is home to.
struct HomeShard {
    claim: HomeClaim,
    ledger: Ledger,
    /// Whether the shard is being handed over. Requests with a new key wait until it has another
    /// home or is open again.
    is_closed: bool,
    /// Number of changes that waiting requests may wait for: ended runs, and the end of a handover.
    changes: watch::Sender<u64>,
    /// Value of `changes` at the export of the records that the next home can read.
    published_changes: Option<u64>,
}

/// Records of a shard that this agent has lost, until the next home can read all of them.
struct RetiredShard {
    shard: u32,
    ledger: Ledger,
    /// Number of changes, which goes on from that of the shard.
    changes: u64,
    /// Value of `changes` at the export of the records that the next home can read.
    published_changes: Option<u64>,
}

/// A claim as the key-value service has recorded it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct HomeClaim {
    /// Random ID of the claim.
    pub(crate) id: u64,
    /// Revision of the home key.
    pub(crate) revision: i64,
}

/// All shards that this agent is home to, and the last known homes of the others.
#[derive(Default)]
pub(crate) struct HomeShards {
    lease: Option<HeldLease>,
    shards: IndexMap<u32, HomeShard>,
    /// Shards that were lost or handed over with unpublished records, by claim ID.
    retired: IndexMap<u64, RetiredShard>,
    other_homes: IndexMap<u32, Arc<str>>,
}

/// Records for the next home of a shard.
pub(crate) struct RecordsExport {
    pub(crate) shard: u32,
    pub(crate) claim: HomeClaim,
    pub(crate) records: LedgerExport,
    changes: u64,
}

/// How this agent handles a keyed request.
pub(crate) enum KeyedDecision {
    Run(RunRecorder),
    Repeat {
        response: Arc<RecordedResponse>,
        /// Whether this agent's lease is valid. A record stays true without it: no successor runs a
        /// key that a previous home may have accepted.
        is_lease_valid: bool,
    },
    Unknown,
    NotHome {
        home: Arc<str>,
    },
    Refused(Refusal),
}

/// The next step of a keyed request.
pub(crate) enum KeyedStep {
    Decided(KeyedDecision),
    /// Decide again after the next change of the shard.
    AwaitChange(watch::Receiver<u64>),
    Claim,
}

impl HomeShard {
    fn notify_waiting_requests(&self) {
        self.changes.send_modify(|count| *count += 1);
    }

    fn export(&self, shard: u32) -> RecordsExport {
        RecordsExport {
            shard,
            claim: self.claim,
            records: self.ledger.export(MAX_EXPORTED_RECORDS),
            changes: *self.changes.borrow(),
        }
    }
}

impl RetiredShard {
    fn has_unpublished_records(&self) -> bool {
        !self.ledger.is_empty() && self.published_changes != Some(self.changes)
    }
}

impl HomeShards {
    /// Records that the lease was granted or renewed by a call sent at `sent_ms`.
    pub(crate) fn on_lease_confirmed(&mut self, ttl_ms: u64, sent_ms: MonoMs) {
        match &mut self.lease {
            Some(lease) => lease.on_renewed(sent_ms),
            None => self.lease = Some(HeldLease::granted(ttl_ms, sent_ms)),
        }
    }

    /// Whether the lease is missing or due for renewal.
    pub(crate) fn should_renew(&self, now_ms: MonoMs) -> bool {
        self.lease.is_none_or(|lease| lease.should_renew(now_ms))
    }

    /// Drops the lease, without which no new key is admitted: the key-value service has reported it
    /// as expired.
    pub(crate) fn drop_lease(&mut self) {
        self.lease = None;
    }

    /// Adds a shard that this agent has claimed.
    pub(crate) fn add_claimed(&mut self, shard: u32, claim: HomeClaim, ledger: Ledger) {
        self.other_homes.swap_remove(&shard);
        self.shards.insert(
            shard,
            HomeShard {
                claim,
                ledger,
                is_closed: false,
                changes: watch::Sender::new(0),
                published_changes: None,
            },
        );
    }

    /// Records that another agent is home to the shard.
    pub(crate) fn record_other_home(&mut self, shard: u32, home_agent: Arc<str>) {
        self.retire(shard);
        self.other_homes.insert(shard, home_agent);
    }

    /// The last known other home of the shard; empty if there is none.
    pub(crate) fn other_home(&self, shard: u32) -> Arc<str> {
        self.other_homes.get(&shard).cloned().unwrap_or_default()
    }

    /// The shards that this agent is home to.
    pub(crate) fn owned_shards(&self) -> Vec<u32> {
        self.shards.keys().copied().collect()
    }

    /// Whether a keyed request runs, also in a shard that this agent has lost.
    pub(crate) fn has_running_requests(&self) -> bool {
        let ledgers = self.shards.values().map(|home| &home.ledger);
        let retired = self.retired.values().map(|retired| &retired.ledger);
        ledgers.chain(retired).any(Ledger::has_running_requests)
    }

    /// Whether this agent is home to the shard.
    pub(crate) fn is_home_to(&self, shard: u32) -> bool {
        self.shards.contains_key(&shard)
    }

    /// Closes the shard for a handover if no request runs in it; returns whether it is idle. A shard
    /// that this agent is not home to is idle.
    pub(crate) fn close_if_idle(&mut self, shard: u32) -> bool {
        match self.shards.get_mut(&shard) {
            Some(home) if home.ledger.has_running_requests() => false,
            Some(home) => {
                home.is_closed = true;
                true
            }
            None => true,
        }
    }

    /// Closes the shard for a handover: no new key is admitted until it is opened again.
    pub(crate) fn close(&mut self, shard: u32) {
        if let Some(home) = self.shards.get_mut(&shard) {
            home.is_closed = true;
        }
    }

    /// Opens a closed shard again. The caller must know that no handover of it can take effect.
    pub(crate) fn open(&mut self, shard: u32) {
        if let Some(home) = self.shards.get_mut(&shard) {
            home.is_closed = false;
            home.notify_waiting_requests();
        }
    }

    /// The records of a closed shard; `None` if this agent is no longer home to it.
    pub(crate) fn export_closed(&self, shard: u32) -> Option<RecordsExport> {
        let home = self.shards.get(&shard)?;
        debug_assert!(home.is_closed, "an open shard may admit keys meanwhile");
        Some(home.export(shard))
    }

    /// The records of all shards that this agent is home to.
    pub(crate) fn export_all(&self) -> Vec<RecordsExport> {
        let recorded = self.shards.iter().filter(|(_, it)| !it.ledger.is_empty());
        recorded.map(|(shard, home)| home.export(*shard)).collect()
    }

    /// The records of lost shards that the next homes cannot read yet.
    pub(crate) fn export_retired(&self) -> Vec<RecordsExport> {
        let retired = self.retired.iter();
        let unpublished = retired.filter(|(_, it)| it.has_unpublished_records());
        unpublished
            .map(|(claim_id, retired)| RecordsExport {
                shard: retired.shard,
                claim: HomeClaim {
                    id: *claim_id,
                    revision: 0,
                },
                records: retired.ledger.export(MAX_EXPORTED_RECORDS),
                changes: retired.changes,
            })
            .collect()
    }

    /// The next home can read these records.
    pub(crate) fn on_published(&mut self, export: &RecordsExport) {
        let home = self.shards.get_mut(&export.shard);
        if let Some(home) = home.filter(|home| home.claim.id == export.claim.id) {
            home.published_changes = Some(export.changes);
        }
        if let Some(retired) = self.retired.get_mut(&export.claim.id) {
            retired.published_changes = Some(export.changes);
        }
        self.drop_published();
    }

    /// Adds records that a previous home of the shard has published; returns false if this agent is
    /// not home to it.
    pub(crate) fn add_earlier_records(&mut self, shard: u32, records: &[ExportedRecord]) -> bool {
        let Some(home) = self.shards.get_mut(&shard) else {
            return false;
        };
        home.ledger.add_earlier_records(records);
        true
    }

    /// Updates the revision of the home key after it was read.
    pub(crate) fn set_home_revision(&mut self, shard: u32, revision: i64) {
        if let Some(home) = self.shards.get_mut(&shard) {
            home.claim.revision = revision;
        }
    }

    /// Removes a shard that this agent is no longer home to, and keeps the records that the next
    /// home cannot read yet. Requests that wait for the shard are sent to the next home.
    pub(crate) fn retire(&mut self, shard: u32) {
        let Some(home) = self.shards.swap_remove(&shard) else {
            return;
        };
        let retired = RetiredShard {
            shard,
            ledger: home.ledger,
            changes: *home.changes.borrow(),
            published_changes: home.published_changes,
        };
        self.retired.insert(home.claim.id, retired);
        self.drop_published();
    }

    /// Retires all shards, and returns which they were.
    pub(crate) fn retire_all(&mut self) -> Vec<u32> {
        let shards = self.owned_shards();
        for shard in &shards {
            self.retire(*shard);
        }
        shards
    }

    fn drop_published(&mut self) {
        self.retired.retain(|_, retired| {
            retired.has_unpublished_records() || retired.ledger.has_running_requests()
        });
    }

    /// Changes the ledger in which the run is recorded; returns whether the shard was lost since the
    /// run began, so that the change has to be published.
    pub(crate) fn update_ledger(
        &mut self,
        run: &RunRecorder,
        change: impl FnOnce(&mut Ledger, u128),
    ) -> bool {
        let home = self.shards.get_mut(&run.shard);
        if let Some(home) = home.filter(|home| home.claim.id == run.claim_id) {
            change(&mut home.ledger, run.key);
            home.notify_waiting_requests();
            return false;
        }
        if let Some(retired) = self.retired.get_mut(&run.claim_id) {
            change(&mut retired.ledger, run.key);
            retired.changes += 1;
        }
        true
    }

    /// Decides on a keyed request as far as that is possible now.
    pub(crate) fn next_step(
        &mut self,
        shard: u32,
        request: KeyedRequest,
        wall_ms: WallMs,
        now_ms: MonoMs,
    ) -> KeyedStep {
        let is_lease_valid = self.lease.is_some_and(|lease| lease.is_valid(now_ms));
        let Some(home) = self.shards.get_mut(&shard) else {
            return KeyedStep::Claim;
        };
        let admission = match home.ledger.lookup(&request) {
            Some(known) => known,
            None if is_lease_valid && home.is_closed => {
                return KeyedStep::AwaitChange(home.changes.subscribe());
            }
            None if is_lease_valid => home.ledger.admit(request, wall_ms),
            None => {
                let home = Arc::default();
                return KeyedStep::Decided(KeyedDecision::NotHome { home });
            }
        };
        match admission {
            Admission::Run => KeyedStep::Decided(KeyedDecision::Run(RunRecorder {
                shard,
                claim_id: home.claim.id,
                key: request.key,
            })),
            Admission::InProgress => KeyedStep::AwaitChange(home.changes.subscribe()),
            Admission::Repeat(response) => KeyedStep::Decided(KeyedDecision::Repeat {
                response,
                is_lease_valid,
            }),
            Admission::Unknown => KeyedStep::Decided(KeyedDecision::Unknown),
            Admission::FromFuture => {
                KeyedStep::Decided(KeyedDecision::Refused(Refusal::KeyFromFuture))
            }
            Admission::Reused => KeyedStep::Decided(KeyedDecision::Refused(Refusal::KeyReused)),
        }
    }
}
