//! Measures a limit of the whole fleet: how far it is passed, how much of it is used, and how soon demand that moves is followed.

use std::io;
use std::path::Path;
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

use yewroute_rig::allocators::AllocatorWatch;
use yewroute_rig::checks::End;
use yewroute_rig::demand::Demand;
use yewroute_rig::limits::{most_at_work, over_limit, refused_with_room, sent, used};
use yewroute_rig::world::{Ail, Shape, World};
use yewroute_rig::{Rig, Setup};

/// Attempts each second that all together may send, and what they may want: twice that.
const RATE: f64 = 120.0;
const WANTED: f64 = 2.0 * RATE;
const FLOOR: f64 = 0.1;
/// Gateways that want ten times what the others do: one in so many.
const EAGER: usize = 5;
/// Db hosts.
const HOSTS: usize = 4;
/// How long all may take to act by the table.
const ACTS_WITHIN: Duration = Duration::from_secs(90);
/// Demand is followed when this part of what one gateway may have is sent in such a span.
const FOLLOWED: (f64, Duration) = (0.9, Duration::from_millis(500));
/// How long after that the limit's keeper knows what runs.
const SEATED: Duration = Duration::from_secs(8);
/// Permits, what a request takes where those are limited, and how long a client waits.
const PERMITS: u32 = 60;
const WORK: Duration = Duration::from_millis(700);
const WAITS: Duration = Duration::from_secs(1);
const SECOND: Duration = Duration::from_secs(1);

struct Fleet {
    rig: Rig,
    allocators: AllocatorWatch,
    world: Arc<World>,
    demand: Demand,
    count: usize,
    burst: f64,
    broken: Vec<String>,
}

fn table(rate: f64, burst: f64) -> String {
    format!("limit(\"views\", classes = [\"view\"], rate = {rate:?}, burst = {burst:?}, floor = {FLOOR:?})\n")
}

impl Fleet {
    fn start(
        program: &Path,
        settings: &str,
        (seed, count, burst): (u64, usize, f64),
        table: Option<String>,
    ) -> io::Result<Self> {
        let shape = if burst > 0.0 {
            Shape::default()
        } else {
            Shape { slots: 64, service: WORK, ..Shape::default() }
        };
        let federation = table.is_some();
        let world = World::new(shape, HOSTS, count)?;
        let settings = settings.replace("\"Instances\": 1", &format!("\"Instances\": {count}"));
        let setup = Setup {
            world: Some(world.clone()),
            seeds: 5,
            seed,
            relayed: false,
            federation,
            table: table.unwrap_or_default(),
            ..Setup::new(program.to_owned(), &settings)
        };
        let mut rig = Rig::new(setup, count)?;
        let allocators = rig.watch_allocators()?;
        (0..count).try_for_each(|n| rig.start(n))?;
        let mut broken = Vec::new();
        let began = Instant::now();
        while federation && !(0..count).all(|n| rig.table(n)["state"] == "acting") {
            if began.elapsed() > ACTS_WITHIN {
                broken.push(format!("not all act by the table after {ACTS_WITHIN:?}"));
                break;
            }
            sleep(SECOND / 10);
        }
        if federation {
            let took = began.elapsed().as_secs_f64();
            println!("all {count} act by the table {took:.1} s after the last start");
            // A keeper is seated and has waited until all is over that it could not know.
            sleep(SEATED);
        }
        let clients: Vec<_> = (0..count).map(|n| rig.clients(n)).collect();
        Ok(Self { demand: Demand::start(&clients, seed), rig, allocators, world, count, burst, broken })
    }

    fn sent(&self) -> Vec<Instant> {
        sent(&self.world.links().attempts(), &["view"])
    }

    /// Tells how far the limit was passed since then.
    fn held(&mut self, what: &str, rate: f64, since: Instant) {
        let times: Vec<Instant> = self.sent().into_iter().filter(|at| *at >= since).collect();
        let bound = self.burst.max(self.count as f64);
        let Some(over) = over_limit(&times, rate, bound) else { return };
        println!(
            "{what}: worst second {:.0} of {rate} and a burst of {bound}; over rate x time + burst in any span: {:.1}",
            over.second + rate + bound,
            over.any_span
        );
        if over.any_span > 0.0 {
            self.broken.push(format!("{what}: over by {:.1}", over.any_span));
        }
    }

    fn skewed(&self) {
        let eager = (self.count / EAGER).max(1);
        let shares = (10 * eager + self.count - eager) as f64;
        self.demand.want(|n| WANTED * if n < eager { 10.0 } else { 1.0 } / shares);
    }

    fn moved_to(&self, one: usize) {
        self.demand.want(|n| if n == one { WANTED } else { 0.0 });
    }

    /// Tells at how many requests db hosts worked at a time at the most, whoever still waited for them.
    fn at_work(&mut self, what: &str, since: Instant) {
        let mut work = self.world.work();
        work.retain(|work| work.span.1 >= since);
        let (most, _) = most_at_work(&work, &["view"]).unwrap_or((0, since));
        println!("{what}: {most} of {PERMITS} at work at most");
        if most > PERMITS as usize {
            self.broken.push(format!("{what}: {most} at work of {PERMITS}"));
        }
    }

