//! A small HTTP server for internal endpoints: requests of other processes, readiness and metrics.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Maximum number of connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Delay after a failed accept, which may be due to a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Time without requests after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Largest request body read.
const MAX_REQUEST_BYTES: usize = 1 << 20;

/// Opens a listening socket.
///
/// # Errors
///
/// If the socket cannot be created or bound to the address.
pub fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    listen_with(address, |_| Ok(()))
}

/// Like [`listen`], with further options of the socket.
///
/// # Errors
///
/// If the socket cannot be created, configured or bound to the address.
pub fn listen_with(
    address: SocketAddr,
    configure: impl FnOnce(&TcpSocket) -> std::io::Result<()>,
) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    configure(&socket)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Accepts and serves connections forever; `handler` returns the response to each request.
pub async fn serve<F, Fut>(listener: TcpListener, handler: F)
where
    F: Fn(Request<Incoming>) -> Fut + Clone + Send + 'static,
    Fut: Future<Output = Response<Full<Bytes>>> + Send + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve_connection(stream, handler.clone()));
            }
            Err(error) => {
                log::warn!(reason:% = error; "a connection could not be accepted");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection<F, Fut>(stream: TcpStream, handler: F)
where
    F: Fn(Request<Incoming>) -> Fut + Send + 'static,
    Fut: Future<Output = Response<Full<Bytes>>> + Send + 'static,
{
    if let Err(error) = crate::set_socket_options(&stream) {
        log::warn!(reason:% = error; "the socket options of a connection could not be set");
    }
    let service = service_fn(move |request| {
        let response = handler(request);
        async move { Ok::<_, std::convert::Infallible>(response.await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(IDLE_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service);
    // An error means that the client has disconnected, which needs no handling.
    let _ = connection.await;
}

/// Reads a JSON request body; `None` if it cannot be read or decoded.
pub async fn read_json<T: DeserializeOwned>(request: Request<Incoming>) -> Option<T> {
    serde_json::from_slice(&read_body(request).await?).ok()
}

/// Reads a postcard request body; `None` if it cannot be read or decoded.
pub async fn read_postcard<T: DeserializeOwned>(request: Request<Incoming>) -> Option<T> {
    postcard::from_bytes(&read_body(request).await?).ok()
}

async fn read_body(request: Request<Incoming>) -> Option<Bytes> {
    let body = Limited::new(request.into_body(), MAX_REQUEST_BYTES);
    Some(body.collect().await.ok()?.to_bytes())
}

/// Creates a response with a JSON body.
pub fn json_response<T: Serialize>(value: &T) -> Response<Full<Bytes>> {
    encoded_response(serde_json::to_vec(value))
}

/// Creates a response with a postcard body.
pub fn postcard_response<T: Serialize>(value: &T) -> Response<Full<Bytes>> {
    encoded_response(postcard::to_stdvec(value))
}

fn encoded_response<E: std::fmt::Display>(body: Result<Vec<u8>, E>) -> Response<Full<Bytes>> {
    match body {
        Ok(body) => response(StatusCode::OK, body),
        Err(error) => {
            log::error!(reason:% = error; "a response could not be encoded");
            response(StatusCode::INTERNAL_SERVER_ERROR, Vec::new())
        }
    }
}

/// Creates a response with the given status and body.
pub fn response(status: StatusCode, body: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    response
}
