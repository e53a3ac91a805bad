//! The protocol between berylhook's own processes.
//!
//! An entry holds one TCP connection to each agent it uses and multiplexes
//! all requests over it. Frames are protobuf messages; all frames queued at
//! the moment of a write share one record, and each record carries a
//! truncated HMAC over its position in the stream and its bytes. A record
//! that is replayed, reordered, altered or too large ends the connection
//! before any of it is decoded.
//!
//! The types in [`proto`] are generated from `proto/peer.proto` by
//! `cargo run -p berylhook-codegen --example generate` and committed.

mod channel;
mod convert;
mod documents;
mod envelope;
mod handshake;
mod seal;
mod trust;

pub use channel::{FrameReader, FrameWriter, split};
pub use convert::{frame, request_id};
pub use documents::{
    Documents, compare_versions, digest, document_message, documents_for, item_id, reply_to_digest,
};
pub use envelope::{open, seal};
pub use handshake::{PeerConnection, accept, connect};
pub use seal::{MAX_RECORD_BYTES, Opener, Sealer, TAG_BYTES};
pub use trust::{Key, KeyRing, ParseKeyError};

/// Messages generated from the protocol file.
#[allow(missing_docs, clippy::pedantic)]
pub mod proto {
    include!("generated/berylhook.peer.rs");
}

use thiserror::Error;

/// Why a connection between two processes failed.
#[derive(Debug, Error)]
pub enum PeerError {
    /// The socket failed or was closed.
    #[error("connection lost: {0}; check that the peer runs and is reachable")]
    Io(#[from] std::io::Error),
    /// A record announced more bytes than are ever sent.
    #[error(
        "a record of {bytes} bytes was announced, over the bound of {max}; \
         check that the peer is a berylhook process of a matching version"
    )]
    TooLarge {
        /// Announced size.
        bytes: usize,
        /// Largest size accepted.
        max: usize,
    },
    /// The tag of a record does not match.
    #[error(
        "a record failed authentication; check that both processes have the \
         same `key` under [trust]"
    )]
    BadTag,
    /// The peer uses a key this process does not accept.
    #[error(
        "the peer uses a key that is not accepted here; set it as `key` or \
         `previous_key` under [trust] on one of the two"
    )]
    UnknownKey,
    /// The bytes are no message of the protocol.
    #[error(
        "a message could not be decoded ({0}); check that both processes run matching versions"
    )]
    Malformed(#[from] prost::DecodeError),
    /// The peer did not finish the handshake in time.
    #[error("the handshake took longer than {0} ms; check the network between the two")]
    HandshakeTimeout(u64),
}
