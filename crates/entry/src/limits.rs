//! Exchanges targets' request limits and permits between entries.
//!
//! A target's limit applies to all entries together, so one entry, the home of the service,
//! allocates permits to the others. `berylhook-backpressure` elects the home and decides the
//! allocation; this module sends the messages. Each entry that knows of a limit sends a request
//! to the home every 200 ms; the home notifies the entries that send none.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use berylhook_backpressure::coordinator::{Members, PermitCoordinator, RequestFailure};
use berylhook_backpressure::gate::LimitState;
use berylhook_backpressure::messages::{LimitMessage, LimitReply, PermitGrant, PermitRequest};
use berylhook_calls::{Call, CallError, Connection, serve};
use berylhook_core::time::MonoMs;
use berylhook_traffic::target::Incarnation;
use bytes::Bytes;
use futures_util::{StreamExt, stream};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use indexmap::IndexMap;
use tokio::time::{sleep, timeout};

use crate::backpressure;
use crate::notifications::Notifications;
use crate::peers::Peers;
use crate::queue::ServiceQueue;
use crate::shared::Shared;

/// HTTP path of permit requests and limit notifications.
pub(crate) const LIMITS_PATH: &str = "/limits";

/// Time between two permit requests. A permit that arrives after the next request for its target
/// is of little use.
const REQUEST_INTERVAL: Duration = Duration::from_millis(200);

/// Time between two rounds while no target has a limit. A new limit ends the wait at once.
const IDLE_INTERVAL: Duration = Duration::from_secs(2);

/// Jitter that spreads the requests of entries that learned of a limit at the same time.
const REQUEST_JITTER_MS: u64 = 100;

/// Timeout of a peer's reply. A slower peer counts as not responding, and another entry becomes
/// home within two seconds.
const REPLY_TIMEOUT: Duration = Duration::from_millis(300);

/// Shortest time between two rounds, however often limits change.
const MIN_ROUND_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum of rounds or notifications in flight at the same time.
const MAX_CONCURRENT_CALLS: usize = 16;

/// This entry's exchange of limits and permits, one per service.
pub(crate) struct LimitExchange {
    shared: Arc<Shared>,
    peers: Arc<Peers>,
    coordinators: Mutex<IndexMap<Arc<str>, PermitCoordinator<Incarnation>>>,
    /// Connections to peers, kept open between two requests.
    connections: Mutex<IndexMap<SocketAddr, Connection>>,
    notifications: Notifications,
}

impl LimitExchange {
    pub(crate) fn new(shared: Arc<Shared>, peers: Arc<Peers>) -> Self {
        Self {
            shared,
            peers,
            coordinators: Mutex::new(IndexMap::new()),
            connections: Mutex::new(IndexMap::new()),
            notifications: Notifications::default(),
        }
    }

    /// Runs a round regularly while there are limits, and at once when a limit changes.
    pub(crate) async fn run(self: Arc<Self>) {
        let mut has_limits = false;
        loop {
            let pause = if has_limits {
                REQUEST_INTERVAL + Duration::from_millis(rand::random_range(0..=REQUEST_JITTER_MS))
            } else {
                IDLE_INTERVAL
            };
            // A timeout is the usual way to the next round.
            let _ = timeout(pause, self.shared.limits_changed.notified()).await;
            let queues = self.shared.queues().into_iter();
            let rounds = queues.map(|queue| self.run_round(queue));
            let rounds = stream::iter(rounds).buffer_unordered(MAX_CONCURRENT_CALLS);
            let had_limits: Vec<bool> = rounds.collect().await;
            has_limits = had_limits.contains(&true);
            if has_limits {
                sleep(MIN_ROUND_INTERVAL).await;
            }
        }
    }

