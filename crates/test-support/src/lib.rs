//! Small stand-ins for what berylhook meets outside, for tests, benches and
//! the quickstart. Not shipped.
//!
//! Each stand-in speaks the published protocol of what it stands for over a
//! real socket, and is steered through its handle: outages, lost answers,
//! stalls, cuts. [`Daemon`] starts the real binaries. None of it simulates a
//! cluster; a test wires up what its failure needs.

// A stand-in that cannot do its part panics, and the test fails.
#![allow(clippy::missing_panics_doc)]

pub mod calls;
pub mod cluster;
pub mod command;
mod daemon;
mod engine;
pub mod group_model;
pub mod history;
mod http;
mod kv;
mod link;
mod plain;
mod platform_group;
mod platform_target;
mod vms;

pub use daemon::{Daemon, Signal, binary, free_address};
pub use engine::{Engine, EngineConfig};
pub use http::{Response, Server};
pub use kv::{KeyValueStandIn, Outage, StoreSnapshot};
pub use link::{Fault, Link};
pub use plain::{PlainRun, PlainService};
pub use platform_group::{EXPERT_COUNT, PlatformGroup};
pub use platform_target::{Behaviour, EVENTS_PER_STREAM, POISON_BODY, PlatformTarget, TargetRun};
pub use vms::VmListStandIn;
