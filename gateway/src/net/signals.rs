//! SIGTERM, as something to read.

use std::io::{self, Read};
use std::os::fd::{AsFd, BorrowedFd};
use std::os::unix::net::UnixStream;

use signal_hook::consts::SIGTERM;
use signal_hook::low_level::pipe;

pub struct Signals(UnixStream);

impl Signals {
    pub fn new() -> io::Result<Self> {
        let (read, write) = UnixStream::pair()?;
        read.set_nonblocking(true)?;
        pipe::register(SIGTERM, write)?;
        Ok(Self(read))
    }

    /// Whether one has come.
    pub fn take(&mut self) -> bool {
        let mut bytes = [0; 16];
        self.0.read(&mut bytes).is_ok_and(|n| n > 0)
    }
}

impl AsFd for Signals {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.0.as_fd()
    }
}
