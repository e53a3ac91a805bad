//! A small HTTP server for what is not callers' traffic: questions of other
//! processes, readiness, metrics.

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

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Wait after a failed accept, such as for want of file descriptors.
const ACCEPT_RETRY: Duration = Duration::from_millis(10);

/// Time until a connection without requests is closed.
const IDLE: Duration = Duration::from_secs(30);

/// Largest question read.
const MAX_QUESTION_BYTES: usize = 1 << 20;

/// Opens a listening socket.
///
/// # Errors
///
/// If the address cannot be used.
pub fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Answers each request with what `answer` makes of it, for ever.
pub async fn serve<F, A>(listener: TcpListener, answer: F)
where
    F: Fn(Request<Incoming>) -> A + Clone + Send + 'static,
    A: Future<Output = Response<Full<Bytes>>> + Send + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(connection(stream, answer.clone()));
            }
            Err(error) => {
                log::warn!(reason:% = error; "a connection was not accepted");
                tokio::time::sleep(ACCEPT_RETRY).await;
            }
        }
    }
}

async fn connection<F, A>(stream: TcpStream, answer: F)
where
    F: Fn(Request<Incoming>) -> A + Send + 'static,
    A: Future<Output = Response<Full<Bytes>>> + Send + 'static,
{
    if let Err(error) = crate::set_options(&stream) {
        log::warn!(reason:% = error; "a connection's options cannot be set");
    }
    let service = service_fn(move |request| {
        let answered = answer(request);
        async move { Ok::<_, std::convert::Infallible>(answered.await) }
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(IDLE)
        .serve_connection(TokioIo::new(stream), service);
    // Its error is the other side's going away.
    let _ = served.await;
}

/// Reads a JSON question; `None` if it is none.
pub async fn read_json<Q: DeserializeOwned>(request: Request<Incoming>) -> Option<Q> {
    serde_json::from_slice(&read(request).await?).ok()
}

/// Reads a question in the compact form; `None` if it is none.
pub async fn read_postcard<Q: DeserializeOwned>(request: Request<Incoming>) -> Option<Q> {
    postcard::from_bytes(&read(request).await?).ok()
}

async fn read(request: Request<Incoming>) -> Option<Bytes> {
    let body = Limited::new(request.into_body(), MAX_QUESTION_BYTES);
    Some(body.collect().await.ok()?.to_bytes())
}

/// A JSON answer.
pub fn json_response<A: Serialize>(answer: &A) -> Response<Full<Bytes>> {
    written(serde_json::to_vec(answer))
}

/// An answer in the compact form.
pub fn postcard_response<A: Serialize>(answer: &A) -> Response<Full<Bytes>> {
    written(postcard::to_stdvec(answer))
}

fn written<E: std::fmt::Display>(body: Result<Vec<u8>, E>) -> Response<Full<Bytes>> {
    match body {
        Ok(body) => response(StatusCode::OK, body),
        Err(error) => {
            log::error!(reason:% = error; "an answer cannot be written");
            response(StatusCode::INTERNAL_SERVER_ERROR, Vec::new())
        }
    }
}

/// An answer with that body.
pub fn response(status: StatusCode, body: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    response
}
