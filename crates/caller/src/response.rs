//! Conversion of gateway results to HTTP responses.

use berylhook_core::ids::RequestId;
use berylhook_core::outcome::Outcome;
use futures_util::stream;
use poem::http::{HeaderName, HeaderValue, StatusCode};
use poem::{Body, Response};
use serde_json::json;

use crate::error_response::ErrorResponse;
use crate::gateway::{CallResponse, ResponseBody, ResponseHead};

const REQUEST_ID_HEADER: &str = "x-request-id";
const OUTCOME_HEADER: &str = "berylhook-outcome";

/// Builds the HTTP response for a target's response. The outcome "done" in the header of a streamed
/// response is valid only if the body arrives complete; a truncated body means "unknown".
pub(crate) fn from_call_response(id: RequestId, call_response: CallResponse) -> Response {
    let mut response = match call_response.body {
        ResponseBody::Full(bytes) => Response::builder().body(bytes),
        ResponseBody::Stream(chunks) => {
            let chunks = stream::unfold(chunks, |mut chunks| async move {
                let chunk = chunks.recv().await?;
                if chunk.is_err() {
                    // The error makes hyper drop the connection and all data that it has not
                    // written yet. Yielding once lets hyper write the preceding chunks first.
                    tokio::task::yield_now().await;
                }
                Some((chunk, chunks))
            });
            Response::builder().body(Body::from_bytes_stream(chunks))
        }
    };
    copy_head(&mut response, &call_response.head);
    set_outcome_headers(&mut response, id, Outcome::Done);
    response
}

fn copy_head(response: &mut Response, head: &ResponseHead) {
    let status = StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY);
    response.set_status(status);
    for (name, value) in &head.headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        let value = HeaderValue::from_maybe_shared(value.clone());
        if let (Ok(name), Ok(value)) = (name, value) {
            response.headers_mut().append(name, value);
        }
    }
}

/// Builds an error response in the `OpenAI` format.
pub(crate) fn from_error(id: RequestId, error: &ErrorResponse) -> Response {
    let body = json!({
        "error": {
            "message": error.message,
            "type": error.reason.error_type(),
            "code": error.reason.code(),
            "param": null,
        }
    });
    let status = StatusCode::from_u16(error.reason.status()).expect("error statuses are valid");
    let mut response = Response::builder()
        .status(status)
        .content_type("application/json")
        .body(body.to_string());
    if let Some(ms) = error.retry_after_ms {
        // The header holds whole seconds. Rounding down would make the caller retry too early.
        let seconds = HeaderValue::from(ms.div_ceil(1_000).max(1));
        response.headers_mut().insert("retry-after", seconds);
        response
            .headers_mut()
            .insert("retry-after-ms", HeaderValue::from(ms.max(1)));
    }
    set_outcome_headers(&mut response, id, error.outcome);
    response
}

fn set_outcome_headers(response: &mut Response, id: RequestId, outcome: Outcome) {
    let id = HeaderValue::from_str(&id.to_string()).expect("request ids are ASCII");
    let outcome = HeaderValue::from_static(outcome.as_str());
    response.headers_mut().insert(REQUEST_ID_HEADER, id);
    response.headers_mut().insert(OUTCOME_HEADER, outcome);
}
