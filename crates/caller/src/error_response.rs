//! Error responses that do not come from a target.

use berylhook_core::outcome::Outcome;

/// Reason for an error response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ErrorReason {
    /// The request has no bearer key.
    MissingKey,
    /// No account has the bearer key.
    InvalidKey,
    /// The account may not call the entry.
    NotAllowed,
    /// No entry has the requested name or path.
    UnknownEntry,
    /// The body is larger than [`MAX_BODY_BYTES`](crate::MAX_BODY_BYTES).
    BodyTooLarge,
    /// The body did not arrive completely and in time.
    BodyIncomplete,
    /// Bodies take all memory that is set aside for them.
    NoMemory,
    /// The body is not the JSON of a model request.
    MalformedJson,
    /// A header has an invalid value.
    BadHeader,
    /// The idempotency key was used before with a different request.
    IdempotencyKeyReused,
    /// A concurrency or rate limit is reached.
    OverLimit,
    /// No target can accept the request.
    NoTarget,
    /// The process has not loaded the catalogue yet.
    NotReady,
    /// The deadline has passed or cannot be met.
    DeadlineExceeded,
    /// The response was lost; the request may have run.
    ResponseLost,
    /// The request is quarantined because targets exited while they ran it.
    Quarantined,
}

impl ErrorReason {
    /// Returns the HTTP status.
    #[must_use]
    pub fn status(self) -> u16 {
        match self {
            Self::MissingKey | Self::InvalidKey => 401,
            Self::NotAllowed => 403,
            Self::UnknownEntry => 404,
            Self::BodyTooLarge => 413,
            Self::BodyIncomplete => 408,
            Self::MalformedJson | Self::BadHeader => 400,
            Self::IdempotencyKeyReused => 422,
            Self::OverLimit => 429,
            Self::NoMemory | Self::NoTarget | Self::NotReady | Self::Quarantined => 503,
            Self::DeadlineExceeded => 504,
            Self::ResponseLost => 502,
        }
    }

    /// Whether the request's body was given up before its end.
    pub(crate) fn leaves_body_unread(self) -> bool {
        matches!(
            self,
            Self::BodyTooLarge | Self::BodyIncomplete | Self::NoMemory
        )
    }

    /// Returns the machine-readable code, the `code` of an `OpenAI` error.
    #[must_use]
    pub fn code(self) -> &'static str {
        match self {
            Self::MissingKey => "no_api_key",
            Self::InvalidKey => "invalid_api_key",
            Self::NotAllowed => "not_allowed",
            Self::UnknownEntry => "model_not_found",
            Self::BodyTooLarge => "body_too_large",
            Self::BodyIncomplete => "body_incomplete",
            Self::NoMemory => "no_memory",
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

    /// Returns the `type` of an `OpenAI` error.
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

/// An error response that does not come from a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ErrorResponse {
    /// Reason for the error.
    pub reason: ErrorReason,
    /// Whether the request ran, as far as is known.
    pub outcome: Outcome,
    /// When to retry, if a retry may succeed.
    pub retry_after_ms: Option<u64>,
    /// Explanation for people, with what to do.
    pub message: String,
}

impl ErrorResponse {
    /// Creates an error for a request that did not run.
    #[must_use]
    pub fn not_run(reason: ErrorReason, message: impl Into<String>) -> Self {
        Self {
            reason,
            outcome: Outcome::NotRun,
            retry_after_ms: None,
            message: message.into(),
        }
    }

    /// Creates an error for a request that may have run.
    #[must_use]
    pub fn unknown(reason: ErrorReason, message: impl Into<String>) -> Self {
        Self {
            outcome: Outcome::Unknown,
            ..Self::not_run(reason, message)
        }
    }

    /// Sets the time after which the caller may retry.
    #[must_use]
    pub fn with_retry_after_ms(mut self, ms: u64) -> Self {
        self.retry_after_ms = Some(ms);
        self
    }
}
