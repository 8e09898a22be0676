//! What the desk answers to other gateways, what comes of its own questions, and what it does from time to time.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::claim::{Copied, Granted};
use super::cursor::{Aged, Cursor};
use super::desk::{Desk, Done, Holders, GHOST, MOST_CHANNELS, MOST_PUTS, MOST_QUEUED};
use super::home::{Channel, Entry, State, Who};
use super::order::most;
use super::seek::{Sought, ANSWER};
use super::{Ask, Said};
use crate::bridge::now;
use crate::peers::Incoming;
use crate::roster::{Giver, Had, Listed, Roster};

impl Desk {
    pub(super) fn asked(&mut self, now: Instant, incoming: Incoming) {
        let from = (incoming.from.clone(), incoming.incarnation);
        let Some(ask) = incoming.read::<Ask>() else { return };
        let life = self.me.1;
        let said = match ask {
            Ask::Roster(had) => Said::Roster(self.give(now, (&from.0, from.1), had)),
            Ask::Claim(claim, list) => {
                let granted = match self.knows(now, &claim.channel, &list) {
                    Ok(()) => self.holder.claim(now, &from, *claim),
                    Err(left) => Granted::Unsure(left),
                };
                Said::Granted(Box::new(granted), life)
            }
            Ask::Put { channel, cursor, free } => {
                Said::Put(self.holder.put(now, &from, &channel, *cursor, free), life)
            }
            Ask::GiveUp { channel, epoch } => {
                self.holder.give_up(&from, &channel, epoch);
                return;
            }
            Ask::Renew => {
                self.holder.renew(now, &from);
                Said::Renewed(life)
            }
            Ask::Look(channel) => Said::Left(self.holder.look(now, &channel)),
            Ask::Yield { channel, life: of, epoch, wanted, rule, wait } => {
                // Guards against: a word for an earlier life of this gateway, which may still send.
                if of != life {
                    Said::No
                } else {
                    let entry = Entry {
                        who: Who::Remote(Some(incoming)),
                        wanted,
                        rule,
                        until: now + wait,
                        gap: None,
                    };
                    return self.asked_for(now, channel, epoch, entry);
                }
            }
            Ask::Page(after) => match self.page(now, &from.0, after.as_deref()) {
                Some((page, more)) => Said::Page(page, more),
                None => Said::No,
            },
        };
        incoming.reply::<Ask>(&said);
    }

    /// This gateway can tell of a channel as one of its holders by this list.
    fn knows(&self, now: Instant, channel: &[u8], list: &(u64, Box<str>)) -> Result<(), Duration> {
        let soon = Duration::from_millis(100);
        self.acts_until(now).ok_or(soon)?;
        let listed = self.listed.as_ref().filter(|listed| listed.list.roster.number == *list).ok_or(soon)?;
        let keep = self.context.terms.keep;
        let heard = |name: &str| *name == *self.me.0 || listed.heard.contains(name);
        let here = |name: &str| listed.list.roster.members.iter().any(|(member, _)| **member == *name);
        let holders = listed.list.roster.holders(channel, keep);
        let before = listed.before.iter().flat_map(|before| before.holders(channel, keep));
        // Guards against: a holder that has lost its records, or never had them, and says that there are none.
        let all = holders.iter().all(|name| heard(name))
            && before.filter(|name| here(name)).all(|name| heard(&name));
        if holders.contains(&self.me.0) && all {
            Ok(())
        } else {
            Err(soon)
        }
    }

    /// Another gateway wants a channel of which it takes this one for the home.
    fn asked_for(&mut self, now: Instant, name: Vec<u8>, epoch: u64, entry: Entry) {
        let rule = entry.rule;
        let room = self.channels.len() < MOST_CHANNELS || self.channels.contains_key(&name);
        let Some(channel) =
            room.then(|| self.channels.entry(name.clone()).or_insert_with(|| Channel::new(now, rule)))
        else {
            if let Who::Remote(Some(asker)) = entry.who {
                asker.reply::<Ask>(&Said::No);
            }
            return;
        };
        channel.used = now;
        let full = channel.queue.len() >= MOST_QUEUED;
        match (&channel.state, entry.who) {
            (State::Home, Who::Remote(who)) if !full && channel.epoch == epoch => {
                channel.queue.push(Entry { who: Who::Remote(who), ..entry });
                self.pump(now, &name);
            }
            (State::Away, Who::Remote(Some(asker))) => {
                // It is not the home by this epoch any more, and never will be again.
                channel.epoch = channel.epoch.max(epoch);
                let known = channel.aged.version() > (0, 0) && channel.out.is_empty();
                let cursor = known.then(|| Box::new(channel.aged.now(now).clone()));
                let said = if channel.out.is_empty() { Said::Yielded(epoch, cursor) } else { Said::Seeks };
                asker.reply::<Ask>(&said);
            }
            (_, Who::Remote(Some(asker))) => asker.reply::<Ask>(&Said::Seeks),
            _ => {}
        }
    }

