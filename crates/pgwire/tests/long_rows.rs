//! Rows that are too long to be held: the same bytes come out at any split, and none that lies about its length is begun.

use yewroute_pgwire::backend::{Gather, Reply, Step, Verdict};
use yewroute_pgwire::frame::{put, put_text, LONGEST_HELD, LONGEST_STREAMED};

const DESCRIBED: &[u8] = b"\0\x01doc\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\0\0\0\0\0\x01";

/// A gather that has had its welcome.
fn welcomed() -> Gather {
    let (mut gather, mut welcome) = (Gather::default(), Vec::new());
    put(&mut welcome, b'R', |b| b.extend([0; 4]));
    put(&mut welcome, b'Z', |b| b.push(b'I'));
    let mut rest = &welcome[..];
    while let Some((_, len)) = gather.next(rest).unwrap() {
        rest = &rest[len..];
    }
    gather
}

/// A served answer whose value has this length; it says another one if `lies`.
fn answer(len: usize, lies: u32) -> Vec<u8> {
    let mut out = Vec::new();
    put(&mut out, b'T', |b| b.extend(DESCRIBED));
    put(&mut out, b'D', |b| {
        b.extend(1_u16.to_be_bytes());
        b.extend((u32::try_from(len).unwrap() + lies).to_be_bytes());
        b.extend((0..len).map(|n| (n ^ (n >> 8)) as u8));
    });
    put(&mut out, b'C', |b| put_text(b, "SELECT 1"));
    put(&mut out, b'S', |b| {
        put_text(b, "applied_ms");
        put_text(b, "1767225600123");
    });
    put(&mut out, b'Z', |b| b.push(b'I'));
    out
}

/// What is passed on when the bytes come in pieces of this size, whether it was begun early, and the end.
fn pass(bytes: &[u8], size: usize) -> Result<(Vec<u8>, bool, Reply), String> {
    let (mut gather, mut buffer, mut passed, mut begun) = (welcomed(), Vec::new(), Vec::new(), false);
    for piece in bytes.chunks(size) {
        buffer.extend(piece);
        while let Some((step, len)) = gather.next(&buffer).map_err(|e| e.to_string())? {
            match step {
                Step::More | Step::Separated => {}
                Step::Begins(head) => {
                    begun = true;
                    passed.extend(head);
                }
                Step::Part => passed.extend(&buffer[..len]),
                Step::Ready(reply) => {
                    passed.extend(&reply.messages);
                    return Ok((passed, begun, reply));
                }
            }
            buffer.drain(..len);
        }
    }
    Err(format!("not over after {} bytes", passed.len()))
}

#[test]
fn a_long_row_comes_out_byte_for_byte_at_any_split_and_what_follows_is_still_learnt() {
    let bytes = answer(LONGEST_HELD + 1, 0);
    // The description, the row and the tag go on; the parameter and ReadyForQuery do not.
    let tail = bytes.windows(11).position(|w| w == b"applied_ms\0").unwrap() - 5;
    for size in [1, 2, 3, 7, 4_093, 32 * 1024, bytes.len()] {
        let (passed, begun, reply) = pass(&bytes, size).unwrap();
        assert!(begun && passed == bytes[..tail], "pieces of {size}");
        assert_eq!((reply.verdict, reply.applied_ms), (Verdict::Served, Some(1_767_225_600_123)));
    }
    let (passed, begun, _) = pass(&answer(LONGEST_HELD, 0), 1_000).unwrap();
    assert!(!begun && passed.len() > LONGEST_HELD, "one that can be held is not begun");
}

#[test]
fn a_long_row_that_lies_or_is_beyond_all_bounds_is_never_begun_and_one_cut_short_is_known() {
    assert_eq!(pass(&answer(LONGEST_HELD + 1, 1), 1_000).unwrap_err(), "malformed inside of message 0x44");
    let bytes = answer(LONGEST_HELD + 1, 0);
    let half = bytes.len() / 2;
    assert_eq!(pass(&bytes[..half], 1_000).unwrap_err(), format!("not over after {half} bytes"));
    let mut huge = bytes;
    let row_at = 5 + DESCRIBED.len();
    huge[row_at + 1..row_at + 5].copy_from_slice(&(LONGEST_STREAMED as u32 + 1).to_be_bytes());
    assert!(pass(&huge, 1_000).unwrap_err().starts_with("invalid message length"));
}

// Guards against: bytes set aside for all of a value that is passed on as it comes, when its head comes in two pieces.
#[test]
fn the_length_of_a_long_row_is_no_bytes_that_an_answer_takes() {
    let answer = answer(100_000, 0);
    let description = 1 + u32::from_be_bytes(answer[1..5].try_into().unwrap()) as usize;
    let mut gather = welcomed();
    assert_eq!(gather.stated(&answer), Some(description));
    assert!(matches!(gather.next(&answer[..description]), Ok(Some((Step::More, _)))));
    for came in 0..11 {
        let head = &answer[description..description + came];
        assert_eq!((gather.stated(head), gather.next(head)), (None, Ok(None)), "{came} bytes of its head");
    }
}
