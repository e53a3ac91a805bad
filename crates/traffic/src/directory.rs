//! Known targets, their phases, and the order of two versions of the target list.
//!
//! The platform's store lists the targets under one revision counter. A version of the list is
//! identified by the [`Position`] in the store's history at which it was read. A process that
//! cannot reach the store can therefore replace its whole list by a peer's if that has a later
//! position, and never returns to an earlier one.
//!
//! A store that was restored from an older copy lists what was true seconds ago: targets that have
//! registered since are missing, a target that was leaving reads as ready, and one that has left is
//! listed again. Each target writes its entry again at its own time. So the first list of a new era
//! is merged with what was known before:
//!
//! - A *missing* target stays in use for the same time as after an outage of the store.
//! - A *leaving* target stays so until it writes its entry again.
//! - A target that has *left* stays out of use for [`RESTORED_ENTRY_EXCLUSION_MS`]. If it is still
//!   listed then, its entry is being renewed, so the target is alive.
//!
//! A target that stops sending heartbeats is dropped from the list, and so is every target whose
//! heartbeats could not reach the store during an outage. Dropping the latter at once would empty
//! the list just as the store returns. So a target that is missing within
//! [`STORE_RECOVERY_GRACE_MS`] of the store's return stays in use until the end of this grace
//! period. A store that only this process could not reach has had no outage.
//!
//! Anyone who can write to the store can write under a target's key. A list entry that the target
//! cannot have written takes the target out of use at once, whatever was known before; all other
//! targets stay as they are. The target returns with its next valid entry. Three cases concern the
//! start time of an incarnation:
//!
//! - A start *later* than the known one is a restart: the new incarnation replaces the previous
//!   one.
//! - A start *earlier* than the known one is a late write of a previous incarnation and changes
//!   nothing.
//! - A *missing* start counts as unknown, unless the target has reported one before: then the entry
//!   was written by somebody else.
//!
//! What an entry says of its target holds for the service that it names. An entry of another service
//! under a target's key says nothing of the target that registered there: neither its start time nor
//! that it leaves.
//!
//! An incarnation that announces that it leaves never accepts requests again. If its entry says
//! `ready` later, that is a heartbeat from before the announcement whose write took effect late, so
//! the target stays leaving.

use std::sync::Arc;

use berylhook_core::position::Position;
use berylhook_core::time::MonoMs;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::configuration::Configuration;
use crate::target::{Incarnation, Phase, Target};

/// How long after the store's return a missing target stays in use.
///
/// The platform promises that live targets are listed again within about two seconds of its return.
pub const STORE_RECOVERY_GRACE_MS: u64 = 2_200;

/// How long a target that has left stays out of use although a restored store lists it.
///
/// The platform drops an entry that is not renewed after three heartbeats, which is some four
/// seconds.
pub const RESTORED_ENTRY_EXCLUSION_MS: u64 = 5_000;

/// How long a target is remembered to have left: longer than a copy of the store is old.
const LEFT_TTL_MS: u64 = 60_000;

/// How long an incarnation is remembered to leave. Writes take effect some seconds late at most.
const LEAVING_TTL_MS: u64 = 600_000;

/// Why an entry without a start time is invalid.
const START_MISSING: &str = "the start time is missing, but this target has reported one before; \
     the target's next heartbeat replaces the entry";

/// Why an entry with an earlier start time is invalid, if the later incarnation is not known any
/// more.
const START_OUTDATED: &str = "the start time is earlier than one that this target has reported; \
     the target's next heartbeat replaces the entry";

/// A list entry that does not describe a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InvalidEntry {
    /// The id under which the entry is listed.
    pub id: Arc<str>,
    /// What is wrong with the entry, and how to fix it.
    pub reason: Arc<str>,
}

/// A change of the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ListingChange {
    /// A target was added, or its description changed.
    Set(Target),
    /// The target of that id is no longer listed.
    Removed(Arc<str>),
    /// The entry under an id has become invalid.
    Invalid(InvalidEntry),
}

/// The list at one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// Position in the store's history at which the list was read.
    #[serde(flatten)]
    pub position: Position,
    /// All targets, by id.
    pub targets: IndexMap<Arc<str>, Target>,
    /// Reasons why the other entries are invalid, by id.
    #[serde(default, rename = "unusable")]
    pub invalid: IndexMap<Arc<str>, Arc<str>>,
}

