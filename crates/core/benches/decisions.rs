//! Benchmarks of the decisions on the request path.

use std::hint::black_box;

use berylhook_core::digest::{RequestContent, RequestDigest};
use berylhook_core::ledger::{ClockBounds, KeyedRequest, Ledger};
use berylhook_core::quarantine::{Quarantine, Suspect, TargetExit};
use berylhook_core::route::{
    Availability, RouteConfig, RouteQuery, Router, TargetId, prefix_blocks,
};
use berylhook_core::time::{MonoMs, WallMs};
use criterion::{Criterion, criterion_group, criterion_main};

fn routing(criterion: &mut Criterion) {
    let blocks = prefix_blocks(&[7; 4_096]);
    for targets in [16, 10_000] {
        let mut router = Router::new(RouteConfig::default());
        for id in 0..targets {
            router.set_availability(TargetId(id), Availability::Up);
        }
        let query = RouteQuery {
            blocks: &blocks,
            exclude: &[],
        };
        let mut number = 0;
        criterion.bench_function(&format!("pick among {targets} targets"), |bencher| {
            bencher.iter(|| {
                let random = &mut || {
                    number += 7_919;
                    number
                };
                black_box(router.pick(&query, MonoMs(1), random))
            });
        });
    }
}

fn ledger(criterion: &mut Criterion) {
    let mut ledger = Ledger::for_new_shard(ClockBounds::default(), 16_384);
    let mut number = 0;
    criterion.bench_function("admit and end one keyed request", |bencher| {
        bencher.iter(|| {
            number += 1;
            let request = KeyedRequest {
                key: u128::from(number) * 0x9e37_79b9_7f4a_7c15,
                issued_ms: WallMs(number),
                digest: number,
            };
            let admission = ledger.admit(request, WallMs(u64::MAX / 2));
            ledger.mark_interrupted(request.key);
            black_box(admission)
        });
    });
}

fn digest(criterion: &mut Criterion) {
    for (name, bytes) in [("1 KB", 1 << 10), ("1 MB", 1 << 20)] {
        let body = vec![7; bytes];
        let content = RequestContent {
            method: "POST",
            path: "/drafts/7?tone=plain",
            account: Some("harbour"),
            body: &body,
        };
        criterion.bench_function(&format!("digest of a request of {name}"), |bencher| {
            bencher.iter(|| RequestDigest::of(black_box(&content)));
        });
    }
}

fn quarantine(criterion: &mut Criterion) {
    let digest = |number: u64| {
        RequestDigest::of(&RequestContent {
            method: "POST",
            path: "/drafts",
            account: Some("harbour"),
            body: &number.to_le_bytes(),
        })
    };
    let mut quarantine_state = Quarantine::default();
    for target in 0..256 {
        quarantine_state.on_exit(&TargetExit {
            target: format!("i-{target}").into(),
            at_ms: MonoMs(target * 10),
            suspects: (0..64)
                .map(|suspect| Suspect {
                    digest: digest(suspect + if suspect < 4 { 0 } else { target * 64 }),
                    ran_alone: true,
                })
                .collect(),
        });
    }
    let (poison, innocent, unknown) = (digest(0), digest(63), digest(u64::MAX));
    for (name, requested) in [
        ("of 256 ends", poison),
        ("of one end", innocent),
        ("unknown", unknown),
    ] {
        criterion.bench_function(&format!("standing of a request {name}"), |bencher| {
            bencher
                .iter(|| quarantine_state.status(black_box(requested), MonoMs(3_000), WallMs(1)));
        });
    }
}

criterion_group!(benches, routing, ledger, digest, quarantine);
criterion_main!(benches);
