//! Guards against: a relay that is held up, and takes the time at which it reads for the time at which something was sent.

use super::*;

const APART: Duration = Duration::from_millis(50);
const HELD_UP: Duration = Duration::from_millis(200);
/// The kernel dates by the wall clock.
const CLOCKS_DIFFER: Duration = Duration::from_millis(5);

#[test]
fn attempts_that_are_read_late_are_dated_by_their_arrival() {
    let host = TcpListener::bind("127.0.0.1:0").unwrap();
    let links = Links::start(&[[host.local_addr().unwrap(); ZONES.len()]], 1).unwrap();
    let mut gateway = TcpStream::connect(links.addr(0, 0)).unwrap();
    // The relay is held up after each piece, and reads the second one only then.
    links.delay(HELD_UP);
    let written: Vec<(Instant, Instant)> = (0..2)
        .map(|number| {
            let before = Instant::now();
            let statement = format!("SELECT 1 /* id=7d{number},d=1000,cluster=2,c=view */");
            gateway.write_all(statement.as_bytes()).unwrap();
            let after = Instant::now();
            thread::sleep(APART);
            (before, after)
        })
        .collect();
    let begun = Instant::now();
    while links.attempts().len() < 2 {
        assert!(begun.elapsed() < 20 * HELD_UP, "{:?}", links.attempts());
        thread::sleep(GRAIN);
    }
    let attempts = links.attempts();
    for (attempt, (before, after)) in attempts.iter().zip(written) {
        let arrived = before - CLOCKS_DIFFER..after + CLOCKS_DIFFER;
        assert!(
            arrived.contains(&attempt.received),
            "{attempt:?} was written between {before:?} and {after:?}"
        );
    }
    let late = attempts[1].from.duration_since(attempts[1].received);
    assert!(late >= HELD_UP - 2 * APART, "read only {late:?} after it came");
}
