//! Counts update as differences are the engine's counts, whatever is lost.

use berylhook_experts::demand::RankCounts;
use berylhook_relay::counts::{CountsDecoder, CountsEncoder, CountsRequest};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const EXPERTS: usize = 6;

fn counts(pass: u64, epoch: u64, counts: Vec<u64>) -> RankCounts {
    RankCounts {
        started_unix_ms: None,
        pass,
        epoch,
        counts,
    }
}

/// An engine that counts for as long as it lives.
struct Counting {
    now: RankCounts,
}

impl Counting {
    fn start() -> Self {
        Self {
            now: counts(0, 1, vec![0; EXPERTS]),
        }
    }

    fn choose(&mut self, random: &mut StdRng) {
        let expert = random.random_range(0..EXPERTS);
        self.now.counts[expert] += random.random_range(1..40);
        self.now.pass += 1;
    }

    fn restart(&mut self) {
        let epoch = self.now.epoch + 1;
        self.now = counts(0, epoch, vec![0; EXPERTS]);
    }
}

#[test]
fn the_second_snapshot_is_sent_as_a_difference() {
    let mut encoder = CountsEncoder::new(7);
    let mut copy = CountsDecoder::default();
    let first = encoder.encode(counts(1, 1, vec![100, 200]), copy.request());
    copy.decode(first.expect("it was asked for"));

    let update = encoder.encode(counts(2, 1, vec![103, 200]), copy.request());

    let update = update.expect("it was asked for");
    assert_eq!(update.counts, vec![3, 0]);
    assert_eq!(copy.decode(update), Some(counts(2, 1, vec![103, 200])));
}

// Symptom: a leader plans for a demand that nobody has. Sequence: an agent is
// replaced, its first snapshots are taken as differences to those of the former
// one. Cause: snapshots counted from zero in each process.
#[test]
fn a_new_agent_tells_the_whole_to_a_leader_that_knows_the_former_one() {
    let mut copy = CountsDecoder::default();
    let update = CountsEncoder::new(7).encode(counts(1, 1, vec![100]), copy.request());
    copy.decode(update.expect("it was asked for"));

    let update = CountsEncoder::new(900).encode(counts(2, 1, vec![130]), copy.request());

    assert_eq!(
        copy.decode(update.expect("it was asked for")),
        Some(counts(2, 1, vec![130]))
    );
}

#[test]
fn nothing_is_sent_where_nothing_is_asked_for() {
    let update = CountsEncoder::new(7).encode(counts(1, 1, vec![100]), CountsRequest::Nothing);

    assert!(update.is_none());
}

// Symptom: as above. Sequence: answers are lost, two leaders ask by turns,
// agents and engines start anew, in any order. Cause: a difference is added to
// another snapshot than the one it goes on from.
#[test]
fn a_copy_is_what_the_engine_counted_through_losses_and_restarts() {
    let mut random = StdRng::seed_from_u64(11);
    let mut engine = Counting::start();
    let mut encoder = CountsEncoder::new(random.random());
    let mut leaders = [CountsDecoder::default(), CountsDecoder::default()];
    let mut differences = 0;
    for _ in 0..20_000 {
        engine.choose(&mut random);
        match random.random_range(0..100) {
            0 => engine.restart(),
            1 => encoder = CountsEncoder::new(random.random()),
            2 => leaders[0] = CountsDecoder::default(),
            _ => {}
        }
        let leader = &mut leaders[usize::from(random.random_bool(0.1))];
        let update = encoder.encode(engine.now.clone(), leader.request());
        let update = update.expect("it was asked for");
        let is_lost = random.random_bool(0.1);
        if is_lost {
            continue;
        }
        differences += u32::from(update.base.is_some());
        assert_eq!(leader.decode(update).as_ref(), Some(&engine.now));
    }
    assert!(differences > 10_000, "{differences}");
}
