//! The protocol between berylhook's processes.
//!
//! An entry keeps one TCP connection to each agent that it uses and multiplexes all requests over
//! it. Frames are protobuf messages. All frames that are queued at the time of a write share one
//! record, which is sealed (authenticated but not encrypted) by a truncated HMAC over the position
//! of the record in the stream and its payload. A record that is replayed, reordered, altered or
//! too large closes the connection before any of it is decoded.
//!
//! The types in [`proto`] are generated from `proto/peer.proto` by
//! `cargo run -p berylhook-codegen --example generate` and committed.

mod channel;
mod convert;
mod documents;
mod envelope;
mod handshake;
mod keys;
mod seal;

pub use channel::{FrameReader, FrameWriter, split};
pub use convert::{frame, request_id};
pub use documents::{
    Documents, compare_versions, digest, document_message, documents_for, item_id, reply_to_digest,
};
pub use envelope::{open, seal};
pub use handshake::{PeerConnection, accept, connect};
pub use keys::{Key, KeyRing, ParseKeyError};
pub use seal::{MAX_RECORD_BYTES, Opener, Sealer, TAG_BYTES};

/// Message types generated from `proto/peer.proto`.
#[allow(missing_docs, clippy::pedantic)]
pub mod proto {
    include!("generated/berylhook.peer.rs");
}

use thiserror::Error;

/// Error of a connection between two processes.
#[derive(Debug, Error)]
pub enum PeerError {
    /// The socket failed or was closed.
    #[error("connection lost: {0}; check that the peer runs and is reachable")]
    Io(#[from] std::io::Error),
    /// The length of a record or message is over the maximum.
    #[error(
        "a record of {bytes} bytes exceeds the maximum of {max}; \
         check that the peer is a berylhook process of a matching version"
    )]
    TooLarge {
        /// Length in bytes, as announced by the sender or as encoded for sending.
        bytes: usize,
        /// Maximum length in bytes.
        max: usize,
    },
    /// An authentication tag does not match.
    #[error(
        "a message failed authentication; check that both processes have the \
         same `key` under [trust]"
    )]
    BadTag,
    /// The peer uses a key that this process does not accept.
    #[error(
        "the peer uses a key that is not accepted here; set it as `key` or \
         `previous_key` under [trust] on one of the two"
    )]
    UnknownKey,
    /// The bytes cannot be decoded as a message of the protocol.
    #[error(
        "a message could not be decoded ({0}); check that both processes run matching versions"
    )]
    Malformed(#[from] prost::DecodeError),
    /// The peer did not complete the handshake within this time, in milliseconds.
    #[error("the handshake took longer than {0} ms; check the network between the two")]
    HandshakeTimeout(u64),
}
