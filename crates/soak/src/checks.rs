//! Checks the history of a run for violated invariants.

use std::time::{Duration, Instant};

use berylhook_test_support::calls::CallResult;
use berylhook_test_support::interruption::{
    Excuse, InterruptedRun, Interruption, InterruptionLimits, PlannedWork, Verdict,
};
use berylhook_test_support::{EVENTS_PER_STREAM, POISON_BODY, shares_poison_part};
use indexmap::IndexMap;

use crate::callers::{Attempt, RequestedRoute, TIME_LIMIT};
use crate::cluster::{Cluster, GRACE_S};

/// Statuses that tell a caller that its request did not run.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// Statuses for requests that no configuration allows.
const UNKNOWN_STATUSES: [u16; 3] = [401, 403, 404];

/// Limits for requests that end without a complete response. Other faults excuse them only shortly
/// after their end, as each is recorded with the time in which it may still have effects.
const INTERRUPTION_LIMITS: InterruptionLimits = InterruptionLimits {
    grace: Duration::from_secs(GRACE_S),
    contact: Duration::from_secs(1),
    read: Duration::from_millis(200),
    apply: Duration::from_secs(2),
};

/// Specified limits for a poison request: target exits until it is quarantined, time for the
/// entries to learn of the last one, and runs after that time.
const MAX_POISON_EXITS: usize = 3;
const UPDATE_PROPAGATION_TIME: Duration = Duration::from_secs(3);
const MAX_LATE_RUNS: usize = 3;

/// A `Retry-After` above this means that the request is quarantined; other rejections are shorter.
const QUARANTINE_RETRY_AFTER_S: f64 = 60.0;

/// Observations of the targets and the fault injection that a history is checked against.
pub struct Observations<'a> {
    /// Runs of each attempt at all targets, in order, by attempt ID.
    pub runs: IndexMap<String, Vec<InterruptedRun>>,
    /// Start times of the runs of poison requests.
    pub poison_run_starts: Vec<Instant>,
    /// Times at which targets exited under poison requests, in order.
    pub poison_exits: Vec<Instant>,
    /// Start and end of each period in which more than planned changes may affect requests.
    pub disturbances: Vec<(Instant, Instant)>,
    /// The changes planned at an entry.
    pub planned_at: &'a dyn Fn(usize) -> Vec<PlannedWork>,
}

/// Returns all violations, one line each.
#[must_use]
pub fn violations(observations: &Observations<'_>, history: &[Attempt]) -> Vec<String> {
    let mut violations = Vec::new();
    for attempt in history {
        let runs = observations.runs.get(&attempt.id);
        let runs = runs.map_or(&[][..], Vec::as_slice);
        let run_count = runs.len();
        let results = [
            excess_runs(attempt, run_count),
            false_rejection(attempt, run_count),
            wrong_response(attempt),
            rejected_as_unknown(attempt),
            interrupted_by_planned_change(observations, attempt, runs),
            quarantined_wrongly(attempt),
        ];
        let lines = results.into_iter().flatten();
        violations.extend(
            lines.map(|violation| format!("{violation}: {attempt:?}, ran {run_count} times")),
        );
    }
    violations.extend(configuration_regressions(history));
    violations.extend(excess_poison_runs(observations));
    violations
}

/// Once three targets have exited under a request and the update had time to spread, at most three
/// further runs are allowed: an entry that was paused or isolated may not have received it.
fn excess_poison_runs(observations: &Observations<'_>) -> Option<String> {
    let third_exit = observations.poison_exits.get(MAX_POISON_EXITS - 1)?;
    let late_runs = observations.poison_run_starts.iter();
    let late_runs = late_runs.filter(|started_at| {
        started_at.saturating_duration_since(*third_exit) > UPDATE_PROPAGATION_TIME
    });
    let late_runs = late_runs.count();
    let exit_count = observations.poison_exits.len();
    (late_runs > MAX_LATE_RUNS).then(|| {
        format!("the poison request ran {late_runs} times more after the third target exit; {exit_count} targets exited")
    })
}

/// The runs of each attempt at all targets, in order, by attempt ID.
pub(crate) fn runs_by_attempt(cluster: &Cluster) -> IndexMap<String, Vec<InterruptedRun>> {
    let mut runs: IndexMap<String, Vec<InterruptedRun>> = IndexMap::new();
    for target in cluster.all_targets() {
        for run in target.stand_in.runs() {
            let id = run.header("berylhook-attempt-id").unwrap_or_default();
            runs.entry(id.to_owned()).or_default().push(InterruptedRun {
                began_at: run.began,
                ended_at: run.ended,
                was_broken_off: run.was_broken_off,
            });
        }
    }
    for runs in runs.values_mut() {
        runs.sort_by_key(|run| run.began_at);
    }
    runs
}

/// Start times of the runs of poison requests, and the times at which targets exited under them.
pub(crate) fn poison_times(cluster: &Cluster) -> (Vec<Instant>, Vec<Instant>) {
    let (mut run_starts, mut exits) = (Vec::new(), Vec::new());
    for target in cluster.all_targets() {
        let target_runs = target.stand_in.runs();
        let poison_runs = target_runs
            .iter()
            .filter(|run| run.body == POISON_BODY || shares_poison_part(&run.headers));
        run_starts.extend(poison_runs.map(|run| run.began));
        exits.extend(target.stand_in.exited_on_poison());
    }
    exits.sort();
    (run_starts, exits)
}

