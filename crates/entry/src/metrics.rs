//! Counters, gauges and latency histograms, exported in the `OpenMetrics` text format.

use std::sync::Mutex;
use std::sync::atomic::{AtomicI64, AtomicU64};

use berylhook_ingress::{BufferKind, MemoryAccount, PhaseCounts};
use berylhook_traffic::dispatch::{LevelReport, SlotStatus};
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

/// Labels of request and send counters.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct OutcomeLabels {
    pub(crate) outcome: &'static str,
}

/// Labels of decisions that allow or refuse something.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct DecisionLabels {
    pub(crate) decision: &'static str,
}

/// Labels of store calls.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct CallLabels {
    pub(crate) call: &'static str,
    pub(crate) result: &'static str,
}

/// Labels of counters by reason.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct ReasonLabels {
    pub(crate) reason: &'static str,
}

/// Labels of gauges by what the counted things are for, or do.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct StateLabels {
    pub(crate) state: &'static str,
}

/// Labels of gauges by service.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct ServiceLabels {
    pub(crate) service: String,
}

/// Labels of metrics by service and urgency.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct LevelLabels {
    pub(crate) service: String,
    pub(crate) urgency: u32,
}

/// Value of the scarce level while all demand fits in the slots.
const NO_SCARCE_LEVEL: i64 = -1;

/// Upper bound of the first latency bucket.
const FIRST_BUCKET_MS: f64 = 5.0;

/// Number of latency buckets. Bounds double, so the last finite one is about 10 s.
const BUCKET_COUNT: u16 = 12;

/// The metrics of one process.
pub(crate) struct Metrics {
    registry: Mutex<Registry>,
    pub(crate) requests: Family<OutcomeLabels, Counter<u64, AtomicU64>>,
    pub(crate) sends: Family<OutcomeLabels, Counter<u64, AtomicU64>>,
    pub(crate) connections: Family<StateLabels, Gauge<i64, AtomicI64>>,
    pub(crate) body_bytes: Family<StateLabels, Gauge<i64, AtomicI64>>,
    pub(crate) closed_connections: Family<ReasonLabels, Counter<u64, AtomicU64>>,
    pub(crate) retries: Family<DecisionLabels, Counter<u64, AtomicU64>>,
    pub(crate) available_retries: Family<ServiceLabels, Gauge<f64, AtomicU64>>,
    pub(crate) store_calls: Family<CallLabels, Counter<u64, AtomicU64>>,
    pub(crate) response_ms: Histogram,
    pub(crate) event_gap_ms: Histogram,
    pub(crate) configuration_version: Gauge<i64, AtomicI64>,
    pub(crate) targets: Gauge<i64, AtomicI64>,
    pub(crate) evacuated_zones: Gauge<i64, AtomicI64>,
    pub(crate) invalid_entries: Counter<u64, AtomicU64>,
    pub(crate) target_exit_requests: Counter<u64, AtomicU64>,
    pub(crate) suspected: Gauge<i64, AtomicI64>,
    pub(crate) quarantined: Gauge<i64, AtomicI64>,
    pub(crate) withheld: Family<ReasonLabels, Counter<u64, AtomicU64>>,
    pub(crate) backoffs: Counter<u64, AtomicU64>,
    pub(crate) limited_targets: Family<ServiceLabels, Gauge<i64, AtomicI64>>,
    pub(crate) cold_targets: Family<ServiceLabels, Gauge<i64, AtomicI64>>,
    pub(crate) slots: Family<ServiceLabels, Gauge<i64, AtomicI64>>,
    pub(crate) slots_in_use: Family<ServiceLabels, Gauge<f64, AtomicU64>>,
    pub(crate) scarce_level: Family<ServiceLabels, Gauge<i64, AtomicI64>>,
    pub(crate) level_demand: Family<LevelLabels, Gauge<f64, AtomicU64>>,
    pub(crate) level_reserve: Family<LevelLabels, Gauge<f64, AtomicU64>>,
    pub(crate) level_admitted: Family<LevelLabels, Counter<u64, AtomicU64>>,
    pub(crate) level_refused: Family<LevelLabels, Counter<u64, AtomicU64>>,
}

