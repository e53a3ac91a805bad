//! Estimates each entry's demand for slots from noisy measurements.
//!
//! An entry with 28 arrivals per second measures them only to within a fifth. The entries of one
//! data centre get their callers in proportions that change rarely, while the demand of the data
//! centre as a whole changes within seconds. So each entry averages its own arrivals over seconds,
//! and the home scales them to the sum of the data centre, which is measured better and followed at
//! once.
//!
//! The averages are kept at the entries, so that a new home knows them with the first report.

use std::sync::Arc;

use berylhook_core::time::MonoMs;
use indexmap::IndexMap;

use super::messages::SlotReport;
use super::shares::DemandByLevel;
use crate::demand::SlotDemand;

/// Time constant of an entry's own arrivals.
const ENTRY_TIME_CONSTANT_MS: f64 = 2_000.0;

/// Time constant of the arrivals that are summed over a data centre. Each measurement already
/// covers a second.
const RECENT_TIME_CONSTANT_MS: f64 = 300.0;

/// Deviations of the arrivals, in standard deviations of a random number of arrivals, beyond which
/// the entry's own demand has changed, as when it takes over callers of another entry.
const CHANGE_DEVIATIONS: f64 = 3.0;

const MS_PER_S: f64 = 1_000.0;

/// Digits of a rate after the decimal point in reports, as a factor. Each byte between data centres
/// is charged.
const RATE_PRECISION: f64 = 100.0;

/// An entry's demand, averaged over its last reports.
#[derive(Clone, Debug, Default)]
pub struct SmoothedDemand {
    /// Arrivals per second by urgency, averaged over seconds.
    levels: IndexMap<u32, f64>,
    /// Sum of the arrivals per second, averaged over a fraction of a second.
    recent_per_s: f64,
    updates: u32,
    updated_ms: MonoMs,
}

impl SmoothedDemand {
    /// Takes in the present demand.
    pub fn update(&mut self, demand: &mut SlotDemand, now_ms: MonoMs) {
        let measured = demand.arrivals_per_s(now_ms);
        let measured_per_s: f64 = measured.values().sum();
        let elapsed_ms = now_ms.since(self.updated_ms);
        self.updates = self.updates.saturating_add(1);
        // The first measurements count equally.
        let min_weight = 1.0 / f64::from(self.updates);
        let recent_weight = weight(elapsed_ms, RECENT_TIME_CONSTANT_MS).max(min_weight);
        self.recent_per_s += recent_weight * (measured_per_s - self.recent_per_s);
        let average_per_s: f64 = self.levels.values().sum();
        let deviation = (self.recent_per_s - average_per_s).abs();
        let level_weight = if deviation > CHANGE_DEVIATIONS * average_per_s.max(1.0).sqrt() {
            recent_weight
        } else {
            weight(elapsed_ms, ENTRY_TIME_CONSTANT_MS).max(min_weight)
        };
        for urgency in measured.keys() {
            self.levels.entry(*urgency).or_default();
        }
        for (urgency, average) in &mut self.levels {
            let per_s = measured.get(urgency).copied().unwrap_or(0.0);
            *average += level_weight * (per_s - *average);
        }
        self.levels.sort_unstable_keys();
        self.updated_ms = now_ms;
    }

    /// Arrivals per second by urgency, the most urgent first.
    #[must_use]
    pub fn arrivals_per_s(&self) -> Vec<(u32, f64)> {
        let levels = self.levels.iter();
        levels
            .map(|(urgency, per_s)| (*urgency, rounded(*per_s)))
            .collect()
    }

    /// Sum of the arrivals per second, averaged over a fraction of a second.
    #[must_use]
    pub fn recent_per_s(&self) -> f64 {
        rounded(self.recent_per_s)
    }
}

/// Weight of a new value after `elapsed_ms` in an average with that time constant.
fn weight(elapsed_ms: u64, time_constant_ms: f64) -> f64 {
    #[allow(clippy::cast_precision_loss)] // at most a few days
    let elapsed_ms = elapsed_ms as f64;
    1.0 - (-elapsed_ms / time_constant_ms).exp()
}

fn rounded(per_s: f64) -> f64 {
    (per_s * RATE_PRECISION).round() / RATE_PRECISION
}

/// What the entries of one data centre have in common.
#[derive(Clone, Copy, Debug, Default)]
struct DataCentreSum {
    average_per_s: f64,
    recent_per_s: f64,
    /// Slots in use by Little's law.
    slots: f64,
}

/// The demand of each entry in slots.
///
/// All entries of a data centre get the same mean slot time: the estimate of a small entry varies
/// by a twentieth, which would directly become a difference between the refused fractions.
pub(super) fn entry_demands(reports: &[&SlotReport]) -> Vec<DemandByLevel> {
    let mut sums: IndexMap<&Arc<str>, DataCentreSum> = IndexMap::new();
    for report in reports {
        let sum = sums.entry(&report.data_centre).or_default();
        let average_per_s: f64 = report.arrivals_per_s.iter().map(|(_, per_s)| per_s).sum();
        sum.average_per_s += average_per_s;
        sum.recent_per_s += report.recent_per_s;
        sum.slots += average_per_s * report.mean_slot_ms / MS_PER_S;
    }
    let demand_of = |report: &&SlotReport| {
        let sum = sums[&report.data_centre];
        let average_per_s = sum.average_per_s.max(f64::MIN_POSITIVE);
        let change = sum.recent_per_s / average_per_s;
        let slots_per_arrival = sum.slots / average_per_s;
        let levels = report.arrivals_per_s.iter();
        let mut demand: DemandByLevel = levels
            .map(|(urgency, per_s)| (*urgency, per_s * change * slots_per_arrival))
            .collect();
        demand.sort_unstable_keys();
        demand
    };
    reports.iter().map(demand_of).collect()
}
