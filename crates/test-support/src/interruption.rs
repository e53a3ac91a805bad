//! Whether a request that ended without a complete response was lost to planned work at its entry:
//! a stop, a reload of its settings or a new configuration. A pure function of what callers, targets
//! and the operator have seen.
//!
//! A request counts as taken once it has been sent to a target, or once the entry has had the time to
//! read it. Several changes may overlap; the request is lost if it is lost to one of them.

use std::time::{Duration, Instant};

/// A process that has been told to stop still answers for its requests this long after its grace
/// period, and a configuration this long after it must be in force.
const PLANNED_WORK_MARGIN: Duration = Duration::from_secs(1);

/// Requests that are sent later than this after the signal to stop may not be cut at the exit.
const MAX_SENT_AFTER_STOP: Duration = Duration::from_secs(3);

/// The part of the grace period, at its end, in which a target that is still at work excuses the
/// exit, as a divisor.
const FINAL_PART_DIVISOR: u32 = 6;

/// The part of its time after which a request is not lost to a new configuration, in percent.
const MOST_OF_TIME_PERCENT: u32 = 70;

/// Specified limits that the rule depends on.
#[derive(Clone, Copy, Debug)]
pub struct InterruptionLimits {
    /// Time from the signal to stop until the platform kills the process.
    pub grace: Duration,
    /// Other faults excuse an interruption up to this long before the request was sent.
    pub contact: Duration,
    /// Time in which an entry reads a request that has been sent completely.
    pub read: Duration,
    /// Time in which a configuration or changed settings are applied.
    pub apply: Duration,
}

/// A planned change at the entry that took the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlannedWork {
    /// The entry was told to stop.
    Stop {
        /// Time of the signal.
        at: Instant,
    },
    /// The entry was told to reload its settings.
    Reload {
        /// Time of the signal.
        at: Instant,
    },
    /// A new configuration was written to the store.
    Configuration {
        /// When it was sent to the store.
        sent_at: Instant,
        /// When the store acknowledged it, if it has.
        acknowledged_at: Option<Instant>,
    },
}

/// A run of the request at a target.
#[derive(Clone, Copy, Debug)]
pub struct InterruptedRun {
    /// When the target began to work on the request.
    pub began_at: Instant,
    /// When it stopped working on it; `None` if it still works.
    pub ended_at: Option<Instant>,
    /// Whether the target itself closed the connection before its response was complete.
    pub was_broken_off: bool,
}

/// A request that ended without a complete response.
#[derive(Clone, Copy, Debug)]
pub struct Interruption<'a> {
    /// When the caller had sent the last byte of the request.
    pub sent_at: Instant,
    /// When the entry closed the connection.
    pub ended_at: Instant,
    /// Whether the entry has read the whole request.
    pub was_read: bool,
    /// The time limit of the caller or of the route, whichever is shorter.
    pub time_limit: Duration,
    /// Runs at targets, in order.
    pub runs: &'a [InterruptedRun],
}

/// Why a request that ended without a complete response is not lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Excuse {
    /// The entry need not have read it.
    NotTaken,
    /// A fault that was not planned may have ended it.
    OtherFault,
    /// No planned work was in progress at its entry when it ended.
    NoPlannedWork,
    /// Its last target broke off its response.
    TargetBrokeOff,
    /// Its time was over.
    TimedOut,
    /// Its target was still at work shortly before the entry had to exit.
    AtWorkUntilExit,
    /// It had used most of its time when it ended beside a new configuration.
    MostOfTimeUsed,
}

/// What an interrupted request shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The request was lost to this change.
    Lost(PlannedWork),
    /// The request may end like this.
    Excused(Excuse),
}

impl Interruption<'_> {
    /// Whether the request was lost to one of the changes planned at its entry. `disturbances` are the
    /// first and last moments of the faults that were not planned.
    #[must_use]
    pub fn verdict(
        &self,
        planned: &[PlannedWork],
        disturbances: &[(Instant, Instant)],
        limits: &InterruptionLimits,
    ) -> Verdict {
        let excuse = match self.runs.last() {
            _ if !self.was_taken(limits) => Some(Excuse::NotTaken),
            _ if self.is_disturbed(disturbances, limits) => Some(Excuse::OtherFault),
            Some(run) if run.was_broken_off => Some(Excuse::TargetBrokeOff),
            _ if self.took() >= self.time_limit => Some(Excuse::TimedOut),
            _ if self.was_at_work_until_exit(planned, limits) => Some(Excuse::AtWorkUntilExit),
            _ => None,
        };
        if let Some(excuse) = excuse {
            return Verdict::Excused(excuse);
        }
        let mut excuse = Excuse::NoPlannedWork;
        for work in planned.iter().filter(|work| self.ended_in(work, limits)) {
            match work {
                PlannedWork::Configuration { .. } if self.has_used_most_of_its_time() => {
                    excuse = Excuse::MostOfTimeUsed;
                }
                _ => return Verdict::Lost(*work),
            }
        }
        Verdict::Excused(excuse)
    }

    fn took(&self) -> Duration {
        self.ended_at.saturating_duration_since(self.sent_at)
    }

    fn was_taken(&self, limits: &InterruptionLimits) -> bool {
        self.was_read && (!self.runs.is_empty() || self.took() > limits.read)
    }

    fn is_disturbed(
        &self,
        disturbances: &[(Instant, Instant)],
        limits: &InterruptionLimits,
    ) -> bool {
        disturbances
            .iter()
            .any(|(first, last)| *first <= self.ended_at && *last + limits.contact >= self.sent_at)
    }

    /// Whether the request ended in the time in which it may be lost to the change.
    fn ended_in(&self, work: &PlannedWork, limits: &InterruptionLimits) -> bool {
        let (from, until) = match *work {
            PlannedWork::Stop { at } => (at, Some(at + limits.grace + PLANNED_WORK_MARGIN)),
            PlannedWork::Reload { at } if self.sent_at > at + limits.apply => return false,
            PlannedWork::Reload { at } => (at, None),
            PlannedWork::Configuration {
                sent_at,
                acknowledged_at,
            } => {
                let until = acknowledged_at.map(|at| at + limits.apply + PLANNED_WORK_MARGIN);
                (sent_at, until)
            }
        };
        self.ended_at >= from && until.is_none_or(|until| self.ended_at <= until)
    }

    fn has_used_most_of_its_time(&self) -> bool {
        self.took() * 100 >= self.time_limit * MOST_OF_TIME_PERCENT
    }

    /// Whether a target was at work in the final part of the grace period of a stop that the request
    /// met early enough.
    fn was_at_work_until_exit(&self, planned: &[PlannedWork], limits: &InterruptionLimits) -> bool {
        planned.iter().any(|work| match *work {
            PlannedWork::Stop { at } => {
                let final_part = at + limits.grace / FINAL_PART_DIVISOR * (FINAL_PART_DIVISOR - 1);
                self.ended_in(work, limits)
                    && self.sent_at <= at + MAX_SENT_AFTER_STOP
                    && self.was_at_work(final_part)
            }
            _ => false,
        })
    }

    /// Whether a target was at work on the request at this time or later.
    fn was_at_work(&self, from: Instant) -> bool {
        let ends = self.runs.iter().map(|run| run.ended_at);
        let mut ends = ends.map(|ended_at| ended_at.unwrap_or(self.ended_at));
        ends.any(|ended_at| ended_at >= from)
    }
}
