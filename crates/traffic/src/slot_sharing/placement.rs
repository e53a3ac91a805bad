//! At which targets the entries get their slots.
//!
//! The targets lie on a ring, ordered by data centre and id. An entry takes slots of its own data
//! centre first, then those of the next ones on the ring. As few slots as possible change owners: a
//! target that changes owners holds requests of both for the duration of a response.

use std::sync::Arc;

use indexmap::IndexSet;

use super::SharedTarget;

/// Largest number of slots that one allocation exchanges between two entries that each hold one in
/// the other's data centre, as a fraction of all slots. Bytes between data centres are charged, but
/// the exchange is not urgent.
const EXCHANGED_FRACTION: f64 = 0.01;

/// An entry and the number of slots that it gets.
#[derive(Clone, Debug)]
pub(super) struct EntryShare {
    pub(super) data_centre: Arc<str>,
    pub(super) slots: u32,
}

/// An allocation in the making.
struct Placement<'a> {
    entries: &'a [EntryShare],
    targets: &'a [SharedTarget],
    /// Slots of each entry at each target.
    quotas: Vec<Vec<u32>>,
    /// Free slots of each target.
    free: Vec<u32>,
}

/// Changes the `previous` quotas, one row per entry and one column per target, so that each entry
/// has its share. The shares must add up to no more than the slots of the targets, which are
/// ordered.
pub(super) fn place(
    entries: &[EntryShare],
    previous: Vec<Vec<u32>>,
    targets: &[SharedTarget],
) -> Vec<Vec<u32>> {
    let mut placement = Placement {
        entries,
        targets,
        quotas: previous,
        free: vec![0; targets.len()],
    };
    placement.limit_to_slots();
    placement.release_surplus();
    placement.take_free(|data_centre, target| target.data_centre == *data_centre);
    placement.take_free(|_, _| true);
    placement.exchange_remote();
    placement.quotas
}

impl Placement<'_> {
    /// Takes slots that a target does not have from the entries with the most slots there.
    fn limit_to_slots(&mut self) {
        for (index, target) in self.targets.iter().enumerate() {
            let mut used: u32 = self.quotas.iter().map(|row| row[index]).sum();
            while used > target.slots {
                let largest = self.quotas.iter_mut().max_by_key(|row| row[index]);
                if let Some(row) = largest {
                    row[index] -= 1;
                }
                used -= 1;
            }
            self.free[index] = target.slots - used;
        }
    }

    fn lack(&self, entry: usize) -> u32 {
        let held: u32 = self.quotas[entry].iter().sum();
        self.entries[entry].slots.saturating_sub(held)
    }

    fn is_remote(&self, entry: usize, target: usize) -> bool {
        self.targets[target].data_centre != self.entries[entry].data_centre
    }

    /// Releases slots of entries that have more than their share: those in other data centres
    /// first, then at targets where the entry has the fewest.
    fn release_surplus(&mut self) {
        for entry in 0..self.entries.len() {
            let held: u32 = self.quotas[entry].iter().sum();
            let mut surplus = held.saturating_sub(self.entries[entry].slots);
            let row = &self.quotas[entry];
            let mut held_at: Vec<usize> = (0..row.len()).filter(|it| row[*it] > 0).collect();
            held_at.sort_by_key(|target| (!self.is_remote(entry, *target), row[*target]));
            for target in held_at {
                let released = surplus.min(self.quotas[entry][target]);
                self.quotas[entry][target] -= released;
                self.free[target] += released;
                surplus -= released;
            }
        }
    }

    /// Gives free slots to entries that have less than their share: at targets where they already
    /// have slots first, then along the ring.
    fn take_free(&mut self, may_take: impl Fn(&Arc<str>, &SharedTarget) -> bool) {
        for entry in 0..self.entries.len() {
            let mut lack = self.lack(entry);
            if lack == 0 {
                continue;
            }
            let data_centre = &self.entries[entry].data_centre;
            let start = self.ring_start(data_centre);
            let count = self.targets.len();
            let ring = (0..count).map(|step| (start + step) % count);
            let mut candidates: Vec<usize> = ring
                .filter(|target| self.free[*target] > 0)
                .filter(|target| may_take(data_centre, &self.targets[*target]))
                .collect();
            candidates.sort_by_key(|target| self.quotas[entry][*target] == 0);
            for target in candidates {
                let taken = lack.min(self.free[target]);
                self.quotas[entry][target] += taken;
                self.free[target] -= taken;
                lack -= taken;
            }
        }
    }

    /// The first target of the data centre.
    fn ring_start(&self, data_centre: &Arc<str>) -> usize {
        let mut targets = self.targets.iter();
        let found = targets.position(|target| target.data_centre == *data_centre);
        found.unwrap_or(0)
    }

    /// Exchanges slots between entries that each hold one in the other's data centre.
    fn exchange_remote(&mut self) {
        let total: u32 = self.targets.iter().map(|target| target.slots).sum();
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // at most the total
        let mut left = (f64::from(total) * EXCHANGED_FRACTION).ceil() as u32;
        let mut without_partner: IndexSet<(&Arc<str>, &Arc<str>)> = IndexSet::new();
        for (entry, target) in self.remote_quotas() {
            let pair = (
                &self.entries[entry].data_centre,
                &self.targets[target].data_centre,
            );
            while left > 0 && self.quotas[entry][target] > 0 && !without_partner.contains(&pair) {
                let Some((partner, there)) = self.exchange_partner(pair.0, pair.1) else {
                    without_partner.insert(pair);
                    break;
                };
                self.quotas[entry][target] -= 1;
                self.quotas[partner][target] += 1;
                self.quotas[partner][there] -= 1;
                self.quotas[entry][there] += 1;
                left -= 1;
            }
        }
    }

    /// The pairs of entries and targets in another data centre where they have slots.
    fn remote_quotas(&self) -> Vec<(usize, usize)> {
        let entries = 0..self.entries.len();
        let pairs = entries.flat_map(|entry| {
            let targets = 0..self.targets.len();
            targets.map(move |target| (entry, target))
        });
        pairs
            .filter(|(entry, target)| self.quotas[*entry][*target] > 0)
            .filter(|(entry, target)| self.is_remote(*entry, *target))
            .collect()
    }

    /// An entry of the data centre `other` with a slot at a target of the data centre `own`, and
    /// that target.
    fn exchange_partner(&self, own: &Arc<str>, other: &Arc<str>) -> Option<(usize, usize)> {
        let targets = self.targets.iter().enumerate();
        let own_targets = targets.filter(|(_, target)| target.data_centre == *own);
        let mut pairs = own_targets.flat_map(|(target, _)| {
            let entries = self.entries.iter().enumerate();
            let others = entries.filter(|(_, entry)| entry.data_centre == *other);
            others.map(move |(entry, _)| (entry, target))
        });
        pairs.find(|(entry, target)| self.quotas[*entry][*target] > 0)
    }
}
