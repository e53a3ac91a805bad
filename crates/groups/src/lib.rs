//! Keeps the load of expert-parallel groups balanced while the popularity of experts
//! shifts.
//!
//! One process at a time leads the groups of a service. It is elected by a lease in the
//! platform's store. The leader polls the ranks' counts through the agents beside the
//! engines, plans a better map if its benefit exceeds its cost, and activates it.
//! `berylhook_experts::switching` defines the protocol of a switch, by which a leader that
//! was suspended and still believes that it leads can do no harm. A switch does not use the
//! store, so maps follow the demand while the store is unavailable. A leader that shuts down
//! during this time transfers its leadership to another candidate. A leader that crashes is
//! replaced by the next election.

mod agent_clients;
mod candidacy;
pub mod counts_window;
mod election;
mod group_loop;
pub mod handover;
mod leadership;
pub mod pause_notices;
mod reservation;
mod service_loop;
mod switch;

use std::net::SocketAddr;
use std::sync::Arc;

use berylhook_platform::store::EraObserver;
use berylhook_traffic::configuration::ExpertModel;
use berylhook_traffic::engine_update::EngineUpdate;
use tokio::sync::watch;

use crate::handover::{LeadershipTransfer, Successors};
use crate::pause_notices::PauseNotices;

/// A service with expert-parallel groups.
#[derive(Clone, Debug, PartialEq)]
pub struct ExpertService {
    /// The name of the service.
    pub name: Arc<str>,
    /// The experts of its model and the engines' limits for them.
    pub model: ExpertModel,
    /// Its engines, including those that are draining: they remain ranks of their groups
    /// until they exit.
    pub engines: Vec<SocketAddr>,
}

/// The configuration and channels of a process that takes part in elections.
#[derive(Clone)]
pub struct Candidate {
    /// The name of the process, for the logs and the store.
    pub name: Arc<str>,
    /// The address of the platform's store.
    pub store: SocketAddr,
    /// Is notified of the store's era with each reply of the store.
    pub era_observer: Arc<dyn EraObserver>,
    /// Port of the agents beside the engines.
    pub agent_port: u16,
    /// The services with expert-parallel groups.
    pub services: watch::Receiver<Vec<ExpertService>>,
    /// The state of the engines and groups, as polled by the leader. `None` if this
    /// process does not lead.
    pub engine_updates: watch::Sender<Option<EngineUpdate>>,
    /// Whether the process is shutting down.
    pub is_stopping: watch::Receiver<bool>,
    /// Increases whenever one of the load balancer's own keys changes in the store.
    pub own_key_changes: watch::Receiver<u64>,
    /// Whether another candidate has considerably more processor time.
    pub has_peer_with_more_cpu: watch::Receiver<bool>,
    /// The other candidates, for a leader that shuts down while the store is unavailable.
    pub successors: Arc<dyn Successors>,
    /// Notifies all entries before a rank pauses its group.
    pub pause_notices: Arc<dyn PauseNotices>,
    /// The last transfer of leadership to this candidate.
    pub incoming_transfer: watch::Receiver<Option<LeadershipTransfer>>,
}

/// Takes part in the elections of all services, and leads the groups of a service whenever
/// elected, until the process exits.
pub async fn run(mut candidate: Candidate) {
    // One task per service. Tasks of removed services keep running.
    let mut started: Vec<Arc<str>> = Vec::new();
    loop {
        let services = candidate.services.borrow_and_update().clone();
        for service in services.into_iter().map(|service| service.name) {
            if !started.contains(&service) {
                started.push(Arc::clone(&service));
                tokio::spawn(candidacy::run(candidate.clone(), service));
            }
        }
        if candidate.services.changed().await.is_err() {
            return;
        }
    }
}
