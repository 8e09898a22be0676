//! Answers to a client's requests: passed on, described, or kept behind a row limit.

use super::description::{description, put_description};
use super::fault::Fault;
use super::{Final, Session, Waiting};
use crate::portal::{cost_of_portal, last_message, Run};
use crate::table::Table;
use crate::{bodies, code, frame, frontend};

impl Session {
    /// Takes the answer to the request that was asked for last, and appends what the client is to read.
    pub fn answered(&mut self, answer: Final, table: &mut Table, out: &mut Vec<u8>) {
        let waiting = std::mem::take(&mut self.waiting);
        let simple = matches!(waiting, Waiting::Simple);
        match (answer, waiting) {
            (Final::Served(messages), Waiting::Nothing | Waiting::Simple) => put_answer(out, &messages),
            (Final::Served(messages), waiting) if messages.first() == Some(&b'E') => {
                if let Waiting::Execute { portal, .. } = waiting {
                    self.outdate(&portal, &messages, table);
                }
                out.extend(messages);
                self.skip();
            }
            (Final::Served(messages), Waiting::Execute { portal, limit, describe }) => {
                if let Err(fault) = self.rows(&portal, messages, limit, describe, out) {
                    self.fail(out, fault);
                }
            }
            (Final::Served(messages), Waiting::Describe { statement, portal }) => {
                match description(&messages) {
                    Some(description) => {
                        put_description(out, &description, portal.as_deref());
                        table.describe(&statement, Some(description));
                    }
                    None => self.fail(out, (code::UNKNOWN_COMPLETION, "no description came".to_owned())),
                }
            }
            (refused, _) => {
                match refused {
                    Final::Refused(retry_after) => frontend::put_refusal(out, retry_after),
                    Final::OutOfTurn(full, why, retry_after) => {
                        frontend::put_out_of_turn(out, full, &why, retry_after);
                    }
                    Final::Invalid(why) => frontend::put_invalid(out, why),
                    Final::Cancelled => frontend::put_cancelled(out),
                    Final::Failed | Final::Served(_) => frontend::put_failure(out),
                }
                self.skip();
            }
        }
        if simple {
            // A simple query ends the pipeline that it stands in, as a Sync would.
            self.sync(out);
        }
    }

    /// An error that speaks of the schema: what is known of that statement's columns may no longer hold.
    fn outdate(&mut self, name: &[u8], messages: &[u8], table: &mut Table) {
        let sqlstate = messages.get(5..).and_then(bodies::error_code).unwrap_or_default();
        let schema = [b"0A000", b"42P01", b"42703"].iter().any(|code| sqlstate == *code);
        if let (true, Some(portal)) = (schema, self.portals.get(name)) {
            table.outdate(&portal.bound.statement);
        }
    }

    /// Passes on the rows of an answer, up to the limit, and keeps the rest.
    fn rows(
        &mut self,
        name: &[u8],
        messages: Vec<u8>,
        limit: usize,
        describe: bool,
        out: &mut Vec<u8>,
    ) -> Result<(), Fault> {
        let spoilt =
            || (code::UNKNOWN_COMPLETION, "the answer cannot be passed on in the form asked for".to_owned());
        let Some(portal) = self.portals.get_mut(name) else { return Ok(()) };
        let (messages, head) = portal.in_form(messages).ok_or_else(spoilt)?;
        if describe {
            match head {
                Some(head) => out.extend(head),
                None => frame::put(out, b'n', |_| {}),
            }
        }
        let tag_at = last_message(&messages).ok_or_else(spoilt)?;
        let before = cost_of_portal(name, portal);
        if limit == 0 {
            put_answer(out, &messages);
            return Ok(());
        }
        portal.run = Run::Part { from: 0, tag: messages[tag_at..].to_vec(), rows: messages };
        if let Run::Part { rows, .. } = &mut portal.run {
            rows.truncate(tag_at);
        }
        portal.serve(limit, out);
        let after = cost_of_portal(name, portal);
        let room = self.bytes.has_room(after.saturating_sub(before));
        self.bytes.replace(before, after);
        if !room {
            return Err((code::OUT_OF_MEMORY, "no memory for rows behind a row limit".to_owned()));
        }
        if self.bytes.get() > self.terms.limits.bytes {
            let most = self.terms.limits.bytes;
            return Err((code::LIMIT, format!("rows behind a row limit over {most} bytes of one client")));
        }
        Ok(())
    }
}

/// Appends an answer, with room for the ReadyForQuery behind it, so that it does not double the buffer.
fn put_answer(out: &mut Vec<u8>, messages: &[u8]) {
    const READY: usize = 6;
    out.reserve_exact(messages.len() + READY);
    out.extend_from_slice(messages);
}
