//! Helpers shared by the tests: at-most-once calls here, clients that keep to no limit in [`crowd`],
//! entries in [`entry`], groups of model
//! engines in [`expert_groups`], constant load in [`load`], targets that exit under a request in
//! [`poison`], and under a part of a prompt in [`poison_parts`], connections that a test keeps in
//! [`raw_calls`].

#![allow(dead_code)] // each test binary uses only some of the helpers

pub mod crowd;
pub mod entry;
pub mod expert_groups;
pub mod load;
pub mod poison;
pub mod poison_parts;
pub mod raw_calls;

use std::net::SocketAddr;
use std::time::Instant;

use berylhook_caller::IdempotencyKey;
use berylhook_core::ledger::shard_of;
use berylhook_test_support::KeyValueStandIn;
use berylhook_test_support::calls::{CallResult, Caller};
use berylhook_test_support::history::{Event, Operation, ReportedOutcome};

pub const ACCOUNT: &str = "paddle-desk";

/// Returns a new idempotency key.
pub fn new_key() -> String {
    uuid::Uuid::now_v7().to_string()
}

/// Returns a new idempotency key that belongs to `shard`.
pub fn new_key_in_shard(shard: u32) -> String {
    loop {
        let key = new_key();
        if shard_of_key(&key) == shard {
            return key;
        }
    }
}

pub fn shard_of_key(key: &str) -> u32 {
    let key = IdempotencyKey::parse(key).expect("a UUIDv7");
    shard_of(key.scoped_to_account(ACCOUNT))
}

/// Returns the name of the agent that the key-value service records as home of `shard`, the agent
/// that keeps the records of its keys.
pub fn shard_home(key_value: &KeyValueStandIn, shard: u32) -> Option<String> {
    let value = key_value.value(&format!("berylhook/homes/guide-push/{shard:04}/home"))?;
    let value: serde_json::Value = serde_json::from_str(&value).ok()?;
    value["agent"].as_str().map(str::to_owned)
}

/// Returns the lowest shard whose home is `agent`.
pub fn first_shard_of(key_value: &KeyValueStandIn, agent: &str) -> Option<u32> {
    (0..16).find(|shard| shard_home(key_value, *shard).as_deref() == Some(agent))
}

/// Sends one attempt under `key`. The body is the key, so that the runs recorded by the service can
/// be matched to it.
pub async fn send_attempt(
    caller: &Caller,
    entry: SocketAddr,
    key: &str,
    attempt_name: &str,
) -> (CallResult, Event) {
    let from = Instant::now();
    let headers = [("idempotency-key", key), ("x-attempt", attempt_name)];
    let response = caller
        .post(entry, "/guide-push/confirm", key, &headers)
        .await;
    let event = Event {
        key: key.to_owned(),
        operation: Operation::Attempt {
            attempt: attempt_name.to_owned(),
            reported: ReportedOutcome::of(&response),
        },
        from,
        to: Instant::now(),
    };
    (response, event)
}
