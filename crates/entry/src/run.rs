//! The process: its threads, its sockets, its start and its end.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use anyhow::Context;
use berylhook_calls::serve;
use berylhook_groups::Candidate;
use berylhook_quarantine::Replicator;
use hyper::StatusCode;
use tokio::net::TcpListener;
use tokio::runtime::{Builder, Runtime};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{oneshot, watch};
use tokio::time::{sleep, timeout};

use crate::control::{self, Control, Followed};
use crate::limits::{LIMITS_PATH, Limits};
use crate::peers::Peers;
use crate::quarantine::{EntrySurroundings, NEWS_PATH, take_news};
use crate::server::serve_callers;
use crate::settings::EntrySettings;
use crate::shared::{Shared, Stage};
use crate::store_watch::follow_store;

/// How long new connections are still taken after the platform was told to
/// send them elsewhere. It asks once a second and acts on the second answer.
const LEAVE_DELAY: Duration = Duration::from_secs(3);

/// Kept from the time until the process is killed, for its own end.
const END_MARGIN: Duration = Duration::from_millis(500);

/// Time between two looks at whether the settings have changed.
const RELOAD_EVERY: Duration = Duration::from_secs(5);

/// Stack of the traffic thread; futures live on the heap.
const STACK_BYTES: usize = 512 << 10;

/// Serves with the settings at `path` until told to stop.
///
/// # Errors
///
/// If the settings are not valid, a socket cannot be opened or a thread cannot be started.
pub fn run(path: &Path) -> anyhow::Result<()> {
    let settings = EntrySettings::load(path)?;
    berylhook_logs::start(&settings.log_level)?;
    let name = Arc::clone(&settings.name);
    log::info!(name = &*name, callers:% = settings.caller_address, store:% = settings.store_address; "starting");
    let shared = Arc::new(Shared::new(settings));
    let (started, has_started) = oneshot::channel();
    let (ended, has_ended) = oneshot::channel();
    let traffic_shared = Arc::clone(&shared);
    let traffic = thread::Builder::new()
        .name("traffic".to_owned())
        .stack_size(STACK_BYTES)
        .spawn(move || {
            let result = traffic(&traffic_shared, started);
            // Control may have ended first, with an error of its own.
            let _ = ended.send(());
            result
        })
        .context("the traffic thread cannot be started; check the VM's memory")?;
    let control = runtime()?;
    control.block_on(run_control(shared, path.to_owned(), has_started, has_ended))?;
    traffic
        .join()
        .map_err(|_| anyhow::anyhow!("the traffic thread panicked; see the line before"))??;
    log::info!(name = &*name; "stopped");
    Ok(())
}

fn runtime() -> anyhow::Result<Runtime> {
    Builder::new_current_thread()
        .enable_all()
        .build()
        .context("the event loop cannot be started; check the limit on open files")
}

/// Carries traffic until the process closes and its callers are gone.
fn traffic(shared: &Arc<Shared>, started: oneshot::Sender<()>) -> anyhow::Result<()> {
    runtime()?.block_on(async {
        let listener = listen(shared.settings().caller_address)?;
        shared.set_listening();
        log::info!(callers:% = shared.settings().caller_address; "listening for callers");
        // Nobody waits any more if control has failed to start.
        let _ = started.send(());
        serve_callers(listener, Arc::clone(shared)).await;
        let bound = grace_left(shared);
        if timeout(bound, shared.connections.drained()).await.is_err() {
            log::warn!("callers are still connected at the end of the grace period");
        }
        Ok(())
    })
}

fn grace_left(shared: &Shared) -> Duration {
    Duration::from_millis(shared.settings().grace_ms).saturating_sub(LEAVE_DELAY + END_MARGIN)
}

