//! What must hold when the first byte of an attempt goes out, however long it has waited for its connection.

use std::time::{Duration, Instant};

use yewroute_federation::limits::{Refused, Spent};
use yewroute_federation::permit::Permit;

/// A turn of the loop, or a wait, that has lasted longer than it should by this was held up: what was spent before is spent anew.
pub const HELD_UP: Duration = Duration::from_millis(5);

/// What an attempt has spent of rate limits.
#[derive(Debug)]
pub enum Spending {
    /// At the moment in which it was to be sent.
    Spent(Spent),
    /// Given back while it waits.
    GivenBack(Spent),
}

/// Until when a first byte may go out, and what it spends.
#[derive(Default)]
pub struct FirstByteLimit {
    /// While this runs, if there is one.
    pub permit: Option<Permit>,
    /// Before then, if it is limited.
    pub send_by: Option<Instant>,
    /// What it has spent, if it is limited.
    pub spent: Option<Spending>,
}

impl FirstByteLimit {
    /// Guards against: a first byte by a gateway whose lease has ended since the send was asked for, as when it was stopped in
    /// between. The clock is read again: the turn of the loop may have begun long ago.
    pub fn over(&self) -> bool {
        let over = |now: Instant| {
            self.permit.as_ref().is_some_and(|permit| !permit.runs(now))
                || self.send_by.is_some_and(|by| now >= by)
        };
        (self.permit.is_some() || self.send_by.is_some()) && over(Instant::now())
    }

    /// The attempt waits for a connection: it spends when it has one.
    pub fn wait(&mut self) {
        if let Some(Spending::Spent(spent)) = self.spent.take_if(|spent| matches!(spent, Spending::Spent(_)))
        {
            spent.give_back_rates();
            self.spent = Some(Spending::GivenBack(spent));
        }
    }

    /// The same for an attempt of a turn that began at `turn` and was held up since.
    pub fn wait_if_held_up(&mut self, turn: Instant) {
        if self.spent.is_some() && turn.elapsed() > HELD_UP {
            self.wait();
        }
    }

    /// Spends what was given back, right before the first byte; once.
    ///
    /// # Errors
    /// A limit has nothing left.
    pub fn spend(&mut self) -> Result<(), Refused> {
        if let Some(Spending::GivenBack(spent)) = &self.spent {
            let until = spent.spend_rates_again(Instant::now())?;
            self.send_by = self.send_by.into_iter().chain(until).min();
        }
        // Guards against: spending twice for an attempt that is written once more, as its statement was not there.
        self.spent = None;
        Ok(())
    }
}

#[cfg(test)]
mod tests;
