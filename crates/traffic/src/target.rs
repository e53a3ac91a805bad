//! A target and its incarnation.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// What a target says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// It takes requests.
    Ready,
    /// It is about to leave and takes no new requests.
    Leaving,
}

/// One run of a target, from its start to its end.
///
/// A target may start again under the id that it had. It then knows nothing of
/// what ran before, so all that is kept of a target is kept by incarnation.
///
/// A request in flight at a former incarnation may have run: neither the restart
/// nor anything that the new incarnation says proves that it did not. It is
/// repeated only where its route allows a second run.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Incarnation {
    /// The target's id.
    pub id: Arc<str>,
    /// Unix time of its start in milliseconds, by its own clock; `None` where
    /// the target does not tell it and each start has an id of its own.
    pub started_unix_ms: Option<u64>,
}

/// One target of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Which run of which target.
    #[serde(flatten)]
    pub incarnation: Incarnation,
    /// The service it belongs to.
    pub service: Arc<str>,
    /// Where it listens. Another target may listen there later.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: Arc<str>,
    /// Requests it works on at once.
    pub slots: u32,
    /// Whether it takes requests.
    pub phase: Phase,
    /// The store's revision at which it was first listed; of two targets at one
    /// address the younger has the higher one.
    pub listed_revision: u64,
}

impl Target {
    /// Its id; a later incarnation may have the same.
    #[must_use]
    pub fn id(&self) -> &Arc<str> {
        &self.incarnation.id
    }
}
