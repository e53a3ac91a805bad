//! A stand-in for a group of model engines on the platform. Its ranks begin each forward pass
//! together, pause on command, and switch expert maps when armed. Each pass makes one event of each
//! stream.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::{HeaderMap, Method, StatusCode};
use serde_json::{Value, json};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use crate::http::{self, NoResponse, Response, Server};
use crate::kv::KeyValueStandIn;
use crate::rank_requests::{Abandoned, PASSES_PER_STREAM, RankRequests};

/// Duration of a pass, unless [`PlatformGroup::set_pass_duration`] was called.
const PASS_DURATION: Duration = Duration::from_millis(15);

/// Time to copy the experts of a new map.
const COPY_DURATION: Duration = Duration::from_millis(40);

/// Path prefix of requests that are run in passes.
pub const STREAM_PATH: &str = "/stream/";

/// Slots of each engine.
const SLOTS: u32 = 48;

/// Interval at which a waiting connection looks at the state.
const WAIT_INTERVAL: Duration = Duration::from_millis(2);

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
    /// Whether nothing reaches the engine, as its VM is frozen.
    is_frozen: bool,
    /// Whether copies of experts wait.
    is_copy_withheld: bool,
    /// Number of reports sent while the newest version was prepared.
    ready_reports: u64,
    /// Requests sent to the frozen VM whose callers have disconnected.
    undelivered: usize,
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
    requests: RankRequests,
    pass_duration: Duration,
    /// Whether the VM of the next pausing rank freezes when the paused pass is due.
    freeze_on_pause: bool,
    /// The `op` of the commands that wait.
    withheld_op: Option<&'static str>,
    /// Number of pause commands that wait or have waited; each misses its pass.
    withheld_pauses: u64,
    /// Number of release commands that got no response.
    delayed_releases: u64,
    /// Delay of release commands, which then get no response.
    release_delay: Option<Duration>,
    last_pass_at: Instant,
    longest_stall: Duration,
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
            requests: RankRequests::default(),
            pass_duration: PASS_DURATION,
            freeze_on_pause: false,
            withheld_op: None,
            withheld_pauses: 0,
            delayed_releases: 0,
            release_delay: None,
            last_pass_at: Instant::now(),
            longest_stall: Duration::ZERO,
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
                "version": "v1", "slots": SLOTS, "phase": "ready", "cold-left-ms": 0, "seq": 1,
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

    /// Sets the duration of passes from now on.
    pub fn set_pass_duration(&self, pass_duration: Duration) {
        self.lock().pass_duration = pass_duration;
    }

    /// Makes the VM of the next pausing rank freeze when the paused pass is due. Arm commands wait
    /// until then, so that the release comes later.
    pub fn freeze_on_pause(&self) {
        self.lock().freeze_on_pause = true;
    }

    /// Freezes the VM of a rank now. Passes go on, as its engine is no process of the VM.
    pub fn freeze_vm(&self, rank: usize) {
        self.lock().ranks[rank].is_frozen = true;
    }

    /// The ranks with a frozen VM.
    #[must_use]
    pub fn frozen_ranks(&self) -> Vec<usize> {
        let state = self.lock();
        let ranks = state.ranks.iter().enumerate();
        let frozen = ranks.filter(|(_, rank)| rank.is_frozen);
        frozen.map(|(index, _)| index).collect()
    }

    /// Ends the freeze of all VMs; their engines then notice which callers have disconnected.
    pub fn wake_vms(&self) {
        let mut state = self.lock();
        for rank in &mut state.ranks {
            rank.is_frozen = false;
        }
        state.requests.on_wake();
    }

    /// Whether the rank keeps the group paused, so that it has had no release since.
    #[must_use]
    pub fn is_pausing(&self, rank: usize) -> bool {
        let state = self.lock();
        state.ranks[rank].paused_before == Some(state.pass + 1)
    }

    /// Sets whether arm commands wait from now on.
    pub fn withhold_arms(&self, are_arms_withheld: bool) {
        self.lock().withheld_op = are_arms_withheld.then_some("arm");
    }

    /// Sets whether pause commands wait from now on. Each that has waited misses its pass.
    pub fn withhold_pauses(&self, are_pauses_withheld: bool) {
        self.lock().withheld_op = are_pauses_withheld.then_some("hold");
    }

    /// Number of pause commands that were withheld.
    #[must_use]
    pub fn withheld_pauses(&self) -> u64 {
        self.lock().withheld_pauses
    }

    /// Number of release commands that were delayed.
    #[must_use]
    pub fn delayed_releases(&self) -> u64 {
        self.lock().delayed_releases
    }

    /// Makes release commands take effect later and get no response.
    pub fn delay_releases(&self, release_delay: Option<Duration>) {
        self.lock().release_delay = release_delay;
    }

    /// Sets whether copies of experts to a rank wait from now on.
    pub fn withhold_copies_of(&self, rank: usize, is_copy_withheld: bool) {
        self.lock().ranks[rank].is_copy_withheld = is_copy_withheld;
    }

    /// Number of reports in which the rank was ready to switch.
    #[must_use]
    pub fn ready_reports_of(&self, rank: usize) -> u64 {
        self.lock().ranks[rank].ready_reports
    }

    /// The longest time between two passes, including the present one.
    #[must_use]
    pub fn longest_stall(&self) -> Duration {
        let state = self.lock();
        state.longest_stall.max(state.last_pass_at.elapsed())
    }

    /// Forgets the longest time between two passes.
    pub fn reset_longest_stall(&self) {
        self.lock().longest_stall = Duration::ZERO;
    }

    /// The requests at a rank whose callers have disconnected.
    #[must_use]
    pub fn abandoned(&self, rank: usize) -> Abandoned {
        let state = self.lock();
        Abandoned {
            undelivered: state.ranks[rank].undelivered,
            ..state.requests.abandoned(rank)
        }
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
        let pass_duration = state.lock().expect("no handler panics").pass_duration;
        tokio::time::sleep(pass_duration).await;
        state.lock().expect("no handler panics").begin_pass();
    }
}