impl Listing {
    /// Builds a list from all entries of the store.
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
                Err(invalid) => {
                    listing.invalid.insert(invalid.id, invalid.reason);
                }
            }
        }
        listing
    }

    fn set_invalid(&mut self, invalid: InvalidEntry) {
        self.targets.shift_remove(&invalid.id);
        self.invalid.insert(invalid.id, invalid.reason);
    }
}

/// The targets that this process knows.
#[derive(Debug, Default)]
pub struct Directory {
    listing: Listing,
    /// Whether the list ends with a change, which others of its transaction may follow.
    ends_with_change: bool,
    /// Targets that are no longer listed but still in use, and until when.
    missing: IndexMap<Arc<str>, (Target, MonoMs)>,
    /// Until when missing targets stay in use.
    grace_until_ms: MonoMs,
    /// The latest start time that each listed target has reported, in Unix milliseconds.
    starts_unix_ms: IndexMap<Registration, u64>,
    /// Incarnations that have announced that they leave, with their services, and when they were last
    /// seen leaving.
    leaving: IndexMap<(Incarnation, Arc<str>), MonoMs>,
    /// Targets that have left recently.
    left: IndexMap<Registration, LeftTarget>,
    /// Listed targets that had left before the store was restored, and until when they stay out of
    /// use.
    excluded: IndexMap<Arc<str>, MonoMs>,
}

/// The id of a target and the service for which it has registered.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Registration {
    id: Arc<str>,
    service: Arc<str>,
}

impl Registration {
    fn of(target: &Target) -> Self {
        Self {
            id: Arc::clone(target.id()),
            service: Arc::clone(&target.service),
        }
    }
}

/// A target that has left.
#[derive(Clone, Debug)]
struct LeftTarget {
    incarnation: Incarnation,
    /// Revision at which its entry was created; it differs if the target registers again.
    listed_revision: u64,
    noticed_ms: MonoMs,
}

/// The author of a list entry, judged by the start times that were reported under its id before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Writer {
    /// The target, in the known incarnation or a later one.
    Target,
    /// A previous incarnation of the target, whose write arrived late.
    PreviousIncarnation,
    /// Anybody else.
    Other,
}

impl Directory {
    /// Notes that the store answers again since `recovered_ms`, after an outage.
    ///
    /// The next list that is read may lack live targets.
    pub fn on_store_recovered(&mut self, recovered_ms: MonoMs) {
        self.set_grace_end(recovered_ms + STORE_RECOVERY_GRACE_MS);
    }

    /// Notes that the store has answered other processes all the time, so that no entry has expired
    /// in an outage: targets that are missing have left.
    pub fn on_outage_ruled_out(&mut self) {
        self.set_grace_end(MonoMs(0));
    }

    fn set_grace_end(&mut self, until_ms: MonoMs) {
        self.grace_until_ms = until_ms;
        for (_, missing_until_ms) in self.missing.values_mut() {
            *missing_until_ms = until_ms.min(*missing_until_ms);
        }
    }

