//! A caller is told "not run" only if its request did not run, also when commands are lost, late or
//! sent to a process that has exited.

use std::time::Duration;

use berylhook_test_support::calls::Caller;
use berylhook_test_support::cluster::{
    Cluster, DESK_KEY, catalogue, store_catalogue, until, until_ready, until_serving,
};
use berylhook_test_support::{Engine, EngineConfig, Fault, PlainService, Signal};

/// Guards against a caller that is told "not run", repeats the request and so has it run twice. The
/// command leaves the entry and its connection freezes. The entry abandons the connection,
/// reconnects and revokes the command, and the caller is told "not run". Then the delayed command
/// reaches the agent, which must remember the revoke and not start it.
///
/// Retries are off, so that the caller gets the outcome of this attempt.
#[tokio::test(flavor = "multi_thread")]
async fn a_command_that_arrives_after_its_revoke_does_not_start() {
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
    until("the late command is refused or runs", || async {
        linked.agent.daemon.output().contains("refused: revoked")
            || engine.runs().len() > runs_before
    })
    .await;

    assert_eq!(response.outcome, "not-run", "{}", response.body);
    assert!(response.retry_after.is_some());
    assert_eq!(engine.runs().len(), runs_before);
}

/// Guards against a caller that is told "not run" about a request that ran. The command reaches the
/// agent and starts, then the agent dies and is replaced under the same name, and the entry sends
/// the new one a revoke. The new incarnation has no record of the command, and "no record" must not
/// be taken for "will not run".
#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_agent_does_not_answer_for_its_previous_incarnation() {
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

/// Guards against a request that waits until its caller gives up because no agent is connected. The
/// caller must learn at once that the request did not run and when to retry.
#[tokio::test(flavor = "multi_thread")]
async fn with_no_live_target_the_refusal_is_not_run_with_retry_after() {
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

/// Guards against a model request that fails although another target is free, because its target
/// dies before the first byte. A repeatable request of which the caller has received nothing can
/// run again elsewhere.
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
    until("the stalled target has the request", || async {
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
