//! The connections of clients, and the choice of which one is closed for a new one.
//!
//! Once there are as many connections as allowed, a new one takes the place of one that carries no
//! complete request: the one that has been without progress for the longest time. A connection whose
//! client has had a response is kept as long as others that have had none can be closed, unless these
//! have just been opened. A connection with a complete request is never closed.

use std::pin::pin;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use tokio::sync::Notify;

/// Time that a new client has to send a request before it is closed for a client that has had a
/// response.
const NEW_CLIENT_GRACE: Duration = Duration::from_secs(1);

/// Where a connection is between two requests and their responses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// No byte of a request has arrived.
    Idle,
    /// The head of a request is not complete.
    Head,
    /// The body of a request is not complete.
    Body,
    /// A complete request is served, or its response is sent.
    Request,
    /// The last response was sent before the end of its request, the rest of which is discarded.
    Lingering,
}

/// Why a connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseCause {
    /// Another connection takes its place.
    Replaced,
    /// All places are taken by connections with complete requests.
    NoPlace,
}

impl CloseCause {
    /// The name in logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Replaced => "replaced",
            Self::NoPlace => "no-place",
        }
    }
}

/// Number of connections by phase.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PhaseCounts {
    /// Connections without a byte of a request.
    pub idle: usize,
    /// Connections with an incomplete head.
    pub head: usize,
    /// Connections with an incomplete body.
    pub body: usize,
    /// Connections with a complete request.
    pub request: usize,
    /// Connections whose rest is discarded.
    pub lingering: usize,
}

/// The connections of a listener.
#[derive(Debug)]
pub struct ConnectionTable {
    state: Mutex<State>,
    /// Notified when a connection that was about to be closed is closed or kept.
    closing_ended: Notify,
}

#[derive(Debug)]
struct State {
    max_connections: usize,
    connections: IndexMap<ConnectionId, Connection>,
    /// Connections that are about to be closed.
    closing_count: usize,
    next_id: ConnectionId,
}

type ConnectionId = u64;

#[derive(Debug)]
struct Connection {
    phase: Phase,
    /// When the phase began, or its request last made progress.
    progress_at: Instant,
    has_had_response: bool,
    /// Whether the last request was answered before its end.
    has_unread_body: bool,
    closed: Arc<Notify>,
    is_closing: bool,
}

impl Connection {
    /// The order in which connections are closed; `None` for those that are kept.
    fn close_order(&self, now: Instant) -> Option<(u8, Instant)> {
        let age = now.saturating_duration_since(self.progress_at);
        let class = match self.phase {
            _ if self.is_closing => return None,
            Phase::Request => return None,
            Phase::Lingering => 0,
            _ if self.has_had_response => 2,
            _ if age >= NEW_CLIENT_GRACE => 1,
            _ => 3,
        };
        Some((class, self.progress_at))
    }
}

impl ConnectionTable {
    /// Creates a table of at most `max_connections`.
    #[must_use]
    pub fn new(max_connections: usize) -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::new(State {
                max_connections,
                connections: IndexMap::new(),
                closing_count: 0,
                next_id: 0,
            }),
            closing_ended: Notify::new(),
        })
    }

    /// Changes the number of connections. Those beyond it that carry no complete request are closed.
    pub fn set_max_connections(&self, max_connections: usize, now: Instant) {
        let mut state = self.lock();
        state.max_connections = max_connections;
        while state.open_count() > max_connections && state.close_one(now) {}
    }

    /// Adds a connection, in place of another one if necessary.
    ///
    /// # Errors
    ///
    /// If all connections carry complete requests.
    pub fn open(self: &Arc<Self>, now: Instant) -> Result<ConnectionGuard, CloseCause> {
        let mut state = self.lock();
        if state.open_count() >= state.max_connections && !state.close_one(now) {
            return Err(CloseCause::NoPlace);
        }
        let id = state.next_id;
        state.next_id += 1;
        let closed = Arc::new(Notify::new());
        let connection = Connection {
            phase: Phase::Idle,
            progress_at: now,
            has_had_response: false,
            has_unread_body: false,
            closed: Arc::clone(&closed),
            is_closing: false,
        };
        state.connections.insert(id, connection);
        Ok(ConnectionGuard {
            table: Arc::clone(self),
            id,
            closed,
        })
    }

    /// Closes a connection without a complete request, as descriptors have run out; returns whether
    /// there was one.
    pub fn close_one(&self, now: Instant) -> bool {
        self.lock().close_one(now)
    }

    /// Waits until the connections that were replaced have closed their sockets, so that these do not
    /// add up while many connections are accepted at once.
    pub async fn until_replaced(&self) {
        loop {
            let mut closing_ended = pin!(self.closing_ended.notified());
            // Registered before the check, so that no end is missed.
            closing_ended.as_mut().enable();
            if self.lock().closing_count == 0 {
                return;
            }
            closing_ended.await;
        }
    }

    /// The number of connections by phase.
    #[must_use]
    pub fn counts(&self) -> PhaseCounts {
        let mut counts = PhaseCounts::default();
        for connection in self.lock().connections.values() {
            *match connection.phase {
                Phase::Idle => &mut counts.idle,
                Phase::Head => &mut counts.head,
                Phase::Body => &mut counts.body,
                Phase::Request => &mut counts.request,
                Phase::Lingering => &mut counts.lingering,
            } += 1;
        }
        counts
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }
}

