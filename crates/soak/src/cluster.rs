//! Processes and stand-ins of one run.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use berylhook_test_support::calls::Caller;
use berylhook_test_support::interruption::PlannedWork;
use berylhook_test_support::{
    Behaviour, Daemon, EXPERT_COUNT, KeyValueStandIn, Link, PlatformGroup, PlatformTarget, Signal,
    free_address,
};
use serde_json::{Value, json};

use crate::evacuations::{EVACUATE_MS, EVACUATED};

/// API key that is valid in every configuration.
pub(crate) const API_KEY: &str = "n2ctnfzs";

/// Number of targets of the service that the callers use.
const TARGET_COUNT: usize = 4;

/// Data centres of the targets, in turn.
const DATA_CENTRES: [&str; 2] = [EVACUATED, "there"];

/// Number of ranks in the group whose expert map is adapted to the demand.
const RANK_COUNT: usize = 4;

/// Port of the agents; each listens on a separate loopback address.
const AGENT_PORT: u16 = 7_340;

/// Interval at which processes are checked for exits.
const SUPERVISION_INTERVAL: Duration = Duration::from_millis(30);

/// Time from the exit of a process to its restart.
const RESTART_DELAY: Duration = Duration::from_millis(200);

/// The grace period in the settings of the entries, in seconds.
pub(crate) const GRACE_S: u64 = 8;

/// Time in which a process must exit after SIGTERM: its grace period, and one second for a busy
/// machine.
pub(crate) const STOP_TIMEOUT: Duration = Duration::from_secs(GRACE_S + 1);

/// A process that is restarted whenever it exits.
pub(crate) struct SupervisedProcess {
    name: String,
    program: &'static str,
    role: &'static str,
    settings: String,
    daemon: Mutex<Daemon>,
    /// Output of the previous processes.
    previous_output: Mutex<String>,
    /// Whether this run has sent the current process a signal that ends it.
    is_exit_expected: AtomicBool,
    /// Number of processes started so far.
    lifetime: AtomicU64,
    /// Number of signals sent so far.
    signal_count: AtomicUsize,
}

impl SupervisedProcess {
    fn start(
        name: String,
        program: &'static str,
        role: &'static str,
        settings: String,
    ) -> anyhow::Result<Self> {
        let daemon = Daemon::start(program, &[role], &settings)?;
        Ok(Self {
            name,
            program,
            role,
            settings,
            daemon: Mutex::new(daemon),
            previous_output: Mutex::new(String::new()),
            is_exit_expected: AtomicBool::new(false),
            lifetime: AtomicU64::new(1),
            signal_count: AtomicUsize::new(0),
        })
    }

    pub(crate) fn lifetime(&self) -> u64 {
        self.lifetime.load(Ordering::SeqCst)
    }

    /// Whether the current process has got a signal that ends it.
    pub(crate) fn is_exit_expected(&self) -> bool {
        self.is_exit_expected.load(Ordering::SeqCst)
    }

    /// Sends a signal. After one that ends the process, its exit is not a violation.
    pub(crate) fn signal(&self, signal: Signal) {
        let daemon = self.daemon.lock().expect("no holder panics");
        if matches!(signal, Signal::Kill | Signal::Terminate) {
            self.is_exit_expected.store(true, Ordering::SeqCst);
        }
        self.signal_count.fetch_add(1, Ordering::SeqCst);
        daemon.signal(signal);
    }

    /// Records a violation if the output has a panic. In test builds a panic ends only its task,
    /// while in release builds it aborts the process.
    fn report_panic(&self, cluster: &Cluster) {
        let output = lock(&self.daemon).output();
        let panic = output.lines().find(|line| line.contains("panicked"));
        if let Some(line) = panic {
            cluster.record_violation(format!("{}: {line}", self.name));
        }
    }

