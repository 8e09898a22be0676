//! What operators ask at the console, and what they are answered.

use std::time::Instant;

use tracing::info;
use yewroute_federation::zones::News as ZoneNews;
use yewroute_lifecycle::Stage;

use super::{console, Gateway};
use crate::core::Results;
use crate::log;
use crate::proto::console::{self as calls, Call, Figures, ListFigures, MemoryFigures};

impl Gateway {
    /// Reads the console's callers, those that wait to be taken if `number` is the listener's, and answers calls.
    pub(super) fn callers(&mut self, now: Instant, number: u64) {
        for _ in 0..console::AT_ONCE {
            let Some(console) = &mut self.console else { return };
            let caller = if number == 0 { console.accept(now, &self.poller) } else { Some(number) };
            let Some(caller) = caller else { return };
            if let Some(call) = console.read(now, caller, &self.poller) {
                let mut answer = Vec::new();
                self.call(now, caller, call, &mut answer);
                let Some(console) = &mut self.console else { return };
                match answer.is_empty() {
                    true => console.wait(now, caller),
                    false => console.answer(now, caller, &self.poller, |out| out.extend(answer)),
                }
            }
            if number != 0 {
                return;
            }
        }
    }

    /// Answers an operator's call; nothing is put out if the answer comes later.
    fn call(&mut self, now: Instant, caller: u64, call: Call, out: &mut Vec<u8>) {
        let stage = |gateway: &Self| match gateway.life.stage(gateway.clients.len()) {
            Stage::Starting => "starting",
            Stage::Ready => "ready",
            Stage::Draining => "draining",
            Stage::Drained => "drained",
            Stage::Stopping => "stopping",
        };
        match call {
            Call::Ready => calls::put_word(out, self.life.ready(), stage(self)),
            Call::Drain => {
                info!("console: drain");
                self.life.drain(now);
                calls::put_word(out, true, stage(self));
            }
            Call::Undrain => {
                info!("console: undrain");
                match self.life.undrain() {
                    true => calls::put_word(out, true, stage(self)),
                    false => calls::put_conflict(out, stage(self)),
                }
            }
            Call::Metrics => calls::put_figures(out, &self.figures(now)),
            Call::Fleet => {
                let view = self.fleet.as_ref().and_then(|fleet| fleet.view(now, self.core.directory()));
                calls::put_fleet(out, view.as_ref());
            }
            Call::Table => {
                let view = self.federation.as_ref().and_then(|federation| federation.view(now));
                calls::put_table(out, view.as_ref());
            }
            Call::Zones => {
                let view = self.federation.as_ref().and_then(|federation| federation.zones_view(now));
                calls::put_zones(out, view.as_ref());
            }
            Call::Zone(order) => match self.federation.as_ref().filter(|federation| federation.plans()) {
                None => calls::put_fault(out, calls::Fault::UnknownPath),
                // It is answered when the steward has said what becomes of it.
                Some(federation) if federation.zones(ZoneNews::Drain { caller, order }) => {}
                Some(_) => calls::put_unheard(out),
            },
            Call::PutTable(text) => match &self.federation {
                None => calls::put_fault(out, calls::Fault::UnknownPath),
                // It is answered when the federation has said what becomes of it.
                Some(federation) if federation.put(caller, text) => {}
                Some(_) => calls::put_unheard(out),
            },
        }
        self.attend(now);
    }

    fn list_figures(&self, now: Instant) -> ListFigures {
        let left = self.core.list_expires().map(|expires| expires.saturating_duration_since(now));
        ListFigures {
            lease_ms: left.map_or(0, |left| u64::try_from(left.as_millis()).unwrap_or(u64::MAX)),
            refused: self.core.refused_without_list(),
            ..self.discovery.figures(now, self.core.directory().version())
        }
    }

    fn memory_figures(&self) -> MemoryFigures {
        let (client_read, client_write) = self.clients.buffer_bytes();
        MemoryFigures {
            resident: resident_bytes(),
            answers: self.answer_memory.held(),
            client_read,
            client_write,
            host: self.hosts.buffer_bytes(),
            clients: self.clients.len(),
            hosts: self.hosts.len(),
        }
    }

    fn figures(&self, now: Instant) -> Figures<'_> {
        let names = self.core.deployment().class_names.iter().map(String::as_str);
        let tally = self.core.tally();
        let mut results: Vec<_> = names.zip(tally.classes().iter().copied()).collect();
        if tally.unlisted() != Results::default() {
            results.push(("", tally.unlisted()));
        }
        Figures {
            results,
            forwards: self.hosts.forwards(),
            outstanding: self.core.outstanding(),
            discovered: self.core.directory().held(),
            ejected: self.core.ejected(now),
            list: self.list_figures(now),
            statement_bytes: self.statement_memory.held(),
            statements_waiting: self.clients.waiting_messages(),
            memory: self.memory_figures(),
            client_closes: self.clients.closes(),
            unserved: self.core.unserved().by_reason(),
            failed_attempts: self.core.failed_attempts().by_status(),
            ids_forgotten_early: self.core.ids_forgotten_early(),
            log_lines_dropped: log::dropped_lines(),
            fleet: {
                let fleet = self.fleet.iter().flat_map(|fleet| fleet.figures(now));
                fleet.chain(self.federation.iter().flat_map(|link| link.figures(now))).collect()
            },
        }
    }
}

/// What this process has in memory, as the system counts it; 0 where the system does not tell.
fn resident_bytes() -> usize {
    let pages = std::fs::read_to_string("/proc/self/statm").ok().and_then(|statm| {
        let resident = statm.split(' ').nth(1)?;
        resident.parse::<usize>().ok()
    });
    pages.unwrap_or(0) * rustix::param::page_size()
}