    fn page(&mut self, now: Instant, from: &str, after: Option<&[u8]>) -> Option<(Vec<Copied>, bool)> {
        let listed = self.listed.as_ref()?;
        let (roster, keep) = (listed.list.roster.clone(), self.context.terms.keep);
        let wanted = |channel: &[u8]| roster.holders(channel, keep).iter().any(|holder| **holder == *from);
        Some(self.holder.page(now, after, wanted))
    }

    /// The list, where this gateway is the steward.
    fn give(
        &mut self,
        now: Instant,
        from: (&str, u64),
        had: Option<Had>,
    ) -> Option<(Roster, bool, Duration)> {
        let outlook = self.context.outlook.borrow().clone();
        if outlook.steward_until.is_none_or(|until| until <= now) || !outlook.sure {
            self.giver = None;
            return None;
        }
        let terms = &self.context.terms;
        let giver = self.giver.get_or_insert_with(|| Giver::new(now, terms.lease_over()));
        let given = giver.asked(now, &outlook.members, from, had);
        given.map(|(roster, settled)| (roster, settled, terms.lease))
    }

    pub(super) fn done(&mut self, now: Instant, done: Done) {
        match done {
            Done::Sought { channel, round, ticket, sought } => {
                self.sought(now, channel, round, ticket, sought)
            }
            Done::Put { channel, holder, version, asked, said } => {
                self.puts -= 1;
                self.told(now, &channel, holder, version, asked, said);
            }
            Done::Renewed { holder, asked, life: Some(life) } => {
                self.leases.note(now, &holder, life, asked + self.lease);
                let outdated = self.outdated(&holder);
                self.dirty.extend(outdated);
                self.allow(now);
            }
            Done::Renewed { .. } => {}
            Done::Roster { asked, said: Some((roster, settled, span)) } => {
                let until = asked + span.mul_f64(1.0 - self.context.terms.drift);
                self.list(now, roster, settled, until);
            }
            Done::Roster { .. } => {}
            Done::Page { from, list, said } => self.paged(now, from, list, said),
        }
    }

    /// Channels whose grants by this holder count no more, as its lease is another one: it is asked again.
    fn outdated(&mut self, holder: &str) -> Vec<Vec<u8>> {
        let leases = &self.leases;
        let mut outdated = Vec::new();
        for (name, channel) in &mut self.channels {
            if matches!(channel.state, State::Home)
                && channel.granted.get(holder).is_some_and(|term| !leases.counts(holder, *term))
            {
                channel.granted.remove(holder);
                channel.told.remove(holder);
                outdated.push(name.clone());
            }
        }
        outdated
    }

    fn sought(&mut self, now: Instant, name: Vec<u8>, round: u64, ticket: Option<u64>, sought: Sought) {
        let Some(channel) = self.channels.get_mut(&name) else {
            self.seeks = self.seeks.saturating_sub(1);
            return;
        };
        if channel.round != round {
            return;
        }
        self.seeks = self.seeks.saturating_sub(1);
        channel.state = State::Away;
        match sought {
            Sought::Won { epoch, cursor, granted } => {
                channel.epoch = epoch;
                channel.aged = Aged::new(now, Cursor { version: (epoch, 1), ..*cursor });
                channel.granted.clear();
                channel.told.clear();
                for (holder, life, asked) in granted {
                    let term = self.leases.note(now, &holder, life, asked + self.lease);
                    channel.granted.insert(holder, term);
                }
                (channel.state, channel.first, channel.rests) = (State::Home, ticket, None);
                self.dirty.insert(name.clone());
            }
            Sought::Finish(finish) => {
                let is =
                    |entry: &Entry| matches!(&entry.who, Who::Local(enter) if Some(enter.ticket) == ticket);
                if let Some(at) = channel.queue.iter().position(is) {
                    let entry = channel.queue.remove(at);
                    self.tell(entry, finish);
                }
            }
            Sought::Lost { epoch, why, full, retry } => {
                channel.epoch = channel.epoch.max(epoch);
                let is =
                    |entry: &Entry| matches!(&entry.who, Who::Local(enter) if Some(enter.ticket) == ticket);
                if let Some(at) = channel.queue.iter().position(is) {
                    let entry = channel.queue.remove(at);
                    let finish = super::Finish::Refused { full, why: why.to_owned(), retry: Some(retry) };
                    self.tell(entry, finish);
                }
            }
        }
        self.pump(now, &name);
    }

