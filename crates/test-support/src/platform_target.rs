//! A stand-in for a target on the platform. It responds to requests under their attempt ids, adds
//! its seal to its responses, and streams numbered events.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::future::BoxFuture;
use hyper::{HeaderMap, Request, StatusCode, body::Incoming};
use serde_json::json;
use tokio::sync::mpsc;

use crate::daemon::free_address;
use crate::http::{self, NoResponse, Response, Server};
use crate::kv::KeyValueStandIn;

/// Number of events of a complete stream.
pub const EVENTS_PER_STREAM: u64 = 8;

/// Interval between two events, unless [`PlatformTarget::set_event_interval`] was called.
const DEFAULT_EVENT_INTERVAL: Duration = Duration::from_millis(20);

/// Size of the chunks of [`Behaviour::Floods`].
const FLOOD_CHUNK_BYTES: usize = 16 << 10;

/// How the stand-in responds to requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Behaviour {
    /// Runs requests and responds normally.
    #[default]
    Responds,
    /// Rejects requests and states that they were not executed.
    RejectsAsNotExecuted,
    /// Rejects requests without stating that they were not executed.
    RejectsWithoutReason,
    /// Runs requests, then closes their connections without a response.
    DropsResponses,
    /// Responds with the attempt id of another request.
    RespondsWithWrongAttemptId,
    /// Responds without its seal.
    RespondsWithoutSeal,
    /// Cuts streams after this event.
    CutsStreamAfter(u64),
    /// Sends nothing for a while after this event of each stream, like an engine that preempts a
    /// request.
    PausesStreamAfter(u64, Duration),
    /// Runs requests and never responds.
    Hangs,
    /// Streams this text over and over, up to so many bytes, and does not end the stream.
    Floods(&'static str, usize),
    /// Responds with a body of so many bytes, except on streaming routes.
    RespondsAtLength(usize),
    /// Runs requests, and fails them with a response whose body never ends.
    StallsErrorBody,
    /// Rejects requests as another incarnation than the one that they are meant for.
    IsOtherIncarnation,
    /// Responds normally, except to requests with the body [`POISON_BODY`], or with
    /// [`POISON_PART`] among the shared parts of their prompt: the process exits shortly after it
    /// has started one of these.
    ExitsOnPoison,
    /// Like [`Self::ExitsOnPoison`], but at once, and another incarnation takes over the address
    /// before any connection to it is refused.
    IsReplacedOnPoison,
}

/// The body of the requests on which a target with [`Behaviour::ExitsOnPoison`] exits.
pub const POISON_BODY: &str = "what no engine survives";

/// The part of prompts on which a target with [`Behaviour::ExitsOnPoison`] exits.
pub const POISON_PART: &str = "bad0c0de";

/// Time from the start of a poison request to the exit of the target's process, unless
/// [`PlatformTarget::set_exit_delay`] was called.
const DEFAULT_EXIT_DELAY: Duration = Duration::from_millis(30);

/// A request that the stand-in has run.
#[derive(Clone, Debug)]
pub struct TargetRun {
    /// Method and path with query.
    pub request: String,
    /// Request headers.
    pub headers: HeaderMap,
    /// Request body.
    pub body: Bytes,
    /// When the run began.
    pub began: Instant,
    /// When the response ended or its caller disconnected.
    pub ended: Option<Instant>,
    /// Whether the response was sent completely.
    pub is_finished: bool,
    /// Whether the target closed the connection before the end of the response.
    pub was_broken_off: bool,
}

