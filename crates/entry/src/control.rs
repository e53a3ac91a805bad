//! Control state: what the store and the peers tell, published to traffic.
//!
//! An entry that the store shuts out takes over the whole view of a peer whose
//! view is newer. Versions of the configuration and positions of the list only
//! rise, so neither way can bring anything back that is over.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use berylhook_core::position::Position;
use berylhook_core::time::MonoMs;
use berylhook_groups::ExpertService;
use berylhook_platform::documents;
use berylhook_platform::store::{OwnItem, Store, StoreEvent, Watched};
use berylhook_quarantine::stored;
use berylhook_traffic::configuration::Service;
use berylhook_traffic::directory::{Directory, InvalidEntry, Listing, ListingChange};
use berylhook_traffic::invalid_entries::{InvalidEntryTracker, invalid_entries};
use indexmap::IndexSet;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio::time::sleep;

use crate::shared::Shared;

/// Lines about entries that name no target, for one change of the list. The
/// others are only counted: lines of requests must not be lost for them.
const MOST_UNUSABLE_LINES: usize = 20;

/// What entries tell each other.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct PeerView {
    /// The operator's configuration document of the highest version known.
    pub(crate) configuration: Option<String>,
    /// The list of targets.
    pub(crate) listing: Listing,
}

/// What one task follows in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Followed {
    /// The operator's configuration.
    Configuration,
    /// The list of targets.
    Targets,
    /// Who leads which service's groups.
    Leaders,
    /// Requests under which targets end.
    Quarantine,
}

impl Followed {
    /// All topics.
    pub(crate) const ALL: [Self; 4] = [
        Self::Configuration,
        Self::Targets,
        Self::Leaders,
        Self::Quarantine,
    ];

    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Configuration => "configuration",
            Self::Targets => "targets",
            Self::Leaders => "leaders",
            Self::Quarantine => "quarantine",
        }
    }
}

struct State {
    directory: Directory,
    unusable: InvalidEntryTracker,
    document: Option<Arc<[u8]>>,
    version: u64,
}

/// Control state and its publication.
pub(crate) struct Control {
    shared: Arc<Shared>,
    state: Mutex<State>,
    /// Rises with each change, for peers that wait for one.
    pub(crate) changes: watch::Sender<u64>,
    /// Rises with each change of a key of this project's own.
    pub(crate) own_keys: watch::Sender<u64>,
    /// The services with expert-parallel groups, and their engines.
    pub(crate) members: watch::Sender<Vec<ExpertService>>,
    /// Topics for which the store does not answer this process.
    silent: Mutex<IndexSet<Followed>>,
    /// Whether the store answers this process.
    pub(crate) store_answers: watch::Sender<bool>,
}

impl Control {
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        Self {
            shared,
            state: Mutex::new(State {
                directory: Directory::default(),
                unusable: InvalidEntryTracker::default(),
                document: None,
                version: 0,
            }),
            changes: watch::Sender::new(0),
            own_keys: watch::Sender::new(0),
            members: watch::Sender::new(Vec::new()),
            silent: Mutex::new(IndexSet::new()),
            store_answers: watch::Sender::new(true),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }

    /// What this entry knows, for peers.
    pub(crate) fn peer_view(&self) -> PeerView {
        let state = self.lock();
        let document = state.document.as_deref();
        PeerView {
            configuration: document.map(|it| String::from_utf8_lossy(it).into_owned()),
            listing: state.directory.listing().clone(),
        }
    }

    /// Position of the list and version of the configuration in force.
    pub(crate) fn position(&self) -> (Position, u64) {
        let state = self.lock();
        (state.directory.listing().position, state.version)
    }

    /// Takes over what a peer knows, as far as it is newer.
    pub(crate) fn take_peer_view(&self, view: PeerView) {
        let document = view.configuration.map(|text| text.into_bytes().into());
        self.take(document, Some(view.listing), "peer");
    }

    pub(crate) fn take(
        &self,
        document: Option<Arc<[u8]>>,
        listing: Option<Listing>,
        source: &'static str,
    ) {
        let now_ms = self.shared.clock.now_ms();
        let mut state = self.lock();
        if let Some(document) = document {
            self.take_document(&mut state, document, source);
        }
        if let Some(listing) = listing {
            let Position { era, revision } = listing.position;
            let is_taken = state.directory.replace(listing, now_ms);
            log::info!(source, era, revision, is_taken; "list of targets offered");
        }
        self.publish(&mut state);
    }

    /// The store answers the task that follows this topic, or does not.
    pub(crate) fn set_answers(&self, followed: Followed, answers: bool) {
        let mut silent = self.silent.lock().expect("no holder panics");
        if answers {
            silent.shift_remove(&followed);
        } else {
            silent.insert(followed);
        }
        if followed == Followed::Quarantine && !answers {
            self.shared.suspects.on_store_failed();
        }
        self.store_answers.send_if_modified(|current| {
            let is_changed = *current != silent.is_empty();
            *current = silent.is_empty();
            is_changed
        });
    }

    /// The store of the settings now in force.
    pub(crate) fn store_address(&self) -> SocketAddr {
        self.shared.settings().store_address
    }

