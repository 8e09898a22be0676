//! Takes what the membership library gives out.

use std::time::Duration;

use foca::{Notification, Runtime, Timer};

use crate::member::Id;

/// What the library gives out, as it comes.
#[derive(Default)]
pub struct Outlet {
    pub send: Vec<(Id, Vec<u8>)>,
    pub timers: Vec<(Timer<Id>, Duration)>,
    pub up: Vec<Id>,
    pub down: Vec<Id>,
    pub renamed: Vec<(Id, Id)>,
    pub rejoined: bool,
}

impl Runtime<Id> for Outlet {
    fn notify(&mut self, notification: Notification<'_, Id>) {
        match notification {
            Notification::MemberUp(id) => self.up.push(id.clone()),
            Notification::MemberDown(id) => self.down.push(id.clone()),
            Notification::Rename(old, new) => self.renamed.push((old.clone(), new.clone())),
            Notification::Rejoin(_) => self.rejoined = true,
            _ => {}
        }
    }

    fn send_to(&mut self, to: Id, data: &[u8]) {
        self.send.push((to, data.to_vec()));
    }

    fn submit_after(&mut self, event: Timer<Id>, after: Duration) {
        self.timers.push((event, after));
    }
}
