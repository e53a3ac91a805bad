//! Liveness probe of a target: connects to its address to find out whether the process still runs.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Within a region, a connection is accepted or refused in a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// A process that is exiting may still accept a connection, but closes it within this time.
const EXIT_CLOSE_TIMEOUT: Duration = Duration::from_millis(100);

/// Number of connections that are closed at once before the target counts as running. A TCP
/// forwarder in front of a target accepts and closes some connections after the target has exited,
/// before connections are refused.
const MAX_CLOSED_CONNECTIONS: usize = 4;

/// Delay before the next connection after one that was closed at once.
const RECONNECT_DELAY: Duration = Duration::from_millis(30);

/// Result of a connection attempt to a target's address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeOutcome {
    /// The connection was accepted.
    Accepted,
    /// The connection was refused: nothing listens at the address, so the process has exited.
    Refused,
    /// There was no response: the VM is partitioned or has lost power.
    NoResponse,
    /// Another incarnation listens at the address: the process has exited.
    OtherIncarnation,
}

/// Opens a connection and closes it without sending anything.
pub async fn probe(address: SocketAddr) -> ProbeOutcome {
    match connect(address).await {
        Ok(_) => ProbeOutcome::Accepted,
        Err(outcome) => outcome,
    }
}

/// Whether the process at the address has exited. For use just after the process lost a response,
/// when it may be exiting and still accept connections.
pub async fn has_exited(address: SocketAddr) -> bool {
    for _ in 0..MAX_CLOSED_CONNECTIONS {
        let mut stream = match connect(address).await {
            Ok(stream) => stream,
            Err(outcome) => return outcome == ProbeOutcome::Refused,
        };
        // A running target sends nothing before it receives a request, so the read times out. If
        // the read completes, the connection was closed.
        let read = timeout(EXIT_CLOSE_TIMEOUT, stream.read(&mut [0; 1])).await;
        if read.is_err() {
            return false;
        }
        sleep(RECONNECT_DELAY).await;
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
