//! The key-value service: compare-and-swap, leases and watches.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;

use thiserror::Error;

/// Why a call to the key-value service failed.
#[derive(Debug, Error)]
pub enum KvError {
    /// The call did not take effect.
    #[error(
        "the key-value service cannot be reached ({0}); check `key_value` under [platform], or wait for the outage to end"
    )]
    Unreachable(String),
    /// The call may have taken effect.
    #[error(
        "the key-value service did not respond ({0}); the call may have taken effect, read back before trying again"
    )]
    Unknown(String),
    /// The service refused the call.
    #[error(
        "the key-value service refused the call with status {status} ({message}); check its log"
    )]
    Rejected {
        /// HTTP status.
        status: u16,
        /// Error message of the service.
        message: String,
    },
    /// The lease has expired or was revoked.
    #[error("the lease has expired; request a new one")]
    LeaseGone,
}

impl KvError {
    /// Whether a write that failed with this error may have taken effect.
    #[must_use]
    pub fn may_have_applied(&self) -> bool {
        matches!(self, Self::Unknown(_))
    }
}

/// A stored key with its value.
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

/// Result of a read of all keys with a prefix, at one revision.
#[derive(Clone, Debug, Default)]
pub struct RangeResponse {
    /// Revision of the service at the time of the call.
    pub revision: i64,
    /// The keys with their values, in the order of the keys.
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
    /// ID of the lease that deletes the key when it expires; 0 for none.
    pub lease_id: i64,
}

/// A transaction: its writes are applied together if all conditions hold.
#[derive(Clone, Debug, Default)]
pub struct Txn {
    /// The conditions.
    pub compares: Vec<Compare>,
    /// The writes.
    pub puts: Vec<Put>,
    /// Keys to delete.
    pub deletes: Vec<Arc<str>>,
}

/// Result of a transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TxnResponse {
    /// Whether the conditions held and the writes were applied.
    pub succeeded: bool,
    /// Revision of the service at the time of the call.
    pub revision: i64,
}

/// A granted lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseGrant {
    /// ID of the lease.
    pub id: i64,
    /// The granted time to live of the lease in seconds.
    pub ttl_s: i64,
}

/// A change reported by a watch.
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

/// A boxed future, so that [`KeyValue`] can be used as a trait object.
pub type KvFuture<'a, T> = Pin<Box<dyn Future<Output = Result<T, KvError>> + Send + 'a>>;

/// Client interface of the key-value service.
pub trait KeyValue: Send + Sync {
    /// Reads all keys that start with `prefix`.
    fn range<'a>(&'a self, prefix: &'a str) -> KvFuture<'a, RangeResponse>;

    /// Runs a transaction.
    fn commit(&self, txn: Txn) -> KvFuture<'_, TxnResponse>;

    /// Grants a lease of `ttl_s` seconds.
    fn grant(&self, ttl_s: i64) -> KvFuture<'_, LeaseGrant>;

    /// Renews a lease; returns its time to live in seconds.
    fn renew(&self, lease_id: i64) -> KvFuture<'_, i64>;

    /// Revokes a lease and deletes its keys.
    fn revoke(&self, lease_id: i64) -> KvFuture<'_, ()>;

    /// Watches all keys that start with `prefix` from `start_revision` on.
    fn watch<'a>(&'a self, prefix: &'a str, start_revision: i64) -> KvFuture<'a, Watch>;
}

/// A boxed future of a watch's next events.
pub type WatchFuture<'a> =
    Pin<Box<dyn Future<Output = Result<Vec<WatchEvent>, KvError>> + Send + 'a>>;

/// Source of the events of a [`Watch`].
pub trait WatchSource: Send {
    /// Waits for the next changes; empty if there were none for a while.
    fn next(&mut self) -> WatchFuture<'_>;
}

/// A running watch; dropping it ends it.
///
/// A watch can stop delivering events without an error, so its owner has to read the range
/// from time to time and reconcile.
pub struct Watch {
    source: Box<dyn WatchSource>,
}

impl Watch {
    /// Creates a watch that returns the events of `source`.
    #[must_use]
    pub fn new(source: Box<dyn WatchSource>) -> Self {
        Self { source }
    }

    /// Waits for the next changes; empty if there were none for a while.
    ///
    /// # Errors
    ///
    /// If the watch ended; open a new one from the last revision seen.
    pub async fn next(&mut self) -> Result<Vec<WatchEvent>, KvError> {
        self.source.next().await
    }
}

/// The base URL of the service contains no valid address.
#[derive(Debug, Error)]
#[error(
    "`{0}` is not an address of the key-value service; write `http://`, an IP address and a port"
)]
pub struct AddressError(String);

/// Parses the address in a base URL, such as `http://10.0.0.1:2379`.
///
/// # Errors
///
/// If the URL contains no valid address.
pub fn parse_base_url(base: &str) -> Result<SocketAddr, AddressError> {
    let trimmed = base.trim_end_matches('/');
    let address = trimmed.strip_prefix("http://").unwrap_or(trimmed);
    address.parse().map_err(|_| AddressError(base.to_owned()))
}
