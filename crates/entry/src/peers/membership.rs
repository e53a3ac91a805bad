//! Who shares the targets: what entries tell each other of their demand.
//!
//! What follows from it is decided by `berylhook_traffic::ownership`.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use berylhook_traffic::ownership::{DemandMeter, Member, Membership};
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use super::Peers;

/// Time between two measurements of the demand.
const SHARE_EVERY: Duration = Duration::from_secs(1);

/// What an entry tells of its part in sharing the targets. One that takes no
/// requests, or is of a version that knows no parts, tells nothing.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct Sharing {
    data_centre: Arc<str>,
    /// Requests a second that arrive there; `None` while it cannot tell.
    demand_per_s: Option<f64>,
}

impl Peers {
    /// This entry's part in sharing the targets; none once it stops.
    pub(super) fn own_sharing(&self) -> Option<Sharing> {
        self.shared.is_ready().then(|| Sharing {
            data_centre: Arc::clone(&self.shared.settings().data_centre),
            demand_per_s: *self.demand_per_s.lock().expect("no holder panics"),
        })
    }

    /// The entries that share the targets now: those that have answered and take
    /// requests. One that missed an answer gets no part until it answers again: its
    /// callers are on their way to others.
    fn membership(&self) -> Membership {
        let own = Member {
            address: self.own_address(),
            data_centre: Arc::clone(&self.shared.settings().data_centre),
            demand_per_s: *self.demand_per_s.lock().expect("no holder panics"),
        };
        let known = self.known.lock().expect("no holder panics");
        let present = known.iter().filter(|(_, peer)| peer.failures == 0);
        let others = present.filter_map(|(address, peer)| {
            let sharing = peer.sharing.as_ref()?;
            Some(Member {
                address: *address,
                data_centre: Arc::clone(&sharing.data_centre),
                demand_per_s: sharing.demand_per_s,
            })
        });
        Membership::new(own, others)
    }

    /// Measures this entry's demand and keeps its part of the targets up to date.
    pub(crate) async fn share_targets(self: Arc<Self>) {
        let mut meter = DemandMeter::default();
        let mut members = 0;
        loop {
            sleep(SHARE_EVERY).await;
            let arrivals = self.shared.arrivals.load(Ordering::Relaxed);
            *self.demand_per_s.lock().expect("no holder panics") = meter.observe(arrivals);
            let membership = self.membership();
            if membership.len() != members {
                members = membership.len();
                log::info!(members; "the targets are shared anew");
            }
            self.shared.set_membership(&membership);
        }
    }
}
