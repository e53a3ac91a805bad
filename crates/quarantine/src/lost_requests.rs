//! Detects exited targets after sends that lost their response.
//!
//! A connection that closes without a response is not sufficient evidence: the target may have
//! exited, may have reset the connection, or only one of its peers in a group may be gone. A new
//! connection shows whether the target has exited: it is refused if no process listens at the
//! address. A VM that does not reply at all has lost its power or is unreachable; neither is
//! attributed to a request.

use std::net::SocketAddr;
use std::sync::Arc;

use berylhook_core::digest::RequestDigest;
use berylhook_core::prompt::{PromptPart, SharedParts};
use berylhook_core::quarantine::Suspect;
use berylhook_core::time::MonoMs;
use indexmap::IndexMap;

/// Retention of lost requests whose target seemed to be alive. A supervisor that restarts a process
/// immediately leaves no time in which connections are refused, but the new incarnation at the
/// address is listed within seconds.
const RETENTION_MS: u64 = 10_000;

/// Maximum number of targets with lost requests. A target has one entry for all its lost requests.
const MAX_TARGETS: usize = 256;

/// Maximum number of lost runs for each target.
const MAX_RUNS_PER_TARGET: usize = 64;

/// An incarnation of a target, and its address.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetIncarnation {
    /// The name of the incarnation, the same in all processes.
    pub target: Arc<str>,
    /// The address at which the target listens.
    pub address: SocketAddr,
    /// The revision of the target list at which this incarnation was added. An incarnation with a
    /// higher revision at the same address has replaced it.
    pub listed_revision: u64,
}

/// A request whose response was lost, or whose run was abandoned.
#[derive(Clone, Debug)]
pub struct LostRequest {
    /// The digest of the request's content.
    pub digest: RequestDigest,
    /// Whether the request ran under a lock, as a suspect.
    pub ran_alone: bool,
    /// The id of the attempt, for log lines.
    pub attempt_id: Arc<str>,
    /// The client account, for log lines.
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

/// A run whose response was lost, or that was abandoned.
#[derive(Clone, Debug)]
pub struct LostRun {
    /// The request.
    pub request: LostRequest,
    /// The parts of its prompt that other requests may have as well.
    pub shared_parts: SharedParts,
    /// Those of the parts of which no other run was in progress, as they were suspected.
    pub alone_parts: Vec<PromptPart>,
    /// Whether the target may have begun to write the response. It has not while a stream's head
    /// is missing: the request was queued, or its prompt was being read.
    pub may_have_begun: bool,
}

impl From<LostRequest> for LostRun {
    fn from(request: LostRequest) -> Self {
        Self {
            request,
            shared_parts: SharedParts::default(),
            alone_parts: Vec::new(),
            may_have_begun: true,
        }
    }
}

impl LostRun {
    /// The features of the request, each of which may have caused the exit of its target.
    fn suspects(&self) -> impl Iterator<Item = Suspect> {
        let part_digest = if self.may_have_begun {
            RequestDigest::of_part
        } else {
            RequestDigest::of_queued_part
        };
        let parts = self.shared_parts.as_slice().iter();
        let parts = parts.map(move |part| Suspect {
            digest: part_digest(*part),
            ran_alone: self.alone_parts.contains(part),
        });
        std::iter::once(self.request.suspect()).chain(parts)
    }
}

/// All features of the requests, each once. Those that come first in a request are first here as
/// well, since the number of suspects is limited.
pub(crate) fn suspects_of(lost_runs: &[LostRun]) -> Vec<Suspect> {
    let features = lost_runs.iter().flat_map(|run| run.suspects().enumerate());
    let mut features: Vec<(usize, Suspect)> = features.collect();
    features.sort_by_key(|(position, _)| *position);
    let mut ran_alone_by_digest: IndexMap<RequestDigest, bool> = IndexMap::new();
    for (_, suspect) in features {
        *ran_alone_by_digest.entry(suspect.digest).or_default() |= suspect.ran_alone;
    }
    let suspects = ran_alone_by_digest.into_iter();
    suspects
        .map(|(digest, ran_alone)| Suspect { digest, ran_alone })
        .collect()
}

struct LostAtTarget {
    incarnation: TargetIncarnation,
    runs: Vec<LostRun>,
    /// The time at which a probe did not find that the target has exited; `None` while a probe is
    /// pending.
    no_exit_found_ms: Option<MonoMs>,
}

/// Lost requests at targets that are not known to have exited.
#[derive(Default)]
pub(crate) struct LostRequests {
    by_target: IndexMap<Arc<str>, LostAtTarget>,
}

impl LostRequests {
    pub(crate) fn is_empty(&self) -> bool {
        self.by_target.is_empty()
    }

