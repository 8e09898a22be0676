//! Parsers and encoders of our own: incremental, without I/O. Any split of the bytes gives the same result,
//! and a length is checked before anything is set aside for it.

pub mod catalog;
pub mod console;
pub mod http;
pub use yewroute_pgwire as pg;
#[cfg(test)]
mod tests;