    /// Runs one round for one service; returns whether it has limits to share, or had recently.
    async fn run_round(self: &Arc<Self>, queue: Arc<ServiceQueue>) -> bool {
        let queue = &queue;
        for (reason, count) in queue.take_withheld_counts() {
            self.shared.metrics.count_withheld(reason.name(), count);
        }
        let limited = queue.limited_target_count();
        self.shared
            .metrics
            .set_limited_targets(queue.service(), limited);
        let available_retries = queue.available_retries();
        self.shared
            .metrics
            .set_available_retries(queue.service(), available_retries);
        for report in queue.take_level_reports() {
            self.shared.metrics.set_level(queue.service(), &report);
        }
        let states = queue.take_limit_states();
        if states.is_empty() {
            return false;
        }
        let members = self.peers.limit_members();
        let own_address = self.peers.own_address();
        let home = self.with_coordinator(queue, |coordinator, now_ms| {
            coordinator.home(&members, now_ms)
        });
        if home == own_address {
            self.allocate_own(queue, &states, &members);
            self.notify_peers(queue, states, &members);
        } else {
            self.request_permits(queue, home, &states).await;
        }
        true
    }

    fn with_coordinator<R>(
        &self,
        queue: &ServiceQueue,
        operation: impl FnOnce(&mut PermitCoordinator<Incarnation>, MonoMs) -> R,
    ) -> R {
        let service = queue.service();
        let now_ms = self.shared.clock.now_ms();
        let mut coordinators = self.coordinators.lock().expect("no holder panics");
        let coordinator = coordinators
            .entry(Arc::clone(service))
            .or_insert_with(|| PermitCoordinator::new(self.peers.own_address(), service));
        operation(coordinator, now_ms)
    }

    /// As the home, allocates permits to this entry.
    fn allocate_own(
        &self,
        queue: &Arc<ServiceQueue>,
        states: &[(Incarnation, LimitState)],
        members: &Members,
    ) {
        let own_address = self.peers.own_address();
        let requested_ms = self.shared.clock.now_ms();
        let grants = self.allocate_permits(queue, own_address, &permit_requests(states), members);
        queue.on_permits(&grants.unwrap_or_default(), requested_ms);
    }

    /// As the home, notifies the others of the limits.
    fn notify_peers(
        self: &Arc<Self>,
        queue: &Arc<ServiceQueue>,
        states: Vec<(Incarnation, LimitState)>,
        members: &Members,
    ) {
        let Some(notifications) = self.notifications.begin(queue.service()) else {
            return;
        };
        let limits = states
            .iter()
            .map(|(target, state)| (target.clone(), state.limit));
        let recipients = self.with_coordinator(queue, |coordinator, now_ms| {
            coordinator.peers_to_notify(limits.collect(), members, now_ms)
        });
        let (exchange, queue) = (Arc::clone(self), Arc::clone(queue));
        tokio::spawn(async move {
            let message = exchange.new_message(&queue, &states, Vec::new());
            let calls = recipients
                .into_iter()
                .map(|peer| exchange.notify(&queue, peer, &message));
            let calls = stream::iter(calls).buffer_unordered(MAX_CONCURRENT_CALLS);
            calls.collect::<()>().await;
            drop(notifications);
        });
    }

    fn allocate_permits(
        &self,
        queue: &ServiceQueue,
        from: SocketAddr,
        permit_requests: &[PermitRequest<Incarnation>],
        members: &Members,
    ) -> Option<Vec<PermitGrant<Incarnation>>> {
        self.with_coordinator(queue, |coordinator, now_ms| {
            coordinator.on_permit_requests(
                from,
                permit_requests,
                |target| queue.rate_limit(target),
                members,
                now_ms,
            )
        })
    }

    fn new_message(
        &self,
        queue: &ServiceQueue,
        states: &[(Incarnation, LimitState)],
        permit_requests: Vec<PermitRequest<Incarnation>>,
    ) -> LimitMessage<Incarnation> {
        LimitMessage {
            from: self.peers.own_address(),
            service: Arc::clone(queue.service()),
            reports: backpressure::limit_reports(states, self.shared.clock.now_ms()),
            permit_requests,
        }
    }

    async fn notify(
        &self,
        queue: &Arc<ServiceQueue>,
        peer: SocketAddr,
        message: &LimitMessage<Incarnation>,
    ) {
        match self.call_peer(peer, message).await {
            Ok(reply) => {
                self.with_coordinator(queue, |coordinator, now_ms| {
                    coordinator.on_received(peer, now_ms);
                });
                backpressure::apply_reports(&self.shared, queue, &reply.reports);
            }
            // The peer is notified again as long as it sends no requests.
            Err(error) => self.record_no_reply(queue, peer, &error).await,
        }
    }

