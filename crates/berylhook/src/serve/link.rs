//! The connection to one agent.
//!
//! A link dials, keeps the connection alive, and redials. Requests register
//! for the frames about them; when the connection is lost their channels
//! close, which is how they notice. A frame nobody is registered for is late
//! or foreign: it is dropped and counted.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use berylhook_core::ids::{Incarnation, RequestId};
use berylhook_core::liveness::{LinkHealth, LivenessAction, LivenessConfig, redial_delay_ms};
use berylhook_core::time::MonoMs;
use berylhook_peer::proto::frame::Kind;
use berylhook_peer::proto::{Frame, Ping, Pong};
use berylhook_peer::{
    FrameReader, FrameWriter, PeerConnection, PeerError, compare_versions, digest, frame,
    request_id,
};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::time::timeout;

use super::catalogue::OfferedDocument;
use super::control::Told;
use super::node::{Node, lock};

const DIAL_TIMEOUT: Duration = Duration::from_secs(1);

/// How often a link looks at its health.
const CHECK_EVERY: Duration = Duration::from_millis(100);

/// Frames taken into one record.
const BATCH_FRAMES: usize = 256;

/// What a link tells its owner.
pub(crate) trait LinkEvents: Send + Sync {
    /// The connection came up or was lost.
    fn on_connected(&self, connected: bool);

    /// The agent answered a ping.
    fn on_pong(&self, pong: &Pong);
}

/// One agent and the connection to it.
pub(crate) struct Link {
    pub(crate) agent: Arc<str>,
    pub(crate) address: SocketAddr,
    connection: watch::Sender<Option<Arc<Connection>>>,
    waiting: Mutex<HashMap<RequestId, mpsc::UnboundedSender<Kind>>>,
    closed: watch::Sender<bool>,
}

/// A connection that is up.
pub(crate) struct Connection {
    pub(crate) incarnation: Incarnation,
    outgoing: mpsc::UnboundedSender<Frame>,
    /// The agent's clock minus ours at the last answer to a ping.
    agent_ahead_ms: AtomicU64,
    heard_ms: AtomicU64,
}

/// A request's place among those waiting for frames.
pub(crate) struct Registration {
    link: Arc<Link>,
    id: RequestId,
    pub(crate) frames: mpsc::UnboundedReceiver<Kind>,
}

impl Drop for Registration {
    fn drop(&mut self) {
        lock(&self.link.waiting).remove(&self.id);
    }
}

impl Connection {
    pub(crate) fn send(&self, id: RequestId, kind: Kind) -> bool {
        self.outgoing.send(frame(id, kind)).is_ok()
    }

    /// A start deadline `within_ms` from now on the agent's own clock.
    pub(crate) fn start_by_ms(&self, now_ms: MonoMs, within_ms: u64) -> u64 {
        let ahead_ms = self.agent_ahead_ms.load(Ordering::Relaxed);
        now_ms.0.wrapping_add(ahead_ms).wrapping_add(within_ms)
    }
}

impl Link {
    pub(crate) fn new(agent: Arc<str>, address: SocketAddr) -> Arc<Self> {
        Arc::new(Self {
            agent,
            address,
            connection: watch::Sender::new(None),
            waiting: Mutex::new(HashMap::new()),
            closed: watch::Sender::new(false),
        })
    }

    /// The connection, if it is up.
    pub(crate) fn connection(&self) -> Option<Arc<Connection>> {
        self.connection.borrow().clone()
    }

    /// Waits for a connection to be up.
    pub(crate) async fn connected(&self, bound: Duration) -> Option<Arc<Connection>> {
        let mut connection = self.connection.subscribe();
        let up = connection.wait_for(Option::is_some);
        match timeout(bound, up).await {
            Ok(Ok(connection)) => connection.clone(),
            _ => None,
        }
    }