    /// Adds a lost request; returns whether the target must be probed.
    pub(crate) fn add(&mut self, incarnation: &TargetIncarnation, run: LostRun) -> bool {
        if self.by_target.len() >= MAX_TARGETS && !self.by_target.contains_key(&incarnation.target)
        {
            self.by_target.swap_remove_index(0);
        }
        let entry = self.by_target.entry(Arc::clone(&incarnation.target));
        let lost = entry.or_insert_with(|| LostAtTarget {
            incarnation: incarnation.clone(),
            runs: Vec::new(),
            // `None` would mean that a probe is pending. With a time, the code below requests a
            // probe, as it does for a target that a previous probe found alive.
            no_exit_found_ms: Some(MonoMs(0)),
        });
        if lost.runs.len() < MAX_RUNS_PER_TARGET {
            lost.runs.push(run);
        }
        lost.no_exit_found_ms.take().is_some()
    }

    /// Whether a probe of a target that lost this request is pending.
    pub(crate) fn is_pending(&self, digest: RequestDigest) -> bool {
        let mut pending = self
            .by_target
            .values()
            .filter(|lost| lost.no_exit_found_ms.is_none());
        pending.any(|lost| lost.runs.iter().any(|run| run.request.digest == digest))
    }

    /// Removes a target that has exited, and returns its lost runs.
    pub(crate) fn take_target(&mut self, target: &str) -> Vec<LostRun> {
        let lost = self.by_target.swap_remove(target);
        lost.map(|lost| lost.runs).unwrap_or_default()
    }

    /// Records that a probe did not show that the target has exited.
    pub(crate) fn on_no_exit_found(&mut self, target: &str, now_ms: MonoMs) {
        if let Some(lost) = self.by_target.get_mut(target) {
            lost.no_exit_found_ms = Some(now_ms);
        }
    }

    /// Removes old lost requests whose target was not found to have exited.
    pub(crate) fn expire(&mut self, now_ms: MonoMs) {
        self.by_target.retain(|_, lost| {
            let no_exit_found_ms = lost.no_exit_found_ms.unwrap_or(now_ms);
            now_ms.since(no_exit_found_ms) < RETENTION_MS
        });
    }

    /// Removes the targets at whose address a later incarnation is listed, and returns their lost
    /// runs.
    pub(crate) fn take_superseded(
        &mut self,
        listed: &[TargetIncarnation],
    ) -> Vec<(Arc<str>, Vec<LostRun>)> {
        let is_superseded = |lost: &LostAtTarget| {
            let previous = &lost.incarnation;
            let mut listed_at_address = listed
                .iter()
                .filter(|incarnation| incarnation.address == previous.address);
            listed_at_address
                .any(|incarnation| incarnation.listed_revision > previous.listed_revision)
        };
        let superseded = self
            .by_target
            .iter()
            .filter(|(_, lost)| is_superseded(lost));
        let targets: Vec<_> = superseded.map(|(target, _)| Arc::clone(target)).collect();
        let superseded_runs = targets.into_iter().map(|target| {
            let runs = self.take_target(&target);
            (target, runs)
        });
        superseded_runs.collect()
    }
}