    /// Restarts the process if it has exited; an unexpected exit is recorded as a violation.
    async fn supervise(&self, cluster: &Cluster) {
        let has_exited = self.daemon.lock().expect("no holder panics").has_exited();
        if !has_exited {
            return;
        }
        self.report_panic(cluster);
        let output = lock(&self.daemon).output();
        lock(&self.previous_output).push_str(&output);
        if !self.is_exit_expected.swap(false, Ordering::SeqCst) {
            let output = self.daemon.lock().expect("no holder panics").output();
            let last_line = output.lines().last().unwrap_or_default().to_owned();
            cluster.record_violation(format!("{} exited unexpectedly: {last_line}", self.name));
        }
        tokio::time::sleep(RESTART_DELAY).await;
        match Daemon::start(self.program, &[self.role], &self.settings) {
            Ok(daemon) => {
                *self.daemon.lock().expect("no holder panics") = daemon;
                self.lifetime.fetch_add(1, Ordering::SeqCst);
            }
            Err(error) => {
                cluster.record_violation(format!("{} cannot be started: {error:#}", self.name));
            }
        }
    }
}

/// An entry process and the link between it and the store.
pub(crate) struct Entry {
    pub(crate) caller_address: SocketAddr,
    pub(crate) process: SupervisedProcess,
    pub(crate) store_link: Link,
}

/// State of a target's entry in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Registration {
    Ready,
    Leaving,
    /// The target no longer writes an entry.
    Gone,
}

/// A target and the link between the entries and it.
pub(crate) struct Target {
    pub(crate) stand_in: PlatformTarget,
    pub(crate) data_centre: &'static str,
    pub(crate) link: Link,
    registration: Mutex<Registration>,
}

impl Target {
    /// Sets the state of the target's entry and writes it to the store.
    pub(crate) fn set_registration(&self, store: &KeyValueStandIn, registration: Registration) {
        *lock(&self.registration) = registration;
        self.write_registration(store);
    }

    fn write_registration(&self, store: &KeyValueStandIn) {
        let phase = match *lock(&self.registration) {
            Registration::Ready => "ready",
            Registration::Leaving => "draining",
            Registration::Gone => return,
        };
        let address = self.link.address;
        self.stand_in.register_at(store, "push", phase, address);
    }

    fn remove_if_gone(&self, store: &KeyValueStandIn) {
        if *lock(&self.registration) == Registration::Gone {
            self.stand_in.remove(store);
        }
    }
}

/// All processes and stand-ins of one run, with the violations and faults recorded so far.
pub(crate) struct Cluster {
    pub(crate) store: KeyValueStandIn,
    pub(crate) entries: Vec<Entry>,
    pub(crate) targets: Mutex<Vec<Arc<Target>>>,
    /// Targets that have left the service; their runs still count.
    retired_targets: Mutex<Vec<Arc<Target>>>,
    pub(crate) group: PlatformGroup,
    pub(crate) agents: Vec<SupervisedProcess>,
    pub(crate) version: AtomicU64,
    target_count: AtomicU64,
    poison_count: AtomicU64,
    violations: Mutex<Vec<String>>,
    faults: Mutex<Vec<String>>,
    /// Start and end of each period in which more than planned changes may affect requests.
    disturbances: Mutex<Vec<(Instant, Instant)>>,
    /// The changes planned at the entries, by their index.
    planned: Mutex<Vec<(usize, PlannedWork)>>,
}

impl Cluster {
    pub(crate) async fn start(entries: usize) -> anyhow::Result<Arc<Self>> {
        let store = KeyValueStandIn::start().await;
        store.put_raw("op/config", &configuration_document(1));
        let engines: Vec<SocketAddr> = (0..RANK_COUNT).map(|_| free_address()).collect();
        let group = PlatformGroup::start("g-0", &engines).await;
        group.register(&store, "llm");
        let agents = engines.iter().enumerate();
        let agents: anyhow::Result<Vec<SupervisedProcess>> = agents
            .map(|(rank, engine)| start_agent(rank, *engine, store.address()))
            .collect();
        let entries = start_entries(entries, store.address()).await?;
        let cluster = Arc::new(Self {
            store,
            entries,
            targets: Mutex::new(Vec::new()),
            retired_targets: Mutex::new(Vec::new()),
            group,
            agents: agents?,
            version: AtomicU64::new(1),
            target_count: AtomicU64::new(0),
            poison_count: AtomicU64::new(0),
            violations: Mutex::new(Vec::new()),
            faults: Mutex::new(Vec::new()),
            disturbances: Mutex::new(Vec::new()),
            planned: Mutex::new(Vec::new()),
        });
        for _ in 0..TARGET_COUNT {
            let target = cluster.new_target().await;
            lock(&cluster.targets).push(target);
        }
        tokio::spawn(supervise(Arc::downgrade(&cluster)));
        Ok(cluster)
    }

