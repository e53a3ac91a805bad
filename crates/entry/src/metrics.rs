//! Counters and latency histograms, as text in the `OpenMetrics` format.

use std::sync::Mutex;
use std::sync::atomic::{AtomicI64, AtomicU64};

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

/// What became of a request, and why.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct OutcomeLabels {
    pub(crate) outcome: &'static str,
}

/// One kind of call to the store.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct CallLabels {
    pub(crate) call: &'static str,
    pub(crate) result: &'static str,
}

/// Why something was not done.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct ReasonLabels {
    pub(crate) reason: &'static str,
}

/// One service.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct ServiceLabels {
    pub(crate) service: String,
}

/// First bucket of the latency histograms.
const FIRST_BUCKET_MS: f64 = 5.0;

/// Buckets of the latency histograms; the last ends at about 10 s.
const BUCKETS: u16 = 12;

/// The metrics of one process.
pub(crate) struct Metrics {
    registry: Mutex<Registry>,
    pub(crate) requests: Family<OutcomeLabels, Counter<u64, AtomicU64>>,
    pub(crate) sends: Family<OutcomeLabels, Counter<u64, AtomicU64>>,
    pub(crate) store_calls: Family<CallLabels, Counter<u64, AtomicU64>>,
    pub(crate) answer_ms: Histogram,
    pub(crate) pass_ms: Histogram,
    pub(crate) configuration_version: Gauge<i64, AtomicI64>,
    pub(crate) targets: Gauge<i64, AtomicI64>,
    pub(crate) unusable_entries: Counter<u64, AtomicU64>,
    pub(crate) ended_under_requests: Counter<u64, AtomicU64>,
    pub(crate) suspected: Gauge<i64, AtomicI64>,
    pub(crate) held: Gauge<i64, AtomicI64>,
    pub(crate) kept_back: Family<ReasonLabels, Counter<u64, AtomicU64>>,
    pub(crate) rests: Counter<u64, AtomicU64>,
    pub(crate) limited_targets: Family<ServiceLabels, Gauge<i64, AtomicI64>>,
}

impl Metrics {
    pub(crate) fn new() -> Self {
        let buckets = || exponential_buckets(FIRST_BUCKET_MS, 2.0, BUCKETS);
        let metrics = Self {
            registry: Mutex::new(Registry::with_prefix("berylhook")),
            requests: Family::default(),
            sends: Family::default(),
            store_calls: Family::default(),
            answer_ms: Histogram::new(buckets()),
            pass_ms: Histogram::new(buckets()),
            configuration_version: Gauge::default(),
            targets: Gauge::default(),
            unusable_entries: Counter::default(),
            ended_under_requests: Counter::default(),
            suspected: Gauge::default(),
            held: Gauge::default(),
            kept_back: Family::default(),
            rests: Counter::default(),
            limited_targets: Family::default(),
        };
        metrics.register();
        metrics
    }

    fn register(&self) {
        let mut registry = self.registry.lock().expect("no holder panics");
        registry.register("requests", "Requests by outcome", self.requests.clone());
        registry.register(
            "sends",
            "Requests sent to targets, by result",
            self.sends.clone(),
        );
        registry.register(
            "store_calls",
            "Calls to the store",
            self.store_calls.clone(),
        );
        registry.register(
            "answer_ms",
            "Time to an answer, or to a stream's first event, in milliseconds",
            self.answer_ms.clone(),
        );
        registry.register(
            "pass_ms",
            "Time between two events of a stream, in milliseconds",
            self.pass_ms.clone(),
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
            "unusable_entries",
            "Entries seen in the store's list that name no target",
            self.unusable_entries.clone(),
        );
        registry.register(
            "ended_under_requests",
            "Requests that were at a target when it ended",
            self.ended_under_requests.clone(),
        );
        registry.register(
            "suspected_requests",
            "Requests that run one at a time, since targets ended with them",
            self.suspected.clone(),
        );
        registry.register(
            "held_requests",
            "Requests that are held back",
            self.held.clone(),
        );
        registry.register(
            "kept_back",
            "Requests that did not go to the target chosen first, by what it said",
            self.kept_back.clone(),
        );
        registry.register(
            "rests",
            "Times that a target asked this entry for rest",
            self.rests.clone(),
        );
        registry.register(
            "limited_targets",
            "Targets that name a limit",
            self.limited_targets.clone(),
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

    pub(crate) fn set_quarantine(&self, suspected: usize, held: usize) {
        let count = |count| i64::try_from(count).unwrap_or(i64::MAX);
        self.suspected.set(count(suspected));
        self.held.set(count(held));
    }

    pub(crate) fn count_kept_back(&self, reason: &'static str, count: u32) {
        let labels = ReasonLabels { reason };
        self.kept_back.get_or_create(&labels).inc_by(count.into());
    }

    pub(crate) fn count_rest(&self) {
        self.rests.inc();
    }

    pub(crate) fn set_limited_targets(&self, service: &str, count: usize) {
        let labels = ServiceLabels {
            service: service.to_owned(),
        };
        let count = i64::try_from(count).unwrap_or(i64::MAX);
        self.limited_targets.get_or_create(&labels).set(count);
    }

    pub(crate) fn count_unusable_entries(&self, count: usize) {
        self.unusable_entries.inc_by(count as u64);
    }

    pub(crate) fn count_store_call(&self, call: &'static str, result: &'static str) {
        let labels = CallLabels { call, result };
        self.store_calls.get_or_create(&labels).inc();
    }

    /// All metrics as text.
    pub(crate) fn text(&self) -> String {
        let registry = self.registry.lock().expect("no holder panics");
        let mut text = String::new();
        match encode(&mut text, &registry) {
            Ok(()) => text,
            Err(error) => format!("# metrics cannot be written: {error}\n"),
        }
    }
}
