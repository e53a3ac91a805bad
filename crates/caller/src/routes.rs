//! HTTP routes and the validation of requests.

use std::sync::Arc;
use std::time::{Duration, Instant};

use berylhook_core::ids::RequestId;
use berylhook_ingress::{
    BufferError, BufferKind, ConnectionGuard, MemoryAccount, Phase, ReadError, read_body,
};
use berylhook_operator::{Account, Catalogue, Entry, EntryKind};
use bytes::Bytes;
use futures_util::TryStreamExt;
use http_body_util::StreamBody;
use hyper::body::Frame;
use poem::http::header::{CONNECTION, CONTENT_LENGTH, HeaderValue};
use poem::http::{HeaderMap, StatusCode};
use poem::{Endpoint, EndpointExt, Request, Response, Route, get, handler, web::Data};
use serde::Deserialize;

use crate::auth::authenticate;
use crate::error_response::{ErrorReason, ErrorResponse};
use crate::gateway::{Call, Gateway};
use crate::idempotency::IdempotencyKey;
use crate::response::{from_call_response, from_error};

/// Maximum size of a request body.
pub const MAX_BODY_BYTES: usize = 4 << 20;

/// Longest time from the head of a request to the end of its body.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Time after which a caller is told to return when there is no room for its body.
const NO_MEMORY_RETRY_MS: u64 = 1_000;

/// Paths whose body names the entry in `model`.
const MODEL_PATHS: [&str; 2] = ["/v1/chat/completions", "/v1/completions"];

/// Headers that are meant for this process or apply only to the caller's connection. They are not
/// forwarded to targets.
const STRIPPED_HEADERS: [&str; 11] = [
    "authorization",
    "connection",
    "content-length",
    "expect",
    "host",
    "idempotency-key",
    "keep-alive",
    "berylhook-deadline-ms",
    "transfer-encoding",
    "upgrade",
    "x-request-id",
];

type SharedGateway = Arc<dyn Gateway>;

/// Builds the HTTP application that serves requests through `gateway`. Their bodies count towards
/// `memory`. Each request has its [`ConnectionGuard`] among its extensions.
#[must_use]
pub fn app(gateway: SharedGateway, memory: Arc<MemoryAccount>) -> impl Endpoint {
    Route::new()
        .at("/healthz", get(healthz))
        .at("/readyz", get(readyz))
        .at("/v1/models", get(models))
        .at("/*", proxy)
        .data(gateway)
        .data(memory)
}

/// Liveness check: succeeds as long as the process runs.
#[handler]
fn healthz() -> &'static str {
    "ok\n"
}

/// Readiness check for the platform's load balancer.
#[handler]
fn readyz(Data(gateway): Data<&SharedGateway>) -> Response {
    if gateway.should_receive_traffic() {
        return Response::from("ready\n");
    }
    Response::builder()
        .status(StatusCode::SERVICE_UNAVAILABLE)
        .body("not ready\n")
}

/// Lists the models that the account may call.
#[handler]
fn models(request: &Request, Data(gateway): Data<&SharedGateway>) -> Response {
    let id = gateway.issue_id();
    let catalogue = gateway.catalogue();
    let account = match authenticate(&catalogue, request.headers()) {
        Ok(account) => account,
        Err(error) => return from_error(id, &error),
    };
    let data: Vec<_> = catalogue
        .entries
        .values()
        .filter(|entry| entry.kind == EntryKind::Model && account.entries.contains(&entry.name))
        .map(|entry| serde_json::json!({"id": entry.name, "object": "model", "owned_by": entry.owner}))
        .collect();
    let body = serde_json::json!({"object": "list", "data": data});
    Response::builder()
        .content_type("application/json")
        .body(body.to_string())
}

#[handler]
async fn proxy(
    request: &Request,
    body: poem::Body,
    Data(gateway): Data<&SharedGateway>,
    Data(memory): Data<&Arc<MemoryAccount>>,
    Data(connection): Data<&Arc<ConnectionGuard>>,
) -> Response {
    let id = gateway.issue_id();
    let body = RequestBody {
        body,
        memory,
        connection,
    };
    let call = match validate_request(id, request, body, gateway).await {
        Ok(call) => call,
        Err(error) => return from_unread(id, &error, connection),
    };
    connection.set_phase(Phase::Request, Instant::now());
    match gateway.call(call).await {
        Ok(response) => from_call_response(id, response),
        Err(error) => from_error(id, &error),
    }
}

async fn validate_request(
    id: RequestId,
    request: &Request,
    body: RequestBody<'_>,
    gateway: &SharedGateway,
) -> Result<Call, ErrorResponse> {
    if !gateway.is_ready() {
        let message = "this process does not take requests at present; ask another one";
        return Err(
            ErrorResponse::not_run(ErrorReason::NotReady, message).with_retry_after_ms(1_000)
        );
    }
    let catalogue = gateway.catalogue();
    let headers = request.headers();
    let account = authenticate(&catalogue, headers)?;
    let body = read_whole_body(headers, &account.name, body).await?;
    let EntryMatch { entry, is_stream } = find_entry(&catalogue, request.uri().path(), &body)?;
    check_access(account, entry)?;
    let path = request
        .uri()
        .path_and_query()
        .map_or("/", |path| path.as_str());
    Ok(Call {
        id,
        account: account.clone(),
        entry: entry.clone(),
        method: request.method().as_str().to_owned(),
        path: path.to_owned(),
        headers: forwarded_headers(headers),
        body,
        is_stream,
        idempotency_key: parse_idempotency_key(headers)?,
        deadline_ms: parse_deadline(headers, entry)?,
    })
}

