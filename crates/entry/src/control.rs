//! Control state: merges what the store and the peers report, and publishes it to the traffic
//! thread.
//!
//! An entry that cannot reach the store applies the complete view of any peer whose view is
//! newer. Configuration versions and list positions only increase, so neither the store nor a
//! peer can bring back outdated state.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use berylhook_core::answer_log::AnswerLog;
use berylhook_core::position::Position;
use berylhook_core::time::MonoMs;
use berylhook_groups::ExpertService;
use berylhook_platform::documents;
use berylhook_platform::store::{KeyedItem, StoreClient, StoreEvent, WatchBatch};
use berylhook_quarantine::stored;
use berylhook_traffic::configuration::Service;
use berylhook_traffic::directory::{Directory, InvalidEntry, Listing, ListingChange};
use berylhook_traffic::evacuation::{EvacuatedZones, EvacuationChange, EvacuationTracker};
use berylhook_traffic::invalid_entries::{InvalidEntryTracker, invalid_entries};
use berylhook_traffic::target::Phase;
use indexmap::IndexSet;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio::time::sleep;

use crate::cold_targets;
use crate::shared::Shared;
use crate::store_progress::StoreProgress;

/// Maximum of log lines about invalid list entries per change of the list. Further ones are only
/// counted, so that they do not crowd out the log lines of requests.
const MAX_INVALID_ENTRY_LINES: usize = 20;

/// The control state that entries send each other.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct PeerView {
    /// The operator's configuration document of the highest known version.
    pub(crate) configuration: Option<String>,
    /// The list of targets.
    pub(crate) listing: Listing,
    /// The evacuated data centres; `None` if the sender does not know them.
    #[serde(default)]
    pub(crate) evacuated: Option<EvacuatedZones>,
}

/// Control state that was read from the store or received from a peer.
#[derive(Debug, Default)]
pub(crate) struct ReceivedState {
    pub(crate) document: Option<Arc<[u8]>>,
    pub(crate) listing: Option<Listing>,
    pub(crate) evacuated: Option<EvacuatedZones>,
}

/// How new the parts of the control state are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct KnownPositions {
    /// Position of the list of targets.
    pub(crate) listing: Position,
    /// Version of the configuration in force.
    pub(crate) version: u64,
    /// Position of the set of evacuated data centres; `None` if it is not known.
    pub(crate) evacuated: Option<Position>,
}

/// A topic of the store that one task watches.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum WatchedTopic {
    /// The operator's configuration.
    Configuration,
    /// The list of targets.
    Targets,
    /// Which entry leads the groups of each service.
    Leaders,
    /// The store's records of requests that are quarantined because targets exited while running
    /// them.
    Quarantine,
}

impl WatchedTopic {
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
    /// When the store has answered this entry or a peer.
    answers: AnswerLog,
    invalid_entries: InvalidEntryTracker,
    document: Option<Arc<[u8]>>,
    configuration_version: u64,
    evacuation: EvacuationTracker,
}

/// Holds the control state and publishes its changes.
pub(crate) struct Control {
    shared: Arc<Shared>,
    state: Mutex<State>,
    /// Increases with each change, for requests of peers that wait for one.
    pub(crate) changes: watch::Sender<u64>,
    /// Increases with each change of a leadership key in the store.
    pub(crate) leadership_changes: watch::Sender<u64>,
    /// The services with expert-parallel groups, and the addresses of their engines.
    pub(crate) expert_services: watch::Sender<Vec<ExpertService>>,
    /// Topics whose last call to the store failed.
    unreachable_topics: Mutex<IndexSet<WatchedTopic>>,
    /// Whether the store responds for all topics.
    pub(crate) is_store_reachable: watch::Sender<bool>,
    /// What the watches of the store have delivered.
    pub(crate) store_progress: Arc<StoreProgress>,
}

