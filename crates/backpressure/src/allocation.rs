//! The home's allocation of permits for one target.

use std::net::SocketAddr;

use berylhook_core::time::MonoMs;
use indexmap::IndexMap;

use crate::rate::RequestRate;

/// Shortest validity of a permit on its holder's clock. In a large fleet, an entry has a
/// request for a given target only about once per second.
const MIN_PERMIT_TTL_MS: f64 = 1_000.0;

/// Longest validity of a permit; a lowered limit is fully enforced after this time.
const MAX_PERMIT_TTL_MS: f64 = 4_000.0;

/// Number of permits outstanding at a time under a low limit. With more, entries could
/// accumulate permits and use them all at once; with fewer, most would expire unused.
const OUTSTANDING_PERMITS: f64 = 2.0;

/// The debt of a new home, as the permits of this length of time.
const TAKEOVER_DEBT_MS: f64 = 1_000.0;

/// Time over which unrequested permits accumulate, in addition to one permit.
const BURST_MS: f64 = 250.0;

/// How long a permit request counts as demand when permits are divided; entries send a
/// few requests in this time.
const REQUEST_TTL_MS: u64 = 600;

const MS_PER_S: f64 = 1_000.0;

/// The permits that the home can grant for one target.
#[derive(Debug)]
pub struct Allocation {
    /// Permits available to grant; negative while the home is in debt.
    available: f64,
    refilled_ms: MonoMs,
    /// The last request of each entry: the entry, the number of permits and the time.
    recent_requests: Vec<(SocketAddr, u32, MonoMs)>,
    /// `None` once the number of permits granted by a previous home is known.
    debt: Option<Debt>,
}

/// Permits that a previous home may have granted, until all their possible holders have
/// reported how many they hold.
#[derive(Debug)]
struct Debt {
    permits: f64,
    /// Permits that each entry held at its first request to this home.
    held: IndexMap<SocketAddr, u32>,
}

impl Allocation {
    /// Creates the allocation of a new home. It starts in debt by the permits that a
    /// previous home may have granted.
    #[must_use]
    pub fn after_takeover(limit: RequestRate, now_ms: MonoMs) -> Self {
        let debt = limit.per_s() * TAKEOVER_DEBT_MS / MS_PER_S;
        Self {
            available: -debt,
            refilled_ms: now_ms,
            recent_requests: Vec::new(),
            debt: Some(Debt {
                permits: debt,
                held: IndexMap::new(),
            }),
        }
    }

    /// Records the number of permits that an entry reports to hold. Once all of `holders`
    /// have reported, the sum of their permits replaces the estimated debt.
    pub fn on_held_permits(&mut self, from: SocketAddr, held: u32, holders: &[SocketAddr]) {
        let Some(debt) = &mut self.debt else {
            return;
        };
        debt.held.entry(from).or_insert(held);
        if holders.iter().any(|holder| !debt.held.contains_key(holder)) {
            return;
        }
        let held: u32 = debt.held.values().sum();
        self.available += debt.permits - f64::from(held);
        self.debt = None;
    }

    /// Handles a permit request, as the requester's address and the number of permits;
    /// returns the number granted. Only `fraction` of the limit is granted.
    pub fn grant(
        &mut self,
        limit: RequestRate,
        fraction: f64,
        request: (SocketAddr, u32),
        now_ms: MonoMs,
    ) -> u32 {
        self.refill(limit.per_s() * fraction, now_ms);
        let (from, requested) = request;
        self.recent_requests
            .retain(|(entry, _, at_ms)| *entry != from && now_ms.since(*at_ms) < REQUEST_TTL_MS);
        self.recent_requests.push((from, requested, now_ms));
        let granted = requested.min(self.fair_share(requested));
        self.available -= f64::from(granted);
        granted
    }

    /// Divides the available permits in proportion to the recent requests, rounded up.
    fn fair_share(&self, requested: u32) -> u32 {
        if self.available < 1.0 {
            return 0;
        }
        let total_requested: f64 = self
            .recent_requests
            .iter()
            .map(|(_, count, _)| f64::from(*count))
            .sum();
        let fair = (self.available * f64::from(requested) / total_requested.max(1.0)).ceil();
        let fair = fair.min(self.available);
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // positive, saturates
        let fair = fair as u32;
        fair
    }

    /// Returns how long permits under `limit` are valid.
    #[must_use]
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // clamped, positive
    pub fn permit_ttl_ms(limit: RequestRate) -> u64 {
        let ttl_ms = OUTSTANDING_PERMITS / limit.per_s() * MS_PER_S;
        ttl_ms.clamp(MIN_PERMIT_TTL_MS, MAX_PERMIT_TTL_MS) as u64
    }

    #[allow(clippy::cast_precision_loss)] // short durations are exact in an f64
    fn refill(&mut self, per_s: f64, now_ms: MonoMs) {
        let elapsed_ms = now_ms.since(self.refilled_ms) as f64;
        self.refilled_ms = self.refilled_ms.max(now_ms);
        let max_available = per_s * BURST_MS / MS_PER_S + 1.0;
        self.available = (self.available + per_s * elapsed_ms / MS_PER_S).min(max_available);
    }
}
