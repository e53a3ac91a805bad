//! The home's side of a limit.

use indexmap::IndexMap;

use crate::time::MonoMs;

use super::GrantedShare;

/// How shares are given.
#[derive(Clone, Copy, Debug)]
pub struct ShareConfig {
    /// How long a share is valid on its holder's clock.
    pub valid_ms: u64,
    /// How long the home counts it as outstanding; longer, by more than the
    /// two clocks can drift apart and an answer can take.
    pub outstanding_ms: u64,
    /// Part of a limit that is never given: each process owns an even piece of
    /// it, so that a quiet one need not wait for its first request, and one
    /// that cannot reach the home can still serve some.
    pub static_fraction: f64,
}

impl Default for ShareConfig {
    fn default() -> Self {
        Self {
            valid_ms: 3_000,
            outstanding_ms: 3_500,
            static_fraction: 0.2,
        }
    }
}

/// A holder's question.
#[derive(Clone, Copy, Debug)]
pub struct ShareRequest {
    /// Who asks; a restarted process is another holder.
    pub holder: u64,
    /// The question's number.
    pub request_seq: u64,
    /// How much the holder could use.
    pub demand: f64,
    /// Part of its share that running requests take up; 0 for rates.
    pub in_use: f64,
    /// Number of the last question whose answer arrived.
    pub confirmed_seq: Option<u64>,
}

#[derive(Clone, Copy, Debug)]
struct Given {
    demand: f64,
    /// What the holder may still be using: the largest share given to it that
    /// has not been confirmed as lowered and has not ended.
    outstanding: f64,
    outstanding_until_ms: MonoMs,
    /// The share in the last answer, which may not have arrived.
    last: f64,
    last_asked: u64,
}

/// The home of one limit.
#[derive(Debug)]
pub struct LimitHome {
    config: ShareConfig,
    limit: f64,
    epoch: u64,
    gives_from_ms: MonoMs,
    holders: IndexMap<u64, Given>,
}

impl LimitHome {
    /// A home that took the limit over at `now_ms`; it gives nothing until
    /// every share that a former home may have given has ended.
    #[must_use]
    pub fn takeover(config: ShareConfig, limit: f64, epoch: u64, now_ms: MonoMs) -> Self {
        Self {
            config,
            limit,
            epoch,
            gives_from_ms: now_ms + config.outstanding_ms,
            holders: IndexMap::new(),
        }
    }

    /// Changes the limit. Shares already given run out first where it falls.
    pub fn set_limit(&mut self, limit: f64) {
        self.limit = limit;
    }

    /// The epoch in its grants.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// A holder asks.
    ///
    /// The question confirms the share in the last answer if that answer
    /// arrived: the holder then uses no more than that, but for what its
    /// running requests still take up. Those cannot be called back, so a
    /// lowered share is not given to another while they run.
    pub fn on_request(&mut self, ask: &ShareRequest, now_ms: MonoMs) -> GrantedShare {
        self.forget_ended(now_ms);
        let given = self.holders.entry(ask.holder).or_insert(Given {
            demand: ask.demand,
            outstanding: 0.0,
            outstanding_until_ms: now_ms,
            last: 0.0,
            last_asked: 0,
        });
        given.demand = ask.demand;
        if ask.confirmed_seq == Some(given.last_asked) {
            given.outstanding = given.last.max(ask.in_use);
        }
        let share = if now_ms < self.gives_from_ms {
            0.0
        } else {
            self.share_of(ask.holder)
        };
        self.note(ask, share, now_ms);
        GrantedShare {
            epoch: self.epoch,
            request_seq: ask.request_seq,
            share,
            valid_ms: self.config.valid_ms,
        }
    }

    /// A fair part of the limit, and never more than is not outstanding.
    fn share_of(&self, holder: u64) -> f64 {
        let others: f64 = self
            .holders
            .iter()
            .filter(|(other, _)| **other != holder)
            .map(|(_, given)| given.outstanding)
            .sum();
        let free = (self.given_out() - others).max(0.0);
        self.fair_part(holder).min(free)
    }

    fn given_out(&self) -> f64 {
        self.limit * (1.0 - self.config.static_fraction)
    }

    /// In proportion to demand; evenly where there is none.
    #[allow(clippy::cast_precision_loss)] // a few hundred holders
    fn fair_part(&self, holder: u64) -> f64 {
        let demand = self.holders.get(&holder).map_or(0.0, |given| given.demand);
        let all: f64 = self.holders.values().map(|given| given.demand).sum();
        if all <= 0.0 {
            return self.given_out() / self.holders.len() as f64;
        }
        self.given_out() * demand / all
    }

    fn note(&mut self, ask: &ShareRequest, share: f64, now_ms: MonoMs) {
        if let Some(given) = self.holders.get_mut(&ask.holder) {
            given.outstanding = given.outstanding.max(share).max(ask.in_use);
            given.outstanding_until_ms = now_ms + self.config.outstanding_ms;
            given.last = share;
            given.last_asked = ask.request_seq;
        }
    }

    fn forget_ended(&mut self, now_ms: MonoMs) {
        self.holders
            .retain(|_, given| given.outstanding_until_ms > now_ms);
    }
}