async fn run_control(
    shared: Arc<Shared>,
    path: PathBuf,
    has_started: oneshot::Receiver<()>,
    has_ended: oneshot::Receiver<()>,
) -> anyhow::Result<()> {
    let control = Arc::new(Control::new(Arc::clone(&shared)));
    let peers = Arc::new(Peers::new(Arc::clone(&shared), Arc::clone(&control)));
    let stop = stop_signal(Arc::clone(&shared), path)?;
    let surroundings = Arc::new(EntrySurroundings {
        shared: Arc::clone(&shared),
        peers: Arc::clone(&peers),
    });
    let keeper = Arc::new(Replicator::new(Arc::clone(&shared.suspects), surroundings));
    let limits = Arc::new(Limits::new(Arc::clone(&shared), Arc::clone(&peers)));
    spawn_servers(&shared, &peers, &keeper, &limits)?;
    tokio::spawn(keeper.run());
    for followed in Followed::ALL {
        tokio::spawn(follow_store(Arc::clone(&control), followed));
    }
    tokio::spawn(control::expire_missing(Arc::clone(&control)));
    let engine_news = watch::Sender::new(None);
    tokio::spawn(Arc::clone(&peers).share_engine_news(engine_news.subscribe()));
    tokio::spawn(berylhook_groups::run(Candidate {
        engine_updates: engine_news,
        name: Arc::clone(&shared.settings().name),
        store: shared.settings().store_address,
        era_observer: Arc::clone(&shared.eras) as _,
        agent_port: shared.settings().agent_port,
        services: control.members.subscribe(),
        is_stopping: shared.is_stopping.subscribe(),
        own_key_changes: control.own_keys.subscribe(),
        has_peer_with_more_cpu: shared.has_larger_peer.subscribe(),
        incoming_transfer: peers.transfers(),
        successors: Arc::clone(&peers) as _,
    }));
    tokio::spawn(limits.run());
    tokio::spawn(Arc::clone(&peers).meet());
    tokio::spawn(Arc::clone(&peers).share_targets());
    tokio::spawn(peers.follow());
    has_started
        .await
        .context("the address for callers cannot be used; see the line before")?;
    stop.await;
    log::info!("stopping: new connections are sent elsewhere");
    shared.stage.send_replace(Stage::Leaving);
    shared.is_stopping.send_replace(true);
    sleep(LEAVE_DELAY).await;
    shared.stage.send_replace(Stage::Closing);
    log::info!("stopping: idle connections end");
    // An error here is the traffic thread's, which is joined next.
    let _ = has_ended.await;
    Ok(())
}

/// Waits for the signal to stop; the signal to reload has the settings read
/// anew.
fn stop_signal(shared: Arc<Shared>, path: PathBuf) -> anyhow::Result<impl Future<Output = ()>> {
    let mut term = signal(SignalKind::terminate()).context("signals cannot be handled")?;
    let mut hangup = signal(SignalKind::hangup()).context("signals cannot be handled")?;
    Ok(async move {
        loop {
            tokio::select! {
                _ = term.recv() => return,
                _ = hangup.recv() => reload(&shared, &path),
                // The platform may change the file without a signal.
                () = sleep(RELOAD_EVERY) => reload(&shared, &path),
            }
        }
    })
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
    serve::listen(address)
        .with_context(|| format!("cannot listen on {address}; check [listen] in the settings"))
}

fn spawn_servers(
    shared: &Arc<Shared>,
    peers: &Arc<Peers>,
    keeper: &Arc<Replicator>,
    limits: &Arc<Limits>,
) -> anyhow::Result<()> {
    let ready = listen(shared.settings().readiness_address)?;
    let ready_shared = Arc::clone(shared);
    tokio::spawn(serve::serve(ready, move |_request| {
        let status = if ready_shared.is_ready() {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        async move { serve::plain(status, "") }
    }));
    let listener = listen(shared.settings().peer_address)?;
    let (peers, keeper, limits) = (Arc::clone(peers), Arc::clone(keeper), Arc::clone(limits));
    tokio::spawn(serve::serve(listener, move |request| {
        let (peers, keeper, limits) =
            (Arc::clone(&peers), Arc::clone(&keeper), Arc::clone(&limits));
        async move {
            match request.uri().path() {
                NEWS_PATH => take_news(&keeper, request).await,
                LIMITS_PATH => limits.answer(request).await,
                _ => peers.answer(request).await,
            }
        }
    }));
    if let Some(address) = shared.settings().metrics_address {
        let listener = listen(address)?;
        let metrics_shared = Arc::clone(shared);
        tokio::spawn(serve::serve(listener, move |_request| {
            let text = metrics_shared.metrics.text();
            async move { serve::plain(StatusCode::OK, text) }
        }));
    }
    Ok(())
}
