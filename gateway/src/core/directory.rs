//! The list of db hosts: their numbers, addresses and states.

use std::collections::HashMap;
use std::net::SocketAddr;

use yewroute::interface::{Entry, GroupId, Phase, ServerId};

use crate::clock::Clock;
use crate::proto::catalog::{Member, Members, Role, State};

/// One db host.
pub struct Listed {
    /// Where it is.
    pub addr: SocketAddr,
    /// It takes requests.
    pub serving: bool,
    /// Its group.
    pub group: u64,
}

/// The list as it is held. A db host keeps its number for good.
#[derive(Default)]
pub struct Directory {
    numbers: HashMap<String, ServerId>,
    members: Vec<Listed>,
    version: u64,
}

impl Directory {
    /// The version held.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// What is known of a db host.
    pub fn member(&self, server: ServerId) -> Option<&Listed> {
        self.members.get(server.0 as usize)
    }

    /// The lowest group that has a db host which takes requests.
    pub fn first_group(&self) -> Option<u64> {
        self.members.iter().filter(|member| member.serving).map(|member| member.group).min()
    }

    /// Takes news and gives the entries as the module has them.
    pub fn learn(&mut self, news: &Members, clock: &Clock) -> Vec<Entry> {
        self.version = news.version;
        if news.full {
            // Who is not in a full list is gone.
            self.members.iter_mut().for_each(|member| member.serving = false);
        }
        news.servers.iter().map(|member| self.entry(member, clock)).collect()
    }

    fn entry(&mut self, member: &Member, clock: &Clock) -> Entry {
        let listed = Listed { addr: member.addr, serving: member.state == State::Ready, group: member.cell };
        let server = match self.numbers.get(&member.id) {
            Some(server) => {
                self.members[server.0 as usize] = listed;
                *server
            }
            None => {
                let server = ServerId(u32::try_from(self.members.len()).expect("far fewer db hosts"));
                self.numbers.insert(member.id.clone(), server);
                self.members.push(listed);
                server
            }
        };
        Entry {
            server,
            group: GroupId(member.cell),
            started: Some(member.started_ms).filter(|ms| *ms != 0).and_then(|ms| clock.position(ms)),
            primary: member.role == Some(Role::Primary),
            phase: match member.state {
                State::Ready => Phase::Serving,
                State::Terminating => Phase::Draining,
                State::Gone => Phase::Gone,
            },
        }
    }
}
