//! The control thread: follows the catalogue and the list of VMs, and publishes both to the traffic
//! threads.

use std::cell::RefCell;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use berylhook_keyvalue::{HttpVmList, KeyValue, VmList, VmState};
use berylhook_quarantine::{ClusterAccess, Replicator, follow_store};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;

use super::catalogue::{CatalogueStore, OfferedDocument};
use super::fleet::Fleet;
use super::node::Node;
use super::quarantine::ServeClusterAccess;
use super::shares::Shares;
use super::{metrics, peers, reader, shares};

/// Poll interval of the platform's list of VMs.
const VM_LIST_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Number of entries per data centre that read the catalogue from the key-value service. Fixed, so
/// that the load on the service does not grow with the number of entries.
const READERS_PER_DATA_CENTRE: usize = 2;

/// Number of other processes whose catalogue a process must receive before it serves while the
/// key-value service cannot be reached. The catalogue of a single process might be out of date.
const MIN_CATALOGUE_SOURCES: usize = 3;

/// The control thread's state, shared by its tasks.
pub(crate) struct Control {
    pub(crate) node: Arc<Node>,
    pub(crate) key_value: Arc<dyn KeyValue>,
    pub(crate) store: RefCell<CatalogueStore>,
    pub(crate) shares: Shares,
    /// Used only to answer operators' status requests.
    pub(crate) fleet: Arc<Fleet>,
    /// Exchanges quarantine updates with the other entries and the store.
    pub(crate) replicator: Arc<Replicator>,
    vm_list: Arc<dyn VmList>,
    /// Processes whose complete catalogue was received.
    sources: RefCell<HashSet<Arc<str>>>,
}

/// Runs the control thread until the entry has stopped.
pub(crate) fn run(
    node: Arc<Node>,
    fleet: Arc<Fleet>,
    key_value: Arc<dyn KeyValue>,
    store: SocketAddr,
) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the control runtime starts");
    let platform = &node.settings.platform;
    let cluster_access: Arc<dyn ClusterAccess> = Arc::new(ServeClusterAccess {
        node: Arc::clone(&node),
        store,
    });
    let suspects = &node.suspects;
    let store_follower = follow_store(Arc::clone(suspects), Arc::clone(&cluster_access));
    let replicator = Arc::new(Replicator::new(Arc::clone(suspects), cluster_access));
    let control = Rc::new(Control {
        key_value,
        replicator,
        vm_list: Arc::new(HttpVmList::new(&platform.vm_list)),
        store: RefCell::new(CatalogueStore::default()),
        shares: Shares::default(),
        sources: RefCell::new(HashSet::new()),
        fleet,
        node,
    });
    let tasks = tokio::task::LocalSet::new();
    runtime.spawn(store_follower);
    runtime.spawn(Arc::clone(&control.replicator).run());
    tasks.block_on(&runtime, control.run());
}

impl Control {
    async fn run(self: Rc<Self>) {
        let (update_sender, updates) = mpsc::unbounded_channel();
        self.node.set_update_sender(update_sender);
        self.read_vm_list().await;
        tokio::task::spawn_local(Rc::clone(&self).poll_vm_list());
        tokio::task::spawn_local(Rc::clone(&self).apply_agent_updates(updates));
        tokio::task::spawn_local(reader::follow(Rc::clone(&self)));
        tokio::task::spawn_local(peers::serve(Rc::clone(&self)));
        tokio::task::spawn_local(peers::gossip(Rc::clone(&self)));
        tokio::task::spawn_local(shares::request_loop(Rc::clone(&self)));
        let metrics_task = metrics::send(Arc::clone(&self.node), Arc::clone(&self.fleet));
        tokio::task::spawn_local(metrics_task);
        tokio::task::spawn_local(stop_on_signal(Arc::clone(&self.node)));
        let mut stopped = self.node.stopped.subscribe();
        let _ = stopped.wait_for(|stopped| *stopped).await;
    }

