//! Entries while a data centre is evacuated. The target `near` is in the entries' own data centre,
//! which they prefer, so requests go to `far` only while the own data centre is evacuated.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use berylhook_test_support::calls::{CallResult, Caller};
use berylhook_test_support::{
    Behaviour, Fault, KeyValueStandIn, Link, Outage, PlatformTarget, Signal,
};

use tokio::task::JoinHandle;

use crate::common::entry::{
    API_KEY, Entry, configuration, route, start_entry, start_entry_with, until, until_ready,
};

const EVACUATION_SETTINGS: &str = "[evacuation]\nevacuate_ms = 5000\n";
const EVACUATION_KEY: &str = "op/evacuate/here";

/// Requests sent to see which targets get them.
const REQUESTS: usize = 6;

/// Time in which the store's response reaches the socket of a frozen entry.
const FREEZE_TIME: Duration = Duration::from_millis(300);

/// Longer than targets are checked after a caller has disconnected.
const HEALTH_CHECK_TIME: Duration = Duration::from_millis(1_300);

struct Fixture {
    store: KeyValueStandIn,
    near: PlatformTarget,
    far: PlatformTarget,
}

impl Fixture {
    async fn start() -> Self {
        let store = KeyValueStandIn::start().await;
        let routes = [
            route("safe", "safe", 3, false),
            route("stream", "streaming", 3, true),
            route("unsafe", "unsafe", 1, false),
        ];
        store.put_raw("op/config", &configuration(1, &routes));
        let near = PlatformTarget::start("i-near").await;
        let far = PlatformTarget::start("i-far").await;
        far.set_data_centre("there");
        near.register(&store, "push", "ready");
        far.register(&store, "push", "ready");
        Self { store, near, far }
    }

    /// Starts an entry that reaches the store through a link.
    async fn start_linked_entry(&self, seeds: &[SocketAddr]) -> (Entry, Link) {
        let link = Link::start(self.store.address()).await;
        let entry = start_entry_with(link.address, seeds, EVACUATION_SETTINGS);
        until_ready(&entry).await;
        until_served(&entry).await;
        (entry, link)
    }

    async fn start_entry(&self, seeds: &[SocketAddr]) -> Entry {
        let entry = start_entry_with(self.store.address(), seeds, EVACUATION_SETTINGS);
        until_ready(&entry).await;
        entry
    }

    fn evacuate(&self) {
        self.store.put_raw(EVACUATION_KEY, b"{}");
    }

    /// Sends a request that hangs at `near`; the caller disconnects when the task is aborted.
    async fn start_hanging_request(&self, entry: &Entry) -> JoinHandle<CallResult> {
        let runs_before = self.near.runs().len();
        let address = entry.caller_address;
        let request = tokio::spawn(async move { send_to(address, "/unsafe/").await });
        until(async || self.near.runs().len() > runs_before).await;
        request
    }

    fn withdraw(&self) {
        self.store.remove_raw(EVACUATION_KEY);
    }

    /// Sends requests and returns how many of them ran at `near` and at `far`.
    async fn runs_of_requests(&self, entry: &Entry) -> (usize, usize) {
        let before = (self.near.runs().len(), self.far.runs().len());
        for number in 0..REQUESTS {
            let path = ["/safe/", "/stream/"][number % 2];
            assert_eq!(send(entry, path).await.status, 200);
        }
        let after = (self.near.runs().len(), self.far.runs().len());
        (after.0 - before.0, after.1 - before.1)
    }
}

async fn send(entry: &Entry, path: &str) -> CallResult {
    send_to(entry.caller_address, path).await
}

async fn send_to(address: SocketAddr, path: &str) -> CallResult {
    let headers = [
        ("host", "desk.example"),
        ("berylhook-attempt-id", "request"),
        ("berylhook-deadline-ms", "3000"),
    ];
    let caller = Caller::new(API_KEY);
    caller.post(address, path, "hello", &headers).await
}

async fn until_served(entry: &Entry) {
    until(async || send(entry, "/safe/").await.status == 200).await;
}

