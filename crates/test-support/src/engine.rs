//! A stand-in for a model engine: continuous batching in steps, streams that can be cancelled and
//! resumed, and load reports that lag.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::{Request, StatusCode, body::Incoming};
use serde_json::{Value, json};
use tokio::sync::{Semaphore, mpsc, watch};

use crate::daemon::free_address;
use crate::http::{self, NoResponse, Response, Server};

/// Parameters of an engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineConfig {
    /// Duration of one step; each running stream generates one token per step.
    pub step: Duration,
    /// Maximum number of streams that run at a time.
    pub slots: usize,
    /// Age of the load reports.
    pub report_lag: Duration,
}

impl Default for EngineConfig {
    fn default() -> Self {
        Self {
            step: Duration::from_millis(2),
            slots: 64,
            report_lag: Duration::from_millis(100),
        }
    }
}

/// A generation, which may continue after the connection that requested it is lost.
struct Generation {
    /// Number of tokens generated so far.
    generated: watch::Receiver<usize>,
    total_tokens: usize,
    prompt: String,
}

struct Shared {
    config: EngineConfig,
    slots: Semaphore,
    running: AtomicU32,
    waiting: AtomicU32,
    runs: Mutex<Vec<String>>,
    generations: Mutex<BTreeMap<String, Arc<Generation>>>,
    stalled: watch::Sender<bool>,
    cut_after_tokens: AtomicU64,
    unhealthy: AtomicBool,
    reports: Mutex<Vec<(Instant, Value)>>,
}

/// Handle of a running stand-in.
pub struct Engine {
    shared: Arc<Shared>,
    /// The HTTP server.
    pub server: Server,
}

/// Value of `cut_after_tokens` while streams are not cut.
const NO_CUT: u64 = u64::MAX;

impl Engine {
    /// Starts an engine on a free address.
    pub async fn start(config: EngineConfig) -> Self {
        let shared = Arc::new(Shared {
            config,
            slots: Semaphore::new(config.slots),
            running: AtomicU32::new(0),
            waiting: AtomicU32::new(0),
            runs: Mutex::new(Vec::new()),
            generations: Mutex::new(BTreeMap::new()),
            stalled: watch::Sender::new(false),
            cut_after_tokens: AtomicU64::new(NO_CUT),
            unhealthy: AtomicBool::new(false),
            reports: Mutex::new(Vec::new()),
        });
        let handler_shared = Arc::clone(&shared);
        let server = Server::start_at(
            free_address(),
            Arc::new(move |request| {
                let shared = Arc::clone(&handler_shared);
                Box::pin(shared.respond(request))
            }),
        )
        .await;
        Self { shared, server }
    }

    /// Request ids of the generations started so far.
    #[must_use]
    pub fn runs(&self) -> Vec<String> {
        self.shared.runs.lock().expect("no handler panics").clone()
    }

    /// Stalls all generations, or resumes them.
    pub fn set_stalled(&self, stalled: bool) {
        self.shared.stalled.send_replace(stalled);
    }

    /// Cuts each new stream after this many tokens of its generation; `None` ends that.
    pub fn cut_streams_after(&self, tokens: Option<u64>) {
        let tokens = tokens.unwrap_or(NO_CUT);
        self.shared.cut_after_tokens.store(tokens, Ordering::SeqCst);
    }

    /// Responds to every request with status 500, or normally again.
    pub fn set_unhealthy(&self, unhealthy: bool) {
        self.shared.unhealthy.store(unhealthy, Ordering::SeqCst);
    }

    /// The text of token `index` of the response to `prompt`.
    #[must_use]
    pub fn token_text(prompt: &str, index: usize) -> String {
        let sum = prompt
            .bytes()
            .fold(17u32, |sum, byte| sum.wrapping_mul(31) + u32::from(byte));
        format!(
            "w{index}.{:x} ",
            sum.wrapping_add(u32::try_from(index).unwrap_or(0))
        )
    }

    /// The complete response to `prompt`.
    #[must_use]
    pub fn response_text(prompt: &str, tokens: usize) -> String {
        (0..tokens)
            .map(|index| Self::token_text(prompt, index))
            .collect()
    }
}

impl Shared {
    async fn respond(self: Arc<Self>, request: Request<Incoming>) -> Result<Response, NoResponse> {
        let path = request.uri().path().to_owned();
        let query = request.uri().query().unwrap_or_default().to_owned();
        if self.unhealthy.load(Ordering::SeqCst) {
            let body = json!({"error": {"message": "engine is unhealthy"}});
            return Ok(http::json(StatusCode::INTERNAL_SERVER_ERROR, &body));
        }
        match path.as_str() {
            "/load" => Ok(http::json(StatusCode::OK, &self.lagging_load_report())),
            "/v1/completions" | "/v1/chat/completions" => self.complete(request).await,
            _ => match path.strip_prefix("/v1/streams/") {
                Some(id) => Ok(self.resume(id, &query)),
                None => Ok(http::json(StatusCode::NOT_FOUND, &json!({}))),
            },
        }
    }

