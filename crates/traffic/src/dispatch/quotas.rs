//! The slot quotas of this entry: how many requests it may run at each target.

use std::sync::Arc;

use berylhook_core::time::MonoMs;
use indexmap::IndexMap;

use crate::slot_sharing::BINDING_FRACTION;
use crate::slot_sharing::messages::{QuotaList, SlotReply};

/// Time without a reply of a home after which the quotas count as outdated. If a home fails, the
/// next one replies within two seconds.
const REPLY_TIMEOUT_MS: u64 = 5_000;

/// Fraction of all slots in use up to which quotas that bind keep binding. With a single bound,
/// noise of the load would turn them on and off several times a second.
const RELEASE_FRACTION: f64 = 0.75;

/// The quotas in force.
#[derive(Clone, Debug, Default)]
pub(super) struct Quotas {
    version: Option<u64>,
    /// Quotas by target id, also of targets that this entry does not know.
    by_target: IndexMap<Arc<str>, u32>,
    fraction_in_use: f64,
    /// Whether so many slots are in use that quotas bind at each target.
    is_scarce: bool,
    scarce_level: Option<u32>,
    replied_ms: MonoMs,
    /// Whether no home has replied for too long.
    are_outdated: bool,
}

impl Quotas {
    /// Applies the reply of a home.
    pub(super) fn apply(&mut self, reply: &SlotReply, now_ms: MonoMs) {
        self.replied_ms = now_ms;
        self.are_outdated = false;
        self.fraction_in_use = reply.fraction_in_use.unwrap_or(self.fraction_in_use);
        let bound = if self.is_scarce {
            RELEASE_FRACTION
        } else {
            BINDING_FRACTION
        };
        self.is_scarce = self.fraction_in_use > bound;
        self.scarce_level = reply.scarce_level;
        if let (Some(quotas), Some(version)) = (&reply.quotas, reply.version) {
            self.version = Some(version);
            self.by_target = quotas.iter().cloned().collect();
        }
    }

    /// Version of the quotas; `None` if there are none.
    pub(super) fn version(&self) -> Option<u64> {
        self.version
    }

    pub(super) fn list(&self) -> QuotaList {
        let quotas = self.by_target.iter();
        quotas.map(|(id, quota)| (Arc::clone(id), *quota)).collect()
    }

    /// Fraction of all slots that the entries together use.
    pub(super) fn fraction_in_use(&self) -> f64 {
        self.fraction_in_use
    }

    /// The most urgent level whose demand exceeds the slots that more urgent ones leave.
    pub(super) fn scarce_level(&self) -> Option<u32> {
        self.scarce_level
    }

    /// The quota at a target.
    pub(super) fn at(&self, id: &Arc<str>) -> u32 {
        self.by_target.get(id).copied().unwrap_or(0)
    }

    /// Marks the quotas as outdated if no home has replied for too long; returns whether they have
    /// become so.
    pub(super) fn expire(&mut self, now_ms: MonoMs) -> bool {
        let is_expired = now_ms.since(self.replied_ms) >= REPLY_TIMEOUT_MS;
        let have_become = is_expired && self.version.is_some() && !self.are_outdated;
        self.are_outdated |= have_become;
        have_become
    }

    /// Whether no other entry uses the slots of these quotas.
    pub(super) fn are_exclusive(&self) -> bool {
        !self.are_outdated
    }

    /// Whether requests go only to targets where this entry has a free slot of its own.
    pub(super) fn are_binding(&self) -> bool {
        self.version.is_some() && self.is_scarce && !self.are_outdated
    }
}
