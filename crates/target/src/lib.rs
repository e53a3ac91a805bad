//! HTTP client of the agent for the target beside it.
//!
//! There are two kinds of calls:
//!
//! - A call that may be repeated uses a pooled connection.
//! - A call that must run at most once uses a new connection. On a pooled connection, a request can
//!   fail because the target has just closed the connection; the pool then either resends the
//!   request on its own or leaves open whether the target received it. On a new connection, a
//!   failure to connect proves that nothing was sent.
//!
//! The pool's own retries are disabled for both kinds. hyper-util resends a request if its reused
//! connection closed early, but only the retry rules in `berylhook-core` may decide on retries.

mod body;
mod client;
mod connector;
mod events;
pub mod probe;

pub use body::TargetResponseBody;
pub use client::{Call, HttpTarget, LoadReport, Target, TargetError, TargetResponse};
pub use events::{EventSplitter, EventTooLong, MAX_EVENT_BYTES};
