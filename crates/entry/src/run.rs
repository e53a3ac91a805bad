//! The process: its threads, its sockets, its start and its shutdown.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use anyhow::Context;
use berylhook_calls::serve;
use berylhook_groups::Candidate;
use berylhook_ingress::{Bounds, bound_kernel_buffers};
use berylhook_quarantine::Replicator;
use berylhook_traffic::shutdown::{ShutdownSchedule, ShutdownStage};
use hyper::StatusCode;
use tokio::net::{TcpListener, TcpSocket};
use tokio::runtime::{Builder, Runtime};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{oneshot, watch};
use tokio::time::{Instant, sleep, sleep_until};

use crate::control::{self, Control, WatchedTopic};
use crate::limits::{LIMITS_PATH, LimitExchange};
use crate::peers::Peers;
use crate::quarantine::{EntryClusterAccess, QUARANTINE_PATH, handle_update};
use crate::server::serve_callers;
use crate::settings::EntrySettings;
use crate::shared::Shared;
use crate::slot_exchange::{SLOTS_PATH, SlotExchange};
use crate::store_progress::detect_overdue_changes;
use crate::store_watch::watch_store;

/// Time between two checks for changed settings.
const RELOAD_INTERVAL: Duration = Duration::from_secs(5);

/// Stack size of the traffic thread; futures live on the heap.
const STACK_BYTES: usize = 512 << 10;

/// Runs an entry with the settings at `path` until it receives the signal to stop.
///
/// # Errors
///
/// If the settings are not valid, a socket cannot be opened or a thread cannot be started.
pub fn run(path: &Path) -> anyhow::Result<()> {
    let control = runtime()?;
    // First of all, as a signal without a handler ends the process.
    let signals = control.block_on(async { Signals::install() })?;
    let settings = EntrySettings::load(path)?;
    berylhook_logs::start(&settings.log_level)?;
    let name = Arc::clone(&settings.name);
    log::info!(name = &*name, callers:% = settings.caller_address, store:% = settings.store_address; "starting");
    let shared = Arc::new(Shared::new(settings));
    warn_of_short_grace_period(&shared);
    let (started_sender, traffic_started) = oneshot::channel();
    let (ended_sender, traffic_ended) = oneshot::channel();
    let traffic_shared = Arc::clone(&shared);
    let traffic = thread::Builder::new()
        .name("traffic".to_owned())
        .stack_size(STACK_BYTES)
        .spawn(move || {
            let result = run_traffic(&traffic_shared, started_sender);
            // The control thread may have ended first, with an error of its own.
            let _ = ended_sender.send(());
            result
        })
        .context("the traffic thread cannot be started; check the VM's memory")?;
    control.block_on(run_control(
        shared,
        path.to_owned(),
        signals,
        traffic_started,
        traffic_ended,
    ))?;
    traffic
        .join()
        .map_err(|_| anyhow::anyhow!("the traffic thread panicked; see the previous log line"))??;
    log::info!(name = &*name; "stopped");
    Ok(())
}

fn warn_of_short_grace_period(shared: &Shared) {
    let grace_ms = shared.settings().grace_ms;
    let schedule = ShutdownSchedule::new(Duration::from_millis(grace_ms));
    if schedule.is_drain_cut_short() {
        log::warn!(grace_ms; "the grace period is too short for callers to notice a stop; set grace_s in [stop] to 6 or more");
    }
}

fn runtime() -> anyhow::Result<Runtime> {
    Builder::new_current_thread()
        .enable_all()
        .build()
        .context("the event loop cannot be started; check the limit on open files")
}

/// Serves callers until the process closes and all of them have disconnected.
fn run_traffic(shared: &Arc<Shared>, started_sender: oneshot::Sender<()>) -> anyhow::Result<()> {
    runtime()?.block_on(async {
        let listener = listen_for_callers(shared.settings().caller_address)?;
        shared.set_listening();
        log::info!(callers:% = shared.settings().caller_address; "listening for callers");
        // The receiver is gone if the control thread has failed to start.
        let _ = started_sender.send(());
        serve_callers(listener, Arc::clone(shared)).await;
        let mut stage = shared.stage.subscribe();
        tokio::select! {
            () = shared.connections.wait_until_drained() => {}
            _ = stage.wait_for(|stage| *stage == ShutdownStage::Exiting) => {
                let connections = shared.connections.count();
                log::warn!(connections; "callers are still connected at the end of the grace period");
            }
        }
        Ok(())
    })
}

