//! The log: events of `tracing`, to standard error, limited for each place that writes one.

use std::collections::HashMap;
use std::fmt;
use std::io::{self, Write};
use std::os::fd::AsFd;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use rustix::event::{poll, PollFd, PollFlags, Timespec};
use tracing::callsite::Identifier;
use tracing::field::{Field, Visit};
use tracing::{Event, Metadata, Subscriber};
use tracing_subscriber::fmt::format::{self, FormatEvent, FormatFields, Writer};
use tracing_subscriber::fmt::{FmtContext, MakeWriter};
use tracing_subscriber::layer::{Context, Filter, Layer, SubscriberExt};
use tracing_subscriber::registry::LookupSpan;

use crate::cli::LogForm;

/// Lines a call site may write within a window, and how long that is.
const BURST: u32 = 5;
/// The same for calls to discovery: at most two a second, and each of them counts when a list comes too late.
const DISCOVERY_BURST: u32 = 30;
const DISCOVERY_TARGET: &str = "yewroute::net::discovery";
const WINDOW: Duration = Duration::from_secs(10);

/// The account of one call site.
#[derive(Default)]
struct Account {
    since: Option<Instant>,
    written: u32,
    suppressed: u64,
}

impl Account {
    /// Whether a line may be written now; if not, it is counted.
    fn admit(&mut self, now: Instant, burst: u32) -> bool {
        if self.since.is_none_or(|since| now.saturating_duration_since(since) >= WINDOW) {
            self.since = Some(now);
            self.written = 0;
        }
        let admitted = self.written < burst;
        self.written += u32::from(admitted);
        self.suppressed += u64::from(!admitted);
        admitted
    }
}

/// The accounts of all call sites, of which there are as many as the program's text has.
#[derive(Default)]
struct Accounts(Mutex<HashMap<Identifier, Account>>);

impl Accounts {
    /// How many lines of this place have been suppressed since it was asked last.
    fn suppressed(&self, place: &Identifier) -> u64 {
        let mut accounts = self.0.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        accounts.get_mut(place).map_or(0, |account| std::mem::take(&mut account.suppressed))
    }
}

