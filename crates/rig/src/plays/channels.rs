//! Contracts on channels' order: what they cost, ten thousand channels at once, and drawn plays of kills, stops, cuts and clients
//! that come back elsewhere, each looked at by checkers of the rig's own.

use std::collections::BTreeMap;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use yewroute_rig::channel_clients::{settings, ChannelClients, Habits, Told};
use yewroute_rig::checks::End;
use yewroute_rig::orders::{
    ended_stays_ended, exclusive, never_twice, never_two_out, order_kept, own_writes_seen, ran_in_order,
};
use yewroute_rig::tcp::Attempt;
use yewroute_rig::world::{Shape, World};
use yewroute_rig::{plan, play, Rig, Setup};
use yewroute_standin::{startup, Client};

use super::{quantile, used, Args, COLD_BUDGET, SETTINGS};

/// Db hosts, and how long they know a key.
const HOSTS: usize = 4;
const WINDOW: Duration = Duration::from_secs(2);
/// One contract of each order; `plain` has none.
const TABLE: &str =
    "contract('orders', classes = ['order'], order = 'numbered', gap_ms = 400, most = 20000, \
                     on_unknown = 'go on')\n\
                     contract('tills', classes = ['pay'], order = 'single', most = 20000)\n\
                     contract('desks', classes = ['note', 'view'], order = 'own-writes', most = 20000)\n";
/// All act by the table, and channels are served again after a play's last fault, within this.
const ACTS_WITHIN: Duration = Duration::from_secs(60);
const SERVED_WITHIN: Duration = Duration::from_secs(20);
/// The least share of requests that are served while faults are played.
const LEAST_SERVED: f64 = 0.4;
/// Requests of each kind whose times are measured; channels at once, and connections that ask for them.
const ROUNDS: u64 = 2_000;
const MANY: usize = 10_000;
const CONNECTIONS: usize = 50;

fn up(args: &Args, relayed: bool, shape: Shape) -> io::Result<(Rig, Arc<World>)> {
    let beside = std::env::current_exe().map(|path| path.with_file_name("yewroute")).unwrap_or_default();
    let program = args.program.clone().unwrap_or(beside);
    let world = World::new(shape, HOSTS, args.processes)?;
    let setup = Setup {
        world: Some(Arc::clone(&world)),
        seed: args.seed,
        relayed,
        federation: true,
        table: TABLE.to_owned(),
        sockets: 1_024,
        ..Setup::new(program, &settings(SETTINGS))
    };
    let mut rig = Rig::new(setup, args.processes)?;
    (0..args.processes).try_for_each(|n| rig.start(n))?;
    let begun = Instant::now();
    while !(0..args.processes).all(|n| rig.table(n)["state"] == "acting" && rig.table(n)["settled"] == true) {
        if begun.elapsed() > ACTS_WITHIN {
            return Err(io::Error::other("not all act by the table"));
        }
        thread::sleep(Duration::from_millis(50));
    }
    Ok((rig, world))
}

/// Plays; the rules that were broken.
///
/// # Errors
/// A gateway does not come up, or the system has no room.
pub fn play(args: &Args) -> io::Result<Vec<String>> {
    if args.alone {
        return costs(args);
    }
    let (mut rig, world) = up(args, true, Shape::default())?;
    let mut broken = Vec::new();
    let mut sum = Sum::default();
    for seed in args.seed..args.seed + args.plays {
        let found = faults(args, &mut rig, &world, seed, &mut sum)?;
        broken.extend(found.into_iter().map(|what| format!("play {seed}: {what}")));
        if !broken.is_empty() {
            break;
        }
    }
    println!(
        "{} plays, {} faults, {} attempts; {} of {} requests served, {} refused, {} failed, {} lost; \
         {} answers with a kept outcome or none out",
        sum.plays,
        sum.faults,
        sum.attempts,
        sum.served,
        sum.asked,
        sum.refused,
        sum.failed,
        sum.lost,
        sum.kept
    );
    Ok(broken)
}

/// What plays came to.
#[derive(Default)]
struct Sum {
    plays: u64,
    faults: usize,
    attempts: usize,
    asked: usize,
    served: usize,
    refused: usize,
    failed: usize,
    lost: usize,
    kept: usize,
}

/// Three sets of clients: numbered orders, tills that send two at a time, desks that read what they wrote.
fn clients(front: &[(usize, SocketAddr)], seed: u64) -> [ChannelClients; 3] {
    let calm = Habits { play: seed, moves: 0.15, ..Habits::default() };
    let tills = Habits { named: 't', keyed: false, classes: ("pay", "view"), doubles: 0.3, ..calm };
    let desks = Habits { named: 'd', keyed: false, classes: ("note", "view"), reads: 0.5, ..calm };
    let orders = Habits { hurries: 0.1, doubles: 0.1, swaps: 0.05, channels: 2, ..calm };
    [(6, orders), (3, tills), (3, desks)]
        .map(|(count, habits)| ChannelClients::start(count, front.to_vec(), habits, seed))
}

