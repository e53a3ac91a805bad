//! Calls over one kept connection, one call at a time.
//!
//! Bodies are JSON, or a compact binary form where two processes of one version
//! exchange much: lists of small numbers take a quarter of the bytes.
//!
//! An error says what it proves: whether the call cannot have had an effect,
//! or may have had one. A connection is kept only if the last answer was read
//! to its end, and nothing is ever sent twice.

pub mod serve;

pub use hyper::StatusCode;

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::header::{CONTENT_TYPE, HOST, HeaderValue};
use hyper::{HeaderMap, Method, Request, Response, Uri, body::Incoming};
use hyper_util::rt::TokioIo;
use serde::de::DeserializeOwned;
use socket2::{SockRef, TcpKeepalive};
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// A connection within a region is open in a few milliseconds. A lost first
/// packet is sent again after a second, which is too long to wait for.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// A connection on which an answer is waited for is probed after this long. A
/// connection can go silent for good without being closed; only probes tell it
/// from one that has nothing to say, since a watch may wait for half a minute.
const PROBE_AFTER: Duration = Duration::from_secs(1);

/// Time without any sign from the other side after which it counts as gone.
const SILENT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Largest answer read: a page of the store is about 1 MB.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// Why a call brought no result, by what that proves.
#[derive(Debug, Error)]
pub enum CallError {
    /// The call cannot have had an effect.
    #[error("{address} cannot be reached ({reason}); check that it runs and is not cut off")]
    NotSent {
        /// Who was called.
        address: SocketAddr,
        /// What went wrong.
        reason: String,
    },
    /// The call may have had its effect, now or some time later.
    #[error("{address} did not answer ({reason}); read back before trying again")]
    Unknown {
        /// Who was called.
        address: SocketAddr,
        /// What went wrong.
        reason: String,
    },
    /// The answer has a status that says why not.
    #[error("{address} answered with status {status}: {body}")]
    Status {
        /// Who was called.
        address: SocketAddr,
        /// HTTP status.
        status: u16,
        /// The answer's body.
        body: String,
    },
}

impl CallError {
    /// The status of the answer, if there was one.
    #[must_use]
    pub fn status(&self) -> Option<u16> {
        match self {
            Self::Status { status, .. } => Some(*status),
            Self::NotSent { .. } | Self::Unknown { .. } => None,
        }
    }
}

struct Open {
    sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
}

impl Drop for Open {
    fn drop(&mut self) {
        // A future that is dropped in mid-call must not leave its connection
        // behind: the answer to that call would be taken for the next one's.
        self.driver.abort();
    }
}

/// A connection to one address, opened when it is needed.
/// Its owner makes one call at a time.
pub struct Connection {
    address: SocketAddr,
    open: Option<Open>,
}

/// A call before it is sent.
pub struct Call {
    /// HTTP method.
    pub method: Method,
    /// Path with query.
    pub path: String,
    /// The body, or nothing.
    pub body: Bytes,
    /// Time for the whole call.
    pub timeout: Duration,
}

impl Call {
    /// A call without a body.
    #[must_use]
    pub fn get(path: String, timeout: Duration) -> Self {
        Self {
            method: Method::GET,
            path,
            body: Bytes::new(),
            timeout,
        }
    }

    /// A call with a JSON body.
    ///
    /// # Panics
    ///
    /// If the body is a map whose keys are no text.
    #[must_use]
    pub fn post_json<B: serde::Serialize>(path: String, body: &B, timeout: Duration) -> Self {
        let body = serde_json::to_vec(body).expect("plain structures serialize");
        Self::post_bytes(path, body, timeout)
    }

    /// A call with a body in the compact form.
    ///
    /// # Panics
    ///
    /// If the body has a part of unknown length.
    #[must_use]
    pub fn post_postcard<B: serde::Serialize>(path: String, body: &B, timeout: Duration) -> Self {
        let body = postcard::to_stdvec(body).expect("plain structures serialize");
        Self::post_bytes(path, body, timeout)
    }

    fn post_bytes(path: String, body: Vec<u8>, timeout: Duration) -> Self {
        Self {
            method: Method::POST,
            path,
            body: Bytes::from(body),
            timeout,
        }
    }
}

/// An answer, whatever its status.
pub struct CallResponse {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its whole body.
    pub body: Bytes,
}

