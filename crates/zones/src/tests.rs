use good_lp::{constraint, default_solver, variable, Expression, ProblemVariables, Solution, SolverModel};
use proptest::prelude::*;

use super::*;

fn zone(region: usize, capacity: f64) -> Zone {
    Zone { region, capacity }
}

fn origin(zone: usize, demand: f64) -> Origin {
    Origin { zone, demand, worth: 1.0 }
}

fn close(a: f64, b: f64) -> bool {
    (a - b).abs() < 1e-6
}

/// What a plan costs: crossings and what is shed, as the planner prices them.
fn cost(zones: &[Zone], origins: &[Origin], plan: &Plan) -> f64 {
    let most = origins.iter().map(|origin| origin.worth).fold(f64::MIN_POSITIVE, f64::max);
    let of = |(origin, (shares, shed)): (&Origin, (&Vec<f64>, &f64))| {
        let carried = origin.demand * (1.0 - shed);
        let price = |to: usize| match (to == origin.zone, zones[to].region == zones[origin.zone].region) {
            (true, _) => 0.0,
            (_, true) => ZONE,
            _ => REGION,
        };
        let crossing: f64 = shares.iter().enumerate().map(|(to, share)| carried * share * price(to)).sum();
        crossing + origin.demand * shed * SHED * (1.0 + origin.worth / most)
    };
    origins.iter().zip(plan.shares.iter().zip(&plan.shed)).map(of).sum()
}

/// The same by the linear program over all pairs.
fn cost_by_program(zones: &[Zone], origins: &[Origin], headroom: f64) -> f64 {
    let most = origins.iter().map(|origin| origin.worth).fold(f64::MIN_POSITIVE, f64::max);
    let mut variables = ProblemVariables::new();
    let pairs: Vec<Vec<_>> =
        origins.iter().map(|_| zones.iter().map(|_| variables.add(variable().min(0.0))).collect()).collect();
    let shed: Vec<_> = origins.iter().map(|_| variables.add(variable().min(0.0))).collect();
    let mut price = Expression::from(0.0);
    for (n, origin) in origins.iter().enumerate() {
        for (to, zone) in zones.iter().enumerate() {
            let near = zone.region == zones[origin.zone].region;
            let each = if to == origin.zone {
                0.0
            } else if near {
                ZONE
            } else {
                REGION
            };
            price += each * pairs[n][to];
        }
        price += SHED * (1.0 + origin.worth / most) * shed[n];
    }
    let mut problem = variables.minimise(price.clone()).using(default_solver);
    for (n, origin) in origins.iter().enumerate() {
        let all = pairs[n].iter().fold(Expression::from(shed[n]), |sum, pair| sum + *pair);
        problem = problem.with(constraint!(all == origin.demand));
    }
    for (to, zone) in zones.iter().enumerate() {
        let all = pairs.iter().fold(Expression::from(0.0), |sum, row| sum + row[to]);
        problem = problem.with(constraint!(all <= zone.capacity * (1.0 - headroom)));
    }
    let solution = problem.solve().expect("shedding always fits");
    solution.eval(&price)
}

#[test]
fn each_limit_binds_as_it_should() {
    // Zones a and b are one region, c another; what each can carry, what each asks, and where it goes.
    let cases = [
        (
            "calm",
            [90.0, 90.0, 90.0],
            [60.0, 60.0, 60.0],
            [[1.0, 0.0, 0.0], [0.0, 1.0, 0.0], [0.0, 0.0, 1.0]],
            Binding::Nothing,
        ),
        (
            "a lost",
            [0.0, 150.0, 90.0],
            [60.0, 60.0, 60.0],
            [[0.0, 1.0, 0.0], [0.0, 1.0, 0.0], [0.0, 0.0, 1.0]],
            Binding::Zone,
        ),
        (
            "a lost, b is full",
            [0.0, 90.0, 120.0],
            [60.0, 60.0, 60.0],
            [[0.0, 0.5, 0.5], [0.0, 1.0, 0.0], [0.0, 0.0, 1.0]],
            Binding::Region,
        ),
        (
            "a is hot",
            [90.0, 90.0, 90.0],
            [120.0, 40.0, 60.0],
            [[0.75, 0.25, 0.0], [0.0, 1.0, 0.0], [0.0, 0.0, 1.0]],
            Binding::Zone,
        ),
        (
            "north lost",
            [0.0, 0.0, 200.0],
            [60.0, 60.0, 60.0],
            [[0.0, 0.0, 1.0], [0.0, 0.0, 1.0], [0.0, 0.0, 1.0]],
            Binding::Region,
        ),
    ];
    for (what, capacity, demand, wanted, binding) in cases {
        let zones = [zone(0, capacity[0]), zone(0, capacity[1]), zone(1, capacity[2])];
        let origins: Vec<Origin> = demand.iter().enumerate().map(|(n, demand)| origin(n, *demand)).collect();
        let plan = plan(&zones, &origins, 0.0);
        for (shares, wanted) in plan.shares.iter().zip(&wanted) {
            assert!(shares.iter().zip(wanted).all(|(a, b)| close(*a, *b)), "{what}: {plan:?}");
        }
        assert_eq!(plan.binding, binding, "{what}");
        assert!(plan.shed.iter().all(|shed| *shed == 0.0), "{what}");
    }
}

