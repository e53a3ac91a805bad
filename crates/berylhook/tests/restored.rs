//! Real entries and agents while the store comes back from an older copy.

mod common;

use std::time::Duration;

use berylhook_test_support::calls::Caller;
use berylhook_test_support::cluster::{
    Cluster, DESK_KEY, until as until_true, until_plain_service_ready,
};
use berylhook_test_support::{
    Fault, KeyValueStandIn, Link, POISON_BODY, PlainService, PlatformTarget, StoreSnapshot,
};

use crate::common::entry::{KEY, configuration, route, start_entry, until, until_ready};
use crate::common::poison::{Fleet, NEWS, put_on_hold};
use crate::common::{a_shard_of, attempt, fresh_key_of, home_of};

/// Pauses between two watches, and the time of a read, with some to spare.
const FOLLOWED: Duration = Duration::from_secs(1);

async fn is_served(callers: std::net::SocketAddr, path: &str, name: &str) -> u16 {
    let headers = [
        ("host", "desk.example"),
        ("berylhook-attempt-id", name),
        ("berylhook-deadline-ms", "3000"),
    ];
    let caller = Caller::new(KEY);
    caller.post(callers, path, "hello", &headers).await.status
}

/// What a store has that was up some seconds ago.
fn copy_with(store: &KeyValueStandIn, targets: &[&PlatformTarget]) -> StoreSnapshot {
    store.put_raw(
        "op/config",
        &configuration(1, &[route("old", "safe", 2, false)]),
    );
    for target in targets {
        target.register(store, "push", "ready");
    }
    store.snapshot()
}

/// Guards against an entry that goes back with the store: to an older configuration, to a
/// target that has left; and that hears no news afterwards.
#[tokio::test]
async fn an_entry_goes_back_with_nothing_and_follows_what_is_written_next() {
    let (stays, leaves, comes) = (
        PlatformTarget::start("i-1").await,
        PlatformTarget::start("i-2").await,
        PlatformTarget::start("i-3").await,
    );
    let store = KeyValueStandIn::start().await;
    let copy = copy_with(&store, &[&stays, &leaves]);
    let both = [
        route("old", "safe", 2, false),
        route("new", "safe", 2, false),
    ];
    store.put_raw("op/config", &configuration(2, &both));
    let entry = start_entry(&store, &[]);
    until_ready(&entry).await;
    until(async || is_served(entry.callers, "/old/", "before").await == 200).await;
    leaves.remove(&store);
    until(async || entry.daemon.output().contains("Removed")).await;

    store.restore(&copy);
    tokio::time::sleep(FOLLOWED).await;
    let ran_before = leaves.runs().len();
    let mut statuses = Vec::new();
    for number in 0..8 {
        statuses.push(is_served(entry.callers, "/new/", &format!("after-{number}")).await);
    }
    let ran_after = leaves.runs().len();
    stays.remove(&store);
    comes.register(&store, "push", "ready");
    until(async || {
        !comes.runs().is_empty() || is_served(entry.callers, "/new/", "next").await == 0
    })
    .await;

    assert_eq!(statuses, [200; 8]);
    assert_eq!(ran_after, ran_before, "the target that has left");
}

/// Guards against a guilty request that runs again: its hold is gone from the restored store.
#[tokio::test]
async fn a_hold_that_a_restore_has_lost_is_kept_again() {
    let fleet = Fleet::start(2, 6).await;
    let copy = fleet.store.snapshot();
    put_on_hold(&fleet).await;
    let ended = fleet.ended();

    fleet.store.restore(&copy);
    for target in fleet.targets.iter().filter(|target| !target.has_exited()) {
        target.register(&fleet.store, "push", "ready");
    }
    until(async || !fleet.store.keys("berylhook/quarantine/hold/").is_empty()).await;
    tokio::time::sleep(NEWS).await;
    let again = fleet.send(1, "/unsafe/draft", "again", POISON_BODY).await;

    assert_eq!((again.status, fleet.ended()), (503, ended));
}

/// Guards against a doubled confirmation: the claim of the home is not in the copy, another
/// agent becomes home, and the first one, which hears of nothing, still runs keys.
#[tokio::test(flavor = "multi_thread")]
async fn a_key_runs_once_although_the_claim_of_its_home_is_lost() {
    let cluster = Cluster::start().await;
    let service = PlainService::start().await;
    let copy = cluster.key_value.snapshot();
    let cut = Link::start(cluster.key_value.address()).await;
    let url = format!("http://{}", cut.address);
    let former =
        cluster.start_agent_with_key_value("push-1", "guide-push", service.server.address, &url);
    cluster
        .vms
        .add("push-1", former.address, "cairo-a", "guide-push");
    let entry = cluster.start_entry("entry-1");
    until_plain_service_ready(&entry).await;
    until_true("the first agent is home", || async {
        a_shard_of(&cluster.key_value, "push-1").is_some()
    })
    .await;
    let shard = a_shard_of(&cluster.key_value, "push-1").expect("it has a shard");
    let caller = Caller::new(DESK_KEY);
    let key = fresh_key_of(shard);
    let (first, _) = attempt(&caller, entry.address, &key, "a").await;

    cut.set_fault(Fault::FreezeAll);
    cluster.key_value.restore(&copy);
    let successor = cluster.start_agent("push-2", "guide-push", service.server.address);
    until_true("the successor is home", || async {
        home_of(&cluster.key_value, shard).as_deref() == Some("push-2")
    })
    .await;
    let informed = cluster.start_entry("entry-2");
    until_plain_service_ready(&informed).await;
    let (repeat, _) = attempt(&caller, informed.address, &key, "b").await;
    drop(successor);

    let effects = service.runs().iter().filter(|run| run.body == key).count();
    assert_eq!(first.outcome, "done", "{}", first.body);
    assert_ne!(repeat.outcome, "not-run", "{}", repeat.body);
    assert_eq!(effects, 1);
}
