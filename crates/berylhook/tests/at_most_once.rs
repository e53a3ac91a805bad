//! A call that must not be repeated runs at most once, whichever processes die, freeze or are cut
//! off.

mod common;

use std::time::Duration;

use berylhook_test_support::calls::{CallResult, Caller};
use berylhook_test_support::cluster::{
    Cluster, DESK_KEY, EntryProcess, until, until_plain_service_ready,
};
use berylhook_test_support::{Fault, Link, LogOutput, Outage, PlainService, Signal, VmListStandIn};

use tokio::task::JoinHandle;

use common::{first_shard_of, new_key, new_key_in_shard, send_attempt, shard_home};

/// Counts the runs under `key`: callers send the key as the body.
fn run_count(service: &PlainService, key: &str) -> usize {
    service.runs().iter().filter(|run| run.body == key).count()
}

/// Waits until `push-1` and `push-2` are both home to shards; returns the first shard of `push-1`.
async fn first_shard_of_two_homes(cluster: &Cluster) -> u32 {
    until("both agents are home to shards", || async {
        first_shard_of(&cluster.key_value, "push-2").is_some()
    })
    .await;
    first_shard_of(&cluster.key_value, "push-1").expect("the previous home has a shard")
}

/// Sends one attempt under `key` while the test goes on.
fn spawn_attempt(
    caller: &Caller,
    entry: &EntryProcess,
    key: &str,
    attempt_name: &'static str,
) -> JoinHandle<CallResult> {
    let (caller, key, address) = (caller.clone(), key.to_owned(), entry.address);
    tokio::spawn(async move { send_attempt(&caller, address, &key, attempt_name).await.0 })
}

/// The body with which the service responds to the run under `key`.
fn response_of_run(service: &PlainService, key: &str) -> String {
    let runs = service.runs();
    let index = runs.iter().position(|run| run.body == key);
    let number = index.expect("the key has run") + 1;
    serde_json::json!({"run": number}).to_string()
}

/// Guards against two canoes assigned to one party. An entry dies while the call runs, and the
/// caller repeats the call under the same key at another entry. Entries may die, so the record of
/// the key is kept by its home, an agent beside the target, and the repeat waits there for the
/// first run.
#[tokio::test(flavor = "multi_thread")]
async fn a_repeat_at_another_entry_gets_the_response_of_the_first_run() {
    let cluster = Cluster::start().await;
    let service = PlainService::start().await;
    let _agent = cluster.start_agent("push-1", "guide-push", service.server.address);
    let first = cluster.start_entry("entry-1");
    let second = cluster.start_entry("entry-2");
    until_plain_service_ready(&first).await;
    until_plain_service_ready(&second).await;
    let caller = Caller::new(DESK_KEY);
    let key = new_key();

    service.set_hung(true);
    let interrupted = spawn_attempt(&caller, &first, &key, "a");
    until("the call has run", || async {
        run_count(&service, &key) == 1
    })
    .await;
    first.daemon.signal(Signal::Kill);
    let interrupted = interrupted.await.expect("the call ends");
    let repeat = spawn_attempt(&caller, &second, &key, "b");
    tokio::time::sleep(Duration::from_millis(200)).await;
    service.set_hung(false);
    let repeat = repeat.await.expect("the repeat ends");

    assert_eq!(interrupted.status, 0);
    assert_eq!(repeat.outcome, "done", "{}", repeat.body);
    assert_eq!(run_count(&service, &key), 1);
}

