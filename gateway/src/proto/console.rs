//! The operators' calls: HTTP/1.1, one on a connection, without I/O.

use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Instant;

use serde::Serialize;
use yewroute_federation::bridge::{Acting, Next, Status};
use yewroute_federation::zones;
use yewroute_federation::zones::Order;
use yewroute_table::LONGEST_TEXT;

use crate::core::Results;

/// The longest head of a call that is read.
pub const LONGEST_HEAD: usize = 4 * 1024;
/// The most header fields of one.
const MOST_FIELDS: usize = 32;

/// What is asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Whether this process takes clients.
    Ready,
    /// The figures.
    Metrics,
    /// Send clients away.
    Drain,
    /// Take clients again.
    Undrain,
    /// Who is in the fleet.
    Fleet,
    /// What all gateways act by.
    Table,
    /// The next table.
    PutTable(String),
    /// Where reads go by the plan for all zones.
    Zones,
    /// A zone's traffic is moved away, or back.
    Zone(Order),
}

/// A call that is not answered with what it asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It cannot be read.
    Malformed,
    /// Nothing is at this path.
    UnknownPath,
    /// The path has another method.
    Method(&'static str),
    /// The head is too long.
    TooLong,
    /// It has not come whole in time.
    Late,
    /// It does not say how long its body is.
    NoLength,
    /// Its body is too long.
    TooLarge,
    /// Too many bodies come at once.
    Busy,
}

/// Paths, with what they allow, and the call of each method.
static CALLS: [(&str, &str, &str, Call); 8] = [
    ("/ready", "GET", "GET", Call::Ready),
    ("/metrics", "GET", "GET", Call::Metrics),
    ("/drain", "PUT", "PUT", Call::Drain),
    ("/undrain", "PUT", "PUT", Call::Undrain),
    ("/fleet", "GET", "GET", Call::Fleet),
    ("/zones", "GET", "GET", Call::Zones),
    ("/table", "GET, PUT", "GET", Call::Table),
    ("/table", "GET, PUT", "PUT", Call::PutTable(String::new())),
];

/// Reads a call once its head is whole, and its body where it has one that counts; another body is not looked at.
pub fn call(bytes: &[u8]) -> Result<Option<Call>, Fault> {
    let mut fields = [httparse::EMPTY_HEADER; MOST_FIELDS];
    let mut request = httparse::Request::new(&mut fields);
    match request.parse(bytes) {
        Ok(httparse::Status::Complete(len)) if len > LONGEST_HEAD => Err(Fault::TooLong),
        Ok(httparse::Status::Complete(len)) => {
            let (path, method) = (request.path.unwrap_or_default(), request.method.unwrap_or_default());
            let (path, query) = path.split_once('?').unwrap_or((path, ""));
            if let Some(order) = order(path, query) {
                let put = if method == "PUT" { Ok(()) } else { Err(Fault::Method("PUT")) };
                return put.and(order).map(|order| Some(Call::Zone(order)));
            }
            let mut known = CALLS.iter().filter(|(known, ..)| *known == path).peekable();
            let allowed = known.peek().ok_or(Fault::UnknownPath)?.1;
            match known.find(|(.., of, _)| *of == method).ok_or(Fault::Method(allowed))? {
                (.., Call::PutTable(_)) => {
                    let body = body(request.headers, &bytes[len..])?;
                    Ok(body.map(Call::PutTable))
                }
                (.., call) => Ok(Some(call.clone())),
            }
        }
        Ok(httparse::Status::Partial) if bytes.len() >= LONGEST_HEAD => Err(Fault::TooLong),
        Ok(httparse::Status::Partial) => Ok(None),
        Err(httparse::Error::TooManyHeaders) => Err(Fault::TooLong),
        Err(_) => Err(Fault::Malformed),
    }
}

/// What is said of a zone, where the path is of that kind.
fn order(path: &str, query: &str) -> Option<Result<Order, Fault>> {
    let drains = path.strip_prefix("/zones/drain/").map(|zone| (zone, true));
    let (zone, drains) = drains.or_else(|| Some((path.strip_prefix("/zones/undrain/")?, false)))?;
    let forced = query.split('&').any(|word| word == "force=1");
    let named = plain(zone).filter(|zone| !zone.is_empty());
    Some(named.map(|zone| Order { zone: zone.into(), drains, forced }).ok_or(Fault::Malformed))
}

/// A part of a path without its escapes (RFC 3986, 2.1).
fn plain(text: &str) -> Option<String> {
    let mut parts = text.split('%');
    let mut bytes = parts.next()?.as_bytes().to_vec();
    for part in parts {
        bytes.push(u8::from_str_radix(part.get(..2)?, 16).ok()?);
        bytes.extend(&part.as_bytes()[2..]);
    }
    String::from_utf8(bytes).ok()
}

