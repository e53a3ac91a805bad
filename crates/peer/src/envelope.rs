//! Envelopes: control messages between entries, and from the operator's command to entries. Each
//! envelope is sealed (authenticated but not encrypted) by an HMAC.
//!
//! Control messages are sent by the request/reply pattern of `nng`, which resends a request on its
//! own when a connection is lost. That is safe only because all control requests are idempotent.
//! Requests of callers are never sent this way.

use prost::Message;
use subtle::ConstantTimeEq;

use crate::PeerError;
use crate::keys::{Key, KeyRing};
use crate::proto::Envelope;
use crate::seal::MAX_RECORD_BYTES;

/// Seals `message` with `key`. The tag also covers `label`, which names the purpose of the message,
/// and `nonce`.
#[must_use]
pub fn seal(key: &Key, label: &str, nonce: &[u8], message: &impl Message) -> Vec<u8> {
    let payload = message.encode_to_vec();
    let tag = key.tag(label, &[nonce, &payload]);
    let envelope = Envelope {
        key_id: key.id().to_vec().into(),
        nonce: nonce.to_vec().into(),
        payload: payload.into(),
        tag: tag.to_vec().into(),
    };
    envelope.encode_to_vec()
}

/// Verifies an envelope and returns its message and nonce.
///
/// # Errors
///
/// If the envelope is too large or malformed, or was sealed with a key that is not accepted or for
/// another purpose than `label`.
pub fn open<M: Message + Default>(
    keys: &KeyRing,
    label: &str,
    bytes: &[u8],
) -> Result<OpenedEnvelope<M>, PeerError> {
    if bytes.len() > MAX_RECORD_BYTES {
        return Err(PeerError::TooLarge {
            bytes: bytes.len(),
            max: MAX_RECORD_BYTES,
        });
    }
    let envelope = Envelope::decode(bytes)?;
    let key = keys.find(&envelope.key_id).ok_or(PeerError::UnknownKey)?;
    let expected = key.tag(label, &[&envelope.nonce, &envelope.payload]);
    if !bool::from(expected[..].ct_eq(&envelope.tag)) {
        return Err(PeerError::BadTag);
    }
    Ok(OpenedEnvelope {
        message: M::decode(envelope.payload)?,
        nonce: envelope.nonce.to_vec(),
    })
}

/// Content of a verified envelope.
#[derive(Debug)]
pub struct OpenedEnvelope<M> {
    /// Decoded message.
    pub message: M,
    /// Random nonce of the requester. The reply repeats it, so that a reply to an earlier request
    /// is not accepted.
    pub nonce: Vec<u8>,
}
