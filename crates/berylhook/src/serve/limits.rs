//! Limits of accounts and entries, enforced in this process within its share.

use std::sync::{Arc, Mutex};

use berylhook_caller::{Call, ErrorReason, ErrorResponse};
use berylhook_core::limit::{GrantedShare, ShareConfig, ShareHolder, TokenBucket};
use berylhook_core::time::MonoMs;
use berylhook_operator::Catalogue;
use berylhook_operator::catalogue::Limits;
use berylhook_peer::proto::{ShareDemand, ShareGrant};
use indexmap::IndexMap;

use super::node::lock;

/// When to come back to a limit of requests at a time, whose end nobody
/// knows.
const CONCURRENCY_WAIT_MS: u64 = 200;

/// Weight of the last period in the demand.
const DEMAND_WEIGHT: f64 = 0.5;

/// With more limits than this, shares are only asked for those in use: the
/// home's work grows with what it is asked about. The price is that an account
/// that was quiet has only its piece of the static part for a second.
const ASK_ALL_UP_TO: usize = 200;

/// Demand below this counts as none.
const LEAST_DEMAND: f64 = 0.01;

/// What a limit counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Unit {
    /// Requests at a time.
    AtATime,
    /// Requests begun in a second.
    Requests,
    /// Tokens generated in a second.
    Tokens,
}

/// One limit in this process.
struct Limited {
    unit: Unit,
    limit: f64,
    holder: ShareHolder,
    bucket: TokenBucket,
    in_use: u32,
    /// Units wanted since the last question, refused ones included.
    wanted: f64,
    demand: f64,
}

/// All limits in this process.
#[derive(Default)]
pub(crate) struct Limiter {
    limits: Mutex<IndexMap<Arc<str>, Limited>>,
    /// Entries in the platform's list; they share each limit's static part.
    entries: Mutex<f64>,
}

/// A request's hold on the limits it falls under.
pub(crate) struct Permit {
    limiter: Arc<Limiter>,
    names: Vec<Arc<str>>,
}

impl Drop for Permit {
    fn drop(&mut self) {
        let mut limits = lock(&self.limiter.limits);
        for name in &self.names {
            if let Some(limited) = limits.get_mut(name)
                && limited.unit == Unit::AtATime
            {
                limited.in_use = limited.in_use.saturating_sub(1);
            }
        }
    }
}

impl Limited {
    fn new(unit: Unit, limit: f64, now_ms: MonoMs) -> Self {
        Self {
            unit,
            limit,
            holder: ShareHolder::new(),
            bucket: TokenBucket::new(0.0, now_ms),
            in_use: 0,
            wanted: 0.0,
            demand: 0.0,
        }
    }

    fn usable(&self, entries: f64, now_ms: MonoMs) -> f64 {
        self.own(entries) + self.holder.share(now_ms)
    }

    /// This process's piece of the static part.
    fn own(&self, entries: f64) -> f64 {
        self.limit * ShareConfig::default().static_fraction / entries.max(1.0)
    }

    /// Admits one request, or says when to come back.
    fn admit(&mut self, usable: f64, now_ms: MonoMs) -> Result<(), u64> {
        match self.unit {
            Unit::AtATime => {
                self.wanted = self.wanted.max(f64::from(self.in_use) + 1.0);
                if f64::from(self.in_use) + 1.0 > usable {
                    return Err(CONCURRENCY_WAIT_MS);
                }
                self.in_use += 1;
                Ok(())
            }
            Unit::Requests => {
                self.wanted += 1.0;
                self.bucket.set_rate(usable, now_ms);
                self.bucket.take(now_ms)
            }
            Unit::Tokens => {
                self.bucket.set_rate(usable, now_ms);
                match self.bucket.debt_ms(now_ms) {
                    0 => Ok(()),
                    wait_ms => {
                        self.wanted += 1.0;
                        Err(wait_ms)
                    }
                }
            }
        }
    }

    /// Whether this process needs a share, or still has one to give back.
    fn is_in_use(&self, now_ms: MonoMs) -> bool {
        let wants = self.wanted > 0.0 || self.demand > LEAST_DEMAND;
        wants || self.in_use > 0 || (self.holder.share(now_ms) > 0.0 && self.demand > 0.0)
    }

    fn undo(&mut self) {
        if self.unit == Unit::AtATime {
            self.in_use = self.in_use.saturating_sub(1);
        }
    }
}

impl Limiter {
    /// Follows the catalogue and the list of VMs.
    pub(crate) fn reconcile(&self, catalogue: &Catalogue, entries: usize, now_ms: MonoMs) {
        #[allow(clippy::cast_precision_loss)] // a few hundred
        let entries = entries.max(1) as f64;
        *lock(&self.entries) = entries;
        let mut wanted: IndexMap<Arc<str>, (Unit, f64)> = IndexMap::new();
        let accounts = catalogue.accounts.values();
        let accounts =
            accounts.map(|account| (format!("account/{}", account.name), &account.limits));
        let of_entries = catalogue.entries.values();
        let of_entries = of_entries.map(|entry| (format!("entry/{}", entry.name), &entry.limits));
        for (owner, limits) in accounts.chain(of_entries) {
            for (unit, limit) in units_of(limits) {
                if limit > 0 {
                    wanted.insert(name_of(&owner, unit), (unit, f64::from(limit)));
                }
            }
        }
        let mut limits = lock(&self.limits);
        limits.retain(|name, _| wanted.contains_key(name));
        for (name, (unit, limit)) in wanted {
            limits
                .entry(name)
                .or_insert_with(|| Limited::new(unit, limit, now_ms))
                .limit = limit;
        }
    }