/// A body once it is whole.
fn body(fields: &[httparse::Header<'_>], bytes: &[u8]) -> Result<Option<String>, Fault> {
    let field = |name: &str| fields.iter().find(|field| field.name.eq_ignore_ascii_case(name));
    // Guards against: a body in chunks that is taken for one of the length named beside them (RFC 9112, 6.3).
    if field("Transfer-Encoding").is_some() {
        return Err(Fault::NoLength);
    }
    let len = std::str::from_utf8(field("Content-Length").ok_or(Fault::NoLength)?.value);
    let len = len.map_err(|_| Fault::Malformed)?.trim();
    // A sign would pass for a number.
    let plain = !len.is_empty() && len.bytes().all(|digit| digit.is_ascii_digit());
    let len = len.parse::<usize>().ok().filter(|len| *len <= LONGEST_TEXT);
    match (plain, len) {
        (false, _) => Err(Fault::Malformed),
        (true, None) => Err(Fault::TooLarge),
        (true, Some(len)) => {
            let whole = bytes.get(..len).map(|body| String::from_utf8(body.to_vec()));
            whole.transpose().map_err(|_| Fault::Malformed)
        }
    }
}

/// Appends a whole answer.
fn put(out: &mut Vec<u8>, status: &str, kind: &str, more: &str, body: &str) {
    let len = body.len();
    let head = format!(
        "HTTP/1.1 {status}\r\nContent-Type: {kind}\r\nContent-Length: {len}\r\n{more}Connection: close\r\n\r\n"
    );
    out.extend(head.as_bytes());
    out.extend(body.as_bytes());
}

/// Appends the answer yes or no, with a word on why.
pub fn put_word(out: &mut Vec<u8>, yes: bool, word: &str) {
    let status = if yes { "200 OK" } else { "503 Service Unavailable" };
    put(out, status, "text/plain", "", &format!("{word}\n"));
}

/// Appends an answer that is JSON already.
pub fn put_json(out: &mut Vec<u8>, status: u16, body: &str) {
    let reason = match status {
        200 => "OK",
        404 => "Not Found",
        409 => "Conflict",
        413 => "Content Too Large",
        422 => "Unprocessable Content",
        503 => "Service Unavailable",
        _ => "Answer",
    };
    put(out, &format!("{status} {reason}"), "application/json", "", &format!("{body}\n"));
}

/// Appends the answer to a call that waits for the federation and hears nothing.
pub fn put_unheard(out: &mut Vec<u8>) {
    put_json(
        out,
        503,
        r#"{"problem":"nothing was heard in time","do":"GET /table tells what has come of it"}"#,
    );
}

/// Appends what all gateways act by, as JSON; nothing is at this path while there is no federation.
pub fn put_table(out: &mut Vec<u8>, view: Option<&TableView>) {
    match view.map(serde_json::to_string) {
        Some(Ok(body)) => put_json(out, 200, &body),
        _ => put_fault(out, Fault::UnknownPath),
    }
}

/// Appends where reads go by the plan for all zones, as JSON; nothing is at this path while there is none to be made.
pub fn put_zones(out: &mut Vec<u8>, view: Option<&zones::View>) {
    match view.map(serde_json::to_string) {
        Some(Ok(body)) => put_json(out, 200, &body),
        _ => put_fault(out, Fault::UnknownPath),
    }
}

/// Appends what is known of the fleet, as JSON; nothing is at this path while there is none.
pub fn put_fleet(out: &mut Vec<u8>, view: Option<&View>) {
    match view.map(serde_json::to_string) {
        Some(Ok(body)) => put(out, "200 OK", "application/json", "", &(body + "\n")),
        _ => put_fault(out, Fault::UnknownPath),
    }
}

/// Appends the answer to an undrain that comes too late.
pub fn put_conflict(out: &mut Vec<u8>, word: &str) {
    put(out, "409 Conflict", "text/plain", "", &format!("{word}\n"));
}

/// Appends the answer to a call at fault.
pub fn put_fault(out: &mut Vec<u8>, fault: Fault) {
    let (status, more) = match fault {
        Fault::Malformed => ("400 Bad Request", String::new()),
        Fault::UnknownPath => ("404 Not Found", String::new()),
        Fault::Method(allowed) => ("405 Method Not Allowed", format!("Allow: {allowed}\r\n")),
        Fault::Late => ("408 Request Timeout", String::new()),
        Fault::NoLength => ("411 Length Required", String::new()),
        Fault::TooLarge => ("413 Content Too Large", String::new()),
        Fault::Busy => ("503 Service Unavailable", String::new()),
        Fault::TooLong => ("431 Request Header Fields Too Large", String::new()),
    };
    put(out, status, "text/plain", &more, &format!("{}\n", &status[4..]));
}

/// What `GET /table` tells.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct TableView {
    /// The version that this gateway acts by, or acted by last; 0 before there is one.
    pub version: u64,
    /// What the table is.
    pub digest: String,
    /// `acting`; `preparing` while it acts and another version is on its road; `held` past the lease.
    pub state: &'static str,
    /// Milliseconds for which it may still act if the steward does not answer; 0 past the lease.
    pub acting_until_ms: u64,
    /// Nobody can act by an earlier version.
    pub settled: bool,
    /// The next version, or the last one that was refused.
    pub next: Option<Next>,
}

