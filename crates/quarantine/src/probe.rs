//! How a target is looked at that may have ended: its caller left a run there, or it lost an answer.

use std::net::SocketAddr;
use std::pin::Pin;

use berylhook_target::probe::{self, Listening};

/// What a look shows.
pub type ProbeFuture<'a> = Pin<Box<dyn Future<Output = Listening> + Send + 'a>>;

/// Finds out who listens at a target's address.
///
/// [`Listening::Accepted`] also stands for a listener that does not tell who it is.
pub trait Probe: Send + Sync {
    /// Asks the target once.
    fn probe(&self) -> ProbeFuture<'_>;
}

/// Takes any listener at the address for the target.
pub struct AnyListener(pub SocketAddr);

impl Probe for AnyListener {
    fn probe(&self) -> ProbeFuture<'_> {
        Box::pin(probe::probe(self.0))
    }
}
