//! The order of allocators from logs whose lines are all alike.

use std::fs::OpenOptions;
use std::io::Write;
use std::time::Instant;

use super::*;

const SEEN_WITHIN: Duration = Duration::from_secs(10);

struct Logs {
    _folder: tempfile::TempDir,
    paths: Vec<PathBuf>,
}

impl Logs {
    fn new(count: usize) -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        let paths = (0..count).map(|gateway| folder.path().join(format!("g{gateway}.log"))).collect();
        Self { _folder: folder, paths }
    }

    fn write(&self, gateway: usize, text: &str) {
        let mut log = OpenOptions::new().create(true).append(true).open(&self.paths[gateway]).expect("a log");
        log.write_all(text.as_bytes()).expect("room");
    }

    fn start_allocator(&self, gateway: usize) {
        let line = format!("level=info msg=\"{ALLOCATOR_STARTED}\" limit=views version=1 blind=true\n");
        self.write(gateway, &line);
    }
}

/// Waits until so many starts have been seen, and gives them.
fn wait_for_starts(watch: &AllocatorWatch, count: usize) -> Vec<usize> {
    let begun = Instant::now();
    while watch.started().len() < count && begun.elapsed() < SEEN_WITHIN {
        thread::sleep(LOG_POLL_INTERVAL);
    }
    watch.started()
}

#[test]
fn the_latest_allocator_is_the_one_that_started_last_whatever_its_number() {
    let logs = Logs::new(3);
    let watch = AllocatorWatch::start(&logs.paths).expect("a thread");
    assert_eq!(watch.latest(), None, "no gateway has a log yet");
    for (count, gateway) in (1..).zip([2, 0, 1, 0]) {
        logs.start_allocator(gateway);
        assert_eq!(wait_for_starts(&watch, count).len(), count);
        assert_eq!(watch.latest(), Some(gateway));
    }
    assert_eq!(watch.started(), [2, 0, 1, 0]);
}

#[test]
fn a_line_counts_once_it_is_whole_and_other_lines_do_not() {
    let logs = Logs::new(2);
    logs.start_allocator(1);
    let watch = AllocatorWatch::start(&logs.paths).expect("a thread");
    assert_eq!(wait_for_starts(&watch, 1), [1], "what was logged before the watch began");
    logs.write(0, "level=info msg=listening name=g0\n");
    logs.write(0, &format!("level=info msg=\"{ALLOCATOR_STARTED}\""));
    thread::sleep(5 * LOG_POLL_INTERVAL);
    assert_eq!(watch.started(), [1]);
    logs.write(0, " limit=views\n");
    assert_eq!(wait_for_starts(&watch, 2), [1, 0]);
}
