//! What processes tell each other of targets that ended.

use std::sync::Arc;

use berylhook_core::digest::RequestDigest;
use berylhook_core::quarantine::{Facts, SurvivedRun, Suspect, TargetExit};
use berylhook_core::time::MonoMs;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Facts, with their age at the time of telling.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct QuarantineUpdate {
    ends: Vec<EndNews>,
    outlived: Vec<OutlivedNews>,
    /// Whether the teller wants all that the other knows.
    pub(crate) wants_all: bool,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct EndNews {
    target: Arc<str>,
    age_ms: u64,
    suspects: Vec<SuspectNews>,
}

#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct SuspectNews {
    digest: [u8; 32],
    ran_alone: bool,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct OutlivedNews {
    digest: [u8; 32],
    run: Arc<str>,
    age_ms: u64,
}

/// Bytes that are no news.
#[derive(Debug, Error)]
#[error("these bytes are no news ({0}); send them as a process of this version does")]
pub struct MalformedUpdate(#[from] postcard::Error);

impl From<&Suspect> for SuspectNews {
    fn from(suspect: &Suspect) -> Self {
        Self {
            digest: *suspect.digest.as_bytes(),
            ran_alone: suspect.ran_alone,
        }
    }
}

impl From<SuspectNews> for Suspect {
    fn from(news: SuspectNews) -> Self {
        Self {
            digest: RequestDigest::from_bytes(news.digest),
            ran_alone: news.ran_alone,
        }
    }
}

impl QuarantineUpdate {
    /// Reads what a peer has sent.
    ///
    /// # Errors
    ///
    /// If the bytes are no news.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, MalformedUpdate> {
        Ok(postcard::from_bytes(bytes)?)
    }

    /// The bytes to send to a peer.
    ///
    /// # Panics
    ///
    /// Never: no part has an unknown length.
    #[must_use]
    pub fn to_bytes(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("plain structures serialize")
    }

    pub(crate) fn of(facts: &Facts, wants_all: bool) -> Self {
        let ends = facts.exits.iter().map(|end| EndNews {
            target: Arc::clone(&end.target),
            age_ms: facts.now_ms.since(end.at_ms),
            suspects: end.suspects.iter().map(SuspectNews::from).collect(),
        });
        let outlived = facts.survived_runs.iter().map(|it| OutlivedNews {
            digest: *it.digest.as_bytes(),
            run: Arc::clone(&it.run),
            age_ms: facts.now_ms.since(it.at_ms),
        });
        Self {
            ends: ends.collect(),
            outlived: outlived.collect(),
            wants_all,
        }
    }

    /// The facts by a clock that reads `now_ms`.
    pub(crate) fn into_facts(self, now_ms: MonoMs) -> Facts {
        let at_ms = |age_ms: u64| MonoMs(now_ms.0.saturating_sub(age_ms));
        let ends = self.ends.into_iter().map(|it| TargetExit {
            target: it.target,
            at_ms: at_ms(it.age_ms),
            suspects: it.suspects.into_iter().map(Suspect::from).collect(),
        });
        let outlived = self.outlived.into_iter().map(|it| SurvivedRun {
            digest: RequestDigest::from_bytes(it.digest),
            run: it.run,
            at_ms: at_ms(it.age_ms),
        });
        Facts::new(ends.collect(), outlived.collect(), now_ms)
    }
}