impl Control {
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        let store_progress = Arc::new(StoreProgress::new(shared.clock));
        Self {
            shared,
            state: Mutex::new(State {
                directory: Directory::default(),
                answers: AnswerLog::default(),
                invalid_entries: InvalidEntryTracker::default(),
                document: None,
                configuration_version: 0,
                evacuation: EvacuationTracker::default(),
            }),
            changes: watch::Sender::new(0),
            leadership_changes: watch::Sender::new(0),
            expert_services: watch::Sender::new(Vec::new()),
            unreachable_topics: Mutex::new(IndexSet::new()),
            is_store_reachable: watch::Sender::new(true),
            store_progress,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }

    /// This entry's control state, for peers.
    pub(crate) fn peer_view(&self) -> PeerView {
        let state = self.lock();
        let document = state.document.as_deref();
        PeerView {
            configuration: document.map(|document| String::from_utf8_lossy(document).into_owned()),
            listing: state
                .directory
                .listing_for_peers(self.shared.clock.now_ms()),
            evacuated: state.evacuation.known().cloned(),
        }
    }

    /// How new this entry's control state is.
    pub(crate) fn positions(&self) -> KnownPositions {
        let state = self.lock();
        KnownPositions {
            listing: state.directory.listing().position,
            version: state.configuration_version,
            evacuated: state.evacuation.known().map(|zones| zones.position),
        }
    }

    /// The evacuated data centres; `None` if they are not known.
    pub(crate) fn evacuated(&self) -> Option<EvacuatedZones> {
        self.lock().evacuation.known().cloned()
    }

    /// Applies a set of evacuated data centres that a peer sent with a query.
    pub(crate) fn apply_peer_evacuated(&self, evacuated: EvacuatedZones) {
        if self.lock().evacuation.is_behind(evacuated.position) {
            let received = ReceivedState {
                evacuated: Some(evacuated),
                ..ReceivedState::default()
            };
            self.merge(received, "peer");
        }
    }

    /// Applies a peer's control state, as far as it is newer.
    pub(crate) fn apply_peer_view(&self, view: PeerView) {
        let received = ReceivedState {
            document: view.configuration.map(|text| text.into_bytes().into()),
            listing: Some(view.listing),
            evacuated: view.evacuated,
        };
        self.merge(received, "peer");
    }

    /// Applies received control state, as far as it is newer.
    pub(crate) fn merge(&self, received: ReceivedState, source: &'static str) {
        let now_ms = self.shared.clock.now_ms();
        let mut state = self.lock();
        // Applied before the configuration and the targets, so that no request is sent to an
        // evacuated data centre in between.
        if let Some(evacuated) = received.evacuated {
            self.replace_evacuated(&mut state, evacuated, source);
        }
        if let Some(document) = received.document {
            self.apply_document(&mut state, document, source);
        }
        if let Some(listing) = received.listing {
            let Position { era, revision } = listing.position;
            let is_taken = state.directory.replace(listing, now_ms);
            log::info!(source, era, revision, is_taken; "received a list of targets");
        }
        self.publish(&mut state);
    }

    /// Records whether the store responds to the task that watches `topic`.
    pub(crate) fn set_topic_reachable(&self, topic: WatchedTopic, is_reachable: bool) {
        let mut unreachable_topics = self.unreachable_topics.lock().expect("no holder panics");
        if is_reachable {
            unreachable_topics.shift_remove(&topic);
        } else {
            unreachable_topics.insert(topic);
        }
        if topic == WatchedTopic::Quarantine && !is_reachable {
            self.shared.suspect_tracker.on_store_failed();
        }
        self.is_store_reachable.send_if_modified(|current| {
            let is_changed = *current != unreachable_topics.is_empty();
            *current = unreachable_topics.is_empty();
            is_changed
        });
    }

    /// The store's address in the current settings.
    pub(crate) fn store_address(&self) -> SocketAddr {
        self.shared.settings().store_address
    }

    pub(crate) fn count_store_call(&self, call: &'static str, result: &'static str) {
        self.shared.metrics.count_store_call(call, result);
    }

    /// Applies all quarantine records of the store.
    pub(crate) fn apply_quarantine(&self, items: &[KeyedItem], position: Position) {
        self.shared.suspect_tracker.apply_items(items, position);
    }

    pub(crate) fn now_ms(&self) -> MonoMs {
        self.shared.clock.now_ms()
    }

