//! Which entries share the targets' limits, and the limit reports for a new entry.
//!
//! `berylhook_backpressure::coordinator` decides the allocation among them.

use std::sync::Arc;

use berylhook_backpressure::coordinator::Members;
use berylhook_backpressure::messages::LimitReport;
use berylhook_traffic::target::Incarnation;
use indexmap::IndexMap;

use super::{PeerState, Peers};
use crate::backpressure;

impl PeerState {
    /// Whether the peer may send requests to targets, as far as known. A peer that is about to
    /// exit reports that it takes no requests.
    fn may_send(&self) -> bool {
        self.processor_share.is_none() || self.sharing.is_some()
    }
}

impl Peers {
    /// The entries that share the targets' limits.
    ///
    /// Seeds that have not replied yet count as known: an entry that has not reached any peer
    /// must not take a whole limit for itself.
    pub(crate) fn limit_members(&self) -> Members {
        let own_address = self.own_address();
        let settings = self.shared.settings();
        let known = self.known.lock().expect("no holder panics");
        let seeds = settings.seeds.iter().filter(|seed| **seed != own_address);
        let uncontacted_seeds = seeds.filter(|seed| !known.contains_key(*seed)).copied();
        let senders = known.iter().filter(|(_, peer)| peer.may_send());
        let senders = senders.map(|(address, _)| *address);
        let present = known
            .iter()
            .filter(|(_, peer)| peer.failures == 0 && peer.sharing.is_some());
        let present = present.map(|(address, _)| *address);
        let own_if_ready = self.shared.is_ready().then_some(own_address);
        Members {
            known: senders
                .chain(uncontacted_seeds)
                .chain([own_address])
                .collect(),
            present: present.chain(own_if_ready).collect(),
        }
    }

    /// The limits of targets, by service, for an entry that has just started.
    pub(super) fn limit_reports(&self) -> IndexMap<Arc<str>, Vec<LimitReport<Incarnation>>> {
        let now_ms = self.shared.clock.now_ms();
        let queues = self.shared.queues().into_iter();
        let reports = queues.map(|queue| {
            let reports = backpressure::limit_reports(&queue.limit_states(), now_ms);
            (Arc::clone(queue.service()), reports)
        });
        reports.filter(|(_, reports)| !reports.is_empty()).collect()
    }

    pub(super) fn apply_limit_reports(
        &self,
        limits: &IndexMap<Arc<str>, Vec<LimitReport<Incarnation>>>,
    ) {
        for (service, reports) in limits {
            if let Some(queue) = self.shared.existing_queue(service) {
                backpressure::apply_reports(&self.shared, &queue, reports);
            }
        }
    }
}
