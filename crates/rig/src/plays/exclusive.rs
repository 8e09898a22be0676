//! Many short plays on what only one gateway may do: a channel's home and a limit's keeper, while tables change and gateways
//! are killed, stopped, cut off and started again. What was in force twice is counted by what db hosts and clients saw.

use std::io;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::Value;
use yewroute_rig::channel_clients::{ChannelClients, Habits};
use yewroute_rig::demand::Demand;
use yewroute_rig::world::{Shape, World};
use yewroute_rig::{console, limits, orders, Rig, Setup, TableRules, Weather};

use super::{Args, Stage};

const HOSTS: usize = 4;
/// Clients with channels, and channels of each.
const CLIENTS: usize = 8;
const CHANNELS: usize = 2;
/// What the limit allows each second and at once, and how many times as much is wanted.
const RATE: f64 = 60.0;
const BURST: f64 = 20.0;
const WANTED: f64 = 2.0;
const LOOK: Duration = Duration::from_millis(10);
/// A play's faults begin within the first, and last for up to the second.
const BEGINS: u64 = 300;
const LASTS: u64 = 2_500;
/// All act by the newest table within this after the last fault, or the plays end.
const WHOLE: Duration = Duration::from_secs(60);

/// Tables of the same limit and of contracts that differ: neither side may act by two of them.
fn text(number: u64) -> String {
    format!(
        "contract(\"kiosks\", classes = [\"order\"], order = \"numbered\", gap_ms = {}, keep_s = 60, most = 1000, \
         on_unknown = \"go on\")\n\
         limit(\"views\", classes = [\"view\"], rate = {RATE:?}, burst = {BURST:?}, floor = 0.1)\n",
        200 + number % 1_000
    )
}

pub fn setup(args: &Args, of: Setup) -> io::Result<Setup> {
    Ok(Setup {
        world: Some(World::new(Shape::default(), HOSTS, args.processes)?),
        seeds: 3,
        federation: true,
        federation_keys: "lease_s = 1".to_owned(),
        table: text(0),
        ..of
    })
}

/// What a play does at a moment.
#[derive(Clone, Debug)]
enum Do {
    Kill(usize),
    Stop(usize),
    /// One gateway's ways to and from all others are cut, or those one way alone.
    Cut(usize, bool, bool),
    Put(usize),
    /// All is undone: those killed are started, those stopped go on, the ways are whole.
    Heal,
}

/// A play's doings in order, by milliseconds since its beginning.
type Doings = Vec<(u64, Do)>;

fn drawn(rng: &mut ChaCha8Rng, count: usize) -> Doings {
    let mut victims: Vec<usize> = (0..count).collect();
    victims.shuffle(rng);
    // Most of them are left, or for a while nobody decides anything, which is a play as well.
    let faults = rng.random_range(1..=count.div_ceil(2));
    let mut all = Vec::new();
    for n in victims.into_iter().take(faults) {
        let at = rng.random_range(0..BEGINS);
        let what = match rng.random_range(0..4) {
            0 => Do::Kill(n),
            1 => Do::Stop(n),
            2 => Do::Cut(n, true, true),
            _ => {
                let there = rng.random_bool(0.5);
                Do::Cut(n, there, !there)
            }
        };
        all.push((at, what));
    }
    for _ in 0..rng.random_range(1..=3) {
        all.push((rng.random_range(0..LASTS), Do::Put(rng.random_range(0..count))));
    }
    all.sort_by_key(|(at, _)| *at);
    all.push((BEGINS + rng.random_range(0..LASTS), Do::Heal));
    all.sort_by_key(|(at, _)| *at);
    all
}

struct Plays<'a> {
    rig: &'a mut Rig,
    all: Vec<usize>,
    channels: ChannelClients,
    demand: Demand,
    rules: TableRules,
    number: u64,
    taken: Arc<Mutex<[u64; 2]>>,
}

impl Plays<'_> {
    /// Puts a table in a thread of its own, as it may take its time.
    fn put(&mut self, at: usize) {
        self.number += 1;
        let (text, taken) = (text(self.number), Arc::clone(&self.taken));
        let Ok(console) = self.rig.console(at) else { return };
        thread::spawn(move || {
            let yes = console::put_table(console, &text).is_ok_and(|(status, _)| status == 200);
            taken.lock().unwrap_or_else(PoisonError::into_inner)[usize::from(yes)] += 1;
        });
    }

    /// One play; how long it took until all acted by the newest again.
    fn play(&mut self, doings: &[(u64, Do)]) -> io::Result<Option<Duration>> {
        let (start, mut stopped, mut killed) = (Instant::now(), Vec::new(), Vec::new());
        for (at, what) in doings {
            while start.elapsed() < Duration::from_millis(*at) {
                let awake: Vec<usize> =
                    self.rig.running().into_iter().filter(|n| !stopped.contains(n)).collect();
                self.rules.look(self.rig, &awake);
                thread::sleep(LOOK);
            }
            match *what {
                Do::Kill(n) => {
                    self.rig.kill(n);
                    self.channels.without(n);
                    killed.push(n);
                }
                Do::Stop(n) => {
                    self.rig.signal(n, "STOP")?;
                    stopped.push(n);
                }
                Do::Cut(n, there, back) => {
                    let others: Vec<usize> = self.all.iter().copied().filter(|m| *m != n).collect();
                    self.rig.relays.weather(|weather| {
                        weather.cuts.extend(others.iter().filter(|_| there).map(|m| (n, *m)));
                        weather.cuts.extend(others.iter().filter(|_| back).map(|m| (*m, n)));
                    });
                }
                Do::Put(n) => self.put(n),
                Do::Heal => {
                    self.rig.relays.weather(|weather| *weather = Weather::default());
                    stopped.drain(..).try_for_each(|n| self.rig.signal(n, "CONT"))?;
                    for n in killed.drain(..) {
                        self.rig.start(n)?;
                        self.channels.with(n, self.rig.clients(n));
                        self.demand.moved(n, self.rig.clients(n));
                    }
                }
            }
        }
        Ok(self.whole())
    }

    /// Waits until all act by one table and nobody can by an earlier one.
    fn whole(&mut self) -> Option<Duration> {
        let start = Instant::now();
        while start.elapsed() < WHOLE {
            self.rules.look(self.rig, &self.all);
            let said: Vec<_> = self.all.iter().map(|n| self.rig.table(*n)).collect();
            let acts = |table: &Value| table["settled"] == true && table["state"] != "held";
            if said.iter().all(|table| acts(table) && table["version"] == said[0]["version"]) {
                return Some(start.elapsed());
            }
            thread::sleep(2 * LOOK);
        }
        None
    }
}