    /// Admits a call under all its limits, or refuses it at once.
    pub(crate) fn admit(
        self: &Arc<Self>,
        call: &Call,
        now_ms: MonoMs,
    ) -> Result<Permit, ErrorResponse> {
        let entries = *lock(&self.entries);
        let mut limits = lock(&self.limits);
        let mut taken = Vec::new();
        let names = limit_names(call);
        for name in &names {
            let Some(limited) = limits.get_mut(name) else {
                continue;
            };
            let usable = limited.usable(entries, now_ms);
            if let Err(wait_ms) = limited.admit(usable, now_ms) {
                for earlier in &taken {
                    if let Some(limited) = limits.get_mut(earlier) {
                        limited.undo();
                    }
                }
                return Err(over_limit(name, wait_ms));
            }
            taken.push(Arc::clone(name));
        }
        drop(limits);
        Ok(Permit {
            limiter: Arc::clone(self),
            names: taken,
        })
    }

    /// Charges tokens that were generated for a call.
    pub(crate) fn charge(&self, call: &Call, tokens: u64, now_ms: MonoMs) {
        let entries = *lock(&self.entries);
        let mut limits = lock(&self.limits);
        for name in limit_names(call) {
            if let Some(limited) = limits.get_mut(&name)
                && limited.unit == Unit::Tokens
            {
                let usable = limited.usable(entries, now_ms);
                #[allow(clippy::cast_precision_loss)] // tokens of one answer
                let tokens = tokens as f64;
                limited.wanted += tokens;
                limited.bucket.set_rate(usable, now_ms);
                limited.bucket.charge(tokens, now_ms);
            }
        }
    }

    /// What to ask the home, after `period_s` since the last time.
    pub(crate) fn questions(&self, period_s: f64, now_ms: MonoMs) -> Vec<ShareDemand> {
        let entries = *lock(&self.entries);
        let mut limits = lock(&self.limits);
        let asks_all = limits.len() <= ASK_ALL_UP_TO;
        limits
            .iter_mut()
            .filter(|(_, limited)| asks_all || limited.is_in_use(now_ms))
            .map(|(name, limited)| {
                let above_own = f64::from(limited.in_use) - limited.own(entries);
                let wanted = match limited.unit {
                    Unit::AtATime => limited.wanted,
                    Unit::Requests | Unit::Tokens => limited.wanted / period_s,
                };
                limited.demand += DEMAND_WEIGHT * (wanted - limited.demand);
                limited.wanted = match limited.unit {
                    Unit::AtATime => f64::from(limited.in_use),
                    Unit::Requests | Unit::Tokens => 0.0,
                };
                ShareDemand {
                    limit: name.to_string(),
                    demand: limited.demand,
                    in_use: above_own.max(0.0),
                    confirmed: limited.holder.confirmed_seq(),
                    asked: limited.holder.begin_request(now_ms),
                }
            })
            .collect()
    }

    /// Takes the home's answers.
    pub(crate) fn on_grants(&self, grants: &[ShareGrant]) {
        let mut limits = lock(&self.limits);
        for grant in grants {
            if let Some(limited) = limits.get_mut(grant.limit.as_str()) {
                limited.holder.on_grant(&GrantedShare {
                    epoch: grant.epoch,
                    request_seq: grant.asked,
                    share: grant.share,
                    valid_ms: grant.valid_ms,
                });
            }
        }
    }

    /// Each limit as this process has it, for operators.
    pub(crate) fn status(&self, now_ms: MonoMs) -> serde_json::Value {
        let entries = *lock(&self.entries);
        let limits = lock(&self.limits);
        let shown = limits.iter().map(|(name, limited)| {
            serde_json::json!({
                "name": &**name,
                "limit": limited.limit,
                "usable": limited.usable(entries, now_ms),
                "in_use": limited.in_use,
                "demand": limited.demand,
            })
        });
        shown.collect()
    }

    /// The limits' values, for a home to split.
    pub(crate) fn limit_of(&self, name: &str) -> Option<f64> {
        lock(&self.limits).get(name).map(|limited| limited.limit)
    }
}

fn units_of(limits: &Limits) -> [(Unit, u32); 3] {
    [
        (Unit::AtATime, limits.concurrency),
        (Unit::Requests, limits.requests_per_second),
        (Unit::Tokens, limits.tokens_per_second),
    ]
}

fn name_of(owner: &str, unit: Unit) -> Arc<str> {
    let unit = match unit {
        Unit::AtATime => "concurrency",
        Unit::Requests => "requests_per_second",
        Unit::Tokens => "tokens_per_second",
    };
    format!("{owner}/{unit}").into()
}

fn limit_names(call: &Call) -> Vec<Arc<str>> {
    let account = format!("account/{}", call.account.name);
    let entry = format!("entry/{}", call.entry.name);
    let units = [Unit::AtATime, Unit::Requests, Unit::Tokens];
    [account, entry]
        .iter()
        .flat_map(|owner| units.map(|unit| name_of(owner, unit)))
        .collect()
}

fn over_limit(name: &str, wait_ms: u64) -> ErrorResponse {
    let message = format!("the limit {name} is reached; come back later, or ask for a higher one");
    ErrorResponse::not_run(ErrorReason::OverLimit, message).with_retry_after_ms(wait_ms)
}
