//! The status that an entry reports to `berylhook status`.

use std::sync::atomic::Ordering;

use berylhook_core::route::{Availability, TargetLoad};
use serde_json::{Value, json};

use super::fleet::{Fleet, Service};
use super::node::{Node, lock};

/// The state of this process as JSON; see docs/GUIDE.md for the format.
pub(crate) fn status(node: &Node, fleet: &Fleet) -> Value {
    let snapshot = node.snapshot.load();
    let digest = snapshot
        .documents
        .summary()
        .iter()
        .fold(0, |sum: u64, bucket| sum.rotate_left(1) ^ bucket);
    let counters = &node.counters;
    let count = |counter: &std::sync::atomic::AtomicU64| counter.load(Ordering::Relaxed);
    let services: Vec<_> = fleet
        .services()
        .iter()
        .map(|service| service_json(service))
        .collect();
    json!({
        "name": &*node.settings.node.name,
        "data_centre": &*node.settings.node.data_centre,
        "incarnation": node.incarnation.to_string(),
        "ready": node.is_ready(),
        "in_flight": node.in_flight(),
        "catalogue_digest": format!("{digest:016x}"),
        "catalogue_items": snapshot.documents.len(),
        "services": services,
        "limits": node.limiter.status(node.now_ms()),
        "quarantine": {
            "ended_under_requests": count(&node.quarantine_counts.requests_at_exit),
            "suspected_requests": count(&node.quarantine_counts.suspected),
            "held_requests": count(&node.quarantine_counts.held),
        },
        "counters": {
            "dropped_frames": count(&counters.dropped_frames),
            "retries": count(&counters.retries),
            "resumed": count(&counters.resumed),
            "silent_links": count(&counters.silent_links),
        },
    })
}

fn service_json(service: &Service) -> Value {
    let targets: Vec<_> = service
        .targets()
        .iter()
        .map(|target| {
            let router = lock(&service.router);
            let load = router.load(target.id);
            json!({
                "agent": &*target.link.agent,
                "availability": availability_name(target.availability()),
                "in_flight": load.map_or(0, TargetLoad::in_flight),
                "first_token_ms": load.map_or(0.0, |load| load.first_token_ms().round()),
            })
        })
        .collect();
    json!({"name": &*service.name, "targets": targets})
}

fn availability_name(availability: Availability) -> &'static str {
    match availability {
        Availability::Up => "up",
        Availability::Leaving => "leaving",
        Availability::Down => "down",
    }
}
