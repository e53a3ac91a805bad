//! A rate limit in requests per second.
//!
//! An overloaded target may announce any value, so the limit is clamped to a range in
//! which sharing it among entries works. No value removes the limit.

use serde::{Deserialize, Serialize};

/// Lowest limit in requests per second. A target that announces zero or less still gets
/// a request every ten seconds, because only a response can announce a higher limit.
const MIN_PER_S: f64 = 0.1;

/// Highest limit in requests per second; more than all entries together send to a target.
const MAX_PER_S: f64 = 1_000_000.0;

/// Limit in requests per second for a target whose announced limit cannot be parsed. The
/// target is overloaded, and repeats the announcement with each response.
const UNREADABLE_PER_S: f64 = 1.0;

/// A rate in requests per second, neither zero nor infinite.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(from = "f64", into = "f64")]
pub struct RequestRate(f64);

impl RequestRate {
    /// The rate used if the announced limit cannot be parsed.
    pub const UNREADABLE: Self = Self(UNREADABLE_PER_S);

    /// Returns the rate clamped to the valid range; NaN gives [`Self::UNREADABLE`].
    #[must_use]
    pub fn clamped(per_s: f64) -> Self {
        if per_s.is_nan() {
            return Self::UNREADABLE;
        }
        Self(per_s.clamp(MIN_PER_S, MAX_PER_S))
    }

    /// Returns the rate in requests per second.
    #[must_use]
    pub fn per_s(self) -> f64 {
        self.0
    }
}

impl From<f64> for RequestRate {
    fn from(per_s: f64) -> Self {
        Self::clamped(per_s)
    }
}

impl From<RequestRate> for f64 {
    fn from(rate: RequestRate) -> Self {
        rate.0
    }
}