    /// Replaces the whole list unless the new one is older.
    ///
    /// Returns whether the list was replaced.
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
        for target in listing.targets.values_mut() {
            self.record_cold_report(target, is_restored, now_ms);
            self.keep_leaving(target, now_ms);
        }
        if is_restored {
            self.exclude_revived(&listing, now_ms);
        }
        self.ends_with_change = false;
        let before = std::mem::replace(&mut self.listing, listing);
        for (id, target) in before.targets {
            let is_listed = self.listing.targets.contains_key(&id);
            if self.listing.invalid.contains_key(&id) {
                self.remember_leaving(&target, now_ms);
            } else if !is_listed {
                self.on_removed(target, now_ms);
            }
        }
        let Self {
            listing, missing, ..
        } = self;
        missing
            .retain(|id, _| !listing.targets.contains_key(id) && !listing.invalid.contains_key(id));
        true
    }

    /// Replaces entries of a new list that cannot have been written by their targets.
    fn reconcile(&mut self, listing: &mut Listing) {
        self.starts_unix_ms.retain(|Registration { id, .. }, _| {
            listing.targets.contains_key(id) || listing.invalid.contains_key(id)
        });
        for target in std::mem::take(&mut listing.targets).into_values() {
            let id = Arc::clone(target.id());
            match self.writer_of(&target) {
                Writer::Target => {
                    self.record_start(&target);
                    listing.targets.insert(id, target);
                }
                Writer::PreviousIncarnation => match self.known(&id) {
                    Some(known) => {
                        listing.targets.insert(id, known.clone());
                    }
                    None => listing.set_invalid(invalid_entry(id, START_OUTDATED)),
                },
                Writer::Other => listing.set_invalid(invalid_entry(id, START_MISSING)),
            }
        }
    }

    /// Keeps a target leaving that was leaving before, whatever its entry says.
    fn keep_leaving(&mut self, target: &mut Target, now_ms: MonoMs) {
        let announced = (target.incarnation.clone(), Arc::clone(&target.service));
        if self.leaving.contains_key(&announced) {
            target.phase = Phase::Leaving;
        }
        self.remember_leaving(target, now_ms);
    }

    /// Remembers a target that is leaving.
    fn remember_leaving(&mut self, target: &Target, now_ms: MonoMs) {
        if target.phase == Phase::Leaving {
            self.leaving
                .retain(|_, noticed_ms| now_ms.since(*noticed_ms) < LEAVING_TTL_MS);
            let announced = (target.incarnation.clone(), Arc::clone(&target.service));
            self.leaving.insert(announced, now_ms);
        }
    }

    /// Takes targets out of use that a restored list contains although they have left.
    fn exclude_revived(&mut self, listing: &Listing, now_ms: MonoMs) {
        self.left
            .retain(|_, left| now_ms.since(left.noticed_ms) < LEFT_TTL_MS);
        for (id, target) in &listing.targets {
            let left = self.left.get(&Registration::of(target));
            if left.is_some_and(|left| left.listed_revision == target.listed_revision) {
                self.excluded
                    .insert(Arc::clone(id), now_ms + RESTORED_ENTRY_EXCLUSION_MS);
            }
        }
    }

    fn record_left(&mut self, target: &Target, now_ms: MonoMs) {
        self.left
            .retain(|_, left| now_ms.since(left.noticed_ms) < LEFT_TTL_MS);
        let left = LeftTarget {
            incarnation: target.incarnation.clone(),
            listed_revision: target.listed_revision,
            noticed_ms: now_ms,
        };
        self.left.insert(Registration::of(target), left);
    }

    /// The target of that id, listed or missing.
    fn known(&self, id: &str) -> Option<&Target> {
        let missing = self.missing.get(id).map(|(target, _)| target);
        self.listing.targets.get(id).or(missing)
    }

    /// Records when the target's report on its cold period was first received.
    fn record_cold_report(&self, target: &mut Target, is_restored: bool, now_ms: MonoMs) {
        let known = self.known(target.id());
        let known = known.filter(|known| known.incarnation == target.incarnation);
        let known = known.and_then(|known| known.cold);
        target.cold = match target.cold {
            Some(report) => Some(report.on_received(known, is_restored, now_ms)),
            None => known,
        };
    }

    fn record_start(&mut self, target: &Target) {
        if let Some(start_unix_ms) = target.incarnation.started_unix_ms {
            self.starts_unix_ms
                .insert(Registration::of(target), start_unix_ms);
        }
    }

    fn writer_of(&self, target: &Target) -> Writer {
        let registration = Registration::of(target);
        let known_unix_ms = self.starts_unix_ms.get(&registration).copied();
        let left = self.left.get(&registration);
        let left_unix_ms = left.and_then(|left| left.incarnation.started_unix_ms);
        match (known_unix_ms, target.incarnation.started_unix_ms) {
            (Some(_), None) => Writer::Other,
            (Some(known), Some(reported)) if reported < known => Writer::PreviousIncarnation,
            (None, Some(reported)) if left_unix_ms.is_some_and(|left| reported < left) => {
                Writer::PreviousIncarnation
            }
            _ => Writer::Target,
        }
    }

    /// Whether a target that registered later listens on this one's address.
    ///
    /// A target that crashes and starts again under another id is listed twice until the heartbeats
    /// of its previous incarnation expire, seconds later. Half of its service's requests would go
    /// to a target that no longer exists, and be refused.
    ///
    /// No target registers for a service that is not configured: such an entry shows nothing.
    fn is_superseded(&self, target: &Target, configuration: Option<&Configuration>) -> bool {
        let is_configured = |service: &str| {
            configuration.is_none_or(|configuration| configuration.service(service).is_some())
        };
        let mut listed = self.listing.targets.values();
        listed.any(|other| {
            other.address == target.address
                && other.listed_revision > target.listed_revision
                && is_configured(&other.service)
        })
    }

    /// Applies the change made at `position`; an older one has no effect.
    pub fn apply(&mut self, change: ListingChange, position: Position, now_ms: MonoMs) {
        // Entries that one transaction has written share a position.
        let is_of_transaction = self.ends_with_change && position == self.listing.position;
        if position <= self.listing.position && !is_of_transaction {
            return;
        }
        self.ends_with_change = true;
        self.listing.position = position;
        match change {
            ListingChange::Set(mut target) => {
                self.record_cold_report(&mut target, false, now_ms);
                self.keep_leaving(&mut target, now_ms);
                self.set(target, now_ms);
            }
            ListingChange::Removed(id) => {
                self.starts_unix_ms
                    .retain(|registration, _| registration.id != id);
                self.listing.invalid.shift_remove(&id);
                self.excluded.shift_remove(&id);
                if let Some(target) = self.listing.targets.shift_remove(&id) {
                    self.on_removed(target, now_ms);
                }
            }
            ListingChange::Invalid(invalid) => self.set_invalid(invalid, now_ms),
        }
    }

    fn set(&mut self, target: Target, now_ms: MonoMs) {
        let id = Arc::clone(target.id());
        match self.writer_of(&target) {
            Writer::Target => {
                self.record_start(&target);
                self.missing.shift_remove(&id);
                self.left.shift_remove(&Registration::of(&target));
                self.excluded.shift_remove(&id);
                self.listing.invalid.shift_remove(&id);
                self.listing.targets.insert(id, target);
            }
            Writer::PreviousIncarnation => {}
            Writer::Other => self.set_invalid(invalid_entry(id, START_MISSING), now_ms),
        }
    }

    fn set_invalid(&mut self, invalid: InvalidEntry, now_ms: MonoMs) {
        if let Some(target) = self.listing.targets.get(&invalid.id).cloned() {
            self.remember_leaving(&target, now_ms);
        }
        self.missing.shift_remove(&invalid.id);
        self.listing.set_invalid(invalid);
    }

    fn on_removed(&mut self, target: Target, now_ms: MonoMs) {
        self.remember_leaving(&target, now_ms);
        self.record_left(&target, now_ms);
        let is_in_grace = now_ms < self.grace_until_ms;
        if is_in_grace && target.phase == Phase::Ready {
            let until_ms = self.grace_until_ms;
            self.missing
                .insert(Arc::clone(target.id()), (target, until_ms));
        }
    }

    /// Forgets missing targets whose grace period is over, and uses those again that are still
    /// listed after the exclusion that followed a restore. Returns whether there were any.
    pub fn expire(&mut self, now_ms: MonoMs) -> bool {
        let before = self.missing.len() + self.excluded.len();
        self.missing.retain(|_, (_, until_ms)| now_ms < *until_ms);
        self.excluded.retain(|_, until_ms| now_ms < *until_ms);
        self.missing.len() + self.excluded.len() != before
    }

    /// The time at which [`expire`](Self::expire) is due next.
    #[must_use]
    pub fn next_expiry_ms(&self) -> Option<MonoMs> {
        let missing = self.missing.values().map(|(_, until_ms)| *until_ms);
        missing.chain(self.excluded.values().copied()).min()
    }

    /// Whether the target of that id is listed as leaving.
    #[must_use]
    pub fn is_leaving(&self, id: &str) -> bool {
        let listed = self.listing.targets.get(id);
        listed.is_some_and(|target| target.phase == Phase::Leaving)
    }

    /// How much longer a target that is no longer listed stays in use; `None` if it does not.
    #[must_use]
    pub fn grace_left_ms(&self, id: &str, now_ms: MonoMs) -> Option<u64> {
        let (_, until_ms) = self.missing.get(id)?;
        Some(until_ms.since(now_ms))
    }

    /// The current list, for peers.
    #[must_use]
    pub fn listing(&self) -> &Listing {
        &self.listing
    }

    /// The current list as it is sent to peers.
    #[must_use]
    pub fn listing_for_peers(&self, now_ms: MonoMs) -> Listing {
        let mut listing = self.listing.clone();
        for target in listing.targets.values_mut() {
            target.cold = target.cold.map(|report| report.for_peer(now_ms));
        }
        listing
    }

    /// Targets that may get new requests under this configuration, if one is known.
    pub fn usable<'a>(
        &'a self,
        configuration: Option<&'a Configuration>,
    ) -> impl Iterator<Item = &'a Target> {
        let listed = self.listing.targets.values();
        let missing = self.missing.values().map(|(target, _)| target);
        listed
            .chain(missing)
            .filter(|target| target.phase == Phase::Ready)
            .filter(|target| !self.excluded.contains_key(target.id()))
            .filter(move |target| !self.is_superseded(target, configuration))
    }
}

fn invalid_entry(id: Arc<str>, reason: &str) -> InvalidEntry {
    InvalidEntry {
        id,
        reason: reason.into(),
    }
}
