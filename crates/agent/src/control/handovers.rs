//! Planned moves: handing shards over to the next home, with their records.
//!
//! One transaction gives the home key up and writes the records, so the next home either finds both
//! or neither. Until the key-value service has decided on it, the shard is closed: it admits no new
//! key, and its records do not change but by the end of a run. A transaction without a response may
//! still take effect seconds later, so it is repeated until one of the attempts has, and the shard
//! is not opened again.

use std::sync::Arc;
use std::time::Duration;

use berylhook_core::ledger::KEY_SHARDS;
use berylhook_keyvalue::{Compare, KvError, Put, Txn, TxnResponse, era_of};
use futures_util::future::join_all;
use tokio::time::{Instant, sleep};

use super::claims::{ShardClaims, StoredHome};
use crate::agent::lock;
use crate::handover::{ShardKeys, encode};
use crate::home_shards::RecordsExport;

/// Delay before a handover is tried again; it doubles with each attempt.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);

/// How long a stopping agent keeps a shard open while requests run in it. New keys are served
/// without a delay meanwhile.
const OPEN_WHILE_RUNNING: Duration = Duration::from_secs(1);

/// How long a stopping agent waits for the requests that run in a shard. The outcomes of those that
/// run longer are unknown to the next home until they have ended and are published.
const MAX_RUN_WAIT: Duration = Duration::from_secs(3);

/// Interval at which a stopping agent checks whether requests still run in a shard.
const RUN_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// What one attempt at a handover has shown.
enum AttemptResult {
    /// The service has recorded it.
    HandedOver,
    /// It had no effect, and never will.
    NoEffect(KvError),
    /// The condition did not hold, or there was no response.
    Undecided,
}

impl ShardClaims {
    /// Hands a shard over unless requests run in it.
    pub(super) async fn hand_over_if_idle(&self, shard: u32) {
        let Some(_guard) = self.lock_shard(shard).await else {
            return;
        };
        if lock(&self.agent.home_shards).close_if_idle(shard) {
            let handed_over_ms = self.agent.now_ms();
            self.handed_over_ms
                .borrow_mut()
                .insert(shard, handed_over_ms);
            self.hand_over(shard).await;
        }
    }

    /// Hands all shards over.
    pub(super) async fn hand_over_all(&self) {
        let started_at = Instant::now();
        let handovers = (0..KEY_SHARDS).map(|shard| self.hand_over_when_idle(shard, started_at));
        join_all(handovers).await;
    }

    /// Hands a shard over as soon as no request runs in it, or after [`MAX_RUN_WAIT`].
    async fn hand_over_when_idle(&self, shard: u32, started_at: Instant) {
        let Some(_guard) = self.lock_shard(shard).await else {
            return;
        };
        self.resolve_unconfirmed(shard).await;
        while !lock(&self.agent.home_shards).close_if_idle(shard) {
            let waited = started_at.elapsed();
            if waited >= OPEN_WHILE_RUNNING {
                lock(&self.agent.home_shards).close(shard);
            }
            if waited >= MAX_RUN_WAIT {
                break;
            }
            sleep(RUN_CHECK_INTERVAL).await;
        }
        self.hand_over(shard).await;
    }

    /// Hands a closed shard over. Returns when another agent can claim it, or when this agent has
    /// lost it or opened it again.
    async fn hand_over(&self, shard: u32) {
        let keys = ShardKeys::new(&self.agent.settings.service, shard);
        let mut may_take_effect = false;
        let mut retry_delay = MIN_RETRY_DELAY;
        loop {
            let export = lock(&self.agent.home_shards).export_closed(shard);
            let Some(export) = export else {
                return;
            };
            match self.try_hand_over(&keys, &export).await {
                AttemptResult::HandedOver => {
                    let records = export.records.records.len();
                    log::info!("shard {shard} handed over with {records} records");
                    let mut home_shards = lock(&self.agent.home_shards);
                    home_shards.on_published(&export);
                    return home_shards.retire(shard);
                }
                AttemptResult::NoEffect(error) if !may_take_effect && !self.is_stopping() => {
                    log::warn!("shard {shard} is kept, it could not be handed over: {error}");
                    return lock(&self.agent.home_shards).open(shard);
                }
                AttemptResult::NoEffect(error) => {
                    log::warn!("shard {shard} could not be handed over yet: {error}");
                }
                AttemptResult::Undecided => {
                    may_take_effect = true;
                    if self.is_given_up(&keys, &export).await {
                        return lock(&self.agent.home_shards).retire(shard);
                    }
                }
            }
            sleep(retry_delay).await;
            retry_delay = (retry_delay * 2).min(MAX_RETRY_DELAY);
        }
    }

    async fn try_hand_over(&self, keys: &ShardKeys, export: &RecordsExport) -> AttemptResult {
        let claim = export.claim;
        let txn = Txn {
            // If this agent's lease has expired, the key may already belong to a successor.
            compares: vec![Compare::ModRevision(Arc::clone(&keys.home), claim.revision)],
            puts: vec![Put {
                key: Arc::clone(&keys.handover),
                value: encode(&export.records, era_of(claim.revision)),
                lease_id: 0,
            }],
            deletes: vec![Arc::clone(&keys.home)],
        };
        match self.key_value.commit(txn).await {
            Ok(TxnResponse { succeeded, .. }) if succeeded => AttemptResult::HandedOver,
            Ok(_) => AttemptResult::Undecided,
            Err(error) if error.may_have_applied() => {
                log::warn!("the handover {} has no response: {error}", keys.handover);
                AttemptResult::Undecided
            }
            Err(error) => AttemptResult::NoEffect(error),
        }
    }

    /// Whether the service no longer records this agent's claim on the shard: an earlier attempt
    /// has taken effect, or the lease has expired.
    async fn is_given_up(&self, keys: &ShardKeys, export: &RecordsExport) -> bool {
        let shard = export.shard;
        let state = match self.read_shard(keys).await {
            Ok(state) => state,
            Err(error) => {
                log::warn!("shard {shard} could not be read during its handover: {error}");
                return false;
            }
        };
        let stored_claim = state.home.as_ref().map(StoredHome::claim);
        match stored_claim {
            Some(claim) if claim.id == export.claim.id => {
                lock(&self.agent.home_shards).set_home_revision(shard, claim.revision);
                false
            }
            _ => {
                log::info!("shard {shard} is no longer recorded as this agent's");
                true
            }
        }
    }
}
