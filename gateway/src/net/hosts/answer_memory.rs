//! Memory for answers: bytes are set aside before an answer is read on, and go on with it to its client.

use super::{Hosts, HostsContext};
use crate::memory_plan::UNPAID_ANSWER;

impl Hosts {
    /// Sets bytes aside for what is coming on a connection; without any it is not read from until there are.
    pub(super) fn pay_for_answer(&mut self, number: u64, a: &mut HostsContext) {
        let Some(conn) = self.conns.get_mut(&number).filter(|conn| !conn.starved) else { return };
        let needed = conn.answer_bytes();
        if needed <= conn.paid_bytes() {
            return;
        }
        let permit = self.answers.try_take(needed).filter(|_| self.starved.is_empty());
        if permit.is_some() {
            conn.answer_permit = permit;
            return;
        }
        self.starved.push_back(number);
        self.answers.set_short(true);
        if conn.starve(number, true, a).is_err() {
            self.lose(number, a);
        }
    }

    /// Reads on from connections that there are bytes for now, in order.
    pub(super) fn feed_starved(&mut self, a: &mut HostsContext) {
        // The clients of these answers have set bytes aside themselves for what they have not taken.
        self.answered.clear();
        while let Some(number) = self.starved.front().copied() {
            let waiting = self.conns.get_mut(&number).filter(|conn| conn.starved);
            if let Some(conn) = waiting {
                let Some(permit) = self.answers.try_take(conn.answer_bytes()) else { return };
                conn.answer_permit = Some(permit);
                if conn.starve(number, false, a).is_err() {
                    self.lose(number, a);
                }
            }
            self.starved.pop_front();
        }
        self.answers.set_short(false);
    }

    /// How many bytes may be read from a connection now.
    pub(super) fn read_size(&self, number: u64) -> usize {
        let Some(conn) = self.conns.get(&number) else { return 0 };
        if conn.passing {
            return self.receive_limits.piece;
        }
        let next = conn.gather.stated(&conn.buffer).unwrap_or(0);
        next.max(UNPAID_ANSWER)
    }
}