/// Whether the entry's log says that exactly these data centres are evacuated, as learnt from
/// `source`.
fn has_learnt(entry: &Entry, evacuated: &str, source: &str) -> bool {
    let output = entry.daemon.output();
    let mut lines = output.lines().rev();
    let last = lines.find(|line| line.contains("evacuated data centres known"));
    last.is_some_and(|line| {
        line.contains(&format!("\"evacuated\":\"{evacuated}\""))
            && line.contains(&format!("\"source\":\"{source}\""))
    })
}

async fn until_learnt(entry: &Entry, evacuated: &str, source: &str) {
    until(async || has_learnt(entry, evacuated, source)).await;
}

/// Cuts the entry's connections to the store and waits until it has noticed.
async fn cut_off(entry: &Entry, link: &Link) {
    link.set_fault(Fault::Cut);
    until(async || entry.daemon.output().contains("the store does not respond")).await;
}

// Guards against requests to an evacuated data centre, and against targets that stay out of use
// after the withdrawal.
#[tokio::test]
async fn requests_leave_an_evacuated_data_centre_until_the_withdrawal() {
    let fixture = Fixture::start().await;
    let entry = fixture.start_entry(&[]).await;
    until_served(&entry).await;

    let before = fixture.runs_of_requests(&entry).await;
    fixture.evacuate();
    until_learnt(&entry, "here", "store").await;
    let during = fixture.runs_of_requests(&entry).await;
    fixture.withdraw();
    until_learnt(&entry, "", "store").await;
    let after = fixture.runs_of_requests(&entry).await;

    assert_eq!(before, (REQUESTS, 0));
    assert_eq!(during, (0, REQUESTS));
    assert_eq!(after, (REQUESTS, 0));
}

// Guards against a change for deployments whose settings name no evacuation.
#[tokio::test]
async fn an_entry_without_the_setting_ignores_evacuations() {
    let fixture = Fixture::start().await;
    fixture.evacuate();
    let entry = start_entry(&fixture.store, &[]);
    until_ready(&entry).await;
    until_served(&entry).await;

    let runs = fixture.runs_of_requests(&entry).await;

    assert_eq!(runs, (REQUESTS, 0));
}

// Guards against callers that are held until their deadline if no target may get their requests.
#[tokio::test]
async fn a_request_is_refused_with_a_time_if_all_data_centres_are_evacuated() {
    let fixture = Fixture::start().await;
    let entry = fixture.start_entry(&[]).await;
    until_served(&entry).await;
    fixture.evacuate();
    fixture.store.put_raw("op/evacuate/there", b"{}");
    until_learnt(&entry, "here,there", "store").await;

    let responses = [send(&entry, "/safe/").await, send(&entry, "/stream/").await];

    for response in responses {
        assert_eq!(response.status, 503);
        assert_eq!(response.json()["error"], "evacuated");
        assert!(response.retry_after.is_some());
    }
}

// Guards against an entry that learns nothing because the store falls silent right after the
// evacuation: a peer that knows of it must tell it.
#[tokio::test]
async fn a_peer_tells_of_an_evacuation_if_the_store_falls_silent() {
    for outage in [Outage::Silent, Outage::Refusing] {
        let fixture = Fixture::start().await;
        let informed = fixture.start_entry(&[]).await;
        let (entry, link) = fixture.start_linked_entry(&[informed.peer_address]).await;

        cut_off(&entry, &link).await;
        fixture.evacuate();
        until_learnt(&informed, "here", "store").await;
        fixture.store.set_outage(outage);
        link.set_fault(Fault::None);
        until_learnt(&entry, "here", "peer").await;
        let runs = fixture.runs_of_requests(&entry).await;

        assert_eq!(runs, (0, REQUESTS), "{outage:?}");
    }
}

