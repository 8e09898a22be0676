//! CPU time of the gateway's process per request with the fleet on against off, turn by turn: two gateways before the same
//! db hosts, one of them among five others. `cargo bench -p yewroute-gateway --bench fleet`

#[path = "../tests/common/mod.rs"]
mod common;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::thread;
use std::time::Duration;

use common::*;
use yewroute_rig::{Rig, Setup};

const CLIENTS: usize = 8;
const REQUESTS: usize = 100;
const TURNS: usize = 20;

/// What the process has run so far, in nanoseconds of the first field of schedstat.
fn ran(pid: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/schedstat")).unwrap();
    text.split(' ').next().unwrap().parse().unwrap()
}

fn load(addr: SocketAddr) {
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            thread::spawn(move || {
                let mut client = Client::raw(addr);
                client.write(&startup());
                client.answer();
                (0..REQUESTS).for_each(|_| drop(client.ask(&statement("view", 900, ""))));
            })
        })
        .collect();
    clients.into_iter().for_each(|client| client.join().unwrap());
}

fn main() {
    let host = |primary| {
        Host::start(move |query| match well(primary, query) {
            Do::Say(bytes) if query != "SHOW load" => Do::SayLater(Duration::from_millis(4), bytes),
            answer => answer,
        })
    };
    let (primary, replica) = (host(true), host(false));
    let known = pair(&primary, &replica);
    let off = Gateway::with_edge(&known, "hosts()");
    let program = PathBuf::from(env!("CARGO_BIN_EXE_yewroute"));
    let settings = include_str!("../tests/common/settings.json");
    let setup = Setup { known, relayed: false, ..Setup::new(program, settings) };
    let mut rig = Rig::new(setup, 6).unwrap();
    let all: Vec<usize> = (0..6).collect();
    all.iter().for_each(|n| rig.start(*n).unwrap());
    rig.until("all see each other", Duration::from_secs(10), |rig| rig.all_see(&all, &all, "alive"));
    let sides = [(off.pid(), off.addr), (rig.pid(0).unwrap(), rig.clients(0))];
    let mut turns = [const { Vec::new() }; 2];
    for turn in 0..=TURNS {
        for ((pid, addr), turns) in sides.iter().zip(&mut turns) {
            let before = ran(*pid);
            load(*addr);
            if turn > 0 {
                turns.push((ran(*pid) - before) as f64 / 1000.0 / (CLIENTS * REQUESTS) as f64);
            }
        }
    }
    let [off, on] = turns.map(|mut turns| {
        turns.sort_by(f64::total_cmp);
        turns[TURNS / 2]
    });
    println!("CPU per request: {off:.1} us off, {on:.1} us on, ratio {:.3}", on / off);
}
