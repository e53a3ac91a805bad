//! Digests that identify repeated requests.
//!
//! When a caller repeats a request, the attempt id and the entry differ, and the API key
//! may be another key of the same client account. The method, the path with its query,
//! the client account and the body stay the same, so the digest covers these four.
//!
//! The hash is cryptographic because requests that crash targets are quarantined by
//! their digest. If collisions could be constructed, one caller could get another
//! caller's requests rejected.
//!
//! Request bodies are neither stored nor logged; the digest is used instead.

use std::fmt;
use std::str::FromStr;

use thiserror::Error;

const DIGEST_BYTES: usize = 32;

/// The parts of a request that its digest covers.
#[derive(Clone, Copy, Debug)]
pub struct RequestContent<'a> {
    /// The method.
    pub method: &'a str,
    /// The path with its query.
    pub path: &'a str,
    /// The client account's name; `None` if requests carry no API key.
    pub account: Option<&'a str>,
    /// The complete body, without transfer framing.
    pub body: &'a [u8],
}

/// The digest of a request's content.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestDigest([u8; DIGEST_BYTES]);

/// The text is not a valid digest.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("`{0}` is not a digest; give the 64 hexadecimal digits that a log line has as `digest`")]
pub struct DigestError(String);

impl RequestDigest {
    /// Computes the digest of `content`.
    ///
    /// Each field is preceded by its length, so that two different contents never hash
    /// the same bytes, such as when the end of a path moves to the beginning of the body.
    #[must_use]
    pub fn of(content: &RequestContent<'_>) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&[u8::from(content.account.is_some())]);
        let account = content.account.unwrap_or_default();
        let texts = [content.method, content.path, account];
        for field in texts.map(str::as_bytes).iter().chain([&content.body]) {
            let length = field.len() as u64;
            hasher.update(&length.to_le_bytes());
            hasher.update(field);
        }
        Self(*hasher.finalize().as_bytes())
    }

    /// Creates a digest from its raw bytes.
    #[must_use]
    pub fn from_bytes(bytes: [u8; DIGEST_BYTES]) -> Self {
        Self(bytes)
    }

    /// Returns the raw bytes.
    #[must_use]
    pub fn as_bytes(&self) -> &[u8; DIGEST_BYTES] {
        &self.0
    }
}

impl fmt::Display for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let hex = blake3::Hash::from_bytes(self.0).to_hex();
        f.write_str(&hex)
    }
}

impl fmt::Debug for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl FromStr for RequestDigest {
    type Err = DigestError;

    fn from_str(text: &str) -> Result<Self, DigestError> {
        let hash = blake3::Hash::from_hex(text).map_err(|_| DigestError(text.to_owned()))?;
        Ok(Self(*hash.as_bytes()))
    }
}
