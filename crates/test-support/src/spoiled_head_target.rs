//! A stand-in for a target whose response heads are not those of an HTTP server.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

use crate::cut_response_target::{EVENTS, Framing};
use crate::kv::KeyValueStandIn;
use crate::raw_target::{header, read_request, register};

/// The text before the name of a head in a path or body of a request.
const MARKER: &str = "head/";

/// The text by which a request asks for a response that claims that the request did not run.
const NOT_RUN_MARKER: &str = "not-run";

const OK: &str = "HTTP/1.1 200 OK";
const LENGTH: &str = "content-length: 30\r\n";
const CHUNKED: &str = "transfer-encoding: chunked\r\n";

/// A response to a health check that names another incarnation.
const SPOILED_HEALTH_RESPONSE: &[u8] =
    b"HTTP/1.1 200 OK\r\nberylhook-instance-id: i-other\r\ntransfer-encoding: chunkedx\r\n\r\n";

/// A response head that no HTTP server sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SpoiledHead {
    /// The name in requests.
    pub name: &'static str,
    status_line: &'static str,
    /// Lines before those that all responses have.
    first_lines: &'static str,
    /// Lines after those that all responses have.
    last_lines: &'static str,
    framing: Framing,
}

const fn length(name: &'static str, lines: &'static str) -> SpoiledHead {
    SpoiledHead {
        name,
        status_line: OK,
        first_lines: "",
        last_lines: lines,
        framing: Framing::Length,
    }
}

const fn chunks(name: &'static str, lines: &'static str) -> SpoiledHead {
    SpoiledHead {
        framing: Framing::Chunks,
        ..length(name, lines)
    }
}

const fn status(name: &'static str, status_line: &'static str) -> SpoiledHead {
    SpoiledHead {
        status_line,
        ..length(name, LENGTH)
    }
}

const fn first_line(name: &'static str, line: &'static str) -> SpoiledHead {
    SpoiledHead {
        first_lines: line,
        ..length(name, LENGTH)
    }
}

impl SpoiledHead {
    /// One of each kind. The connection of a response without a length or chunks is not announced to
    /// be closed.
    pub const ALL: [Self; 48] = [
        chunks("coding-with-suffix", "transfer-encoding: chunkedx\r\n"),
        chunks("coding-with-prefix", "transfer-encoding: xchunked\r\n"),
        chunks("coding-cut", "transfer-encoding: chunke\r\n"),
        chunks("coding-parameter", "transfer-encoding: chunked;q=1\r\n"),
        chunks("coding-quoted", "transfer-encoding: \"chunked\"\r\n"),
        chunks("coding-empty", "transfer-encoding: \r\n"),
        chunks("coding-identity", "transfer-encoding: identity\r\n"),
        chunks("coding-behind", "transfer-encoding: chunked, gzip\r\n"),
        chunks("coding-before", "transfer-encoding: gzip, chunked\r\n"),
        chunks("coding-bytes", "transfer-encoding: chunked\u{e9}\r\n"),
        chunks(
            "codings-twice",
            "transfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n",
        ),
        chunks(
            "codings-differ",
            "transfer-encoding: chunked\r\ntransfer-encoding: gzip\r\n",
        ),
        chunks(
            "coding-and-length",
            "transfer-encoding: chunked\r\ncontent-length: 30\r\n",
        ),
        length(
            "coding-spoiled-and-length",
            "transfer-encoding: chunkedx\r\ncontent-length: 30\r\n",
        ),
        SpoiledHead {
            status_line: "HTTP/1.0 200 OK",
            ..chunks("coding-in-1-0", CHUNKED)
        },
        chunks("coding-name", "transfer-encodinx: chunked\r\n"),
        chunks("coding-name-cut", "transfer: chunked\r\n"),
        chunks("coding-gone", ""),
        chunks("coding-gone-kept", "keep-alive: timeout=5\r\n"),
        length("length-name", "content-lengtx: 30\r\n"),
        length("length-gone", ""),
        length("length-signed", "content-length: +30\r\n"),
        length("length-negative", "content-length: -30\r\n"),
        length("length-empty", "content-length: \r\n"),
        length("length-letters", "content-length: 3o\r\n"),
        length("length-hex", "content-length: 0x1e\r\n"),
        length("length-beyond", "content-length: 36893488147419103262\r\n"),
        length(
            "lengths-differ",
            "content-length: 30\r\ncontent-length: 31\r\n",
        ),
        status("status-000", "HTTP/1.1 000 OK"),
        status("status-001", "HTTP/1.1 001 OK"),
        status("status-099", "HTTP/1.1 099 OK"),
        status("status-101", "HTTP/1.1 101 Switching Protocols"),
        status("status-204", "HTTP/1.1 204 No Content"),
        status("status-600", "HTTP/1.1 600 OK"),
        status("status-700", "HTTP/1.1 700 OK"),
        status("status-999", "HTTP/1.1 999 OK"),
        status("status-short", "HTTP/1.1 20 OK"),
        status("status-long", "HTTP/1.1 2000 OK"),
        status("status-letters", "HTTP/1.1 2oo OK"),
        status("version", "HTTP/9.1 200 OK"),
        length("line-last", "content-length: 30\r\nno field\r\n"),
        first_line("line-first", "no field\r\n"),
        first_line("name-empty", ": value\r\n"),
        first_line("name-blank", "na me: value\r\n"),
        first_line("name-blank-behind", "name : value\r\n"),
        first_line("name-control", "na\u{1}me: value\r\n"),
        length("name-of-length-blank", "content-length : 30\r\n"),
        length("line-folded", "content-length: 30\r\na: b\r\n c\r\n"),
    ];

