//! Whether a target has survived the beginning of a response that it sends piece by piece.

use std::time::{Duration, Instant};

/// A target that exits on a part of a prompt does so within one or two forward passes after it has
/// begun to respond. It has survived after this time, and after as many deliveries of events where
/// passes are long.
const MIN_SURVIVED_TIME: Duration = Duration::from_millis(250);
const MIN_SURVIVED_DELIVERIES: u32 = 4;

/// Detects that a target has survived the beginning of a response.
#[derive(Debug, Default)]
pub struct SurvivalCheck {
    first_events_at: Option<Instant>,
    deliveries: u32,
    is_reported: bool,
}

impl SurvivalCheck {
    /// Records that events have arrived; returns `true` once, when the target has survived.
    #[must_use]
    pub fn on_events(&mut self, now: Instant) -> bool {
        let first_events_at = *self.first_events_at.get_or_insert(now);
        self.deliveries += 1;
        let has_survived = self.deliveries >= MIN_SURVIVED_DELIVERIES
            && now.duration_since(first_events_at) >= MIN_SURVIVED_TIME;
        has_survived && !std::mem::replace(&mut self.is_reported, has_survived)
    }
}
