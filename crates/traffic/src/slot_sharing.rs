//! Shares the slots of a service's targets between the entries (front-end processes) by their
//! demand.
//!
//! One entry, the *home* of the service, allocates all slots. Each entry reports its demand to the
//! home several times a second, and the reply names its *slot quotas*: how many requests it may run
//! at each target. The quotas of all entries at one target add up to its slots.
//!
//! | Module | Purpose |
//! |---|---|
//! | [`messages`] | a report to the home, and its reply |
//! | [`smoothing`] | the demand of each entry, from noisy measurements |
//! | `shares` | how many slots each entry gets |
//! | `placement` | at which targets it gets them |
//! | `transfer` | when an entry may use a slot that another one has lost |
//!
//! A home whose process was frozen or cut off from a majority of the entries, and an entry that has
//! just become the home, do not know the allocation in force. For the first second, such a home
//! adopts the quotas that the entries report.

pub mod messages;
mod placement;
mod shares;
pub mod smoothing;
mod transfer;

use std::net::SocketAddr;
use std::sync::Arc;

use berylhook_core::time::MonoMs;
use indexmap::IndexMap;

use self::messages::{SlotReply, SlotReport};
use self::placement::{EntryShare, place};
use self::shares::{DemandByLevel, ideal_shares, whole_shares};
use self::smoothing::entry_demands;
use self::transfer::{Grant, SlotsByTarget};

/// How long a new home adopts the reported quotas. Entries report five times in this time.
const ADOPTION_MS: u64 = 1_000;

/// An entry that has not reported for this long loses its quotas. The home itself reports
/// regularly, so after such a gap it was frozen or another entry was the home.
const REPORT_TTL_MS: u64 = 1_000;

/// Time between two allocations: entries report once in this time.
const ALLOCATION_INTERVAL_MS: u64 = 200;

/// Fraction of all slots in use above which quotas bind at each target. Below it, requests rarely
/// meet a full target, and the usual placement chooses the fastest ones.
pub(crate) const BINDING_FRACTION: f64 = 0.8;

/// Digits of the fraction in use after the decimal point, as a factor: each byte is charged.
const FRACTION_PRECISION: f64 = 1_000.0;

/// Largest number of slots of a target that are shared. A target may register an absurd number, and
/// an allocation takes time in proportion to it.
const MAX_SLOTS: u32 = 1_024;

/// A target whose slots are shared.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SharedTarget {
    /// Data centre of the target.
    pub data_centre: Arc<str>,
    /// Id of the target.
    pub id: Arc<str>,
    /// Requests that the target works on at once.
    pub slots: u32,
}

/// An entry as known to the home.
#[derive(Clone, Debug)]
struct EntryState {
    report: SlotReport,
    reported_ms: MonoMs,
    /// The slots that the entry is to have.
    allocated: SlotsByTarget,
    /// The slots that it has.
    grant: Grant,
}

/// The slots of a service at one moment, as the home knows them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SlotSummary {
    /// Slots of all targets that may get requests.
    pub slots: u32,
    /// The most urgent level whose demand exceeds the slots that more urgent ones leave.
    pub scarce_level: Option<u32>,
}

/// The home's allocation of the slots of one service.
#[derive(Clone, Debug)]
pub struct SlotSharing {
    entries: IndexMap<SocketAddr, EntryState>,
    /// When this entry began to act as the home.
    started_ms: MonoMs,
    /// When the last report arrived; `None` before the first.
    last_report_ms: Option<MonoMs>,
    /// The fraction of the slots that could be allocated at the last report.
    last_fraction: f64,
    allocated_ms: Option<MonoMs>,
    /// Slots of the targets at the last allocation.
    slots_by_target: SlotsByTarget,
    last_version: u64,
    summary: SlotSummary,
    moved_slots: u32,
}

impl SlotSharing {
    /// Starts without reports. `first_version` must differ between homes and between runs of one,
    /// as entries recognise unchanged quotas by their version.
    #[must_use]
    pub fn new(first_version: u64) -> Self {
        Self {
            entries: IndexMap::new(),
            started_ms: MonoMs(0),
            last_report_ms: None,
            last_fraction: 0.0,
            allocated_ms: None,
            slots_by_target: SlotsByTarget::new(),
            last_version: first_version,
            summary: SlotSummary::default(),
            moved_slots: 0,
        }
    }

