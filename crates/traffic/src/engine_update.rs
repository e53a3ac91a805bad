//! What the leader of a service's groups publishes to all entries: how slow the engines are, which
//! of them form a group, and whether the group is open.

use std::net::SocketAddr;
use std::sync::Arc;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::target::Incarnation;

/// A leader's update on the engines of a service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineUpdate {
    /// Slowdowns of slow engines.
    #[serde(rename = "paces")]
    pub slowdowns: Slowdowns,
    /// The groups; empty if the leader's version does not report them.
    #[serde(default)]
    pub groups: Vec<GroupUpdate>,
}

/// A group: engines that run each forward pass together.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupUpdate {
    /// Name of the group.
    pub name: Arc<str>,
    /// Addresses of the engines.
    pub engines: Vec<SocketAddr>,
    /// Whether the group accepts requests; one that lost a rank does not until it has formed again.
    pub is_open: bool,
}

/// Announces that the rank of an engine is reserved to pause its group.
///
/// If the engine's VM freezes during the pause, the group makes no pass until the VM resumes, and
/// requests that wait at this engine can be neither served nor cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PauseNotice {
    /// The leader's fencing token.
    pub fencing_token: u64,
    /// Number of the notice among those of its leader.
    pub number: u64,
    /// Address of the engine.
    pub engine: SocketAddr,
    /// How long the engine should get no new requests; 0 ends an earlier notice.
    pub duration_ms: u64,
}

impl PauseNotice {
    /// The position of the notice among all notices of all leaders.
    #[must_use]
    pub fn order(&self) -> (u64, u64) {
        (self.fencing_token, self.number)
    }
}

/// Slowdowns by engine address; engines without slowdown are left out.
pub type Slowdowns = IndexMap<SocketAddr, Slowdown>;

/// The slowdown of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Slowdown {
    /// Duration of the engine's work as a multiple of the usual one.
    pub factor: f64,
    /// Unix time of the engine's start in milliseconds, if the engine reports it.
    pub started_unix_ms: Option<u64>,
}

impl Slowdown {
    /// Whether the slowdown was measured at that incarnation, if both have a known start time.
    ///
    /// A slow engine that has restarted is assumed to run at usual speed until it is measured
    /// again.
    #[must_use]
    pub fn applies_to(&self, incarnation: &Incarnation) -> bool {
        let starts = self.started_unix_ms.zip(incarnation.started_unix_ms);
        starts.is_none_or(|(measured, known)| measured == known)
    }
}
