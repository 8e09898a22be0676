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
fn single_bytes_take_no_more_room_than_so_many_arrivals() {
    let start = Instant::now();
    let mut arrivals = Arrivals::default();
    for n in 0..1_000 {
        arrivals.append(start + n * STEP, 1);
    }
    assert_eq!(arrivals.kept.len(), MAX_ARRIVALS);
    let now = start + 1_000 * STEP;
    assert_eq!(arrivals.age(now, 1), 1_000 * STEP);
    assert_eq!(arrivals.age(now, 1_000), (1_000 - 63) * STEP, "never counted as later than it came");
    arrivals.remove(1_000);
    assert!(arrivals.kept.is_empty());
}
