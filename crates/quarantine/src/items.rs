//! Takes over the items that the store keeps.

use berylhook_core::digest::RequestDigest;
use berylhook_core::quarantine::{End, Facts, Hold, Outlived};
use berylhook_core::time::{MonoMs, WallMs};
use berylhook_platform::store::OwnItem;

use crate::kept::{self, Kept};
use crate::suspects::{Suspects, locked};

impl Suspects {
    /// Revision of the request's hold in the store; 0 if there is none.
    pub(crate) fn hold_revision(&self, digest: RequestDigest) -> u64 {
        let holds = locked(&self.holds);
        holds.get(&digest).copied().unwrap_or(0)
    }

    /// Takes over the hold that the store has at that revision.
    pub(crate) fn learn_hold(&self, digest: RequestDigest, hold: Option<Hold>, revision: u64) {
        let mut holds = locked(&self.holds);
        // A watch may tell late what is known already.
        if holds.get(&digest).is_some_and(|known| revision < *known) {
            return;
        }
        match hold {
            Some(_) => holds.insert(digest, revision),
            None => holds.swap_remove(&digest),
        };
        drop(holds);
        self.take_hold(digest, hold);
    }

    /// Takes over what the store holds of this project's, read anew.
    pub fn take_items(&self, items: &[OwnItem]) {
        let mut gone: Vec<RequestDigest> = {
            let holds = locked(&self.holds);
            holds.keys().copied().collect()
        };
        // Ends come before what was outlived: that of an unknown suspect says nothing.
        for item in items {
            if let Some(digest) = self.take_item(&item.key, Some(&item.value), item.revision) {
                gone.retain(|known| *known != digest);
            }
        }
        self.set_informed();
        for digest in gone {
            self.learn_hold(digest, None, u64::MAX);
        }
    }

    /// A wall-clock time on this process's own clock.
    fn at_ms(&self, at: WallMs) -> MonoMs {
        let age_ms = WallMs::now().0.saturating_sub(at.0);
        MonoMs(self.now_ms().0.saturating_sub(age_ms))
    }

    /// Takes over one item of the store; gives the request whose hold it is.
    pub fn take_item(
        &self,
        key: &str,
        value: Option<&[u8]>,
        revision: u64,
    ) -> Option<RequestDigest> {
        match kept::read(key, value) {
            Ok(Kept::End {
                target,
                at,
                suspects,
            }) => {
                let at_ms = self.at_ms(at);
                let end = End {
                    target,
                    at_ms,
                    suspects,
                };
                let facts = Facts::new(vec![end], Vec::new(), self.now_ms());
                self.take_facts(&facts, "store");
                None
            }
            Ok(Kept::Outlived { digest, run, at }) => {
                let outlived = Outlived {
                    digest,
                    run,
                    at_ms: self.at_ms(at),
                };
                let facts = Facts::new(Vec::new(), vec![outlived], self.now_ms());
                self.take_facts(&facts, "store");
                None
            }
            Ok(Kept::Hold { digest, hold }) => {
                self.learn_hold(digest, hold, revision);
                Some(digest)
            }
            Ok(Kept::Nothing) => None,
            Err(error) => {
                log::error!(key, reason:% = error; "an item of the store cannot be read");
                None
            }
        }
    }
}
