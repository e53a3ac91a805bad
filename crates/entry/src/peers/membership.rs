//! Which entries share the targets, and how much demand each of them reports.
//!
//! `berylhook_traffic::ownership` decides how the targets are divided among them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use berylhook_traffic::cold::{EntryCounter, EntryObservation, KnownEntries};
use berylhook_traffic::ownership::{DemandMeter, Member, Membership};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use super::{PeerState, Peers};
use crate::cold_targets;

/// Time between two measurements of the demand.
const DEMAND_INTERVAL: Duration = Duration::from_secs(1);

/// An entry's report for the division of the targets. An entry that takes no requests sends none,
/// nor does one of a version without this report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct DemandReport {
    data_centre: Arc<str>,
    /// Rate of requests that arrive at the entry; `None` before the first measurement.
    demand_per_s: Option<f64>,
}

impl Peers {
    /// This entry's report; `None` before it is ready and once it stops.
    pub(super) fn own_demand_report(&self) -> Option<DemandReport> {
        self.shared.is_ready().then(|| DemandReport {
            data_centre: Arc::clone(&self.shared.settings().data_centre),
            demand_per_s: *self.demand_per_s.lock().expect("no holder panics"),
        })
    }

    /// The entries that share the targets: those that replied last time and take requests. An
    /// entry that missed a reply owns no targets until it replies again, as its callers are
    /// already moving to other entries.
    fn membership(&self) -> Membership {
        let own_member = Member {
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
        Membership::new(own_member, others)
    }

    /// The entries among which the rate of a cold target is divided: all that are known, also those
    /// that do not reply, as they may still send requests.
    fn known_entries(&self, counter: &mut EntryCounter) -> KnownEntries {
        let known = self.known.lock().expect("no holder panics");
        let observation = EntryObservation {
            known: known.len() + 1,
            replying: known.values().filter(|peer| peer.failures == 0).count(),
            is_discovered: self.is_discovered.load(Ordering::Relaxed),
        };
        KnownEntries {
            own: self.own_address(),
            others: known.keys().copied().collect(),
            count: counter.observe(observation, self.shared.clock.now_ms()),
        }
    }

    /// Records that all entries are known.
    pub(super) fn set_fleet_known(&self) {
        if !self.knows_fleet.swap(true, Ordering::Relaxed) {
            let known = self.known.lock().expect("no holder panics");
            self.update_fleet_size(&known);
        }
    }

    /// Publishes the number of entries that keep to the bounds of retries together: the highest of
    /// late, as an entry that is no longer known may still send.
    pub(super) fn update_fleet_size(&self, known: &IndexMap<SocketAddr, PeerState>) {
        if !self.knows_fleet.load(Ordering::Relaxed) {
            return;
        }
        let observation = EntryObservation {
            known: known.len() + 1,
            replying: known.values().filter(|peer| peer.failures == 0).count(),
            is_discovered: true,
        };
        let mut counter = self.fleet_counter.lock().expect("no holder panics");
        let entries = counter.observe(observation, self.shared.clock.now_ms());
        drop(counter);
        self.shared.set_fleet_size(entries);
    }

    /// Measures this entry's demand and keeps the division of the targets up to date.
    pub(crate) async fn maintain_membership(self: Arc<Self>) {
        let mut meter = DemandMeter::default();
        let mut entry_counter = EntryCounter::default();
        let mut members = 0;
        loop {
            sleep(DEMAND_INTERVAL).await;
            let known_entries = self.known_entries(&mut entry_counter);
            self.shared.set_known_entries(known_entries);
            cold_targets::report_changes(&self.shared);
            let arrivals = self.shared.arrival_count.load(Ordering::Relaxed);
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
