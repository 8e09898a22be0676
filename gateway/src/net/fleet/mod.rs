//! The datagram socket between gateways: carries what `yewroute-fleet` says, and bounds what one wake-up takes.

mod group;

use std::collections::HashMap;
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use tracing::{info, warn};
use yewroute_edge::Fleet as Settled;
use yewroute_federation::bridge::Outlook;
use yewroute_federation::peers::Member;
use yewroute_federation::road::Ruling;
use yewroute_fleet::load::{sum, Load};
use yewroute_fleet::{Event, Fleet, Health, Id, Stage, Subject, Terms, Value};
use yewroute_lifecycle::Stage as Life;

use super::poller::{Interest, Poller, Token};
use crate::core::Directory;
use crate::proto::console::{HostLoad, Peer, Proven, View};
use group::Group;

/// Datagrams taken at one wake-up, so that a flood delays no request; the rest wakes again.
const AT_ONCE: usize = 64;
/// Longer than any datagram that is taken, so that one too long is seen to be.
const SCRATCH: usize = 2_048;
/// How often a place that another process still holds is asked for again.
const AGAIN: Duration = Duration::from_millis(100);

/// This gateway's part in the fleet, and its socket.
pub struct FleetLink {
    settled: Settled,
    name: String,
    seed: u64,
    open: Option<(UdpSocket, Fleet, Group)>,
    /// Where it is open: asked of the system once, as others ask this at every turn of the event loop.
    place: Option<SocketAddr>,
    /// When the address is asked for; the process before this one may hold it.
    open_at: Option<Instant>,
    told: bool,
    unsent: u64,
    /// The stage that was told last, whether datagrams have come since, and when something is due: with requests this is
    /// looked at thousands of times a second, and nothing is to be done.
    said: Option<Stage>,
    came: bool,
    due: Option<Instant>,
}

impl FleetLink {
    /// Joins the fleet as soon as its place is free. `patient` where a process before this one may still hold it.
    ///
    /// # Errors
    /// The place cannot be had.
    pub fn begin(
        now: Instant,
        settled: Settled,
        name: &str,
        seed: u64,
        patient: bool,
        poller: &Poller,
    ) -> io::Result<Self> {
        let name = name.to_owned();
        let mut link = Self {
            settled,
            name,
            seed,
            open: None,
            place: None,
            open_at: None,
            told: false,
            unsent: 0,
            said: None,
            came: false,
            due: None,
        };
        match link.join(now, poller) {
            Err(error) if !(patient && error.kind() == ErrorKind::AddrInUse) => return Err(error),
            Err(_) => link.open_at = Some(now + AGAIN),
            Ok(()) => {}
        }
        Ok(link)
    }

    fn join(&mut self, now: Instant, poller: &Poller) -> io::Result<()> {
        let socket = UdpSocket::bind(self.settled.listen)?;
        socket.set_nonblocking(true)?;
        poller.add(&socket, Token::Fleet, Interest::READ)?;
        let place = socket.local_addr()?;
        let addr = self.settled.advertise.unwrap_or(place);
        let started = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        let incarnation = u64::try_from(started.as_millis()).unwrap_or(u64::MAX);
        let (name, zone) = (self.name.as_str().into(), self.settled.zone.as_str().into());
        let terms = Terms {
            me: Id { name, zone, addr, incarnation },
            seeds: self.settled.seeds.clone(),
            key: self.settled.key.0,
            budget: u32::try_from(self.settled.bytes_per_second).unwrap_or(u32::MAX),
            seed: self.seed ^ incarnation,
        };
        info!(%addr, zone = self.settled.zone, incarnation, "fleet: listening");
        let group = Group::new(now, &self.settled, &terms.me);
        (self.open, self.place) = (Some((socket, Fleet::new(now, terms), group)), Some(place));
        (self.open_at, self.said, self.came, self.due) = (None, None, true, Some(now));
        Ok(())
    }

    /// The successor takes the name over: nobody is told that this one goes.
    pub fn stand_down(&mut self, now: Instant) {
        if let Some((_, fleet, group)) = &mut self.open {
            group.leave(now, fleet);
        }
        self.flush();
        (self.open, self.open_at) = (None, None);
    }

    /// The successor is gone: this one is there again.
    pub fn stand_up(&mut self, now: Instant) {
        if self.open.is_none() {
            self.open_at = Some(now);
        }
    }

    /// Says that this gateway goes.
    pub fn leave(&mut self, now: Instant) {
        if let Some((_, fleet, group)) = &mut self.open {
            group.leave(now, fleet);
            fleet.leave(now);
        }
        self.flush();
    }

