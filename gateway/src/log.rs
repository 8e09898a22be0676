//! The log: one macro, to standard error, rate-limited for each call site.

use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Lines a call site may write within a window, and how long that is.
const BURST: u32 = 5;
const WINDOW: Duration = Duration::from_secs(10);

/// The account of one call site.
pub struct Site(Mutex<Account>);

struct Account {
    since: Option<Instant>,
    written: u32,
    suppressed: u64,
}

impl Site {
    pub const fn new() -> Self {
        Self(Mutex::new(Account { since: None, written: 0, suppressed: 0 }))
    }

    /// Whether a line may be written now, and then how many were suppressed since the last.
    pub fn admit(&self, now: Instant) -> Option<u64> {
        let mut account = self.0.lock().ok()?;
        if account.since.is_none_or(|since| now.saturating_duration_since(since) >= WINDOW) {
            account.since = Some(now);
            account.written = 0;
        }
        if account.written >= BURST {
            account.suppressed += 1;
            return None;
        }
        account.written += 1;
        Some(std::mem::take(&mut account.suppressed))
    }
}

/// Writes a line. A log that nobody reads any more is no reason to stop, so unlike `eprintln` this does not
/// panic when standard error is closed.
pub fn write(line: std::fmt::Arguments<'_>, suppressed: u64) {
    use std::io::Write;
    let mut out = std::io::stderr().lock();
    let _ = match suppressed {
        0 => writeln!(out, "yewroute: {line}"),
        n => writeln!(out, "yewroute: {line} ({n} like it suppressed)"),
    };
}

/// `eprintln` with a limit for each place that calls it.
#[macro_export]
macro_rules! log {
    ($($arg:tt)*) => {{
        static SITE: $crate::log::Site = $crate::log::Site::new();
        if let Some(suppressed) = SITE.admit(std::time::Instant::now()) {
            $crate::log::write(format_args!($($arg)*), suppressed);
        }
    }};
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_call_site_is_limited_and_counts_what_it_suppressed() {
        let site = Site::new();
        let start = Instant::now();
        for _ in 0..BURST {
            assert_eq!(site.admit(start), Some(0));
        }
        assert_eq!(site.admit(start), None);
        assert_eq!(site.admit(start + WINDOW / 2), None);
        assert_eq!(site.admit(start + WINDOW), Some(2));
        assert_eq!(site.admit(start + WINDOW), Some(0));
    }
}