    /// Applies documents that agents sent over their connections.
    async fn apply_agent_updates(
        self: Rc<Self>,
        mut updates: mpsc::UnboundedReceiver<CatalogueUpdate>,
    ) {
        while let Some(update) = updates.recv().await {
            self.apply_documents(&update.documents);
            self.on_complete_catalogue(&update.source);
        }
    }

    /// Applies documents. If any of them are newer, they are published and pushed to other entries.
    pub(crate) fn apply_documents(&self, documents: &[OfferedDocument]) {
        let mut store = self.store.borrow_mut();
        let mut newer = Vec::new();
        for document in documents {
            if store.offer(&document.id, document.version, &document.body) {
                newer.push(document.clone());
            }
        }
        if newer.is_empty() {
            return;
        }
        let catalogue = Arc::new(store.catalogue.clone());
        let documents = Arc::new(store.documents.clone());
        drop(store);
        self.node.publish(|snapshot| {
            snapshot.catalogue = catalogue;
            snapshot.documents = documents;
        });
        peers::push(&self.node, &newer);
    }

    /// Records that this entry has received the complete catalogue of another process.
    pub(crate) fn on_complete_catalogue(&self, source: &Arc<str>) {
        let mut sources = self.sources.borrow_mut();
        sources.insert(Arc::clone(source));
        let others = self.node.snapshot.load().vms.len().saturating_sub(1);
        let needed = MIN_CATALOGUE_SOURCES.min(others).max(1);
        let has_documents = !self.store.borrow().documents.is_empty();
        if sources.len() >= needed && has_documents {
            self.mark_catalogue_known("other processes");
        }
    }

    pub(crate) fn mark_catalogue_known(&self, from: &str) {
        if !self.node.has_catalogue.swap(true, Ordering::SeqCst) {
            log::info!("catalogue received from {from}");
        }
    }

    async fn poll_vm_list(self: Rc<Self>) {
        loop {
            tokio::time::sleep(VM_LIST_POLL_INTERVAL).await;
            self.read_vm_list().await;
        }
    }

    async fn read_vm_list(&self) {
        match self.vm_list.read().await {
            Ok(vms) => {
                if *self.node.snapshot.load().vms != vms {
                    let vms = Arc::new(vms);
                    self.node.publish(|snapshot| snapshot.vms = vms);
                }
            }
            // The previous list stays in use: targets that have gone since are detected by their
            // lost connections.
            Err(error) => log::warn!("{error}"),
        }
    }

    /// Whether this entry is one of its data centre's catalogue readers.
    ///
    /// Entries with different lists may disagree for a while; one reader more or fewer does no
    /// harm.
    pub(crate) fn is_reader(&self) -> bool {
        let own_node = &self.node.settings.node;
        let snapshot = self.node.snapshot.load();
        let entries_before = snapshot
            .vms
            .iter()
            .filter(|vm| vm.service.is_empty() && vm.state == VmState::Live)
            .filter(|vm| vm.data_centre == own_node.data_centre && vm.name < own_node.name)
            .count();
        entries_before < READERS_PER_DATA_CENTRE
    }
}

/// Catalogue documents received from another process.
pub(crate) struct CatalogueUpdate {
    pub(crate) source: Arc<str>,
    pub(crate) documents: Vec<OfferedDocument>,
}

/// Waits for SIGTERM or SIGINT. SIGHUP would end the process if it were not handled.
async fn stop_on_signal(node: Arc<Node>) {
    let mut terminate = signal(SignalKind::terminate()).expect("SIGTERM can be watched");
    let mut interrupt = signal(SignalKind::interrupt()).expect("SIGINT can be watched");
    let mut hangup = signal(SignalKind::hangup()).expect("SIGHUP can be watched");
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => log::info!("SIGHUP ignored: restart the entry to change its settings"),
        }
    }
    node.stopping.send_replace(true);
}