impl Metrics {
    pub(crate) fn new() -> Self {
        let buckets = || exponential_buckets(FIRST_BUCKET_MS, 2.0, BUCKET_COUNT);
        let metrics = Self {
            registry: Mutex::new(Registry::with_prefix("berylhook")),
            requests: Family::default(),
            sends: Family::default(),
            connections: Family::default(),
            body_bytes: Family::default(),
            closed_connections: Family::default(),
            retries: Family::default(),
            available_retries: Family::default(),
            store_calls: Family::default(),
            response_ms: Histogram::new(buckets()),
            event_gap_ms: Histogram::new(buckets()),
            configuration_version: Gauge::default(),
            targets: Gauge::default(),
            evacuated_zones: Gauge::default(),
            invalid_entries: Counter::default(),
            target_exit_requests: Counter::default(),
            suspected: Gauge::default(),
            quarantined: Gauge::default(),
            withheld: Family::default(),
            backoffs: Counter::default(),
            limited_targets: Family::default(),
            cold_targets: Family::default(),
            slots: Family::default(),
            slots_in_use: Family::default(),
            scarce_level: Family::default(),
            level_demand: Family::default(),
            level_reserve: Family::default(),
            level_admitted: Family::default(),
            level_refused: Family::default(),
        };
        metrics.register();
        metrics
    }

    fn register(&self) {
        self.register_holdings();
        let mut registry = self.registry.lock().expect("no holder panics");
        registry.register("requests", "Requests by outcome", self.requests.clone());
        registry.register(
            "sends",
            "Requests sent to targets, by result",
            self.sends.clone(),
        );
        registry.register(
            "retries",
            "Requests to be sent once more, by whether the retry budget allowed it",
            self.retries.clone(),
        );
        registry.register(
            "available_retries",
            "Retries that the budget of a service has now",
            self.available_retries.clone(),
        );
        registry.register(
            "store_calls",
            "Calls to the store",
            self.store_calls.clone(),
        );
        registry.register(
            "answer_ms",
            "Time to an answer, or to a stream's first event, in milliseconds",
            self.response_ms.clone(),
        );
        registry.register(
            "pass_ms",
            "Time between two events of a stream, in milliseconds",
            self.event_gap_ms.clone(),
        );
        registry.register(
            "configuration_version",
            "Version in force",
            self.configuration_version.clone(),
        );
        registry.register(
            "targets",
            "Targets that may get requests",
            self.targets.clone(),
        );
        registry.register(
            "evacuated_zones",
            "Data centres whose targets get no new requests",
            self.evacuated_zones.clone(),
        );
        registry.register(
            "unusable_entries",
            "Entries seen in the store's list that name no target",
            self.invalid_entries.clone(),
        );
        registry.register(
            "ended_under_requests",
            "Requests that were at a target when it ended",
            self.target_exit_requests.clone(),
        );
        registry.register(
            "suspected_requests",
            "Requests that run one at a time, since targets ended with them",
            self.suspected.clone(),
        );
        registry.register(
            "held_requests",
            "Requests that are held back",
            self.quarantined.clone(),
        );
        registry.register(
            "kept_back",
            "Requests that did not go to the target chosen first, by what it said",
            self.withheld.clone(),
        );
        registry.register(
            "rests",
            "Times that a target asked this entry for rest",
            self.backoffs.clone(),
        );
        registry.register(
            "limited_targets",
            "Targets that name a limit",
            self.limited_targets.clone(),
        );
        registry.register(
            "cold_targets",
            "Targets that are cold",
            self.cold_targets.clone(),
        );
        self.register_shared_slots(&mut registry);
        self.register_levels(&mut registry);
    }

    fn register_shared_slots(&self, registry: &mut Registry) {
        registry.register(
            "slots",
            "Slots of all targets that this entry may use",
            self.slots.clone(),
        );
        registry.register(
            "slots_in_use",
            "Fraction of all slots that the entries together use",
            self.slots_in_use.clone(),
        );
        registry.register(
            "scarce_level",
            "Most urgent urgency whose demand exceeds the slots that more urgent requests leave; -1 if all demand fits",
            self.scarce_level.clone(),
        );
    }

    fn register_levels(&self, registry: &mut Registry) {
        registry.register(
            "urgency_demand_slots",
            "Slots that the arrivals of an urgency need",
            self.level_demand.clone(),
        );
        registry.register(
            "urgency_reserve_slots",
            "Slots that are kept free from requests of an urgency",
            self.level_reserve.clone(),
        );
        registry.register(
            "urgency_admitted",
            "Requests of an urgency that got a slot",
            self.level_admitted.clone(),
        );
        registry.register(
            "urgency_refused",
            "Requests of an urgency that were refused",
            self.level_refused.clone(),
        );
    }

    pub(crate) fn count_request(&self, outcome: &'static str) {
        self.requests
            .get_or_create(&OutcomeLabels { outcome })
            .inc();
    }

    pub(crate) fn count_send(&self, outcome: &'static str) {
        self.sends.get_or_create(&OutcomeLabels { outcome }).inc();
    }

    fn register_holdings(&self) {
        let mut registry = self.registry.lock().expect("no holder panics");
        registry.register(
            "connections",
            "Callers' connections by state",
            self.connections.clone(),
        );
        registry.register(
            "body_bytes",
            "Memory of bodies in bytes, of requests and of responses",
            self.body_bytes.clone(),
        );
        registry.register(
            "closed_connections",
            "Callers' connections closed as there were as many as allowed, by reason",
            self.closed_connections.clone(),
        );
    }

