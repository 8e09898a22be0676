//! What all routers together send a cold server, against what the settings allow it.
//!
//! A cold server falls when it is sent more requests of mean work within `fall` than `tip_multiple` times its
//! capacity of that time, N of them, and 2 x root of N + 2 for chance. No router knows what the others send.

#[path = "../common/mod.rs"]
mod common;
mod day;
mod fleet;

use day::*;
use fastrand::Rng;
use fleet::*;

const RAMPS: [Ramp; 4] = [
    Ramp { start_capacity: 0.17, cold_ms: 18_000, tip_multiple: 4.0, fall_ms: 3_000 },
    Ramp { start_capacity: 0.29, cold_ms: 18_000, tip_multiple: 3.0, fall_ms: 3_000 },
    Ramp { start_capacity: 0.2, cold_ms: 16_000, tip_multiple: 2.5, fall_ms: 2_000 },
    Ramp { start_capacity: 0.17, cold_ms: 16_000, tip_multiple: 2.0, fall_ms: 3_000 },
];

/// Plays the days and returns the worst.
fn worst(days: impl IntoIterator<Item = Day>) -> (Most, Day) {
    let played = days.into_iter().map(|day| (Fleet::new(day).played().most(), day));
    played.max_by(|a, b| a.0.share().total_cmp(&b.0.share())).expect("days")
}

/// A day as on a site: servers with queues, and a burst about the time of the start.
fn ordinary(ramp: Ramp, routers: usize, start: Start, seed: u64) -> Day {
    let mut rng = Rng::with_seed(seed);
    Day {
        ramp,
        routers,
        start,
        work: Work::Queued,
        cores: rng.usize(2..5),
        work_ms: [110.0, 75.0],
        reads: 0.65,
        cold_speed: 1.0,
        load: 0.4 + 0.4 * rng.f64(),
        burst: 1.0 + 0.6 * rng.f64(),
        burst_at_ms: CHANGE_AT_MS - 5_000 + rng.u64(0..9_000),
        seed,
    }
}

/// A day on which all servers that are warm serve as much as they can, and the cold one is slower than they are.
fn saturated(ramp: Ramp, routers: usize, seed: u64) -> Day {
    Day {
        work: Work::Steady,
        cores: 6,
        work_ms: [25.0, 25.0],
        reads: 0.75,
        cold_speed: 0.8,
        load: 1.0,
        burst: 1.0,
        ..ordinary(ramp, routers, Start::Join(1), seed)
    }
}

#[test]
fn all_routers_together_stay_within_what_a_cold_server_bears() {
    let check = |routers: usize| {
        let starts = [Start::Join(1), Start::Join(2), Start::Restart, Start::Return];
        let ordinary = starts.into_iter().flat_map(|start| {
            RAMPS[1..]
                .iter()
                .enumerate()
                .map(move |(seed, ramp)| ordinary(*ramp, routers, start, seed as u64))
        });
        let saturated = RAMPS[2..].iter().map(|ramp| saturated(*ramp, routers, 1));
        let (most, day) = worst(ordinary.chain(saturated));
        println!("{routers} routers: {most:.0?}, {:.2} of the bound", most.share());
        assert!(most.sent > 10.0, "a cold server is sent what it can do: {most:?} on {day:?}");
        assert!(most.share() <= 1.0, "{most:?} on {day:?}");
    };
    std::thread::scope(|scope| {
        for routers in [1, 5, 20, 30] {
            scope.spawn(move || check(routers));
        }
    });
}

/// Handshakes come on top of what is sent, and machines of one kind are not all alike.
#[test]
fn what_a_cold_server_is_sent_leaves_room_beside_what_its_peers_do() {
    /// The least part of it that stays free.
    const ROOM: f64 = 0.2;
    /// How long the ramp holds back what would come otherwise.
    const BINDS_MS: u64 = 5_000;
    for routers in [1, 2] {
        let day = Day { cold_speed: 1.0, ..saturated(RAMPS[3], routers, 1) };
        let fleet = Fleet::new(day).played();
        let cold = &fleet.servers[&MEMBERS];
        let started = cold.started.expect("cold");
        let counts = |sent: &&Sent| (started..started + BINDS_MS).contains(&sent.at);
        let sent: f64 = cold.sent.iter().filter(counts).map(|sent| sent.requests).sum();
        let peers = (0..MEMBERS).flat_map(|n| &fleet.servers[&n].sent).filter(counts);
        let earned: f64 = peers.map(|sent| day.warmth((sent.at - started) as f64) * sent.requests).sum();
        let allowed = day.ramp.tip_multiple * earned / f64::from(MEMBERS);
        println!("{routers} routers: {sent:.0} sent where {allowed:.0} are allowed by what peers do");
        assert!(sent > 0.6 * allowed, "{sent} sent, {allowed} allowed");
        assert!(sent <= (1.0 - ROOM) * allowed, "{sent} sent, {allowed} allowed");
    }
}
