//! Plays a plan of faults against gateways under load, and looks at the rules afterwards.

use std::fmt;
use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::checks::{self, Away, End};
use crate::clients::Clients;
use crate::plan::{Fault, Plan};
use crate::world::World;
use crate::{Rig, Rules, Weather};

/// The front notices a death so late.
const FRONT_NOTICES: Duration = Duration::from_millis(800);
/// Over its time to wait, an answer may take so much more to reach its client.
const SLACK: Duration = Duration::from_millis(150);
/// What a stopped gateway may need to come back to its senses.
const WAKES: Duration = Duration::from_millis(1_000);
/// After the last fault all see the same within this.
const WHOLE: Duration = Duration::from_secs(3);
/// Events told with a broken rule, before its time.
const LED_THERE: usize = 6;

/// A request and its answer wake so many threads one after the other: its client, relays, its gateway and its db host.
const HOPS: u32 = 12;
/// How often the machine is looked at, and what is no lateness.
const TURN: Duration = Duration::from_millis(5);
const USUAL: Duration = Duration::from_millis(2);

/// How late the machine wakes a thread that has slept. Guards against: a machine with far more to do than it has cores, that makes
/// a late answer of one in time.
struct Machine {
    over: Arc<AtomicBool>,
    thread: JoinHandle<Vec<(Instant, Duration)>>,
}

impl Machine {
    fn start() -> Self {
        let over = Arc::new(AtomicBool::new(false));
        let stop = Arc::clone(&over);
        let thread = thread::spawn(move || {
            let mut late = Vec::new();
            while !stop.load(Ordering::SeqCst) {
                let start = Instant::now();
                thread::sleep(TURN);
                let over = start.elapsed().saturating_sub(TURN);
                late.extend((over > USUAL).then(|| (Instant::now(), over)));
            }
            late
        });
        Self { over, thread }
    }

    fn end(self) -> Vec<(Instant, Duration)> {
        self.over.store(true, Ordering::SeqCst);
        self.thread.join().unwrap_or_default()
    }
}

/// The latest that a thread was woken between two moments.
fn lateness(late: &[(Instant, Duration)], from: Instant, to: Instant) -> Duration {
    let within = late.iter().filter(|(at, over)| *at >= from && *at - *over <= to);
    within.map(|(_, over)| *over).max().unwrap_or_default()
}

/// What came of a plan.
#[derive(Debug, Default)]
pub struct Report {
    /// Requests by how they ended.
    pub ends: Vec<(End, usize)>,
    /// Attempts at db hosts, and keys that ran.
    pub attempts: usize,
    /// Keys that ran at db hosts.
    pub keys: usize,
    /// How long it took until all saw the same after the last fault.
    pub whole: Option<Duration>,
    /// Rules that were broken: when, what, and the events that led there.
    pub broken: Vec<String>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} attempts, {} keys", self.attempts, self.keys)?;
        self.ends.iter().try_for_each(|(end, count)| write!(f, "\n  {end:?}: {count}"))?;
        write!(f, "\nall see all {:?} after the last fault", self.whole)
    }
}

/// Plays a plan: all gateways run, with so many clients; `tip` and `fall` are the settings' budget of a cold db host.
///
/// # Errors
/// A gateway does not come up, or the system has no room.
pub fn play(
    rig: &mut Rig,
    world: &Arc<World>,
    plan: &Plan,
    clients: usize,
    (tip, fall): (f64, Duration),
    seed: u64,
) -> io::Result<Report> {
    play_beside(rig, world, plan, clients, (tip, fall), seed, |_, _| ())
}

