//! The store comes back from older copies, beside all other faults.
//!
//! What the operator and the targets wrote is written again, each in its own time; what
//! entries and agents wrote since the copy is gone. None of it excuses a request that fails.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use berylhook_test_support::{Outage, StoreSnapshot};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::time::sleep;

use crate::world::World;

/// Time between two copies, and how many are kept: some seconds.
const COPY_EVERY: Duration = Duration::from_millis(400);
const COPIES: usize = 10;

/// Part of the copies after which the store is restored.
const RESTORED_PART: f64 = 0.12;

/// How long the store is away before it is back.
const AWAY_MS: std::ops::Range<u64> = 50..700;

/// Time until the operator and the targets have written again.
const WRITTEN_AGAIN_MS: std::ops::Range<u64> = 20..900;

/// Time until the platform drops entries that nobody renews.
const LAPSE: Duration = Duration::from_secs(3);

/// Sets the moments of restores apart from those of other faults, so that a seed goes on
/// meaning the same ones.
const STREAM: u64 = 0x7265_7374_6f72;

/// Restores the store again and again, for that long.
pub(crate) async fn play(world: Arc<World>, seed: u64, length: Duration) {
    let mut random = StdRng::seed_from_u64(seed ^ STREAM);
    let mut copies = VecDeque::new();
    let began = Instant::now();
    while began.elapsed() < length {
        sleep(COPY_EVERY).await;
        copies.push_back(world.store.snapshot());
        if copies.len() > COPIES {
            copies.pop_front();
        }
        if random.random_bool(RESTORED_PART) {
            let age = random.random_range(0..copies.len());
            copies.truncate(copies.len() - age);
            let copy = copies.back().expect("one is left").clone();
            let at_s = began.elapsed().as_secs_f64();
            world.note_fault(format!("{at_s:.2} s: a restore from {age} copies ago"));
            restore(&world, &copy, &mut random).await;
        }
    }
    sleep(LAPSE).await;
    world.drop_lapsed();
}

async fn restore(world: &Arc<World>, copy: &StoreSnapshot, random: &mut StdRng) {
    world.store.set_outage(Outage::Refusing);
    sleep(Duration::from_millis(random.random_range(AWAY_MS))).await;
    world.store.restore(copy);
    world.store.set_outage(Outage::None);
    let again = Duration::from_millis(random.random_range(WRITTEN_AGAIN_MS));
    let world = Arc::clone(world);
    tokio::spawn(async move {
        sleep(again).await;
        world.write_again();
        sleep(LAPSE).await;
        world.drop_lapsed();
    });
}
