//! Arrival times of messages that lie behind others.

use super::*;

const STEP: Duration = Duration::from_millis(100);

#[test]
fn a_message_has_arrived_with_its_last_byte_whatever_was_taken_before_it() {
    let start = Instant::now();
    let mut arrivals = Arrivals::default();
    arrivals.append(start, 10);
    arrivals.append(start + STEP, 10);
    let now = start + 3 * STEP;
    assert_eq!(arrivals.age(now, 10), 3 * STEP);
    assert_eq!(arrivals.age(now, 11), 2 * STEP, "its last byte came with the second read");
    assert_eq!(arrivals.age(now, 21), Duration::ZERO, "it is not all there");
    arrivals.remove(15);
    assert_eq!(arrivals.age(now, 5), 2 * STEP);
    arrivals.remove(5);
    assert_eq!(arrivals.age(now, 1), Duration::ZERO);
    arrivals.append(now, 4);
    assert_eq!(arrivals.age(now + STEP, 4), STEP);
}

#[test]
fn single_bytes_take_no_more_room_than_so_many_arrivals_and_none_counts_as_later_than_it_came() {
    const BYTES: u32 = 1_000;
    let start = Instant::now();
    let mut arrivals = Arrivals::default();
    for n in 0..BYTES {
        arrivals.append(start + n * STEP, 1);
        assert!(arrivals.kept.len() <= MAX_ARRIVALS);
        let now = start + n * STEP;
        assert_eq!(arrivals.age(now, n as usize + 1), Duration::ZERO, "the newest is dated as it came");
    }
    let now = start + BYTES * STEP;
    assert_eq!(arrivals.age(now, 1), BYTES * STEP);
    for n in 0..BYTES {
        let (age, came) = (arrivals.age(now, n as usize + 1), (BYTES - n) * STEP);
        assert!(age >= came, "never counted as later than it came");
    }
    arrivals.remove(BYTES as usize);
    assert!(arrivals.kept.is_empty());
}

// Guards against: a message refused at its last byte, as that was dated by the sixty-fourth of its pieces.
#[test]
fn a_message_in_many_pieces_behind_another_is_dated_by_its_own_end() {
    let start = Instant::now();
    let mut arrivals = Arrivals::default();
    arrivals.append(start, 10);
    for n in 1..=300 {
        arrivals.append(start + n * STEP, 1);
    }
    arrivals.remove(10);
    assert_eq!(arrivals.age(start + 301 * STEP, 300), STEP);
}