/// The same, with something done beside it again and again, with those gateways that run and are not stopped.
///
/// # Errors
/// A gateway does not come up, or the system has no room.
pub fn play_beside(
    rig: &mut Rig,
    world: &Arc<World>,
    plan: &Plan,
    clients: usize,
    (tip, fall): (f64, Duration),
    seed: u64,
    mut beside: impl FnMut(&Rig, &[usize]),
) -> io::Result<Report> {
    let all = rig.running();
    let outside = world.outside();
    all.iter().for_each(|n| outside.leads_to(*n, Some(rig.clients(*n))));
    let front = all.iter().map(|n| (*n, outside.door(*n))).collect();
    let clients = Clients::start(clients, front, seed);
    let machine = Machine::start();
    let start = Instant::now();
    let (mut events, mut away, mut rules) =
        (Vec::<(Instant, String)>::new(), Vec::<Away>::new(), Rules::default());
    let mut notices: Vec<(Instant, usize)> = Vec::new();
    let mut broken: Vec<(Instant, String)> = Vec::new();
    let mut awake = all.clone();
    for (at, fault) in plan {
        while start.elapsed() < *at {
            notices.retain(|(due, gateway)| {
                let now = *due <= Instant::now();
                if now {
                    clients.without(*gateway);
                }
                !now
            });
            beside(rig, &awake);
            thread::sleep(Duration::from_millis(5));
        }
        let now = Instant::now();
        events.push((now, fault.to_string()));
        let gone = |gateway, killed| Away { gateway, killed, from: now, to: None };
        let mut back = |gateway: usize, after: Duration| {
            for away in away.iter_mut().filter(|away| away.gateway == gateway && away.to.is_none()) {
                away.to = Some(Instant::now() + after);
            }
        };
        match *fault {
            Fault::Kill(n) => {
                rig.kill(n);
                outside.leads_to(n, None);
                away.push(gone(n, true));
                notices.push((now + FRONT_NOTICES, n));
            }
            Fault::Start(n) => {
                rig.start(n)?;
                back(n, Duration::ZERO);
                notices.retain(|(_, gateway)| *gateway != n);
                outside.leads_to(n, Some(rig.clients(n)));
                clients.with(n, outside.door(n));
            }
            Fault::End(n) => {
                clients.without(n);
                if !rig.end(n)? {
                    broken.push((Instant::now(), format!("g{n} did not end cleanly")));
                }
                rig.start(n)?;
                outside.leads_to(n, Some(rig.clients(n)));
                clients.with(n, outside.door(n));
            }
            Fault::Hup(n) => rig.signal(n, "HUP")?,
            Fault::Stop(n) => {
                rig.signal(n, "STOP")?;
                away.push(gone(n, false));
            }
            Fault::Go(n) => {
                rig.signal(n, "CONT")?;
                back(n, WAKES);
            }
            Fault::Promote(host) => world.promote(host),
            Fault::Drain(host) => world.drain(host, true),
            Fault::Undrain(host) => world.drain(host, false),
            Fault::Restart(host) => world.restart(host),
            Fault::Lag(host, ms) => world.lag(host, Duration::from_millis(ms)),
            Fault::Reset(n, host) => world.links().reset(|gateway, other| (gateway, other) == (n, host)),
            Fault::Stall(n, host) => world.links().stall(|gateway, other| (gateway, other) == (n, host)),
            Fault::On(road, trouble) => outside.befalls(road, trouble),
            Fault::Heal => {
                world.links().stall(|_, _| false);
                outside.heal();
                rig.relays.weather(|weather| *weather = Weather::default());
            }
            Fault::Loss(share) => rig.relays.weather(|weather| weather.loss = f64::from(share) / 100.0),
            Fault::Cut(zone) => {
                let inside = |n: usize| rig.zone_number(n) == zone;
                let cut = |n: &usize, m: &usize| inside(*n) != inside(*m);
                let pairs = all.iter().flat_map(|n| all.iter().map(move |m| (*n, *m)));
                let cuts: Vec<_> = pairs.filter(|(n, m)| cut(n, m)).collect();
                rig.relays.weather(|weather| weather.cuts.extend(cuts));
            }
        }
        awake = rig
            .running()
            .into_iter()
            .filter(|n| !away.iter().any(|away| away.gateway == *n && away.to.is_none()))
            .collect();
        rules.look(rig, &awake);
    }
    let healed = Instant::now();
    let mut whole = None;
    while whole.is_none() && healed.elapsed() < 10 * WHOLE {
        rules.look(rig, &all);
        beside(rig, &all);
        if rig.all_see(&all, &all, "alive") {
            whole = Some(healed.elapsed());
        }
    }
    if whole.is_none_or(|whole| whole > WHOLE) {
        broken.push((healed, format!("views are the same {whole:?} after the last fault")));
    }
    let seen = clients.end();
    let attempts = world.links().attempts();
    let late = machine.end();
    let slack = |from, to| SLACK + HOPS * lateness(&late, from, to);
    broken.extend(outside.broken(seen.clone(), &away, &attempts, slack));
    broken.extend(checks::attempts(&attempts));
    broken.extend(world.broken(tip, fall, &away));
    broken.sort();
    let led = |at: Instant| {
        let before: Vec<String> = events
            .iter()
            .filter(|(when, _)| *when <= at)
            .rev()
            .take(LED_THERE)
            .map(|(when, what)| {
                format!("{what} at {:.2} s", when.saturating_duration_since(start).as_secs_f64())
            })
            .collect();
        before.join(", ")
    };
    let told = |(at, what): (Instant, String)| {
        let after = at.saturating_duration_since(start).as_secs_f64();
        format!("{after:.2} s: {what}; before it: {}", led(at))
    };
    let mut broken: Vec<String> = broken.into_iter().map(told).collect();
    broken.extend(rules.broken().iter().cloned());
    let kinds = [End::Served, End::Refused, End::Failed, End::Lost, End::Silent, End::Twice];
    let count = |end: End| (end, seen.iter().filter(|request| request.end.1 == end).count());
    let ends = kinds.into_iter().map(count).collect();
    Ok(Report { ends, attempts: attempts.len(), keys: world.keys(), whole, broken })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn lateness_counts_within_a_request_s_time_alone() {
        let (start, ms) = (Instant::now(), Duration::from_millis);
        let late = [(start + ms(100), ms(20)), (start + ms(300), ms(60)), (start + ms(900), ms(400))];
        let between = |from, to| lateness(&late, start + ms(from), start + ms(to));
        assert_eq!(
            [between(0, 90), between(110, 230), between(0, 400), between(600, 650)],
            [ms(20), ms(0), ms(60), ms(400)]
        );
    }
}
