//! What db hosts that hang cost many gateways, with verdicts and, by `--alone`, without; and whether any is judged away that
//! serves.

use std::io::{self, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use yewroute_rig::world::{Ail, Shape, World};
use yewroute_rig::Setup;
use yewroute_standin::{frame, startup, Client};

use super::{mean, quantile, total, Args, Stage};

/// A primary and six replicas, of which the one after the first hangs.
const HOSTS: usize = 7;
const ILL: usize = 2;
/// How long a read waits.
const WAIT: Duration = Duration::from_millis(1_000);
/// How long it hangs, and each spell of calm before and after.
const HANGS: Duration = Duration::from_secs(10);
const CALM: Duration = Duration::from_secs(5);
/// It hangs every so long for half of that, so many times.
const EVERY: Duration = Duration::from_secs(2);
const TIMES: u32 = 30;
/// How long the whole group hangs, and how often what is held is looked at.
const GROUP_HANGS: Duration = Duration::from_secs(4);
const LOOK: Duration = Duration::from_millis(50);
const SECOND: Duration = Duration::from_secs(1);
/// Requests that may be lost in each zone that sees it within the first second, by the issue.
const GOAL: usize = 2;
/// More than that in one second are a broken rule: what was out when it began to hang, on a crowded machine.
const SLACK: usize = 4;

pub fn setup(args: &Args, of: Setup) -> io::Result<Setup> {
    let many = args.processes;
    Ok(Setup {
        world: Some(World::new(Shape::default(), HOSTS, many)?),
        relayed: false,
        federation: !args.alone,
        federation_keys: format!("connections = {}", (2 * many).clamp(64, 1_024)),
        sockets: 256 + 4 * many,
        ..of
    })
}

/// What clients saw.
#[derive(Default)]
struct Seen {
    over: AtomicBool,
    served: AtomicUsize,
    refused: AtomicUsize,
    /// When reads were sent that were refused or lost, and how long that took.
    waited: Mutex<Vec<(Instant, Duration)>>,
}

fn reads(gateway: usize, addr: SocketAddr, seed: u64, pause: Duration, seen: &Seen) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ (gateway as u64) << 20);
    let mut open: Option<Client> = None;
    let mut number = 0;
    while !seen.over.load(Ordering::SeqCst) {
        // As requests that come by chance: pauses are exponential.
        thread::sleep(pause.mul_f64(-f64::ln(rng.random_range(0.001..1.0))));
        if open.is_none() {
            open = Client::connect(addr)
                .ok()
                .filter(|client| client.stream.set_read_timeout(Some(2 * WAIT)).is_ok());
            let said = open
                .as_mut()
                .is_some_and(|c| c.stream.write_all(&startup()).is_ok() && c.answer().ends_with(b"Z"));
            open = open.filter(|_| said);
        }
        let Some(client) = &mut open else { continue };
        number += 1;
        let text = format!(
            "SELECT doc FROM items WHERE id = '7f3a' /* id=v{gateway}x{number},d={},cluster=2,c=view */",
            WAIT.as_millis()
        );
        let query = frame(b'Q', &[text.as_bytes(), b"\0"].concat());
        let start = Instant::now();
        let sent = client.stream.write_all(&query).is_ok();
        let answer = if sent { client.answer() } else { Default::default() };
        let count = if answer.contains(&b'D') { &seen.served } else { &seen.refused };
        count.fetch_add(1, Ordering::SeqCst);
        if !answer.contains(&b'D') {
            lock(&seen.waited).push((start, start.elapsed()));
        }
        open = open.filter(|_| !answer.is_empty());
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Clients that read, and what they saw.
struct Readers(Arc<Seen>, Vec<JoinHandle<()>>);

impl Readers {
    /// One before each gateway.
    fn start(stage: &Stage) -> Self {
        let (seen, pause) = (Arc::new(Seen::default()), SECOND.div_f64(stage.args.rate));
        let one = |n: &usize| {
            let (n, addr, seed, seen) = (*n, stage.rig.clients(*n), stage.args.seed, Arc::clone(&seen));
            thread::spawn(move || reads(n, addr, seed, pause, &seen))
        };
        let threads = stage.all.iter().map(one).collect();
        Self(seen, threads)
    }

    fn end(self) {
        self.0.over.store(true, Ordering::SeqCst);
        self.1.into_iter().for_each(|thread| drop(thread.join()));
        let (served, refused) = (self.0.served.load(Ordering::SeqCst), self.0.refused.load(Ordering::SeqCst));
        println!("{served} reads served, {refused} refused or lost");
    }
}

/// How many db hosts the gateways hold judged away.
fn away(stage: &Stage) -> Vec<u64> {
    stage.all.iter().map(|n| stage.rig.figure(*n, "svc_federation_away").unwrap_or(0)).collect()
}

pub fn run(stage: &mut Stage) -> io::Result<()> {
    let world = Arc::clone(stage.world.as_ref().expect("set up above"));
    let readers = Readers::start(stage);
    thread::sleep(CALM);
    let calm = world.links().attempts().iter().filter(|a| !a.writes).count();
    println!("calm: {:.0} attempts a second", calm as f64 / CALM.as_secs_f64());
    spell(stage, &world, "hangs for all", None, 3);
    spell(stage, &world, "hangs for zone b", Some("b"), 1);
    whole_group(stage, &world, &readers.0);
    again_and_again(stage, &world);
    readers.end();
    Ok(())
}

/// Nothing ails, while threads beside keep the processors busy.
pub fn wrong(stage: &mut Stage) -> io::Result<()> {
    let over = Arc::new(AtomicBool::new(false));
    let busy = |over: Arc<AtomicBool>| {
        thread::spawn(move || {
            let mut sum = 0_u64;
            while !over.load(Ordering::Relaxed) {
                sum = std::hint::black_box(sum.wrapping_mul(31).wrapping_add(7));
            }
        })
    };
    let beside: Vec<_> = (0..stage.args.busy).map(|_| busy(Arc::clone(&over))).collect();
    let readers = Readers::start(stage);
    thread::sleep(CALM);
    let (start, lasts) = (Instant::now(), Duration::from_secs(stage.args.calm));
    let (mut before, mut wrong) = (vec![0; stage.all.len()], 0_u64);
    while start.elapsed() < lasts {
        let held = away(stage);
        let more: u64 =
            held.iter().zip(&before).map(|(now, was): (&u64, &u64)| now.saturating_sub(*was)).sum();
        if more > 0 {
            println!("{:.1} s: judged away {held:?}", start.elapsed().as_secs_f64());
        }
        (wrong, before) = (wrong + more, held);
        thread::sleep(LOOK);
    }
    over.store(true, Ordering::Relaxed);
    beside.into_iter().for_each(|thread| drop(thread.join()));
    readers.end();
    let [told, trials] =
        ["told", "trials"].map(|of| total(&stage.rig, &stage.all, &format!("svc_federation_{of}_total")));
    println!("{wrong} times a db host was judged away that serves; words told {told} times, {trials} trials");
    if wrong > 0 {
        stage.broken.push(format!("{wrong} wrong verdicts"));
    }
    Ok(())
}

/// All hang, and are well again.
fn whole_group(stage: &mut Stage, world: &World, seen: &Seen) {
    let start = Instant::now();
    (0..HOSTS).for_each(|host| world.ails(host, Ail::Hangs, None));
    let mut most = 0;
    while start.elapsed() < GROUP_HANGS {
        most = away(stage).into_iter().max().unwrap_or(0).max(most);
        thread::sleep(LOOK);
    }
    (0..HOSTS).for_each(|host| world.well(host));
    let end = Instant::now();
    thread::sleep(3 * CALM);
    let attempts: Vec<_> = world.links().attempts().into_iter().filter(|a| a.from >= start).collect();
    let sent = |from: Duration, to: Duration| {
        attempts.iter().filter(|a| (start + from..start + to).contains(&a.from)).count()
    };
    let mut waited: Vec<f64> =
        lock(&seen.waited).iter().filter(|of| of.0 >= start).map(|of| of.1.as_secs_f64()).collect();
    waited.sort_by(f64::total_cmp);
    println!(
        "the whole group hangs for {GROUP_HANGS:?}: {} sent there in the first second, {} later; {} refused or lost after \
         {:.2} s in the mean, {:.2} s at the most; {most} judged away at the most",
        sent(Duration::ZERO, SECOND),
        sent(SECOND, GROUP_HANGS),
        waited.len(),
        mean(&waited),
        quantile(&waited, 1.0)
    );
    // When each gateway's reads at each host came back.
    let mut firsts: Vec<f64> = Vec::new();
    for (n, host) in stage.all.iter().flat_map(|n| (1..HOSTS).map(move |host| (*n, host))) {
        let own = attempts.iter().filter(|a| a.link == (n, host) && a.from >= end).map(|a| a.from - end);
        firsts.push(own.min().map_or(f64::INFINITY, |first| first.as_secs_f64()));
    }
    firsts.sort_by(f64::total_cmp);
    let [mid, most_of, last] = [0.5, 0.9, 1.0].map(|part| quantile(&firsts, part));
    println!("back: a gateway's first read at a host after {mid:.1} s (p50), {most_of:.1} s (p90), {last:.1} s (all)");
    if !stage.args.alone && most as usize > HOSTS / 3 {
        stage.broken.push(format!("{most} of {HOSTS} judged away"));
    }
}

/// The host hangs again and again.
fn again_and_again(stage: &mut Stage, world: &World) {
    let start = Instant::now();
    for _ in 0..TIMES {
        world.ails(ILL, Ail::Hangs, None);
        thread::sleep(EVERY / 2);
        world.well(ILL);
        thread::sleep(EVERY / 2);
    }
    let into = world.into_ailing(|_| true).iter().filter(|a| a.link.1 == ILL && a.from >= start).count();
    let all = world.links().attempts().iter().filter(|a| a.link.1 == ILL && a.from >= start).count();
    println!("hangs every 2 s for a minute: {into} lost, {} served there between", all - into);
    if !stage.args.alone && into > TIMES as usize * (3 * GOAL + SLACK) {
        stage.broken.push(format!("{into} lost in {TIMES} times"));
    }
}

/// The host hangs for a while and is well again; what went there, and when it has its share back.
fn spell(stage: &mut Stage, world: &World, what: &str, zone: Option<&str>, zones: usize) {
    let start = Instant::now();
    world.ails(ILL, Ail::Hangs, zone);
    thread::sleep(HANGS);
    world.well(ILL);
    let end = Instant::now();
    thread::sleep(CALM);
    let meant = |n: usize| zone.is_none_or(|zone| stage.rig.zone(n) == zone);
    let attempts: Vec<_> = world
        .links()
        .attempts()
        .into_iter()
        .filter(|a| a.link.1 == ILL && meant(a.link.0) && a.from >= start)
        .collect();
    let lost = |from: Duration, to: Duration| {
        attempts.iter().filter(|a| a.from < end && (start + from..start + to).contains(&a.from)).count()
    };
    let (second, rest) = (lost(Duration::ZERO, Duration::from_secs(1)), lost(Duration::from_secs(1), HANGS));
    let first: Vec<String> = attempts
        .iter()
        .filter(|a| a.from < start + Duration::from_secs(1))
        .map(|a| format!("{}{}", (a.from - start).as_millis(), stage.rig.zone(a.link.0)))
        .collect();
    // Back: as many attempts in half a second as a third of its part.
    let part = stage.all.iter().filter(|n| meant(**n)).count() as f64 * stage.args.rate / (HOSTS - 1) as f64;
    let back = (0..50).map(|n| Duration::from_millis(n * 100)).find(|after| {
        let from = end + *after;
        let count =
            attempts.iter().filter(|a| (from..from + Duration::from_millis(500)).contains(&a.from)).count();
        count as f64 >= part * 0.5 / 3.0
    });
    println!(
        "{what}: {second} requests lost in the first second (after ms, from zone: {}), {rest} in the other {} s; \
         its share is back after {back:?}",
        first.join(" "),
        HANGS.as_secs() - 1
    );
    if !stage.args.alone && second > zones * GOAL + SLACK {
        stage.broken.push(format!("{what}: {second} lost in the first second in {zones} zones"));
    }
}
