//! Connections that stop carrying data without a reset.

use std::time::Duration;

use berylhook_test_support::calls::Caller;
use berylhook_test_support::cluster::{Cluster, DESK_KEY, until, until_serving};
use berylhook_test_support::{Engine, EngineConfig, Fault};

fn slow_engine() -> EngineConfig {
    EngineConfig {
        step: Duration::from_millis(10),
        ..EngineConfig::default()
    }
}

/// Guards against requests that hang for minutes although the target is healthy. A device between
/// entry and agent drops the state of their connection: nothing is reset, and new connections work.
/// Only heartbeats on the connection reveal this; the entry then reconnects, resumes streams and
/// sends new requests over the new connection.
#[tokio::test(flavor = "multi_thread")]
async fn streams_continue_over_a_new_connection_when_the_old_one_is_dead() {
    let cluster = Cluster::start().await;
    let engine = Engine::start(slow_engine()).await;
    let linked = cluster
        .start_linked_agent("target-1", "briefing-llm", engine.server.address)
        .await;
    let entry = cluster.start_entry("entry-1");
    until_serving(&entry, "briefing-llm").await;
    let runs_before = engine.runs().len();
    let streams: Vec<_> = (0..8)
        .map(|number| {
            tokio::spawn(async move {
                let caller = Caller::new(DESK_KEY);
                let prompt = format!("stream {number}");
                let response = caller
                    .complete(entry.address, "briefing-llm", &prompt, 60, true)
                    .await;
                (prompt, response)
            })
        })
        .collect();
    until("the streams have begun", || async {
        engine.runs().len() >= runs_before + 8
    })
    .await;
    tokio::time::sleep(Duration::from_millis(100)).await;

    linked.link.set_fault(Fault::FreezeOpen);

    for stream in streams {
        let (prompt, response) = stream.await.expect("the stream ends");
        assert!(response.is_complete, "{}", response.body);
        assert_eq!(response.streamed_text(), Engine::response_text(&prompt, 60));
    }
    assert!(entry.daemon.output().contains("resumed at event"));
    until_serving(&entry, "briefing-llm").await;
}

/// Guards against callers that keep waiting for an agent when neither the open connection to it nor
/// a new one carries data. Requests in flight must be resolved: each without a response gets its
/// outcome, and none waits for the link to recover.
#[tokio::test(flavor = "multi_thread")]
async fn requests_to_an_unreachable_agent_are_resolved() {
    let cluster = Cluster::start().await;
    let engine = Engine::start(slow_engine()).await;
    let linked = cluster
        .start_linked_agent("target-1", "briefing-llm", engine.server.address)
        .await;
    let entry = cluster.start_entry("entry-1");
    until_serving(&entry, "briefing-llm").await;

    linked.link.set_fault(Fault::FreezeAll);
    let caller = Caller::new(DESK_KEY);
    let unacknowledged = caller
        .complete(entry.address, "briefing-llm", "into the hole", 5, false)
        .await;
    let refused = caller
        .complete(entry.address, "briefing-llm", "later", 5, false)
        .await;

    // The agent could not be queried for the outcome of the first request; the
    // second was never sent.
    assert_eq!(unacknowledged.outcome, "unknown", "{}", unacknowledged.body);
    assert_eq!(refused.outcome, "not-run", "{}", refused.body);
    assert!(refused.retry_after.is_some());
}

/// Guards against a repeatable request that fails although its target is healthy. The connection to
/// the only target goes silent before the response. The target must not count as failed for this
/// request, which can run there again over a new connection.
#[tokio::test(flavor = "multi_thread")]
async fn a_repeatable_request_is_retried_over_a_new_connection() {
    let cluster = Cluster::start().await;
    let engine = Engine::start(slow_engine()).await;
    let linked = cluster
        .start_linked_agent("target-1", "briefing-llm", engine.server.address)
        .await;
    let entry = cluster.start_entry("entry-1");
    until_serving(&entry, "briefing-llm").await;
    let runs_before = engine.runs().len();
    let call = tokio::spawn(async move {
        let caller = Caller::new(DESK_KEY);
        caller
            .complete(entry.address, "briefing-llm", "again", 60, false)
            .await
    });
    until("the request has begun", || async {
        engine.runs().len() > runs_before
    })
    .await;

    linked.link.set_fault(Fault::FreezeOpen);
    let response = call.await.expect("the call ends");

    assert_eq!(response.outcome, "done", "{}", response.body);
    let text = response.json()["choices"][0]["text"].clone();
    assert_eq!(text, Engine::response_text("again", 60));
}

/// Guards against a stream that is lost because its target was silent when the connection between
/// entry and agent closed. The agent then cancels the run, and the entry, which is still there,
/// resumes the stream over a new connection.
#[tokio::test(flavor = "multi_thread")]
async fn a_silent_stream_is_resumed_over_a_new_connection() {
    let cluster = Cluster::start().await;
    let engine = Engine::start(slow_engine()).await;
    let linked = cluster
        .start_linked_agent("target-1", "briefing-llm", engine.server.address)
        .await;
    let entry = cluster.start_entry("entry-1");
    until_serving(&entry, "briefing-llm").await;
    let runs_before = engine.runs().len();
    let address = entry.address;
    let call = tokio::spawn(async move {
        let caller = Caller::new(DESK_KEY);
        caller
            .complete(address, "briefing-llm", "silent", 60, true)
            .await
    });
    until("the stream has begun", || async {
        engine.runs().len() > runs_before
    })
    .await;
    tokio::time::sleep(Duration::from_millis(100)).await;

    engine.set_stalled(true);
    linked.link.set_fault(Fault::Cut);
    until("the entry has noticed the loss", || async {
        entry.daemon.output().contains("has disconnected")
    })
    .await;
    linked.link.set_fault(Fault::None);
    until("the stream is resumed", || async {
        entry.daemon.output().contains("resumed at event")
    })
    .await;
    engine.set_stalled(false);
    let response = call.await.expect("the stream ends");

    assert!(response.is_complete, "{}", response.body);
    assert_eq!(
        response.streamed_text(),
        Engine::response_text("silent", 60)
    );
    assert_eq!(engine.runs().len(), runs_before + 1);
}
