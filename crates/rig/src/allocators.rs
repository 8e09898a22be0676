//! Which gateway became the allocator of a limit, and in which order: read from the gateways' logs while they are written.
//!
//! A log line carries no time, and the line of one gateway is the same as that of the next. The order therefore cannot be told
//! from the finished logs; it is the order in which the lines are seen to appear.

use std::fs::File;
use std::io::{self, Read, Seek, SeekFrom};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use crate::held;

/// What a gateway logs when it becomes the allocator of a limit.
pub const ALLOCATOR_STARTED: &str = "federation: this gateway keeps a limit";
/// How often logs are read: far shorter than the lease of an allocator, so that no two of one limit start within it.
const LOG_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A gateway's log, read as far as its last whole line.
struct Log {
    path: PathBuf,
    read_bytes: u64,
}

impl Log {
    /// The whole lines that were written since the last call; none while there is no log yet.
    fn new_lines(&mut self) -> io::Result<String> {
        if std::fs::metadata(&self.path)?.len() <= self.read_bytes {
            return Ok(String::new());
        }
        let mut file = File::open(&self.path)?;
        file.seek(SeekFrom::Start(self.read_bytes))?;
        let mut bytes = Vec::new();
        file.read_to_end(&mut bytes)?;
        let whole = bytes.iter().rposition(|byte| *byte == b'\n').map_or(0, |end| end + 1);
        bytes.truncate(whole);
        self.read_bytes += whole as u64;
        Ok(String::from_utf8_lossy(&bytes).into_owned())
    }
}

/// Reads logs in a thread of its own until it is dropped.
pub struct AllocatorWatch {
    /// Gateways by their numbers, in the order in which they became allocators.
    started: Arc<Mutex<Vec<usize>>>,
    stopped: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl AllocatorWatch {
    /// Watches the logs of gateways, which need not be there yet: the first path is that of gateway 0.
    ///
    /// # Errors
    /// The system gives no thread.
    pub fn start(paths: &[PathBuf]) -> io::Result<Self> {
        let log = |path: &PathBuf| Log { path: path.clone(), read_bytes: 0 };
        let mut logs: Vec<Log> = paths.iter().map(log).collect();
        let started = Arc::new(Mutex::new(Vec::new()));
        let stopped = Arc::new(AtomicBool::new(false));
        let (of_started, of_stopped) = (Arc::clone(&started), Arc::clone(&stopped));
        let work = move || {
            while !of_stopped.load(Ordering::Relaxed) {
                note_starts(&mut logs, &of_started);
                thread::sleep(LOG_POLL_INTERVAL);
            }
        };
        let thread = thread::Builder::new().name("allocators".into()).spawn(work)?;
        Ok(Self { started, stopped, thread: Some(thread) })
    }

    /// The gateway that became an allocator last.
    #[must_use]
    pub fn latest(&self) -> Option<usize> {
        held(&self.started).last().copied()
    }

    /// All starts so far, in their order; a gateway is in it as often as it became an allocator.
    #[must_use]
    pub fn started(&self) -> Vec<usize> {
        held(&self.started).clone()
    }
}

impl Drop for AllocatorWatch {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            // A panic there was printed by itself.
            let _ = thread.join();
        }
    }
}

/// Notes each gateway once for each of its new lines that say so.
fn note_starts(logs: &mut [Log], started: &Mutex<Vec<usize>>) {
    for (gateway, log) in logs.iter_mut().enumerate() {
        // A gateway that has not been started has no log.
        let lines = log.new_lines().unwrap_or_default();
        let starts = lines.lines().filter(|line| line.contains(ALLOCATOR_STARTED)).count();
        held(started).extend(std::iter::repeat_n(gateway, starts));
    }
}

#[cfg(test)]
mod tests;
