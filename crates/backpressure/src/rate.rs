//! A limit in requests a second.
//!
//! Targets in trouble send what they will, so a limit is brought within bounds in which
//! sharing it makes sense. None of them lifts it.

use serde::{Deserialize, Serialize};

/// Least limit, in requests a second. A target that names none at all, or less, still gets
/// a request each ten seconds: only an answer can tell that it takes more again.
const LEAST_PER_S: f64 = 0.1;

/// Largest limit, in requests a second: more than all entries send to one target.
const MOST_PER_S: f64 = 1_000_000.0;

/// Limit of a target that names one which can't be read, in requests a second. It is in
/// need, and says so with each answer.
const UNREADABLE_PER_S: f64 = 1.0;

/// Requests a second, neither zero nor infinite.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(from = "f64", into = "f64")]
pub struct RequestRate(f64);

impl RequestRate {
    /// Taken where the limit can't be read.
    pub const UNREADABLE: Self = Self(UNREADABLE_PER_S);

    /// That rate, or the nearest one within bounds.
    #[must_use]
    pub fn clamped(per_s: f64) -> Self {
        if per_s.is_nan() {
            return Self::UNREADABLE;
        }
        Self(per_s.clamp(LEAST_PER_S, MOST_PER_S))
    }

    /// Requests a second.
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