impl TableView {
    /// As it is at `now`.
    pub fn of(status: &Status, acting: &Acting, now: Instant) -> Self {
        let left = acting.until.map_or(0, |until| until.saturating_duration_since(now).as_millis());
        let road = status.next.as_ref().is_some_and(|next| next.refused.is_empty());
        let state = match (acting.acts(now), road) {
            (false, _) => "held",
            (true, true) => "preparing",
            (true, false) => "acting",
        };
        Self {
            version: acting.version,
            digest: acting.digest.to_string(),
            state,
            acting_until_ms: u64::try_from(left).unwrap_or(u64::MAX),
            settled: acting.settled,
            next: status.next.clone(),
        }
    }
}

/// What `GET /fleet` tells.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct View {
    /// This gateway's name.
    pub me: String,
    /// It may act on what is decided in common.
    pub sure: bool,
    /// The group that decides for all: its generation and its leader's term; none while it is not heard of.
    pub epoch: Option<String>,
    /// The leader's name.
    pub leader: Option<String>,
    /// The names of those that vote.
    pub voters: Vec<String>,
    /// What was decided, as far as this gateway knows.
    pub decided: Vec<Decided>,
    /// What all gateways together have to do with db hosts, as far as this one has been told.
    pub hosts: Vec<HostLoad>,
    /// What is proven of groups of db hosts.
    pub sets: Vec<Proven>,
    /// All that are known, this gateway first.
    pub members: Vec<Peer>,
}

/// What gateways have to do with a db host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct HostLoad {
    /// The db host.
    pub host: String,
    /// Gateways that have told of it.
    pub tellers: u64,
    /// Attempts out there.
    pub outstanding: u64,
    /// Attempts sent since those gateways started.
    pub sent: u64,
    /// Answers since then.
    pub answered: u64,
    /// Microseconds to an answer, in the mean.
    pub took_us: u64,
}

/// What is proven of a group of db hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Proven {
    /// The group.
    pub group: u64,
    /// The db host that proved itself the primary last; none if it is not listed here.
    pub primary: Option<String>,
    /// The newest position, as Unix time in milliseconds.
    pub position_ms: u64,
    /// How long ago the primary proved itself.
    pub age_ms: u64,
}

/// A decision for all.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Decided {
    /// What it is about.
    pub key: String,
    /// What holds.
    pub value: String,
    /// Where it stands: the group's generation, and the place in its log.
    pub place: (u64, u64),
    /// For how many milliseconds it is held, as far as this gateway knows; none without a lease.
    pub held_ms: Option<u64>,
}

/// A gateway of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Peer {
    /// Its name.
    pub name: String,
    /// Where its datagrams go.
    pub addr: SocketAddr,
    /// The zone it stands in.
    pub zone: String,
    /// The zone's region; none if the operator's file has none for it.
    pub region: Option<String>,
    /// `alive`, `suspect`, `left` or `down`.
    pub state: &'static str,
    /// Which of its lives it is in.
    pub incarnation: u64,
    /// Where it says it stands.
    pub stage: &'static str,
}

