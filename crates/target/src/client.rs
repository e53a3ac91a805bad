//! Calls to a target over HTTP.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;

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

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const IDLE_CONNECTION_TIMEOUT: Duration = Duration::from_secs(20);
const MAX_LOAD_REPORT_BYTES: usize = 64 << 10;

/// Why a call to the target failed.
#[derive(Debug, Error)]
pub enum TargetError {
    /// Nothing reached the target.
    #[error(
        "the target refused the connection ({0}); check that it runs at the address under [target]"
    )]
    Unreachable(String),
    /// The request may have reached the target.
    #[error(
        "the target closed the connection before its answer ended ({0}); see the target's own log"
    )]
    Interrupted(String),
    /// The order cannot be put into HTTP.
    #[error("the order is no valid HTTP request ({0}); check the method, path and headers")]
    InvalidRequest(String),
}

/// One call.
#[derive(Clone, Debug)]
pub struct Call {
    /// HTTP method.
    pub method: String,
    /// Path with query.
    pub path: String,
    /// Headers to pass on.
    pub headers: Vec<(String, Bytes)>,
    /// The whole body.
    pub body: Bytes,
    /// Whether the call may reach the target more than once.
    pub repeatable: bool,
}

/// The start of an answer.
pub struct TargetResponse {
    /// HTTP status.
    pub status: u16,
    /// The answer's headers.
    pub headers: HeaderMap,
    /// The rest of it.
    pub body: TargetResponseBody,
}

/// What a target says of its load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct LoadReport {
    /// Requests being worked on.
    pub running: u32,
    /// Requests waiting in the target's queue.
    pub waiting: u32,
    /// Requests it can work on at a time.
    pub slots: u32,
}

/// A boxed future, so that targets can be swapped behind a trait object.
pub type CallFuture<'a, T> = Pin<Box<dyn Future<Output = Result<T, TargetError>> + Send + 'a>>;

/// A target as the agent sees it.
pub trait Target: Send + Sync {
    /// Sends a call and waits for the start of the answer.
    fn call(&self, call: Call) -> CallFuture<'_, TargetResponse>;

    /// Asks for the load.
    fn load(&self) -> CallFuture<'_, LoadReport>;
}

/// A target that speaks HTTP/1.1.
pub struct HttpTarget {
    address: SocketAddr,
    pool: Client<HttpConnector, Full<Bytes>>,
}

impl HttpTarget {
    /// A client to the target at `address`.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        let pool = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(IDLE_CONNECTION_TIMEOUT)
            .retry_canceled_requests(false)
            .build(connector);
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
        let host = HeaderValue::from_str(&self.address.to_string()).expect("an address is ASCII");
        request.headers_mut().insert(hyper::header::HOST, host);
        Ok(request)
    }

    async fn call_pooled(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<TargetResponse, TargetError> {
        match self.pool.request(request).await {
            Ok(response) => Ok(answer(response, None)),
            Err(error) if error.is_connect() => Err(TargetError::Unreachable(error.to_string())),
            Err(error) => Err(TargetError::Interrupted(error.to_string())),
        }
    }

    async fn call_once(
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
        let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|error| unreachable(&error))?;
        let connection = tokio::spawn(async move {
            // Its error also reaches the request or the body.
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
            Ok(response) => Ok(answer(response, Some(connection))),
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
                self.call_once(request).await
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
            let body = Limited::new(response.into_body(), MAX_LOAD_REPORT_BYTES)
                .collect()
                .await
                .map_err(|error| TargetError::Interrupted(error.to_string()))?;
            serde_json::from_slice(&body.to_bytes())
                .map_err(|error| TargetError::Interrupted(error.to_string()))
        })
    }
}

fn answer(
    response: Response<Incoming>,
    connection: Option<tokio::task::JoinHandle<()>>,
) -> TargetResponse {
    let (head, body) = response.into_parts();
    TargetResponse {
        status: head.status.as_u16(),
        headers: head.headers,
        body: TargetResponseBody::new(body, connection),
    }
}
