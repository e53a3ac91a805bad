//! What a caller is told about a request, as a closed set.

use std::fmt;

/// The three things a caller can be told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The target ran the request and its whole answer follows.
    Done,
    /// The request did not run and never will; it is safe to send again.
    NotRun,
    /// It may or may not have run. Only a repeat under the same idempotency
    /// key is safe.
    Unknown,
}

impl Outcome {
    /// The value of the outcome header.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Why a request was refused before it could run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// The agent is stopping or its target is leaving.
    Draining,
    /// The agent already runs as much as it may.
    Busy,
    /// The start deadline had passed when the order arrived.
    TooLate,
    /// The order was revoked before it arrived.
    Revoked,
    /// The order named another incarnation of the agent.
    WrongIncarnation,
    /// The agent does not hold the key's shard, or may no longer act on it.
    NotHome,
    /// The key claims an issue time ahead of the agent's clock.
    KeyFromFuture,
    /// The same key came with a different request.
    KeyReused,
    /// The target refused the connection, so nothing reached it.
    TargetUnreachable,
}

impl Refusal {
    /// All refusals, in wire order.
    pub const ALL: [Self; 9] = [
        Self::Draining,
        Self::Busy,
        Self::TooLate,
        Self::Revoked,
        Self::WrongIncarnation,
        Self::NotHome,
        Self::KeyFromFuture,
        Self::KeyReused,
        Self::TargetUnreachable,
    ];

    /// The name used on the wire and in logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Draining => "draining",
            Self::Busy => "busy",
            Self::TooLate => "too-late",
            Self::Revoked => "revoked",
            Self::WrongIncarnation => "wrong-incarnation",
            Self::NotHome => "not-home",
            Self::KeyFromFuture => "key-from-future",
            Self::KeyReused => "key-reused",
            Self::TargetUnreachable => "target-unreachable",
        }
    }

    /// The refusal of that wire name, if there is one.
    #[must_use]
    pub fn parse(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| kind.as_str() == name)
    }

    /// Whether another target may accept what this one refused.
    #[must_use]
    pub fn is_retryable_elsewhere(self) -> bool {
        !matches!(self, Self::KeyFromFuture | Self::KeyReused)
    }
}
