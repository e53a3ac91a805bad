//! Grants permits at the home of a service's limits, and selects the entries to notify of
//! limits.
//!
//! [`crate::home`] selects the home. A home that is not in contact with a majority of the
//! entries grants only a fraction of each limit.

use std::hash::Hash;
use std::net::SocketAddr;

use berylhook_core::time::MonoMs;
use indexmap::IndexMap;

use crate::allocation::Allocation;
use crate::home::HomeSelector;
pub use crate::home::{Members, RequestFailure};
use crate::messages::{PermitGrant, PermitRequest};
use crate::rate::RequestRate;

/// An allocation without requests for this long is created anew, since another entry may
/// have been the home in the meantime.
const ALLOCATION_RETENTION_MS: u64 = 1_000;

/// One entry's state for the target limits of one service: home selection, and the permit
/// allocations while this entry is the home.
#[derive(Debug)]
pub struct PermitCoordinator<T> {
    own: SocketAddr,
    selector: HomeSelector,
    /// The allocation for each target, and when it was last requested.
    allocations: IndexMap<T, (Allocation, MonoMs)>,
    /// The limits that were last sent to all entries.
    published_limits: Vec<(T, Option<RequestRate>)>,
}

impl<T: Clone + Eq + Hash> PermitCoordinator<T> {
    /// Creates the state of the entry with the peer address `own`.
    #[must_use]
    pub fn new(own: SocketAddr, service: &str) -> Self {
        Self {
            own,
            selector: HomeSelector::new(own, service),
            allocations: IndexMap::new(),
            published_limits: Vec::new(),
        }
    }

    /// Returns the home according to this entry.
    #[must_use]
    pub fn home(&self, members: &Members, now_ms: MonoMs) -> SocketAddr {
        self.selector.home(members, now_ms)
    }

    /// Records that a request to another entry got no reply.
    pub fn on_request_failed(
        &mut self,
        member: SocketAddr,
        failure: RequestFailure,
        now_ms: MonoMs,
    ) {
        self.selector.on_request_failed(member, failure, now_ms);
    }

    /// Records that a message from another entry arrived.
    pub fn on_received(&mut self, member: SocketAddr, now_ms: MonoMs) {
        self.selector.on_received(member, now_ms);
    }

    /// Handles permit requests of an entry, which may be this one, and returns the grants;
    /// `None` if this entry is not the home.
    pub fn on_permit_requests(
        &mut self,
        from: SocketAddr,
        requests: &[PermitRequest<T>],
        limit_of: impl Fn(&T) -> Option<RequestRate>,
        members: &Members,
        now_ms: MonoMs,
    ) -> Option<Vec<PermitGrant<T>>> {
        self.on_received(from, now_ms);
        if self.home(members, now_ms) != self.own {
            return None;
        }
        let fraction = self.selector.allocated_fraction(members, now_ms);
        let holders: Vec<SocketAddr> = self.selector.senders(members).collect();
        self.allocations
            .retain(|_, (_, requested_ms)| now_ms.since(*requested_ms) < ALLOCATION_RETENTION_MS);
        let mut grants = Vec::new();
        for request in requests {
            let Some(limit) = limit_of(&request.target) else {
                continue;
            };
            let new_allocation = || (Allocation::after_takeover(limit, now_ms), now_ms);
            let (allocation, requested_ms) = self
                .allocations
                .entry(request.target.clone())
                .or_insert_with(new_allocation);
            *requested_ms = now_ms;
            if let Some(held) = request.held {
                allocation.on_held_permits(from, held, &holders);
            }
            let permits = allocation.grant(limit, fraction, (from, request.requests), now_ms);
            if permits > 0 {
                grants.push(PermitGrant {
                    target: request.target.clone(),
                    permits,
                    valid_ms: Allocation::permit_ttl_ms(limit),
                });
            }
        }
        Some(grants)
    }

    /// Returns the entries that this home must notify of the limits: all if any limit has
    /// changed, otherwise those it is not in contact with.
    pub fn peers_to_notify(
        &mut self,
        limits: Vec<(T, Option<RequestRate>)>,
        members: &Members,
        now_ms: MonoMs,
    ) -> Vec<SocketAddr> {
        let is_changed = self.published_limits != limits;
        self.published_limits = limits;
        let others = members
            .present
            .iter()
            .copied()
            .filter(|member| *member != self.own);
        others
            .filter(|member| is_changed || !self.selector.is_in_contact(*member, now_ms))
            .collect()
    }
}
