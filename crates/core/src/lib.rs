//! The decisions of a load balancer for expert-parallel model groups, as pure
//! state machines.
//!
//! Nothing here opens a socket, reads a clock, starts a thread or draws a
//! random number: events and a monotonic time go in, typed decisions come
//! out. The daemons wrap these machines in sockets and threads; tests drive
//! them without sleeping; others can embed them one at a time.
//!
//! | Module | Decides |
//! |---|---|
//! | [`burn`] | how fast an entry uses up its error budget |
//! | [`digest`] | which requests are the same request, sent again |
//! | [`era_guard`] | when something may be claimed in a restored store |
//! | [`attempt`] | what one dispatched request means to its caller |
//! | [`start_gate`] | whether an order may still start beside a target |
//! | [`ledger`] | whether a keyed request may run, and what a repeat gets |
//! | [`lease`] | whether a holder may still act on a lease it once got |
//! | [`limit`] | how much of a limit a process may use |
//! | [`position`] | which of two points in a store's history is newer |
//! | [`quarantine`] | which requests are held back because targets end under them |
//! | [`retry`] | whether a retry is still affordable |
//! | [`route`] | which target gets a request |
//! | [`versions`] | which catalogue version is in force |
//! | [`liveness`] | when a silent connection is dead |

pub mod attempt;
pub mod burn;
pub mod digest;
pub mod era_guard;
pub mod ids;
pub mod lease;
pub mod ledger;
pub mod limit;
pub mod liveness;
pub mod outcome;
pub mod position;
pub mod quarantine;
pub mod retry;
pub mod route;
pub mod start_gate;
pub mod time;
pub mod versions;
