//! Each caller gets the complete response to its own request, while targets and agents fail.

use std::time::Duration;

use berylhook_test_support::calls::Caller;
use berylhook_test_support::cluster::{
    Cluster, DESK_KEY, catalogue, store_catalogue, until, until_serving,
};
use berylhook_test_support::{Engine, EngineConfig, Fault, Signal};

const SLOW_STEP: Duration = Duration::from_millis(10);

fn slow_engine() -> EngineConfig {
    EngineConfig {
        step: SLOW_STEP,
        ..EngineConfig::default()
    }
}

/// Logged by the entry when an agent did not return in the time for which a stream waits for it.
const RESUME_TIMEOUT_LINE: &str = "no connection to resume on";

/// How often the agent is killed. On a busy machine its successor may sometimes take longer to
/// start than a stream waits, but not each time.
const AGENT_KILLS: usize = 6;

/// Guards against a stream with a gap or a repeated part: the agent dies in the middle of a stream
/// and is replaced while the engine keeps generating. The stream must continue at the same target,
/// with the first event that the caller has not received.
///
/// A stream waits 1.9 s for the agent. If the successor is not connected by then, the response must
/// end visibly incomplete, after valid events only.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_survives_the_death_of_its_agent() {
    let cluster = Cluster::start().await;
    let engine = Engine::start(slow_engine()).await;
    let mut agent = cluster.start_agent("target-1", "briefing-llm", engine.server.address);
    let entry = cluster.start_entry("entry-1");

    for kill in 1..=AGENT_KILLS {
        until_serving(&entry, "briefing-llm").await;
        let timeouts_before = entry.daemon.output().matches(RESUME_TIMEOUT_LINE).count();
        let runs_before = engine.runs().len();
        let prompt = format!("long briefing {kill}");
        let call = tokio::spawn({
            let (prompt, address) = (prompt.clone(), entry.address);
            async move {
                let caller = Caller::new(DESK_KEY);
                caller
                    .complete(address, "briefing-llm", &prompt, 150, true)
                    .await
            }
        });
        until("the stream has begun", || async {
            engine.runs().len() > runs_before
        })
        .await;
        tokio::time::sleep(SLOW_STEP * 40).await;
        agent.daemon.signal(Signal::Kill);
        agent.restart();
        let response = call.await.expect("the call ends");

        let expected = Engine::response_text(&prompt, 150);
        assert_eq!(engine.runs().len(), runs_before + 1);
        if response.is_complete {
            assert_eq!(response.streamed_text(), expected);
            return;
        }
        let log = entry.daemon.output();
        assert!(expected.starts_with(&response.streamed_text()));
        assert!(response.body.contains("answer_lost"), "{}", response.body);
        assert!(
            log.matches(RESUME_TIMEOUT_LINE).count() > timeouts_before,
            "interrupted although the agent was back:\n{log}"
        );
    }
    panic!("none of {AGENT_KILLS} restarted agents was back in time");
}

/// Guards against an interrupted response that looks short but complete: the engine closes its
/// connection in the middle of a stream that cannot be resumed. Only a chunked body without its
/// final chunk shows this to every HTTP client.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_cannot_be_resumed_ends_without_the_final_chunk() {
    let cluster = Cluster::start().await;
    let no_resume = catalogue().replace("resume = yes\n", "");
    store_catalogue(&cluster.key_value, &no_resume);
    let engine = Engine::start(EngineConfig::default()).await;
    let _agent = cluster.start_agent("target-1", "briefing-llm", engine.server.address);
    let entry = cluster.start_entry("entry-1");
    until_serving(&entry, "briefing-llm").await;

    engine.cut_streams_after(Some(7));
    let caller = Caller::new(DESK_KEY);
    let response = caller
        .complete(entry.address, "briefing-llm", "cut off", 30, true)
        .await;

    assert_eq!(response.status, 200);
    assert!(!response.is_complete, "{response:?}");
    assert_eq!(
        response.streamed_text(),
        Engine::response_text("cut off", 7)
    );
    assert!(response.body.contains("answer_lost"), "{}", response.body);
}

/// Guards against a caller that receives the response of another. Many callers stream while
/// connections are frozen, cut and released again, so that frames of abandoned connections arrive
/// late. Frames are matched by an id that no restart and no reconnect reuses, and frames that match
/// no request are dropped.
#[tokio::test(flavor = "multi_thread")]
async fn every_caller_gets_its_own_response_or_a_visible_failure() {
    let cluster = Cluster::start().await;
    let engine = Engine::start(EngineConfig::default()).await;
    let linked = cluster
        .start_linked_agent("target-1", "briefing-llm", engine.server.address)
        .await;
    let entry = cluster.start_entry("entry-1");
    until_serving(&entry, "briefing-llm").await;

    let callers: Vec<_> = (0..48)
        .map(|number| {
            let caller = Caller::new(DESK_KEY);
            let address = entry.address;
            tokio::spawn(async move {
                let mut mismatched = Vec::new();
                let mut complete_count = 0;
                for round in 0..6 {
                    let prompt = format!("caller {number} round {round}");
                    let response = caller
                        .complete(address, "briefing-llm", &prompt, 60, true)
                        .await;
                    let expected = Engine::response_text(&prompt, 60);
                    let text = response.streamed_text();
                    let is_acceptable =
                        text == expected || !response.is_complete || response.status != 200;
                    if !is_acceptable || !expected.starts_with(&text) {
                        mismatched.push((prompt, response));
                    } else if response.is_complete && response.status == 200 {
                        complete_count += 1;
                    }
                }
                (mismatched, complete_count)
            })
        })
        .collect();
    for fault in [
        Fault::FreezeOpen,
        Fault::Cut,
        Fault::FreezeResponses,
        Fault::FreezeAll,
    ] {
        tokio::time::sleep(Duration::from_millis(120)).await;
        linked.link.set_fault(fault);
        tokio::time::sleep(Duration::from_millis(300)).await;
        linked.link.set_fault(Fault::None);
    }
    let mut mismatched = Vec::new();
    let mut complete_count = 0;
    for caller in callers {
        let (mismatched_here, complete_here) = caller.await.expect("the caller ends");
        mismatched.extend(mismatched_here);
        complete_count += complete_here;
    }

    assert!(mismatched.is_empty(), "{mismatched:?}");
    assert!(complete_count > 0, "no caller got a complete response");
}
