//! A client's connection as the HTTP library sees it.
//!
//! The library has one timeout for an idle connection and for a head that is not complete; this
//! stream adds a shorter one for the head. The library also closes a connection whose request it has
//! not read to its end. Unread bytes would make the kernel reset the connection, and the client would
//! lose the response. This stream announces the end of what it sends, and then discards for a
//! bounded time what still arrives.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::Sleep;

use crate::connections::{ConnectionGuard, Phase};

/// Sizes of the kernel's buffers of one connection, of which it uses up to twice as much.
const KERNEL_BUFFER_BYTES: u32 = 32 << 10;

/// Longest time and most bytes that are discarded behind a response.
const LINGER_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_LINGER_BYTES: usize = 8 << 20;

/// Size of one read that is discarded.
const DISCARD_BYTES: usize = 16 << 10;

/// Bounds what the kernel queues for each connection that a socket accepts. Called before it listens,
/// as connections get the sizes that it has when they are opened.
///
/// # Errors
///
/// If the kernel rejects the sizes.
pub fn bound_kernel_buffers(socket: &TcpSocket) -> io::Result<()> {
    socket.set_recv_buffer_size(KERNEL_BUFFER_BYTES)?;
    socket.set_send_buffer_size(KERNEL_BUFFER_BYTES)
}

/// Timeouts of a client's connection.
#[derive(Clone, Copy, Debug)]
pub struct StreamTimeouts {
    /// Time from the first byte of a head to its end.
    pub head: Duration,
}

/// A client's connection.
pub struct ClientStream {
    stream: TcpStream,
    guard: Arc<ConnectionGuard>,
    timeouts: StreamTimeouts,
    /// When the head of the request has to be complete.
    head_deadline: Option<Pin<Box<Sleep>>>,
    linger: Option<Linger>,
}

/// The discarding of what arrives behind a response.
struct Linger {
    deadline: Pin<Box<Sleep>>,
    left_bytes: usize,
}

impl ClientStream {
    /// A connection that the guard accounts for.
    #[must_use]
    pub fn new(stream: TcpStream, guard: Arc<ConnectionGuard>, timeouts: StreamTimeouts) -> Self {
        Self {
            stream,
            guard,
            timeouts,
            head_deadline: None,
            linger: None,
        }
    }

    /// Fails once the head of a request has taken too long.
    fn poll_head_deadline(&mut self, context: &mut Context<'_>) -> Poll<io::Error> {
        if self.guard.phase() != Phase::Head {
            self.head_deadline = None;
            return Poll::Pending;
        }
        let timeout = self.timeouts.head;
        let deadline = self
            .head_deadline
            .get_or_insert_with(|| Box::pin(tokio::time::sleep(timeout)));
        ready!(deadline.as_mut().poll(context));
        let text = "the head of the request is not complete; send it without a pause";
        Poll::Ready(io::Error::new(io::ErrorKind::TimedOut, text))
    }

    /// Discards what arrives until the client has closed the connection.
    fn poll_linger(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let guard = &self.guard;
        let linger = self.linger.get_or_insert_with(|| {
            guard.set_phase(Phase::Lingering, Instant::now());
            Linger {
                deadline: Box::pin(tokio::time::sleep(LINGER_TIMEOUT)),
                left_bytes: MAX_LINGER_BYTES,
            }
        });
        let mut discarded = [0; DISCARD_BYTES];
        while linger.left_bytes > 0 && linger.deadline.as_mut().poll(context).is_pending() {
            let mut buffer = ReadBuf::new(&mut discarded);
            let read = ready!(Pin::new(&mut self.stream).poll_read(context, &mut buffer));
            let read_bytes = buffer.filled().len();
            if read.is_err() || read_bytes == 0 {
                break;
            }
            linger.left_bytes = linger.left_bytes.saturating_sub(read_bytes);
        }
        Poll::Ready(())
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let bytes_before = buffer.filled().len();
        match Pin::new(&mut self.stream).poll_read(context, buffer) {
            Poll::Ready(result) => {
                if buffer.filled().len() > bytes_before {
                    self.guard.on_bytes(Instant::now());
                }
                Poll::Ready(result)
            }
            Poll::Pending => self.poll_head_deadline(context).map(Err),
        }
    }
}

impl AsyncWrite for ClientStream {
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
        if self.linger.is_none() {
            ready!(Pin::new(&mut self.stream).poll_shutdown(context))?;
        }
        if self.guard.has_unread_body() {
            ready!(self.poll_linger(context));
        }
        Poll::Ready(Ok(()))
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
