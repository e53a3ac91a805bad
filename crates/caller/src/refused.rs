//! Final answers other than the target's own.

use berylhook_core::outcome::Outcome;

/// Why a request got no answer from a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ErrorReason {
    /// No bearer key.
    MissingKey,
    /// A bearer key that no account has.
    InvalidKey,
    /// An account that may not use the entry.
    NotAllowed,
    /// No entry of that name or path.
    UnknownEntry,
    /// A body over the bound.
    BodyTooLarge,
    /// A body that is not the JSON it should be.
    MalformedJson,
    /// A header that cannot be used.
    BadHeader,
    /// The same idempotency key came with a different request.
    IdempotencyKeyReused,
    /// A limit is reached.
    OverLimit,
    /// No target can take it.
    NoTarget,
    /// Nothing is known yet of the catalogue.
    NotReady,
    /// The deadline passed, or cannot be met.
    DeadlineExceeded,
    /// The answer was lost.
    ResponseLost,
    /// Targets end under the request.
    Quarantined,
}

impl ErrorReason {
    /// The HTTP status.
    #[must_use]
    pub fn status(self) -> u16 {
        match self {
            Self::MissingKey | Self::InvalidKey => 401,
            Self::NotAllowed => 403,
            Self::UnknownEntry => 404,
            Self::BodyTooLarge => 413,
            Self::MalformedJson | Self::BadHeader => 400,
            Self::IdempotencyKeyReused => 422,
            Self::OverLimit => 429,
            Self::NoTarget | Self::NotReady | Self::Quarantined => 503,
            Self::DeadlineExceeded => 504,
            Self::ResponseLost => 502,
        }
    }

    /// The machine-readable code.
    #[must_use]
    pub fn code(self) -> &'static str {
        match self {
            Self::MissingKey => "no_api_key",
            Self::InvalidKey => "invalid_api_key",
            Self::NotAllowed => "not_allowed",
            Self::UnknownEntry => "model_not_found",
            Self::BodyTooLarge => "body_too_large",
            Self::MalformedJson => "malformed_json",
            Self::BadHeader => "bad_header",
            Self::IdempotencyKeyReused => "idempotency_key_reused",
            Self::OverLimit => "rate_limit_exceeded",
            Self::NoTarget => "no_live_target",
            Self::NotReady => "not_ready",
            Self::DeadlineExceeded => "deadline_passed",
            Self::ResponseLost => "answer_lost",
            Self::Quarantined => "held_back",
        }
    }

    /// The `OpenAI` error type.
    #[must_use]
    pub fn error_type(self) -> &'static str {
        match self.status() {
            401 | 403 => "authentication_error",
            429 => "rate_limit_error",
            400..=499 => "invalid_request_error",
            _ => "server_error",
        }
    }
}

/// A final answer that is not the target's own.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ErrorResponse {
    /// Why.
    pub reason: ErrorReason,
    /// What the caller may take as given.
    pub outcome: Outcome,
    /// When to come back, if coming back may help.
    pub retry_after_ms: Option<u64>,
    /// What to do, for people.
    pub message: String,
}

impl ErrorResponse {
    /// A refusal of a request that did not run.
    #[must_use]
    pub fn not_run(reason: ErrorReason, message: impl Into<String>) -> Self {
        Self {
            reason,
            outcome: Outcome::NotRun,
            retry_after_ms: None,
            message: message.into(),
        }
    }

    /// A failure that leaves open whether the request ran.
    #[must_use]
    pub fn unknown(reason: ErrorReason, message: impl Into<String>) -> Self {
        Self {
            outcome: Outcome::Unknown,
            ..Self::not_run(reason, message)
        }
    }

    /// Adds when to come back.
    #[must_use]
    pub fn with_retry_after_ms(mut self, ms: u64) -> Self {
        self.retry_after_ms = Some(ms);
        self
    }
}
