//! The entry that speaks to targets itself.
//!
//! Callers' requests come in over HTTP, the configuration decides where they
//! go, and each goes straight to a target over a connection of its own. One
//! thread holds control state (the store, peers, settings), another carries
//! traffic. The decisions are those of `berylhook-traffic`.

mod backpressure;
mod call;
mod connection_headers;
mod control;
mod era_tracker;
mod health_check;
mod job;
mod limits;
mod metrics;
mod peers;
mod plain;
mod quarantine;
mod queue;
pub mod readiness;
mod request;
mod responses;
mod run;
mod server;
pub mod settings;
mod shared;
mod store_watch;
mod streaming;

pub use run::run;
