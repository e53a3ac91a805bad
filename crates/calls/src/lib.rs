//! HTTP calls over one persistent connection, one call at a time.
//!
//! Bodies are JSON, or postcard where two processes of the same version exchange large messages:
//! lists of small numbers take a quarter of the bytes.
//!
//! An error tells whether the call cannot have had an effect, or may have had one. A connection is
//! reused only if the last response was read to its end, and no call is ever sent twice. A response
//! whose head cannot be believed tells nothing, not even that the call was refused.

pub mod adaptive;
pub mod outbox;
pub mod serve;

pub use hyper::StatusCode;

use std::net::SocketAddr;
use std::time::Duration;

use berylhook_response_head::{HeadLimit, HeadLimited, body_end};
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
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

/// Connections within a region open in a few milliseconds. A lost SYN packet is sent again after
/// one second, which is too long to wait for.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Idle time after which TCP keepalive probes a connection, and the interval of the probes. A peer
/// can become unreachable without closing the connection. Only probes distinguish that from a slow
/// response, since a watch may wait for half a minute.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Time without any acknowledgement by the peer after which the connection fails.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Largest response body read; a page of the store is about 1 MB.
pub const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// Why a call failed, and whether it may have had an effect.
#[derive(Debug, Error)]
pub enum CallError {
    /// The call cannot have had an effect.
    #[error(
        "{address} cannot be reached ({reason}); check that the process runs and the network is up"
    )]
    NotSent {
        /// Address that was called.
        address: SocketAddr,
        /// Cause of the failure.
        reason: String,
    },
    /// The call may have had an effect, or may still have one later.
    #[error(
        "{address} did not respond ({reason}); the call may have taken effect, read back before trying again"
    )]
    Unknown {
        /// Address that was called.
        address: SocketAddr,
        /// Cause of the failure.
        reason: String,
    },
    /// The response is larger than [`MAX_RESPONSE_BYTES`]. The call may have had an effect.
    #[error("{address} responded with more than {MAX_RESPONSE_BYTES} bytes; request less at once")]
    ResponseTooLarge {
        /// Address that was called.
        address: SocketAddr,
    },
    /// The response has an error status.
    #[error("{address} responded with status {status}: {body}")]
    Status {
        /// Address that was called.
        address: SocketAddr,
        /// HTTP status.
        status: u16,
        /// Body of the response.
        body: String,
    },
}

impl CallError {
    /// HTTP status of the response, if there was one.
    #[must_use]
    pub fn status(&self) -> Option<u16> {
        match self {
            Self::Status { status, .. } => Some(*status),
            Self::NotSent { .. } | Self::Unknown { .. } | Self::ResponseTooLarge { .. } => None,
        }
    }
}

struct OpenConnection {
    sender: SendRequest<Full<Bytes>>,
    head_limit: HeadLimit,
    driver: JoinHandle<()>,
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        // If a call's future is dropped before the response, the connection is closed: the
        // response would otherwise be taken for that of the next call.
        self.driver.abort();
    }
}

/// A connection to one address, opened on demand. It carries one call at a time.
pub struct Connection {
    address: SocketAddr,
    open: Option<OpenConnection>,
}

/// An HTTP call to make.
#[derive(Clone, Debug)]
pub struct Call {
    /// HTTP method.
    pub method: Method,
    /// Path with query.
    pub path: String,
    /// Request body; empty for none.
    pub body: Bytes,
    /// Time from the open connection to the end of the response. Opening a connection has a
    /// timeout of its own.
    pub timeout: Duration,
}

impl Call {
    /// Creates a GET call without a body.
    #[must_use]
    pub fn get(path: String, timeout: Duration) -> Self {
        Self {
            method: Method::GET,
            path,
            body: Bytes::new(),
            timeout,
        }
    }

    /// Creates a POST call with a JSON body.
    ///
    /// # Panics
    ///
    /// If the body is a map whose keys are not strings.
    #[must_use]
    pub fn post_json<B: serde::Serialize>(path: String, body: &B, timeout: Duration) -> Self {
        let body = serde_json::to_vec(body).expect("plain structures serialize");
        Self::post_bytes(path, body, timeout)
    }

    /// Creates a POST call with a postcard body.
    ///
    /// # Panics
    ///
    /// If the body has a sequence or map of unknown length.
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

/// A response, whatever its status.
pub struct CallResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Response headers.
    pub headers: HeaderMap,
    /// Complete response body.
    pub body: Bytes,
}

