//! Calls over one connection with large responses.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread;
use std::time::Duration;

use berylhook_calls::{Call, Connection};

/// Longer than what may precede the head of a response.
const BODY_BYTES: usize = 1 << 20;

const CALL_TIMEOUT: Duration = Duration::from_secs(20);

/// Starts a peer that serves one connection.
fn start_peer() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {BODY_BYTES}\r\n\r\n");
        let response = head + &"7".repeat(BODY_BYTES);
        while stream.read(&mut [0; 1_024]).is_ok_and(|length| length > 0) {
            let written = stream.write_all(response.as_bytes());
            written.expect("an open connection");
        }
    });
    address
}

// Guards against a limit of what precedes a head that a large body exceeds: the reads of a connection
// grow with its responses, so one read may bring a head and much of its body.
#[tokio::test]
async fn large_responses_over_one_connection_are_whole() {
    let mut connection = Connection::new(start_peer());

    for number in 0..20 {
        let body = connection
            .call(Call::get("/".to_owned(), CALL_TIMEOUT))
            .await;

        let length = body.map(|body| body.len());
        assert_eq!(length.ok(), Some(BODY_BYTES), "response {number}");
    }
}
