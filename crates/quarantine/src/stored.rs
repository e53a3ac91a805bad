//! What stands in the platform's store of requests under which targets end.
//!
//! | Key | Value | Ends |
//! |---|---|---|
//! | `berylhook/quarantine/end/TARGET/PROCESS` | an [`ExitDocument`] | with its lease, after ten minutes |
//! | `berylhook/quarantine/outlived/DIGEST/RUN` | an [`SurvivedRunDocument`] | the same |
//! | `berylhook/quarantine/hold/DIGEST` | a [`HoldDocument`] | when it is lifted, or nobody has asked for long |
//! | `berylhook/quarantine-lock/NAME` | who has the lock | with the run, or its lease |
//!
//! Operators' commands write holds as entries do.

use std::sync::Arc;

use berylhook_core::digest::{DigestError, RequestDigest};
use berylhook_core::quarantine::{Hold, HoldKind, Suspect};
use berylhook_core::time::WallMs;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// All keys that entries follow begin so.
pub const PREFIX: &str = "berylhook/quarantine/";

/// Keys of ended targets.
pub const EXIT_PREFIX: &str = "berylhook/quarantine/end/";

/// Keys of runs that targets outlived.
pub const SURVIVED_RUN_PREFIX: &str = "berylhook/quarantine/outlived/";

/// Keys of holds.
pub const HOLD_PREFIX: &str = "berylhook/quarantine/hold/";

/// Keys of locks.
pub const LOCK_PREFIX: &str = "berylhook/quarantine-lock/";

/// A target that ended, and the requests that one entry had there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExitDocument {
    /// The target's incarnation.
    pub target: Arc<str>,
    /// When it was noticed, Unix time in milliseconds.
    pub at_unix_ms: u64,
    /// The requests.
    pub suspects: Vec<SuspectDocument>,
}

/// A run of a suspect that its target outlived.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SurvivedRunDocument {
    /// The request's digest.
    pub digest: String,
    /// The run.
    pub run: Arc<str>,
    /// When it ended, Unix time in milliseconds.
    pub at_unix_ms: u64,
}

/// A request that was at a target when it ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectDocument {
    /// Its digest.
    pub digest: String,
    /// Whether it ran alone, as a suspect.
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

/// What is kept of a request that is held back, or was.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HoldDocument {
    /// `held`, `pinned` or `lifted`.
    pub hold: StoredHoldKind,
    /// Since when, Unix time in milliseconds.
    pub since_unix_ms: u64,
    /// Trials that ended a target.
    #[serde(default)]
    pub failed_trials: u32,
    /// Ended targets that do not count any more.
    #[serde(default)]
    pub lifted: Vec<Arc<str>>,
}

/// What a hold says, as it is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum StoredHoldKind {
    /// Until its next trial.
    Held,
    /// Until an operator lifts it.
    Pinned,
    /// Not any more.
    Lifted,
}

/// An item that cannot be read.
#[derive(Debug, Error)]
pub enum StoredItemError {
    /// Its value is no such document.
    #[error("the value is malformed ({0}); remove the key, entries write it anew")]
    Malformed(#[from] serde_json::Error),
    /// A digest in it is none.
    #[error(transparent)]
    Digest(#[from] DigestError),
}

/// An item of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoredItem {
    /// A target ended with these requests.
    Exit {
        /// The target's incarnation.
        target: Arc<str>,
        /// When it was noticed.
        at: WallMs,
        /// The requests.
        suspects: Vec<Suspect>,
    },
    /// A target outlived a run of this request.
    SurvivedRun {
        /// The request.
        digest: RequestDigest,
        /// The run.
        run: Arc<str>,
        /// When it ended.
        at: WallMs,
    },
    /// A hold; `None` if it was removed.
    Hold {
        /// The request.
        digest: RequestDigest,
        /// What is kept of it.
        hold: Option<Hold>,
    },
    /// Nothing that matters: an end whose lease is over, or a key of another version.
    Irrelevant,
}

/// Reads an item; one without a value was removed.
///
/// # Errors
///
/// If the item cannot be read.
pub fn read(key: &str, value: Option<&[u8]>) -> Result<StoredItem, StoredItemError> {
    let hold_of = key.strip_prefix(HOLD_PREFIX);
    match (hold_of, value) {
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
            Ok(StoredItem::SurvivedRun {
                digest: document.digest.parse()?,
                run: document.run,
                at: WallMs(document.at_unix_ms),
            })
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

/// The value of a hold.
///
/// # Panics
///
/// Never: the document has no part that cannot be written.
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

/// The name of a hold's kind in logs.
#[must_use]
pub fn kind_name(kind: HoldKind) -> &'static str {
    match kind {
        HoldKind::Held => "held",
        HoldKind::Pinned => "pinned",
        HoldKind::Lifted => "lifted",
    }
}