    /// Starts a target and writes its entry to the store.
    pub(crate) async fn new_target(&self) -> Arc<Target> {
        let number = self.target_count.fetch_add(1, Ordering::SeqCst);
        let stand_in = PlatformTarget::start(&format!("i-{number}")).await;
        let link = Link::start(stand_in.address()).await;
        stand_in.set_behaviour(Behaviour::ExitsOnPoison);
        let data_centre = DATA_CENTRES[usize::from(number % 2 == 1)];
        stand_in.set_data_centre(data_centre);
        let target = Target {
            stand_in,
            data_centre,
            link,
            registration: Mutex::new(Registration::Ready),
        };
        target.write_registration(&self.store);
        Arc::new(target)
    }

    /// The active target at `index`, modulo their number; `None` if there is none.
    pub(crate) fn target(&self, index: usize) -> Option<Arc<Target>> {
        let targets = lock(&self.targets);
        targets.get(index % targets.len().max(1)).cloned()
    }

    /// Moves a target from the active to the retired ones; `false` if it is retired already.
    pub(crate) fn retire(&self, target: &Arc<Target>) -> bool {
        let mut targets = lock(&self.targets);
        let previous_count = targets.len();
        targets.retain(|it| !Arc::ptr_eq(it, target));
        let is_retired = targets.len() < previous_count;
        if is_retired {
            lock(&self.retired_targets).push(Arc::clone(target));
        }
        is_retired
    }

    /// Returns a new number for an attempt of the poison request.
    pub(crate) fn next_poison_number(&self) -> u64 {
        self.poison_count.fetch_add(1, Ordering::SeqCst)
    }

    /// Removes the entries of targets that have exited, and starts new targets in their place.
    async fn replace_exited(&self) {
        let exited: Vec<Arc<Target>> = {
            let targets = lock(&self.targets);
            let exited = targets.iter().filter(|it| it.stand_in.has_exited());
            exited.cloned().collect()
        };
        for target in exited {
            if self.retire(&target) {
                let successor = self.new_target().await;
                lock(&self.targets).push(successor);
                target.set_registration(&self.store, Registration::Gone);
                target.stand_in.remove(&self.store);
            }
        }
    }

    /// Writes the configuration and the targets' entries again, as the operator and the targets
    /// do after a restore of the store.
    pub(crate) fn rewrite_lost_entries(&self) {
        let version = self.version.load(Ordering::SeqCst);
        self.store
            .put_raw("op/config", &configuration_document(version));
        self.group.register(&self.store, "llm");
        for target in self.all_targets() {
            target.write_registration(&self.store);
        }
    }

    /// Removes the entries of targets that no longer write them, as the platform does when they
    /// expire.
    pub(crate) fn remove_gone_targets(&self) {
        for target in self.all_targets() {
            target.remove_if_gone(&self.store);
        }
    }

    /// All targets of the run, active and retired.
    pub(crate) fn all_targets(&self) -> Vec<Arc<Target>> {
        let targets = lock(&self.targets);
        targets
            .iter()
            .chain(&*lock(&self.retired_targets))
            .cloned()
            .collect()
    }

    /// Writes the next version of the configuration to the store.
    pub(crate) fn publish_next_configuration(&self) {
        let version = self.version.fetch_add(1, Ordering::SeqCst) + 1;
        let sent_at = Instant::now();
        self.store
            .put_raw("op/config", &configuration_document(version));
        let configuration = PlannedWork::Configuration {
            sent_at,
            acknowledged_at: Some(Instant::now()),
        };
        for index in 0..self.entries.len() {
            self.record_planned(index, configuration);
        }
    }

    /// Writes the output of all processes to files, for the analysis of violations; returns the
    /// directory.
    pub(crate) fn save_logs(&self, seed: u64) -> std::io::Result<PathBuf> {
        let folder = std::env::temp_dir().join(format!("berylhook-soak-{seed}"));
        std::fs::create_dir_all(&folder)?;
        for process in self
            .entries
            .iter()
            .map(|it| &it.process)
            .chain(&self.agents)
        {
            let mut output = lock(&process.previous_output).clone();
            output.push_str(&lock(&process.daemon).output());
            std::fs::write(folder.join(format!("{}.log", process.name)), output)?;
        }
        Ok(folder)
    }

