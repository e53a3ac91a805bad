//! State that the control thread publishes and the traffic thread reads.

use std::num::NonZeroUsize;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Instant;

use arc_swap::{ArcSwap, ArcSwapOption};
use berylhook_ingress::{Bounds, CloseCause, ConnectionTable, LogLimit, MemoryAccount};
use berylhook_quarantine::SuspectTracker;
use berylhook_traffic::cold::{ColdPolicy, KnownEntries};
use berylhook_traffic::configuration::Configuration;
use berylhook_traffic::engine_update::EngineUpdate;
use berylhook_traffic::evacuation::EvacuatedZones;
use berylhook_traffic::ownership::{Member, Membership};
use berylhook_traffic::regions::RegionMap;
use berylhook_traffic::retry_budget::FleetRetryBudget;
use berylhook_traffic::shutdown::ShutdownStage;
use berylhook_traffic::target::Target;
use indexmap::IndexMap;
use tokio::sync::{Notify, watch};

use crate::era_tracker::EraTracker;
use crate::metrics::Metrics;
use crate::quarantine::target_incarnation;
use crate::queue::{Clock, ServiceQueue};
use crate::readiness::{self, Requirement};
use crate::settings::EntrySettings;

/// Counts the connected callers.
#[derive(Clone)]
pub(crate) struct CallerConnections(watch::Sender<usize>);

/// One connected caller in the count.
pub(crate) struct OpenConnection(watch::Sender<usize>);

impl CallerConnections {
    /// Adds a connected caller.
    pub(crate) fn open(&self) -> OpenConnection {
        self.0.send_modify(|count| *count += 1);
        OpenConnection(self.0.clone())
    }

    /// The number of connected callers.
    pub(crate) fn count(&self) -> usize {
        *self.0.borrow()
    }

    /// Waits until no caller is connected.
    pub(crate) async fn wait_until_drained(&self) {
        let mut count = self.0.subscribe();
        // The sender lives as long as `self`, so the wait cannot fail.
        let _ = count.wait_for(|count| *count == 0).await;
    }
}

impl OpenConnection {
    /// Removes the caller from the count.
    pub(crate) fn close(self) {
        self.0.send_modify(|count| *count -= 1);
    }
}

/// The state shared by all parts of the process.
pub(crate) struct Shared {
    settings: ArcSwap<EntrySettings>,
    pub(crate) clock: Clock,
    pub(crate) metrics: Arc<Metrics>,
    /// The quarantine of requests under which targets exit.
    pub(crate) suspect_tracker: Arc<SuspectTracker>,
    /// The eras of the store.
    pub(crate) eras: Arc<EraTracker>,
    pub(crate) stage: watch::Sender<ShutdownStage>,
    /// Whether the process accepts callers' connections.
    is_listening: AtomicBool,
    /// Whether the list of targets was read from the store, or received from a peer that knows it.
    knows_targets: AtomicBool,
    pub(crate) connections: CallerConnections,
    /// The places of callers' connections.
    pub(crate) connection_table: Arc<ConnectionTable>,
    /// Bounds the log lines about closed connections.
    close_log: LogLimit,
    /// The memory of the bodies of requests and responses.
    pub(crate) memory: Arc<MemoryAccount>,
    /// The last engine update of a leader.
    engine_update: watch::Sender<EngineUpdate>,
    /// The entries that share the targets.
    membership: Mutex<Membership>,
    /// The entries among which the rate of a cold target is divided.
    known_entries: Mutex<KnownEntries>,
    /// The number of entries that keep to the bounds of retries together; 0 while it is not known.
    fleet_size: AtomicUsize,
    /// The number of requests that have arrived since the start.
    pub(crate) arrival_count: AtomicU64,
    /// Whether the process is shutting down.
    pub(crate) is_stopping: watch::Sender<bool>,
    /// Whether a peer with clearly more processor time is known.
    pub(crate) has_peer_with_more_cpu: watch::Sender<bool>,
    /// Notified when a target sets, changes or removes its request limit.
    pub(crate) limits_changed: Notify,
    configuration: ArcSwapOption<Configuration>,
    /// The regions of the data centres.
    pub(crate) regions: RegionMap,
    /// Whether the deployment has evacuated data centres at all.
    has_evacuation: bool,
    /// The evacuated data centres; `None` while they are not known.
    evacuated: ArcSwapOption<EvacuatedZones>,
    queues: Mutex<IndexMap<Arc<str>, Arc<ServiceQueue>>>,
}

