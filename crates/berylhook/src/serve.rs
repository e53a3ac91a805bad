//! `berylhook serve`: the entry daemon that sends requests to targets through agents.
//!
//! One thread, the control thread, owns the control state: the catalogue, the list of VMs and the
//! gossip with other entries. The other threads carry traffic. The control thread publishes
//! immutable snapshots, so traffic never waits for a lock that the control thread holds.

mod attempt;
mod burn;
mod catalogue;
mod collect;
mod control;
mod dispatch;
mod fleet;
mod job;
mod keyed;
mod limits;
mod link;
mod metrics;
mod node;
pub(crate) mod peers;
mod quarantine;
mod reader;
mod refusals;
mod shares;
mod status;
mod streaming;

use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use berylhook_ingress::{Bounds, ConnectionTable};
use berylhook_operator::settings::EntrySettings;
use berylhook_platform::key_value::PlatformKeyValue;

use dispatch::Dispatcher;
use fleet::Fleet;
use node::Node;

/// Runs the entry until it is told to stop and all requests in flight have finished or the drain
/// bound is reached.
pub(crate) fn run(settings: EntrySettings) -> anyhow::Result<()> {
    let node = Arc::new(Node::new(settings)?);
    log::info!(
        "entry {} incarnation {} listens on {}",
        node.settings.node.name,
        node.incarnation,
        node.settings.listen
    );
    let control_node = Arc::clone(&node);
    let fleet = Arc::new(Fleet::default());
    let control_fleet = Arc::clone(&fleet);
    let store = &node.settings.platform.key_value;
    let key_value = Arc::new(PlatformKeyValue::new(store)?);
    let store = berylhook_keyvalue::parse_base_url(store)?;
    let control = std::thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || control::run(control_node, control_fleet, key_value, store))?;
    let traffic = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(node.settings.traffic_threads)
        .thread_name("traffic")
        .enable_all()
        .build()?;
    let result = traffic.block_on(serve(Arc::clone(&node), fleet));
    node.stopped.send_replace(true);
    if control.join().is_err() {
        anyhow::bail!("the control thread panicked; see the log above");
    }
    log::info!("entry {} has stopped", node.settings.node.name);
    result
}

async fn serve(node: Arc<Node>, fleet: Arc<Fleet>) -> anyhow::Result<()> {
    let address = node.settings.listen;
    let listener = berylhook_caller::listen(address).with_context(|| {
        format!(
            "cannot listen on {address}; check `listen` under [entry], and that nothing else \
             uses it"
        )
    })?;
    let dispatcher = Arc::new(Dispatcher::new(Arc::clone(&node), Arc::clone(&fleet)));
    tokio::spawn(fleet::reconcile_loop(Arc::clone(&node), fleet));
    let bounds = Bounds::of(&node.settings.limits);
    let app = berylhook_caller::app(dispatcher, Arc::clone(&node.memory));
    let table = ConnectionTable::new(bounds.caller_connections);
    let drain_bound = match node.settings.drain_bound_ms {
        0 => None,
        bound_ms => Some(Duration::from_millis(bound_ms)),
    };
    let remaining =
        berylhook_caller::serve(listener, table, app, wait_to_close(&node), drain_bound).await;
    if remaining > 0 {
        log::warn!("drain bound reached; closed {remaining} connections that were still open");
    }
    Ok(())
}

/// Waits until the listener may be closed: the process was told to stop, and the drain delay has
/// passed, in which the platform's balancer notices that the process is no longer ready.
async fn wait_to_close(node: &Node) {
    let mut stopping = node.stopping.subscribe();
    let _ = stopping.wait_for(|stopping| *stopping).await;
    let delay = Duration::from_millis(node.settings.drain_delay_ms);
    log::info!("told to stop; accepting for {delay:?} more");
    tokio::time::sleep(delay).await;
}
