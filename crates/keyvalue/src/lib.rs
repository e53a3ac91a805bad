//! Interfaces to two services of the platform: a key-value service and a list of VMs.
//!
//! The key-value service is accessed through the trait [`KeyValue`]; the package
//! `berylhook-platform` implements the protocol.
//!
//! A write whose response is lost may have taken effect. It fails with [`KvError::Unknown`], and
//! the writer must read the keys back before it relies on either outcome: see
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
