//! A stand-in for a group of model engines on the platform: ranks that begin
//! each pass together, hold, and switch maps when armed. It answers no callers.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use hyper::{Method, StatusCode};
use serde_json::{Value, json};
use tokio::task::JoinHandle;

use crate::http::{self, NoResponse, Response, Server};
use crate::kv::KeyValueStandIn;

/// Time of a pass.
const PASS: Duration = Duration::from_millis(15);

/// Time to copy the experts of a new map.
const COPY: Duration = Duration::from_millis(40);

/// Choices that each pass adds to a rank's counts.
const CHOICES: u64 = 400;

/// Experts of the only set.
pub const EXPERT_COUNT: usize = 16;

/// Unix time of the first start of each engine, in milliseconds.
const FIRST_START_UNIX_MS: u64 = 1_790_000_000_000;

#[derive(Clone, Default)]
struct Rank {
    /// Times that its engine has started again.
    restarts: u64,
    map: Vec<Vec<u16>>,
    version: u64,
    prepared: Option<(u64, Vec<Vec<u16>>)>,
    highest: u64,
    armed: Option<(u64, u64)>,
    held: Option<u64>,
    /// Hold orders that it accepted.
    holds: u64,
    /// Requests that wait there, as it tells.
    queued: u32,
    counts: Vec<u64>,
}

struct State {
    name: String,
    epoch: u64,
    first_map: Vec<Vec<u16>>,
    /// Whether copies of experts end.
    copies_end: bool,
    /// Prepare orders that were accepted.
    prepares: u64,
    /// The rank whose orders are carried out without an answer.
    mute_rank: Option<usize>,
    pass: u64,
    favourite: usize,
    ranks: Vec<Rank>,
    /// Passes that began with two maps.
    mixed: u64,
}

/// The running stand-in.
pub struct PlatformGroup {
    state: Arc<Mutex<State>>,
    servers: Vec<Server>,
    passes: JoinHandle<()>,
}

impl PlatformGroup {
    /// Starts a group of that name whose ranks listen at these addresses, experts
    /// in turn.
    pub async fn start(name: &str, addresses: &[SocketAddr]) -> Self {
        let size = addresses.len();
        let first: Vec<Vec<u16>> = (0..size)
            .map(|rank| (0..EXPERT_COUNT).filter(move |expert| expert % size == rank))
            .map(|experts| experts.map(|it| u16::try_from(it).expect("few")).collect())
            .collect();
        let rank = Rank {
            map: first.clone(),
            counts: vec![0; EXPERT_COUNT],
            ..Rank::default()
        };
        let state = Arc::new(Mutex::new(State {
            name: name.to_owned(),
            epoch: 1,
            first_map: first,
            copies_end: true,
            prepares: 0,
            mute_rank: None,
            pass: 0,
            favourite: 0,
            ranks: vec![rank; size],
            mixed: 0,
        }));
        let mut servers = Vec::new();
        for (rank, address) in addresses.iter().enumerate() {
            let state = Arc::clone(&state);
            let handler = Arc::new(move |request: hyper::Request<hyper::body::Incoming>| {
                let state = Arc::clone(&state);
                let answered: futures_util::future::BoxFuture<
                    'static,
                    Result<Response, NoResponse>,
                > = Box::pin(async move { answer(&state, rank, request).await });
                answered
            });
            servers.push(Server::start_at(*address, handler).await);
        }
        let passes = tokio::spawn(run_passes(Arc::clone(&state)));
        Self {
            state,
            servers,
            passes,
        }
    }

    /// Lists its engines in the store.
    pub fn register(&self, store: &KeyValueStandIn, service: &str) {
        for (rank, server) in self.servers.iter().enumerate() {
            let document = json!({
                "service": service, "address": server.address.to_string(), "zone": "here",
                "version": "v1", "slots": 12, "phase": "ready", "cold-left-ms": 0, "seq": 1,
            });
            let name = &self.lock().name;
            let key = format!("servers/{name}-rank-{rank}");
            store.put_raw(&key, document.to_string().as_bytes());
        }
    }

