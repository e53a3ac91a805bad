//! Expert maps of expert-parallel model groups, whose ranks run every forward
//! pass in lock-step: which map each pass uses, and when a new map is worth
//! the cost of switching to it.
//!
//! All modules are pure state machines. They take reports, loads and times as
//! input and return commands and plans.
//!
//! - [`switching`]: all ranks of a group use the same map in every pass, even
//!   if commands are lost or delayed, or processes are frozen or replaced.
//! - [`demand`]: the demand for each expert, estimated from cumulative counters.
//! - [`adapt`]: maps for a demand that shifts within seconds, within the limits
//!   of the engines.
//! - [`placement`]: the placement of experts on slots, and the resulting load
//!   of each rank.
//! - [`policy`]: whether to move experts, and which ones, where demand drifts
//!   over hours and weights are loaded from a store.

pub mod adapt;
pub mod demand;
pub mod placement;
pub mod policy;
pub mod switching;
