//! Decoded counts equal the engine's counts, also after lost replies and restarts.

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

/// An engine whose counts start at zero with each restart.
struct FakeEngine {
    current: RankCounts,
}

impl FakeEngine {
    fn start() -> Self {
        Self {
            current: counts(0, 1, vec![0; EXPERTS]),
        }
    }

    fn run_pass(&mut self, random: &mut StdRng) {
        let expert = random.random_range(0..EXPERTS);
        self.current.counts[expert] += random.random_range(1..40);
        self.current.pass += 1;
    }

    fn restart(&mut self) {
        let epoch = self.current.epoch + 1;
        self.current = counts(0, epoch, vec![0; EXPERTS]);
    }
}

#[test]
fn the_second_snapshot_is_sent_as_a_delta() {
    let mut encoder = CountsEncoder::new(7);
    let mut decoder = CountsDecoder::default();
    let first = encoder.encode(counts(1, 1, vec![100, 200]), decoder.request());
    decoder.decode(first.expect("counts were requested"));

    let update = encoder.encode(counts(2, 1, vec![103, 200]), decoder.request());

    let update = update.expect("counts were requested");
    assert_eq!(update.counts, vec![3, 0]);
    assert_eq!(decoder.decode(update), Some(counts(2, 1, vec![103, 200])));
}

// Guards against a leader planning for a wrong demand after an agent was replaced. If each
// process numbered its snapshots from zero, the leader would add the new agent's first deltas
// to snapshots of the previous agent.
#[test]
fn a_replaced_agent_sends_all_counts_to_a_leader_that_knows_the_previous_agent() {
    let mut decoder = CountsDecoder::default();
    let update = CountsEncoder::new(7).encode(counts(1, 1, vec![100]), decoder.request());
    decoder.decode(update.expect("counts were requested"));

    let update = CountsEncoder::new(900).encode(counts(2, 1, vec![130]), decoder.request());

    assert_eq!(
        decoder.decode(update.expect("counts were requested")),
        Some(counts(2, 1, vec![130]))
    );
}

#[test]
fn no_update_is_sent_if_no_counts_are_requested() {
    let update = CountsEncoder::new(7).encode(counts(1, 1, vec![100]), CountsRequest::Nothing);

    assert!(update.is_none());
}

// Guards against a delta being added to a snapshot other than its base, while replies are lost,
// two leaders send requests in turn, and agents and engines restart, in any order.
#[test]
fn decoded_counts_equal_the_engine_counts_after_losses_and_restarts() {
    let mut random = StdRng::seed_from_u64(11);
    let mut engine = FakeEngine::start();
    let mut encoder = CountsEncoder::new(random.random());
    let mut leaders = [CountsDecoder::default(), CountsDecoder::default()];
    let mut deltas = 0;
    for _ in 0..20_000 {
        engine.run_pass(&mut random);
        match random.random_range(0..100) {
            0 => engine.restart(),
            1 => encoder = CountsEncoder::new(random.random()),
            2 => leaders[0] = CountsDecoder::default(),
            _ => {}
        }
        let leader = &mut leaders[usize::from(random.random_bool(0.1))];
        let update = encoder.encode(engine.current.clone(), leader.request());
        let update = update.expect("counts were requested");
        let is_lost = random.random_bool(0.1);
        if is_lost {
            continue;
        }
        deltas += u32::from(update.base.is_some());
        assert_eq!(leader.decode(update).as_ref(), Some(&engine.current));
    }
    assert!(deltas > 10_000, "{deltas}");
}
