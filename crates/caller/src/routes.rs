//! The HTTP paths.

use std::sync::Arc;

use berylhook_core::ids::RequestId;
use berylhook_operator::{Account, Catalogue, Entry, EntryKind};
use bytes::Bytes;
use poem::http::{HeaderMap, StatusCode};
use poem::{Endpoint, EndpointExt, Request, Response, Route, get, handler, web::Data};
use serde::Deserialize;

use crate::answer::{from_refused, from_reply};
use crate::auth::authenticate;
use crate::gateway::{Call, Gateway};
use crate::idempotency::IdempotencyKey;
use crate::refused::{ErrorReason, ErrorResponse};

/// Largest request body.
pub const MAX_BODY_BYTES: usize = 4 << 20;

/// Paths whose body names the entry in `model`.
const MODEL_PATHS: [&str; 2] = ["/v1/chat/completions", "/v1/completions"];

/// Headers that are the caller's business with us, or belong to its
/// connection; targets do not see them.
const OWN_HEADERS: [&str; 11] = [
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

/// The HTTP application in front of `gateway`.
#[must_use]
pub fn app(gateway: SharedGateway) -> impl Endpoint {
    Route::new()
        .at("/healthz", get(healthz))
        .at("/readyz", get(readyz))
        .at("/v1/models", get(models))
        .at("/*", any)
        .data(gateway)
}

/// The process runs.
#[handler]
fn healthz() -> &'static str {
    "ok\n"
}

/// The process wants requests.
#[handler]
fn readyz(Data(gateway): Data<&SharedGateway>) -> Response {
    if gateway.should_receive_traffic() {
        return Response::from("ready\n");
    }
    Response::builder()
        .status(StatusCode::SERVICE_UNAVAILABLE)
        .body("not ready\n")
}

/// The models this account may use.
#[handler]
fn models(request: &Request, Data(gateway): Data<&SharedGateway>) -> Response {
    let id = gateway.issue_id();
    let catalogue = gateway.catalogue();
    let account = match authenticate(&catalogue, request.headers()) {
        Ok(account) => account,
        Err(refused) => return from_refused(id, &refused),
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
async fn any(request: &Request, body: poem::Body, Data(gateway): Data<&SharedGateway>) -> Response {
    let id = gateway.issue_id();
    let call = match checked_call(id, request, body, gateway).await {
        Ok(call) => call,
        Err(refused) => return from_refused(id, &refused),
    };
    match gateway.call(call).await {
        Ok(reply) => from_reply(id, reply),
        Err(refused) => from_refused(id, &refused),
    }
}

async fn checked_call(
    id: RequestId,
    request: &Request,
    body: poem::Body,
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
    let body = read_body(body).await?;
    let Found { entry, is_stream } = find_entry(&catalogue, request.uri().path(), &body)?;
    check_allowed(account, entry)?;
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
        headers: passed_on(headers),
        body,
        is_stream,
        idempotency_key: read_key(headers)?,
        deadline_ms: read_deadline(headers, entry)?,
    })
}

async fn read_body(body: poem::Body) -> Result<Bytes, ErrorResponse> {
    body.into_bytes_limit(MAX_BODY_BYTES)
        .await
        .map_err(|error| {
            let message = format!("{error}; send at most {MAX_BODY_BYTES} bytes");
            ErrorResponse::not_run(ErrorReason::BodyTooLarge, message)
        })
}

/// The part of a model request that decides where it goes.
#[derive(Deserialize)]
struct ModelRequest {
    model: String,
    #[serde(default)]
    stream: bool,
}

/// Where a request goes.
struct Found<'a> {
    entry: &'a Entry,
    is_stream: bool,
}

fn find_entry<'a>(
    catalogue: &'a Catalogue,
    path: &str,
    body: &Bytes,
) -> Result<Found<'a>, ErrorResponse> {
    if !MODEL_PATHS.contains(&path) {
        let entry = catalogue.entry_for_path(path).ok_or_else(|| {
            let message = format!("nothing is served at {path}; check the path");
            ErrorResponse::not_run(ErrorReason::UnknownEntry, message)
        })?;
        return Ok(Found {
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
    Ok(Found {
        entry,
        is_stream: request.stream,
    })
}

fn check_allowed(account: &Account, entry: &Entry) -> Result<(), ErrorResponse> {
    if account.entries.contains(&entry.name) {
        return Ok(());
    }
    let message = format!(
        "account {} may not use {}; ask its owner {}",
        account.name, entry.name, entry.owner
    );
    Err(ErrorResponse::not_run(ErrorReason::NotAllowed, message))
}

fn read_key(headers: &HeaderMap) -> Result<Option<IdempotencyKey>, ErrorResponse> {
    let Some(value) = headers.get("idempotency-key") else {
        return Ok(None);
    };
    let text = value.to_str().unwrap_or_default();
    IdempotencyKey::parse(text)
        .map(Some)
        .map_err(|error| ErrorResponse::not_run(ErrorReason::BadHeader, error.to_string()))
}

/// A caller may shorten the entry's deadline, not extend it.
fn read_deadline(headers: &HeaderMap, entry: &Entry) -> Result<u64, ErrorResponse> {
    let Some(value) = headers.get("berylhook-deadline-ms") else {
        return Ok(entry.deadline_ms);
    };
    let asked: Option<u64> = value.to_str().ok().and_then(|text| text.parse().ok());
    match asked {
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

fn passed_on(headers: &HeaderMap) -> Vec<(String, Bytes)> {
    headers
        .iter()
        .filter(|(name, _)| !OWN_HEADERS.contains(&name.as_str()))
        .map(|(name, value)| {
            let value = Bytes::copy_from_slice(value.as_bytes());
            (name.as_str().to_owned(), value)
        })
        .collect()
}
