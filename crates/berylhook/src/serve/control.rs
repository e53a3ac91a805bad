//! The control thread.

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

use super::catalogue::{OfferedDocument, Store};
use super::fleet::Fleet;
use super::node::Node;
use super::quarantine::ServeSurroundings;
use super::shares::Shares;
use super::{metrics, peers, reader, shares};

/// Time between two reads of the platform's list.
const VMS_EVERY: Duration = Duration::from_millis(500);

/// Entries in a data centre that read the key-value service. Fixed, so that
/// its load does not grow with the fleet.
const READERS_PER_DATA_CENTRE: usize = 2;

/// Other processes that must have told their catalogue before a process that
/// cannot reach the key-value service serves. One alone might be behind.
const SOURCES_TO_START: usize = 3;

/// The control thread's state, shared by its tasks.
pub(crate) struct Control {
    pub(crate) node: Arc<Node>,
    pub(crate) key_value: Arc<dyn KeyValue>,
    pub(crate) store: RefCell<Store>,
    pub(crate) shares: Shares,
    /// Only read, to answer operators.
    pub(crate) fleet: Arc<Fleet>,
    /// Takes and tells news of requests under which targets end.
    pub(crate) keeper: Arc<Replicator>,
    vm_list: Arc<dyn VmList>,
    sources: RefCell<HashSet<Arc<str>>>,
}

/// Runs until the entry has stopped.
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
    let surroundings: Arc<dyn ClusterAccess> = Arc::new(ServeSurroundings {
        node: Arc::clone(&node),
        store,
    });
    let suspects = &node.suspects;
    let following = follow_store(Arc::clone(suspects), Arc::clone(&surroundings));
    let keeper = Arc::new(Replicator::new(Arc::clone(suspects), surroundings));
    let control = Rc::new(Control {
        key_value,
        keeper,
        vm_list: Arc::new(HttpVmList::new(&platform.vm_list)),
        store: RefCell::new(Store::default()),
        shares: Shares::default(),
        sources: RefCell::new(HashSet::new()),
        fleet,
        node,
    });
    let tasks = tokio::task::LocalSet::new();
    runtime.spawn(following);
    runtime.spawn(Arc::clone(&control.keeper).run());
    tasks.block_on(&runtime, control.run());
}

impl Control {
    async fn run(self: Rc<Self>) {
        let (offers, offered) = mpsc::unbounded_channel();
        self.node.set_offers(offers);
        self.read_vms().await;
        tokio::task::spawn_local(Rc::clone(&self).follow_vms());
        tokio::task::spawn_local(Rc::clone(&self).take_offers(offered));
        tokio::task::spawn_local(reader::follow(Rc::clone(&self)));
        tokio::task::spawn_local(peers::serve(Rc::clone(&self)));
        tokio::task::spawn_local(peers::gossip(Rc::clone(&self)));
        tokio::task::spawn_local(shares::follow(Rc::clone(&self)));
        let sending = metrics::send(Arc::clone(&self.node), Arc::clone(&self.fleet));
        tokio::task::spawn_local(sending);
        tokio::task::spawn_local(stop_on_signal(Arc::clone(&self.node)));
        let mut stopped = self.node.stopped.subscribe();
        let _ = stopped.wait_for(|stopped| *stopped).await;
    }

    /// Documents that agents offered over their connections.
    async fn take_offers(self: Rc<Self>, mut offered: mpsc::UnboundedReceiver<Told>) {
        while let Some(told) = offered.recv().await {
            self.take_up(&told.documents);
            self.heard_from(&told.source);
        }
    }

    /// Takes documents up and, if any was newer, publishes and passes it on.
    pub(crate) fn take_up(&self, documents: &[OfferedDocument]) {
        let mut store = self.store.borrow_mut();
        let mut fresh = Vec::new();
        for document in documents {
            if store.offer(&document.id, document.version, &document.body) {
                fresh.push(document.clone());
            }
        }
        if fresh.is_empty() {
            return;
        }
        let catalogue = Arc::new(store.catalogue.clone());
        let documents = Arc::new(store.documents.clone());
        drop(store);
        self.node.publish(|snapshot| {
            snapshot.catalogue = catalogue;
            snapshot.documents = documents;
        });
        peers::push(&self.node, &fresh);
    }

    /// Another process has told all it knows.
    pub(crate) fn heard_from(&self, source: &Arc<str>) {
        let mut sources = self.sources.borrow_mut();
        sources.insert(Arc::clone(source));
        let others = self.node.snapshot.load().vms.len().saturating_sub(1);
        let needed = SOURCES_TO_START.min(others).max(1);
        let knows_something = !self.store.borrow().documents.is_empty();
        if sources.len() >= needed && knows_something {
            self.has_catalogue("other processes");
        }
    }

    pub(crate) fn has_catalogue(&self, from: &str) {
        if !self.node.has_catalogue.swap(true, Ordering::SeqCst) {
            log::info!("the catalogue is known from {from}; ready");
        }
    }

    async fn follow_vms(self: Rc<Self>) {
        loop {
            tokio::time::sleep(VMS_EVERY).await;
            self.read_vms().await;
        }
    }

    async fn read_vms(&self) {
        match self.vm_list.read().await {
            Ok(vms) => {
                if *self.node.snapshot.load().vms != vms {
                    let vms = Arc::new(vms);
                    self.node.publish(|snapshot| snapshot.vms = vms);
                }
            }
            // The last list stays in use: targets that have gone since show
            // by their connections.
            Err(error) => log::warn!("{error}"),
        }
    }

    /// Whether this entry is one of its data centre's readers.
    ///
    /// Two entries with different lists may disagree for a while; one reader
    /// more or less does no harm.
    pub(crate) fn is_reader(&self) -> bool {
        let own = &self.node.settings.node;
        let snapshot = self.node.snapshot.load();
        let before = snapshot
            .vms
            .iter()
            .filter(|vm| vm.service.is_empty() && vm.state == VmState::Live)
            .filter(|vm| vm.data_centre == own.data_centre && vm.name < own.name)
            .count();
        before < READERS_PER_DATA_CENTRE
    }
}

/// Documents told by another process.
pub(crate) struct Told {
    pub(crate) source: Arc<str>,
    pub(crate) documents: Vec<OfferedDocument>,
}

async fn stop_on_signal(node: Arc<Node>) {
    let mut terminate = signal(SignalKind::terminate()).expect("SIGTERM can be watched");
    let mut interrupt = signal(SignalKind::interrupt()).expect("SIGINT can be watched");
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    node.stopping.send_replace(true);
}
