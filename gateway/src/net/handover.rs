//! Between a process and the one that replaces it: the clients' listening socket goes from the older to the newer over
//! a Unix socket in `$TMPDIR`, and each learns from the end of that connection that the other is gone.
//!
//! A kill closes the connection, so nothing can stay locked. A socket's file that a dead process has left is refused on
//! connect; whoever serves next removes it and makes its own.

use std::io::{self, ErrorKind, IoSlice, IoSliceMut, Write};
use std::mem::MaybeUninit;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::{AsFd, OwnedFd};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::PathBuf;

use rustix::net::{recvmsg, sendmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags};
use rustix::net::{SendAncillaryBuffer, SendAncillaryMessage, SendFlags};
use tracing::{info, warn};
use yewroute_lifecycle::{Means, Word};

use super::poller::{Interest, Poller, Token};

/// Whose connection it is.
const LISTENER: u64 = 0;
const PREDECESSOR: u64 = 1;

/// What has come of the other process.
#[derive(Debug)]
pub enum News {
    /// The predecessor has handed its listener over.
    Listener(TcpListener),
    /// It leaves so much to this process.
    Left(Means),
    /// It will hand its listener over later.
    Later,
    /// It is gone, or was none.
    PredecessorGone,
    /// A process asks for the listener.
    Asked,
    /// The successor takes clients.
    Serves,
    /// The successor is gone.
    SuccessorGone,
}

struct Link {
    stream: UnixStream,
    number: u64,
    buffer: Vec<u8>,
    /// A listener that has come.
    came: Option<TcpListener>,
}

/// The connections to an older and a newer process.
pub struct Handover {
    path: PathBuf,
    listener: Option<UnixListener>,
    predecessor: Option<Link>,
    successor: Option<Link>,
    /// It has been given the listener.
    given: bool,
    taken: u64,
    told: Option<Means>,
}

impl Handover {
    /// Asks the process that serves `listen` now, if there is one.
    pub fn begin(folder: PathBuf, listen: SocketAddr, poller: &Poller) -> Self {
        let path = folder.join(format!("yewroute-{listen}.sock"));
        let mut handover = Self {
            path,
            listener: None,
            predecessor: None,
            successor: None,
            given: false,
            taken: PREDECESSOR,
            told: None,
        };
        let link = UnixStream::connect(&handover.path).and_then(|stream| {
            stream.set_nonblocking(true)?;
            poller.add(&stream, Token::Handover(PREDECESSOR), Interest::READ)?;
            Ok(Link::new(stream, PREDECESSOR))
        });
        handover.predecessor = link.ok();
        handover
    }

    /// There is an older process.
    pub fn has_predecessor(&self) -> bool {
        self.predecessor.is_some()
    }

    /// Goes on without the older process.
    pub fn forget_predecessor(&mut self) {
        self.predecessor = None;
    }

    /// There is a newer process.
    pub fn has_successor(&self) -> bool {
        self.successor.is_some()
    }

    /// This process takes clients: it tells its predecessor and is the one to ask from now on.
    pub fn serve(&mut self, poller: &Poller) {
        if let Some(link) = &mut self.predecessor {
            link.tell(Word::Serving);
        }
        // Guards against: a file that a dead or an older process has left.
        let _ = std::fs::remove_file(&self.path);
        let listener = UnixListener::bind(&self.path).and_then(|listener| {
            listener.set_nonblocking(true)?;
            poller.add(&listener, Token::Handover(LISTENER), Interest::READ)?;
            Ok(listener)
        });
        match listener {
            Ok(listener) => self.listener = Some(listener),
            Err(error) => {
                warn!(path = %self.path.display(), %error, "a successor cannot ask for the listener")
            }
        }
    }

    /// Gives the successor the clients' listener, or tells it to wait for that.
    pub fn hand(&mut self, listener: Option<&TcpListener>, left: Means) {
        let Some(link) = self.successor.as_mut().filter(|_| !self.given) else { return };
        match listener {
            Some(listener) => {
                self.given = link.give(listener, left).is_ok();
                self.told = Some(left);
            }
            None => link.tell(Word::Wait),
        }
    }

