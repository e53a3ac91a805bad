//! Sending messages to many processes over open connections.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use berylhook_calls::Call;
use berylhook_calls::outbox::Outbox;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

/// A peer that counts its connections and keeps the batches that it receives.
#[derive(Clone, Default)]
struct Peer {
    connections: Arc<AtomicUsize>,
    batches: Arc<Mutex<Vec<Vec<u32>>>>,
    /// Whether a connection is closed after its first response.
    closes: bool,
}

impl Peer {
    async fn listen(self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                self.connections.fetch_add(1, Ordering::Relaxed);
                tokio::spawn(self.clone().serve(stream));
            }
        });
        address
    }

    async fn serve(self, mut stream: TcpStream) {
        while let Some(body) = read_body(&mut stream).await {
            let batch = serde_json::from_slice(&body).unwrap();
            self.batches.lock().unwrap().push(batch);
            let response = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
            stream.write_all(response).await.unwrap();
            if self.closes {
                return;
            }
        }
    }

    fn messages(&self) -> Vec<u32> {
        self.batches.lock().unwrap().concat()
    }

    async fn wait_for(&self, count: usize) {
        let arrived = async {
            while self.messages().len() < count {
                sleep(Duration::from_millis(5)).await;
            }
        };
        timeout(Duration::from_secs(20), arrived).await.unwrap();
    }
}

async fn read_body(stream: &mut TcpStream) -> Option<Vec<u8>> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    let head = String::from_utf8(head).unwrap().to_ascii_lowercase();
    let (_, after) = head.split_once("content-length: ").unwrap();
    let length = after.split("\r\n").next().unwrap().parse().unwrap();
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await.ok()?;
    Some(body)
}

fn outbox() -> Outbox<u32> {
    let call = |batch: &[u32]| {
        let body = batch.to_vec();
        Call::post_json("/".to_owned(), &body, Duration::from_secs(5))
    };
    Outbox::new(move |batch| vec![call(batch)])
}

/// Guards against a connection for each message.
#[tokio::test]
async fn messages_to_one_address_share_a_connection() {
    let peer = Peer::default();
    let address = peer.clone().listen().await;
    let outbox = outbox();

    for message in 0..20 {
        outbox.send(address, message);
        peer.wait_for(message as usize + 1).await;
    }

    assert_eq!(peer.messages(), (0..20).collect::<Vec<u32>>());
    assert_eq!(peer.connections.load(Ordering::Relaxed), 1);
}

/// Guards against a message that is lost because the peer has closed the open connection.
#[tokio::test]
async fn a_message_after_a_closed_connection_arrives() {
    let peer = Peer {
        closes: true,
        ..Peer::default()
    };
    let address = peer.clone().listen().await;
    let outbox = outbox();

    for message in 0..5 {
        outbox.send(address, message);
        peer.wait_for(message as usize + 1).await;
    }

    let mut messages = peer.messages();
    messages.dedup();
    assert_eq!(messages, [0, 1, 2, 3, 4]);
}

/// Guards against a frozen peer that delays the messages to all others.
#[tokio::test]
async fn a_silent_address_delays_no_other() {
    let silent = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let silent_address = silent.local_addr().unwrap();
    let peer = Peer::default();
    let address = peer.clone().listen().await;
    let outbox = outbox();

    for message in 0..3 {
        outbox.send(silent_address, message);
        outbox.send(address, message);
    }
    peer.wait_for(3).await;

    assert_eq!(peer.messages(), [0, 1, 2]);
}

/// Guards against one call for each message that has waited during another call.
#[tokio::test]
async fn waiting_messages_are_sent_together() {
    let peer = Peer::default();
    let address = peer.clone().listen().await;
    let outbox = outbox();

    for message in 0..40 {
        outbox.send(address, message);
    }
    peer.wait_for(40).await;

    assert!(peer.batches.lock().unwrap().len() <= 3);
}
