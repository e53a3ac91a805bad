//! Requests through all real binaries: caller, entry, agent, engine.

use berylhook_test_support::calls::Caller;
use berylhook_test_support::cluster::{CLAIMS_KEY, Cluster, DESK_KEY, until_serving};
use berylhook_test_support::{Engine, EngineConfig, PlainService};

#[tokio::test(flavor = "multi_thread")]
async fn a_model_request_gets_a_complete_response() {
    let cluster = Cluster::start().await;
    let engine = Engine::start(EngineConfig::default()).await;
    let _agent = cluster.start_agent("target-1", "briefing-llm", engine.server.address);
    let entry = cluster.start_entry("entry-1");
    until_serving(&entry, "briefing-llm").await;

    let caller = Caller::new(DESK_KEY);
    let response = caller
        .complete(entry.address, "briefing-llm", "river conditions", 12, false)
        .await;

    assert_eq!(response.status, 200, "{}", response.body);
    assert_eq!(response.outcome, "done");
    let text = response.json()["choices"][0]["text"].clone();
    assert_eq!(text, Engine::response_text("river conditions", 12));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_is_forwarded_completely() {
    let cluster = Cluster::start().await;
    let engine = Engine::start(EngineConfig::default()).await;
    let _agent = cluster.start_agent("target-1", "briefing-llm", engine.server.address);
    let entry = cluster.start_entry("entry-1");
    until_serving(&entry, "briefing-llm").await;

    let caller = Caller::new(CLAIMS_KEY);
    let response = caller
        .complete(entry.address, "briefing-llm", "broken bag", 40, true)
        .await;

    assert_eq!(response.status, 200, "{}", response.body);
    assert!(response.is_complete);
    assert!(response.body.ends_with("data: [DONE]\n\n"));
    assert_eq!(
        response.streamed_text(),
        Engine::response_text("broken bag", 40)
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_repeated_at_most_once_call_runs_once_and_gets_the_same_response() {
    let cluster = Cluster::start().await;
    let service = PlainService::start().await;
    let _agent = cluster.start_agent("push-1", "guide-push", service.server.address);
    let entry = cluster.start_entry("entry-1");
    let caller = Caller::new(DESK_KEY);
    berylhook_test_support::cluster::until("the service answers", || async {
        let response = caller
            .post(entry.address, "/guide-push/warm-up", "{}", &[])
            .await;
        response.status == 200
    })
    .await;
    let runs_before = service.runs().len();

    let key = uuid::Uuid::now_v7().to_string();
    let headers = [("idempotency-key", key.as_str())];
    let first = caller
        .post(entry.address, "/guide-push/confirm", "canoe 7", &headers)
        .await;
    let second = caller
        .post(entry.address, "/guide-push/confirm", "canoe 7", &headers)
        .await;

    assert_eq!(first.outcome, "done", "{}", first.body);
    assert_eq!(second.outcome, "done", "{}", second.body);
    assert_eq!(first.body, second.body);
    assert_eq!(service.runs().len() - runs_before, 1);
}