fn excess_runs(attempt: &Attempt, run_count: usize) -> Option<&'static str> {
    match attempt.route {
        RequestedRoute::Kind(kind) if !kind.is_repeatable() && run_count > 1 => {
            Some("ran more than once")
        }
        RequestedRoute::Kind(kind) if run_count > kind.max_targets => {
            Some("ran at too many targets")
        }
        _ => None,
    }
}

fn false_rejection(attempt: &Attempt, run_count: usize) -> Option<&'static str> {
    let status = attempt.response.as_ref()?.status;
    match attempt.route {
        RequestedRoute::Kind(kind)
            if !kind.is_repeatable() && NOT_RUN_STATUSES.contains(&status) && run_count > 0 =>
        {
            Some("was told that it did not run")
        }
        _ => None,
    }
}

fn wrong_response(attempt: &Attempt) -> Option<&'static str> {
    let response = attempt.response.as_ref().filter(|it| it.status == 200)?;
    match attempt.route {
        _ if !response.has_seal => Some("was answered without a target's mark"),
        _ if response.attempt_id.as_deref() != Some(&attempt.id) => Some("got another's answer"),
        RequestedRoute::Kind(kind) if kind.is_stream() => stream_fault(attempt, response),
        _ if response.is_complete && !response.body.contains(&attempt.id) => {
            Some("got another's body")
        }
        _ => None,
    }
}

/// Events must arrive in order from the first one on, and a complete stream must have all of them.
fn stream_fault(attempt: &Attempt, response: &CallResult) -> Option<&'static str> {
    let data = response.body.lines();
    let data: Vec<&str> = data
        .filter_map(|line| line.strip_prefix("data: "))
        .collect();
    // The last event of an interrupted stream may be truncated.
    let complete_count = if response.is_complete {
        data.len()
    } else {
        data.len().saturating_sub(1)
    };
    let expected = |index: usize| format!("{} {}", attempt.id, index + 1);
    let in_order = data[..complete_count]
        .iter()
        .enumerate()
        .all(|(index, data)| *data == expected(index));
    match response.is_complete {
        _ if !in_order => Some("got events out of order, or another's"),
        true if data.len() as u64 != EVENTS_PER_STREAM => {
            Some("got a whole stream that lacks events")
        }
        _ => None,
    }
}

fn rejected_as_unknown(attempt: &Attempt) -> Option<&'static str> {
    let status = attempt.response.as_ref()?.status;
    match attempt.route {
        RequestedRoute::Kind(_) if UNKNOWN_STATUSES.contains(&status) => {
            Some("was refused as unknown")
        }
        _ => None,
    }
}

/// No target exits under the requests of the history, so none of them may be quarantined.
fn quarantined_wrongly(attempt: &Attempt) -> Option<&'static str> {
    let retry_after = attempt.response.as_ref()?.retry_after.as_deref()?;
    let retry_after_s: f64 = retry_after.parse().unwrap_or_default();
    (retry_after_s > QUARANTINE_RETRY_AFTER_S).then_some("was held back though it is innocent")
}

/// Planned changes alone must not interrupt the response to a request that has run at a target, nor
/// leave one that the entry had time to read without an answer.
///
/// Nothing but another fault excuses the interruption of a request that has run: its targets respond
/// in time, and no stream lasts until the exit of its entry.
fn interrupted_by_planned_change(
    observations: &Observations<'_>,
    attempt: &Attempt,
    runs: &[InterruptedRun],
) -> Option<&'static str> {
    let response = attempt.response.as_ref()?;
    let is_interrupted = response.status == 0 || (response.status == 200 && !response.is_complete);
    if !is_interrupted {
        return None;
    }
    let interruption = Interruption {
        sent_at: attempt.sent_at,
        ended_at: attempt.ended_at,
        was_read: true,
        time_limit: TIME_LIMIT,
        runs,
    };
    let planned = (observations.planned_at)(attempt.entry_index);
    let verdict = interruption.verdict(&planned, &observations.disturbances, &INTERRUPTION_LIMITS);
    match verdict {
        Verdict::Lost(_) => Some("was cut off by a planned change"),
        Verdict::Excused(Excuse::OtherFault | Excuse::NotTaken) => None,
        Verdict::Excused(_) if runs.is_empty() => None,
        Verdict::Excused(_) => Some("was cut off without a fault"),
    }
}

/// Reports entries that applied a version of the configuration and later an older one.
fn configuration_regressions(history: &[Attempt]) -> Vec<String> {
    let mut violations = Vec::new();
    let served: Vec<(&Attempt, u64)> = history.iter().filter_map(served_version).collect();
    for (later, version) in &served {
        let is_newer_before = |(earlier, newer_version): &&(&Attempt, u64)| {
            newer_version > version
                && earlier.entry_index == later.entry_index
                && earlier.entry_lifetimes == later.entry_lifetimes
                && earlier.ended_at < later.sent_at
        };
        if let Some((_, newer_version)) = served.iter().find(is_newer_before) {
            let entry = later.entry_index;
            violations.push(format!(
                "entry-{entry} had version {newer_version} in force, then {version}"
            ));
        }
    }
    violations
}

fn served_version(attempt: &Attempt) -> Option<(&Attempt, u64)> {
    let is_same_process = attempt.entry_lifetimes.0 == attempt.entry_lifetimes.1;
    match attempt.route {
        RequestedRoute::Version(version) if attempt.is_served() && is_same_process => {
            Some((attempt, version))
        }
        _ => None,
    }
}
