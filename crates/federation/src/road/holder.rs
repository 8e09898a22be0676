//! What each gateway does by the steward's word: fetches and checks tables, acts by one under a lease, hands on an operator's.

use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use yewroute_table::{Digest, Fault};

use super::{renewed, Answer, Ask, RoadError, Texts, Version};
use crate::bridge::{now, Acting, Next, Status, Wish};
use crate::peers::Incoming;
use crate::Context;

/// How long one gateway is asked, and how long after a failure it is asked again.
const ASKED: Duration = Duration::from_millis(700);
const AGAIN: Duration = Duration::from_millis(150);
/// The same after a text that could not be had or is at fault here.
const FAULTY: Duration = Duration::from_secs(1);
/// Gateways that are asked for a text.
const ASKED_FOR_TEXT: usize = 8;
/// Questions of others, worked on at a time.
const MOST_WORK: usize = 64;

/// What an operator put.
pub struct Put {
    /// Who waits for the answer.
    pub caller: u64,
    /// The text.
    pub text: String,
}

/// Asks for leases and does what comes with them, and answers others, until all ends. `asked` are questions of others that are
/// not the steward's.
pub async fn run(
    context: Context,
    texts: Arc<Texts>,
    acts: watch::Sender<Arc<Acting>>,
    asked: mpsc::Receiver<Incoming>,
    puts: mpsc::Receiver<Put>,
) {
    let (look, looks) = mpsc::channel(1);
    tokio::select! {
        () = context.ends.cancelled() => {}
        () = keep(&context, &texts, &acts, looks) => {}
        () = serve(&context, &texts, &look, asked, puts) => {}
    }
}

/// Answers others, and hands on what an operator put.
async fn serve(
    context: &Context,
    texts: &Arc<Texts>,
    look: &mpsc::Sender<()>,
    mut asked: mpsc::Receiver<Incoming>,
    mut puts: mpsc::Receiver<Put>,
) {
    let mut work = JoinSet::new();
    loop {
        tokio::select! {
            _ = work.join_next(), if !work.is_empty() => {}
            Some(incoming) = asked.recv(), if work.len() < MOST_WORK => {
                work.spawn(answer(context.clone(), Arc::clone(texts), look.clone(), incoming));
            }
            Some(put) = puts.recv(), if work.len() < MOST_WORK => {
                work.spawn(hand_on(context.clone(), Arc::clone(texts), put));
            }
            else => return,
        }
    }
}

/// Keeps a lease.
async fn keep(
    context: &Context,
    texts: &Arc<Texts>,
    acts: &watch::Sender<Arc<Acting>>,
    mut looks: mpsc::Receiver<()>,
) {
    let mut outlook = context.outlook.clone();
    let mut at = tokio::time::Instant::now();
    let mut told = 0;
    loop {
        tokio::select! {
            Some(()) = looks.recv() => at = tokio::time::Instant::now(),
            changed = outlook.changed() => {
                if changed.is_err() {
                    return;
                }
                // Another steward is asked soon.
                if outlook.borrow_and_update().steward.is_some() && !acts.borrow().acts(now()) {
                    at = at.min(tokio::time::Instant::now() + AGAIN);
                }
            }
            () = tokio::time::sleep_until(at) => {
                let pause = match lease(context, texts, acts).await {
                    Ok(pause) => pause,
                    Err(error) => {
                        tracing::debug!(%error, help = error.help(), "table: no lease");
                        if matches!(error, RoadError::Steward(_) | RoadError::NoSteward) { AGAIN } else { FAULTY }
                    }
                };
                at = tokio::time::Instant::now() + pause;
            }
            // Said once when the lease has ended.
            () = ended(acts), if told != acts.borrow().version => {
                told = acts.borrow().version;
                tracing::warn!(version = told, "table: held; the lease has ended and the steward cannot be asked");
                context.shared.figures.held.fetch_add(1, Ordering::Relaxed);
            }
        }
        if acts.borrow().acts(now()) {
            told = 0;
        }
    }
}

/// Waits for the end of the lease.
async fn ended(acts: &watch::Sender<Arc<Acting>>) {
    let until = acts.borrow().until;
    match until {
        Some(until) => tokio::time::sleep_until(until.into()).await,
        None => std::future::pending().await,
    }
}

