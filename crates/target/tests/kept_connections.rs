//! A connection that carries several responses.

use std::net::SocketAddr;
use std::time::Duration;

use berylhook_target::{Call, HttpTarget, Target, TargetError};
use bytes::Bytes;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// Longer than what may precede the head of a response.
const BODY_BYTES: usize = 1 << 20;

const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Starts a target that sends two whole responses over a connection, and then informational ones
/// without end.
async fn start_target() -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await;
    let listener = listener.expect("an address is free");
    let address = listener.local_addr().expect("the listener has an address");
    tokio::spawn(async move {
        let (stream, _) = listener.accept().await.expect("a connection");
        // The error is the client's close.
        let _ = respond(stream).await;
        // Another connection would be a sound one.
        drop(listener);
    });
    address
}

async fn respond(mut stream: TcpStream) -> std::io::Result<()> {
    let mut request = [0; 4_096];
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {BODY_BYTES}\r\n\r\n");
    for _ in 0..2 {
        let _ = stream.read(&mut request).await?;
        stream.write_all(head.as_bytes()).await?;
        stream.write_all(&vec![b'a'; BODY_BYTES]).await?;
    }
    let _ = stream.read(&mut request).await?;
    let informational = "HTTP/1.1 103 Early Hints\r\n\r\n".repeat(1_000);
    loop {
        stream.write_all(informational.as_bytes()).await?;
    }
}

/// Makes a call and returns the length of its body.
async fn call(target: &HttpTarget) -> Result<usize, TargetError> {
    let call = Call {
        method: "POST".to_owned(),
        path: "/".to_owned(),
        headers: Vec::new(),
        body: Bytes::new(),
        repeatable: true,
    };
    let mut response = target.call(call).await?;
    let mut length = 0;
    while let Some(chunk) = response.body.next_chunk().await? {
        length += chunk.len();
    }
    Ok(length)
}

// Guards against a limit of what precedes a head that cuts a body, or that does not hold for a later
// response of a connection.
#[tokio::test]
async fn each_response_of_a_connection_has_a_limit_before_its_head() {
    let target = HttpTarget::new(start_target().await);

    let first = call(&target).await;
    let second = call(&target).await;
    let endless = timeout(TEST_TIMEOUT, call(&target)).await;

    assert_eq!(first.ok(), Some(BODY_BYTES));
    assert_eq!(second.ok(), Some(BODY_BYTES));
    let is_lost = matches!(endless, Ok(Err(TargetError::Interrupted(_))));
    assert!(is_lost, "{endless:?}");
}
