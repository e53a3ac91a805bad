//! Which targets exist, which are leaving, and which of two views is newer.
//!
//! The platform's store lists the targets under one revision counter. A view
//! is identified by the [`Position`] it was read at, so an entry that the store
//! shuts out can take a peer's view over as a whole if its position is later,
//! and nothing ever goes back.
//!
//! A store that was restored from an older copy lists what was true seconds
//! ago: targets that registered since are missing, one that was leaving reads as
//! ready, and one that has left is back. The targets write again, each in its own
//! time. So the first list of a new era is read with what was known before it:
//!
//! - A *missing* target stays in use for the same time as after an outage.
//! - One that was *leaving* stays so until it writes again.
//! - One that has *left* stays out of use for [`RESTORED_ENTRY_EXCLUSION_MS`]; if it is still
//!   listed then, somebody renews its entry, and it lives.
//!
//! A target that stops sending heartbeats is dropped from the list, and so is
//! every target whose heartbeats could not reach the store during an outage.
//! Dropping those at once would empty the list just as the store comes back.
//! A target that is missing within [`STORE_RECOVERY_GRACE_MS`] of the store's return
//! therefore stays in use until that time is over.
//!
//! Anyone who can write to the store can write under a target's key. An entry
//! that the target cannot have written takes it out of use, at once and
//! whatever was known before; all other targets stay as they are. The
//! target comes back with its next sound entry. Three cases concern the start
//! of an incarnation:
//!
//! - One *later* than known is a restart: the new incarnation replaces the
//!   former one.
//! - One *earlier* than known is a late write of a former incarnation and
//!   changes nothing.
//! - One that is *missing* is taken as unknown, unless the target has told a
//!   start before: then it is not the target that wrote.

use std::sync::Arc;

use berylhook_core::position::Position;
use berylhook_core::time::MonoMs;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::target::{Phase, Target};

/// How long after the store's return a missing target still counts as alive.
///
/// The platform promises that targets which live are listed again within about
/// two seconds of its return.
pub const STORE_RECOVERY_GRACE_MS: u64 = 2_200;

/// How long a target that has left is not used although a restored store lists it.
///
/// The platform drops an entry that nobody renews after three heartbeats, some four
/// seconds.
pub const RESTORED_ENTRY_EXCLUSION_MS: u64 = 5_000;

/// How long it is known that a target has left: longer than a copy of the store is old.
const LEFT_KNOWN_MS: u64 = 60_000;

/// Why an entry without a start names no target.
const START_NOT_TOLD: &str = "the start is missing, and this target has told one before; \
     the target's next heartbeat replaces the entry";

/// Why an entry with an earlier start names no target, where the later
/// incarnation is not known any more.
const START_IS_FORMER: &str = "the start is earlier than one told before; \
     the target's next heartbeat replaces the entry";

/// An entry that names no target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InvalidEntry {
    /// The id under which it is listed.
    pub id: Arc<str>,
    /// What is wrong with it, and the remedy.
    pub reason: Arc<str>,
}

/// A change of the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ListingChange {
    /// A target was added, or its description changed.
    Set(Target),
    /// A target is no longer listed.
    Removed(Arc<str>),
    /// What is listed under an id names no target.
    Invalid(InvalidEntry),
}

/// The list at one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// Where in the store's history the list was read.
    #[serde(flatten)]
    pub position: Position,
    /// All targets, by id.
    pub targets: IndexMap<Arc<str>, Target>,
    /// Why the other entries name no target, by id.
    #[serde(default, rename = "unusable")]
    pub invalid: IndexMap<Arc<str>, Arc<str>>,
}

impl Listing {
    /// A list that was read as a whole.
    #[must_use]
    pub fn from_entries(position: Position, entries: Vec<Result<Target, InvalidEntry>>) -> Self {
        let mut listing = Self {
            position,
            ..Self::default()
        };
        for entry in entries {
            match entry {
                Ok(target) => {
                    listing.targets.insert(Arc::clone(target.id()), target);
                }
                Err(unusable) => {
                    listing.invalid.insert(unusable.id, unusable.reason);
                }
            }
        }
        listing
    }

    fn set_unusable(&mut self, unusable: InvalidEntry) {
        self.targets.shift_remove(&unusable.id);
        self.invalid.insert(unusable.id, unusable.reason);
    }
}