/// Asks the steward once; says when it is to be asked again.
async fn lease(
    context: &Context,
    texts: &Arc<Texts>,
    acts: &watch::Sender<Arc<Acting>>,
) -> Result<Duration, RoadError> {
    let held = acts.borrow().clone();
    let steward = context.outlook.borrow().steward.clone().ok_or(RoadError::NoSteward)?;
    let settled = if held.settled { held.version } else { 0 };
    let asked_at = now();
    let last = texts.pledged();
    let question = Ask::Lease { acts: held.version, settled, holds: texts.digests(), pending: last };
    let answer = context.peers.ask(&steward, &question, ASKED).await.map_err(RoadError::Steward)?;
    match answer {
        Answer::Lease { version, settled, next } => {
            let Some((_, table)) = texts.get(version.digest) else { return Ok(AGAIN) };
            let lease = context.terms.lease_held();
            let Some(acting) = renewed(&held, (version, table), settled, asked_at, lease) else {
                return Ok(AGAIN);
            };
            // Its road has ended, or this steward has not heard of it and has now.
            if next.as_ref().is_none_or(|next| {
                last.is_some_and(|last| last.digest.to_string() != next.digest || !next.refused.is_empty())
            }) {
                last.into_iter().for_each(|last| texts.release(last));
            }
            let switched = version.number != held.version;
            if switched {
                tracing::info!(version = version.number, digest = %version.digest, "table: acted on from now on");
                context.shared.figures.switches.fetch_add(1, Ordering::Relaxed);
            } else if !held.acts(asked_at) {
                tracing::info!(version = version.number, "table: acted on again");
            }
            if acting.settled && (switched || !held.settled) {
                tracing::debug!(version = version.number, "table: nobody can act by an earlier one any more");
            }
            // What this gateway has prepared is on its road, even if the steward had not begun it when it answered.
            let own = texts.pledged();
            show(context, version, next.or_else(|| own.and_then(|own| on_road(own, version))));
            let settled = acting.settled;
            let acting = Arc::new(acting);
            context.shared.acting.store(Arc::clone(&acting));
            acts.send_replace(acting);
            // The steward is told at once that the version before is not acted on any more.
            Ok(if switched {
                Duration::ZERO
            } else if settled {
                context.terms.lease / 3
            } else {
                AGAIN
            })
        }
        Answer::Learn(version) => {
            fetch(context, texts, version, &[held.digest]).await?;
            if version.number > held.version {
                texts.pledge(version);
            }
            Ok(Duration::ZERO)
        }
        // Most of those that decide were lost at once, and with them the decision that this gateway acted on.
        Answer::Behind => {
            let newer = Ask::Newer(Version { number: held.version, digest: held.digest });
            context.peers.ask(&steward, &newer, ASKED).await.map_err(RoadError::Steward)?;
            Ok(AGAIN)
        }
        _ => Ok(AGAIN),
    }
}

/// A version that has been prepared here, as far as it is known, if it follows the one in force.
fn on_road(prepared: Version, in_force: Version) -> Option<Next> {
    let Version { number: version, digest } = prepared;
    (version > in_force.number).then(|| Next { version, digest: digest.to_string(), ..Next::default() })
}

/// Shows a version as on its road from the moment it is prepared here.
pub(super) fn show_prepared(context: &Context, version: Version) {
    let acting = context.shared.acting.load();
    let in_force = Version { number: acting.version, digest: acting.digest };
    if let Some(next) = on_road(version, in_force) {
        show(context, in_force, Some(next));
    }
}

fn show(context: &Context, version: Version, next: Option<Next>) {
    let status = Status { version: version.number, digest: version.digest.to_string(), next };
    if **context.shared.status.load() != status {
        context.shared.status.store(Arc::new(status));
    }
}

/// Answers another gateway's question.
async fn answer(context: Context, texts: Arc<Texts>, look: mpsc::Sender<()>, incoming: Incoming) {
    match incoming.read::<Ask>() {
        Some(Ask::Fetch(digest)) => {
            let text = texts.get(digest).map(|(text, _)| text.to_string());
            incoming.reply::<Ask>(&Answer::Text(text));
        }
        Some(Ask::Prepare { version }) => {
            let in_force = context.shared.acting.load().digest;
            let answer = match fetch(&context, &texts, version, &[in_force]).await {
                Ok(()) => {
                    texts.pledge(version);
                    show_prepared(&context, version);
                    Answer::Prepared(context.terms.incarnation)
                }
                Err(RoadError::Refused { digest, fault }) => {
                    tracing::warn!(version = version.number, %digest, fault, "table: refused here");
                    Answer::Refused(fault)
                }
                Err(error) => {
                    tracing::warn!(version = version.number, %error, help = error.help(), "table: cannot prepare");
                    Answer::NotNow
                }
            };
            incoming.reply::<Ask>(&answer);
        }
        Some(Ask::Look) => {
            incoming.reply::<Ask>(&Answer::Heard);
            // One that waits already is enough.
            let _ = look.try_send(());
        }
        _ => incoming.reply::<Ask>(&Answer::NotNow),
    }
}

