//! Bounds what a server may send before the head of its response.
//!
//! Any number of informational responses may precede a response. They are parsed as they arrive,
//! with hardly a pause in which a deadline could be noticed, so a server that never stops sending
//! them would occupy the thread of all other requests.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Most bytes that are read before the head of the response is known, and one read more. The first
/// bytes of its body may be among them.
const MAX_HEAD_BYTES: usize = 256 << 10;

/// Number of bytes of a connection without a limit.
const UNLIMITED: usize = usize::MAX;

/// A server has sent more than [`MAX_HEAD_BYTES`] without a response.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("no response head within {MAX_HEAD_BYTES} bytes; check the server's log")]
struct HeadTooLong;

/// The limit of one connection.
#[derive(Clone, Debug)]
pub struct HeadLimit {
    /// Bytes that may still be read.
    left_bytes: Arc<AtomicUsize>,
}

impl Default for HeadLimit {
    fn default() -> Self {
        Self {
            left_bytes: Arc::new(AtomicUsize::new(MAX_HEAD_BYTES)),
        }
    }
}

impl HeadLimit {
    /// Sets the limit, as a response is expected next.
    pub fn set(&self) {
        self.left_bytes.store(MAX_HEAD_BYTES, Ordering::Relaxed);
    }

    /// Lifts the limit, as the head of the response has arrived.
    pub fn lift(&self) {
        self.left_bytes.store(UNLIMITED, Ordering::Relaxed);
    }

    fn is_exceeded(&self) -> bool {
        self.left_bytes.load(Ordering::Relaxed) == 0
    }

    /// Takes the bytes that were read from what may still be read.
    fn take(&self, read_bytes: usize) {
        let take = |left_bytes: usize| match left_bytes {
            UNLIMITED => None,
            _ => Some(left_bytes.saturating_sub(read_bytes)),
        };
        // The error is that the limit is lifted.
        let _ = self
            .left_bytes
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, take);
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