    /// A holder has been told how a channel stands.
    fn told(
        &mut self,
        now: Instant,
        name: &[u8],
        holder: Box<str>,
        version: (u64, u64),
        asked: Instant,
        said: Option<(bool, u64)>,
    ) {
        let term = said.map(|(_, life)| self.leases.note(now, &holder, life, asked + self.lease));
        let Some(channel) = self.channels.get_mut(name) else { return };
        if !matches!(channel.state, State::Home) || channel.epoch != version.0 {
            return;
        }
        match (said, term) {
            (Some((true, _)), Some(term)) => {
                channel.granted.insert(holder.clone(), term);
                channel.told.insert(holder, (version.1, false));
            }
            (Some((false, _)), _) => {
                // Somebody has claimed it since, at this holder.
                channel.granted.remove(&holder);
                channel.told.insert(holder, (0, true));
            }
            _ => {
                if let Some((_, way)) = channel.told.get_mut(&holder) {
                    *way = false;
                }
            }
        }
        let need = most(channel.holders.len());
        let known = |change: u64| channel.told.values().filter(|(told, _)| *told >= change).count() >= need;
        let mut goes = Vec::new();
        for running in &mut channel.out {
            if running.waits.as_ref().is_some_and(|(change, ..)| known(*change)) {
                goes.extend(running.waits.take());
            }
        }
        if channel.told.values().any(|(told, way)| !way && *told < channel.aged.version().1) {
            // Guards against: asking one that cannot be reached over and over.
            let next = if said.is_some() { &mut self.dirty } else { &mut self.again };
            next.insert(name.to_vec());
        }
        let right = self.channels.get(name).and_then(|channel| self.right(now, channel));
        if let Some(channel) = self.channels.get_mut(name) {
            if !channel.out.is_empty() {
                channel.permit.set(right);
            }
        }
        for (_, enter, again) in goes {
            if let Some(mut channel) = self.channels.remove(name) {
                self.send(now, &mut channel, &enter, again);
                self.channels.insert(name.to_vec(), channel);
            }
        }
        if self.waiting.contains(name) {
            self.pump(now, name);
        }
    }

    /// Tells holders how channels stand that have changed; no holder is told twice at a time of one.
    pub(super) fn flush(&mut self, now: Instant) {
        if self.dirty.is_empty() {
            return;
        }
        let mut later = std::collections::BTreeSet::new();
        while let Some(name) = self.dirty.pop_first() {
            if self.puts >= MOST_PUTS {
                later.insert(name);
                break;
            }
            let Some(channel) = self.channels.get_mut(&name) else { continue };
            if !matches!(channel.state, State::Home) {
                continue;
            }
            let version = channel.aged.version();
            let mut cursor = None;
            for holder in channel.holders.clone() {
                let told = channel.told.entry(holder.clone()).or_default();
                if told.1 || told.0 >= version.1 {
                    continue;
                }
                told.1 = true;
                let cursor = cursor.get_or_insert_with(|| Box::new(channel.aged.now(now).clone())).clone();
                let (peers, channel) = (self.context.peers.clone(), name.clone());
                self.puts += 1;
                self.work.spawn(async move {
                    let asked = super::seek::now();
                    let ask = Ask::Put { channel: channel.clone(), cursor, free: false };
                    let said = match peers.ask(&holder, &ask, ANSWER).await {
                        Ok(Said::Put(taken, life)) => Some((taken, life)),
                        _ => None,
                    };
                    Done::Put { channel, holder, version, asked, said }
                });
            }
        }
        self.dirty.append(&mut later);
    }

    /// Asks for the list, and renews the leases that homes live by.
    pub(super) fn renew(&mut self) {
        self.dirty.append(&mut self.again);
        let steward = self.context.outlook.borrow().steward.clone();
        if let Some(steward) = steward {
            let had = self.listed.as_ref().map(|listed| Had {
                roster: listed.list.roster.clone(),
                runs: listed.list.until > now(),
                settled: listed.list.settled,
            });
            let (peers, asked) = (self.context.peers.clone(), now());
            self.work.spawn(async move {
                let said = match peers.ask(&steward, &Ask::Roster(had), ANSWER).await {
                    Ok(Said::Roster(said)) => said,
                    _ => None,
                };
                Done::Roster { asked, said }
            });
        }
        let homes = self.channels.values().any(|channel| matches!(channel.state, State::Home));
        let members = self.listed.iter().flat_map(|listed| listed.list.roster.members.clone());
        for (holder, _) in members.filter(|_| homes).collect::<Vec<_>>() {
            let (peers, asked) = (self.context.peers.clone(), now());
            self.work.spawn(async move {
                let life = match peers.ask(&holder, &Ask::Renew, ANSWER).await {
                    Ok(Said::Renewed(life)) => Some(life),
                    _ => None,
                };
                Done::Renewed { holder, asked, life }
            });
        }
    }

