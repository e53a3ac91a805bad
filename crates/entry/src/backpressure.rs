//! What targets say of how much they take: heard with each answer, logged when it changes.

use berylhook_backpressure::gate::LimitChange;
use berylhook_backpressure::rate::RequestRate;
use berylhook_backpressure::signal::{BackpressureSignal, LimitSignal};
use berylhook_traffic::target::Target;

use crate::metrics::Metrics;
use crate::queue::ServiceQueue;

/// Takes over what an answer of the target says.
pub(crate) fn hear(
    queue: &ServiceQueue,
    metrics: &Metrics,
    target: &Target,
    signal: BackpressureSignal,
) {
    let Some((change, limited)) = queue.on_signal(&target.incarnation, signal) else {
        return;
    };
    metrics.set_limited_targets(queue.service(), limited);
    let is_readable = signal.limit != LimitSignal::Unreadable;
    log_limit(queue.service(), target, change, is_readable);
}

fn log_limit(service: &str, target: &Target, change: LimitChange, is_readable: bool) {
    let (former_per_s, former_age_ms) = match change.former {
        Some((rate, age_ms)) => (rate.per_s(), age_ms),
        None => (0.0, 0),
    };
    let text = match (change.former, change.limit) {
        (_, None) => "a target names no limit any more",
        (None, Some(_)) => "a target names a limit",
        (Some(_), Some(_)) => "a target names another limit",
    };
    log::info!(
        service,
        target = &**target.id(),
        address:% = target.address,
        limit_per_s = change.limit.map_or(0.0, RequestRate::per_s),
        former_per_s,
        former_age_ms,
        is_readable;
        "{text}"
    );
}
