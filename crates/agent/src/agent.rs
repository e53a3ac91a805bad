//! The agent's shared state and its life from start to graceful shutdown.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU32, Ordering};
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
use crate::home_shards::Homes;
use crate::server;
use crate::target_incarnation::Lives;

/// Orders remembered at a time; at 64 bytes each this bounds the gate to a
/// few megabytes.
const GATE_CAPACITY: usize = 65_536;

/// How often a drain looks whether it is done.
const DRAIN_CHECK: Duration = Duration::from_millis(20);

/// A load report and when it arrived.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoadSample {
    pub(crate) report: LoadReport,
    pub(crate) taken_ms: MonoMs,
}

/// A running order as the connection's reader reaches it.
#[derive(Clone)]
pub(crate) struct Running {
    /// Body bytes the entry is ready to take.
    pub(crate) credit: Arc<Semaphore>,
    /// Told when the entry no longer wants the answer.
    pub(crate) cancel: Arc<Notify>,
    /// The life of the target in which it runs.
    pub(crate) life: u64,
}

/// Everything the agent's tasks share.
pub(crate) struct Agent {
    pub(crate) settings: AgentSettings,
    pub(crate) keys: KeyRing,
    pub(crate) incarnation: Incarnation,
    pub(crate) target: Arc<dyn Target>,
    pub(crate) lives: Lives,
    /// Whether the target wants rest.
    pub(crate) pressure: Mutex<AdmissionGate>,
    pub(crate) gate: Mutex<StartGate>,
    pub(crate) homes: Mutex<Homes>,
    pub(crate) load: ArcSwap<LoadSample>,
    pub(crate) documents: Mutex<Documents>,
    pub(crate) running: Mutex<HashMap<RequestId, Running>>,
    pub(crate) control: mpsc::UnboundedSender<ControlRequest>,
    pub(crate) stopping: watch::Sender<bool>,
    in_flight: AtomicU32,
    epoch: Instant,
}

impl Agent {
    /// Runs until told to stop and everything in flight has ended.
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
        let served = runtime.block_on(server::serve(Arc::clone(&agent)));
        agent.stopping.send_replace(true);
        let control_ended = control_thread.join();
        if control_ended.is_err() {
            anyhow::bail!("the control thread panicked; see the log above");
        }
        log::info!("agent {} has stopped", agent.settings.node.name);
        served
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
            lives: Lives::new(),
            pressure: Mutex::new(AdmissionGate::default()),
            gate: Mutex::new(StartGate::new(incarnation, GATE_CAPACITY)),
            homes: Mutex::new(Homes::default()),
            load: ArcSwap::from_pointee(LoadSample {
                report: LoadReport::default(),
                taken_ms: MonoMs(0),
            }),
            documents: Mutex::new(Documents::default()),
            running: Mutex::new(HashMap::new()),
            control,
            stopping: watch::Sender::new(false),
            in_flight: AtomicU32::new(0),
            epoch: Instant::now(),
            settings,
        })
    }

    /// This process's monotonic clock.
    pub(crate) fn now_ms(&self) -> MonoMs {
        let elapsed = self.epoch.elapsed().as_millis();
        MonoMs(u64::try_from(elapsed).unwrap_or(u64::MAX))
    }

    /// Requests being worked on.
    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::SeqCst)
    }

    pub(crate) fn begin(&self) {
        self.in_flight.fetch_add(1, Ordering::SeqCst);
    }

    pub(crate) fn end(&self, id: RequestId) {
        lock(&self.running).remove(&id);
        self.in_flight.fetch_sub(1, Ordering::SeqCst);
    }

    /// The name of the life in which a run lost its answer, if the target has ended; empty if
    /// it lives, or if it is leaving and ends by itself.
    pub(crate) async fn ended_target(&self, life: u64) -> String {
        let has_ended = self.lives.has_ended(life) || probe::has_exited(self.settings.target).await;
        if has_ended {
            self.lives.on_end(life);
        }
        self.name_of_ended(life)
    }

    /// The name of a life that has ended under its requests; empty if it has not.
    pub(crate) fn name_of_ended(&self, life: u64) -> String {
        if self.is_draining() || !self.lives.has_ended(life) {
            return String::new();
        }
        let name = &self.settings.node.name;
        format!("{name}/{}/{life}", self.incarnation)
    }

    pub(crate) fn is_draining(&self) -> bool {
        lock(&self.gate).is_draining()
    }

    /// Waits until nothing is in flight, or the operator's bound has passed.
    pub(crate) async fn drained(&self) {
        let bound_ms = self.settings.drain_bound_ms;
        let began = Instant::now();
        while self.in_flight() > 0 {
            let waited_ms = began.elapsed().as_millis();
            if bound_ms > 0 && waited_ms >= u128::from(bound_ms) {
                log::warn!(
                    "drain bound of {bound_ms} ms reached with {} in flight",
                    self.in_flight()
                );
                return;
            }
            tokio::time::sleep(DRAIN_CHECK).await;
        }
    }
}

/// Locks a state that is only ever held for a few instructions.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no holder of this lock panics")
}
