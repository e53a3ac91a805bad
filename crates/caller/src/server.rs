//! The HTTP server in front of the application.
//!
//! `poem`'s own server is not used. When a response body fails, hyper gives
//! the connection up without the end of the chunked body, which is how a
//! caller can tell a cut answer from a whole one; poem 3.1's server then
//! polls the failed connection once more, and that second poll writes the
//! missing end. A cut answer would look whole. Here a connection that failed
//! is dropped.

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

/// Time a caller has for the head of a request, and an idle connection until
/// it is closed.
const HEAD_TIMEOUT: Duration = Duration::from_mins(1);

/// Wait after a failed accept, such as for want of file descriptors.
const ACCEPT_RETRY: Duration = Duration::from_millis(10);

/// Serves `app` on `listener` until `stop` ends, then lets every connection
/// finish the request it is in, for as long as `bound` allows.
///
/// Gives the number of connections that were cut because of the bound.
pub async fn serve(
    listener: TcpListener,
    app: impl Endpoint + 'static,
    stop: impl Future<Output = ()>,
    bound: Option<Duration>,
) -> usize {
    let app: Arc<BoxEndpoint<'static, Response>> = Arc::new(app.map_to_response().boxed());
    let stopping = watch::Sender::new(false);
    let mut connections = JoinSet::new();
    tokio::pin!(stop);
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    connections.spawn(connection(stream, Arc::clone(&app), stopping.subscribe()));
                }
                Err(error) => {
                    log::warn!("a caller's connection could not be accepted: {error}");
                    tokio::time::sleep(ACCEPT_RETRY).await;
                }
            },
            Some(_ended) = connections.join_next() => {}
            () = &mut stop => break,
        }
    }
    drop(listener);
    stopping.send_replace(true);
    let drained = async { while connections.join_next().await.is_some() {} };
    match bound {
        None => drained.await,
        Some(bound) => {
            // Dropping the set cuts what is left.
            let _ = timeout(bound, drained).await;
        }
    }
    connections.len()
}

async fn connection(
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
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(served);
    let must_finish = tokio::select! {
        _ended = &mut served => false,
        _ = stopping.wait_for(|stopping| *stopping) => true,
    };
    if must_finish {
        served.as_mut().graceful_shutdown();
        // An error is the caller's going away, or a body cut on purpose.
        let _ = served.await;
    }
}
