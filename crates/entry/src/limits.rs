//! The limits that targets name, shared with the other entries.
//!
//! Who asks whom, and what is given out, is decided by `berylhook-backpressure`; here are
//! the messages. Each entry that knows of a limit asks the service's home every fifth of a
//! second; the home tells those that do not ask.

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
use crate::peers::Peers;
use crate::queue::ServiceQueue;
use crate::shared::Shared;

/// Where entries ask and tell each other.
pub(crate) const LIMITS_PATH: &str = "/limits";

/// Time between two questions: permits that come later than the next request for a target
/// are of little use.
const ASK_EVERY: Duration = Duration::from_millis(200);

/// Time between two looks while no target names a limit; one that does ends the wait.
const IDLE_EVERY: Duration = Duration::from_secs(2);

/// Spreads the questions of entries that heard of a limit in the same moment.
const ASK_SPREAD_MS: u64 = 100;

/// Time for an answer: a peer that takes longer is passed over, and another is home within
/// two seconds.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);

/// Least time between two rounds, however often limits change.
const LEAST_PAUSE: Duration = Duration::from_millis(20);

/// Peers told at once.
const TOLD_AT_ONCE: usize = 16;

/// This entry's part in sharing the limits.
pub(crate) struct Limits {
    shared: Arc<Shared>,
    peers: Arc<Peers>,
    exchanges: Mutex<IndexMap<Arc<str>, PermitCoordinator<Incarnation>>>,
    /// Connections to homes, kept between two questions.
    connections: Mutex<IndexMap<SocketAddr, Connection>>,
}

impl Limits {
    pub(crate) fn new(shared: Arc<Shared>, peers: Arc<Peers>) -> Self {
        Self {
            shared,
            peers,
            exchanges: Mutex::new(IndexMap::new()),
            connections: Mutex::new(IndexMap::new()),
        }
    }

    /// Asks and tells while there are limits, at once when one has changed.
    pub(crate) async fn run(self: Arc<Self>) {
        let mut has_limits = false;
        loop {
            let pause = if has_limits {
                ASK_EVERY + Duration::from_millis(rand::random_range(0..=ASK_SPREAD_MS))
            } else {
                IDLE_EVERY
            };
            // Running out of time is the usual reason to go on.
            let _ = timeout(pause, self.shared.limits_changed.notified()).await;
            let queues = self.shared.queues().into_iter();
            let shared_out = queues.map(|queue| self.share(queue));
            let shared_out = stream::iter(shared_out).buffer_unordered(TOLD_AT_ONCE);
            let were_there: Vec<bool> = shared_out.collect().await;
            has_limits = were_there.contains(&true);
            if has_limits {
                sleep(LEAST_PAUSE).await;
            }
        }
    }

    /// One round for one service; returns whether it has limits to share, or had of late.
    async fn share(&self, queue: Arc<ServiceQueue>) -> bool {
        let queue = &queue;
        for (why, count) in queue.take_kept_back() {
            self.shared.metrics.count_kept_back(why.name(), count);
        }
        let limited = queue.limited();
        self.shared
            .metrics
            .set_limited_targets(queue.service(), limited);
        let states = queue.take_limit_states();
        if states.is_empty() {
            return false;
        }
        let members = self.peers.limit_members();
        let own = self.peers.own_address();
        let home = self.with_exchange(queue, |it, now_ms| it.home(&members, now_ms));
        if home == own {
            self.give_out(queue, &states, &members).await;
        } else {
            self.ask(queue, home, &states).await;
        }
        true
    }

    fn with_exchange<R>(
        &self,
        queue: &ServiceQueue,
        with: impl FnOnce(&mut PermitCoordinator<Incarnation>, MonoMs) -> R,
    ) -> R {
        let service = queue.service();
        let now_ms = self.shared.clock.now_ms();
        let mut exchanges = self.exchanges.lock().expect("no holder panics");
        let exchange = exchanges
            .entry(Arc::clone(service))
            .or_insert_with(|| PermitCoordinator::new(self.peers.own_address(), service));
        with(exchange, now_ms)
    }

    /// This entry is home: it gives itself permits and tells the others.
    async fn give_out(
        &self,
        queue: &Arc<ServiceQueue>,
        states: &[(Incarnation, LimitState)],
        members: &Members,
    ) {
        let own = self.peers.own_address();
        let asked_ms = self.shared.clock.now_ms();
        let grants = self.grants(queue, own, &wishes(states), members);
        queue.on_permits(&grants.unwrap_or_default(), asked_ms);
        let limits = states.iter().map(|(of, state)| (of.clone(), state.limit));
        let told = self.with_exchange(queue, |it, now_ms| {
            it.peers_to_notify(limits.collect(), members, now_ms)
        });
        let question = self.question(queue, states, Vec::new());
        let question = &question;
        let tellings = told
            .into_iter()
            .map(|peer| self.tell(queue, peer, question));
        stream::iter(tellings)
            .buffer_unordered(TOLD_AT_ONCE)
            .collect::<()>()
            .await;
    }

