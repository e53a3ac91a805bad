//! Admission of a caller's request: the configuration selects its service, and its body is read
//! completely.

use std::pin::pin;
use std::sync::atomic::Ordering;
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use berylhook_ingress::{BufferError, BufferKind, ConnectionGuard, Phase, ReadError, read_body};
use berylhook_platform::headers::RequestHead;
use berylhook_traffic::configuration::{ClientAccount, RetryPolicy};
use berylhook_traffic::shutdown::{RequestProgress, StopDecision};
use bytes::Bytes;
use futures_util::FutureExt;
use hyper::body::{Body as _, Incoming};
use hyper::header::{CONNECTION, CONTENT_LENGTH, EXPECT, HOST, HeaderValue};
use hyper::{HeaderMap, Request, Response, Uri};

use crate::connection_headers::strip_connection_headers;
use crate::job::{Job, RequestRecord, attempt_id_text};
use crate::responses::{Body, LocalError, local_error_response};
use crate::shared::Shared;
use crate::{plain, streaming};

/// Timeout for reading a request body; the configuration has no setting for it.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Handles a caller's request.
pub(crate) async fn handle(
    shared: Arc<Shared>,
    place: &ConnectionGuard,
    request: Request<Incoming>,
) -> Response<Body> {
    let arrived = Instant::now();
    let head = RequestHead::read(request.headers());
    let attempt_id = head.attempt_id.clone();

    let has_body = !request.body().is_end_stream();

    place.set_phase(Phase::Body, arrived);
    let admitted = admit(&shared, place, request, head, arrived).await;
    match admitted {
        Ok(job) => {
            place.set_phase(Phase::Request, Instant::now());
            serve_until_stop(job).await
        }
        Err(refusal) => {
            place.set_phase(Phase::Request, Instant::now());
            log_refusal(attempt_id.as_ref(), &refusal);
            shared.metrics.count_request(refusal.reason.name());
            let mut response = local_error_response(
                refusal.reason,
                attempt_id.as_ref(),
                refusal.remaining,
                refusal.reason.retry_reason(),
            );
            if has_body && refusal.reason != LocalError::Stopping {
                place.on_unread_body();
            }
            if refusal.reason.leaves_body_unread() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            response
        }
    }
}

struct Refusal {
    reason: LocalError,
    configuration_version: u64,
    remaining: Duration,
}

fn log_refusal(attempt_id: Option<&HeaderValue>, refusal: &Refusal) {
    log::info!(
        request = attempt_id_text(attempt_id),
        outcome = refusal.reason.name(),
        configuration = refusal.configuration_version;
        "request not admitted"
    );
}

async fn admit(
    shared: &Arc<Shared>,
    place: &ConnectionGuard,
    request: Request<Incoming>,
    head: RequestHead,
    arrived: Instant,
) -> Result<Job, Refusal> {
    let caller_timeout_ms = head.deadline_ms;
    let remaining = Duration::from_millis(caller_timeout_ms.unwrap_or(1_000));
    let known_configuration = shared.configuration();
    // Without the set of evacuated data centres, no target may get a request.
    let Some(configuration) = known_configuration.filter(|_| shared.knows_evacuated()) else {
        return Err(Refusal {
            reason: LocalError::NoConfiguration,
            configuration_version: 0,
            remaining,
        });
    };
    let configuration_version = configuration.version;
    let refuse = |reason| Refusal {
        reason,
        configuration_version,
        remaining,
    };
    let (parts, body) = request.into_parts();
    let host = parts
        .headers
        .get(HOST)
        .and_then(|host| host.to_str().ok())
        .or_else(|| parts.uri.host())
        .unwrap_or_default();
    let route = configuration
        .route(host, parts.uri.path())
        .ok_or_else(|| refuse(LocalError::NoRoute))?;
    let account = configuration
        .account(route, head.api_key.as_deref())
        .map_err(|_| refuse(LocalError::NoAccess))?;
    let service = route
        .service_for(rand::random())
        .ok_or_else(|| refuse(LocalError::NoRoute))?;
    let allowed_regions = shared.regions.allowed(
        route.allowed_regions.as_deref(),
        account
            .as_ref()
            .and_then(|account| account.allowed_regions.as_deref()),
    );
    let max_bytes = configuration.limits.max_body_bytes;
    let body = read_whole_body(shared, place, account.as_deref(), body, max_bytes)
        .await
        .map_err(refuse)?;
    // Checked last: a response before the end of the body would be lost with the rest of it.
    if shared.stage.borrow().decide(RequestProgress::NotRun) != StopDecision::Continue {
        return Err(refuse(LocalError::Stopping));
    }
    let timeout_ms = caller_timeout_ms.map_or(route.timeout_ms, |ms| ms.min(route.timeout_ms));
    Ok(Job {
        shared: Arc::clone(shared),
        queue: shared.queue_or_create(service),
        route: Arc::clone(route),
        deadline: arrived + Duration::from_millis(timeout_ms),
        arrived,
        urgency: configuration.urgency(service, route, account.as_deref()),
        account,
        allowed_regions,
        strips_key: configuration.needs_keys(),
        configuration_version,
        method: parts.method,
        path: origin_form(&parts.uri),
        headers: forwarded_headers(parts.headers),
        body,
        digest: OnceLock::new(),
        head,
        record: Arc::new(RequestRecord::default()),
    })
}

