//! Logs and counts the targets that become cold or warm.

use crate::queue::ServiceQueue;
use crate::shared::Shared;

/// Reports the changes of all services' cold targets since the last call.
pub(crate) fn report_changes(shared: &Shared) {
    for queue in shared.queues() {
        report_changes_of(shared, &queue);
    }
}

fn report_changes_of(shared: &Shared, queue: &ServiceQueue) {
    let (cold_targets, changes) = queue.take_cold_changes();
    let service = queue.service();
    shared.metrics.set_cold_targets(service, cold_targets);
    for change in changes {
        let message = match change.left_ms {
            0 => "a target is warm",
            _ => "a target is cold",
        };
        log::info!(
            service = &**service,
            target = &*change.incarnation.id,
            started_unix_ms = change.incarnation.started_unix_ms.unwrap_or_default(),
            source = change.source.name(),
            left_ms = change.left_ms,
            share_per_s = change.share,
            cold_targets;
            "{message}"
        );
    }
}