    /// Takes the datagrams that have come, some at a time.
    pub fn ready(&mut self, now: Instant) {
        self.came = true;
        let Some((socket, fleet, _)) = &mut self.open else { return };
        let mut scratch = [0; SCRATCH];
        for _ in 0..AT_ONCE {
            match socket.recv(&mut scratch) {
                Ok(len) => fleet.receive(now, &scratch[..len]),
                // One of those it sent to is not there.
                Err(error) if error.kind() == ErrorKind::ConnectionRefused => {}
                Err(_) => break,
            }
        }
    }

    /// When it is to be called again.
    pub fn next(&self) -> Option<Instant> {
        let due = self.due.filter(|_| self.open.is_some());
        due.into_iter().chain(self.open_at).min()
    }

    /// How many gateways there are, this one included.
    pub fn members(&self) -> usize {
        self.open.as_ref().map_or(1, |(_, fleet, _)| fleet.size())
    }

    /// Does what is due, says where this gateway stands and what it has to do with db hosts, and sends what there is.
    pub fn tick(&mut self, now: Instant, life: Life, rows: Vec<(Subject, Value)>, poller: &Poller) {
        if self.open_at.is_some_and(|at| at <= now) {
            if let Err(error) = self.join(now, poller) {
                self.open_at = Some(now + AGAIN);
                if !std::mem::replace(&mut self.told, true) {
                    warn!(addr = %self.settled.listen, %error, "fleet: its place is not free yet");
                }
            }
        }
        let Some((_, fleet, group)) = &mut self.open else { return };
        let stage = match life {
            Life::Starting => Stage::Starting,
            Life::Ready => Stage::Ready,
            Life::Draining | Life::Drained => Stage::Draining,
            Life::Stopping => Stage::Stopping,
        };
        let due = self.due.is_some_and(|at| at <= now);
        if self.said == Some(stage) && rows.is_empty() && !self.came && !due {
            return;
        }
        (self.said, self.came) = (Some(stage), false);
        fleet.say(now, stage);
        rows.into_iter().for_each(|(subject, value)| fleet.write(now, subject, value));
        if fleet.next().is_some_and(|at| at <= now) {
            fleet.tick(now);
        }
        while let Some(event) = fleet.event() {
            if matches!(event, Event::Up(_) | Event::Gone(..) | Event::Returned(_) | Event::Stopped(_)) {
                group.look_again(now);
            }
            match event {
                Event::Group(row) => group.heard(now, fleet, row),
                Event::Carried(message) => group.receive(now, &message),
                Event::Up(id) => {
                    info!(name = %id.name, zone = %id.zone, addr = %id.addr, "fleet: a member is there")
                }
                Event::Gone(id, Health::Left) => {
                    info!(name = %id.name, zone = %id.zone, "fleet: a member has left")
                }
                Event::Gone(id, _) => warn!(name = %id.name, zone = %id.zone, "fleet: a member is down"),
                Event::Returned(incarnation) => {
                    warn!(incarnation, "fleet: was declared down; there again under a new incarnation");
                }
                Event::Superseded(id) => {
                    warn!(addr = %id.addr, "fleet: another process has this name and started later; this one is out");
                }
                Event::Stopped(span) => {
                    warn!(ms = span.as_millis(), "fleet: this process did not run for a while")
                }
            }
        }
        group.tick(now, &self.settled, fleet);
        self.due = fleet.next().into_iter().chain(group.next()).min();
        self.flush();
    }

    fn flush(&mut self) {
        let Some((socket, fleet, _)) = &mut self.open else { return };
        while let Some((to, datagram)) = fleet.transmit() {
            // One that is lost here is as one lost on the way.
            self.unsent += u64::from(socket.send_to(&datagram, to).is_err());
        }
    }

    /// What the federation's tasks need to know of the fleet; nothing while its place is not free.
    pub fn outlook(&self, now: Instant, groups: &Arc<Vec<u64>>) -> Option<Outlook> {
        let (_, fleet, group) = self.open.as_ref()?;
        let lives =
            |member: &yewroute_fleet::Member| matches!(member.health, Health::Alive | Health::Suspect);
        let member = |member: yewroute_fleet::Member| Member {
            region: self.settled.region_of(&member.id.zone).unwrap_or_default().into(),
            stays: matches!(member.stage, Stage::Starting | Stage::Ready),
            name: member.id.name,
            zone: member.id.zone,
            addr: member.id.addr,
            incarnation: member.id.incarnation,
        };
        let (steward, steward_until) = group.steward();
        Some(Outlook {
            members: Arc::new(fleet.members(now).into_iter().filter(lives).map(member).collect()),
            sure: fleet.is_sure(),
            steward,
            steward_until,
            table: group.table(),
            groups: Arc::clone(groups),
        })
    }

    /// Where its datagrams come in, and which of its lives it is in; nothing while its place is not free.
    pub fn place(&self) -> Option<(SocketAddr, u64)> {
        let (_, fleet, _) = self.open.as_ref()?;
        Some((self.place?, fleet.me().incarnation))
    }

