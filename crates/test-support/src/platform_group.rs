//! A stand-in for a group of model engines on the platform. Its ranks begin each forward pass
//! together, pause on command, and switch expert maps when armed. It serves no callers.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use hyper::{Method, StatusCode};
use serde_json::{Value, json};
use tokio::task::JoinHandle;

use crate::http::{self, NoResponse, Response, Server};
use crate::kv::KeyValueStandIn;

/// Duration of a pass.
const PASS_DURATION: Duration = Duration::from_millis(15);

/// Time to copy the experts of a new map.
const COPY_DURATION: Duration = Duration::from_millis(40);

/// Selections of the hot expert that each pass adds to a rank's counts; each other expert gets a
/// twentieth.
const HOT_EXPERT_SELECTIONS: u64 = 400;

/// Number of experts in the only layer set.
pub const EXPERT_COUNT: usize = 16;

/// Unix time at which each engine first started, in milliseconds.
const FIRST_START_UNIX_MS: u64 = 1_790_000_000_000;

#[derive(Clone, Default)]
struct Rank {
    /// Number of restarts of the engine.
    restarts: u64,
    map: Vec<Vec<u16>>,
    version: u64,
    /// Version and map that the rank has prepared.
    prepared: Option<(u64, Vec<Vec<u16>>)>,
    /// The highest version that a prepare command has named.
    highest_version: u64,
    /// The armed version, and the pass at whose start the rank switches to it.
    armed: Option<(u64, u64)>,
    /// The pass that the rank does not begin before it is released.
    paused_before: Option<u64>,
    /// Number of pause commands that the rank has accepted.
    pause_commands: u64,
    /// Number of waiting requests that the rank reports.
    queued: u32,
    counts: Vec<u64>,
}

struct State {
    name: String,
    epoch: u64,
    initial_map: Vec<Vec<u16>>,
    /// Whether copies of experts complete.
    copies_complete: bool,
    /// Number of prepare commands that ranks have accepted.
    prepare_commands: u64,
    /// The rank that executes commands without a reply.
    silent_rank: Option<usize>,
    pass: u64,
    hot_expert: usize,
    ranks: Vec<Rank>,
    /// Number of passes that began with different maps on two ranks.
    mixed_passes: u64,
}

/// Handle of a running stand-in.
pub struct PlatformGroup {
    state: Arc<Mutex<State>>,
    servers: Vec<Server>,
    passes: JoinHandle<()>,
}

