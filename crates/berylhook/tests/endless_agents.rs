//! Targets that send bytes without end to the agent beside them.

mod common;

use std::time::Duration;

use berylhook_test_support::calls::{CallResult, Caller};
use berylhook_test_support::cluster::{
    AgentProcess, Cluster, DESK_KEY, EntryProcess, catalogue, store_catalogue, until,
};
use berylhook_test_support::{EndlessTarget, Pace, Stage};
use futures_util::future::join_all;
use tokio::time::{sleep, timeout};

use crate::common::new_key;

const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Most requests of one kind that are sent until the target gets one, and the pause behind each.
const MAX_REQUESTS: usize = 200;
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);

/// Memory of the smallest VM that an agent runs on.
const AGENT_MEMORY_KB: u64 = 128_000;

/// An entry whose two agents are beside a target that never gets past one stage.
struct Setup {
    stage: Stage,
    _cluster: Cluster,
    target: EndlessTarget,
    agents: [AgentProcess; 2],
    entry: EntryProcess,
}

async fn start(stage: Stage) -> Setup {
    let cluster = Cluster::empty().await;
    let no_resume = catalogue().replace("resume = yes\n", "");
    let short = no_resume.replace("deadline_ms = 20000", "deadline_ms = 1000");
    let short = short.replace("deadline_ms = 10000", "deadline_ms = 1000");
    store_catalogue(&cluster.key_value, &short);
    let target = EndlessTarget::start(stage, Pace::Floods).await;
    let agents = [
        cluster.start_agent("target-1", "briefing-llm", target.address()),
        cluster.start_agent("target-2", "guide-push", target.address()),
    ];
    let entry = cluster.start_entry("entry-1");
    Setup {
        stage,
        _cluster: cluster,
        target,
        agents,
        entry,
    }
}

impl Setup {
    /// Sends requests of one kind until the target has got one.
    async fn send_until_arrived(
        &self,
        send: impl AsyncFn() -> CallResult,
    ) -> Vec<Option<CallResult>> {
        let runs = self.target.runs();
        let mut responses = Vec::new();
        while self.target.runs() == runs {
            assert!(responses.len() < MAX_REQUESTS, "{:?}", self.stage);
            responses.push(timeout(TEST_TIMEOUT, send()).await.ok());
            sleep(REQUEST_INTERVAL).await;
        }
        responses
    }

    /// Sends plain, streaming and keyed requests.
    async fn send_each_kind(&self) -> Vec<Option<CallResult>> {
        let caller = Caller::new(DESK_KEY);
        let address = self.entry.address;
        let complete =
            |is_stream| caller.complete(address, "briefing-llm", "a draft", 4, is_stream);
        let plain = self.send_until_arrived(async || complete(false).await);
        let mut responses = plain.await;
        let streamed = self.send_until_arrived(async || complete(true).await);
        responses.extend(streamed.await);
        let keyed = self.send_until_arrived(async || {
            let key = new_key();
            let headers = [("idempotency-key", &*key)];
            caller
                .post(address, "/guide-push/draft", "canoe 7", &headers)
                .await
        });
        responses.extend(keyed.await);
        responses
    }
}

// Guards against an agent that a response without end takes: its memory, the thread that serves all
// requests, or a request that goes on although nobody receives its response.
#[tokio::test(flavor = "multi_thread")]
async fn a_response_that_does_not_end_ends_its_request_at_an_agent() {
    let setups = join_all(Stage::ALL.map(start)).await;

    let responses = join_all(setups.iter().map(Setup::send_each_kind)).await;

    for (mut setup, responses) in setups.into_iter().zip(responses) {
        let stage = setup.stage;
        for response in responses {
            let response = response.expect("the request ends");
            let is_whole_success = response.status == 200 && response.is_complete;
            assert!(!is_whole_success, "{stage:?}: {response:?}");
        }
        until(&format!("no run of {stage:?} is left"), async || {
            setup.target.open_runs() == 0
        })
        .await;
        for agent in &mut setup.agents {
            assert!(!agent.daemon.has_exited(), "{stage:?}");
            let resident_kb = agent.daemon.resident_kb();
            assert!(resident_kb < AGENT_MEMORY_KB, "{stage:?}: {resident_kb}");
        }
    }
}
