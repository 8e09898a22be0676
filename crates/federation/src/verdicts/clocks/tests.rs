//! The age of messages by round trips: never less than it is, and nothing where none has been made.

use super::*;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A question that was asked and answered then, by a process whose clock showed this on its way.
fn trip(incarnation: u64, asked_ms: u64, answered_ms: u64, its_ms: u64) -> RoundTrip {
    RoundTrip { incarnation, asked_ms, answered_ms, its_ms }
}

#[test]
fn how_late_a_message_is_follows_from_both_clocks_and_a_round_trip() {
    let mut clocks = PeerClocks::default();
    assert_eq!(clocks.age("g1", 1, 1_000, 5_010), None, "nobody was asked");
    // Its clock is 4 s behind; the question took 3 ms, the answer 2 ms.
    clocks.learn("g1", trip(1, 5_000, 5_005, 1_003));
    let ages = [(1_000, 5_010, 14), (2_000, 6_000, 4), (3_000, 7_020, 25), (4_000, 13_000, 5_007)];
    for (sent, came, age) in ages {
        assert_eq!(clocks.age("g1", 1, sent, came), Some(ms(age)), "sent {sent}");
    }
    assert_eq!(clocks.age("g1", 2, 10, 14_000), None, "another life has another clock");
    // A clock that is faster by 100 in a million, measured each minute: a day later it is 8.6 s ahead, and nothing is late.
    let mut clocks = PeerClocks::default();
    let fast = |at: u64| at + at / 10_000;
    for minute in 0..24 * 60 {
        let at = minute * 60_000;
        clocks.learn("g1", trip(1, at, at + 2, fast(at + 1)));
        let age = clocks.age("g1", 1, fast(at + 30_000), at + 30_001).unwrap();
        assert!(age <= ms(30), "minute {minute}: {age:?}");
    }
    let sent = 24 * 3_600_000;
    assert!(clocks.age("g1", 1, fast(sent), sent + 5_000) > Some(ms(4_900)), "this one is");
}

#[test]
fn a_message_is_never_taken_for_younger_than_it_is_however_long_ways_take() {
    // The clock of the other is off by this, ways there and back take so long, and so long the message itself.
    for behind in [-7_000_i64, 0, 7_000] {
        for (there, back) in [(0, 0), (1, 5_000), (5_000, 1), (300, 300)] {
            for took in [0, 1, 50, 5_000] {
                let its = |own: u64| u64::try_from(i64::try_from(own).unwrap() - behind).unwrap();
                let asked = 20_000;
                let mut clocks = PeerClocks::default();
                clocks.learn("g1", trip(1, asked, asked + there + back, its(asked + there)));
                let sent = 40_000;
                let age = clocks.age("g1", 1, its(sent), sent + took).unwrap();
                assert!(age >= ms(took), "{age:?} for {took} ms");
                // At most by the question's way and what the clocks may have drifted in 20 s.
                assert!(age <= ms(took + there + 15), "{age:?} for {took} ms, {there} ms there");
            }
        }
    }
}

#[test]
fn late_messages_of_a_member_that_was_declared_down_for_it_are_late_when_it_is_back() {
    let mut clocks = PeerClocks::default();
    clocks.learn("g1", trip(7, 1_000, 1_002, 1_001));
    let absent = |name: &str| name != "g1";
    // Declared down, and listed again under another incarnation; its process and its clock are the same.
    clocks.forget_absent(12_000, absent);
    clocks.forget_absent(13_000, |_| true);
    assert!(clocks.age("g1", 7, 5_000, 14_000) > Some(ms(4_900)));
    clocks.forget_absent(14_000 + 59_000, absent);
    assert!(clocks.age("g1", 7, 64_000, 73_000) > Some(ms(4_900)));
    clocks.forget_absent(73_000 + 60_000, absent);
    assert_eq!(clocks.age("g1", 7, 131_000, 140_000), None, "long absent, it is asked anew");
}

#[test]
fn a_round_trip_counts_for_a_minute_and_a_slow_one_is_repeated() {
    let mut clocks = PeerClocks::default();
    clocks.learn("g1", trip(1, 10_000, 10_400, 10_390));
    assert!(clocks.is_measured("g1", 1, 69_999) && !clocks.is_measured("g1", 1, 70_000));
    assert!(!clocks.is_measured("g1", 2, 11_000) && !clocks.is_measured("g2", 1, 11_000));
    assert!(!clocks.is_coarse("g1", 10_999) && clocks.is_coarse("g1", 11_000));
    assert_eq!(
        clocks.age("g1", 1, 12_000, 12_000),
        Some(ms(391)),
        "older by what the question took, and drift"
    );
    clocks.learn("g1", trip(1, 12_000, 12_003, 12_001));
    assert!(!clocks.is_coarse("g1", 20_000));
    assert_eq!(clocks.age("g1", 1, 13_000, 13_000), Some(ms(2)));
    // A worse one does not replace what is known better.
    clocks.learn("g1", trip(1, 14_000, 14_900, 14_800));
    assert!(clocks.age("g1", 1, 15_000, 15_000) <= Some(ms(5)));
}
