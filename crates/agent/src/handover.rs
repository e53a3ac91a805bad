//! Keys and values of key shards in the key-value service, and the handover of a shard's records.
//!
//! The home of a key shard is the only agent that may run the shard's keyed requests.

use std::sync::Arc;

use berylhook_core::ledger::{ExportedRecord, LedgerExport};
use berylhook_core::time::WallMs;
use serde::{Deserialize, Serialize};

/// Maximum number of records in a handover: at about 70 bytes each, they stay well under the
/// key-value service's limit of 1 MB per value.
pub(crate) const MAX_EXPORTED_RECORDS: usize = 8_000;

/// Keys of one shard in the key-value service.
pub(crate) struct ShardKeys {
    /// Common prefix of the shard's keys.
    pub(crate) prefix: String,
    /// Names the agent that is home to the shard; bound to that agent's lease.
    pub(crate) home: Arc<str>,
    /// Exists once the shard has had a home, and is bound to no lease.
    pub(crate) claimed: Arc<str>,
    /// Holds the records exported by the previous home in a planned handover.
    pub(crate) handover: Arc<str>,
}

impl ShardKeys {
    pub(crate) fn new(entry: &str, shard: u32) -> Self {
        let prefix = format!("berylhook/homes/{entry}/{shard:04}/");
        Self {
            home: format!("{prefix}home").into(),
            claimed: format!("{prefix}claimed").into(),
            handover: format!("{prefix}handover").into(),
            prefix,
        }
    }
}

/// Key of the marker that claims are safe again after a restore of the store; its value is the
/// store's era.
pub(crate) fn era_marker_key(entry: &str) -> Arc<str> {
    format!("berylhook/homes-settled/{entry}").into()
}

/// Prefix of the keys that list the agents which can be home to shards of a catalogue entry.
pub(crate) fn candidate_agents_prefix(entry: &str) -> String {
    format!("berylhook/home-agents/{entry}/")
}

/// Value of the home key of a shard.
#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct HomeDocument {
    /// Name of the agent that is home.
    pub(crate) agent: String,
    /// Random ID of this claim, by which the agent recognizes it if the reply was lost.
    pub(crate) claim: u64,
}

/// Stored form of a handover.
#[derive(Serialize, Deserialize)]
struct HandoverDocument {
    /// Era of the store in which the records were exported.
    #[serde(default)]
    era: u64,
    #[serde(rename = "floor_ms")]
    low_water_ms: u64,
    records: Vec<RecordDocument>,
}

#[derive(Serialize, Deserialize)]
struct RecordDocument {
    key: String,
    issued_ms: u64,
    digest: u64,
    status: Option<u16>,
}

pub(crate) fn encode(export: &LedgerExport, era: u64) -> Vec<u8> {
    let records = export
        .records
        .iter()
        .map(|record| RecordDocument {
            key: format!("{:x}", record.key),
            issued_ms: record.issued_ms.0,
            digest: record.digest,
            status: record.status,
        })
        .collect();
    let value = HandoverDocument {
        era,
        low_water_ms: export.low_water_ms.0,
        records,
    };
    serde_json::to_vec(&value).expect("handover values serialize")
}

/// Decodes a handover. Returns `None` if it is malformed or of a previous era: a handover that
/// reappears with a restored copy of the store lacks the runs of the agents that have imported it
/// since.
pub(crate) fn decode(bytes: &[u8], era: u64) -> Option<LedgerExport> {
    let value: HandoverDocument = serde_json::from_slice(bytes).ok()?;
    if value.era != era {
        return None;
    }
    let records = value
        .records
        .into_iter()
        .map(|record| {
            Some(ExportedRecord {
                key: u128::from_str_radix(&record.key, 16).ok()?,
                issued_ms: WallMs(record.issued_ms),
                digest: record.digest,
                status: record.status,
            })
        })
        .collect::<Option<Vec<_>>>()?;
    Some(LedgerExport {
        low_water_ms: WallMs(value.low_water_ms),
        records,
    })
}
