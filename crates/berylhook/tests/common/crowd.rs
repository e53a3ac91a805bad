//! Crowds of clients that keep to no limit, and what they make a process hold.

use std::fs;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use berylhook_test_support::Daemon;
use berylhook_test_support::calls::Caller;
use bytes::Bytes;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{Mutex, MutexGuard};
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{sleep, timeout};

use super::entry::API_KEY;

/// Longest time that a client waits to connect or to get rid of a piece. What the process does not
/// take in this time it has stopped reading.
const PATIENCE: Duration = Duration::from_secs(2);

const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

const BYTES_PER_KB: u64 = 1_024;

static TURN: Mutex<()> = Mutex::const_new(());

/// Waits for the test's turn: crowds of two tests would measure each other.
pub async fn take_turn() -> MutexGuard<'static, ()> {
    TURN.lock().await
}

/// What one client sends.
#[derive(Clone, Debug)]
pub struct Script {
    pieces: Vec<Bytes>,
    interval: Duration,
    returns: bool,
    closes: bool,
}

impl Script {
    /// A client that sends `pieces` as fast as they are taken, and then keeps its connection open
    /// without reading from it.
    pub fn new(pieces: Vec<Bytes>) -> Self {
        Self {
            pieces,
            interval: Duration::ZERO,
            returns: false,
            closes: false,
        }
    }

    /// Pauses between two pieces.
    pub fn with_interval(self, interval: Duration) -> Self {
        Self { interval, ..self }
    }

    /// Reads what the process sends, connects again as soon as its connection has ended, and starts
    /// over.
    pub fn returning(self) -> Self {
        Self {
            returns: true,
            ..self
        }
    }

    /// Closes the connection behind the last piece.
    pub fn closing(self) -> Self {
        Self {
            closes: true,
            ..self
        }
    }
}

/// Clients that run until the crowd is dropped.
pub struct Crowd {
    clients: JoinSet<()>,
    sent: Arc<AtomicU64>,
    size: u64,
}

impl Crowd {
    /// Starts `size` clients.
    pub fn start(size: u64, address: SocketAddr, script: &Script) -> Self {
        let sent = Arc::new(AtomicU64::new(0));
        let mut clients = JoinSet::new();
        for _ in 0..size {
            clients.spawn(run_client(address, script.clone(), Arc::clone(&sent)));
        }
        Self {
            clients,
            sent,
            size,
        }
    }

    /// Waits until each client has sent all that the process takes from it.
    pub async fn until_sent(&self) {
        while self.sent.load(Ordering::SeqCst) < self.size {
            sleep(SAMPLE_INTERVAL).await;
        }
    }

    /// Closes all connections.
    pub async fn close(mut self) {
        self.clients.shutdown().await;
    }
}

async fn run_client(address: SocketAddr, script: Script, sent: Arc<AtomicU64>) {
    let mut has_sent = false;
    loop {
        let connection = send_script(address, &script).await;
        if !has_sent {
            has_sent = true;
            sent.fetch_add(1, Ordering::SeqCst);
        }
        match connection {
            Some(connection) if !script.closes => until_closed(connection, &script).await,
            _ => {}
        }
        if !script.returns {
            std::future::pending::<()>().await;
        }
        sleep(SAMPLE_INTERVAL).await;
    }
}

/// Sends all pieces that the process takes; `None` if the connection has ended.
async fn send_script(address: SocketAddr, script: &Script) -> Option<TcpStream> {
    let connecting = timeout(PATIENCE, TcpStream::connect(address)).await;
    let mut connection = connecting.ok()?.ok()?;
    for piece in &script.pieces {
        match timeout(PATIENCE, connection.write_all(piece)).await {
            Ok(Ok(())) => sleep(script.interval).await,
            Ok(Err(_)) => return None,
            Err(_) => break,
        }
    }
    Some(connection)
}

/// Keeps the connection until the process has closed it.
async fn until_closed(mut connection: TcpStream, script: &Script) {
    let mut buffer = vec![0; 16 << 10];
    if !script.returns {
        std::future::pending::<()>().await;
    }
    while matches!(connection.read(&mut buffer).await, Ok(length) if length > 0) {}
}

/// The head of a request with the given lines.
pub fn head(path: &str, lines: &str) -> Bytes {
    head_for(API_KEY, path, lines)
}

/// The head of a request whose body has this length.
pub fn head_with_length(path: &str, body_bytes: usize) -> Bytes {
    head_with_length_for(API_KEY, path, body_bytes)
}

/// Like [`head`], under another key.
pub fn head_for(key: &str, path: &str, lines: &str) -> Bytes {
    Bytes::from(format!(
        "POST {path} HTTP/1.1\r\nhost: desk.example\r\nauthorization: Bearer {key}\r\n\
         berylhook-deadline-ms: 20000\r\n{lines}\r\n"
    ))
}

/// Like [`head_with_length`], under another key.
pub fn head_with_length_for(key: &str, path: &str, body_bytes: usize) -> Bytes {
    head_for(key, path, &format!("content-length: {body_bytes}\r\n"))
}

/// `total_bytes` of a body in pieces of `piece_bytes`.
pub fn body_pieces(total_bytes: usize, piece_bytes: usize) -> Vec<Bytes> {
    let piece = Bytes::from(vec![b'x'; piece_bytes]);
    let mut pieces = vec![piece.clone(); total_bytes / piece_bytes];
    pieces.push(piece.slice(..total_bytes % piece_bytes));
    pieces
}

