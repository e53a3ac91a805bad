//! The parts of a prompt that requests share, by which requests with different content are
//! recognized as similar.
//!
//! A caller names the parts of its prompt in order. The last one belongs to the request itself, or
//! to its session, so it says nothing about other requests and is not kept.

use std::fmt;
use std::str::FromStr;

use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64;

/// Maximum number of parts that are kept of one request. Prompts are composed of a handful of
/// parts; this bounds what a caller can make an entry remember.
pub const MAX_SHARED_PARTS: usize = 32;

/// Hexadecimal digits of the longest name that is kept as it is.
const MAX_NAME_DIGITS: usize = 16;

/// The identity of one part of a prompt.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PromptPart(pub u64);

/// The text is not the name of a part.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("`{0}` is not the name of a prompt part; give its hexadecimal digits")]
pub struct PromptPartError(String);

impl FromStr for PromptPart {
    type Err = PromptPartError;

    /// Parses the hexadecimal name that a caller gives to a part. Names that exceed 64 bits are
    /// hashed.
    fn from_str(name: &str) -> Result<Self, PromptPartError> {
        let is_hex = !name.is_empty() && name.bytes().all(|byte| byte.is_ascii_hexdigit());
        let number = u64::from_str_radix(name, 16).ok();
        match number {
            _ if !is_hex => Err(PromptPartError(name.to_owned())),
            Some(number) if name.len() <= MAX_NAME_DIGITS => Ok(Self(number)),
            _ => Ok(Self(xxh3_64(name.to_ascii_lowercase().as_bytes()))),
        }
    }
}

impl fmt::Display for PromptPart {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.0)
    }
}

impl fmt::Debug for PromptPart {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// The parts of a request's prompt that other requests may have as well: at most
/// [`MAX_SHARED_PARTS`], each once.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SharedParts(Vec<PromptPart>);

impl SharedParts {
    /// Collects the parts of a prompt in their order, without the last, which is the request's own.
    /// `None` stands for a part whose name could not be read.
    #[must_use]
    pub fn of_prompt(parts: impl IntoIterator<Item = Option<PromptPart>>) -> Self {
        let mut shared = Vec::new();
        let mut previous = None;
        for part in parts {
            match previous.replace(part).flatten() {
                Some(part) if shared.len() < MAX_SHARED_PARTS && !shared.contains(&part) => {
                    shared.push(part);
                }
                _ => {}
            }
        }
        Self(shared)
    }

    /// The parts.
    #[must_use]
    pub fn as_slice(&self) -> &[PromptPart] {
        &self.0
    }
}

impl fmt::Display for SharedParts {
    /// Writes the names with commas in between, or a dash if there are none.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0.is_empty() {
            return f.write_str("-");
        }
        for (index, part) in self.0.iter().enumerate() {
            let separator = if index == 0 { "" } else { "," };
            write!(f, "{separator}{part}")?;
        }
        Ok(())
    }
}
