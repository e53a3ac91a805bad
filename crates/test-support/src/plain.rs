//! A stand-in for a plain service whose calls have an effect: it records
//! every run, and runs an order twice if it is asked twice.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use hyper::{Request, StatusCode, body::Incoming};
use serde_json::json;
use tokio::sync::watch;

use crate::http::{self, NoResponse, Response, Server};

/// One effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlainRun {
    /// The request's body.
    pub body: String,
    /// The path it came to.
    pub path: String,
    /// The header `x-attempt` of the call that caused it.
    pub attempt: String,
    /// When it happened.
    pub at: Instant,
}

struct Shared {
    runs: Mutex<Vec<PlainRun>>,
    delay: Mutex<Duration>,
    hung: watch::Sender<bool>,
    drop_responses: Mutex<u32>,
    rest: Mutex<Option<String>>,
    refused: AtomicUsize,
}

/// The running stand-in.
pub struct PlainService {
    shared: Arc<Shared>,
    /// Its server.
    pub server: Server,
}

impl PlainService {
    /// Starts a service on a free port.
    pub async fn start() -> Self {
        let shared = Arc::new(Shared {
            runs: Mutex::new(Vec::new()),
            delay: Mutex::new(Duration::ZERO),
            hung: watch::Sender::new(false),
            drop_responses: Mutex::new(0),
            rest: Mutex::new(None),
            refused: AtomicUsize::new(0),
        });
        let handler_shared = Arc::clone(&shared);
        let server = Server::start(Arc::new(move |request| {
            let shared = Arc::clone(&handler_shared);
            Box::pin(shared.answer(request))
        }))
        .await;
        Self { shared, server }
    }

    /// The effects so far.
    #[must_use]
    pub fn runs(&self) -> Vec<PlainRun> {
        self.shared.runs.lock().expect("no handler panics").clone()
    }

    /// Each answer takes this long after its effect.
    pub fn set_delay(&self, delay: Duration) {
        *self.shared.delay.lock().expect("no handler panics") = delay;
    }

    /// Effects happen but answers wait, or answers come again.
    pub fn set_hung(&self, hung: bool) {
        self.shared.hung.send_replace(hung);
    }

    /// It refuses all requests and asks for that rest, or not any more.
    pub fn set_backoff(&self, rest: Option<&str>) {
        *self.shared.rest.lock().expect("no handler panics") = rest.map(str::to_owned);
    }

    /// The requests that it refused.
    #[must_use]
    pub fn refused_count(&self) -> usize {
        self.shared.refused.load(Ordering::SeqCst)
    }

    /// The next `count` requests take effect, then lose their connection.
    pub fn drop_responses(&self, count: u32) {
        *self
            .shared
            .drop_responses
            .lock()
            .expect("no handler panics") = count;
    }
}

impl Shared {
    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> Result<Response, NoResponse> {
        let path = request.uri().path().to_owned();
        if path == "/load" {
            let body = json!({"running": 0, "waiting": 0, "slots": 32});
            return Ok(http::json(StatusCode::OK, &body));
        }
        let rest = self.rest.lock().expect("no handler panics").clone();
        if let Some(rest) = rest {
            self.refused.fetch_add(1, Ordering::SeqCst);
            let mut response = http::json(StatusCode::SERVICE_UNAVAILABLE, &json!({}));
            let rest = rest.parse().expect("a header's text");
            response.headers_mut().insert("retry-after", rest);
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
        if self.takes_drop() {
            return Err(NoResponse);
        }
        let delay = *self.delay.lock().expect("no handler panics");
        tokio::time::sleep(delay).await;
        let mut hung = self.hung.subscribe();
        let _ = hung.wait_for(|hung| !hung).await;
        Ok(http::json(StatusCode::OK, &json!({"run": number})))
    }

    fn record(&self, run: PlainRun) -> usize {
        let mut runs = self.runs.lock().expect("no handler panics");
        runs.push(run);
        runs.len()
    }

    fn takes_drop(&self) -> bool {
        let mut left = self.drop_responses.lock().expect("no handler panics");
        if *left == 0 {
            return false;
        }
        *left -= 1;
        true
    }
}