// Guards against an entry whose watch hangs unnoticed while the store is calm for others: it must
// learn of the evacuation from the regular queries of its peers.
#[tokio::test]
async fn a_peer_tells_an_entry_whose_watch_hangs() {
    let fixture = Fixture::start().await;
    let informed = fixture.start_entry(&[]).await;
    let (entry, link) = fixture.start_linked_entry(&[informed.peer_address]).await;

    link.set_fault(Fault::FreezeAll);
    fixture.evacuate();
    until_learnt(&entry, "here", "peer").await;
    let runs = fixture.runs_of_requests(&entry).await;

    assert_eq!(runs, (0, REQUESTS));
    assert!(has_learnt(&informed, "here", "store"));
}

// Guards against an entry that misses an evacuation because its watch was cut meanwhile.
#[tokio::test]
async fn an_evacuation_during_a_cut_of_the_watch_is_learnt_after_it() {
    let fixture = Fixture::start().await;
    let (entry, link) = fixture.start_linked_entry(&[]).await;

    cut_off(&entry, &link).await;
    fixture.evacuate();
    link.set_fault(Fault::None);
    until_learnt(&entry, "here", "store").await;
    let runs = fixture.runs_of_requests(&entry).await;

    assert_eq!(runs, (0, REQUESTS));
}

// Guards against an entry that misses an evacuation whose event the store no longer keeps.
#[tokio::test]
async fn the_set_is_read_again_after_a_compaction() {
    let fixture = Fixture::start().await;
    let (entry, link) = fixture.start_linked_entry(&[]).await;

    cut_off(&entry, &link).await;
    fixture.evacuate();
    fixture.store.compact();
    link.set_fault(Fault::None);
    until_learnt(&entry, "here", "store").await;
    let runs = fixture.runs_of_requests(&entry).await;

    assert_eq!(runs, (0, REQUESTS));
}

// Guards against an entry that keeps the set of before a restore, whose position has a higher
// revision than the restored store.
#[tokio::test]
async fn the_set_is_read_again_after_a_restore() {
    let fixture = Fixture::start().await;
    fixture.evacuate();
    let snapshot = fixture.store.snapshot();
    fixture.withdraw();
    let entry = fixture.start_entry(&[]).await;
    until_served(&entry).await;
    let before = fixture.runs_of_requests(&entry).await;

    fixture.store.restore(&snapshot);
    until_learnt(&entry, "here", "store").await;
    let restored = fixture.runs_of_requests(&entry).await;

    assert_eq!(before, (REQUESTS, 0));
    assert_eq!(restored, (0, REQUESTS));
}

// Guards against an entry that wakes up from a freeze and never learns of an evacuation meanwhile.
#[tokio::test]
async fn an_entry_that_was_frozen_learns_of_the_evacuation_when_it_wakes_up() {
    let fixture = Fixture::start().await;
    let entry = fixture.start_entry(&[]).await;
    until_served(&entry).await;

    entry.daemon.signal(Signal::Stop);
    fixture.evacuate();
    tokio::time::sleep(FREEZE_TIME).await;
    entry.daemon.signal(Signal::Continue);
    until_learnt(&entry, "here", "store").await;
    let runs = fixture.runs_of_requests(&entry).await;

    assert_eq!(runs, (0, REQUESTS));
}

// Guards against an entry that starts during an evacuation and sends its first requests to the
// evacuated data centre.
#[tokio::test]
async fn a_restarted_entry_knows_the_evacuation_before_it_is_ready() {
    let fixture = Fixture::start().await;
    fixture.evacuate();

    let entry = fixture.start_entry(&[]).await;
    until_served(&entry).await;
    let runs = fixture.runs_of_requests(&entry).await;

    assert!(has_learnt(&entry, "here", "store"));
    assert_eq!((runs, fixture.near.runs().len()), ((0, REQUESTS), 0));
}

// Guards against an entry that starts while the store refuses it and takes no set, or not the
// peer's.
#[tokio::test]
async fn an_entry_that_the_store_refuses_at_its_start_gets_the_evacuation_from_a_peer() {
    let fixture = Fixture::start().await;
    let informed = fixture.start_entry(&[]).await;
    fixture.evacuate();
    until_learnt(&informed, "here", "store").await;
    fixture.store.set_outage(Outage::Refusing);

    let entry = fixture.start_entry(&[informed.peer_address]).await;
    until_served(&entry).await;
    let runs = fixture.runs_of_requests(&entry).await;

    assert!(has_learnt(&entry, "here", "peer"));
    assert_eq!((runs, fixture.near.runs().len()), ((0, REQUESTS), 0));
}