    /// Opens a store client that reports the eras it receives.
    pub(crate) fn open_store(&self) -> StoreClient {
        StoreClient::with_observer(self.store_address(), Arc::clone(&self.shared.eras) as _)
    }

    /// Waits until the store is known to have been restored since `position`.
    pub(crate) async fn wait_for_restore_since(&self, position: Position) {
        self.shared.eras.wait_for_later(position.era).await;
    }

    /// Returns a client for the store's address in the current settings, `store` itself if it is
    /// unchanged.
    pub(crate) fn reopen_store(&self, store: StoreClient) -> StoreClient {
        let address = self.store_address();
        if store.address() == address {
            return store;
        }
        log::info!(store:% = address; "the address of the store has changed");
        self.open_store()
    }

    pub(crate) fn apply_watched(&self, watched: WatchBatch) {
        let now_ms = self.shared.clock.now_ms();
        let mut state = self.lock();
        for revised in watched.events {
            match revised.event {
                StoreEvent::Configuration(document) => {
                    self.apply_document(&mut state, document, "store");
                }
                StoreEvent::Target(change) => {
                    if !matches!(change, ListingChange::Invalid(_)) {
                        log::info!(revision = revised.position.revision, change:? = change; "target changed");
                    }
                    apply_listing_change(&mut state.directory, change, revised.position, now_ms);
                }
                StoreEvent::Evacuation(change) => {
                    self.apply_evacuation(&mut state, change, revised.position);
                }
                StoreEvent::OwnKey { key, value } if key.starts_with(stored::PREFIX) => {
                    let suspect_tracker = &self.shared.suspect_tracker;
                    suspect_tracker.apply_item(&key, value.as_deref(), revised.position);
                }
                StoreEvent::OwnKey { .. } => {
                    self.leadership_changes.send_modify(|count| *count += 1);
                }
            }
        }
        self.publish(&mut state);
    }

    fn apply_document(&self, state: &mut State, document: Arc<[u8]>, source: &'static str) {
        let configuration = match documents::parse_configuration(&document) {
            Ok(configuration) => configuration,
            Err(error) => {
                log::error!(source, reason:% = error; "configuration rejected");
                return;
            }
        };
        let version = configuration.version;
        let routes = configuration.route_count();
        if self.shared.set_configuration(configuration) {
            log::info!(source, version, routes; "configuration in force");
            state.document = Some(document);
            state.configuration_version = version;
        }
    }

    /// Replaces the set of evacuated data centres, if the deployment has the feature.
    fn replace_evacuated(&self, state: &mut State, zones: EvacuatedZones, source: &'static str) {
        if self.shared.has_evacuation() && state.evacuation.replace(zones) {
            self.publish_evacuated(state, source);
        }
    }

    fn apply_evacuation(&self, state: &mut State, change: EvacuationChange, position: Position) {
        if self.shared.has_evacuation() && state.evacuation.apply(change, position) {
            self.publish_evacuated(state, "store");
        }
    }

    fn publish_evacuated(&self, state: &State, source: &'static str) {
        let Some(zones) = state.evacuation.known() else {
            return;
        };
        self.shared.set_evacuated(zones);
        let Position { era, revision } = zones.position;
        let names: Vec<&str> = zones.data_centres.iter().map(|name| &**name).collect();
        log::info!(source, era, revision, evacuated = names.join(","); "evacuated data centres known");
    }

    fn publish(&self, state: &mut State) {
        let configuration = self.shared.configuration();
        let invalid = invalid_entries(state.directory.listing(), configuration.as_deref());
        self.log_invalid_entries(&state.invalid_entries.unreported(invalid));
        let usable = state.directory.usable(configuration.as_deref());
        self.shared.set_targets(usable);
        // A peer that does not know the list sends an empty one without a position.
        if state.directory.listing().position != Position::default() {
            self.shared.set_targets_known();
        }
        cold_targets::report_changes(&self.shared);
        self.changes.send_modify(|count| *count += 1);
        let expert_services = self.expert_services(state);
        self.expert_services.send_if_modified(|current| {
            let is_changed = *current != expert_services;
            *current = expert_services;
            is_changed
        });
    }

