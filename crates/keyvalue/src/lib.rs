//! Clients to what the platform gives: the key-value service and the list
//! of VMs.
//!
//! The key-value service is met through the JSON gateway of the etcd v3
//! protocol: ranges, transactions, leases and watches. Only the calls used
//! here are implemented.
//!
//! A write whose answer is lost may have taken effect. [`KvError::Unknown`]
//! says so, and its writer must read back before it says anything: see
//! [`KvError::may_have_applied`].

mod gateway;
mod http;
mod kv;
mod vms;

pub use kv::{
    Compare, Grant, HttpKeyValue, KeyValue, Kv, KvError, KvFuture, Put, RangeAnswer, Txn,
    TxnAnswer, Watch, WatchEvent,
};
pub use vms::{HttpVmList, Vm, VmList, VmListError, VmState};
