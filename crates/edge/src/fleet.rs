//! `fleet(…)`: where this gateway meets the others, and the key they share.

use std::collections::BTreeMap;
use std::fmt;
use std::fs;
use std::net::SocketAddr;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;

/// The digits of a key.
const DIGITS: usize = 64;
/// Permission of everybody to read.
const READ_BY_ALL: u32 = 0o004;

/// The fleet's key. It is not shown.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct Key(pub [u8; 32]);

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(..)")
    }
}

impl Key {
    /// Reads a file of 64 hexadecimal digits.
    ///
    /// # Errors
    /// Says what is wrong with it.
    pub fn read(path: &Path) -> Result<Self, String> {
        let name = path.display();
        let problem = |e: std::io::Error| format!("{name}: {e}");
        let mode = fs::metadata(path).map_err(problem)?.permissions().mode();
        if mode & READ_BY_ALL != 0 {
            return Err(format!("{name}: may be read by all (mode {:03o})", mode & 0o777));
        }
        let text = fs::read_to_string(path).map_err(problem)?;
        let text = text.trim_end();
        if text.len() != DIGITS {
            return Err(format!("{name}: {} digits, {DIGITS} are wanted", text.len()));
        }
        let mut key = [0; 32];
        for (byte, at) in key.iter_mut().zip((0..DIGITS).step_by(2)) {
            let digits = text.get(at..at + 2).and_then(|digits| u8::from_str_radix(digits, 16).ok());
            *byte = digits.ok_or_else(|| format!("{name}: not hexadecimal at digit {}", at + 1))?;
        }
        Ok(Self(key))
    }
}

/// The fleet as the operator's file has it, set by `fleet(…)`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fleet {
    /// Where this gateway's datagrams come in.
    pub listen: SocketAddr,
    /// Where others send them, if that is another address.
    pub advertise: Option<SocketAddr>,
    /// Gateways to ask at first.
    pub seeds: Vec<SocketAddr>,
    /// The file with the key, relative to the operator's file.
    pub key_file: String,
    /// The zone this gateway stands in.
    pub zone: String,
    /// Regions and their zones.
    pub regions: BTreeMap<String, Vec<String>>,
    /// What shared rows may take.
    pub bytes_per_second: usize,
    /// The key, once the file has been read.
    pub key: Key,
    pub(crate) line: usize,
}

impl Fleet {
    /// The region that a zone is in.
    #[must_use]
    pub fn region_of(&self, zone: &str) -> Option<&str> {
        let holds = |zones: &[String]| zones.iter().any(|other| other == zone);
        self.regions.iter().find(|(_, zones)| holds(zones)).map(|(region, _)| region.as_str())
    }
}

impl fmt::Display for Fleet {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let list =
            |names: &[String]| names.iter().map(|name| format!("{name:?}")).collect::<Vec<_>>().join(", ");
        let seeds: Vec<String> = self.seeds.iter().map(SocketAddr::to_string).collect();
        let regions: Vec<String> =
            self.regions.iter().map(|(region, zones)| format!("{region:?}: [{}]", list(zones))).collect();
        writeln!(f, "fleet(\n    listen = \"{}\",", self.listen)?;
        if let Some(advertise) = self.advertise {
            writeln!(f, "    advertise = \"{advertise}\",")?;
        }
        writeln!(f, "    seeds = [{}],", list(&seeds))?;
        writeln!(f, "    key_file = {:?},\n    zone = {:?},", self.key_file, self.zone)?;
        writeln!(f, "    regions = {{{}}},", regions.join(", "))?;
        write!(f, "    bytes_per_second = {},\n)", self.bytes_per_second)
    }
}
