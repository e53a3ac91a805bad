//! What the history of a play must show.

use std::time::{Duration, Instant};

use berylhook_test_support::calls::CallResult;
use berylhook_test_support::{EVENTS_PER_STREAM, POISON_BODY};
use indexmap::IndexMap;

use crate::callers::{Attempt, RequestedRoute};
use crate::world::World;

/// Statuses by which a caller is told that its request did not run.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// Statuses for what no configuration knows.
const UNKNOWN: [u16; 3] = [401, 403, 404];

/// What is asked of a stop: that nothing else was wrong for this long before
/// the request.
const CALM_BEFORE: Duration = Duration::from_secs(1);

/// What the users allow of a request under which targets end: so many ends, so much time
/// for the news, and so many sends after that.
const ENDS_ALLOWED: usize = 3;
const NEWS_TIME: Duration = Duration::from_secs(3);
const LATE_SENDS_ALLOWED: usize = 3;

/// A caller that is told to come back later than this is held back for minutes.
const HELD_BACK_S: f64 = 60.0;

/// What a history is judged by.
pub struct Observations<'a> {
    /// How often each attempt ran, at all targets together.
    pub run_counts: IndexMap<String, usize>,
    /// When runs of the guilty request began, and when targets ended under it, in order.
    pub poison_run_starts: Vec<Instant>,
    /// The ends.
    pub poison_exits: Vec<Instant>,
    /// Whether nothing but planned changes happened between two moments.
    pub is_undisturbed: &'a dyn Fn(Instant, Instant) -> bool,
}

/// Everything that was broken, one line each.
#[must_use]
pub fn violations(evidence: &Observations<'_>, history: &[Attempt]) -> Vec<String> {
    let mut violations = Vec::new();
    for attempt in history {
        let ran = evidence.run_counts.get(&attempt.id).copied().unwrap_or(0);
        let found = [
            runs_too_often(attempt, ran),
            refused_falsely(attempt, ran),
            answered_wrongly(attempt),
            refused_as_unknown(attempt),
            cut_by_a_stop(evidence, attempt, ran),
            held_back(attempt),
        ];
        let lines = found.into_iter().flatten();
        violations.extend(lines.map(|what| format!("{what}: {attempt:?}, ran {ran} times")));
    }
    violations.extend(regressions(history));
    violations.extend(sent_after_the_third_end(evidence));
    violations
}

/// Once three targets have ended under a request and the news had time to spread, it goes
/// to three more at most: an entry that was paused or alone may not have heard.
fn sent_after_the_third_end(evidence: &Observations<'_>) -> Option<String> {
    let third = evidence.poison_exits.get(ENDS_ALLOWED - 1)?;
    let late = evidence.poison_run_starts.iter();
    let late = late.filter(|began| began.saturating_duration_since(*third) > NEWS_TIME);
    let late = late.count();
    let ended = evidence.poison_exits.len();
    (late > LATE_SENDS_ALLOWED).then(|| {
        format!("a request under which targets end was sent {late} times more; {ended} ended")
    })
}

/// How often each attempt ran, at all targets together.
pub(crate) fn runs(world: &World) -> IndexMap<String, usize> {
    let mut runs = IndexMap::new();
    for target in world.all_targets() {
        for run in target.stand_in.runs() {
            let id = run.header("berylhook-attempt-id").unwrap_or_default();
            *runs.entry(id.to_owned()).or_insert(0) += 1;
        }
    }
    runs
}

/// When runs of the guilty request began, and when targets ended under it.
pub(crate) fn poison(world: &World) -> (Vec<Instant>, Vec<Instant>) {
    let (mut runs, mut ends) = (Vec::new(), Vec::new());
    for target in world.all_targets() {
        let own = target.stand_in.runs();
        let guilty = own.iter().filter(|run| run.body == POISON_BODY);
        runs.extend(guilty.map(|run| run.began));
        ends.extend(target.stand_in.exited_on_poison());
    }
    ends.sort();
    (runs, ends)
}

