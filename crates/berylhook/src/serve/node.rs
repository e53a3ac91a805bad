//! State shared by all parts of the entry process.

use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};
use std::time::Instant;

use arc_swap::ArcSwap;
use berylhook_core::ids::{Incarnation, RequestId};
use berylhook_core::time::MonoMs;
use berylhook_ingress::{Bounds, MemoryAccount};
use berylhook_keyvalue::Vm;
use berylhook_operator::Catalogue;
use berylhook_operator::settings::EntrySettings;
use berylhook_peer::{Documents, Key, KeyRing};
use berylhook_quarantine::SuspectTracker;
use tokio::sync::{mpsc, watch};

use super::burn::BurnRecorder;
use super::control::CatalogueUpdate;
use super::limits::Limiter;
use super::quarantine::QuarantineCounts;

/// State that the control thread publishes to the traffic threads.
#[derive(Clone, Default)]
pub(crate) struct Snapshot {
    /// The catalogue in force, parsed and validated.
    pub(crate) catalogue: Arc<Catalogue>,
    /// The catalogue as documents, as they are sent to agents.
    pub(crate) documents: Arc<Documents>,
    /// The platform's list of VMs.
    pub(crate) vms: Arc<Vec<Vm>>,
}

/// Shared state of the entry process.
pub(crate) struct Node {
    pub(crate) settings: EntrySettings,
    pub(crate) keys: KeyRing,
    pub(crate) incarnation: Incarnation,
    pub(crate) snapshot: ArcSwap<Snapshot>,
    /// Incremented whenever the snapshot is replaced.
    pub(crate) published: watch::Sender<u64>,
    /// Whether the process was told to stop.
    pub(crate) stopping: watch::Sender<bool>,
    /// Whether serving has ended, after which the control thread stops.
    pub(crate) stopped: watch::Sender<bool>,
    /// Whether the catalogue is known well enough to start serving.
    pub(crate) has_catalogue: AtomicBool,
    pub(crate) counters: Counters,
    pub(crate) burn: BurnRecorder,
    pub(crate) limiter: Arc<Limiter>,
    /// The memory of the bodies of requests and responses.
    pub(crate) memory: Arc<MemoryAccount>,
    /// Quarantine of requests during which targets exited.
    pub(crate) suspects: Arc<SuspectTracker>,
    pub(crate) quarantine_counts: Arc<QuarantineCounts>,
    /// Carries documents from agents to the control thread.
    update_sender: OnceLock<mpsc::UnboundedSender<CatalogueUpdate>>,
    next_id: AtomicU64,
    in_flight: AtomicU32,
    started_at: Instant,
}

/// Counts since the start, for `berylhook status`.
#[derive(Default)]
pub(crate) struct Counters {
    /// Frames dropped because they were late, duplicate or about an unknown request.
    pub(crate) dropped_frames: AtomicU64,
    /// Attempts after the first.
    pub(crate) retries: AtomicU64,
    /// Streams resumed after a lost connection.
    pub(crate) resumed: AtomicU64,
    /// Connections dropped because nothing was received for too long.
    pub(crate) silent_links: AtomicU64,
}

impl Node {
    pub(crate) fn new(settings: EntrySettings) -> anyhow::Result<Self> {
        let key = Key::parse(&settings.trust.key)?;
        let previous = match &settings.trust.previous_key {
            Some(text) => Some(Key::parse(text)?),
            None => None,
        };
        let quarantine_counts = Arc::new(QuarantineCounts::default());
        Ok(Self {
            suspects: Arc::new(
                SuspectTracker::new(Arc::clone(&quarantine_counts) as _).with_store_follower(),
            ),
            quarantine_counts,
            keys: KeyRing::new(key, previous),
            incarnation: Incarnation(rand::random()),
            snapshot: ArcSwap::from_pointee(Snapshot::default()),
            published: watch::Sender::new(0),
            stopping: watch::Sender::new(false),
            stopped: watch::Sender::new(false),
            has_catalogue: AtomicBool::new(false),
            counters: Counters::default(),
            burn: BurnRecorder::default(),
            limiter: Arc::new(Limiter::default()),
            memory: MemoryAccount::new(Bounds::of(&settings.limits).body_bytes),
            update_sender: OnceLock::new(),
            next_id: AtomicU64::new(1),
            in_flight: AtomicU32::new(0),
            started_at: Instant::now(),
            settings,
        })
    }

    /// Monotonic time since this process started.
    pub(crate) fn now_ms(&self) -> MonoMs {
        let elapsed = self.started_at.elapsed().as_millis();
        MonoMs(u64::try_from(elapsed).unwrap_or(u64::MAX))
    }

    pub(crate) fn issue_id(&self) -> RequestId {
        RequestId {
            origin: self.incarnation,
            counter: self.next_id.fetch_add(1, Ordering::Relaxed),
        }
    }

    pub(crate) fn is_ready(&self) -> bool {
        self.has_catalogue.load(Ordering::SeqCst)
            && !self.suspects.is_uninformed()
            && !*self.stopping.borrow()
    }

    /// Sets the channel to the control thread, which calls this once.
    pub(crate) fn set_update_sender(&self, update_sender: mpsc::UnboundedSender<CatalogueUpdate>) {
        let _ = self.update_sender.set(update_sender);
    }

    /// Sends documents from an agent to the control thread.
    pub(crate) fn send_update(&self, update: CatalogueUpdate) {
        if let Some(update_sender) = self.update_sender.get() {
            let _ = update_sender.send(update);
        }
    }

    /// Replaces the snapshot; called only by the control thread.
    pub(crate) fn publish(&self, change: impl FnOnce(&mut Snapshot)) {
        let mut snapshot = Snapshot::clone(&self.snapshot.load());
        change(&mut snapshot);
        let entries = snapshot.vms.iter().filter(|vm| vm.service.is_empty());
        self.limiter
            .reconcile(&snapshot.catalogue, entries.count(), self.now_ms());
        self.snapshot.store(Arc::new(snapshot));
        self.published.send_modify(|count| *count += 1);
    }

    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// Counts a request as in flight until the guard is dropped.
    pub(crate) fn track_request(self: &Arc<Self>) -> InFlightGuard {
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        InFlightGuard(Arc::clone(self))
    }
}

/// Guard that counts one request as in flight until it is dropped.
pub(crate) struct InFlightGuard(Arc<Node>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Locks a mutex that is only ever held for a few instructions.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no holder of this lock panics")
}