/// The path and query only, the form in which targets expect them.
fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().cloned();
    path.map_or_else(|| Uri::from_static("/"), Uri::from)
}

fn forwarded_headers(mut headers: HeaderMap) -> HeaderMap {
    strip_connection_headers(&mut headers);
    // The HTTP client sets the length anew, as the body is in memory.
    headers.remove(CONTENT_LENGTH);
    headers.remove(EXPECT);
    headers
}

/// Reads the complete body, so that it can be sent again.
async fn read_whole_body(
    shared: &Shared,
    place: &ConnectionGuard,
    account: Option<&ClientAccount>,
    body: Incoming,
    max_bytes: usize,
) -> Result<Bytes, LocalError> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let length = body.size_hint().exact().map(usize::try_from);
    let max_bytes = match length {
        Some(Ok(length)) if length <= max_bytes => length,
        Some(_) => return Err(LocalError::BodyTooLarge),
        None => max_bytes,
    };
    let owner = account.map(|account| Arc::clone(&account.name));
    let memory = &shared.memory;
    let buffer = memory.open(BufferKind::Request, owner, max_bytes, Instant::now());
    let read = read_body(body, buffer, Some(place), BODY_TIMEOUT).await;
    read.map_err(|error| match error {
        ReadError::Buffer(BufferError::TooLong) => LocalError::BodyTooLarge,
        ReadError::Buffer(BufferError::NoMemory | BufferError::GivenUp) => LocalError::NoMemory,
        ReadError::Incomplete => LocalError::BodyIncomplete,
    })
}

/// Serves the request; if the entry stops before there is a response, the request gets its final
/// one as soon as it cannot be served to its end.
async fn serve_until_stop(job: Job) -> Response<Body> {
    let shared = Arc::clone(&job.shared);
    let record = Arc::clone(&job.record);
    let attempt_id = job.head.attempt_id.clone();
    let deadline = job.deadline;
    let mut stage = shared.stage.subscribe();
    let mut serving = pin!(serve(job));
    let reason = loop {
        let decision = stage.borrow_and_update().decide(record.progress());
        match decision {
            StopDecision::Continue => {}
            StopDecision::Reject => break LocalError::Stopping,
            StopDecision::GiveUp => break LocalError::ResponseLost,
        }
        tokio::select! {
            response = &mut serving => return response,
            // The sender lives as long as `shared`.
            _ = stage.changed() => {}
        }
    };
    // A response may have become ready together with the next stage.
    if let Some(response) = serving.as_mut().now_or_never() {
        return response;
    }
    record.end_by_stop(reason);
    let remaining = deadline.saturating_duration_since(Instant::now());
    local_error_response(
        reason,
        attempt_id.as_ref(),
        remaining,
        reason.retry_reason(),
    )
}

async fn serve(job: Job) -> Response<Body> {
    job.queue.record_request();
    job.shared.arrival_count.fetch_add(1, Ordering::Relaxed);
    match job.route.retry_policy {
        RetryPolicy::Stream { .. } => streaming::serve(job).await,
        RetryPolicy::Safe | RetryPolicy::Unsafe => plain::serve(job).await,
    }
}