impl TargetRun {
    /// The value of a header, if it is text.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// The data centre of targets unless [`PlatformTarget::set_data_centre`] was called.
const DEFAULT_DATA_CENTRE: &str = "here";

/// Path of the health check.
const HEALTH_PATH: &str = "/healthz";

#[derive(Default)]
struct State {
    id: String,
    behaviour: Behaviour,
    /// `None` stands for [`DEFAULT_EXIT_DELAY`].
    exit_delay: Option<Duration>,
    /// Time from the start of a run to its response.
    response_delay: Duration,
    /// `None` stands for [`DEFAULT_EVENT_INTERVAL`].
    event_interval: Option<Duration>,
    /// Value of the `server-limit` header of all responses.
    limit: Option<String>,
    /// Value of the `retry-after` header while all requests are rejected.
    backoff: Option<String>,
    /// Value of the `berylhook-cold-ms` header of health responses.
    cold_ms: Option<u64>,
    /// Whether all responses have the `server-leaving` header.
    is_leaving: bool,
    /// The data centre in the target's entry; `None` stands for [`DEFAULT_DATA_CENTRE`].
    data_centre: Option<String>,
    runs: Vec<TargetRun>,
    /// Arrival times of all requests, including rejected ones.
    arrivals: Vec<Instant>,
    /// Number of health checks.
    health_checks: usize,
    /// `None` after the process has exited.
    server: Option<Server>,
    /// When the process exited on a poison request.
    exited_at: Option<Instant>,
}

/// Handle of a running stand-in.
pub struct PlatformTarget {
    id: String,
    state: Arc<Mutex<State>>,
    address: SocketAddr,
}

impl Drop for PlatformTarget {
    // The state and the server's handler hold each other, so the server would otherwise outlive the
    // target.
    fn drop(&mut self) {
        stop_server(&self.state);
    }
}

fn stop_server(state: &Mutex<State>) {
    let server = state.lock().expect("no handler panics").server.take();
    drop(server);
}

impl PlatformTarget {
    /// Starts a target with the given incarnation id, at an address that no other test takes after
    /// the target has exited.
    pub async fn start(id: &str) -> Self {
        Self::start_at(id, free_address()).await
    }

    /// Starts a target with the given incarnation id at `address`, which an exited target may have
    /// used before.
    pub async fn start_at(id: &str, address: SocketAddr) -> Self {
        let state = Arc::new(Mutex::new(State {
            id: id.to_owned(),
            ..State::default()
        }));
        let handler_state = Arc::clone(&state);
        let handler = Arc::new(move |request| {
            let state = Arc::clone(&handler_state);
            let response: BoxFuture<'static, Result<Response, NoResponse>> =
                Box::pin(respond(state, request));
            response
        });
        let server = Server::start_at(address, handler).await;
        let address = server.address;
        state.lock().expect("no handler panics").server = Some(server);
        Self {
            id: id.to_owned(),
            state,
            address,
        }
    }

    /// Incarnation id of the target.
    #[must_use]
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Address on which the target listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Ends the process at once: all its connections are closed, and new ones are refused.
    pub fn kill(&self) {
        stop_server(&self.state);
    }

    /// When the process exited on a poison request; `None` if it has not.
    #[must_use]
    pub fn exited_on_poison(&self) -> Option<Instant> {
        self.state.lock().expect("no handler panics").exited_at
    }

    /// Whether the process has exited.
    #[must_use]
    pub fn has_exited(&self) -> bool {
        self.state
            .lock()
            .expect("no handler panics")
            .server
            .is_none()
    }

    /// Sets the data centre in the entries that are registered from now on.
    pub fn set_data_centre(&self, data_centre: &str) {
        let mut state = self.state.lock().expect("no handler panics");
        state.data_centre = Some(data_centre.to_owned());
    }

    fn data_centre(&self) -> String {
        let state = self.state.lock().expect("no handler panics");
        let data_centre = state.data_centre.clone();
        data_centre.unwrap_or_else(|| DEFAULT_DATA_CENTRE.to_owned())
    }

    /// Registers the target in the store.
    pub fn register(&self, store: &KeyValueStandIn, service: &str, phase: &str) {
        self.register_at(store, service, phase, self.address);
    }

    /// Registers the target in the store with another address, such as that of a link.
    pub fn register_at(
        &self,
        store: &KeyValueStandIn,
        service: &str,
        phase: &str,
        address: SocketAddr,
    ) {
        self.write_entry(store, service, phase, address, 0);
    }

    /// Registers the target in the store as cold for `cold_left_ms` more, or as warm if that is 0.
    pub fn register_cold(&self, store: &KeyValueStandIn, service: &str, cold_left_ms: u64) {
        self.write_entry(store, service, "ready", self.address, cold_left_ms);
    }

    fn write_entry(
        &self,
        store: &KeyValueStandIn,
        service: &str,
        phase: &str,
        address: SocketAddr,
        cold_left_ms: u64,
    ) {
        let document = json!({
            "service": service,
            "address": address.to_string(),
            "zone": self.data_centre(),
            "version": "v1",
            "slots": 12,
            "phase": phase,
            "cold-left-ms": cold_left_ms,
            "seq": 1,
        });
        let key = format!("servers/{}", self.id);
        store.put_raw(&key, document.to_string().as_bytes());
    }

