//! The connection to one agent.
//!
//! A link connects, keeps the connection alive and reconnects. Requests register for the frames
//! about them; when the connection is lost, their channels are closed, by which they detect the
//! loss. A frame about a request that is not registered is dropped and counted.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use berylhook_core::ids::{Incarnation, RequestId};
use berylhook_core::liveness::{LinkHealth, LivenessAction, LivenessConfig, redial_delay_ms};
use berylhook_core::time::MonoMs;
use berylhook_peer::proto::frame::Kind;
use berylhook_peer::proto::{Frame, GoAway, Ping, Pong};
use berylhook_peer::{
    FrameReader, FrameWriter, PeerConnection, PeerError, compare_versions, digest, frame,
    request_id,
};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::time::timeout;

use super::catalogue::OfferedDocument;
use super::control::CatalogueUpdate;
use super::node::{Node, lock};

const DIAL_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval of health checks on a connection.
const HEALTH_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum number of frames in one record.
const MAX_BATCH_FRAMES: usize = 256;

/// Events that a link reports to its owner.
pub(crate) trait LinkEvents: Send + Sync {
    /// The connection came up or was lost.
    fn on_connected(&self, connected: bool);

    /// The agent replied to a ping.
    fn on_pong(&self, pong: &Pong);
}

/// One agent and the connection to it.
pub(crate) struct Link {
    pub(crate) agent: Arc<str>,
    pub(crate) address: SocketAddr,
    connection: watch::Sender<Option<Arc<Connection>>>,
    receivers: Mutex<HashMap<RequestId, mpsc::UnboundedSender<Kind>>>,
    closed: watch::Sender<bool>,
}

/// An established connection.
pub(crate) struct Connection {
    pub(crate) incarnation: Incarnation,
    outgoing: mpsc::UnboundedSender<Frame>,
    /// The agent's clock minus this process's at the last reply to a ping.
    agent_clock_offset_ms: AtomicU64,
    last_received_ms: AtomicU64,
}

/// A request's registration for frames, which ends when dropped.
pub(crate) struct Registration {
    link: Arc<Link>,
    id: RequestId,
    pub(crate) frames: mpsc::UnboundedReceiver<Kind>,
}

impl Drop for Registration {
    fn drop(&mut self) {
        lock(&self.link.receivers).remove(&self.id);
    }
}

impl Connection {
    pub(crate) fn send(&self, id: RequestId, kind: Kind) -> bool {
        self.outgoing.send(frame(id, kind)).is_ok()
    }

    /// The agent's clock `within_ms` from now, for a start deadline.
    pub(crate) fn start_by_ms(&self, now_ms: MonoMs, within_ms: u64) -> u64 {
        let offset_ms = self.agent_clock_offset_ms.load(Ordering::Relaxed);
        now_ms.0.wrapping_add(offset_ms).wrapping_add(within_ms)
    }
}

impl Link {
    pub(crate) fn new(agent: Arc<str>, address: SocketAddr) -> Arc<Self> {
        Arc::new(Self {
            agent,
            address,
            connection: watch::Sender::new(None),
            receivers: Mutex::new(HashMap::new()),
            closed: watch::Sender::new(false),
        })
    }

    /// The connection, if it is up.
    pub(crate) fn connection(&self) -> Option<Arc<Connection>> {
        self.connection.borrow().clone()
    }

    /// Waits until the agent is connected, for at most `max_wait`.
    pub(crate) async fn wait_connected(&self, max_wait: Duration) -> Option<Arc<Connection>> {
        let mut connection = self.connection.subscribe();
        let up = connection.wait_for(Option::is_some);
        match timeout(max_wait, up).await {
            Ok(Ok(connection)) => connection.clone(),
            _ => None,
        }
    }

    /// Registers for the frames about a request.
    pub(crate) fn register(self: &Arc<Self>, id: RequestId) -> Registration {
        let (sender, frames) = mpsc::unbounded_channel();
        lock(&self.receivers).insert(id, sender);
        Registration {
            link: Arc::clone(self),
            id,
            frames,
        }
    }

    /// Closes the link; requests still on it lose their connection.
    pub(crate) fn close(&self) {
        self.closed.send_replace(true);
    }

    /// Whether no request is registered.
    pub(crate) fn is_idle(&self) -> bool {
        lock(&self.receivers).is_empty()
    }

    /// Connects and reconnects until the link is closed.
    pub(crate) async fn run(self: Arc<Self>, node: Arc<Node>, events: Arc<dyn LinkEvents>) {
        let mut closed = self.closed.subscribe();
        tokio::select! {
            () = self.keep_connected(&node, &events) => {}
            _ = closed.wait_for(|closed| *closed) => {}
        }
        self.on_connection_lost(&events);
    }

