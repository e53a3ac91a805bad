//! HTTP answers.

use berylhook_core::ids::RequestId;
use berylhook_core::outcome::Outcome;
use futures_util::stream;
use poem::http::{HeaderName, HeaderValue, StatusCode};
use poem::{Body, Response};
use serde_json::json;

use crate::gateway::{CallResponse, ResponseBody, ResponseHead};
use crate::refused::ErrorResponse;

const REQUEST_ID_HEADER: &str = "x-request-id";
const OUTCOME_HEADER: &str = "berylhook-outcome";

/// The target's answer. On a streamed one "done" holds once the body has
/// ended properly; a body that is cut off means "unknown".
pub(crate) fn from_reply(id: RequestId, reply: CallResponse) -> Response {
    let mut response = match reply.body {
        ResponseBody::Full(bytes) => Response::builder().body(bytes),
        ResponseBody::Stream(chunks) => {
            let chunks = stream::unfold(chunks, |mut chunks| async move {
                let chunk = chunks.recv().await?;
                if chunk.is_err() {
                    // The error makes hyper drop the connection with what it
                    // has not written yet. Being pending once lets it write
                    // everything that came before.
                    tokio::task::yield_now().await;
                }
                Some((chunk, chunks))
            });
            Response::builder().body(Body::from_bytes_stream(chunks))
        }
    };
    set_head(&mut response, &reply.head);
    mark(&mut response, id, Outcome::Done);
    response
}

fn set_head(response: &mut Response, head: &ResponseHead) {
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

/// A refusal in the `OpenAI` error shape.
pub(crate) fn from_refused(id: RequestId, refused: &ErrorResponse) -> Response {
    let body = json!({
        "error": {
            "message": refused.message,
            "type": refused.reason.error_type(),
            "code": refused.reason.code(),
            "param": null,
        }
    });
    let status = StatusCode::from_u16(refused.reason.status()).expect("statuses are valid");
    let mut response = Response::builder()
        .status(status)
        .content_type("application/json")
        .body(body.to_string());
    if let Some(ms) = refused.retry_after_ms {
        // The header counts whole seconds; rounding down would bring the
        // caller back too early.
        let seconds = HeaderValue::from(ms.div_ceil(1_000).max(1));
        response.headers_mut().insert("retry-after", seconds);
        response
            .headers_mut()
            .insert("retry-after-ms", HeaderValue::from(ms.max(1)));
    }
    mark(&mut response, id, refused.outcome);
    response
}

fn mark(response: &mut Response, id: RequestId, outcome: Outcome) {
    let id = HeaderValue::from_str(&id.to_string()).expect("ids are ASCII");
    let outcome = HeaderValue::from_static(outcome.as_str());
    response.headers_mut().insert(REQUEST_ID_HEADER, id);
    response.headers_mut().insert(OUTCOME_HEADER, outcome);
}
