//! When the machine held up the rig or a gateway, for reading a play that broke a rule. No rule is judged by it.

use std::collections::HashMap;
use std::fs;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use super::checker::seconds_since;

/// How often the watch looks.
const INTERVAL: Duration = Duration::from_millis(20);
/// Shorter hold-ups are not kept.
const SHORTEST: Duration = Duration::from_millis(40);
/// The unit of the kernel's count in `/proc/stat`, `USER_HZ`.
const TICK: Duration = Duration::from_millis(10);
/// At most so many are kept.
const MOST_KEPT: usize = 10_000;

/// What was held up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HoldUp {
    /// The watch itself woke up so much later than it was due.
    Watch(Duration),
    /// A gateway that could run waited for a processor for so long, by the kernel's count.
    Runnable { gateway: usize, waited: Duration },
    /// The host of this virtual machine did not run a processor for so long, by the kernel's count.
    Stolen { processor: usize, taken: Duration },
    /// A gateway did not run as it waited for a device or for memory.
    Uninterruptible { gateway: usize },
}

/// Watches until it is ended.
pub struct HoldUpWatch {
    over: Arc<AtomicBool>,
    thread: JoinHandle<Vec<(Instant, HoldUp)>>,
}

impl HoldUpWatch {
    /// Watches the processes that stand there, 0 for none.
    pub fn start(process_ids: Arc<[AtomicU32]>) -> Self {
        let over = Arc::new(AtomicBool::new(false));
        let ends = Arc::clone(&over);
        Self { over, thread: thread::spawn(move || watch(&process_ids, &ends)) }
    }

    /// What was seen, a line each, with seconds since the start.
    pub fn end(self, start: Instant) -> Vec<String> {
        self.over.store(true, Ordering::SeqCst);
        let seen = self.thread.join().unwrap_or_default();
        seen.into_iter()
            .map(|(at, what)| format!("{:.3} held up: {what:?}", seconds_since(start, at)))
            .collect()
    }
}

fn watch(process_ids: &[AtomicU32], over: &AtomicBool) -> Vec<(Instant, HoldUp)> {
    let (mut seen, mut waits, mut stolen) = (Vec::new(), HashMap::new(), stolen_times());
    while !over.load(Ordering::SeqCst) && seen.len() < MOST_KEPT {
        let due = Instant::now() + INTERVAL;
        thread::sleep(INTERVAL);
        let late = Instant::now().saturating_duration_since(due);
        let own = Some(HoldUp::Watch(late)).filter(|_| late >= SHORTEST);
        let ids = process_ids.iter().map(|id| id.load(Ordering::SeqCst)).enumerate();
        let of_gateways =
            ids.filter(|(_, id)| *id != 0).flat_map(|(gateway, id)| look(gateway, id, &mut waits));
        let before = std::mem::replace(&mut stolen, stolen_times());
        let of_processors = of_processors(&before, &stolen);
        let now = Instant::now();
        seen.extend(own.into_iter().chain(of_gateways).chain(of_processors).map(|what| (now, what)));
    }
    seen
}

/// What has held up one process since the last look. `waits` is how long each had waited for processors in all.
fn look(gateway: usize, id: u32, waits: &mut HashMap<u32, Duration>) -> Vec<HoldUp> {
    let mut found = Vec::new();
    if let Some(total) = run_queue_wait(id) {
        let waited = waits.insert(id, total).map_or(Duration::ZERO, |before| total.saturating_sub(before));
        found.extend(Some(HoldUp::Runnable { gateway, waited }).filter(|_| waited >= SHORTEST));
    }
    found.extend(Some(HoldUp::Uninterruptible { gateway }).filter(|_| state(id) == Some('D')));
    found
}

/// What was taken from processors between two counts.
fn of_processors(before: &[Duration], after: &[Duration]) -> Vec<HoldUp> {
    let taken = before.iter().zip(after).map(|(before, after)| after.saturating_sub(*before));
    let long = taken.enumerate().filter(|(_, taken)| *taken >= SHORTEST);
    long.map(|(processor, taken)| HoldUp::Stolen { processor, taken }).collect()
}

/// How long each processor has not been run by the host of this virtual machine, in all: the eighth number of its line in
/// `/proc/stat`.
fn stolen_times() -> Vec<Duration> {
    let text = fs::read_to_string("/proc/stat").unwrap_or_default();
    let of_line = |line: &str| {
        let mut words = line.split_whitespace();
        let numbered = words.next()?.strip_prefix("cpu")?.parse::<usize>().is_ok();
        let ticks: u32 = words.nth(7)?.parse().ok()?;
        numbered.then_some(TICK * ticks)
    };
    text.lines().filter_map(of_line).collect()
}

/// How long a process has been able to run and has not, in all: the second number of `/proc/PID/schedstat`, in nanoseconds.
fn run_queue_wait(id: u32) -> Option<Duration> {
    let text = fs::read_to_string(format!("/proc/{id}/schedstat")).ok()?;
    text.split_whitespace().nth(1)?.parse().ok().map(Duration::from_nanos)
}

/// The state of a process, after its name in brackets in `/proc/PID/stat`.
fn state(id: u32) -> Option<char> {
    let text = fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
    text.rsplit_once(") ")?.1.chars().next()
}

#[cfg(test)]
mod tests;
