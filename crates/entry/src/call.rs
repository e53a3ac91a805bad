//! One request to one target, over a connection of its own.
//!
//! A kept connection may have been closed, may have gone silent, or may still
//! hold a second answer to an earlier request, and none of that shows before
//! the request is written. For a request that must not be repeated it is then
//! too late: nobody knows whether it ran. A fresh connection costs one round
//! trip and has none of these doubts, so connections are not kept.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use berylhook_backpressure::gate::WithheldReason;
use berylhook_platform::headers::{AnswerHead, is_other_incarnation};
use berylhook_quarantine::QuarantineRejection;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// A connection within a region is open in a few milliseconds. A lost first
/// packet is sent again after a second; another target answers sooner.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Bytes that are not acknowledged for this long were sent to a VM that is cut
/// off or without power.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1_500);

/// A connection without traffic is probed after this long, so that a target
/// that lost power in mid-stream is noticed within about three seconds.
const KEEPALIVE_AFTER: Duration = Duration::from_secs(1);

/// How a request to a target ended without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallError {
    /// No connection came about, so nothing was sent.
    NotConnected,
    /// Nobody listens at the target's address, so nothing was sent.
    Refused,
    /// It is held back, so nothing was sent.
    HeldBack(QuarantineRejection),
    /// The target takes none now, so nothing was sent.
    Withheld(WithheldReason),
    /// It may have run: the connection ended or the answer made no sense.
    Unknown,
}

/// What became of one send of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SendResult {
    /// A whole answer came.
    Answered,
    /// A stream began.
    Streams,
    /// The target answered with a failure of its own.
    Failed,
    /// No connection came about.
    NotConnected,
    /// Nobody listens at its address: its process has ended.
    Refused,
    /// The request is held back, so nothing was sent.
    HeldBack,
    /// The target takes none now, so nothing was sent.
    Withheld,
    /// The target said that it did not run the request.
    NotRun,
    /// The same, and that it wants nothing from this entry for a while.
    AsksForRest,
    /// Another incarnation listens at the target's address.
    OtherIncarnation,
    /// The connection ended, or what came was the answer to another request.
    AnswerLost,
    /// What came is no genuine answer, or not a whole one.
    BrokenAnswer,
    /// Nothing came in time.
    Silent,
    /// The stream ended in its middle.
    BrokeOff,
}

impl SendResult {
    /// The name in logs and metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Streams => "streams",
            Self::Failed => "failed",
            Self::NotConnected => "not-connected",
            Self::Refused => "connection-refused",
            Self::HeldBack => "held-back",
            Self::Withheld => "withheld",
            Self::NotRun => "not-run",
            Self::AsksForRest => "asks-for-rest",
            Self::OtherIncarnation => "other-incarnation",
            Self::AnswerLost => "answer-lost",
            Self::BrokenAnswer => "broken-answer",
            Self::Silent => "silent",
            Self::BrokeOff => "broke-off",
        }
    }

    /// Whether anything of the request went to the target.
    pub(crate) fn was_sent(self) -> bool {
        !matches!(
            self,
            Self::NotConnected | Self::Refused | Self::HeldBack | Self::Withheld
        )
    }

    /// Whether the target may have run the request, and nothing tells what it made
    /// of it.
    pub(crate) fn is_unexplained(self) -> bool {
        matches!(self, Self::AnswerLost | Self::BrokenAnswer | Self::BrokeOff)
    }

    /// Whether the target may have run the request.
    pub(crate) fn may_have_run(self) -> bool {
        !matches!(
            self,
            Self::NotConnected
                | Self::Refused
                | Self::HeldBack
                | Self::Withheld
                | Self::NotRun
                | Self::AsksForRest
                | Self::OtherIncarnation
        )
    }
}

impl SendResult {
    /// What a target said that did not run the request.
    pub(crate) fn of_refusal(status: StatusCode, head: &AnswerHead) -> Self {
        match head.signal.backoff_ms {
            _ if is_other_incarnation(status.as_u16()) => Self::OtherIncarnation,
            Some(rest_ms) if rest_ms > 0 => Self::AsksForRest,
            Some(_) | None => Self::NotRun,
        }
    }
}

impl From<CallError> for SendResult {
    fn from(error: CallError) -> Self {
        match error {
            CallError::NotConnected => Self::NotConnected,
            CallError::Refused => Self::Refused,
            CallError::HeldBack(_) => Self::HeldBack,
            CallError::Withheld(_) => Self::Withheld,
            CallError::Unknown => Self::AnswerLost,
        }
    }
}

/// The connection of one call; dropping it ends the call at the target.
pub(crate) struct Link(JoinHandle<()>);

impl Drop for Link {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// The beginning of an answer.
pub(crate) struct Answer {
    pub(crate) response: Response<Incoming>,
    pub(crate) head: AnswerHead,
    pub(crate) link: Link,
}

impl Answer {
    /// Whether the target gave it that was meant, and not another incarnation at its address.
    pub(crate) fn is_of_the_target(&self) -> bool {
        !is_other_incarnation(self.response.status().as_u16())
    }
}

/// Sends the request and waits for the head of the answer.
///
/// [`Job::send`](crate::job::Job::send) is the only caller: it asks first whether the
/// request may go.
pub(crate) async fn send(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<Answer, CallError> {
    let attempt_id = request
        .headers()
        .get(berylhook_platform::headers::ATTEMPT_ID)
        .cloned();
    let (mut sender, link) = connect(address).await?;
    let response = match sender.try_send_request(request).await {
        Ok(response) => response,
        Err(error) if error.message().is_some() => return Err(CallError::NotConnected),
        Err(_) => return Err(CallError::Unknown),
    };
    let head = AnswerHead::read(response.status().as_u16(), response.headers());
    // Answers to other requests can stand where this one's is expected.
    if head.attempt_id == attempt_id || head.is_not_run {
        Ok(Answer {
            response,
            head,
            link,
        })
    } else {
        Err(CallError::Unknown)
    }
}

/// Asks a target and waits for the head of its answer; the connection ends with the link.
///
/// Not for requests of callers: nothing is asked of the answer.
pub(crate) async fn ask(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<(Response<Incoming>, Link), CallError> {
    let (mut sender, link) = connect(address).await?;
    let response = sender.send_request(request).await;
    let response = response.map_err(|_| CallError::Unknown)?;
    Ok((response, link))
}

async fn connect(address: SocketAddr) -> Result<(SendRequest<Full<Bytes>>, Link), CallError> {
    let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    let stream = match connecting.await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
            return Err(CallError::Refused);
        }
        Ok(Err(_)) | Err(_) => return Err(CallError::NotConnected),
    };
    if let Err(error) = set_options(&stream) {
        log::warn!(reason:% = error; "a connection's options cannot be set");
    }
    let Ok((sender, driver)) = handshake(TokioIo::new(stream)).await else {
        return Err(CallError::NotConnected);
    };
    let driver = tokio::spawn(async move {
        // Its error also reaches the call.
        let _ = driver.await;
    });
    Ok((sender, Link(driver)))
}

fn set_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_AFTER)
        .with_interval(KEEPALIVE_AFTER)
        .with_retries(2);
    socket.set_tcp_keepalive(&keepalive)
}
