//! The control thread: leases, shard claims, load reports, signals.

mod claims;

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use berylhook_keyvalue::KeyValue;
use berylhook_operator::document::Document;
use berylhook_operator::{ItemId, ItemKind};
use berylhook_target::TargetError;
use berylhook_target::probe::{self, ProbeOutcome};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, oneshot};

use crate::agent::{Agent, LoadSample, lock};
use claims::Claims;

/// Time between two load reports.
const LOAD_EVERY: Duration = Duration::from_millis(100);

/// Time between two looks at leases and shards.
const CLAIMS_EVERY: Duration = Duration::from_millis(500);

/// How long shards are offered to others before the agent stops anyway.
const RELEASE_BOUND: Duration = Duration::from_secs(5);

/// What traffic asks of the control thread.
pub(crate) enum ControlRequest {
    /// Claim a shard if nobody holds it; `done` is told either way.
    Claim {
        shard: u32,
        done: oneshot::Sender<()>,
    },
}

/// Runs until the agent has been told to stop and has drained.
pub(crate) fn run(
    agent: &Arc<Agent>,
    key_value: Arc<dyn KeyValue>,
    requests: mpsc::UnboundedReceiver<ControlRequest>,
) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the control runtime starts");
    let tasks = tokio::task::LocalSet::new();
    tasks.block_on(&runtime, async {
        let claims = Rc::new(Claims::new(Arc::clone(agent), key_value));
        tokio::task::spawn_local(poll_load(Arc::clone(agent)));
        tokio::task::spawn_local(serve_requests(Rc::clone(&claims), requests));
        let upkeep = tokio::task::spawn_local(keep_claims(Arc::clone(agent), Rc::clone(&claims)));
        until_told_to_stop().await;
        upkeep.abort();
        stop(agent, &claims).await;
    });
}

async fn until_told_to_stop() {
    let mut terminate = signal(SignalKind::terminate()).expect("SIGTERM can be watched");
    let mut interrupt = signal(SignalKind::interrupt()).expect("SIGINT can be watched");
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}

/// Graceful shutdown: no new orders, shards to others, then the rest drains.
async fn stop(agent: &Arc<Agent>, claims: &Claims) {
    log::info!("told to stop; {} requests in flight", agent.in_flight());
    lock(&agent.gate).drain();
    let _ = tokio::time::timeout(RELEASE_BOUND, claims.release_all()).await;
    agent.drained().await;
    claims.end_lease().await;
    agent.stopping.send_replace(true);
}

async fn poll_load(agent: Arc<Agent>) {
    loop {
        let life = agent.lives.of_a_call();
        match agent.target.load().await {
            Ok(report) => {
                agent.lives.on_answer(life);
                let taken_ms = agent.now_ms();
                agent.load.store(Arc::new(LoadSample { report, taken_ms }));
            }
            Err(error) => {
                log::debug!("no load report: {error}");
                look_for_target(&agent, &error).await;
            }
        }
        tokio::time::sleep(LOAD_EVERY).await;
    }
}

/// Targets also end under runs whose callers have left, and nobody would lose an answer
/// that tells of it. One that answers anything lives, also if it has no load to report.
async fn look_for_target(agent: &Agent, error: &TargetError) {
    match error {
        TargetError::Unreachable(_) => {}
        TargetError::Interrupted(_) | TargetError::InvalidRequest(_) => return,
    }
    if probe::probe(agent.settings.target).await == ProbeOutcome::Refused {
        agent.lives.on_nobody();
    }
}

async fn serve_requests(claims: Rc<Claims>, mut requests: mpsc::UnboundedReceiver<ControlRequest>) {
    while let Some(ControlRequest::Claim { shard, done }) = requests.recv().await {
        let claims = Rc::clone(&claims);
        tokio::task::spawn_local(async move {
            claims.claim(shard).await;
            let _ = done.send(());
        });
    }
}

async fn keep_claims(agent: Arc<Agent>, claims: Rc<Claims>) {
    loop {
        if runs_at_most_once(&agent) {
            claims.upkeep().await;
        }
        tokio::time::sleep(CLAIMS_EVERY).await;
    }
}

/// Whether the catalogue says that this agent's entry may not be repeated.
fn runs_at_most_once(agent: &Agent) -> bool {
    let id = ItemId {
        kind: ItemKind::Entry,
        name: Arc::clone(&agent.settings.service),
    };
    let documents = lock(&agent.documents);
    let Some(stored) = documents.get(&id) else {
        return false;
    };
    match serde_json::from_str::<Document>(&stored.value) {
        Ok(document) => document
            .settings
            .and_then(|settings| settings.get("repeat").cloned())
            .is_some_and(|repeat| &*repeat == "never"),
        Err(_) => false,
    }
}