impl PlatformGroup {
    /// Starts a group whose ranks listen on these addresses. Experts are assigned to ranks
    /// round-robin.
    pub async fn start(name: &str, addresses: &[SocketAddr]) -> Self {
        let size = addresses.len();
        let initial_map: Vec<Vec<u16>> = (0..size)
            .map(|rank| (0..EXPERT_COUNT).filter(move |expert| expert % size == rank))
            .map(|experts| {
                experts
                    .map(|expert| u16::try_from(expert).expect("few"))
                    .collect()
            })
            .collect();
        let rank = Rank {
            map: initial_map.clone(),
            counts: vec![0; EXPERT_COUNT],
            ..Rank::default()
        };
        let state = Arc::new(Mutex::new(State {
            name: name.to_owned(),
            epoch: 1,
            initial_map,
            copies_complete: true,
            prepare_commands: 0,
            silent_rank: None,
            pass: 0,
            hot_expert: 0,
            ranks: vec![rank; size],
            mixed_passes: 0,
        }));
        let mut servers = Vec::new();
        for (rank, address) in addresses.iter().enumerate() {
            let state = Arc::clone(&state);
            let handler = Arc::new(move |request: hyper::Request<hyper::body::Incoming>| {
                let state = Arc::clone(&state);
                let response: futures_util::future::BoxFuture<
                    'static,
                    Result<Response, NoResponse>,
                > = Box::pin(async move { respond(&state, rank, request).await });
                response
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

    /// Registers the engines in the store.
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

    /// Sets the expert that requests select most often from now on.
    pub fn set_hot_expert(&self, hot_expert: usize) {
        self.lock().hot_expert = hot_expert;
    }

    /// Number of ranks that hold the expert in the active map.
    #[must_use]
    pub fn replicas_of(&self, expert: u16) -> usize {
        let state = self.lock();
        let map = &state.ranks[0].map;
        map.iter()
            .filter(|experts| experts.contains(&expert))
            .count()
    }

    /// Restarts an engine under its id. The group then forms again in a new epoch: all ranks have
    /// the initial map, and nothing is prepared, armed or paused.
    pub fn restart_engine(&self, rank: usize) {
        let mut state = self.lock();
        state.epoch += 1;
        let initial_map = state.initial_map.clone();
        for rank in &mut state.ranks {
            *rank = Rank {
                restarts: rank.restarts,
                pause_commands: rank.pause_commands,
                queued: rank.queued,
                counts: rank.counts.clone(),
                map: initial_map.clone(),
                ..Rank::default()
            };
        }
        let rank_state = &mut state.ranks[rank];
        rank_state.restarts += 1;
        rank_state.counts = vec![0; EXPERT_COUNT];
    }

    /// Sets whether copies of experts complete from now on.
    pub fn set_copies_complete(&self, copies_complete: bool) {
        self.lock().copies_complete = copies_complete;
    }

    /// Number of prepare commands that the ranks have accepted.
    #[must_use]
    pub fn prepare_commands(&self) -> u64 {
        self.lock().prepare_commands
    }

    /// Number of pause commands that the ranks have accepted.
    #[must_use]
    pub fn pause_commands(&self) -> u64 {
        self.lock()
            .ranks
            .iter()
            .map(|rank| rank.pause_commands)
            .sum()
    }

    /// Number of pause commands that one rank has accepted.
    #[must_use]
    pub fn pause_commands_of(&self, rank: usize) -> u64 {
        self.lock().ranks[rank].pause_commands
    }

    /// Sets the number of waiting requests that a rank reports from now on.
    pub fn set_queued(&self, rank: usize, queued: u32) {
        self.lock().ranks[rank].queued = queued;
    }

    /// Makes a rank execute commands without a reply; `None` ends that.
    pub fn drop_command_replies_of(&self, rank: Option<usize>) {
        self.lock().silent_rank = rank;
    }

    /// Number of passes that began with different maps on two ranks.
    #[must_use]
    pub fn mixed_passes(&self) -> u64 {
        self.lock().mixed_passes
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
        tokio::time::sleep(PASS_DURATION).await;
        state.lock().expect("no handler panics").begin_pass();
    }
}

impl State {
    fn begin_pass(&mut self) {
        let next = self.pass + 1;
        if self
            .ranks
            .iter()
            .any(|rank| rank.paused_before == Some(next))
        {
            return;
        }
        self.pass = next;
        let hot_expert = self.hot_expert;
        for rank in &mut self.ranks {
            rank.begin(next, hot_expert);
        }
        let first = (self.ranks[0].version, self.ranks[0].map.clone());
        let is_mixed = |rank: &Rank| (rank.version, &rank.map) != (first.0, &first.1);
        self.mixed_passes += u64::from(self.ranks.iter().any(is_mixed));
    }
}

impl Rank {
    fn begin(&mut self, pass: u64, hot_expert: usize) {
        match (self.armed, self.prepared.clone()) {
            (Some((version, at)), Some((prepared, map))) if at == pass && prepared == version => {
                self.version = version;
                self.map = map;
                self.armed = None;
            }
            _ => {}
        }
        for (expert, count) in self.counts.iter_mut().enumerate() {
            *count += if expert == hot_expert {
                HOT_EXPERT_SELECTIONS
            } else {
                HOT_EXPERT_SELECTIONS / 20
            };
        }
    }
}

async fn respond(
    state: &Arc<Mutex<State>>,
    rank: usize,
    request: hyper::Request<hyper::body::Incoming>,
) -> Result<Response, NoResponse> {
    let wants_map = request.uri().query().is_some();
    let call = (request.method().clone(), request.uri().path().to_owned());
    let body = http::body(request).await;
    let response = match (call.0, call.1.as_str()) {
        (Method::GET, "/-/report") => report(&state.lock().expect("no panics"), rank),
        (Method::GET, "/-/picked") if wants_map => {
            active_map(&state.lock().expect("no panics"), rank)
        }
        (Method::GET, "/-/picked") => selection_counts(&state.lock().expect("no panics"), rank),
        (Method::POST, "/-/order") => {
            let command = serde_json::from_slice(&body).unwrap_or_default();
            let status = execute(state, rank, &command);
            if state.lock().expect("no panics").silent_rank == Some(rank) {
                return Err(NoResponse);
            }
            http::json(status, &json!({}))
        }
        _ => http::json(StatusCode::NOT_FOUND, &json!({})),
    };
    Ok(response)
}

fn report(state: &State, rank: usize) -> Response {
    let rank_state = &state.ranks[rank];
    let armed = rank_state
        .armed
        .map(|(version, step)| json!({"version": version, "step": step}));
    http::json(
        StatusCode::OK,
        &json!({
            "born": FIRST_START_UNIX_MS + rank_state.restarts,
            "group": {"name": state.name, "epoch": state.epoch, "rank": rank, "phase": "open"},
            "size": state.ranks.len(), "queued": rank_state.queued, "active": 1, "pace": 1.0,
            "step": state.pass, "map": rank_state.version,
            "prepared": rank_state.prepared.as_ref().map(|(version, _)| version),
            "armed": armed, "held": rank_state.paused_before,
        }),
    )
}

fn selection_counts(state: &State, rank: usize) -> Response {
    let rank_state = &state.ranks[rank];
    let body = json!({
        "born": FIRST_START_UNIX_MS + rank_state.restarts,
        "step": state.pass, "epoch": state.epoch, "counts": rank_state.counts,
    });
    http::json(StatusCode::OK, &body)
}

fn active_map(state: &State, rank: usize) -> Response {
    let rank_state = &state.ranks[rank];
    let map = json!({"version": rank_state.version, "experts": [rank_state.map[rank]]});
    http::json(
        StatusCode::OK,
        &json!({"epoch": state.epoch, "map": map, "prepared": null}),
    )
}

/// Executes a command as the platform describes it.
fn execute(shared: &Arc<Mutex<State>>, rank: usize, command: &Value) -> StatusCode {
    let mut state = shared.lock().expect("no handler panics");
    let pass = state.pass;
    let step = command["step"].as_u64().unwrap_or(0);
    let version = command["version"].as_u64().unwrap_or(0);
    let (epoch, copies_complete) = (state.epoch, state.copies_complete);
    if command["epoch"].as_u64() != Some(epoch) {
        return StatusCode::CONFLICT;
    }
    let rank_state = &mut state.ranks[rank];
    let is_accepted = match command["op"].as_str().unwrap_or_default() {
        "prepare"
            if rank_state
                .prepared
                .as_ref()
                .is_some_and(|prepared| prepared.0 == version) =>
        {
            return StatusCode::OK;
        }
        "prepare" if version > rank_state.highest_version && rank_state.armed.is_none() => {
            rank_state.highest_version = version;
            let map = serde_json::from_value(command["map"][0].clone()).unwrap_or_default();
            let shared = Arc::clone(shared);
            tokio::spawn(async move {
                tokio::time::sleep(COPY_DURATION).await;
                let mut state = shared.lock().expect("no handler panics");
                let is_same_epoch = state.epoch == epoch;
                let rank_state = &mut state.ranks[rank];
                if rank_state.highest_version == version && is_same_epoch && copies_complete {
                    rank_state.prepared = Some((version, map));
                }
            });
            true
        }
        "hold" if pass < step && rank_state.paused_before.is_none_or(|paused| paused == step) => {
            rank_state.paused_before = Some(step);
            rank_state.pause_commands += 1;
            true
        }
        "arm" => {
            let is_prepared = rank_state
                .prepared
                .as_ref()
                .is_some_and(|prepared| prepared.0 == version);
            let is_in_time = pass < step && is_prepared;
            rank_state.armed = if is_in_time {
                Some((version, step))
            } else {
                rank_state.armed
            };
            is_in_time
        }
        "go" => {
            rank_state.paused_before = rank_state.paused_before.filter(|paused| *paused != step);
            true
        }
        _ => false,
    };
    state.prepare_commands += u64::from(is_accepted && command["op"] == "prepare");
    if is_accepted {
        StatusCode::ACCEPTED
    } else {
        StatusCode::CONFLICT
    }
}
