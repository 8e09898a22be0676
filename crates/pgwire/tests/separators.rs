//! Separators between exchanges: the answer behind them is taken whole at any split, and nothing else ahead of it.

use yewroute_pgwire::backend::{Gather, Reply, Spoilt, Step, Verdict};
use yewroute_pgwire::frame::{put, put_text};
use yewroute_pgwire::separator::SeparatorSequence;

const DESCRIBED: &[u8] = b"\0\x01doc\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\0\0\0\0\0\x01";
/// As many as an exchange has at the most.
const MOST: u8 = 2;

fn ready(out: &mut Vec<u8>) {
    put(out, b'Z', |b| b.push(b'I'));
}

fn parameter(out: &mut Vec<u8>, name: &str, value: &str) {
    put(out, b'S', |b| {
        put_text(b, name);
        put_text(b, value);
    });
}

/// A served answer of a db host that has applied so much.
fn served(value: &[u8], applied_ms: &str) -> Vec<u8> {
    let mut out = Vec::new();
    put(&mut out, b'T', |b| b.extend(DESCRIBED));
    put(&mut out, b'D', |b| {
        b.extend(1_u16.to_be_bytes());
        b.extend(u32::try_from(value.len()).unwrap().to_be_bytes());
        b.extend(value);
    });
    put(&mut out, b'C', |b| put_text(b, "SELECT 1"));
    parameter(&mut out, "applied_ms", applied_ms);
    ready(&mut out);
    out
}

/// The answers to so many separators.
fn separated(count: u8) -> Vec<u8> {
    let mut out = Vec::new();
    for _ in 0..count {
        put(&mut out, b'I', |_| {});
        ready(&mut out);
    }
    out
}

/// The answers that come of these bytes, behind an exchange that is over, and how often separators ended.
fn gather(count: u8, pieces: [&[u8]; 2]) -> Result<(Vec<Reply>, u32), Spoilt> {
    let (mut gather, mut buffer) = (Gather::default(), Vec::new());
    put(&mut buffer, b'R', |b| b.extend([0; 4]));
    ready(&mut buffer);
    while let Some((_, len)) = gather.next(&buffer)? {
        buffer.drain(..len);
    }
    gather.expect_separators(count);
    let (mut replies, mut ends) = (Vec::new(), 0);
    for piece in pieces {
        buffer.extend(piece);
        while let Some((step, len)) = gather.next(&buffer)? {
            buffer.drain(..len);
            match step {
                Step::Ready(reply) => replies.push(reply),
                Step::Separated => ends += 1,
                _ => assert!(matches!(step, Step::More), "{step:?}"),
            }
        }
        assert!(ends > 0 || !gather.under_way(&buffer), "a separator's answer is no part of the request's");
    }
    Ok((replies, ends))
}

#[test]
fn an_answer_behind_separators_is_its_own_at_any_split() {
    for count in 1..=MOST {
        let mut bytes = Vec::new();
        // What a db host says of itself ahead of the answer is none of it.
        put(&mut bytes, b'N', |b| b.extend(b"C01000\0\0"));
        parameter(&mut bytes, "applied_ms", "7");
        bytes.extend(separated(count));
        bytes.extend(served(b"own", "1767225600123"));
        for cut in 0..=bytes.len() {
            let (replies, ends) = gather(count, [&bytes[..cut], &bytes[cut..]]).unwrap();
            assert_eq!((replies.len(), ends), (1, 1));
            assert_eq!(replies[0].verdict, Verdict::Served);
            assert_eq!((replies[0].value(), replies[0].applied_ms), (&b"own"[..], Some(1_767_225_600_123)));
        }
    }
}

// Guards against: a second copy of an answer that is taken for the answer to the next request.
#[test]
fn nothing_that_was_written_before_a_separator_was_read_is_taken_for_the_answer_behind_it() {
    let own = served(b"own", "2");
    for count in 1..=MOST {
        let other = MOST + 1 - count;
        let copy = served(b"foreign", "1");
        let mut failed = Vec::new();
        put(&mut failed, b'E', |b| b.extend(b"SERROR\0C53300\0\0"));
        ready(&mut failed);
        let surplus =
            [copy.clone(), failed, separated(count), separated(other), [separated(other), copy].concat()];
        for surplus in surplus {
            let bytes = [surplus, separated(count), own.clone()].concat();
            for cut in 0..=bytes.len() {
                let gathered = gather(count, [&bytes[..cut], &bytes[cut..]]);
                assert!(matches!(gathered, Err(Spoilt::OutOfPlace(_))), "{count}: {gathered:?}");
            }
        }
    }
}

#[test]
fn the_first_exchange_has_none_and_those_that_follow_differ_from_the_one_before() {
    let (mut sequence, mut before) = (SeparatorSequence::default(), u8::MAX);
    for exchange in 0..10 {
        let mut out = Vec::new();
        let count = sequence.put(&mut out);
        assert_eq!(out, b"Q\0\0\0\x05\0".repeat(usize::from(count)));
        assert!(count <= MOST && count != before && (count == 0) == (exchange == 0), "{exchange}: {count}");
        before = count;
    }
}
