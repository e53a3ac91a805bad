//! Sending and receiving of frames over an authenticated connection.

use bytes::{Bytes, BytesMut};
use prost::Message;
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

use crate::PeerError;
use crate::handshake::PeerConnection;
use crate::proto::{Batch, Frame};
use crate::seal::{MAX_RECORD_BYTES, Opener, Sealer, TAG_BYTES};

const READ_BUFFER_BYTES: usize = 16 << 10;

/// Receiving half of a connection.
pub struct FrameReader {
    stream: BufReader<OwnedReadHalf>,
    opener: Opener,
}

/// Sending half of a connection.
pub struct FrameWriter {
    stream: OwnedWriteHalf,
    sealer: Sealer,
    record_buffer: Vec<u8>,
}

/// Splits a connection into its receiving and sending halves.
#[must_use]
pub fn split(connection: PeerConnection) -> (FrameReader, FrameWriter) {
    let (read, write) = connection.stream.into_split();
    let reader = FrameReader {
        stream: BufReader::with_capacity(READ_BUFFER_BYTES, read),
        opener: connection.opener,
    };
    let writer = FrameWriter {
        stream: write,
        sealer: connection.sealer,
        record_buffer: Vec::new(),
    };
    (reader, writer)
}

impl FrameReader {
    /// Receives the next record and returns its frames.
    ///
    /// # Errors
    ///
    /// If the connection is lost, or the record is too large, fails authentication or cannot be
    /// decoded.
    pub async fn next(&mut self) -> Result<Vec<Frame>, PeerError> {
        let bytes = self.stream.read_u32_le().await? as usize;
        if bytes > MAX_RECORD_BYTES {
            return Err(PeerError::TooLarge {
                bytes,
                max: MAX_RECORD_BYTES,
            });
        }
        let mut tag = [0; TAG_BYTES];
        self.stream.read_exact(&mut tag).await?;
        let payload = self.read_payload(bytes).await?;
        self.opener.open(&tag, &payload)?;
        Ok(Batch::decode(payload)?.frames)
    }

    /// Reads a payload. The buffer grows only as bytes arrive, so that a false length cannot make
    /// this process allocate memory.
    async fn read_payload(&mut self, bytes: usize) -> Result<Bytes, PeerError> {
        let mut payload = BytesMut::with_capacity(bytes.min(READ_BUFFER_BYTES));
        let mut limited = (&mut self.stream).take(bytes as u64);
        while payload.len() < bytes {
            let read = limited.read_buf(&mut payload).await?;
            if read == 0 {
                return Err(std::io::Error::from(std::io::ErrorKind::UnexpectedEof).into());
            }
        }
        Ok(payload.freeze())
    }
}

impl FrameWriter {
    /// Sends `frames` as one record and clears the list. The list keeps its capacity.
    ///
    /// # Errors
    ///
    /// If the connection is lost, or the frames together exceed [`MAX_RECORD_BYTES`].
    pub async fn send(&mut self, frames: &mut Vec<Frame>) -> Result<(), PeerError> {
        let batch = Batch {
            frames: std::mem::take(frames),
        };
        let bytes = batch.encoded_len();
        if bytes > MAX_RECORD_BYTES {
            return Err(PeerError::TooLarge {
                bytes,
                max: MAX_RECORD_BYTES,
            });
        }
        self.record_buffer.clear();
        self.sealer
            .seal(&batch.encode_to_vec(), &mut self.record_buffer);
        self.stream.write_all(&self.record_buffer).await?;
        *frames = batch.frames;
        frames.clear();
        Ok(())
    }
}
