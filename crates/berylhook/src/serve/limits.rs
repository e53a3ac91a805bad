//! Enforces the limits of client accounts and catalogue entries, within this process's share of
//! each.

use std::sync::{Arc, Mutex};

use berylhook_caller::{Call, ErrorReason, ErrorResponse};
use berylhook_core::limit::{GrantedShare, ShareConfig, ShareHolder, TokenBucket};
use berylhook_core::time::MonoMs;
use berylhook_operator::Catalogue;
use berylhook_operator::catalogue::Limits;
use berylhook_peer::proto::{ShareDemand, ShareGrant};
use indexmap::IndexMap;

use super::node::lock;

/// Retry delay for a limit on concurrent requests, since it is not known when one of them will end.
const CONCURRENCY_RETRY_AFTER_MS: u64 = 200;

/// Weight of the last period in the moving average of the demand.
const DEMAND_WEIGHT: f64 = 0.5;

/// With more limits than this, shares are requested only for those in use, since the home's work
/// grows with the number of limits requested. In exchange, an account without recent requests has
/// only its portion of the static part for one second.
const MAX_LIMITS_TO_REQUEST_ALL: usize = 200;

/// Demand below this is treated as zero.
const MIN_DEMAND: f64 = 0.01;

/// The quantity that a limit counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LimitKind {
    /// Concurrent requests.
    Concurrency,
    /// Requests started per second.
    RequestRate,
    /// Tokens generated per second.
    TokenRate,
}

/// The state of one limit in this process.
struct LimitState {
    kind: LimitKind,
    limit: f64,
    holder: ShareHolder,
    bucket: TokenBucket,
    in_use: u32,
    /// Units requested since the last share request, refused ones included.
    requested: f64,
    demand: f64,
}

/// All limits in this process.
#[derive(Default)]
pub(crate) struct Limiter {
    limits: Mutex<IndexMap<Arc<str>, LimitState>>,
    /// Number of entries on the platform's list, among which each limit's static part is divided.
    entry_count: Mutex<f64>,
}

/// Guard of an admitted request; returns its units of concurrency limits when dropped.
pub(crate) struct Permit {
    limiter: Arc<Limiter>,
    names: Vec<Arc<str>>,
}

impl Drop for Permit {
    fn drop(&mut self) {
        let mut limits = lock(&self.limiter.limits);
        for name in &self.names {
            if let Some(state) = limits.get_mut(name)
                && state.kind == LimitKind::Concurrency
            {
                state.in_use = state.in_use.saturating_sub(1);
            }
        }
    }
}

impl LimitState {
    fn new(kind: LimitKind, limit: f64, now_ms: MonoMs) -> Self {
        Self {
            kind,
            limit,
            holder: ShareHolder::new(),
            bucket: TokenBucket::new(0.0, now_ms),
            in_use: 0,
            requested: 0.0,
            demand: 0.0,
        }
    }

    fn usable_limit(&self, entry_count: f64, now_ms: MonoMs) -> f64 {
        self.static_portion(entry_count) + self.holder.share(now_ms)
    }

    /// This process's portion of the static part.
    fn static_portion(&self, entry_count: f64) -> f64 {
        self.limit * ShareConfig::default().static_fraction / entry_count.max(1.0)
    }

    /// Admits one request, or returns the retry delay in milliseconds.
    fn admit(&mut self, usable_limit: f64, now_ms: MonoMs) -> Result<(), u64> {
        match self.kind {
            LimitKind::Concurrency => {
                self.requested = self.requested.max(f64::from(self.in_use) + 1.0);
                if f64::from(self.in_use) + 1.0 > usable_limit {
                    return Err(CONCURRENCY_RETRY_AFTER_MS);
                }
                self.in_use += 1;
                Ok(())
            }
            LimitKind::RequestRate => {
                self.requested += 1.0;
                self.bucket.set_rate(usable_limit, now_ms);
                self.bucket.take(now_ms)
            }
            LimitKind::TokenRate => {
                self.bucket.set_rate(usable_limit, now_ms);
                match self.bucket.debt_ms(now_ms) {
                    0 => Ok(()),
                    retry_after_ms => {
                        self.requested += 1.0;
                        Err(retry_after_ms)
                    }
                }
            }
        }
    }

