//! Exchanges the demand for slots, and the slot quotas, between entries.
//!
//! `berylhook_traffic::slot_sharing` decides how many requests each entry may run at each target;
//! this module sends the messages. Each entry reports its demand to the home of the service every
//! 200 ms, and the reply names its quotas. Only services whose requests have different urgencies
//! are covered; for all others no message is sent.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use berylhook_backpressure::home::{HomeSelector, Members};
use berylhook_calls::{Call, CallError, Connection, serve};
use berylhook_core::time::MonoMs;
use berylhook_traffic::shutdown::ShutdownStage;
use berylhook_traffic::slot_sharing::SlotSharing;
use berylhook_traffic::slot_sharing::messages::{SlotReply, SlotReport};
use bytes::Bytes;
use futures_util::{StreamExt, stream};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use tokio::time::{MissedTickBehavior, interval};

use crate::limits::request_failure;
use crate::notifications::Notifications;
use crate::peers::Peers;
use crate::queue::ServiceQueue;
use crate::shared::Shared;

/// HTTP path of demand reports and notifications of a home.
pub(crate) const SLOTS_PATH: &str = "/slots";

/// Time between two reports. A burst in one data centre is to be followed within a second.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);

/// Timeout of a reply. A home that does not reply is replaced after two of them.
const REPLY_TIMEOUT: Duration = Duration::from_millis(300);

/// Maximum of reports or notifications in flight at the same time.
const MAX_CONCURRENT_CALLS: usize = 16;

/// A report to the home, or a notification to an entry that does not report.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct SlotMessage {
    /// Address at which the sender serves requests of its peers.
    from: SocketAddr,
    service: Arc<str>,
    /// `None` in a notification: the sender considers itself the home, and has received no report.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    report: Option<SlotReport>,
}

/// The exchange for one service.
struct ServiceExchange {
    selector: HomeSelector,
    sharing: SlotSharing,
    /// The home in the last round.
    home: Option<SocketAddr>,
    /// The home that knows the quotas in force.
    informed_home: Option<SocketAddr>,
    /// Whether the last report got no reply of a home.
    is_home_lost: bool,
}

/// This entry's exchange of demand and quotas, one per service.
pub(crate) struct SlotExchange {
    shared: Arc<Shared>,
    peers: Arc<Peers>,
    exchanges: Mutex<IndexMap<Arc<str>, ServiceExchange>>,
    /// Connections to peers, kept open between two messages.
    connections: Mutex<IndexMap<SocketAddr, Connection>>,
    notifications: Notifications,
}

impl SlotExchange {
    pub(crate) fn new(shared: Arc<Shared>, peers: Arc<Peers>) -> Self {
        Self {
            shared,
            peers,
            exchanges: Mutex::new(IndexMap::new()),
            connections: Mutex::new(IndexMap::new()),
            notifications: Notifications::default(),
        }
    }

    /// Reports the demand regularly.
    pub(crate) async fn run(self: Arc<Self>) {
        let mut ticks = interval(REPORT_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let queues = self.shared.queues().into_iter();
            let rounds = queues.map(|queue| self.run_round(queue));
            let rounds = stream::iter(rounds).buffer_unordered(MAX_CONCURRENT_CALLS);
            rounds.collect::<()>().await;
        }
    }

    /// Whether the entries share the slots of a service by quotas.
    fn is_shared(&self, service: &str) -> bool {
        let configuration = self.shared.configuration();
        configuration.is_some_and(|configuration| {
            let service_configuration = configuration.service(service);
            let has_engine = service_configuration.is_some_and(|it| it.engine.is_some());
            has_engine && configuration.has_several_urgencies(service)
        })
    }