    async fn keep_connected(&self, node: &Arc<Node>, events: &Arc<dyn LinkEvents>) {
        let config = LivenessConfig::default();
        let mut attempt = 0;
        loop {
            match self.dial(node).await {
                Ok(peer) => {
                    attempt = 0;
                    let error = self.run_connection(node, events, peer).await;
                    self.on_connection_lost(events);
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

    /// Sends and receives frames until the connection is lost.
    async fn run_connection(
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
            agent_clock_offset_ms: AtomicU64::new(0),
            last_received_ms: AtomicU64::new(node.now_ms().0),
        });
        send_digest(node, &connection);
        send_ping(node, &connection);
        tokio::select! {
            error = self.read_loop(node, events, &connection, &mut reader) => error,
            error = write_loop(writer, queue) => error,
            () = self.watch_health(node, &connection) => {
                node.counters.silent_links.fetch_add(1, Ordering::Relaxed);
                std::io::Error::from(std::io::ErrorKind::TimedOut).into()
            }
            () = Self::send_digest_on_change(node, &connection) => {
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
                        .last_received_ms
                        .store(node.now_ms().0, Ordering::Relaxed);
                    for received in frames {
                        if let Some(Kind::GoAway(go_away)) = received.kind {
                            self.on_go_away(go_away);
                            return std::io::Error::from(std::io::ErrorKind::ConnectionAborted)
                                .into();
                        }
                        self.on_frame(node, events, connection, received);
                    }
                }
                Err(error) => return error,
            }
        }
    }

    fn on_frame(
        &self,
        node: &Arc<Node>,
        events: &Arc<dyn LinkEvents>,
        connection: &Arc<Connection>,
        received: Frame,
    ) {
        let id = request_id(&received);
        match received.kind {
            Some(Kind::Pong(pong)) => self.on_pong(node, events, connection, &pong),
            Some(Kind::DigestAnswer(reply)) => {
                let documents = Arc::clone(&node.snapshot.load().documents);
                let comparison = compare_versions(&documents, &reply);
                let origin = node.issue_id();
                if !comparison.offer.documents.is_empty() {
                    connection.send(origin, Kind::Catalogue(comparison.offer));
                }
                connection.send(origin, Kind::Want(comparison.want));
            }
            Some(Kind::Catalogue(catalogue)) => {
                let documents = catalogue.documents.iter();
                node.send_update(CatalogueUpdate {
                    source: Arc::clone(&self.agent),
                    documents: documents
                        .filter_map(OfferedDocument::from_message)
                        .collect(),
                });
            }
            Some(kind) => {
                let is_delivered = match lock(&self.receivers).get(&id) {
                    Some(receiver) => receiver.send(kind).is_ok(),
                    None => false,
                };
                if !is_delivered {
                    node.counters.dropped_frames.fetch_add(1, Ordering::Relaxed);
                }
            }
            None => log::warn!("agent {} sent an empty frame; it is ignored", self.agent),
        }
    }

    /// Tells the requests of this connection that the agent runs none of them any more.
    fn on_go_away(&self, go_away: GoAway) {
        log::info!("agent {} is going away", self.agent);
        for receiver in lock(&self.receivers).values() {
            // A request that no longer listens has ended.
            let _ = receiver.send(Kind::GoAway(go_away));
        }
    }

    fn on_pong(
        &self,
        node: &Arc<Node>,
        events: &Arc<dyn LinkEvents>,
        connection: &Arc<Connection>,
        pong: &Pong,
    ) {
        let offset_ms = pong.agent_now_ms.wrapping_sub(node.now_ms().0);
        connection
            .agent_clock_offset_ms
            .store(offset_ms, Ordering::Relaxed);
        // Run commands carry deadlines on the agent's clock, which is known only from the first
        // pong.
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

    fn on_connection_lost(&self, events: &Arc<dyn LinkEvents>) {
        self.connection.send_replace(None);
        events.on_connected(false);
        lock(&self.receivers).clear();
    }

    /// Sends pings; returns when nothing has been received for too long.
    async fn watch_health(&self, node: &Arc<Node>, connection: &Connection) {
        let mut health = LinkHealth::new(LivenessConfig::default(), node.now_ms());
        loop {
            tokio::time::sleep(HEALTH_CHECK_INTERVAL).await;
            health.on_received(MonoMs(connection.last_received_ms.load(Ordering::Relaxed)));
            match health.check(self.is_idle(), node.now_ms()) {
                LivenessAction::Wait => {}
                LivenessAction::Ping => send_ping(node, connection),
                LivenessAction::Reconnect => return,
            }
        }
    }

    /// Sends the agent a digest after every change of the catalogue.
    async fn send_digest_on_change(node: &Arc<Node>, connection: &Connection) {
        let mut published = node.published.subscribe();
        let mut last_sent = *node.snapshot.load().documents.summary();
        while published.changed().await.is_ok() {
            let summary = *node.snapshot.load().documents.summary();
            if summary != last_sent {
                last_sent = summary;
                send_digest(node, connection);
            }
        }
    }
}

fn send_digest(node: &Node, connection: &Connection) {
    let documents = Arc::clone(&node.snapshot.load().documents);
    connection.send(node.issue_id(), Kind::Digest(digest(&documents)));
}

fn send_ping(node: &Node, connection: &Connection) {
    let sent_ms = node.now_ms().0;
    connection.send(node.issue_id(), Kind::Ping(Ping { sent_ms }));
}

async fn write_loop(
    mut writer: FrameWriter,
    mut queue: mpsc::UnboundedReceiver<Frame>,
) -> PeerError {
    let mut frames = Vec::new();
    while queue.recv_many(&mut frames, MAX_BATCH_FRAMES).await > 0 {
        if let Err(error) = writer.send(&mut frames).await {
            return error;
        }
    }
    std::io::Error::from(std::io::ErrorKind::BrokenPipe).into()
}
