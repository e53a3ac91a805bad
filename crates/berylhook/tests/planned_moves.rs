//! Planned moves of key shards: while an agent stops, and when agents even out their shares. A
//! planned move refuses no call, runs none twice, and loses no outcome that callers were told.

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use berylhook_test_support::calls::Caller;
use berylhook_test_support::cluster::{
    AgentProcess, Cluster, DESK_KEY, EntryProcess, until, until_plain_service_ready,
};
use berylhook_test_support::{Fault, Link, Outage, PlainService, Signal, WriteFault};
use tokio::task::JoinHandle;

use common::{first_shard_of, new_key, new_key_in_shard, send_attempt, shard_home};

/// Keys of the stand-in store that a claim and a handover write.
const HOME_KEYS: &str = "/home";
const HANDOVER_KEYS: &str = "/handover";

/// An agent that is about to stop, one that remains, and an entry that reaches both.
struct Move {
    cluster: Cluster,
    service: PlainService,
    stopping: AgentProcess,
    /// Link between the stopping agent and the store.
    store_link: Link,
    remaining: AgentProcess,
    remaining_store_link: Link,
    entry: EntryProcess,
    caller: Caller,
}

impl Move {
    /// Starts the processes, and waits until both agents are home to half of the shards.
    async fn start() -> Self {
        let planned_move = Self::start_unbalanced().await;
        until("the shards are shared evenly", || async {
            planned_move.shards_of("push-1").len() == 8
                && planned_move.shards_of("push-2").len() == 8
        })
        .await;
        planned_move
    }

    /// Starts the processes; the agent that is to stop is home to more than its share.
    async fn start_unbalanced() -> Self {
        let cluster = Cluster::start().await;
        let service = PlainService::start().await;
        let store_link = Link::start(cluster.key_value.address()).await;
        let stopping = start_linked_to_store(&cluster, "push-1", &service, &store_link);
        let entry = cluster.start_entry("entry-1");
        until_plain_service_ready(&entry).await;
        until("the agent is home to all shards", || async {
            (0..16).all(|shard| shard_home(&cluster.key_value, shard).is_some())
        })
        .await;
        let remaining_store_link = Link::start(cluster.key_value.address()).await;
        let remaining = start_linked_to_store(&cluster, "push-2", &service, &remaining_store_link);
        Self {
            cluster,
            service,
            stopping,
            store_link,
            remaining,
            remaining_store_link,
            entry,
            caller: Caller::new(DESK_KEY),
        }
    }

    fn shards_of(&self, agent: &str) -> Vec<u32> {
        (0..16)
            .filter(|shard| shard_home(&self.cluster.key_value, *shard).as_deref() == Some(agent))
            .collect()
    }

    fn shard_of_stopping(&self) -> u32 {
        first_shard_of(&self.cluster.key_value, "push-1").expect("the agent is home to a shard")
    }

    fn run_count(&self, key: &str) -> usize {
        let runs = self.service.runs();
        runs.iter().filter(|run| run.body == key).count()
    }

    async fn call(&self, key: &str, attempt: &str) -> String {
        let (response, _) = send_attempt(&self.caller, self.entry.address, key, attempt).await;
        response.outcome
    }

    fn spawn_call(&self, key: &str, attempt: &'static str) -> JoinHandle<String> {
        let (caller, address, key) = (self.caller.clone(), self.entry.address, key.to_owned());
        tokio::spawn(async move {
            send_attempt(&caller, address, &key, attempt)
                .await
                .0
                .outcome
        })
    }

    async fn until_running(&self, key: &str) {
        until("the call has run", || async { self.run_count(key) == 1 }).await;
    }

    async fn until_write_is_held(&self) {
        until("the store holds a write", || async {
            self.cluster.key_value.held_writes() > 0
        })
        .await;
    }

    async fn until_home(&self, shard: u32, agent: &str) {
        until("the shard has moved", || async {
            shard_home(&self.cluster.key_value, shard).as_deref() == Some(agent)
        })
        .await;
    }

    fn stop(&self) {
        self.stopping.daemon.signal(Signal::Terminate);
    }

