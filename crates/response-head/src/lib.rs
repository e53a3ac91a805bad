//! Decides whether the head of a response can be believed, and how the end of its body is marked.
//!
//! An HTTP library accepts heads that no server sends on purpose. It reads a body of an unknown
//! transfer coding up to the close of the connection, so the chunk sizes become part of the body. A
//! head with one spoiled line proves nothing: neither its status nor any of its headers is used, and
//! the outcome of the request is unknown.

mod limit;

use std::ops::RangeInclusive;

use hyper::body::Body;
use hyper::header::{CONNECTION, CONTENT_LENGTH, HeaderValue, TRANSFER_ENCODING};
use hyper::{HeaderMap, Response, StatusCode, Version};
use thiserror::Error;

pub use limit::{HeadLimit, HeadLimited, LiftedLimit};

/// Most bytes of a header's value that an error quotes.
const MAX_QUOTED_BYTES: usize = 40;

/// Statuses of final responses. A switch of protocols, which 101 announces, is never requested.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// How the end of a body is marked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyEnd {
    /// By a length or a last chunk, or there is no body. A connection that closes early shows that
    /// the body is incomplete.
    Framed,
    /// By the close of the connection. A server that stops in the middle of the body closes the
    /// connection too. Two such ends are certain to be early, as a server has nothing to gain from
    /// leaving out the length of an empty body:
    ///
    /// - No byte follows the head.
    /// - A stream ends inside an event, or has none.
    Connection,
}

/// Why the head of a response cannot be believed.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum InvalidHead {
    /// The status is not that of a final response.
    #[error("status {0} is not that of a final response; check the server's log")]
    Status(u16),
    /// The transfer coding is not `chunked` alone.
    #[error(
        "transfer-encoding `{0}` is not `chunked` in an HTTP/1.1 response; check the server's log"
    )]
    TransferEncoding(String),
    /// The body has chunks and a length.
    #[error("the head has a transfer-encoding and a content-length; check the server's log")]
    ChunksAndLength,
    /// The body has neither chunks nor a length, and the connection stays open.
    #[error(
        "the head has no length or chunks and does not close the connection; check the server's log"
    )]
    NoBodyEnd,
    /// A status that allows no body comes with one.
    #[error("status {0} allows no body, but the head announces one; check the server's log")]
    BodyNotAllowed(u16),
}

/// Checks the head of a response, and returns how the end of its body is marked.
///
/// The body must come from the HTTP library, whose size hint is exact if the body has a length.
///
/// # Errors
///
/// If the head is not one that a server sends.
pub fn body_end<B: Body>(response: &Response<B>) -> Result<BodyEnd, InvalidHead> {
    let headers = response.headers();
    let status = response.status();
    if !is_final_status(status.as_u16()) {
        return Err(InvalidHead::Status(status.as_u16()));
    }
    let is_chunked = is_chunked(response.version(), headers)?;
    if status == StatusCode::NO_CONTENT && announces_body(headers) {
        return Err(InvalidHead::BodyNotAllowed(status.as_u16()));
    }
    if is_chunked || response.body().size_hint().exact().is_some() {
        Ok(BodyEnd::Framed)
    } else if closes_connection(response.version(), headers) {
        Ok(BodyEnd::Connection)
    } else {
        Err(InvalidHead::NoBodyEnd)
    }
}

/// Whether the head says that the connection closes behind the body. With HTTP/1.0 it does unless
/// the head says otherwise.
fn closes_connection(version: Version, headers: &HeaderMap) -> bool {
    let has_option = |name: &str| {
        let values = headers.get_all(CONNECTION).iter();
        let mut options = values.flat_map(|value| value.as_bytes().split(|byte| *byte == b','));
        options.any(|option| option.trim_ascii().eq_ignore_ascii_case(name.as_bytes()))
    };
    has_option("close") || (version == Version::HTTP_10 && !has_option("keep-alive"))
}

/// Whether a final response can have this status.
#[must_use]
pub fn is_final_status(status: u16) -> bool {
    FINAL_STATUSES.contains(&status)
}

fn is_chunked(version: Version, headers: &HeaderMap) -> Result<bool, InvalidHead> {
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    match (codings.next(), codings.next()) {
        (None, _) => Ok(false),
        (Some(coding), None) if version == Version::HTTP_11 && is_chunked_coding(coding) => {
            if headers.contains_key(CONTENT_LENGTH) {
                return Err(InvalidHead::ChunksAndLength);
            }
            Ok(true)
        }
        (Some(_), _) => Err(InvalidHead::TransferEncoding(quote_all(headers))),
    }
}

fn is_chunked_coding(coding: &HeaderValue) -> bool {
    coding
        .as_bytes()
        .trim_ascii()
        .eq_ignore_ascii_case(b"chunked")
}

fn announces_body(headers: &HeaderMap) -> bool {
    let mut lengths = headers.get_all(CONTENT_LENGTH).iter();
    headers.contains_key(TRANSFER_ENCODING) || lengths.any(|length| length != "0")
}

fn quote_all(headers: &HeaderMap) -> String {
    let codings = headers.get_all(TRANSFER_ENCODING).iter();
    let values: Vec<&[u8]> = codings.map(HeaderValue::as_bytes).collect();
    let joined = values.join(&b", "[..]);
    let quoted = &joined[..joined.len().min(MAX_QUOTED_BYTES)];
    quoted.escape_ascii().to_string()
}
