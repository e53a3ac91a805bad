//! The planned stop of an entry: its stages, and what becomes of the requests in each.
//!
//! Callers keep their connections and send requests until the process has exited. A request that
//! cannot be served to its end is therefore answered while its caller can still be served elsewhere,
//! and no request is left without an answer if its response has not begun.

use std::time::Duration;

/// How long new connections are still accepted after the readiness endpoint reports "not ready".
/// The platform probes it once a second and acts on the second failure. Only requests that are sent
/// within three seconds of the signal may be cut at the exit, and a busy process handles it late.
const DRAIN_DELAY: Duration = Duration::from_millis(2_700);

/// Largest part of the grace period that new connections are accepted for, as a divisor.
const MAX_DRAIN_DIVISOR: u32 = 2;

/// Time reserved for the process's own exit before the platform kills it.
const EXIT_MARGIN: Duration = Duration::from_millis(500);

/// Time before the exit in which the final responses of the entry itself are sent.
const FINAL_RESPONSE_MARGIN: Duration = Duration::from_millis(200);

/// The stages of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownStage {
    /// The process serves callers.
    Serving,
    /// The readiness endpoint reports "not ready", so that the platform sends new connections
    /// elsewhere; those that still arrive are accepted.
    Draining,
    /// Idle connections are closed and no new ones accepted. Requests that have not been sent to a
    /// target are rejected.
    Closing,
    /// Requests without a response get their final one.
    Ending,
    /// The process exits; responses that have begun are cut.
    Exiting,
}

/// How far a request without a response has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestProgress {
    /// No target can have run it.
    NotRun,
    /// It runs at a target, or a target may have run it.
    MayHaveRun,
}

/// What becomes of a request without a response in a stage of the stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopDecision {
    /// It is served.
    Continue,
    /// It is rejected: it did not run, and another entry can serve it.
    Reject,
    /// It is given up, although it may have run.
    GiveUp,
}

impl ShutdownStage {
    /// What becomes of a request without a response.
    #[must_use]
    pub fn decide(self, progress: RequestProgress) -> StopDecision {
        match (self, progress) {
            (Self::Serving | Self::Draining, _) => StopDecision::Continue,
            (_, RequestProgress::NotRun) => StopDecision::Reject,
            (Self::Closing, RequestProgress::MayHaveRun) => StopDecision::Continue,
            (Self::Ending | Self::Exiting, RequestProgress::MayHaveRun) => StopDecision::GiveUp,
        }
    }
}

/// When the stages of a stop begin, counted from the signal to stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownSchedule {
    /// Start of [`ShutdownStage::Closing`].
    pub closing: Duration,
    /// Start of [`ShutdownStage::Ending`].
    pub ending: Duration,
    /// Start of [`ShutdownStage::Exiting`].
    pub exiting: Duration,
}

impl ShutdownSchedule {
    /// The stages of a stop for which the platform grants `grace`.
    #[must_use]
    pub fn new(grace: Duration) -> Self {
        let exiting = grace.saturating_sub(EXIT_MARGIN);
        let ending = exiting.saturating_sub(FINAL_RESPONSE_MARGIN);
        let closing = DRAIN_DELAY.min(grace / MAX_DRAIN_DIVISOR).min(ending);
        Self {
            closing,
            ending,
            exiting,
        }
    }

    /// Whether the grace period is too short for the platform to notice that the entry stops before
    /// its listener closes.
    #[must_use]
    pub fn is_drain_cut_short(self) -> bool {
        self.closing < DRAIN_DELAY
    }
}
