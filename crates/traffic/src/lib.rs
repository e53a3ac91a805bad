//! The decisions of an entry that speaks to targets itself, as pure state
//! machines: no socket, clock, thread or random source.
//!
//! | Module | Decides |
//! |---|---|
//! | [`configuration`] | which route, service and client account a request belongs to |
//! | [`directory`] | which targets exist, which are leaving, and which of two views is newer |
//! | [`concurrency`] | how many generations may run at once |
//! | [`dispatch`] | who waits, who is placed where, who is refused |
//! | [`health`] | which targets are avoided because of what came of their requests |
//! | [`ownership`] | which targets an entry uses first where many entries share them |
//! | [`engine_update`] | how slow engines are |
//! | [`retry_after`] | when refused callers should come back |
//! | [`stream`] | which events of a stream have been delivered, and where to go on |
//! | [`target`] | what a target and an incarnation of it are |
//! | [`invalid_entries`] | which entries of the list name no target |

pub mod concurrency;
pub mod configuration;
pub mod directory;
pub mod dispatch;
pub mod engine_update;
pub mod health;
pub mod invalid_entries;
pub mod ownership;
pub mod retry_after;
pub mod stream;
pub mod target;
