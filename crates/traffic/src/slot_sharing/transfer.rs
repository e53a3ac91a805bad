//! Hands slots from one entry to another without requests of both meeting at the target.
//!
//! An entry that loses a slot learns so with its next reply, and its request there may run for
//! seconds. If the new owner used the slot at once, one request more than the target has slots would
//! be there all that time, and each new request of any entry would queue behind it. So the home
//! grants a slot only when no other entry can still use it.

use std::sync::Arc;

use indexmap::IndexMap;

use super::messages::{QuotaList, SlotReport};

/// Slots by target id.
pub(super) type SlotsByTarget = IndexMap<Arc<str>, u32>;

/// The quotas that an entry knows of, and the slots that it may be using.
#[derive(Clone, Debug, Default)]
pub(super) struct Grant {
    /// Version of the quotas; `None` if there are none yet.
    pub(super) version: Option<u64>,
    quotas: SlotsByTarget,
    /// Upper bound of the entry's requests at each target.
    held: SlotsByTarget,
}

impl Grant {
    /// The quotas that another home has granted.
    pub(super) fn adopted(report: &SlotReport) -> Self {
        let mut grant = Self {
            version: report.version,
            quotas: report.quotas.iter().flatten().cloned().collect(),
            held: SlotsByTarget::new(),
        };
        grant.on_report(report);
        grant
    }

    /// Takes in the next report. If the entry applies the last quotas, it uses at most these and
    /// what it still runs beyond them.
    pub(super) fn on_report(&mut self, report: &SlotReport) {
        if report.version != self.version {
            return;
        }
        self.held.clone_from(&self.quotas);
        for (id, excess) in &report.over_quota {
            let held = self.held.entry(Arc::clone(id)).or_default();
            *held = held.saturating_add(*excess);
        }
    }

    /// Upper bound of the entry's requests at a target.
    pub(super) fn held_at(&self, id: &Arc<str>) -> u32 {
        self.held.get(id).copied().unwrap_or(0)
    }

    /// The part of `allocated` that can be granted now, where `free_at` yields the slots of a target
    /// that no other entry can be using.
    pub(super) fn grantable(
        &self,
        allocated: &SlotsByTarget,
        free_at: impl Fn(&Arc<str>) -> u32,
    ) -> SlotsByTarget {
        let quotas = allocated.iter().map(|(id, slots)| {
            let granted = self.quotas.get(id).copied().unwrap_or(0);
            let slots = if *slots > granted {
                (*slots).min(free_at(id).max(granted))
            } else {
                *slots
            };
            (Arc::clone(id), slots)
        });
        quotas.filter(|(_, slots)| *slots > 0).collect()
    }

    /// Replaces the quotas if they differ from `quotas`. An entry that has none gets none before a
    /// slot is free for it: with an empty list, it would hold or refuse all requests.
    pub(super) fn set(&mut self, quotas: SlotsByTarget, next_version: u64) {
        let is_first_empty = self.version.is_none() && quotas.is_empty();
        if is_first_empty || (self.version.is_some() && self.quotas == quotas) {
            return;
        }
        for (id, slots) in &quotas {
            let held = self.held.entry(Arc::clone(id)).or_default();
            *held = (*held).max(*slots);
        }
        self.version = Some(next_version);
        self.quotas = quotas;
    }

    pub(super) fn list(&self) -> QuotaList {
        let quotas = self.quotas.iter();
        quotas.map(|(id, slots)| (Arc::clone(id), *slots)).collect()
    }
}
