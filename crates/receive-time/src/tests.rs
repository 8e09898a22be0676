use std::io::Write;
use std::net::TcpListener;
use std::thread;

use super::*;

/// Both ends of a connection.
fn connected() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let near = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    (near, listener.accept().unwrap().0)
}

/// The kernel begins to note times a moment after the first socket of the machine has asked it to.
fn wait_until_noted(near: &mut TcpStream, far: &TcpStream) {
    const UNREAD: Duration = Duration::from_millis(20);
    const ATTEMPTS: usize = 250;
    let noted = (0..ATTEMPTS).any(|_| {
        near.write_all(b"?").unwrap();
        let sent = Instant::now();
        thread::sleep(UNREAD);
        let (_, received) = Receiver::default().read(far, &mut [0; 16]).unwrap();
        received < sent + UNREAD / 2
    });
    assert!(noted, "the kernel notes no times");
}

#[test]
fn bytes_are_dated_when_they_came_and_not_when_they_are_read() {
    let (mut near, far) = connected();
    enable(&far);
    wait_until_noted(&mut near, &far);
    let before = Instant::now();
    near.write_all(b"request").unwrap();
    let after = Instant::now();
    thread::sleep(Duration::from_millis(200));
    let (len, received) = Receiver::default().read(&far, &mut [0; 16]).unwrap();
    assert_eq!(len, 7);
    // The two clocks are not read in the same instant.
    let blur = Duration::from_millis(20);
    assert!(before - blur <= received && received <= after + blur, "{:?}", received - before);
}

#[test]
fn connection_without_times_is_dated_by_the_read() {
    let (mut near, far) = connected();
    near.write_all(b"request").unwrap();
    let before = Instant::now();
    let (_, received) = Receiver::default().read(&far, &mut [0; 16]).unwrap();
    assert!(received >= before);
}

#[test]
fn moment_that_has_not_come_is_none() {
    let now = Instant::now();
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    assert_eq!(monotonic(now, unix + Duration::from_secs(60)), None);
    assert!(monotonic(now, unix - Duration::from_millis(500)).is_some_and(|at| at < now));
}
