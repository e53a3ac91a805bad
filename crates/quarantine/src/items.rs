//! Applies items of the store to the state of this process.
//!
//! A store that was restored from an older copy lacks later writes. What this process knows better
//! is written again: holds that are missing or outdated in the store are stored, and removed holds
//! that are present again are removed.

use berylhook_core::digest::RequestDigest;
use berylhook_core::position::Position;
use berylhook_core::quarantine::{Facts, Hold, SurvivedRun, TargetExit};
use berylhook_core::time::{MonoMs, WallMs};
use berylhook_platform::store::KeyedItem;

use crate::replicator::Task;
use crate::stored::{self, StoredItem};
use crate::suspects::{SuspectTracker, lock_mutex};

impl SuspectTracker {
    /// The position at which the request's hold was last written in the store; `None` if it has
    /// none.
    pub(crate) fn hold_position(&self, digest: RequestDigest) -> Option<Position> {
        lock_mutex(&self.stored_holds).position(digest)
    }

    /// Whether the store has been restored since this era.
    pub(crate) fn is_of_previous_era(&self, era: u64) -> bool {
        lock_mutex(&self.stored_holds).era() > era
    }

    /// Holds that are missing in the store, to be written again.
    pub(crate) fn missing_holds(&self) -> Vec<(RequestDigest, Hold)> {
        let missing = lock_mutex(&self.stored_holds).missing();
        let state = self.lock();
        let missing_holds = missing.into_iter().filter_map(|digest| {
            let hold = state.quarantine.hold(digest)?;
            Some((digest, hold.clone()))
        });
        missing_holds.collect()
    }

    fn known_hold(&self, digest: RequestDigest) -> Option<Hold> {
        self.lock().quarantine.hold(digest).cloned()
    }

    /// Applies the request's hold that the store has at this position.
    pub(crate) fn apply_stored_hold(
        &self,
        digest: RequestDigest,
        hold: Option<Hold>,
        position: Position,
    ) {
        let known_hold = self.known_hold(digest);
        let is_new =
            lock_mutex(&self.stored_holds).apply(digest, hold.as_ref(), known_hold, position);
        if is_new {
            self.apply_hold(digest, hold);
        }
    }

    /// Applies all items of the quarantine, from a full read of the store at this position.
    pub fn apply_items(&self, items: &[KeyedItem], position: Position) {
        let (is_restored, mut absent) = {
            let mut stored = lock_mutex(&self.stored_holds);
            (stored.on_era(position.era), stored.digests())
        };
        // The keys of exits sort before those of survived runs. A survived run only changes a
        // status if an exit of the request is known.
        for item in items {
            let hold_digest = if is_restored {
                self.apply_restored_item(item)
            } else {
                self.apply_item(&item.key, Some(&item.value), item.position)
            };
            if let Some(digest) = hold_digest {
                absent.retain(|known| *known != digest);
            }
        }
        self.on_store_read();
        for digest in absent {
            if is_restored {
                lock_mutex(&self.stored_holds).mark_missing(digest, None);
            } else {
                self.apply_stored_hold(digest, None, position);
            }
        }
    }

    /// Applies an item of a store that was restored from an older copy, unless this process has a
    /// later version; returns the request if the item is a hold.
    fn apply_restored_item(&self, item: &KeyedItem) -> Option<RequestDigest> {
        let Ok(StoredItem::Hold {
            digest,
            hold: Some(restored_hold),
        }) = stored::read(&item.key, Some(&item.value))
        else {
            return self.apply_item(&item.key, Some(&item.value), item.position);
        };
        let known_hold = self.known_hold(digest);
        let was_removed = lock_mutex(&self.stored_holds).was_removed(digest, &restored_hold);
        match known_hold {
            Some(known_hold) if known_hold.is_newer_than(&restored_hold) => {
                lock_mutex(&self.stored_holds).mark_missing(digest, Some(item.position));
            }
            _ => self.apply_stored_hold(digest, Some(restored_hold), item.position),
        }
        if was_removed {
            log::info!(digest = &*digest.name(); "a removed hold is in the store again after a restore; removing it");
            self.send_task(Task::RemoveHold(digest));
        }
        Some(digest)
    }

    /// Converts a wall-clock time to this process's monotonic clock.
    fn to_mono_ms(&self, at: WallMs) -> MonoMs {
        let age_ms = WallMs::now().0.saturating_sub(at.0);
        MonoMs(self.now_ms().0.saturating_sub(age_ms))
    }

    /// Applies an item of the store; returns the request if the item is a hold.
    pub fn apply_item(
        &self,
        key: &str,
        value: Option<&[u8]>,
        position: Position,
    ) -> Option<RequestDigest> {
        match stored::read(key, value) {
            Ok(StoredItem::Exit {
                target,
                at,
                suspects,
            }) => {
                let at_ms = self.to_mono_ms(at);
                let exit = TargetExit {
                    target,
                    at_ms,
                    suspects,
                };
                let facts = Facts::new(vec![exit], Vec::new(), self.now_ms());
                self.apply_facts(&facts, "store");
                None
            }
            Ok(StoredItem::SurvivedRuns(runs)) => {
                let survived_runs = runs.into_iter().map(|stored| SurvivedRun {
                    digest: stored.digest,
                    run: stored.run,
                    at_ms: self.to_mono_ms(stored.at),
                });
                let facts = Facts::new(Vec::new(), survived_runs.collect(), self.now_ms());
                self.apply_facts(&facts, "store");
                None
            }
            Ok(StoredItem::Hold { digest, hold }) => {
                self.apply_stored_hold(digest, hold, position);
                Some(digest)
            }
            Ok(StoredItem::Irrelevant) => None,
            Err(error) => {
                log::error!(key, reason:% = error; "cannot decode an item of the store");
                None
            }
        }
    }
}
