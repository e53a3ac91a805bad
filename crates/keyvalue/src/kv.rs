//! The key-value service: compare-and-swap, leases and watches.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use thiserror::Error;

use crate::gateway::{
    CompareMessage, DeleteMessage, GrantRequest, Int, LeaseRequest, LeaseResponse, Operation,
    PutMessage, RangeRequest, RangeResponse, Raw, Streamed, TxnRequest, TxnResponse, WatchCreate,
    WatchRequest, WatchResponse,
};
use crate::http::{CallError, JsonClient};

const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
const MAX_WATCH_MESSAGE_BYTES: usize = 8 << 20;

/// Why a call to the key-value service failed.
#[derive(Debug, Error)]
pub enum KvError {
    /// The call did not take effect.
    #[error(
        "the key-value service cannot be reached ({0}); check `key_value` under [platform], or wait for the outage to end"
    )]
    Unreachable(String),
    /// The call may have taken effect.
    #[error("the key-value service did not answer ({0}); read back before trying again")]
    Unknown(String),
    /// The service refused the call.
    #[error(
        "the key-value service refused the call with status {status} ({message}); check its log"
    )]
    Rejected {
        /// HTTP status.
        status: u16,
        /// The service's own words.
        message: String,
    },
    /// The lease is gone.
    #[error("the lease has expired; ask for a new one")]
    LeaseGone,
}

impl KvError {
    /// Whether a write that failed so may have taken effect all the same.
    #[must_use]
    pub fn may_have_applied(&self) -> bool {
        matches!(self, Self::Unknown(_))
    }
}

impl From<CallError> for KvError {
    fn from(error: CallError) -> Self {
        match error {
            CallError::NotSent(why) => Self::Unreachable(why),
            CallError::Unanswered(why) => Self::Unknown(why),
            // A gateway answers 5xx both before and after it has passed the
            // write on.
            CallError::Rejected(500.., why) => Self::Unknown(why),
            CallError::Rejected(status, message) => Self::Rejected { status, message },
        }
    }
}

/// A stored key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Kv {
    /// The key.
    pub key: Arc<str>,
    /// The value.
    pub value: Vec<u8>,
    /// Revision of the key's creation.
    pub create_revision: i64,
    /// Revision of the last write to the key.
    pub mod_revision: i64,
}

/// A read of a key range at one revision.
#[derive(Clone, Debug, Default)]
pub struct RangeAnswer {
    /// The service's revision.
    pub revision: i64,
    /// The keys, in order.
    pub kvs: Vec<Kv>,
}

/// A condition of a transaction.
#[derive(Clone, Debug)]
pub enum Compare {
    /// The key does not exist.
    Absent(Arc<str>),
    /// The key was last written at this revision.
    ModRevision(Arc<str>, i64),
}

/// A write of a transaction.
#[derive(Clone, Debug)]
pub struct Put {
    /// The key.
    pub key: Arc<str>,
    /// The value; at most 1 MB.
    pub value: Vec<u8>,
    /// The lease that deletes the key when it expires; 0 for none.
    pub lease_id: i64,
}

/// Writes that happen together if all conditions hold.
#[derive(Clone, Debug, Default)]
pub struct Txn {
    /// The conditions.
    pub compares: Vec<Compare>,
    /// The writes.
    pub puts: Vec<Put>,
    /// Keys to delete.
    pub deletes: Vec<Arc<str>>,
}

/// How a transaction ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TxnAnswer {
    /// Whether the conditions held and the writes happened.
    pub succeeded: bool,
    /// The service's revision.
    pub revision: i64,
}

/// A granted lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The lease.
    pub id: i64,
    /// Its time to live in seconds, as granted.
    pub ttl_s: i64,
}

/// A change seen by a watch.
#[derive(Clone, Debug)]
pub enum WatchEvent {
    /// The key was written.
    Put(Kv),
    /// The key was deleted at this revision.
    Delete {
        /// The key.
        key: Arc<str>,
        /// Revision of the deletion.
        revision: i64,
    },
}

