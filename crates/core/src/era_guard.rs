//! When something that a lease protects may be claimed in a restored store.
//!
//! A store that comes back from an older copy has lost leases that their holders still act
//! on: each holder goes on until its own clock says that the lease is over, or until the
//! store tells it of the new era. A claim made meanwhile finds the key absent and succeeds,
//! and two processes hold one thing. So after a restore nothing is claimed until every lease
//! of the era before has run out, whoever held it.
//!
//! A process that starts in a later era cannot tell how long ago the restore was. Whoever
//! has waited leaves a mark in the store that this era is settled, and those that start
//! afterwards need not wait.
//!
//! Edge cases:
//!
//! - A second restore before the wait is over begins it anew.
//! - A mark that a copy brought back is of a former era and settles nothing.
//! - A store that was never restored has era 0, which is settled.

use crate::time::MonoMs;

/// Decides from when on things may be claimed in an era.
#[derive(Clone, Copy, Debug)]
pub struct EraGuard {
    /// Longest time for which a lease of a former era may still be acted on.
    lease_ms: u64,
    era: u64,
    /// When the era was first heard of.
    since_ms: MonoMs,
    is_settled: bool,
}

/// Whether a claim may be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimDecision {
    /// It may; the mark stands in the store.
    Allow,
    /// It may, and the mark is to be left.
    AllowAndMark,
    /// Leases of the era before may still be acted on.
    Wait,
}

impl EraGuard {
    /// A guard for leases of that length.
    #[must_use]
    pub fn new(lease_ms: u64) -> Self {
        Self {
            lease_ms,
            era: 0,
            since_ms: MonoMs(0),
            is_settled: true,
        }
    }

    /// Decides on a claim: the store told this era, and the mark that stands in it.
    pub fn decide(&mut self, era: u64, mark: Option<u64>, now_ms: MonoMs) -> ClaimDecision {
        if era > self.era {
            self.era = era;
            self.since_ms = now_ms;
            self.is_settled = false;
        }
        match mark {
            _ if self.is_settled => ClaimDecision::Allow,
            Some(mark) if mark == self.era => {
                self.is_settled = true;
                ClaimDecision::Allow
            }
            _ if now_ms.since(self.since_ms) > self.lease_ms => ClaimDecision::AllowAndMark,
            _ => ClaimDecision::Wait,
        }
    }
}
