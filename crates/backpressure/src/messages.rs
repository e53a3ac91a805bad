//! What entries tell each other of targets that name a limit.
//!
//! `T` names an incarnation of a target.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::rate::RequestRate;

/// What a target said, as far as the sender knows.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitReport<T> {
    /// The target's incarnation.
    pub target: T,
    /// Its limit, or that it names none any more.
    pub limit: Option<RequestRate>,
    /// How long ago it said so. Clocks of two processes cannot be compared.
    pub age_ms: u64,
}

/// How many requests an entry would send to a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitRequest<T> {
    /// The target's incarnation.
    pub target: T,
    /// Requests that it would send soon, beyond the permits that it has.
    pub requests: u32,
    /// Permits that it has; `None` from an entry of a version that does not tell.
    #[serde(default)]
    pub held: Option<u32>,
}

/// A question to the home, or news from it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitMessage<T> {
    /// Where the sender answers its peers.
    pub from: SocketAddr,
    /// The service that the targets belong to.
    pub service: Arc<str>,
    /// What the sender knows.
    pub reports: Vec<LimitReport<T>>,
    /// What it would send; empty in news.
    #[serde(rename = "wishes")]
    pub permit_requests: Vec<PermitRequest<T>>,
}

/// Permits for one target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitGrant<T> {
    /// The target's incarnation.
    pub target: T,
    /// Requests that may be sent there.
    pub permits: u32,
    /// For how long, counted from when the holder asked.
    pub valid_ms: u64,
}

/// The answer to a question.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitReply<T> {
    /// Whether the answering entry is home; if not, it grants nothing.
    pub is_home: bool,
    /// What the answering entry knows.
    pub reports: Vec<LimitReport<T>>,
    /// Permits.
    pub grants: Vec<PermitGrant<T>>,
}
