//! A stand-in for a target that closes the connection in the middle of its response.

use std::net::SocketAddr;

use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

use crate::kv::KeyValueStandIn;
use crate::raw_target::{header, read_request, register};

/// The text before the framing and the position of the cut in a path or body of a request.
const MARKER: &str = "cut/";

/// The events of a whole response.
pub(crate) const EVENTS: [&str; 2] = ["id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"];

/// Content types of streams and of other responses, of the same length.
const STREAM_TYPE: &str = "text/event-stream";
const PLAIN_TYPE: &str = "text/x-events-raw";

/// How the end of a body is marked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// By its length in the head.
    Length,
    /// By an empty chunk.
    Chunks,
    /// By the close of the connection.
    Close,
}

impl Framing {
    /// All framings.
    pub const ALL: [Self; 3] = [Self::Length, Self::Chunks, Self::Close];

    fn name(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunks => "chunks",
            Self::Close => "close",
        }
    }

    fn field(self, body_bytes: usize) -> String {
        match self {
            Self::Length => format!("content-length: {body_bytes}\r\n"),
            Self::Chunks => "transfer-encoding: chunked\r\n".to_owned(),
            Self::Close => "connection: close\r\n".to_owned(),
        }
    }

    pub(crate) fn frame(self, events: &[&str]) -> String {
        match self {
            Self::Chunks => {
                let chunks = events.iter().map(|event| chunk(event));
                chunks.chain(["0\r\n\r\n".to_owned()]).collect()
            }
            Self::Length | Self::Close => events.concat(),
        }
    }
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Where a response is cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cut {
    /// How the end of the body is marked.
    pub framing: Framing,
    /// Number of bytes that are sent.
    pub sent_bytes: usize,
}

impl Cut {
    /// Cuts after each byte of a response to the attempt of that id, the last one uncut.
    pub fn all(attempt_id: &str) -> impl Iterator<Item = Self> {
        Framing::ALL.into_iter().flat_map(move |framing| {
            let (head, body) = response(framing, attempt_id, &EVENTS);
            let cut = move |sent_bytes| Self {
                framing,
                sent_bytes,
            };
            (0..=head.len() + body.len()).map(cut)
        })
    }

    /// The text that orders the cut, in the path or the body of a request.
    #[must_use]
    pub fn text(self) -> String {
        format!("{MARKER}{}/{}", self.framing.name(), self.sent_bytes)
    }

    fn ordered_by(request: &str) -> Option<Self> {
        let (_, text) = request.split_once(MARKER)?;
        let (name, rest) = text.split_once('/')?;
        let digits = rest.split(|letter: char| !letter.is_ascii_digit()).next()?;
        Some(Self {
            framing: Framing::ALL.into_iter().find(|it| it.name() == name)?,
            sent_bytes: digits.parse().ok()?,
        })
    }

    /// The part of the body that is sent, without its framing; `None` if the cut is in the head.
    #[must_use]
    pub fn sent_body(self, attempt_id: &str) -> Option<&'static str> {
        let (head, body) = response(self.framing, attempt_id, &EVENTS);
        let body_bytes = self.sent_bytes.checked_sub(head.len())?;
        match self.framing {
            Framing::Close => Some(&whole_body_text()[..body_bytes]),
            Framing::Length | Framing::Chunks if body_bytes < body.len() => Some(""),
            Framing::Length | Framing::Chunks => Some(whole_body_text()),
        }
    }
}

fn whole_body_text() -> &'static str {
    "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
}

/// The body of an uncut response.
#[must_use]
pub fn whole_body() -> String {
    EVENTS.concat()
}

fn response(framing: Framing, attempt_id: &str, events: &[&str]) -> (String, String) {
    let field = framing.field(events.concat().len());
    let head = format!(
        "HTTP/1.1 200 OK\r\ncontent-type: {STREAM_TYPE}\r\n\
         berylhook-attempt-id: {attempt_id}\r\nberylhook-response-seal: seal\r\n{field}\r\n"
    );
    (head, framing.frame(events))
}

/// A target that keeps its connections, and cuts the responses to the requests that order it.
#[derive(Debug)]
pub struct CutResponseTarget {
    address: SocketAddr,
    server: JoinHandle<()>,
}

impl Drop for CutResponseTarget {
    fn drop(&mut self) {
        self.server.abort();
    }
}

impl CutResponseTarget {
    /// Starts a target. One that does not cut responds to all requests completely.
    ///
    /// # Panics
    ///
    /// If no address is free.
    pub async fn start(cuts: bool) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await;
        let listener = listener.expect("an address is free");
        let address = listener.local_addr().expect("the listener has an address");
        let server = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(async move {
                    // The error is the caller's close.
                    let _ = serve(stream, cuts).await;
                });
            }
        });
        Self { address, server }
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
}

async fn serve(mut stream: TcpStream, cuts: bool) -> std::io::Result<()> {
    loop {
        let request = read_request(&mut stream).await?;
        let cut = Cut::ordered_by(&request);
        let response = respond(&request, cut);
        let sent_bytes = cut.filter(|_| cuts).map(|cut| cut.sent_bytes);
        let sent_bytes = sent_bytes.unwrap_or(response.len()).min(response.len());
        stream.write_all(&response.as_bytes()[..sent_bytes]).await?;
        let is_framed = cut.is_none_or(|cut| cut.framing != Framing::Close);
        if sent_bytes < response.len() || !is_framed {
            return stream.shutdown().await;
        }
    }
}

/// The whole response to a request.
fn respond(request: &str, cut: Option<Cut>) -> String {
    if request.starts_with("GET /load ") {
        let body = json!({"running": 0, "waiting": 0, "slots": 32}).to_string();
        let length = body.len();
        return format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}");
    }
    let attempt_id = header(request, "berylhook-attempt-id").unwrap_or_default();
    let last_event_id = header(request, "last-event-id");
    let delivered = last_event_id.and_then(|id| id.parse().ok()).unwrap_or(0);
    let framing = cut.map_or(Framing::Length, |cut| cut.framing);
    let (head, body) = response(framing, attempt_id, &EVENTS[EVENTS.len().min(delivered)..]);
    let is_plain = request.contains("\"stream\":false") || request.contains("/guide-push/");
    if is_plain {
        return head.replace(STREAM_TYPE, PLAIN_TYPE) + &body;
    }
    head + &body
}
