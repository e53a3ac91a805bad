//! Queries between entries.
//!
//! An entry that cannot reach the store learns the newest configuration and the departure of
//! targets from its peers. It starts with the seeds in its settings. Each query carries the
//! sender's address and each reply lists the known peers, so all entries discover each other
//! without calls to the store.
//!
//! | Module | Purpose |
//! |---|---|
//! | `membership` | which entries share the targets, and how much demand each has |
//! | `limits` | which entries share the targets' limits, and the limit reports for a new entry |
//! | `leadership` | what a leader sends its peers, and to whom it transfers its leadership |
//! | `store_position` | which entry reads the store's position, and its reports to the others |
//!
//! Queries use plain HTTP. A messaging library would bring threads and wake-ups that cost more
//! than these few queries.

mod leadership;
mod limits;
mod membership;
mod store_position;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use berylhook_backpressure::messages::LimitReport;
use berylhook_calls::outbox::Outbox;
use berylhook_calls::{Call, CallError, Connection, serve};
use berylhook_core::position::Position;
use berylhook_groups::handover::LeadershipTransfer;
use berylhook_platform::store::EraObserver;
use berylhook_traffic::cold::EntryCounter;
use berylhook_traffic::evacuation::EvacuatedZones;
use berylhook_traffic::target::Incarnation;
use bytes::Bytes;
use futures_util::{StreamExt, stream};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use indexmap::IndexMap;
use rand::seq::SliceRandom;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use self::leadership::{
    ENGINE_UPDATE_PATH, LeaderMessage, PAUSE_NOTICE_PATH, TRANSFER_PATH, encode_messages,
};
use self::membership::DemandReport;
use self::store_position::{STORE_POSITION_PATH, StorePositionReport, encode_reports};
use crate::control::{Control, PeerView};
use crate::shared::Shared;

/// Longest wait of a query for an update.
const UPDATE_WAIT: Duration = Duration::from_secs(1);

/// Timeout of a reply, in addition to the query's own wait.
const REPLY_TIMEOUT: Duration = Duration::from_millis(600);

/// Pause after each round of queries while the store does not respond.
const QUERY_PAUSE: Duration = Duration::from_millis(150);

/// Time between two discovery rounds.
const DISCOVERY_INTERVAL: Duration = Duration::from_secs(5);

/// Delay of the next round if the last one discovered new entries or got no reply. New entries
/// must learn of this one before its callers arrive.
const DISCOVERY_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Consecutive rounds with replies and without new entries after which all entries count as
/// discovered. After a power loss, the first peer that replies may know no other entry yet.
const MIN_QUIET_ROUNDS: u32 = 2;

/// Maximum of concurrent queries. A peer that does not respond must not delay the others, and a
/// VM with a sixth of a processor must not receive all replies at once.
const MAX_CONCURRENT_QUERIES: usize = 4;

/// Consecutive failed queries after which a peer is removed.
const MAX_FAILURES: u32 = 3;

/// A peer whose processor share exceeds that of this process by this factor is preferred as leader.
const LARGER_PEER_FACTOR: f64 = 1.5;

/// A query to a peer.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Query {
    /// The address at which the sender serves its peers.
    from: SocketAddr,
    /// Fraction of a processor that the sender may use.
    processor_share: f64,
    /// The sender's demand report; `None` if it takes no requests.
    #[serde(default)]
    sharing: Option<DemandReport>,
    /// Position of the sender's target list.
    #[serde(flatten)]
    position: Position,
    /// Version of the sender's configuration.
    version: u64,
    /// The evacuated data centres, as far as the sender knows; `None` if its deployment has no
    /// evacuation.
    #[serde(default)]
    evacuated: Option<EvacuatedZones>,
    /// Whether the reply should wait for an update.
    waits: bool,
}

