//! What all parts of the entry share.

use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};
use std::time::Instant;

use arc_swap::ArcSwap;
use berylhook_core::ids::{Incarnation, RequestId};
use berylhook_core::time::MonoMs;
use berylhook_keyvalue::Vm;
use berylhook_operator::Catalogue;
use berylhook_operator::settings::EntrySettings;
use berylhook_peer::{Documents, Key, KeyRing};
use berylhook_quarantine::SuspectTracker;
use tokio::sync::{mpsc, watch};

use super::burn::Burn;
use super::control::Told;
use super::limits::Limiter;
use super::quarantine::QuarantineCounts;

/// What control has published for traffic to read.
#[derive(Clone, Default)]
pub(crate) struct Snapshot {
    /// The catalogue in force, checked.
    pub(crate) catalogue: Arc<Catalogue>,
    /// The same as it is passed on to agents.
    pub(crate) documents: Arc<Documents>,
    /// The platform's list.
    pub(crate) vms: Arc<Vec<Vm>>,
}

/// The entry's shared state.
pub(crate) struct Node {
    pub(crate) settings: EntrySettings,
    pub(crate) keys: KeyRing,
    pub(crate) incarnation: Incarnation,
    pub(crate) snapshot: ArcSwap<Snapshot>,
    /// Changes whenever the snapshot does.
    pub(crate) published: watch::Sender<u64>,
    pub(crate) stopping: watch::Sender<bool>,
    pub(crate) stopped: watch::Sender<bool>,
    /// Whether the catalogue is known well enough to serve.
    pub(crate) has_catalogue: AtomicBool,
    pub(crate) counters: Counters,
    pub(crate) burn: Burn,
    pub(crate) limiter: Arc<Limiter>,
    /// Requests under which targets end.
    pub(crate) suspects: Arc<SuspectTracker>,
    pub(crate) quarantine_counts: Arc<QuarantineCounts>,
    /// Documents that agents tell, on their way to the control thread.
    offers: OnceLock<mpsc::UnboundedSender<Told>>,
    next_id: AtomicU64,
    in_flight: AtomicU32,
    epoch: Instant,
}

/// Counts since the start, for `berylhook status`.
#[derive(Default)]
pub(crate) struct Counters {
    /// Frames that were late, duplicate or foreign.
    pub(crate) dropped_frames: AtomicU64,
    /// Attempts after the first.
    pub(crate) retries: AtomicU64,
    /// Answers resumed at another agent incarnation.
    pub(crate) resumed: AtomicU64,
    /// Connections given up because they had gone silent.
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
            burn: Burn::default(),
            limiter: Arc::new(Limiter::default()),
            offers: OnceLock::new(),
            next_id: AtomicU64::new(1),
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

    /// Opens the way to the control thread; called once, by it.
    pub(crate) fn set_offers(&self, offers: mpsc::UnboundedSender<Told>) {
        let _ = self.offers.set(offers);
    }

    /// Passes on what an agent told of the catalogue.
    pub(crate) fn offer(&self, told: Told) {
        if let Some(offers) = self.offers.get() {
            let _ = offers.send(told);
        }
    }

    /// Replaces the snapshot; only the control thread does so.
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

    /// Counts a request until the guard is dropped.
    pub(crate) fn begin(self: &Arc<Self>) -> InFlight {
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        InFlight(Arc::clone(self))
    }
}

/// A request that a drain waits for.
pub(crate) struct InFlight(Arc<Node>);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Locks a state that is only ever held for a few instructions.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no holder of this lock panics")
}
