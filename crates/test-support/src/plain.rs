//! A stand-in for a plain service whose calls have an effect. It records every run, and runs a
//! request twice if it is sent twice.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use hyper::{Request, StatusCode, body::Incoming};
use serde_json::json;
use tokio::sync::watch;

use crate::http::{self, NoResponse, Response, Server};

/// One run of a request, which is its effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlainRun {
    /// Body of the request.
    pub body: String,
    /// Path of the request.
    pub path: String,
    /// The `x-attempt` header of the request; empty if it is missing.
    pub attempt: String,
    /// When the request ran.
    pub at: Instant,
}

struct Shared {
    runs: Mutex<Vec<PlainRun>>,
    delay: Mutex<Duration>,
    is_hung: watch::Sender<bool>,
    drop_responses: Mutex<u32>,
    backoff: Mutex<Option<String>>,
    /// Bytes added to each response.
    padding_bytes: AtomicUsize,
    refused: AtomicUsize,
}

/// Handle of a running stand-in.
pub struct PlainService {
    shared: Arc<Shared>,
    /// The HTTP server.
    pub server: Server,
}

impl PlainService {
    /// Starts a service on a free port.
    pub async fn start() -> Self {
        let shared = Arc::new(Shared {
            runs: Mutex::new(Vec::new()),
            delay: Mutex::new(Duration::ZERO),
            is_hung: watch::Sender::new(false),
            drop_responses: Mutex::new(0),
            backoff: Mutex::new(None),
            padding_bytes: AtomicUsize::new(0),
            refused: AtomicUsize::new(0),
        });
        let handler_shared = Arc::clone(&shared);
        let server = Server::start(Arc::new(move |request| {
            let shared = Arc::clone(&handler_shared);
            Box::pin(shared.respond(request))
        }))
        .await;
        Self { shared, server }
    }

    /// The runs so far.
    #[must_use]
    pub fn runs(&self) -> Vec<PlainRun> {
        self.shared.runs.lock().expect("no handler panics").clone()
    }

    /// Delays each response by this time after the run.
    pub fn set_delay(&self, delay: Duration) {
        *self.shared.delay.lock().expect("no handler panics") = delay;
    }

    /// Holds back the responses to requests, which still run, or sends them again.
    pub fn set_hung(&self, is_hung: bool) {
        self.shared.is_hung.send_replace(is_hung);
    }

    /// Refuses all requests with this `retry-after` header; `None` ends that.
    pub fn set_backoff(&self, backoff: Option<&str>) {
        *self.shared.backoff.lock().expect("no handler panics") = backoff.map(str::to_owned);
    }

    /// Adds this many bytes to each response.
    pub fn set_padding(&self, padding_bytes: usize) {
        let padding = &self.shared.padding_bytes;
        padding.store(padding_bytes, Ordering::SeqCst);
    }

    /// Number of requests refused so far.
    #[must_use]
    pub fn refused_count(&self) -> usize {
        self.shared.refused.load(Ordering::SeqCst)
    }

    /// Runs the next `count` requests, but closes their connections without a response.
    pub fn drop_responses(&self, count: u32) {
        *self
            .shared
            .drop_responses
            .lock()
            .expect("no handler panics") = count;
    }
}

impl Shared {
    async fn respond(self: Arc<Self>, request: Request<Incoming>) -> Result<Response, NoResponse> {
        let path = request.uri().path().to_owned();
        if path == "/load" {
            let body = json!({"running": 0, "waiting": 0, "slots": 32});
            return Ok(http::json(StatusCode::OK, &body));
        }
        let backoff = self.backoff.lock().expect("no handler panics").clone();
        if let Some(backoff) = backoff {
            self.refused.fetch_add(1, Ordering::SeqCst);
            let mut response = http::json(StatusCode::SERVICE_UNAVAILABLE, &json!({}));
            let backoff = backoff.parse().expect("a valid header");
            response.headers_mut().insert("retry-after", backoff);
            return Ok(response);
        }
        let attempt = request
            .headers()
            .get("x-attempt")
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
            .to_owned();
        let body = http::body(request).await;
        let body = String::from_utf8_lossy(&body).into_owned();
        let number = self.record(PlainRun {
            body,
            path,
            attempt,
            at: Instant::now(),
        });
        if self.take_dropped_response() {
            return Err(NoResponse);
        }
        let delay = *self.delay.lock().expect("no handler panics");
        tokio::time::sleep(delay).await;
        let mut is_hung = self.is_hung.subscribe();
        let _ = is_hung.wait_for(|is_hung| !is_hung).await;
        let padding = "x".repeat(self.padding_bytes.load(Ordering::SeqCst));
        let body = match padding.as_str() {
            "" => json!({"run": number}),
            padding => json!({"run": number, "padding": padding}),
        };
        Ok(http::json(StatusCode::OK, &body))
    }

    fn record(&self, run: PlainRun) -> usize {
        let mut runs = self.runs.lock().expect("no handler panics");
        runs.push(run);
        runs.len()
    }

    fn take_dropped_response(&self) -> bool {
        let mut remaining = self.drop_responses.lock().expect("no handler panics");
        if *remaining == 0 {
            return false;
        }
        *remaining -= 1;
        true
    }
}
