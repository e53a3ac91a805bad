//! Reads the bodies of requests and responses into the memory account.

use std::pin::pin;
use std::time::{Duration, Instant};

use bytes::{Buf, Bytes};
use http_body::Body;
use http_body_util::BodyExt;
use thiserror::Error;
use tokio::time::sleep;

use crate::connections::ConnectionGuard;
use crate::memory::{Buffer, BufferError};

/// Why the body of a request was not read.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum ReadError {
    /// It did not fit.
    #[error(transparent)]
    Buffer(#[from] BufferError),
    /// It took too long, or ended before its end.
    #[error("the body is not complete; send the whole body without pausing")]
    Incomplete,
}

/// Reads a body to its end, within `timeout`.
///
/// Each piece is copied, as a piece keeps the whole buffer alive into which it was read.
///
/// # Errors
///
/// If the body does not fit, was given up for another one, or is not complete in time.
pub async fn read_body<B: Body + Unpin>(
    mut body: B,
    mut buffer: Buffer,
    connection: Option<&ConnectionGuard>,
    timeout: Duration,
) -> Result<Bytes, ReadError> {
    let mut deadline = pin!(sleep(timeout));
    loop {
        let frame = tokio::select! {
            biased;
            frame = body.frame() => frame,
            () = buffer.until_given_up() => return Err(BufferError::GivenUp.into()),
            () = &mut deadline => return Err(ReadError::Incomplete),
        };
        let Some(frame) = frame else {
            return Ok(buffer.finish()?);
        };
        let frame = frame.map_err(|_| ReadError::Incomplete)?;
        // Trailers are left out.
        let Ok(mut data) = frame.into_data() else {
            continue;
        };
        while data.has_remaining() {
            let piece = data.chunk();
            let piece_bytes = piece.len();
            let now = Instant::now();
            let is_progress = buffer.append(piece, now)?;
            match connection {
                Some(connection) if is_progress => connection.on_progress(now),
                _ => {}
            }
            data.advance(piece_bytes);
        }
    }
}

/// Reads the body of a response to its end, and waits where the account has no room for it. The
/// sender of a response keeps to the length that it announces, so that is allocated at once.
///
/// # Errors
///
/// If the body is too long, or is not complete.
pub async fn read_response_body<B: Body + Unpin>(
    mut body: B,
    mut buffer: Buffer,
) -> Result<Bytes, ReadError> {
    if let Some(length) = body.size_hint().exact() {
        let length = usize::try_from(length).map_err(|_| BufferError::TooLong)?;
        buffer.reserve_with_room(length).await?;
    }
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| ReadError::Incomplete)?;
        // Trailers are left out.
        let Ok(mut data) = frame.into_data() else {
            continue;
        };
        while data.has_remaining() {
            let piece = data.chunk();
            let piece_bytes = piece.len();
            buffer.append_with_room(piece).await?;
            data.advance(piece_bytes);
        }
    }
    Ok(buffer.finish()?)
}
