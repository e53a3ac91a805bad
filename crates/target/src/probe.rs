//! Whether a target's process still runs, by whether anybody listens at its address.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// A connection within a region is open or refused in a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// A process that is about to end may still accept; its connections end within this time.
const ENDS_WITHIN: Duration = Duration::from_millis(100);

/// Connections until a target counts as living. Where a forwarder stands before it, some
/// are accepted and closed before nobody listens any more.
const MOST_PROBES: usize = 4;

/// Time between a connection that was closed at once and the next.
const PROBE_PAUSE: Duration = Duration::from_millis(30);

/// What a connection to an address showed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeOutcome {
    /// Somebody took it.
    Accepted,
    /// Nobody listens there: the process has ended.
    Refused,
    /// Nothing came back: the VM is cut off or has lost its power.
    NoResponse,
    /// Another incarnation has taken the address: the process has ended.
    OtherIncarnation,
}

/// Opens one connection, and closes it without a word.
pub async fn probe(address: SocketAddr) -> ProbeOutcome {
    match connect(address).await {
        Ok(_) => ProbeOutcome::Accepted,
        Err(listening) => listening,
    }
}

/// Whether the process at the address has ended, asked just after it lost an answer: it
/// may be ending while it still accepts.
pub async fn has_exited(address: SocketAddr) -> bool {
    for _ in 0..MOST_PROBES {
        let mut stream = match connect(address).await {
            Ok(stream) => stream,
            Err(listening) => return listening == ProbeOutcome::Refused,
        };
        // A target says nothing on a connection without a request.
        let said = timeout(ENDS_WITHIN, stream.read(&mut [0; 1])).await;
        if said.is_err() {
            return false;
        }
        sleep(PROBE_PAUSE).await;
    }
    false
}

async fn connect(address: SocketAddr) -> Result<TcpStream, ProbeOutcome> {
    match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => Ok(stream),
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
            Err(ProbeOutcome::Refused)
        }
        Ok(Err(_)) | Err(_) => Err(ProbeOutcome::NoResponse),
    }
}
