//! Timestamps, with a separate type for each kind of clock.
//!
//! A lease or deadline must only be compared with a reading of the clock it
//! was computed from. The two types keep wall-clock readings out of monotonic
//! comparisons, where a clock step could revive an expired lease.

use std::ops::Add;
use std::time::{SystemTime, UNIX_EPOCH};

/// A reading of one process's own monotonic clock, in milliseconds.
///
/// Readings of two processes cannot be compared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MonoMs(pub u64);

/// A wall-clock reading in milliseconds since the Unix epoch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WallMs(pub u64);

impl MonoMs {
    /// Milliseconds from `earlier` to `self`; zero if `earlier` is later.
    #[must_use]
    pub fn since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }

    /// Milliseconds between the two readings, whichever is earlier.
    #[must_use]
    pub fn distance_ms(self, other: Self) -> u64 {
        self.0.abs_diff(other.0)
    }
}

impl WallMs {
    /// Reads this machine's wall clock; a time before 1970 is returned as 1970.
    #[must_use]
    pub fn now() -> Self {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        let since_ms = since.unwrap_or_default().as_millis();
        Self(u64::try_from(since_ms).unwrap_or(u64::MAX))
    }
}

impl Add<u64> for MonoMs {
    type Output = Self;

    fn add(self, ms: u64) -> Self {
        Self(self.0.saturating_add(ms))
    }
}

impl Add<u64> for WallMs {
    type Output = Self;

    fn add(self, ms: u64) -> Self {
        Self(self.0.saturating_add(ms))
    }
}
