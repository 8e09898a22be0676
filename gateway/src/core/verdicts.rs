//! What attempts show of db hosts goes to the federation's tasks, and what all gateways hold of them goes to the module.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use yewroute::interface::{Event, Role, ServerId, Status, Verdict};
use yewroute_federation::verdicts::evidence::{self, Evidence, How};
use yewroute_federation::verdicts::{Held, News, What};

use super::{Attempt, AttemptId, Core, Effect, Ended, Payload};

/// How often attempts that are out are looked at; where this was not called for longer, answers may have come that were not
/// read yet, and nothing is made of silence.
const LOOK: Duration = Duration::from_millis(5);
const STALLED: Duration = Duration::from_millis(40);
/// A verdict that is neither heard of nor refuted any more ends now, and nothing is forgiven.
const NOW: Duration = Duration::from_millis(1);

/// Both ways.
#[derive(Default)]
pub(super) struct Proofs {
    evidence: Evidence,
    looked: Option<Instant>,
    /// The list's version that the tasks know.
    told: Option<u64>,
    /// What the module was told last, by db host.
    held: HashMap<(ServerId, What), Held>,
}

impl<B: Payload> Core<B> {
    /// An attempt ended.
    pub(super) fn book_proof(
        &mut self,
        now: Instant,
        (request, _): AttemptId,
        attempt: &Attempt,
        ended: &Ended,
    ) {
        let (Some(proofs), Some((host, group))) = (&mut self.proofs, attempt.host) else { return };
        let how = match ended.status {
            Status::Good => How::Served,
            Status::Error => How::Error,
            Status::Timeout if attempt.first_byte.is_none() => How::Silent,
            Status::Reset if attempt.first_byte.is_none() => How::Broke,
            Status::ConnectFailed => How::Refused,
            Status::Full => How::TurnedAway,
            Status::Miss | Status::Spoilt => How::Otherwise,
            _ => return,
        };
        let primary = ended.note.role == Some(Role::Primary) && ended.status == Status::Good;
        let class = attempt.class;
        let attempt_of = evidence::Attempt { host, group, class, request: request.0, sent: attempt.sent };
        proofs.evidence.ended(now, &attempt_of, attempt.elapsed(now), how, (attempt.told, primary));
    }

    /// What is to be told the tasks; to be called at every turn of the event loop, after what has come was read.
    pub fn take_proofs(&mut self, now: Instant) -> Vec<News> {
        let Some(proofs) = &mut self.proofs else { return Vec::new() };
        let since = proofs.looked.map_or(Duration::MAX, |at| now.saturating_duration_since(at));
        let listed = proofs.told == Some(self.directory.version());
        // The loop turns thousands of times a second with requests.
        if since < LOOK && listed && proofs.evidence.is_silent() {
            return Vec::new();
        }
        let mut news = Vec::new();
        if !listed {
            proofs.told = Some(self.directory.version());
            let hosts: Vec<(u64, u64)> =
                self.directory.hosts().map(|(_, host, group)| (host, group)).collect();
            proofs.evidence.keep(|host| hosts.iter().any(|(listed, _)| *listed == host));
            news.push(News::Listed(hosts));
        }
        if since >= LOOK {
            proofs.looked = Some(now);
        }
        if (LOOK..STALLED).contains(&since) {
            for ((request, _), out) in &mut self.attempts {
                let Some((host, group)) = out.host.filter(|_| out.first_byte.is_none()) else { continue };
                let (class, sent) = (out.class, out.sent);
                let attempt = evidence::Attempt { host, group, class, request: request.0, sent };
                out.told = proofs.evidence.waits(now, &attempt, out.told);
            }
        }
        news.extend(proofs.evidence.take().into_iter().map(News::Word));
        news
    }

    /// All that gateways hold of db hosts now, in place of what was told before.
    pub fn hear_verdicts(&mut self, now: Instant, held: &[Held], effects: &mut Vec<Effect<B>>) {
        let Some(proofs) = &mut self.proofs else { return };
        let talked_of: Vec<u64> = held.iter().filter(|held| held.what.bars()).map(|held| held.host).collect();
        proofs.evidence.talked_of(&talked_of);
        let servers: HashMap<u64, ServerId> =
            self.directory.hosts().map(|(server, host, _)| (host, server)).collect();
        let mut before = std::mem::take(&mut proofs.held);
        let mut events = Vec::new();
        for held in held {
            let Some(server) = servers.get(&held.host).copied() else { continue };
            let key = (server, if held.what.bars() { What::Hangs } else { held.what });
            let known = before.remove(&key);
            proofs.held.insert(key, *held);
            if known.as_ref() == Some(held) {
                continue;
            }
            events.push(match held.what {
                What::Leads => Event::Primary { server, seen: held.proven },
                What::Well => {
                    // Only where it was judged away: what serves all along has nothing to be forgiven.
                    let Some(was) = before.remove(&(server, What::Hangs)) else { continue };
                    let proven = held.proven.max(was.proven);
                    Event::Verdict {
                        server,
                        verdict: Verdict { proven, until: now, firm: false, trial: false },
                    }
                }
                _ => {
                    let trial = held.trial != 0 && known.is_none_or(|known| known.trial != held.trial);
                    let verdict = Verdict { proven: held.proven, until: held.until, firm: held.firm, trial };
                    Event::Verdict { server, verdict }
                }
            });
        }
        let lapsed = before.into_iter().filter(|((_, what), held)| what.bars() && held.until > now);
        events.extend(lapsed.map(|((server, _), held)| {
            let verdict = Verdict { proven: held.proven, until: now + NOW, firm: false, trial: false };
            Event::Verdict { server, verdict }
        }));
        events.into_iter().for_each(|event| self.route(now, event, effects));
    }
}