/// Guards against a letter that is sent twice after a network partition. The home of a shard is cut
/// off from the key-value service, its lease expires and another agent becomes home. An entry that
/// still routes to the previous home sends it a new key, and the caller repeats the key at an entry
/// that knows only the new home. The previous home cannot be notified, so its permission to start
/// runs must expire on its own clock before the service admits a successor.
#[tokio::test(flavor = "multi_thread")]
async fn a_previous_home_that_is_cut_off_starts_no_run() {
    let cluster = Cluster::start().await;
    let service = PlainService::start().await;
    let store_link = Link::start(cluster.key_value.address()).await;
    let previous_url = format!("http://{}", store_link.address);
    let previous = cluster.start_agent_with_key_value(
        "push-1",
        "guide-push",
        service.server.address,
        &previous_url,
    );
    cluster
        .vms
        .add("push-1", previous.address, "cairo-a", "guide-push");
    let uninformed = cluster.start_entry("entry-1");
    until_plain_service_ready(&uninformed).await;
    let successor = cluster.start_agent("push-2", "guide-push", service.server.address);
    let shard = first_shard_of_two_homes(&cluster).await;
    let caller = Caller::new(DESK_KEY);
    let (warm_up, _) = send_attempt(
        &caller,
        uninformed.address,
        &new_key_in_shard(shard),
        "warm-up",
    )
    .await;

    store_link.set_fault(Fault::FreezeAll);
    until("the successor is home", || async {
        shard_home(&cluster.key_value, shard).as_deref() == Some("push-2")
    })
    .await;
    let other_list = VmListStandIn::start().await;
    other_list.add("push-2", successor.address, "cairo-a", "guide-push");
    let informed = cluster.start_entry_with_list("entry-2", &other_list);
    until_plain_service_ready(&informed).await;
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    let key = new_key_in_shard(shard);
    let (first, _) = send_attempt(&caller, uninformed.address, &key, "a").await;
    let (repeat, _) = send_attempt(&caller, informed.address, &key, "b").await;

    assert_eq!(warm_up.outcome, "done", "{}", warm_up.body);
    assert_eq!(first.outcome, "done", "{}", first.body);
    assert_eq!(repeat.outcome, "done", "{}", repeat.body);
    assert_eq!(run_count(&service, &key), 1);
}

/// Guards against a confirmation that is sent twice after its home dies. The home runs the call and
/// is frozen before it responds, its lease expires, and a successor takes the shard over without
/// records. The caller repeats the key, and then the previous home resumes. The successor cannot
/// know the key, but knows that it was issued before its own term: for such a key it reports
/// "unknown", until the previous home has published its record of the one run. That settles the
/// key for good.
#[tokio::test(flavor = "multi_thread")]
async fn a_successor_runs_no_key_issued_before_its_term() {
    let cluster = Cluster::start().await;
    let service = PlainService::start().await;
    let previous = cluster.start_agent("push-1", "guide-push", service.server.address);
    let entry = cluster.start_entry("entry-1");
    until_plain_service_ready(&entry).await;
    let _successor = cluster.start_agent("push-2", "guide-push", service.server.address);
    let shard = first_shard_of_two_homes(&cluster).await;
    let caller = Caller::new(DESK_KEY);
    let key = new_key_in_shard(shard);

    service.set_hung(true);
    let first = spawn_attempt(&caller, &entry, &key, "a");
    until("the call has run", || async {
        run_count(&service, &key) == 1
    })
    .await;
    previous.daemon.signal(Signal::Stop);
    let first = first.await.expect("the call ends");
    until("the successor is home", || async {
        shard_home(&cluster.key_value, shard).as_deref() == Some("push-2")
    })
    .await;
    service.set_hung(false);
    let (repeat, _) = send_attempt(&caller, entry.address, &key, "b").await;
    previous.daemon.signal(Signal::Continue);
    let (after_resume, _) = send_attempt(&caller, entry.address, &key, "c").await;
    until("the previous home knows that its lease is gone", || async {
        let output = previous.daemon.output();
        output.contains("the lease has expired; all shards are lost")
    })
    .await;
    let (after_loss, _) = send_attempt(&caller, entry.address, &key, "d").await;
    until("the record of the run is found", || async {
        let (repeat, _) = send_attempt(&caller, entry.address, &key, "e").await;
        repeat.outcome == "done"
    })
    .await;
    let (settled, _) = send_attempt(&caller, entry.address, &key, "f").await;

    assert_eq!(first.outcome, "unknown", "{}", first.body);
    assert_eq!(repeat.outcome, "unknown", "{}", repeat.body);
    if after_resume.outcome != "unknown" {
        assert_eq!(after_resume.outcome, "done", "{}", after_resume.body);
        assert_eq!(after_resume.body, response_of_run(&service, &key));
        assert_eq!(after_loss.outcome, "done", "{}", after_loss.body);
    }
    if after_loss.outcome != "unknown" {
        assert_eq!(after_loss.outcome, "done", "{}", after_loss.body);
        assert_eq!(after_loss.body, response_of_run(&service, &key));
    }
    assert_eq!(settled.outcome, "done", "{}", settled.body);
    assert_eq!(settled.body, response_of_run(&service, &key));
    assert_eq!(run_count(&service, &key), 1);
}