impl Shared {
    pub(crate) fn new(settings: EntrySettings) -> Self {
        let own_member = Member {
            address: settings.peer_address,
            data_centre: Arc::clone(&settings.data_centre),
            demand_per_s: None,
        };
        let clock = Clock::start();
        let metrics = Arc::new(Metrics::new());
        let bounds = Bounds::of(&settings.limits);
        Self {
            regions: settings.regions.clone(),
            has_evacuation: settings.evacuate_ms.is_some(),
            evacuated: ArcSwapOption::empty(),
            membership: Mutex::new(Membership::new(own_member, [])),
            known_entries: Mutex::new(KnownEntries::at_start(settings.peer_address)),
            fleet_size: AtomicUsize::new(fleet_size_at_start(&settings)),
            arrival_count: AtomicU64::new(0),
            settings: ArcSwap::from_pointee(settings),
            clock,
            suspect_tracker: Arc::new(
                SuspectTracker::new(Arc::clone(&metrics) as _).with_store_follower(),
            ),
            metrics,
            eras: Arc::new(EraTracker::new()),
            stage: watch::Sender::new(ShutdownStage::Serving),
            is_listening: AtomicBool::new(false),
            knows_targets: AtomicBool::new(false),
            connections: CallerConnections(watch::Sender::new(0)),
            connection_table: ConnectionTable::new(bounds.caller_connections),
            close_log: LogLimit::default(),
            memory: MemoryAccount::new(bounds.body_bytes),
            engine_update: watch::Sender::new(EngineUpdate::default()),
            is_stopping: watch::Sender::new(false),
            has_peer_with_more_cpu: watch::Sender::new(false),
            limits_changed: Notify::new(),
            configuration: ArcSwapOption::empty(),
            queues: Mutex::new(IndexMap::new()),
        }
    }

    /// The current settings.
    pub(crate) fn settings(&self) -> Arc<EntrySettings> {
        self.settings.load_full()
    }

    /// Replaces the settings. The process keeps listening on its original addresses.
    pub(crate) fn set_settings(&self, settings: EntrySettings) {
        let bounds = Bounds::of(&settings.limits);
        self.memory.set_capacity(bounds.body_bytes);
        self.connection_table
            .set_max_connections(bounds.caller_connections, Instant::now());
        self.settings.store(Arc::new(settings));
        self.update_retry_policies();
    }

    /// Counts a connection that was closed, and logs it unless the log would grow with a crowd.
    pub(crate) fn log_closed_connection(&self, cause: CloseCause) {
        self.metrics.count_closed_connection(cause.name());
        if let Some(count) = self.close_log.take(Instant::now()) {
            let counts = self.connection_table.counts();
            log::warn!(
                cause = cause.name(),
                count,
                idle = counts.idle,
                head = counts.head,
                body = counts.body,
                requests = counts.request,
                lingering = counts.lingering;
                "connections are closed, as there are as many as allowed"
            );
        }
    }

    /// The configuration in force, if one is known.
    pub(crate) fn configuration(&self) -> Option<Arc<Configuration>> {
        self.configuration.load_full()
    }

    /// Whether the entry takes new connections.
    pub(crate) fn is_ready(&self) -> bool {
        *self.stage.borrow() == ShutdownStage::Serving
            && readiness::is_ready(|requirement| self.meets(requirement))
    }