    /// Calls one key in each shard, and returns the keys.
    async fn record_a_key_in_each_shard(&self) -> Vec<String> {
        let keys: Vec<_> = (0..16).map(new_key_in_shard).collect();
        for key in &keys {
            assert_eq!(self.call(key, "a").await, "done");
        }
        keys
    }

    /// Like [`Self::record_a_key_in_each_shard`], while the test goes on.
    fn record_a_key_in_each_shard_in_background(&self) -> JoinHandle<Vec<String>> {
        let (caller, address) = (self.caller.clone(), self.entry.address);
        tokio::spawn(async move {
            let keys: Vec<_> = (0..16).map(new_key_in_shard).collect();
            for key in &keys {
                let (response, _) = send_attempt(&caller, address, key, "a").await;
                assert_eq!(response.outcome, "done", "{}", response.body);
            }
            keys
        })
    }

    /// Asserts that each key is answered from its record, and has run once.
    async fn assert_recorded(&self, keys: &[String]) {
        let mut repeats = Vec::new();
        for key in keys {
            repeats.push(self.call(key, "repeat").await);
        }
        let run_counts: Vec<_> = keys.iter().map(|key| self.run_count(key)).collect();
        assert!(
            repeats.iter().all(|outcome| outcome == "done"),
            "{repeats:?}\n{}",
            self.logs()
        );
        assert!(run_counts.iter().all(|count| *count == 1), "{run_counts:?}");
    }

    fn logs(&self) -> String {
        format!(
            "stopping agent:\n{}\nremaining agent:\n{}",
            self.stopping.daemon.output(),
            self.remaining.daemon.output()
        )
    }

    /// Asserts that the stopping agent ends by itself, without an error.
    fn assert_exits(&mut self) {
        let exit_code = self.stopping.daemon.wait().expect("it exits by itself");
        assert_eq!(exit_code, 0, "{}", self.logs());
    }

    /// Stops the agent, and asserts that each key is answered from its record after that.
    async fn assert_recorded_after_stop(&mut self, keys: &[String]) {
        self.stop();
        self.assert_exits();
        self.assert_recorded(keys).await;
    }

    /// Sends calls while the agent stops, and then all of their keys once more.
    async fn assert_calls_go_on_during_the_stop(&mut self) {
        let mut keys = Vec::new();
        let mut outcomes = Vec::new();
        for number in 0..60 {
            if number == 20 {
                self.stop();
            }
            let key = new_key();
            outcomes.push(self.call(&key, "a").await);
            keys.push(key);
        }
        self.assert_exits();

        assert!(
            outcomes.iter().all(|outcome| outcome == "done"),
            "{outcomes:?}\n{}",
            self.logs()
        );
        self.assert_recorded(&keys).await;
    }
}

fn start_linked_to_store(
    cluster: &Cluster,
    name: &str,
    service: &PlainService,
    store_link: &Link,
) -> AgentProcess {
    let url = format!("http://{}", store_link.address);
    let target = service.server.address;
    let agent = cluster.start_agent_with_key_value(name, "guide-push", target, &url);
    cluster
        .vms
        .add(name, agent.address, "cairo-a", "guide-push");
    agent
}

/// Guards against calls that are refused, or whose records are lost, while an agent stops whose
/// store responds after 120 ms.
#[tokio::test(flavor = "multi_thread")]
async fn a_move_over_a_slow_connection_to_the_store_loses_nothing() {
    let mut planned_move = Move::start().await;

    planned_move.store_link.set_delay(Duration::from_millis(60));
    planned_move.assert_calls_go_on_during_the_stop().await;
}

/// Guards against the same where the store of both agents responds after 600 ms.
#[tokio::test(flavor = "multi_thread")]
async fn a_move_through_a_distant_store_loses_nothing() {
    let mut planned_move = Move::start().await;
    let delay = Duration::from_millis(300);

    planned_move.store_link.set_delay(delay);
    planned_move.remaining_store_link.set_delay(delay);
    planned_move.assert_calls_go_on_during_the_stop().await;
}