    /// Handles the report of an entry, which may be this one. `targets` yields the targets that may
    /// get requests. Only `fraction` of their slots is allocated, which is less than 1 if the home
    /// is not in contact with a majority of the entries.
    pub fn on_report(
        &mut self,
        from: SocketAddr,
        report: &SlotReport,
        targets: impl FnOnce() -> Vec<SharedTarget>,
        fraction: f64,
        now_ms: MonoMs,
    ) -> SlotReply {
        let is_continued = self
            .last_report_ms
            .is_some_and(|last_ms| now_ms.since(last_ms) < REPORT_TTL_MS);
        // While this home was not in contact with a majority, another one may have allocated slots.
        let is_in_contact_again = self.last_fraction < 1.0 && fraction >= 1.0;
        self.last_fraction = fraction;
        if !is_continued || is_in_contact_again {
            self.entries.clear();
            self.allocated_ms = None;
            self.started_ms = now_ms;
        }
        self.last_report_ms = Some(now_ms);
        let targets = targets();
        self.summary.slots = targets.iter().map(slots).fold(0, u32::saturating_add);
        let is_new = !self.entries.contains_key(&from);
        if is_new && report.version.is_some() && report.quotas.is_none() {
            return SlotReply {
                wants_quotas: true,
                fraction_in_use: None,
                ..self.reply(from, report, now_ms)
            };
        }
        if is_new {
            self.adopt(from, report, &targets, now_ms);
        } else {
            self.record(from, report, now_ms);
        }
        let is_due = self
            .allocated_ms
            .is_none_or(|allocated_ms| now_ms.since(allocated_ms) >= ALLOCATION_INTERVAL_MS);
        if !self.is_adopting(now_ms) {
            if is_new || is_due {
                self.allocate(targets, fraction, now_ms);
            }
            self.grant(from);
        }
        self.reply(from, report, now_ms)
    }

    /// Whether this home still adopts the reported quotas.
    #[must_use]
    pub fn is_adopting(&self, now_ms: MonoMs) -> bool {
        now_ms.since(self.started_ms) < ADOPTION_MS
    }

    /// The slots at the last allocation.
    #[must_use]
    pub fn summary(&self) -> SlotSummary {
        self.summary
    }

    /// Slots that were given to another entry by the last allocation.
    #[must_use]
    pub fn moved_slots(&self) -> u32 {
        self.moved_slots
    }

    fn record(&mut self, from: SocketAddr, report: &SlotReport, now_ms: MonoMs) {
        if let Some(state) = self.entries.get_mut(&from) {
            state.report = report.clone();
            state.reported_ms = now_ms;
            state.grant.on_report(report);
        }
    }

    /// Adopts the quotas that a new entry has from another home. Once this home has allocated slots
    /// itself, the entry keeps only those that no other entry has got since.
    fn adopt(
        &mut self,
        from: SocketAddr,
        report: &SlotReport,
        targets: &[SharedTarget],
        now_ms: MonoMs,
    ) {
        let mut allocated: SlotsByTarget = report.quotas.iter().flatten().cloned().collect();
        if !self.is_adopting(now_ms) {
            for (id, quota) in &mut allocated {
                let target = targets.iter().find(|target| target.id == *id);
                let slots = target.map_or(0, slots);
                *quota = (*quota).min(slots.saturating_sub(self.allocated_at(id)));
            }
        }
        let state = EntryState {
            report: report.clone(),
            reported_ms: now_ms,
            allocated,
            grant: Grant::adopted(report),
        };
        self.entries.insert(from, state);
    }

    /// Slots of a target that entries are to have.
    fn allocated_at(&self, id: &Arc<str>) -> u32 {
        let entries = self.entries.values();
        let slots = entries.filter_map(|state| state.allocated.get(id));
        slots.copied().fold(0, u32::saturating_add)
    }

    /// Grants an entry those of its allocated slots that no other entry can be using. While quotas
    /// do not bind at the targets, they are granted at once.
    fn grant(&mut self, to: SocketAddr) {
        let Some(state) = self.entries.get(&to) else {
            return;
        };
        let is_binding = self.fraction_in_use() > BINDING_FRACTION;
        let free_at = |id: &Arc<str>| {
            let others = self.entries.iter().filter(|(address, _)| **address != to);
            let held = others.map(|(_, state)| state.grant.held_at(id));
            let slots = self.slots_by_target.get(id).copied().unwrap_or(0);
            slots.saturating_sub(held.fold(0, u32::saturating_add))
        };
        let quotas = if is_binding {
            state.grant.grantable(&state.allocated, free_at)
        } else {
            state.allocated.clone()
        };
        self.last_version += 1;
        if let Some(state) = self.entries.get_mut(&to) {
            state.grant.set(quotas, self.last_version);
        }
    }

