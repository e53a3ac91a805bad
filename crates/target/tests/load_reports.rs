//! Load reports of targets.

use std::net::SocketAddr;

use berylhook_target::{HttpTarget, Target, TargetError};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const REPORT: &str = "{\"running\":1,\"waiting\":0,\"slots\":32}";

/// Starts a target that responds to one request with this status and header, and closes.
async fn start_target(status: u16, header: &'static str) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await;
    let listener = listener.expect("an address is free");
    let address = listener.local_addr().expect("the listener has an address");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut request = [0; 4_096];
        let _ = stream.read(&mut request).await.expect("a request");
        let response = format!("HTTP/1.1 {status} OK\r\n{header}\r\n\r\n{REPORT}");
        let written = stream.write_all(response.as_bytes()).await;
        written.expect("an open connection");
    });
    address
}

#[tokio::test]
async fn a_load_report_is_read() {
    let target = HttpTarget::new(start_target(200, "content-length: 36").await);

    let report = target.load().await.expect("a report");

    assert_eq!((report.running, report.waiting, report.slots), (1, 0, 32));
}

// Guards against a load that is believed although the head of the report is spoiled.
#[tokio::test]
async fn a_load_report_with_a_spoiled_head_is_not_read() {
    for (status, header) in [
        (200, "transfer-encoding: chunkedx"),
        (200, "content-lengtx: 36"),
        (600, "content-length: 36"),
    ] {
        let target = HttpTarget::new(start_target(status, header).await);

        let result = target.load().await;

        let is_refused = matches!(result, Err(TargetError::InvalidHead(_)));
        assert!(is_refused, "{status} {header}: {result:?}");
    }
}