/// One play of drawn faults over channels of its own.
fn faults(
    args: &Args,
    rig: &mut Rig,
    world: &Arc<World>,
    seed: u64,
    sum: &mut Sum,
) -> io::Result<Vec<String>> {
    let span = Duration::from_secs(args.calm.min(60));
    let faults = plan::drawn(seed, (args.processes, HOSTS, 3), span);
    let place = |rig: &Rig| rig.running().into_iter().map(|n| (n, rig.clients(n))).collect::<Vec<_>>();
    let front = place(rig);
    let sets = clients(&front, seed);
    let mut known: BTreeMap<usize, SocketAddr> = front.into_iter().collect();
    let follow = |rig: &Rig, known: &mut BTreeMap<usize, SocketAddr>| {
        let now: BTreeMap<usize, SocketAddr> = place(rig).into_iter().collect();
        for gone in known.keys().filter(|n| !now.contains_key(n)) {
            sets.iter().for_each(|set| set.without(*gone));
        }
        for (n, addr) in now.iter().filter(|(n, addr)| known.get(n) != Some(addr)) {
            sets.iter().for_each(|set| set.with(*n, *addr));
        }
        *known = now;
    };
    let report =
        play::play_beside(rig, world, &faults, 0, COLD_BUDGET, seed, |rig, _| follow(rig, &mut known))?;
    follow(rig, &mut known);
    let mut broken = report.broken;
    let healed = Instant::now();
    let goes_on =
        |set: &ChannelClients| set.told().iter().any(|told| told.sent > healed && told.end.1 == End::Served);
    while !sets.iter().all(goes_on) {
        if healed.elapsed() > SERVED_WITHIN {
            broken
                .push(format!("not all kinds of channels are served {SERVED_WITHIN:?} after the last fault"));
            break;
        }
        thread::sleep(Duration::from_millis(20));
    }
    let [orders, tills, desks] = sets.map(ChannelClients::end);
    let attempts = world.links().attempts();
    let of = |named: char| -> Vec<Attempt> {
        let begins = format!("{named}{seed}p");
        // Guards against: one that was given up before the rig saw it, whose place in the order nobody can tell.
        let in_time = |attempt: &Attempt| attempt.to != Some(attempt.from);
        let is = |attempt: &&Attempt| {
            let channel = attempt.hints.channel.as_ref();
            channel.is_some_and(|channel| channel.starts_with(&begins)) && in_time(attempt)
        };
        attempts.iter().filter(is).cloned().collect()
    };
    let mut applied = world.applied();
    applied.retain(|write| write.channel.starts_with(&format!("c{seed}p")));
    let (numbered, single) = (of('c'), of('t'));
    let mut rules = order_kept(&numbered, &orders);
    rules.extend(exclusive(&numbered));
    rules.extend(never_twice(&numbered, WINDOW));
    rules.extend(ended_stays_ended(&numbered, &orders));
    rules.extend(ran_in_order(&applied));
    rules.extend(never_two_out(&single));
    rules.extend(own_writes_seen(&desks));
    rules.sort();
    broken.extend(rules.iter().map(|(at, what)| {
        let ago = healed.saturating_duration_since(*at).as_secs_f64();
        format!("{what}, {ago:.2} s before the last fault's end; of {faults:?}")
    }));
    let all: Vec<&Told> = orders.iter().chain(&tills).chain(&desks).collect();
    let count = |ends: &[End]| all.iter().filter(|told| ends.contains(&told.end.1)).count();
    let served = count(&[End::Served]);
    if (served as f64) < LEAST_SERVED * all.len() as f64 {
        broken.push(format!("{served} of {} requests were served", all.len()));
    }
    let writes = orders.iter().filter(|told| told.end.1 == End::Served).count();
    sum.kept += writes.saturating_sub(applied.len());
    sum.plays += 1;
    sum.faults += faults.len();
    sum.attempts += numbered.len() + single.len();
    (sum.asked, sum.served) = (sum.asked + all.len(), sum.served + served);
    sum.refused += count(&[End::Refused]);
    sum.failed += count(&[End::Failed]);
    sum.lost += count(&[End::Lost, End::Silent, End::Twice]);
    Ok(broken)
}

