//! A stand-in for a target on the platform: it answers requests under their
//! attempt ids, marks its answers, and streams numbered events.

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

/// Events of a whole stream.
pub const EVENTS_PER_STREAM: u64 = 8;

/// Time between two events.
const EVENT_PAUSE: Duration = Duration::from_millis(20);

/// What the stand-in does with requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Behaviour {
    /// It answers them.
    #[default]
    Responds,
    /// It says that it did not run them.
    RejectsAsNotExecuted,
    /// It refuses them without saying that it did not run them.
    RejectsWithoutReason,
    /// It runs them and closes the connection without an answer.
    DropsResponses,
    /// It answers with the answer to another request.
    RespondsWithWrongAttemptId,
    /// It answers without its mark.
    RespondsWithoutSeal,
    /// It breaks streams off behind this event.
    CutsStreamAfter(u64),
    /// It runs them and says nothing.
    Hangs,
    /// It is another incarnation than those that requests are meant for, and says so.
    IsOtherIncarnation,
    /// It answers them, but for those whose body is [`POISON_BODY`]: its process ends soon
    /// after it began to run one.
    ExitsOnPoison,
    /// The same at once, and another incarnation has the address before anybody finds it free.
    IsReplacedOnPoison,
}

/// The body of the requests under which a target ends that
/// [ends under poison](Behaviour::EndsUnderPoison).
pub const POISON_BODY: &str = "what no engine survives";

/// Time from the beginning of such a run to the end of the target's process, unless
/// [`PlatformTarget::set_ends_after`] says otherwise.
const ENDS_AFTER: Duration = Duration::from_millis(30);

/// A request as the stand-in got it.
#[derive(Clone, Debug)]
pub struct TargetRun {
    /// Method and path with query.
    pub request: String,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
    /// When it began.
    pub began: Instant,
    /// Whether its answer was written to the end.
    pub is_finished: bool,
}

impl TargetRun {
    /// A header as text.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// Where it tells its health.
const HEALTH_PATH: &str = "/healthz";

#[derive(Default)]
struct State {
    id: String,
    behaviour: Behaviour,
    /// `None` for the usual time.
    ends_after: Option<Duration>,
    /// What it names as its limit in all answers, as the header's text.
    limit: Option<String>,
    /// The time that it asks for in all answers while it refuses everything, as the
    /// header's text.
    rest: Option<String>,
    /// Whether it says in all answers that it leaves.
    is_leaving: bool,
    runs: Vec<TargetRun>,
    /// When requests came, those that it refused among them.
    arrivals: Vec<Instant>,
    /// `None` once its process has ended.
    server: Option<Server>,
    /// When it ended under a request.
    ended: Option<Instant>,
}

/// The running stand-in.
pub struct PlatformTarget {
    id: String,
    state: Arc<Mutex<State>>,
    address: SocketAddr,
}

impl Drop for PlatformTarget {
    // The server's handler holds the state, so the state would outlive the target.
    fn drop(&mut self) {
        end(&self.state);
    }
}

fn end(state: &Mutex<State>) {
    let server = state.lock().expect("no handler panics").server.take();
    drop(server);
}

impl PlatformTarget {
    /// Starts a target of that incarnation, at an address that no other test takes when it
    /// has ended.
    pub async fn start(id: &str) -> Self {
        Self::start_at(id, free_address()).await
    }

