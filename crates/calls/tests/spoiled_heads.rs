//! Calls to a peer whose response heads are not those of an HTTP server.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread;
use std::time::Duration;

use berylhook_calls::{Call, CallError, Connection};

const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Starts a peer that responds to one call with this head and the body `7`, and closes.
fn start_peer(status: &'static str, header: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let _ = stream.read(&mut [0; 1_024]).expect("a request");
        let response = format!("HTTP/1.1 {status}\r\n{header}\r\n\r\n7");
        let written = stream.write_all(response.as_bytes());
        written.expect("an open connection");
    });
    address
}

async fn call(status: &'static str, header: &'static str) -> Result<u32, CallError> {
    let mut connection = Connection::new(start_peer(status, header));
    let call = Call::get("/".to_owned(), CALL_TIMEOUT);
    connection.call_json(call).await
}

#[tokio::test]
async fn a_response_that_ends_with_its_connection_is_read() {
    let result = call("200 OK", "connection: close").await;

    assert_eq!(result.ok(), Some(7));
}

// Guards against a call that counts as refused, or as answered, on the word of a spoiled head.
#[tokio::test]
async fn a_response_with_a_spoiled_head_is_an_unknown_outcome() {
    for (status, header) in [
        ("200 OK", "transfer-encoding: chunkedx"),
        ("200 OK", "content-lengtx: 1"),
        ("200 OK", "content-length: +1"),
        ("200 OK", "content-length: 1\r\nno field"),
        ("204 No Content", "content-length: 1"),
        ("000 OK", "content-length: 1"),
        ("101 Switching Protocols", "content-length: 1"),
        ("600 OK", "content-length: 1"),
        ("999 OK", "content-length: 1"),
    ] {
        let result = call(status, header).await;

        let is_unknown = matches!(result, Err(CallError::Unknown { .. }));
        assert!(is_unknown, "{status} {header}: {result:?}");
    }
}
