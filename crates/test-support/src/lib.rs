//! Stand-ins for the services that berylhook depends on, for tests, measurements and the
//! quickstart. Not shipped.
//!
//! Each stand-in serves the published protocol of the real service over a socket. Its handle
//! injects faults: outages, lost responses, stalls and cut connections. [`Daemon`] runs the real
//! binaries. Nothing here simulates a whole cluster; each test starts the processes that its
//! failure scenario needs.

// A stand-in that cannot do its work panics, which fails the test.
#![allow(clippy::missing_panics_doc)]

pub mod calls;
pub mod cluster;
pub mod command;
mod cut_off_target;
pub mod cut_response_target;
mod daemon;
mod endless_target;
mod engine;
pub mod group_model;
pub mod history;
mod http;
pub mod interruption;
mod kv;
mod link;
mod odd_entries;
mod peer;
mod plain;
mod platform_group;
mod platform_target;
mod rank_requests;
mod raw_target;
pub mod retry_model;
pub mod spoiled_head_target;
mod vms;

pub use cut_off_target::CutOffTarget;
pub use daemon::{Daemon, LogOutput, Signal, binary, free_address};
pub use endless_target::{EndlessTarget, Pace, Stage};
pub use engine::{Engine, EngineConfig};
pub use http::{Response, Server};
pub use kv::{KeyValueStandIn, Outage, StoreSnapshot, WriteFault};
pub use link::{Fault, Link};
pub use odd_entries::{OddEntry, odd_entries};
pub use peer::PeerStandIn;
pub use plain::{PlainRun, PlainService};
pub use platform_group::{EXPERT_COUNT, PlatformGroup, STREAM_PATH};
pub use platform_target::{
    Behaviour, EVENTS_PER_STREAM, POISON_BODY, POISON_PART, PlatformTarget, TargetRun,
    shares_poison_part,
};
pub use rank_requests::Abandoned;
pub use raw_target::{ConnectionEnd, RawTarget};
pub use vms::VmListStandIn;
