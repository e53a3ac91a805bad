//! HTTP server that accepts connections and runs the application.
//!
//! `poem`'s own server is not used. When a response body fails, hyper closes the connection without
//! the final chunk, which is how a caller can tell a truncated response from a complete one. The
//! server of poem 3.1 then polls the failed connection once more, and that second poll writes the
//! final chunk, so a truncated response looks complete. This server drops a failed connection.

use std::sync::Arc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use poem::endpoint::BoxEndpoint;
use poem::http::uri::Scheme;
use poem::web::{LocalAddr, RemoteAddr};
use poem::{Addr, Endpoint, EndpointExt, Response};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::timeout;

/// Maximum time to receive the head of a request. An idle connection is closed after the same time.
const REQUEST_HEAD_TIMEOUT: Duration = Duration::from_mins(1);

/// Delay after a failed accept, for example when no file descriptors are left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Serves `app` on `listener` until `stop` completes, then drains: each connection finishes its
/// current request, for at most `drain_timeout`.
///
/// Returns the number of connections that were closed because the timeout expired.
pub async fn serve(
    listener: TcpListener,
    app: impl Endpoint + 'static,
    stop: impl Future<Output = ()>,
    drain_timeout: Option<Duration>,
) -> usize {
    let app: Arc<BoxEndpoint<'static, Response>> = Arc::new(app.map_to_response().boxed());
    let stopping = watch::Sender::new(false);
    let mut connections = JoinSet::new();
    tokio::pin!(stop);
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    connections.spawn(serve_connection(
                        stream,
                        Arc::clone(&app),
                        stopping.subscribe(),
                    ));
                }
                Err(error) => {
                    log::warn!("a caller's connection could not be accepted: {error}");
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
    app: Arc<BoxEndpoint<'static, Response>>,
    mut stopping: watch::Receiver<bool>,
) {
    let _ = stream.set_nodelay(true);
    let (Ok(local), Ok(remote)) = (stream.local_addr(), stream.peer_addr()) else {
        return;
    };
    let service = service_fn(move |request| {
        let app = Arc::clone(&app);
        let local = LocalAddr(Addr::SocketAddr(local));
        let remote = RemoteAddr(Addr::SocketAddr(remote));
        async move {
            let request = (request, local, remote, Scheme::HTTP).into();
            Ok::<_, std::convert::Infallible>(hyper::Response::from(
                app.get_response(request).await,
            ))
        }
    });
    let serving = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(REQUEST_HEAD_TIMEOUT)
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
