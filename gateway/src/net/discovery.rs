//! The watch on discovery's list, and the clock by which one that says nothing is opened anew.
//!
//! What a watch misses counts as told a fixed time after it fell silent, whether or not it came. So silence is seen as
//! soon as a line is overdue, and calls follow each other until one of them brings a list ([`schedule`] says when). A
//! call that brings nothing is not closed for that, as discovery handles calls in turn, and a long list takes its time.
//! The first list of a call makes it the watch; earlier connections are closed then. Later calls stay open, as what
//! discovery has written on them counts as told too.

mod link;
mod schedule;

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tracing::{info, warn};

use super::poller::{Poller, Ready};
use super::Input;
use crate::proto::catalog::{Members, State};
use crate::proto::console::ListFigures;
use link::{CallEnd, Link, Received};
pub use schedule::DiscoveryMode;
use schedule::{Opening, Schedule, CHANGE_TOLD_AFTER};

/// As long as nothing changes, an empty line comes this often (protocol page, "Discovery").
const LINE_INTERVAL: Duration = Duration::from_secs(2);
/// A line is overdue this much later, and up to twice as much, so that many gateways do not ask in step.
const LINE_OVERDUE_AFTER: Duration = Duration::from_millis(300);
/// After SIGHUP the list of another discovery counts as told so much later.
const CHANGE_TOLD_AFTER_MOVE: Duration = Duration::from_secs(4);
/// Connections open at a time: the silent watch and three calls.
const MAX_CONNECTIONS: usize = 4;
/// The oldest call is kept for so long, however many follow it. Guards against: a slow discovery, each call of which is
/// given up before it is answered.
const OLDEST_CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// The connections to discovery.
pub struct Discovery {
    addr: SocketAddr,
    pushed: bool,
    schedule: Schedule,
    /// The oldest first.
    links: Vec<Link>,
    state: WatchState,
    /// The last list that came.
    heard: Option<Heard>,
    /// When a list or a whole line of a watch came last; before that, when it began.
    last_line: Instant,
    opened: u64,
    ended: u64,
}

/// What there is of a watch.
enum WatchState {
    /// The module has not asked for one yet.
    Unasked,
    /// None; calls are made.
    Opening(Opening),
    /// It is open.
    Watching(Watch),
}

struct Watch {
    number: u64,
    last_line: Instant,
    silent_at: Instant,
}

#[derive(Clone, Copy)]
struct Heard {
    at: Instant,
    version: u64,
}

impl Discovery {
    pub fn new(now: Instant, addr: SocketAddr, manner: DiscoveryMode, seed: u64) -> Self {
        // Where lists are pushed nobody asks for the first one.
        let state = match manner.pushed {
            true => WatchState::Opening(Schedule::at_once(now, None)),
            false => WatchState::Unasked,
        };
        let schedule = Schedule::new(manner, seed);
        let pushed = manner.pushed;
        let links = Vec::new();
        Self { addr, pushed, schedule, links, state, heard: None, last_line: now, opened: 0, ended: 0 }
    }

    /// Lists are pushed, and none has come yet.
    pub fn lacks_pushed_list(&self) -> bool {
        self.pushed && self.heard.is_none()
    }

    /// How the list stands, and the calls for it.
    pub fn figures(&self, now: Instant, version: u64) -> ListFigures {
        let age_ms = millis(now, self.last_line);
        ListFigures { version, age_ms, calls: self.opened, calls_ended: self.ended }
    }

    /// Opens a watch from a version on. One that is open or being opened already is left as it is.
    pub fn watch(&mut self, now: Instant, since: u64, poller: &Poller, inbox: &mut VecDeque<Input>) {
        if matches!(self.state, WatchState::Unasked) {
            self.state = WatchState::Opening(Schedule::at_once(now, None));
            self.tick(now, since, poller, inbox);
        }
    }

    /// Goes on at another address, at once; at the same one the watch stays as it is.
    pub fn move_to(
        &mut self,
        now: Instant,
        addr: SocketAddr,
        since: u64,
        poller: &Poller,
        inbox: &mut VecDeque<Input>,
    ) {
        if self.addr == addr {
            return;
        }
        // Guards against: news that the old one has written, and that are closed unread.
        for link in &mut self.links {
            inbox.extend(link.read_rest().into_iter().map(Input::Members));
        }
        self.addr = addr;
        self.links.clear();
        self.heard = None;
        self.state = WatchState::Opening(Schedule::at_once(now, Some(now + CHANGE_TOLD_AFTER_MOVE)));
        self.tick(now, since, poller, inbox);
    }

    pub fn ready(
        &mut self,
        now: Instant,
        number: u64,
        event: Ready,
        poller: &Poller,
        inbox: &mut VecDeque<Input>,
    ) {
        let Some(at) = self.links.iter().position(|link| link.number == number) else { return };
        let Received { lists, alive, mut end } = self.links[at].ready(event, poller);
        match self.outdated(at, &lists) {
            // The next call is answered with what counts.
            true => end = Some(CallEnd::Outdated),
            false => {
                self.take(now, at, lists, inbox);
                if alive {
                    self.watch_on(now, number);
                }
            }
        }
        if let Some(why) = end {
            self.log_end(now, at, &why);
            self.links.retain(|link| link.number != number);
            self.lost(now, number, inbox);
        }
    }

