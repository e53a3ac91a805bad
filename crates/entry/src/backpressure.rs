//! Applies the back-pressure signals (request limits, backoffs, drain notices) that targets send
//! with each response, logs their changes and exchanges them with peers.

use std::sync::Arc;

use berylhook_backpressure::gate::{LimitChange, LimitState};
use berylhook_backpressure::messages::LimitReport;
use berylhook_backpressure::rate::RequestRate;
use berylhook_backpressure::signal::LimitSignal;
use berylhook_core::time::MonoMs;
use berylhook_platform::headers::is_other_incarnation;
use berylhook_traffic::target::{Incarnation, Target};

use crate::call::TargetResponse;
use crate::queue::ServiceQueue;
use crate::shared::Shared;

/// Values of the log key `source`: where a limit was learned.
const SOURCE_RESPONSE: &str = "answer";
const SOURCE_PEER: &str = "peer";

/// Applies the back-pressure signals in a target's response.
///
/// A response of another incarnation at the target's address says nothing about the target, and
/// is ignored.
pub(crate) fn apply_signals(
    shared: &Shared,
    queue: &Arc<ServiceQueue>,
    target: &Target,
    response: &TargetResponse,
) {
    if is_other_incarnation(response.http.status().as_u16()) {
        return;
    }
    let incarnation = &target.incarnation;
    let service = queue.service();
    let signal = response.head.signal;
    if !response.head.is_not_run && queue.end_backoff_trial(incarnation) {
        log::info!(service = &**service, target = &*incarnation.id; "a target's backoff is over");
    }
    let changes = queue.on_signal(incarnation, signal);
    if let Some(backoff_ms) = changes.backoff_ms {
        shared.metrics.count_backoff();
        log::info!(
            service = &**service,
            target = &*incarnation.id,
            address:% = target.address,
            rest_ms = backoff_ms;
            "a target asked for a backoff"
        );
    }
    if changes.is_newly_leaving {
        log::info!(
            service = &**service,
            target = &*incarnation.id,
            address:% = target.address;
            "a target announced that it is leaving"
        );
    }
    let Some(change) = changes.limit else {
        return;
    };
    let is_readable = signal.limit != LimitSignal::Unreadable;
    log_limit(service, incarnation, change, SOURCE_RESPONSE, is_readable);
    shared.limits_changed.notify_one();
}

/// Applies limit reports from a peer.
pub(crate) fn apply_reports(
    shared: &Shared,
    queue: &Arc<ServiceQueue>,
    reports: &[LimitReport<Incarnation>],
) {
    let now_ms = shared.clock.now_ms();
    for report in reports {
        let received_ms = MonoMs(now_ms.0.saturating_sub(report.age_ms));
        let change = queue.on_limit_report(&report.target, report.limit, received_ms);
        if let Some(change) = change {
            log_limit(queue.service(), &report.target, change, SOURCE_PEER, true);
            shared.limits_changed.notify_one();
        }
    }
}

/// Converts limit states into reports for peers.
pub(crate) fn limit_reports(
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
    let message = match (change.previous, change.limit) {
        (_, None) => "a target removed its request limit",
        (None, Some(_)) => "a target set a request limit",
        (Some(_), Some(_)) => "a target changed its request limit",
    };
    log::info!(
        service,
        target = &*target.id,
        limit_per_s = change.limit.map_or(0.0, RequestRate::per_s),
        former_per_s,
        former_age_ms,
        source,
        is_readable;
        "{message}"
    );
}
