//! What is recorded of a request's last run, for its logs and for the quarantine.

use std::time::{Duration, Instant};

use berylhook_core::prompt::PromptPart;
use berylhook_traffic::target::Target;

/// A run that has not ended.
#[derive(Clone, Debug)]
pub(super) struct RunningAt {
    pub(super) target: Target,
    pub(super) sent_at: Instant,
}

impl RunningAt {
    pub(super) fn time_since_send(&self) -> Duration {
        self.sent_at.elapsed()
    }
}

/// The last run of a request.
#[derive(Clone, Debug, Default)]
pub(crate) struct RunRecord {
    /// Where the request runs; `None` before, between and after runs.
    pub(super) running_at: Option<RunningAt>,
    /// Whether the run holds a quarantine lock, which allows one run of a suspect at a time.
    pub(super) ran_alone: bool,
    /// The parts of the prompt of which no other run was in progress.
    pub(super) alone_parts: Vec<PromptPart>,
    /// Whether the target has sent the head of a stream.
    pub(super) has_stream_begun: bool,
    /// Whether this entry ended the run because its target was silent.
    pub(super) is_given_up: bool,
}

impl RunRecord {
    /// Whether a target may be running the request.
    pub(super) fn is_running(&self) -> bool {
        self.running_at.is_some()
    }
}