/// Guards against repeats that get an empty response after a move, although the caller of the first
/// attempt got a body.
#[tokio::test(flavor = "multi_thread")]
async fn a_repeat_after_a_move_gets_the_response_of_the_run() {
    let mut planned_move = Move::start().await;
    let key = new_key_in_shard(planned_move.shard_of_stopping());
    let (caller, address) = (&planned_move.caller, planned_move.entry.address);
    let (first, _) = send_attempt(caller, address, &key, "a").await;

    planned_move.stop();
    let exit_code = planned_move.stopping.daemon.wait();
    let (repeat, _) = send_attempt(caller, address, &key, "b").await;

    assert_eq!(exit_code.expect("it exits by itself"), 0);
    assert_eq!(first.outcome, "done", "{}", first.body);
    assert!(first.body.contains("run"), "{}", first.body);
    assert_eq!(
        (repeat.status, repeat.outcome),
        (first.status, first.outcome)
    );
    assert_eq!(repeat.body, first.body);
}

/// Stops an agent while three handovers fail in this way.
async fn assert_records_survive_failing_handovers(fault: WriteFault) {
    let mut planned_move = Move::start().await;
    let keys = planned_move.record_a_key_in_each_shard().await;

    let store = &planned_move.cluster.key_value;
    store.fail_writes_of(HANDOVER_KEYS, fault, 3);
    planned_move.assert_recorded_after_stop(&keys).await;
}

/// Guards against records that are lost with the response of the transaction that hands them over.
#[tokio::test(flavor = "multi_thread")]
async fn records_survive_the_loss_of_the_response_to_a_handover() {
    assert_records_survive_failing_handovers(WriteFault::ResponseLost).await;
}

/// Guards against records that are lost because the transaction that hands them over did not take
/// effect.
#[tokio::test(flavor = "multi_thread")]
async fn records_survive_the_loss_of_a_handover() {
    assert_records_survive_failing_handovers(WriteFault::RequestLost).await;
}

/// Guards against records that are lost because the home key was written since the agent last read
/// it, so that the condition of the handover does not hold.
#[tokio::test(flavor = "multi_thread")]
async fn records_survive_a_handover_whose_condition_does_not_hold() {
    let mut planned_move = Move::start().await;
    let keys = planned_move.record_a_key_in_each_shard().await;
    let shard = planned_move.shard_of_stopping();
    let home_key = format!("berylhook/homes/guide-push/{shard:04}/home");

    let store = &planned_move.cluster.key_value;
    let home = store.value(&home_key).expect("the shard has a home");
    store.put_raw(&home_key, home.as_bytes());
    planned_move.assert_recorded_after_stop(&keys).await;
}

/// Guards against an outcome that is taken back because its call was running when its home was
/// told to stop, and against refusals of the calls that come meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_that_runs_through_the_stop_keeps_its_outcome() {
    let mut planned_move = Move::start().await;
    let shard = planned_move.shard_of_stopping();
    let (running, fresh) = (new_key_in_shard(shard), new_key_in_shard(shard));

    planned_move.service.set_hung(true);
    let first = planned_move.spawn_call(&running, "a");
    planned_move.until_running(&running).await;
    planned_move.stop();
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    let meanwhile = planned_move.spawn_call(&fresh, "a");
    tokio::time::sleep(Duration::from_millis(300)).await;
    planned_move.service.set_hung(false);
    let first = first.await.expect("the call ends");
    let meanwhile = meanwhile.await.expect("the call ends");
    planned_move.assert_exits();

    assert_eq!(first, "done", "{}", planned_move.logs());
    assert_eq!(meanwhile, "done", "{}", planned_move.logs());
    planned_move.assert_recorded(&[running, fresh]).await;
}

/// Guards against a shard that is lost, with all of its records, because one call in it runs for
/// longer than a stopping agent waits, and against an outcome of that call that is taken back.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_that_outlasts_the_stop_keeps_its_outcome() {
    let mut planned_move = Move::start().await;
    let keys = planned_move.record_a_key_in_each_shard().await;
    let shard = planned_move.shard_of_stopping();
    let (running, fresh) = (new_key_in_shard(shard), new_key_in_shard(shard));

    planned_move.service.set_hung(true);
    let first = planned_move.spawn_call(&running, "a");
    planned_move.until_running(&running).await;
    planned_move.stop();
    until("the shard has been handed over", || async {
        shard_home(&planned_move.cluster.key_value, shard).as_deref() != Some("push-1")
    })
    .await;
    let while_running = planned_move.call(&running, "b").await;
    planned_move.service.set_hung(false);
    let first = first.await.expect("the call ends");
    let repeat = planned_move.call(&running, "c").await;
    let meanwhile = planned_move.call(&fresh, "a").await;
    planned_move.assert_exits();

    assert_eq!(first, "done", "{}", planned_move.logs());
    assert_eq!(while_running, "unknown", "{}", planned_move.logs());
    assert_eq!(repeat, "done", "{}", planned_move.logs());
    assert_eq!(meanwhile, "done", "{}", planned_move.logs());
    assert_eq!(planned_move.run_count(&running), 1);
    planned_move.assert_recorded(&keys).await;
}

