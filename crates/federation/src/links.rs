//! What connections between gateways are made of: TCP in the program, memory in tests.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpSocket};

/// A connection's two ways.
pub trait Stream: AsyncRead + AsyncWrite + Send + Unpin {}

impl<T: AsyncRead + AsyncWrite + Send + Unpin> Stream for T {}

/// A connection.
pub type Link = Box<dyn Stream>;

/// What comes of waiting for one.
pub type Linked<'a> = Pin<Box<dyn Future<Output = io::Result<Link>> + Send + 'a>>;

/// Where connections come from.
pub trait Links: Send + Sync + 'static {
    /// Connects to a gateway's address.
    fn dial(&self, to: SocketAddr) -> Linked<'_>;
    /// Takes the next connection of another gateway's.
    fn accept(&self) -> Linked<'_>;
}

/// How often a place that another process still holds is asked for again.
const AGAIN: Duration = Duration::from_millis(100);
/// Connections that may wait to be taken.
const BACKLOG: u32 = 256;

/// TCP, from the very address that others find this gateway at.
pub struct Tcp {
    listener: TcpListener,
    from: SocketAddr,
}

impl Tcp {
    /// Listens; waits while the process before this one holds the place.
    ///
    /// # Errors
    /// The place cannot be had.
    pub async fn listen(at: SocketAddr) -> io::Result<Self> {
        loop {
            let socket = if at.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
            socket.set_reuseaddr(true)?;
            match socket.bind(at).and_then(|()| socket.listen(BACKLOG)) {
                Ok(listener) => return Ok(Self { listener, from: SocketAddr::new(at.ip(), 0) }),
                Err(error) if error.kind() == io::ErrorKind::AddrInUse => tokio::time::sleep(AGAIN).await,
                Err(error) => return Err(error),
            }
        }
    }
}

impl Links for Tcp {
    fn dial(&self, to: SocketAddr) -> Linked<'_> {
        Box::pin(async move {
            let socket = if to.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
            if to.is_ipv4() == self.from.is_ipv4() {
                socket.bind(self.from)?;
            }
            let stream = socket.connect(to).await?;
            stream.set_nodelay(true)?;
            Ok(Box::new(stream) as Link)
        })
    }

    fn accept(&self) -> Linked<'_> {
        Box::pin(async move {
            let (stream, _) = self.listener.accept().await?;
            stream.set_nodelay(true)?;
            Ok(Box::new(stream) as Link)
        })
    }
}