    /// How many were at work now and then, in the mean, as a part of the permits.
    fn work_over(&self, what: &str, span: Duration) {
        let from = Instant::now();
        sleep(span);
        let within = |work: &yewroute_rig::world::Work| {
            let (from, to) = (work.span.0.max(from), work.span.1.min(from + span));
            to.saturating_duration_since(from).as_secs_f64()
        };
        let busy: f64 = self.world.work().iter().map(within).sum();
        let part = busy / (f64::from(PERMITS) * span.as_secs_f64());
        println!("{what}: {:.1}% of the permits at work", 100.0 * part);
    }

    /// What was refused since then, and of that what could have had room within the time that its client waits.
    fn needless(&self, what: &str, rate: f64, since: Instant) {
        let span = (since, Instant::now());
        let (refused, needless) = refused_with_room(&self.demand.asked(), &self.sent(), rate, span, WAITS);
        let part = 100.0 * needless / (refused as f64).max(1.0);
        println!("{what}: {refused} refused, of which {needless:.0} ({part:.1}%) with room in their time");
    }

    /// How long after a moment a gateway had what it may have alone.
    fn followed(&self, one: usize, since: Instant) -> Option<Duration> {
        let (part, span) = FOLLOWED;
        let alone = RATE * (1.0 - FLOOR + FLOOR / self.count as f64);
        let wanted = (alone * part * span.as_secs_f64()) as usize;
        let mut times: Vec<Instant> = self
            .world
            .links()
            .attempts()
            .iter()
            .filter(|attempt| attempt.link.0 == one && attempt.from >= since)
            .map(|attempt| attempt.from)
            .collect();
        times.sort_unstable();
        let full = times.windows(wanted.max(1)).find(|of| of[of.len() - 1] - of[0] <= span)?;
        Some(full[0].saturating_duration_since(since))
    }

    /// The gateway that began to keep the limit last.
    fn keeper(&self) -> Option<usize> {
        self.allocators.latest()
    }

    fn use_over(&self, what: &str, rate: f64, span: Duration) -> f64 {
        let from = Instant::now();
        sleep(span);
        let part = used(&self.sent(), rate, from, Instant::now());
        println!("{what}: {:.1}% of the limit used", 100.0 * part);
        part
    }
}