/// Guards against an agent that does not stop, or runs keys twice, or says nothing of it, while it cannot
/// reach the store. Its shards are left to the lease.
#[tokio::test(flavor = "multi_thread")]
async fn a_stop_without_the_store_leaves_the_shards_to_the_lease() {
    let mut planned_move = Move::start().await;
    let keys = planned_move.record_a_key_in_each_shard().await;
    let shards = planned_move.shards_of("push-1");

    planned_move.store_link.set_fault(Fault::FreezeAll);
    planned_move.stop();
    planned_move.assert_exits();
    for shard in &shards {
        planned_move.until_home(*shard, "push-2").await;
    }
    let mut repeats = Vec::new();
    for key in &keys {
        repeats.push(planned_move.call(key, "repeat").await);
    }

    let output = planned_move.stopping.daemon.output();
    assert!(
        output.contains("could not be handed over in 5 s"),
        "{output}"
    );
    let unknown = repeats.iter().filter(|outcome| *outcome == "unknown");
    assert_eq!(unknown.count(), shards.len(), "{repeats:?}");
    assert!(keys.iter().all(|key| planned_move.run_count(key) == 1));
}

/// Guards against an agent that exits, with a run under way whose caller has left, before the outcome is
/// recorded for the next home.
#[tokio::test(flavor = "multi_thread")]
async fn a_run_whose_caller_has_left_keeps_its_outcome_through_the_stop() {
    let mut planned_move = Move::start().await;
    let shard = planned_move.shard_of_stopping();
    let key = new_key_in_shard(shard);
    let headers = [
        ("idempotency-key", key.as_str()),
        ("berylhook-deadline-ms", "300"),
    ];

    planned_move.service.set_hung(true);
    let (caller, address) = (&planned_move.caller, planned_move.entry.address);
    let first = caller
        .post(address, "/guide-push/confirm", &key, &headers)
        .await;
    planned_move.stop();
    until("the shard has been handed over", || async {
        shard_home(&planned_move.cluster.key_value, shard).as_deref() != Some("push-1")
    })
    .await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    planned_move.service.set_hung(false);
    planned_move.assert_exits();

    assert_eq!(first.outcome, "unknown", "{}", first.body);
    planned_move.assert_recorded(&[key]).await;
}

/// Guards against a refusal or a second run of calls that come between the moment in which the home
/// gives a shard up and the moment in which the store has recorded that.
#[tokio::test(flavor = "multi_thread")]
async fn calls_during_a_handover_wait_for_the_next_home() {
    let mut planned_move = Move::start().await;
    let shard = planned_move.shard_of_stopping();
    let (recorded, fresh) = (new_key_in_shard(shard), new_key_in_shard(shard));
    assert_eq!(planned_move.call(&recorded, "a").await, "done");

    let store = &planned_move.cluster.key_value;
    let handover_key = format!("/{shard:04}{HANDOVER_KEYS}");
    store.fail_writes_of(&handover_key, WriteFault::Held, u32::MAX);
    planned_move.stop();
    planned_move.until_write_is_held().await;
    let first = planned_move.spawn_call(&fresh, "a");
    let repeat = planned_move.spawn_call(&recorded, "b");
    tokio::time::sleep(Duration::from_millis(500)).await;
    let runs_during_handover = planned_move.run_count(&fresh);
    planned_move.cluster.key_value.release_writes();
    let first = first.await.expect("the call ends");
    let repeat = repeat.await.expect("the call ends");
    planned_move.assert_exits();

    assert_eq!(runs_during_handover, 0);
    assert_eq!(first, "done", "{}", planned_move.logs());
    assert_eq!(repeat, "done", "{}", planned_move.logs());
    planned_move.assert_recorded(&[recorded, fresh]).await;
}