/// The targets as this process knows them.
#[derive(Debug, Default)]
pub struct Directory {
    listing: Listing,
    /// Targets no longer listed that are still used, and until when.
    missing: IndexMap<Arc<str>, (Target, MonoMs)>,
    /// Until when a missing target counts as alive.
    grace_until_ms: MonoMs,
    /// The latest start that each listed target has told, in Unix milliseconds.
    starts_unix_ms: IndexMap<Arc<str>, u64>,
    /// Targets that have left of late.
    left: IndexMap<Arc<str>, Left>,
    /// Listed targets that have left before the store was restored, and until when they
    /// are not used.
    revived: IndexMap<Arc<str>, MonoMs>,
}

/// A target that has left.
#[derive(Clone, Copy, Debug)]
struct Left {
    /// Revision of its entry's creation; one that registers again has another.
    listed_revision: u64,
    noticed_ms: MonoMs,
}

/// Who wrote an entry, by the starts that its id has told before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Writer {
    /// The target, in the incarnation known or a later one.
    Target,
    /// A former incarnation of it; the write came late.
    FormerIncarnation,
    /// Somebody else.
    Other,
}

impl Directory {
    /// The store answers again after it was away.
    ///
    /// The list read next may lack targets that live.
    pub fn on_store_recovered(&mut self, now_ms: MonoMs) {
        self.grace_until_ms = now_ms + STORE_RECOVERY_GRACE_MS;
    }

    /// Takes a whole list over if it is not older than the one in force.
    ///
    /// Returns whether it was taken over.
    pub fn replace(&mut self, mut listing: Listing, now_ms: MonoMs) -> bool {
        let known = self.listing.position;
        if listing.position < known {
            return false;
        }
        let is_restored = listing.position.era > known.era && known != Position::default();
        if is_restored {
            self.on_store_recovered(now_ms);
        }
        self.reconcile(&mut listing);
        if is_restored {
            self.keep_leaving(&mut listing);
            self.note_revived(&listing, now_ms);
        }
        let before = std::mem::replace(&mut self.listing, listing);
        for (id, target) in before.targets {
            let is_listed = self.listing.targets.contains_key(&id);
            if !is_listed && !self.listing.invalid.contains_key(&id) {
                self.keep_for_a_while(target, now_ms);
            }
        }
        let Self {
            listing, missing, ..
        } = self;
        missing
            .retain(|id, _| !listing.targets.contains_key(id) && !listing.invalid.contains_key(id));
        true
    }

    /// Replaces the entries of a new list that their targets cannot have written.
    fn reconcile(&mut self, listing: &mut Listing) {
        self.starts_unix_ms
            .retain(|id, _| listing.targets.contains_key(id) || listing.invalid.contains_key(id));
        for target in std::mem::take(&mut listing.targets).into_values() {
            let id = Arc::clone(target.id());
            match self.writer_of(&target) {
                Writer::Target => {
                    self.note_start(&target);
                    listing.targets.insert(id, target);
                }
                Writer::FormerIncarnation => match self.known(&id) {
                    Some(known) => {
                        listing.targets.insert(id, known.clone());
                    }
                    None => listing.set_unusable(refused(id, START_IS_FORMER)),
                },
                Writer::Other => listing.set_unusable(refused(id, START_NOT_TOLD)),
            }
        }
    }

    /// Has targets that were leaving leave still, whatever the older copy says of them.
    fn keep_leaving(&self, listing: &mut Listing) {
        for (id, target) in &mut listing.targets {
            let known = self.listing.targets.get(id);
            let is_leaving = known.is_some_and(|known| {
                known.incarnation == target.incarnation && known.phase == Phase::Leaving
            });
            if is_leaving {
                target.phase = Phase::Leaving;
            }
        }
    }

    /// Takes targets out of use that an older copy lists although they have left.
    fn note_revived(&mut self, listing: &Listing, now_ms: MonoMs) {
        self.left
            .retain(|_, left| now_ms.since(left.noticed_ms) < LEFT_KNOWN_MS);
        for (id, target) in &listing.targets {
            let left = self.left.get(id);
            if left.is_some_and(|left| left.listed_revision == target.listed_revision) {
                self.revived
                    .insert(Arc::clone(id), now_ms + RESTORED_ENTRY_EXCLUSION_MS);
            }
        }
    }

    fn note_left(&mut self, target: &Target, now_ms: MonoMs) {
        self.left
            .retain(|_, left| now_ms.since(left.noticed_ms) < LEFT_KNOWN_MS);
        let left = Left {
            listed_revision: target.listed_revision,
            noticed_ms: now_ms,
        };
        self.left.insert(Arc::clone(target.id()), left);
    }

