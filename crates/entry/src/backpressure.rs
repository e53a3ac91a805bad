//! What targets say of how much they take: heard with each answer, logged when it changes,
//! and told to peers.

use std::sync::Arc;

use berylhook_backpressure::gate::{LimitChange, LimitState};
use berylhook_backpressure::messages::LimitReport;
use berylhook_backpressure::rate::RequestRate;
use berylhook_backpressure::signal::LimitSignal;
use berylhook_core::time::MonoMs;
use berylhook_platform::headers::is_other_incarnation;
use berylhook_traffic::target::{Incarnation, Target};

use crate::call::Answer;
use crate::queue::ServiceQueue;
use crate::shared::Shared;

/// Where a word on a limit came from.
const FROM_ANSWER: &str = "answer";
const FROM_PEER: &str = "peer";

/// Takes over what an answer of the target says.
///
/// What another incarnation at the target's address answers says nothing of the target.
pub(crate) fn hear(shared: &Shared, queue: &Arc<ServiceQueue>, target: &Target, answer: &Answer) {
    if is_other_incarnation(answer.response.status().as_u16()) {
        return;
    }
    let of = &target.incarnation;
    let service = queue.service();
    let signal = answer.head.signal;
    if !answer.head.is_not_run && queue.on_rest_over(of) {
        log::info!(service = &**service, target = &*of.id; "a target's rest is over");
    }
    let news = queue.on_signal(of, signal);
    if let Some(rest_ms) = news.backoff_ms {
        shared.metrics.count_rest();
        log::info!(
            service = &**service,
            target = &*of.id,
            address:% = target.address,
            rest_ms;
            "a target asks for rest"
        );
    }
    if news.is_newly_leaving {
        log::info!(
            service = &**service,
            target = &*of.id,
            address:% = target.address;
            "a target says that it leaves"
        );
    }
    let Some(change) = news.limit else {
        return;
    };
    let is_readable = signal.limit != LimitSignal::Unreadable;
    log_limit(service, of, change, FROM_ANSWER, is_readable);
    shared.limits_changed.notify_one();
}

/// Takes over what a peer knows.
pub(crate) fn learn(
    shared: &Shared,
    queue: &Arc<ServiceQueue>,
    reports: &[LimitReport<Incarnation>],
) {
    let now_ms = shared.clock.now_ms();
    for report in reports {
        let heard_ms = MonoMs(now_ms.0.saturating_sub(report.age_ms));
        let news = queue.on_limit_report(&report.target, report.limit, heard_ms);
        if let Some(change) = news {
            log_limit(queue.service(), &report.target, change, FROM_PEER, true);
            shared.limits_changed.notify_one();
        }
    }
}

/// What peers should know.
pub(crate) fn reports(
    states: &[(Incarnation, LimitState)],
    now_ms: MonoMs,
) -> Vec<LimitReport<Incarnation>> {
    let report = |(target, state): &(Incarnation, LimitState)| LimitReport {
        target: target.clone(),
        limit: state.limit,
        age_ms: now_ms.since(state.reported_ms),
    };
    states.iter().map(report).collect()
}

fn log_limit(
    service: &str,
    target: &Incarnation,
    change: LimitChange,
    source: &'static str,
    is_readable: bool,
) {
    let (former_per_s, former_age_ms) = match change.previous {
        Some((rate, age_ms)) => (rate.per_s(), age_ms),
        None => (0.0, 0),
    };
    let text = match (change.previous, change.limit) {
        (_, None) => "a target names no limit any more",
        (None, Some(_)) => "a target names a limit",
        (Some(_), Some(_)) => "a target names another limit",
    };
    log::info!(
        service,
        target = &*target.id,
        limit_per_s = change.limit.map_or(0.0, RequestRate::per_s),
        former_per_s,
        former_age_ms,
        source,
        is_readable;
        "{text}"
    );
}