    /// Whether this process needs a share, or still has one to return.
    fn is_in_use(&self, now_ms: MonoMs) -> bool {
        let has_demand = self.requested > 0.0 || self.demand > MIN_DEMAND;
        has_demand || self.in_use > 0 || (self.holder.share(now_ms) > 0.0 && self.demand > 0.0)
    }

    fn release(&mut self) {
        if self.kind == LimitKind::Concurrency {
            self.in_use = self.in_use.saturating_sub(1);
        }
    }
}

impl Limiter {
    /// Adopts the limits of the catalogue and the number of listed entries.
    pub(crate) fn reconcile(&self, catalogue: &Catalogue, entry_count: usize, now_ms: MonoMs) {
        #[allow(clippy::cast_precision_loss)] // a few hundred
        let entry_count = entry_count.max(1) as f64;
        *lock(&self.entry_count) = entry_count;
        let mut configured: IndexMap<Arc<str>, (LimitKind, f64)> = IndexMap::new();
        let accounts = catalogue.accounts.values();
        let accounts =
            accounts.map(|account| (format!("account/{}", account.name), &account.limits));
        let entries = catalogue.entries.values();
        let entries = entries.map(|entry| (format!("entry/{}", entry.name), &entry.limits));
        for (owner, limits) in accounts.chain(entries) {
            for (kind, limit) in configured_limits(limits) {
                if limit > 0 {
                    configured.insert(limit_name(&owner, kind), (kind, f64::from(limit)));
                }
            }
        }
        let mut limits = lock(&self.limits);
        limits.retain(|name, _| configured.contains_key(name));
        for (name, (kind, limit)) in configured {
            limits
                .entry(name)
                .or_insert_with(|| LimitState::new(kind, limit, now_ms))
                .limit = limit;
        }
    }

    /// Admits a call under all its limits, or refuses it at once.
    pub(crate) fn admit(
        self: &Arc<Self>,
        call: &Call,
        now_ms: MonoMs,
    ) -> Result<Permit, ErrorResponse> {
        let entry_count = *lock(&self.entry_count);
        let mut limits = lock(&self.limits);
        let mut admitted = Vec::new();
        let names = limit_names(call);
        for name in &names {
            let Some(state) = limits.get_mut(name) else {
                continue;
            };
            let usable_limit = state.usable_limit(entry_count, now_ms);
            if let Err(retry_after_ms) = state.admit(usable_limit, now_ms) {
                for earlier in &admitted {
                    if let Some(state) = limits.get_mut(earlier) {
                        state.release();
                    }
                }
                return Err(over_limit_error(name, retry_after_ms));
            }
            admitted.push(Arc::clone(name));
        }
        drop(limits);
        Ok(Permit {
            limiter: Arc::clone(self),
            names: admitted,
        })
    }

    /// Charges tokens that were generated for a call.
    pub(crate) fn charge(&self, call: &Call, tokens: u64, now_ms: MonoMs) {
        let entry_count = *lock(&self.entry_count);
        let mut limits = lock(&self.limits);
        for name in limit_names(call) {
            if let Some(state) = limits.get_mut(&name)
                && state.kind == LimitKind::TokenRate
            {
                let usable_limit = state.usable_limit(entry_count, now_ms);
                #[allow(clippy::cast_precision_loss)] // tokens of one response
                let tokens = tokens as f64;
                state.requested += tokens;
                state.bucket.set_rate(usable_limit, now_ms);
                state.bucket.charge(tokens, now_ms);
            }
        }
    }

