//! A stand-in for a target whose path can be cut. The kernel drops what arrives on its open
//! connections, without a word to the other side, so that TCP itself has to deal with the loss.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use socket2::{SockFilter, SockRef};
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::kv::KeyValueStandIn;
use crate::raw_target::{read_request, register};

/// The instruction "return a constant" of the kernel's packet filters. The constant is the number of
/// bytes of a packet to keep; 0 drops it.
const RETURN_CONSTANT: u16 = 0x06;

/// A target that runs each request until its connection closes, and never responds.
#[derive(Debug)]
pub struct CutOffTarget {
    address: SocketAddr,
    is_cut: watch::Sender<bool>,
    running: Arc<AtomicUsize>,
    server: JoinHandle<()>,
}

impl Drop for CutOffTarget {
    fn drop(&mut self) {
        self.server.abort();
    }
}

impl CutOffTarget {
    /// Starts a target whose path works.
    ///
    /// # Panics
    ///
    /// If no address is free.
    pub async fn start() -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await;
        let listener = listener.expect("an address is free");
        let address = listener.local_addr().expect("the listener has an address");
        let is_cut = watch::Sender::new(false);
        let running = Arc::new(AtomicUsize::new(0));
        let (states, counter) = (is_cut.clone(), Arc::clone(&running));
        let server = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(run(stream, states.subscribe(), Arc::clone(&counter)));
            }
        });
        Self {
            address,
            is_cut,
            running,
            server,
        }
    }

    /// Registers the target in the store.
    pub fn register(&self, store: &KeyValueStandIn, id: &str, service: &str) {
        register(store, id, service, self.address);
    }

    /// Drops what arrives on the open connections from now on.
    pub fn cut_path(&self) {
        self.is_cut.send_replace(true);
    }

    /// Lets packets arrive again.
    pub fn restore_path(&self) {
        self.is_cut.send_replace(false);
    }

    /// The number of requests whose connection is open.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.load(Ordering::SeqCst)
    }
}

async fn run(mut stream: TcpStream, mut is_cut: watch::Receiver<bool>, running: Arc<AtomicUsize>) {
    if read_request(&mut stream).await.is_err() {
        return;
    }
    running.fetch_add(1, Ordering::SeqCst);
    let mut rest = [0; 256];
    let mut is_filtered = false;
    loop {
        tokio::select! {
            read = stream.read(&mut rest) => match read {
                Ok(0) | Err(_) => break,
                Ok(_) => {}
            },
            changed = is_cut.changed() => {
                let is_cut = *is_cut.borrow_and_update();
                match changed {
                    Ok(()) if is_cut != is_filtered => set_filter(&stream, is_cut),
                    Ok(()) => {}
                    Err(_) => break,
                }
                is_filtered = is_cut;
            }
        }
    }
    running.fetch_sub(1, Ordering::SeqCst);
}

/// Sets or removes a filter that drops all packets.
fn set_filter(stream: &TcpStream, is_filtered: bool) {
    let socket = SockRef::from(stream);
    let result = if is_filtered {
        socket.attach_filter(&[SockFilter::new(RETURN_CONSTANT, 0, 0, 0)])
    } else {
        socket.detach_filter()
    };
    result.expect("the kernel filters packets");
}