    /// Guards against: changes undone by the answer to a call that an earlier connection has overtaken meanwhile.
    fn outdated(&self, at: usize, lists: &[Members]) -> bool {
        let (Some(first), Some(heard)) = (lists.first(), self.heard) else { return false };
        let overtaken = heard.at > self.links[at].called;
        let is_watch =
            matches!(&self.state, WatchState::Watching(watch) if watch.number == self.links[at].number);
        overtaken
            && !is_watch
            && self.links[..at].iter().any(|link| link.listed)
            && first.version < heard.version
    }

    fn take(&mut self, now: Instant, at: usize, lists: Vec<Members>, inbox: &mut VecDeque<Input>) {
        for members in lists {
            self.log_list(now, &self.links[at], &members);
            self.heard = Some(Heard { at: now, version: members.version });
            inbox.push_back(Input::Members(members));
        }
    }

    fn log_list(&self, now: Instant, link: &Link, members: &Members) {
        let held = self.heard.map_or(0, |heard| heard.version);
        info!(
            call = link.number,
            version = members.version,
            held,
            full = members.full,
            entries = members.servers.len(),
            not_ready = members.servers.iter().filter(|member| member.state != State::Ready).count(),
            after_ms = millis(now, link.called),
            "list received"
        );
    }

    fn log_end(&self, now: Instant, at: usize, why: &CallEnd) {
        let link = &self.links[at];
        let list_age_ms = self.heard.map(|heard| millis(now, heard.at));
        warn!(
            %why,
            call = link.number,
            addr = %link.addr,
            after_ms = millis(now, link.called),
            bytes = link.received,
            listed = link.listed,
            list_age_ms,
            "watch broken"
        );
    }

    /// A connection has brought a line: it is the watch, and those before it are not needed any more.
    fn watch_on(&mut self, now: Instant, number: u64) {
        self.last_line = now;
        self.links.retain(|link| link.number >= number);
        let overdue = self.schedule.jittered(LINE_OVERDUE_AFTER..2 * LINE_OVERDUE_AFTER);
        let silent_at = now + LINE_INTERVAL + overdue;
        self.state = WatchState::Watching(Watch { number, last_line: now, silent_at });
    }

    /// When [`Discovery::tick`] is due.
    pub fn next(&self) -> Option<Instant> {
        match &self.state {
            WatchState::Unasked => None,
            WatchState::Opening(opening) => Some(opening.next),
            WatchState::Watching(watch) => Some(watch.silent_at),
        }
    }

    /// Guards against: a discovery that vanished and says nothing, on a connection that stays open.
    pub fn tick(&mut self, now: Instant, since: u64, poller: &Poller, inbox: &mut VecDeque<Input>) {
        if let WatchState::Watching(watch) = &self.state {
            if watch.silent_at <= now {
                warn!(why = "silent", "watch broken");
                let deadline = watch.last_line + CHANGE_TOLD_AFTER;
                self.state = WatchState::Opening(Schedule::at_once(now, Some(deadline)));
                self.tell_broken(inbox);
            }
        }
        let WatchState::Opening(opening) = &mut self.state else { return };
        if opening.next > now {
            return;
        }
        if opening.deadline.is_some_and(|deadline| deadline <= now) {
            warn!(why = "no list in time", "watch broken");
            opening.forget_deadline();
        }
        self.schedule.called(now, opening);
        if let Err(error) = self.call(now, since, poller) {
            warn!(why = %error, "watch broken");
            self.lost(now, self.opened, inbox);
        }
    }

    fn call(&mut self, now: Instant, since: u64, poller: &Poller) -> io::Result<()> {
        if self.links.len() >= MAX_CONNECTIONS {
            self.make_room(now);
        }
        self.opened += 1;
        info!(call = self.opened, addr = %self.addr, since, "calling discovery");
        self.links.push(Link::open(now, self.opened, self.addr, since, poller)?);
        Ok(())
    }

    /// Closes the connection of least use: the silent watch, or the call that has got least of a line; of several, the
    /// oldest but for the one that is given its time.
    fn make_room(&mut self, now: Instant) {
        let oldest = self.links.iter().position(|link| !link.listed);
        let oldest = oldest.filter(|at| now < self.links[*at].called + OLDEST_CALL_TIMEOUT);
        let others = self.links.iter().enumerate().filter(|(at, _)| Some(*at) != oldest);
        let least = others.min_by_key(|(_, link)| (!link.listed, link.begun)).map(|(at, _)| at);
        least.map(|at| self.links.remove(at));
    }

    /// A connection has ended, and is no longer among the others.
    fn lost(&mut self, now: Instant, number: u64, inbox: &mut VecDeque<Input>) {
        self.ended += 1;
        match &mut self.state {
            WatchState::Watching(watch) if watch.number == number => {
                self.state = WatchState::Opening(self.schedule.after_end(now));
                self.tell_broken(inbox);
            }
            WatchState::Opening(opening) => self.schedule.failed(now, opening),
            WatchState::Watching(_) | WatchState::Unasked => {}
        }
    }

    /// The module learns that its watch broke; when it asks for another one, that is open or being opened.
    fn tell_broken(&self, inbox: &mut VecDeque<Input>) {
        if !self.pushed {
            inbox.push_back(Input::WatchBroken);
        }
    }
}

/// Whole milliseconds from `earlier` to `now`, for the log.
fn millis(now: Instant, earlier: Instant) -> u64 {
    u64::try_from(now.saturating_duration_since(earlier).as_millis()).unwrap_or(u64::MAX)
}