    /// Asks for a decision on the table; its number comes back with the answer.
    pub fn decide_table(&mut self, now: Instant, value: Vec<u8>, over: (u64, u64)) -> Option<u64> {
        let (_, _, group) = self.open.as_mut()?;
        // Sent at the next tick.
        (self.came, self.due) = (true, Some(now));
        group.decide_table(now, value, over)
    }

    /// Something has become of what this gateway asked for.
    pub fn has_answers(&self) -> bool {
        self.open.as_ref().is_some_and(|(_, _, group)| group.has_answers())
    }

    /// What became of what this gateway asked for.
    pub fn answers(&mut self) -> Vec<(u64, Ruling)> {
        self.open.as_mut().map_or_else(Vec::new, |(_, _, group)| group.answers())
    }

    /// What the operator's file says of it.
    pub fn settled(&self) -> &Settled {
        &self.settled
    }

    /// What `GET /fleet` tells; nothing while its place is not free.
    pub fn view(&self, now: Instant, directory: &Directory) -> Option<View> {
        let (_, fleet, group) = self.open.as_ref()?;
        let peer = |member: yewroute_fleet::Member| Peer {
            region: self.settled.region_of(&member.id.zone).map(str::to_owned),
            name: member.id.name.into(),
            addr: member.id.addr,
            zone: member.id.zone.into(),
            state: state(member.health),
            incarnation: member.id.incarnation,
            stage: match member.stage {
                Stage::Starting => "starting",
                Stage::Ready => "ready",
                Stage::Draining => "draining",
                Stage::Stopping => "stopping",
                Stage::Left => "left",
            },
        };
        let members = fleet.members(now).into_iter().map(peer).collect();
        let loads = sum(fleet.facts(), now);
        let names: HashMap<u64, &str> = directory.names().map(|(name, number)| (number, name)).collect();
        let name = |number: &u64| names.get(number).map(|name| (*name).to_owned());
        let hosts = loads.hosts.iter().filter_map(|(number, load)| {
            let Load { tellers, outstanding, sent, answered, took_us } = *load;
            Some(HostLoad { host: name(number)?, tellers, outstanding, sent, answered, took_us })
        });
        let hosts = hosts.collect();
        let sets = loads.sets.iter().map(|(group, set)| Proven {
            group: *group,
            primary: name(&set.primary),
            position_ms: set.position_ms,
            age_ms: set.age_ms,
        });
        let sets = sets.collect();
        let head = group.head(now);
        Some(View {
            me: self.name.clone(),
            sure: fleet.is_sure(),
            epoch: head.map(|head| format!("{}.{}", head.epoch.0, head.epoch.1)),
            leader: head.map(|head| head.leader.to_string()),
            voters: head.map_or_else(Vec::new, |head| head.voters.iter().map(|v| v.to_string()).collect()),
            decided: group.decided(now),
            hosts,
            sets,
            members,
        })
    }

    /// Names and values for `GET /metrics`.
    pub fn figures(&self, now: Instant) -> Vec<(String, u64)> {
        let Some((_, fleet, group)) = &self.open else { return Vec::new() };
        let (counts, members) = (fleet.counts(), fleet.members(now));
        let states = [Health::Alive, Health::Suspect, Health::Left, Health::Down];
        let mut figures: Vec<(String, u64)> = states
            .map(|health| {
                let count = members.iter().filter(|member| member.health == health).count();
                (format!("svc_fleet_members{{state=\"{}\"}}", state(health)), count as u64)
            })
            .into();
        figures.push(("svc_fleet_rows".to_owned(), fleet.facts().len() as u64));
        for (place, of) in
            [("datagrams", [counts.received.0, counts.sent.0]), ("bytes", [counts.received.1, counts.sent.1])]
        {
            for (way, value) in ["received", "sent"].into_iter().zip(of) {
                figures.push((format!("svc_fleet_{place}{{way=\"{way}\"}}"), value));
            }
        }
        figures.extend(
            counts.dropped.iter().map(|(why, n)| (format!("svc_fleet_dropped{{why=\"{why}\"}}"), *n)),
        );
        figures.push(("svc_fleet_unsent".to_owned(), self.unsent));
        figures.push(("svc_fleet_deaths".to_owned(), counts.deaths));
        figures.push(("svc_fleet_returned".to_owned(), counts.returned));
        figures.extend(group.figures(now));
        figures
    }

    /// It is set as it was at the start.
    pub fn is_settled_by(&self, settled: Option<&Settled>) -> bool {
        settled == Some(&self.settled)
    }
}

fn state(health: Health) -> &'static str {
    match health {
        Health::Alive => "alive",
        Health::Suspect => "suspect",
        Health::Left => "left",
        Health::Down => "down",
    }
}
