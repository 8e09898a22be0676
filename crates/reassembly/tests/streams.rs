//! A known stream, cut into segments that are reordered, repeated and lost, comes out as it was or with gaps that are
//! told.

use std::net::SocketAddr;
use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use yewroute_reassembly::flows::Segment;
use yewroute_reassembly::{Direction, Ending, Flows, Limits, Sink};

#[derive(Default)]
struct Seen {
    opened: Vec<(u64, bool)>,
    /// Of each direction, bytes and places of bytes that are not there.
    streams: [Vec<Option<u8>>; 2],
    ended: Vec<(u64, Ending)>,
}

impl Sink for Seen {
    fn opened(&mut self, number: u64, _: Duration, _: (SocketAddr, SocketAddr), whole: bool) {
        self.opened.push((number, whole));
    }

    fn bytes(&mut self, _: u64, _: Duration, direction: Direction, bytes: &[u8]) {
        self.streams[direction as usize].extend(bytes.iter().map(|byte| Some(*byte)));
    }

    fn gap(&mut self, _: u64, _: Duration, direction: Direction, len: u64) {
        self.streams[direction as usize].extend((0..len.min(10_000)).map(|_| None));
    }

    fn ended(&mut self, number: u64, _: Duration, how: Ending) {
        self.ended.push((number, how));
    }
}

fn addr(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn segment(seq: u32, payload: &[u8]) -> Segment<'_> {
    Segment {
        at: Duration::from_secs(1),
        from: addr(4000),
        to: addr(5432),
        seq,
        ack: None,
        syn: false,
        fin: false,
        rst: false,
        payload,
        missing: 0,
    }
}

