//! The outcomes reported to callers, and the reasons why an agent refuses a request.

use std::fmt;

/// The outcome of a request as reported to its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The target ran the request and its complete response was received.
    Done,
    /// The request did not run and never will; it is safe to send it again.
    NotRun,
    /// The request may or may not have run. Only a repeat with the same
    /// idempotency key is safe.
    Unknown,
}

impl Outcome {
    /// Returns the value of the outcome header.
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

/// Why an agent refused to run a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// The agent is shutting down or its target is draining.
    Draining,
    /// The agent is at its limit of concurrent requests.
    Busy,
    /// The start deadline had passed when the command arrived.
    TooLate,
    /// The command was revoked before it arrived.
    Revoked,
    /// The command was addressed to another incarnation of the agent.
    WrongIncarnation,
    /// The agent is not the home of the idempotency key's shard, or its lease on it expired.
    NotHome,
    /// The issue time in the idempotency key is ahead of the agent's clock.
    KeyFromFuture,
    /// The idempotency key was already used for a different request.
    KeyReused,
    /// The target refused the connection, so the request did not reach it.
    TargetUnreachable,
}

impl Refusal {
    /// All refusal reasons, in wire order.
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

    /// Returns the name used on the wire and in logs.
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

    /// Returns the refusal with this wire name, if there is one.
    #[must_use]
    pub fn parse(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| kind.as_str() == name)
    }

    /// Whether another target may accept the request.
    #[must_use]
    pub fn is_retryable_elsewhere(self) -> bool {
        !matches!(self, Self::KeyFromFuture | Self::KeyReused)
    }
}
