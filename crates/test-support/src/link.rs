//! A TCP forwarder that can be cut, frozen or slowed, for what happens
//! between two processes.

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

/// What happens to connections through the link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// They work.
    #[default]
    None,
    /// Open connections are closed and new ones refused.
    Cut,
    /// Connections that are open at this moment carry nothing any more and
    /// stay open; new ones work.
    FreezeOpen,
    /// Nothing gets through on any connection; all stay open.
    FreezeAll,
    /// Answers do not get through; what the dialling side sends does.
    FreezeResponses,
    /// Everything gets through late.
    Delay,
}

/// How late what a delayed link carries arrives.
const DELAY: Duration = Duration::from_millis(60);

/// Time between two looks at whether somebody listens again.
const LOOK_EVERY: Duration = Duration::from_millis(20);

/// A running forwarder; it stops when dropped. While nobody listens behind it, nobody
/// listens here, as on a way without a forwarder.
pub struct Link {
    /// Where to connect instead of the real address.
    pub address: SocketAddr,
    fault: Arc<watch::Sender<State>>,
    task: JoinHandle<()>,
}

#[derive(Clone, Copy, Default)]
struct State {
    fault: Fault,
    /// Connections numbered below this are frozen.
    frozen_below: u64,
    accepted: u64,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    Question,
    Answer,
}

impl Link {
    /// Forwards a free port to `to`.
    pub async fn start(to: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a loopback port is free");
        let address = listener
            .local_addr()
            .expect("a bound socket has an address");
        let fault = Arc::new(watch::Sender::new(State::default()));
        let task = tokio::spawn(accept_loop(listener, to, Arc::clone(&fault)));
        Self {
            address,
            fault,
            task,
        }
    }

    /// Changes what happens from now on.
    pub fn set_fault(&self, fault: Fault) {
        self.fault.send_modify(|state| {
            state.fault = fault;
            match fault {
                Fault::FreezeOpen => state.frozen_below = state.accepted,
                // What was held back arrives now, late.
                Fault::None => state.frozen_below = 0,
                _ => {}
            }
        });
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
        self.fault.send_modify(|state| state.fault = Fault::Cut);
    }
}

async fn accept_loop(listener: TcpListener, to: SocketAddr, fault: Arc<watch::Sender<State>>) {
    let address = listener
        .local_addr()
        .expect("a bound socket has an address");
    let mut listener = Some(listener);
    let ended = Arc::new(AtomicBool::new(false));
    loop {
        if ended.load(Ordering::SeqCst) {
            drop(listener.take());
            tokio::time::sleep(LOOK_EVERY).await;
            ended.store(TcpStream::connect(to).await.is_err(), Ordering::SeqCst);
            continue;
        }
        let open = match listener.take() {
            Some(open) => open,
            None => match TcpListener::bind(address).await {
                Ok(open) => open,
                Err(_) => continue,
            },
        };
        let open = listener.insert(open);
        let accepted = timeout(LOOK_EVERY, open.accept()).await;
        let Ok(Ok((near, _))) = accepted else {
            continue;
        };
        if fault.borrow().fault == Fault::Cut {
            continue;
        }
        let mut number = 0;
        fault.send_modify(|state| {
            number = state.accepted;
            state.accepted += 1;
        });
        let states = fault.subscribe();
        let ended = Arc::clone(&ended);
        tokio::spawn(async move {
            match TcpStream::connect(to).await {
                Ok(far) => forward(near, far, number, states).await,
                Err(_) => ended.store(true, Ordering::SeqCst),
            }
        });
    }
}

async fn forward(near: TcpStream, far: TcpStream, number: u64, states: watch::Receiver<State>) {
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let mut cut = states.clone();
    let question = pump(
        near_read,
        far_write,
        number,
        states.clone(),
        Direction::Question,
    );
    let answer = pump(far_read, near_write, number, states, Direction::Answer);
    tokio::select! {
        _ = cut.wait_for(|state| state.fault == Fault::Cut) => {}
        () = async { tokio::join!(question, answer); } => {}
    }
}

async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    number: u64,
    mut states: watch::Receiver<State>,
    direction: Direction,
) {
    let mut buffer = vec![0; 16 << 10];
    loop {
        let read = match from.read(&mut buffer).await {
            Ok(0) | Err(_) => return,
            Ok(read) => read,
        };
        let flows = |state: &State| !is_frozen(state, number, direction);
        if states.wait_for(flows).await.is_err() {
            return;
        }
        if states.borrow().fault == Fault::Delay {
            tokio::time::sleep(DELAY).await;
        }
        if to.write_all(&buffer[..read]).await.is_err() {
            return;
        }
    }
}

fn is_frozen(state: &State, number: u64, direction: Direction) -> bool {
    match state.fault {
        _ if number < state.frozen_below => true,
        Fault::FreezeAll => true,
        Fault::FreezeResponses => direction == Direction::Answer,
        _ => false,
    }
}
