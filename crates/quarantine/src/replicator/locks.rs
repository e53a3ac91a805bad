//! Acquires and releases locks in the store, which are valid for all processes.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use berylhook_core::quarantine::FACT_TTL_MS;
use berylhook_platform::store::{Lease, Put, StoreError};

use super::Replicator;
use crate::stored;

/// The minimum duration of a lease in the platform's store.
const MIN_LEASE_MS: u64 = 1_000;

/// The reply to a request for a lock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LockReply {
    /// The lock is held under this lease.
    Granted { lease: Lease },
    /// Another run holds the lock.
    Taken,
    /// The store does not reply.
    StoreUnavailable,
}

impl Replicator {
    pub(super) async fn acquire_lock(&self, names: &[Arc<str>], ttl: Duration) -> LockReply {
        let result = self.try_lock(names, ttl).await;
        let is_store_unavailable = &self.tracker().is_store_unavailable;
        is_store_unavailable.store(result.is_err(), Ordering::Relaxed);
        match result {
            Ok(Some(lease)) => LockReply::Granted { lease },
            Ok(None) => LockReply::Taken,
            Err(error) => {
                log::warn!(lock:? = names, reason:% = error; "cannot acquire a lock");
                LockReply::StoreUnavailable
            }
        }
    }

    async fn try_lock(
        &self,
        names: &[Arc<str>],
        ttl: Duration,
    ) -> Result<Option<Lease>, StoreError> {
        let mut store = self.store();
        let keys = names
            .iter()
            .map(|name| format!("{}{name}", stored::LOCK_PREFIX).into());
        let keys: Vec<Arc<str>> = keys.collect();
        for key in &keys {
            if store.item(key).await?.is_some() {
                return Ok(None);
            }
        }
        let ttl_ms = u64::try_from(ttl.as_millis()).unwrap_or(u64::MAX);
        let lease = store.grant(ttl_ms.clamp(MIN_LEASE_MS, FACT_TTL_MS)).await?;
        let puts = keys.into_iter().map(|key| Put {
            key,
            value: self.cluster.name().as_bytes().to_vec(),
            expected: None,
            lease: Some(lease),
        });
        let puts: Vec<Put> = puts.collect();
        let result = match store.commit(&puts).await {
            Ok(_) => store.items(stored::PREFIX).await,
            Err(error) => Err(error),
        };
        match result {
            Ok((items, position)) => {
                self.tracker().apply_items(&items, position);
                Ok(Some(lease))
            }
            Err(error) => {
                // The lock may have been acquired despite the error. Ending the lease releases it.
                self.release_lock(lease).await;
                match error {
                    StoreError::Conflict => Ok(None),
                    error => Err(error),
                }
            }
        }
    }

    pub(super) async fn release_lock(&self, lease: Lease) {
        if self.tracker().is_of_previous_era(lease.era) {
            return;
        }
        if let Err(error) = self.store().revoke(lease).await {
            log::info!(reason:% = error; "cannot release a lock; it expires with its lease");
        }
    }
}
