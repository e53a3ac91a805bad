//! A stand-in for a target whose responses have neither a length nor chunks and end with their
//! connection.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::json;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

use crate::kv::KeyValueStandIn;

/// Largest request that is read.
const MAX_REQUEST_BYTES: usize = 64 << 10;

/// Time for the entry to read what was sent before a reset discards it.
const RESET_DELAY: Duration = Duration::from_millis(50);

const OK: &str = "HTTP/1.1 200 OK";

/// How the connection of a response ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// The connection is closed after the last byte.
    Closed,
    /// The connection is reset.
    Reset,
}

/// What a target sends.
struct Script {
    status_line: &'static str,
    content_type: String,
    body: String,
    end: ConnectionEnd,
    /// The body of responses to requests with `last-event-id`, which end properly; `None` if these get
    /// the same as others.
    resumed_body: Option<String>,
}

/// A target that sends the same body in each response.
#[derive(Debug)]
pub struct RawTarget {
    address: SocketAddr,
    server: JoinHandle<()>,
}

impl Drop for RawTarget {
    fn drop(&mut self) {
        self.server.abort();
    }
}

impl RawTarget {
    /// Starts a target that sends `body` as `content_type`, and then ends the connection.
    ///
    /// # Panics
    ///
    /// If no address is free.
    pub async fn start(content_type: &str, body: &str, end: ConnectionEnd) -> Self {
        Self::start_with(Script {
            status_line: OK,
            content_type: content_type.to_owned(),
            body: body.to_owned(),
            end,
            resumed_body: None,
        })
        .await
    }

    /// Starts a target that streams `body` and then ends the connection, and `resumed_body` to
    /// requests that resume a stream.
    ///
    /// # Panics
    ///
    /// If no address is free.
    pub async fn start_resumable(body: &str, end: ConnectionEnd, resumed_body: &str) -> Self {
        Self::start_with(Script {
            status_line: OK,
            content_type: "text/event-stream".to_owned(),
            body: body.to_owned(),
            end,
            resumed_body: Some(resumed_body.to_owned()),
        })
        .await
    }

    /// Starts a target that fails all requests with `body`, and then closes the connection.
    ///
    /// # Panics
    ///
    /// If no address is free.
    pub async fn start_failing(body: &str) -> Self {
        Self::start_with(Script {
            status_line: "HTTP/1.1 500 Internal Server Error",
            content_type: "text/plain".to_owned(),
            body: body.to_owned(),
            end: ConnectionEnd::Closed,
            resumed_body: None,
        })
        .await
    }

    async fn start_with(script: Script) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await;
        let listener = listener.expect("an address is free");
        let address = listener.local_addr().expect("the listener has an address");
        let server = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                // A caller that disconnects needs no response.
                let _ = respond(stream, &script).await;
            }
        });
        Self { address, server }
    }

    /// Registers the target in the store.
    pub fn register(&self, store: &KeyValueStandIn, id: &str, service: &str) {
        register(store, id, service, self.address);
    }
}

/// Registers a target that is ready in the store.
pub(crate) fn register(store: &KeyValueStandIn, id: &str, service: &str, address: SocketAddr) {
    let document = json!({
        "service": service,
        "address": address.to_string(),
        "zone": "here",
        "version": "v1",
        "slots": 12,
        "phase": "ready",
        "cold-left-ms": 0,
        "seq": 1,
    });
    store.put_raw(&format!("servers/{id}"), document.to_string().as_bytes());
}

async fn respond(mut stream: TcpStream, script: &Script) -> std::io::Result<()> {
    let request = read_request(&mut stream).await?;
    let attempt_id = header(&request, "berylhook-attempt-id").unwrap_or_default();
    let is_resumed = header(&request, "last-event-id").is_some();
    let (body, end) = match &script.resumed_body {
        Some(resumed_body) if is_resumed => (resumed_body, ConnectionEnd::Closed),
        Some(_) | None => (&script.body, script.end),
    };
    let Script {
        status_line,
        content_type,
        ..
    } = script;
    let head = format!(
        "{status_line}\r\ncontent-type: {content_type}\r\nberylhook-attempt-id: {attempt_id}\r\n\
         berylhook-response-seal: seal\r\nconnection: close\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await?;
    stream.write_all(body.as_bytes()).await?;
    if end == ConnectionEnd::Reset {
        tokio::time::sleep(RESET_DELAY).await;
        SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
    }
    Ok(())
}

/// Reads a request with its body, as far as its length is given.
pub(crate) async fn read_request(stream: &mut TcpStream) -> std::io::Result<String> {
    let mut request = Vec::new();
    let mut buffer = [0; 4_096];
    loop {
        let text = String::from_utf8_lossy(&request).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = header(head, "content-length").and_then(|length| length.parse().ok());
            if body.len() >= length.unwrap_or(0) {
                return Ok(text);
            }
        }
        let read = stream.read(&mut buffer).await?;
        if read == 0 || request.len() > MAX_REQUEST_BYTES {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        request.extend_from_slice(&buffer[..read]);
    }
}

/// The value of a header of a request.
pub(crate) fn header<'a>(request: &'a str, name: &str) -> Option<&'a str> {
    let fields = request.lines().filter_map(|line| line.split_once(':'));
    let mut values = fields.filter(|(field, _)| field.eq_ignore_ascii_case(name));
    values.next().map(|(_, value)| value.trim())
}
