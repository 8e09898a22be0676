//! How long a plan takes, by the flow and by the linear program, as zones grow: `cargo run --release -p yewroute-zones --example
//! solve -- 3 30 300`. A tenth of the zones are lost, another tenth asks twice what it has.

use std::time::{Duration, Instant};

use good_lp::{constraint, default_solver, variable, Expression, ProblemVariables, Solution, SolverModel};
use yewroute_zones::{plan, Origin, Zone};

/// Zones of a region.
const OF_REGION: usize = 3;
/// Above so many the program is not asked: it has a variable for each pair.
const PROGRAM_TO: usize = 60;
/// Prices as the planner has them.
const PRICES: [f64; 3] = [0.0, 1.0, 16.0];
const SHED: f64 = 2_048.0;

fn facts(size: usize) -> (Vec<Zone>, Vec<Origin>) {
    let zone = |n: usize| Zone { region: n / OF_REGION, capacity: if n % 10 == 3 { 0.0 } else { 100.0 } };
    let origin = |zone: usize| Origin { zone, demand: if zone % 10 == 7 { 140.0 } else { 70.0 }, worth: 1.0 };
    ((0..size).map(zone).collect(), (0..size).map(origin).collect())
}

fn program(zones: &[Zone], origins: &[Origin]) -> f64 {
    let mut variables = ProblemVariables::new();
    let mut new = || variables.add(variable().min(0.0));
    let pairs: Vec<Vec<_>> = origins.iter().map(|_| zones.iter().map(|_| new()).collect()).collect();
    let shed: Vec<_> = origins.iter().map(|_| new()).collect();
    let mut price = Expression::from(0.0);
    for (n, origin) in origins.iter().enumerate() {
        for (to, zone) in zones.iter().enumerate() {
            let far = usize::from(to != origin.zone) + usize::from(zone.region != zones[origin.zone].region);
            price += PRICES[far] * pairs[n][to];
        }
        price += SHED * shed[n];
    }
    let mut problem = variables.minimise(price.clone()).using(default_solver);
    for (n, origin) in origins.iter().enumerate() {
        let all = pairs[n].iter().fold(Expression::from(shed[n]), |sum, pair| sum + *pair);
        problem = problem.with(constraint!(all == origin.demand));
    }
    for (to, zone) in zones.iter().enumerate() {
        let all = pairs.iter().fold(Expression::from(0.0), |sum, row| sum + row[to]);
        problem = problem.with(constraint!(all <= zone.capacity));
    }
    problem.solve().map_or(f64::NAN, |solution| solution.eval(&price))
}

fn main() {
    println!("zones | flow, ms | program, ms | bytes of the shares");
    for size in std::env::args().skip(1).filter_map(|size| size.parse().ok()) {
        let (zones, origins) = facts(size);
        let times: Vec<Duration> = (0..5)
            .map(|_| {
                let start = Instant::now();
                std::hint::black_box(plan(&zones, &origins, 0.1));
                start.elapsed()
            })
            .collect();
        let flow = times.into_iter().min().unwrap_or_default().as_secs_f64() * 1e3;
        let by_program = (size <= PROGRAM_TO).then(|| {
            let start = Instant::now();
            std::hint::black_box(program(&zones, &origins));
            start.elapsed().as_secs_f64() * 1e3
        });
        let by_program = by_program.map_or("-".to_owned(), |ms| format!("{ms:.2}"));
        println!("{size:>5} | {flow:>8.2} | {by_program:>11} | {}", size * size * 8);
    }
}
