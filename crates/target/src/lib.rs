//! The agent's client to the target beside it.
//!
//! Two kinds of calls are kept apart:
//!
//! - A call that may be repeated uses a pooled connection.
//! - A call that must run at most once gets a connection of its own. On a
//!   pooled connection a request can fail because the target had just closed
//!   it, and the pool then either resends by itself or leaves open whether
//!   the target saw it. On a fresh connection "connect failed" proves that
//!   nothing was sent.
//!
//! The pool's own resend is switched off for both kinds: hyper-util repeats a
//! request whose reused connection closed early, and what is repeated here is
//! only ever decided by the retry rules of the core.

mod body;
mod client;
mod events;
pub mod probe;

pub use body::TargetResponseBody;
pub use client::{Call, HttpTarget, LoadReport, Target, TargetError, TargetResponse};
pub use events::EventSplitter;
