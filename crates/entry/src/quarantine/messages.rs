//! What entries tell each other of targets that ended.

use std::sync::Arc;

use berylhook_core::digest::RequestDigest;
use berylhook_core::quarantine::{End, Facts, Outlived, Suspect};
use berylhook_core::time::MonoMs;
use serde::{Deserialize, Serialize};

/// Facts, with their age at the time of telling.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct News {
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

impl News {
    pub(super) fn of(facts: &Facts, wants_all: bool) -> Self {
        let ends = facts.ends.iter().map(|end| EndNews {
            target: Arc::clone(&end.target),
            age_ms: facts.now_ms.since(end.at_ms),
            suspects: end.suspects.iter().map(SuspectNews::from).collect(),
        });
        let outlived = facts.outlived.iter().map(|it| OutlivedNews {
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
    pub(super) fn into_facts(self, now_ms: MonoMs) -> Facts {
        let at_ms = |age_ms: u64| MonoMs(now_ms.0.saturating_sub(age_ms));
        let ends = self.ends.into_iter().map(|it| End {
            target: it.target,
            at_ms: at_ms(it.age_ms),
            suspects: it.suspects.into_iter().map(Suspect::from).collect(),
        });
        let outlived = self.outlived.into_iter().map(|it| Outlived {
            digest: RequestDigest::from_bytes(it.digest),
            run: it.run,
            at_ms: at_ms(it.age_ms),
        });
        Facts::new(ends.collect(), outlived.collect(), now_ms)
    }
}