    fn grants(
        &self,
        queue: &ServiceQueue,
        from: SocketAddr,
        wishes: &[PermitRequest<Incarnation>],
        members: &Members,
    ) -> Option<Vec<PermitGrant<Incarnation>>> {
        self.with_exchange(queue, |exchange, now_ms| {
            exchange.on_permit_requests(from, wishes, |of| queue.limit(of), members, now_ms)
        })
    }

    fn question(
        &self,
        queue: &ServiceQueue,
        states: &[(Incarnation, LimitState)],
        wishes: Vec<PermitRequest<Incarnation>>,
    ) -> LimitMessage<Incarnation> {
        LimitMessage {
            from: self.peers.own_address(),
            service: Arc::clone(queue.service()),
            reports: backpressure::reports(states, self.shared.clock.now_ms()),
            permit_requests: wishes,
        }
    }

    async fn tell(
        &self,
        queue: &Arc<ServiceQueue>,
        peer: SocketAddr,
        question: &LimitMessage<Incarnation>,
    ) {
        match self.call(peer, question).await {
            Ok(reply) => {
                self.with_exchange(queue, |it, now_ms| it.on_received(peer, now_ms));
                backpressure::learn(&self.shared, queue, &reply.reports);
            }
            // It is told again while it does not ask.
            Err(error) => self.note_unanswered(queue, peer, &error).await,
        }
    }

    async fn note_unanswered(&self, queue: &ServiceQueue, peer: SocketAddr, error: &CallError) {
        let how = match error {
            CallError::Status { .. } => RequestFailure::Refused,
            CallError::NotSent { .. } if is_refused(peer).await => RequestFailure::Refused,
            CallError::NotSent { .. } | CallError::Unknown { .. } => RequestFailure::NoReply,
        };
        self.with_exchange(queue, |it, now_ms| it.on_request_failed(peer, how, now_ms));
    }

    async fn ask(
        &self,
        queue: &Arc<ServiceQueue>,
        home: SocketAddr,
        states: &[(Incarnation, LimitState)],
    ) {
        let asked_ms = self.shared.clock.now_ms();
        let question = self.question(queue, states, wishes(states));
        match self.call(home, &question).await {
            Ok(reply) => {
                self.with_exchange(queue, |it, now_ms| it.on_received(home, now_ms));
                backpressure::learn(&self.shared, queue, &reply.reports);
                queue.on_permits(&reply.grants, asked_ms);
            }
            Err(error) => {
                log::info!(
                    service = &**queue.service(),
                    home:%,
                    reason:% = error;
                    "the home of the limits does not answer"
                );
                self.note_unanswered(queue, home, &error).await;
                self.shared.limits_changed.notify_one();
            }
        }
    }

    async fn call(
        &self,
        peer: SocketAddr,
        question: &LimitMessage<Incarnation>,
    ) -> Result<LimitReply<Incarnation>, CallError> {
        let kept = {
            let mut connections = self.connections.lock().expect("no holder panics");
            connections.swap_remove(&peer)
        };
        let mut connection = kept.unwrap_or_else(|| Connection::new(peer));
        let call = Call::post(LIMITS_PATH.to_owned(), question, ANSWER_TIMEOUT);
        let reply = connection.json(call).await?;
        let mut connections = self.connections.lock().expect("no holder panics");
        connections.insert(peer, connection);
        Ok(reply)
    }

    /// Answers a question, or takes news.
    pub(crate) async fn answer(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let Some(question) = serve::read_json::<LimitMessage<Incarnation>>(request).await else {
            let text = "send a question on limits in JSON, as another entry does";
            return serve::plain(StatusCode::BAD_REQUEST, text);
        };
        let Some(queue) = self.shared.known_queue(&question.service) else {
            return serve::json(&LimitReply::<Incarnation> {
                is_home: false,
                reports: Vec::new(),
                grants: Vec::new(),
            });
        };
        backpressure::learn(&self.shared, &queue, &question.reports);
        let members = self.peers.limit_members();
        let grants = self.grants(&queue, question.from, &question.permit_requests, &members);
        let states = queue.limit_states();
        serve::json(&LimitReply {
            is_home: grants.is_some(),
            reports: backpressure::reports(&states, self.shared.clock.now_ms()),
            grants: grants.unwrap_or_default(),
        })
    }
}

fn wishes(states: &[(Incarnation, LimitState)]) -> Vec<PermitRequest<Incarnation>> {
    let limited = states.iter().filter(|(_, state)| state.limit.is_some());
    let wishes = limited.map(|(target, state)| PermitRequest {
        target: target.clone(),
        requests: state.requested,
        held: Some(state.held),
    });
    wishes.collect()
}

/// Whether nobody listens there: a process that has ended, not a VM that is cut off.
async fn is_refused(address: SocketAddr) -> bool {
    let connecting = timeout(ANSWER_TIMEOUT, tokio::net::TcpStream::connect(address)).await;
    matches!(connecting, Ok(Err(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused)
}