    pub(crate) fn record_violation(&self, description: String) {
        lock(&self.violations).push(description);
    }

    pub(crate) fn take_violations(&self) -> Vec<String> {
        std::mem::take(&mut lock(&self.violations))
    }

    pub(crate) fn record_fault(&self, description: String) {
        lock(&self.faults).push(description);
    }

    pub(crate) fn take_faults(&self) -> Vec<String> {
        std::mem::take(&mut lock(&self.faults))
    }

    /// Records that requests may fail within `duration` from now for reasons other than planned
    /// changes.
    pub(crate) fn record_disturbance(&self, duration: Duration) {
        let now = Instant::now();
        lock(&self.disturbances).push((now, now + duration));
    }

    /// The periods in which more than planned changes may affect requests.
    pub(crate) fn disturbances(&self) -> Vec<(Instant, Instant)> {
        lock(&self.disturbances).clone()
    }

    /// Records a change that is planned at an entry.
    pub(crate) fn record_planned(&self, entry_index: usize, work: PlannedWork) {
        lock(&self.planned).push((entry_index, work));
    }

    /// The changes planned at an entry.
    pub(crate) fn planned_at(&self, entry_index: usize) -> Vec<PlannedWork> {
        let planned = lock(&self.planned);
        let at_entry = planned.iter().filter(|(index, _)| *index == entry_index);
        at_entry.map(|(_, work)| *work).collect()
    }

    /// Number of signals sent to entries so far: every exit, restart and pause comes with one.
    pub(crate) fn entry_signal_count(&self) -> usize {
        let entries = self.entries.iter();
        let events = entries.map(|entry| entry.process.signal_count.load(Ordering::SeqCst));
        events.sum()
    }

    /// Whether only planned changes could affect requests between two points in time.
    pub(crate) fn is_undisturbed(&self, from: Instant, to: Instant) -> bool {
        let disturbances = lock(&self.disturbances);
        disturbances
            .iter()
            .all(|(begin, end)| *end < from || to < *begin)
    }