    fn lagging_load_report(&self) -> Value {
        let now = Instant::now();
        let current = json!({
            "running": self.running.load(Ordering::SeqCst),
            "waiting": self.waiting.load(Ordering::SeqCst),
            "slots": self.config.slots,
        });
        let mut reports = self.reports.lock().expect("no handler panics");
        reports.push((now, current));
        let is_due = |taken: Instant| now.duration_since(taken) >= self.config.report_lag;
        let newest_due = reports.iter().rposition(|(taken, _)| is_due(*taken));
        let index = newest_due.unwrap_or(0);
        reports.drain(..index);
        reports[0].1.clone()
    }

    async fn complete(self: Arc<Self>, request: Request<Incoming>) -> Result<Response, NoResponse> {
        let id = header(&request, "x-request-id");
        let stream_id = header(&request, "x-stream-id");
        let body: Value = serde_json::from_slice(&http::body(request).await).unwrap_or_default();
        let prompt = prompt_of(&body);
        let total = body["max_tokens"].as_u64().unwrap_or(16);
        let total = usize::try_from(total).unwrap_or(16);
        self.runs.lock().expect("no handler panics").push(id);
        let generation = Arc::new(self.clone().generate(prompt, total));
        if !stream_id.is_empty() {
            let mut generations = self.generations.lock().expect("no handler panics");
            generations.insert(stream_id, Arc::clone(&generation));
        }
        if body["stream"].as_bool().unwrap_or(false) {
            Ok(self.event_stream(generation, 0))
        } else {
            Ok(self.complete_response(&generation).await)
        }
    }

    /// Generates in the background, so that a stream can be resumed after its connection is lost.
    fn generate(self: Arc<Self>, prompt: String, total: usize) -> Generation {
        let (progress, generated) = watch::channel(0);
        tokio::spawn(async move {
            self.waiting.fetch_add(1, Ordering::SeqCst);
            let slot = self.slots.acquire().await;
            self.waiting.fetch_sub(1, Ordering::SeqCst);
            self.running.fetch_add(1, Ordering::SeqCst);
            let mut stalled = self.stalled.subscribe();
            for count in 1..=total {
                tokio::time::sleep(self.config.step).await;
                let _ = stalled.wait_for(|stalled| !stalled).await;
                if progress.send(count).is_err() {
                    break;
                }
            }
            self.running.fetch_sub(1, Ordering::SeqCst);
            drop(slot);
        });
        Generation {
            generated,
            total_tokens: total,
            prompt,
        }
    }

    async fn complete_response(&self, generation: &Generation) -> Response {
        let mut generated = generation.generated.clone();
        let total = generation.total_tokens;
        let _ = generated.wait_for(|count| *count >= total).await;
        let text = Engine::response_text(&generation.prompt, total);
        let body = json!({
            "object": "chat.completion",
            "choices": [{
                "index": 0,
                "text": text,
                "message": {"role": "assistant", "content": text},
                "finish_reason": "length",
            }],
            "usage": {"completion_tokens": total},
        });
        http::json(StatusCode::OK, &body)
    }

    fn resume(&self, id: &str, query: &str) -> Response {
        let first_index = query
            .strip_prefix("from=")
            .and_then(|first_index| first_index.parse().ok())
            .unwrap_or(0);
        let generations = self.generations.lock().expect("no handler panics");
        match generations.get(id).cloned() {
            Some(generation) => self.event_stream(generation, first_index),
            None => http::json(
                StatusCode::NOT_FOUND,
                &json!({"error": {"message": "no such stream"}}),
            ),
        }
    }

    fn event_stream(&self, generation: Arc<Generation>, first_index: usize) -> Response {
        let (sender, receiver) = mpsc::channel(64);
        let cut_after_tokens = self.cut_after_tokens.load(Ordering::SeqCst);
        tokio::spawn(async move {
            let mut generated = generation.generated.clone();
            for index in first_index..generation.total_tokens {
                if generated.wait_for(|count| *count > index).await.is_err() {
                    let _ = sender.send(Err(NoResponse)).await;
                    return;
                }
                if index as u64 >= cut_after_tokens {
                    let _ = sender.send(Err(NoResponse)).await;
                    return;
                }
                let token_event = token_event(&generation.prompt, index);
                if sender.send(Ok(token_event)).await.is_err() {
                    return;
                }
            }
            let _ = sender
                .send(Ok(Bytes::from_static(b"data: [DONE]\n\n")))
                .await;
        });
        http::stream("text/event-stream", receiver)
    }
}

fn token_event(prompt: &str, index: usize) -> Bytes {
    let token = Engine::token_text(prompt, index);
    let body = json!({
        "object": "chat.completion.chunk",
        "choices": [{"index": 0, "text": token, "delta": {"content": token}}],
    });
    Bytes::from(format!("data: {body}\n\n"))
}

fn header(request: &Request<Incoming>, name: &str) -> String {
    request
        .headers()
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
        .to_owned()
}

fn prompt_of(body: &Value) -> String {
    match body["prompt"].as_str() {
        Some(prompt) => prompt.to_owned(),
        None => body["messages"].to_string(),
    }
}
