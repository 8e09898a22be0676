//! What a further client of a shared statement costs in memory, by the system's count of resident pages.

use yewroute_pgwire::exchange::Dialect;
use yewroute_pgwire::frame::{put, put_text};
use yewroute_pgwire::frontend;
use yewroute_pgwire::session::{Limits, Session, Terms};
use yewroute_pgwire::table::Table;

const CLIENTS: usize = 100_000;
const TEXT: &str = "SELECT doc FROM items WHERE id = $1 /* id=$2,c=flight-view,d=$3,cluster=2 */";

fn resident() -> usize {
    let pages = std::fs::read_to_string("/proc/self/statm").unwrap();
    pages.split(' ').nth(1).unwrap().parse::<usize>().unwrap() * 4096
}

fn main() {
    let limits = Limits { statements: 512, portals: 64, bytes: 512 * 1024 };
    let terms = Terms { extended: true, hosts: Dialect::Extended, limits };
    let mut table = Table::new(4 << 20);
    let mut sessions: Vec<Session> = (0..CLIENTS).map(|_| Session::new(terms)).collect();
    let mut out = Vec::with_capacity(64);
    let mut before = resident();
    println!("bytes of a session that has nothing: {}", size_of::<Session>());
    for round in 1..=8 {
        let mut parse = Vec::new();
        put(&mut parse, b'P', |b| {
            put_text(b, &format!("statement_{round}"));
            put_text(b, &TEXT.replace("items", &format!("items{round}")));
            b.extend([0, 0]);
        });
        let (message, _) = frontend::message(&parse).unwrap().unwrap();
        for session in &mut sessions {
            out.clear();
            session.take(&message, &mut table, &mut out).unwrap();
            assert_eq!(out[0], b'1');
        }
        let after = resident();
        println!("statement {round}: {} bytes a client", (after - before) / CLIENTS);
        before = after;
    }
    println!("statements in the table: {}", table.figures().0);
}
