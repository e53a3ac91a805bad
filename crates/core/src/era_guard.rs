//! Delays claims in a restored store until the leases of the previous era have expired.
//!
//! A store that is restored from a backup loses leases on which their holders still act:
//! each holder continues until the lease expires on its own clock, or until it learns of
//! the store's new era. A claim made in between finds the key absent and succeeds, and two
//! processes would hold the same key. After a restore, no key that a lease protects is
//! therefore claimed until every lease of the previous era has expired.
//!
//! A process that starts after a restore cannot tell how long ago the restore was. The
//! process that has waited long enough writes a marker with the era into the store, and
//! processes that start later and find the marker need not wait.
//!
//! Edge cases:
//!
//! - A second restore during the wait restarts the wait.
//! - A marker that was restored from a backup names an earlier era and is ignored.
//! - A store that was never restored has era 0, in which claims need no wait.

use crate::time::MonoMs;

/// Decides whether keys protected by a lease may be claimed in the store's current era.
#[derive(Clone, Copy, Debug)]
pub struct EraGuard {
    /// Longest time for which the holder of a lease from an earlier era may still act on it.
    max_lease_ms: u64,
    era: u64,
    /// When this process first learned of the era.
    era_seen_ms: MonoMs,
    /// Whether all leases of earlier eras are known to have expired.
    may_claim: bool,
}

/// Whether a claim may be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimDecision {
    /// The claim is allowed, and the store needs no new marker.
    Allow,
    /// The claim is allowed, and the caller must write the marker for this era.
    AllowAndMark,
    /// The claim must wait: leases of the previous era may still be in use.
    Wait,
}

impl EraGuard {
    /// Creates a guard for leases that are valid for at most `max_lease_ms`.
    #[must_use]
    pub fn new(max_lease_ms: u64) -> Self {
        Self {
            max_lease_ms,
            era: 0,
            era_seen_ms: MonoMs(0),
            may_claim: true,
        }
    }

    /// Decides on a claim, given the era that the store reports and the marker read from it.
    pub fn decide(&mut self, era: u64, marker: Option<u64>, now_ms: MonoMs) -> ClaimDecision {
        if era > self.era {
            self.era = era;
            self.era_seen_ms = now_ms;
            self.may_claim = false;
        }
        match marker {
            _ if self.may_claim => ClaimDecision::Allow,
            Some(marked_era) if marked_era == self.era => {
                self.may_claim = true;
                ClaimDecision::Allow
            }
            _ if now_ms.since(self.era_seen_ms) > self.max_lease_ms => ClaimDecision::AllowAndMark,
            _ => ClaimDecision::Wait,
        }
    }
}
