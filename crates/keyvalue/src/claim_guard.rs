//! Waiting out the leases of a former era before something is claimed.

use std::sync::{Arc, Mutex};

use berylhook_core::era_guard::{ClaimDecision, EraGuard};
use berylhook_core::position::Position;
use berylhook_core::time::MonoMs;

use crate::kv::{KeyValue, KvError, Put, Txn};

/// The era that a revision belongs to.
#[must_use]
pub fn era_of(revision: i64) -> u64 {
    Position::unpacked(u64::try_from(revision).unwrap_or(0)).era
}

/// Asked before each claim of something that a lease protects; see [`EraGuard`].
pub struct ClaimGuard {
    /// Where the mark stands that an era is settled.
    mark_key: Arc<str>,
    guard: Mutex<EraGuard>,
}

impl ClaimGuard {
    /// A gate for leases of that length, whose mark stands under that key.
    #[must_use]
    pub fn new(mark_key: Arc<str>, lease_ms: u64) -> Self {
        Self {
            mark_key,
            guard: Mutex::new(EraGuard::new(lease_ms)),
        }
    }

    /// Whether no holder of an era before this one, in which the service answered, can act
    /// on its lease any more.
    ///
    /// # Errors
    ///
    /// If the mark could not be read or written.
    ///
    /// # Panics
    ///
    /// Never: nothing that holds the lock panics.
    pub async fn may_claim(
        &self,
        key_value: &dyn KeyValue,
        era: u64,
        now_ms: MonoMs,
    ) -> Result<bool, KvError> {
        let mark = match era {
            0 => None,
            _ => self.mark(key_value).await?,
        };
        let verdict = {
            let mut guard = self.guard.lock().expect("no holder panics");
            guard.decide(era, mark, now_ms)
        };
        match verdict {
            ClaimDecision::Allow => Ok(true),
            ClaimDecision::Wait => Ok(false),
            ClaimDecision::AllowAndMark => {
                self.leave_mark(key_value, era).await?;
                Ok(true)
            }
        }
    }

    async fn mark(&self, key_value: &dyn KeyValue) -> Result<Option<u64>, KvError> {
        let range = key_value.range(&self.mark_key).await?;
        let kv = range.kvs.iter().find(|kv| kv.key == self.mark_key);
        let text = kv.and_then(|kv| std::str::from_utf8(&kv.value).ok());
        // A mark that cannot be read settles nothing, and is written anew.
        Ok(text.and_then(|text| text.parse().ok()))
    }

    async fn leave_mark(&self, key_value: &dyn KeyValue, era: u64) -> Result<(), KvError> {
        let put = Put {
            key: Arc::clone(&self.mark_key),
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