/// Guards against a handover that is recorded after its home has given up waiting for the response.
/// Until the store has decided, neither the home nor a successor may act on the shard.
#[tokio::test(flavor = "multi_thread")]
async fn a_handover_that_takes_effect_late_is_not_undone() {
    let mut planned_move = Move::start().await;
    let shard = planned_move.shard_of_stopping();
    let (recorded, fresh) = (new_key_in_shard(shard), new_key_in_shard(shard));
    assert_eq!(planned_move.call(&recorded, "a").await, "done");

    let store = &planned_move.cluster.key_value;
    let handover_key = format!("/{shard:04}{HANDOVER_KEYS}");
    store.fail_writes_of(&handover_key, WriteFault::Held, 1);
    planned_move.stop();
    planned_move.until_write_is_held().await;
    let first = planned_move.spawn_call(&fresh, "a");
    // Longer than a call to the store may take: the home tries again meanwhile.
    tokio::time::sleep(Duration::from_secs(2)).await;
    planned_move.cluster.key_value.release_writes();
    let first = first.await.expect("the call ends");
    planned_move.assert_exits();

    assert_eq!(first, "done", "{}", planned_move.logs());
    planned_move.assert_recorded(&[recorded, fresh]).await;
}

/// Guards against records that are lost because the agent is told to stop while it hands a shard
/// over to even out the shares.
#[tokio::test(flavor = "multi_thread")]
async fn a_stop_in_the_middle_of_a_handover_loses_no_record() {
    let mut planned_move = Move::start_unbalanced().await;

    let store = &planned_move.cluster.key_value;
    store.fail_writes_of(HANDOVER_KEYS, WriteFault::Held, 1);
    planned_move.until_write_is_held().await;
    let keys = planned_move.record_a_key_in_each_shard_in_background();
    planned_move.stop();
    tokio::time::sleep(Duration::from_millis(300)).await;
    planned_move.cluster.key_value.release_writes();
    let keys = keys.await.expect("the calls end");
    planned_move.assert_exits();

    planned_move.assert_recorded(&keys).await;
}

/// Guards against agents that never share the shards evenly while calls keep coming: the previous home
/// claimed a shard again for the next call, before the other agent could. No call is refused meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn shards_are_evened_out_although_calls_keep_coming() {
    let planned_move = Move::start_unbalanced().await;
    let (caller, address) = (planned_move.caller.clone(), planned_move.entry.address);
    let is_balanced = Arc::new(AtomicBool::new(false));

    let callers: Vec<_> = (0..16)
        .map(|shard| {
            let (caller, is_balanced) = (caller.clone(), Arc::clone(&is_balanced));
            tokio::spawn(async move {
                let mut outcomes = Vec::new();
                while !is_balanced.load(Ordering::SeqCst) {
                    let key = new_key_in_shard(shard);
                    outcomes.push(send_attempt(&caller, address, &key, "a").await.0.outcome);
                }
                outcomes
            })
        })
        .collect();
    until("the shards are shared evenly", || async {
        planned_move.shards_of("push-1").len() == 8 && planned_move.shards_of("push-2").len() == 8
    })
    .await;
    is_balanced.store(true, Ordering::SeqCst);

    for calls in callers {
        let outcomes = calls.await.expect("the calls end");
        assert!(
            outcomes.iter().all(|outcome| outcome == "done"),
            "{outcomes:?}\n{}",
            planned_move.logs()
        );
    }
}

/// Guards against records that a successor drops because the response to its claim, which takes
/// them over, was lost in an outage.
#[tokio::test(flavor = "multi_thread")]
async fn records_survive_the_loss_of_the_response_to_the_next_claim() {
    let mut planned_move = Move::start().await;
    let keys = planned_move.record_a_key_in_each_shard().await;
    let shard = planned_move.shard_of_stopping();

    let store = &planned_move.cluster.key_value;
    store.fail_after_write_of(&format!("/{shard:04}{HOME_KEYS}"));
    planned_move.stop();
    until("the outcome of the claim is unknown", || async {
        planned_move.cluster.key_value.outage() == Outage::Refusing
    })
    .await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    planned_move.cluster.key_value.set_outage(Outage::None);
    planned_move.assert_exits();
    planned_move.until_home(shard, "push-2").await;

    planned_move.assert_recorded(&keys).await;
}

