//! State shared by the agent's tasks, and the agent's lifecycle from start to graceful shutdown.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use berylhook_backpressure::gate::AdmissionGate;
use berylhook_core::ids::{Incarnation, RequestId};
use berylhook_core::start_gate::StartGate;
use berylhook_core::time::MonoMs;
use berylhook_operator::settings::AgentSettings;
use berylhook_peer::{Documents, Key, KeyRing};
use berylhook_platform::key_value::PlatformKeyValue;
use berylhook_target::{HttpTarget, LoadReport, Target, probe};
use tokio::sync::{Notify, Semaphore, mpsc, watch};

use crate::control::{self, ControlRequest};
use crate::home_shards::HomeShards;
use crate::server;
use crate::target_incarnation::TargetIncarnations;

/// Maximum number of requests that the start gate tracks; at 64 bytes each, they take at most a
/// few megabytes.
const START_GATE_CAPACITY: usize = 65_536;

/// Interval at which a drain checks for requests in flight.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The target's last load report and the time at which it was received.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoadSample {
    pub(crate) report: LoadReport,
    pub(crate) received_ms: MonoMs,
}

/// Handles through which frames of the entry's connection control a running request.
#[derive(Clone)]
pub(crate) struct RunningRequest {
    /// Flow-control credit: bytes of the response body that the entry is ready to receive.
    pub(crate) credit: Arc<Semaphore>,
    /// Notified when the entry cancels the request.
    pub(crate) cancel: Arc<Notify>,
    /// Incarnation of the target that the request runs in.
    pub(crate) target_incarnation: u64,
}

/// State shared by the agent's tasks.
pub(crate) struct Agent {
    pub(crate) settings: AgentSettings,
    pub(crate) keys: KeyRing,
    pub(crate) incarnation: Incarnation,
    pub(crate) target: Arc<dyn Target>,
    pub(crate) target_incarnations: TargetIncarnations,
    /// Backoff that the target has asked for.
    pub(crate) admission_gate: Mutex<AdmissionGate>,
    pub(crate) start_gate: Mutex<StartGate>,
    pub(crate) home_shards: Mutex<HomeShards>,
    pub(crate) load: ArcSwap<LoadSample>,
    pub(crate) documents: Mutex<Documents>,
    pub(crate) running: Mutex<HashMap<RequestId, RunningRequest>>,
    pub(crate) control: mpsc::UnboundedSender<ControlRequest>,
    /// Set once no request can start any more and all have ended.
    pub(crate) stopping: watch::Sender<bool>,
    is_draining: AtomicBool,
    in_flight: AtomicU32,
    started_at: Instant,
}

impl Agent {
    /// Runs the agent until it has received a signal to stop and all requests in flight have ended.
    pub(crate) fn run(settings: AgentSettings) -> anyhow::Result<()> {
        let (control, requests) = mpsc::unbounded_channel();
        let agent = Arc::new(Self::new(settings, control)?);
        log::info!(
            "agent {} incarnation {} listens on {} for {}",
            agent.settings.node.name,
            agent.incarnation,
            agent.settings.listen,
            agent.settings.service,
        );
        let key_value = Arc::new(PlatformKeyValue::new(&agent.settings.platform.key_value)?);
        let control_agent = Arc::clone(&agent);
        let control_thread = std::thread::Builder::new()
            .name("control".to_owned())
            .spawn(move || control::run(&control_agent, key_value, requests))?;
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let server_result = runtime.block_on(server::serve(Arc::clone(&agent)));
        agent.stopping.send_replace(true);
        let control_result = control_thread.join();
        if control_result.is_err() {
            anyhow::bail!("the control thread panicked; see the log above");
        }
        log::info!("agent {} has stopped", agent.settings.node.name);
        server_result
    }

