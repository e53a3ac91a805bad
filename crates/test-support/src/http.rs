//! A minimal HTTP server whose handler may also close the connection without a response.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use futures_util::future::BoxFuture;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::service::service_fn;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::{JoinHandle, JoinSet};

/// Closes the connection without a response, or in the middle of a streamed body.
#[derive(Debug)]
pub struct NoResponse;

impl std::fmt::Display for NoResponse {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("connection closed without a response, as the test requested")
    }
}

impl std::error::Error for NoResponse {}

/// An HTTP response of a stand-in.
pub type Response = hyper::Response<BoxBody<Bytes, NoResponse>>;

/// Handles one request to a stand-in.
pub(crate) type Handler = Arc<
    dyn Fn(Request<Incoming>) -> BoxFuture<'static, Result<Response, NoResponse>> + Send + Sync,
>;

/// A running server; it stops when dropped.
pub struct Server {
    /// Address on which the server listens.
    pub address: SocketAddr,
    task: JoinHandle<()>,
}

impl Server {
    pub(crate) async fn start(handler: Handler) -> Self {
        Self::start_at(([127, 0, 0, 1], 0).into(), handler).await
    }

    pub(crate) async fn start_at(address: SocketAddr, handler: Handler) -> Self {
        let listener = TcpListener::bind(address)
            .await
            .expect("the loopback address is free");
        let address = listener
            .local_addr()
            .expect("a bound socket has an address");
        let task = tokio::spawn(accept_loop(listener, handler));
        Self { address, task }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept_loop(listener: TcpListener, handler: Handler) {
    // Dropping the set closes all connections, as the exit of a process does.
    let mut connections = JoinSet::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let _ = stream.set_nodelay(true);
        let handler = Arc::clone(&handler);
        connections.spawn(async move {
            let service = service_fn(move |request| handler(request));
            // A connection that the handler closes on purpose ends in an error.
            let _ = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

pub(crate) fn json(status: StatusCode, body: &serde_json::Value) -> Response {
    let full = Full::new(Bytes::from(body.to_string())).map_err(|never| match never {});
    hyper::Response::builder()
        .status(status)
        .header("content-type", "application/json")
        .body(full.boxed())
        .expect("the response head is valid")
}

/// A response whose body is sent in chunks as they arrive; an `Err` cuts the connection.
pub(crate) fn stream(
    content_type: &str,
    chunks: mpsc::Receiver<Result<Bytes, NoResponse>>,
) -> Response {
    let frames = futures_util::stream::unfold(chunks, |mut chunks| async move {
        let chunk = chunks.recv().await?;
        Some((chunk.map(Frame::data), chunks))
    });
    hyper::Response::builder()
        .header("content-type", content_type)
        .body(BodyExt::boxed(StreamBody::new(frames)))
        .expect("the response head is valid")
}

pub(crate) async fn body(request: Request<Incoming>) -> Bytes {
    match request.into_body().collect().await {
        Ok(body) => body.to_bytes(),
        Err(_) => Bytes::new(),
    }
}