/// A boxed future, so that the service can be swapped behind a trait object.
pub type KvFuture<'a, T> = Pin<Box<dyn Future<Output = Result<T, KvError>> + Send + 'a>>;

/// The service as the rest of the system sees it.
pub trait KeyValue: Send + Sync {
    /// Reads all keys that start with `prefix`.
    fn range<'a>(&'a self, prefix: &'a str) -> KvFuture<'a, RangeAnswer>;

    /// Runs a transaction.
    fn commit(&self, txn: Txn) -> KvFuture<'_, TxnAnswer>;

    /// Grants a lease of `ttl_s` seconds.
    fn grant(&self, ttl_s: i64) -> KvFuture<'_, Grant>;

    /// Renews a lease; answers its time to live in seconds.
    fn renew(&self, lease_id: i64) -> KvFuture<'_, i64>;

    /// Ends a lease and deletes its keys.
    fn revoke(&self, lease_id: i64) -> KvFuture<'_, ()>;

    /// Watches all keys that start with `prefix` from `start_revision` on.
    fn watch<'a>(&'a self, prefix: &'a str, start_revision: i64) -> KvFuture<'a, Watch>;
}

/// The service over its JSON gateway.
pub struct HttpKeyValue {
    client: JsonClient,
}

impl HttpKeyValue {
    /// A client to the gateway at `base`, such as `http://10.0.0.1:2379`.
    #[must_use]
    pub fn new(base: &str) -> Self {
        Self {
            client: JsonClient::new(base, CALL_TIMEOUT),
        }
    }
}

impl KeyValue for HttpKeyValue {
    fn range<'a>(&'a self, prefix: &'a str) -> KvFuture<'a, RangeAnswer> {
        Box::pin(async move {
            let question = RangeRequest {
                key: Raw(prefix.as_bytes().to_vec()),
                range_end: Raw(prefix_end(prefix)),
            };
            let answer: RangeResponse = self.client.post("/v3/kv/range", &question).await?;
            let kvs = answer.kvs.into_iter().map(Kv::from).collect();
            Ok(RangeAnswer {
                revision: answer.header.revision.0,
                kvs,
            })
        })
    }

    fn commit(&self, txn: Txn) -> KvFuture<'_, TxnAnswer> {
        Box::pin(async move {
            let question = TxnRequest::from(txn);
            let answer: TxnResponse = self.client.post("/v3/kv/txn", &question).await?;
            Ok(TxnAnswer {
                succeeded: answer.succeeded,
                revision: answer.header.revision.0,
            })
        })
    }

    fn grant(&self, ttl_s: i64) -> KvFuture<'_, Grant> {
        Box::pin(async move {
            let question = GrantRequest { ttl_s: Int(ttl_s) };
            let answer: LeaseResponse = self.client.post("/v3/lease/grant", &question).await?;
            Ok(Grant {
                id: answer.id.0,
                ttl_s: answer.ttl_s.0,
            })
        })
    }

    fn renew(&self, lease_id: i64) -> KvFuture<'_, i64> {
        Box::pin(async move {
            let question = LeaseRequest { id: Int(lease_id) };
            let answer: Streamed<LeaseResponse> =
                self.client.post("/v3/lease/keepalive", &question).await?;
            match answer.result.ttl_s.0 {
                ..=0 => Err(KvError::LeaseGone),
                ttl_s => Ok(ttl_s),
            }
        })
    }

    fn revoke(&self, lease_id: i64) -> KvFuture<'_, ()> {
        Box::pin(async move {
            let question = LeaseRequest { id: Int(lease_id) };
            let _: serde_json::Value = self.client.post("/v3/lease/revoke", &question).await?;
            Ok(())
        })
    }

    fn watch<'a>(&'a self, prefix: &'a str, start_revision: i64) -> KvFuture<'a, Watch> {
        Box::pin(async move {
            let question = WatchRequest {
                create_request: WatchCreate {
                    key: Raw(prefix.as_bytes().to_vec()),
                    range_end: Raw(prefix_end(prefix)),
                    start_revision: Int(start_revision),
                    progress_notify: true,
                },
            };
            let response = self.client.open("/v3/watch", &question).await?;
            Ok(Watch {
                incoming: response.into_body(),
                pending: BytesMut::new(),
            })
        })
    }
}