    /// Registers for the frames about a request.
    pub(crate) fn register(self: &Arc<Self>, id: RequestId) -> Registration {
        let (sender, frames) = mpsc::unbounded_channel();
        lock(&self.waiting).insert(id, sender);
        Registration {
            link: Arc::clone(self),
            id,
            frames,
        }
    }

    /// Ends the link; requests still on it lose their connection.
    pub(crate) fn close(&self) {
        self.closed.send_replace(true);
    }

    /// Whether any request waits for frames.
    pub(crate) fn is_idle(&self) -> bool {
        lock(&self.waiting).is_empty()
    }

    /// Dials and redials until closed.
    pub(crate) async fn run(self: Arc<Self>, node: Arc<Node>, events: Arc<dyn LinkEvents>) {
        let mut closed = self.closed.subscribe();
        tokio::select! {
            () = self.keep_connected(&node, &events) => {}
            _ = closed.wait_for(|closed| *closed) => {}
        }
        self.lost(&events);
    }

    async fn keep_connected(&self, node: &Arc<Node>, events: &Arc<dyn LinkEvents>) {
        let config = LivenessConfig::default();
        let mut attempt = 0;
        loop {
            match self.dial(node).await {
                Ok(peer) => {
                    attempt = 0;
                    let error = self.converse(node, events, peer).await;
                    self.lost(events);
                    log::info!("agent {} has disconnected: {error}", self.agent);
                }
                Err(error) => log::debug!("agent {} cannot be reached: {error}", self.agent),
            }
            let wait_ms = redial_delay_ms(&config, attempt, rand::random());
            attempt += 1;
            tokio::time::sleep(Duration::from_millis(wait_ms)).await;
        }
    }

    async fn dial(&self, node: &Node) -> Result<PeerConnection, PeerError> {
        let stream = match timeout(DIAL_TIMEOUT, TcpStream::connect(self.address)).await {
            Ok(connected) => connected?,
            Err(_) => return Err(std::io::Error::from(std::io::ErrorKind::TimedOut).into()),
        };
        let name = &node.settings.node.name;
        berylhook_peer::connect(stream, &node.keys, name, node.incarnation).await
    }

    /// Carries frames until the connection is lost.
    async fn converse(
        &self,
        node: &Arc<Node>,
        events: &Arc<dyn LinkEvents>,
        peer: PeerConnection,
    ) -> PeerError {
        let incarnation = peer.incarnation;
        let (mut reader, writer) = berylhook_peer::split(peer);
        let (outgoing, queue) = mpsc::unbounded_channel();
        let connection = Arc::new(Connection {
            incarnation,
            outgoing,
            agent_ahead_ms: AtomicU64::new(0),
            heard_ms: AtomicU64::new(node.now_ms().0),
        });
        send_digest(node, &connection);
        ping(node, &connection);
        tokio::select! {
            error = self.read_loop(node, events, &connection, &mut reader) => error,
            error = write_loop(writer, queue) => error,
            () = self.watch_health(node, &connection) => {
                node.counters.silent_links.fetch_add(1, Ordering::Relaxed);
                std::io::Error::from(std::io::ErrorKind::TimedOut).into()
            }
            () = Self::send_changes(node, &connection) => {
                std::io::Error::from(std::io::ErrorKind::Interrupted).into()
            }
        }
    }

    async fn read_loop(
        &self,
        node: &Arc<Node>,
        events: &Arc<dyn LinkEvents>,
        connection: &Arc<Connection>,
        reader: &mut FrameReader,
    ) -> PeerError {
        loop {
            match reader.next().await {
                Ok(frames) => {
                    connection
                        .heard_ms
                        .store(node.now_ms().0, Ordering::Relaxed);
                    for received in frames {
                        self.handle(node, events, connection, received);
                    }
                }
                Err(error) => return error,
            }
        }
    }