async fn run_control(
    shared: Arc<Shared>,
    path: PathBuf,
    signals: Signals,
    traffic_started: oneshot::Receiver<()>,
    mut traffic_ended: oneshot::Receiver<()>,
) -> anyhow::Result<()> {
    let control = Arc::new(Control::new(Arc::clone(&shared)));
    let peers = Arc::new(Peers::new(Arc::clone(&shared), Arc::clone(&control)));
    let stop = signals.wait_for_stop(Arc::clone(&shared), path);
    let cluster_access = Arc::new(EntryClusterAccess {
        shared: Arc::clone(&shared),
        peers: Arc::clone(&peers),
    });
    let replicator = Arc::new(Replicator::new(
        Arc::clone(&shared.suspect_tracker),
        cluster_access,
    ));
    let limit_exchange = Arc::new(LimitExchange::new(Arc::clone(&shared), Arc::clone(&peers)));
    let slot_exchange = Arc::new(SlotExchange::new(Arc::clone(&shared), Arc::clone(&peers)));
    spawn_servers(
        &shared,
        &peers,
        &replicator,
        &limit_exchange,
        &slot_exchange,
    )?;
    tokio::spawn(replicator.run());
    for topic in WatchedTopic::ALL {
        tokio::spawn(watch_store(Arc::clone(&control), topic));
    }
    tokio::spawn(control::expire_missing(Arc::clone(&control)));
    tokio::spawn(detect_overdue_changes(Arc::clone(&control.store_progress)));
    tokio::spawn(Arc::clone(&peers).report_store_position());
    let engine_updates = watch::Sender::new(None);
    tokio::spawn(Arc::clone(&peers).publish_engine_updates(engine_updates.subscribe()));
    tokio::spawn(berylhook_groups::run(Candidate {
        engine_updates,
        name: Arc::clone(&shared.settings().name),
        store: shared.settings().store_address,
        era_observer: Arc::clone(&shared.eras) as _,
        agent_port: shared.settings().agent_port,
        services: control.expert_services.subscribe(),
        is_stopping: shared.is_stopping.subscribe(),
        own_key_changes: control.leadership_changes.subscribe(),
        has_peer_with_more_cpu: shared.has_peer_with_more_cpu.subscribe(),
        incoming_transfer: peers.subscribe_transfers(),
        successors: Arc::clone(&peers) as _,
        pause_notices: Arc::clone(&peers) as _,
    }));
    tokio::spawn(limit_exchange.run());
    tokio::spawn(slot_exchange.run());
    tokio::spawn(Arc::clone(&peers).run_discovery());
    tokio::spawn(Arc::clone(&peers).maintain_membership());
    tokio::spawn(peers.poll_during_outages());
    traffic_started
        .await
        .context("the traffic thread did not start; check the address for callers")?;
    stop.await;
    tokio::select! {
        () = run_shutdown(&shared) => {}
        // The sender is dropped without a message if the traffic thread panics; the join reports it.
        _ = &mut traffic_ended => return Ok(()),
    }
    let _ = traffic_ended.await;
    Ok(())
}

/// Goes through the stages of the stop, up to the last one.
async fn run_shutdown(shared: &Shared) {
    let started = Instant::now();
    let schedule = ShutdownSchedule::new(Duration::from_millis(shared.settings().grace_ms));
    log::info!(
        closing_ms:? = schedule.closing.as_millis(),
        exiting_ms:? = schedule.exiting.as_millis();
        "stopping: not ready for new connections"
    );
    shared.stage.send_replace(ShutdownStage::Draining);
    shared.is_stopping.send_replace(true);
    sleep_until(started + schedule.closing).await;
    shared.stage.send_replace(ShutdownStage::Closing);
    log::info!(connections = shared.connections.count(); "stopping: closing idle connections");
    sleep_until(started + schedule.ending).await;
    shared.stage.send_replace(ShutdownStage::Ending);
    log::info!(connections = shared.connections.count(); "stopping: ending requests without a response");
    sleep_until(started + schedule.exiting).await;
    shared.stage.send_replace(ShutdownStage::Exiting);
}