impl State {
    fn open_count(&self) -> usize {
        self.connections.len() - self.closing_count
    }

    fn close_one(&mut self, now: Instant) -> bool {
        let closable = self.connections.values_mut().filter_map(|connection| {
            let order = connection.close_order(now)?;
            Some((order, connection))
        });
        let Some((_, connection)) = closable.min_by_key(|(order, _)| *order) else {
            return false;
        };
        connection.is_closing = true;
        connection.closed.notify_one();
        self.closing_count += 1;
        true
    }
}

/// A connection's place in the table, until this is dropped.
#[derive(Debug)]
pub struct ConnectionGuard {
    table: Arc<ConnectionTable>,
    id: ConnectionId,
    closed: Arc<Notify>,
}

impl ConnectionGuard {
    /// Waits until the connection has to be closed. One whose request has become complete meanwhile
    /// is kept.
    pub async fn until_closed(&self) {
        loop {
            self.closed.notified().await;
            if !self.keep_with_request() {
                return;
            }
        }
    }

    /// Revokes the closing of a connection with a complete request; returns whether it has one.
    fn keep_with_request(&self) -> bool {
        let mut state = self.table.lock();
        let connection = &mut state.connections[&self.id];
        let is_kept = connection.phase == Phase::Request;
        if is_kept {
            connection.is_closing = false;
            state.closing_count -= 1;
            drop(state);
            self.table.closing_ended.notify_waiters();
        }
        is_kept
    }

    /// The phase of the connection.
    #[must_use]
    pub fn phase(&self) -> Phase {
        self.table.lock().connections[&self.id].phase
    }

    /// Records that a phase begins.
    pub fn set_phase(&self, phase: Phase, now: Instant) {
        let mut state = self.table.lock();
        let connection = &mut state.connections[&self.id];
        connection.has_unread_body &= phase != Phase::Body;
        connection.phase = phase;
        connection.progress_at = now;
    }

    /// Records that bytes have arrived; they may begin a request.
    pub fn on_bytes(&self, now: Instant) {
        let mut state = self.table.lock();
        let connection = &mut state.connections[&self.id];
        if connection.phase == Phase::Idle {
            connection.phase = Phase::Head;
            connection.progress_at = now;
        }
    }

    /// Records that the body of the request makes progress.
    pub fn on_progress(&self, now: Instant) {
        self.table.lock().connections[&self.id].progress_at = now;
    }

    /// Records that the request is answered although its body was not read to its end.
    pub fn on_unread_body(&self) {
        self.table.lock().connections[&self.id].has_unread_body = true;
    }

    /// Whether the last request was answered although its body was not read to its end.
    #[must_use]
    pub fn has_unread_body(&self) -> bool {
        self.table.lock().connections[&self.id].has_unread_body
    }

    /// Records that the response has ended.
    pub fn on_response_end(&self, now: Instant) {
        let mut state = self.table.lock();
        let connection = &mut state.connections[&self.id];
        connection.has_had_response = true;
        connection.phase = Phase::Idle;
        connection.progress_at = now;
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        let mut state = self.table.lock();
        let connection = state.connections.swap_remove(&self.id);
        if connection.is_some_and(|connection| connection.is_closing) {
            state.closing_count -= 1;
            drop(state);
            self.table.closing_ended.notify_waiters();
        }
    }
}
