//! Random requests on one connection to a db host that keeps to the protocol, loses statements and fails them, its
//! bytes split anywhere.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use yewroute_pgwire::backend::{Gather, Reply, Step, Verdict};
use yewroute_pgwire::bind::{bind, Bind, Bound};
use yewroute_pgwire::exchange::{Dialect, Prepared};
use yewroute_pgwire::frame::{next, put, take_text, LONGEST_QUERY};
use yewroute_pgwire::request::Body;
use yewroute_pgwire::table::{Lease, Table};

const MOST: usize = 3;

/// What a db host does with the next request.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Act {
    Serve,
    Lose,
    Fail(&'static str),
}

/// A db host that knows what has been prepared, and takes offence at what no client of it may send.
#[derive(Default)]
struct Host {
    prepared: BTreeSet<String>,
    parses: usize,
}

impl Host {
    fn answer(&mut self, sent: &[u8], act: Act) -> Vec<u8> {
        let (mut out, mut rest, mut skipping) = (Vec::new(), sent, false);
        if act == Act::Lose {
            self.prepared.clear();
        }
        while let Some(frame) = next(rest, LONGEST_QUERY).unwrap() {
            rest = &rest[frame.len..];
            let mut body = frame.body;
            let name = |body: &mut &[u8]| String::from_utf8(take_text(body).unwrap().to_vec()).unwrap();
            let error = |out: &mut Vec<u8>, code: &str| {
                put(out, b'E', |b| b.extend(format!("SERROR\0C{code}\0Mno\0\0").as_bytes()));
                true
            };
            match frame.kind {
                b'S' => {
                    put(&mut out, b'Z', |b| b.push(b'I'));
                    skipping = false;
                }
                _ if skipping => {}
                b'C' => {
                    body = &body[1..];
                    // What has been lost may be closed as well.
                    self.prepared.remove(&name(&mut body));
                    put(&mut out, b'3', |_| {});
                }
                b'P' => {
                    let name = name(&mut body);
                    assert!(name.is_empty() || self.prepared.insert(name.clone()), "prepared twice: {name}");
                    self.parses += 1;
                    put(&mut out, b'1', |_| {});
                }
                b'B' => {
                    let message = bind(body).unwrap();
                    let name = String::from_utf8_lossy(message.statement).into_owned();
                    if name.is_empty() || self.prepared.contains(&name) {
                        put(&mut out, b'2', |_| {});
                    } else {
                        skipping = error(&mut out, "26000");
                    }
                }
                b'E' => match act {
                    Act::Fail(code) => skipping = error(&mut out, code),
                    _ => {
                        put(&mut out, b'D', |b| b.extend(b"\0\x02\0\0\0\x01x\xff\xff\xff\xff"));
                        put(&mut out, b'C', |b| b.extend(b"SELECT 1\0"));
                    }
                },
                other => panic!("message {other}"),
            }
        }
        assert!(self.prepared.len() <= MOST, "more than {MOST} prepared");
        out
    }
}

fn gathered(gather: &mut Gather, bytes: &[u8], cut: usize) -> Reply {
    let (mut buffer, mut reply) = (Vec::new(), None);
    for piece in [&bytes[..cut], &bytes[cut..]] {
        buffer.extend(piece);
        while let Some((step, len)) = gather.next(&buffer).unwrap() {
            buffer.drain(..len);
            if let Step::Ready(ready) = step {
                assert!(reply.replace(ready).is_none(), "one answer");
            }
        }
    }
    reply.expect("an answer")
}

fn bound(statement: &Lease) -> Body {
    let values = vec![Some(&b"77"[..]); statement.types.len()];
    let bind = Bind { portal: b"", statement: b"", formats: vec![], values, results: vec![] };
    Body::Execute(Rc::new(Bound::new(statement.clone(), bind).unwrap()))
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn every_request_has_one_answer_and_no_statement_is_prepared_twice(
        requests in prop::collection::vec(
            (0_usize..6, prop_oneof![
                6 => Just(Act::Serve),
                1 => Just(Act::Lose),
                1 => Just(Act::Fail("23505")),
                1 => Just(Act::Fail("XX000")),
                1 => Just(Act::Fail("25006")),
                1 => Just(Act::Fail("53300")),
            ], any::<prop::sample::Index>()),
            1..40,
        ),
    ) {
        let mut table = Table::new(1 << 20);
        let statements: Vec<Lease> = (0..6)
            .map(|n| {
                // The last is used once, so it goes as the unnamed statement.
                let id = if n == 5 { "fixed" } else { "$2" };
                let text = format!("SELECT a FROM t{n} WHERE id = $1 AND b = $2 /* id={id},c=v,d=$3,cluster=2 */");
                table.lease(text.as_bytes(), &[]).unwrap()
            })
            .collect();
        let (mut host, mut prepared, mut gather) = (Host::default(), Prepared::default(), Gather::default());
        let mut welcome = Vec::new();
        put(&mut welcome, b'R', |b| b.extend([0; 4]));
        put(&mut welcome, b'Z', |b| b.push(b'I'));
        gathered(&mut gather, &welcome, 3);
        for (which, act, cut) in requests {
            let body = bound(&statements[which]);
            let mut again = false;
            let reply = loop {
                let mut out = Vec::new();
                let wait = Duration::from_millis(5);
                let sent = prepared.put(&mut out, &mut gather, &body, wait, Dialect::Extended, MOST);
                let bytes = host.answer(&out, if again && act == Act::Lose { Act::Serve } else { act });
                let reply = gathered(&mut gather, &bytes, cut.index(bytes.len() + 1));
                if !prepared.settle(&sent, &reply) {
                    break reply;
                }
                prop_assert!(!again, "lost once, not twice");
                again = true;
            };
            let wanted = match act {
                Act::Serve | Act::Lose => Verdict::Served,
                Act::Fail("23505") => Verdict::Rejected,
                Act::Fail("25006") => Verdict::Miss,
                Act::Fail("53300") => Verdict::TurnedAway,
                Act::Fail(_) => Verdict::Error,
            };
            prop_assert_eq!(reply.verdict, wanted);
            prop_assert_eq!(reply.messages.first().copied(), match wanted {
                Verdict::Served => Some(b'D'),
                Verdict::Rejected => Some(b'E'),
                _ => None,
            });
            prop_assert!(prepared.len() <= MOST);
        }
    }
}
