//! What one decision on the request path costs.

use std::hint::black_box;

use berylhook_core::ledger::{Clocks, KeyedRequest, Ledger};
use berylhook_core::route::{Availability, Query, RouteConfig, Router, TargetId, prefix_blocks};
use berylhook_core::time::{MonoMs, WallMs};
use criterion::{Criterion, criterion_group, criterion_main};

fn routing(criterion: &mut Criterion) {
    let blocks = prefix_blocks(&[7; 4_096]);
    for targets in [16, 10_000] {
        let mut router = Router::new(RouteConfig::default());
        for id in 0..targets {
            router.set_availability(TargetId(id), Availability::Up);
        }
        let query = Query {
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
    let mut ledger = Ledger::first(Clocks::default(), 16_384);
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
            ledger.cut_off(request.key);
            black_box(admission)
        });
    });
}

criterion_group!(benches, routing, ledger);
criterion_main!(benches);
