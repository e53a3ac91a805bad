//! Bounds what a target may send before the head of its response.
//!
//! Any number of informational responses may precede a response. They are parsed as they arrive,
//! without a pause in which the request's deadline could be noticed, so a target that never stops
//! sending them would occupy the thread that serves all callers.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Most bytes that are read before the head of the response is known. The first bytes of its body
/// may be among them.
const MAX_HEAD_BYTES: usize = 256 << 10;

/// A target has sent more than [`MAX_HEAD_BYTES`] without a response.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("no response head within {MAX_HEAD_BYTES} bytes; check the target's engine")]
struct HeadTooLong;

/// Whether the limit of one connection still holds.
#[derive(Clone, Debug, Default)]
pub(crate) struct HeadLimit(Arc<AtomicBool>);

impl HeadLimit {
    /// Lifts the limit, as the head of the response has arrived.
    pub(crate) fn lift(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    fn is_lifted(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// A connection to a target that fails once the limit is exceeded.
pub(crate) struct HeadLimited<S> {
    stream: S,
    address: SocketAddr,
    limit: HeadLimit,
    read_bytes: usize,
}

impl<S> HeadLimited<S> {
    pub(crate) fn new(stream: S, address: SocketAddr, limit: HeadLimit) -> Self {
        Self {
            stream,
            address,
            limit,
            read_bytes: 0,
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for HeadLimited<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let bytes_before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let read_bytes = buffer.filled().len() - bytes_before;
        self.read_bytes = self.read_bytes.saturating_add(read_bytes);
        if self.read_bytes > MAX_HEAD_BYTES && !self.limit.is_lifted() {
            log::warn!(address:% = self.address, reason:% = HeadTooLong; "a connection to a target is closed");
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, HeadTooLong)));
        }
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