    fn log_invalid_entries(&self, entries: &[InvalidEntry]) {
        let count = entries.len();
        self.shared.metrics.count_invalid_entries(count);
        for entry in entries.iter().take(MAX_INVALID_ENTRY_LINES) {
            log::warn!(id = &*entry.id, reason = &*entry.reason; "an entry in the list of targets is not valid");
        }
        if count > MAX_INVALID_ENTRY_LINES {
            log::warn!(count, told = MAX_INVALID_ENTRY_LINES; "more entries in the list of targets are not valid");
        }
    }

    fn expert_services(&self, state: &State) -> Vec<ExpertService> {
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

    fn expire_due(&self) {
        let now_ms = self.shared.clock.now_ms();
        let mut state = self.lock();
        if state.directory.expire(now_ms) {
            log::info!("removed targets that did not return after a store outage");
            self.publish(&mut state);
        }
    }

    /// Records that the store has answered this entry.
    pub(crate) fn on_store_answer(&self) {
        self.update_answers(AnswerLog::on_answer);
    }

    /// Records a peer's report that the store has been answering for `answering_ms`.
    pub(crate) fn on_peer_answer(&self, answering_ms: u64) {
        self.update_answers(|answers, now_ms| answers.on_report(answering_ms, now_ms));
    }

    /// How long the store has been answering, as far as this entry knows.
    pub(crate) fn answering_ms(&self) -> u64 {
        self.lock().answers.answering_ms(self.now_ms())
    }

    fn update_answers(&self, update: impl FnOnce(&mut AnswerLog, MonoMs)) {
        let now_ms = self.now_ms();
        let mut state = self.lock();
        let before_ms = state.answers.outage_end_ms();
        update(&mut state.answers, now_ms);
        let end_ms = state.answers.outage_end_ms();
        if end_ms == before_ms {
            return;
        }
        match end_ms {
            Some(end_ms) => {
                let ended_ms = now_ms.since(end_ms);
                log::info!(ended_ms; "the store answers again after an outage");
                state.directory.on_store_recovered(end_ms);
            }
            None => {
                log::info!("the store has answered other entries during the outage");
                state.directory.on_outage_ruled_out();
            }
        }
        // Missing targets may be due at once.
        self.changes.send_modify(|count| *count += 1);
    }

    fn next_expiry(&self) -> Option<Duration> {
        let now_ms = self.shared.clock.now_ms();
        let due_ms = self.lock().directory.next_expiry_ms()?;
        Some(Duration::from_millis(due_ms.since(now_ms)))
    }
}

/// Applies a change of the list, and logs where a target stays in use although it was removed, or
/// stays leaving although its entry says otherwise.
fn apply_listing_change(
    directory: &mut Directory,
    change: ListingChange,
    position: Position,
    now_ms: MonoMs,
) {
    let (id, is_listed_as_ready) = match &change {
        ListingChange::Set(target) => (Arc::clone(target.id()), target.phase == Phase::Ready),
        ListingChange::Removed(id) => (Arc::clone(id), false),
        ListingChange::Invalid(invalid) => (Arc::clone(&invalid.id), false),
    };
    directory.apply(change, position, now_ms);
    let Position { era, revision } = position;
    if let Some(left_ms) = directory.grace_left_ms(&id, now_ms) {
        log::info!(id = &*id, era, revision, left_ms; "a target stays in use after its entry was removed");
    }
    if is_listed_as_ready && directory.is_leaving(&id) {
        log::warn!(id = &*id, era, revision; "a late heartbeat of a leaving target is ignored");
    }
}

/// Removes targets that are missing since a store outage, once their grace period has expired.
pub(crate) async fn expire_missing(control: Arc<Control>) {
    let mut changes = control.changes.subscribe();
    loop {
        match control.next_expiry() {
            Some(due) => tokio::select! {
                () = sleep(due) => control.expire_due(),
                _ = changes.changed() => {}
            },
            None => {
                let _ = changes.changed().await;
            }
        }
    }
}
