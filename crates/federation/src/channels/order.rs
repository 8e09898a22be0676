//! Whose turn is next, as functions of a cursor.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use yewroute_table::{OnUnknown, Order};

use super::cursor::{Cursor, Doubt, Kept};
pub use crate::permit::most;

/// How a request may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Repeat {
    /// Any number of times.
    Free,
    /// Inside this time after it may first have run; outside its group too if `everywhere`.
    Within {
        /// The time.
        window: Duration,
        /// Repeats are dropped by the db hosts of every group.
        everywhere: bool,
    },
    /// Never.
    Never,
}

/// What a request is, as far as its order goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Wanted {
    /// Its number.
    pub number: Option<u64>,
    /// Its group.
    pub group: u64,
    /// How it may be repeated.
    pub repeat: Repeat,
}

/// What a request's place in the order comes to now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// It is its turn; `again` if it may have run before.
    Go {
        /// It may have run before.
        again: bool,
    },
    /// Another is out, or something may still run for so long.
    Wait(Option<Duration>),
    /// This number is missing before it.
    Gap(u64),
    /// It has ended already.
    Ended(Kept),
    /// It may have run and must not run again: it ends as failed.
    Lost,
    /// The order stands still at this number.
    Halted(u64),
}

/// What a request that comes to a home, where `out` others are out, comes to.
#[must_use]
pub fn step(cursor: &Cursor, out: usize, wanted: &Wanted, drift: f64) -> Step {
    match (cursor.rule.order, wanted.number) {
        (Order::OwnWrites, _) => Step::Go { again: false },
        (Order::Single, _) => {
            let left = cursor.doubt.map_or(Duration::ZERO, |doubt| doubt.left);
            match (out, left.is_zero()) {
                (0, true) => Step::Go { again: false },
                (0, false) => Step::Wait(Some(left)),
                _ => Step::Wait(None),
            }
        }
        // Who takes requests in lets none through without a number.
        (Order::Numbered, None) => Step::Lost,
        (Order::Numbered, Some(number)) => numbered(cursor, out, number, wanted, drift),
    }
}

fn numbered(cursor: &Cursor, out: usize, number: u64, wanted: &Wanted, drift: f64) -> Step {
    if let Some((_, kept)) = cursor.ended.iter().find(|(ended, _)| *ended == number) {
        return Step::Ended(kept.clone());
    }
    match (cursor.halted, cursor.next) {
        (Some(at), _) => Step::Halted(at),
        // It ended so long ago that its outcome is not kept any more.
        (None, Some(next)) if number < next => Step::Ended(Kept::Failed),
        _ if out > 0 => Step::Wait(None),
        (None, Some(next)) if number > next => Step::Gap(next),
        (None, None) if number > 1 => Step::Gap(1),
        (None, _) => match cursor.doubt {
            None => Step::Go { again: false },
            Some(doubt) if ran(&doubt, number, wanted.repeat) => {
                if may_repeat(&doubt, wanted, drift) {
                    Step::Go { again: true }
                } else {
                    Step::Lost
                }
            }
            Some(_) => Step::Go { again: false },
        },
    }
}

/// A lost home may have sent this number. What must never run twice is sent only after holders were told; all else may have
/// been sent without their knowing.
fn ran(doubt: &Doubt, number: u64, repeat: Repeat) -> bool {
    repeat != Repeat::Never || doubt.out.is_some_and(|out| out.number == Some(number))
}

/// The least that a repeat needs on its way to a db host.
const ON_ITS_WAY: Duration = Duration::from_millis(100);

/// How much is left of a window after so long, by both clocks.
fn left(age: &Duration, window: Duration, drift: f64) -> Duration {
    window.saturating_sub(age.mul_f64(1.0 + 2.0 * drift))
}

/// For how long a repeat may still be sent; none if there is no end to it.
#[must_use]
pub fn repeats_for(doubt: &Doubt, repeat: Repeat, drift: f64) -> Option<Duration> {
    match repeat {
        Repeat::Within { window, .. } => Some(left(&doubt.age, window, drift).saturating_sub(ON_ITS_WAY / 2)),
        Repeat::Free | Repeat::Never => None,
    }
}

/// It may be sent once more.
#[must_use]
pub fn may_repeat(doubt: &Doubt, wanted: &Wanted, drift: f64) -> bool {
    match wanted.repeat {
        Repeat::Free => true,
        Repeat::Never => false,
        Repeat::Within { window, everywhere } => {
            // Guards against: a repeat that db hosts elsewhere do not know for one.
            let there = everywhere || doubt.out.is_none_or(|out| out.group == wanted.group);
            there && left(&doubt.age, window, drift) > ON_ITS_WAY
        }
    }
}

/// What a number comes to that has waited for a missing one for as long as it may.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Past {
    /// The channel begins with it: nobody has seen the channel, or nobody remembers it.
    Begins,
    /// What is missing may have run at a home that was lost: it ends as unknown and the order goes on.
    GoesOn,
    /// The same, and the order stands still.
    Halts,
    /// It is refused.
    Refused,
}

/// See [`Past`].
#[must_use]
pub fn past_gap(cursor: &Cursor) -> Past {
    match (cursor.next, cursor.doubt, cursor.rule.on_unknown) {
        (None, ..) => Past::Begins,
        (_, None, _) => Past::Refused,
        (_, Some(_), OnUnknown::GoOn) => Past::GoesOn,
        (_, Some(_), OnUnknown::Halt) => Past::Halts,
    }
}