impl Connection {
    /// A connection to that address, not opened yet.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            open: None,
        }
    }

    /// Makes a call and decodes its JSON answer.
    ///
    /// # Errors
    ///
    /// If it was not answered with success, or the answer cannot be decoded.
    pub async fn call_json<A: DeserializeOwned>(&mut self, call: Call) -> Result<A, CallError> {
        let answer = self.call_any_status(call).await?;
        self.decode_json(answer)
    }

    /// Makes a call and decodes its answer in the compact form.
    ///
    /// # Errors
    ///
    /// If it was not answered with success, or the answer cannot be decoded.
    pub async fn call_postcard<A: DeserializeOwned>(&mut self, call: Call) -> Result<A, CallError> {
        let body = self.call(call).await?;
        postcard::from_bytes(&body).map_err(|error| self.unknown(&error))
    }

    /// Makes a call and gives the body of its answer.
    ///
    /// # Errors
    ///
    /// If it was not answered with success.
    pub async fn call(&mut self, call: Call) -> Result<Bytes, CallError> {
        let answer = self.call_any_status(call).await?;
        self.success_body(answer)
    }

    /// Makes a call and gives its answer, also one of failure.
    ///
    /// The connection is kept only if the answer was read to its end.
    ///
    /// # Errors
    ///
    /// If it was not answered.
    pub async fn call_any_status(&mut self, call: Call) -> Result<CallResponse, CallError> {
        let bound = call.timeout;
        let mut open = match self.open.take().filter(|open| !open.sender.is_closed()) {
            Some(open) => open,
            None => self.connect().await?,
        };
        let exchange = async {
            let response = self.send(&mut open, call).await?;
            let (head, body) = response.into_parts();
            let body = Limited::new(body, MAX_ANSWER_BYTES)
                .collect()
                .await
                .map_err(|error| self.unknown(&error))?;
            Ok(CallResponse {
                status: head.status,
                headers: head.headers,
                body: body.to_bytes(),
            })
        };
        let answered = timeout(bound, exchange).await;
        let answer = answered.map_err(|elapsed| self.unknown(&elapsed))??;
        self.open = Some(open);
        Ok(answer)
    }

    /// Takes an answer's body if the answer is one of success.
    ///
    /// # Errors
    ///
    /// If it is one of failure.
    pub fn success_body(&self, answer: CallResponse) -> Result<Bytes, CallError> {
        if answer.status.is_success() {
            Ok(answer.body)
        } else {
            Err(CallError::Status {
                address: self.address,
                status: answer.status.as_u16(),
                body: String::from_utf8_lossy(&answer.body).into_owned(),
            })
        }
    }

    /// Decodes the JSON body of an answer of success.
    ///
    /// # Errors
    ///
    /// If the answer is one of failure, or cannot be decoded.
    pub fn decode_json<A: DeserializeOwned>(&self, answer: CallResponse) -> Result<A, CallError> {
        let body = self.success_body(answer)?;
        serde_json::from_slice(&body).map_err(|error| self.unknown(&error))
    }

    async fn send(&self, open: &mut Open, call: Call) -> Result<Response<Incoming>, CallError> {
        let uri: Uri = call.path.parse().map_err(|error| self.not_sent(&error))?;
        let mut request = Request::new(Full::new(call.body));
        *request.method_mut() = call.method;
        *request.uri_mut() = uri;
        let host = HeaderValue::from_str(&self.address.to_string()).expect("an address is ASCII");
        request.headers_mut().insert(HOST, host);
        let json = HeaderValue::from_static("application/json");
        request.headers_mut().insert(CONTENT_TYPE, json);
        match open.sender.try_send_request(request).await {
            Ok(response) => Ok(response),
            Err(error) if error.message().is_some() => Err(self.not_sent(error.error())),
            Err(error) => Err(self.unknown(error.error())),
        }
    }

    async fn connect(&self) -> Result<Open, CallError> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address))
            .await
            .map_err(|elapsed| self.not_sent(&elapsed))?
            .map_err(|error| self.not_sent(&error))?;
        set_options(&stream).map_err(|error| self.not_sent(&error))?;
        let (sender, driver) = handshake(TokioIo::new(stream))
            .await
            .map_err(|error| self.not_sent(&error))?;
        let driver = tokio::spawn(async move {
            // Its error also reaches the call that it concerns.
            let _ = driver.await;
        });
        Ok(Open { sender, driver })
    }

    fn not_sent(&self, reason: &dyn std::fmt::Display) -> CallError {
        CallError::NotSent {
            address: self.address,
            reason: reason.to_string(),
        }
    }

    fn unknown(&self, reason: &dyn std::fmt::Display) -> CallError {
        CallError::Unknown {
            address: self.address,
            reason: reason.to_string(),
        }
    }
}

fn set_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(PROBE_AFTER)
        .with_interval(PROBE_AFTER)
        .with_retries(1);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(SILENT_TIMEOUT))
}
