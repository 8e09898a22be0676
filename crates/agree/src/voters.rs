//! Which members vote: few, spread over regions and zones, replaced one at a time.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Voters there are at the most.
pub const MOST_VOTERS: usize = 5;

/// A process of a gateway that may vote.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Peer {
    /// The gateway's name.
    pub name: Box<str>,
    /// The region it stands in.
    pub region: Box<str>,
    /// The zone it stands in.
    pub zone: Box<str>,
    /// Where its datagrams go.
    pub addr: SocketAddr,
    /// Its incarnation, as the fleet has it.
    pub incarnation: u64,
}

/// What the leader does next about its voters.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// One more learns what was decided, to vote when it has.
    Learn(Peer),
    /// A learner has learned, and votes.
    Vote(u64),
    /// One votes no more.
    Remove(u64),
}

/// A voter, or one that learns to be one, as the leader sees it.
#[derive(Clone, Debug)]
pub struct Seat {
    /// Its number.
    pub number: u64,
    /// Who it is.
    pub peer: Peer,
    /// It learns, and does not vote yet; whether it has learned what it needs.
    pub learns: Option<bool>,
    /// It has not been heard for too long, or is too late with learning.
    pub idle: bool,
}

/// How many vote in a fleet of so many that could: odd, as one more of an even number guards against nothing.
#[must_use]
pub fn wanted(members: usize) -> usize {
    let most = members.min(MOST_VOTERS);
    most - usize::from(most % 2 == 0 && most > 0)
}

/// How crowded voters stand: less where regions, then zones, hold more even numbers of them.
fn crowding<'a>(peers: impl Iterator<Item = &'a Peer>) -> usize {
    let (mut regions, mut zones) = (BTreeMap::<&str, usize>::new(), BTreeMap::<&str, usize>::new());
    for peer in peers {
        *regions.entry(&peer.region).or_default() += 1;
        *zones.entry(&peer.zone).or_default() += 1;
    }
    let squares = |of: &BTreeMap<&str, usize>| of.values().map(|n| n * n).sum::<usize>();
    squares(&regions) * 64 + squares(&zones)
}

/// The next step towards the voters that should be; one at a time, the dead first. `fit` are the members that live and stay,
/// the leader `me` among them.
#[must_use]
pub fn step(me: u64, seats: &[Seat], fit: &[Peer]) -> Option<Step> {
    if let Some(learner) = seats.iter().find(|seat| seat.learns.is_some()) {
        return match learner.learns {
            Some(true) => Some(Step::Vote(learner.number)),
            _ if learner.idle || !fit.contains(&learner.peer) => Some(Step::Remove(learner.number)),
            _ => None,
        };
    }
    let gone = seats.iter().find(|seat| seat.number != me && (seat.idle || !fit.contains(&seat.peer)));
    if let Some(gone) = gone {
        return Some(Step::Remove(gone.number));
    }
    let peers = || seats.iter().map(|seat| &seat.peer);
    let others = fit.iter().filter(|peer| !peers().any(|held| held.addr == peer.addr));
    // The oldest of those that stand as well: it has shown that it stays.
    let best = others.min_by_key(|peer| (crowding(peers().chain([*peer])), peer.incarnation, peer.addr));
    let without = |gone: u64| seats.iter().filter(move |seat| seat.number != gone).map(|seat| &seat.peer);
    let spare = seats.iter().filter(|seat| seat.number != me);
    let worst = spare.min_by_key(|seat| (crowding(without(seat.number)), std::cmp::Reverse(seat.number)));
    let wanted = wanted(fit.len());
    if seats.len() < wanted {
        return best.cloned().map(Step::Learn);
    }
    if seats.len() > wanted {
        return worst.map(|seat| Step::Remove(seat.number));
    }
    let (best, worst) = (best?, worst?);
    let after = crowding(without(worst.number).chain([best]));
    (after < crowding(peers())).then(|| Step::Learn(best.clone()))
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A peer by number: its region and zone are the letters.
    fn peer(n: u16, place: &str) -> Peer {
        let (region, zone) = place.split_at(1);
        let addr = SocketAddr::from(([127, 0, 0, 1], n));
        Peer {
            name: format!("g{n}").into(),
            region: region.into(),
            zone: zone.into(),
            addr,
            incarnation: n.into(),
        }
    }

    fn seat(n: u16, place: &str, learns: Option<bool>, idle: bool) -> Seat {
        Seat { number: n.into(), peer: peer(n, place), learns, idle }
    }

    #[test]
    fn each_step_is_the_one_that_is_due() {
        let of = |places: &[(u16, &str)]| places.iter().map(|(n, place)| peer(*n, place)).collect::<Vec<_>>();
        let sits =
            |places: &[(u16, &str)]| places.iter().map(|(n, p)| seat(*n, p, None, false)).collect::<Vec<_>>();
        let three = [(1, "na"), (2, "sc"), (3, "we")];
        let six = [(1, "na"), (2, "nb"), (3, "na"), (4, "sc"), (5, "sd"), (6, "we")];
        let with = |mut seats: Vec<Seat>, more: Seat| {
            seats.push(more);
            seats
        };
        // What stands, who is fit, and what is next.
        let cases = [
            ("alone", sits(&[(1, "na")]), of(&[(1, "na")]), None),
            ("two are no better than one", sits(&[(1, "na")]), of(&[(1, "na"), (2, "nb")]), None),
            ("another region first", sits(&[(1, "na")]), of(&six), Some(Step::Learn(peer(4, "sc")))),
            ("all is well", sits(&three), of(&three), None),
            ("one learns", with(sits(&three), seat(9, "nb", Some(false), false)), of(&[(9, "nb")]), None),
            (
                "it has learned",
                with(sits(&three), seat(9, "nb", Some(true), false)),
                of(&three),
                Some(Step::Vote(9)),
            ),
            (
                "too late",
                with(sits(&three), seat(9, "nb", Some(false), true)),
                of(&[(9, "nb")]),
                Some(Step::Remove(9)),
            ),
            (
                "a learner is dead",
                with(sits(&three), seat(9, "nb", Some(false), false)),
                of(&three),
                Some(Step::Remove(9)),
            ),
            ("a voter is dead", sits(&three), of(&[(1, "na"), (2, "sc")]), Some(Step::Remove(3))),
            (
                "a voter is silent",
                with(sits(&three[..2]), seat(3, "we", None, true)),
                of(&three),
                Some(Step::Remove(3)),
            ),
            ("too many", sits(&[(1, "na"), (2, "nb")]), of(&[(1, "na"), (2, "nb")]), Some(Step::Remove(2))),
            ("crowded", sits(&six[..5]), of(&six), Some(Step::Learn(peer(6, "we")))),
            ("then the crowd thins", sits(&six), of(&six), Some(Step::Remove(3))),
        ];
        for (what, seats, fit, wanted) in cases {
            assert_eq!(step(1, &seats, &fit), wanted, "{what}");
        }
        assert_eq!([0, 1, 2, 3, 4, 5, 6, 300].map(wanted), [0, 1, 1, 3, 3, 5, 5, 5]);
    }
}
