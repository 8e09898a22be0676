//! The statement table against a plain HashMap, at 1e5 statements: finding one that is there, and taking a new one
//! when the oldest that nobody uses has to go.

// criterion's macros make public functions without a word on them.
#![allow(missing_docs)]

use std::collections::HashMap;
use std::rc::Rc;

use criterion::{criterion_group, criterion_main, BatchSize, Criterion};
use yewroute_pgwire::table::Table;

const STATEMENTS: usize = 100_000;

fn text(n: usize) -> Vec<u8> {
    format!("SELECT doc FROM items{n} WHERE id = $1 /* id=$2,c=flight-view,d=$3,cluster=2 */").into_bytes()
}

/// What one would write first: a map by text, its entries counted by reference and stamped with their last use; to
/// make room, the whole map is searched for the oldest that nobody holds.
struct Plain {
    map: HashMap<Rc<[u8]>, (Rc<()>, u64)>,
    uses: u64,
    most: usize,
}

impl Plain {
    fn lease(&mut self, text: &[u8]) -> Rc<()> {
        self.uses += 1;
        if let Some((held, used)) = self.map.get_mut(text) {
            *used = self.uses;
            return Rc::clone(held);
        }
        if self.map.len() >= self.most {
            let idle = self.map.iter().filter(|(_, (held, _))| Rc::strong_count(held) == 1);
            let oldest = idle.min_by_key(|(_, (_, used))| *used).map(|(text, _)| Rc::clone(text));
            oldest.map(|oldest| self.map.remove(&oldest));
        }
        let held = Rc::new(());
        self.map.insert(text.into(), (Rc::clone(&held), self.uses));
        held
    }
}

fn table(criterion: &mut Criterion) {
    let texts: Vec<Vec<u8>> = (0..2 * STATEMENTS).map(text).collect();
    // Room for as many as there are; found by filling one that has no bound.
    let mut unbounded = Table::new(usize::MAX);
    texts[..STATEMENTS].iter().for_each(|text| drop(unbounded.lease(text, &[])));
    let room = unbounded.figures().1;
    let filled = || {
        let mut table = Table::new(room);
        texts[..STATEMENTS].iter().for_each(|text| drop(table.lease(text, &[])));
        table
    };
    let plain = || {
        let mut plain = Plain { map: HashMap::new(), uses: 0, most: STATEMENTS };
        texts[..STATEMENTS].iter().for_each(|text| drop(plain.lease(text)));
        plain
    };

    let mut group = criterion.benchmark_group("find one of 1e5");
    let (mut ours, mut theirs, mut n) = (filled(), plain(), 0);
    group.bench_function("table", |b| {
        b.iter(|| {
            n = (n + 7919) % STATEMENTS;
            ours.lease(&texts[n], &[]).unwrap()
        });
    });
    group.bench_function("plain map", |b| {
        b.iter(|| {
            n = (n + 7919) % STATEMENTS;
            theirs.lease(&texts[n])
        });
    });
    group.finish();

    let mut group = criterion.benchmark_group("take a new one, the oldest goes");
    group.sample_size(10);
    let (mut ours, mut theirs, mut n) = (filled(), plain(), 0);
    let mut next = || {
        n = (n + 1) % (2 * STATEMENTS);
        &texts[n]
    };
    // Those of the first half are found at first; the ring then always asks for what has gone.
    (0..STATEMENTS).for_each(|_| drop(ours.lease(next(), &[])));
    group.bench_function("table", |b| b.iter(|| ours.lease(next(), &[]).unwrap()));
    assert!(ours.figures().2 > 0, "some had to go");
    let mut fresh = 0;
    group.bench_function("plain map", |b| {
        b.iter_batched(
            || {
                fresh += 1;
                text(10 * STATEMENTS + fresh)
            },
            |text| theirs.lease(&text),
            BatchSize::SmallInput,
        );
    });
    group.finish();
}

criterion_group!(benches, table);
criterion_main!(benches);