    /// The demands to send to the home, `period_s` after the previous share request.
    pub(crate) fn share_demands(&self, period_s: f64, now_ms: MonoMs) -> Vec<ShareDemand> {
        let entry_count = *lock(&self.entry_count);
        let mut limits = lock(&self.limits);
        let requests_all = limits.len() <= MAX_LIMITS_TO_REQUEST_ALL;
        limits
            .iter_mut()
            .filter(|(_, state)| requests_all || state.is_in_use(now_ms))
            .map(|(name, state)| {
                let above_static_portion =
                    f64::from(state.in_use) - state.static_portion(entry_count);
                let requested = match state.kind {
                    LimitKind::Concurrency => state.requested,
                    LimitKind::RequestRate | LimitKind::TokenRate => state.requested / period_s,
                };
                state.demand += DEMAND_WEIGHT * (requested - state.demand);
                state.requested = match state.kind {
                    LimitKind::Concurrency => f64::from(state.in_use),
                    LimitKind::RequestRate | LimitKind::TokenRate => 0.0,
                };
                ShareDemand {
                    limit: name.to_string(),
                    demand: state.demand,
                    in_use: above_static_portion.max(0.0),
                    confirmed: state.holder.confirmed_seq(),
                    asked: state.holder.begin_request(now_ms),
                }
            })
            .collect()
    }

    /// Applies the shares that the home granted.
    pub(crate) fn on_grants(&self, grants: &[ShareGrant]) {
        let mut limits = lock(&self.limits);
        for grant in grants {
            if let Some(state) = limits.get_mut(grant.limit.as_str()) {
                state.holder.on_grant(&GrantedShare {
                    epoch: grant.epoch,
                    request_seq: grant.asked,
                    share: grant.share,
                    valid_ms: grant.valid_ms,
                });
            }
        }
    }

    /// The state of each limit in this process, for operators.
    pub(crate) fn status(&self, now_ms: MonoMs) -> serde_json::Value {
        let entry_count = *lock(&self.entry_count);
        let limits = lock(&self.limits);
        let rows = limits.iter().map(|(name, state)| {
            serde_json::json!({
                "name": &**name,
                "limit": state.limit,
                "usable": state.usable_limit(entry_count, now_ms),
                "in_use": state.in_use,
                "demand": state.demand,
            })
        });
        rows.collect()
    }

    /// The value of a limit, for the home to split.
    pub(crate) fn limit_value(&self, name: &str) -> Option<f64> {
        lock(&self.limits).get(name).map(|state| state.limit)
    }
}

fn configured_limits(limits: &Limits) -> [(LimitKind, u32); 3] {
    [
        (LimitKind::Concurrency, limits.concurrency),
        (LimitKind::RequestRate, limits.requests_per_second),
        (LimitKind::TokenRate, limits.tokens_per_second),
    ]
}

fn limit_name(owner: &str, kind: LimitKind) -> Arc<str> {
    let kind = match kind {
        LimitKind::Concurrency => "concurrency",
        LimitKind::RequestRate => "requests_per_second",
        LimitKind::TokenRate => "tokens_per_second",
    };
    format!("{owner}/{kind}").into()
}

fn limit_names(call: &Call) -> Vec<Arc<str>> {
    let account = format!("account/{}", call.account.name);
    let entry = format!("entry/{}", call.entry.name);
    let kinds = [
        LimitKind::Concurrency,
        LimitKind::RequestRate,
        LimitKind::TokenRate,
    ];
    [account, entry]
        .iter()
        .flat_map(|owner| kinds.map(|kind| limit_name(owner, kind)))
        .collect()
}

fn over_limit_error(name: &str, retry_after_ms: u64) -> ErrorResponse {
    let message = format!("the limit {name} is reached; come back later, or ask for a higher one");
    ErrorResponse::not_run(ErrorReason::OverLimit, message).with_retry_after_ms(retry_after_ms)
}
