//! Request identifiers that stay unique across process restarts.
//!
//! A plain counter starts at zero again when a process restarts. A late
//! response to request 7 of the previous process would then be taken for the
//! response to request 7 of the new process and reach the wrong caller. Every
//! identifier therefore carries the incarnation, a random number drawn once
//! per process start.

use std::fmt;
use std::str::FromStr;

use thiserror::Error;

/// Identifies one run of one process; drawn at random when the process starts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation(pub u64);

/// Identifies one attempt at one request on one hop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId {
    /// The process that issued the identifier.
    pub origin: Incarnation,
    /// Incremented for each identifier that the process issues.
    pub counter: u64,
}

/// The text is not a valid request identifier.
#[derive(Debug, Error, PartialEq, Eq)]
#[error("`{0}` is not a request id; write it as 16 hex digits, `-`, then hex digits")]
pub struct ParseIdError(pub String);

/// Issues the identifiers of one process.
#[derive(Debug)]
pub struct IdSource {
    origin: Incarnation,
    next: u64,
}

impl IdSource {
    /// Creates the source for the process whose incarnation is `origin`.
    #[must_use]
    pub fn new(origin: Incarnation) -> Self {
        Self { origin, next: 1 }
    }

    /// Returns the next identifier; no identifier is returned twice.
    pub fn issue(&mut self) -> RequestId {
        let counter = self.next;
        self.next += 1;
        RequestId {
            origin: self.origin,
            counter,
        }
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{:x}", self.origin, self.counter)
    }
}

impl FromStr for RequestId {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let parse_error = || ParseIdError(text.to_owned());
        let (origin, counter) = text.split_once('-').ok_or_else(parse_error)?;
        let origin = u64::from_str_radix(origin, 16).map_err(|_| parse_error())?;
        let counter = u64::from_str_radix(counter, 16).map_err(|_| parse_error())?;
        Ok(Self {
            origin: Incarnation(origin),
            counter,
        })
    }
}