fn runs_too_often(attempt: &Attempt, ran: usize) -> Option<&'static str> {
    match attempt.route {
        RequestedRoute::Kind(kind) if !kind.is_repeatable() && ran > 1 => {
            Some("ran more than once")
        }
        RequestedRoute::Kind(kind) if ran > kind.max_targets => Some("ran at too many targets"),
        _ => None,
    }
}

fn refused_falsely(attempt: &Attempt, ran: usize) -> Option<&'static str> {
    let status = attempt.response.as_ref()?.status;
    match attempt.route {
        RequestedRoute::Kind(kind)
            if !kind.is_repeatable() && NOT_RUN.contains(&status) && ran > 0 =>
        {
            Some("was told that it did not run")
        }
        _ => None,
    }
}

fn answered_wrongly(attempt: &Attempt) -> Option<&'static str> {
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

/// Events come in order from the first on; a whole stream has all of them.
fn stream_fault(attempt: &Attempt, response: &CallResult) -> Option<&'static str> {
    let data = response.body.lines();
    let data: Vec<&str> = data
        .filter_map(|line| line.strip_prefix("data: "))
        .collect();
    // The last event of a stream that was cut may be cut too.
    let complete = if response.is_complete {
        data.len()
    } else {
        data.len().saturating_sub(1)
    };
    let expected = |index: usize| format!("{} {}", attempt.id, index + 1);
    let in_order = data[..complete]
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

fn refused_as_unknown(attempt: &Attempt) -> Option<&'static str> {
    let status = attempt.response.as_ref()?.status;
    match attempt.route {
        RequestedRoute::Kind(_) if UNKNOWN.contains(&status) => Some("was refused as unknown"),
        _ => None,
    }
}

/// No target ends under these callers' requests.
fn held_back(attempt: &Attempt) -> Option<&'static str> {
    let back = attempt.response.as_ref()?.retry_after.as_deref()?;
    let back_s: f64 = back.parse().unwrap_or_default();
    (back_s > HELD_BACK_S).then_some("was held back though it is innocent")
}

/// Planned changes alone cut nothing off that has run at a target.
fn cut_by_a_stop(
    evidence: &Observations<'_>,
    attempt: &Attempt,
    ran: usize,
) -> Option<&'static str> {
    let response = attempt.response.as_ref()?;
    let from = attempt
        .sent_at
        .checked_sub(CALM_BEFORE)
        .unwrap_or(attempt.sent_at);
    let is_cut = response.status == 0 || (response.status == 200 && !response.is_complete);
    let is_undisturbed = (evidence.is_undisturbed)(from, attempt.ended_at);
    (is_cut && ran > 0 && is_undisturbed).then_some("was cut off by a planned change")
}

/// Versions of the configuration that an entry put in force and took back.
fn regressions(history: &[Attempt]) -> Vec<String> {
    let mut violations = Vec::new();
    let served: Vec<(&Attempt, u64)> = history.iter().filter_map(served_version).collect();
    for (later, version) in &served {
        let is_newer_before = |(earlier, newer): &&(&Attempt, u64)| {
            newer > version
                && earlier.entry_index == later.entry_index
                && earlier.entry_lifetimes == later.entry_lifetimes
                && earlier.ended_at < later.sent_at
        };
        if let Some((_, newer)) = served.iter().find(is_newer_before) {
            let entry = later.entry_index;
            violations.push(format!(
                "entry-{entry} had version {newer} in force, then {version}"
            ));
        }
    }
    violations
}

fn served_version(attempt: &Attempt) -> Option<(&Attempt, u64)> {
    let is_one_life = attempt.entry_lifetimes.0 == attempt.entry_lifetimes.1;
    match attempt.route {
        RequestedRoute::Version(version) if attempt.is_served() && is_one_life => {
            Some((attempt, version))
        }
        _ => None,
    }
}
