//! What targets said of themselves, kept while they are not listed.
//!
//! A target can be out of the list for a moment: its entry lapses, is overwritten by somebody else,
//! or is missing from a restored store. What the target said before, or says in a response that
//! arrives meanwhile, holds when it is listed again. It holds for one incarnation only.

use berylhook_backpressure::gate::AdmissionGate;
use berylhook_core::time::MonoMs;
use indexmap::IndexMap;

use super::cold::ColdState;
use crate::target::{Incarnation, Target};

/// How long the announcements of an unlisted target are kept. A target that leaves serves for
/// seconds after its entry is gone.
const UNLISTED_TTL_MS: u64 = 600_000;

/// Most unlisted targets that are kept; the ones that were unlisted first are forgotten first.
const MAX_UNLISTED: usize = 10_000;

/// What a target said of itself.
#[derive(Clone, Debug, Default)]
pub(super) struct Announcements {
    /// Its rate limit, backoff, and whether it leaves.
    pub(super) gate: AdmissionGate,
    /// Its cold period.
    pub(super) cold: ColdState,
}

#[derive(Debug)]
struct UnlistedTarget {
    announcements: Announcements,
    /// Revision at which the target was listed first; `None` if it was never listed here.
    listed_revision: Option<u64>,
    /// When the target was first noticed to be unlisted.
    noticed_ms: Option<MonoMs>,
}

/// The announcements of targets that are not listed.
#[derive(Debug, Default)]
pub(super) struct UnlistedTargets(IndexMap<Incarnation, UnlistedTarget>);

impl UnlistedTargets {
    /// Keeps the announcements of a target that is no longer listed.
    pub(super) fn keep(&mut self, target: &Target, mut announcements: Announcements) {
        announcements.gate.cancel_placements();
        announcements.cold.cancel_placements();
        let unlisted = UnlistedTarget {
            announcements,
            listed_revision: Some(target.listed_revision),
            noticed_ms: None,
        };
        self.insert(target.incarnation.clone(), unlisted);
    }

    fn insert(&mut self, incarnation: Incarnation, unlisted: UnlistedTarget) {
        if self.0.len() >= MAX_UNLISTED {
            self.0.shift_remove_index(0);
        }
        self.0.insert(incarnation, unlisted);
    }

    /// Removes and returns the announcements of a target that is listed again.
    ///
    /// An entry that did not tell when the target started may do so later. As long as it is the same
    /// entry, it is taken to be of the same incarnation.
    pub(super) fn take(&mut self, target: &Target) -> Announcements {
        let exact = self.0.shift_remove(&target.incarnation);
        let known = exact.or_else(|| {
            let without_start = Incarnation {
                id: target.id().clone(),
                started_unix_ms: None,
            };
            let unlisted = self.0.get(&without_start)?;
            let is_same_entry = unlisted.listed_revision == Some(target.listed_revision);
            is_same_entry
                .then(|| self.0.shift_remove(&without_start))
                .flatten()
        });
        known.map_or_else(Announcements::default, |known| known.announcements)
    }

    /// Whether anything is known of a target that is not listed.
    pub(super) fn contains(&self, incarnation: &Incarnation) -> bool {
        self.0.contains_key(incarnation)
    }

    /// The admission gate of a target that is not listed.
    pub(super) fn gate(&mut self, incarnation: &Incarnation) -> &mut AdmissionGate {
        if !self.0.contains_key(incarnation) {
            let unlisted = UnlistedTarget {
                announcements: Announcements::default(),
                listed_revision: None,
                noticed_ms: None,
            };
            self.insert(incarnation.clone(), unlisted);
        }
        &mut self.0[incarnation].announcements.gate
    }

    /// Forgets what no longer matters.
    pub(super) fn forget_expired(&mut self, now_ms: MonoMs) {
        self.0.retain(|_, unlisted| {
            let noticed_ms = *unlisted.noticed_ms.get_or_insert(now_ms);
            let Announcements { gate, cold } = &unlisted.announcements;
            let is_recent = now_ms.since(noticed_ms) < UNLISTED_TTL_MS;
            let is_current = is_recent || gate.backoff_left_ms(now_ms) > 0;
            cold.is_restricting(now_ms) || (gate.is_restricting(now_ms) && is_current)
        });
    }
}