/// The reply to a query.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct Reply {
    /// The replier's control state, if it is newer than the sender's.
    view: Option<PeerView>,
    /// The addresses of the known entries.
    peers: Vec<SocketAddr>,
    /// Fraction of a processor that the replier may use.
    processor_share: f64,
    /// The replier's demand report; `None` if it takes no requests.
    #[serde(default)]
    sharing: Option<DemandReport>,
    /// A digest of the replier's quarantine facts. `None` before they are loaded, or from an
    /// entry of an older version.
    #[serde(default)]
    suspicions: Option<u64>,
    /// Whether the replier knows all entries, as far as it can tell.
    #[serde(default)]
    knows_fleet: bool,
    /// The newest era of the store that the replier knows.
    #[serde(default)]
    era: u64,
    /// The limits of targets, by service.
    #[serde(default)]
    limits: IndexMap<Arc<str>, Vec<LimitReport<Incarnation>>>,
}

/// The state of one peer.
#[derive(Clone, Debug, Default)]
struct PeerState {
    /// Consecutive failed queries.
    failures: u32,
    /// Fraction of a processor that the peer may use; `None` before its first message.
    processor_share: Option<f64>,
    /// The demand report in the peer's last message.
    sharing: Option<DemandReport>,
}

/// The entries known to this one.
pub(crate) struct Peers {
    shared: Arc<Shared>,
    control: Arc<Control>,
    known: Mutex<IndexMap<SocketAddr, PeerState>>,
    /// Whether a round of discovery has found no further entries since the start.
    is_discovered: AtomicBool,
    /// Whether this entry has completed its discovery, or heard from one that has.
    knows_fleet: AtomicBool,
    /// The number of entries over time.
    fleet_counter: Mutex<EntryCounter>,
    /// Rate of requests that arrive at this entry; `None` before the first measurement.
    demand_per_s: Mutex<Option<f64>>,
    /// When this entry last received or sent an engine update.
    engine_update_ms: AtomicU64,
    /// The last transfer of a service's leadership to this entry.
    last_transfer: watch::Sender<Option<LeadershipTransfer>>,
    /// Messages of this entry to the others while it leads.
    outbox: Outbox<LeaderMessage>,
    /// Reports of this entry on the store's position.
    position_reports: Outbox<StorePositionReport>,
}

impl Peers {
    pub(crate) fn new(shared: Arc<Shared>, control: Arc<Control>) -> Self {
        Self {
            shared,
            control,
            known: Mutex::new(IndexMap::new()),
            is_discovered: AtomicBool::new(false),
            knows_fleet: AtomicBool::new(false),
            fleet_counter: Mutex::new(EntryCounter::default()),
            demand_per_s: Mutex::new(None),
            engine_update_ms: AtomicU64::new(0),
            last_transfer: watch::Sender::new(None),
            outbox: Outbox::new(encode_messages),
            position_reports: Outbox::new(encode_reports),
        }
    }

    /// Subscribes to transfers of leadership to this entry.
    pub(crate) fn subscribe_transfers(&self) -> watch::Receiver<Option<LeadershipTransfer>> {
        self.last_transfer.subscribe()
    }

    /// The address at which this entry serves its peers.
    pub(crate) fn own_address(&self) -> SocketAddr {
        self.shared.settings().peer_address
    }

    fn add_peers(&self, addresses: impl IntoIterator<Item = SocketAddr>) {
        let own_address = self.own_address();
        let mut known = self.known.lock().expect("no holder panics");
        for address in addresses {
            if address != own_address {
                known.entry(address).or_default();
            }
        }
        self.publish(&known);
    }

    fn publish(&self, known: &IndexMap<SocketAddr, PeerState>) {
        let own_share = self.shared.settings().processor_share;
        let present = known.values().filter(|peer| peer.failures == 0);
        let mut shares = present.filter_map(|peer| peer.processor_share);
        let has_more_cpu = shares.any(|share| share > own_share * LARGER_PEER_FACTOR);
        self.shared
            .has_peer_with_more_cpu
            .send_replace(has_more_cpu);
        self.update_fleet_size(known);
    }

