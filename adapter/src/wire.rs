//! The wire's messages and their translation.

use std::collections::BTreeMap;
use std::sync::LazyLock;
use std::time::{Duration, Instant};

use serde::de::DeserializeOwned;
use serde::{Deserialize, Deserializer, Serialize};
use serde_json::value::RawValue;
use uuid::Uuid;
use yewroute::interface::{
    Action, Entry, Event, GroupId, ListKind, Note, Outcome, Phase, Report, Request, RequestId, Role,
    ServerId, SessionKey, Stand, Status,
};
use yewroute::Router;
use yewroute_settings::{span_ms, Deployment, Span};

/// Where the simulator's clock has its zero. Only times from there on are ever compared, so any instant does.
static ZERO: LazyLock<Instant> = LazyLock::new(Instant::now);

/// A time on the simulator's clock.
fn at(time: Span) -> Instant {
    *ZERO + time.0
}

/// The numbered lists, shared by the instances of this process.
pub type Slots = BTreeMap<u8, Vec<Entry>>;

/// One instance: its router and where positions are counted from.
pub struct Host {
    router: Router,
    base: Instant,
    actions: Vec<Action>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Batch<'a> {
    at_time_ms: Span,
    #[serde(rename = "inbox", borrow)]
    inbox: Vec<&'a RawValue>,
}

