//! Whether a client whose leaving would not be seen is still there.

use std::time::Duration;

use super::{Client, Phase};
use crate::proto::pg::frontend;

/// How often a client that is not read from is asked whether it is still there, while a request of it is out. Nothing may
/// be sent for one that has been gone for 0.1 s.
pub(in crate::net) const PRESENCE_PROBE_INTERVAL: Duration = Duration::from_millis(40);
/// A client whose request lay unread for less cannot have been gone for 0.1 s when it is taken, a wait for its reset included.
pub(super) const CERTAIN_PRESENCE: Duration = Duration::from_millis(50);
/// How long the reset of a client that has gone may take.
pub(in crate::net) const RESET_TIMEOUT: Duration = Duration::from_millis(20);

impl Client {
    /// Asks a client whose leaving would not be seen whether it is still there: a notice, which it passes over, and which a
    /// reset answers if it has gone. True if it is to be asked again later.
    ///
    /// Guards against: requests sent for a client that has gone, where no end of its connection tells. That of one that has
    /// ended its sending only does not, and that of one whose commands are not read on now lies behind them.
    pub(in crate::net) fn probe_presence(&mut self) -> bool {
        let waits = self.phase == Phase::Busy && !self.passing;
        if self.probed || !waits || self.reads() {
            return false;
        }
        // What is not taken yet asks as well.
        if self.stall.is_none() {
            frontend::put_notice(self.wire.out(), "still waiting for the answer");
        }
        (self.probed, self.prompt) = (true, true);
        true
    }

    /// What it has sent lay unread for so long that it may have closed its connection long ago, or only its sending. Asks which, as
    /// [`Self::probe_presence`] does; true if an answer is to be waited for.
    ///
    /// Guards against: requests sent for a client that had gone while this process got no processor.
    pub(in crate::net) fn doubt_presence(&mut self, lay_unread: Duration) -> bool {
        let may_have_gone = lay_unread >= CERTAIN_PRESENCE && self.wire.is_ended();
        if self.presence_unsure || !may_have_gone || !matches!(self.phase, Phase::Idle(_)) {
            return false;
        }
        frontend::put_notice(self.wire.out(), "the request is taken late");
        self.presence_unsure = true;
        true
    }
}