    fn new(
        settings: AgentSettings,
        control: mpsc::UnboundedSender<ControlRequest>,
    ) -> anyhow::Result<Self> {
        let key = Key::parse(&settings.trust.key)?;
        let previous = match &settings.trust.previous_key {
            Some(text) => Some(Key::parse(text)?),
            None => None,
        };
        let incarnation = Incarnation(rand::random());
        let target = Arc::new(HttpTarget::new(settings.target));
        Ok(Self {
            keys: KeyRing::new(key, previous),
            incarnation,
            target,
            target_incarnations: TargetIncarnations::new(),
            admission_gate: Mutex::new(AdmissionGate::default()),
            start_gate: Mutex::new(StartGate::new(incarnation, START_GATE_CAPACITY)),
            home_shards: Mutex::new(HomeShards::default()),
            load: ArcSwap::from_pointee(LoadSample {
                report: LoadReport::default(),
                received_ms: MonoMs(0),
            }),
            documents: Mutex::new(Documents::default()),
            running: Mutex::new(HashMap::new()),
            control,
            stopping: watch::Sender::new(false),
            is_draining: AtomicBool::new(false),
            in_flight: AtomicU32::new(0),
            started_at: Instant::now(),
            settings,
        })
    }

    /// Time on the monotonic clock of this process, which starts at 0.
    pub(crate) fn now_ms(&self) -> MonoMs {
        let elapsed = self.started_at.elapsed().as_millis();
        MonoMs(u64::try_from(elapsed).unwrap_or(u64::MAX))
    }

    /// Number of requests in flight.
    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::SeqCst)
    }

    pub(crate) fn request_started(&self) {
        self.in_flight.fetch_add(1, Ordering::SeqCst);
    }

    pub(crate) fn request_ended(&self, id: RequestId) {
        lock(&self.running).remove(&id);
        self.in_flight.fetch_sub(1, Ordering::SeqCst);
    }

    /// Checks whether the target has exited, after a run in this incarnation lost its response.
    /// Returns the incarnation's name if so. Returns an empty name if the target still runs, or if
    /// the agent is draining, as the target then stops on purpose.
    pub(crate) async fn exited_target_name(&self, target_incarnation: u64) -> String {
        let has_exited = self.target_incarnations.has_exited(target_incarnation)
            || probe::has_exited(self.settings.target).await;
        if has_exited {
            self.target_incarnations.on_exit(target_incarnation);
        }
        self.exited_incarnation_name(target_incarnation)
    }

    /// Name of an incarnation that has exited while requests ran in it; empty if it has not exited,
    /// or if the agent is draining.
    pub(crate) fn exited_incarnation_name(&self, target_incarnation: u64) -> String {
        if self.is_draining() || !self.target_incarnations.has_exited(target_incarnation) {
            return String::new();
        }
        let name = &self.settings.node.name;
        format!("{name}/{}/{target_incarnation}", self.incarnation)
    }

    /// Refuses new requests from now on, except those that no other agent may run.
    pub(crate) fn start_draining(&self) {
        self.is_draining.store(true, Ordering::SeqCst);
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.is_draining.load(Ordering::SeqCst)
    }

    /// Whether a request is in flight, or a keyed run goes on whose request has passed its deadline.
    fn has_work(&self) -> bool {
        self.in_flight() > 0 || lock(&self.home_shards).has_running_requests()
    }

    /// Waits until all requests and runs have ended, or until the configured drain bound has passed.
    pub(crate) async fn wait_until_drained(&self) {
        let drain_bound_ms = self.settings.drain_bound_ms;
        let drain_started_at = Instant::now();
        while self.has_work() {
            let waited_ms = drain_started_at.elapsed().as_millis();
            if drain_bound_ms > 0 && waited_ms >= u128::from(drain_bound_ms) {
                log::warn!(
                    "drain bound of {drain_bound_ms} ms reached with {} in flight",
                    self.in_flight()
                );
                return;
            }
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
    }
}

/// Locks a mutex that is never held for more than a few instructions.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no holder of this lock panics")
}
