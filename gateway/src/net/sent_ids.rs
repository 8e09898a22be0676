//! What two processes of a gateway tell each other while one replaces the other: the ids of requests that may have run.
//!
//! Over a Unix socket of its own beside that of the handover, so that a release which doesn't know it is not disturbed. An id is
//! written before the first byte of its attempt, and read before a request is admitted, so neither process sends what the
//! other may have run.

use std::io::{ErrorKind, Read, Write};
use std::net::SocketAddr;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::time::Duration;

use tracing::warn;

use super::poller::{Interest, Poller, Token};
use crate::core::SentId;

/// An id and its window in milliseconds.
const RECORD: usize = 8 + 4;
/// Bytes that may wait for a process that does not read them at once, as when it is told all that is known.
const MAX_UNSENT: usize = 1024 * 1024;
/// Records read at a time.
const RECORDS_AT_ONCE: usize = 256;

/// The link to the process before or after this one.
pub struct SentIdLink {
    path: PathBuf,
    listener: Option<UnixListener>,
    peer: Option<UnixStream>,
    /// The beginning of a record.
    buffer: Vec<u8>,
    /// What the other process did not take at once.
    unsent: Vec<u8>,
}

impl SentIdLink {
    /// Connects to the process that serves `listen` now, if there is one that knows of this.
    pub fn begin(folder: &Path, listen: SocketAddr) -> Self {
        let path = folder.join(format!("yewroute-{listen}.ids"));
        let peer = UnixStream::connect(&path).ok().filter(|stream| stream.set_nonblocking(true).is_ok());
        Self { path, listener: None, peer, buffer: Vec::new(), unsent: Vec::new() }
    }

    /// This process serves: the next one connects here.
    pub fn serve(&mut self, poller: &Poller) {
        // Guards against: a file that a dead or an older process has left.
        let _ = std::fs::remove_file(&self.path);
        let listener = UnixListener::bind(&self.path).and_then(|listener| {
            listener.set_nonblocking(true)?;
            poller.add(&listener, Token::SentIds, Interest::READ)?;
            Ok(listener)
        });
        match listener {
            Ok(listener) => self.listener = Some(listener),
            Err(error) => {
                warn!(path = %self.path.display(), %error, "a successor cannot be told which requests were sent")
            }
        }
    }

    /// Takes the process that has connected; a further one takes its place.
    pub fn accept(&mut self) {
        while let Some((stream, _)) = self.listener.as_ref().and_then(|listener| listener.accept().ok()) {
            if stream.set_nonblocking(true).is_ok() {
                self.peer = Some(stream);
                self.buffer.clear();
                self.unsent.clear();
            }
        }
    }

    /// Something is yet to be written.
    pub fn has_unsent(&self) -> bool {
        !self.unsent.is_empty()
    }

    /// There is another process.
    pub fn is_connected(&self) -> bool {
        self.peer.is_some()
    }

    /// Tells the other process of ids. One that takes nothing any more is stuck or gone.
    pub fn tell(&mut self, ids: &[SentId]) {
        for id in ids {
            let window = u32::try_from(id.window.as_millis()).unwrap_or(u32::MAX);
            self.unsent.extend(id.digest.to_be_bytes());
            self.unsent.extend(window.to_be_bytes());
        }
        let Some(peer) = &mut self.peer else { return self.unsent.clear() };
        while !self.unsent.is_empty() {
            let written = peer.write(&self.unsent);
            match written {
                Ok(len) if len > 0 => drop(self.unsent.drain(..len)),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock && self.unsent.len() < MAX_UNSENT => {
                    return
                }
                _ => {
                    warn!(
                        bytes = self.unsent.len(),
                        "the other process cannot be told which requests were sent"
                    );
                    self.peer = None;
                    self.unsent.clear();
                    return;
                }
            }
        }
    }

    /// What the other process has told.
    pub fn take(&mut self) -> Vec<SentId> {
        let mut ids = Vec::new();
        let mut bytes = [0; RECORD * RECORDS_AT_ONCE];
        while let Some(peer) = &mut self.peer {
            match peer.read(&mut bytes) {
                Ok(0) => self.peer = None,
                Ok(len) => {
                    self.buffer.extend(&bytes[..len]);
                    ids.extend(self.take_records());
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(_) => self.peer = None,
            }
        }
        ids
    }

    fn take_records(&mut self) -> Vec<SentId> {
        let whole = self.buffer.len() / RECORD * RECORD;
        let records = self.buffer.drain(..whole).collect::<Vec<_>>();
        let records = records.chunks_exact(RECORD).filter_map(|record| {
            let (digest, window) = record.split_first_chunk::<8>()?;
            let window = u32::from_be_bytes(window.try_into().ok()?);
            Some(SentId { digest: u64::from_be_bytes(*digest), window: Duration::from_millis(window.into()) })
        });
        records.collect()
    }
}
