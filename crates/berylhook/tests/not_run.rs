//! "Not run" is true: what callers are told when orders are lost, late or
//! sent to a process that is gone.

use std::time::Duration;

use berylhook_test_support::calls::Caller;
use berylhook_test_support::cluster::{
    Cluster, DESK_KEY, catalogue, store_catalogue, until, until_ready, until_serving,
};
use berylhook_test_support::{Engine, EngineConfig, Fault, PlainService, Signal};

/// Symptom: a caller is told "not run", sends again, and the request runs
/// twice.
/// Sequence: the order leaves the entry; the connection stops carrying
/// anything; the entry gives it up, reconnects and revokes; the caller is
/// told "not run"; then the held-back order arrives at the agent after all.
/// Cause: an agent that forgets a revoke starts the late order.
///
/// Retries are off, so that the caller is told of this attempt.
#[tokio::test(flavor = "multi_thread")]
async fn an_order_that_arrives_after_its_revoke_does_not_start() {
    let cluster = Cluster::start().await;
    let no_retries = catalogue().replace("resume = yes", "resume = yes\nretry_percent = 0");
    store_catalogue(&cluster.key_value, &no_retries);
    let engine = Engine::start(EngineConfig::default()).await;
    let linked = cluster
        .start_linked_agent("target-1", "briefing-llm", engine.server.address)
        .await;
    let entry = cluster.start_entry("entry-1");
    until_serving(&entry, "briefing-llm").await;
    let runs_before = engine.runs().len();

    linked.link.set_fault(Fault::FreezeOpen);
    let caller = Caller::new(DESK_KEY);
    let response = caller
        .complete(entry.address, "briefing-llm", "late order", 3, false)
        .await;
    linked.link.set_fault(Fault::None);
    until("the late order has been decided", || async {
        linked.agent.daemon.output().contains("refused: revoked")
            || engine.runs().len() > runs_before
    })
    .await;

    assert_eq!(response.outcome, "not-run", "{}", response.body);
    assert!(response.retry_after.is_some());
    assert_eq!(engine.runs().len(), runs_before);
}

/// Symptom: a caller is told "not run" of a request that ran.
/// Sequence: the order reaches the agent and starts; the agent dies and is
/// replaced under the same name; the entry asks the new one to revoke.
/// Cause: the new incarnation has no record of the order, and "no record"
/// taken for "will not run" would be false.
#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_agent_does_not_answer_for_its_former_self() {
    let cluster = Cluster::start().await;
    let service = PlainService::start().await;
    let mut agent = cluster.start_agent("push-1", "guide-push", service.server.address);
    let entry = cluster.start_entry("entry-1");
    let caller = Caller::new(DESK_KEY);
    until("the service answers", || async {
        let response = caller
            .post(entry.address, "/guide-push", "warm-up", &[])
            .await;
        response.status == 200
    })
    .await;
    let runs_before = service.runs().len();

    service.set_hung(true);
    let call = tokio::spawn({
        let caller = caller.clone();
        async move {
            caller
                .post(entry.address, "/guide-push", "canoe 7", &[])
                .await
        }
    });
    until("the request has run", || async {
        service.runs().len() > runs_before
    })
    .await;
    agent.daemon.signal(Signal::Kill);
    agent.restart();
    let response = call.await.expect("the call ends");

    assert_eq!(response.outcome, "unknown", "{}", response.body);
    assert_eq!(service.runs().len(), runs_before + 1);
}

/// Symptom: a request that can go nowhere waits until the caller gives up.
/// Sequence: no agent of the entry is connected.
/// Cause: waiting for one would hide from the caller that it can come back.
#[tokio::test(flavor = "multi_thread")]
async fn with_no_live_target_the_refusal_is_not_run_and_says_when_to_come_back() {
    let cluster = Cluster::start().await;
    let entry = cluster.start_entry("entry-1");
    until_ready(&entry).await;

    let caller = Caller::new(DESK_KEY);
    let response = caller
        .complete(entry.address, "briefing-llm", "anyone", 3, false)
        .await;

    assert_eq!(response.status, 503);
    assert_eq!(response.outcome, "not-run");
    assert_eq!(response.retry_after.as_deref(), Some("1"));
    assert_eq!(response.json()["error"]["code"], "no_live_target");
}

/// Symptom: a model request fails although another target was free.
/// Sequence: the target it was sent to dies before the first byte.
/// Cause: a request that may be repeated and has shown nothing to its caller
/// can run again elsewhere.
#[tokio::test(flavor = "multi_thread")]
async fn a_repeatable_request_moves_to_another_target_before_its_first_byte() {
    let cluster = Cluster::start().await;
    let stuck = Engine::start(EngineConfig::default()).await;
    let agent = cluster.start_agent("target-1", "briefing-llm", stuck.server.address);
    let entry = cluster.start_entry("entry-1");
    until_serving(&entry, "briefing-llm").await;
    stuck.set_stalled(true);
    let runs_before = stuck.runs().len();

    let caller = Caller::new(DESK_KEY);
    let call = tokio::spawn(async move {
        caller
            .complete(entry.address, "briefing-llm", "moved", 5, false)
            .await
    });
    until("the stuck target has it", || async {
        stuck.runs().len() > runs_before
    })
    .await;
    let healthy = Engine::start(EngineConfig::default()).await;
    let _second = cluster.start_agent("target-2", "briefing-llm", healthy.server.address);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    agent.daemon.signal(Signal::Kill);
    let response = call.await.expect("the call ends");

    assert_eq!(response.outcome, "done", "{}", response.body);
    let text = response.json()["choices"][0]["text"].clone();
    assert_eq!(text, Engine::response_text("moved", 5));
}
