//! What a plan may copy, and at what price.

/// What the engines allow and what a copy costs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Experts on one rank in one set.
    pub places: usize,
    /// New experts on one rank in one set.
    pub new_in_set: usize,
    /// New experts on one rank in all sets: bounds the time to copy.
    pub new_on_rank: usize,
    /// Part of the skew that one copy has to save.
    pub copy_price: f64,
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

impl Limits {
    /// The limits of a group: engines name `places` and `new_in_set`, the rest
    /// follows from the cost of copies.
    ///
    /// One new expert a rank for each change, whatever its size, left groups of
    /// many small experts at over twice the best pass time: 72 ranks with
    /// experts of 16 ms had a skew of 2.6 over 34 s, and 1.4 with as many as the
    /// time allows.
    #[must_use]
    pub fn for_group(places: usize, new_in_set: usize, cost: CopyCost, ranks: usize) -> Self {
        let new_on_rank = COPY_BUDGET_MS / cost.copy_ms.max(1.0);
        #[allow(
            clippy::cast_possible_truncation,
            clippy::cast_precision_loss,
            clippy::cast_sign_loss
        )] // between 1 and the budget's milliseconds; few ranks
        Self {
            places,
            new_in_set,
            new_on_rank: (new_on_rank as usize).max(1),
            copy_price: COPY_PRICE_PER_MB * cost.expert_mb / ranks.max(1) as f64,
        }
    }
}
