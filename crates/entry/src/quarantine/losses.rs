//! Which targets ended, from sends that lost their answer.
//!
//! A connection that ends without an answer says little: the target may have ended, may
//! have reset it, or only one of its peers in a group is gone. What tells them apart is
//! whether anybody still listens at its address. A VM that does not answer at all has lost
//! its power or is cut off, which no request is blamed for.

use std::collections::VecDeque;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use berylhook_core::digest::RequestDigest;
use berylhook_core::quarantine::Suspect;
use berylhook_core::time::MonoMs;
use berylhook_traffic::target::Target;
use indexmap::IndexMap;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// A connection within a region is open or refused in a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// A process that is about to end may still accept; its connections end within this time.
const ENDS_WITHIN: Duration = Duration::from_millis(100);

/// Connections until a target counts as living. Where a forwarder stands before it, some
/// are accepted and closed before nobody listens any more.
const MOST_PROBES: usize = 4;

/// Time between a connection that was closed at once and the next.
const PROBE_PAUSE: Duration = Duration::from_millis(30);

/// A loss whose target seemed to live is remembered this long, for a younger target at its
/// address: supervisors that start a process again at once leave no time to find nobody
/// there, and the younger one is listed within seconds.
const REMEMBERED_MS: u64 = 10_000;

/// Targets whose losses are remembered. A target has one entry however many it lost.
const MOST_TARGETS: usize = 256;

/// Losses remembered for each of them.
const MOST_LOSSES: usize = 64;

/// A request whose answer was lost.
#[derive(Clone, Debug)]
pub(crate) struct Loss {
    pub(crate) digest: RequestDigest,
    /// Whether it ran under a lock, as a suspect.
    pub(crate) ran_alone: bool,
    /// The attempt's id, for the logs.
    pub(crate) request: Arc<str>,
    /// The client account, for the logs.
    pub(crate) account: Arc<str>,
}

impl Loss {
    pub(super) fn suspect(&self) -> Suspect {
        Suspect {
            digest: self.digest,
            ran_alone: self.ran_alone,
        }
    }
}

struct Lost {
    address: SocketAddr,
    listed_revision: u64,
    losses: Vec<Loss>,
    /// When it turned out that somebody listens there; `None` while nobody knows.
    unproved_ms: Option<MonoMs>,
}

/// A request that its caller left is remembered this long: a target that ends under it does
/// so within this time, or has been told that nobody waits.
const LEFT_COUNTS_MS: u64 = 1_000;

/// Requests remembered that their callers left.
const MOST_LEFT: usize = 256;

struct Left {
    target: Arc<str>,
    loss: Loss,
    at_ms: MonoMs,
}

/// Losses at targets of which it is not known that they ended.
#[derive(Default)]
pub(super) struct Losses {
    by_target: IndexMap<Arc<str>, Lost>,
    /// The newest is the last.
    left: VecDeque<Left>,
}

impl Losses {
    pub(super) fn is_empty(&self) -> bool {
        self.by_target.is_empty()
    }

    /// Adds a loss; returns whether the target has to be looked at.
    pub(super) fn add(&mut self, name: &Arc<str>, target: &Target, loss: Loss) -> bool {
        if self.by_target.len() >= MOST_TARGETS && !self.by_target.contains_key(name) {
            self.by_target.swap_remove_index(0);
        }
        let entry = self.by_target.entry(Arc::clone(name));
        let lost = entry.or_insert_with(|| Lost {
            address: target.address,
            listed_revision: target.listed_revision,
            losses: Vec::new(),
            // Looked at below, as one that was found to live is looked at again.
            unproved_ms: Some(MonoMs(0)),
        });
        if lost.losses.len() < MOST_LOSSES {
            lost.losses.push(loss);
        }
        lost.unproved_ms.take().is_some()
    }

    /// Adds a request that its caller left while it ran.
    pub(super) fn add_left(&mut self, target: Arc<str>, loss: Loss, at_ms: MonoMs) {
        if self.left.len() >= MOST_LEFT {
            self.left.pop_front();
        }
        self.left.push_back(Left {
            target,
            loss,
            at_ms,
        });
    }

    /// The requests that ran at a target until just now, when their callers left.
    pub(super) fn take_left(&mut self, target: &str, now_ms: MonoMs) -> Vec<Loss> {
        let (here, others) = std::mem::take(&mut self.left)
            .into_iter()
            .partition::<VecDeque<_>, _>(|left| *left.target == *target);
        self.left = others;
        let recent = here.into_iter();
        let recent = recent.filter(|left| now_ms.since(left.at_ms) <= LEFT_COUNTS_MS);
        recent.map(|left| left.loss).collect()
    }

    /// Whether it is being found out if a target of this request has ended.
    pub(super) fn is_unsettled(&self, digest: RequestDigest) -> bool {
        let mut unsettled = self
            .by_target
            .values()
            .filter(|it| it.unproved_ms.is_none());
        unsettled.any(|lost| lost.losses.iter().any(|loss| loss.digest == digest))
    }

    /// The target has ended: gives the losses there.
    pub(super) fn take(&mut self, name: &str) -> Vec<Loss> {
        let lost = self.by_target.swap_remove(name);
        lost.map(|lost| lost.losses).unwrap_or_default()
    }

    /// Nothing shows that the target has ended.
    pub(super) fn set_unproved(&mut self, name: &str, now_ms: MonoMs) {
        if let Some(lost) = self.by_target.get_mut(name) {
            lost.unproved_ms = Some(now_ms);
        }
    }

    /// Forgets losses for which nothing showed that their target ended.
    pub(super) fn forget_old(&mut self, now_ms: MonoMs) {
        self.by_target.retain(|_, lost| {
            let unproved_ms = lost.unproved_ms.unwrap_or(now_ms);
            now_ms.since(unproved_ms) < REMEMBERED_MS
        });
    }

    /// The losses at targets at whose address a younger one is listed.
    pub(super) fn superseded(&mut self, usable: &[&Target]) -> Vec<(Arc<str>, Vec<Loss>)> {
        let is_superseded = |lost: &Lost| {
            let mut here = usable.iter().filter(|it| it.address == lost.address);
            here.any(|target| target.listed_revision > lost.listed_revision)
        };
        let found = self.by_target.iter().filter(|(_, it)| is_superseded(it));
        let names: Vec<_> = found.map(|(name, _)| Arc::clone(name)).collect();
        let taken = names.into_iter().map(|name| {
            let losses = self.take(&name);
            (name, losses)
        });
        taken.collect()
    }
}

/// Whether nobody listens at the address any more.
pub(super) async fn has_ended(address: SocketAddr) -> bool {
    for _ in 0..MOST_PROBES {
        let mut stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return error.kind() == ErrorKind::ConnectionRefused,
            Err(_) => return false,
        };
        // A target says nothing on a connection without a request.
        let said = timeout(ENDS_WITHIN, stream.read(&mut [0; 1])).await;
        if said.is_err() {
            return false;
        }
        sleep(PROBE_PAUSE).await;
    }
    false
}
