//! What waits behind a hole: the deque against a BTreeMap by offset, and against appending all and sorting at the end.
//! 1 MiB in segments of 1,400 bytes: in order behind the hole, and shuffled within 32 segments.

// criterion's macros make public functions without a word on them.
#![allow(missing_docs)]

use std::collections::BTreeMap;

use criterion::{criterion_group, criterion_main, Criterion};
use yewroute_reassembly::Pieces;

const SEGMENT: usize = 1400;
const SEGMENTS: usize = 750;

fn order(shuffled: bool) -> Vec<u64> {
    let mut order: Vec<u64> = (0..SEGMENTS as u64).collect();
    let mut state = 7_u64;
    for n in (1..SEGMENTS).filter(|_| shuffled) {
        state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        order.swap(n, n - (state >> 33) as usize % n.min(32));
    }
    order
}

fn pieces(criterion: &mut Criterion) {
    let bytes = vec![7_u8; SEGMENT];
    for (name, order) in [("in order", order(false)), ("shuffled", order(true))] {
        let mut group = criterion.benchmark_group(format!("1 MiB behind a hole, {name}"));
        group.bench_function("pieces", |b| {
            b.iter(|| {
                let mut pieces = Pieces::default();
                for n in &order {
                    pieces.insert(n * SEGMENT as u64, &bytes);
                }
                let (mut at, mut taken) = (0, 0);
                while let Some(piece) = pieces.take(at) {
                    at += piece.len() as u64;
                    taken += 1;
                }
                assert_eq!(taken, SEGMENTS);
            });
        });
        // Both plain ones know nothing of overlaps; they only have to give the bytes back in order.
        group.bench_function("BTreeMap", |b| {
            b.iter(|| {
                let mut map = BTreeMap::new();
                order.iter().for_each(|n| drop(map.insert(n * SEGMENT as u64, bytes.clone())));
                let mut taken = 0;
                while map.pop_first().is_some() {
                    taken += 1;
                }
                assert_eq!(taken, SEGMENTS);
            });
        });
        group.bench_function("append and sort", |b| {
            b.iter(|| {
                let mut all: Vec<(u64, Vec<u8>)> = Vec::new();
                order.iter().for_each(|n| all.push((n * SEGMENT as u64, bytes.clone())));
                all.sort_unstable_by_key(|(offset, _)| *offset);
                assert_eq!(all.drain(..).count(), SEGMENTS);
            });
        });
        group.finish();
    }
}

criterion_group!(benches, pieces);
criterion_main!(benches);
