//! An entry (front-end process) that sends requests directly to targets.
//!
//! Callers' requests arrive over HTTP. The configuration selects their service, and each is sent
//! to a target over a new connection. One thread holds the control state (store, peers,
//! settings), another one carries the traffic. The dispatch decisions are made in
//! `berylhook-traffic`.

mod backpressure;
mod call;
mod cold_targets;
mod connection_headers;
mod control;
mod era_tracker;
mod health_check;
mod job;
mod limits;
mod metrics;
pub mod notifications;
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
mod slot_exchange;
mod store_progress;
mod store_watch;
mod streaming;

pub use run::run;
