//! What control publishes and traffic reads.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use arc_swap::{ArcSwap, ArcSwapOption};
use berylhook_quarantine::SuspectTracker;
use berylhook_traffic::configuration::Configuration;
use berylhook_traffic::engine_update::EngineUpdate;
use berylhook_traffic::ownership::{Member, Membership};
use berylhook_traffic::target::Target;
use indexmap::IndexMap;
use tokio::sync::{Notify, watch};

use crate::era_tracker::Eras;
use crate::metrics::Metrics;
use crate::quarantine::place;
use crate::queue::{Clock, ServiceQueue};
use crate::readiness::{self, Requirement};
use crate::settings::EntrySettings;

/// How a process is on its way out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Stage {
    /// It serves.
    Serving,
    /// It tells the platform to send new connections elsewhere, and still
    /// takes those that come.
    Leaving,
    /// It ends idle connections and takes no new ones.
    Closing,
}

/// How many callers are connected.
#[derive(Clone)]
pub(crate) struct Connections(watch::Sender<usize>);

/// One connected caller.
pub(crate) struct OpenConnection(watch::Sender<usize>);

impl Connections {
    /// A caller has connected.
    pub(crate) fn open(&self) -> OpenConnection {
        self.0.send_modify(|count| *count += 1);
        OpenConnection(self.0.clone())
    }

    /// Waits until no caller is connected.
    pub(crate) async fn drained(&self) {
        let mut count = self.0.subscribe();
        // The sender lives as long as `self`, so the wait cannot fail.
        let _ = count.wait_for(|count| *count == 0).await;
    }
}

impl OpenConnection {
    /// The caller is gone.
    pub(crate) fn close(self) {
        self.0.send_modify(|count| *count -= 1);
    }
}

/// The state shared by all parts of the process.
pub(crate) struct Shared {
    settings: ArcSwap<EntrySettings>,
    pub(crate) clock: Clock,
    pub(crate) metrics: Arc<Metrics>,
    /// Requests under which targets end.
    pub(crate) suspects: Arc<SuspectTracker>,
    /// The eras of the store.
    pub(crate) eras: Arc<Eras>,
    pub(crate) stage: watch::Sender<Stage>,
    /// Whether connections of callers are taken.
    is_listening: AtomicBool,
    pub(crate) connections: Connections,
    /// A leader's last word on the engines.
    engine_news: watch::Sender<EngineUpdate>,
    /// The entries that share the targets.
    membership: Mutex<Membership>,
    /// Requests that have arrived since the start.
    pub(crate) arrivals: AtomicU64,
    /// Whether the process is about to end.
    pub(crate) is_stopping: watch::Sender<bool>,
    /// Whether a peer is known that has clearly more processor time.
    pub(crate) has_larger_peer: watch::Sender<bool>,
    /// A target has named a limit, another one, or none any more.
    pub(crate) limits_changed: Notify,
    configuration: ArcSwapOption<Configuration>,
    queues: Mutex<IndexMap<Arc<str>, Arc<ServiceQueue>>>,
}

impl Shared {
    pub(crate) fn new(settings: EntrySettings) -> Self {
        let own = Member {
            address: settings.peer_address,
            data_centre: Arc::clone(&settings.data_centre),
            demand_per_s: None,
        };
        let clock = Clock::start();
        let metrics = Arc::new(Metrics::new());
        Self {
            membership: Mutex::new(Membership::new(own, [])),
            arrivals: AtomicU64::new(0),
            settings: ArcSwap::from_pointee(settings),
            clock,
            suspects: Arc::new(
                SuspectTracker::new(Arc::clone(&metrics) as _).with_store_follower(),
            ),
            metrics,
            eras: Arc::new(Eras::new()),
            stage: watch::Sender::new(Stage::Serving),
            is_listening: AtomicBool::new(false),
            connections: Connections(watch::Sender::new(0)),
            engine_news: watch::Sender::new(EngineUpdate::default()),
            is_stopping: watch::Sender::new(false),
            has_larger_peer: watch::Sender::new(false),
            limits_changed: Notify::new(),
            configuration: ArcSwapOption::empty(),
            queues: Mutex::new(IndexMap::new()),
        }
    }

    /// The settings in force.
    pub(crate) fn settings(&self) -> Arc<EntrySettings> {
        self.settings.load_full()
    }