impl Connection {
    /// Creates a connection to `address`, which the first call opens.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            open: None,
        }
    }

    /// Whether the next call reuses a connection.
    #[must_use]
    pub fn is_open(&self) -> bool {
        let open = self.open.as_ref();
        open.is_some_and(|open| !open.sender.is_closed())
    }

    /// Opens the connection if it is not open.
    ///
    /// # Errors
    ///
    /// If the peer cannot be reached.
    pub async fn open(&mut self) -> Result<(), CallError> {
        if !self.is_open() {
            self.open = Some(self.connect().await?);
        }
        Ok(())
    }

    /// Makes a call and decodes its JSON response.
    ///
    /// # Errors
    ///
    /// If there is no response, its status is not a success, or it cannot be decoded.
    pub async fn call_json<T: DeserializeOwned>(&mut self, call: Call) -> Result<T, CallError> {
        let response = self.call_any_status(call).await?;
        self.decode_json(response)
    }

    /// Like [`Self::call_json`], but repeats the call once on a new connection if it was not sent on
    /// an open one: the peer may close an idle connection at any moment.
    ///
    /// # Errors
    ///
    /// As [`Self::call_json`].
    pub async fn call_json_with_reconnect<T: DeserializeOwned>(
        &mut self,
        call: Call,
    ) -> Result<T, CallError> {
        let was_open = self.is_open();
        let repeated = call.clone();
        match self.call_json(call).await {
            Err(CallError::NotSent { .. }) if was_open => self.call_json(repeated).await,
            result => result,
        }
    }

    /// Makes a call and decodes its postcard response.
    ///
    /// # Errors
    ///
    /// If there is no response, its status is not a success, or it cannot be decoded.
    pub async fn call_postcard<T: DeserializeOwned>(&mut self, call: Call) -> Result<T, CallError> {
        let body = self.call(call).await?;
        postcard::from_bytes(&body).map_err(|error| self.unknown(&error))
    }

    /// Makes a call and returns the body of its response.
    ///
    /// # Errors
    ///
    /// If there is no response, or its status is not a success.
    pub async fn call(&mut self, call: Call) -> Result<Bytes, CallError> {
        let response = self.call_any_status(call).await?;
        self.success_body(response)
    }

    /// Makes a call and returns its response, also one with an error status.
    ///
    /// The connection is reused only if the response was read to its end.
    ///
    /// # Errors
    ///
    /// If there is no complete response.
    pub async fn call_any_status(&mut self, call: Call) -> Result<CallResponse, CallError> {
        let call_timeout = call.timeout;
        let mut open = match self.open.take().filter(|open| !open.sender.is_closed()) {
            Some(open) => open,
            None => self.connect().await?,
        };
        let exchange = async {
            let response = self.send(&mut open, call).await?;
            let (head, body) = response.into_parts();
            Ok(CallResponse {
                status: head.status,
                headers: head.headers,
                body: self.read_body(body).await?,
            })
        };
        let result = timeout(call_timeout, exchange).await;
        let response = result.map_err(|elapsed| self.unknown(&elapsed))??;
        self.open = Some(open);
        Ok(response)
    }

    /// Returns the body of a response with a success status.
    ///
    /// # Errors
    ///
    /// If the status is not a success.
    pub fn success_body(&self, response: CallResponse) -> Result<Bytes, CallError> {
        if response.status.is_success() {
            Ok(response.body)
        } else {
            Err(CallError::Status {
                address: self.address,
                status: response.status.as_u16(),
                body: String::from_utf8_lossy(&response.body).into_owned(),
            })
        }
    }

    /// Decodes the JSON body of a response with a success status.
    ///
    /// # Errors
    ///
    /// If the status is not a success, or the body cannot be decoded.
    pub fn decode_json<T: DeserializeOwned>(&self, response: CallResponse) -> Result<T, CallError> {
        let body = self.success_body(response)?;
        serde_json::from_slice(&body).map_err(|error| self.unknown(&error))
    }

    async fn send(
        &self,
        open: &mut OpenConnection,
        call: Call,
    ) -> Result<Response<Incoming>, CallError> {
        let uri: Uri = call.path.parse().map_err(|error| self.not_sent(&error))?;
        let mut request = Request::new(Full::new(call.body));
        *request.method_mut() = call.method;
        *request.uri_mut() = uri;
        let host = HeaderValue::from_str(&self.address.to_string()).expect("an address is ASCII");
        request.headers_mut().insert(HOST, host);
        let json = HeaderValue::from_static("application/json");
        request.headers_mut().insert(CONTENT_TYPE, json);
        open.head_limit.set();
        match open.sender.try_send_request(request).await {
            Ok(response) => {
                open.head_limit.lift();
                body_end(&response).map_err(|error| self.unknown(&error))?;
                Ok(response)
            }
            Err(error) if error.message().is_some() => Err(self.not_sent(error.error())),
            Err(error) => Err(self.unknown(error.error())),
        }
    }

    async fn connect(&self) -> Result<OpenConnection, CallError> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address))
            .await
            .map_err(|elapsed| self.not_sent(&elapsed))?
            .map_err(|error| self.not_sent(&error))?;
        set_socket_options(&stream).map_err(|error| self.not_sent(&error))?;
        let head_limit = HeadLimit::default();
        let stream = HeadLimited::new(stream, self.address, head_limit.clone());
        let (sender, driver) = handshake(TokioIo::new(stream))
            .await
            .map_err(|error| self.not_sent(&error))?;
        let driver = tokio::spawn(async move {
            // The call in progress fails with the same error.
            let _ = driver.await;
        });
        Ok(OpenConnection {
            sender,
            head_limit,
            driver,
        })
    }

    /// Reads a body into one buffer, as each frame keeps the buffer alive that it was read into.
    async fn read_body(&self, body: Incoming) -> Result<Bytes, CallError> {
        let mut body = Limited::new(body, MAX_RESPONSE_BYTES);
        let mut bytes = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| self.body_error(&*error))?;
            // Trailers are left out.
            if let Ok(data) = frame.into_data() {
                bytes.extend_from_slice(&data);
            }
        }
        Ok(bytes.freeze())
    }

    fn body_error(&self, error: &(dyn std::error::Error + 'static)) -> CallError {
        if error.is::<LengthLimitError>() {
            return CallError::ResponseTooLarge {
                address: self.address,
            };
        }
        self.unknown(&error)
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

fn set_socket_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(1);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))
}