/// Guards against an outcome that is taken back: a resumed home answers "done" from its record, and
/// the successor, which has no record, "unknown" after that. The home's run ends after it has
/// resumed, so it may lose the shard before it knows the outcome.
#[tokio::test(flavor = "multi_thread")]
async fn an_outcome_told_after_a_home_has_resumed_is_not_taken_back() {
    let cluster = Cluster::start().await;
    let service = PlainService::start().await;
    let previous = cluster.start_agent("push-1", "guide-push", service.server.address);
    let entry = cluster.start_entry("entry-1");
    until_plain_service_ready(&entry).await;
    let _successor = cluster.start_agent("push-2", "guide-push", service.server.address);
    let shard = first_shard_of_two_homes(&cluster).await;
    let caller = Caller::new(DESK_KEY);
    let key = new_key_in_shard(shard);

    service.set_hung(true);
    let first = spawn_attempt(&caller, &entry, &key, "a");
    until("the call has run", || async {
        run_count(&service, &key) == 1
    })
    .await;
    previous.daemon.signal(Signal::Stop);
    until("the successor is home", || async {
        shard_home(&cluster.key_value, shard).as_deref() == Some("push-2")
    })
    .await;
    previous.daemon.signal(Signal::Continue);
    let mut outcomes = Vec::new();
    for number in 0..60 {
        if number == 30 {
            service.set_hung(false);
        }
        let deadline = [
            ("idempotency-key", key.as_str()),
            ("berylhook-deadline-ms", "500"),
        ];
        let repeat = caller
            .post(entry.address, "/guide-push/confirm", &key, &deadline)
            .await;
        outcomes.push(repeat.outcome);
    }
    first.await.expect("the call ends");

    let settled = outcomes.iter().skip_while(|outcome| *outcome != "done");
    assert!(settled.clone().count() > 10, "{outcomes:?}");
    assert!(
        settled.clone().all(|outcome| outcome == "done"),
        "{outcomes:?}"
    );
    assert_eq!(run_count(&service, &key), 1);
}

/// Guards against a home that forgets a run that it has on record, or that accepts new keys, after
/// its lease has expired. The home runs a call, is frozen, is replaced, and resumes cut off from
/// the key-value service, so it cannot learn that its lease is gone. It answers the key from its
/// record, which no other home can contradict: every successor reports the key as "unknown". A new
/// key it refuses as not run, since the successor may run it.
#[tokio::test(flavor = "multi_thread")]
async fn a_resumed_home_that_is_cut_off_answers_only_from_its_record() {
    let cluster = Cluster::start().await;
    let service = PlainService::start().await;
    let store_link = Link::start(cluster.key_value.address()).await;
    let previous_url = format!("http://{}", store_link.address);
    let previous = cluster.start_agent_with_key_value(
        "push-1",
        "guide-push",
        service.server.address,
        &previous_url,
    );
    cluster
        .vms
        .add("push-1", previous.address, "cairo-a", "guide-push");
    let uninformed = cluster.start_entry("entry-1");
    until_plain_service_ready(&uninformed).await;
    let successor = cluster.start_unlisted_agent("push-2", "guide-push", service.server.address);
    let other_list = VmListStandIn::start().await;
    other_list.add("push-2", successor.address, "cairo-a", "guide-push");
    let informed = cluster.start_entry_with_list("entry-2", &other_list);
    until_plain_service_ready(&informed).await;
    let shard =
        first_shard_of(&cluster.key_value, "push-1").expect("the previous home has a shard");
    let caller = Caller::new(DESK_KEY);
    let key = new_key_in_shard(shard);

    service.set_hung(true);
    let first = spawn_attempt(&caller, &uninformed, &key, "a");
    until("the call has run", || async {
        run_count(&service, &key) == 1
    })
    .await;
    previous.daemon.signal(Signal::Stop);
    store_link.set_fault(Fault::FreezeAll);
    let first = first.await.expect("the call ends");
    until("the successor is home", || async {
        shard_home(&cluster.key_value, shard).as_deref() == Some("push-2")
    })
    .await;
    service.set_hung(false);
    let (at_successor, _) = send_attempt(&caller, informed.address, &key, "b").await;
    previous.daemon.signal(Signal::Continue);
    until("the previous home is connected again", || async {
        let output = uninformed.daemon.output();
        output
            .lines()
            .filter(|line| line.contains("agent push-1") && line.contains("is connected"))
            .count()
            == 2
    })
    .await;
    let (at_previous, _) = send_attempt(&caller, uninformed.address, &key, "c").await;
    let fresh_key = new_key_in_shard(shard);
    let (fresh, _) = send_attempt(&caller, uninformed.address, &fresh_key, "d").await;
    let (repeat, _) = send_attempt(&caller, informed.address, &key, "e").await;

    assert_eq!(first.outcome, "unknown", "{}", first.body);
    assert_eq!(at_successor.outcome, "unknown", "{}", at_successor.body);
    assert_eq!(at_previous.outcome, "done", "{}", at_previous.body);
    assert_eq!(at_previous.body, response_of_run(&service, &key));
    assert_eq!(fresh.outcome, "not-run", "{}", fresh.body);
    assert_eq!(run_count(&service, &fresh_key), 0);
    assert_eq!(repeat.outcome, "unknown", "{}", repeat.body);
    assert_eq!(run_count(&service, &key), 1);
}

