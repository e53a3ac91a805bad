//! The restriction that applies to a request: the strictest of those of its content and of the parts
//! of its prompt, each given by the facts, or by a hold of the store or an operator.

use super::explain::Alternatives;
use super::{HoldKind, Quarantine};
use crate::digest::{DigestKind, RequestDigest};
use crate::prompt::PromptPart;
use crate::time::{MonoMs, WallMs};

/// The restriction that applies to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineStatus {
    /// No restriction.
    Clear,
    /// One target exited while running the request: one run of it at a time.
    Suspect,
    /// Two targets exited, or the next trial is due: one run of any request on trial at a time in
    /// the service.
    OnTrial,
    /// The request is rejected.
    Held {
        /// Time until the next trial; `None` if the hold ends only when an operator lifts it.
        retry_after_ms: Option<u64>,
    },
}

impl QuarantineStatus {
    /// A number that is higher for a stricter restriction, and how long it lasts at least.
    fn strictness(self) -> (u8, u64) {
        match self {
            Self::Clear => (0, 0),
            Self::Suspect => (1, 0),
            Self::OnTrial => (2, 0),
            Self::Held { retry_after_ms } => (3, retry_after_ms.unwrap_or(u64::MAX)),
        }
    }

    /// Name of the status in log lines.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Clear => "clear",
            Self::Suspect => "suspect",
            Self::OnTrial => "on-trial",
            Self::Held { .. } => "held",
        }
    }
}

/// The features of a request by which it may be restricted.
#[derive(Clone, Copy, Debug)]
pub struct RequestFeatures<'a> {
    /// The digest of its content.
    pub digest: RequestDigest,
    /// The parts of its prompt that other requests may have as well.
    pub parts: &'a [PromptPart],
}

/// The restriction that applies to a request, and the features that cause it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestStatus {
    /// The strictest restriction of any feature.
    pub status: QuarantineStatus,
    /// The restricted features, the strictest first.
    pub restricted: Vec<RequestDigest>,
}

impl Quarantine {
    /// The status of the request, or of the part of prompts, at this time.
    #[must_use]
    pub fn status(
        &self,
        digest: RequestDigest,
        now_ms: MonoMs,
        wall_ms: WallMs,
    ) -> QuarantineStatus {
        match digest.kind() {
            DigestKind::Content => {
                self.content_status(digest, Alternatives::Requests, now_ms, wall_ms)
            }
            DigestKind::Part(part) => self.part_status(part, &[], now_ms, wall_ms),
            // What is known of it is a part of the evidence about the part.
            DigestKind::QueuedPart(_) => QuarantineStatus::Clear,
        }
    }

    /// The status of a request by all its features: the strictest of its content's and its parts'.
    #[must_use]
    pub fn request_status(
        &self,
        features: RequestFeatures<'_>,
        exit_stops_group: bool,
        now_ms: MonoMs,
        wall_ms: WallMs,
    ) -> RequestStatus {
        let RequestFeatures { digest, parts } = features;
        let alternatives = Alternatives::RequestsAndPartsExcept(parts);
        let content = if exit_stops_group {
            self.content_status_in_group(digest, alternatives, now_ms, wall_ms)
        } else {
            self.content_status(digest, alternatives, now_ms, wall_ms)
        };
        let part_statuses = parts.iter().map(|part| {
            let status = self.part_status(*part, parts, now_ms, wall_ms);
            (status, RequestDigest::of_part(*part))
        });
        let statuses = part_statuses.chain([(content, digest)]);
        let mut restricted: Vec<_> = statuses
            .filter(|(status, _)| *status != QuarantineStatus::Clear)
            .collect();
        restricted.sort_by_key(|(status, _)| std::cmp::Reverse(status.strictness()));
        let strictest = restricted.first();
        RequestStatus {
            status: strictest.map_or(QuarantineStatus::Clear, |(status, _)| *status),
            restricted: restricted.into_iter().map(|(_, digest)| digest).collect(),
        }
    }

    fn content_status(
        &self,
        digest: RequestDigest,
        alternatives: Alternatives<'_>,
        now_ms: MonoMs,
        wall_ms: WallMs,
    ) -> QuarantineStatus {
        let Some(request) = self.requests.get(&digest) else {
            return QuarantineStatus::Clear;
        };
        let derived_status = self.derived_status(digest, request, alternatives, now_ms);
        self.status_with_hold(digest, derived_status, wall_ms)
    }

    fn part_status(
        &self,
        part: PromptPart,
        carried: &[PromptPart],
        now_ms: MonoMs,
        wall_ms: WallMs,
    ) -> QuarantineStatus {
        let derived_status = self.derived_part_status(part, carried, now_ms);
        self.status_with_hold(RequestDigest::of_part(part), derived_status, wall_ms)
    }

    /// The status that a hold from the store or an operator gives, or else the derived one.
    fn status_with_hold(
        &self,
        digest: RequestDigest,
        derived_status: QuarantineStatus,
        wall_ms: WallMs,
    ) -> QuarantineStatus {
        let hold = self.hold(digest);
        match hold.map(|hold| (hold.kind, hold.retry_after_ms(wall_ms))) {
            Some((HoldKind::Pinned, _)) => QuarantineStatus::Held {
                retry_after_ms: None,
            },
            Some((HoldKind::Held, 0)) => QuarantineStatus::OnTrial,
            Some((HoldKind::Held, retry_after_ms)) => QuarantineStatus::Held {
                retry_after_ms: Some(retry_after_ms),
            },
            Some((HoldKind::Lifted, _)) | None => derived_status,
        }
    }

    /// The status of the request where the exit of a target stops a whole group.
    ///
    /// A third exit would cost all callers of a group some seconds, whereas holding an innocent
    /// request costs its callers the time until its trial. So two exits suffice if no other request
    /// explains both of them and neither coincides with exits of other targets. This also applies
    /// to two exits within a short time: a request that many callers send is not the only one that
    /// explains them.
    #[must_use]
    pub fn status_in_group(
        &self,
        digest: RequestDigest,
        now_ms: MonoMs,
        wall_ms: WallMs,
    ) -> QuarantineStatus {
        self.content_status_in_group(digest, Alternatives::Requests, now_ms, wall_ms)
    }

    fn content_status_in_group(
        &self,
        digest: RequestDigest,
        alternatives: Alternatives<'_>,
        now_ms: MonoMs,
        wall_ms: WallMs,
    ) -> QuarantineStatus {
        let status = self.content_status(digest, alternatives, now_ms, wall_ms);
        let request = self.requests.get(&digest);
        match (status, request) {
            (QuarantineStatus::Suspect | QuarantineStatus::OnTrial, Some(request))
                if request.hold.is_none() =>
            {
                self.hold_as_sole_cause(digest, request, alternatives, now_ms)
                    .unwrap_or(status)
            }
            _ => status,
        }
    }
}
