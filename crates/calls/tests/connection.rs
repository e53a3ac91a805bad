//! Calls over a connection that the peer closes.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::Duration;

use berylhook_calls::{Call, CallError, Connection};
use tokio::time::sleep;

const BODY: &str = "\"question\"";

/// A peer that answers one call per connection, and closes each connection on request.
struct Peer {
    address: SocketAddr,
    close: Sender<()>,
    closed: Receiver<()>,
}

impl Peer {
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let (close, is_to_close) = channel();
        let (has_closed, closed) = channel();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let mut stream = stream.expect("a connection");
                respond(&mut stream);
                if is_to_close.recv().is_err() {
                    return;
                }
                drop(stream);
                has_closed.send(()).expect("the test waits");
            }
        });
        Self {
            address,
            close,
            closed,
        }
    }

    /// Closes the open connection. When this returns, the caller's runtime knows of it, but its
    /// connection has not seen it yet: the runtime gets both this event and that of its timer while
    /// it is blocked, and goes on with the test first.
    async fn close_unnoticed(&self) {
        let close = async {
            self.close.send(()).expect("the peer runs");
            self.closed.recv().expect("the peer runs");
            thread::sleep(Duration::from_millis(20));
        };
        tokio::join!(biased; sleep(Duration::from_millis(1)), close);
    }
}

fn respond(stream: &mut TcpStream) {
    let mut received = Vec::new();
    while !received.ends_with(BODY.as_bytes()) {
        let mut chunk = [0; 1_024];
        let length = stream.read(&mut chunk).expect("a request");
        received.extend_from_slice(&chunk[..length]);
    }
    let response = b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n7";
    stream.write_all(response).expect("an open connection");
}

fn call() -> Call {
    Call::post_json("/".to_owned(), &"question", Duration::from_secs(5))
}

/// Guards against a peer that counts as unreachable because it closed an idle connection at the
/// moment of the next call.
#[tokio::test]
async fn a_call_that_was_not_sent_is_repeated_on_a_new_connection() {
    let peer = Peer::start();
    let mut connection = Connection::new(peer.address);
    let first: Result<u32, CallError> = connection.call_json(call()).await;
    peer.close_unnoticed().await;
    assert!(connection.is_open());

    let second: Result<u32, CallError> = connection.call_json_with_reconnect(call()).await;

    assert_eq!(first.ok(), Some(7));
    assert_eq!(second.ok(), Some(7));
}

/// Guards against repeated calls to a peer that cannot be reached at all.
#[tokio::test]
async fn a_call_that_needs_a_new_connection_is_not_repeated() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    drop(listener);
    let mut connection = Connection::new(address);

    let result: Result<u32, CallError> = connection.call_json_with_reconnect(call()).await;

    assert!(
        matches!(result, Err(CallError::NotSent { .. })),
        "{result:?}"
    );
}
