//! Keeps expert-parallel groups balanced while popularity shifts.
//!
//! One process at a time leads the groups of a service, by a lease at the
//! platform's store. The leader reads the ranks' counts through the agents
//! beside them, plans a better map when one pays, and carries it into force.
//! What may be switched when is decided by `berylhook_experts::switching`; a
//! leader that was paused and still believes that it leads can do no harm.
//! Switches need no call to the store, so maps follow the demand while it is
//! away, and a leader that is stopped then transfers its leadership; one that dies
//! is followed by the next that the store elects.

mod agent_clients;
mod candidacy;
pub mod counts_window;
mod election;
mod group_loop;
pub mod handover;
mod leadership;
mod service_loop;
mod switch;

use std::net::SocketAddr;
use std::sync::Arc;

use berylhook_platform::store::EraObserver;
use berylhook_traffic::configuration::ExpertModel;
use berylhook_traffic::engine_update::EngineUpdate;
use tokio::sync::watch;

use crate::handover::{LeadershipTransfer, Successors};

/// The engines of one service.
#[derive(Clone, Debug, PartialEq)]
pub struct ExpertService {
    /// The service.
    pub name: Arc<str>,
    /// Its experts.
    pub model: ExpertModel,
    /// Its engines, those that are leaving included: they stay ranks of their
    /// groups until they are gone.
    pub engines: Vec<SocketAddr>,
}

/// What a candidate has to know.
#[derive(Clone)]
pub struct Candidate {
    /// The process's name, for the logs and the store.
    pub name: Arc<str>,
    /// The platform's store.
    pub store: SocketAddr,
    /// Hears of the store's eras.
    pub era_observer: Arc<dyn EraObserver>,
    /// Port of the agents beside the engines.
    pub agent_port: u16,
    /// The services with expert-parallel groups.
    pub services: watch::Receiver<Vec<ExpertService>>,
    /// What the leader learns of the engines; `None` where this process
    /// does not lead.
    pub engine_updates: watch::Sender<Option<EngineUpdate>>,
    /// Whether the process is about to end.
    pub is_stopping: watch::Receiver<bool>,
    /// Rises whenever a key of this project's own changes in the store.
    pub own_key_changes: watch::Receiver<u64>,
    /// Whether another candidate has clearly more processor time.
    pub has_peer_with_more_cpu: watch::Receiver<bool>,
    /// The other candidates, for a leader that stops while the store is away.
    pub successors: Arc<dyn Successors>,
    /// The last transfer of this candidate by a leader that stopped.
    pub incoming_transfer: watch::Receiver<Option<LeadershipTransfer>>,
}

/// Stands for election and leads, for as long as the process lives.
pub async fn run(mut candidate: Candidate) {
    // One task for each service that is ever seen.
    let mut started: Vec<Arc<str>> = Vec::new();
    loop {
        let members = candidate.services.borrow_and_update().clone();
        for service in members.into_iter().map(|members| members.name) {
            if !started.contains(&service) {
                started.push(Arc::clone(&service));
                tokio::spawn(candidacy::lead(candidate.clone(), service));
            }
        }
        if candidate.services.changed().await.is_err() {
            return;
        }
    }
}
