//! What a db host says of itself with an answer: what cannot be read is passed over, and the rest stays.

use yewroute_pgwire::backend::{Gather, Reply, Role, Step};

const DESCRIBED: &[u8] = b"\0\x01doc\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\0\0\0\0\0\x01";

fn message(kind: u8, body: &[u8]) -> Vec<u8> {
    let len = u32::try_from(body.len() + 4).unwrap().to_be_bytes();
    [&[kind], &len[..], body].concat()
}

/// A whole answer that comes with these values.
fn answer(values: &[(&str, &[u8])]) -> Reply {
    let value =
        |(name, value): &(&str, &[u8])| message(b'S', &[name.as_bytes(), b"\0", value, b"\0"].concat());
    let answer = [
        message(b'T', DESCRIBED),
        message(b'D', b"\0\x01\0\0\0\x02hi"),
        message(b'C', b"INSERT 0 1\0"),
        values.iter().flat_map(value).collect(),
        message(b'Z', b"I"),
    ];
    let welcome = [message(b'R', &[0; 4]), message(b'Z', b"I")];
    let bytes = [welcome.concat(), answer.concat()].concat();
    let (mut gather, mut used, mut replies) = (Gather::default(), 0, Vec::new());
    while let Some((step, len)) = gather.next(&bytes[used..]).expect("in place") {
        used += len;
        if let Step::Ready(reply) = step {
            replies.push(reply);
        }
    }
    assert_eq!((used, replies.len()), (bytes.len(), 2));
    replies.pop().unwrap()
}

// Guards against: a session's read from before its write, whose commit is lost with a load report that cannot be read.
#[test]
fn a_load_report_that_cannot_be_read_leaves_role_and_position() {
    for loads in [&[&b"\xff"[..]][..], &[b"x0=1,x1=1", b"x0=2,x1=1"]] {
        let mut values: Vec<(&str, &[u8])> = loads.iter().map(|load| ("load", *load)).collect();
        values.extend([("role", &b"primary"[..]), ("applied_ms", b"1767225600123")]);
        let reply = answer(&values);
        assert_eq!((reply.role, reply.applied_ms), (Some(Role::Primary), Some(1_767_225_600_123)));
        assert_eq!(reply.load, None, "{loads:?}");
    }
}

#[test]
fn a_role_or_position_that_cannot_be_read_takes_the_rest_with_it() {
    let sound: [(&str, &[u8]); 3] =
        [("role", b"primary"), ("applied_ms", b"1767225600123"), ("load", b"x0=1")];
    for spoilt in [("role", &b"\xff"[..]), ("applied_ms", b"-1"), ("role", b"replica"), ("applied_ms", b"7")]
    {
        let reply = answer(&[&sound[..], &[spoilt]].concat());
        assert_eq!((reply.role, reply.applied_ms, reply.load), (None, None, None), "{spoilt:?}");
    }
    let reply = answer(&sound);
    assert_eq!(reply.role, Some(Role::Primary));
    assert!(reply.applied_ms.is_some() && reply.load.is_some());
}
