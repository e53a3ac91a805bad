//! A caller's request: admitted by the configuration, read whole, and sent on.

use std::sync::atomic::Ordering;
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use berylhook_platform::headers::RequestHead;
use berylhook_traffic::configuration::RetryPolicy;
use berylhook_traffic::retry_after::RetryReason;
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, EXPECT, HOST, HeaderValue};
use hyper::{HeaderMap, Request, Response, Uri};
use tokio::time::timeout;

use crate::connection_headers::strip_connection_headers;
use crate::job::{Job, Record, text};
use crate::responses::{Body, Own, own};
use crate::shared::Shared;
use crate::{plain, streaming};

/// Time for a request's body where the configuration does not say.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Answers a caller's request.
pub(crate) async fn answer(shared: Arc<Shared>, request: Request<Incoming>) -> Response<Body> {
    let arrived = Instant::now();
    let head = RequestHead::read(request.headers());
    let attempt_id = head.attempt_id.clone();

    match admit(&shared, request, head, arrived).await {
        Ok(job) => run(job).await,
        Err(refusal) => {
            log_own(attempt_id.as_ref(), &refusal);
            shared.metrics.count_request(refusal.why.name());
            own(
                refusal.why,
                attempt_id.as_ref(),
                refusal.left,
                RetryReason::Busy,
            )
        }
    }
}

struct Refusal {
    why: Own,
    version: u64,
    left: Duration,
}

fn log_own(attempt_id: Option<&HeaderValue>, refusal: &Refusal) {
    log::info!(
        request = text(attempt_id),
        outcome = refusal.why.name(),
        configuration = refusal.version;
        "not accepted"
    );
}

async fn admit(
    shared: &Arc<Shared>,
    request: Request<Incoming>,
    head: RequestHead,
    arrived: Instant,
) -> Result<Job, Refusal> {
    let client_ms = head.deadline_ms;
    let left = Duration::from_millis(client_ms.unwrap_or(1_000));
    let Some(configuration) = shared.configuration() else {
        return Err(Refusal {
            why: Own::NoConfiguration,
            version: 0,
            left,
        });
    };
    let version = configuration.version;
    let refuse = |why| Refusal { why, version, left };
    let (parts, body) = request.into_parts();
    let host = parts
        .headers
        .get(HOST)
        .and_then(|host| host.to_str().ok())
        .or_else(|| parts.uri.host())
        .unwrap_or_default();
    let route = configuration
        .route(host, parts.uri.path())
        .ok_or_else(|| refuse(Own::NoRoute))?;
    let account = configuration
        .account(route, head.key.as_deref())
        .map_err(|_| refuse(Own::NoAccess))?;
    let service = route
        .service_for(rand::random())
        .ok_or_else(|| refuse(Own::NoRoute))?;
    let body = read_body(body, configuration.limits.max_body_bytes)
        .await
        .map_err(refuse)?;
    let time_ms = client_ms.map_or(route.timeout_ms, |ms| ms.min(route.timeout_ms));
    Ok(Job {
        shared: Arc::clone(shared),
        queue: shared.queue(service),
        route: Arc::clone(route),
        deadline: arrived + Duration::from_millis(time_ms),
        arrived,
        account,
        hides_key: configuration.needs_keys(),
        version,
        method: parts.method,
        path: origin_form(&parts.uri),
        headers: forwarded(parts.headers),
        body,
        digest: OnceLock::new(),
        head,
        record: Record::default(),
    })
}

/// The path and query alone, as targets expect them.
fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().cloned();
    path.map_or_else(|| Uri::from_static("/"), Uri::from)
}

fn forwarded(mut headers: HeaderMap) -> HeaderMap {
    strip_connection_headers(&mut headers);
    // The body is read whole, so its length is known and set anew.
    headers.remove(CONTENT_LENGTH);
    headers.remove(EXPECT);
    headers
}

/// Reads the whole body, so that it can be sent again.
async fn read_body(body: Incoming, max_bytes: usize) -> Result<Bytes, Own> {
    let read = timeout(BODY_TIMEOUT, Limited::new(body, max_bytes).collect()).await;
    match read {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => Err(Own::BodyTooLarge),
        Ok(Err(_)) | Err(_) => Err(Own::BodyIncomplete),
    }
}

async fn run(job: Job) -> Response<Body> {
    job.queue.note_request();
    job.shared.arrivals.fetch_add(1, Ordering::Relaxed);
    match job.route.retry_policy {
        RetryPolicy::Stream { .. } => streaming::run(job).await,
        RetryPolicy::Safe | RetryPolicy::Unsafe => plain::run(job).await,
    }
}
