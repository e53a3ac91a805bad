//! A target and its incarnation.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::cold::ColdReport;

/// State that a target reports of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// The target accepts requests.
    Ready,
    /// The target is about to stop and accepts no new requests.
    Leaving,
}

/// One run of a target, from its start to its exit.
///
/// A target may start again under the same id. It then knows nothing of its previous requests, so
/// all state about a target is kept per incarnation.
///
/// A request that was in flight at a previous incarnation may have run: neither the restart nor a
/// response of the new incarnation proves that it did not. It is sent again only if its route
/// allows a second run.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Incarnation {
    /// Id of the target.
    pub id: Arc<str>,
    /// Unix time of the target's start in milliseconds, by its own clock. `None` if the target does
    /// not report it; each start then has an id of its own.
    pub started_unix_ms: Option<u64>,
}

/// One target of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The incarnation of the target.
    #[serde(flatten)]
    pub incarnation: Incarnation,
    /// Name of the service.
    pub service: Arc<str>,
    /// Address on which the target listens. Another target may use the address later.
    pub address: SocketAddr,
    /// Data centre of the target.
    pub data_centre: Arc<str>,
    /// Requests that the target works on at once.
    pub slots: u32,
    /// Whether the target accepts requests.
    pub phase: Phase,
    /// Revision of the store at which the target was first listed; of two targets with the same
    /// address, the later one has the higher revision.
    pub listed_revision: u64,
    /// What the target's record says about its cold period; `None` if it was received from a peer
    /// of a version that does not know it.
    #[serde(default)]
    pub cold: Option<ColdReport>,
}

impl Target {
    /// Id of the target; a later incarnation may have the same.
    #[must_use]
    pub fn id(&self) -> &Arc<str> {
        &self.incarnation.id
    }
}
