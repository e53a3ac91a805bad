//! Log lines that a crowd of clients could cause without end.

use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Shortest time between two lines of one cause.
const INTERVAL: Duration = Duration::from_secs(1);

/// Allows one log line a second.
#[derive(Debug, Default)]
pub struct LogLimit(Mutex<Occurrences>);

#[derive(Debug, Default)]
struct Occurrences {
    logged_at: Option<Instant>,
    suppressed: u64,
}

impl LogLimit {
    /// The number of occurrences since the last line, this one included; `None` if no line is due.
    ///
    /// # Panics
    ///
    /// Never, as no holder of the lock panics.
    pub fn take(&self, now: Instant) -> Option<u64> {
        let mut occurrences = self.0.lock().expect("no holder panics");
        occurrences.suppressed += 1;
        let logged_at = occurrences.logged_at;
        if logged_at.is_some_and(|at| now.saturating_duration_since(at) < INTERVAL) {
            return None;
        }
        occurrences.logged_at = Some(now);
        Some(std::mem::take(&mut occurrences.suppressed))
    }
}