/// Measures with the federation and without; what was broken.
///
/// # Errors
/// A gateway does not come up, or the system has no room.
pub fn play(program: &Path, settings: &str, seed: u64, count: usize) -> io::Result<Vec<String>> {
    let burst = (RATE / 2.0).max(2.0 * count as f64);
    let alone = Fleet::start(program, settings, (seed, count, burst), None)?;
    alone.skewed();
    sleep(3 * SECOND);
    let since = Instant::now();
    alone.use_over("without the federation, demand 10:1", RATE, 6 * SECOND);
    let times: Vec<Instant> = alone.sent().into_iter().filter(|at| *at >= since).collect();
    let worst = over_limit(&times, RATE, 0.0).map_or(f64::NAN, |over| over.second + RATE);
    println!("without the federation: worst second {worst:.0}");
    alone.demand.end();
    drop(alone.rig);
    let mut fleet = Fleet::start(program, settings, (seed, count, burst), Some(table(RATE, burst)))?;
    let begun = Instant::now();
    // Room for all.
    fleet.demand.want(|_| 0.8 * RATE / count as f64);
    sleep(4 * SECOND);
    let from = Instant::now();
    sleep(5 * SECOND);
    fleet.needless("demand of 80% of the limit", RATE, from);
    fleet.skewed();
    sleep(4 * SECOND);
    let from = Instant::now();
    fleet.use_over("demand 10:1", RATE, 10 * SECOND);
    let mut asked = fleet.demand.asked();
    asked.retain(|asked| asked.at >= from);
    let refused = asked.iter().filter(|asked| asked.end == End::Refused).count();
    let rest = asked.iter().filter(|asked| !matches!(asked.end, End::Refused | End::Served)).count();
    let most = 1.0 - RATE / WANTED;
    println!(
        "refused {:.1}% of {} asked ({:.0}% have no room), neither served nor refused: {rest}",
        100.0 * refused as f64 / asked.len().max(1) as f64,
        asked.len(),
        100.0 * most
    );
    fleet.needless("demand 10:1", RATE, from);
    for one in [count - 1, count / 2, 0] {
        let since = Instant::now();
        fleet.moved_to(one);
        sleep(4 * SECOND);
        match fleet.followed(one, since) {
            Some(took) => println!("all demand at g{one}: followed after {:.2} s", took.as_secs_f64()),
            None => fleet.broken.push(format!("all demand at g{one}: not followed in 4 s")),
        }
    }
    fleet.held("calm", RATE, begun);
    let since = Instant::now();
    if let Some(keeper) = fleet.keeper() {
        // Nothing is asked of it itself, so that what is lost is the keeper's doing.
        fleet.demand.want(|n| if n == keeper { 0.0 } else { WANTED / (count - 1) as f64 });
        sleep(3 * SECOND);
        fleet.use_over("all but the keeper want alike", RATE, 3 * SECOND);
        fleet.rig.kill(keeper);
        println!("g{keeper}, which kept the limit, is killed");
        fleet.use_over("in the 8 s after", RATE, 8 * SECOND);
        fleet.held("keeper killed", RATE, since);
    }
    let since = Instant::now();
    fleet.demand.want(|_| WANTED / (count - 1) as f64);
    let stopped: Vec<usize> = fleet.rig.running().into_iter().filter(|n| fleet.rig.zone(*n) == "b").collect();
    stopped.iter().try_for_each(|n| fleet.rig.signal(*n, "STOP"))?;
    sleep(5 * SECOND);
    stopped.iter().try_for_each(|n| fleet.rig.signal(*n, "CONT"))?;
    sleep(5 * SECOND);
    fleet.held("a zone stopped for 5 s and let go on", RATE, since);
    let since = Instant::now();
    let third: Vec<usize> = fleet.rig.running().into_iter().rev().take(count / 3).collect();
    third.iter().for_each(|n| fleet.rig.kill(*n));
    fleet.demand.want(|_| WANTED / (count - 1 - count / 3) as f64);
    sleep(8 * SECOND);
    fleet.held("a third killed", RATE, since);
    fleet.use_over("8 s after a third was killed", RATE, 4 * SECOND);
    let (next, since) = (table(RATE / 3.0, burst), Instant::now());
    let one = *fleet.rig.running().first().ok_or_else(|| io::Error::other("nobody runs"))?;
    let (status, said) = fleet.rig.put_table(one, &next)?;
    let living = fleet.rig.running();
    let acts = |rig: &Rig, n: usize| {
        let table = rig.table(n);
        table["version"] == said["version"] && table["state"] == "acting"
    };
    while status == 200 && since.elapsed() < 20 * SECOND && !living.iter().all(|n| acts(&fleet.rig, *n)) {
        sleep(SECOND / 20);
    }
    println!(
        "a third of the limit: PUT {status}, all act by it after {:.2} s",
        since.elapsed().as_secs_f64()
    );
    fleet.held("up to it", RATE, since);
    // That all have switched is known to each within a lease; then the next keeper is seated.
    sleep(3 * SECOND);
    let since = Instant::now();
    fleet.use_over("a third of the limit, 3 s after all act by it", RATE / 3.0, SECOND);
    fleet.use_over("in the next second", RATE / 3.0, SECOND);
    fleet.use_over("and from then on", RATE / 3.0, 5 * SECOND);
    fleet.held("a third of the limit", RATE / 3.0, since);
    let mut broken = fleet.broken;
    fleet.demand.end();
    drop(fleet.rig);
    broken.extend(permits(program, settings, seed, count)?);
    Ok(broken)
}

/// The same for permits: killed and started again at once, with attempts that outlast their clients, stopped, the keeper killed.
fn permits(program: &Path, settings: &str, seed: u64, count: usize) -> io::Result<Vec<String>> {
    let text = format!("limit(\"views\", classes = [\"view\"], concurrent = {PERMITS}, floor = {FLOOR:?})\n");
    let mut fleet = Fleet::start(program, settings, (seed, count, 0.0), Some(text))?;
    // The longest that an attempt of an earlier keeper's may run.
    sleep(4 * SECOND);
    // What a request takes is over half a second, so this is some twice of what can be had.
    let wanted = 2.0 * f64::from(PERMITS) / WORK.as_secs_f64() / count as f64;
    let begun = Instant::now();
    fleet.demand.want(|_| wanted);
    sleep(4 * SECOND);
    fleet.work_over("permits, all want alike", 6 * SECOND);
    fleet.at_work("calm", begun);
    let keeper = fleet.keeper();
    let plain: Vec<usize> =
        (0..count).rev().filter(|n| Some(*n) != keeper).take((count / 3).max(1)).collect();
    (0..HOSTS).for_each(|host| fleet.world.ails(host, Ail::Slow(3.0), None));
    sleep(3 * SECOND);
    for n in &plain {
        fleet.rig.kill(*n);
        fleet.rig.start(*n)?;
        fleet.demand.moved(*n, fleet.rig.clients(*n));
    }
    sleep(5 * SECOND);
    fleet.at_work("a third killed and started again, attempts given up", begun);
    (0..HOSTS).for_each(|host| fleet.world.well(host));
    plain.iter().try_for_each(|n| fleet.rig.signal(*n, "STOP"))?;
    sleep(5 * SECOND);
    plain.iter().try_for_each(|n| fleet.rig.signal(*n, "CONT"))?;
    sleep(5 * SECOND);
    fleet.at_work("a third stopped for 5 s and let go on", begun);
    if let Some(keeper) = keeper {
        fleet.rig.kill(keeper);
    }
    fleet.work_over("in the 8 s after the keeper was killed", 8 * SECOND);
    sleep(4 * SECOND);
    fleet.work_over("and from 12 s after", 4 * SECOND);
    fleet.at_work("keeper killed", begun);
    fleet.demand.end();
    Ok(fleet.broken)
}
