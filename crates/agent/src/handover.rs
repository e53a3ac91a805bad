//! Keys and values of key shards in the key-value service, and the handover of a shard's records.
//!
//! The home of a key shard is the only agent that may run the shard's keyed requests.

use std::sync::Arc;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use berylhook_core::ledger::{ExportedRecord, LedgerExport, RecordedResponse};
use berylhook_core::time::WallMs;
use serde::{Deserialize, Serialize};

/// Maximum number of records in a handover. Without bodies, they stay under [`MAX_ENCODED_BYTES`].
pub(crate) const MAX_EXPORTED_RECORDS: usize = 8_000;

/// Maximum size of an encoded handover, under the key-value service's limit of 1 MB per value.
const MAX_ENCODED_BYTES: usize = 950_000;

/// Upper bound on the size of an encoded record without content type and body.
const MAX_ENCODED_RECORD_BYTES: usize = 118;

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
    /// Prefix of the keys under which homes that have lost the shard publish their records.
    pub(crate) published: String,
}

impl ShardKeys {
    pub(crate) fn new(entry: &str, shard: u32) -> Self {
        let prefix = format!("berylhook/homes/{entry}/{shard:04}/");
        Self {
            home: format!("{prefix}home").into(),
            claimed: format!("{prefix}claimed").into(),
            handover: format!("{prefix}handover").into(),
            published: format!("{prefix}published/"),
            prefix,
        }
    }
}

impl ShardKeys {
    /// Key under which the home by the claim `claim_id` publishes its records.
    pub(crate) fn published_by(&self, claim_id: u64) -> Arc<str> {
        format!("{}{claim_id:016x}", self.published).into()
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
    /// HTTP status of the response; `None` if the run was interrupted.
    status: Option<u16>,
    #[serde(default, skip_serializing_if = "String::is_empty")]
    content_type: String,
    /// Body of the response as Base64; `None` if there was no room for it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    body: Option<String>,
}

impl RecordDocument {
    fn without_body(record: &ExportedRecord) -> Self {
        Self {
            key: format!("{:x}", record.key),
            issued_ms: record.issued_ms.0,
            digest: record.digest,
            status: record.response.as_ref().map(|response| response.status),
            content_type: String::new(),
            body: None,
        }
    }

    /// Adds content type and body if they fit; returns the bytes that are left.
    fn add_body(&mut self, response: &RecordedResponse, left_bytes: usize) -> usize {
        let Some(body) = &response.body else {
            return left_bytes;
        };
        let encoded = STANDARD.encode(body);
        // The content type may grow to six times its length where it is escaped.
        let size_bytes = encoded.len() + 6 * response.content_type.len();
        match left_bytes.checked_sub(size_bytes + MAX_ENCODED_RECORD_BYTES) {
            Some(left_bytes) => {
                self.content_type.clone_from(&response.content_type);
                self.body = Some(encoded);
                left_bytes
            }
            None => left_bytes,
        }
    }

    fn into_record(self) -> Option<ExportedRecord> {
        let body = match self.body {
            Some(encoded) => Some(STANDARD.decode(encoded).ok()?),
            None => None,
        };
        let content_type = self.content_type;
        let response = self.status.map(|status| RecordedResponse {
            status,
            content_type,
            body,
        });
        Some(ExportedRecord {
            key: u128::from_str_radix(&self.key, 16).ok()?,
            issued_ms: WallMs(self.issued_ms),
            digest: self.digest,
            response: response.map(Arc::new),
        })
    }
}

/// Encodes a handover. The bodies of the newest responses are included as long as there is room for
/// them; a repeat of an older key gets the status alone.
pub(crate) fn encode(export: &LedgerExport, era: u64) -> Vec<u8> {
    let mut records: Vec<_> = export
        .records
        .iter()
        .map(RecordDocument::without_body)
        .collect();
    let records_bytes = records.len() * MAX_ENCODED_RECORD_BYTES;
    let mut left_bytes = MAX_ENCODED_BYTES.saturating_sub(records_bytes);
    for (document, record) in records.iter_mut().zip(&export.records).rev() {
        if let Some(response) = &record.response {
            left_bytes = document.add_body(response, left_bytes);
        }
    }
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
    (value.era == era).then(|| value.into_export())?
}

/// Decodes published records. They stay true in a later era: no home runs a key again.
pub(crate) fn decode_published(bytes: &[u8]) -> Option<LedgerExport> {
    let value: HandoverDocument = serde_json::from_slice(bytes).ok()?;
    value.into_export()
}

impl HandoverDocument {
    fn into_export(self) -> Option<LedgerExport> {
        let records = self.records.into_iter().map(RecordDocument::into_record);
        let records = records.collect::<Option<Vec<_>>>()?;
        Some(LedgerExport {
            low_water_ms: WallMs(self.low_water_ms),
            records,
        })
    }
}

#[cfg(test)]
mod tests;