/// Reads and checks a text, and keeps it.
pub(super) fn take(
    context: &Context,
    texts: &Texts,
    text: &str,
    needed: &[Digest],
) -> Result<Digest, Vec<Fault>> {
    let groups = Arc::clone(&context.outlook.borrow().groups);
    let table = (context.terms.reader)(text, &groups)?;
    Ok(texts.keep(text.into(), table, needed))
}

/// Sees to it that this gateway holds a version's text, from whoever has it.
pub(super) async fn fetch(
    context: &Context,
    texts: &Arc<Texts>,
    version: Version,
    needed: &[Digest],
) -> Result<(), RoadError> {
    if texts.get(version.digest).is_some() {
        return Ok(());
    }
    let mut from: Vec<Box<str>> = context.outlook.borrow().steward.iter().cloned().collect();
    let members = context.peers.members();
    from.extend(
        members
            .iter()
            .skip(1)
            .map(|member| member.name.clone())
            .filter(|name| !from.contains(name))
            .collect::<Vec<_>>(),
    );
    for name in from.iter().filter(|name| ***name != *context.peers.me()).take(ASKED_FOR_TEXT) {
        let Ok(Answer::Text(Some(text))) = context.peers.ask(name, &Ask::Fetch(version.digest), ASKED).await
        else {
            continue;
        };
        if Digest::of(&text) != version.digest {
            let error = RoadError::Foreign(name.clone());
            tracing::warn!(%error, help = error.help(), "table: fetched");
            continue;
        }
        return match take(context, texts, &text, needed) {
            Ok(_) => Ok(()),
            Err(faults) => {
                let fault = faults.first().map_or_else(String::new, ToString::to_string);
                Err(RoadError::Refused { digest: version.digest, fault })
            }
        };
    }
    Err(RoadError::NoText(version.digest))
}

/// Text within JSON.
pub(crate) fn quoted(text: &str) -> String {
    let mut out = String::from("\"");
    for c in text.chars() {
        match c {
            '"' | '\\' => out.extend(['\\', c]),
            '\n' => out.push_str("\\n"),
            c if c < ' ' => out.push_str(&format!("\\u{:04x}", u32::from(c))),
            c => out.push(c),
        }
    }
    out + "\""
}

fn faulty(faults: &[Fault]) -> String {
    let one = |fault: &Fault| {
        let Fault { line, entry, problem, remedy } = fault;
        let (entry, problem, remedy) = (quoted(entry), quoted(problem), quoted(remedy));
        format!("{{\"line\":{line},\"entry\":{entry},\"problem\":{problem},\"do\":{remedy}}}")
    };
    format!("{{\"faults\":[{}]}}", faults.iter().map(one).collect::<Vec<_>>().join(","))
}

/// Hands an operator's table on to the steward, and answers the call.
async fn hand_on(context: Context, texts: Arc<Texts>, put: Put) {
    let Put { caller, text } = put;
    let (status, body) = propose(&context, &texts, text).await;
    context.wish(Wish::Answer { caller, status, body });
}

async fn propose(context: &Context, texts: &Texts, text: String) -> (u16, String) {
    let said = |problem: &str, remedy: &str| {
        format!("{{\"problem\":{},\"do\":{}}}", quoted(problem), quoted(remedy))
    };
    if text.len() > yewroute_table::LONGEST_TEXT {
        return (413, said("the table is too long", "leave entries out: 256 KiB are allowed"));
    }
    let (over, in_force) = {
        let acting = context.shared.acting.load();
        (acting.version, acting.digest)
    };
    if let Err(faults) = take(context, texts, &text, &[in_force]) {
        return (422, faulty(&faults));
    }
    let steward = context.outlook.borrow().steward.clone();
    let without = |error: &RoadError| (503, said(&error.to_string(), error.help()));
    let Some(steward) = steward else { return without(&RoadError::NoSteward) };
    match context.peers.ask(&steward, &Ask::Propose { over, text }, 2 * ASKED).await {
        Ok(Answer::Accepted(version)) => (200, format!("{{\"version\":{version},\"state\":\"preparing\"}}")),
        Ok(Answer::Conflict(version)) => {
            (409, format!("{{\"version\":{version},\"problem\":\"another version is on its road or in force\",\"do\":\"GET /table, and put yours again once next is null\"}}"))
        }
        Ok(Answer::Faulty(faults)) => (422, faulty(&faults)),
        Ok(_) => without(&RoadError::NoSteward),
        Err(error) => without(&RoadError::Steward(error)),
    }
}
