//! Who gets how much of what is short: plain functions of numbers.

/// The part of an amount that is kept for the least worthy, over all of them.
pub const LEAST: f64 = 0.05;
/// The part of what nobody wants that is handed out all the same, so that little jumps find something; the keeper keeps the
/// rest for large ones.
const SPARE: f64 = 0.5;

/// So much is wanted, at such a worth.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Want {
    /// What one is worth.
    pub worth: f64,
    /// How much: attempts per second, or permits.
    pub amount: f64,
}

/// What each of `wants` gets of `amount`: a small part surely, so that nothing starves, and the rest by worth. What is worth the
/// same gets the same share of what it wants.
#[must_use]
pub fn by_worth(amount: f64, wants: &[Want]) -> Vec<f64> {
    let least = amount * LEAST / wants.len().max(1) as f64;
    let mut got: Vec<f64> = wants.iter().map(|want| want.amount.min(least)).collect();
    let mut rest = amount - got.iter().sum::<f64>();
    let mut order: Vec<usize> = (0..wants.len()).collect();
    order.sort_by(|a, b| wants[*b].worth.total_cmp(&wants[*a].worth));
    for level in order.chunk_by(|a, b| wants[*a].worth == wants[*b].worth) {
        let open: f64 = level.iter().map(|&i| wants[i].amount - got[i]).sum();
        let share = if open > 0.0 { (rest / open).clamp(0.0, 1.0) } else { 0.0 };
        for &i in level {
            got[i] += (wants[i].amount - got[i]) * share;
        }
        rest -= open * share;
    }
    got
}

/// What one gateway is to get of `pool`, by what it wants and what all others want.
#[must_use]
pub fn allotment(pool: f64, mine: &[Want], others: &[&[Want]]) -> f64 {
    let wanted = |wants: &[Want]| wants.iter().map(|want| want.amount).sum::<f64>();
    let my = wanted(mine);
    let total = my + others.iter().map(|wants| wanted(wants)).sum::<f64>();
    if total <= pool {
        // One more for each, so that who wants nothing yet has something to begin with.
        let weights = total + 1.0 + others.len() as f64;
        return my + (pool - total) * SPARE * (my + 1.0) / weights;
    }
    // What is worth the same is one want, whoever wants it.
    let mut levels: Vec<Want> = Vec::new();
    for want in mine.iter().chain(others.iter().copied().flatten()) {
        match levels.iter_mut().find(|level| level.worth == want.worth) {
            Some(level) => level.amount += want.amount,
            None => levels.push(*want),
        }
    }
    let got = by_worth(pool, &levels);
    let part = |want: &Want| {
        let level =
            levels.iter().zip(&got).find(|(level, _)| level.worth == want.worth && level.amount > 0.0);
        level.map_or(0.0, |(level, got)| want.amount * got / level.amount)
    };
    mine.iter().map(part).sum()
}

/// A limit's size and what is kept of it for gateways that are alone.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Floors {
    /// Attempts per second, or permits.
    pub size: f64,
    /// What each gateway may always use.
    pub each: f64,
    /// Gateways that are counted, whether or not they are there.
    pub gateways: usize,
}

impl Floors {
    /// Those of a limit, by the gateways that the settings name. Permits are whole: a floor of less than one is none.
    #[must_use]
    pub fn of(limit: &yewroute_table::Limit, gateways: u32) -> Self {
        let gateways = gateways.max(1);
        let (size, whole) = match (limit.rate, limit.concurrent) {
            (Some(rate), _) => (rate, false),
            (None, permits) => (f64::from(permits.unwrap_or(0)), true),
        };
        let each = size * limit.floor.clamp(0.0, 1.0) / f64::from(gateways);
        Self { size, each: if whole { each.floor() } else { each }, gateways: gateways as usize }
    }

    /// What may be allotted when `known` gateways have this limit and all others may still have floors of up to `worst` by an
    /// older table.
    #[must_use]
    pub fn pool(&self, known: usize, worst: f64) -> f64 {
        let unknown = self.gateways.saturating_sub(known);
        let floors = known as f64 * self.each + unknown as f64 * self.each.max(worst);
        (self.size - floors).max(0.0)
    }
}

/// Attempts that a gateway may send at once: one, and of what a burst holds beyond one for each half by its part of the rate and
/// half alike. All together are the burst, or one for each gateway where it is less. By the part alone, those that have little
/// could save up nothing, and chance would leave a quarter of what they have unused.
#[must_use]
pub fn depth(burst: f64, gateways: usize, rate: f64, limit: f64) -> f64 {
    if rate <= 0.0 || limit <= 0.0 {
        return 0.0;
    }
    let part = (rate / limit).clamp(0.0, 1.0);
    1.0 + (burst - gateways as f64).max(0.0) * (part + 1.0 / gateways.max(1) as f64) / 2.0
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    fn wants() -> impl Strategy<Value = Vec<Want>> {
        let want = (0_u8..4, 0.0..200.0).prop_map(|(worth, amount)| Want { worth: f64::from(worth), amount });
        prop::collection::vec(want, 1..6)
    }

    proptest! {
        #[test]
        fn all_of_it_is_used_never_more_and_nobody_starves(all in prop::collection::vec(wants(), 1..12), pool in 0.0..500.0) {
            let each: Vec<f64> = (0..all.len()).map(|me| {
                let others: Vec<&[Want]> = all.iter().enumerate().filter(|(i, _)| *i != me).map(|(_, w)| &w[..]).collect();
                allotment(pool, &all[me], &others)
            }).collect();
            let (sum, total): (f64, f64) = (each.iter().sum(), all.iter().flatten().map(|w| w.amount).sum());
            prop_assert!(sum <= pool + 1e-6, "{sum} of {pool}");
            prop_assert!(sum >= pool.min(total) - 1e-6, "{sum} of {pool}, {total} wanted");
            let got = by_worth(pool, &all[0]);
            let least = pool * LEAST / all[0].len() as f64;
            for (want, got) in all[0].iter().zip(&got) {
                prop_assert!(*got >= want.amount.min(least) - 1e-9 && *got <= want.amount + 1e-9);
            }
        }

        #[test]
        fn bursts_and_floors_sum_to_what_is_stated(rates in prop::collection::vec(0.0..1.0, 1..60), burst in 0.0..200.0) {
            let (sum, n): (f64, usize) = (rates.iter().sum(), rates.len());
            let all: f64 = rates.iter().map(|rate| depth(burst, n, *rate, sum.max(1e-9))).sum();
            prop_assert!(all <= burst.max(n as f64) + 1e-6);
            let floors = Floors { size: 100.0, each: 10.0 / n as f64, gateways: n };
            prop_assert!((floors.pool(n / 2, 0.0) - 90.0).abs() < 1e-6);
            prop_assert!(floors.pool(0, 30.0 / n as f64) <= 70.0 + 1e-6, "older floors are larger");
        }
    }

    #[test]
    fn the_worthy_come_first_and_the_others_keep_their_little() {
        let want = |worth, amount| Want { worth, amount };
        assert_eq!(by_worth(100.0, &[want(1.0, 200.0), want(5.0, 200.0)]), [2.5, 97.5]);
        assert_eq!(by_worth(100.0, &[want(1.0, 200.0), want(5.0, 50.0)]), [50.0, 50.0]);
        let skewed = [want(1.0, 1000.0)];
        assert_eq!(allotment(100.0, &[want(1.0, 100.0)], &[&skewed]), 100.0 / 11.0);
    }
}