/// Guards against records that are lost with a claim which takes effect after the agent has given
/// up waiting for it and has read that it is not home.
#[tokio::test(flavor = "multi_thread")]
async fn records_survive_a_claim_that_takes_effect_late() {
    let mut planned_move = Move::start().await;
    let keys = planned_move.record_a_key_in_each_shard().await;
    let shard = planned_move.shard_of_stopping();

    let store = &planned_move.cluster.key_value;
    store.fail_writes_of(
        &format!("/{shard:04}{HOME_KEYS}"),
        WriteFault::Held,
        u32::MAX,
    );
    planned_move.stop();
    planned_move.until_write_is_held().await;
    // Longer than a call to the store may take.
    tokio::time::sleep(Duration::from_secs(2)).await;
    planned_move.cluster.key_value.release_writes();
    planned_move.assert_exits();
    planned_move.until_home(shard, "push-2").await;

    planned_move.assert_recorded(&keys).await;
}

/// Guards against a stopping agent that claims a shard which it has just handed over, for a call
/// that waits there, and then loses the records with its lease.
#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_agent_claims_no_shard() {
    let mut planned_move = Move::start().await;
    let keys = planned_move.record_a_key_in_each_shard().await;
    let stopping_shards = planned_move.shards_of("push-1");
    planned_move.remaining.daemon.signal(Signal::Stop);

    planned_move.stop();
    let calls: Vec<_> = stopping_shards
        .iter()
        .map(|shard| planned_move.spawn_call(&new_key_in_shard(*shard), "a"))
        .collect();
    planned_move.assert_exits();
    let stopping_output = planned_move.stopping.daemon.output();
    planned_move.remaining.daemon.signal(Signal::Continue);
    for call in calls {
        call.await.expect("the call ends");
    }

    let after_stop = stopping_output.split("told to stop").nth(1);
    let after_stop = after_stop.expect("it was told to stop");
    assert!(!after_stop.contains("home to shard"), "{after_stop}");
    planned_move.assert_recorded(&keys).await;
}

/// Guards against calls that are told "unknown" at their deadlines because they were on their way to
/// an agent that has just exited. It has run none of those that it has not replied to.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_on_its_way_to_an_agent_that_exits_runs_at_another() {
    let cluster = Cluster::start().await;
    let service = PlainService::start().await;
    let target = service.server.address;
    let mut stopping = cluster
        .start_linked_agent("push-1", "guide-push", target)
        .await;
    let entry = cluster.start_entry("entry-1");
    until_plain_service_ready(&entry).await;
    let _remaining = cluster.start_agent("push-2", "guide-push", target);
    until("both agents are home to shards", || async {
        first_shard_of(&cluster.key_value, "push-2").is_some()
    })
    .await;
    let shard = first_shard_of(&cluster.key_value, "push-1").expect("the agent has a shard");
    let caller = Caller::new(DESK_KEY);
    let (warm_up, _) =
        send_attempt(&caller, entry.address, &new_key_in_shard(shard), "warm-up").await;

    stopping.link.set_fault(Fault::FreezeAll);
    let key = new_key_in_shard(shard);
    let call = tokio::spawn({
        let (caller, address, key) = (caller.clone(), entry.address, key.clone());
        async move {
            let headers = [
                ("idempotency-key", key.as_str()),
                ("berylhook-deadline-ms", "2000"),
            ];
            let path = "/guide-push/confirm";
            caller.post(address, path, &key, &headers).await
        }
    });
    tokio::time::sleep(Duration::from_millis(100)).await;
    stopping.agent.daemon.signal(Signal::Terminate);
    let exit_code = stopping.agent.daemon.wait().expect("it exits by itself");
    stopping.link.set_fault(Fault::None);
    let call = call.await.expect("the call ends");

    assert_eq!(warm_up.outcome, "done", "{}", warm_up.body);
    assert_eq!(exit_code, 0);
    assert_eq!(call.outcome, "done", "{}", call.body);
    let runs = service.runs();
    assert_eq!(runs.iter().filter(|run| run.body == key).count(), 1);
}
