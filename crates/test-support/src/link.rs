//! A TCP forwarder that cuts, freezes or delays connections, to inject network faults between two
//! processes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// A fault of all connections through a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// Connections work.
    #[default]
    None,
    /// Open connections are closed, and new ones are closed as soon as they are accepted.
    Cut,
    /// Connections that are open when the fault is set stay open but carry no more data; new ones
    /// work.
    FreezeOpen,
    /// All connections stay open but carry no data.
    FreezeAll,
    /// Data from the destination is held back; data from the connecting side is forwarded.
    FreezeResponses,
    /// Data is forwarded with a delay; see [`Link::set_delay`].
    Delay,
}

/// Delay of forwarded data under [`Fault::Delay`] unless another one is set.
const DEFAULT_DELAY: Duration = Duration::from_millis(60);

/// Interval at which the link checks whether the destination accepts connections again.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A running forwarder; it stops when dropped. While the destination refuses connections, the link
/// does not listen either, so that connecting fails as it would without a forwarder.
pub struct Link {
    /// Address to connect to in place of the destination.
    pub address: SocketAddr,
    state: Arc<watch::Sender<State>>,
    task: JoinHandle<()>,
}

#[derive(Clone, Copy)]
struct State {
    fault: Fault,
    /// Delay under [`Fault::Delay`].
    delay: Duration,
    /// Connections are numbered as they are accepted; those below this number are frozen.
    frozen_below: u64,
    accepted: u64,
}

impl Default for State {
    fn default() -> Self {
        Self {
            fault: Fault::None,
            delay: DEFAULT_DELAY,
            frozen_below: 0,
            accepted: 0,
        }
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    Request,
    Response,
}

impl Link {
    /// Forwards a free port to `destination`.
    pub async fn start(destination: SocketAddr) -> Self {
        let free = SocketAddr::from(([127, 0, 0, 1], 0));
        Self::start_at(free, destination).await
    }

    /// Forwards `listen` to `destination`.
    ///
    /// # Panics
    ///
    /// If `listen` is in use.
    pub async fn start_at(listen: SocketAddr, destination: SocketAddr) -> Self {
        let listener = TcpListener::bind(listen)
            .await
            .expect("the loopback port is free");
        let address = listener
            .local_addr()
            .expect("a bound socket has an address");
        let state = Arc::new(watch::Sender::new(State::default()));
        let task = tokio::spawn(accept_loop(listener, destination, Arc::clone(&state)));
        Self {
            address,
            state,
            task,
        }
    }

    /// Delays data in either direction by `delay` from now on.
    pub fn set_delay(&self, delay: Duration) {
        self.state.send_modify(|state| state.delay = delay);
        self.set_fault(Fault::Delay);
    }

    /// Sets the fault from now on.
    pub fn set_fault(&self, fault: Fault) {
        self.state.send_modify(|state| {
            state.fault = fault;
            match fault {
                Fault::FreezeOpen => state.frozen_below = state.accepted,
                // Data held back by a freeze is delivered late, from now on.
                Fault::None => state.frozen_below = 0,
                _ => {}
            }
        });
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
        self.state.send_modify(|state| state.fault = Fault::Cut);
    }
}

async fn accept_loop(
    listener: TcpListener,
    destination: SocketAddr,
    state: Arc<watch::Sender<State>>,
) {
    let address = listener
        .local_addr()
        .expect("a bound socket has an address");
    let mut listener = Some(listener);
    let is_server_down = Arc::new(AtomicBool::new(false));
    loop {
        if is_server_down.load(Ordering::SeqCst) {
            drop(listener.take());
            tokio::time::sleep(POLL_INTERVAL).await;
            is_server_down.store(
                TcpStream::connect(destination).await.is_err(),
                Ordering::SeqCst,
            );
            continue;
        }
        let listening = match listener.take() {
            Some(listening) => listening,
            None => match TcpListener::bind(address).await {
                Ok(listening) => listening,
                Err(_) => continue,
            },
        };
        let listening = listener.insert(listening);
        let accepted = timeout(POLL_INTERVAL, listening.accept()).await;
        let Ok(Ok((client, _))) = accepted else {
            continue;
        };
        if state.borrow().fault == Fault::Cut {
            continue;
        }
        let mut connection_id = 0;
        state.send_modify(|state| {
            connection_id = state.accepted;
            state.accepted += 1;
        });
        let states = state.subscribe();
        let is_server_down = Arc::clone(&is_server_down);
        tokio::spawn(async move {
            match TcpStream::connect(destination).await {
                Ok(server) => forward(client, server, connection_id, states).await,
                Err(_) => is_server_down.store(true, Ordering::SeqCst),
            }
        });
    }
}

async fn forward(
    client: TcpStream,
    server: TcpStream,
    connection_id: u64,
    states: watch::Receiver<State>,
) {
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let mut cut_states = states.clone();
    let requests = forward_direction(
        client_read,
        server_write,
        connection_id,
        states.clone(),
        Direction::Request,
    );
    let responses = forward_direction(
        server_read,
        client_write,
        connection_id,
        states,
        Direction::Response,
    );
    tokio::select! {
        _ = cut_states.wait_for(|state| state.fault == Fault::Cut) => {}
        () = async { tokio::join!(requests, responses); } => {}
    }
}

async fn forward_direction(
    mut from: OwnedReadHalf,
    mut destination: OwnedWriteHalf,
    connection_id: u64,
    mut states: watch::Receiver<State>,
    direction: Direction,
) {
    let mut buffer = vec![0; 16 << 10];
    loop {
        let length = match from.read(&mut buffer).await {
            Ok(0) | Err(_) => return,
            Ok(length) => length,
        };
        let may_forward = |state: &State| !is_frozen(state, connection_id, direction);
        if states.wait_for(may_forward).await.is_err() {
            return;
        }
        let State { fault, delay, .. } = *states.borrow();
        if fault == Fault::Delay {
            tokio::time::sleep(delay).await;
        }
        if destination.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}

fn is_frozen(state: &State, connection_id: u64, direction: Direction) -> bool {
    match state.fault {
        _ if connection_id < state.frozen_below => true,
        Fault::FreezeAll => true,
        Fault::FreezeResponses => direction == Direction::Response,
        _ => false,
    }
}