    /// Allocates all slots to the entries that still report.
    fn allocate(&mut self, mut targets: Vec<SharedTarget>, fraction: f64, now_ms: MonoMs) {
        self.entries
            .retain(|_, state| now_ms.since(state.reported_ms) < REPORT_TTL_MS);
        // Adopted entries arrive in any order; the same order at every home keeps slots in place.
        self.entries.sort_unstable_keys();
        targets.sort_unstable();
        for target in &mut targets {
            target.slots = target.slots.min(MAX_SLOTS);
        }
        let total_slots = targets.iter().map(slots).fold(0, u32::saturating_add);
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // at most the total
        let total = (f64::from(total_slots) * fraction.clamp(0.0, 1.0)) as u32;
        let demands = self.demands();
        let ideal = ideal_shares(&demands, total);
        let previous: Vec<Vec<u32>> = self.previous(&targets);
        let previous_sums: Vec<u32> = previous.iter().map(|quotas| quotas.iter().sum()).collect();
        let whole = whole_shares(&ideal, &previous_sums, total);
        let entries = self.entries.values().zip(&whole);
        let entries: Vec<EntryShare> = entries
            .map(|(state, share)| EntryShare {
                data_centre: Arc::clone(&state.report.data_centre),
                slots: *share,
            })
            .collect();
        let placed = place(&entries, previous.clone(), &targets);
        self.moved_slots = moved(&previous, &placed);
        self.apply(&placed, &targets);
        self.allocated_ms = Some(now_ms);
        self.summary = SlotSummary {
            slots: total_slots,
            scarce_level: ideal.scarce_level,
        };
    }

    fn demands(&self) -> Vec<DemandByLevel> {
        let reports: Vec<&SlotReport> = self.entries.values().map(|state| &state.report).collect();
        entry_demands(&reports)
    }

    /// The present quotas of each entry, one per target.
    fn previous(&self, targets: &[SharedTarget]) -> Vec<Vec<u32>> {
        let entries = self.entries.values();
        let quotas_of = |state: &EntryState| {
            let quota_at = |target: &SharedTarget| {
                let quota = state.allocated.get(&target.id).copied();
                quota.unwrap_or(0).min(target.slots)
            };
            targets.iter().map(quota_at).collect()
        };
        entries.map(quotas_of).collect()
    }

    fn apply(&mut self, placed: &[Vec<u32>], targets: &[SharedTarget]) {
        for (state, row) in self.entries.values_mut().zip(placed) {
            let allocated = targets.iter().zip(row).filter(|(_, quota)| **quota > 0);
            state.allocated = allocated
                .map(|(target, quota)| (Arc::clone(&target.id), *quota))
                .collect();
        }
        let slots = targets.iter();
        self.slots_by_target = slots
            .map(|target| (Arc::clone(&target.id), target.slots))
            .collect();
    }

    fn reply(&self, from: SocketAddr, report: &SlotReport, now_ms: MonoMs) -> SlotReply {
        let grant = self.entries.get(&from).map(|state| &state.grant);
        let version = grant.and_then(|grant| grant.version);
        let is_changed = version.is_some() && version != report.version;
        SlotReply {
            is_home: true,
            version,
            quotas: grant.filter(|_| is_changed).map(Grant::list),
            wants_quotas: false,
            fraction_in_use: (!self.is_adopting(now_ms)).then(|| self.fraction_in_use()),
            scarce_level: self.summary.scarce_level,
        }
    }

    /// Fraction of all slots that the entries use, as far as they have reported.
    fn fraction_in_use(&self) -> f64 {
        let entries = self.entries.values();
        let running = entries.map(|state| f64::from(state.report.running));
        let running: f64 = running.sum();
        let fraction = running / f64::from(self.summary.slots.max(1));
        (fraction * FRACTION_PRECISION).round() / FRACTION_PRECISION
    }
}

fn slots(target: &SharedTarget) -> u32 {
    target.slots
}

/// The number of slots that entries have gained.
fn moved(previous: &[Vec<u32>], placed: &[Vec<u32>]) -> u32 {
    let pairs = previous.iter().flatten().zip(placed.iter().flatten());
    pairs
        .map(|(before, after)| after.saturating_sub(*before))
        .sum()
}