    async fn record_no_reply(&self, queue: &ServiceQueue, peer: SocketAddr, error: &CallError) {
        let failure = request_failure(peer, error).await;
        self.with_coordinator(queue, |coordinator, now_ms| {
            coordinator.on_request_failed(peer, failure, now_ms);
        });
    }

    async fn request_permits(
        &self,
        queue: &Arc<ServiceQueue>,
        home: SocketAddr,
        states: &[(Incarnation, LimitState)],
    ) {
        let requested_ms = self.shared.clock.now_ms();
        let message = self.new_message(queue, states, permit_requests(states));
        match self.call_peer(home, &message).await {
            Ok(reply) => {
                self.with_coordinator(queue, |coordinator, now_ms| {
                    coordinator.on_received(home, now_ms);
                });
                backpressure::apply_reports(&self.shared, queue, &reply.reports);
                queue.on_permits(&reply.grants, requested_ms);
            }
            Err(error) => {
                log::info!(
                    service = &**queue.service(),
                    home:%,
                    reason:% = error;
                    "the home of the limits does not reply"
                );
                self.record_no_reply(queue, home, &error).await;
                self.shared.limits_changed.notify_one();
            }
        }
    }

    async fn call_peer(
        &self,
        peer: SocketAddr,
        message: &LimitMessage<Incarnation>,
    ) -> Result<LimitReply<Incarnation>, CallError> {
        let pooled = {
            let mut connections = self.connections.lock().expect("no holder panics");
            connections.swap_remove(&peer)
        };
        let mut connection = pooled.unwrap_or_else(|| Connection::new(peer));
        let call = Call::post_json(LIMITS_PATH.to_owned(), message, REPLY_TIMEOUT);
        let reply = connection.call_json(call).await?;
        let mut connections = self.connections.lock().expect("no holder panics");
        connections.insert(peer, connection);
        Ok(reply)
    }

    /// Handles a permit request or a limit notification.
    pub(crate) async fn handle_request(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let Some(message) = serve::read_json::<LimitMessage<Incarnation>>(request).await else {
            let text = "send a question on limits in JSON, as another entry does";
            return serve::response(StatusCode::BAD_REQUEST, text);
        };
        let Some(queue) = self.shared.existing_queue(&message.service) else {
            return serve::json_response(&LimitReply::<Incarnation> {
                is_home: false,
                reports: Vec::new(),
                grants: Vec::new(),
            });
        };
        backpressure::apply_reports(&self.shared, &queue, &message.reports);
        let members = self.peers.limit_members();
        let grants =
            self.allocate_permits(&queue, message.from, &message.permit_requests, &members);
        let states = queue.limit_states();
        serve::json_response(&LimitReply {
            is_home: grants.is_some(),
            reports: backpressure::limit_reports(&states, self.shared.clock.now_ms()),
            grants: grants.unwrap_or_default(),
        })
    }
}

fn permit_requests(states: &[(Incarnation, LimitState)]) -> Vec<PermitRequest<Incarnation>> {
    let limited = states.iter().filter(|(_, state)| state.limit.is_some());
    let permit_requests = limited.map(|(target, state)| PermitRequest {
        target: target.clone(),
        requests: state.requested,
        held: Some(state.held),
    });
    permit_requests.collect()
}

/// Why a peer did not reply to a call.
pub(crate) async fn request_failure(peer: SocketAddr, error: &CallError) -> RequestFailure {
    match error {
        CallError::Status { .. } => RequestFailure::Refused,
        CallError::NotSent { .. } if refuses_connections(peer).await => RequestFailure::Refused,
        CallError::NotSent { .. }
        | CallError::Unknown { .. }
        | CallError::ResponseTooLarge { .. } => RequestFailure::NoReply,
    }
}

/// Whether the address refuses connections: its process has exited, and its VM is not cut off.
async fn refuses_connections(address: SocketAddr) -> bool {
    let connecting = timeout(REPLY_TIMEOUT, tokio::net::TcpStream::connect(address)).await;
    matches!(connecting, Ok(Err(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused)
}