    /// Tells the successor how much is left to it, if that has changed.
    pub fn leave(&mut self, left: Means) {
        if let Some(link) = self.successor.as_mut().filter(|_| self.given && self.told != Some(left)) {
            link.tell(Word::Leave(left));
            self.told = Some(left);
        }
    }

    /// Something has come.
    pub fn ready(&mut self, number: u64, poller: &Poller) -> Vec<News> {
        let mut news = Vec::new();
        if number == LISTENER {
            while let Some((stream, _)) = self.listener.as_ref().and_then(|listener| listener.accept().ok()) {
                self.taken += 1;
                // One at a time: a further one is closed, and binds for itself.
                let free = self.successor.is_none() && stream.set_nonblocking(true).is_ok();
                if free && poller.add(&stream, Token::Handover(self.taken), Interest::READ).is_ok() {
                    self.successor = Some(Link::new(stream, self.taken));
                    (self.given, self.told) = (false, None);
                    news.push(News::Asked);
                }
            }
            return news;
        }
        let older = number == PREDECESSOR;
        let place = if older { &mut self.predecessor } else { &mut self.successor };
        let Some(link) = place.as_mut().filter(|link| link.number == number) else { return news };
        let over = link.read();
        news.extend(link.came.take().map(News::Listener));
        loop {
            match Word::take(&mut link.buffer) {
                Ok(None) if over => break,
                Ok(None) => return news,
                Ok(Some(Word::Wait)) if older => news.push(News::Later),
                Ok(Some(Word::Leave(means))) if older => news.push(News::Left(means)),
                Ok(Some(Word::Serving)) if !older => {
                    // The successor has a socket file of its own now.
                    self.listener = None;
                    news.push(News::Serves);
                }
                Ok(Some(word)) => {
                    warn!(why = ?word, "the other process makes no sense");
                    break;
                }
                Err(why) => {
                    warn!(why, "the other process makes no sense");
                    break;
                }
            }
        }
        *place = None;
        if older {
            info!("the older process has gone");
            news.push(News::PredecessorGone);
        } else {
            news.push(News::SuccessorGone);
        }
        news
    }
}

impl Link {
    fn new(stream: UnixStream, number: u64) -> Self {
        Self { stream, number, buffer: Vec::new(), came: None }
    }

    /// A word that cannot be written at once is lost with the connection: the other one is stuck or gone.
    fn tell(&mut self, word: Word) {
        let mut line = Vec::new();
        word.put(&mut line);
        if self.stream.write_all(&line).is_err() {
            let _ = self.stream.shutdown(std::net::Shutdown::Both);
        }
    }

    fn give(&mut self, listener: &TcpListener, left: Means) -> io::Result<()> {
        let mut line = Vec::new();
        Word::Leave(left).put(&mut line);
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
        let mut control = SendAncillaryBuffer::new(&mut space);
        let descriptors = [listener.as_fd()];
        control.push(SendAncillaryMessage::ScmRights(&descriptors));
        sendmsg(&self.stream, &[IoSlice::new(&line)], &mut control, SendFlags::NOSIGNAL)?;
        Ok(())
    }

    /// Reads what has come; true if the other one is gone.
    fn read(&mut self) -> bool {
        let mut bytes = [0; 256];
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
        let mut control = RecvAncillaryBuffer::new(&mut space);
        let flags = RecvFlags::CMSG_CLOEXEC;
        match recvmsg(&self.stream, &mut [IoSliceMut::new(&mut bytes)], &mut control, flags) {
            Ok(message) if message.bytes == 0 => true,
            Ok(message) => {
                self.buffer.extend(&bytes[..message.bytes]);
                let descriptors = control.drain().filter_map(|came| match came {
                    RecvAncillaryMessage::ScmRights(descriptors) => Some(descriptors),
                    _ => None,
                });
                let descriptor: Option<OwnedFd> = descriptors.flatten().next();
                if let Some(descriptor) = descriptor {
                    self.came = Some(TcpListener::from(descriptor));
                }
                false
            }
            Err(error) => io::Error::from(error).kind() != ErrorKind::WouldBlock,
        }
    }
}
