//! What a plan may copy, and at what price.

/// What the engines allow and what a copy costs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CopyLimits {
    /// Experts on one rank in one set.
    pub slots_per_rank: usize,
    /// New experts on one rank in one set.
    pub max_new_per_set: usize,
    /// New experts on one rank in all sets: bounds the time to copy.
    pub max_new_per_rank: usize,
    /// Part of the skew that one copy has to save.
    pub skew_cost_per_copy: f64,
}

/// Skew that each copied megabyte has to save, at a group of one rank. Copies
/// are paid for by the megabyte, and what a lower skew brings grows with the
/// group: 0.02 for one of 16 ranks and 2,500 MB, the cheapest of the prices
/// that were tried there.
const COPY_PRICE_PER_MB: f64 = 0.000_13;

/// Time for the copies of one change. Copies of one rank follow each other, and
/// until the last one is made the map in use is the wrong one.
///
/// Groups of 24 ranks whose experts take 76 ms had a mean worth of 0.584 with one
/// copy a rank and change, 0.598 with two and 0.537 with three, over two days of two
/// seeds each.
const COPY_BUDGET_MS: f64 = 160.0;

/// What it takes to copy one expert to a rank.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CopyCost {
    /// Size of the expert.
    pub expert_mb: f64,
    /// Time on the rank's link.
    pub copy_ms: f64,
}

impl CopyLimits {
    /// The limits of a group: engines name `slots_per_rank` and `max_new_per_set`, the rest
    /// follows from the cost of copies.
    ///
    /// One new expert a rank for each change, whatever its size, left groups of
    /// many small experts at over twice the best pass time: 72 ranks with
    /// experts of 16 ms had a skew of 2.6 over 34 s, and 1.4 with as many as the
    /// time allows.
    #[must_use]
    pub fn for_group(
        slots_per_rank: usize,
        max_new_per_set: usize,
        cost: CopyCost,
        ranks: usize,
    ) -> Self {
        let new_on_rank = COPY_BUDGET_MS / cost.copy_ms.max(1.0);
        #[allow(
            clippy::cast_possible_truncation,
            clippy::cast_precision_loss,
            clippy::cast_sign_loss
        )] // between 1 and the budget's milliseconds; few ranks
        Self {
            slots_per_rank,
            max_new_per_set,
            max_new_per_rank: (new_on_rank as usize).max(1),
            skew_cost_per_copy: COPY_PRICE_PER_MB * cost.expert_mb / ranks.max(1) as f64,
        }
    }
}
