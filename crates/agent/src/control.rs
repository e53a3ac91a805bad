//! The control thread: renews the lease, claims key shards, polls the target's load and handles
//! signals.

mod claims;
mod handovers;
mod published;

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
use tokio::time::timeout;

use crate::agent::{Agent, LoadSample, lock};
use claims::ShardClaims;

/// Interval at which the target's load is polled.
const LOAD_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Interval between two maintenance passes over the key shards.
const CLAIM_MAINTENANCE_INTERVAL: Duration = Duration::from_millis(500);

/// Interval at which the lease is checked and renewed if that is due. It is shorter than that of
/// maintenance, which also waits for handovers.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// How long a stopping agent tries to hand its key shards over before it drains without that.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(5);

/// Requests of the traffic thread to the control thread. `done` is notified whether or not they
/// succeed.
pub(crate) enum ControlRequest {
    /// Claim a key shard that has no home. The home of a shard is the only agent that may run the
    /// shard's keyed requests.
    Claim {
        shard: u32,
        done: oneshot::Sender<()>,
    },
    /// Renew the lease. If it has expired, records are published and all shards dropped.
    CheckLease { done: oneshot::Sender<()> },
    /// Publish the records of lost shards that the next homes cannot read yet.
    Publish { done: oneshot::Sender<()> },
    /// Take the records that previous homes of the shard have published.
    ReadPublished {
        shard: u32,
        done: oneshot::Sender<()>,
    },
}

/// Runs the control thread until the agent has received a signal to stop and has drained.
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
        let claims = Rc::new(ShardClaims::new(Arc::clone(agent), key_value));
        tokio::task::spawn_local(poll_load(Arc::clone(agent)));
        tokio::task::spawn_local(serve_requests(Rc::clone(&claims), requests));
        tokio::task::spawn_local(maintain_claims(Arc::clone(agent), Rc::clone(&claims)));
        // The lease is renewed until the shards have been handed over and all requests have ended.
        let renewals = tokio::task::spawn_local(renew_lease(Rc::clone(&claims)));
        wait_for_stop_signal().await;
        stop(agent, &claims).await;
        renewals.abort();
    });
}

/// Waits for SIGTERM or SIGINT. SIGHUP would end the process if it were not handled.
async fn wait_for_stop_signal() {
    let mut terminate = signal(SignalKind::terminate()).expect("SIGTERM can be watched");
    let mut interrupt = signal(SignalKind::interrupt()).expect("SIGINT can be watched");
    let mut hangup = signal(SignalKind::hangup()).expect("SIGHUP can be watched");
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => log::info!("SIGHUP ignored: restart the agent to change its settings"),
        }
    }
}

/// Shuts down gracefully: hands key shards over to other agents, and waits for the requests in
/// flight. New requests are refused, except those with a key of a shard that has not been handed
/// over yet, since no other agent may run them.
async fn stop(agent: &Arc<Agent>, claims: &ShardClaims) {
    log::info!("told to stop; {} requests in flight", agent.in_flight());
    agent.start_draining();
    claims.stop_claiming();
    let moves = async { tokio::join!(claims.unregister(), claims.hand_over_all()) };
    if timeout(HANDOVER_TIMEOUT, moves).await.is_err() {
        let lost = lock(&agent.home_shards).retire_all();
        log::warn!(
            "shards {lost:?} could not be handed over in {} s; their keys are refused until the \
             lease has expired, and those known here are unknown then unless they can be published",
            HANDOVER_TIMEOUT.as_secs()
        );
    }
    agent.wait_until_drained().await;
    lock(&agent.start_gate).drain();
    claims.publish_retired().await;
    claims.end_lease().await;
    agent.stopping.send_replace(true);
}

async fn poll_load(agent: Arc<Agent>) {
    loop {
        let target_incarnation = agent.target_incarnations.current();
        match agent.target.load().await {
            Ok(report) => {
                agent.target_incarnations.on_response(target_incarnation);
                let received_ms = agent.now_ms();
                agent.load.store(Arc::new(LoadSample {
                    report,
                    received_ms,
                }));
            }
            Err(error) => {
                log::debug!("load poll of the target failed: {error}");
                probe_target(&agent, &error).await;
            }
        }
        tokio::time::sleep(LOAD_POLL_INTERVAL).await;
    }
}

/// Probes the target after a failed load poll.
///
/// A target can also exit during abandoned runs, where no lost response shows the exit. A target
/// that responds at all is running, even if it reports no load.
async fn probe_target(agent: &Agent, error: &TargetError) {
    match error {
        TargetError::Unreachable(_) => {}
        TargetError::Interrupted(_)
        | TargetError::InvalidHead(_)
        | TargetError::InvalidRequest(_) => return,
    }
    if probe::probe(agent.settings.target).await == ProbeOutcome::Refused {
        agent.target_incarnations.on_connection_refused();
    }
}

async fn serve_requests(
    claims: Rc<ShardClaims>,
    mut requests: mpsc::UnboundedReceiver<ControlRequest>,
) {
    while let Some(request) = requests.recv().await {
        let claims = Rc::clone(&claims);
        tokio::task::spawn_local(async move {
            let done = match request {
                ControlRequest::Claim { shard, done } => {
                    claims.claim(shard).await;
                    done
                }
                ControlRequest::CheckLease { done } => {
                    claims.renew_lease().await;
                    done
                }
                ControlRequest::Publish { done } => {
                    claims.publish_retired().await;
                    done
                }
                ControlRequest::ReadPublished { shard, done } => {
                    return claims.request_read(shard, done);
                }
            };
            // The request may have stopped waiting.
            let _ = done.send(());
        });
    }
}

async fn renew_lease(claims: Rc<ShardClaims>) {
    loop {
        claims.renew_lease().await;
        tokio::time::sleep(LEASE_CHECK_INTERVAL).await;
    }
}

async fn maintain_claims(agent: Arc<Agent>, claims: Rc<ShardClaims>) {
    while !claims.is_stopping() {
        claims.publish_retired().await;
        if runs_at_most_once(&agent) {
            claims.maintain().await;
        }
        tokio::time::sleep(CLAIM_MAINTENANCE_INTERVAL).await;
    }
}

/// Whether the catalogue forbids retries of requests to this agent's service.
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
