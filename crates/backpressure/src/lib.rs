//! Back-pressure: what targets say of how much they take, and what follows from it.
//!
//! | Module | Job |
//! |---|---|
//! | [`rate`] | a limit in requests a second, within sensible bounds |
//! | [`signal`] | what one answer says |
//! | [`gate`] | what one target has said last |

pub mod gate;
pub mod rate;
pub mod signal;
