//! Keys and documents of the quarantine in the platform's store.
//!
//! | Key | Value | Removed |
//! |---|---|---|
//! | `berylhook/quarantine/end/TARGET/REPORT` | an [`ExitDocument`] | when its lease expires, after ten minutes |
//! | `berylhook/quarantine/outlived/DIGEST/RUN` | a [`SurvivedRunDocument`] | when its lease expires, after ten minutes |
//! | `berylhook/quarantine/outlived-parts/REPORT` | a list of [`SurvivedRunDocument`], of parts of prompts | when its lease expires, after ten minutes |
//! | `berylhook/quarantine/hold/DIGEST` | a [`HoldDocument`] | when a trial succeeds, or the request is not sent for a long time |
//! | `berylhook/quarantine-lock/NAME` | the name of the process that holds the lock | when the run ends, or its lease expires |
//!
//! `REPORT` is a random id, so that several processes can report the exit of one target. Operators'
//! commands write holds in the same form as entries.

use std::sync::Arc;

use berylhook_core::digest::{DigestError, RequestDigest};
use berylhook_core::quarantine::{Hold, HoldKind, SurvivedRun, Suspect};
use berylhook_core::time::{MonoMs, WallMs};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Prefix of all keys that entries follow.
pub const PREFIX: &str = "berylhook/quarantine/";

/// Prefix of the keys of exits.
pub const EXIT_PREFIX: &str = "berylhook/quarantine/end/";

/// Prefix of the keys of survived runs.
pub const SURVIVED_RUN_PREFIX: &str = "berylhook/quarantine/outlived/";

/// Prefix of the keys of survived runs of parts of prompts.
pub const SURVIVED_PARTS_PREFIX: &str = "berylhook/quarantine/outlived-parts/";

/// Prefix of the keys of holds.
pub const HOLD_PREFIX: &str = "berylhook/quarantine/hold/";

/// Prefix of the keys of locks.
pub const LOCK_PREFIX: &str = "berylhook/quarantine-lock/";

/// The exit of a target, and the requests that one entry had there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExitDocument {
    /// The name of the target's incarnation.
    pub target: Arc<str>,
    /// The time at which the exit was detected, Unix time in milliseconds.
    pub at_unix_ms: u64,
    /// The requests of the entry that were at the target.
    pub suspects: Vec<SuspectDocument>,
}

/// A run of a suspect that the target survived.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SurvivedRunDocument {
    /// The request's digest.
    pub digest: String,
    /// The unique name of the run.
    pub run: Arc<str>,
    /// The time at which the run ended, Unix time in milliseconds.
    pub at_unix_ms: u64,
}

impl SurvivedRunDocument {
    /// The document for a survived run, by a clock that reads `now_ms`.
    pub(crate) fn of(survived: &SurvivedRun, now_ms: MonoMs) -> Self {
        let age_ms = now_ms.since(survived.at_ms);
        Self {
            digest: survived.digest.to_string(),
            run: Arc::clone(&survived.run),
            at_unix_ms: WallMs::now().0.saturating_sub(age_ms),
        }
    }
}

/// A request that was at a target when the target exited.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectDocument {
    /// The request's digest.
    pub digest: String,
    /// Whether the request ran alone, as a suspect.
    pub ran_alone: bool,
}

impl From<&Suspect> for SuspectDocument {
    fn from(suspect: &Suspect) -> Self {
        Self {
            digest: suspect.digest.to_string(),
            ran_alone: suspect.ran_alone,
        }
    }
}

impl TryFrom<&SuspectDocument> for Suspect {
    type Error = DigestError;

    fn try_from(document: &SuspectDocument) -> Result<Self, DigestError> {
        Ok(Self {
            digest: document.digest.parse()?,
            ran_alone: document.ran_alone,
        })
    }
}

/// The hold of a request, or the record that it was lifted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HoldDocument {
    /// `held`, `pinned` or `lifted`.
    pub hold: StoredHoldKind,
    /// The time at which the hold began, Unix time in milliseconds.
    pub since_unix_ms: u64,
    /// Number of trials at which a target exited.
    #[serde(default)]
    pub failed_trials: u32,
    /// Exited targets that no longer count against the request.
    #[serde(default)]
    pub lifted: Vec<Arc<str>>,
}

/// The kind of a hold, as stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum StoredHoldKind {
    /// The request is held until its next trial.
    Held,
    /// The request is held until an operator lifts the hold.
    Pinned,
    /// The hold was lifted.
    Lifted,
}