/// Guards against callers that get no outcome, or one that the home cannot know, during an outage
/// of the key-value service that is longer than the home's lease. A home that cannot renew its
/// lease cannot tell an outage from a partition in which it was replaced. It refuses new keys as
/// not run, and still answers keys that it has on record.
#[tokio::test(flavor = "multi_thread")]
async fn in_a_long_outage_new_keys_are_refused_and_recorded_ones_answered() {
    let cluster = Cluster::start().await;
    let service = PlainService::start().await;
    let _agent = cluster.start_agent("push-1", "guide-push", service.server.address);
    let entry = cluster.start_entry("entry-1");
    until_plain_service_ready(&entry).await;
    let caller = Caller::new(DESK_KEY);
    let recorded_key = new_key();
    let (first, _) = send_attempt(&caller, entry.address, &recorded_key, "a").await;

    cluster.key_value.set_outage(Outage::Refusing);
    until("new keys are refused", || async {
        let (response, _) = send_attempt(&caller, entry.address, &new_key(), "probe").await;
        response.outcome == "not-run"
    })
    .await;
    let refused_key = new_key();
    let (refused, _) = send_attempt(&caller, entry.address, &refused_key, "b").await;
    let (repeat, _) = send_attempt(&caller, entry.address, &recorded_key, "c").await;
    cluster.key_value.set_outage(Outage::None);
    until_plain_service_ready(&entry).await;

    assert_eq!(first.outcome, "done");
    assert_eq!(refused.outcome, "not-run", "{}", refused.body);
    assert!(refused.retry_after.is_some());
    assert_eq!(run_count(&service, &refused_key), 0);
    assert_eq!(repeat.outcome, "done", "{}", repeat.body);
    assert_eq!(repeat.body, first.body);
    assert_eq!(run_count(&service, &recorded_key), 1);
}

/// Guards against a rolling restart that refuses calls or runs some twice. The home is told to stop
/// while calls keep coming, its shards move to another agent, and keys from before the move are
/// repeated after it. A planned move hands the records over, so the next home needs no low-water
/// mark above the keys of the previous one.
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_move_refuses_no_call_and_loses_no_record() {
    let cluster = Cluster::start().await;
    let service = PlainService::start().await;
    let mut stopping = cluster.start_agent("push-1", "guide-push", service.server.address);
    let entry = cluster.start_entry("entry-1");
    until_plain_service_ready(&entry).await;
    let _remaining = cluster.start_agent("push-2", "guide-push", service.server.address);
    until("both agents are home to shards", || async {
        first_shard_of(&cluster.key_value, "push-2").is_some()
    })
    .await;
    let caller = Caller::new(DESK_KEY);

    let mut keys = Vec::new();
    let mut outcomes = Vec::new();
    for number in 0..60 {
        if number == 20 {
            stopping.daemon.signal(Signal::Terminate);
        }
        let key = new_key();
        let (response, _) = send_attempt(&caller, entry.address, &key, "a").await;
        outcomes.push(response.outcome);
        keys.push(key);
    }
    let exit_code = stopping.daemon.wait().expect("the agent exits by itself");
    let mut repeats = Vec::new();
    for key in &keys {
        let (response, _) = send_attempt(&caller, entry.address, key, "b").await;
        repeats.push(response.outcome);
    }

    assert_eq!(exit_code, 0);
    assert!(
        outcomes.iter().all(|outcome| outcome == "done"),
        "{outcomes:?}"
    );
    assert!(
        repeats.iter().all(|outcome| outcome == "done"),
        "{repeats:?}"
    );
    assert!(keys.iter().all(|key| run_count(&service, key) == 1));
}

