//! Calls to a peer whose response does not end.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use berylhook_calls::{Call, CallError, Connection, MAX_RESPONSE_BYTES};
use tokio::time::timeout;

const CALL_TIMEOUT: Duration = Duration::from_millis(500);
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Most bytes that a peer can send beyond those that are kept: the buffers of both sockets.
const SOCKET_BUFFER_BYTES: usize = 16 << 20;

/// Bytes that the peer writes at once.
const PIECE_BYTES: usize = 16 << 10;

/// A peer that sends `start` and then `piece` without end, until its caller closes.
struct Peer {
    address: SocketAddr,
    sent_bytes: Arc<AtomicUsize>,
    sender: thread::JoinHandle<()>,
}

fn start_peer(start: &'static str, piece: &'static str) -> Peer {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let sent_bytes = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&sent_bytes);
    let sender = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let _ = stream.read(&mut [0; 1_024]).expect("a request");
        let pieces = piece.repeat(PIECE_BYTES / piece.len());
        let mut text = start.to_owned() + &pieces;
        while stream.write_all(text.as_bytes()).is_ok() {
            count.fetch_add(text.len(), Ordering::Relaxed);
            text.clone_from(&pieces);
        }
    });
    Peer {
        address,
        sent_bytes,
        sender,
    }
}

// Guards against a process whose memory or thread is taken by one peer that never ends its response.
#[tokio::test]
async fn a_response_without_end_ends_its_call() {
    let chunked = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    for (start, piece) in [
        ("", "spoiled "),
        ("HTTP/1.1 200 OK\r\n", "a: b\r\n"),
        ("HTTP/1.1 200 OK\r\na: ", "b"),
        ("", "HTTP/1.1 103 Early Hints\r\n\r\n"),
        (chunked, "4\r\n7777\r\n"),
        ("HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n", "7"),
        ("HTTP/1.1 500 Failed\r\nconnection: close\r\n\r\n", "7"),
    ] {
        let peer = start_peer(start, piece);
        let mut connection = Connection::new(peer.address);
        let call = Call::get("/".to_owned(), CALL_TIMEOUT);

        let t = std::time::Instant::now();
        let result = timeout(TEST_TIMEOUT, connection.call(call)).await;

        eprintln!(
            "{start:?} {piece:?} {:?} {:?}",
            t.elapsed(),
            peer.sent_bytes
        );
        let is_failed = matches!(
            result,
            Ok(Err(
                CallError::Unknown { .. } | CallError::ResponseTooLarge { .. }
            ))
        );
        assert!(is_failed, "{start:?} {piece:?}: {result:?}");
        drop(connection);
        let closed = tokio::task::spawn_blocking(|| peer.sender.join());
        let closed = timeout(TEST_TIMEOUT, closed).await;
        assert!(closed.is_ok(), "{start:?} {piece:?} is still read");
        let sent_bytes = peer.sent_bytes.load(Ordering::Relaxed);
        let max_bytes = MAX_RESPONSE_BYTES + SOCKET_BUFFER_BYTES;
        assert!(sent_bytes < max_bytes, "{start:?} {piece:?}: {sent_bytes}");
    }
}
