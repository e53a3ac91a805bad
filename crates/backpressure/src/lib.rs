//! Back-pressure: what targets say of how much they take, and what follows from it.
//!
//! A limit that a target names holds over all entries together. Each entry sends there
//! under *permits*. One entry, the *home*, gives them out at the rate of the limit, to
//! whoever wants to send. No request waits for a message: an entry asks for permits ahead,
//! by what it could have sent of late, and sends to other targets meanwhile. While no
//! target names a limit there are no messages at all.
//!
//! What keeps the sum below the limit:
//!
//! - A permit ends on its holder's clock, counted from when it *asked*.
//! - A home begins in debt by what a former home may have given out, until all who may have
//!   got permits from it have told how many they have.
//! - An entry is home only while it reaches no entry that goes before it.
//! - A home that hears from no majority of the entries gives out the part of the limit
//!   that those it hears are of all.
//!
//! Lost messages and entries that end waste permits for a second or two; they add none.
//!
//! | Module | Job |
//! |---|---|
//! | [`rate`] | a limit in requests a second, within sensible bounds |
//! | [`signal`] | what one answer says |
//! | [`gate`] | what one target has said last, and whether it may get a request now |
//! | [`allocation`] | gives out the permits for one target |
//! | [`coordinator`] | who is home, who asks, and who is told |
//! | [`messages`] | what entries tell each other |

pub mod allocation;
pub mod coordinator;
pub mod gate;
pub mod messages;
pub mod rate;
pub mod signal;