    fn update_peer(
        &self,
        address: SocketAddr,
        processor_share: f64,
        sharing: Option<DemandReport>,
    ) {
        let mut known = self.known.lock().expect("no holder panics");
        if let Some(peer) = known.get_mut(&address) {
            peer.processor_share = Some(processor_share);
            peer.sharing = sharing;
        }
        self.publish(&known);
    }

    fn record_query_result(&self, address: SocketAddr, has_replied: bool) {
        let mut known = self.known.lock().expect("no holder panics");
        let Some(peer) = known.get_mut(&address) else {
            return;
        };
        peer.failures = if has_replied { 0 } else { peer.failures + 1 };
        if peer.failures >= MAX_FAILURES {
            known.shift_remove(&address);
        }
        self.publish(&known);
    }

    /// The addresses of all known peers and seeds, in random order.
    pub(crate) fn shuffled_addresses(&self) -> Vec<SocketAddr> {
        let known = self.known.lock().expect("no holder panics");
        let own_address = self.own_address();
        let settings = self.shared.settings();
        let seeds = settings.seeds.iter().copied();
        let mut addresses: Vec<SocketAddr> = known.keys().copied().chain(seeds).collect();
        addresses.retain(|address| *address != own_address);
        addresses.sort_unstable();
        addresses.dedup();
        addresses.shuffle(&mut rand::rng());
        addresses
    }

