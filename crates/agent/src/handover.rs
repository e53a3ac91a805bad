//! What a home leaves in the key-value service for the next one.

use std::sync::Arc;

use berylhook_core::ledger::{ExportedRecord, LedgerExport};
use berylhook_core::time::WallMs;
use serde::{Deserialize, Serialize};

/// Records handed over at most: with about 70 bytes each they stay well under
/// the service's bound of 1 MB for a value.
pub(crate) const MAX_MOVED_RECORDS: usize = 8_000;

/// Keys about one shard.
pub(crate) struct ShardKeys {
    /// All of them.
    pub(crate) prefix: String,
    /// Who is home; bound to the home's lease.
    pub(crate) home: Arc<str>,
    /// Present once the shard has ever had a home.
    pub(crate) claimed: Arc<str>,
    /// Left behind by a planned move.
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

/// The mark that claims may be made again after the store was restored: its era.
pub(crate) fn settled_key(entry: &str) -> Arc<str> {
    format!("berylhook/homes-settled/{entry}").into()
}

/// Where the agents that may be home to an entry's shards are listed.
pub(crate) fn members_prefix(entry: &str) -> String {
    format!("berylhook/home-agents/{entry}/")
}

/// The value of the home key.
#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct HomeValue {
    /// The agent's name.
    pub(crate) agent: String,
    /// Drawn for this claim, to find it again if the answer was lost.
    pub(crate) claim: u64,
}

#[derive(Serialize, Deserialize)]
struct MovedValue {
    /// The era of the store in which the records were left.
    #[serde(default)]
    era: u64,
    floor_ms: u64,
    records: Vec<MovedRecordValue>,
}

#[derive(Serialize, Deserialize)]
struct MovedRecordValue {
    key: String,
    issued_ms: u64,
    digest: u64,
    status: Option<u16>,
}

pub(crate) fn encode(moved: &LedgerExport, era: u64) -> Vec<u8> {
    let records = moved
        .records
        .iter()
        .map(|record| MovedRecordValue {
            key: format!("{:x}", record.key),
            issued_ms: record.issued_ms.0,
            digest: record.digest,
            status: record.status,
        })
        .collect();
    let value = MovedValue {
        era,
        floor_ms: moved.low_water_ms.0,
        records,
    };
    serde_json::to_vec(&value).expect("handover values serialize")
}

/// Reads a handover; `None` if it is damaged or of a former era, which counts as none at
/// all. One that an older copy of the store brought back lacks the runs of whoever took it.
pub(crate) fn decode(bytes: &[u8], era: u64) -> Option<LedgerExport> {
    let value: MovedValue = serde_json::from_slice(bytes).ok()?;
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
        low_water_ms: WallMs(value.floor_ms),
        records,
    })
}
