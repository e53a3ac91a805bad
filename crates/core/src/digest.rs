//! Which requests are the same request, sent again.
//!
//! A caller that repeats a request gives it another attempt id and reaches another
//! entry, perhaps with another key of its account. What stays is the method, the path
//! with its query, the client account and the body, and the digest is made of these.
//!
//! The digest is a cryptographic one. Requests that crash targets are held back by it:
//! were it possible to make two requests with one digest, a caller could have another
//! caller's requests held back.
//!
//! Bodies are neither kept nor logged; the digest stands for them.

use std::fmt;
use std::str::FromStr;

use thiserror::Error;

/// Bytes of a digest.
const DIGEST_BYTES: usize = 32;

/// What a request is made of, whoever carries it.
#[derive(Clone, Copy, Debug)]
pub struct RequestContent<'a> {
    /// The method.
    pub method: &'a str,
    /// The path with its query.
    pub path: &'a str,
    /// The client account's name; `None` where requests carry no key.
    pub account: Option<&'a str>,
    /// The whole body, without its framing.
    pub body: &'a [u8],
}

/// The digest of a request's content.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestDigest([u8; DIGEST_BYTES]);

/// A text that is no digest.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("`{0}` is no digest; give the 64 hexadecimal digits that a log line has as `digest`")]
pub struct DigestError(String);

impl RequestDigest {
    /// The digest of `content`.
    ///
    /// Each field is preceded by its length, so that no two contents give the same
    /// bytes: a path cannot take over the beginning of a body.
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

    /// The digest with these bytes.
    #[must_use]
    pub fn from_bytes(bytes: [u8; DIGEST_BYTES]) -> Self {
        Self(bytes)
    }

    /// Its bytes.
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
