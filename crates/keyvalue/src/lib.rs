//! What the platform gives, as the rest of the product sees it: a key-value
//! service and a list of VMs.
//!
//! The service stands behind the trait [`KeyValue`]; the package
//! `berylhook-platform` speaks its protocol.
//!
//! A write whose answer is lost may have taken effect. [`KvError::Unknown`]
//! says so, and its writer must read back before it says anything: see
//! [`KvError::may_have_applied`].

mod claim_guard;
mod kv;
mod vms;

pub use claim_guard::{ClaimGuard, era_of};
pub use kv::{
    AddressError, Compare, KeyValue, Kv, KvError, KvFuture, LeaseGrant, Put, RangeResponse, Txn,
    TxnResponse, Watch, WatchEvent, WatchFuture, WatchSource, parse_base_url,
};
pub use vms::{HttpVmList, Vm, VmList, VmListError, VmState};