    /// Removes the target from the store.
    pub fn remove(&self, store: &KeyValueStandIn) {
        store.remove_raw(&format!("servers/{}", self.id));
    }

    /// Sets how the target responds from now on.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        self.state.lock().expect("no handler panics").behaviour = behaviour;
    }

    /// Sets the time from the start of a poison request to the exit of the process.
    pub fn set_exit_delay(&self, exit_delay: Duration) {
        self.state.lock().expect("no handler panics").exit_delay = Some(exit_delay);
    }

    /// Sets the time from the start of a run to its response.
    pub fn set_response_delay(&self, response_delay: Duration) {
        let mut state = self.state.lock().expect("no handler panics");
        state.response_delay = response_delay;
    }

    /// Sets the interval between two events of streams that begin from now on.
    pub fn set_event_interval(&self, event_interval: Duration) {
        let mut state = self.state.lock().expect("no handler panics");
        state.event_interval = Some(event_interval);
    }

    /// Sets the `server-limit` header of all responses from now on; `None` removes it.
    pub fn set_limit(&self, limit: Option<&str>) {
        self.state.lock().expect("no handler panics").limit = limit.map(str::to_owned);
    }

    /// Sets the `berylhook-cold-ms` header of health responses from now on.
    pub fn set_cold(&self, cold_ms: u64) {
        self.state.lock().expect("no handler panics").cold_ms = Some(cold_ms);
    }

    /// Rejects all requests with this `retry-after` header from now on; `None` ends that.
    pub fn set_backoff(&self, backoff: Option<&str>) {
        self.state.lock().expect("no handler panics").backoff = backoff.map(str::to_owned);
    }

    /// Adds the `server-leaving` header to all responses from now on.
    pub fn announce_leaving(&self) {
        self.state.lock().expect("no handler panics").is_leaving = true;
    }

    /// Arrival times of the requests so far, including rejected ones.
    #[must_use]
    pub fn arrivals(&self) -> Vec<Instant> {
        let state = self.state.lock().expect("no handler panics");
        state.arrivals.clone()
    }

    /// Number of health checks so far.
    #[must_use]
    pub fn health_checks(&self) -> usize {
        self.state.lock().expect("no handler panics").health_checks
    }

    /// The requests that the target has run so far.
    #[must_use]
    pub fn runs(&self) -> Vec<TargetRun> {
        self.state.lock().expect("no handler panics").runs.clone()
    }
}

async fn respond(
    state: Arc<Mutex<State>>,
    request: Request<Incoming>,
) -> Result<Response, NoResponse> {
    if request.uri().path() == HEALTH_PATH {
        state.lock().expect("no handler panics").health_checks += 1;
        return Ok(health_response(&state));
    }
    let arrived = Instant::now();
    state
        .lock()
        .expect("no handler panics")
        .arrivals
        .push(arrived);
    let mut response = respond_by_behaviour(Arc::clone(&state), request).await?;
    add_signals(&state, response.headers_mut());
    Ok(response)
}

/// Responds to a health check, whichever incarnation it is meant for.
fn health_response(state: &Mutex<State>) -> Response {
    let state = state.lock().expect("no handler panics");
    let status = match state.behaviour {
        Behaviour::IsOtherIncarnation => StatusCode::MISDIRECTED_REQUEST,
        _ => StatusCode::OK,
    };
    let mut response = http::json(status, &json!({}));
    let id = state.id.parse().expect("a valid header");
    response.headers_mut().insert("berylhook-instance-id", id);
    if let Some(cold_ms) = state.cold_ms {
        let headers = response.headers_mut();
        headers.insert("berylhook-cold-ms", cold_ms.into());
    }
    response
}

/// Adds the headers about the target's limit and its leaving.
fn add_signals(state: &Mutex<State>, response_headers: &mut HeaderMap) {
    let state = state.lock().expect("no handler panics");
    if state.is_leaving {
        response_headers.insert("server-leaving", "1".parse().expect("a digit"));
    }
    let limit = state.limit.clone();
    if let Some(limit) = limit {
        response_headers.insert("server-limit", limit.parse().expect("a valid header"));
    }
}