#[derive(Deserialize)]
struct Head {
    t: String,
    #[serde(rename = "Gateway")]
    gateway: Option<u64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Born {
    prng: u64,
    conf: Box<RawValue>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Roster {
    slot: u8,
    members_list: Vec<Member>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Member {
    set: u64,
    ready_at_ms: Option<Span>,
    #[serde(default)]
    leads: f64,
    phase: WirePhase,
    server: u32,
}

#[derive(Deserialize)]
#[serde(rename_all = "UPPERCASE")]
enum WirePhase {
    Serving,
    Draining,
    Deleted,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Topology {
    slot: Option<u8>,
    kind: WireListKind,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum WireListKind {
    Patch,
    Whole,
    StaleCopy,
    Broken,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Submit {
    op_id: Id,
    set_no: u64,
    left_ms: Span,
    resent: Option<bool>,
    last_write_ms: Option<Span>,
    grade: usize,
    key: Option<u64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Fired {
    name: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Reply {
    op_id: Id,
    n: u32,
    server: u32,
    state_code: WireStatus,
    spent_ms: Span,
    finished: bool,
    progress: Option<u64>,
    usage: Option<Usage>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct OpOnly {
    op_id: Id,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Pong {
    server: u32,
    state_code: WireStatus,
    usage: Option<Usage>,
}

#[derive(Deserialize)]
struct Usage {
    x0: Option<f64>,
    x1: Option<f64>,
}

#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "UPPERCASE")]
enum WireStatus {
    Good,
    Bad,
    Full,
    Late,
    NoConn,
    Rst,
    Cxl,
    Nop,
    Miss,
}

/// A request id: sent back exactly as it came.
struct Id(RequestId);

impl<'de> Deserialize<'de> for Id {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        let id = Uuid::try_parse(&text).map_err(serde::de::Error::custom)?;
        if id.hyphenated().to_string() != text {
            return Err(serde::de::Error::custom(format!("request id {text:?} is not in its plain form")));
        }
        Ok(Self(RequestId(id.as_u128())))
    }
}

#[derive(Serialize)]
struct Answer {
    #[serde(rename = "do")]
    actions: Vec<Tagged>,
}

#[derive(Serialize)]
struct Tagged {
    #[serde(rename = "Gateway")]
    gateway: u64,
    #[serde(flatten)]
    action: WireAction,
}

#[derive(Serialize)]
#[serde(tag = "t", rename_all = "SCREAMING_SNAKE_CASE", rename_all_fields = "PascalCase")]
enum WireAction {
    Place { op_id: Uuid, cut_at_ms: f64, server: u32 },
    NotNow { op_id: Uuid, retry_after_ms: Option<f64> },
    GiveUp { op_id: Uuid },
    Probe { server: u32 },
    Release { server: u32 },
    StreamChanges { active: bool },
    Arm { delay_ms: f64, name: u64 },
}

/// Plays one line: a batch of events in, the reply line out.
pub fn batch(line: &[u8], hosts: &mut BTreeMap<u64, Host>, slots: &mut Slots) -> Result<Vec<u8>, String> {
    let text = std::str::from_utf8(line).map_err(|e| format!("not UTF-8: {e}"))?;
    let batch: Batch = serde_json::from_str(text).map_err(|e| format!("malformed batch: {e}"))?;
    let now = at(batch.at_time_ms);
    let mut played: Vec<(u64, Action)> = Vec::new();
    for raw in batch.inbox {
        let head: Head = parse("event", raw)?;
        if head.t == "ROSTER" {
            let roster: Roster = parse("ROSTER", raw)?;
            slots.insert(roster.slot, roster.members_list.into_iter().map(Member::entry).collect());
            continue;
        }
        let gateway = head.gateway.ok_or_else(|| format!("{}: missing field `Gateway`", head.t))?;
        match head.t.as_str() {
            "BORN" => {
                let born: Born = parse("BORN", raw)?;
                hosts.insert(gateway, Host::new(born)?);
            }
            "KILLED" => {
                hosts.remove(&gateway);
            }
            kind => {
                let host = hosts.get_mut(&gateway);
                let host = host.ok_or_else(|| format!("{kind}: gateway {gateway} was not born"))?;
                if let Some(event) = host.event(kind, raw, slots)? {
                    host.router.handle(now, event, &mut host.actions);
                    played.extend(host.actions.drain(..).map(|action| (gateway, action)));
                }
            }
        }
    }
    let actions = played.iter().map(|(gateway, action)| tagged(*gateway, action)).collect();
    let mut reply =
        serde_json::to_vec(&Answer { actions }).map_err(|e| format!("cannot write the reply: {e}"))?;
    reply.push(b'\n');
    Ok(reply)
}

fn parse<T: DeserializeOwned>(kind: &str, raw: &RawValue) -> Result<T, String> {
    serde_json::from_str(raw.get()).map_err(|e| format!("{kind}: {e}"))
}

impl Host {
    fn new(born: Born) -> Result<Self, String> {
        let deployment = Deployment::from_json(born.conf.get()).map_err(|e| format!("BORN: Conf.{e}"))?;
        let router = Router::new(deployment.module, born.prng).map_err(|e| format!("BORN: {e}"))?;
        Ok(Self { router, base: at(Span(deployment.base)), actions: Vec::new() })
    }

    fn event(&self, kind: &str, raw: &RawValue, slots: &Slots) -> Result<Option<Event>, String> {
        Ok(Some(match kind {
            "TOPOLOGY" => {
                let list: Topology = parse(kind, raw)?;
                let kind = match list.kind {
                    WireListKind::Patch => ListKind::Patch,
                    WireListKind::Whole => ListKind::Whole,
                    WireListKind::StaleCopy => ListKind::Stale,
                    WireListKind::Broken => ListKind::Broken,
                };
                let entries = if kind == ListKind::Broken {
                    Vec::new()
                } else {
                    let slot = list.slot.ok_or("TOPOLOGY: missing field `Slot`")?;
                    slots.get(&slot).ok_or_else(|| format!("TOPOLOGY: no ROSTER {slot}"))?.clone()
                };
                Event::List { kind, entries }
            }
            "SUBMIT" => {
                let submit: Submit = parse(kind, raw)?;
                Event::Request(Request {
                    id: submit.op_id.0,
                    class: submit.grade,
                    group: GroupId(submit.set_no),
                    left: submit.left_ms.0,
                    waited: Duration::ZERO,
                    resent: submit.resent.unwrap_or(false),
                    session: submit.key.map(SessionKey),
                    last_write_age: submit.last_write_ms.map(|span| span.0),
                    sees: None,
                    near: None,
                })
            }
            "FIRED" => Event::Timer(parse::<Fired>(kind, raw)?.name),
            "REPLY" => {
                let reply: Reply = parse(kind, raw)?;
                Event::Outcome(Outcome {
                    request: reply.op_id.0,
                    attempt: reply.n,
                    server: ServerId(reply.server),
                    status: reply.state_code.status(),
                    elapsed: reply.spent_ms.0,
                    finished: reply.finished,
                    note: self.note(reply.progress.unwrap_or(0)),
                    report: self.report(reply.usage),
                })
            }
            "HEADERS" => Event::Started { request: parse::<OpOnly>(kind, raw)?.op_id.0 },
            "GONE" => Event::Gone(parse::<OpOnly>(kind, raw)?.op_id.0),
            "PONG" => {
                let pong: Pong = parse(kind, raw)?;
                Event::Probed {
                    server: ServerId(pong.server),
                    status: pong.state_code.status(),
                    report: self.report(pong.usage),
                }
            }
            "FROM_PEER" => return Ok(None),
            other => return Err(format!("unknown event {other:?}")),
        }))
    }

    fn note(&self, progress: u64) -> Note {
        let role = match progress % 4 {
            1 => Some(Role::Primary),
            2 => Some(Role::Replica),
            _ => None,
        };
        let position = (progress >= 4).then(|| self.base + Duration::from_millis(progress / 4));
        Note { role, position }
    }

    /// So many seconds after the count's start, or before it.
    fn position(&self, seconds: f64) -> Option<Instant> {
        let span = Duration::try_from_secs_f64(seconds.abs()).ok()?;
        if seconds < 0.0 {
            self.base.checked_sub(span)
        } else {
            self.base.checked_add(span)
        }
    }

    fn report(&self, usage: Option<Usage>) -> Report {
        let Some(usage) = usage else { return Report::default() };
        let role = usage.x1.map(|x1| if x1 == 1.0 { Role::Primary } else { Role::Replica });
        Report { role, position: usage.x0.and_then(|seconds| self.position(seconds)) }
    }
}

impl Member {
    fn entry(self) -> Entry {
        Entry {
            server: ServerId(self.server),
            group: GroupId(self.set),
            started: self.ready_at_ms.filter(|at| !at.0.is_zero()).map(at),
            primary: self.leads == 1.0,
            stand: Stand::default(),
            phase: match self.phase {
                WirePhase::Serving => Phase::Serving,
                WirePhase::Draining => Phase::Draining,
                WirePhase::Deleted => Phase::Gone,
            },
        }
    }
}

impl WireStatus {
    fn status(self) -> Status {
        match self {
            Self::Good => Status::Good,
            Self::Bad => Status::Error,
            Self::Full => Status::Full,
            Self::Late => Status::Timeout,
            Self::NoConn => Status::ConnectFailed,
            Self::Rst => Status::Reset,
            Self::Cxl => Status::Cancelled,
            Self::Nop => Status::NotSent,
            Self::Miss => Status::Miss,
        }
    }
}

fn tagged(gateway: u64, action: &Action) -> Tagged {
    let op = |id: &RequestId| Uuid::from_u128(id.0);
    let action = match action {
        Action::Send { request, server, cut_at } => WireAction::Place {
            op_id: op(request),
            cut_at_ms: span_ms(cut_at.saturating_duration_since(*ZERO)),
            server: server.0,
        },
        Action::Refuse { request, retry_after, .. } => {
            WireAction::NotNow { op_id: op(request), retry_after_ms: retry_after.map(span_ms) }
        }
        Action::Fail { request, .. } => WireAction::GiveUp { op_id: op(request) },
        Action::Probe(server) => WireAction::Probe { server: server.0 },
        Action::Close(server) => WireAction::Release { server: server.0 },
        Action::Subscribe => WireAction::StreamChanges { active: true },
        Action::Timer { delay, name } => WireAction::Arm { delay_ms: span_ms(*delay), name: *name },
    };
    Tagged { gateway, action }
}