    fn handle(
        &self,
        node: &Arc<Node>,
        events: &Arc<dyn LinkEvents>,
        connection: &Arc<Connection>,
        received: Frame,
    ) {
        let id = request_id(&received);
        match received.kind {
            Some(Kind::Pong(pong)) => self.on_pong(node, events, connection, &pong),
            Some(Kind::DigestAnswer(told)) => {
                let documents = Arc::clone(&node.snapshot.load().documents);
                let comparison = compare_versions(&documents, &told);
                let origin = node.issue_id();
                if !comparison.offer.documents.is_empty() {
                    connection.send(origin, Kind::Catalogue(comparison.offer));
                }
                connection.send(origin, Kind::Want(comparison.want));
            }
            Some(Kind::Catalogue(told)) => {
                let documents = told.documents.iter();
                node.offer(Told {
                    source: Arc::clone(&self.agent),
                    documents: documents
                        .filter_map(OfferedDocument::from_message)
                        .collect(),
                });
            }
            Some(kind) => {
                let is_taken = match lock(&self.waiting).get(&id) {
                    Some(waiting) => waiting.send(kind).is_ok(),
                    None => false,
                };
                if !is_taken {
                    node.counters.dropped_frames.fetch_add(1, Ordering::Relaxed);
                }
            }
            None => log::warn!("agent {} sent an empty frame; it is ignored", self.agent),
        }
    }

    fn on_pong(
        &self,
        node: &Arc<Node>,
        events: &Arc<dyn LinkEvents>,
        connection: &Arc<Connection>,
        pong: &Pong,
    ) {
        let ahead_ms = pong.agent_now_ms.wrapping_sub(node.now_ms().0);
        connection.agent_ahead_ms.store(ahead_ms, Ordering::Relaxed);
        // Only now is the agent's clock known, so only now can it get orders.
        if self.connection.borrow().is_none() {
            log::info!(
                "agent {} incarnation {} is connected",
                self.agent,
                connection.incarnation
            );
            self.connection.send_replace(Some(Arc::clone(connection)));
            events.on_connected(true);
        }
        events.on_pong(pong);
    }

    fn lost(&self, events: &Arc<dyn LinkEvents>) {
        self.connection.send_replace(None);
        events.on_connected(false);
        lock(&self.waiting).clear();
    }

    /// Pings; ends when the connection has been silent for too long.
    async fn watch_health(&self, node: &Arc<Node>, connection: &Connection) {
        let mut health = LinkHealth::new(LivenessConfig::default(), node.now_ms());
        loop {
            tokio::time::sleep(CHECK_EVERY).await;
            health.on_received(MonoMs(connection.heard_ms.load(Ordering::Relaxed)));
            match health.check(self.is_idle(), node.now_ms()) {
                LivenessAction::Wait => {}
                LivenessAction::Ping => ping(node, connection),
                LivenessAction::Reconnect => return,
            }
        }
    }

    /// Tells the agent of every change of the catalogue.
    async fn send_changes(node: &Arc<Node>, connection: &Connection) {
        let mut published = node.published.subscribe();
        let mut told = *node.snapshot.load().documents.summary();
        while published.changed().await.is_ok() {
            let summary = *node.snapshot.load().documents.summary();
            if summary != told {
                told = summary;
                send_digest(node, connection);
            }
        }
    }
}

fn send_digest(node: &Node, connection: &Connection) {
    let documents = Arc::clone(&node.snapshot.load().documents);
    connection.send(node.issue_id(), Kind::Digest(digest(&documents)));
}

fn ping(node: &Node, connection: &Connection) {
    let sent_ms = node.now_ms().0;
    connection.send(node.issue_id(), Kind::Ping(Ping { sent_ms }));
}

async fn write_loop(
    mut writer: FrameWriter,
    mut queue: mpsc::UnboundedReceiver<Frame>,
) -> PeerError {
    let mut frames = Vec::new();
    while queue.recv_many(&mut frames, BATCH_FRAMES).await > 0 {
        if let Err(error) = writer.send(&mut frames).await {
            return error;
        }
    }
    std::io::Error::from(std::io::ErrorKind::BrokenPipe).into()
}
