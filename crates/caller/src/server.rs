//! HTTP server that accepts connections and runs the application.
//!
//! `poem`'s own server is not used. When a response body fails, hyper closes the connection without
//! the final chunk, which is how a caller can tell a truncated response from a complete one. The
//! server of poem 3.1 then polls the failed connection once more, and that second poll writes the
//! final chunk, so a truncated response looks complete. This server drops a failed connection.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use berylhook_ingress::{
    ClientStream, ConnectionGuard, ConnectionTable, LogLimit, Phase, StreamTimeouts, TrackedBody,
    bound_kernel_buffers,
};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use poem::endpoint::BoxEndpoint;
use poem::http::uri::Scheme;
use poem::web::{LocalAddr, RemoteAddr};
use poem::{Addr, Endpoint, EndpointExt, Request, Response};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::timeout;

/// Longest time from the first byte of a request to the end of its head.
const REQUEST_HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Time without a request after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_mins(1);

/// Maximum number of connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Delay after a failed accept, for example when no file descriptors are left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Opens the listening socket for callers.
///
/// # Errors
///
/// If the socket cannot be bound to the address.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    bound_kernel_buffers(&socket)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Serves `app` on `listener` until `stop` completes, then drains: each connection finishes its
/// current request, for at most `drain_timeout`.
///
/// Returns the number of connections that were closed because the timeout expired.
pub async fn serve(
    listener: TcpListener,
    table: Arc<ConnectionTable>,
    app: impl Endpoint + 'static,
    stop: impl Future<Output = ()>,
    drain_timeout: Option<Duration>,
) -> usize {
    let app: Arc<BoxEndpoint<'static, Response>> = Arc::new(app.map_to_response().boxed());
    let stopping = watch::Sender::new(false);
    let mut connections = JoinSet::new();
    let close_log = LogLimit::default();
    tokio::pin!(stop);
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => match table.open(Instant::now()) {
                    Ok(place) => {
                        let serving = serve_connection(
                            stream,
                            Arc::new(place),
                            Arc::clone(&app),
                            stopping.subscribe(),
                        );
                        connections.spawn(serving);
                        table.until_replaced().await;
                    }
                    Err(cause) => {
                        if let Some(count) = close_log.take(Instant::now()) {
                            log::warn!(cause = cause.name(), count; "callers' connections are rejected, as there are as many requests as allowed");
                        }
                    }
                },
                Err(error) => {
                    log::warn!("a caller's connection could not be accepted: {error}");
                    table.close_one(Instant::now());
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            },
            Some(_ended) = connections.join_next() => {}
            () = &mut stop => break,
        }
    }
    drop(listener);
    stopping.send_replace(true);
    let drained = async { while connections.join_next().await.is_some() {} };
    match drain_timeout {
        None => drained.await,
        Some(drain_timeout) => {
            // Dropping the set closes the remaining connections.
            let _ = timeout(drain_timeout, drained).await;
        }
    }
    connections.len()
}

async fn serve_connection(
    stream: TcpStream,
    place: Arc<ConnectionGuard>,
    app: Arc<BoxEndpoint<'static, Response>>,
    stopping: watch::Receiver<bool>,
) {
    let serving = serve_requests(stream, Arc::clone(&place), app, stopping);
    tokio::select! {
        () = serving => {}
        () = place.until_closed() => {}
    }
}

/// Serves the requests of a connection until it ends.
async fn serve_requests(
    stream: TcpStream,
    place: Arc<ConnectionGuard>,
    app: Arc<BoxEndpoint<'static, Response>>,
    mut stopping: watch::Receiver<bool>,
) {
    let _ = stream.set_nodelay(true);
    let (Ok(local), Ok(remote)) = (stream.local_addr(), stream.peer_addr()) else {
        return;
    };
    let timeouts = StreamTimeouts {
        head: REQUEST_HEAD_TIMEOUT,
    };
    let stream = ClientStream::new(stream, Arc::clone(&place), timeouts);
    let service = service_fn(move |request| {
        let app = Arc::clone(&app);
        let place = Arc::clone(&place);
        let local = LocalAddr(Addr::SocketAddr(local));
        let remote = RemoteAddr(Addr::SocketAddr(remote));
        async move {
            let mut request = Request::from((request, local, remote, Scheme::HTTP));
            request.extensions_mut().insert(Arc::clone(&place));
            place.set_phase(Phase::Body, Instant::now());
            let response = hyper::Response::from(app.get_response(request).await);
            place.set_phase(Phase::Request, Instant::now());
            Ok::<_, Infallible>(response.map(|body| TrackedBody::new(body, place)))
        }
    });
    let serving = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(IDLE_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(serving);
    let is_draining = tokio::select! {
        _ended = &mut serving => false,
        _ = stopping.wait_for(|stopping| *stopping) => true,
    };
    if is_draining {
        serving.as_mut().graceful_shutdown();
        // An error means that the caller disconnected or that a body was truncated on purpose.
        let _ = serving.await;
    }
}
