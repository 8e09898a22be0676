//! Which client's connection gives way to a new one where descriptors are short.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::client::{Client, Phase};

/// Idle connections give way after so long.
const IDLE_CONNECTION_TIMEOUT: Duration = Duration::from_secs(2);

/// Closes a connection that nothing is owed on: one that is over, else one that has sent no request and been
/// silent for longest, else the one idle longest.
///
/// Guards against: crowds that connect and say nothing, or no more than an empty query, which would keep usual
/// clients out. One that has sent something which is not read yet is spared.
pub(super) fn evict(
    now: Instant,
    silent: Duration,
    clients: &mut HashMap<u64, Client>,
    scratch: &mut [u8],
) -> bool {
    let place = |client: &Client| match client.phase {
        Phase::Lingering(since) => Some((0, since)),
        Phase::Opening | Phase::Idle(_) if client.is_within_message() || client.stall.is_some() => None,
        Phase::Opening => Some((1, client.accepted)),
        Phase::Idle(since) if !client.requested => Some((1, since)),
        Phase::Idle(since) => Some((2, since)),
        _ => None,
    };
    let due = |(rank, since)| match rank {
        0 => true,
        1 => now - since >= silent,
        _ => now - since >= IDLE_CONNECTION_TIMEOUT,
    };
    let mut places: Vec<_> = clients
        .iter()
        .filter_map(|(number, client)| Some((place(client).filter(|place| due(*place))?, *number)))
        .collect();
    places.sort_unstable();
    let spare = |number: &u64| clients.get(number).is_some_and(|client| client.silent());
    let Some(number) = places.into_iter().map(|(_, number)| number).find(spare) else { return false };
    if let Some(mut client) = clients.remove(&number) {
        client.discard_unread(scratch);
    }
    true
}
