//! Descriptions of statements and portals, read from db hosts and told to clients.

use std::rc::Rc;

use crate::bind::Bound;
use crate::bodies::{columns, parameters};
use crate::frame;
use crate::frontend::Local;
use crate::portal::message_len;
use crate::table::{Description, Lease};
use crate::template::Purpose;

/// What is known without asking: all that is answered here returns no rows.
pub(super) fn known_description(statement: &Lease) -> Option<Rc<Description>> {
    match statement.purpose {
        Purpose::Local(Local::Empty | Local::Parameter(_)) => {
            Some(Rc::new(Description { parameters: statement.types.to_vec(), row: None }))
        }
        Purpose::Request(_) => statement.description(),
    }
}

/// Reads the messages of a description.
pub(super) fn description(messages: &[u8]) -> Option<Description> {
    let (first, second) = messages.split_at_checked(message_len(messages)?)?;
    let parameters = (first[0] == b't').then(|| parameters(&first[5..]))??;
    let row = match second.first()? {
        b'T' => Some(second[5..].to_vec()),
        b'n' => None,
        _ => return None,
    };
    Some(Description { parameters, row })
}

/// A statement's description, or a portal's with the formats that were bound.
pub(super) fn put_description(out: &mut Vec<u8>, description: &Description, portal: Option<&Bound>) {
    if portal.is_none() {
        frame::put(out, b't', |b| {
            b.extend(u16::try_from(description.parameters.len()).unwrap_or(u16::MAX).to_be_bytes());
            description.parameters.iter().for_each(|kind| b.extend(kind.to_be_bytes()));
        });
    }
    let Some(row) = &description.row else {
        frame::put(out, b'n', |_| {});
        return;
    };
    frame::put(out, b'T', |b| {
        let start = b.len();
        b.extend(row);
        for (n, column) in columns(row).unwrap_or_default().into_iter().enumerate() {
            let binary = portal.is_some_and(|portal| portal.result_binary(n));
            b[start + column.format_at..][..2].copy_from_slice(&u16::from(binary).to_be_bytes());
        }
    });
}