    /// Handles a query, an engine update, a pause notice, a transfer of leadership or a report on
    /// the store's position.
    pub(crate) async fn handle_request(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Response<Full<Bytes>> {
        if request.uri().path() == ENGINE_UPDATE_PATH {
            return self.handle_engine_update(request).await;
        }
        if request.uri().path() == PAUSE_NOTICE_PATH {
            return self.handle_pause_notice(request).await;
        }
        if request.uri().path() == TRANSFER_PATH {
            return self.handle_transfer(request).await;
        }
        if request.uri().path() == STORE_POSITION_PATH {
            return self.handle_store_position(request).await;
        }
        let Some(query) = serve::read_json::<Query>(request).await else {
            let text = "send a question in JSON, as another entry does";
            return serve::response(StatusCode::BAD_REQUEST, text);
        };
        self.add_peers([query.from]);
        self.shared.eras.on_era(query.position.era);
        self.update_peer(query.from, query.processor_share, query.sharing.clone());
        // A sender that does not know the set yet names the first position.
        let evacuated = query.evacuated.clone();
        if let Some(zones) = evacuated.filter(|zones| zones.position != Position::default()) {
            self.control.apply_peer_evacuated(zones);
        }
        if query.waits {
            // After a timeout, the reply says that there is no update.
            let _ = timeout(UPDATE_WAIT, self.wait_for_update(&query)).await;
        }
        serve::json_response(&Reply {
            view: self.newer_view(&query),
            peers: self.shuffled_addresses(),
            processor_share: self.shared.settings().processor_share,
            sharing: self.own_demand_report(),
            suspicions: self.shared.suspect_tracker.summary_for_peers(),
            knows_fleet: self.knows_fleet.load(Ordering::Relaxed),
            era: self.shared.eras.newest(),
            limits: self.limit_reports(),
        })
    }

    fn compare_quarantine_digest(&self, address: SocketAddr, summary: Option<u64>) {
        if let Some(summary) = summary {
            self.shared
                .suspect_tracker
                .on_peer_summary(address, summary);
        }
    }

    async fn wait_for_update(&self, query: &Query) {
        let mut changes = self.control.changes.subscribe();
        while !self.has_update(query) {
            if changes.changed().await.is_err() {
                return;
            }
        }
    }

    fn has_update(&self, query: &Query) -> bool {
        let known = self.control.positions();
        let has_evacuation_update = match (known.evacuated, &query.evacuated) {
            (Some(known), Some(evacuated)) => known > evacuated.position,
            (None, _) | (_, None) => false,
        };
        known.listing > query.position || known.version > query.version || has_evacuation_update
    }

    fn newer_view(&self, query: &Query) -> Option<PeerView> {
        self.has_update(query).then(|| self.control.peer_view())
    }

    /// The set of evacuated data centres for a query; an empty one at the first position if the
    /// deployment has evacuation and this entry does not know the set yet.
    fn evacuated_for_query(&self) -> Option<EvacuatedZones> {
        let has_evacuation = self.shared.has_evacuation();
        has_evacuation.then(|| self.control.evacuated().unwrap_or_default())
    }

    /// Queries one peer; returns whether it replied.
    async fn query_peer(&self, address: SocketAddr, waits: bool) -> bool {
        let known = self.control.positions();
        let query = Query {
            from: self.own_address(),
            processor_share: self.shared.settings().processor_share,
            sharing: self.own_demand_report(),
            position: known.listing,
            version: known.version,
            evacuated: self.evacuated_for_query(),
            waits,
        };
        let reply_timeout = REPLY_TIMEOUT + if waits { UPDATE_WAIT } else { Duration::ZERO };
        let result = send_query(address, &query, reply_timeout).await;
        let has_replied = result.is_ok();
        match result {
            Ok(reply) => {
                self.add_peers(reply.peers.into_iter().chain([address]));
                if reply.knows_fleet {
                    self.set_fleet_known();
                }
                self.update_peer(address, reply.processor_share, reply.sharing);
                self.compare_quarantine_digest(address, reply.suspicions);
                self.shared.eras.on_era(reply.era);
                self.apply_limit_reports(&reply.limits);
                if let Some(view) = reply.view {
                    self.control.apply_peer_view(view);
                }
            }
            Err(error) => log::debug!(reason:% = error; "a peer does not reply"),
        }
        self.record_query_result(address, has_replied);
        has_replied
    }

    /// Discovers peers at the start and regularly, and informs them when this entry stops.
    pub(crate) async fn run_discovery(self: Arc<Self>) {
        let mut stage = self.shared.stage.subscribe();
        let mut quiet_rounds = 0;
        loop {
            let known = self.shuffled_addresses().len();
            let queries = self.shuffled_addresses().into_iter();
            let queries = queries.map(|address| self.query_peer(address, false));
            let replied = stream::iter(queries).buffer_unordered(MAX_CONCURRENT_QUERIES);
            let replied: Vec<bool> = replied.collect().await;
            let has_new_peers = self.shuffled_addresses().len() > known;
            // After a power loss, the seeds start at the same time as this entry and refuse its
            // first query, and the leader is elected within the next second.
            let has_no_reply = !replied.contains(&true);
            quiet_rounds = if has_new_peers || has_no_reply {
                0
            } else {
                quiet_rounds + 1
            };
            // An entry without seeds has no one to query.
            if quiet_rounds >= MIN_QUIET_ROUNDS || replied.is_empty() {
                self.is_discovered.store(true, Ordering::Relaxed);
                self.set_fleet_known();
            }
            let wait = if has_new_peers || has_no_reply {
                DISCOVERY_RETRY_DELAY
            } else {
                DISCOVERY_INTERVAL
            };
            // The sender closes only at the end of the process.
            let _ = timeout(wait, stage.changed()).await;
        }
    }

    /// Queries peers for updates while the store does not respond.
    pub(crate) async fn poll_during_outages(self: Arc<Self>) {
        let mut is_store_reachable = self.control.is_store_reachable.subscribe();
        loop {
            if is_store_reachable
                .wait_for(|is_reachable| !is_reachable)
                .await
                .is_err()
            {
                return;
            }
            for address in self.shuffled_addresses() {
                if *is_store_reachable.borrow() {
                    break;
                }
                self.query_peer(address, true).await;
            }
            sleep(QUERY_PAUSE).await;
        }
    }
}

async fn send_query(
    address: SocketAddr,
    query: &Query,
    reply_timeout: Duration,
) -> Result<Reply, CallError> {
    let call = Call::post_json("/".to_owned(), query, reply_timeout);
    Connection::new(address).call_json(call).await
}