/// The body of a request that is not read yet.
struct RequestBody<'a> {
    body: poem::Body,
    memory: &'a Arc<MemoryAccount>,
    connection: &'a ConnectionGuard,
}

async fn read_whole_body(
    headers: &HeaderMap,
    account: &Arc<str>,
    body: RequestBody<'_>,
) -> Result<Bytes, ErrorResponse> {
    let max_bytes = match announced_bytes(headers) {
        Some(bytes) if bytes > MAX_BODY_BYTES => return Err(body_too_large()),
        announced_bytes => announced_bytes.unwrap_or(MAX_BODY_BYTES),
    };
    let owner = Some(Arc::clone(account));
    let memory = body.memory;
    let buffer = memory.open(BufferKind::Request, owner, max_bytes, Instant::now());
    let frames = body.body.into_bytes_stream().map_ok(Frame::data);
    let frames = StreamBody::new(Box::pin(frames));
    let read = read_body(frames, buffer, Some(body.connection), BODY_TIMEOUT).await;
    read.map_err(|error| match error {
        ReadError::Buffer(BufferError::TooLong) => body_too_large(),
        ReadError::Buffer(error) => {
            ErrorResponse::not_run(ErrorReason::NoMemory, error.to_string())
                .with_retry_after_ms(NO_MEMORY_RETRY_MS)
        }
        ReadError::Incomplete => {
            ErrorResponse::not_run(ErrorReason::BodyIncomplete, error.to_string())
        }
    })
}

/// The length that the caller announces; `None` for a body in chunks.
fn announced_bytes(headers: &HeaderMap) -> Option<usize> {
    let length = headers.get(CONTENT_LENGTH)?;
    length.to_str().ok()?.parse().ok()
}

fn body_too_large() -> ErrorResponse {
    let message = format!("the body is too large; send at most {MAX_BODY_BYTES} bytes");
    ErrorResponse::not_run(ErrorReason::BodyTooLarge, message)
}

/// Refuses a request of which a part may not have been read.
fn from_unread(id: RequestId, error: &ErrorResponse, connection: &ConnectionGuard) -> Response {
    let mut response = from_error(id, error);
    connection.on_unread_body();
    if error.reason.leaves_body_unread() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

/// The fields of a model request that select the entry and the way of delivery.
#[derive(Deserialize)]
struct ModelRequest {
    model: String,
    #[serde(default)]
    stream: bool,
}

/// The entry that a request is for.
struct EntryMatch<'a> {
    entry: &'a Entry,
    is_stream: bool,
}

fn find_entry<'a>(
    catalogue: &'a Catalogue,
    path: &str,
    body: &Bytes,
) -> Result<EntryMatch<'a>, ErrorResponse> {
    if !MODEL_PATHS.contains(&path) {
        let entry = catalogue.entry_for_path(path).ok_or_else(|| {
            let message = format!("nothing is served at {path}; check the path");
            ErrorResponse::not_run(ErrorReason::UnknownEntry, message)
        })?;
        return Ok(EntryMatch {
            entry,
            is_stream: false,
        });
    }
    let request: ModelRequest = serde_json::from_slice(body).map_err(|error| {
        let message = format!("the body is no request with a `model`: {error}");
        ErrorResponse::not_run(ErrorReason::MalformedJson, message)
    })?;
    let entry = catalogue
        .entries
        .get(request.model.as_str())
        .filter(|entry| entry.kind == EntryKind::Model)
        .ok_or_else(|| {
            let message = format!(
                "there is no model `{}`; GET /v1/models lists yours",
                request.model
            );
            ErrorResponse::not_run(ErrorReason::UnknownEntry, message)
        })?;
    Ok(EntryMatch {
        entry,
        is_stream: request.stream,
    })
}

fn check_access(account: &Account, entry: &Entry) -> Result<(), ErrorResponse> {
    if account.entries.contains(&entry.name) {
        return Ok(());
    }
    let message = format!(
        "account {} may not use {}; ask its owner {}",
        account.name, entry.name, entry.owner
    );
    Err(ErrorResponse::not_run(ErrorReason::NotAllowed, message))
}

fn parse_idempotency_key(headers: &HeaderMap) -> Result<Option<IdempotencyKey>, ErrorResponse> {
    let Some(value) = headers.get("idempotency-key") else {
        return Ok(None);
    };
    let text = value.to_str().unwrap_or_default();
    IdempotencyKey::parse(text)
        .map(Some)
        .map_err(|error| ErrorResponse::not_run(ErrorReason::BadHeader, error.to_string()))
}

/// Returns the deadline of a request. A caller may shorten the entry's deadline but not extend it.
fn parse_deadline(headers: &HeaderMap, entry: &Entry) -> Result<u64, ErrorResponse> {
    let Some(value) = headers.get("berylhook-deadline-ms") else {
        return Ok(entry.deadline_ms);
    };
    let requested_ms: Option<u64> = value.to_str().ok().and_then(|text| text.parse().ok());
    match requested_ms {
        Some(0) => {
            let message = "the deadline had passed when the request arrived";
            Err(ErrorResponse::not_run(
                ErrorReason::DeadlineExceeded,
                message,
            ))
        }
        Some(ms) => Ok(ms.min(entry.deadline_ms)),
        None => {
            let message = "berylhook-deadline-ms: write a whole number of milliseconds";
            Err(ErrorResponse::not_run(ErrorReason::BadHeader, message))
        }
    }
}

fn forwarded_headers(headers: &HeaderMap) -> Vec<(String, Bytes)> {
    headers
        .iter()
        .filter(|(name, _)| !STRIPPED_HEADERS.contains(&name.as_str()))
        .map(|(name, value)| {
            let value = Bytes::copy_from_slice(value.as_bytes());
            (name.as_str().to_owned(), value)
        })
        .collect()
}
