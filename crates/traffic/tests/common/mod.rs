//! Targets and dispatchers for tests of what targets announce.

use std::sync::Arc;

use berylhook_backpressure::rate::RequestRate;
use berylhook_backpressure::signal::{BackpressureSignal, LimitSignal};
use berylhook_core::time::MonoMs;
use berylhook_traffic::dispatch::{Dispatcher, PlacementRequest, SubmitOutcome, Ticket};
use berylhook_traffic::ownership::{Member, Membership};
use berylhook_traffic::target::{Incarnation, Phase, Target};

/// A ready target.
pub fn target(id: &str, started_unix_ms: Option<u64>) -> Target {
    Target {
        incarnation: Incarnation {
            id: id.into(),
            started_unix_ms,
        },
        service: "push".into(),
        address: ([10, 0, 0, 1], 1).into(),
        data_centre: "here".into(),
        slots: 12,
        phase: Phase::Ready,
        listed_revision: 1,
        cold: None,
    }
}

/// A dispatcher with these targets and no other entry.
pub fn dispatcher(targets: &[Target]) -> Dispatcher {
    let own = Member {
        address: ([10, 0, 0, 2], 1).into(),
        data_centre: "here".into(),
        demand_per_s: None,
    };
    let mut dispatcher = Dispatcher::new(Membership::new(own, []), None);
    dispatcher.set_targets(targets.iter());
    dispatcher
}

/// A response that announces a rate limit.
pub fn rate_limit(per_s: f64) -> BackpressureSignal {
    BackpressureSignal {
        limit: LimitSignal::Named(RequestRate::clamped(per_s)),
        ..BackpressureSignal::default()
    }
}

/// Submits a request that may wait for 20 ms.
pub fn submit(dispatcher: &mut Dispatcher, ticket: u64, at_ms: u64) -> SubmitOutcome {
    let request = PlacementRequest {
        urgency: 1,
        wait_limit_ms: 20,
        late_wait_limit_ms: 20,
        on_time_until_ms: MonoMs(at_ms + 20),
        allowed_regions: None,
    };
    dispatcher.submit(Ticket(ticket), request, ticket, MonoMs(at_ms))
}

/// Submits a request; returns the target at which it was placed at once.
pub fn place(dispatcher: &mut Dispatcher, ticket: u64, at_ms: u64) -> Option<Arc<str>> {
    match submit(dispatcher, ticket, at_ms) {
        SubmitOutcome::Placed(target) => Some(Arc::clone(target.id())),
        SubmitOutcome::Queued | SubmitOutcome::Refused => None,
    }
}