/// Guards against a response to the wrong request when a caller uses one key for two different
/// requests. The record would give the second request the response of the first, and running it
/// would break the at-most-once guarantee of the key.
#[tokio::test(flavor = "multi_thread")]
async fn a_key_reused_for_another_request_is_refused() {
    let cluster = Cluster::start().await;
    let service = PlainService::start().await;
    let _agent = cluster.start_agent("push-1", "guide-push", service.server.address);
    let entry = cluster.start_entry("entry-1");
    until_plain_service_ready(&entry).await;
    let caller = Caller::new(DESK_KEY);
    let key = new_key();
    let headers = [("idempotency-key", key.as_str())];

    let first = caller
        .post(entry.address, "/guide-push", "canoe 7", &headers)
        .await;
    let reused = caller
        .post(entry.address, "/guide-push", "canoe 8", &headers)
        .await;

    assert_eq!(first.outcome, "done");
    assert_eq!(reused.status, 422);
    assert_eq!(reused.outcome, "not-run");
    assert_eq!(reused.json()["error"]["code"], "idempotency_key_reused");
}

/// Guards against a sixteenth of all calls being refused until an agent restarts. An agent's claim
/// on a shard takes effect, but the response is lost and an outage keeps the agent from reading the
/// claim back. Afterwards the service names the agent as home under a lease that it renews, so it
/// must not leave the claim unresolved, neither used nor released.
#[tokio::test(flavor = "multi_thread")]
async fn a_claim_whose_response_was_lost_in_an_outage_is_used_afterwards() {
    const SHARD: u32 = 3;
    let cluster = Cluster::start().await;
    let service = PlainService::start().await;
    cluster.key_value.fail_after_write_of("/0003/home");
    let _agent = cluster.start_agent("push-1", "guide-push", service.server.address);
    let entry = cluster.start_entry("entry-1");
    until("the outcome of the claim is unknown", || async {
        cluster.key_value.outage() == Outage::Refusing
    })
    .await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    cluster.key_value.set_outage(Outage::None);
    let caller = Caller::new(DESK_KEY);

    until("the shard has a home again", || async {
        let key = new_key_in_shard(SHARD);
        let (response, _) = send_attempt(&caller, entry.address, &key, "a").await;
        response.outcome == "done" && run_count(&service, &key) == 1
    })
    .await;
}

/// Guards against calls without a response, and keys whose first run seems to go on forever, while
/// the disk that receives the logs is full. A log line that could not be written made the task
/// panic that logged it: that of a request, of a run, or of the process as it starts.
#[tokio::test(flavor = "multi_thread")]
async fn calls_are_served_while_the_log_cannot_be_written() {
    let mut cluster = Cluster::start().await;
    cluster.log_output = LogOutput::FullDisk;
    let service = PlainService::start().await;
    let agent = cluster.start_agent("push-1", "guide-push", service.server.address);
    let entry = cluster.start_entry("entry-1");
    until_plain_service_ready(&entry).await;
    let caller = Caller::new(DESK_KEY);

    for _ in 0..5 {
        let key = new_key();
        let (first, _) = send_attempt(&caller, entry.address, &key, "a").await;
        let (repeat, _) = send_attempt(&caller, entry.address, &key, "b").await;

        assert_eq!(first.outcome, "done", "{}", first.body);
        assert_eq!(repeat.outcome, "done", "{}", repeat.body);
        assert_eq!(repeat.body, first.body);
        assert_eq!(run_count(&service, &key), 1);
    }

    assert_eq!(agent.daemon.output(), "");
    assert_eq!(entry.daemon.output(), "");
}

/// Guards against calls without a response, and an agent that does not stop, while whoever reads the
/// logs is stalled.
#[tokio::test(flavor = "multi_thread")]
async fn calls_are_served_while_nobody_reads_the_log() {
    let mut cluster = Cluster::start().await;
    cluster.log_output = LogOutput::FullPipe;
    let service = PlainService::start().await;
    let mut agent = cluster.start_agent("push-1", "guide-push", service.server.address);
    let entry = cluster.start_entry("entry-1");
    until_plain_service_ready(&entry).await;
    let caller = Caller::new(DESK_KEY);

    for _ in 0..5 {
        let key = new_key();
        let (first, _) = send_attempt(&caller, entry.address, &key, "a").await;
        assert_eq!(first.outcome, "done", "{}", first.body);
        assert_eq!(run_count(&service, &key), 1);
    }
    agent.daemon.signal(Signal::Terminate);
    let exit_code = agent.daemon.wait();

    assert_eq!(exit_code.expect("it exits by itself"), 0);
}
