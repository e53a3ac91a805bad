//! A small HTTP server for internal endpoints: requests of other processes, readiness and metrics.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use berylhook_ingress::{
    BufferKind, ClientStream, ConnectionGuard, ConnectionTable, LogLimit, MemoryAccount, Phase,
    StreamTimeouts, TrackedBody,
};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body as _, Incoming};
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

/// Memory of all request bodies of a listener that are being read or handled.
const MAX_HELD_BYTES: u64 = 12 << 20;

/// Longest time from the first byte of a request to the end of its head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// Longest time from the head of a request to the end of its body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

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

/// What the requests of a listener hold together.
#[derive(Clone)]
struct Holdings {
    memory: Arc<MemoryAccount>,
    connection: Arc<ConnectionGuard>,
}

/// Accepts and serves at most `max_connections` forever; `handler` returns the response to each
/// request.
pub async fn serve<F, Fut>(listener: TcpListener, max_connections: usize, handler: F)
where
    F: Fn(Request<Incoming>) -> Fut + Clone + Send + 'static,
    Fut: Future<Output = Response<Full<Bytes>>> + Send + 'static,
{
    let table = ConnectionTable::new(max_connections);
    let memory = MemoryAccount::new(MAX_HELD_BYTES);
    let close_log = LogLimit::default();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => match table.open(Instant::now()) {
                Ok(connection) => {
                    let holdings = Holdings {
                        memory: Arc::clone(&memory),
                        connection: Arc::new(connection),
                    };
                    tokio::spawn(serve_connection(stream, holdings, handler.clone()));
                    table.until_replaced().await;
                }
                Err(cause) => {
                    if let Some(count) = close_log.take(Instant::now()) {
                        log::warn!(cause = cause.name(), count, max_connections; "connections are rejected, as there are as many requests as allowed");
                    }
                }
            },
            Err(error) => {
                log::warn!(reason:% = error; "a connection could not be accepted");
                table.close_one(Instant::now());
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection<F, Fut>(stream: TcpStream, holdings: Holdings, handler: F)
where
    F: Fn(Request<Incoming>) -> Fut + Send + 'static,
    Fut: Future<Output = Response<Full<Bytes>>> + Send + 'static,
{
    let connection = Arc::clone(&holdings.connection);
    tokio::select! {
        () = serve_requests(stream, holdings, handler) => {}
        () = connection.until_closed() => {}
    }
}

/// Serves the requests of a connection until it ends.
async fn serve_requests<F, Fut>(stream: TcpStream, holdings: Holdings, handler: F)
where
    F: Fn(Request<Incoming>) -> Fut + Send + 'static,
    Fut: Future<Output = Response<Full<Bytes>>> + Send + 'static,
{
    if let Err(error) = crate::set_socket_options(&stream) {
        log::warn!(reason:% = error; "the socket options of a connection could not be set");
    }
    let timeouts = StreamTimeouts { head: HEAD_TIMEOUT };
    let stream = ClientStream::new(stream, Arc::clone(&holdings.connection), timeouts);
    let service = service_fn(move |mut request: Request<Incoming>| {
        let connection = Arc::clone(&holdings.connection);
        let phase = if request.body().is_end_stream() {
            Phase::Request
        } else {
            Phase::Body
        };
        connection.set_phase(phase, Instant::now());
        request.extensions_mut().insert(holdings.clone());
        let response = handler(request);
        async move {
            let response = response.await;
            connection.set_phase(Phase::Request, Instant::now());
            Ok::<_, Infallible>(response.map(|body| TrackedBody::new(body, connection)))
        }
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
    let (parts, body) = request.into_parts();
    let Holdings { memory, connection } = parts.extensions.get::<Holdings>()?;
    let now = Instant::now();
    let buffer = memory.open(BufferKind::Request, None, MAX_REQUEST_BYTES, now);
    match berylhook_ingress::read_body(body, buffer, Some(connection), BODY_TIMEOUT).await {
        Ok(body) => {
            connection.set_phase(Phase::Request, Instant::now());
            Some(body)
        }
        Err(error) => {
            log::warn!(reason:% = error; "the body of a request between processes was not read");
            connection.on_unread_body();
            None
        }
    }
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
