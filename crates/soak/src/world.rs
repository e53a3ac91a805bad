//! The processes and stand-ins of one play.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use berylhook_test_support::calls::Caller;
use berylhook_test_support::{
    Behaviour, Daemon, EXPERT_COUNT, KeyValueStandIn, Link, PlatformGroup, PlatformTarget, Signal,
    free_address,
};
use serde_json::{Value, json};

/// The key that every configuration knows.
pub(crate) const KEY: &str = "n2ctnfzs";

/// Targets of the service that answers callers.
const TARGETS: usize = 4;

/// Ranks of the group whose map follows the demand.
const RANKS: usize = 4;

/// Port of the agents; each stands on an IP number of its own.
const AGENT_PORT: u16 = 7_340;

/// Time between two looks at whether a process has ended.
const SUPERVISE_EVERY: Duration = Duration::from_millis(30);

/// Time until a process that has ended is started again.
const RESTART_AFTER: Duration = Duration::from_millis(200);

/// A process that was told to stop has ended after this long: the grace period
/// of its settings, and a second for a busy machine.
pub(crate) const STOP_TIME: Duration = Duration::from_secs(9);

/// One place for a process, which is started again whenever it ends.
pub(crate) struct Slot {
    name: String,
    program: &'static str,
    role: &'static str,
    settings: String,
    daemon: Mutex<Daemon>,
    /// What the processes printed that ended here.
    former_output: Mutex<String>,
    /// Whether an end of the process is the play's doing.
    may_end: AtomicBool,
    /// Counts the processes that have been started here.
    lifetime: AtomicU64,
    /// Counts what was done to them.
    signals: AtomicUsize,
}

impl Slot {
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
            former_output: Mutex::new(String::new()),
            may_end: AtomicBool::new(false),
            lifetime: AtomicU64::new(1),
            signals: AtomicUsize::new(0),
        })
    }

    pub(crate) fn lifetime(&self) -> u64 {
        self.lifetime.load(Ordering::SeqCst)
    }

    /// Sends a signal; one that ends the process is expected to.
    pub(crate) fn signal(&self, which: Signal) {
        let daemon = self.daemon.lock().expect("no holder panics");
        if matches!(which, Signal::Kill | Signal::Terminate) {
            self.may_end.store(true, Ordering::SeqCst);
        }
        self.signals.fetch_add(1, Ordering::SeqCst);
        daemon.signal(which);
    }

    /// A build for tests outlives the panic of a task; the one that runs ends by
    /// it.
    fn check_output(&self, world: &World) {
        let output = lock(&self.daemon).output();
        let panic = output.lines().find(|line| line.contains("panicked"));
        if let Some(line) = panic {
            world.note_broken(format!("{}: {line}", self.name));
        }
    }

    /// Starts the process again if it has ended; says so if nobody had it end.
    async fn supervise(&self, world: &World) {
        let has_ended = self.daemon.lock().expect("no holder panics").has_exited();
        if !has_ended {
            return;
        }
        self.check_output(world);
        let output = lock(&self.daemon).output();
        lock(&self.former_output).push_str(&output);
        if !self.may_end.swap(false, Ordering::SeqCst) {
            let output = self.daemon.lock().expect("no holder panics").output();
            let last = output.lines().last().unwrap_or_default().to_owned();
            world.note_broken(format!("{} ended by itself: {last}", self.name));
        }
        tokio::time::sleep(RESTART_AFTER).await;
        match Daemon::start(self.program, &[self.role], &self.settings) {
            Ok(daemon) => {
                *self.daemon.lock().expect("no holder panics") = daemon;
                self.lifetime.fetch_add(1, Ordering::SeqCst);
            }
            Err(error) => world.note_broken(format!("{} cannot be started: {error:#}", self.name)),
        }
    }
}

/// One entry and the way between it and the store.
pub(crate) struct Entry {
    pub(crate) callers: SocketAddr,
    pub(crate) slot: Slot,
    pub(crate) store_link: Link,
}

/// What a target writes of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Listed {
    Ready,
    Leaving,
    /// Nothing any more.
    Gone,
}

/// One target and the way to it.
pub(crate) struct Target {
    pub(crate) stand_in: PlatformTarget,
    pub(crate) link: Link,
    listed: Mutex<Listed>,
}

