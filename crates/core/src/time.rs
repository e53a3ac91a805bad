//! Points in time, kept apart by the clock that gave them.
//!
//! A lease or deadline is only ever compared with a reading of the clock it
//! was made from. Two types keep a wall-clock reading from slipping into a
//! monotonic comparison, where a stepped clock would extend a lapsed right.

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
    /// Milliseconds from `earlier` to `self`; zero where `earlier` is later.
    #[must_use]
    pub fn since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

impl WallMs {
    /// This machine's wall clock; one that stands before 1970 is taken for 1970.
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