impl State {
    fn begin_pass(&mut self) {
        let next = self.pass + 1;
        let mut ranks = self.ranks.iter_mut();
        if let Some(pausing) = ranks.find(|rank| rank.paused_before == Some(next)) {
            if self.freeze_on_pause {
                self.freeze_on_pause = false;
                pausing.is_frozen = true;
            }
            return;
        }
        self.pass = next;
        self.longest_stall = self.longest_stall.max(self.last_pass_at.elapsed());
        self.last_pass_at = Instant::now();
        self.requests.begin_pass(next);
        let hot_expert = self.hot_expert;
        for rank in &mut self.ranks {
            rank.begin(next, hot_expert);
        }
        let first = (self.ranks[0].version, self.ranks[0].map.clone());
        let is_mixed = |rank: &Rank| (rank.version, &rank.map) != (first.0, &first.1);
        self.mixed_passes += u64::from(self.ranks.iter().any(is_mixed));
    }
}

impl State {
    /// Whether arm commands wait: on request, or until the pausing rank's VM freezes.
    fn withholds_arms(&self) -> bool {
        self.withheld_op == Some("arm") || self.freeze_on_pause
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
    if request.uri().path().starts_with(STREAM_PATH) {
        count_while_frozen(state, rank).await;
    }
    wait_while_frozen(state, rank).await;
    let wants_map = request.uri().query().is_some();
    let call = (request.method().clone(), request.uri().path().to_owned());
    let headers = request.headers().clone();
    let body = http::body(request).await;
    let response = match (call.0, call.1.as_str()) {
        (Method::POST, path) if path.starts_with(STREAM_PATH) => {
            stream(state, rank, &headers).await
        }
        (Method::GET, "/-/report") => report(&mut state.lock().expect("no panics"), rank),
        (Method::GET, "/-/picked") if wants_map => {
            active_map(&state.lock().expect("no panics"), rank)
        }
        (Method::GET, "/-/picked") => selection_counts(&state.lock().expect("no panics"), rank),
        (Method::POST, "/-/order") => {
            let command: Value = serde_json::from_slice(&body).unwrap_or_default();
            let is_withheld = || state.lock().expect("no panics").withholds_arms();
            while command["op"] == "arm" && is_withheld() {
                tokio::time::sleep(WAIT_INTERVAL).await;
            }
            wait_while_frozen(state, rank).await;
            if command["op"] == "hold" {
                wait_until_missed(state, &command).await;
            }
            let release_delay = state.lock().expect("no panics").release_delay;
            if let Some(delay) = release_delay.filter(|_| command["op"] == "go") {
                state.lock().expect("no panics").delayed_releases += 1;
                let state = Arc::clone(state);
                tokio::spawn(async move {
                    tokio::time::sleep(delay).await;
                    execute(&state, rank, &command);
                });
                return Err(NoResponse);
            }
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

/// Delays a pause command, if these are withheld, until its pass has begun.
async fn wait_until_missed(state: &Arc<Mutex<State>>, command: &Value) {
    let lock = || state.lock().expect("no panics");
    if lock().withheld_op != Some("hold") {
        return;
    }
    lock().withheld_pauses += 1;
    let pass = command["step"].as_u64().unwrap_or(0);
    let is_due = |state: &State| state.withheld_op.is_none() && state.pass >= pass;
    while !is_due(&lock()) {
        tokio::time::sleep(WAIT_INTERVAL).await;
    }
}

/// Waits while the rank's VM is frozen. A request whose caller disconnects meanwhile is counted.
async fn count_while_frozen(state: &Arc<Mutex<State>>, rank: usize) {
    let mut undelivered = Undelivered {
        state,
        rank,
        is_delivered: false,
    };
    wait_while_frozen(state, rank).await;
    undelivered.is_delivered = true;
}

async fn wait_while_frozen(state: &Arc<Mutex<State>>, rank: usize) {
    while state.lock().expect("no panics").ranks[rank].is_frozen {
        tokio::time::sleep(WAIT_INTERVAL).await;
    }
}

struct Undelivered<'a> {
    state: &'a Mutex<State>,
    rank: usize,
    is_delivered: bool,
}

impl Drop for Undelivered<'_> {
    fn drop(&mut self) {
        if let Ok(mut state) = self.state.lock() {
            state.ranks[self.rank].undelivered += usize::from(!self.is_delivered);
        }
    }
}

/// Runs a request in passes. The response head is sent when the request has begun.
async fn stream(state: &Arc<Mutex<State>>, rank: usize, headers: &HeaderMap) -> Response {
    let index = state.lock().expect("no panics").requests.add(rank);
    let caller = CallerConnection {
        state: Arc::clone(state),
        index,
    };
    while caller.events_received() == 0 {
        tokio::time::sleep(WAIT_INTERVAL).await;
    }
    let (sender, receiver) = mpsc::channel(1);
    tokio::spawn(async move {
        for id in 1..=PASSES_PER_STREAM {
            while caller.events_received() < id && !sender.is_closed() {
                tokio::time::sleep(WAIT_INTERVAL).await;
            }
            let event = Bytes::from(format!("id: {id}\ndata: {id}\n\n"));
            if sender.send(Ok(event)).await.is_err() {
                return;
            }
        }
    });
    let mut response = http::stream("text/event-stream", receiver);
    let seal = "seal".parse().expect("plain text");
    response
        .headers_mut()
        .insert("berylhook-response-seal", seal);
    if let Some(id) = headers.get("berylhook-attempt-id") {
        let id = id.clone();
        response.headers_mut().insert("berylhook-attempt-id", id);
    }
    response
}

/// Records, when dropped, that the caller of an unfinished request has disconnected.
struct CallerConnection {
    state: Arc<Mutex<State>>,
    index: usize,
}

impl CallerConnection {
    /// Number of events that can have reached the caller; none more while the VM is frozen.
    fn events_received(&self) -> u64 {
        let state = self.state.lock().expect("no handler panics");
        match state.requests.rank(self.index) {
            rank if state.ranks[rank].is_frozen => 0,
            _ => state.requests.events(self.index, state.pass),
        }
    }
}

impl Drop for CallerConnection {
    fn drop(&mut self) {
        if let Ok(mut state) = self.state.lock() {
            let State {
                requests, ranks, ..
            } = &mut *state;
            requests.disconnect(self.index, |rank| ranks[rank].is_frozen);
        }
    }
}

fn report(state: &mut State, rank: usize) -> Response {
    let (begun, waiting) = state.requests.counts(rank);
    let size = state.ranks.len();
    let rank_state = &mut state.ranks[rank];
    let prepared = rank_state.prepared.as_ref().map(|(version, _)| *version);
    if prepared == Some(rank_state.highest_version)
        && rank_state.version < rank_state.highest_version
    {
        rank_state.ready_reports += 1;
    }
    let (active, queued) = (begun + 1, rank_state.queued as usize + waiting);
    let armed = rank_state
        .armed
        .map(|(version, step)| json!({"version": version, "step": step}));
    http::json(
        StatusCode::OK,
        &json!({
            "born": FIRST_START_UNIX_MS + rank_state.restarts,
            "group": {"name": state.name, "epoch": state.epoch, "rank": rank, "phase": "open"},
            "size": size, "queued": queued, "active": active, "pace": 1.0,
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
                let is_withheld = || shared.lock().expect("no panics").ranks[rank].is_copy_withheld;
                while is_withheld() {
                    tokio::time::sleep(WAIT_INTERVAL).await;
                }
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
