//! The wheel against a binary heap: a million events set, and all taken as their time comes.

// criterion's macros make public functions without a word on them.
#![allow(missing_docs)]

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use criterion::{criterion_group, criterion_main, BatchSize, Criterion};
use yewroute_replay::Wheel;

const EVENTS: u64 = 1_000_000;
/// An hour.
const SPAN: u64 = 3_600_000;

fn times() -> impl Iterator<Item = u64> {
    let mut state = 7_u64;
    (0..EVENTS).map(move |_| {
        state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (state >> 33) % SPAN
    })
}

fn wheel(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("a million events");
    group.sample_size(10);
    group.bench_function("wheel", |b| {
        b.iter_batched(
            Wheel::default,
            |mut wheel| {
                times().enumerate().for_each(|(n, at)| wheel.set(at, n));
                let mut taken = 0;
                for now in (0..=SPAN).step_by(10) {
                    while wheel.due(now).is_some() {
                        taken += 1;
                    }
                }
                assert_eq!(taken, EVENTS);
            },
            BatchSize::PerIteration,
        );
    });
    group.bench_function("binary heap", |b| {
        b.iter_batched(
            BinaryHeap::new,
            |mut heap| {
                times().enumerate().for_each(|(n, at)| heap.push(Reverse((at, n))));
                let mut taken = 0;
                for now in (0..=SPAN).step_by(10) {
                    while heap.peek().is_some_and(|Reverse((at, _))| *at <= now) {
                        heap.pop();
                        taken += 1;
                    }
                }
                assert_eq!(taken, EVENTS);
            },
            BatchSize::PerIteration,
        );
    });
    group.finish();
}

criterion_group!(benches, wheel);
criterion_main!(benches);
