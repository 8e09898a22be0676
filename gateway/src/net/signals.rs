//! SIGTERM and SIGHUP, as something to read.

use std::io::{self, Read};
use std::os::fd::{AsFd, BorrowedFd};
use std::os::unix::net::UnixStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

use signal_hook::consts::{SIGHUP, SIGTERM};
use signal_hook::flag;
use signal_hook::low_level::pipe;

/// What has come since it was last asked; several of a kind count as one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Came {
    /// SIGTERM: drain and end.
    pub terminate: bool,
    /// SIGHUP: read the configuration again.
    pub reload: bool,
}

pub struct Signals {
    woken: UnixStream,
    terminate: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
}

impl Signals {
    pub fn new() -> io::Result<Self> {
        let (woken, write) = UnixStream::pair()?;
        woken.set_nonblocking(true)?;
        let signals = Self { woken, terminate: Arc::default(), reload: Arc::default() };
        // What is registered first is done first: the flag is up before the wake-up.
        for (signal, came) in [(SIGTERM, &signals.terminate), (SIGHUP, &signals.reload)] {
            flag::register(signal, Arc::clone(came))?;
            pipe::register(signal, write.try_clone()?)?;
        }
        Ok(signals)
    }

    /// Takes what has come.
    pub fn take(&mut self) -> Came {
        // The bytes go before the flags are read: a signal in between wakes once more.
        while self.woken.read(&mut [0; 64]).is_ok_and(|n| n > 0) {}
        Came {
            terminate: self.terminate.swap(false, Ordering::SeqCst),
            reload: self.reload.swap(false, Ordering::SeqCst),
        }
    }
}

impl AsFd for Signals {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.woken.as_fd()
    }
}
