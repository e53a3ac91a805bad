//! Sends one request to one target, over a new connection.
//!
//! A pooled connection may have been closed, may no longer carry data although it is open, or may
//! still deliver a second response to an earlier request. None of this can be detected before the
//! request is written. Afterwards it is unknown whether the request ran, so one that must not be
//! repeated could not be sent again. A new connection costs one round trip and avoids these cases,
//! so connections are not pooled.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use berylhook_backpressure::gate::WithheldReason;
use berylhook_ingress::{Buffer, read_response_body};
use berylhook_platform::headers::{ResponseHead, is_other_incarnation};
use berylhook_quarantine::QuarantineRejection;
use berylhook_response_head::{BodyEnd, HeadLimit, HeadLimited, body_end};
use berylhook_traffic::retry_budget::SendHistory;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::header::HeaderValue;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// A connection within a region opens in a few milliseconds. TCP retransmits a lost SYN after a
/// second; trying another target is faster.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// If the bytes of an entry's own request are not acknowledged for this long, the target's VM is
/// cut off or has lost power.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Idle time before the first TCP keepalive probe, and between two probes.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);

/// Why a request to a target got no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallError {
    /// The connection could not be opened; nothing was sent.
    NotConnected,
    /// The target's address refused the connection; nothing was sent.
    ConnectionRefused,
    /// The quarantine rejected the request; nothing was sent.
    Quarantined(QuarantineRejection),
    /// The target's admission gate withheld the request; nothing was sent.
    Withheld(WithheldReason),
    /// The request may have run: the connection failed, or the response belonged to another one.
    Unknown,
    /// The request may have run: the head of the response cannot be believed.
    InvalidHead,
}

/// The result of sending a request to one target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SendResult {
    /// The target returned a complete response.
    Completed,
    /// The target started a stream.
    StreamStarted,
    /// The target returned an error response.
    ErrorResponse,
    /// The connection could not be opened.
    NotConnected,
    /// The target's address refused the connection: its process has exited.
    ConnectionRefused,
    /// The quarantine rejected the request; nothing was sent.
    Quarantined,
    /// The target's admission gate withheld the request; nothing was sent.
    Withheld,
    /// The target reported that it did not run the request.
    NotRun,
    /// The target reported that it did not run the request, and asked this entry for a backoff.
    BackoffRequested,
    /// Another incarnation listens at the target's address.
    OtherIncarnation,
    /// The connection failed, or the response belonged to another request.
    ResponseLost,
    /// The response was not genuine, its head cannot be believed, or it was truncated.
    InvalidResponse,
    /// No response arrived in time.
    NoResponse,
    /// The stream ended before it was complete.
    StreamInterrupted,
    /// An earlier run of the stream went on first.
    Superseded,
}

impl SendResult {
    /// The name in logs and metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Completed => "answered",
            Self::StreamStarted => "streams",
            Self::ErrorResponse => "failed",
            Self::NotConnected => "not-connected",
            Self::ConnectionRefused => "connection-refused",
            Self::Quarantined => "held-back",
            Self::Withheld => "withheld",
            Self::NotRun => "not-run",
            Self::BackoffRequested => "asks-for-rest",
            Self::OtherIncarnation => "other-incarnation",
            Self::ResponseLost => "answer-lost",
            Self::InvalidResponse => "broken-answer",
            Self::NoResponse => "silent",
            Self::StreamInterrupted => "broke-off",
            Self::Superseded => "superseded",
        }
    }

    /// Whether any part of the request was sent to the target.
    pub(crate) fn was_sent(self) -> bool {
        !matches!(
            self,
            Self::NotConnected | Self::ConnectionRefused | Self::Quarantined | Self::Withheld
        )
    }

    /// Adds the send to those of its request.
    pub(crate) fn record_in(self, history: &mut SendHistory) {
        match self {
            Self::Quarantined | Self::Withheld => history.on_withheld(),
            Self::NotConnected | Self::ConnectionRefused => history.on_not_connected(),
            _ => history.on_arrived(),
        }
    }

    /// Whether the target may have run the request, and its outcome is unknown.
    pub(crate) fn is_outcome_unknown(self) -> bool {
        matches!(
            self,
            Self::ResponseLost | Self::InvalidResponse | Self::StreamInterrupted | Self::Superseded
        )
    }

    /// Whether the target may have run the request.
    pub(crate) fn may_have_run(self) -> bool {
        !matches!(
            self,
            Self::NotConnected
                | Self::ConnectionRefused
                | Self::Quarantined
                | Self::Withheld
                | Self::NotRun
                | Self::BackoffRequested
                | Self::OtherIncarnation
        )
    }
}

impl SendResult {
    /// Classifies a response in which the target reports that it did not run the request.
    pub(crate) fn from_not_run(status: StatusCode, head: &ResponseHead) -> Self {
        match head.signal.backoff_ms {
            _ if is_other_incarnation(status.as_u16()) => Self::OtherIncarnation,
            Some(backoff_ms) if backoff_ms > 0 => Self::BackoffRequested,
            Some(_) | None => Self::NotRun,
        }
    }
}

impl From<CallError> for SendResult {
    fn from(error: CallError) -> Self {
        match error {
            CallError::NotConnected => Self::NotConnected,
            CallError::ConnectionRefused => Self::ConnectionRefused,
            CallError::Quarantined(_) => Self::Quarantined,
            CallError::Withheld(_) => Self::Withheld,
            CallError::Unknown => Self::ResponseLost,
            CallError::InvalidHead => Self::InvalidResponse,
        }
    }
}