    /// Callers begin to ask for what this expert knows.
    pub fn set_hot_expert(&self, favourite: usize) {
        self.lock().favourite = favourite;
    }

    /// Ranks that hold the expert, by the map in use.
    #[must_use]
    pub fn replicas_of(&self, expert: u16) -> usize {
        let state = self.lock();
        let map = &state.ranks[0].map;
        map.iter().filter(|held| held.contains(&expert)).count()
    }

    /// An engine starts again under its id, and the group forms anew: all ranks
    /// have their first map, and nothing prepared, armed or held.
    pub fn restart_engine(&self, rank: usize) {
        let mut state = self.lock();
        state.epoch += 1;
        let first_map = state.first_map.clone();
        for rank in &mut state.ranks {
            *rank = Rank {
                restarts: rank.restarts,
                holds: rank.holds,
                queued: rank.queued,
                counts: rank.counts.clone(),
                map: first_map.clone(),
                ..Rank::default()
            };
        }
        let own = &mut state.ranks[rank];
        own.restarts += 1;
        own.counts = vec![0; EXPERT_COUNT];
    }

    /// From now on copies of experts end, or never do.
    pub fn set_copies_complete(&self, copies_end: bool) {
        self.lock().copies_end = copies_end;
    }

    /// Prepare orders that its ranks have accepted.
    #[must_use]
    pub fn prepare_commands(&self) -> u64 {
        self.lock().prepares
    }

    /// Hold orders that its ranks have accepted.
    #[must_use]
    pub fn pause_commands(&self) -> u64 {
        self.lock().ranks.iter().map(|rank| rank.holds).sum()
    }

    /// Hold orders that were accepted so far by that rank.
    #[must_use]
    pub fn pause_commands_of(&self, rank: usize) -> u64 {
        self.lock().ranks[rank].holds
    }

    /// Has a rank tell from now on that so many requests wait there.
    pub fn set_queued(&self, rank: usize, queued: u32) {
        self.lock().ranks[rank].queued = queued;
    }

    /// From now on that rank carries orders out without an answer; `None` ends that.
    pub fn drop_command_replies_of(&self, rank: Option<usize>) {
        self.lock().mute_rank = rank;
    }

    /// Passes that began while two ranks had different maps.
    #[must_use]
    pub fn mixed_passes(&self) -> u64 {
        self.lock().mixed
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no handler panics")
    }
}

impl Drop for PlatformGroup {
    fn drop(&mut self) {
        self.passes.abort();
    }
}

async fn run_passes(state: Arc<Mutex<State>>) {
    loop {
        tokio::time::sleep(PASS).await;
        state.lock().expect("no handler panics").begin_pass();
    }
}

impl State {
    fn begin_pass(&mut self) {
        let next = self.pass + 1;
        if self.ranks.iter().any(|rank| rank.held == Some(next)) {
            return;
        }
        self.pass = next;
        let favourite = self.favourite;
        for rank in &mut self.ranks {
            rank.begin(next, favourite);
        }
        let first = (self.ranks[0].version, self.ranks[0].map.clone());
        let is_mixed = |rank: &Rank| (rank.version, &rank.map) != (first.0, &first.1);
        self.mixed += u64::from(self.ranks.iter().any(is_mixed));
    }
}

impl Rank {
    fn begin(&mut self, pass: u64, favourite: usize) {
        match (self.armed, self.prepared.clone()) {
            (Some((version, at)), Some((prepared, map))) if at == pass && prepared == version => {
                self.version = version;
                self.map = map;
                self.armed = None;
            }
            _ => {}
        }
        for (expert, count) in self.counts.iter_mut().enumerate() {
            *count += if expert == favourite {
                CHOICES
            } else {
                CHOICES / 20
            };
        }
    }
}

