//! PostgreSQL's wire protocol, version 3, without I/O: simple and extended queries, both sides.

pub mod backend;
pub mod bind;
pub mod bodies;
pub mod exchange;
pub mod frame;
pub mod frontend;
pub mod lexer;
pub mod load_report;
pub mod names;
mod portal;
pub mod request;
pub mod separator;
pub mod session;
pub mod statement;
pub mod table;
pub mod template;

/// SQLSTATEs that this gateway writes or reads.
pub mod code {
    /// The client broke the protocol.
    pub const PROTOCOL_VIOLATION: &str = "08P01";
    /// A value that no request may have.
    pub const INVALID_VALUE: &str = "22023";
    /// A message that this gateway does not take.
    pub const NOT_SUPPORTED: &str = "0A000";
    /// Refused: a further try is harmless. From a db host: turned away unseen.
    pub const TOO_MANY: &str = "53300";
    /// Failed: whether it took effect is not known.
    pub const UNKNOWN_COMPLETION: &str = "40003";
    /// No prepared statement of this name.
    pub const NO_STATEMENT: &str = "26000";
    /// No portal of this name.
    pub const NO_PORTAL: &str = "34000";
    /// A prepared statement of this name is there already.
    pub const DUPLICATE_STATEMENT: &str = "42P05";
    /// A portal of this name is there already.
    pub const DUPLICATE_PORTAL: &str = "42P03";
    /// A portal that has run and cannot run again.
    pub const PORTAL_DONE: &str = "55000";
    /// More statements, portals or bytes than a client may have.
    pub const LIMIT: &str = "53400";
    /// The text is no statement.
    pub const SYNTAX: &str = "42601";
    /// A pipeline without its Sync.
    pub const IDLE_IN_PIPELINE: &str = "25P03";
    /// The client has cancelled its request, which has had no effect.
    pub const QUERY_CANCELED: &str = "57014";
    /// There is no room for more bytes of clients.
    pub const OUT_OF_MEMORY: &str = "53200";
    /// A write met a replica.
    pub const READ_ONLY: &str = "25006";
    /// A read met a replica that is too far behind.
    pub const BEHIND: &str = "72000";
    /// The server does not take connections now.
    pub const CANNOT_CONNECT_NOW: &str = "57P03";
}
