//! Entries and agents while the store is restored from an older snapshot.

mod common;

use std::time::Duration;

use berylhook_test_support::calls::Caller;
use berylhook_test_support::cluster::{
    Cluster, DESK_KEY, until as until_named, until_plain_service_ready,
};
use berylhook_test_support::{
    Fault, KeyValueStandIn, Link, POISON_BODY, PlainService, PlatformTarget, StoreSnapshot,
};

use crate::common::entry::{API_KEY, configuration, route, start_entry, until, until_ready};
use crate::common::poison::{Fleet, PROPAGATION_TIME, put_on_hold};
use crate::common::{first_shard_of, new_key_in_shard, send_attempt, shard_home};

/// Longer than the pause between two watches and the time of a read together.
const STORE_FOLLOW_TIME: Duration = Duration::from_secs(1);

async fn request_status(callers: std::net::SocketAddr, path: &str, name: &str) -> u16 {
    let headers = [
        ("host", "desk.example"),
        ("berylhook-attempt-id", name),
        ("berylhook-deadline-ms", "3000"),
    ];
    let caller = Caller::new(API_KEY);
    caller.post(callers, path, "hello", &headers).await.status
}

/// Stores the old configuration and `targets`, and returns a snapshot of the store.
fn snapshot_with(store: &KeyValueStandIn, targets: &[&PlatformTarget]) -> StoreSnapshot {
    store.put_raw(
        "op/config",
        &configuration(1, &[route("old", "safe", 2, false)]),
    );
    for target in targets {
        target.register(store, "push", "ready");
    }
    store.snapshot()
}

/// Guards against an entry that returns with the store to an older configuration or to a target
/// that has been removed, and against one that receives no updates after the restore.
#[tokio::test]
async fn an_entry_reverts_nothing_on_a_restore_and_applies_later_writes() {
    let (staying, leaving, joining) = (
        PlatformTarget::start("i-1").await,
        PlatformTarget::start("i-2").await,
        PlatformTarget::start("i-3").await,
    );
    let store = KeyValueStandIn::start().await;
    let snapshot = snapshot_with(&store, &[&staying, &leaving]);
    let routes = [
        route("old", "safe", 2, false),
        route("new", "safe", 2, false),
    ];
    store.put_raw("op/config", &configuration(2, &routes));
    let entry = start_entry(&store, &[]);
    until_ready(&entry).await;
    until(async || request_status(entry.caller_address, "/old/", "before").await == 200).await;
    leaving.remove(&store);
    until(async || entry.daemon.output().contains("Removed")).await;

    store.restore(&snapshot);
    tokio::time::sleep(STORE_FOLLOW_TIME).await;
    let runs_before = leaving.runs().len();
    let mut statuses = Vec::new();
    for number in 0..8 {
        statuses
            .push(request_status(entry.caller_address, "/new/", &format!("after-{number}")).await);
    }
    let runs_after = leaving.runs().len();
    staying.remove(&store);
    joining.register(&store, "push", "ready");
    until(async || {
        !joining.runs().is_empty()
            || request_status(entry.caller_address, "/new/", "next").await == 0
    })
    .await;

    assert_eq!(statuses, [200; 8]);
    assert_eq!(runs_after, runs_before, "requests to the removed target");
}

/// Guards against a held request that runs again because the restored store lacks its hold.
#[tokio::test]
async fn a_hold_lost_in_a_restore_is_stored_again() {
    let fleet = Fleet::start(2, 6).await;
    let snapshot = fleet.store.snapshot();
    put_on_hold(&fleet).await;
    let exited_before = fleet.exited_count();

    fleet.store.restore(&snapshot);
    for target in fleet.targets.iter().filter(|target| !target.has_exited()) {
        target.register(&fleet.store, "push", "ready");
    }
    until(async || !fleet.store.keys("berylhook/quarantine/hold/").is_empty()).await;
    tokio::time::sleep(PROPAGATION_TIME).await;
    let response = fleet.send(1, "/unsafe/draft", "again", POISON_BODY).await;

    assert_eq!(
        (response.status, fleet.exited_count()),
        (503, exited_before)
    );
}

/// Guards against a confirmation that is sent twice: the snapshot lacks the claim by which an agent
/// became home of a shard (the process that owns the shard's keys), another agent becomes home, and
/// the first one, cut off from the store, still runs keys.
#[tokio::test(flavor = "multi_thread")]
async fn a_key_runs_once_although_a_restore_loses_the_claim_of_its_home() {
    let cluster = Cluster::start().await;
    let service = PlainService::start().await;
    let snapshot = cluster.key_value.snapshot();
    let store_link = Link::start(cluster.key_value.address()).await;
    let url = format!("http://{}", store_link.address);
    let previous =
        cluster.start_agent_with_key_value("push-1", "guide-push", service.server.address, &url);
    cluster
        .vms
        .add("push-1", previous.address, "cairo-a", "guide-push");
    let entry = cluster.start_entry("entry-1");
    until_plain_service_ready(&entry).await;
    until_named("the first agent is home", || async {
        first_shard_of(&cluster.key_value, "push-1").is_some()
    })
    .await;
    let shard = first_shard_of(&cluster.key_value, "push-1").expect("the first agent has a shard");
    let caller = Caller::new(DESK_KEY);
    let key = new_key_in_shard(shard);
    let (first, _) = send_attempt(&caller, entry.address, &key, "a").await;

    store_link.set_fault(Fault::FreezeAll);
    cluster.key_value.restore(&snapshot);
    let successor = cluster.start_agent("push-2", "guide-push", service.server.address);
    until_named("the successor is home", || async {
        shard_home(&cluster.key_value, shard).as_deref() == Some("push-2")
    })
    .await;
    let informed = cluster.start_entry("entry-2");
    until_plain_service_ready(&informed).await;
    let (repeat, _) = send_attempt(&caller, informed.address, &key, "b").await;
    drop(successor);

    let run_count = service.runs().iter().filter(|run| run.body == key).count();
    assert_eq!(first.outcome, "done", "{}", first.body);
    assert_ne!(repeat.outcome, "not-run", "{}", repeat.body);
    assert_eq!(run_count, 1);
}
