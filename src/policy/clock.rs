//! What becomes of times that were mapped by a clock which is not confirmed, or which was off.

use super::*;

impl Router {
    pub(super) fn on_clock_confirmed(&mut self, now: Instant, confirmed: bool, out: Out) {
        self.clock_unconfirmed = !confirmed;
        if confirmed {
            self.on_tick(now, out);
        }
    }

    /// Whether a server is known to have all commits up to `floor`; see [`Server::reaches`].
    ///
    /// Guards against: replicas that seem fresh by a clock that is behind, before a primary's answer shows
    /// that it is. Hurts where no primary answers: reads that need a position wait for one.
    pub(super) fn reaches(&self, id: ServerId, floor: Option<Instant>, now: Instant, checked: bool) -> bool {
        let dated = checked || !self.clock_unconfirmed;
        floor.is_none() || dated && self.servers[&id].reaches(floor, now, checked)
    }

    /// Takes what was dated by the clock before its correction for as little proof as both readings of it
    /// allow: positions for the earlier one, commits that have to be seen for the later one. The clock may
    /// have been off from its start, or have been right when it dated them and stepped since.
    ///
    /// Guards against: positions that stay the greatest known of a server though it has not reached them, and
    /// a session's read from before its write. Hurts for a moment, until servers tell positions again.
    pub(super) fn on_clock_corrected(&mut self, now: Instant, offset: ClockOffset) {
        match offset {
            ClockOffset::Behind(span) => {
                for server in self.servers.values_mut() {
                    server.position = server.position.and_then(|at| at.checked_sub(span));
                }
            }
            ClockOffset::Ahead(span) => {
                let later = |at: Instant| at.max(at.checked_add(span).map_or(now, |later| later.min(now)));
                self.commits.redate(later);
                for pending in self.requests.values_mut() {
                    pending.floor = pending.floor.map(later);
                }
            }
        }
    }
}
