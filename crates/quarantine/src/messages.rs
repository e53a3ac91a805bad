//! Messages between processes about targets that exited.

use std::sync::Arc;

use berylhook_core::digest::RequestDigest;
use berylhook_core::quarantine::{Facts, SurvivedRun, Suspect, TargetExit};
use berylhook_core::time::MonoMs;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Facts, with their age at the time of sending.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct QuarantineUpdate {
    #[serde(rename = "ends")]
    exits: Vec<ExitReport>,
    #[serde(rename = "outlived")]
    survived_runs: Vec<SurvivedRunReport>,
    /// Whether the sender asks for all facts of the receiver.
    pub(crate) wants_all: bool,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct ExitReport {
    target: Arc<str>,
    age_ms: u64,
    suspects: Vec<SuspectReport>,
}

#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct SuspectReport {
    digest: [u8; 32],
    ran_alone: bool,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct SurvivedRunReport {
    digest: [u8; 32],
    run: Arc<str>,
    age_ms: u64,
}

/// Bytes that are not a valid update.
#[derive(Debug, Error)]
#[error("malformed quarantine update ({0}); peers must send the format of this version")]
pub struct MalformedUpdate(#[from] postcard::Error);

impl From<&Suspect> for SuspectReport {
    fn from(suspect: &Suspect) -> Self {
        Self {
            digest: *suspect.digest.as_bytes(),
            ran_alone: suspect.ran_alone,
        }
    }
}

impl From<SuspectReport> for Suspect {
    fn from(report: SuspectReport) -> Self {
        Self {
            digest: RequestDigest::from_bytes(report.digest),
            ran_alone: report.ran_alone,
        }
    }
}

impl QuarantineUpdate {
    /// Decodes an update from a peer.
    ///
    /// # Errors
    ///
    /// If the bytes are not a valid update.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, MalformedUpdate> {
        Ok(postcard::from_bytes(bytes)?)
    }

    /// Encodes the update for a peer.
    ///
    /// # Panics
    ///
    /// Never: no part has an unknown length.
    #[must_use]
    pub fn to_bytes(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("plain structures serialize")
    }

    pub(crate) fn of(facts: &Facts, wants_all: bool) -> Self {
        let exits = facts.exits.iter().map(|exit| ExitReport {
            target: Arc::clone(&exit.target),
            age_ms: facts.now_ms.since(exit.at_ms),
            suspects: exit.suspects.iter().map(SuspectReport::from).collect(),
        });
        let survived_runs = facts
            .survived_runs
            .iter()
            .map(|survived| SurvivedRunReport {
                digest: *survived.digest.as_bytes(),
                run: Arc::clone(&survived.run),
                age_ms: facts.now_ms.since(survived.at_ms),
            });
        Self {
            exits: exits.collect(),
            survived_runs: survived_runs.collect(),
            wants_all,
        }
    }

    /// Converts the update to facts on a clock that reads `now_ms`.
    pub(crate) fn into_facts(self, now_ms: MonoMs) -> Facts {
        let at_ms = |age_ms: u64| MonoMs(now_ms.0.saturating_sub(age_ms));
        let exits = self.exits.into_iter().map(|report| TargetExit {
            target: report.target,
            at_ms: at_ms(report.age_ms),
            suspects: report.suspects.into_iter().map(Suspect::from).collect(),
        });
        let survived_runs = self.survived_runs.into_iter().map(|report| SurvivedRun {
            digest: RequestDigest::from_bytes(report.digest),
            run: report.run,
            at_ms: at_ms(report.age_ms),
        });
        Facts::new(exits.collect(), survived_runs.collect(), now_ms)
    }
}