    pub(crate) fn count_store_call(&self, call: &'static str, result: &'static str) {
        self.shared.metrics.count_store_call(call, result);
    }

    /// Takes over what the store keeps of requests under which targets end.
    pub(crate) fn take_quarantine(&self, items: &[OwnItem], position: Position) {
        self.shared.suspects.apply_items(items, position);
    }

    pub(crate) fn now_ms(&self) -> MonoMs {
        self.shared.clock.now_ms()
    }

    /// A client for the store, which tells the eras that it hears of.
    pub(crate) fn open(&self) -> Store {
        Store::observed(self.store_address(), Arc::clone(&self.shared.eras) as _)
    }

    /// Waits until the store is known to have been restored since that position.
    pub(crate) async fn restored_since(&self, position: Position) {
        self.shared.eras.later_than(position.era).await;
    }

    /// A client for the store of the settings now in force.
    pub(crate) fn reopen(&self, store: Store) -> Store {
        let address = self.store_address();
        if store.address() == address {
            return store;
        }
        log::info!(store:% = address; "the store has another address");
        self.open()
    }

    pub(crate) fn apply(&self, watched: Watched) {
        let now_ms = self.shared.clock.now_ms();
        let mut state = self.lock();
        for revised in watched.events {
            match revised.event {
                StoreEvent::Configuration(document) => {
                    self.take_document(&mut state, document, "store");
                }
                StoreEvent::Target(change) => {
                    if !matches!(change, ListingChange::Invalid(_)) {
                        log::info!(revision = revised.position.revision, change:? = change; "target changed");
                    }
                    state.directory.apply(change, revised.position, now_ms);
                }
                StoreEvent::Own { key, value } if key.starts_with(stored::PREFIX) => {
                    let suspects = &self.shared.suspects;
                    suspects.apply_item(&key, value.as_deref(), revised.position);
                }
                StoreEvent::Own { .. } => self.own_keys.send_modify(|count| *count += 1),
            }
        }
        self.publish(&mut state);
    }

    fn take_document(&self, state: &mut State, document: Arc<[u8]>, source: &'static str) {
        let configuration = match documents::configuration(&document) {
            Ok(configuration) => configuration,
            Err(error) => {
                log::error!(source, reason:% = error; "configuration not taken over");
                return;
            }
        };
        let version = configuration.version;
        let routes = configuration.route_count();
        if self.shared.set_configuration(configuration) {
            log::info!(source, version, routes; "configuration in force");
            state.document = Some(document);
            state.version = version;
        }
    }

    fn publish(&self, state: &mut State) {
        let configuration = self.shared.configuration();
        let unusable = invalid_entries(state.directory.listing(), configuration.as_deref());
        self.tell_unusable(&state.unusable.unreported(unusable));
        self.shared.set_targets(state.directory.usable());
        self.changes.send_modify(|count| *count += 1);
        let members = self.members(state);
        self.members.send_if_modified(|current| {
            let is_changed = *current != members;
            *current = members;
            is_changed
        });
    }

    fn tell_unusable(&self, news: &[InvalidEntry]) {
        let count = news.len();
        self.shared.metrics.count_unusable_entries(count);
        for entry in news.iter().take(MOST_UNUSABLE_LINES) {
            log::warn!(id = &*entry.id, reason = &*entry.reason; "an entry names no target");
        }
        if count > MOST_UNUSABLE_LINES {
            log::warn!(count, told = MOST_UNUSABLE_LINES; "more entries name no target");
        }
    }

    fn members(&self, state: &State) -> Vec<ExpertService> {
        let Some(configuration) = self.shared.configuration() else {
            return Vec::new();
        };
        let experts = |service: &Service| service.engine.and_then(|engine| engine.experts);
        let services = configuration.services();
        services
            .filter_map(|service| Some((service, experts(service)?)))
            .map(|(service, model)| ExpertService {
                name: Arc::clone(&service.name),
                model,
                engines: state
                    .directory
                    .listing()
                    .targets
                    .values()
                    .filter(|target| target.service == service.name)
                    .map(|target| target.address)
                    .collect(),
            })
            .collect()
    }

    fn expire(&self) {
        let now_ms = self.shared.clock.now_ms();
        let mut state = self.lock();
        if state.directory.expire(now_ms) {
            log::info!("targets still missing after the store's return are taken as gone");
            self.publish(&mut state);
        }
    }

    pub(crate) fn store_returned(&self) {
        let now_ms = self.shared.clock.now_ms();
        self.lock().directory.on_store_recovered(now_ms);
    }

    fn next_expiry(&self) -> Option<Duration> {
        let now_ms = self.shared.clock.now_ms();
        let due_ms = self.lock().directory.next_expiry_ms()?;
        Some(Duration::from_millis(due_ms.since(now_ms)))
    }
}

/// Forgets missing targets when their time is over.
pub(crate) async fn expire_missing(control: Arc<Control>) {
    let mut changes = control.changes.subscribe();
    loop {
        match control.next_expiry() {
            Some(due) => tokio::select! {
                () = sleep(due) => control.expire(),
                _ = changes.changed() => {}
            },
            None => {
                let _ = changes.changed().await;
            }
        }
    }
}
