//! Callers, and the history of their requests and responses.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use berylhook_test_support::calls::{CallResult, Caller};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::task::JoinHandle;
use tokio::time::timeout;

use crate::SoakConfig;
use crate::cluster::{API_KEY, Cluster, version_path};

/// The parts of prompts that all requests have, apart from the last.
pub(crate) const SHARED_PARTS: &str = "5c1e07a2:40,91bd3f06:60";

/// The deadline of the requests.
pub(crate) const TIME_LIMIT: Duration = Duration::from_secs(3);

/// A route of the configuration and the requests that are sent to it.
#[derive(Debug)]
pub struct RequestKind {
    /// Path prefix of the route.
    pub prefix: &'static str,
    /// `type` of the route in the operator's configuration, which sets its retry policy.
    pub route_type: &'static str,
    /// Maximum number of targets that one attempt may run at.
    pub max_targets: usize,
    /// Whether a stream may be resumed at another target.
    pub is_resumable: bool,
}

impl RequestKind {
    /// Whether one request may run more than once.
    #[must_use]
    pub fn is_repeatable(&self) -> bool {
        self.route_type == "safe" || self.is_resumable
    }

    /// Whether the responses are event streams.
    #[must_use]
    pub fn is_stream(&self) -> bool {
        self.route_type == "streaming"
    }
}

/// The routes that exist in every version of the configuration.
pub const REQUEST_KINDS: [RequestKind; 4] = [
    RequestKind {
        prefix: "/safe/",
        route_type: "safe",
        max_targets: 2,
        is_resumable: false,
    },
    RequestKind {
        prefix: "/unsafe/",
        route_type: "unsafe",
        max_targets: 2,
        is_resumable: false,
    },
    RequestKind {
        prefix: "/stream/",
        route_type: "streaming",
        max_targets: 3,
        is_resumable: true,
    },
    RequestKind {
        prefix: "/once/",
        route_type: "streaming",
        max_targets: 3,
        is_resumable: false,
    },
];

/// The route that a request was sent to.
#[derive(Clone, Copy, Debug)]
pub enum RequestedRoute {
    /// A route that exists in every version of the configuration.
    Kind(&'static RequestKind),
    /// The route that exists in this version of the configuration only.
    Version(u64),
}

/// A request and its response.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Unique ID of the attempt.
    pub id: String,
    /// Route of the request.
    pub route: RequestedRoute,
    /// Index of the entry that the request was sent to.
    pub entry_index: usize,
    /// Number of the entry's process, counted from 1, when the request was sent and when it
    /// ended.
    pub entry_lifetimes: (u64, u64),
    /// When the request was sent.
    pub sent_at: Instant,
    /// When the response ended or the caller disconnected.
    pub ended_at: Instant,
    /// The response; `None` if the caller disconnected before its end.
    pub response: Option<CallResult>,
}

impl Attempt {
    /// Whether the response was successful and complete.
    #[must_use]
    pub fn is_served(&self) -> bool {
        let response = self.response.as_ref();
        response.is_some_and(|it| it.status == 200 && it.is_complete)
    }
}

/// The running callers.
pub(crate) struct Callers {
    is_stopping: Arc<AtomicBool>,
    tasks: Vec<JoinHandle<Vec<Attempt>>>,
}

pub(crate) fn start(cluster: &Arc<Cluster>, config: SoakConfig) -> Callers {
    let is_stopping = Arc::new(AtomicBool::new(false));
    let task = |number: usize| {
        let caller = CallerTask {
            cluster: Arc::clone(cluster),
            name: format!("{}-{number}", config.seed),
            is_stopping: Arc::clone(&is_stopping),
            rng: StdRng::seed_from_u64(config.seed ^ (number as u64 + 1) << 32),
        };
        tokio::spawn(caller.run())
    };
    Callers {
        tasks: (0..config.caller_count).map(task).collect(),
        is_stopping,
    }
}

impl Callers {
    /// Lets the callers finish their current requests, and returns the history of all.
    pub(crate) async fn finish(self) -> Vec<Attempt> {
        self.is_stopping.store(true, Ordering::SeqCst);
        let mut history = Vec::new();
        for task in self.tasks {
            history.extend(task.await.expect("no caller panics"));
        }
        history
    }
}

struct CallerTask {
    cluster: Arc<Cluster>,
    name: String,
    is_stopping: Arc<AtomicBool>,
    rng: StdRng,
}

impl CallerTask {
    /// Sends one request at a time, over connections that are reused while they stay open.
    async fn run(mut self) -> Vec<Attempt> {
        let caller = Caller::new(API_KEY);
        let mut history = Vec::new();
        while !self.is_stopping.load(Ordering::SeqCst) {
            let id = format!("{}-{}", self.name, history.len());
            history.push(self.attempt(&caller, id).await);
            let pause_ms = self.rng.random_range(2..40);
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        }
        history
    }

    async fn attempt(&mut self, caller: &Caller, id: String) -> Attempt {
        let route = self.choose_route();
        let entry_index = self.rng.random_range(0..self.cluster.entries.len());
        // One in fifteen requests is abandoned early.
        let wait_limit_ms = match self.rng.random_range(0..15) {
            0 => self.rng.random_range(5..120),
            _ => 8_000,
        };
        let entry = &self.cluster.entries[entry_index];
        let path = match route {
            RequestedRoute::Kind(kind) if kind.is_stream() => format!("{}stream", kind.prefix),
            RequestedRoute::Kind(kind) => kind.prefix.to_owned(),
            RequestedRoute::Version(version) => version_path(version),
        };
        let parts = format!("{SHARED_PARTS},e4402b7d:9");
        let time_limit_ms = TIME_LIMIT.as_millis().to_string();
        let headers = [
            ("host", "desk.example"),
            ("berylhook-attempt-id", id.as_str()),
            ("berylhook-deadline-ms", time_limit_ms.as_str()),
            ("berylhook-prefix-hash", parts.as_str()),
        ];
        let lifetime = entry.process.lifetime();
        let sent_at = Instant::now();
        let request = caller.post(entry.caller_address, &path, "hello", &headers);
        let response = timeout(Duration::from_millis(wait_limit_ms), request).await;
        Attempt {
            route,
            entry_index,
            entry_lifetimes: (lifetime, entry.process.lifetime()),
            sent_at,
            ended_at: Instant::now(),
            response: response.ok(),
            id,
        }
    }

    fn choose_route(&mut self) -> RequestedRoute {
        let newest = self.cluster.version.load(Ordering::SeqCst);
        match self.rng.random_range(0..10) {
            0 | 1 => RequestedRoute::Version(newest),
            2 => RequestedRoute::Version(newest.saturating_sub(1).max(1)),
            other => RequestedRoute::Kind(&REQUEST_KINDS[other % REQUEST_KINDS.len()]),
        }
    }
}
