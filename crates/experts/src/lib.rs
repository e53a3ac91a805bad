//! Expert maps of lock-step groups: which map every rank uses in every step,
//! and when a better map is worth its cost.
//!
//! Pure state machines: messages, loads and times in, messages and plans out.
//!
//! - [`agreement`]: all ranks of a group use one and the same map in every
//!   step, whatever is lost, late, frozen or replaced.
//! - [`placement`]: experts on slots, and how evenly that loads the ranks.
//! - [`policy`]: whether to move experts, and which.

pub mod adapt;
pub mod agreement;
pub mod demand;
pub mod placement;
pub mod policy;
pub mod switching;
