//! Back-pressure signals in a response of a target.

use crate::rate::RequestRate;

/// Backoff used if the value of `Retry-After` cannot be parsed, such as a date.
const UNREADABLE_BACKOFF_MS: u64 = 1_000;

const MS_PER_S: f64 = 1_000.0;

/// Parses the value of `Retry-After`, in seconds with an optional fraction, and returns
/// it in milliseconds. A value that cannot be parsed still requests a backoff.
#[must_use]
pub fn backoff_ms(retry_after: &[u8]) -> u64 {
    let text = std::str::from_utf8(retry_after).unwrap_or_default();
    match text.trim().parse::<f64>() {
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // positive, saturates
        Ok(after_s) if after_s.is_finite() && after_s >= 0.0 => (after_s * MS_PER_S).ceil() as u64,
        _ => UNREADABLE_BACKOFF_MS,
    }
}

/// The rate limit announced in a response.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum LimitSignal {
    /// The response announces no limit, so the target has none.
    #[default]
    Absent,
    /// The rate that the target accepts from all entries together.
    Named(RequestRate),
    /// The response announces a limit that cannot be parsed.
    Unreadable,
}

/// The back-pressure signals in one response of a target.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BackpressureSignal {
    /// The rate limit, which applies to the sum over all entries.
    pub limit: LimitSignal,
    /// How long this entry must not send requests to the target; `None` if not requested.
    pub backoff_ms: Option<u64>,
    /// Whether the target has announced that it is draining and will stop.
    pub is_leaving: bool,
}
