//! Accepts callers' connections and serves HTTP on them.

use std::io::{self, ErrorKind};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use berylhook_ingress::{ClientStream, CloseCause, ConnectionGuard, StreamTimeouts, TrackedBody};
use berylhook_traffic::configuration::Configuration;
use berylhook_traffic::shutdown::ShutdownStage;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::yield_now;
use tokio::time::timeout;

use crate::request;
use crate::responses::Body;
use crate::shared::{OpenConnection, Shared};

/// Delay after a failed accept, for example for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Idle timeout of a caller's connection before a configuration is known.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Timeout of the head of a request before a configuration is known.
const DEFAULT_HEAD_TIMEOUT: Duration = Duration::from_secs(3);

/// Added to the configured timeouts, so that a request that a caller sends just in time does
/// not meet a closing connection.
const IDLE_GRACE: Duration = Duration::from_secs(2);

/// How long a connection without any request stays open after the listener has closed. Callers that
/// have just connected send their first request at once, and an answer tells them that it did not run.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(200);

/// Shortest time after which a caller that acknowledges no bytes is gone.
const MIN_UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum size of a request head before a configuration is known.
const DEFAULT_MAX_HEAD_BYTES: usize = 16 << 10;

/// Sent on a connection for which there is no place.
const NO_PLACE_RESPONSE: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\n\
    connection: close\r\ncontent-length: 0\r\n\r\n";

/// Smallest buffer size that the HTTP library accepts.
const MIN_BUFFER_BYTES: usize = 8 << 10;

/// Accepts callers' connections until the process closes.
pub(crate) async fn serve_callers(listener: TcpListener, shared: Arc<Shared>) {
    let mut stage = shared.stage.subscribe();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    spawn_connection(stream, &shared);
                    shared.connection_table.until_replaced().await;
                }
                Err(error) => {
                    log::warn!(reason:% = error; "a connection could not be accepted");
                    shared.connection_table.close_one(Instant::now());
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            },
            _ = stage.wait_for(|stage| *stage >= ShutdownStage::Closing) => break,
        }
    }
    if let Err(error) = accept_backlog(listener, &shared) {
        log::warn!(reason:% = error; "the last connections could not be accepted");
    }
}

/// Accepts the connections that the kernel has already opened, as closing the listener resets them.
fn accept_backlog(listener: TcpListener, shared: &Arc<Shared>) -> io::Result<()> {
    // The event loop may not know of the last ones yet, and bounds the operations of one task.
    let listener = listener.into_std()?;
    loop {
        match listener.accept() {
            Ok((stream, _)) => {
                stream.set_nonblocking(true)?;
                spawn_connection(TcpStream::from_std(stream)?, shared);
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(()),
            // The caller has given this connection up.
            Err(error) if error.kind() == ErrorKind::ConnectionAborted => {}
            Err(error) => return Err(error),
        }
    }
}

fn spawn_connection(stream: TcpStream, shared: &Arc<Shared>) {
    let Ok(place) = shared.connection_table.open(Instant::now()) else {
        // A caller that has sent nothing yet reads this; else the connection is reset.
        let _ = stream.try_write(NO_PLACE_RESPONSE);
        shared.log_closed_connection(CloseCause::NoPlace);
        return;
    };
    let open_connection = shared.connections.open();
    tokio::spawn(serve_connection(
        stream,
        Arc::clone(shared),
        Arc::new(place),
        open_connection,
    ));
}

async fn serve_connection(
    stream: TcpStream,
    shared: Arc<Shared>,
    place: Arc<ConnectionGuard>,
    open_connection: OpenConnection,
) {
    let closing = place.until_closed();
    let serving = serve_requests(stream, Arc::clone(&shared), Arc::clone(&place));
    tokio::select! {
        () = serving => {}
        () = closing => shared.log_closed_connection(CloseCause::Replaced),
    }
    open_connection.close();
}

/// Serves the requests of a connection until it ends.
async fn serve_requests(stream: TcpStream, shared: Arc<Shared>, place: Arc<ConnectionGuard>) {
    let configuration = shared.configuration();
    set_options(&stream, unacknowledged_timeout(configuration.as_deref()));
    let limits = configuration.map(|configuration| configuration.limits);
    let idle_timeout = limits.map_or(DEFAULT_IDLE_TIMEOUT, |limits| {
        Duration::from_millis(limits.idle_timeout_ms)
    });
    let head_timeout = limits.map_or(DEFAULT_HEAD_TIMEOUT, |limits| {
        Duration::from_millis(limits.header_timeout_ms)
    });
    let timeouts = StreamTimeouts {
        head: head_timeout + IDLE_GRACE,
    };
    let stream = ClientStream::new(stream, Arc::clone(&place), timeouts);
    let max_head_bytes = limits.map_or(DEFAULT_MAX_HEAD_BYTES, |limits| limits.max_header_bytes);
    let mut stage = shared.stage.subscribe();
    let has_request = AtomicBool::new(false);
    let service = service_fn(|request| {
        has_request.store(true, Ordering::Relaxed);
        respond(Arc::clone(&shared), Arc::clone(&place), request)
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle_timeout + IDLE_GRACE)
        .max_buf_size(max_head_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let mut is_open = tokio::select! {
        _ended = &mut connection => false,
        _ = stage.wait_for(|stage| *stage >= ShutdownStage::Closing) => true,
    };
    if is_open && !has_request.load(Ordering::Relaxed) {
        is_open = timeout(FIRST_REQUEST_TIMEOUT, &mut connection)
            .await
            .is_err();
    }
    if is_open {
        // The event loop has to run once to report a request that has arrived. If it is not read
        // now, closing the connection resets it.
        is_open = tokio::select! {
            biased;
            _ended = &mut connection => false,
            () = yield_now() => true,
        };
    }
    if is_open {
        connection.as_mut().graceful_shutdown();
        // An error means that the caller disconnected, or that a response was truncated on
        // purpose.
        let _ = connection.await;
    }
}

/// The time after which sent bytes that are not acknowledged, or not taken, end a connection.
///
/// The kernel does not tell a caller that is gone from one that reads nothing for a while, as its
/// buffers are full. So a connection is kept as long as a response may be of use.
fn unacknowledged_timeout(configuration: Option<&Configuration>) -> Duration {
    let longest = configuration.map_or(Duration::ZERO, |configuration| {
        Duration::from_millis(configuration.longest_timeout_ms)
    });
    longest.max(MIN_UNACKNOWLEDGED_TIMEOUT)
}

fn set_options(stream: &TcpStream, unacknowledged_timeout: Duration) {
    let socket = SockRef::from(stream);
    let result = stream
        .set_nodelay(true)
        .and_then(|()| socket.set_tcp_user_timeout(Some(unacknowledged_timeout)));
    if let Err(error) = result {
        log::warn!(reason:% = error; "the socket options of a connection could not be set");
    }
}

async fn respond(
    shared: Arc<Shared>,
    place: Arc<ConnectionGuard>,
    request: Request<Incoming>,
) -> Result<Response<TrackedBody<Body>>, std::convert::Infallible> {
    let mut response = request::handle(Arc::clone(&shared), &place, request).await;
    if *shared.stage.borrow() != ShutdownStage::Serving {
        // The caller then opens its next connection at another entry.
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    Ok(response.map(|body| TrackedBody::new(body, place)))
}
