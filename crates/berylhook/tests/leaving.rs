//! Targets that leave get no new work, and planned stops cut nothing off.

use std::time::Duration;

use berylhook_test_support::calls::{CallResult, Caller};
use berylhook_test_support::cluster::{Cluster, DESK_KEY, until, until_serving};
use berylhook_test_support::{Engine, EngineConfig, Signal};

const TOKENS: usize = 120;

fn slow_engine() -> EngineConfig {
    EngineConfig {
        step: Duration::from_millis(10),
        ..EngineConfig::default()
    }
}

fn stream(entry: std::net::SocketAddr, prompt: &str) -> tokio::task::JoinHandle<CallResult> {
    let prompt = prompt.to_owned();
    tokio::spawn(async move {
        let caller = Caller::new(DESK_KEY);
        caller
            .complete(entry, "briefing-llm", &prompt, TOKENS, true)
            .await
    })
}

/// Symptom: a target that is about to go keeps getting requests.
/// Sequence: the platform's list marks it as leaving; its agent has not been
/// told anything.
/// Cause: the agent's word goes before the list, but either is enough.
#[tokio::test(flavor = "multi_thread")]
async fn a_target_marked_as_leaving_gets_no_new_work_and_finishes_what_it_has() {
    let cluster = Cluster::start().await;
    let leaving = Engine::start(slow_engine()).await;
    let staying = Engine::start(EngineConfig::default()).await;
    let _first = cluster.start_agent("target-1", "briefing-llm", leaving.server.address);
    let entry = cluster.start_entry("entry-1");
    until_serving(&entry, "briefing-llm").await;
    let runs_before = leaving.runs().len();
    let in_flight = stream(entry.address, "in flight");
    until("the stream has begun", || async {
        leaving.runs().len() > runs_before
    })
    .await;
    let _second = cluster.start_agent("target-2", "briefing-llm", staying.server.address);

    cluster.vms.mark_leaving("target-1");
    until("the mark has arrived", || async {
        entry
            .daemon
            .output()
            .contains("agent target-1: leaving = true")
    })
    .await;
    until_serving(&entry, "briefing-llm").await;
    let runs_at_mark = leaving.runs().len();
    let caller = Caller::new(DESK_KEY);
    for _ in 0..30 {
        caller
            .complete(entry.address, "briefing-llm", "new", 1, false)
            .await;
    }
    let in_flight = in_flight.await.expect("the stream ends");

    assert_eq!(leaving.runs().len(), runs_at_mark);
    assert!(in_flight.is_complete);
    assert_eq!(
        in_flight.streamed_text(),
        Engine::response_text("in flight", TOKENS)
    );
}

/// Symptom: a rolling update of the agents cuts streams off.
/// Sequence: an agent is told to stop in the middle of a stream.
/// Cause: it must refuse new orders at once and end only when the last
/// answer has.
#[tokio::test(flavor = "multi_thread")]
async fn an_agent_that_is_told_to_stop_finishes_its_streams() {
    let cluster = Cluster::start().await;
    let engine = Engine::start(slow_engine()).await;
    let mut agent = cluster.start_agent("target-1", "briefing-llm", engine.server.address);
    let entry = cluster.start_entry("entry-1");
    until_serving(&entry, "briefing-llm").await;
    let runs_before = engine.runs().len();
    let in_flight = stream(entry.address, "in flight");
    until("the stream has begun", || async {
        engine.runs().len() > runs_before
    })
    .await;

    agent.daemon.signal(Signal::Terminate);
    until("the agent has been told", || async {
        agent.daemon.output().contains("told to stop")
    })
    .await;
    let caller = Caller::new(DESK_KEY);
    let refused = caller
        .complete(entry.address, "briefing-llm", "too late", 1, false)
        .await;
    let in_flight = in_flight.await.expect("the stream ends");
    let code = agent.daemon.wait().expect("it ends by itself");

    assert_eq!(refused.outcome, "not-run", "{}", refused.body);
    assert!(in_flight.is_complete);
    assert_eq!(
        in_flight.streamed_text(),
        Engine::response_text("in flight", TOKENS)
    );
    assert_eq!(engine.runs().len(), runs_before + 1);
    assert_eq!(code, 0);
}

/// Symptom: a rolling update of the entries cuts streams off, or refuses
/// requests that the balancer still sends.
/// Sequence: an entry is told to stop in the middle of a stream; a new
/// request arrives before the balancer has noticed.
/// Cause: readiness goes off first, the listener stays, then it drains.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_is_told_to_stop_serves_on_until_it_has_drained() {
    let mut cluster = Cluster::start().await;
    cluster.entry_settings = "drain_delay_ms = 1000\n".to_owned();
    let engine = Engine::start(slow_engine()).await;
    let _agent = cluster.start_agent("target-1", "briefing-llm", engine.server.address);
    let mut entry = cluster.start_entry("entry-1");
    until_serving(&entry, "briefing-llm").await;
    let runs_before = engine.runs().len();
    let in_flight = stream(entry.address, "in flight");
    until("the stream has begun", || async {
        engine.runs().len() > runs_before
    })
    .await;
    let caller = Caller::new(DESK_KEY);

    entry.daemon.signal(Signal::Terminate);
    until("it is no longer ready", || async {
        caller.get(entry.address, "/readyz").await.status == 503
    })
    .await;
    let late = caller
        .complete(entry.address, "briefing-llm", "late", 2, false)
        .await;
    let in_flight = in_flight.await.expect("the stream ends");
    let code = entry.daemon.wait().expect("it ends by itself");

    assert_eq!(late.outcome, "done", "{}", late.body);
    assert!(in_flight.is_complete);
    assert_eq!(
        in_flight.streamed_text(),
        Engine::response_text("in flight", TOKENS)
    );
    assert_eq!(code, 0);
}

/// Symptom: a stop that an operator has bounded never ends.
/// Sequence: the entry is told to stop while an answer hangs.
/// Cause: only a bound that the operator sets may cut an answer, and then it
/// must.
#[tokio::test(flavor = "multi_thread")]
async fn a_bounded_drain_ends_although_an_answer_hangs() {
    let mut cluster = Cluster::start().await;
    cluster.entry_settings = "drain_delay_ms = 0\ndrain_bound_ms = 300\n".to_owned();
    let engine = Engine::start(slow_engine()).await;
    let _agent = cluster.start_agent("target-1", "briefing-llm", engine.server.address);
    let mut entry = cluster.start_entry("entry-1");
    until_serving(&entry, "briefing-llm").await;
    let runs_before = engine.runs().len();
    engine.set_stalled(true);
    let hanging = stream(entry.address, "hangs");
    until("the stream has begun", || async {
        engine.runs().len() > runs_before
    })
    .await;

    entry.daemon.signal(Signal::Terminate);
    let code = entry.daemon.wait().expect("it ends by itself");
    let hanging = hanging.await.expect("the call ends");

    assert_eq!(code, 0);
    assert!(!hanging.is_complete);
}