// Guards against an entry that takes a peer without the setting for informed: it has a configuration
// from that peer and no set, so it must neither be ready nor send requests.
#[tokio::test]
async fn an_entry_that_knows_no_set_is_not_ready_and_refuses_callers() {
    let fixture = Fixture::start().await;
    let uninformed = start_entry(&fixture.store, &[]);
    until_ready(&uninformed).await;
    fixture.evacuate();
    fixture.store.set_outage(Outage::Refusing);

    let seeds = [uninformed.peer_address];
    let entry = start_entry_with(fixture.store.address(), &seeds, EVACUATION_SETTINGS);
    until(async || {
        let output = entry.daemon.output();
        output.contains("configuration in force") && output.contains("listening for callers")
    })
    .await;
    let refused = send(&entry, "/safe/").await;
    let readiness = Caller::new(API_KEY)
        .get(entry.readiness_address, "/-/readyz")
        .await;
    fixture.store.set_outage(Outage::None);
    until_ready(&entry).await;

    assert_eq!((refused.status, readiness.status), (503, 503));
    assert!(refused.retry_after.is_some());
    assert!(fixture.near.runs().is_empty());
}

// Guards against an entry that keeps a data centre evacuated for good because the withdrawal came
// while it was cut off, and against one that forgets the evacuation when it is cut off.
#[tokio::test]
async fn a_withdrawal_while_the_entry_is_cut_off_is_learnt_after_it() {
    let fixture = Fixture::start().await;
    let (entry, link) = fixture.start_linked_entry(&[]).await;
    fixture.evacuate();
    until_learnt(&entry, "here", "store").await;

    cut_off(&entry, &link).await;
    fixture.withdraw();
    let during = fixture.runs_of_requests(&entry).await;
    link.set_fault(Fault::None);
    until_learnt(&entry, "", "store").await;
    let after = fixture.runs_of_requests(&entry).await;

    assert_eq!(during, (0, REQUESTS));
    assert_eq!(after, (REQUESTS, 0));
}

// Guards against an evacuation that interrupts streams which run there already.
#[tokio::test]
async fn a_stream_that_runs_in_an_evacuated_data_centre_is_left_to_finish() {
    let fixture = Fixture::start().await;
    let entry = fixture.start_entry(&[]).await;
    until_served(&entry).await;
    let runs_before = fixture.near.runs().len();

    let stream = async { send(&entry, "/stream/").await };
    let evacuate = async {
        until(async || fixture.near.runs().len() > runs_before).await;
        fixture.evacuate();
    };
    let (response, ()) = tokio::join!(stream, evacuate);

    assert_eq!((response.status, response.is_complete), (200, true));
    assert_eq!(fixture.near.runs().len(), runs_before + 1);
    assert!(fixture.far.runs().is_empty());
}

// Guards against health checks that reach a target in an evacuated data centre after a caller has
// disconnected from it.
#[tokio::test]
async fn a_target_in_an_evacuated_data_centre_gets_no_health_check() {
    let fixture = Fixture::start().await;
    let entry = fixture.start_entry(&[]).await;
    until_served(&entry).await;
    fixture.near.set_behaviour(Behaviour::Hangs);

    let evacuated = fixture.start_hanging_request(&entry).await;
    fixture.evacuate();
    until_learnt(&entry, "here", "store").await;
    evacuated.abort();
    tokio::time::sleep(HEALTH_CHECK_TIME).await;
    let checks_during = fixture.near.health_checks();
    fixture.withdraw();
    until_learnt(&entry, "", "store").await;
    fixture.start_hanging_request(&entry).await.abort();
    until(async || fixture.near.health_checks() > 0).await;

    assert_eq!(checks_during, 0);
}
