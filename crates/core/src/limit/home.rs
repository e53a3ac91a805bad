//! The home of a limit: the process that divides it into shares.

use indexmap::IndexMap;

use crate::time::MonoMs;

use super::GrantedShare;

/// How long shares are valid, and how much of a limit is divided.
#[derive(Clone, Copy, Debug)]
pub struct ShareConfig {
    /// How long a share is valid on its holder's clock.
    pub valid_ms: u64,
    /// How long the home counts a share as outstanding. It exceeds `valid_ms` by
    /// more than the clock drift and the delay of a reply.
    pub outstanding_ms: u64,
    /// Fraction of a limit that the home does not divide. Each process always has
    /// an equal part of it, so that a process without a share can serve its first
    /// request at once, and a process that cannot reach the home can serve some.
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

/// A holder's request for a share.
#[derive(Clone, Copy, Debug)]
pub struct ShareRequest {
    /// Identifies the holder; a restarted process is a new holder.
    pub holder: u64,
    /// Sequence number of the request.
    pub request_seq: u64,
    /// How much of the limit the holder could use.
    pub demand: f64,
    /// How much of its share running requests occupy; 0 for rate limits.
    pub in_use: f64,
    /// Sequence number of the last request whose reply the holder received.
    pub confirmed_seq: Option<u64>,
}

#[derive(Clone, Copy, Debug)]
struct HolderState {
    demand: f64,
    /// How much the holder may still be using: the largest share granted to it that
    /// has not expired and not been replaced by a confirmed lower share.
    outstanding: f64,
    outstanding_until_ms: MonoMs,
    /// The share in the last reply, which may not have arrived.
    last_share: f64,
    last_request_seq: u64,
}

/// Divides one limit into shares for its holders.
#[derive(Debug)]
pub struct LimitHome {
    config: ShareConfig,
    limit: f64,
    epoch: u64,
    grants_from_ms: MonoMs,
    holders: IndexMap<u64, HolderState>,
}

impl LimitHome {
    /// Creates a home that took over the limit at `now_ms`. It grants nothing until all
    /// shares that a previous home may have granted have expired.
    #[must_use]
    pub fn takeover(config: ShareConfig, limit: f64, epoch: u64, now_ms: MonoMs) -> Self {
        Self {
            config,
            limit,
            epoch,
            grants_from_ms: now_ms + config.outstanding_ms,
            holders: IndexMap::new(),
        }
    }

    /// Changes the limit. A lower limit takes full effect once the shares granted
    /// under the old limit have expired or been lowered.
    pub fn set_limit(&mut self, limit: f64) {
        self.limit = limit;
    }

    /// Returns the epoch of this home's grants.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Handles a holder's request and returns its new share.
    ///
    /// If the request confirms the last reply, the holder uses at most the share in
    /// that reply, apart from requests that are already running. Those cannot be
    /// cancelled, so the capacity they occupy is not granted to others while they run.
    pub fn on_request(&mut self, request: &ShareRequest, now_ms: MonoMs) -> GrantedShare {
        self.remove_expired(now_ms);
        let holder_state = self.holders.entry(request.holder).or_insert(HolderState {
            demand: request.demand,
            outstanding: 0.0,
            outstanding_until_ms: now_ms,
            last_share: 0.0,
            last_request_seq: 0,
        });
        holder_state.demand = request.demand;
        if request.confirmed_seq == Some(holder_state.last_request_seq) {
            holder_state.outstanding = holder_state.last_share.max(request.in_use);
        }
        let share = if now_ms < self.grants_from_ms {
            0.0
        } else {
            self.available_share(request.holder)
        };
        self.record_grant(request, share, now_ms);
        GrantedShare {
            epoch: self.epoch,
            request_seq: request.request_seq,
            share,
            valid_ms: self.config.valid_ms,
        }
    }

    /// Returns the holder's fair share, limited to what is not outstanding at others.
    fn available_share(&self, holder: u64) -> f64 {
        let used_by_others: f64 = self
            .holders
            .iter()
            .filter(|(other, _)| **other != holder)
            .map(|(_, holder_state)| holder_state.outstanding)
            .sum();
        let free = (self.divided_limit() - used_by_others).max(0.0);
        self.fair_share(holder).min(free)
    }

    fn divided_limit(&self) -> f64 {
        self.limit * (1.0 - self.config.static_fraction)
    }

    /// Divides the limit in proportion to demand, or evenly if there is no demand.
    #[allow(clippy::cast_precision_loss)] // a few hundred holders are exact in an f64
    fn fair_share(&self, holder: u64) -> f64 {
        let demand = self
            .holders
            .get(&holder)
            .map_or(0.0, |holder_state| holder_state.demand);
        let total_demand: f64 = self
            .holders
            .values()
            .map(|holder_state| holder_state.demand)
            .sum();
        if total_demand <= 0.0 {
            return self.divided_limit() / self.holders.len() as f64;
        }
        self.divided_limit() * demand / total_demand
    }

    fn record_grant(&mut self, request: &ShareRequest, share: f64, now_ms: MonoMs) {
        if let Some(holder_state) = self.holders.get_mut(&request.holder) {
            holder_state.outstanding = holder_state.outstanding.max(share).max(request.in_use);
            holder_state.outstanding_until_ms = now_ms + self.config.outstanding_ms;
            holder_state.last_share = share;
            holder_state.last_request_seq = request.request_seq;
        }
    }

    fn remove_expired(&mut self, now_ms: MonoMs) {
        self.holders
            .retain(|_, holder_state| holder_state.outstanding_until_ms > now_ms);
    }
}
