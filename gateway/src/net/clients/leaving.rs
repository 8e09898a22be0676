//! What a drain or the end of the process means for clients: who leaves when, and what is read no further.

use std::collections::VecDeque;
use std::time::Instant;

use yewroute_lifecycle::Leaving;

use super::closes::CloseReason;
use super::{Admission, Clients, TimerEvent, LISTENER_CLOSE_TIMEOUT};
use crate::net::client::{Client, Phase};
use crate::net::poller::Poller;
use crate::net::Input;

impl Clients {
    /// Takes over what clients are told from now on. A listener that nobody will accept on again is emptied and closed.
    pub fn set_admission(
        &mut self,
        now: Instant,
        admission: Admission,
        poller: &Poller,
        inbox: &mut VecDeque<Input>,
    ) {
        if self.admission == admission {
            return;
        }
        let before = std::mem::replace(&mut self.admission, admission);
        if admission.ends != before.ends {
            self.limit_unsent();
            self.write_on(now, poller, inbox);
        }
        if admission.leaving > before.leaving {
            // Those that leave make room for those that wait at the listener.
            self.send_away(now, poller, inbox);
        }
        if !admission.listens && before.listens {
            let by = if before.accepts { now + LISTENER_CLOSE_TIMEOUT } else { now };
            self.close_listener(now, by, poller);
        } else if let Some(listener) = &self.listener {
            if self.listening && !admission.accepts {
                self.listening = poller.remove(listener).is_err();
            } else if !self.listening && admission.accepts {
                self.timers.set(now, TimerEvent::Accept);
            }
        }
    }

    /// Closes the connections that are to leave without waiting for an answer.
    pub(super) fn send_away(&mut self, now: Instant, poller: &Poller, inbox: &mut VecDeque<Input>) {
        let leaving = self.admission.leaving;
        let leaves = |client: &Client| client.leaves(now, leaving);
        let numbers = self.clients.iter().filter(|(_, client)| leaves(client)).map(|(number, _)| *number);
        for number in numbers.collect::<Vec<_>>() {
            let Some(client) = self.clients.get_mut(&number) else { continue };
            client.phase = Phase::Closing;
            self.closes.count(CloseReason::Draining);
            self.work(now, number, poller, inbox);
        }
        if leaving == Leaving::Parts {
            self.read_no_further(now, poller, inbox);
            self.end_memory_waits(now, poller, inbox);
        }
    }

    /// Reads no further command of clients that wait for an answer. Guards against: commands that are taken over and over
    /// while there is no time left to answer them; what has not been read the client sends elsewhere.
    pub(super) fn read_no_further(&mut self, now: Instant, poller: &Poller, inbox: &mut VecDeque<Input>) {
        let reads_on = |client: &Client| client.phase == Phase::Busy && !client.last_command;
        let numbers = self.clients.iter().filter(|(_, client)| reads_on(client)).map(|(number, _)| *number);
        for number in numbers.collect::<Vec<_>>() {
            if let Some(client) = self.clients.get_mut(&number) {
                client.last_command = true;
                self.work(now, number, poller, inbox);
            }
        }
    }
}