impl Target {
    /// Writes what it says of itself from now on.
    pub(crate) fn list(&self, store: &KeyValueStandIn, listed: Listed) {
        *lock(&self.listed) = listed;
        self.write(store);
    }

    fn write(&self, store: &KeyValueStandIn) {
        let phase = match *lock(&self.listed) {
            Listed::Ready => "ready",
            Listed::Leaving => "draining",
            Listed::Gone => return,
        };
        let address = self.link.address;
        self.stand_in.register_at(store, "push", phase, address);
    }

    fn drop_if_gone(&self, store: &KeyValueStandIn) {
        if *lock(&self.listed) == Listed::Gone {
            self.stand_in.remove(store);
        }
    }
}

/// Everything in one play.
pub(crate) struct World {
    pub(crate) store: KeyValueStandIn,
    pub(crate) entries: Vec<Entry>,
    pub(crate) targets: Mutex<Vec<Arc<Target>>>,
    /// Targets that were there and are gone; their runs still count.
    former: Mutex<Vec<Arc<Target>>>,
    pub(crate) group: PlatformGroup,
    pub(crate) agents: Vec<Slot>,
    pub(crate) version: AtomicU64,
    incarnations: AtomicU64,
    poisons: AtomicU64,
    broken: Mutex<Vec<String>>,
    faults: Mutex<Vec<String>>,
    /// When something other than a planned change was wrong, and until when.
    disturbed: Mutex<Vec<(Instant, Instant)>>,
}

impl World {
    pub(crate) async fn start(entries: usize) -> anyhow::Result<Arc<Self>> {
        let store = KeyValueStandIn::start().await;
        store.put_raw("op/config", &configuration(1));
        let engines: Vec<SocketAddr> = (0..RANKS).map(|_| free_address()).collect();
        let group = PlatformGroup::start("g-0", &engines).await;
        group.register(&store, "llm");
        let agents = engines.iter().enumerate();
        let agents: anyhow::Result<Vec<Slot>> = agents
            .map(|(rank, engine)| start_agent(rank, *engine, store.address()))
            .collect();
        let entries = start_entries(entries, store.address()).await?;
        let world = Arc::new(Self {
            store,
            entries,
            targets: Mutex::new(Vec::new()),
            former: Mutex::new(Vec::new()),
            group,
            agents: agents?,
            version: AtomicU64::new(1),
            incarnations: AtomicU64::new(0),
            poisons: AtomicU64::new(0),
            broken: Mutex::new(Vec::new()),
            faults: Mutex::new(Vec::new()),
            disturbed: Mutex::new(Vec::new()),
        });
        for _ in 0..TARGETS {
            let target = world.new_target().await;
            lock(&world.targets).push(target);
        }
        tokio::spawn(supervise(Arc::downgrade(&world)));
        Ok(world)
    }

    /// Starts a target and lists it.
    pub(crate) async fn new_target(&self) -> Arc<Target> {
        let number = self.incarnations.fetch_add(1, Ordering::SeqCst);
        let stand_in = PlatformTarget::start(&format!("i-{number}")).await;
        let link = Link::start(stand_in.address()).await;
        stand_in.set_behaviour(Behaviour::ExitsOnPoison);
        let target = Target {
            stand_in,
            link,
            listed: Mutex::new(Listed::Ready),
        };
        target.write(&self.store);
        Arc::new(target)
    }

    /// The target at that place, of those that are there; `None` while all
    /// leave.
    pub(crate) fn target(&self, index: usize) -> Option<Arc<Target>> {
        let targets = lock(&self.targets);
        targets.get(index % targets.len().max(1)).cloned()
    }

    /// Takes a target from those that are there; its runs still count. `false`
    /// if it has been taken already.
    pub(crate) fn retire(&self, target: &Arc<Target>) -> bool {
        let mut targets = lock(&self.targets);
        let before = targets.len();
        targets.retain(|it| !Arc::ptr_eq(it, target));
        let is_taken = targets.len() < before;
        if is_taken {
            lock(&self.former).push(Arc::clone(target));
        }
        is_taken
    }

    /// Numbers the attempts of the guilty request.
    pub(crate) fn next_poison(&self) -> u64 {
        self.poisons.fetch_add(1, Ordering::SeqCst)
    }

