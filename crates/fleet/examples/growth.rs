//! How bytes, time to notice and time to join grow with the number of gateways: all of them in one process, on a clock of
//! its own, with 0.2 to 3 ms on the way. `cargo run --release -p yewroute-fleet --example growth -- 10 100 300 1000`

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use yewroute_fleet::{Event, Fleet, Health, Id, Stage, Terms};

fn addr(n: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, (n >> 8) as u8, n as u8], 7400))
}

struct Net {
    now: Instant,
    fleets: Vec<Option<Fleet>>,
    due: BTreeMap<(Instant, u64), Due>,
    made: u64,
    rng: ChaCha8Rng,
    gone: Vec<(Instant, usize, String)>,
}

enum Due {
    Datagram(usize, Vec<u8>),
    Tick(usize),
}

impl Net {
    fn put(&mut self, at: Instant, due: Due) {
        self.made += 1;
        self.due.insert((at, self.made), due);
    }

    fn flush(&mut self, n: usize) {
        let Some(mut fleet) = self.fleets[n].take() else { return };
        while let Some((to, datagram)) = fleet.transmit() {
            let std::net::IpAddr::V4(ip) = to.ip() else { continue };
            let to = usize::from(ip.octets()[2]) << 8 | usize::from(ip.octets()[3]);
            let at = self.now + Duration::from_micros(self.rng.random_range(200..3_000));
            self.put(at, Due::Datagram(to, datagram));
        }
        while let Some(event) = fleet.event() {
            if let Event::Gone(id, Health::Down) = event {
                self.gone.push((self.now, n, id.name.into()));
            }
        }
        self.fleets[n] = Some(fleet);
    }

    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(entry) = self.due.first_entry().filter(|entry| entry.key().0 <= end) {
            let ((at, _), due) = entry.remove_entry();
            self.now = at;
            match due {
                Due::Datagram(to, datagram) => {
                    let Some(fleet) = &mut self.fleets[to] else { continue };
                    fleet.receive(at, &datagram);
                    self.flush(to);
                }
                Due::Tick(n) => {
                    let Some(fleet) = &mut self.fleets[n] else { continue };
                    fleet.tick(at);
                    let next = fleet.next().unwrap_or(end).max(at + Duration::from_millis(5));
                    self.flush(n);
                    self.put(next.min(at + Duration::from_millis(50)), Due::Tick(n));
                }
            }
        }
        self.now = end;
    }

    fn bytes(&self) -> u64 {
        self.fleets.iter().flatten().map(|fleet| fleet.counts().sent.1).sum()
    }
}

fn measure(size: usize) {
    let now = Instant::now() + Duration::from_secs(1_000);
    let rng = ChaCha8Rng::seed_from_u64(1);
    let mut net = Net { now, fleets: Vec::new(), due: BTreeMap::new(), made: 0, rng, gone: Vec::new() };
    for n in 0..size {
        let me = Id { name: format!("gateway-{n}").into(), zone: "a".into(), addr: addr(n), incarnation: 1 };
        let seeds = vec![addr(0), addr(1), addr(2)];
        let mut fleet = Fleet::new(now, Terms { me, seeds, key: [1; 32], budget: 1_000, seed: n as u64 });
        fleet.say(now, Stage::Ready);
        net.fleets.push(Some(fleet));
        net.put(now, Due::Tick(n));
        net.flush(n);
    }
    let mut joined = None;
    for tenth in 1..=600 {
        net.run(Duration::from_millis(100));
        let whole = |fleet: &Fleet| fleet.members(net.now).len() == size;
        if joined.is_none() && net.fleets.iter().flatten().all(whole) {
            joined = Some(f64::from(tenth) / 10.0);
        }
    }
    let alarms = net.gone.len();
    let before = net.bytes();
    net.run(Duration::from_secs(30));
    let rate = (net.bytes() - before) as f64 / 30.0 / size as f64;
    // One in a hundred killed, one at the least.
    let killed = (size / 100).max(1);
    (0..killed).for_each(|n| net.fleets[size - 1 - n] = None);
    let (at, alarms_before) = (net.now, net.gone.len());
    net.run(Duration::from_secs(30));
    let mut times: Vec<f64> =
        net.gone[alarms_before..].iter().map(|(when, ..)| (*when - at).as_secs_f64()).collect();
    times.sort_by(f64::total_cmp);
    let quantile = |q: f64| times.get(((times.len() - 1) as f64 * q) as usize).copied().unwrap_or(f64::NAN);
    let heard = times.len() as f64 / (killed * (size - killed)) as f64;
    let all_to_all = 2.0 * (size - 1) as f64 * 60.0;
    println!(
        "{size:>6} | {:>6} | {rate:>7.0} | {all_to_all:>9.0} | {:>5.2} | {:>5.2} | {:>6.3} | {alarms}",
        joined.map_or("-".to_owned(), |s| format!("{s:.1}")),
        quantile(0.5),
        quantile(0.99),
        heard,
    );
}

fn main() {
    println!("  size | joined | bytes/s | all-to-all | p50 s | p99 s | heard of | false alarms in 60 s");
    for size in std::env::args().skip(1).filter_map(|size| size.parse().ok()) {
        measure(size);
    }
}
