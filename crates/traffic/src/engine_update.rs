//! What the leader of a service's groups reads of its engines and tells all entries: how
//! slow they are, which of them form a group, and whether it runs.

use std::net::SocketAddr;
use std::sync::Arc;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::target::Incarnation;

/// What a leader tells of the engines.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineUpdate {
    /// Paces of slow engines.
    #[serde(rename = "paces")]
    pub slowdowns: Slowdowns,
    /// The groups; a leader of an older version tells none.
    #[serde(default)]
    pub groups: Vec<GroupUpdate>,
}

/// Engines that run each pass together.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupUpdate {
    /// The group's name.
    pub name: Arc<str>,
    /// Its engines.
    pub engines: Vec<SocketAddr>,
    /// Whether it runs; one that lost a rank does not until it has formed anew.
    pub is_open: bool,
}

/// Paces by the engine's address; engines of the usual pace are left out.
pub type Slowdowns = IndexMap<SocketAddr, Slowdown>;

/// How slow an engine is.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Slowdown {
    /// Time of its work as a multiple of the usual one.
    pub factor: f64,
    /// Unix time of the engine's start in milliseconds, if it tells it.
    pub started_unix_ms: Option<u64>,
}

impl Slowdown {
    /// Whether it was read of that incarnation, as far as both tell their start.
    ///
    /// An engine that was slow and has started anew is taken to be as fast as
    /// any until it is read again.
    #[must_use]
    pub fn applies_to(&self, incarnation: &Incarnation) -> bool {
        let starts = self.started_unix_ms.zip(incarnation.started_unix_ms);
        starts.is_none_or(|(read, known)| read == known)
    }
}