fn back(segment: Segment<'_>) -> Segment<'_> {
    Segment { from: segment.to, to: segment.from, ..segment }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, failure_persistence: None, rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn what_comes_out_is_the_stream_or_a_gap_that_is_told(
        isn in prop_oneof![any::<u32>(), (u32::MAX - 600)..u32::MAX],
        bytes in prop::collection::vec(any::<u8>(), 1..900),
        cuts in prop::collection::vec(any::<prop::sample::Index>(), 0..20),
        picks in prop::collection::vec((any::<prop::sample::Index>(), 0_usize..40, 0_usize..3), 0..60),
        order in any::<u64>(),
        lossy in any::<bool>(),
        small in any::<bool>(),
    ) {
        let mut at: Vec<usize> = cuts.iter().map(|cut| cut.index(bytes.len())).chain([0, bytes.len()]).collect();
        at.sort_unstable();
        // Every part once, unless it is to be lost, and some longer or shorter pieces over others.
        let mut parts: Vec<(usize, usize)> = at.windows(2).map(|w| (w[0], w[1])).filter(|(a, b)| a < b).collect();
        if lossy && parts.len() > 1 {
            parts.remove(order as usize % parts.len());
        }
        for (index, len, how) in picks {
            let start = index.index(bytes.len());
            if !lossy || how == 0 {
                parts.push((start, (start + len).min(bytes.len())));
            }
        }
        // A shuffle of the test's own, so that the order comes from the case alone.
        let mut state = order | 1;
        for n in (1..parts.len()).rev() {
            state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            parts.swap(n, (state >> 33) as usize % (n + 1));
        }
        let limits = if small { Limits { flow_bytes: 700, ..Limits::default() } } else { Limits::default() };
        let (mut flows, mut seen) = (Flows::new(limits), Seen::default());
        flows.push(&Segment { syn: true, ..segment(isn, b"") }, &mut seen);
        let base = isn.wrapping_add(1);
        let mut present = vec![false; bytes.len()];
        for (from, to) in parts {
            present[from..to].fill(true);
            flows.push(&segment(base.wrapping_add(from as u32), &bytes[from..to]), &mut seen);
        }
        let fin = base.wrapping_add(bytes.len() as u32);
        flows.push(&Segment { fin: true, ..segment(fin, b"") }, &mut seen);
        flows.finish(&mut seen);
        let out = &seen.streams[0];
        prop_assert_eq!(out.len(), bytes.len(), "each byte has its place");
        for (n, byte) in out.iter().enumerate() {
            match byte {
                Some(byte) => prop_assert!(present[n] && *byte == bytes[n]),
                // With room to wait, only what never came is missing.
                None => prop_assert!(small || !present[n]),
            }
        }
        prop_assert_eq!(seen.opened, vec![(1, true)]);
        prop_assert_eq!(seen.ended.len(), 1);
    }

    #[test]
    fn no_segments_make_it_panic_or_keep_more_than_it_may(
        segments in prop::collection::vec(
            (any::<u32>(), 0_usize..300, 0_u8..64, 0_u16..4, prop::option::of(any::<u32>()), 0_usize..5000, 0_u64..9),
            0..200,
        ),
    ) {
        let limits = Limits { flows: 3, flow_bytes: 1000, bytes: 2000 };
        let (mut flows, mut seen) = (Flows::new(limits), Seen::default());
        let zeros = [0; 300];
        for (n, (seq, len, flags, port, ack, missing, wait)) in segments.into_iter().enumerate() {
            let one = Segment {
                at: Duration::from_secs(n as u64 * wait),
                ack,
                syn: flags & 7 == 1,
                fin: flags & 7 == 2,
                rst: flags == 63,
                missing,
                from: addr(port),
                // Near to each other now and then, and anywhere.
                ..segment(if flags & 8 == 0 { seq % 2000 } else { seq }, &zeros[..len])
            };
            flows.push(&if flags & 16 == 0 { one } else { back(one) }, &mut seen);
        }
        flows.finish(&mut seen);
        prop_assert_eq!(seen.opened.len(), seen.ended.len(), "each that began has ended");
    }
}

#[test]
fn a_hole_that_was_acknowledged_is_given_up_after_two_seconds_and_not_before() {
    let (mut flows, mut seen) = (Flows::new(Limits::default()), Seen::default());
    flows.push(&Segment { syn: true, ..segment(99, b"") }, &mut seen);
    flows.push(&segment(100, b"abc"), &mut seen);
    flows.push(&segment(106, b"ghi"), &mut seen);
    let ack = |at: u64| back(Segment { at: Duration::from_secs(at), ack: Some(109), ..segment(1, b"") });
    flows.push(&ack(2), &mut seen);
    flows.push(&ack(3), &mut seen);
    assert_eq!(seen.streams[0].len(), 3);
    flows.push(&ack(4), &mut seen);
    let text: String = seen.streams[0].iter().map(|b| b.map_or('.', char::from)).collect();
    assert_eq!(text, "abc...ghi");
    assert_eq!(flows.oddities().0.lost, 0, "counted when it ends");
    flows.finish(&mut seen);
    assert_eq!((flows.oddities().0.gaps, flows.oddities().0.lost), (1, 3));
}

#[test]
fn two_conversations_on_one_pair_of_ports_are_two() {
    let (mut flows, mut seen) = (Flows::new(Limits::default()), Seen::default());
    for (isn, text) in [(10, b"one"), (5000, b"two")] {
        flows.push(&Segment { syn: true, ..segment(isn, b"") }, &mut seen);
        // The SYN once more, as it was not answered at first.
        flows.push(&Segment { syn: true, ..segment(isn, b"") }, &mut seen);
        flows.push(&segment(isn + 1, text), &mut seen);
    }
    // One that broke, and one without its first messages behind it.
    flows.push(&Segment { rst: true, ..segment(5004, b"") }, &mut seen);
    flows.push(&segment(5004, b"late"), &mut seen);
    flows.push(&Segment { syn: true, ..segment(70_000, b"") }, &mut seen);
    flows.push(&segment(70_001, b"three"), &mut seen);
    flows.finish(&mut seen);
    let text: Vec<u8> = seen.streams[0].iter().map(|b| b.unwrap()).collect();
    assert_eq!(text, b"onetwothree");
    assert_eq!(seen.ended, [(1, Ending::Replaced), (2, Ending::Reset), (3, Ending::Open)]);
}

#[test]
fn the_oldest_are_given_up_when_there_are_too_many_and_the_end_that_connects_is_known_by_the_answer() {
    let limits = Limits { flows: 2, ..Limits::default() };
    let (mut flows, mut seen) = (Flows::new(limits), Seen::default());
    for port in [1, 2, 3] {
        flows.push(&Segment { from: addr(port), ..segment(5, b"x") }, &mut seen);
    }
    assert_eq!(seen.ended, [(1, Ending::GivenUp)]);
    assert_eq!(flows.oddities().1, 1);
    assert_eq!(seen.opened, [(1, false), (2, false), (3, false)]);
    // Only the answer to the SYN is in the file.
    let (mut flows, mut seen) = (Flows::new(limits), Seen::default());
    flows.push(&back(Segment { syn: true, ack: Some(8), ..segment(50, b"") }), &mut seen);
    flows.push(&back(segment(51, b"answer")), &mut seen);
    assert_eq!((seen.streams[0].len(), seen.streams[1].len()), (0, 6));
}