    /// Waits until every entry serves requests; records a violation after `timeout`.
    pub(crate) async fn wait_until_serving(&self, timeout: Duration) {
        let started_at = Instant::now();
        for entry in &self.entries {
            while request_status(entry, "/safe/").await != 200 {
                if started_at.elapsed() > timeout {
                    self.record_violation(format!("{} does not serve", entry.process.name));
                    break;
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }

    /// Checks the invariants that must hold after all faults have ended.
    pub(crate) async fn check_final_state(&self, timeout: Duration) {
        let started_at = Instant::now();
        let version = self.version.load(Ordering::SeqCst);
        for entry in &self.entries {
            while request_status(entry, &version_path(version)).await != 200 {
                if started_at.elapsed() > timeout {
                    let name = &entry.process.name;
                    self.record_violation(format!(
                        "{name} does not apply configuration version {version}"
                    ));
                    break;
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
        self.check_map(timeout).await;
        for process in self
            .entries
            .iter()
            .map(|it| &it.process)
            .chain(&self.agents)
        {
            process.report_panic(self);
        }
        if self.group.mixed_passes() > 0 {
            self.record_violation("a forward pass started with two expert maps".to_owned());
        }
    }

    /// Checks that an expert with a single copy gets a second one after the demand has shifted
    /// to it.
    ///
    /// Two copies are enough: with some maps a third one saves less time than a map change
    /// must save, since a change adds only one new expert to each rank.
    async fn check_map(&self, timeout: Duration) {
        let copy_count = |hot_expert: usize| {
            let expert = u16::try_from(hot_expert).expect("few experts");
            self.group.replicas_of(expert)
        };
        let Some(hot_expert) = (0..EXPERT_COUNT).find(|hot_expert| copy_count(*hot_expert) == 1)
        else {
            return self
                .record_violation("every expert has copies on two ranks or more".to_owned());
        };
        self.group.set_hot_expert(hot_expert);
        let started_at = Instant::now();
        while copy_count(hot_expert) < 2 {
            if started_at.elapsed() > timeout {
                return self.record_violation("the map does not follow the demand".to_owned());
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no holder panics")
}

async fn supervise(cluster: std::sync::Weak<Cluster>) {
    while let Some(cluster) = cluster.upgrade() {
        for process in cluster
            .entries
            .iter()
            .map(|it| &it.process)
            .chain(&cluster.agents)
        {
            process.supervise(&cluster).await;
        }
        cluster.replace_exited().await;
        drop(cluster);
        tokio::time::sleep(SUPERVISION_INTERVAL).await;
    }
}

async fn request_status(entry: &Entry, path: &str) -> u16 {
    let headers = [
        ("host", "desk.example"),
        ("berylhook-attempt-id", "probe"),
        ("berylhook-deadline-ms", "1000"),
    ];
    let caller = Caller::new(API_KEY);
    caller
        .post(entry.caller_address, path, "", &headers)
        .await
        .status
}

async fn start_entries(count: usize, store: SocketAddr) -> anyhow::Result<Vec<Entry>> {
    let peers: Vec<SocketAddr> = (0..count).map(|_| free_address()).collect();
    let seeds: Vec<String> = peers.iter().take(2).map(ToString::to_string).collect();
    let mut entries = Vec::new();
    for (index, peer_address) in peers.iter().enumerate() {
        let store_link = Link::start(store).await;
        let caller_address = free_address();
        let name = format!("entry-{index}");
        let settings = format!(
            "[node]\nname = {name}\ndata_centre = here\n\
             [listen]\ncallers = {caller_address}\nready = {}\npeers = {peer_address}\n\
             [peers]\nseeds = {}\n[store]\naddress = {}\n[stop]\ngrace_s = {GRACE_S}\n\
             [agents]\nport = {AGENT_PORT}\n[evacuation]\nevacuate_ms = {EVACUATE_MS}\n",
            free_address(),
            seeds.join(","),
            store_link.address,
        );
        entries.push(Entry {
            caller_address,
            process: SupervisedProcess::start(name, "berylhook", "entry", settings)?,
            store_link,
        });
    }
    Ok(entries)
}

fn start_agent(
    rank: usize,
    engine: SocketAddr,
    store: SocketAddr,
) -> anyhow::Result<SupervisedProcess> {
    let listen = SocketAddr::new(engine.ip(), AGENT_PORT);
    let settings = format!(
        "[listen]\naddress = {listen}\n[engine]\naddress = {engine}\nservice = llm\n\
         [store]\naddress = {store}\n"
    );
    SupervisedProcess::start(
        format!("agent-{rank}"),
        "berylhook-agent",
        "relay",
        settings,
    )
}

/// Path of the route that exists in one version of the configuration only.
pub(crate) fn version_path(version: u64) -> String {
    format!("/version-{version}/")
}

fn route_document(prefix: &str, route_type: &str, attempts: usize, resumable: bool) -> Value {
    json!({
        "name": prefix, "host": "desk.example", "prefix": prefix, "type": route_type,
        "timeout-ms": 4_000, "goal-ms": 400, "priority": 1, "service": "push",
        "attempts": attempts, "public": false, "resumable": resumable, "itl-target-ms": 120,
    })
}

fn configuration_document(version: u64) -> Vec<u8> {
    let mut routes: Vec<Value> = crate::callers::REQUEST_KINDS
        .iter()
        .map(|kind| {
            route_document(
                kind.prefix,
                kind.route_type,
                kind.max_targets,
                kind.is_resumable,
            )
        })
        .collect();
    routes.push(route_document(&version_path(version), "safe", 2, false));
    json!({
        "version": version,
        "routes": routes,
        "services": [
            {"name": "push", "health-path": "/healthz", "max-conns": 1_000},
            {"name": "llm", "max-conns": 100, "engine": {
                "slots": 12, "stride": 4, "step_ms": 4.55, "per_seq_ms": 0.9,
                "context_per_k": 0.02, "read_per_s": 61_400.0,
                "usual": {"prompt": 800, "answer": 100},
                "sets": 1, "experts": EXPERT_COUNT, "placements": 6, "spare": 2,
                "expert-mb": 2_500.0, "link-mbps": 180_000.0,
            }},
        ],
        "limits": {
            "max-header-bytes": 16_384, "max-body-bytes": 10_000,
            "header-timeout-ms": 3_000, "idle-timeout-ms": 15_000,
        },
        "tenants": [{"name": "harbour", "api-keys": [API_KEY], "priority": 1}],
    })
    .to_string()
    .into_bytes()
}
