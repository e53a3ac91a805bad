//! Chooses the ranks whose counts a leader requests in one poll.
//!
//! The leader requests the counts of all ranks if its link and processor can handle the
//! replies in time, and of as many as possible in rotation otherwise. Counts are
//! cumulative, so polling a rank less often loses no information.

/// Number of counters requested in a leader's first poll, over all ranks. A full set of
/// counts takes one or two bytes per counter, so this occupies a link of 40 Mbit/s for
/// about 40 ms, well within the time-out of a reply.
///
/// A leader of 192 ranks that requested 3,840 counters from all of them at once received
/// none in time over such a link, repeated the same request, and changed no map in the
/// twenty seconds of its term.
const INITIAL_COUNTERS: usize = 100_000;

/// Minimum number of ranks whose counts a poll requests.
const MIN_RANKS: usize = 8;

/// Fraction of the requested counts that may be late without shrinking the window. An
/// agent that has exited does not indicate a saturated link.
const MAX_LATE_FRACTION: f64 = 0.1;

/// After the first poll with too many late replies, the window grows by its size divided by
/// this number with each poll. Doubling would request too much in every second poll.
const GROWTH_DIVISOR: usize = 8;

/// Window over the ranks whose counts are requested in a poll. It moves on by its size with
/// each poll, and grows or shrinks with the number of late replies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CountsWindow {
    size: usize,
    first: usize,
    /// Whether the window was too large before. It doubles with each poll until then, and
    /// grows by a fraction of its size afterwards.
    has_been_too_large: bool,
}

impl CountsWindow {
    /// Creates the window for ranks with this number of counters each.
    #[must_use]
    pub fn new(counters_per_rank: usize) -> Self {
        Self {
            size: (INITIAL_COUNTERS / counters_per_rank.max(1)).max(MIN_RANKS),
            first: 0,
            has_been_too_large: false,
        }
    }

    /// Whether the next poll requests the counts of `rank`, in a group of `ranks` ranks.
    #[must_use]
    pub fn includes(&self, rank: usize, ranks: usize) -> bool {
        (rank + ranks - self.first % ranks.max(1)) % ranks.max(1) < self.size
    }

    /// Records the result of a poll of `ranks` ranks, of which `late` did not reply in time
    /// to the request for counts.
    pub fn record_poll(&mut self, ranks: usize, late: usize) {
        let requested = self.size.min(ranks);
        self.first = (self.first + requested) % ranks.max(1);
        #[allow(clippy::cast_precision_loss)] // hundreds of ranks
        let is_too_large = late as f64 > requested as f64 * MAX_LATE_FRACTION;
        self.has_been_too_large |= is_too_large;
        let growth = if self.has_been_too_large {
            requested.div_ceil(GROWTH_DIVISOR)
        } else {
            requested
        };
        let size = if is_too_large {
            requested / 2
        } else {
            requested + growth
        };
        self.size = size.clamp(MIN_RANKS, ranks.max(MIN_RANKS));
    }
}
