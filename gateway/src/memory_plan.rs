//! The memory plan: every buffer that a peer can make grow, and what each may take, worked out from the limits of the settings.
//!
//! | row | bound | parts of 32 |
//! | --- | --- | --- |
//! | the program: its code, tables and lists of some hundred db hosts | 9 MiB | 9 |
//! | statements, read, held, under way or abandoned | [`MemoryPlan::statements`] | 12 |
//! | bytes that clients have sent ahead | [`MemoryPlan::client_read`] for each connection | 1 |
//! | bytes that clients have not taken, but for answers | [`MemoryPlan::client_write`] for each, and one message | 1 |
//! | answers, under way or not taken | [`MemoryPlan::answers`] | 3 |
//! | connections at rest | [`RETAINED_BUFFER`] for each direction, [`UNPAID_ANSWER`] for a db host's, and their entries | 3 |
//! | ids, timers, requests | [`MemoryPlan::request_ids`], twice what is live, one for each connection | 1 |
//! | what the allocator keeps; or, where extended queries are on, [`MemoryPlan::sessions`] | | 2 |
//!
//! The system holds bytes of connections too, beside the process:
//!
//! | row | bound | parts of 32 |
//! | --- | --- | --- |
//! | bytes taken for clients and not sent yet | [`MemoryPlan::client_unsent`] for each | 4 |
//! | bytes of db hosts that are not read | [`MemoryPlan::host_unread`] for each connection, which the system doubles for its structures | 4, at the least shares 8 |
//!
//! A part is a thirty-second of the limit. With the least memory and the most connections that the README names all rows of the process
//! together are the limit, but for the table of prepared statements, which the operator's file sizes; more memory leaves the rest to the allocator, and fewer connections have larger shares.

/// The largest buffer that an empty connection keeps for each direction. A usual request or answer is shorter.
pub const RETAINED_BUFFER: usize = 1024;
/// Bytes of an answer that are read from a db host before any are set aside for it.
pub const UNPAID_ANSWER: usize = 2 * 1024;
/// A longer statement goes to its db host from where it is, without a copy.
pub const LONGEST_COPIED_STATEMENT: usize = 2 * 1024;

/// So many parts make the limit.
const PARTS: usize = 32;
const STATEMENT_PARTS: usize = 12;
const CLIENT_READ_PARTS: usize = 1;
const CLIENT_WRITE_PARTS: usize = 1;
const ANSWER_PARTS: usize = 3;
const SESSION_PARTS: usize = 2;
/// A remembered id with its place in the tables.
const REQUEST_ID_BYTES: usize = 96;
/// One part in so many of a part goes to remembered ids.
const REQUEST_ID_SHARE: usize = 2;

/// The least and the most that one client may send ahead: a message that is longer has its bytes set aside first.
const MIN_CLIENT_READ: usize = 2 * 1024;
const MAX_CLIENT_READ: usize = 64 * 1024;
/// The least and the most that may wait for a client before no further message of it is taken.
const MIN_CLIENT_WRITE: usize = 1024;
const MAX_CLIENT_WRITE: usize = 32 * 1024;

/// What the system holds beside the process: so many parts for bytes that it has taken for clients and not sent yet, and as many for
/// bytes of db hosts that are not read.
const SYSTEM_PARTS: usize = 4;
/// The least and the most of it for a client. The longest answer that is held fits into the most, so that it never waits for room.
const MIN_CLIENT_UNSENT: usize = 8 * 1024;
const MAX_CLIENT_UNSENT: usize = 80 * 1024;
/// The least and the most of it for a connection to a db host: a window in which usual answers come without a wait.
const MIN_HOST_UNREAD: usize = 16 * 1024;
const MAX_HOST_UNREAD: usize = 64 * 1024;

/// What each part of a process may take of its memory, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryPlan {
    /// All statements.
    pub statements: usize,
    /// Bytes that one client's messages may take before bytes of `statements` are set aside for them.
    pub client_read: usize,
    /// Bytes that may wait for one client; and the piece in which a long value is passed on to it.
    pub client_write: usize,
    /// Bytes that the system has taken for one client and not sent yet.
    pub client_unsent: usize,
    /// Bytes of one db host's connection that the system holds while they are not read.
    pub host_unread: usize,
    /// All answers that are longer than [`UNPAID_ANSWER`], from their first byte to the last that their clients take.
    pub answers: usize,
    /// What all sessions keep until it is closed, where extended queries are on.
    pub sessions: usize,
    /// Requests whose ids are remembered, by number.
    pub request_ids: usize,
}

impl MemoryPlan {
    /// The plan of a process that may use so much memory for so many connections of clients.
    pub fn of(memory_kib: usize, clients: usize) -> Self {
        let part = memory_kib.saturating_mul(1024) / PARTS;
        let of_each_client = |parts: usize| part * parts / clients.max(1);
        // The buffer doubles when it grows, within twice the share.
        let client_write = of_each_client(CLIENT_WRITE_PARTS) / 2;
        Self {
            statements: part * STATEMENT_PARTS,
            client_read: of_each_client(CLIENT_READ_PARTS).clamp(MIN_CLIENT_READ, MAX_CLIENT_READ),
            client_write: client_write.clamp(MIN_CLIENT_WRITE, MAX_CLIENT_WRITE),
            client_unsent: of_each_client(SYSTEM_PARTS).clamp(MIN_CLIENT_UNSENT, MAX_CLIENT_UNSENT),
            // There are as many connections to db hosts as of clients.
            host_unread: of_each_client(SYSTEM_PARTS).clamp(MIN_HOST_UNREAD, MAX_HOST_UNREAD),
            answers: part * ANSWER_PARTS,
            sessions: part * SESSION_PARTS,
            request_ids: part / REQUEST_ID_SHARE / REQUEST_ID_BYTES,
        }
    }
}

#[cfg(test)]
mod tests;