/// The driver task of one connection. Dropping it closes the connection, which cancels the
/// request at the target.
pub(crate) struct ConnectionGuard(JoinHandle<()>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// The head of a target's response, with its body still to be read.
pub(crate) struct TargetResponse {
    pub(crate) http: Response<Incoming>,
    pub(crate) body_end: BodyEnd,
    pub(crate) head: ResponseHead,
    pub(crate) connection: ConnectionGuard,
}

/// Reads a body that can be forwarded only if it is complete; `None` if it is not.
pub(crate) async fn read_whole_body(
    body: Incoming,
    body_end: BodyEnd,
    buffer: Buffer,
) -> Option<Bytes> {
    let body = read_response_body(body, buffer).await.ok()?;
    let is_cut = body_end == BodyEnd::Connection && body.is_empty();
    (!is_cut).then_some(body)
}

impl TargetResponse {
    /// Whether the intended incarnation responded, and not another one at the same address.
    pub(crate) fn is_from_expected_incarnation(&self) -> bool {
        !is_other_incarnation(self.http.status().as_u16())
    }
}

/// Sends the request, which may run for `max_run`, and waits for the response head.
///
/// TCP keeps the connection for that long although nothing is acknowledged, also after it was
/// closed: the path to the target may be cut for some seconds, and only a close that arrives later
/// cancels the request there. Silent targets are detected by their missing responses instead.
///
/// Called only by [`Job::exchange`](crate::job::Job::exchange), after the check in
/// [`Job::begin_run`](crate::job::Job::begin_run) that the request may be sent.
pub(crate) async fn send(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    max_run: Duration,
) -> Result<TargetResponse, CallError> {
    let attempt_id = request
        .headers()
        .get(berylhook_platform::headers::ATTEMPT_ID)
        .cloned();
    let unacknowledged_timeout = max_run.max(UNACKNOWLEDGED_TIMEOUT);
    let (mut sender, limit, connection) = connect(address, unacknowledged_timeout).await?;
    let response = match sender.try_send_request(request).await {
        Ok(response) => response,
        Err(error) if error.message().is_some() => return Err(CallError::NotConnected),
        Err(error) => return Err(response_error(address, attempt_id.as_ref(), error.error())),
    };
    limit.lift();
    let body_end =
        body_end(&response).map_err(|error| invalid_head(address, attempt_id.as_ref(), &error))?;
    let head = ResponseHead::read(response.status().as_u16(), response.headers());
    // A response to another request can arrive on this connection.
    if head.attempt_id == attempt_id || head.is_not_run {
        Ok(TargetResponse {
            http: response,
            body_end,
            head,
            connection,
        })
    } else {
        Err(CallError::Unknown)
    }
}

/// Sends a request of the entry's own, such as a health check, and waits for the response head.
/// The connection closes when the returned guard is dropped.
///
/// Not for callers' requests: it does not verify that the response belongs to the request.
pub(crate) async fn send_unverified(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<(Response<Incoming>, ConnectionGuard), CallError> {
    let (mut sender, limit, connection) = connect(address, UNACKNOWLEDGED_TIMEOUT).await?;
    let response = sender.send_request(request).await;
    let response = response.map_err(|error| response_error(address, None, &error))?;
    limit.lift();
    body_end(&response).map_err(|error| invalid_head(address, None, &error))?;
    Ok((response, connection))
}

fn response_error(
    address: SocketAddr,
    attempt_id: Option<&HeaderValue>,
    error: &hyper::Error,
) -> CallError {
    if error.is_parse() {
        invalid_head(address, attempt_id, error)
    } else {
        CallError::Unknown
    }
}

fn invalid_head(
    address: SocketAddr,
    attempt_id: Option<&HeaderValue>,
    reason: &dyn std::error::Error,
) -> CallError {
    let request = attempt_id.and_then(|id| id.to_str().ok());
    log::warn!(address:%, request, reason:%; "the head of a target's response is not valid");
    CallError::InvalidHead
}

async fn connect(
    address: SocketAddr,
    unacknowledged_timeout: Duration,
) -> Result<(SendRequest<Full<Bytes>>, HeadLimit, ConnectionGuard), CallError> {
    let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    let stream = match connecting.await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
            return Err(CallError::ConnectionRefused);
        }
        Ok(Err(_)) | Err(_) => return Err(CallError::NotConnected),
    };
    if let Err(error) = set_options(&stream, unacknowledged_timeout) {
        log::warn!(reason:% = error; "the socket options of a connection could not be set");
    }
    let limit = HeadLimit::default();
    let stream = HeadLimited::new(stream, address, limit.clone());
    let Ok((sender, driver)) = handshake(TokioIo::new(stream)).await else {
        return Err(CallError::NotConnected);
    };
    let driver = tokio::spawn(async move {
        // The error of the connection also reaches the pending request.
        let _ = driver.await;
    });
    Ok((sender, limit, ConnectionGuard(driver)))
}

fn set_options(stream: &TcpStream, unacknowledged_timeout: Duration) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(unacknowledged_timeout))?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_IDLE)
        .with_retries(2);
    socket.set_tcp_keepalive(&keepalive)
}
