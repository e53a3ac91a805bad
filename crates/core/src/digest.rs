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
//!
//! A part of a prompt is a feature of all requests that share it. It is identified by a digest too,
//! which has the part's own identity after zeros, so that facts about requests and about parts are
//! exchanged and stored in the same form.

use std::fmt;
use std::str::FromStr;

use thiserror::Error;

use crate::prompt::{PromptPart, PromptPartError};

const DIGEST_BYTES: usize = 32;

/// Number of bytes that are zero in the digest of a part, apart from the last of them, which marks
/// a queued part. No content is known whose hash begins with as many zeros.
const PART_ZERO_BYTES: usize = 24;

/// Value of the last of these bytes in the digest of a queued part.
const QUEUED_PART_MARK: u8 = 1;

/// Prefix of the name of a part where operators name a request or a part.
const PART_PREFIX: &str = "part:";

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

/// The digest of a feature of requests: the content of one request, or a part of its prompt that
/// other requests have as well.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestDigest([u8; DIGEST_BYTES]);

/// What a digest identifies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DigestKind {
    /// The content of a request.
    Content,
    /// A part of the prompt of requests to which a target may have begun to respond.
    Part(PromptPart),
    /// A part of the prompt of requests to which a target had not begun to respond.
    QueuedPart(PromptPart),
}

/// The text is not a valid digest.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum DigestError {
    /// The text is neither a digest nor the name of a part.
    #[error(
        "`{0}` is not a digest; give the 64 hexadecimal digits that a log line has as `digest`, \
         or `part:` and one of the names that it has as `parts`"
    )]
    Malformed(String),
    /// The name after `part:` is invalid.
    #[error(transparent)]
    Part(#[from] PromptPartError),
}

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

    /// The digest of a part of prompts.
    #[must_use]
    pub fn of_part(part: PromptPart) -> Self {
        let mut bytes = [0; DIGEST_BYTES];
        bytes[PART_ZERO_BYTES..].copy_from_slice(&part.0.to_be_bytes());
        Self(bytes)
    }

    /// The digest of a part of prompts in requests to which no target has begun to respond.
    #[must_use]
    pub fn of_queued_part(part: PromptPart) -> Self {
        let mut digest = Self::of_part(part);
        digest.0[PART_ZERO_BYTES - 1] = QUEUED_PART_MARK;
        digest
    }

    /// What the digest identifies.
    #[must_use]
    pub fn kind(&self) -> DigestKind {
        let (zeros, part) = self.0.split_at(PART_ZERO_BYTES);
        let Some((mark, zeros)) = zeros.split_last() else {
            return DigestKind::Content;
        };
        let part = part
            .iter()
            .fold(0, |part, byte| part << 8 | u64::from(*byte));
        match *mark {
            _ if zeros.iter().any(|byte| *byte != 0) => DigestKind::Content,
            0 => DigestKind::Part(PromptPart(part)),
            QUEUED_PART_MARK => DigestKind::QueuedPart(PromptPart(part)),
            _ => DigestKind::Content,
        }
    }

    /// The name by which operators refer to the request or the part.
    #[must_use]
    pub fn name(&self) -> String {
        match self.kind() {
            DigestKind::Content => self.to_string(),
            DigestKind::Part(part) | DigestKind::QueuedPart(part) => format!("{PART_PREFIX}{part}"),
        }
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

    /// Parses the digits of a digest, or the name of a part after `part:`.
    fn from_str(text: &str) -> Result<Self, DigestError> {
        if let Some(name) = text.strip_prefix(PART_PREFIX) {
            return Ok(Self::of_part(name.parse()?));
        }
        let malformed = |_| DigestError::Malformed(text.to_owned());
        let hash = blake3::Hash::from_hex(text).map_err(malformed)?;
        Ok(Self(*hash.as_bytes()))
    }
}
