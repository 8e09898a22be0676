//! A connection between gateways: how both prove that they have the fleet's key, and frames that nobody else can make,
//! repeat or reorder.
//!
//! Each side begins with a hello: format (1 byte), length of its name (1) and the name in clear, incarnation (8), nonce (16),
//! keyed BLAKE3 of all that (16). From both nonces and the fleet's key each way gets a key of its own. A frame is its length
//! (4), keyed BLAKE3 of its number in the way's order and its body (16), body. Numbers are little-endian.

use std::io;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, BufReader};

use crate::error::LinkError;

/// The format that is spoken, and the oldest that is understood. Of two gateways the lower one's is used.
pub const FORMAT: u8 = 1;
const OLDEST: u8 = 1;
/// The longest body: a table's text and what stands round it.
pub const LONGEST: usize = 288 * 1024;
/// The longest name, in bytes.
const LONGEST_NAME: usize = 64;
/// Most frames are shorter: they are read at once.
const USUAL: usize = 512;
const HASH: usize = 16;
const NONCE: usize = 16;

/// Who is at the other end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Hello {
    /// The format that it speaks.
    pub format: u8,
    /// Its name.
    pub name: Box<str>,
    /// Which of its lives it is in.
    pub incarnation: u64,
    /// A number used once.
    pub nonce: [u8; NONCE],
}

impl Hello {
    fn hash(key: &[u8; 32], head: &[u8]) -> [u8; HASH] {
        let mut hash = [0; HASH];
        hash.copy_from_slice(&blake3::keyed_hash(key, head).as_bytes()[..HASH]);
        hash
    }

    fn bytes(&self, key: &[u8; 32]) -> Vec<u8> {
        let name = &self.name.as_bytes()[..self.name.len().min(LONGEST_NAME)];
        let mut out = vec![self.format, u8::try_from(name.len()).unwrap_or(0)];
        out.extend(name);
        out.extend(self.incarnation.to_le_bytes());
        out.extend(self.nonce);
        out.extend(Self::hash(key, &out));
        out
    }

    async fn read(from: &mut (impl AsyncRead + Unpin), key: &[u8; 32]) -> Result<Self, LinkError> {
        let mut head = vec![0; 2];
        from.read_exact(&mut head).await?;
        let (format, len) = (head[0], usize::from(head[1]));
        if format < OLDEST {
            return Err(LinkError::Format { format, least: OLDEST });
        }
        if len == 0 || len > LONGEST_NAME {
            return Err(LinkError::Malformed("name"));
        }
        head.resize(2 + len + 8 + NONCE, 0);
        from.read_exact(&mut head[2..]).await?;
        let mut hash = [0; HASH];
        from.read_exact(&mut hash).await?;
        if hash != Self::hash(key, &head) {
            return Err(LinkError::Forged);
        }
        let name = std::str::from_utf8(&head[2..2 + len]).map_err(|_| LinkError::Malformed("name"))?.into();
        let incarnation = head[2 + len..][..8].try_into().map_or(0, u64::from_le_bytes);
        let nonce = head[2 + len + 8..].try_into().unwrap_or_default();
        Ok(Self { format, name, incarnation, nonce })
    }
}

/// One way of a connection: its key, and how many frames have gone it.
struct Way {
    key: [u8; 32],
    count: u64,
}

impl Way {
    fn new(key: &[u8; 32], from: &Hello, to: &Hello) -> Self {
        let mut hasher = blake3::Hasher::new_keyed(key);
        hasher.update(b"way").update(&from.nonce).update(&to.nonce).update(from.name.as_bytes());
        Self { key: *hasher.finalize().as_bytes(), count: 0 }
    }

    fn hash(&mut self, body: &[u8]) -> [u8; HASH] {
        self.count += 1;
        let mut hasher = blake3::Hasher::new_keyed(&self.key);
        hasher.update(&self.count.to_le_bytes()).update(body);
        let mut hash = [0; HASH];
        hash.copy_from_slice(&hasher.finalize().as_bytes()[..HASH]);
        hash
    }
}

/// What is read from the other end.
pub struct Reading<R>(BufReader<R>, Way);

/// What is written to it.
pub struct Writing<W>(W, Way);

/// Says hello and hears it, on both ends alike.
///
/// # Errors
/// The other end has another key, speaks an older format than is understood, or is gone.
pub async fn greet<R: AsyncRead + Unpin, W: AsyncWrite + Unpin>(
    (mut read, mut write): (R, W),
    key: &[u8; 32],
    me: &Hello,
) -> Result<(Hello, Reading<R>, Writing<W>), LinkError> {
    write.write_all(&me.bytes(key)).await?;
    write.flush().await?;
    let other = Hello::read(&mut read, key).await?;
    // Guards against: one's own hello sent back.
    if other.nonce == me.nonce {
        return Err(LinkError::Forged);
    }
    let (there, back) = (Way::new(key, me, &other), Way::new(key, &other, me));
    let read = BufReader::with_capacity(USUAL, read);
    Ok((other, Reading(read, back), Writing(write, there)))
}

impl<R: AsyncRead + Unpin> Reading<R> {
    /// The next frame's body; none once the other end has closed between frames.
    ///
    /// # Errors
    /// It is too long, was not made by the other end, or breaks off.
    pub async fn next(&mut self) -> Result<Option<Vec<u8>>, LinkError> {
        let mut len = [0; 4];
        match self.0.read_exact(&mut len).await {
            Err(error) if error.kind() == io::ErrorKind::UnexpectedEof => return Ok(None),
            read => read?,
        };
        let len = u32::from_le_bytes(len) as usize;
        if len > LONGEST {
            return Err(LinkError::TooLong(len));
        }
        let mut hash = [0; HASH];
        self.0.read_exact(&mut hash).await?;
        let mut body = vec![0; len];
        self.0.read_exact(&mut body).await?;
        if hash == self.1.hash(&body) {
            Ok(Some(body))
        } else {
            Err(LinkError::Forged)
        }
    }
}

impl<W: AsyncWrite + Unpin> Writing<W> {
    /// Writes a frame.
    ///
    /// # Errors
    /// It is too long, or the other end is gone.
    pub async fn put(&mut self, body: &[u8]) -> Result<(), LinkError> {
        if body.len() > LONGEST {
            return Err(LinkError::TooLong(body.len()));
        }
        let mut out = Vec::with_capacity(4 + HASH + body.len());
        out.extend(u32::try_from(body.len()).unwrap_or(u32::MAX).to_le_bytes());
        out.extend(self.1.hash(body));
        out.extend(body);
        self.0.write_all(&out).await?;
        Ok(self.0.flush().await?)
    }
}
