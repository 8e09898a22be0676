//! The watch on discovery's list, and the clock by which one that says nothing is opened anew.
//!
//! What a watch misses counts as told a fixed time after it fell silent, whether or not it came. So silence is seen as
//! soon as a line is overdue, and calls follow each other until one of them brings a list ([`schedule`] says when). The
//! module is told what is observed here, and decides how long the held list may be routed by. A
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
use yewroute::interface::ListObservation;

use super::poller::{Poller, Ready, Token};
use super::wire::CHUNK;
use super::Input;
use crate::proto::catalog::{Lists, Members, State};
use crate::proto::console::ListFigures;
use link::{CallEnd, Link, Received};
pub use schedule::DiscoveryMode;
use schedule::{Opening, Schedule, Urgency};

/// As long as nothing changes, an empty line comes this often (protocol page, "Discovery").
const LINE_INTERVAL: Duration = Duration::from_secs(2);
/// A line is overdue this much later, and up to twice as much, so that many gateways do not ask in step.
const LINE_OVERDUE_AFTER: Duration = Duration::from_millis(300);
/// How often calls without an answer are looked at.
const WAITING_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Connections open at a time: the silent watch and three calls.
const MAX_CONNECTIONS: usize = 4;
/// The oldest call is kept for so long, however many follow it. Guards against: a slow discovery, each call of which is
/// given up before it is answered.
const OLDEST_CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// A call made longer ago ends with none that is made now.
const RECENT_CALL: Duration = Duration::from_secs(5);
/// Reads of a connection in a row: as much as the longest list.
const MAX_READS: usize = Lists::LONGEST / CHUNK;

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
    /// When the last calls to this address were made.
    recent_calls: Vec<Instant>,
    /// When calls that wait are looked at next.
    check_at: Instant,
    /// The present expiry of the lease has been logged.
    expiry_logged: bool,
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
    silent_at: Instant,
}

/// What the connections to discovery need of the gateway for a moment.
pub struct DiscoveryContext<'a> {
    pub now: Instant,
    pub poller: &'a Poller,
    pub inbox: &'a mut VecDeque<Input>,
    /// The version of the held list.
    pub version: u64,
    /// When its lease expires.
    pub expires: Instant,
}

impl DiscoveryContext<'_> {
    fn observe(&mut self, observation: ListObservation) {
        self.inbox.push_back(Input::ListObserved(observation));
    }
}

#[derive(Clone, Copy)]
struct Heard {
    at: Instant,
    version: u64,
}

impl Discovery {
    pub fn new(now: Instant, addr: SocketAddr, mode: DiscoveryMode, seed: u64) -> Self {
        // Where lists are pushed nobody asks for the first one.
        let state = match mode.pushed {
            true => WatchState::Opening(Schedule::at_once(now, Urgency::Steady)),
            false => WatchState::Unasked,
        };
        Self {
            addr,
            pushed: mode.pushed,
            schedule: Schedule::new(mode, seed),
            links: Vec::new(),
            state,
            heard: None,
            last_line: now,
            recent_calls: Vec::new(),
            check_at: now,
            expiry_logged: false,
            opened: 0,
            ended: 0,
        }
    }

    /// Lists are pushed, and none has come yet.
    pub fn lacks_pushed_list(&self) -> bool {
        self.pushed && self.heard.is_none()
    }

    /// How the list stands, and the calls for it.
    pub fn figures(&self, now: Instant, version: u64) -> ListFigures {
        ListFigures {
            version,
            age_ms: millis(now, self.last_line),
            calls: self.opened,
            calls_ended: self.ended,
            ..ListFigures::default()
        }
    }

    /// Opens a watch. One that is open or being opened already is left as it is.
    pub fn watch(&mut self, context: &mut DiscoveryContext) {
        if matches!(self.state, WatchState::Unasked) {
            self.state = WatchState::Opening(Schedule::at_once(context.now, Urgency::Steady));
            self.tick(context);
        }
    }