/// `count` chunks of `chunk_bytes` without the last chunk that ends a body.
pub fn chunks(count: usize, chunk_bytes: usize) -> Vec<Bytes> {
    const WRITE_BYTES: usize = 16 << 10;
    let chunk = format!("{chunk_bytes:x}\r\n{}\r\n", "x".repeat(chunk_bytes));
    let per_write = (WRITE_BYTES / chunk.len()).clamp(1, count);
    let write = Bytes::from(chunk.repeat(per_write));
    let mut writes = vec![write.clone(); count / per_write];
    writes.push(write.slice(..count % per_write * chunk.len()));
    writes
}

/// A request whose body has this length and stops one byte short of it.
pub fn one_byte_short(path: &str, body_bytes: usize) -> Script {
    let mut pieces = vec![head_with_length(path, body_bytes)];
    pieces.extend(body_pieces(body_bytes - 1, 16 << 10));
    Script::new(pieces)
}

/// A request in chunks that lacks the last one.
pub fn without_last_chunk(path: &str, count: usize, chunk_bytes: usize) -> Script {
    let mut pieces = vec![head(path, "transfer-encoding: chunked\r\n")];
    pieces.extend(chunks(count, chunk_bytes));
    Script::new(pieces)
}

/// The peaks of what a process holds, sampled until this is dropped.
pub struct Footprint {
    pid: u32,
    held_bytes: Arc<AtomicU64>,
    connections: Arc<AtomicU64>,
    stop: Arc<AtomicBool>,
    sampler: JoinHandle<()>,
}

impl Footprint {
    /// Begins to sample a process that listens at `address`.
    pub fn watch(daemon: &Daemon, address: SocketAddr) -> Self {
        let pid = daemon.pid();
        let held_bytes = Arc::new(AtomicU64::new(0));
        let connections = Arc::new(AtomicU64::new(0));
        let stop = Arc::new(AtomicBool::new(false));
        let sampler = tokio::task::spawn_blocking({
            let (held_bytes, connections) = (Arc::clone(&held_bytes), Arc::clone(&connections));
            let stop = Arc::clone(&stop);
            move || {
                while !stop.load(Ordering::SeqCst) {
                    let resident_bytes = status_kb(pid, "VmRSS:") * BYTES_PER_KB;
                    let held = resident_bytes + kernel_bytes(address);
                    held_bytes.fetch_max(held, Ordering::SeqCst);
                    connections.fetch_max(open_connections(pid), Ordering::SeqCst);
                    std::thread::sleep(SAMPLE_INTERVAL);
                }
            }
        });
        Self {
            pid,
            held_bytes,
            connections,
            stop,
            sampler,
        }
    }

    /// The most memory in bytes: resident, and with what its connections hold in the kernel.
    pub fn peak_bytes(&self) -> u64 {
        let resident_bytes = status_kb(self.pid, "VmHWM:") * BYTES_PER_KB;
        resident_bytes.max(self.held_bytes.load(Ordering::SeqCst))
    }

    /// The most open sockets and pipes.
    pub fn peak_connections(&self) -> u64 {
        self.connections.load(Ordering::SeqCst)
    }
}

impl Drop for Footprint {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        self.sampler.abort();
    }
}

fn status_kb(pid: u32, field: &str) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let value = status.lines().find_map(|line| line.strip_prefix(field));
    let value = value.and_then(|value| value.trim().trim_end_matches(" kB").parse().ok());
    value.unwrap_or(0)
}

/// The open sockets and pipes of a process.
fn open_connections(pid: u32) -> u64 {
    let Ok(entries) = fs::read_dir(format!("/proc/{pid}/fd")) else {
        return 0;
    };
    let targets = entries
        .flatten()
        .filter_map(|it| fs::read_link(it.path()).ok());
    let connections = targets.filter(|target| {
        let target = target.to_string_lossy();
        target.starts_with("socket:") || target.starts_with("pipe:")
    });
    connections.count() as u64
}

/// What the kernel holds for the connections of a listener: bytes that were received and not read,
/// and bytes that were written and not acknowledged.
fn kernel_bytes(address: SocketAddr) -> u64 {
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let lines = table.lines().skip(1);
    let queues = lines.filter_map(|line| {
        let mut fields = line.split_whitespace().skip(1);
        let local = parse_address(fields.next()?)?;
        let (send, receive) = fields.nth(2)?.split_once(':')?;
        let send = u64::from_str_radix(send, 16).ok()?;
        let receive = u64::from_str_radix(receive, 16).ok()?;
        (local == address).then_some(send + receive)
    });
    queues.sum()
}

/// An address as `/proc/net/tcp` writes it: the network order of the bytes, read as a native number.
fn parse_address(text: &str) -> Option<SocketAddr> {
    let (ip, port) = text.split_once(':')?;
    let ip = u32::from_str_radix(ip, 16).ok()?;
    let port = u16::from_str_radix(port, 16).ok()?;
    let ip = Ipv4Addr::from(ip.to_ne_bytes());
    Some(SocketAddrV4::new(ip, port).into())
}

/// Sends ordinary requests, as a caller that comes back does, until one is answered with 200.
pub async fn until_served(address: SocketAddr, path: &str, body: &str) {
    let headers = [
        ("host", "desk.example"),
        ("berylhook-attempt-id", "ordinary"),
        ("berylhook-deadline-ms", "4000"),
    ];
    super::entry::until(async || {
        let caller = Caller::new(API_KEY);
        let call = caller.post(address, path, body, &headers);
        let response = timeout(Duration::from_secs(5), call).await;
        response.is_ok_and(|response| response.status == 200)
    })
    .await;
}
