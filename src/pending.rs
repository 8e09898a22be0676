//! Requests and attempts under way, as a router holds them.

use std::time::Instant;

use crate::interface::{Request, ServerId, SessionKey};

/// A request that has no final answer yet.
pub struct Pending {
    pub request: Request,
    /// When it stops being worth an attempt: at its aim where a late answer earns nothing.
    pub ends: Instant,
    /// Until when it waits for a first place; and whether an attempt has reached a server at all.
    pub patient: Instant,
    pub reached: bool,
    pub floor: Option<Instant>,
    pub sends: u32,
    pub out: Option<u32>,
    pub may_have_run: Option<Instant>,
    pub tried: Vec<ServerId>,
    pub erred: Vec<ServerId>,
    /// Answers that could not be read to their end.
    pub spoilt: u32,
    pub asked_at: Option<Instant>,
}

/// An attempt that is out.
pub struct Attempt {
    pub server: ServerId,
    pub weight: f64,
    pub class: usize,
    /// Whose commit it may be; its request may be over before that is known, as when the client has left.
    pub session: Option<SessionKey>,
    pub sent: Instant,
    /// Nothing else of this router was out there; and nothing had been heard from there for a while.
    pub alone: bool,
    pub idle: bool,
    /// It is given up before its request's time ends.
    pub early: bool,
}
