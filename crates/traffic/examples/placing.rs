//! Measures the cost of placing a request, and of dividing the targets between entries again, by
//! the size of the fleet.
//!
//! `cargo run --release -p berylhook-traffic --example placing`

use std::time::{Duration, Instant};

use berylhook_core::time::MonoMs;
use berylhook_traffic::dispatch::{Dispatcher, PlacementRequest, SubmitOutcome, Ticket};
use berylhook_traffic::ownership::{Member, Membership};
use berylhook_traffic::target::{Incarnation, Phase, Target};

/// Numbers of entries and targets.
const SIZES: [(u16, u16); 4] = [(2, 3), (6, 16), (53, 192), (1_000, 10_000)];

const DATA_CENTRES: u16 = 15;

/// Requests to place, and how many of them run at once at one entry.
const PLACEMENTS: u64 = 20_000;
const MAX_RUNNING: usize = 12;

const DIVISIONS: u32 = 20;

fn data_centre(index: u16) -> String {
    format!("dc-{}", index % DATA_CENTRES)
}

fn member(index: u16) -> Member {
    Member {
        address: ([10, 0, 0, 1], index + 1).into(),
        data_centre: data_centre(index).into(),
        demand_per_s: Some(f64::from(index % 7 + 5)),
    }
}

fn target(index: u16) -> Target {
    Target {
        incarnation: Incarnation {
            id: format!("target-{index:05}").into(),
            started_unix_ms: None,
        },
        service: "llm".into(),
        address: ([10, 0, 1, 1], index + 1).into(),
        data_centre: data_centre(index).into(),
        slots: 6,
        phase: Phase::Ready,
        listed_revision: 1,
        cold: None,
    }
}

fn micros(duration: Duration, count: f64) -> f64 {
    duration.as_secs_f64() * 1e6 / count
}

fn main() {
    println!("entries  targets  placing, us  dividing anew, us");
    for (entries, targets) in SIZES {
        let membership = Membership::new(member(0), (1..entries).map(member));
        let targets_of_service: Vec<Target> = (0..targets).map(target).collect();
        let mut dispatcher = Dispatcher::new(membership.clone(), None);
        dispatcher.set_targets(targets_of_service.iter());
        let began = Instant::now();
        for _ in 0..DIVISIONS {
            dispatcher.set_membership(membership.clone());
        }
        let division_us = micros(began.elapsed(), f64::from(DIVISIONS));
        let placement_us = place_requests(&mut dispatcher);
        println!("{entries:7}  {targets:7}  {placement_us:11.2}  {division_us:17.1}");
    }
}

/// Places requests; the oldest ends when more than [`MAX_RUNNING`] run.
#[allow(clippy::cast_precision_loss)] // some thousands
fn place_requests(dispatcher: &mut Dispatcher) -> f64 {
    let mut running = std::collections::VecDeque::new();
    let began = Instant::now();
    for number in 0..PLACEMENTS {
        let now_ms = MonoMs(number);
        let request = PlacementRequest {
            urgency: 1,
            wait_limit_ms: 200,
            late_wait_limit_ms: 200,
            on_time_until_ms: now_ms + 200,
            allowed_regions: None,
        };
        let random = number.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        if let SubmitOutcome::Placed(target) =
            dispatcher.submit(Ticket(number), request, random, now_ms)
        {
            running.push_back(target.incarnation);
        }
        if running.len() > MAX_RUNNING {
            let ended = running.pop_front().expect("some run");
            dispatcher.release(&ended, None, now_ms);
        }
    }
    micros(began.elapsed(), PLACEMENTS as f64)
}