    /// Takes the targets that ended off the list, and starts others in their place.
    async fn replace_ended(&self) {
        let ended: Vec<Arc<Target>> = {
            let targets = lock(&self.targets);
            let ended = targets.iter().filter(|it| it.stand_in.has_exited());
            ended.cloned().collect()
        };
        for target in ended {
            if self.retire(&target) {
                let successor = self.new_target().await;
                lock(&self.targets).push(successor);
                target.list(&self.store, Listed::Gone);
                target.stand_in.remove(&self.store);
            }
        }
    }

    /// The operator and the targets write what a restored store has lost.
    pub(crate) fn write_again(&self) {
        let version = self.version.load(Ordering::SeqCst);
        self.store.put_raw("op/config", &configuration(version));
        self.group.register(&self.store, "llm");
        for target in self.all_targets() {
            target.write(&self.store);
        }
    }

    /// The platform drops the entries of targets that are gone.
    pub(crate) fn drop_lapsed(&self) {
        for target in self.all_targets() {
            target.drop_if_gone(&self.store);
        }
    }

    /// Every target that ever was.
    pub(crate) fn all_targets(&self) -> Vec<Arc<Target>> {
        let targets = lock(&self.targets);
        targets
            .iter()
            .chain(&*lock(&self.former))
            .cloned()
            .collect()
    }

    /// Puts the next configuration into the store.
    pub(crate) fn change_configuration(&self) {
        let version = self.version.fetch_add(1, Ordering::SeqCst) + 1;
        self.store.put_raw("op/config", &configuration(version));
    }

    /// Keeps what all processes have printed, for whoever traces what was broken.
    /// Returns where.
    pub(crate) fn keep_logs(&self, seed: u64) -> std::io::Result<PathBuf> {
        let folder = std::env::temp_dir().join(format!("berylhook-soak-{seed}"));
        std::fs::create_dir_all(&folder)?;
        for slot in self.entries.iter().map(|it| &it.slot).chain(&self.agents) {
            let mut output = lock(&slot.former_output).clone();
            output.push_str(&lock(&slot.daemon).output());
            std::fs::write(folder.join(format!("{}.log", slot.name)), output)?;
        }
        Ok(folder)
    }

    pub(crate) fn note_broken(&self, what: String) {
        lock(&self.broken).push(what);
    }

    pub(crate) fn take_broken(&self) -> Vec<String> {
        std::mem::take(&mut lock(&self.broken))
    }

    pub(crate) fn note_fault(&self, what: String) {
        lock(&self.faults).push(what);
    }

    pub(crate) fn take_faults(&self) -> Vec<String> {
        std::mem::take(&mut lock(&self.faults))
    }

    /// From now on for that long, requests may fail for more than planned
    /// changes.
    pub(crate) fn disturb(&self, time: Duration) {
        let now = Instant::now();
        lock(&self.disturbed).push((now, now + time));
    }

    /// How often entries were sent a signal, so far: each end, start and pause has one.
    pub(crate) fn entry_events(&self) -> usize {
        let entries = self.entries.iter();
        let events = entries.map(|entry| entry.slot.signals.load(Ordering::SeqCst));
        events.sum()
    }

    /// Whether nothing but planned changes happened between two moments.
    pub(crate) fn is_undisturbed(&self, from: Instant, to: Instant) -> bool {
        let disturbed = lock(&self.disturbed);
        disturbed
            .iter()
            .all(|(begin, end)| *end < from || to < *begin)
    }

