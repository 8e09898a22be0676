//! Discovery's list of db hosts, as JSON.

use std::net::SocketAddr;

use serde::Deserialize;

/// The whole list, or what has changed.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
pub struct Members {
    /// Its version.
    pub version: u64,
    /// The whole list.
    pub full: bool,
    /// The entries.
    pub servers: Vec<Member>,
}

/// One db host.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Member {
    /// The same at every gateway.
    pub id: String,
    /// Where this gateway reaches it.
    pub addr: SocketAddr,
    /// The group.
    pub cell: u64,
    /// Whether it takes requests.
    pub state: State,
    /// The zone it stands in; empty where the list shows none.
    #[serde(default)]
    pub zone: String,
    /// Its last start as Unix time in milliseconds; 0 if long ago.
    #[serde(default)]
    pub started_ms: u64,
    /// Where the list shows roles.
    #[serde(default)]
    pub role: Option<Role>,
}

/// Whether a db host takes requests.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
pub enum State {
    /// It does.
    Ready,
    /// It completes what it has.
    Terminating,
    /// It was taken away.
    Gone,
}

/// A role, as the list shows it.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// It takes writes.
    Primary,
    /// It follows.
    Replica,
}

/// What a line of a watch has brought.
#[derive(Debug, PartialEq)]
pub enum News {
    /// Nothing has changed.
    Empty,
    /// A part of a list that goes on in the next line.
    Part,
    /// A list, whole with this line.
    List(Members),
}

/// Lists from lines: one on a line, or indented over several.
#[derive(Debug, Default)]
pub struct Lists {
    /// What has come of a list.
    text: String,
    /// Brackets open in it; those inside strings do not count.
    depth: usize,
    in_string: bool,
    escaped: bool,
}

impl Lists {
    /// The longest list.
    pub const LONGEST: usize = 4 * 1024 * 1024;

    /// Nothing of a further list has come.
    pub fn between_lists(&self) -> bool {
        self.text.is_empty()
    }

    /// Takes a line without its end.
    ///
    /// # Errors
    /// If that is no list.
    pub fn take(&mut self, line: &[u8]) -> Result<News, String> {
        let line = std::str::from_utf8(line).map_err(|e| e.to_string())?;
        if line.trim_ascii().is_empty() {
            return Ok(if self.text.is_empty() { News::Empty } else { News::Part });
        }
        if self.text.len() + line.len() > Self::LONGEST {
            return Err("too long".to_owned());
        }
        for byte in line.bytes() {
            match byte {
                _ if self.escaped => self.escaped = false,
                b'\\' => self.escaped = self.in_string,
                b'"' => self.in_string = !self.in_string,
                b'{' | b'[' if !self.in_string => self.depth += 1,
                b'}' | b']' if !self.in_string => self.depth = self.depth.saturating_sub(1),
                _ => {}
            }
        }
        self.text.push_str(line);
        self.text.push('\n');
        // No string goes on behind the end of a line.
        if self.depth > 0 && !self.in_string {
            return Ok(News::Part);
        }
        let Self { text, .. } = std::mem::take(self);
        yewroute_settings::parse(&text).map(News::List).map_err(|fault| fault.to_string())
    }
}
