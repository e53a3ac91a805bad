//! Probes of a target that may have exited, because a caller abandoned a run there or a response
//! was lost.

use std::net::SocketAddr;
use std::pin::Pin;

use berylhook_target::probe::{self, ProbeOutcome};

/// The result of a probe.
pub type ProbeFuture<'a> = Pin<Box<dyn Future<Output = ProbeOutcome> + Send + 'a>>;

/// Determines which target listens at a target's address.
///
/// [`ProbeOutcome::Accepted`] is also the result for a listener that does not identify itself.
pub trait Probe: Send + Sync {
    /// Probes the target once.
    fn probe(&self) -> ProbeFuture<'_>;
}

/// Assumes that any listener at the address is the target.
pub struct AnyListener(pub SocketAddr);

impl Probe for AnyListener {
    fn probe(&self) -> ProbeFuture<'_> {
        Box::pin(probe::probe(self.0))
    }
}
