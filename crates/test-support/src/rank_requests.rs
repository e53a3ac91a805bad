//! The streams at the engines of a [`PlatformGroup`](crate::PlatformGroup), and what becomes of
//! those whose callers disconnect.

use std::time::{Duration, Instant};

/// Number of passes of a stream, each of which makes one event.
pub(crate) const PASSES_PER_STREAM: u64 = 4;

/// An engine that works on a request this long after its caller has disconnected is late.
const DISCONNECT_GRACE: Duration = Duration::from_millis(500);

/// Requests at one rank whose callers have disconnected.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Abandoned {
    /// Not begun, and dropped by the engine in time.
    pub waiting_in_time: usize,
    /// Not begun, and still there half a second after the caller left.
    pub waiting_late: usize,
    /// Begun, and dropped by the engine in time.
    pub begun_in_time: usize,
    /// Begun, and still there half a second after the caller left.
    pub begun_late: usize,
    /// Sent while the VM was frozen.
    pub undelivered: usize,
}

/// A request that has reached an engine.
struct RankRequest {
    rank: usize,
    begun_at_pass: Option<u64>,
    is_done: bool,
    /// When the caller disconnected.
    left_at: Option<Instant>,
    /// When the engine dropped it because its caller had disconnected.
    dropped_at: Option<Instant>,
}

impl RankRequest {
    fn is_present(&self) -> bool {
        !self.is_done && self.dropped_at.is_none()
    }
}

/// All requests that have reached the engines of a group.
#[derive(Default)]
pub(crate) struct RankRequests {
    requests: Vec<RankRequest>,
}

impl RankRequests {
    /// Adds a request and returns its index.
    pub(crate) fn add(&mut self, rank: usize) -> usize {
        self.requests.push(RankRequest {
            rank,
            begun_at_pass: None,
            is_done: false,
            left_at: None,
            dropped_at: None,
        });
        self.requests.len() - 1
    }

    /// Begins all requests that have arrived, and ends those that have had all their passes.
    pub(crate) fn begin_pass(&mut self, pass: u64) {
        for request in self.requests.iter_mut().filter(|it| it.is_present()) {
            let begun_at_pass = *request.begun_at_pass.get_or_insert(pass);
            request.is_done = pass - begun_at_pass >= PASSES_PER_STREAM;
        }
    }

    /// The rank at whose engine a request is.
    pub(crate) fn rank(&self, index: usize) -> usize {
        self.requests[index].rank
    }

    /// Number of events that a request has made.
    pub(crate) fn events(&self, index: usize, pass: u64) -> u64 {
        let begun_at_pass = self.requests[index].begun_at_pass;
        let passes = begun_at_pass.map_or(0, |begun_at_pass| 1 + pass - begun_at_pass);
        passes.min(PASSES_PER_STREAM)
    }

    /// Numbers of the requests at a rank that have begun and that have not.
    pub(crate) fn counts(&self, rank: usize) -> (usize, usize) {
        let at_rank = |request: &&RankRequest| request.rank == rank && request.is_present();
        let present = self.requests.iter().filter(at_rank);
        let (begun, waiting): (Vec<_>, Vec<_>) =
            present.partition(|request| request.begun_at_pass.is_some());
        (begun.len(), waiting.len())
    }

    /// Records that a caller has disconnected. The engine on a frozen VM does not learn of it.
    pub(crate) fn disconnect(&mut self, index: usize, is_frozen: impl Fn(usize) -> bool) {
        let request = &mut self.requests[index];
        if request.is_present() {
            request.left_at = Some(Instant::now());
            request.dropped_at = (!is_frozen(request.rank)).then(Instant::now);
        }
    }

    /// Drops the requests whose callers disconnected while VMs were frozen.
    pub(crate) fn on_wake(&mut self) {
        let was_abandoned = |request: &&mut RankRequest| request.left_at.is_some();
        for request in self.requests.iter_mut().filter(was_abandoned) {
            request.dropped_at.get_or_insert_with(Instant::now);
        }
    }

    /// The requests at a rank whose callers have disconnected.
    pub(crate) fn abandoned(&self, rank: usize) -> Abandoned {
        let mut abandoned = Abandoned::default();
        for request in self.requests.iter().filter(|request| request.rank == rank) {
            let Some(left_at) = request.left_at else {
                continue;
            };
            let end = request.dropped_at.unwrap_or_else(Instant::now);
            let is_late = end.duration_since(left_at) > DISCONNECT_GRACE;
            let count = match (request.begun_at_pass, is_late) {
                (None, false) => &mut abandoned.waiting_in_time,
                (None, true) => &mut abandoned.waiting_late,
                (Some(_), false) => &mut abandoned.begun_in_time,
                (Some(_), true) => &mut abandoned.begun_late,
            };
            *count += 1;
        }
        abandoned
    }
}