    async fn run_round(self: &Arc<Self>, queue: Arc<ServiceQueue>) {
        let queue = &queue;
        let service = queue.service();
        if !self.is_shared(service) {
            let exchange = self.lock().shift_remove(service);
            if exchange.is_some() {
                queue.remove_quotas();
                self.shared.metrics.remove_shared_slots(service);
            }
            return;
        }
        let is_starting =
            !self.shared.is_ready() && *self.shared.stage.borrow() == ShutdownStage::Serving;
        if is_starting {
            return;
        }
        if queue.expire_quotas() {
            log::warn!(service = &**service; "no home of the shared slots replies; an equal share is used");
        }
        let members = self.peers.limit_members();
        let home = self.select_home(queue, &members);
        let report = self.new_report(queue, home);
        if home == self.peers.own_address() {
            self.allocate_own(queue, &report, &members);
            self.notify_silent_peers(queue, &members);
        } else {
            self.send_report(queue, home, report).await;
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, IndexMap<Arc<str>, ServiceExchange>> {
        self.exchanges.lock().expect("no holder panics")
    }

    fn with_exchange<R>(
        &self,
        service: &Arc<str>,
        operation: impl FnOnce(&mut ServiceExchange, MonoMs) -> R,
    ) -> R {
        let now_ms = self.shared.clock.now_ms();
        let mut exchanges = self.lock();
        let exchange = exchanges
            .entry(Arc::clone(service))
            .or_insert_with(|| ServiceExchange {
                selector: HomeSelector::new(self.peers.own_address(), service),
                sharing: SlotSharing::new(u64::from(rand::random::<u32>())),
                home: None,
                informed_home: None,
                is_home_lost: false,
            });
        operation(exchange, now_ms)
    }

    /// Determines the home, and logs when this entry becomes the home or stops being it.
    fn select_home(&self, queue: &ServiceQueue, members: &Members) -> SocketAddr {
        let own_address = self.peers.own_address();
        let service = queue.service();
        let (previous, home) = self.with_exchange(service, |exchange, now_ms| {
            let home = exchange.selector.home(members, now_ms);
            (exchange.home.replace(home), home)
        });
        let was_home = previous == Some(own_address);
        match (was_home, home == own_address) {
            (false, true) => {
                log::info!(service = &**service; "this entry is the home of the shared slots");
            }
            (true, false) => {
                log::info!(service = &**service, home:%; "this entry is no longer the home of the shared slots");
            }
            _ => {}
        }
        home
    }

    fn new_report(&self, queue: &ServiceQueue, home: SocketAddr) -> SlotReport {
        let lists_quotas = self.with_exchange(queue.service(), |exchange, _| {
            exchange.informed_home != Some(home)
        });
        queue.slot_report(&self.shared.settings().data_centre, lists_quotas)
    }

    fn apply_reply(&self, queue: &Arc<ServiceQueue>, home: SocketAddr, reply: &SlotReply) {
        if !reply.is_home {
            return;
        }
        let service = queue.service();
        let was_home_lost = self.with_exchange(service, |exchange, _| {
            exchange.informed_home = Some(home).filter(|_| !reply.wants_quotas);
            std::mem::take(&mut exchange.is_home_lost)
        });
        if was_home_lost {
            log::info!(service = &**service, home:%; "a home of the shared slots replies again");
        }
        queue.on_slot_reply(reply);
        if let Some(status) = queue.slot_status() {
            self.shared.metrics.set_shared_slots(service, &status);
        }
    }

    /// Allocates the slots after a report, if this entry is the home.
    fn allocate(
        &self,
        queue: &ServiceQueue,
        from: SocketAddr,
        report: &SlotReport,
        members: &Members,
    ) -> SlotReply {
        self.with_exchange(queue.service(), |exchange, now_ms| {
            let fraction = exchange.selector.allocated_fraction(members, now_ms);
            let targets = || queue.shared_targets();
            let sharing = &mut exchange.sharing;
            sharing.on_report(from, report, targets, fraction, now_ms)
        })
    }

    /// As the home, allocates slots to this entry.
    fn allocate_own(&self, queue: &Arc<ServiceQueue>, report: &SlotReport, members: &Members) {
        let own_address = self.peers.own_address();
        let reply = self.allocate(queue, own_address, report, members);
        self.apply_reply(queue, own_address, &reply);
    }

    /// As the home, notifies the entries that do not report.
    fn notify_silent_peers(self: &Arc<Self>, queue: &Arc<ServiceQueue>, members: &Members) {
        let Some(notifications) = self.notifications.begin(queue.service()) else {
            return;
        };
        let silent: Vec<SocketAddr> = self.with_exchange(queue.service(), |exchange, now_ms| {
            exchange.selector.out_of_contact(members, now_ms).collect()
        });
        let (exchange, queue) = (Arc::clone(self), Arc::clone(queue));
        tokio::spawn(async move {
            let calls = silent.into_iter().map(|peer| exchange.notify(&queue, peer));
            let calls = stream::iter(calls).buffer_unordered(MAX_CONCURRENT_CALLS);
            calls.collect::<()>().await;
            drop(notifications);
        });
    }

    async fn notify(&self, queue: &Arc<ServiceQueue>, peer: SocketAddr) {
        let message = self.new_message(queue, None);
        match self.call_peer(peer, &message).await {
            Ok(_) => self.record_received(queue, peer),
            // The peer is notified again as long as it sends no reports.
            Err(error) => self.record_no_reply(queue, peer, &error).await,
        }
    }

    async fn send_report(&self, queue: &Arc<ServiceQueue>, home: SocketAddr, report: SlotReport) {
        let message = self.new_message(queue, Some(report));
        match self.call_peer(home, &message).await {
            Ok(reply) => {
                self.record_received(queue, home);
                self.apply_reply(queue, home, &reply);
            }
            Err(error) => {
                self.log_lost(queue, home, &error);
                self.record_no_reply(queue, home, &error).await;
            }
        }
    }

    fn log_lost(&self, queue: &ServiceQueue, home: SocketAddr, error: &CallError) {
        let service = queue.service();
        let was_home_lost = self.with_exchange(service, |exchange, _| {
            std::mem::replace(&mut exchange.is_home_lost, true)
        });
        if !was_home_lost {
            log::warn!(
                service = &**service,
                home:%,
                reason:% = error;
                "the home of the shared slots does not reply"
            );
        }
    }

    fn new_message(&self, queue: &ServiceQueue, report: Option<SlotReport>) -> SlotMessage {
        SlotMessage {
            from: self.peers.own_address(),
            service: Arc::clone(queue.service()),
            report,
        }
    }

    fn record_received(&self, queue: &ServiceQueue, peer: SocketAddr) {
        self.with_exchange(queue.service(), |exchange, now_ms| {
            exchange.selector.on_received(peer, now_ms);
        });
    }

    async fn record_no_reply(&self, queue: &ServiceQueue, peer: SocketAddr, error: &CallError) {
        let failure = request_failure(peer, error).await;
        self.with_exchange(queue.service(), |exchange, now_ms| {
            exchange.selector.on_request_failed(peer, failure, now_ms);
        });
    }

    async fn call_peer(
        &self,
        peer: SocketAddr,
        message: &SlotMessage,
    ) -> Result<SlotReply, CallError> {
        let pooled = {
            let mut connections = self.connections.lock().expect("no holder panics");
            connections.swap_remove(&peer)
        };
        let mut connection = pooled.unwrap_or_else(|| Connection::new(peer));
        let call = Call::post_json(SLOTS_PATH.to_owned(), message, REPLY_TIMEOUT);
        let reply = connection.call_json_with_reconnect(call).await?;
        let mut connections = self.connections.lock().expect("no holder panics");
        connections.insert(peer, connection);
        Ok(reply)
    }

    /// Handles a report or a notification.
    pub(crate) async fn handle_request(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let Some(message) = serve::read_json::<SlotMessage>(request).await else {
            let text = "send a report on the demand for slots in JSON, as another entry does";
            return serve::response(StatusCode::BAD_REQUEST, text);
        };
        serve::json_response(&self.handle_message(&message))
    }

    fn handle_message(&self, message: &SlotMessage) -> SlotReply {
        let queue = self.shared.existing_queue(&message.service);
        let Some(queue) = queue.filter(|queue| self.is_shared(queue.service())) else {
            return SlotReply::default();
        };
        self.record_received(&queue, message.from);
        let members = self.peers.limit_members();
        let home = self.with_exchange(queue.service(), |exchange, now_ms| {
            exchange.selector.home(&members, now_ms)
        });
        match &message.report {
            Some(report) if home == self.peers.own_address() => {
                self.allocate(&queue, message.from, report, &members)
            }
            _ => SlotReply::default(),
        }
    }
}
