//! The commands on recorded traffic. Results go to standard output; warnings, faults and the progress bar go to
//! standard error.

use std::fs::File;
use std::io::{self, BufWriter, IsTerminal, Read, Write};
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use indicatif::{ProgressBar, ProgressStyle};
use serde_json::json;
use thiserror::Error;
use yewroute_capture::read::{read, Fault, Summary};
use yewroute_capture::write::Writer;
use yewroute_reassembly::stream::Oddities;
use yewroute_reassembly::{Flows, Limits};
use yewroute_replay::{Plan, Report, Retell};
use yewroute_traffic::diff::{diff, Difference, Side};
use yewroute_traffic::stats::Stats;
use yewroute_traffic::{Counts, Outcome, Request, Requests};

use crate::cli::{Pcap, Speed};
use crate::replay;

/// A file that cannot be read: it is no capture, or the system refuses it. As sysexits has it for bad input.
const EXIT_DATA: u8 = 65;
/// Two recordings differ.
const EXIT_DIFFERENT: u8 = 1;
/// Files from this length on have a progress bar, where a terminal is there.
const LONG: u64 = 64 * 1024 * 1024;

/// In the order in which they are counted.
const OUTCOMES: [Outcome; 5] =
    [Outcome::Served, Outcome::Refused, Outcome::Failed, Outcome::Skipped, Outcome::Unanswered];

/// Why a command ends early.
#[derive(Debug, Error)]
enum Failed {
    #[error("{0}: {1}")]
    Open(String, io::Error),
    #[error("{0}: {1}")]
    Read(String, Fault),
    #[error("standard output: {0}")]
    Output(#[from] io::Error),
    #[error("{0}: its requests take more than {1} MB: raise --memory-mb or cut the recording")]
    TooMuch(String, usize),
    #[error("replay: {0}")]
    Replay(io::Error),
}

/// What was in a file beside requests.
struct Found {
    summary: Summary,
    counts: Counts,
    odd: Oddities,
    given_up: u64,
    connections: u64,
}

/// Runs a command.
pub fn run(command: &Pcap) -> ExitCode {
    let result = match command {
        Pcap::Requests { file, shape } => requests(file, *shape),
        Pcap::Stats { file } => stats(file),
        Pcap::Diff { first, second } => differences(first, second),
        Pcap::Replay { file, to, speed, map_ids, server, write, memory_mb } => {
            let speed = if let Speed::Times(times) = speed { Some(*times) } else { None };
            let most = memory_mb.saturating_mul(1024 * 1024);
            again(file, *to, speed, *map_ids, *server, write.as_deref(), most)
        }
    };
    match result {
        Ok(code) => code,
        // Guards against: an error told because a reader such as `head` has had enough.
        Err(Failed::Output(error)) if error.kind() == io::ErrorKind::BrokenPipe => ExitCode::SUCCESS,
        Err(failed) => {
            eprintln!("{failed}");
            ExitCode::from(EXIT_DATA)
        }
    }
}

/// Reads a file and hands on each request in it.
fn each(path: &Path, out: impl FnMut(Request)) -> Result<Found, Failed> {
    let name = path.display().to_string();
    let file = File::open(path).map_err(|e| Failed::Open(name.clone(), e))?;
    let len = file.metadata().map_or(0, |meta| meta.len());
    let bar = if len >= LONG && io::stderr().is_terminal() {
        let style = ProgressStyle::with_template("{bar:40} {bytes}/{total_bytes} {bytes_per_sec} {eta}");
        ProgressBar::new(len).with_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()))
    } else {
        ProgressBar::hidden()
    };
    let mut flows = Flows::new(Limits::default());
    let mut requests = Requests::new(out);
    let result = read(Watched { file, bar: &bar }, |segment| flows.push(segment, &mut requests));
    flows.finish(&mut requests);
    bar.finish_and_clear();
    let summary = result.map_err(|fault| Failed::Read(name.clone(), fault))?;
    if let Some(offset) = summary.cut_at {
        eprintln!("{name}: offset {offset}: the file is cut off within a block; all before it was read");
    }
    let (odd, given_up) = flows.oddities();
    Ok(Found { summary, counts: requests.counts(), odd, given_up, connections: flows.begun() })
}