async fn answer(
    state: &Arc<Mutex<State>>,
    rank: usize,
    request: hyper::Request<hyper::body::Incoming>,
) -> Result<Response, NoResponse> {
    let wants_lists = request.uri().query().is_some();
    let call = (request.method().clone(), request.uri().path().to_owned());
    let body = http::body(request).await;
    let response = match (call.0, call.1.as_str()) {
        (Method::GET, "/-/report") => report(&state.lock().expect("no panics"), rank),
        (Method::GET, "/-/picked") if wants_lists => lists(&state.lock().expect("no panics"), rank),
        (Method::GET, "/-/picked") => picked(&state.lock().expect("no panics"), rank),
        (Method::POST, "/-/order") => {
            let order = serde_json::from_slice(&body).unwrap_or_default();
            let status = obey(state, rank, &order);
            if state.lock().expect("no panics").mute_rank == Some(rank) {
                return Err(NoResponse);
            }
            http::json(status, &json!({}))
        }
        _ => http::json(StatusCode::NOT_FOUND, &json!({})),
    };
    Ok(response)
}

fn report(state: &State, rank: usize) -> Response {
    let own = &state.ranks[rank];
    let armed = own
        .armed
        .map(|(version, step)| json!({"version": version, "step": step}));
    http::json(
        StatusCode::OK,
        &json!({
            "born": FIRST_START_UNIX_MS + own.restarts,
            "group": {"name": state.name, "epoch": state.epoch, "rank": rank, "phase": "open"},
            "size": state.ranks.len(), "queued": own.queued, "active": 1, "pace": 1.0,
            "step": state.pass, "map": own.version,
            "prepared": own.prepared.as_ref().map(|(version, _)| version),
            "armed": armed, "held": own.held,
        }),
    )
}

fn picked(state: &State, rank: usize) -> Response {
    let own = &state.ranks[rank];
    let body = json!({
        "born": FIRST_START_UNIX_MS + own.restarts,
        "step": state.pass, "epoch": state.epoch, "counts": own.counts,
    });
    http::json(StatusCode::OK, &body)
}

fn lists(state: &State, rank: usize) -> Response {
    let own = &state.ranks[rank];
    let map = json!({"version": own.version, "experts": [own.map[rank]]});
    http::json(
        StatusCode::OK,
        &json!({"epoch": state.epoch, "map": map, "prepared": null}),
    )
}

/// Carries out an order as the platform describes it.
fn obey(shared: &Arc<Mutex<State>>, rank: usize, order: &Value) -> StatusCode {
    let mut state = shared.lock().expect("no handler panics");
    let pass = state.pass;
    let step = order["step"].as_u64().unwrap_or(0);
    let version = order["version"].as_u64().unwrap_or(0);
    let (epoch, copies_end) = (state.epoch, state.copies_end);
    if order["epoch"].as_u64() != Some(epoch) {
        return StatusCode::CONFLICT;
    }
    let own = &mut state.ranks[rank];
    let is_done = match order["op"].as_str().unwrap_or_default() {
        "prepare" if own.prepared.as_ref().is_some_and(|it| it.0 == version) => {
            return StatusCode::OK;
        }
        "prepare" if version > own.highest && own.armed.is_none() => {
            own.highest = version;
            let map = serde_json::from_value(order["map"][0].clone()).unwrap_or_default();
            let shared = Arc::clone(shared);
            tokio::spawn(async move {
                tokio::time::sleep(COPY).await;
                let mut state = shared.lock().expect("no handler panics");
                let is_same_life = state.epoch == epoch;
                let own = &mut state.ranks[rank];
                if own.highest == version && is_same_life && copies_end {
                    own.prepared = Some((version, map));
                }
            });
            true
        }
        "hold" if pass < step && own.held.is_none_or(|held| held == step) => {
            own.held = Some(step);
            own.holds += 1;
            true
        }
        "arm" => {
            let is_prepared = own.prepared.as_ref().is_some_and(|it| it.0 == version);
            let is_in_time = pass < step && is_prepared;
            own.armed = if is_in_time {
                Some((version, step))
            } else {
                own.armed
            };
            is_in_time
        }
        "go" => {
            own.held = own.held.filter(|held| *held != step);
            true
        }
        _ => false,
    };
    state.prepares += u64::from(is_done && order["op"] == "prepare");
    if is_done {
        StatusCode::ACCEPTED
    } else {
        StatusCode::CONFLICT
    }
}