    /// Starts a target of that incarnation at `address`, where a former one may have
    /// ended.
    pub async fn start_at(id: &str, address: SocketAddr) -> Self {
        let state = Arc::new(Mutex::new(State {
            id: id.to_owned(),
            ..State::default()
        }));
        let handler_state = Arc::clone(&state);
        let handler = Arc::new(move |request| {
            let state = Arc::clone(&handler_state);
            let answered: BoxFuture<'static, Result<Response, NoResponse>> =
                Box::pin(answer(state, request));
            answered
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

    /// Its id.
    #[must_use]
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Its process ends at once: all connections to it end, and nobody listens.
    pub fn kill(&self) {
        end(&self.state);
    }

    /// When its process ended under a request; `None` if it did not.
    #[must_use]
    pub fn exited_on_poison(&self) -> Option<Instant> {
        self.state.lock().expect("no handler panics").ended
    }

    /// Whether its process has ended.
    #[must_use]
    pub fn has_exited(&self) -> bool {
        self.state
            .lock()
            .expect("no handler panics")
            .server
            .is_none()
    }

    /// Lists it in the store.
    pub fn register(&self, store: &KeyValueStandIn, service: &str, phase: &str) {
        self.register_at(store, service, phase, self.address);
    }

    /// Lists it in the store, reached through another address.
    pub fn register_at(
        &self,
        store: &KeyValueStandIn,
        service: &str,
        phase: &str,
        address: SocketAddr,
    ) {
        let document = json!({
            "service": service,
            "address": address.to_string(),
            "zone": "here",
            "version": "v1",
            "slots": 12,
            "phase": phase,
            "cold-left-ms": 0,
            "seq": 1,
        });
        let key = format!("servers/{}", self.id);
        store.put_raw(&key, document.to_string().as_bytes());
    }

    /// Takes it off the list in the store.
    pub fn remove(&self, store: &KeyValueStandIn) {
        store.remove_raw(&format!("servers/{}", self.id));
    }

    /// Changes what it does.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        self.state.lock().expect("no handler panics").behaviour = behaviour;
    }

    /// Has its process end this long after it began to run poison.
    pub fn set_exit_delay(&self, ends_after: Duration) {
        self.state.lock().expect("no handler panics").ends_after = Some(ends_after);
    }

    /// Has it name that limit in all answers from now on, or none.
    pub fn set_limit(&self, limit: Option<&str>) {
        self.state.lock().expect("no handler panics").limit = limit.map(str::to_owned);
    }

    /// Has it refuse everything and ask for that rest from now on, or not any more.
    pub fn set_backoff(&self, rest: Option<&str>) {
        self.state.lock().expect("no handler panics").rest = rest.map(str::to_owned);
    }

    /// Has it say in all answers from now on that it leaves.
    pub fn announce_leaving(&self) {
        self.state.lock().expect("no handler panics").is_leaving = true;
    }

    /// When requests came so far, those that it refused among them.
    #[must_use]
    pub fn arrivals(&self) -> Vec<Instant> {
        let state = self.state.lock().expect("no handler panics");
        state.arrivals.clone()
    }

    /// The requests that it ran so far.
    #[must_use]
    pub fn runs(&self) -> Vec<TargetRun> {
        self.state.lock().expect("no handler panics").runs.clone()
    }
}

async fn answer(
    state: Arc<Mutex<State>>,
    request: Request<Incoming>,
) -> Result<Response, NoResponse> {
    if request.uri().path() == HEALTH_PATH {
        return Ok(health(&state));
    }
    let arrived = Instant::now();
    state
        .lock()
        .expect("no handler panics")
        .arrivals
        .push(arrived);
    let mut response = made_answer(Arc::clone(&state), request).await?;
    add_signals(&state, response.headers_mut());
    Ok(response)
}

/// What it tells of its health, whoever was meant.
fn health(state: &Mutex<State>) -> Response {
    let state = state.lock().expect("no handler panics");
    let status = match state.behaviour {
        Behaviour::IsOtherIncarnation => StatusCode::MISDIRECTED_REQUEST,
        _ => StatusCode::OK,
    };
    let mut answer = http::json(status, &json!({}));
    let id = state.id.parse().expect("a header's text");
    answer.headers_mut().insert("berylhook-instance-id", id);
    answer
}

/// Adds what the target says of how much it takes.
fn add_signals(state: &Mutex<State>, answer: &mut HeaderMap) {
    let state = state.lock().expect("no handler panics");
    if state.is_leaving {
        answer.insert("server-leaving", "1".parse().expect("a digit"));
    }
    let limit = state.limit.clone();
    if let Some(limit) = limit {
        answer.insert("server-limit", limit.parse().expect("a header's text"));
    }
}

async fn made_answer(
    state: Arc<Mutex<State>>,
    request: Request<Incoming>,
) -> Result<Response, NoResponse> {
    let headers = request.headers().clone();
    let line = format!("{} {}", request.method(), request.uri());
    let body = http::body(request).await;
    let is_poison = body == POISON_BODY;
    let rest = state.lock().expect("no handler panics").rest.clone();
    if let Some(rest) = rest {
        return Ok(head(StatusCode::SERVICE_UNAVAILABLE, &headers, |answer| {
            answer.insert("berylhook-not-executed", "1".parse().expect("a digit"));
            answer.insert("retry-after", rest.parse().expect("a header's text"));
        }));
    }
    let behaviour = state.lock().expect("no handler panics").behaviour;
    match behaviour {
        Behaviour::RejectsAsNotExecuted => {
            return Ok(head(StatusCode::SERVICE_UNAVAILABLE, &headers, |answer| {
                answer.insert("berylhook-not-executed", "1".parse().expect("a digit"));
            }));
        }
        Behaviour::IsOtherIncarnation => {
            return Ok(head(StatusCode::MISDIRECTED_REQUEST, &headers, |answer| {
                answer.insert("berylhook-not-executed", "1".parse().expect("a digit"));
            }));
        }
        Behaviour::RejectsWithoutReason => {
            return Ok(head(StatusCode::SERVICE_UNAVAILABLE, &headers, mark));
        }
        _ => {}
    }
    let index = {
        let mut state = state.lock().expect("no handler panics");
        state.runs.push(TargetRun {
            request: line.clone(),
            headers: headers.clone(),
            body,
            began: Instant::now(),
            is_finished: false,
        });
        state.runs.len() - 1
    };
    let is_poisoned = behaviour == Behaviour::ExitsOnPoison && is_poison;
    if is_poisoned {
        let ends_after = state.lock().expect("no handler panics").ends_after;
        let state = Arc::clone(&state);
        tokio::spawn(async move {
            tokio::time::sleep(ends_after.unwrap_or(ENDS_AFTER)).await;
            let mut locked = state.lock().expect("no handler panics");
            locked.ended.get_or_insert_with(Instant::now);
            drop(locked);
            end(&state);
        });
    }
    match behaviour {
        Behaviour::IsReplacedOnPoison if is_poison => {
            let mut state = state.lock().expect("no handler panics");
            state.ended.get_or_insert_with(Instant::now);
            state.behaviour = Behaviour::IsOtherIncarnation;
            Err(NoResponse)
        }
        Behaviour::DropsResponses => Err(NoResponse),
        Behaviour::Hangs => std::future::pending().await,
        Behaviour::RespondsWithoutSeal => Ok(head(StatusCode::OK, &headers, |_| {})),
        Behaviour::RespondsWithWrongAttemptId => Ok(head(StatusCode::OK, &headers, |answer| {
            mark(answer);
            let other = "another-attempt".parse().expect("plain text");
            answer.insert("berylhook-attempt-id", other);
        })),
        _ if is_poisoned && !line.contains("/stream") => std::future::pending().await,
        _ if line.contains("/stream") => Ok(stream(Arc::clone(&state), index, behaviour, &headers)),
        _ => {
            state.lock().expect("no handler panics").runs[index].is_finished = true;
            Ok(head(StatusCode::OK, &headers, mark))
        }
    }
}

fn mark(answer: &mut HeaderMap) {
    answer.insert(
        "berylhook-response-seal",
        "seal".parse().expect("plain text"),
    );
}

fn head(status: StatusCode, request: &HeaderMap, add: impl Fn(&mut HeaderMap)) -> Response {
    let mut response = http::json(status, &json!({"served": attempt(request)}));
    echo(request, response.headers_mut());
    add(response.headers_mut());
    response
}

/// The attempt that a request belongs to; empty if it does not say.
fn attempt(request: &HeaderMap) -> String {
    let id = request.get("berylhook-attempt-id");
    let id = id.and_then(|id| id.to_str().ok());
    id.unwrap_or_default().to_owned()
}

fn echo(request: &HeaderMap, answer: &mut HeaderMap) {
    if let Some(id) = request.get("berylhook-attempt-id") {
        answer.insert("berylhook-attempt-id", id.clone());
    }
}

fn stream(
    state: Arc<Mutex<State>>,
    index: usize,
    behaviour: Behaviour,
    headers: &HeaderMap,
) -> Response {
    let (sender, receiver) = mpsc::channel(1);
    let after = headers
        .get("last-event-id")
        .and_then(|id| id.to_str().ok()?.parse().ok())
        .unwrap_or(0);
    let attempt = attempt(headers);
    tokio::spawn(async move {
        for id in after + 1..=EVENTS_PER_STREAM {
            if behaviour == Behaviour::CutsStreamAfter(id - 1) {
                // Half an event, and the connection is gone.
                let _ = sender.send(Ok(Bytes::from(format!("id: {id}\nda")))).await;
                let _ = sender.send(Err(NoResponse)).await;
                return;
            }
            tokio::time::sleep(EVENT_PAUSE).await;
            let event = Bytes::from(format!("id: {id}\ndata: {attempt} {id}\n\n"));
            if sender.send(Ok(event)).await.is_err() {
                return;
            }
        }
        state.lock().expect("no handler panics").runs[index].is_finished = true;
    });
    let mut response = http::stream("text/event-stream", receiver);
    echo(headers, response.headers_mut());
    mark(response.headers_mut());
    response
}
