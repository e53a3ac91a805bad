//! Which targets ended, from sends that lost their answer.
//!
//! A connection that ends without an answer says little: the target may have ended, may
//! have reset it, or only one of its peers in a group is gone. What tells them apart is
//! whether anybody still listens at its address. A VM that does not answer at all has lost
//! its power or is cut off, which no request is blamed for.

use std::net::SocketAddr;
use std::sync::Arc;

use berylhook_core::digest::RequestDigest;
use berylhook_core::quarantine::Suspect;
use berylhook_core::time::MonoMs;
use indexmap::IndexMap;

/// A loss whose target seemed to live is remembered this long, for a younger target at its
/// address: supervisors that start a process again at once leave no time to find nobody
/// there, and the younger one is listed within seconds.
const REMEMBERED_MS: u64 = 10_000;

/// Targets whose losses are remembered. A target has one entry however many it lost.
const MOST_TARGETS: usize = 256;

/// Losses remembered for each of them.
const MOST_LOSSES: usize = 64;

/// An incarnation of a target, and where it is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetIncarnation {
    /// The name of the incarnation, the same at all processes.
    pub target: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// When it came to be listed there: a later one at the address has taken its place.
    pub listed_revision: u64,
}

/// A request whose answer was lost.
#[derive(Clone, Debug)]
pub struct LostRequest {
    /// What was asked.
    pub digest: RequestDigest,
    /// Whether it ran under a lock, as a suspect.
    pub ran_alone: bool,
    /// The attempt's id, for the logs.
    pub attempt_id: Arc<str>,
    /// The client account, for the logs.
    pub account: Arc<str>,
}

impl LostRequest {
    pub(crate) fn suspect(&self) -> Suspect {
        Suspect {
            digest: self.digest,
            ran_alone: self.ran_alone,
        }
    }
}

struct Lost {
    place: TargetIncarnation,
    losses: Vec<LostRequest>,
    /// When it turned out that somebody listens there; `None` while nobody knows.
    unproved_ms: Option<MonoMs>,
}

/// Losses at targets of which it is not known that they ended.
#[derive(Default)]
pub(crate) struct Losses {
    by_target: IndexMap<Arc<str>, Lost>,
}

impl Losses {
    pub(crate) fn is_empty(&self) -> bool {
        self.by_target.is_empty()
    }

    /// Adds a loss; returns whether the target has to be looked at.
    pub(crate) fn add(&mut self, place: &TargetIncarnation, loss: LostRequest) -> bool {
        if self.by_target.len() >= MOST_TARGETS && !self.by_target.contains_key(&place.target) {
            self.by_target.swap_remove_index(0);
        }
        let entry = self.by_target.entry(Arc::clone(&place.target));
        let lost = entry.or_insert_with(|| Lost {
            place: place.clone(),
            losses: Vec::new(),
            // Looked at below, as one that was found to live is looked at again.
            unproved_ms: Some(MonoMs(0)),
        });
        if lost.losses.len() < MOST_LOSSES {
            lost.losses.push(loss);
        }
        lost.unproved_ms.take().is_some()
    }

    /// Whether it is being found out if a target of this request has ended.
    pub(crate) fn is_unsettled(&self, digest: RequestDigest) -> bool {
        let mut unsettled = self
            .by_target
            .values()
            .filter(|it| it.unproved_ms.is_none());
        unsettled.any(|lost| lost.losses.iter().any(|loss| loss.digest == digest))
    }

    /// The target has ended: gives the losses there.
    pub(crate) fn take(&mut self, name: &str) -> Vec<LostRequest> {
        let lost = self.by_target.swap_remove(name);
        lost.map(|lost| lost.losses).unwrap_or_default()
    }

    /// Nothing shows that the target has ended.
    pub(crate) fn set_unproved(&mut self, name: &str, now_ms: MonoMs) {
        if let Some(lost) = self.by_target.get_mut(name) {
            lost.unproved_ms = Some(now_ms);
        }
    }

    /// Forgets losses for which nothing showed that their target ended.
    pub(crate) fn forget_old(&mut self, now_ms: MonoMs) {
        self.by_target.retain(|_, lost| {
            let unproved_ms = lost.unproved_ms.unwrap_or(now_ms);
            now_ms.since(unproved_ms) < REMEMBERED_MS
        });
    }

    /// The losses at targets at whose address a younger one is listed.
    pub(crate) fn superseded(
        &mut self,
        usable: &[TargetIncarnation],
    ) -> Vec<(Arc<str>, Vec<LostRequest>)> {
        let is_superseded = |lost: &Lost| {
            let former = &lost.place;
            let mut here = usable.iter().filter(|it| it.address == former.address);
            here.any(|place| place.listed_revision > former.listed_revision)
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