    /// Sets the gauges of what callers hold.
    pub(crate) fn set_holdings(&self, counts: PhaseCounts, memory: &MemoryAccount) {
        let count = |count| i64::try_from(count).unwrap_or(i64::MAX);
        for (state, connections) in [
            ("idle", counts.idle),
            ("head", counts.head),
            ("body", counts.body),
            ("request", counts.request),
            ("lingering", counts.lingering),
        ] {
            let gauge = self.connections.get_or_create(&StateLabels { state });
            gauge.set(count(connections));
        }
        for (state, kind) in [
            ("request", BufferKind::Request),
            ("response", BufferKind::Response),
        ] {
            let bytes = i64::try_from(memory.held_bytes(kind)).unwrap_or(i64::MAX);
            let gauge = self.body_bytes.get_or_create(&StateLabels { state });
            gauge.set(bytes);
        }
    }

    pub(crate) fn count_closed_connection(&self, reason: &'static str) {
        self.closed_connections
            .get_or_create(&ReasonLabels { reason })
            .inc();
    }

    pub(crate) fn count_retry(&self, is_granted: bool) {
        let decision = if is_granted { "granted" } else { "refused" };
        self.retries
            .get_or_create(&DecisionLabels { decision })
            .inc();
    }

    pub(crate) fn set_quarantine(&self, suspected: usize, quarantined: usize) {
        let count = |count| i64::try_from(count).unwrap_or(i64::MAX);
        self.suspected.set(count(suspected));
        self.quarantined.set(count(quarantined));
    }

    pub(crate) fn count_withheld(&self, reason: &'static str, count: u32) {
        let labels = ReasonLabels { reason };
        self.withheld.get_or_create(&labels).inc_by(count.into());
    }

    pub(crate) fn count_backoff(&self) {
        self.backoffs.inc();
    }

    pub(crate) fn set_limited_targets(&self, service: &str, count: usize) {
        let labels = ServiceLabels {
            service: service.to_owned(),
        };
        let count = i64::try_from(count).unwrap_or(i64::MAX);
        self.limited_targets.get_or_create(&labels).set(count);
    }

    pub(crate) fn set_available_retries(&self, service: &str, retries: f64) {
        let labels = ServiceLabels {
            service: service.to_owned(),
        };
        self.available_retries.get_or_create(&labels).set(retries);
    }

    pub(crate) fn set_cold_targets(&self, service: &str, count: usize) {
        let labels = ServiceLabels {
            service: service.to_owned(),
        };
        let count = i64::try_from(count).unwrap_or(i64::MAX);
        self.cold_targets.get_or_create(&labels).set(count);
    }

    pub(crate) fn set_shared_slots(&self, service: &str, status: &SlotStatus) {
        let labels = ServiceLabels {
            service: service.to_owned(),
        };
        self.slots.get_or_create(&labels).set(status.slots.into());
        let slots_in_use = self.slots_in_use.get_or_create(&labels);
        slots_in_use.set(status.fraction_in_use);
        let scarce_level = status.scarce_level.map_or(NO_SCARCE_LEVEL, i64::from);
        self.scarce_level.get_or_create(&labels).set(scarce_level);
    }

    /// Removes the gauges of a service that no longer shares its slots.
    pub(crate) fn remove_shared_slots(&self, service: &str) {
        let labels = ServiceLabels {
            service: service.to_owned(),
        };
        self.slots.remove(&labels);
        self.slots_in_use.remove(&labels);
        self.scarce_level.remove(&labels);
    }

    /// Publishes the state of the requests of one urgency.
    pub(crate) fn set_level(&self, service: &str, report: &LevelReport) {
        let labels = LevelLabels {
            service: service.to_owned(),
            urgency: report.urgency,
        };
        self.level_demand
            .get_or_create(&labels)
            .set(report.demanded_slots);
        self.level_reserve
            .get_or_create(&labels)
            .set(report.reserve);
        self.level_admitted
            .get_or_create(&labels)
            .inc_by(report.admitted.into());
        self.level_refused
            .get_or_create(&labels)
            .inc_by(report.refused.into());
    }

    pub(crate) fn count_invalid_entries(&self, count: usize) {
        self.invalid_entries.inc_by(count as u64);
    }

    pub(crate) fn count_store_call(&self, call: &'static str, result: &'static str) {
        let labels = CallLabels { call, result };
        self.store_calls.get_or_create(&labels).inc();
    }

    /// Encodes all metrics as text.
    pub(crate) fn encode_text(&self) -> String {
        let registry = self.registry.lock().expect("no holder panics");
        let mut text = String::new();
        match encode(&mut text, &registry) {
            Ok(()) => text,
            Err(error) => format!("# metrics cannot be written: {error}\n"),
        }
    }
}
