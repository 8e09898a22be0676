//! A gateway for tests: plays events by hand and keeps what the router answered.
#![allow(dead_code)]

use std::sync::LazyLock;
use std::time::{Duration, Instant};

use yewroute::interface::*;
use yewroute::Router;

pub const GROUP: GroupId = GroupId(1);
pub const BOUNDED: usize = 0;
pub const SESSION: usize = 1;
pub const ANY: usize = 2;
pub const WRITE: usize = 3;
pub const FRESH: usize = 4;
pub const ONCE: usize = 5;

/// The same for all routers of a process, so that the same events can be told by their actions.
pub static START: LazyLock<Instant> = LazyLock::new(Instant::now);

pub const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn class(freshness: Freshness, effect: Effect) -> Class {
    Class { aim: ms(400), deadline: ms(2000), worth: 1.0, late_worth: 0.0, effect, freshness }
}

pub fn settings() -> Settings {
    let keyed = Effect::Deduplicated { scope: KeyScope::Group, window: ms(1000) };
    let mut write = class(Freshness::Write, keyed);
    write.late_worth = 0.5;
    let mut once = class(Freshness::Write, Effect::AtMostOnce);
    once.late_worth = 0.5;
    Settings {
        gateways: 1,
        classes: vec![
            class(Freshness::Bounded(ms(1000)), Effect::Idempotent),
            class(Freshness::Session, Effect::Idempotent),
            class(Freshness::Any, Effect::Idempotent),
            write,
            class(Freshness::Fresh, Effect::Idempotent),
            once,
        ],
        when_behind: WhenBehind::Silent,
        list_role: ListRole::Start,
        tokens: Tokens::Carried,
        discovery: Discovery::Automatic,
        limits: Limits { max_attempts: 8, max_retry_after: ms(500), probes: true, retry_after: false },
        rules: Rules {
            start_capacity: 0.2,
            cold: ms(10_000),
            tip_multiple: 2.0,
            fall: ms(1000),
            must_ask_in: ms(10_000),
            soft_removal: false,
        },
    }
}

pub fn entry(server: u32, primary: bool) -> Entry {
    Entry {
        server: ServerId(server),
        group: GROUP,
        started: None,
        primary,
        phase: Phase::Serving,
        stand: Stand::default(),
    }
}

pub struct Gateway {
    pub router: Router,
    pub now: Instant,
    next: u128,
}

impl Gateway {
    /// A router that holds a list of a primary, server 0, and so many replicas.
    pub fn start(settings: Settings, replicas: u32) -> Self {
        Self::seeded(settings, replicas, 7)
    }

    pub fn seeded(settings: Settings, replicas: u32, seed: u64) -> Self {
        Self::holding(settings, seed, (0..=replicas).map(|n| entry(n, n == 0)).collect())
    }

    /// A router that holds this list.
    pub fn holding(settings: Settings, seed: u64, entries: Vec<Entry>) -> Self {
        let router = Router::new(settings, seed).expect("valid settings");
        let mut gateway = Self { router, now: *START + ms(100_000), next: 0 };
        gateway.play(Event::List { kind: ListKind::Stale, entries });
        gateway
    }

    pub fn play(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.router.handle(self.now, event, &mut out);
        out
    }

    pub fn tick(&mut self, span: Duration) -> Vec<Action> {
        let end = self.now + span;
        let mut out = Vec::new();
        while self.now < end {
            self.now = (self.now + ms(10)).min(end);
            out.extend(self.play(Event::Timer(0)));
        }
        out
    }

    pub fn request(&mut self, class: usize) -> (RequestId, Vec<Action>) {
        self.request_with(class, |_| {})
    }

    /// The id that the next request will have.
    pub fn upcoming(&self) -> RequestId {
        RequestId(self.next + 1)
    }

    pub fn request_with(
        &mut self,
        class: usize,
        change: impl FnOnce(&mut Request),
    ) -> (RequestId, Vec<Action>) {
        self.next += 1;
        let id = RequestId(self.next);
        let mut request = Request {
            id,
            class,
            group: GROUP,
            left: ms(2000),
            waited: Duration::ZERO,
            resent: false,
            session: None,
            last_write_age: None,
            sees: None,
            near: None,
        };
        change(&mut request);
        (id, self.play(Event::Request(request)))
    }

    /// A request whose wait for the word of probed replicas, if there is one, has ended.
    pub fn decided(&mut self, class: usize, change: impl FnOnce(&mut Request)) -> (RequestId, Vec<Action>) {
        let (id, mut out) = self.request_with(class, change);
        if sends(&out).is_empty() && finals(&out).is_empty() {
            out.extend(self.tick(ms(50)));
        }
        (id, out)
    }

    pub fn outcome(&mut self, id: RequestId, attempt: u32, server: u32, status: Status) -> Vec<Action> {
        self.answer(id, attempt, server, status, Note::default())
    }

    pub fn answer(
        &mut self,
        request: RequestId,
        attempt: u32,
        server: u32,
        status: Status,
        note: Note,
    ) -> Vec<Action> {
        self.answer_after(ms(20), request, attempt, server, status, note)
    }

    pub fn answer_after(
        &mut self,
        elapsed: Duration,
        request: RequestId,
        attempt: u32,
        server: u32,
        status: Status,
        note: Note,
    ) -> Vec<Action> {
        self.play(Event::Outcome(Outcome {
            request,
            attempt,
            server: ServerId(server),
            status,
            elapsed,
            finished: status == Status::Good,
            note,
            report: Report::default(),
        }))
    }

    /// Tells the router by a probe where a server stands.
    pub fn position(&mut self, server: u32, role: Role, position: Instant) -> Vec<Action> {
        self.play(Event::Probed {
            server: ServerId(server),
            status: Status::Good,
            report: Report { role: Some(role), position: Some(position) },
        })
    }
}

pub fn sends(actions: &[Action]) -> Vec<(RequestId, u32)> {
    let send = |a: &Action| match a {
        Action::Send { request, server, .. } => Some((*request, server.0)),
        _ => None,
    };
    actions.iter().filter_map(send).collect()
}

pub fn finals(actions: &[Action]) -> Vec<Action> {
    let last = |a: &&Action| matches!(a, Action::Refuse { .. } | Action::Fail { .. });
    actions.iter().filter(last).cloned().collect()
}

pub fn probes(actions: &[Action]) -> Vec<u32> {
    let probe = |a: &Action| match a {
        Action::Probe(server) => Some(server.0),
        _ => None,
    };
    actions.iter().filter_map(probe).collect()
}

pub fn note(role: Role, position: Instant) -> Note {
    Note { role: Some(role), position: Some(position) }
}
