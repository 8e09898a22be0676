//! What is kept of the names that a client makes: as they are if they are short, and else a digest.
//!
//! Guards against: a name as long as its statement, of which each place that keeps it would have a copy.

/// The longest name that is kept as it is, in bytes.
pub const LONGEST_NAME: usize = 256;

/// What stands for a name, the same for the same name.
#[must_use]
pub fn kept(name: &[u8]) -> Vec<u8> {
    if name.len() <= LONGEST_NAME {
        return name.to_vec();
    }
    blake3::hash(name).as_bytes().to_vec()
}

/// A number that stands for a name, the same in each release.
#[must_use]
pub fn digest(name: &[u8]) -> u64 {
    let hash = blake3::hash(name);
    hash.as_bytes().first_chunk::<8>().map_or(0, |first| u64::from_be_bytes(*first))
}

/// The same for a name that is text.
#[must_use]
pub fn kept_text(name: &str) -> String {
    if name.len() <= LONGEST_NAME {
        return name.to_owned();
    }
    blake3::hash(name.as_bytes()).to_hex().to_string()
}