    /// Puts changed settings in force. The addresses this process listens on
    /// stay those of its start.
    pub(crate) fn set_settings(&self, settings: EntrySettings) {
        self.settings.store(Arc::new(settings));
    }

    /// The configuration in force, if one is known.
    pub(crate) fn configuration(&self) -> Option<Arc<Configuration>> {
        self.configuration.load_full()
    }

    /// Whether new connections are welcome.
    pub(crate) fn is_ready(&self) -> bool {
        *self.stage.borrow() == Stage::Serving && readiness::is_ready(|it| self.meets(it))
    }

    fn meets(&self, requirement: Requirement) -> bool {
        match requirement {
            Requirement::ListenerOpen => self.is_listening.load(Ordering::Relaxed),
            Requirement::Configuration => self.configuration.load().is_some(),
            Requirement::QuarantineLoaded => !self.suspects.is_uninformed(),
        }
    }

    /// Connections of callers are taken from now on.
    pub(crate) fn set_listening(&self) {
        self.is_listening.store(true, Ordering::Relaxed);
    }

    /// Puts a configuration in force; versions only rise.
    ///
    /// Returns whether it was newer than the one in force.
    pub(crate) fn set_configuration(&self, configuration: Configuration) -> bool {
        let current = self.configuration.load().as_ref().map(|it| it.version);
        if current.is_some_and(|current| configuration.version <= current) {
            return false;
        }
        let version = i64::try_from(configuration.version).unwrap_or(i64::MAX);
        self.metrics.configuration_version.set(version);
        self.configuration.store(Some(Arc::new(configuration)));
        true
    }

    /// Takes over the targets that may get requests.
    pub(crate) fn set_targets<'a>(&self, usable: impl Iterator<Item = &'a Target>) {
        let targets: Vec<&Target> = usable.collect();
        let count = i64::try_from(targets.len()).unwrap_or(i64::MAX);
        self.metrics.targets.set(count);
        self.suspects
            .on_target_list(targets.iter().copied().map(place));
        let mut services: Vec<&Arc<str>> = targets.iter().map(|target| &target.service).collect();
        services.sort();
        services.dedup();
        for service in services {
            self.queue(service);
        }
        let queues = self.queues.lock().expect("no holder panics").clone();
        for (name, queue) in &queues {
            let of_service = targets.iter().filter(|target| target.service == *name);
            queue.set_targets(of_service.copied());
            queue.set_engine_news(&self.engine_news.borrow());
        }
    }

    /// Takes over a leader's word on the engines.
    pub(crate) fn set_engine_news(&self, news: EngineUpdate) {
        let queues = self.queues.lock().expect("no holder panics").clone();
        for queue in queues.values() {
            queue.set_engine_news(&news);
        }
        self.engine_news.send_replace(news);
    }

    /// Takes over who shares the targets.
    pub(crate) fn set_membership(&self, membership: &Membership) {
        let mut current = self.membership.lock().expect("no holder panics");
        if *current == *membership {
            return;
        }
        *current = membership.clone();
        drop(current);
        let queues = self.queues.lock().expect("no holder panics").clone();
        for queue in queues.values() {
            queue.set_membership(membership.clone());
        }
    }

    /// The queues of all services.
    pub(crate) fn queues(&self) -> Vec<Arc<ServiceQueue>> {
        let queues = self.queues.lock().expect("no holder panics");
        queues.values().cloned().collect()
    }

    /// The queue of a service that has one.
    pub(crate) fn known_queue(&self, service: &str) -> Option<Arc<ServiceQueue>> {
        let queues = self.queues.lock().expect("no holder panics");
        queues.get(service).cloned()
    }

    /// The queue of a service; one is made at its first use.
    pub(crate) fn queue(&self, service: &Arc<str>) -> Arc<ServiceQueue> {
        let mut queues = self.queues.lock().expect("no holder panics");
        if let Some(queue) = queues.get(service) {
            return Arc::clone(queue);
        }
        let description = self
            .configuration()
            .and_then(|configuration| configuration.service(service).cloned());
        let queue = Arc::new(ServiceQueue::new(
            Arc::clone(service),
            self.clock,
            self.membership.lock().expect("no holder panics").clone(),
            description.as_deref().and_then(|it| it.engine.as_ref()),
        ));
        // Before the configuration is known a service cannot be told to be one
        // of engines, so its queue is not kept.
        if description.is_some() {
            queues.insert(Arc::clone(service), Arc::clone(&queue));
        }
        queue
    }
}