/// The error for an item that cannot be decoded.
#[derive(Debug, Error)]
pub enum StoredItemError {
    /// The value is not a valid document.
    #[error("malformed value ({0}); remove the key, and entries write it again")]
    Malformed(#[from] serde_json::Error),
    /// A digest in the item is invalid.
    #[error(transparent)]
    Digest(#[from] DigestError),
}

/// A decoded item of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoredItem {
    /// A target exited while it ran these requests.
    Exit {
        /// The name of the target's incarnation.
        target: Arc<str>,
        /// The time at which the exit was detected.
        at: WallMs,
        /// The requests that were at the target.
        suspects: Vec<Suspect>,
    },
    /// Targets survived runs of these requests or parts.
    SurvivedRuns(Vec<StoredRun>),
    /// A hold; `None` if it was removed.
    Hold {
        /// The request's digest.
        digest: RequestDigest,
        /// The hold.
        hold: Option<Hold>,
    },
    /// An item without effect: a removed fact, or a key of another version.
    Irrelevant,
}

/// A run that a target survived.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredRun {
    /// The digest of the request or part.
    pub digest: RequestDigest,
    /// The unique name of the run.
    pub run: Arc<str>,
    /// The time at which the run ended.
    pub at: WallMs,
}

impl TryFrom<SurvivedRunDocument> for StoredRun {
    type Error = DigestError;

    fn try_from(document: SurvivedRunDocument) -> Result<Self, DigestError> {
        Ok(Self {
            digest: document.digest.parse()?,
            run: document.run,
            at: WallMs(document.at_unix_ms),
        })
    }
}

/// Decodes an item; `None` as the value means that the item was removed.
///
/// # Errors
///
/// If the item cannot be decoded.
pub fn read(key: &str, value: Option<&[u8]>) -> Result<StoredItem, StoredItemError> {
    let hold_digest = key.strip_prefix(HOLD_PREFIX);
    match (hold_digest, value) {
        (Some(digest), value) => Ok(StoredItem::Hold {
            digest: digest.parse()?,
            hold: value.map(read_hold).transpose()?,
        }),
        (None, Some(value)) if key.starts_with(EXIT_PREFIX) => {
            let document: ExitDocument = serde_json::from_slice(value)?;
            let suspects = document.suspects.iter().map(Suspect::try_from);
            Ok(StoredItem::Exit {
                target: document.target,
                at: WallMs(document.at_unix_ms),
                suspects: suspects.collect::<Result<_, _>>()?,
            })
        }
        (None, Some(value)) if key.starts_with(SURVIVED_RUN_PREFIX) => {
            let document: SurvivedRunDocument = serde_json::from_slice(value)?;
            Ok(StoredItem::SurvivedRuns(vec![document.try_into()?]))
        }
        (None, Some(value)) if key.starts_with(SURVIVED_PARTS_PREFIX) => {
            let documents: Vec<SurvivedRunDocument> = serde_json::from_slice(value)?;
            let runs = documents.into_iter().map(StoredRun::try_from);
            Ok(StoredItem::SurvivedRuns(runs.collect::<Result<_, _>>()?))
        }
        (None, _) => Ok(StoredItem::Irrelevant),
    }
}

fn read_hold(value: &[u8]) -> Result<Hold, StoredItemError> {
    let document: HoldDocument = serde_json::from_slice(value)?;
    Ok(Hold {
        kind: match document.hold {
            StoredHoldKind::Held => HoldKind::Held,
            StoredHoldKind::Pinned => HoldKind::Pinned,
            StoredHoldKind::Lifted => HoldKind::Lifted,
        },
        since: WallMs(document.since_unix_ms),
        failed_trials: document.failed_trials,
        lifted: document.lifted,
    })
}

/// Encodes a hold.
///
/// # Panics
///
/// Never: all fields of the document can be encoded.
#[must_use]
pub fn hold_value(hold: &Hold) -> Vec<u8> {
    let document = HoldDocument {
        hold: match hold.kind {
            HoldKind::Held => StoredHoldKind::Held,
            HoldKind::Pinned => StoredHoldKind::Pinned,
            HoldKind::Lifted => StoredHoldKind::Lifted,
        },
        since_unix_ms: hold.since.0,
        failed_trials: hold.failed_trials,
        lifted: hold.lifted.clone(),
    };
    serde_json::to_vec(&document).expect("plain structures serialize")
}

/// The key of a request's hold.
#[must_use]
pub fn hold_key(digest: RequestDigest) -> Arc<str> {
    format!("{HOLD_PREFIX}{digest}").into()
}

/// The name of a hold's kind in log lines.
#[must_use]
pub fn kind_name(kind: HoldKind) -> &'static str {
    match kind {
        HoldKind::Held => "held",
        HoldKind::Pinned => "pinned",
        HoldKind::Lifted => "lifted",
    }
}