    fn meets(&self, requirement: Requirement) -> bool {
        match requirement {
            Requirement::ListenerOpen => self.is_listening.load(Ordering::Relaxed),
            Requirement::Configuration => self.configuration.load().is_some(),
            Requirement::TargetsKnown => self.knows_targets.load(Ordering::Relaxed),
            Requirement::EvacuationKnown => self.knows_evacuated(),
            Requirement::QuarantineLoaded => !self.suspect_tracker.is_uninformed(),
        }
    }

    /// Whether the deployment has evacuated data centres at all.
    pub(crate) fn has_evacuation(&self) -> bool {
        self.has_evacuation
    }

    /// Whether this entry knows which data centres are evacuated, if any can be.
    pub(crate) fn knows_evacuated(&self) -> bool {
        !self.has_evacuation || self.evacuated.load().is_some()
    }

    /// Whether the data centre is evacuated.
    pub(crate) fn is_evacuated(&self, data_centre: &str) -> bool {
        let evacuated = self.evacuated.load();
        let zones = evacuated.as_deref();
        zones.is_some_and(|zones| zones.contains(data_centre))
    }

    /// Replaces the evacuated data centres.
    pub(crate) fn set_evacuated(&self, zones: &EvacuatedZones) {
        let count = i64::try_from(zones.data_centres.len()).unwrap_or(i64::MAX);
        self.metrics.evacuated_zones.set(count);
        let previous = self.evacuated.swap(Some(Arc::new(zones.clone())));
        let reopened = previous.iter().flat_map(|previous| &previous.data_centres);
        for data_centre in reopened.filter(|it| !zones.contains(it)) {
            self.mark_data_centre_cold(data_centre);
        }
        for queue in self.queues() {
            queue.set_evacuated(zones);
        }
    }

    /// Records that callers' connections are accepted from now on.
    pub(crate) fn set_listening(&self) {
        self.is_listening.store(true, Ordering::Relaxed);
    }

    /// Records that the list of targets is known from now on.
    pub(crate) fn set_targets_known(&self) {
        self.knows_targets.store(true, Ordering::Relaxed);
    }

    /// Activates a configuration if its version is higher than that of the one in force.
    ///
    /// Returns whether it was activated.
    pub(crate) fn set_configuration(&self, configuration: Configuration) -> bool {
        let current = self
            .configuration
            .load()
            .as_ref()
            .map(|current| current.version);
        if current.is_some_and(|current| configuration.version <= current) {
            return false;
        }
        let version = i64::try_from(configuration.version).unwrap_or(i64::MAX);
        self.metrics.configuration_version.set(version);
        let configuration = Arc::new(configuration);
        self.configuration.store(Some(Arc::clone(&configuration)));
        for queue in self.queues() {
            queue.set_admission_by_urgency(configuration.has_several_urgencies(queue.service()));
        }
        true
    }

