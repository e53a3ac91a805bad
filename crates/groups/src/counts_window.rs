//! Whose counts a leader asks for in one reading.
//!
//! All ranks', if the leader's link and processor carry the answers; otherwise as many
//! as come in time, by turns. Counts tell what was chosen since the last time, so a rank
//! whose turn comes late tells no less, only later.

/// Numbers of counts asked for in a leader's first reading, over all ranks. Whole
/// counts take a byte or two a number, so this takes some 40 ms of a link of 40
/// Mbit/s, well within the time for an answer.
///
/// A leader of 192 ranks that asked all of them at once, each for 3,840 numbers, got
/// none within that time on such a link, asked for all of them anew, and changed no map
/// for the twenty seconds that it led.
const FIRST_NUMBERS: usize = 100_000;

/// Fewest ranks whose counts a reading asks for.
const LEAST_COUNTED: usize = 8;

/// Of the ranks asked for counts, the part that may be late without fewer being asked
/// the next time: an agent that is gone is no sign of a full link.
const LATE_PART: f64 = 0.1;

/// A careful step asks for this part more than the last one: doubling would ask for too
/// much each second time.
const CAREFUL_STEPS: usize = 8;

/// How many ranks a reading asks for their counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CountsWindow {
    most: usize,
    first: usize,
    /// Whether a reading has asked for too much; from then on small steps lead up.
    is_careful: bool,
}

impl CountsWindow {
    /// For counts of that many numbers a rank.
    #[must_use]
    pub fn new(numbers: usize) -> Self {
        Self {
            most: (FIRST_NUMBERS / numbers.max(1)).max(LEAST_COUNTED),
            first: 0,
            is_careful: false,
        }
    }

    /// Whether the rank's turn is now, as one of `ranks`.
    #[must_use]
    pub fn includes(&self, rank: usize, ranks: usize) -> bool {
        (rank + ranks - self.first % ranks.max(1)) % ranks.max(1) < self.most
    }

    /// A reading of `ranks` is over; of those asked for counts, `late` gave none.
    pub fn record_poll(&mut self, ranks: usize, late: usize) {
        let asked = self.most.min(ranks);
        self.first = (self.first + asked) % ranks.max(1);
        #[allow(clippy::cast_precision_loss)] // hundreds
        let is_full = late as f64 > asked as f64 * LATE_PART;
        self.is_careful |= is_full;
        let step = if self.is_careful {
            asked.div_ceil(CAREFUL_STEPS)
        } else {
            asked
        };
        let most = if is_full { asked / 2 } else { asked + step };
        self.most = most.clamp(LEAST_COUNTED, ranks.max(LEAST_COUNTED));
    }
}
