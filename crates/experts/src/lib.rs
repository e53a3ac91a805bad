//! Expert maps of lock-step groups: which map every rank uses in every pass,
//! and when a better map is worth its cost.
//!
//! Pure state machines: reports, loads and times in, orders and plans out.
//!
//! - [`switching`]: all ranks of a group use one and the same map in every
//!   pass, whatever is lost, late, frozen or replaced.
//! - [`demand`]: the demand for experts, from counts that only grow.
//! - [`adapt`]: maps for a demand that shifts within seconds, under the limits
//!   of the engines.
//! - [`placement`]: experts on slots, and how evenly that loads the ranks.
//! - [`policy`]: whether to move experts, and which, where demand drifts over
//!   hours and weights are loaded from a store.

pub mod adapt;
pub mod demand;
pub mod placement;
pub mod policy;
pub mod switching;
