//! Frames over an authenticated connection.

use bytes::{Bytes, BytesMut};
use prost::Message;
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

use crate::PeerError;
use crate::handshake::PeerConnection;
use crate::proto::{Batch, Frame};
use crate::seal::{MAX_RECORD_BYTES, Opener, Sealer, TAG_BYTES};

const READ_BUFFER_BYTES: usize = 16 << 10;

/// The receiving half of a connection.
pub struct FrameReader {
    stream: BufReader<OwnedReadHalf>,
    opener: Opener,
}

/// The sending half of a connection.
pub struct FrameWriter {
    stream: OwnedWriteHalf,
    sealer: Sealer,
    record: Vec<u8>,
}

/// Splits a connection into its halves.
#[must_use]
pub fn split(peer: PeerConnection) -> (FrameReader, FrameWriter) {
    let (read, write) = peer.stream.into_split();
    let reader = FrameReader {
        stream: BufReader::with_capacity(READ_BUFFER_BYTES, read),
        opener: peer.opener,
    };
    let writer = FrameWriter {
        stream: write,
        sealer: peer.sealer,
        record: Vec::new(),
    };
    (reader, writer)
}

impl FrameReader {
    /// The frames of the next record.
    ///
    /// # Errors
    ///
    /// If the connection is gone, or the record is too large, fails
    /// authentication or is no message of the protocol.
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
        let payload = self.payload(bytes).await?;
        self.opener.open(&tag, &payload)?;
        Ok(Batch::decode(payload)?.frames)
    }

    /// Reads the payload, growing the buffer only as bytes really arrive.
    async fn payload(&mut self, bytes: usize) -> Result<Bytes, PeerError> {
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
    /// Sends `frames` as one record and empties the list.
    ///
    /// # Errors
    ///
    /// If the connection is gone, or the frames are too large together.
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
        self.record.clear();
        self.sealer.seal(&batch.encode_to_vec(), &mut self.record);
        self.stream.write_all(&self.record).await?;
        *frames = batch.frames;
        frames.clear();
        Ok(())
    }
}