async fn respond_by_behaviour(
    state: Arc<Mutex<State>>,
    request: Request<Incoming>,
) -> Result<Response, NoResponse> {
    let headers = request.headers().clone();
    let request_line = format!("{} {}", request.method(), request.uri());
    let body = http::body(request).await;
    let is_poison = body == POISON_BODY || shares_poison_part(&headers);
    let backoff = state.lock().expect("no handler panics").backoff.clone();
    if let Some(backoff) = backoff {
        return Ok(reply(StatusCode::SERVICE_UNAVAILABLE, &headers, |map| {
            map.insert("berylhook-not-executed", "1".parse().expect("a digit"));
            map.insert("retry-after", backoff.parse().expect("a valid header"));
        }));
    }
    let behaviour = state.lock().expect("no handler panics").behaviour;
    match behaviour {
        Behaviour::RejectsAsNotExecuted => {
            return Ok(reply(StatusCode::SERVICE_UNAVAILABLE, &headers, |map| {
                map.insert("berylhook-not-executed", "1".parse().expect("a digit"));
            }));
        }
        Behaviour::IsOtherIncarnation => {
            return Ok(reply(StatusCode::MISDIRECTED_REQUEST, &headers, |map| {
                map.insert("berylhook-not-executed", "1".parse().expect("a digit"));
            }));
        }
        Behaviour::RejectsWithoutReason => {
            return Ok(reply(StatusCode::SERVICE_UNAVAILABLE, &headers, add_seal));
        }
        _ => {}
    }
    let index = {
        let mut state = state.lock().expect("no handler panics");
        state.runs.push(TargetRun {
            request: request_line.clone(),
            headers: headers.clone(),
            body,
            began: Instant::now(),
            ended: None,
            is_finished: false,
            was_broken_off: false,
        });
        state.runs.len() - 1
    };
    let response_delay = state.lock().expect("no handler panics").response_delay;
    tokio::time::sleep(response_delay).await;
    let is_exiting = behaviour == Behaviour::ExitsOnPoison && is_poison;
    if is_exiting {
        let exit_delay = state.lock().expect("no handler panics").exit_delay;
        let state = Arc::clone(&state);
        tokio::spawn(async move {
            tokio::time::sleep(exit_delay.unwrap_or(DEFAULT_EXIT_DELAY)).await;
            let mut locked = state.lock().expect("no handler panics");
            locked.exited_at.get_or_insert_with(Instant::now);
            drop(locked);
            stop_server(&state);
        });
    }
    match behaviour {
        Behaviour::IsReplacedOnPoison if is_poison => {
            let mut state = state.lock().expect("no handler panics");
            state.exited_at.get_or_insert_with(Instant::now);
            state.behaviour = Behaviour::IsOtherIncarnation;
            Err(NoResponse)
        }
        Behaviour::DropsResponses => {
            break_off(&state, index);
            Err(NoResponse)
        }
        Behaviour::Hangs => std::future::pending().await,
        Behaviour::Floods(text, max_bytes) => Ok(flood(text, max_bytes, &headers)),
        Behaviour::StallsErrorBody => Ok(stalled_error(&headers)),
        Behaviour::RespondsAtLength(body_bytes) => {
            finish(&state, index);
            let body = "x".repeat(body_bytes).into();
            let mut response = http::json(StatusCode::OK, &body);
            echo_attempt_id(&headers, response.headers_mut());
            add_seal(response.headers_mut());
            Ok(response)
        }
        Behaviour::RespondsWithoutSeal => Ok(reply(StatusCode::OK, &headers, |_| {})),
        Behaviour::RespondsWithWrongAttemptId => Ok(reply(StatusCode::OK, &headers, |map| {
            add_seal(map);
            let other = "another-attempt".parse().expect("plain text");
            map.insert("berylhook-attempt-id", other);
        })),
        _ if is_exiting && !request_line.contains("/stream") => std::future::pending().await,
        _ if request_line.contains("/stream") => {
            Ok(stream(Arc::clone(&state), index, behaviour, &headers))
        }
        _ => {
            finish(&state, index);
            Ok(reply(StatusCode::OK, &headers, add_seal))
        }
    }
}

/// Records that a run has ended.
fn end(state: &Mutex<State>, index: usize) {
    let run = &mut state.lock().expect("no handler panics").runs[index];
    run.ended = Some(Instant::now());
}

fn finish(state: &Mutex<State>, index: usize) {
    end(state, index);
    state.lock().expect("no handler panics").runs[index].is_finished = true;
}

fn break_off(state: &Mutex<State>, index: usize) {
    end(state, index);
    state.lock().expect("no handler panics").runs[index].was_broken_off = true;
}

