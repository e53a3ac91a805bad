//! Targets that say how much they take: they name a limit, ask for rest, or say that they
//! leave, beside all faults.
//!
//! What reaches such a target is counted there. An entry that ends, starts or is paused
//! meanwhile is excused, and its requests cannot be told from the others': each such event
//! allows a few more.

use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::time::sleep;

use crate::faults::replace;
use crate::world::{Target, World};

/// Sets the moments of these apart from those of the faults.
const PRESSURE_STREAM: u64 = 0x7072_6573_7375;

/// Time between two of them.
const PAUSE_MS: std::ops::Range<u64> = 200..1_500;

/// The limit that a target names, in requests a second, and for how long. The users' rule
/// begins three seconds after it is named.
const LIMIT_PER_S: usize = 2;
const LIMIT_BINDS_AFTER: Duration = Duration::from_secs(3);
const LIMIT_BINDS_S: usize = 3;
const LIMIT_BINDS: Duration = Duration::from_secs(LIMIT_BINDS_S as u64);

/// The rest that a target asks for.
const REST: Duration = Duration::from_secs(2);

/// Time in which a target that leaves is watched: the users allow two seconds and more until
/// nothing comes.
const LEAVING_LASTS: Duration = Duration::from_secs(2);

/// What is on its way when a target speaks is on nobody's account.
const ON_ITS_WAY: Duration = Duration::from_millis(500);

/// Requests in a rest that the users allow each entry, and the one that is refused.
const IN_REST: usize = 2 + 1;

/// Further requests for each entry that ends, starts or is paused meanwhile.
const FOR_EACH_EVENT: usize = 8;

#[derive(Clone, Copy, Debug)]
enum Pressure {
    Limit,
    Rest,
    Leaving,
}

/// Has one target after the other say how much it takes.
pub(crate) async fn play(world: Arc<World>, seed: u64, length: Duration) {
    let mut random = StdRng::seed_from_u64(seed ^ PRESSURE_STREAM);
    let began = Instant::now();
    while began.elapsed() < length {
        sleep(Duration::from_millis(random.random_range(PAUSE_MS))).await;
        let index = random.random_range(0..64);
        let pressure = match random.random_range(0..3) {
            0 => Pressure::Limit,
            1 => Pressure::Rest,
            _ => Pressure::Leaving,
        };
        if let Some(target) = world.target(index) {
            let at_s = began.elapsed().as_secs_f64();
            world.note_fault(format!(
                "{at_s:.2} s: {pressure:?} at {}",
                target.stand_in.id()
            ));
            put_under(&world, &target, pressure).await;
        }
    }
}

async fn put_under(world: &Arc<World>, target: &Arc<Target>, pressure: Pressure) {
    let events = world.entry_events();
    let stand_in = &target.stand_in;
    let began = Instant::now();
    let (from, allowed) = match pressure {
        Pressure::Limit => {
            stand_in.set_limit(Some(&LIMIT_PER_S.to_string()));
            sleep(LIMIT_BINDS_AFTER + LIMIT_BINDS).await;
            stand_in.set_limit(None);
            (LIMIT_BINDS_AFTER, LIMIT_PER_S * LIMIT_BINDS_S * 3 / 2 + 5)
        }
        Pressure::Rest => {
            stand_in.set_backoff(Some(&REST.as_secs().to_string()));
            sleep(REST).await;
            stand_in.set_backoff(None);
            (ON_ITS_WAY, IN_REST * world.entries.len())
        }
        Pressure::Leaving => {
            stand_in.announce_leaving();
            sleep(LEAVING_LASTS).await;
            (ON_ITS_WAY, IN_REST * world.entries.len())
        }
    };
    let ended = Instant::now();
    let arrivals = stand_in.arrivals();
    let counted = arrivals
        .iter()
        .filter(|at| (began + from..ended).contains(*at))
        .count();
    let events = world.entry_events() - events;
    if counted > allowed + FOR_EACH_EVENT * events {
        let id = stand_in.id();
        world.note_broken(format!(
            "{id} got {counted} requests under {pressure:?}; {allowed} are allowed, and \
             {FOR_EACH_EVENT} for each of {events} events"
        ));
    }
    if matches!(pressure, Pressure::Leaving) {
        replace(world, target).await;
    }
}