/// Plays so many, from the stage's seed on.
pub fn run(stage: &mut Stage) -> io::Result<()> {
    let Some(world) = stage.world.clone() else { return Ok(()) };
    let (count, seed) = (stage.all.len(), stage.args.seed);
    let fronts: Vec<_> = stage.all.iter().map(|n| stage.rig.clients(*n)).collect();
    let habits = Habits {
        channels: CHANNELS,
        moves: 0.2,
        hurries: 0.1,
        doubles: 0.1,
        pause: Duration::from_millis(15),
        ..Habits::default()
    };
    let channels = ChannelClients::start(CLIENTS, fronts.iter().copied().enumerate().collect(), habits, seed);
    let demand = Demand::start(&fronts, seed);
    demand.want(|_| WANTED * RATE / count as f64);
    let (all, taken) = (stage.all.clone(), Arc::default());
    let rules = TableRules::default();
    let mut plays = Plays { rig: &mut stage.rig, all, channels, demand, rules, number: 0, taken };
    if plays.whole().is_none() {
        stage.broken.push(format!("not all act by the first table within {WHOLE:?}"));
        return Ok(());
    }
    // A limit's keeper and the channels' holders know what runs.
    thread::sleep(Duration::from_secs(4));
    let mut played: Vec<(Instant, u64, Doings)> = Vec::new();
    let mut times = Vec::new();
    for seed in seed..seed + stage.args.plays.unwrap_or(1) {
        let doings = drawn(&mut ChaCha8Rng::seed_from_u64(seed), count);
        played.push((Instant::now(), seed, doings.clone()));
        match plays.play(&doings)? {
            Some(took) => times.push(took),
            None => {
                stage
                    .broken
                    .push(format!("play {seed}: not all act by one table {WHOLE:?} after it: {doings:?}"));
                break;
            }
        }
    }
    let Plays { channels, demand, rules, taken, .. } = plays;
    demand.end();
    let told = channels.end();
    let attempts = world.links().attempts();
    let twice = orders::exclusive(&attempts);
    // Two of one gateway's are the channels' own matter, and told.
    let own = orders::never_two_out(&attempts).len() - twice.len();
    let mut broken = Vec::new();
    broken.extend(twice.iter().cloned());
    let times_sent = limits::sent(&attempts, &["view"]);
    let bound = BURST.max(count as f64);
    let over = limits::over_limit(&times_sent, RATE, bound);
    if let Some(over) = over.filter(|over| over.any_span > 0.0) {
        broken.push((over.at, format!("the limit is passed by {:.1}", over.any_span)));
    }
    for (at, what) in broken {
        let play = played.iter().rfind(|(began, ..)| *began <= at);
        let play =
            play.map(|(began, seed, doings)| format!("play {seed}, {:?} in it, {doings:?}", at - *began));
        stage.broken.push(format!("{what}: {}", play.unwrap_or_default()));
    }
    stage.broken.extend(rules.broken());
    times.sort_unstable();
    let (served, slowest) = (
        told.iter().filter(|told| told.end.1 == yewroute_rig::checks::End::Served).count(),
        times.last().copied().unwrap_or_default(),
    );
    let [no, yes] = *taken.lock().unwrap_or_else(PoisonError::into_inner);
    println!(
        "{} plays: an exclusive entry in force twice {} times, two attempts of one gateway's out {own} times; {} attempts of channels and {} of the limit, at its \
         worst {:.1} beyond it; {served} of {} requests of channels served; {yes} tables taken, {no} not; all act by \
         one {:.1} s after the last fault in the mean, {:.1} s at the longest",
        times.len(),
        twice.len(),
        attempts.iter().filter(|attempt| attempt.hints.channel.is_some()).count(),
        times_sent.len(),
        over.map_or(f64::NAN, |over| over.any_span),
        told.len(),
        times.iter().map(Duration::as_secs_f64).sum::<f64>() / times.len().max(1) as f64,
        slowest.as_secs_f64(),
    );
    Ok(())
}