/// Whether the prompt has [`POISON_PART`] before its last part.
#[must_use]
pub fn shares_poison_part(headers: &HeaderMap) -> bool {
    let parts = headers.get("berylhook-prefix-hash");
    let parts = parts.and_then(|parts| parts.to_str().ok()).unwrap_or("");
    let shared = parts.rsplit_once(',').map_or("", |(shared, _own)| shared);
    let mut ids = shared.split(',').filter_map(|part| part.split(':').next());
    ids.any(|id| id == POISON_PART)
}

fn add_seal(response_headers: &mut HeaderMap) {
    response_headers.insert(
        "berylhook-response-seal",
        "seal".parse().expect("plain text"),
    );
}

fn reply(
    status: StatusCode,
    request_headers: &HeaderMap,
    add: impl Fn(&mut HeaderMap),
) -> Response {
    let mut response = http::json(status, &json!({"served": attempt_id(request_headers)}));
    echo_attempt_id(request_headers, response.headers_mut());
    add(response.headers_mut());
    response
}

/// The attempt id of a request; empty if it has none.
fn attempt_id(request_headers: &HeaderMap) -> String {
    let id = request_headers.get("berylhook-attempt-id");
    let id = id.and_then(|id| id.to_str().ok());
    id.unwrap_or_default().to_owned()
}

fn echo_attempt_id(request_headers: &HeaderMap, response_headers: &mut HeaderMap) {
    if let Some(id) = request_headers.get("berylhook-attempt-id") {
        response_headers.insert("berylhook-attempt-id", id.clone());
    }
}

/// A response with the seal, whose body is sent piece by piece.
fn sealed_stream(
    content_type: &str,
    body: mpsc::Receiver<Result<Bytes, NoResponse>>,
    request_headers: &HeaderMap,
) -> Response {
    let mut response = http::stream(content_type, body);
    echo_attempt_id(request_headers, response.headers_mut());
    add_seal(response.headers_mut());
    response
}

/// An error response with the seal, of which only the beginning is sent.
fn stalled_error(request_headers: &HeaderMap) -> Response {
    let (sender, receiver) = mpsc::channel(1);
    tokio::spawn(async move {
        let _ = sender.send(Ok(Bytes::from("{\"e"))).await;
        sender.closed().await;
    });
    let mut response = sealed_stream("application/json", receiver, request_headers);
    *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
    response
}

/// A stream of one text over and over that does not end.
fn flood(text: &str, max_bytes: usize, request_headers: &HeaderMap) -> Response {
    let (sender, receiver) = mpsc::channel(1);
    let chunk = Bytes::from(text.repeat(FLOOD_CHUNK_BYTES / text.len()));
    tokio::spawn(async move {
        let mut sent_bytes = 0;
        while sent_bytes < max_bytes && sender.send(Ok(chunk.clone())).await.is_ok() {
            sent_bytes += chunk.len();
        }
        sender.closed().await;
    });
    sealed_stream("text/event-stream", receiver, request_headers)
}

fn stream(
    state: Arc<Mutex<State>>,
    index: usize,
    behaviour: Behaviour,
    headers: &HeaderMap,
) -> Response {
    let (sender, receiver) = mpsc::channel(1);
    let last_event_id = headers
        .get("last-event-id")
        .and_then(|id| id.to_str().ok()?.parse().ok())
        .unwrap_or(0);
    let attempt_id = attempt_id(headers);
    let event_interval = state.lock().expect("no handler panics").event_interval;
    let event_interval = event_interval.unwrap_or(DEFAULT_EVENT_INTERVAL);
    tokio::spawn(async move {
        for id in last_event_id + 1..=EVENTS_PER_STREAM {
            if behaviour == Behaviour::CutsStreamAfter(id - 1) {
                // Sends half an event and closes the connection.
                let _ = sender.send(Ok(Bytes::from(format!("id: {id}\nda")))).await;
                let _ = sender.send(Err(NoResponse)).await;
                return break_off(&state, index);
            }
            let pause = match behaviour {
                Behaviour::PausesStreamAfter(event, pause) if event + 1 == id => pause,
                _ => event_interval,
            };
            // A closed channel fails the send below.
            let _ = tokio::time::timeout(pause, sender.closed()).await;
            let event = Bytes::from(format!("id: {id}\ndata: {attempt_id} {id}\n\n"));
            if sender.send(Ok(event)).await.is_err() {
                return end(&state, index);
            }
        }
        finish(&state, index);
    });
    sealed_stream("text/event-stream", receiver, headers)
}
