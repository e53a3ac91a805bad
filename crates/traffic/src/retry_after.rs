//! When refused callers should come back.

/// Clients wait for at most a third of their time; a later time to come back
/// would be ignored.
const RETRY_AFTER_PART: u64 = 4;

/// Earliest time to come back: a place becomes free every few milliseconds,
/// but not for all who were refused at once.
///
/// A later one, from a ninth of the caller's time, gained nothing: mean worth of
/// 45 days of twelve ranks was 0.674 with this and 0.670 with that.
const RETRY_AFTER_MIN_MS: u64 = 20;

/// Latest time to come back, about the life of the generations that run now.
const RETRY_AFTER_MAX_MS: u64 = 1_500;

/// Why a caller should come back later.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryReason {
    /// There is more work than places.
    Busy,
    /// The service refuses everything; a group that forms anew takes a second
    /// or more.
    Down,
    /// All targets say that they take no more now.
    Withheld {
        /// When one takes a request again.
        until_accepting_ms: u64,
    },
}

/// Milliseconds after which a refused caller that waits for `left_ms` more should
/// come back.
///
/// The times are spread evenly: callers refused in the same moment would
/// otherwise return in the same moment and be refused again.
#[must_use]
pub fn retry_after_ms(left_ms: u64, back: RetryReason, random: u64) -> u64 {
    let latest_ms = left_ms / RETRY_AFTER_PART;
    let (from_ms, to_ms) = match back {
        RetryReason::Busy => (RETRY_AFTER_MIN_MS, latest_ms.min(RETRY_AFTER_MAX_MS)),
        RetryReason::Down => (latest_ms / 2, latest_ms),
        RetryReason::Withheld { until_accepting_ms } => {
            (until_accepting_ms, until_accepting_ms.saturating_mul(2))
        }
    };
    match to_ms.checked_sub(from_ms) {
        None | Some(0) => from_ms.max(RETRY_AFTER_MIN_MS),
        Some(span_ms) => from_ms + random % span_ms,
    }
}
