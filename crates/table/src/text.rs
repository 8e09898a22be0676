//! A table as a text that reads back as the same table: each entry a call on a line of its own.

use std::fmt::{self, Write};

use crate::{Contract, Limit, OnUnknown, Order, Route, Table};

/// A string in the script's form.
pub(crate) struct Quoted<'a>(pub &'a str);

impl fmt::Display for Quoted<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_char('"')?;
        for c in self.0.chars() {
            match c {
                '"' | '\\' => write!(f, "\\{c}")?,
                c if c.is_control() => write!(f, "\\u{:04x}", u32::from(c))?,
                c => f.write_char(c)?,
            }
        }
        f.write_char('"')
    }
}

/// A list, a key before it; nothing if it is empty.
fn list<T: fmt::Display>(f: &mut fmt::Formatter<'_>, key: &str, items: &[T]) -> fmt::Result {
    if items.is_empty() {
        return Ok(());
    }
    let items: Vec<String> = items.iter().map(T::to_string).collect();
    write!(f, ", {key} = [{}]", items.join(", "))
}

fn names(f: &mut fmt::Formatter<'_>, key: &str, items: &[String]) -> fmt::Result {
    list(f, key, &items.iter().map(|name| Quoted(name)).collect::<Vec<_>>())
}

impl fmt::Display for Order {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Single => "single",
            Self::Numbered => "numbered",
            Self::OwnWrites => "own-writes",
        })
    }
}

impl fmt::Display for OnUnknown {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Halt => "halt",
            Self::GoOn => "go on",
        })
    }
}

impl fmt::Display for Route {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "route({}", Quoted(&self.name))?;
        list(f, "groups", &self.groups)?;
        names(f, "classes", &self.classes)?;
        // `{:?}` writes the shortest digits that read back as the same number, and a point or an exponent in each.
        let shares: Vec<String> =
            self.zones.iter().map(|(zone, share)| format!("{}: {share:?}", Quoted(zone))).collect();
        write!(f, ", zones = {{{}}})", shares.join(", "))
    }
}

impl fmt::Display for Limit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "limit({}", Quoted(&self.name))?;
        names(f, "classes", &self.classes)?;
        list(f, "groups", &self.groups)?;
        self.rate.map_or(Ok(()), |rate| write!(f, ", rate = {rate:?}, burst = {:?}", self.burst))?;
        self.concurrent.map_or(Ok(()), |most| write!(f, ", concurrent = {most}"))?;
        write!(f, ", floor = {:?})", self.floor)
    }
}

impl fmt::Display for Contract {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "contract({}", Quoted(&self.name))?;
        names(f, "classes", &self.classes)?;
        write!(
            f,
            ", order = \"{}\", gap_ms = {}, keep_s = {}, most = {}, on_unknown = \"{}\")",
            self.order,
            self.gap.as_millis(),
            self.keep.as_secs(),
            self.most,
            self.on_unknown
        )
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.routes.iter().try_for_each(|route| writeln!(f, "{route}"))?;
        self.limits.iter().try_for_each(|limit| writeln!(f, "{limit}"))?;
        self.contracts.iter().try_for_each(|contract| writeln!(f, "{contract}"))
    }
}