/// A connection for requests of this rig.
fn connect(rig: &Rig, n: usize) -> io::Result<Client> {
    let mut client = Client::connect(rig.clients(n))?;
    client.stream.set_read_timeout(Some(Duration::from_secs(10)))?;
    client.stream.write_all(&startup())?;
    client.answer();
    Ok(client)
}

/// Asks until it is not told to come back: how long the last try took.
fn ask(client: &mut Client, class: &str, channel: &str, number: u64, refused: &mut u64) -> Option<Duration> {
    let begun = Instant::now();
    loop {
        let id = (u64::from(std::process::id()) << 32) + number + *refused;
        let text = format!(
            "INSERT INTO items (id, doc) VALUES ('7f3a', '\\x9f03') RETURNING doc \
             /* id=9d{id:x},d=3000,cluster=2,c={class},ch={channel},n={number},k={channel}n{number} */"
        );
        let at = Instant::now();
        client.error.clear();
        if !client.ask(&text).ends_with(b"Z") || begun.elapsed() > SERVED_WITHIN {
            return None;
        }
        if client.error.is_empty() {
            return Some(at.elapsed());
        }
        *refused += 1;
    }
}

/// What a first and a later request of a channel pay, and what ten thousand channels take.
fn costs(args: &Args) -> io::Result<Vec<String>> {
    let shape = Shape { service: Duration::ZERO, slots: 64, ..Shape::default() };
    let (rig, world) = up(args, false, shape)?;
    let (mut refused, mut broken) = (0, Vec::new());
    let mut client = connect(&rig, 0)?;
    for number in 1..=200 {
        // Warm: connections to db hosts and between gateways.
        ask(&mut client, "order", &format!("warm{number}"), 1, &mut refused);
    }
    let mut times: [Vec<f64>; 3] = Default::default();
    for number in 1..=ROUNDS {
        let kinds = [
            ("plain", "none".to_owned(), number),
            ("order", "home".to_owned(), number),
            ("order", format!("first{number}"), 1),
        ];
        for (at, (class, channel, number)) in kinds.into_iter().enumerate() {
            let took = ask(&mut client, class, &channel, number, &mut refused);
            times[at].extend(took.map(|took| took.as_secs_f64() * 1e6));
        }
    }
    let names = ["without a contract", "later, at the home", "a channel's first"];
    for (name, times) in names.iter().zip(&mut times) {
        times.sort_by(f64::total_cmp);
        let [mid, most] = [0.5, 0.99].map(|part| quantile(times, part));
        println!("{name}: {} requests, p50 {mid:.0} us, p99 {most:.0} us", times.len());
    }
    let rss = || -> Vec<f64> {
        (0..args.processes).filter_map(|n| Some(used(rig.pid(n)?).ok()?.1 * 1_024.0)).collect()
    };
    let (before, begun) = (rss(), Instant::now());
    let (rig_of, late) = (&rig, std::sync::Mutex::new((0, 0)));
    thread::scope(|scope| {
        for one in 0..CONNECTIONS {
            let late = &late;
            scope.spawn(move || {
                let Ok(mut client) = connect(rig_of, 0) else { return };
                let mut refused = 0;
                for channel in (one..MANY).step_by(CONNECTIONS) {
                    let took = ask(&mut client, "order", &format!("many{channel}"), 1, &mut refused);
                    let mut late = late.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
                    late.0 += usize::from(took.is_none());
                }
                late.lock().unwrap_or_else(std::sync::PoisonError::into_inner).1 += refused;
            });
        }
    });
    let took = begun.elapsed();
    let (lost, refused) = late.into_inner().unwrap_or_default();
    let grown: Vec<f64> = before.iter().zip(rss()).map(|(before, after)| after - before).collect();
    let others = grown[1..].iter().sum::<f64>() / (grown.len() - 1).max(1) as f64;
    // Of each channel's three holders one in so many is each gateway.
    let held = MANY as f64 * 3.0 / args.processes as f64;
    println!(
        "{MANY} channels at one home from {CONNECTIONS} connections: {:.2} s, {refused} told to come back, {lost} not served; \
         resident grows by {:.1} MB there and {:.1} MB at the others: about {:.0} bytes for each record, {:.0} at the home",
        took.as_secs_f64(),
        grown[0] / 1e6,
        others / 1e6,
        others / held,
        (grown[0] - others) / MANY as f64
    );
    if lost > 0 {
        broken.push(format!("{lost} channels were not served"));
    }
    let attempts = world.links().attempts();
    let found = [order_kept(&attempts, &[]), never_two_out(&attempts)].concat();
    let ours = |what: &&(Instant, String)| !what.1.contains("channel none");
    broken.extend(found.iter().filter(ours).take(5).map(|(_, what)| what.clone()));
    Ok(broken)
}
