//! What a message of an extended query is answered when it cannot be taken: an SQLSTATE and a text.

use crate::bind::NotBound;
use crate::code;
use crate::statement::Malformed;
use crate::table::NotTaken;

/// An SQLSTATE and a text.
pub(super) type Fault = (&'static str, String);

/// A client's name for something, as an error tells it. Guards against: errors as long as the name.
pub(super) fn shown(name: &[u8]) -> String {
    const LONGEST_SHOWN: usize = 64;
    match name.get(..LONGEST_SHOWN) {
        Some(head) if name.len() > LONGEST_SHOWN => format!("{}...", head.escape_ascii()),
        _ => name.escape_ascii().to_string(),
    }
}

pub(super) fn no_portal(name: &[u8]) -> Fault {
    (code::NO_PORTAL, format!("portal \"{}\" does not exist", shown(name)))
}

pub(super) fn cannot_describe() -> Fault {
    let why = "db hosts that take simple queries only cannot describe a statement before it has run";
    (code::NOT_SUPPORTED, why.to_owned())
}

pub(super) fn sqlstate_of(why: &NotTaken) -> &'static str {
    match why {
        NotTaken::Malformed(Malformed::Verb) => code::NOT_SUPPORTED,
        NotTaken::Malformed(Malformed::NotOne) => code::SYNTAX,
        NotTaken::Malformed(_) => code::INVALID_VALUE,
        NotTaken::TooMany(_) => code::LIMIT,
        NotTaken::Full(_) => code::OUT_OF_MEMORY,
    }
}

pub(super) fn sqlstate_of_bind(why: &NotBound) -> &'static str {
    match why {
        NotBound::Message(_) | NotBound::Count(..) => code::PROTOCOL_VIOLATION,
        NotBound::Told(_) | NotBound::Parameter(..) => code::INVALID_VALUE,
        NotBound::NotSimple(_) => code::NOT_SUPPORTED,
    }
}
