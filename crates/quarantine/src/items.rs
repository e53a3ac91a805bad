//! Takes over the items that the store keeps.
//!
//! A store that was restored from an older copy lacks what was written since. What this
//! process knows better is written again: holds that are missing or older there, and the
//! end of those that it has again.

use berylhook_core::digest::RequestDigest;
use berylhook_core::position::Position;
use berylhook_core::quarantine::{Facts, Hold, SurvivedRun, TargetExit};
use berylhook_core::time::{MonoMs, WallMs};
use berylhook_platform::store::OwnItem;

use crate::replicator::Task;
use crate::stored::{self, StoredItem};
use crate::suspects::{SuspectTracker, locked};

impl SuspectTracker {
    /// Where the request's hold was written last in the store; `None` if it has none.
    pub(crate) fn hold_written(&self, digest: RequestDigest) -> Option<Position> {
        locked(&self.kept_holds).written(digest)
    }

    /// Whether the store was restored since that era.
    pub(crate) fn is_of_former_era(&self, era: u64) -> bool {
        locked(&self.kept_holds).era() > era
    }

    /// Holds that the store has lost, for it to keep again.
    pub(crate) fn lost_holds(&self) -> Vec<(RequestDigest, Hold)> {
        let lost = locked(&self.kept_holds).lost();
        let state = self.lock();
        let known = lost.into_iter().filter_map(|digest| {
            let hold = state.quarantine.hold(digest)?;
            Some((digest, hold.clone()))
        });
        known.collect()
    }

    fn known_hold(&self, digest: RequestDigest) -> Option<Hold> {
        self.lock().quarantine.hold(digest).cloned()
    }

    /// Takes over the hold that the store has at that position.
    pub(crate) fn learn_hold(&self, digest: RequestDigest, hold: Option<Hold>, written: Position) {
        let known = self.known_hold(digest);
        let is_news = locked(&self.kept_holds).learn(digest, hold.as_ref(), known, written);
        if is_news {
            self.take_hold(digest, hold);
        }
    }

    /// Takes over what the store holds of this project's, read anew at that position.
    pub fn apply_items(&self, items: &[OwnItem], position: Position) {
        let (is_restored, mut gone) = {
            let mut kept = locked(&self.kept_holds);
            (kept.on_era(position.era), kept.digests())
        };
        // Ends come before what was outlived: that of an unknown suspect says nothing.
        for item in items {
            let taken = if is_restored {
                self.take_copied(item)
            } else {
                self.apply_item(&item.key, Some(&item.value), item.position)
            };
            if let Some(digest) = taken {
                gone.retain(|known| *known != digest);
            }
        }
        self.on_store_read();
        for digest in gone {
            if is_restored {
                locked(&self.kept_holds).lose(digest, None);
            } else {
                self.learn_hold(digest, None, position);
            }
        }
    }

    /// Takes over one item of a store that was restored from an older copy, unless this
    /// process knows better; gives the request whose hold it is.
    fn take_copied(&self, item: &OwnItem) -> Option<RequestDigest> {
        let Ok(StoredItem::Hold {
            digest,
            hold: Some(copied),
        }) = stored::read(&item.key, Some(&item.value))
        else {
            return self.apply_item(&item.key, Some(&item.value), item.position);
        };
        let known = self.known_hold(digest);
        let has_ended = locked(&self.kept_holds).has_ended(digest, &copied);
        match known {
            Some(known) if known.is_newer_than(&copied) => {
                locked(&self.kept_holds).lose(digest, Some(item.position));
            }
            _ => self.learn_hold(digest, Some(copied), item.position),
        }
        if has_ended {
            log::info!(digest:% = digest; "the store has a hold again that had ended");
            self.ask_keeper(Task::Lift(digest));
        }
        Some(digest)
    }

    /// A wall-clock time on this process's own clock.
    fn at_ms(&self, at: WallMs) -> MonoMs {
        let age_ms = WallMs::now().0.saturating_sub(at.0);
        MonoMs(self.now_ms().0.saturating_sub(age_ms))
    }

    /// Takes over one item of the store; gives the request whose hold it is.
    pub fn apply_item(
        &self,
        key: &str,
        value: Option<&[u8]>,
        written: Position,
    ) -> Option<RequestDigest> {
        match stored::read(key, value) {
            Ok(StoredItem::Exit {
                target,
                at,
                suspects,
            }) => {
                let at_ms = self.at_ms(at);
                let end = TargetExit {
                    target,
                    at_ms,
                    suspects,
                };
                let facts = Facts::new(vec![end], Vec::new(), self.now_ms());
                self.take_facts(&facts, "store");
                None
            }
            Ok(StoredItem::SurvivedRun { digest, run, at }) => {
                let outlived = SurvivedRun {
                    digest,
                    run,
                    at_ms: self.at_ms(at),
                };
                let facts = Facts::new(Vec::new(), vec![outlived], self.now_ms());
                self.take_facts(&facts, "store");
                None
            }
            Ok(StoredItem::Hold { digest, hold }) => {
                self.learn_hold(digest, hold, written);
                Some(digest)
            }
            Ok(StoredItem::Irrelevant) => None,
            Err(error) => {
                log::error!(key, reason:% = error; "an item of the store cannot be read");
                None
            }
        }
    }
}
