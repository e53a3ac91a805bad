//! Questions and answers between entries, sealed one by one.
//!
//! The control messages travel by `nng`'s request pattern, which resends a
//! request by itself when a connection is lost. That is safe only because
//! every question here can be asked twice without harm; requests of callers
//! never travel this way.

use prost::Message;
use subtle::ConstantTimeEq;

use crate::PeerError;
use crate::proto::Envelope;
use crate::seal::MAX_RECORD_BYTES;
use crate::trust::{Key, KeyRing};

/// Seals `message` under `key` for the purpose `label`.
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

/// Opens an envelope and gives its message and nonce.
///
/// # Errors
///
/// If it is too large, damaged, sealed under a key that is not accepted, or
/// for another purpose.
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

/// An opened envelope.
#[derive(Debug)]
pub struct OpenedEnvelope<M> {
    /// The message.
    pub message: M,
    /// The nonce the asker drew.
    pub nonce: Vec<u8>,
}