    /// Goes on at another address, at once; at the same one the watch stays as it is.
    pub fn move_to(&mut self, addr: SocketAddr, context: &mut DiscoveryContext) {
        if self.addr == addr {
            return;
        }
        // Guards against: news that the old one has written, and that are closed unread.
        for link in &mut self.links {
            context.inbox.extend(link.read_rest(context.now, context.poller).into_iter().map(Input::Members));
        }
        self.addr = addr;
        self.links.clear();
        self.heard = None;
        self.recent_calls.clear();
        self.state = WatchState::Opening(Schedule::at_once(context.now, Urgency::Failed));
        context.observe(ListObservation::Moved);
        self.tick(context);
    }

    /// Takes what has come on a connection.
    pub fn ready(&mut self, number: u64, event: Ready, context: &mut DiscoveryContext) {
        self.read_earlier(number, context);
        self.receive(number, event, context);
    }

    /// Takes what has come on earlier connections. Guards against: changes that discovery has written on a connection that is
    /// closed unread, as a list on this one makes it the watch.
    fn read_earlier(&mut self, number: u64, context: &mut DiscoveryContext) {
        let earlier = self.links.iter().filter(|link| link.number < number && link.is_connected());
        for earlier in earlier.map(|link| link.number).collect::<Vec<_>>() {
            self.read_all(earlier, context);
        }
    }

    /// Takes all that has come on a connection so far.
    fn read_all(&mut self, number: u64, context: &mut DiscoveryContext) {
        let readable = Ready { token: Token::Watch(number), write: false, broken: false };
        let received = |links: &[Link]| links.iter().find(|link| link.number == number).map(|of| of.received);
        for _ in 0..MAX_READS {
            let before = received(&self.links);
            self.receive(number, readable, context);
            if received(&self.links) == before {
                return;
            }
        }
    }

