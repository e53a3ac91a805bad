//! A report to the home of a service's slots, and its reply.
//!
//! Each entry sends five reports per second, and bytes between data centres are charged: lists of
//! quotas are sent only if the other side does not have them.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Slot quotas by target id.
pub type QuotaList = Vec<(Arc<str>, u32)>;

/// What an entry reports to the home.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SlotReport {
    /// Data centre of the entry.
    pub data_centre: Arc<str>,
    /// Arrivals per second by urgency, the most urgent first, averaged over seconds.
    pub arrivals_per_s: Vec<(u32, f64)>,
    /// Sum of the arrivals per second, averaged over a fraction of a second.
    pub recent_per_s: f64,
    /// Mean time that a request holds its slot.
    pub mean_slot_ms: f64,
    /// Running requests.
    pub running: u32,
    /// Queued requests.
    pub queued: u32,
    /// Concurrency limit; `None` if there is none.
    #[serde(default)]
    pub limit: Option<f64>,
    /// Version of the quotas in force; `None` if the entry has none.
    #[serde(default)]
    pub version: Option<u64>,
    /// The quotas in force, if the home may not know them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub quotas: Option<QuotaList>,
    /// Running requests beyond the quotas in force, while these bind at each target.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub over_quota: QuotaList,
}

/// The home's reply to a report.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SlotReply {
    /// Whether the replying entry is the home. If not, all other fields are empty.
    pub is_home: bool,
    /// Version of the entry's quotas; `None` if the home has not allocated any yet.
    #[serde(default)]
    pub version: Option<u64>,
    /// The entry's quotas, if their version differs from the reported one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub quotas: Option<QuotaList>,
    /// Whether the next report must list the quotas in force.
    #[serde(default)]
    pub wants_quotas: bool,
    /// Fraction of all slots that the entries together use; `None` if the home does not know it, as
    /// not all entries have reported to it yet.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fraction_in_use: Option<f64>,
    /// The most urgent level whose demand exceeds the slots that more urgent ones leave.
    #[serde(default)]
    pub scarce_level: Option<u32>,
}
