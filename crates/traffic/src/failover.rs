//! Whether a request may run at another target as well, or continue there.
//!
//! A target that sends nothing for a while may still be at work: an engine that runs out of memory
//! preempts requests and resumes them later. So silence alone does not end a run. The run is kept
//! until another one is certain: an attempt, a retry of the budget and a slot.
//!
//! The same holds for a request whose response is not a stream. Nothing of its response is known until
//! it is there, so its target counts as silent after a part of the request's time.
//!
//! After a run of a stream that its target has broken off, a retry and a slot are waited for while the caller
//! still waits for its next event.

use std::time::Duration;

use crate::configuration::RetryPolicy;

/// Time before a caller abandons a stream in which another target can hardly respond.
const MIN_RESPONSE_TIME: Duration = Duration::from_millis(100);

/// Part of a caller's patience that may be spent on waiting for a retry, as a divisor. The other half
/// is left for the next target.
const RETRY_WAIT_DIVISOR: u32 = 2;

/// Fraction of the time left at a send after which another run of a plain request is asked for. A
/// target that hangs then costs less than half of the caller's time.
const TIME_ALONE_FRACTION: f64 = 0.4;

/// Why a request cannot run at another target now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailoverBlock {
    /// The request may run only once, and may have run.
    MustNotRepeat,
    /// As many targets as the route allows may have run the request.
    NoAttemptLeft,
    /// It is not known which events the caller has.
    UnknownPosition,
    /// The deadline has passed, or the caller will have left before another target can respond.
    TooLate,
    /// The retry budget is spent.
    NoRetry,
    /// No other target has a free slot.
    NoSlot,
}

impl FailoverBlock {
    /// The name in logs.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::MustNotRepeat => "must-not-repeat",
            Self::NoAttemptLeft => "no-attempt-left",
            Self::UnknownPosition => "unknown-position",
            Self::TooLate => "too-late",
            Self::NoRetry => "no-retry",
            Self::NoSlot => "no-slot",
        }
    }

    /// Whether the block holds at least until the stream's next event, or the next end of a run.
    #[must_use]
    pub fn is_lasting(self) -> bool {
        match self {
            Self::MustNotRepeat | Self::NoAttemptLeft | Self::TooLate => true,
            Self::UnknownPosition | Self::NoRetry | Self::NoSlot => false,
        }
    }
}

/// The runs of one stream so far.
#[derive(Clone, Copy, Debug)]
pub struct StreamRuns {
    /// Whether the request may run more than once.
    pub retry_policy: RetryPolicy,
    /// The number of targets that may run the request.
    pub max_targets: u32,
    /// Sends after which the target may have run the request, including the current one.
    pub sent: u32,
    /// Whether a target may have run the request.
    pub may_have_run: bool,
    /// Whether it is known after which event another target has to continue.
    pub is_position_known: bool,
    /// Time since the last event, or since the request arrived.
    pub gap: Duration,
    /// The gap after which the caller abandons the stream.
    pub disconnect_gap: Duration,
    /// Time until the deadline.
    pub remaining: Duration,
}

impl StreamRuns {
    /// How long a slot for another run may be waited for.
    ///
    /// # Errors
    ///
    /// If no other run is allowed.
    pub fn max_slot_wait(&self) -> Result<Duration, FailoverBlock> {
        let max_gap = self.disconnect_gap.saturating_sub(MIN_RESPONSE_TIME);
        let max_wait = max_gap.saturating_sub(self.gap).min(self.remaining);
        match self.retry_policy.allows_second_run() {
            false if self.may_have_run => Err(FailoverBlock::MustNotRepeat),
            _ if self.sent >= self.max_targets => Err(FailoverBlock::NoAttemptLeft),
            _ if !self.is_position_known => Err(FailoverBlock::UnknownPosition),
            _ if max_wait.is_zero() => Err(FailoverBlock::TooLate),
            _ => Ok(max_wait),
        }
    }

    /// How long a retry of the budget may be waited for.
    ///
    /// A request that has not run waits for none: its caller is told so and can send it again, which
    /// takes nothing from the budget.
    #[must_use]
    pub fn max_retry_wait(&self) -> Duration {
        if !self.may_have_run {
            return Duration::ZERO;
        }
        let max_gap = self.disconnect_gap / RETRY_WAIT_DIVISOR;
        max_gap.saturating_sub(self.gap).min(self.remaining)
    }
}

/// The runs of one request whose response is not a stream.
#[derive(Clone, Copy, Debug)]
pub struct PlainRuns {
    /// Whether the request may run more than once.
    pub retry_policy: RetryPolicy,
    /// The number of targets to which the request may be sent.
    pub max_targets: u32,
    /// Targets to which the request was sent, including those where it is in progress.
    pub sent: u32,
    /// Whether a target may have run the request, or may be running it.
    pub may_have_run: bool,
    /// Time until the deadline.
    pub remaining: Duration,
}

impl PlainRuns {
    /// Checks whether the request may be sent to another target.
    ///
    /// # Errors
    ///
    /// If no other run is allowed.
    pub fn check_another(&self) -> Result<(), FailoverBlock> {
        match self.retry_policy.allows_second_run() {
            false if self.may_have_run => Err(FailoverBlock::MustNotRepeat),
            _ if self.sent >= self.max_targets => Err(FailoverBlock::NoAttemptLeft),
            _ if self.remaining.is_zero() => Err(FailoverBlock::TooLate),
            _ => Ok(()),
        }
    }

    /// Time for which a run that begins now is the newest one before another one is asked for; `None`
    /// if none is allowed beside it.
    #[must_use]
    pub fn time_alone(&self) -> Option<Duration> {
        let is_allowed = self.check_another().is_ok();
        is_allowed.then(|| self.remaining.mul_f64(TIME_ALONE_FRACTION))
    }
}
