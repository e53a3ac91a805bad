//! Callers, and the history of what they were told.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use berylhook_test_support::calls::{CallResult, Caller};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::task::JoinHandle;
use tokio::time::timeout;

use crate::SoakConfig;
use crate::world::{KEY, World, newest_path};

/// A kind of request.
#[derive(Debug)]
pub struct RequestKind {
    /// The route's prefix.
    pub prefix: &'static str,
    /// What may be repeated, as the operator's documents say it.
    pub route_type: &'static str,
    /// Targets that one attempt may run at.
    pub max_targets: usize,
    /// Whether a stream may go on at another target.
    pub is_resumable: bool,
}

impl RequestKind {
    /// Whether a request may run more than once.
    #[must_use]
    pub fn is_repeatable(&self) -> bool {
        self.route_type == "safe" || self.is_resumable
    }

    /// Whether its answers are streams.
    #[must_use]
    pub fn is_stream(&self) -> bool {
        self.route_type == "streaming"
    }
}

/// The kinds of request that every configuration knows.
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

/// What one request was about.
#[derive(Clone, Copy, Debug)]
pub enum RequestedRoute {
    /// A kind that every configuration knows.
    Kind(&'static RequestKind),
    /// The route of one version of the configuration.
    Version(u64),
}

/// One request and what became of it.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Its id, which no other has.
    pub id: String,
    /// What it was about.
    pub route: RequestedRoute,
    /// The entry it was sent to.
    pub entry_index: usize,
    /// The entry's lifetime when it was sent and when it ended.
    pub entry_lifetimes: (u64, u64),
    /// When it was sent.
    pub sent_at: Instant,
    /// When its answer ended, or its caller left.
    pub ended_at: Instant,
    /// `None` if the caller left.
    pub response: Option<CallResult>,
}

impl Attempt {
    /// Whether it was answered in full.
    #[must_use]
    pub fn is_served(&self) -> bool {
        let response = self.response.as_ref();
        response.is_some_and(|it| it.status == 200 && it.is_complete)
    }
}

/// Callers that are at work.
pub(crate) struct Callers {
    is_over: Arc<AtomicBool>,
    tasks: Vec<JoinHandle<Vec<Attempt>>>,
}

pub(crate) fn start(world: &Arc<World>, plan: SoakConfig) -> Callers {
    let is_over = Arc::new(AtomicBool::new(false));
    let task = |number: usize| {
        let caller = OneCaller {
            world: Arc::clone(world),
            name: format!("{}-{number}", plan.seed),
            is_over: Arc::clone(&is_over),
            random: StdRng::seed_from_u64(plan.seed ^ (number as u64 + 1) << 32),
        };
        tokio::spawn(caller.run())
    };
    Callers {
        tasks: (0..plan.caller_count).map(task).collect(),
        is_over,
    }
}

impl Callers {
    /// Has the callers finish what they wait for, and gives their history.
    pub(crate) async fn close(self) -> Vec<Attempt> {
        self.is_over.store(true, Ordering::SeqCst);
        let mut history = Vec::new();
        for task in self.tasks {
            history.extend(task.await.expect("no caller panics"));
        }
        history
    }
}

struct OneCaller {
    world: Arc<World>,
    name: String,
    is_over: Arc<AtomicBool>,
    random: StdRng,
}

impl OneCaller {
    /// Sends one request after the other, over connections that it keeps for as
    /// long as they last.
    async fn run(mut self) -> Vec<Attempt> {
        let caller = Caller::new(KEY);
        let mut history = Vec::new();
        while !self.is_over.load(Ordering::SeqCst) {
            let id = format!("{}-{}", self.name, history.len());
            history.push(self.attempt(&caller, id).await);
            let pause_ms = self.random.random_range(2..40);
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        }
        history
    }

    async fn attempt(&mut self, caller: &Caller, id: String) -> Attempt {
        let route = self.choose();
        let entry_index = self.random.random_range(0..self.world.entries.len());
        // One in fifteen callers leaves early.
        let patience_ms = match self.random.random_range(0..15) {
            0 => self.random.random_range(5..120),
            _ => 8_000,
        };
        let to = &self.world.entries[entry_index];
        let path = match route {
            RequestedRoute::Kind(kind) if kind.is_stream() => format!("{}stream", kind.prefix),
            RequestedRoute::Kind(kind) => kind.prefix.to_owned(),
            RequestedRoute::Version(version) => newest_path(version),
        };
        let headers = [
            ("host", "desk.example"),
            ("berylhook-attempt-id", id.as_str()),
            ("berylhook-deadline-ms", "3000"),
        ];
        let lifetime = to.slot.lifetime();
        let sent_at = Instant::now();
        let answering = caller.post(to.callers, &path, "hello", &headers);
        let response = timeout(Duration::from_millis(patience_ms), answering).await;
        Attempt {
            route,
            entry_index,
            entry_lifetimes: (lifetime, to.slot.lifetime()),
            sent_at,
            ended_at: Instant::now(),
            response: response.ok(),
            id,
        }
    }

    fn choose(&mut self) -> RequestedRoute {
        let newest = self.world.version.load(Ordering::SeqCst);
        match self.random.random_range(0..10) {
            0 | 1 => RequestedRoute::Version(newest),
            2 => RequestedRoute::Version(newest.saturating_sub(1).max(1)),
            other => RequestedRoute::Kind(&REQUEST_KINDS[other % REQUEST_KINDS.len()]),
        }
    }
}