#[test]
fn what_nobody_can_carry_is_shed_by_worth_and_headroom_is_kept() {
    let zones = [zone(0, 100.0), zone(1, 100.0)];
    let origins = [Origin { worth: 3.0, ..origin(0, 100.0) }, origin(0, 60.0), origin(1, 60.0)];
    let plan = plan(&zones, &origins, 0.1);
    assert!(close(plan.shed[0], 0.0) && plan.binding == Binding::All, "{plan:?}");
    let lost: f64 = plan.shed.iter().zip(&origins).map(|(shed, origin)| shed * origin.demand).sum();
    assert!(close(lost, 40.0), "{plan:?}");
}

#[test]
fn a_lost_zone_is_left_at_once_and_comes_back_by_steps_after_a_while() {
    let damping = Damping { step: 0.1, least: 0.02, dwell: 5 };
    let near = vec![vec![1.0, 0.0, 0.0], vec![0.0, 1.0, 0.0]];
    let mut damper = Damper::new(damping, near.clone());
    let away = vec![vec![0.0, 1.0, 0.0], vec![0.0, 1.0, 0.0]];
    assert!(damper.step(&away, &[true, false, false]));
    assert_eq!(damper.shares()[0], [0.0, 1.0, 0.0], "at once");
    let mut shares = Vec::new();
    for _ in 0..20 {
        damper.step(&near, &[false; 3]);
        shares.push(damper.shares()[0][0]);
    }
    assert!(shares[..4].iter().all(|share| *share == 0.0), "{shares:?}");
    assert!(shares.windows(2).all(|pair| (-1e-9..=0.1 + 1e-9).contains(&(pair[1] - pair[0]))), "{shares:?}");
    assert!(close(shares[19], 1.0) && shares[6] < 0.5, "{shares:?}");
    // Flapping every three steps: away once, and never back.
    let mut moves = 0;
    for n in 0..20 {
        let lost = n / 3 % 2 == 0;
        moves += u32::from(damper.step(if lost { &away } else { &near }, &[lost, false, false]));
    }
    assert_eq!(moves, 1);
    // What is not worth a step is none.
    let mut damper = Damper::new(damping, near.clone());
    assert!(!damper.step(&[vec![0.99, 0.01, 0.0], vec![0.0, 1.0, 0.0]], &[false; 3]));
}

fn facts() -> impl Strategy<Value = (Vec<Zone>, Vec<Origin>)> {
    let zone = (0_usize..3, prop_oneof![Just(0.0), 1.0..200.0_f64])
        .prop_map(|(region, capacity)| Zone { region, capacity });
    proptest::collection::vec(zone, 1..7).prop_flat_map(|zones| {
        let origin = (0..zones.len(), 0.0..150.0_f64, 1.0..4.0_f64)
            .prop_map(|(zone, demand, worth)| Origin { zone, demand, worth });
        (Just(zones), proptest::collection::vec(origin, 1..7))
    })
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, cases: 300, ..ProptestConfig::default() })]

    #[test]
    fn shares_sum_to_one_fit_and_cost_no_more_than_the_program_s((zones, origins) in facts(), headroom in 0.0..0.3_f64) {
        let plan = plan(&zones, &origins, headroom);
        let any = zones.iter().any(|zone| zone.capacity > 0.0);
        let mut load = vec![0.0; zones.len()];
        for ((shares, shed), origin) in plan.shares.iter().zip(&plan.shed).zip(&origins) {
            prop_assert!(close(shares.iter().sum(), f64::from(u8::from(any))), "{plan:?}");
            for (to, share) in shares.iter().enumerate() {
                prop_assert!(*share >= 0.0 && (*share == 0.0 || zones[to].capacity > 0.0), "{plan:?}");
                load[to] += origin.demand * (1.0 - shed) * share;
            }
        }
        let room: Vec<f64> = zones.iter().map(|zone| zone.capacity * (1.0 - headroom)).collect();
        prop_assert!(load.iter().zip(&room).all(|(load, room)| *load <= room + 1e-4), "{load:?} of {room:?}: {plan:?}");
        let lost: f64 = plan.shed.iter().zip(&origins).map(|(shed, origin)| shed * origin.demand).sum();
        prop_assert!(lost < 1e-4 || load.iter().zip(&room).all(|(load, room)| load + 1e-4 >= *room), "{plan:?}");
        let (own, best) = (cost(&zones, &origins, &plan), cost_by_program(&zones, &origins, headroom));
        prop_assert!((own - best).abs() <= 1e-3 * best.abs().max(1.0), "{own} against {best}: {plan:?}");
    }

    #[test]
    fn a_step_is_bounded_whatever_the_plan(
        rows in proptest::collection::vec((proptest::collection::vec(0.0..1.0_f64, 4), proptest::collection::vec(0.0..1.0_f64, 4)), 1..5),
    ) {
        let one = |row: &Vec<f64>| {
            let sum: f64 = row.iter().sum::<f64>().max(1e-9);
            row.iter().map(|share| share / sum).collect::<Vec<_>>()
        };
        let (now, to): (Vec<_>, Vec<_>) = rows.iter().map(|(now, to)| (one(now), one(to))).unzip();
        let mut damper = Damper::new(Damping::default(), now.clone());
        damper.step(&to, &[false; 4]);
        for (before, after) in now.iter().zip(damper.shares()) {
            prop_assert!(close(after.iter().sum(), before.iter().sum()), "{after:?}");
            prop_assert!(before.iter().zip(after).all(|(a, b)| (a - b).abs() <= Damping::default().step + 1e-9));
        }
    }
}
