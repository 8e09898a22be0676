//! A client's statement together with the memory that it is paid for with.

use yewroute_ledger::MemoryPermit;

use super::wire;
use crate::core::Payload;
use crate::proto::pg::request::Body;

/// A statement, and the permit for its bytes: whoever drops the last of it, its client, its request or an attempt that
/// outlives both, gives them back.
#[derive(Debug)]
pub struct Statement {
    /// What goes on to a db host.
    pub body: Body,
    permit: Option<MemoryPermit>,
}

impl Statement {
    /// A statement with what was set aside before it was read. A short one has no permit until it is admitted.
    pub fn new(body: Body, permit: Option<MemoryPermit>) -> Self {
        Self { body, permit }
    }
}

impl Payload for Statement {
    fn bytes(&self) -> usize {
        self.body.bytes()
    }

    fn permit(&mut self) -> &mut Option<MemoryPermit> {
        &mut self.permit
    }
}

impl wire::Shared for Statement {
    fn bytes(&self) -> &[u8] {
        match &self.body {
            Body::Simple(simple) => &simple.text,
            Body::Execute(_) | Body::Describe(_) => &[],
        }
    }
}
