//! Memory that is set aside for long statements: who waits for it and how long, and when it is given back.

mod common;

use std::thread;
use std::time::{Duration, Instant};

use common::*;

const SERVED: &[u8] = b"TDCZ";
/// The longest value that occurs; in a statement it stands in hexadecimal, twice as long.
const LONGEST_VALUE: usize = 4 * 1024 * 1024;
/// A value whose statement is just long enough that bytes are set aside for it.
const SHORTEST_VALUE: usize = 48 * 1024;
/// How long the clients of orders wait.
const ORDER_WAIT_MS: u32 = 3_000;
/// The rules' slack: an answer that comes later counts as lost.
const ANSWER_SLACK: Duration = Duration::from_millis(500);

fn order_wait() -> Duration {
    Duration::from_millis(ORDER_WAIT_MS.into())
}

/// The message of an order with a value of so many bytes.
fn order(value: usize, more: &str) -> Vec<u8> {
    let text = statement("order", ORDER_WAIT_MS, more).replace("9f03", &"9f".repeat(value));
    frame(b'Q', &[text.as_bytes(), b"\0"].concat())
}

/// A gateway with so much memory before a primary of this script and a replica.
fn start(memory_mb: u32, primary: &Host, replica: &Host) -> Gateway {
    let gateway = Gateway::operated(&pair(primary, replica));
    gateway.reload(r#""memory_mb":192"#, &format!(r#""memory_mb":{memory_mb}"#));
    gateway.logs("SIGHUP: configuration read again");
    gateway
}

/// Writes these messages at once, and reads an answer to each.
fn pipeline(mut client: Client, messages: Vec<Vec<u8>>) -> thread::JoinHandle<Vec<Vec<u8>>> {
    thread::spawn(move || {
        let mut stream = client.stream.try_clone().unwrap();
        let expected = messages.len();
        let writer = thread::spawn(move || drop(std::io::Write::write_all(&mut stream, &messages.concat())));
        let answers = (0..expected).map(|_| client.answer()).collect();
        writer.join().unwrap();
        answers
    })
}

// Guards against: a client whose second long statement waits for the memory of its first, which has been answered; nobody's
// long statement was read for 20 s.
#[test]
fn two_long_statements_at_once_on_a_connection_do_not_wait_for_themselves() {
    let (primary, replica) = (Host::well(true), Host::well(false));
    for (memory_mb, clients) in [(32, 1), (64, 2)] {
        let gateway = start(memory_mb, &primary, &replica);
        let pipelines: Vec<_> = (0..clients)
            .map(|_| {
                let messages = (0..2).map(|_| order(LONGEST_VALUE, ",k=long")).collect();
                pipeline(gateway.client(), messages)
            })
            .collect();
        for answers in pipelines {
            assert_eq!(answers.join().unwrap(), [SERVED, SERVED], "{memory_mb} MB: {}", gateway.log());
        }
        let (mut client, since) = (gateway.client(), Instant::now());
        client.write(&order(SHORTEST_VALUE, ",k=behind"));
        assert_eq!(client.answer(), SERVED, "{memory_mb} MB: {}", gateway.log());
        assert!(since.elapsed() < order_wait() + ANSWER_SLACK, "{memory_mb} MB: {:?}", since.elapsed());
    }
}
