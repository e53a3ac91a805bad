//! Listening sockets and the connections they accept.

use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};

use crate::request;
use crate::responses::Body;
use crate::shared::{Shared, Stage};

/// Wait after a failed accept, such as for want of file descriptors.
const ACCEPT_RETRY: Duration = Duration::from_millis(10);

/// Time that a caller's connection may stay open without a request, where no
/// configuration is known.
const DEFAULT_IDLE: Duration = Duration::from_secs(15);

/// Added to the configured idle time, so that a request which a caller sends
/// just in time does not cross the close.
const IDLE_SLACK: Duration = Duration::from_secs(2);

/// Bytes not acknowledged for this long were sent to a caller that is gone.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(5);

/// Head size where no configuration is known.
const DEFAULT_HEAD_BYTES: usize = 16 << 10;

/// Least buffer that the HTTP library accepts.
const LEAST_BUFFER_BYTES: usize = 8 << 10;

/// Accepts callers until the process closes.
pub(crate) async fn serve_callers(listener: TcpListener, shared: Arc<Shared>) {
    let mut stage = shared.stage.subscribe();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    tokio::spawn(connection(stream, Arc::clone(&shared)));
                }
                Err(error) => {
                    log::warn!(reason:% = error; "a caller's connection was not accepted");
                    tokio::time::sleep(ACCEPT_RETRY).await;
                }
            },
            _ = stage.wait_for(|stage| *stage == Stage::Closing) => return,
        }
    }
}

async fn connection(stream: TcpStream, shared: Arc<Shared>) {
    set_options(&stream);
    let limits = shared
        .configuration()
        .map(|configuration| configuration.limits);
    let idle = limits.map_or(DEFAULT_IDLE, |it| Duration::from_millis(it.idle_timeout_ms));
    let head_bytes = limits.map_or(DEFAULT_HEAD_BYTES, |it| it.max_header_bytes);
    let mut stage = shared.stage.subscribe();
    let open = shared.connections.open();
    let service = service_fn(move |request| respond(Arc::clone(&shared), request));
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle + IDLE_SLACK)
        .max_buf_size(head_bytes.max(LEAST_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(served);
    let is_closing = tokio::select! {
        _ended = &mut served => false,
        _ = stage.wait_for(|stage| *stage == Stage::Closing) => true,
    };
    if is_closing {
        served.as_mut().graceful_shutdown();
        // An error is the caller's going away, or an answer cut on purpose.
        let _ = served.await;
    }
    open.close();
}

fn set_options(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let set = stream
        .set_nodelay(true)
        .and_then(|()| socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT)));
    if let Err(error) = set {
        log::warn!(reason:% = error; "a connection's options cannot be set");
    }
}

async fn respond(
    shared: Arc<Shared>,
    request: Request<Incoming>,
) -> Result<Response<Body>, std::convert::Infallible> {
    let mut response = request::answer(Arc::clone(&shared), request).await;
    if *shared.stage.borrow() != Stage::Serving {
        // The caller opens its next connection at another entry.
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    Ok(response)
}
