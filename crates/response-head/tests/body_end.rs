//! Which heads are believed, and how the end of their bodies is marked.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use berylhook_response_head::{BodyEnd, InvalidHead, body_end, is_final_status};
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use hyper::{Response, Version};

/// A body of which only the length is known, if the head gives one.
struct BodyStub(Option<u64>);

impl Body for BodyStub {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        Poll::Ready(None)
    }

    fn size_hint(&self) -> SizeHint {
        self.0.map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}

/// A response with these headers, as the HTTP library returns it.
fn response(status: u16, headers: &[(&str, &str)], length: Option<u64>) -> Response<BodyStub> {
    let mut response = Response::builder().status(status);
    for (name, value) in headers {
        response = response.header(*name, *value);
    }
    let response = response.body(BodyStub(length));
    response.expect("the headers are valid")
}

fn coding_error(value: &str) -> Result<BodyEnd, InvalidHead> {
    let quoted = value.as_bytes().escape_ascii().to_string();
    Err(InvalidHead::TransferEncoding(quoted))
}

/// Status, headers, length of the body, and how its end is marked.
type SoundHead = (
    u16,
    &'static [(&'static str, &'static str)],
    Option<u64>,
    BodyEnd,
);

const CODING: &str = "transfer-encoding";
const LENGTH: &str = "content-length";

#[test]
fn sound_heads_are_believed() {
    let rows: [SoundHead; 8] = [
        (200, &[(LENGTH, "5")], Some(5), BodyEnd::Framed),
        (200, &[(CODING, "chunked")], None, BodyEnd::Framed),
        (200, &[(CODING, " Chunked ")], None, BodyEnd::Framed),
        (200, &[("connection", "close")], None, BodyEnd::Connection),
        (204, &[], Some(0), BodyEnd::Framed),
        (204, &[(LENGTH, "0")], Some(0), BodyEnd::Framed),
        // A response to a request for the head alone, or without a new body.
        (200, &[(LENGTH, "5")], Some(0), BodyEnd::Framed),
        (304, &[(LENGTH, "5")], Some(0), BodyEnd::Framed),
    ];
    for (status, headers, length, expected) in rows {
        let response = response(status, headers, length);

        assert_eq!(body_end(&response), Ok(expected), "{status} {headers:?}");
    }
}

// Guards against a status that no HTTP server sends, or a switch of protocols, as a response.
#[test]
fn a_final_response_has_a_status_from_200_to_599() {
    for (status, is_final) in [
        (101, false),
        (199, false),
        (200, true),
        (599, true),
        (600, false),
        (999, false),
    ] {
        let response = response(status, &[(LENGTH, "5")], Some(5));

        let expected = if is_final {
            Ok(BodyEnd::Framed)
        } else {
            Err(InvalidHead::Status(status))
        };
        assert_eq!(body_end(&response), expected);
        assert_eq!(is_final_status(status), is_final);
    }
}

// Guards against a body in chunks that is taken for one that ends with its connection.
#[test]
fn only_chunked_is_a_transfer_coding() {
    let values = [
        "",
        "chunke",
        "chunkedx",
        "xchunked",
        "\"chunked\"",
        "chunked;q=1",
        "chunked,",
        "identity",
        "gzip",
        "gzip, chunked",
        "chunked, gzip",
        "chunked, chunked",
    ];
    for value in values {
        for length in [None, Some(0)] {
            let response = response(200, &[(CODING, value)], length);

            assert_eq!(body_end(&response), coding_error(value));
        }
    }
}

#[test]
fn a_transfer_coding_stands_once() {
    let headers = [(CODING, "chunked"), (CODING, "chunked")];
    let response = response(200, &headers, None);

    assert_eq!(body_end(&response), coding_error("chunked, chunked"));
}

#[test]
fn http_1_0_has_no_transfer_coding() {
    let mut response = response(200, &[(CODING, "chunked")], None);
    *response.version_mut() = Version::HTTP_10;

    assert_eq!(body_end(&response), coding_error("chunked"));
}

#[test]
fn a_body_has_chunks_or_a_length() {
    for headers in [
        [(CODING, "chunked"), (LENGTH, "5")],
        [(LENGTH, "5"), (CODING, "chunked")],
    ] {
        let response = response(200, &headers, None);

        assert_eq!(body_end(&response), Err(InvalidHead::ChunksAndLength));
    }
}

// Guards against a success without the body that the server has sent.
#[test]
fn a_status_without_a_body_announces_none() {
    for header in [(LENGTH, "5"), (CODING, "chunked")] {
        let response = response(204, &[header], Some(0));

        assert_eq!(body_end(&response), Err(InvalidHead::BodyNotAllowed(204)));
    }
}

// Guards against a body in chunks that is taken for one that ends with its connection, because the name
// of its transfer coding is spoiled.
#[test]
fn a_body_without_a_length_or_chunks_needs_an_announced_close() {
    let no_body_end = Err(InvalidHead::NoBodyEnd);
    let rows = [
        (Version::HTTP_11, "", no_body_end.clone()),
        (Version::HTTP_11, "keep-alive", no_body_end.clone()),
        (Version::HTTP_11, "closed", no_body_end.clone()),
        (Version::HTTP_11, "Close", Ok(BodyEnd::Connection)),
        (Version::HTTP_11, "te, close", Ok(BodyEnd::Connection)),
        (Version::HTTP_10, "", Ok(BodyEnd::Connection)),
        (Version::HTTP_10, "keep-alive", no_body_end),
    ];
    for (version, connection, expected) in rows {
        let mut response = response(200, &[("connection", connection)], None);
        *response.version_mut() = version;

        assert_eq!(body_end(&response), expected, "{version:?} {connection}");
    }
}

// Guards against a log that a spoiled value fills, or whose lines it breaks.
#[test]
fn a_quoted_value_is_escaped_and_short() {
    let value = format!("\u{e9}\t{}", "x".repeat(10_000));
    let response = response(200, &[(CODING, &value)], None);

    let error = body_end(&response).expect_err("it is spoiled").to_string();

    assert!(error.contains("`\\xc3\\xa9\\txxx"), "{error}");
    assert!(error.len() < 200, "{error}");
}
