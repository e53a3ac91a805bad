//! What the head of a target's answer to a stream means.

use berylhook_traffic::dispatch::Load;
use berylhook_traffic::health::HealthSample;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::header::CONTENT_LENGTH;
use hyper::{HeaderMap, Response, StatusCode};

use crate::call::{Answer, Link, SendResult};
use crate::connection_headers::strip_connection_headers;
use crate::responses::{Body, promises_not_run, whole};

/// Largest answer of a target that refuses or fails a stream.
const MAX_FAILURE_BYTES: usize = 1 << 20;

/// The beginning of a stream.
pub(super) struct Stream {
    pub(super) body: Incoming,
    pub(super) load: Option<Load>,
    pub(super) link: Link,
    pub(super) headers: HeaderMap,
    pub(super) status: StatusCode,
}

/// What a target's answer begins with.
pub(super) enum Head {
    /// A stream.
    Streams(Stream),
    /// A failure of its own.
    Failed(Box<Response<Body>>),
    /// Nothing that could be passed on.
    Nothing,
}

/// What one send came to.
pub(super) struct Judged {
    pub(super) head: Head,
    pub(super) result: SendResult,
}

impl Judged {
    pub(super) fn failed(result: SendResult) -> Self {
        Self {
            head: Head::Nothing,
            result,
        }
    }

    /// What it says of the target. A refusal is common where a whole group
    /// refuses, and says nothing of one rank.
    pub(super) fn evidence(&self) -> Option<HealthSample> {
        let is_refusal = matches!(self.result, SendResult::NotRun | SendResult::AsksForRest);
        (!is_refusal).then_some(HealthSample::Failure)
    }
}

/// What a target's answer means.
pub(super) async fn judge(answer: Answer) -> Judged {
    let status = answer.response.status();
    if answer.head.is_not_run {
        return Judged::failed(SendResult::of_refusal(status, &answer.head));
    }
    let is_genuine = answer.head.is_sealed && !answer.head.is_encoded;
    if !is_genuine || promises_not_run(status) {
        return Judged::failed(SendResult::BrokenAnswer);
    }
    let (parts, body) = answer.response.into_parts();
    let mut headers = parts.headers;
    strip_connection_headers(&mut headers);
    if !status.is_success() {
        return failure(status, headers, body).await;
    }
    // A run at another target may make the answer longer or shorter.
    headers.remove(CONTENT_LENGTH);
    Judged {
        head: Head::Streams(Stream {
            body,
            load: answer.head.load,
            link: answer.link,
            headers,
            status,
        }),
        result: SendResult::Streams,
    }
}

/// A failure of the target's own, if it comes whole.
async fn failure(status: StatusCode, headers: HeaderMap, body: Incoming) -> Judged {
    match Limited::new(body, MAX_FAILURE_BYTES).collect().await {
        Ok(body) => Judged {
            head: Head::Failed(Box::new(whole(status, headers, body.to_bytes()))),
            result: SendResult::Failed,
        },
        Err(_) => Judged::failed(SendResult::BrokenAnswer),
    }
}
