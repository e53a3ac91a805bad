//! The decisions of a load balancer for expert-parallel model groups, as pure
//! state machines.
//!
//! No module opens a socket, starts a thread or draws a random number, and none but
//! [`time`] reads a clock: the inputs are events and the time, the outputs are typed
//! decisions. The daemons run these state machines behind sockets and threads, and
//! tests drive them without sleeping. Each module can be used on its own.
//!
//! | Module | Decides |
//! |---|---|
//! | [`answer_log`] | whether a store was out, or only this process's connections to it |
//! | [`burn`] | how fast an entry (a front-end process) uses up its error budget |
//! | [`digest`] | whether two requests are the same request, sent again |
//! | [`era_guard`] | when a key may be claimed in a store restored from a backup |
//! | [`attempt`] | which outcome of one dispatched attempt is reported to the caller |
//! | [`start_gate`] | whether an agent (the process beside a target) may still start a request |
//! | [`ledger`] | whether a request with an idempotency key may run, and the reply to a repeat |
//! | [`lease`] | whether the holder of a lease may still act on it |
//! | [`limit`] | how much of a shared limit a process may use |
//! | [`position`] | which of two points in a store's history is newer |
//! | [`prompt`] | which parts of their prompts two requests share |
//! | [`quarantine`] | which requests are rejected because targets crash while running them |
//! | [`retry`] | whether a failed request is retried |
//! | [`route`] | which target a request is sent to |
//! | [`versions`] | which version of a catalogue item is in force |
//! | [`watch_progress`] | which changes of a store its watches should have delivered |
//! | [`liveness`] | when a silent connection is considered dead |

pub mod answer_log;
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
pub mod prompt;
pub mod quarantine;
pub mod retry;
pub mod route;
pub mod start_gate;
pub mod time;
pub mod versions;
pub mod watch_progress;