/// Lets a place write only so often.
struct Limit(&'static Accounts);

impl<S: Subscriber> Filter<S> for Limit {
    fn enabled(&self, meta: &Metadata<'_>, _: &Context<'_, S>) -> bool {
        // Guards against: lines of libraries, which the page for those on call does not know, and those that tell no operator anything.
        meta.target().starts_with("yewroute") && *meta.level() <= tracing::Level::INFO
    }

    fn event_enabled(&self, event: &Event<'_>, _: &Context<'_, S>) -> bool {
        let mut accounts = self.0 .0.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        let metadata = event.metadata();
        let burst = if metadata.target() == DISCOVERY_TARGET { DISCOVERY_BURST } else { BURST };
        accounts.entry(metadata.callsite()).or_default().admit(Instant::now(), burst)
    }
}

/// A pipe with room has room for so many bytes at once.
const PIECE: usize = 4_096;

/// Lines that were left out or cut off, as standard error took nothing.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Lines of the log that were lost since the start.
pub fn dropped_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

/// Standard error. A log that nobody reads any more is no reason to stop: unlike `eprintln` it neither fails when standard
/// error is closed nor waits while that is full.
struct Stderr;

impl Write for Stderr {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut stderr = io::stderr().lock();
        let written = line.chunks(PIECE).all(|piece| has_room(&stderr) && stderr.write_all(piece).is_ok());
        if !written {
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Whether a write would not wait. Where that cannot be told, as of a file, it is written.
fn has_room(stderr: &impl AsFd) -> bool {
    let at_once = Timespec::default();
    let mut stderr = [PollFd::new(stderr, PollFlags::OUT)];
    match poll(&mut stderr, Some(&at_once)) {
        Ok(ready) => ready > 0,
        Err(_) => true,
    }
}

impl<'a> MakeWriter<'a> for Stderr {
    type Writer = Self;

    fn make_writer(&'a self) -> Self {
        Self
    }
}

/// Begins to write the log.
pub fn start(form: LogForm) {
    let accounts: &'static Accounts = Box::leak(Box::default());
    let layer = tracing_subscriber::fmt::layer().with_writer(Stderr);
    match form {
        LogForm::Text => {
            let layer = layer.event_format(Logfmt(accounts)).with_filter(Limit(accounts));
            begin(tracing_subscriber::registry().with(layer));
        }
        LogForm::Json => {
            let json = format::json().flatten_event(true).with_target(false);
            let layer = layer.fmt_fields(format::JsonFields::new()).event_format(Counted(json, accounts));
            begin(tracing_subscriber::registry().with(layer.with_filter(Limit(accounts))));
        }
    }
}

fn begin(subscriber: impl Subscriber + Send + Sync) {
    // A second start, as in tests, leaves the first in force.
    let _ = tracing::subscriber::set_global_default(subscriber);
}

/// `level=info msg="listening" name=n0 addr=127.0.0.1:5432`.
struct Logfmt(&'static Accounts);

impl<S, N> FormatEvent<S, N> for Logfmt
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
{
    fn format_event(&self, _: &FmtContext<'_, S, N>, mut out: Writer<'_>, event: &Event<'_>) -> fmt::Result {
        let mut fields = Fields::default();
        event.record(&mut fields);
        write!(out, "level={} msg={}", level(event), quoted(&fields.message))?;
        for (name, value) in &fields.rest {
            write!(out, " {name}={}", quoted(value))?;
        }
        match self.0.suppressed(&event.metadata().callsite()) {
            0 => writeln!(out),
            n => writeln!(out, " suppressed={n}"),
        }
    }
}

/// A line of JSON with the count of those suppressed before it.
struct Counted<F>(F, &'static Accounts);

impl<S, N, F> FormatEvent<S, N> for Counted<F>
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
    F: FormatEvent<S, N>,
{
    fn format_event(
        &self,
        context: &FmtContext<'_, S, N>,
        mut out: Writer<'_>,
        event: &Event<'_>,
    ) -> fmt::Result {
        let mut line = String::new();
        self.0.format_event(context, Writer::new(&mut line), event)?;
        match (self.1.suppressed(&event.metadata().callsite()), line.trim_end().strip_suffix('}')) {
            (0, _) | (_, None) => out.write_str(&line),
            (n, Some(open)) => writeln!(out, "{open},\"suppressed\":{n}}}"),
        }
    }
}

fn level(event: &Event<'_>) -> &'static str {
    match *event.metadata().level() {
        tracing::Level::ERROR => "error",
        tracing::Level::WARN => "warn",
        _ => "info",
    }
}

#[derive(Default)]
struct Fields {
    message: String,
    rest: Vec<(&'static str, String)>,
}

impl Visit for Fields {
    fn record_str(&mut self, field: &Field, value: &str) {
        self.rest.push((field.name(), value.to_owned()));
    }

    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        if field.name() == "message" {
            self.message = format!("{value:?}");
        } else {
            self.rest.push((field.name(), format!("{value:?}")));
        }
    }
}

/// A value as it is if it is one plain word, else in quotes. Guards against: text from outside that makes two lines
/// of one, or another field.
fn quoted(value: &str) -> String {
    let plain = |c: char| !c.is_control() && !c.is_whitespace() && !matches!(c, '"' | '=' | '\\');
    if !value.is_empty() && value.chars().all(plain) {
        return value.to_owned();
    }
    format!("{value:?}")
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_call_site_is_limited_and_counts_what_it_suppressed() {
        let mut account = Account::default();
        let start = Instant::now();
        for _ in 0..BURST {
            assert!(account.admit(start, BURST));
        }
        assert!(!account.admit(start, BURST) && !account.admit(start + WINDOW / 2, BURST));
        assert_eq!(std::mem::take(&mut account.suppressed), 2);
        assert!(account.admit(start + WINDOW, BURST));
        assert_eq!(account.suppressed, 0);
    }

    #[test]
    fn a_value_cannot_pass_for_more_than_one() {
        assert_eq!([quoted("127.0.0.1:5"), quoted("")], ["127.0.0.1:5", "\"\""]);
        assert_eq!(quoted("a\nlevel=error"), "\"a\\nlevel=error\"");
    }
}
