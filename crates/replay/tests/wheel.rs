//! The wheel against a plain map by time.

use std::collections::BTreeMap;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use yewroute_replay::Wheel;

proptest! {
    #![proptest_config(ProptestConfig { cases: 150, failure_persistence: None, rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn events_come_when_they_are_due_and_in_order(
        steps in prop::collection::vec(
            (prop::collection::vec(prop_oneof![0_u64..300, 0_u64..70_000, 0_u64..20_000_000], 0..6),
             prop_oneof![0_u64..5, 0_u64..400, 0_u64..90_000]),
            1..60,
        ),
    ) {
        let (mut wheel, mut plain) = (Wheel::default(), BTreeMap::<u64, Vec<usize>>::new());
        let (mut now, mut made) = (0, 0);
        for (waits, pass) in steps {
            for wait in waits {
                made += 1;
                wheel.set(now + wait, made);
                plain.entry(now + wait).or_default().push(made);
            }
            if let (Some(next), Some(first)) = (wheel.next(), plain.keys().next()) {
                prop_assert!(next <= (*first).max(now), "early, never late");
            }
            now += pass;
            let mut came = BTreeMap::<u64, Vec<usize>>::new();
            let mut last = 0;
            while let Some((at, what)) = wheel.due(now) {
                prop_assert!(at >= last && at <= now);
                last = at;
                came.entry(at).or_default().push(what);
            }
            let later = plain.split_off(&(now + 1));
            let mut wanted = std::mem::replace(&mut plain, later);
            came.values_mut().chain(wanted.values_mut()).for_each(|events| events.sort_unstable());
            prop_assert_eq!(came, wanted);
            prop_assert_eq!(wheel.len(), plain.values().map(Vec::len).sum::<usize>());
        }
    }
}
