//! HTTP calls to a target.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;

use berylhook_response_head::{HeadLimit, HeadLimited, InvalidHead, body_end};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::{HeaderName, HeaderValue};
use hyper::{HeaderMap, Method, Request, Response, Uri, body::Incoming};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioIo};
use serde::Deserialize;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::TargetResponseBody;
use crate::connector::LimitedConnector;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const IDLE_CONNECTION_TIMEOUT: Duration = Duration::from_secs(20);
const MAX_LOAD_REPORT_BYTES: usize = 64 << 10;

/// Error of a call to the target.
#[derive(Debug, Error)]
pub enum TargetError {
    /// The connection failed, so nothing was sent to the target.
    #[error(
        "the target refused the connection ({0}); check that it runs at the address under [target]"
    )]
    Unreachable(String),
    /// The response is incomplete. The target may have run the request.
    #[error(
        "the target closed the connection before its response ended ({0}); see the target's own log"
    )]
    Interrupted(String),
    /// The head of the response cannot be believed. The target may have run the request.
    #[error("the head of the target's response is not valid: {0}")]
    InvalidHead(#[from] InvalidHead),
    /// The call cannot be expressed as an HTTP request.
    #[error("the call is not a valid HTTP request ({0}); check the method, path and headers")]
    InvalidRequest(String),
}

/// A request to the target.
#[derive(Clone, Debug)]
pub struct Call {
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Headers to send.
    pub headers: Vec<(String, Bytes)>,
    /// Complete request body.
    pub body: Bytes,
    /// Whether the target may receive the request more than once.
    pub repeatable: bool,
}

/// Response of the target. Its body may still be arriving.
pub struct TargetResponse {
    /// HTTP status.
    pub status: u16,
    /// Response headers.
    pub headers: HeaderMap,
    /// Streamed body.
    pub body: TargetResponseBody,
}

/// Load that a target reports at `/load`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct LoadReport {
    /// Requests that the target is processing.
    pub running: u32,
    /// Requests waiting in the target's queue.
    pub waiting: u32,
    /// Requests that the target can process concurrently.
    pub slots: u32,
}

/// Boxed future, which keeps [`Target`] usable as a trait object.
pub type CallFuture<'a, T> = Pin<Box<dyn Future<Output = Result<T, TargetError>> + Send + 'a>>;

/// Client interface of a target.
pub trait Target: Send + Sync {
    /// Sends a call and waits for the response headers.
    fn call(&self, call: Call) -> CallFuture<'_, TargetResponse>;

    /// Requests the load report.
    fn load(&self) -> CallFuture<'_, LoadReport>;
}

/// Client of a target that serves HTTP/1.1.
pub struct HttpTarget {
    address: SocketAddr,
    pool: Client<LimitedConnector, Full<Bytes>>,
}

impl HttpTarget {
    /// Creates a client of the target at `address`.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        let pool = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(IDLE_CONNECTION_TIMEOUT)
            .retry_canceled_requests(false)
            .build(LimitedConnector::new(address, connector));
        Self { address, pool }
    }

    fn request(&self, call: Call) -> Result<Request<Full<Bytes>>, TargetError> {
        let invalid =
            |error: &dyn std::fmt::Display| TargetError::InvalidRequest(error.to_string());
        let uri: Uri = format!("http://{}{}", self.address, call.path)
            .parse()
            .map_err(|error| invalid(&error))?;
        let method = Method::from_bytes(call.method.as_bytes()).map_err(|error| invalid(&error))?;
        let mut request = Request::new(Full::new(call.body));
        *request.uri_mut() = uri;
        *request.method_mut() = method;
        for (name, value) in call.headers {
            let name: HeaderName = name.parse().map_err(|error| invalid(&error))?;
            let value = HeaderValue::from_maybe_shared(value).map_err(|error| invalid(&error))?;
            request.headers_mut().append(name, value);
        }
        let host =
            HeaderValue::from_str(&self.address.to_string()).expect("socket addresses are ASCII");
        request.headers_mut().insert(hyper::header::HOST, host);
        Ok(request)
    }

    async fn call_pooled(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<TargetResponse, TargetError> {
        match self.pool.request(request).await {
            Ok(response) => {
                let limit = response.extensions().get().cloned();
                to_target_response(response, limit.as_ref(), None)
            }
            Err(error) if error.is_connect() => Err(TargetError::Unreachable(error.to_string())),
            Err(error) => Err(TargetError::Interrupted(error.to_string())),
        }
    }

    async fn call_on_new_connection(
        &self,
        mut request: Request<Full<Bytes>>,
    ) -> Result<TargetResponse, TargetError> {
        let unreachable =
            |error: &dyn std::fmt::Display| TargetError::Unreachable(error.to_string());
        let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address)).await {
            Ok(connected) => connected.map_err(|error| unreachable(&error))?,
            Err(elapsed) => return Err(unreachable(&elapsed)),
        };
        stream
            .set_nodelay(true)
            .map_err(|error| unreachable(&error))?;
        let limit = HeadLimit::default();
        let stream = HeadLimited::new(stream, self.address, limit.clone());
        let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|error| unreachable(&error))?;
        let connection = tokio::spawn(async move {
            // An error of the connection is also returned by the request or the body.
            let _ = connection.await;
        });
        let path = request
            .uri()
            .path_and_query()
            .map_or("/", |path| path.as_str());
        let origin_form: Uri = path
            .parse()
            .map_err(|error: hyper::http::uri::InvalidUri| {
                TargetError::InvalidRequest(error.to_string())
            })?;
        *request.uri_mut() = origin_form;
        match sender.send_request(request).await {
            Ok(response) => to_target_response(response, Some(&limit), Some(connection)),
            Err(error) => Err(TargetError::Interrupted(error.to_string())),
        }
    }
}

impl Target for HttpTarget {
    fn call(&self, call: Call) -> CallFuture<'_, TargetResponse> {
        Box::pin(async move {
            let repeatable = call.repeatable;
            let request = self.request(call)?;
            if repeatable {
                self.call_pooled(request).await
            } else {
                self.call_on_new_connection(request).await
            }
        })
    }

    fn load(&self) -> CallFuture<'_, LoadReport> {
        Box::pin(async move {
            let call = Call {
                method: "GET".to_owned(),
                path: "/load".to_owned(),
                headers: Vec::new(),
                body: Bytes::new(),
                repeatable: true,
            };
            let request = self.request(call)?;
            let response = match self.pool.request(request).await {
                Ok(response) => response,
                Err(error) => return Err(TargetError::Unreachable(error.to_string())),
            };
            body_end(&response)?;
            let _lifted = response.extensions().get().map(HeadLimit::lift_until_end);
            let body = Limited::new(response.into_body(), MAX_LOAD_REPORT_BYTES)
                .collect()
                .await
                .map_err(|error| TargetError::Interrupted(error.to_string()))?;
            serde_json::from_slice(&body.to_bytes())
                .map_err(|error| TargetError::Interrupted(error.to_string()))
        })
    }
}

fn to_target_response(
    response: Response<Incoming>,
    limit: Option<&HeadLimit>,
    connection: Option<tokio::task::JoinHandle<()>>,
) -> Result<TargetResponse, TargetError> {
    let body_end = body_end(&response)?;
    let limit = limit.map(HeadLimit::lift_until_end);
    let (head, body) = response.into_parts();
    Ok(TargetResponse {
        status: head.status.as_u16(),
        headers: head.headers,
        body: TargetResponseBody::new(body, body_end, limit, connection),
    })
}