    /// Goes by a list.
    fn list(&mut self, now: Instant, roster: Roster, settled: bool, until: Instant) {
        if let Some(listed) = self.listed.as_mut().filter(|listed| listed.list.roster.number == roster.number)
        {
            listed.list.until = listed.list.until.max(until);
            listed.list.settled |= settled;
        } else {
            let before = self.listed.take();
            let heard = std::collections::BTreeSet::new();
            let before = before.map(|before| before.list.roster);
            self.listed = Some(Holders { list: Listed { roster, settled, until }, heard, before });
            self.resettle(now);
        }
        let list = self.listed.as_ref().map(|listed| Arc::new(listed.list.clone()));
        self.context.shared.listed.store(list);
        self.hear();
        self.allow(now);
    }

    /// Another list: other gateways hold some of the channels.
    fn resettle(&mut self, _now: Instant) {
        let Some(listed) = &self.listed else { return };
        for (name, channel) in &mut self.channels {
            let holders = listed.list.roster.holders(name, self.context.terms.keep);
            if holders != channel.holders {
                channel.granted.retain(|holder, _| holders.contains(holder));
                channel.told.retain(|holder, _| holders.contains(holder));
                channel.holders = holders;
                self.dirty.insert(name.clone());
            }
        }
    }

    /// Asks those for their records whose have not come yet.
    fn hear(&mut self) {
        let Some(listed) = &self.listed else { return };
        let names = listed.list.roster.members.iter().map(|(name, _)| name.clone());
        let unheard = names.filter(|name| *name != self.me.0 && !listed.heard.contains(name));
        for from in unheard.collect::<Vec<_>>() {
            self.ask_page(from, None);
        }
    }

    fn ask_page(&mut self, from: Box<str>, after: Option<Vec<u8>>) {
        let Some(list) = self.listed.as_ref().map(|listed| listed.list.roster.number.clone()) else { return };
        let peers = self.context.peers.clone();
        self.work.spawn(async move {
            let said = match peers.ask(&from, &Ask::Page(after), ANSWER).await {
                Ok(Said::Page(page, more)) => Some((page, more)),
                _ => None,
            };
            Done::Page { from, list, said }
        });
    }

    fn paged(
        &mut self,
        now: Instant,
        from: Box<str>,
        list: (u64, Box<str>),
        said: Option<(Vec<Copied>, bool)>,
    ) {
        let Some((page, more)) = said else { return };
        let last = page.last().map(|copied| copied.channel.clone());
        for copied in page {
            self.holder.copy(now, copied);
        }
        let Some(listed) = self.listed.as_mut().filter(|listed| listed.list.roster.number == list) else {
            return;
        };
        if more && last.is_some() {
            self.ask_page(from, last);
        } else {
            listed.heard.insert(from);
        }
    }

    /// Forgets what is useless.
    pub(super) fn sweep(&mut self, now: Instant) {
        self.holder.sweep(now);
        let useless = |channel: &Channel| {
            let keep = match channel.state {
                State::Home => channel.aged.told().rule.keep,
                _ => GHOST,
            };
            channel.rests() && channel.is_told() && now.saturating_duration_since(channel.used) >= keep
        };
        let useless: Vec<Vec<u8>> = self
            .channels
            .iter()
            .filter(|(_, channel)| useless(channel))
            .map(|(name, _)| name.clone())
            .collect();
        for name in useless {
            self.forget(now, &name);
        }
    }

    /// Room for another channel: those at rest go whose use is longest ago.
    pub(super) fn make_room(&mut self, now: Instant) -> bool {
        let idle = self.channels.iter().filter(|(_, channel)| {
            matches!(channel.state, State::Home) && channel.rests() && channel.is_told()
        });
        let mut idle: Vec<_> = idle.map(|(name, channel)| (channel.used, name.clone())).collect();
        idle.sort_unstable();
        idle.truncate(idle.len() / 16 + 1);
        let some = !idle.is_empty();
        for (_, name) in idle {
            self.forget(now, &name);
        }
        some
    }

    /// A channel at rest is let go.
    fn forget(&mut self, now: Instant, name: &[u8]) {
        let Some(mut channel) = self.channels.remove(name) else { return };
        if matches!(channel.state, State::Home) {
            let cursor = Box::new(channel.aged.now(now).clone());
            let put = Ask::Put { channel: name.to_vec(), cursor, free: true };
            for holder in &channel.holders {
                // One that does not hear it asks this gateway, which then says that it is free.
                let _ = self.context.peers.tell(holder, &put);
            }
        }
        self.dirty.remove(name);
    }
}