    /// The text that orders the head, in the path or the body of a request.
    #[must_use]
    pub fn text(self) -> String {
        format!("{MARKER}{}/", self.name)
    }

    /// Like [`Self::text`], for a response that claims that the request did not run.
    #[must_use]
    pub fn not_run_text(self) -> String {
        format!("{}{NOT_RUN_MARKER}", self.text())
    }

    fn ordered_by(request: &str) -> Option<Self> {
        let (_, text) = request.split_once(MARKER)?;
        let (name, _) = text.split_once('/')?;
        Self::ALL.into_iter().find(|head| head.name == name)
    }

    fn response(self, attempt_id: &str, is_not_run: bool) -> String {
        let Self {
            first_lines,
            last_lines,
            ..
        } = self;
        let (status_line, claim) = match self.status_line {
            OK if is_not_run => (
                "HTTP/1.1 503 Service Unavailable",
                "berylhook-not-executed: 1\r\n",
            ),
            status_line if is_not_run => (status_line, "berylhook-not-executed: 1\r\n"),
            status_line => (status_line, ""),
        };
        format!(
            "{status_line}\r\n{first_lines}content-type: text/event-stream\r\n\
             berylhook-attempt-id: {attempt_id}\r\nberylhook-response-seal: seal\r\n\
             {claim}{last_lines}\r\n{}",
            self.framing.frame(&EVENTS)
        )
    }
}

/// What a target does after a response with a spoiled head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterResponse {
    /// It closes the connection.
    Closes,
    /// It keeps the connection.
    Keeps,
}

/// The requests that a target has received.
#[derive(Debug, Default)]
struct Received {
    attempt_ids: Vec<String>,
    health_checks: usize,
}

/// A target that spoils the heads of its responses to health checks, and to the requests that order
/// it.
#[derive(Debug)]
pub struct SpoiledHeadTarget {
    address: SocketAddr,
    received: Arc<Mutex<Received>>,
    server: JoinHandle<()>,
}

impl Drop for SpoiledHeadTarget {
    fn drop(&mut self) {
        self.server.abort();
    }
}

impl SpoiledHeadTarget {
    /// Starts a target. Without `after_response`, all its responses are sound.
    ///
    /// # Panics
    ///
    /// If no address is free.
    pub async fn start(after_response: Option<AfterResponse>) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await;
        let listener = listener.expect("an address is free");
        let address = listener.local_addr().expect("the listener has an address");
        let received = Arc::new(Mutex::new(Received::default()));
        let server = tokio::spawn({
            let received = Arc::clone(&received);
            async move {
                while let Ok((stream, _)) = listener.accept().await {
                    let received = Arc::clone(&received);
                    tokio::spawn(async move {
                        // The error is the caller's close.
                        let _ = serve(stream, after_response, &received).await;
                    });
                }
            }
        });
        Self {
            address,
            received,
            server,
        }
    }

    /// Address on which the target listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Registers the target in the store.
    pub fn register(&self, store: &KeyValueStandIn, id: &str, service: &str) {
        register(store, id, service, self.address);
    }

    /// Attempt ids of the requests that arrived, without health checks.
    #[must_use]
    pub fn runs(&self) -> Vec<String> {
        lock(&self.received).attempt_ids.clone()
    }

    /// Number of health checks that arrived.
    #[must_use]
    pub fn health_checks(&self) -> usize {
        lock(&self.received).health_checks
    }
}

fn lock(received: &Mutex<Received>) -> MutexGuard<'_, Received> {
    received.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn serve(
    mut stream: TcpStream,
    after_response: Option<AfterResponse>,
    received: &Mutex<Received>,
) -> std::io::Result<()> {
    loop {
        let request = read_request(&mut stream).await?;
        if request.starts_with("GET /healthz ") && after_response.is_some() {
            lock(received).health_checks += 1;
            return stream.write_all(SPOILED_HEALTH_RESPONSE).await;
        }
        if request.starts_with("GET ") {
            stream.write_all(load_response().as_bytes()).await?;
            continue;
        }
        let attempt_id = header(&request, "berylhook-attempt-id").unwrap_or_default();
        lock(received).attempt_ids.push(attempt_id.to_owned());
        let (Some(after_response), Some(head)) =
            (after_response, SpoiledHead::ordered_by(&request))
        else {
            let sound = chunks("sound", CHUNKED).response(attempt_id, false);
            stream.write_all(sound.as_bytes()).await?;
            continue;
        };
        let response = head.response(attempt_id, request.contains(NOT_RUN_MARKER));
        stream.write_all(response.as_bytes()).await?;
        if after_response == AfterResponse::Closes {
            return stream.shutdown().await;
        }
    }
}

/// The response to a load report or a health check.
fn load_response() -> String {
    let body = json!({"running": 0, "waiting": 0, "slots": 32}).to_string();
    let length = body.len();
    format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}")
}