    /// Replaces the targets that may get requests.
    pub(crate) fn set_targets<'a>(&self, usable: impl Iterator<Item = &'a Target>) {
        let targets: Vec<&Target> = usable.collect();
        let is_open = |target: &&&Target| !self.is_evacuated(&target.data_centre);
        let open = targets.iter().filter(is_open).count();
        let count = i64::try_from(open).unwrap_or(i64::MAX);
        self.metrics.targets.set(count);
        self.suspect_tracker
            .on_target_list(targets.iter().copied().map(target_incarnation));
        let mut services: Vec<&Arc<str>> = targets.iter().map(|target| &target.service).collect();
        services.sort();
        services.dedup();
        for service in services {
            self.queue_or_create(service);
        }
        self.update_cold_policies();
        let queues = self.queues.lock().expect("no holder panics").clone();
        for (name, queue) in &queues {
            let service_targets = targets.iter().filter(|target| target.service == *name);
            queue.set_targets(service_targets.copied());
            queue.set_engine_update(&self.engine_update.borrow());
        }
    }

    /// Applies a leader's engine update to all queues.
    pub(crate) fn set_engine_update(&self, update: EngineUpdate) {
        let queues = self.queues.lock().expect("no holder panics").clone();
        for queue in queues.values() {
            queue.set_engine_update(&update);
        }
        self.engine_update.send_replace(update);
    }

    /// Replaces the entries that share the targets.
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

    /// Replaces the entries among which the rate of a cold target is divided.
    pub(crate) fn set_known_entries(&self, entries: KnownEntries) {
        *self.known_entries.lock().expect("no holder panics") = entries;
        self.update_cold_policies();
    }

    /// Sets the number of entries that keep to the bounds of retries together.
    pub(crate) fn set_fleet_size(&self, entries: usize) {
        if self.fleet_size.swap(entries, Ordering::Relaxed) != entries {
            log::info!(entries; "the retry budget is shared anew");
            self.update_retry_policies();
        }
    }

    fn fleet_size(&self) -> Option<NonZeroUsize> {
        NonZeroUsize::new(self.fleet_size.load(Ordering::Relaxed))
    }

    fn update_retry_policies(&self) {
        let bounds = self.settings().retry_bounds;
        let entries = self.fleet_size();
        for queue in self.queues() {
            queue.set_retry_policy(bounds, entries);
        }
    }

    /// Applies the settings, the configuration and the known entries to the cold targets of all
    /// services.
    fn update_cold_policies(&self) {
        let bounds = self.settings().cold_bounds;
        let configuration = self.configuration();
        let entries = self.known_entries.lock().expect("no holder panics").clone();
        for queue in self.queues() {
            let service = configuration
                .as_ref()
                .and_then(|it| it.service(queue.service()));
            let policy = service.zip(bounds).and_then(|(service, bounds)| {
                ColdPolicy::new(service.cold_start_s, service.cold_per_s, bounds)
            });
            queue.set_cold_policy(policy, &entries);
        }
    }

    /// Notes that the evacuation of a data centre has ended, after which its targets may be cold.
    fn mark_data_centre_cold(&self, data_centre: &str) {
        for queue in self.queues() {
            queue.mark_data_centre_cold(data_centre);
        }
    }

    /// The queues of all services.
    pub(crate) fn queues(&self) -> Vec<Arc<ServiceQueue>> {
        let queues = self.queues.lock().expect("no holder panics");
        queues.values().cloned().collect()
    }

    /// The queue of a service, if it exists.
    pub(crate) fn existing_queue(&self, service: &str) -> Option<Arc<ServiceQueue>> {
        let queues = self.queues.lock().expect("no holder panics");
        queues.get(service).cloned()
    }

    /// The queue of a service, created at its first use.
    pub(crate) fn queue_or_create(&self, service: &Arc<str>) -> Arc<ServiceQueue> {
        let mut queues = self.queues.lock().expect("no holder panics");
        if let Some(queue) = queues.get(service) {
            return Arc::clone(queue);
        }
        let configuration = self.configuration();
        let service_configuration = configuration
            .as_ref()
            .and_then(|configuration| configuration.service(service).cloned());
        let retry_budget = FleetRetryBudget::new(self.settings().retry_bounds, self.fleet_size());
        let queue = Arc::new(ServiceQueue::new(
            Arc::clone(service),
            self.clock,
            self.membership.lock().expect("no holder panics").clone(),
            service_configuration
                .as_deref()
                .and_then(|service| service.engine.as_ref()),
            retry_budget,
        ));
        queue.set_regions(self.regions.clone());
        if let Some(zones) = self.evacuated.load().as_deref() {
            queue.set_evacuated(zones);
        }
        let has_several_urgencies =
            configuration.is_some_and(|configuration| configuration.has_several_urgencies(service));
        queue.set_admission_by_urgency(has_several_urgencies);
        // Before the configuration is known, it is unknown whether the service has engines, so
        // the queue is not stored.
        if service_configuration.is_some() {
            queues.insert(Arc::clone(service), Arc::clone(&queue));
        }
        queue
    }
}

/// The number of entries before any peer has replied; 0 if it is not known. An entry without seeds is
/// the first of its fleet.
fn fleet_size_at_start(settings: &EntrySettings) -> usize {
    let mut seeds = settings.seeds.iter();
    let is_alone = seeds.all(|seed| *seed == settings.peer_address);
    usize::from(is_alone)
}
