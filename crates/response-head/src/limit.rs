//! Bounds what a server may send before the head of its response.
//!
//! Any number of informational responses may precede a response. They are parsed as they arrive,
//! with hardly a pause in which a deadline could be noticed, so a server that never stops sending
//! them would occupy the thread of all other requests.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Poll, ready};

use hyper_util::client::legacy::connect::{Connected, Connection};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Most bytes that are read before the head of the response is known, and one read more. The first
/// bytes of its body may be among them.
const MAX_HEAD_BYTES: usize = 256 << 10;

/// A server has sent more than [`MAX_HEAD_BYTES`] without a response.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("no response head within {MAX_HEAD_BYTES} bytes; check the server's log")]
struct HeadTooLong;

/// The limit of one connection.
#[derive(Clone, Debug, Default)]
pub struct HeadLimit(Arc<Mutex<State>>);

#[derive(Debug)]
struct State {
    /// Bytes that may still be read; `None` while the limit is lifted.
    left_bytes: Option<usize>,
    lift_count: u64,
}

impl Default for State {
    fn default() -> Self {
        Self {
            left_bytes: Some(MAX_HEAD_BYTES),
            lift_count: 0,
        }
    }
}

/// A limit that is lifted until the end of a response. Dropping it sets the limit again.
#[derive(Debug)]
pub struct LiftedLimit {
    limit: HeadLimit,
    lift_count: u64,
}

impl HeadLimit {
    /// Sets the limit, as a response is expected next.
    pub fn set(&self) {
        self.lock().left_bytes = Some(MAX_HEAD_BYTES);
    }

    /// Lifts the limit, as the head of a response has arrived.
    pub fn lift(&self) {
        let mut state = self.lock();
        state.left_bytes = None;
        state.lift_count += 1;
    }

    /// Like [`Self::lift`], for a connection that may carry a further response whose call cannot set
    /// the limit itself.
    #[must_use]
    pub fn lift_until_end(&self) -> LiftedLimit {
        self.lift();
        LiftedLimit {
            limit: self.clone(),
            lift_count: self.lock().lift_count,
        }
    }

    fn is_exceeded(&self) -> bool {
        self.lock().left_bytes == Some(0)
    }

    /// Takes the bytes that were read from what may still be read.
    fn take(&self, read_bytes: usize) {
        let mut state = self.lock();
        let left_bytes = state.left_bytes;
        state.left_bytes = left_bytes.map(|left_bytes| left_bytes.saturating_sub(read_bytes));
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().expect("no holder panics")
    }
}

impl Drop for LiftedLimit {
    fn drop(&mut self) {
        // The head of a later response may have arrived already.
        let mut state = self.limit.lock();
        if state.lift_count == self.lift_count {
            state.left_bytes = Some(MAX_HEAD_BYTES);
        }
    }
}

/// A connection that fails once the limit is exceeded.
pub struct HeadLimited<S> {
    stream: S,
    address: SocketAddr,
    limit: HeadLimit,
}

impl<S> HeadLimited<S> {
    /// Limits `stream`, a connection to `address`.
    pub fn new(stream: S, address: SocketAddr, limit: HeadLimit) -> Self {
        Self {
            stream,
            address,
            limit,
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for HeadLimited<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        // One read may bring a head and more of its body than the limit.
        if self.limit.is_exceeded() {
            log::warn!(address:% = self.address, reason:% = HeadTooLong; "a connection to a server is closed");
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, HeadTooLong)));
        }
        let bytes_before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        self.limit.take(buffer.filled().len() - bytes_before);
        Poll::Ready(Ok(()))
    }
}

/// A connection of a pool offers its limit to those who get a response over it.
impl<S: Connection> Connection for HeadLimited<S> {
    fn connected(&self) -> Connected {
        self.stream.connected().extra(self.limit.clone())
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for HeadLimited<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
