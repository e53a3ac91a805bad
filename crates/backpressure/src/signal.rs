//! What one answer of a target says of how much it takes.

use crate::rate::RequestRate;

/// The rest of a target that asks for one in words that can't be read, such as a date.
const UNREADABLE_REST_MS: u64 = 1_000;

const MS_PER_S: f64 = 1_000.0;

/// Milliseconds of a `Retry-After`, which is in seconds and may have a fraction. A time
/// that can't be read is a wish for rest all the same.
#[must_use]
pub fn backoff_ms(retry_after: &[u8]) -> u64 {
    let text = std::str::from_utf8(retry_after).unwrap_or_default();
    match text.trim().parse::<f64>() {
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // positive, saturates
        Ok(after_s) if after_s.is_finite() && after_s >= 0.0 => (after_s * MS_PER_S).ceil() as u64,
        _ => UNREADABLE_REST_MS,
    }
}

/// What an answer says of a limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum LimitSignal {
    /// Nothing: there is none.
    #[default]
    Absent,
    /// What the target takes from all entries together.
    Named(RequestRate),
    /// It names one that can't be read.
    Unreadable,
}

/// What an answer says of how much its target takes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BackpressureSignal {
    /// The limit over all entries.
    pub limit: LimitSignal,
    /// For how long the target wants nothing from this entry; `None` if it does not say.
    pub backoff_ms: Option<u64>,
    /// Whether the target is about to leave.
    pub is_leaving: bool,
}