    /// Waits until every entry serves, for that long at most.
    pub(crate) async fn until_serving(&self, time: Duration) {
        let began = Instant::now();
        for entry in &self.entries {
            while serves(entry, "/safe/").await != 200 {
                if began.elapsed() > time {
                    self.note_broken(format!("{} does not serve", entry.slot.name));
                    break;
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }

    /// What must hold once nothing is wrong any more.
    pub(crate) async fn check_end(&self, time: Duration) {
        let began = Instant::now();
        let version = self.version.load(Ordering::SeqCst);
        for entry in &self.entries {
            while serves(entry, &newest_path(version)).await != 200 {
                if began.elapsed() > time {
                    let name = &entry.slot.name;
                    self.note_broken(format!("{name} has not version {version} in force"));
                    break;
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
        self.check_map(time).await;
        for slot in self.entries.iter().map(|it| &it.slot).chain(&self.agents) {
            slot.check_output(self);
        }
        if self.group.mixed_passes() > 0 {
            self.note_broken("a pass began with two maps".to_owned());
        }
    }

    /// The map follows a new favourite, one that stands on one rank only.
    ///
    /// Two ranks are enough: from some maps a third saves less than a change has
    /// to, since a change brings each rank one new expert.
    async fn check_map(&self, time: Duration) {
        let holders = |favourite: usize| {
            let expert = u16::try_from(favourite).expect("few experts");
            self.group.replicas_of(expert)
        };
        let Some(favourite) = (0..EXPERT_COUNT).find(|favourite| holders(*favourite) == 1) else {
            return self.note_broken("every expert stands on two ranks".to_owned());
        };
        self.group.set_hot_expert(favourite);
        let began = Instant::now();
        while holders(favourite) < 2 {
            if began.elapsed() > time {
                return self.note_broken("the map does not follow the demand".to_owned());
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no holder panics")
}

async fn supervise(world: std::sync::Weak<World>) {
    while let Some(world) = world.upgrade() {
        for slot in world.entries.iter().map(|it| &it.slot).chain(&world.agents) {
            slot.supervise(&world).await;
        }
        world.replace_ended().await;
        drop(world);
        tokio::time::sleep(SUPERVISE_EVERY).await;
    }
}

async fn serves(entry: &Entry, path: &str) -> u16 {
    let headers = [
        ("host", "desk.example"),
        ("berylhook-attempt-id", "probe"),
        ("berylhook-deadline-ms", "1000"),
    ];
    let caller = Caller::new(KEY);
    caller.post(entry.callers, path, "", &headers).await.status
}

async fn start_entries(count: usize, store: SocketAddr) -> anyhow::Result<Vec<Entry>> {
    let peers: Vec<SocketAddr> = (0..count).map(|_| free_address()).collect();
    let seeds: Vec<String> = peers.iter().take(2).map(ToString::to_string).collect();
    let mut entries = Vec::new();
    for (index, own) in peers.iter().enumerate() {
        let store_link = Link::start(store).await;
        let callers = free_address();
        let name = format!("entry-{index}");
        let settings = format!(
            "[node]\nname = {name}\ndata_centre = here\n\
             [listen]\ncallers = {callers}\nready = {}\npeers = {own}\n\
             [peers]\nseeds = {}\n[store]\naddress = {}\n[stop]\ngrace_s = 8\n\
             [agents]\nport = {AGENT_PORT}\n",
            free_address(),
            seeds.join(","),
            store_link.address,
        );
        entries.push(Entry {
            callers,
            slot: Slot::start(name, "berylhook", "entry", settings)?,
            store_link,
        });
    }
    Ok(entries)
}

fn start_agent(rank: usize, engine: SocketAddr, store: SocketAddr) -> anyhow::Result<Slot> {
    let listen = SocketAddr::new(engine.ip(), AGENT_PORT);
    let settings = format!(
        "[listen]\naddress = {listen}\n[engine]\naddress = {engine}\nservice = llm\n\
         [store]\naddress = {store}\n"
    );
    Slot::start(
        format!("agent-{rank}"),
        "berylhook-agent",
        "relay",
        settings,
    )
}

/// The path that only one version of the configuration knows.
pub(crate) fn newest_path(version: u64) -> String {
    format!("/version-{version}/")
}

fn route(prefix: &str, kind: &str, attempts: usize, resumable: bool) -> Value {
    json!({
        "name": prefix, "host": "desk.example", "prefix": prefix, "type": kind,
        "timeout-ms": 4_000, "goal-ms": 400, "priority": 1, "service": "push",
        "attempts": attempts, "public": false, "resumable": resumable, "itl-target-ms": 120,
    })
}

fn configuration(version: u64) -> Vec<u8> {
    let mut routes: Vec<Value> = crate::callers::REQUEST_KINDS
        .iter()
        .map(|kind| {
            route(
                kind.prefix,
                kind.route_type,
                kind.max_targets,
                kind.is_resumable,
            )
        })
        .collect();
    routes.push(route(&newest_path(version), "safe", 2, false));
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
        "tenants": [{"name": "harbour", "api-keys": [KEY], "priority": 1}],
    })
    .to_string()
    .into_bytes()
}