/// A file whose reading moves a bar.
struct Watched<'a> {
    file: File,
    bar: &'a ProgressBar,
}

impl Read for Watched<'_> {
    fn read(&mut self, out: &mut [u8]) -> io::Result<usize> {
        let len = self.file.read(out)?;
        self.bar.inc(len as u64);
        Ok(len)
    }
}

fn requests(file: &Path, shape: bool) -> Result<ExitCode, Failed> {
    let mut out = BufWriter::new(io::stdout().lock());
    let mut failed = None;
    each(file, |request| {
        if failed.is_none() {
            failed = writeln!(out, "{}", line(&request, shape)).err();
        }
    })?;
    failed.map_or(Ok(()), Err)?;
    out.flush()?;
    Ok(ExitCode::SUCCESS)
}

/// A request as a line of JSON.
fn line(request: &Request, shape: bool) -> serde_json::Value {
    let text = if shape { yewroute_pgwire::lexer::shape(&request.text) } else { request.text.clone() };
    let values = request.parameters.as_ref().filter(|_| !shape).map(|values| {
        let text = |value: &Vec<u8>| String::from_utf8_lossy(value).into_owned();
        values.iter().map(|value| value.as_ref().map(text)).collect::<Vec<_>>()
    });
    let ms = |span: Duration| (span.as_secs_f64() * 1_000_000.0).round() / 1000.0;
    json!({
        "at": request.at.as_secs_f64(),
        "client": request.client.to_string(),
        "server": request.server.to_string(),
        "connection": request.connection,
        "id": String::from_utf8_lossy(&request.id),
        "class": request.class,
        "group": request.group,
        "statement": String::from_utf8_lossy(&text),
        "parameters": values,
        "outcome": request.outcome.name(),
        "sqlstate": request.sqlstate,
        "answer_ms": request.answered.map(|at| ms(at.saturating_sub(request.at))),
        "value_crc32": request.value,
    })
}

fn stats(file: &Path) -> Result<ExitCode, Failed> {
    let mut stats = Stats::default();
    let found = each(file, |request| stats.take(&request))?;
    let mut out = BufWriter::new(io::stdout().lock());
    let (span, most) = stats.span();
    let all: u64 = stats.lines().map(|(_, _, line)| line.outcomes.iter().sum::<u64>()).sum();
    let rate = if span.is_zero() { 0.0 } else { all as f64 / span.as_secs_f64() };
    let Found { summary, counts, odd, given_up, connections } = found;
    writeln!(
        out,
        "requests {all} in {:.3} s, {rate:.1} a second, {most} in the busiest",
        span.as_secs_f64()
    )?;
    for (server, class, line) in stats.lines() {
        write!(out, "{server} {class}:")?;
        for (outcome, count) in OUTCOMES.into_iter().zip(line.outcomes) {
            write!(out, " {} {count}", outcome.name())?;
        }
        let ms = |quantile| line.times.value_at_quantile(quantile) as f64 / 1000.0;
        let (p50, p90, p99, max) = (ms(0.5), ms(0.9), ms(0.99), line.times.max() as f64 / 1000.0);
        writeln!(out, "; ms p50 {p50:.1} p90 {p90:.1} p99 {p99:.1} max {max:.1}")?;
    }
    let Summary { packets, bytes, other, malformed, unknown_link, fragments, cut_at: _ } = summary;
    writeln!(
        out,
        "packets {packets} in {bytes} bytes; without TCP {other}, malformed {malformed}, of unknown links \
         {unknown_link}, fragments {fragments}"
    )?;
    let Oddities { repeated, differing, gaps, lost, stray } = odd;
    writeln!(
        out,
        "connections {connections}, given up {given_up}; bytes repeated {repeated}, of which differing {differing}; \
         gaps {gaps} of {lost} bytes; stray segments {stray}"
    )?;
    let Counts { unreadable, encrypted, unknown_statements, other_queries, resumed, malformed } = counts;
    writeln!(
        out,
        "unreadable bytes {unreadable}, encrypted connections {encrypted}, unknown statements {unknown_statements}, \
         other queries {other_queries}, taken up again {resumed}, malformed messages {malformed}"
    )?;
    out.flush()?;
    Ok(ExitCode::SUCCESS)
}

