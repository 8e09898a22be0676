//! What a request costs in the protocol's state machines, in bytes to bytes: a client's messages read, bound and
//! written for a db host, the host's answer gathered and written for the client. No sockets, no decisions.

// criterion's macros make public functions without a word on them.
#![allow(missing_docs)]

use std::rc::Rc;
use std::time::Duration;

use criterion::{criterion_group, criterion_main, Criterion};
use yewroute_pgwire::backend::{Gather, Step};
use yewroute_pgwire::exchange::{Dialect, Prepared};
use yewroute_pgwire::frame::{put, put_text};
use yewroute_pgwire::frontend;
use yewroute_pgwire::session::{Final, Limits, Session, Terms, Took};
use yewroute_pgwire::table::Table;

const TEXT: &str = "SELECT doc FROM items WHERE id = $1 /* id=$2,c=flight-view,d=$3,cluster=2 */";
const SIMPLE: &str = "SELECT doc FROM items WHERE id = '7f3a9c21e0b4d655' /* id=9b1f03aa5c7e2d41,c=flight-view,d=480,cluster=2 */";
const ONCE: &str =
    "SELECT doc FROM items WHERE id = $1 /* id=9b1f03aa5c7e2d41,c=flight-view,d=480,cluster=2 */";

fn message(kind: u8, body: impl FnOnce(&mut Vec<u8>)) -> Vec<u8> {
    let mut out = Vec::new();
    put(&mut out, kind, body);
    out
}

fn parse(name: &str, text: &str) -> Vec<u8> {
    message(b'P', |b| {
        put_text(b, name);
        put_text(b, text);
        b.extend([0, 0]);
    })
}

fn run(statement: &str, values: &[&str]) -> Vec<u8> {
    let bind = message(b'B', |b| {
        put_text(b, "");
        put_text(b, statement);
        b.extend([0, 0]);
        b.extend((values.len() as u16).to_be_bytes());
        for value in values {
            b.extend((value.len() as u32).to_be_bytes());
            b.extend(value.as_bytes());
        }
        b.extend([0, 1, 0, 1]);
    });
    let execute = message(b'E', |b| b.extend([0; 5]));
    [bind, execute, message(b'S', |_| {})].concat()
}

/// Both sides of a gateway, with a db host that answers as it should.
struct Both {
    session: Session,
    table: Table,
    prepared: Prepared,
    gather: Gather,
    to_host: Vec<u8>,
    to_client: Vec<u8>,
    row: Vec<u8>,
    described: Vec<u8>,
}

impl Both {
    fn new() -> Self {
        let limits = Limits { statements: 512, portals: 64, bytes: 512 * 1024 };
        let session = Session::new(Terms { extended: true, hosts: Dialect::Extended, limits });
        let mut gather = Gather::default();
        let mut welcome = message(b'R', |b| b.extend([0; 4]));
        welcome.extend(message(b'Z', |b| b.push(b'I')));
        while let Some((_, len)) = gather.next(&welcome).unwrap() {
            welcome.drain(..len);
        }
        let mut row = message(b'D', |b| {
            b.extend(b"\0\x01\0\0\x04\0");
            b.extend([7; 1024]);
        });
        row.extend(message(b'C', |b| put_text(b, "SELECT 1")));
        row.extend(message(b'S', |b| b.extend(b"role\0replica\0")));
        row.extend(message(b'S', |b| b.extend(b"applied_ms\x001767225600123\0")));
        row.extend(message(b'Z', |b| b.push(b'I')));
        let described =
            message(b'T', |b| b.extend(b"\0\x01doc\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\0\0\0\0\0\x01"));
        Self {
            session,
            table: Table::new(4 << 20),
            prepared: Prepared::default(),
            gather,
            to_host: Vec::new(),
            to_client: Vec::new(),
            row,
            described,
        }
    }

    /// One round of client bytes; how many bytes the client is answered.
    fn round(&mut self, mut bytes: &[u8]) -> usize {
        self.to_client.clear();
        while let Some((message, len)) = frontend::message(bytes).unwrap() {
            bytes = &bytes[len..];
            let took = self.session.take(&message, &mut self.table, &mut self.to_client).unwrap();
            let Took::Ask(wanted) = took else { continue };
            self.to_host.clear();
            // As the core keeps it: shared with the attempt that is out.
            let body = Rc::new(wanted.body);
            let wait = Duration::from_millis(417);
            let sent =
                self.prepared.put(&mut self.to_host, &mut self.gather, &body, wait, Dialect::Extended, 128);
            let mut answer = Vec::with_capacity(1200);
            match self.to_host[0] {
                b'Q' => answer.extend(&self.described),
                kind => {
                    if kind == b'P' {
                        answer.extend([b'1', 0, 0, 0, 4]);
                    }
                    answer.extend([b'2', 0, 0, 0, 4]);
                }
            }
            answer.extend(&self.row);
            let mut rest = answer.as_slice();
            while let Some((step, len)) = self.gather.next(rest).unwrap() {
                rest = &rest[len..];
                if let Step::Ready(reply) = step {
                    self.prepared.settle(&sent, &reply);
                    let Both { session, table, to_client, .. } = self;
                    session.answered(Final::Served(reply.messages), table, to_client);
                }
            }
        }
        self.to_client.len()
    }
}

fn requests(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("request");
    let simple = message(b'Q', |b| put_text(b, SIMPLE));
    let values = ["7f3a9c21e0b4d655", "9b1f03aa5c7e2d41", "480"];
    let prepared = run("v", &values);
    let unnamed = [parse("", TEXT), run("", &values)].concat();
    let once = [parse("", ONCE), run("", &values[..1])].concat();
    for (name, bytes) in
        [("simple", simple), ("prepared once", prepared), ("unnamed", unnamed), ("unnamed, used once", once)]
    {
        let mut both = Both::new();
        both.round(&parse("v", TEXT));
        assert!(both.round(&bytes) > 1024, "served");
        group.bench_function(name, |b| b.iter(|| both.round(&bytes)));
    }
    group.finish();
}

criterion_group!(benches, requests);
criterion_main!(benches);
