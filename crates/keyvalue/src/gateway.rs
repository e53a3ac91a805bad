//! The JSON shapes of the etcd v3 gateway: 64-bit numbers travel as decimal
//! strings, keys and values as base64.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// A 64-bit number that travels as a string.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Int(pub(crate) i64);

/// Bytes that travel as base64.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Raw(pub(crate) Vec<u8>);

impl Serialize for Int {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&self.0)
    }
}

impl<'de> Deserialize<'de> for Int {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map(Self).map_err(serde::de::Error::custom)
    }
}

impl Serialize for Raw {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Raw {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        STANDARD
            .decode(text)
            .map(Self)
            .map_err(serde::de::Error::custom)
    }
}

#[derive(Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct Header {
    pub(crate) revision: Int,
}

#[derive(Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct KeyValueMessage {
    pub(crate) key: Raw,
    pub(crate) value: Raw,
    pub(crate) create_revision: Int,
    pub(crate) mod_revision: Int,
}

#[derive(Debug, Default, Serialize)]
pub(crate) struct RangeRequest {
    pub(crate) key: Raw,
    pub(crate) range_end: Raw,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct RangeResponse {
    pub(crate) header: Header,
    pub(crate) kvs: Vec<KeyValueMessage>,
}

#[derive(Debug, Serialize)]
pub(crate) struct CompareMessage {
    pub(crate) key: Raw,
    pub(crate) target: &'static str,
    pub(crate) result: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) create_revision: Option<Int>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) mod_revision: Option<Int>,
}

#[derive(Debug, Serialize)]
pub(crate) struct PutMessage {
    pub(crate) key: Raw,
    pub(crate) value: Raw,
    pub(crate) lease: Int,
}

#[derive(Debug, Serialize)]
pub(crate) struct DeleteMessage {
    pub(crate) key: Raw,
}

#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Operation {
    RequestPut(PutMessage),
    RequestDeleteRange(DeleteMessage),
}

#[derive(Debug, Serialize)]
pub(crate) struct TxnRequest {
    pub(crate) compare: Vec<CompareMessage>,
    pub(crate) success: Vec<Operation>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct TxnResponse {
    pub(crate) header: Header,
    pub(crate) succeeded: bool,
}

#[derive(Debug, Serialize)]
pub(crate) struct GrantRequest {
    #[serde(rename = "TTL")]
    pub(crate) ttl_s: Int,
}

#[derive(Debug, Serialize)]
pub(crate) struct LeaseRequest {
    #[serde(rename = "ID")]
    pub(crate) id: Int,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct LeaseResponse {
    #[serde(rename = "ID")]
    pub(crate) id: Int,
    #[serde(rename = "TTL")]
    pub(crate) ttl_s: Int,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct Streamed<T: Default> {
    pub(crate) result: T,
}

#[derive(Debug, Serialize)]
pub(crate) struct WatchRequest {
    pub(crate) create_request: WatchCreate,
}

#[derive(Debug, Serialize)]
pub(crate) struct WatchCreate {
    pub(crate) key: Raw,
    pub(crate) range_end: Raw,
    pub(crate) start_revision: Int,
    pub(crate) progress_notify: bool,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct WatchResponse {
    pub(crate) header: Header,
    pub(crate) events: Vec<EventMessage>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct EventMessage {
    #[serde(rename = "type")]
    pub(crate) kind: String,
    pub(crate) kv: KeyValueMessage,
}
