//! Messages between entries about targets that announce a rate limit.
//!
//! The type parameter `T` identifies an incarnation of a target.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::rate::RequestRate;

/// The last limit of a target that the sender knows.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitReport<T> {
    /// The target's incarnation.
    pub target: T,
    /// The target's limit; `None` if it no longer announces one.
    pub limit: Option<RequestRate>,
    /// Time since the target announced this. It is an age because the clocks of two
    /// processes cannot be compared.
    pub age_ms: u64,
}

/// An entry's request for permits for one target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitRequest<T> {
    /// The target's incarnation.
    pub target: T,
    /// Requests that the entry expects to send soon, beyond the permits it holds.
    pub requests: u32,
    /// Permits that the entry holds; `None` from entries of versions that do not report it.
    #[serde(default)]
    pub held: Option<u32>,
}

/// A request for permits to the home, or a notification of limits from the home.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitMessage<T> {
    /// Address at which the sender serves requests of its peers.
    pub from: SocketAddr,
    /// The service that the targets belong to.
    pub service: Arc<str>,
    /// The limits known to the sender.
    pub reports: Vec<LimitReport<T>>,
    /// The sender's permit requests; empty in a notification.
    #[serde(rename = "wishes")]
    pub permit_requests: Vec<PermitRequest<T>>,
}

/// Permits granted for one target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitGrant<T> {
    /// The target's incarnation.
    pub target: T,
    /// Number of requests that may be sent to the target.
    pub permits: u32,
    /// How long the permits are valid, counted from when the holder sent its request.
    pub valid_ms: u64,
}

/// The reply to a [`LimitMessage`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitReply<T> {
    /// Whether the replying entry is the home; if not, it grants no permits.
    pub is_home: bool,
    /// The limits known to the replying entry.
    pub reports: Vec<LimitReport<T>>,
    /// The permits granted to the sender of the message.
    pub grants: Vec<PermitGrant<T>>,
}
