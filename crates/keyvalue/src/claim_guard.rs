//! Delays claims after a restore of the store until the leases of previous eras have expired.

use std::sync::{Arc, Mutex};

use berylhook_core::era_guard::{ClaimDecision, EraGuard};
use berylhook_core::position::Position;
use berylhook_core::time::MonoMs;

use crate::kv::{KeyValue, KvError, Put, Txn};

/// The era of the store that a revision belongs to.
#[must_use]
pub fn era_of(revision: i64) -> u64 {
    Position::unpacked(u64::try_from(revision).unwrap_or(0)).era
}

/// Allows or delays the claims of keys that are bound to a lease; see [`EraGuard`].
pub struct ClaimGuard {
    /// Key of the marker, whose value is the last era in which claims were found to be safe.
    marker_key: Arc<str>,
    era_guard: Mutex<EraGuard>,
}

impl ClaimGuard {
    /// Creates a guard for leases of `lease_ms`, whose marker is stored under `marker_key`.
    #[must_use]
    pub fn new(marker_key: Arc<str>, lease_ms: u64) -> Self {
        Self {
            marker_key,
            era_guard: Mutex::new(EraGuard::new(lease_ms)),
        }
    }

    /// Whether claims are safe in `era`, the era in which the service responded: no lease holder
    /// of a previous era can still act on its lease.
    ///
    /// # Errors
    ///
    /// If the marker could not be read or written.
    ///
    /// # Panics
    ///
    /// Never: no holder of the lock panics.
    pub async fn may_claim(
        &self,
        key_value: &dyn KeyValue,
        era: u64,
        now_ms: MonoMs,
    ) -> Result<bool, KvError> {
        let marker = match era {
            0 => None,
            _ => self.read_marker(key_value).await?,
        };
        let decision = {
            let mut era_guard = self.era_guard.lock().expect("no holder panics");
            era_guard.decide(era, marker, now_ms)
        };
        match decision {
            ClaimDecision::Allow => Ok(true),
            ClaimDecision::Wait => Ok(false),
            ClaimDecision::AllowAndMark => {
                self.write_marker(key_value, era).await?;
                Ok(true)
            }
        }
    }

    async fn read_marker(&self, key_value: &dyn KeyValue) -> Result<Option<u64>, KvError> {
        let range = key_value.range(&self.marker_key).await?;
        let kv = range.kvs.iter().find(|kv| kv.key == self.marker_key);
        let text = kv.and_then(|kv| std::str::from_utf8(&kv.value).ok());
        // A marker that cannot be parsed proves nothing, and is overwritten later.
        Ok(text.and_then(|text| text.parse().ok()))
    }

    async fn write_marker(&self, key_value: &dyn KeyValue, era: u64) -> Result<(), KvError> {
        let put = Put {
            key: Arc::clone(&self.marker_key),
            value: era.to_string().into_bytes(),
            lease_id: 0,
        };
        let txn = Txn {
            puts: vec![put],
            ..Txn::default()
        };
        key_value.commit(txn).await.map(drop)
    }
}
