//! Who shares the limits of targets, and what a new entry is told of them.
//!
//! What follows from it is decided by `berylhook_backpressure::coordinator`.

use std::sync::Arc;

use berylhook_backpressure::coordinator::Members;
use berylhook_backpressure::messages::LimitReport;
use berylhook_traffic::target::Incarnation;
use indexmap::IndexMap;

use super::{Peer, Peers};
use crate::backpressure;

impl Peer {
    /// Whether it may send to targets, as far as it has told. One that is about to end
    /// says that it takes no requests.
    fn may_send(&self) -> bool {
        self.processor_share.is_none() || self.sharing.is_some()
    }
}

impl Peers {
    /// The entries that share the limits of targets.
    ///
    /// Seeds that have not answered yet are among those known: an entry that has met
    /// nobody must not take a limit for its own.
    pub(crate) fn limit_members(&self) -> Members {
        let own = self.own_address();
        let settings = self.shared.settings();
        let known = self.known.lock().expect("no holder panics");
        let seeds = settings.seeds.iter().filter(|seed| **seed != own);
        let unmet = seeds.filter(|seed| !known.contains_key(*seed)).copied();
        let senders = known.iter().filter(|(_, peer)| peer.may_send());
        let senders = senders.map(|(address, _)| *address);
        let present = known
            .iter()
            .filter(|(_, peer)| peer.failures == 0 && peer.sharing.is_some());
        let present = present.map(|(address, _)| *address);
        let itself = self.shared.is_ready().then_some(own);
        Members {
            known: senders.chain(unmet).chain([own]).collect(),
            present: present.chain(itself).collect(),
        }
    }

    /// The limits that targets name, by service, for an entry that has just started.
    pub(super) fn limit_reports(&self) -> IndexMap<Arc<str>, Vec<LimitReport<Incarnation>>> {
        let now_ms = self.shared.clock.now_ms();
        let queues = self.shared.queues().into_iter();
        let reports = queues.map(|queue| {
            let reports = backpressure::reports(&queue.limit_states(), now_ms);
            (Arc::clone(queue.service()), reports)
        });
        reports.filter(|(_, reports)| !reports.is_empty()).collect()
    }

    pub(super) fn learn_limits(&self, limits: &IndexMap<Arc<str>, Vec<LimitReport<Incarnation>>>) {
        for (service, reports) in limits {
            if let Some(queue) = self.shared.known_queue(service) {
                backpressure::learn(&self.shared, &queue, reports);
            }
        }
    }
}
