//! Limits on the expert copies of one map change, and the cost of a copy.

/// Limits on the expert copies of one map change.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CopyLimits {
    /// Maximum number of experts that a rank holds in one layer set.
    pub slots_per_rank: usize,
    /// Maximum number of experts that a rank copies in one layer set.
    pub max_new_per_set: usize,
    /// Maximum number of experts that a rank copies in all layer sets together.
    /// Bounds the time to copy.
    pub max_new_per_rank: usize,
    /// Reduction of the skew that each copy has to achieve, as a fraction of the
    /// skew before the change.
    pub skew_cost_per_copy: f64,
}

/// Reduction of the skew that each copied megabyte has to achieve in a group of
/// one rank. Copies are billed by the megabyte, and the benefit of a lower skew
/// grows with the group, so the cost is divided by the number of ranks. For 16
/// ranks and experts of 2,500 MB the result is 0.02.
const SKEW_COST_PER_MB: f64 = 0.000_13;

/// Maximum time for the copies of one map change. A rank copies one expert after
/// the other, and the group runs with the outdated map until the last copy is
/// done.
///
/// Groups of 24 ranks whose experts take 76 ms to copy reached a mean score of
/// 0.584 with one copy per rank and change, 0.598 with two and 0.537 with three,
/// over two days with two seeds each. A higher score is better.
const COPY_BUDGET_MS: f64 = 160.0;

/// The cost of copying one expert to a rank.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CopyCost {
    /// Size of the expert.
    pub expert_mb: f64,
    /// Transfer time on the rank's link.
    pub copy_ms: f64,
}

impl CopyLimits {
    /// Returns the limits of a group. `slots_per_rank` and `max_new_per_set` are
    /// limits of the engines; the others follow from the cost of a copy.
    ///
    /// The number of copies per rank depends on the copy time. With a fixed limit
    /// of one copy per rank and change, groups with many small experts stayed at
    /// more than twice the optimal pass time: 72 ranks with experts of 16 ms had a
    /// skew of 2.6 over 34 s, and of 1.4 with as many copies as fit the time.
    #[must_use]
    pub fn for_group(
        slots_per_rank: usize,
        max_new_per_set: usize,
        cost: CopyCost,
        ranks: usize,
    ) -> Self {
        let copies_in_budget = COPY_BUDGET_MS / cost.copy_ms.max(1.0);
        #[allow(
            clippy::cast_possible_truncation,
            clippy::cast_precision_loss,
            clippy::cast_sign_loss
        )] // between 1 and `COPY_BUDGET_MS`; few ranks
        Self {
            slots_per_rank,
            max_new_per_set,
            max_new_per_rank: (copies_in_budget as usize).max(1),
            skew_cost_per_copy: SKEW_COST_PER_MB * cost.expert_mb / ranks.max(1) as f64,
        }
    }
}