/// A running watch; dropping it ends it.
///
/// A watch can go silent without an error. Its owner reconciles by reading
/// the range from time to time.
pub struct Watch {
    incoming: Incoming,
    pending: BytesMut,
}

impl Watch {
    /// The next changes; empty for a progress message.
    ///
    /// # Errors
    ///
    /// If the watch ended; open a new one from the last revision seen.
    pub async fn next(&mut self) -> Result<Vec<WatchEvent>, KvError> {
        loop {
            if let Some(end) = self.pending.iter().position(|byte| *byte == b'\n') {
                let line = self.pending.split_to(end + 1);
                return decode_watch(&line);
            }
            if self.pending.len() > MAX_WATCH_MESSAGE_BYTES {
                return Err(KvError::Unknown("a watch message is too large".to_owned()));
            }
            match self.incoming.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.pending.extend_from_slice(&data);
                    }
                }
                Some(Err(error)) => return Err(KvError::Unknown(error.to_string())),
                None => return Err(KvError::Unknown("the watch ended".to_owned())),
            }
        }
    }
}

fn decode_watch(line: &[u8]) -> Result<Vec<WatchEvent>, KvError> {
    let message: Streamed<WatchResponse> =
        serde_json::from_slice(line).map_err(|error| KvError::Unknown(error.to_string()))?;
    let events = message.result.events.into_iter().map(|event| {
        let kv = Kv::from(event.kv);
        match event.kind.as_str() {
            "DELETE" => WatchEvent::Delete {
                key: kv.key,
                revision: kv.mod_revision,
            },
            _ => WatchEvent::Put(kv),
        }
    });
    Ok(events.collect())
}

impl From<crate::gateway::KeyValueMessage> for Kv {
    fn from(message: crate::gateway::KeyValueMessage) -> Self {
        Self {
            key: String::from_utf8_lossy(&message.key.0).into(),
            value: message.value.0,
            create_revision: message.create_revision.0,
            mod_revision: message.mod_revision.0,
        }
    }
}

impl From<Txn> for TxnRequest {
    fn from(txn: Txn) -> Self {
        let compare = txn.compares.into_iter().map(CompareMessage::from).collect();
        let puts = txn.puts.into_iter().map(|put| {
            Operation::RequestPut(PutMessage {
                key: Raw(put.key.as_bytes().to_vec()),
                value: Raw(put.value),
                lease: Int(put.lease_id),
            })
        });
        let deletes = txn.deletes.into_iter().map(|key| {
            Operation::RequestDeleteRange(DeleteMessage {
                key: Raw(key.as_bytes().to_vec()),
            })
        });
        Self {
            compare,
            success: puts.chain(deletes).collect(),
        }
    }
}

impl From<Compare> for CompareMessage {
    fn from(compare: Compare) -> Self {
        match compare {
            Compare::Absent(key) => Self {
                key: Raw(key.as_bytes().to_vec()),
                target: "CREATE",
                result: "EQUAL",
                create_revision: Some(Int(0)),
                mod_revision: None,
            },
            Compare::ModRevision(key, revision) => Self {
                key: Raw(key.as_bytes().to_vec()),
                target: "MOD",
                result: "EQUAL",
                create_revision: None,
                mod_revision: Some(Int(revision)),
            },
        }
    }
}

/// The first key after all that start with `prefix`.
fn prefix_end(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    match end.last_mut() {
        // UTF-8 never holds the byte 0xff, so this cannot overflow.
        Some(last) => *last += 1,
        None => end.push(0),
    }
    end
}