    /// The target of that id, listed or missing.
    fn known(&self, id: &str) -> Option<&Target> {
        let missing = self.missing.get(id).map(|(target, _)| target);
        self.listing.targets.get(id).or(missing)
    }

    fn note_start(&mut self, target: &Target) {
        if let Some(start_unix_ms) = target.incarnation.started_unix_ms {
            self.starts_unix_ms
                .insert(Arc::clone(target.id()), start_unix_ms);
        }
    }

    fn writer_of(&self, target: &Target) -> Writer {
        let known_unix_ms = self.starts_unix_ms.get(target.id()).copied();
        match (known_unix_ms, target.incarnation.started_unix_ms) {
            (Some(_), None) => Writer::Other,
            (Some(known), Some(told)) if told < known => Writer::FormerIncarnation,
            _ => Writer::Target,
        }
    }

    /// Whether a younger target listens at this one's address.
    ///
    /// A target that crashes and starts again under another id is listed twice
    /// until its former heartbeats lapse, seconds later. Half of its service's
    /// requests would go to a target that no longer exists, and be refused.
    fn is_superseded(&self, target: &Target) -> bool {
        let mut listed = self.listing.targets.values();
        listed.any(|other| {
            other.address == target.address && other.listed_revision > target.listed_revision
        })
    }

    /// Applies the change made at `position`; an older one changes nothing.
    pub fn apply(&mut self, change: ListingChange, position: Position, now_ms: MonoMs) {
        if position <= self.listing.position {
            return;
        }
        self.listing.position = position;
        match change {
            ListingChange::Set(target) => self.set(target),
            ListingChange::Removed(id) => {
                self.starts_unix_ms.shift_remove(&id);
                self.listing.invalid.shift_remove(&id);
                self.revived.shift_remove(&id);
                if let Some(target) = self.listing.targets.shift_remove(&id) {
                    self.keep_for_a_while(target, now_ms);
                }
            }
            ListingChange::Invalid(unusable) => self.set_unusable(unusable),
        }
    }

    fn set(&mut self, target: Target) {
        let id = Arc::clone(target.id());
        match self.writer_of(&target) {
            Writer::Target => {
                self.note_start(&target);
                self.missing.shift_remove(&id);
                self.left.shift_remove(&id);
                self.revived.shift_remove(&id);
                self.listing.invalid.shift_remove(&id);
                self.listing.targets.insert(id, target);
            }
            Writer::FormerIncarnation => {}
            Writer::Other => self.set_unusable(refused(id, START_NOT_TOLD)),
        }
    }

    fn set_unusable(&mut self, unusable: InvalidEntry) {
        self.missing.shift_remove(&unusable.id);
        self.listing.set_unusable(unusable);
    }

    fn keep_for_a_while(&mut self, target: Target, now_ms: MonoMs) {
        self.note_left(&target, now_ms);
        let is_in_grace = now_ms < self.grace_until_ms;
        if is_in_grace && target.phase == Phase::Ready {
            let until_ms = self.grace_until_ms;
            self.missing
                .insert(Arc::clone(target.id()), (target, until_ms));
        }
    }

    /// Forgets missing targets whose time is over, and uses again those that an older
    /// copy of the store was not wrong about; returns whether there were any.
    pub fn expire(&mut self, now_ms: MonoMs) -> bool {
        let before = self.missing.len() + self.revived.len();
        self.missing.retain(|_, (_, until_ms)| now_ms < *until_ms);
        self.revived.retain(|_, until_ms| now_ms < *until_ms);
        self.missing.len() + self.revived.len() != before
    }

    /// When [`expire`](Self::expire) is due next.
    #[must_use]
    pub fn next_expiry_ms(&self) -> Option<MonoMs> {
        let missing = self.missing.values().map(|(_, until_ms)| *until_ms);
        missing.chain(self.revived.values().copied()).min()
    }

    /// The list in force, for peers.
    #[must_use]
    pub fn listing(&self) -> &Listing {
        &self.listing
    }

    /// Targets that may get new requests.
    pub fn usable(&self) -> impl Iterator<Item = &Target> {
        let listed = self.listing.targets.values();
        let missing = self.missing.values().map(|(target, _)| target);
        listed
            .chain(missing)
            .filter(|target| target.phase == Phase::Ready)
            .filter(|target| !self.revived.contains_key(target.id()))
            .filter(|target| !self.is_superseded(target))
    }
}

fn refused(id: Arc<str>, reason: &str) -> InvalidEntry {
    InvalidEntry {
        id,
        reason: reason.into(),
    }
}