/// The signals that the process handles. One that arrives before it is waited for is not lost.
struct Signals {
    terminate: Signal,
    hangup: Signal,
}

impl Signals {
    fn install() -> anyhow::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate()).context("signals cannot be handled")?,
            hangup: signal(SignalKind::hangup()).context("signals cannot be handled")?,
        })
    }

    /// Waits for SIGTERM, and reloads the settings at SIGHUP and regularly.
    async fn wait_for_stop(mut self, shared: Arc<Shared>, path: PathBuf) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.hangup.recv() => reload(&shared, &path),
                // The platform may change the file without a signal.
                () = sleep(RELOAD_INTERVAL) => reload(&shared, &path),
            }
        }
    }
}

fn reload(shared: &Shared, path: &Path) {
    match EntrySettings::load(path) {
        Ok(settings) if settings == *shared.settings() => {}
        Ok(settings) => {
            log::info!(seeds:? = settings.seeds, store:% = settings.store_address; "settings reloaded");
            shared.set_settings(settings);
        }
        Err(error) => log::error!(reason:% = error; "settings not reloaded"),
    }
}

fn listen(address: SocketAddr) -> anyhow::Result<TcpListener> {
    serve::listen(address).with_context(|| cannot_listen(address))
}

fn listen_for_callers(address: SocketAddr) -> anyhow::Result<TcpListener> {
    let configure = |socket: &TcpSocket| {
        if let Err(error) = bound_kernel_buffers(socket) {
            log::warn!(reason:% = error; "the buffers of callers' connections are not bounded");
        }
        Ok(())
    };
    serve::listen_with(address, configure).with_context(|| cannot_listen(address))
}

fn cannot_listen(address: SocketAddr) -> String {
    format!("cannot listen on {address}; check [listen] in the settings")
}

fn spawn_servers(
    shared: &Arc<Shared>,
    peers: &Arc<Peers>,
    replicator: &Arc<Replicator>,
    limit_exchange: &Arc<LimitExchange>,
    slot_exchange: &Arc<SlotExchange>,
) -> anyhow::Result<()> {
    let readiness_listener = listen(shared.settings().readiness_address)?;
    let readiness_shared = Arc::clone(shared);
    let bounds = Bounds::of(&shared.settings().limits);
    let probe_connections = bounds.probe_connections;
    tokio::spawn(serve::serve(
        readiness_listener,
        probe_connections,
        move |_request| {
            let status = if readiness_shared.is_ready() {
                StatusCode::OK
            } else {
                StatusCode::SERVICE_UNAVAILABLE
            };
            async move { serve::response(status, "") }
        },
    ));
    let peer_listener = listen(shared.settings().peer_address)?;
    let (peers, replicator, limit_exchange, slot_exchange) = (
        Arc::clone(peers),
        Arc::clone(replicator),
        Arc::clone(limit_exchange),
        Arc::clone(slot_exchange),
    );
    tokio::spawn(serve::serve(
        peer_listener,
        bounds.peer_connections,
        move |request| {
            let (peers, replicator, limit_exchange, slot_exchange) = (
                Arc::clone(&peers),
                Arc::clone(&replicator),
                Arc::clone(&limit_exchange),
                Arc::clone(&slot_exchange),
            );
            async move {
                match request.uri().path() {
                    QUARANTINE_PATH => handle_update(&replicator, request).await,
                    LIMITS_PATH => limit_exchange.handle_request(request).await,
                    SLOTS_PATH => slot_exchange.handle_request(request).await,
                    _ => peers.handle_request(request).await,
                }
            }
        },
    ));
    if let Some(address) = shared.settings().metrics_address {
        let metrics_listener = listen(address)?;
        let metrics_shared = Arc::clone(shared);
        tokio::spawn(serve::serve(
            metrics_listener,
            probe_connections,
            move |_request| {
                let counts = metrics_shared.connection_table.counts();
                let metrics = &metrics_shared.metrics;
                metrics.set_holdings(counts, &metrics_shared.memory);
                let text = metrics.encode_text();
                async move { serve::response(StatusCode::OK, text) }
            },
        ));
    }
    Ok(())
}
