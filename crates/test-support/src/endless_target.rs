//! A stand-in for a target that never gets past one stage of its response.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

use crate::kv::KeyValueStandIn;
use crate::raw_target::{header, read_request, register};

/// Starts of health checks and load polls.
const CHECKS: [&str; 2] = ["GET /healthz ", "GET /load "];

/// Interval between two pieces of [`Pace::Drips`].
const DRIP_INTERVAL: Duration = Duration::from_millis(50);

/// Size of the chunks of [`Pace::Floods`].
const FLOOD_CHUNK_BYTES: usize = 16 << 10;

/// The stage of a response that does not end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Bytes that are no response.
    Garbage,
    /// The lines of the head.
    Head,
    /// One line of the head.
    HeaderLine,
    /// Informational responses.
    Informational,
    /// Comments before the first event.
    FirstEvent,
    /// The bytes of one event.
    Event,
    /// Comments between two events.
    Events,
    /// The extension of a chunk's size.
    ChunkExtension,
    /// The body of an error response.
    ErrorBody,
    /// Trailers.
    Trailers,
}

impl Stage {
    /// All stages.
    pub const ALL: [Self; 10] = [
        Self::Garbage,
        Self::Head,
        Self::HeaderLine,
        Self::Informational,
        Self::FirstEvent,
        Self::Event,
        Self::Events,
        Self::ChunkExtension,
        Self::ErrorBody,
        Self::Trailers,
    ];

    /// The name in attempt ids and paths.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Garbage => "garbage",
            Self::Head => "head",
            Self::HeaderLine => "header-line",
            Self::Informational => "informational",
            Self::FirstEvent => "first-event",
            Self::Event => "event",
            Self::Events => "events",
            Self::ChunkExtension => "chunk-extension",
            Self::ErrorBody => "error-body",
            Self::Trailers => "trailers",
        }
    }

    /// The bytes up to the stage, and those that are repeated in it.
    fn bytes(self, attempt_id: &str) -> (String, &'static str) {
        let fields = format!(
            "berylhook-attempt-id: {attempt_id}\r\nberylhook-response-seal: seal\r\n\
             transfer-encoding: chunked\r\n"
        );
        let ok = format!("HTTP/1.1 200 OK\r\n{fields}\r\n");
        let event = chunk("id: 1\ndata: piece\n\n");
        match self {
            Self::Garbage => (String::new(), "spoiled "),
            Self::Head => (format!("HTTP/1.1 200 OK\r\n{fields}"), "a: b\r\n"),
            Self::HeaderLine => (format!("HTTP/1.1 200 OK\r\n{fields}a: "), "b"),
            Self::Informational => (String::new(), "HTTP/1.1 103 Early Hints\r\n\r\n"),
            Self::FirstEvent => (ok, "3\r\n:\n\n\r\n"),
            Self::Event => (format!("{ok}{}", chunk("id: 1\ndata: ")), "4\r\ndata\r\n"),
            Self::Events => (format!("{ok}{event}"), "3\r\n:\n\n\r\n"),
            Self::ChunkExtension => (format!("{ok}{event}3;a="), "b"),
            Self::ErrorBody => (
                format!("HTTP/1.1 500 Failed\r\n{fields}\r\n"),
                "4\r\ndata\r\n",
            ),
            Self::Trailers => (format!("{ok}{event}0\r\n"), "a: b\r\n"),
        }
    }
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// How fast the stage goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pace {
    /// Nothing more is sent.
    Stops,
    /// A few bytes are sent at a time.
    Drips,
    /// Bytes are sent as fast as they are read.
    Floods,
}

impl Pace {
    /// All paces.
    pub const ALL: [Self; 3] = [Self::Stops, Self::Drips, Self::Floods];

    /// The name in attempt ids and paths.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Stops => "stops",
            Self::Drips => "drips",
            Self::Floods => "floods",
        }
    }
}

/// A target whose responses never get past one stage.
#[derive(Debug)]
pub struct EndlessTarget {
    address: SocketAddr,
    counters: Arc<Counters>,
    server: JoinHandle<()>,
}

#[derive(Debug, Default)]
struct Counters {
    open_connections: AtomicUsize,
    arrivals: AtomicUsize,
    runs: AtomicUsize,
    ended_runs: AtomicUsize,
}

impl Drop for EndlessTarget {
    fn drop(&mut self) {
        self.server.abort();
    }
}

impl EndlessTarget {
    /// Starts a target.
    ///
    /// # Panics
    ///
    /// If no address is free.
    pub async fn start(stage: Stage, pace: Pace) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await;
        let listener = listener.expect("an address is free");
        let address = listener.local_addr().expect("the listener has an address");
        let counters = Arc::new(Counters::default());
        let server = tokio::spawn({
            let counters = Arc::clone(&counters);
            async move {
                while let Ok((stream, _)) = listener.accept().await {
                    let counters = Arc::clone(&counters);
                    counters.open_connections.fetch_add(1, Ordering::SeqCst);
                    tokio::spawn(async move {
                        serve(stream, stage, pace, &counters).await;
                        counters.open_connections.fetch_sub(1, Ordering::SeqCst);
                    });
                }
            }
        });
        Self {
            address,
            counters,
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

    /// Connections that are open.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        self.counters.open_connections.load(Ordering::SeqCst)
    }

    /// Requests that have arrived, health checks and load polls included.
    #[must_use]
    pub fn arrivals(&self) -> usize {
        self.counters.arrivals.load(Ordering::SeqCst)
    }

    /// Requests that have arrived, without health checks and load polls.
    #[must_use]
    pub fn runs(&self) -> usize {
        self.counters.runs.load(Ordering::SeqCst)
    }

    /// Requests whose response goes on, without health checks and load polls.
    #[must_use]
    pub fn open_runs(&self) -> usize {
        self.runs() - self.counters.ended_runs.load(Ordering::SeqCst)
    }
}

async fn serve(mut stream: TcpStream, stage: Stage, pace: Pace, counters: &Counters) {
    let Ok(request) = read_request(&mut stream).await else {
        return;
    };
    counters.arrivals.fetch_add(1, Ordering::SeqCst);
    let runs = usize::from(!CHECKS.iter().any(|check| request.starts_with(check)));
    counters.runs.fetch_add(runs, Ordering::SeqCst);
    // The error is the caller's close, which ends the response.
    let _ = respond(stream, &request, stage, pace).await;
    counters.ended_runs.fetch_add(runs, Ordering::SeqCst);
}

async fn respond(
    mut stream: TcpStream,
    request: &str,
    stage: Stage,
    pace: Pace,
) -> std::io::Result<()> {
    let attempt_id = header(request, "berylhook-attempt-id").unwrap_or_default();
    let (start, piece) = stage.bytes(attempt_id);
    stream.write_all(start.as_bytes()).await?;
    match pace {
        Pace::Stops => {
            // Completes when the caller closes the connection.
            let mut reader = stream;
            tokio::io::copy(&mut reader, &mut tokio::io::sink()).await?;
            Ok(())
        }
        Pace::Drips => loop {
            stream.write_all(piece.as_bytes()).await?;
            tokio::time::sleep(DRIP_INTERVAL).await;
        },
        Pace::Floods => {
            let pieces = piece.repeat(FLOOD_CHUNK_BYTES / piece.len());
            loop {
                stream.write_all(pieces.as_bytes()).await?;
            }
        }
    }
}