/// Sends a recording's requests again.
fn again(
    file: &Path,
    to: SocketAddr,
    speed: Option<f64>,
    map_ids: bool,
    server: Option<SocketAddr>,
    write: Option<&Path>,
    most: usize,
) -> Result<ExitCode, Failed> {
    let name = file.display().to_string();
    let (mut requests, mut bytes) = (Vec::new(), 0);
    each(file, |request| {
        let wanted = server.is_none_or(|server| server == request.server);
        // What was skipped was never taken; a replay sends it once the error before it is gone.
        if wanted && bytes <= most {
            bytes += request.text.len() + request.bind.as_ref().map_or(0, Vec::len) + size_of::<Request>();
            requests.push(request);
        }
    })?;
    // Guards against: a recording that does not fit into the memory, which would end the replay without a word.
    if bytes > most {
        return Err(Failed::TooMuch(name, most / 1024 / 1024));
    }
    // They come in the order of their ends.
    requests.sort_by_key(|request| request.at);
    let first = requests.first().map(|request| request.at).unwrap_or_default();
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let suffix = if map_ids { format!("-{:x}", now.as_micros()) } else { String::new() };
    let mut plan = Plan::new(speed, Retell { suffix, later: now.saturating_sub(first) });
    let count = requests.len();
    requests.into_iter().for_each(|request| plan.add(&request));
    let tape = match write {
        Some(path) => {
            let failed = |e| Failed::Open(path.display().to_string(), e);
            Some(Writer::new(BufWriter::new(File::create(path).map_err(failed)?)).map_err(failed)?)
        }
        None => None,
    };
    let bar = if io::stderr().is_terminal() { ProgressBar::new(count as u64) } else { ProgressBar::hidden() };
    let (report, broken) = replay::run(to, plan, tape, &bar).map_err(Failed::Replay)?;
    bar.finish_and_clear();
    let Report { sent, outcomes, other_outcome, other_value, late, latest } = report;
    let mut out = io::stdout().lock();
    write!(out, "sent {sent}:")?;
    for (outcome, count) in OUTCOMES.into_iter().zip(outcomes).filter(|(_, count)| *count > 0) {
        write!(out, " {} {count}", outcome.name())?;
    }
    writeln!(
        out,
        "; other outcomes {other_outcome}, other values {other_value}, broken connections {broken}"
    )?;
    if late > 0 {
        let ms = latest.as_millis();
        writeln!(out, "slower than the recording: {late} requests went out late, the latest by {ms} ms")?;
    }
    Ok(if other_outcome == 0 { ExitCode::SUCCESS } else { ExitCode::from(EXIT_DIFFERENT) })
}

fn differences(first: &Path, second: &Path) -> Result<ExitCode, Failed> {
    let side = |file: &Path| {
        let mut side = Side::default();
        each(file, |request| side.take(&request)).map(|_| side)
    };
    let (first, second) = (side(first)?, side(second)?);
    let found = diff(&first, &second);
    let mut out = BufWriter::new(io::stdout().lock());
    for (id, difference) in &found {
        let (what, from, to) = match difference {
            Difference::OnlyFirst => ("only in the first", None, None),
            Difference::OnlySecond => ("only in the second", None, None),
            Difference::Statement => ("statement", None, None),
            Difference::Outcome(from, to) => ("outcome", Some(from), Some(to)),
            Difference::Value => ("value", None, None),
        };
        writeln!(
            out,
            "{}",
            json!({ "id": String::from_utf8_lossy(id), "differs": what, "from": from, "to": to })
        )?;
    }
    out.flush()?;
    eprintln!("{} and {} requests, {} differences", first.len(), second.len(), found.len());
    Ok(if found.is_empty() { ExitCode::SUCCESS } else { ExitCode::from(EXIT_DIFFERENT) })
}