    fn receive(&mut self, number: u64, event: Ready, context: &mut DiscoveryContext) {
        let now = context.now;
        let Some(at) = self.links.iter().position(|link| link.number == number) else { return };
        let Received { lists, line_began, answer_begun, mut end } =
            self.links[at].ready(now, event, context.poller);
        let observed_at_end =
            end.as_ref().and_then(|end| self.links[at].observed_at_end(now, end, &self.recent_calls));
        if answer_begun && observed_at_end.is_none() {
            context.observe(ListObservation::AnswerBegun);
        }
        if self.outdated(at, &lists) {
            // The next call is answered with what counts; what came behind the list that is out of date counts already.
            let mut behind = lists;
            behind.extend(self.links[at].read_rest(now, context.poller));
            self.take_newer(at, behind, context);
            end = Some(CallEnd::Outdated);
        } else {
            self.take(at, lists, context);
            if let Some(at) = line_began {
                context.observe(ListObservation::Current { at });
                self.watch_on(now, number);
            }
        }
        if let Some(why) = end {
            self.log_end(now, number, &why);
            observed_at_end.into_iter().for_each(|observed| context.observe(observed));
            self.lost(number, context);
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

    fn take(&mut self, at: usize, lists: Vec<Members>, context: &mut DiscoveryContext) {
        for members in lists {
            self.log_list(context.now, &self.links[at], &members);
            self.heard = Some(Heard { at: context.now, version: members.version });
            context.inbox.push_back(Input::Members(members));
        }
    }

    /// Takes the lists that are newer than what is held.
    fn take_newer(&mut self, at: usize, lists: Vec<Members>, context: &mut DiscoveryContext) {
        let held = self.heard.map_or(0, |heard| heard.version);
        self.take(at, lists.into_iter().filter(|members| members.version > held).collect(), context);
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

    fn log_end(&self, now: Instant, number: u64, why: &CallEnd) {
        let Some(link) = self.links.iter().find(|link| link.number == number) else { return };
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
        self.state = WatchState::Watching(Watch { number, silent_at });
    }

    /// When [`Discovery::tick`] is due.
    pub fn next(&self) -> Option<Instant> {
        match &self.state {
            WatchState::Unasked => None,
            WatchState::Opening(opening) => Some(opening.next.min(self.check_at)),
            WatchState::Watching(watch) => Some(watch.silent_at),
        }
    }

    pub fn tick(&mut self, context: &mut DiscoveryContext) {
        let now = context.now;
        self.give_up_silent_watch(context);
        self.check_waiting_calls(context);
        let due = |state: &WatchState| matches!(state, WatchState::Opening(opening) if opening.next <= now);
        if due(&self.state) && self.links.len() >= MAX_CONNECTIONS {
            // One of them is closed for the next call.
            self.read_earlier(u64::MAX, context);
        }
        let WatchState::Opening(opening) = &mut self.state else { return };
        if opening.next > now {
            return;
        }
        self.schedule.called(now, opening, context.expires);
        self.log_expiry(context);
        if let Err(error) = self.call(context) {
            warn!(why = %error, "watch broken");
            self.lost(self.opened, context);
        }
    }

    fn check_waiting_calls(&mut self, context: &mut DiscoveryContext) {
        let now = context.now;
        if self.check_at > now || matches!(self.state, WatchState::Watching(_)) {
            return;
        }
        self.check_at = now + WAITING_CHECK_INTERVAL;
        for observed in self.links.iter().filter_map(|link| link.waited(now)) {
            context.observe(observed);
        }
    }

    /// Guards against: a discovery that vanished and says nothing, on a connection that stays open.
    fn give_up_silent_watch(&mut self, context: &mut DiscoveryContext) {
        let WatchState::Watching(watch) = &self.state else { return };
        if watch.silent_at <= context.now {
            warn!(why = "silent", "watch broken");
            self.state = WatchState::Opening(Schedule::at_once(context.now, Urgency::Failed));
            self.tell_broken(context);
        }
    }

    /// Says once that no call has brought a list before the lease expired.
    fn log_expiry(&mut self, context: &DiscoveryContext) {
        let expired = context.expires <= context.now;
        if expired && !self.expiry_logged && self.opened > 0 {
            warn!(why = "no list in time", list_age_ms = millis(context.now, self.last_line), "watch broken");
        }
        self.expiry_logged = expired;
    }

    fn call(&mut self, context: &DiscoveryContext) -> io::Result<()> {
        if self.links.len() >= MAX_CONNECTIONS {
            self.make_room(context.now);
        }
        self.opened += 1;
        self.recent_calls.retain(|call| context.now < *call + RECENT_CALL);
        self.recent_calls.push(context.now);
        let since = context.version;
        info!(call = self.opened, addr = %self.addr, since, "calling discovery");
        self.links.push(Link::open(context.now, self.opened, self.addr, since, context.poller)?);
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

    /// A connection has ended.
    fn lost(&mut self, number: u64, context: &mut DiscoveryContext) {
        let now = context.now;
        let line_began =
            self.links.iter().find(|link| link.number == number).and_then(|link| link.line_began);
        self.links.retain(|link| link.number != number);
        self.ended += 1;
        match &mut self.state {
            WatchState::Watching(watch) if watch.number == number => {
                self.state = WatchState::Opening(self.schedule.after_end(now));
                context.observe(ListObservation::WatchEnded { at: line_began.unwrap_or(now) });
                self.tell_broken(context);
            }
            WatchState::Opening(opening) => self.schedule.failed(now, opening, context.expires),
            WatchState::Watching(_) | WatchState::Unasked => {}
        }
    }

    /// The module learns that its watch broke; when it asks for another one, that is open or being opened.
    fn tell_broken(&self, context: &mut DiscoveryContext) {
        if !self.pushed {
            context.inbox.push_back(Input::WatchBroken);
        }
    }
}

/// Whole milliseconds from `earlier` to `now`, for the log.
fn millis(now: Instant, earlier: Instant) -> u64 {
    u64::try_from(now.saturating_duration_since(earlier).as_millis()).unwrap_or(u64::MAX)
}