/// What `GET /metrics` tells.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Figures<'a> {
    /// Classes by name.
    pub results: Vec<(&'a str, Results)>,
    /// Attempts written whole to db hosts.
    pub forwards: u64,
    /// Requests held.
    pub outstanding: usize,
    /// Db hosts in the list.
    pub discovered: usize,
    /// Those of them that are avoided.
    pub ejected: usize,
    /// The list of db hosts that is held.
    pub list: ListFigures,
    /// Bytes set aside for statements: read, held, under way, or abandoned and not gone yet.
    pub statement_bytes: usize,
    /// Long statements that wait for such bytes.
    pub statements_waiting: usize,
    /// What the process takes of the memory.
    pub memory: MemoryFigures,
    /// How many connections of clients were closed, by reason.
    pub client_closes: Vec<(&'a str, u64)>,
    /// How many requests were not served, by reason.
    pub unserved: Vec<(&'a str, u64)>,
    /// How many attempts failed, by status.
    pub failed_attempts: Vec<(&'a str, u64)>,
    /// Ids of requests that may have run, forgotten before their windows were over.
    pub ids_forgotten_early: u64,
    /// Lines of the log that were lost, as standard error took nothing.
    pub log_lines_dropped: u64,
    /// Names and values of the fleet's, none while it is off.
    pub fleet: Vec<(String, u64)>,
}

/// What the process takes of the memory, in bytes, and the connections that it is held for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemoryFigures {
    /// All that is resident, the program included.
    pub resident: usize,
    /// Buffers for what clients have sent ahead, long statements left out.
    pub client_read: usize,
    /// Buffers for what clients have not taken yet.
    pub client_write: usize,
    /// Set aside for answers, under way or not taken.
    pub answers: usize,
    /// Buffers of connections to db hosts.
    pub host: usize,
    /// Connections of clients.
    pub clients: usize,
    /// Connections to db hosts.
    pub hosts: usize,
}

/// How the held list of db hosts stands, and the calls for it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ListFigures {
    /// Its version.
    pub version: u64,
    /// Milliseconds since a list or a whole line of a watch came.
    pub age_ms: u64,
    /// Milliseconds until its lease expires; 0 while nothing is sent for want of a list.
    pub lease_ms: u64,
    /// Requests refused or failed while the lease had expired.
    pub refused: u64,
    /// Calls to discovery made, and those that ended or whose watch ended.
    pub calls: u64,
    pub calls_ended: u64,
}

/// Appends the figures in the text format that Prometheus reads.
pub fn put_figures(out: &mut Vec<u8>, figures: &Figures<'_>) {
    let mut body = String::from("# TYPE svc_results counter\n");
    for (class, results) in &figures.results {
        let class = escaped(class);
        let Results { succeeded, declined, aborted } = *results;
        for (disposition, count) in [("succeeded", succeeded), ("declined", declined), ("aborted", aborted)] {
            let _ =
                writeln!(body, "svc_results{{service=\"{class}\",disposition=\"{disposition}\"}} {count}");
        }
    }
    let _ = writeln!(body, "# TYPE svc_forwards counter\nsvc_forwards {}", figures.forwards);
    let gauges = [
        ("outstanding", figures.outstanding),
        ("discovered", figures.discovered),
        ("ejected", figures.ejected),
        ("statement_bytes", figures.statement_bytes),
        ("statements_waiting", figures.statements_waiting),
        ("resident_bytes", figures.memory.resident),
        ("answer_bytes", figures.memory.answers),
        ("client_read_bytes", figures.memory.client_read),
        ("client_write_bytes", figures.memory.client_write),
        ("host_bytes", figures.memory.host),
        ("client_connections", figures.memory.clients),
        ("host_connections", figures.memory.hosts),
    ];
    for (name, value) in gauges {
        let _ = writeln!(body, "# TYPE svc_{name} gauge\nsvc_{name} {value}");
    }
    let ListFigures { version, age_ms, lease_ms, refused, calls, calls_ended } = figures.list;
    for (name, value) in [("list_version", version), ("list_age_ms", age_ms), ("list_lease_ms", lease_ms)] {
        let _ = writeln!(body, "# TYPE svc_{name} gauge\nsvc_{name} {value}");
    }
    let counters = [
        ("refused_without_list", refused),
        ("discovery_calls", calls),
        ("discovery_calls_ended", calls_ended),
        ("log_lines_dropped", figures.log_lines_dropped),
        ("ids_forgotten_early", figures.ids_forgotten_early),
    ];
    for (name, value) in counters {
        let _ = writeln!(body, "# TYPE svc_{name} counter\nsvc_{name} {value}");
    }
    let labelled = [
        ("client_closes", "reason", &figures.client_closes),
        ("unserved", "reason", &figures.unserved),
        ("failed_attempts", "status", &figures.failed_attempts),
    ];
    for (name, label, counts) in labelled {
        let _ = writeln!(body, "# TYPE svc_{name} counter");
        for (value, count) in counts {
            let _ = writeln!(body, "svc_{name}{{{label}=\"{value}\"}} {count}");
        }
    }
    let mut kind = "";
    for (name, value) in &figures.fleet {
        let family = name.split('{').next().unwrap_or_default();
        if family != kind {
            kind = family;
            let gauges = ["members", "rows", "version", "acts", "settled", "away"];
            let counts = if gauges.iter().any(|end| family.ends_with(end)) { "gauge" } else { "counter" };
            let _ = writeln!(body, "# TYPE {family} {counts}");
        }
        let _ = writeln!(body, "{name} {value}");
    }
    put(out, "200 OK", "text/plain; version=0.0.4", "", &body);
}

/// A label's value: backslash, quote and line end are escaped.
fn escaped(text: &str) -> String {
    text.replace('\\', "\\\\").replace('"', "\\\"").replace('\n', "\\n")
}

#[cfg(test)]
mod tests;
