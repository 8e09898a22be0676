//! Memory for clients' long messages, which is set aside before those are read on.

use std::collections::VecDeque;
use std::time::Instant;

use yewroute_ledger::Grant;
use yewroute_lifecycle::Leaving;

use super::{Clients, TimerEvent};
use crate::net::client::LongMessage;
use crate::net::memory_wait::Step;
use crate::net::poller::Poller;
use crate::net::Input;

impl Clients {
    /// Sets bytes aside for a client's long message; true if it may go on reading.
    pub(super) fn reserve(&mut self, now: Instant, number: u64) -> bool {
        let Some(client) = self.clients.get_mut(&number) else { return false };
        let Some(LongMessage::Announced(len)) = client.long else { return false };
        match self.waiting_messages.reserve(number, len) {
            Grant::Given(permit) => client.hold(now, permit),
            // Its turn would come when there is no time left to answer it.
            Grant::Waits if self.admission.leaving == Leaving::Parts => {
                client.refuse_unread(now, self.wait_terms.retry_after);
            }
            Grant::Waits => {
                client.begin_memory_wait(now, len, &self.wait_terms);
                if self.pay_for_whole_message(now, number) {
                    return true;
                }
                self.timers.set(now, TimerEvent::MemoryWait(number));
                return false;
            }
            Grant::Never => client.refuse_unread(now, self.wait_terms.retry_after),
        }
        true
    }

    /// Lets those in whose turn has come. Guards against: a message that waits on when a permit was dropped or the limit was
    /// raised, of which nothing else tells it. So it is called in each turn of the loop as well.
    pub(in crate::net) fn admit_waiting_messages(
        &mut self,
        now: Instant,
        poller: &Poller,
        inbox: &mut VecDeque<Input>,
    ) {
        while let Some((number, grant)) = self.waiting_messages.next_turn() {
            let waits = self.clients.get_mut(&number).filter(|client| client.awaits_memory());
            let Some(client) = waits else { continue };
            match grant {
                Grant::Given(permit) => client.hold(now, permit),
                _ => client.refuse_unread(now, self.wait_terms.retry_after),
            }
            while self.work_on(now, number, poller, inbox) && self.reserve(now, number) {}
        }
    }

    /// Sets bytes aside for a message that waits for them, if it has come whole and there are some for such ones.
    fn pay_for_whole_message(&mut self, now: Instant, number: u64) -> bool {
        let Some(client) = self.clients.get_mut(&number) else { return false };
        let permit = client.awaits_reading_only().and_then(|len| self.statements.whole(len));
        let Some(permit) = permit else { return false };
        self.waiting_messages.cancel(number);
        client.hold(now, permit);
        true
    }

    /// Sees how long a client's message has waited for memory, and refuses it if that is too long.
    pub(super) fn check_memory_wait(
        &mut self,
        now: Instant,
        number: u64,
        poller: &Poller,
        inbox: &mut VecDeque<Input>,
    ) {
        if self.pay_for_whole_message(now, number) {
            self.work(now, number, poller, inbox);
            return;
        }
        let step = self.clients.get_mut(&number).and_then(|client| client.check_memory_wait(now));
        match step {
            Some(Step::CheckAt(at)) => self.timers.set(at, TimerEvent::MemoryWait(number)),
            Some(Step::Refuse) => self.refuse_unread(now, number, poller, inbox),
            Some(Step::NotDue) | None => {}
        }
    }

    /// Refuses all that waits for memory. Guards against: a process that ends, or is killed, over requests that it has not read.
    pub(super) fn end_memory_waits(&mut self, now: Instant, poller: &Poller, inbox: &mut VecDeque<Input>) {
        if self.waiting_messages.is_empty() {
            return;
        }
        let waiting = self.clients.iter().filter(|(_, client)| client.awaits_memory());
        for number in waiting.map(|(number, _)| *number).collect::<Vec<_>>() {
            self.refuse_unread(now, number, poller, inbox);
        }
    }

    fn refuse_unread(&mut self, now: Instant, number: u64, poller: &Poller, inbox: &mut VecDeque<Input>) {
        if let Some(client) = self.clients.get_mut(&number) {
            client.refuse_unread(now, self.wait_terms.retry_after);
            self.work(now, number, poller, inbox);
        }
    }
}
