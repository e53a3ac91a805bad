//! Back-pressure: request rate limits and backoff times that targets announce, and their
//! enforcement by the entries (the front-end processes).
//!
//! A rate limit announced by a target applies to the sum over all entries. An entry needs
//! a *permit* for each request to such a target. One entry, the *home*, grants permits at
//! the rate of the limit to the entries that request them. No request waits for a permit
//! message: an entry requests permits in advance, according to its recent demand, and
//! sends requests to other targets in the meantime. While no target announces a limit,
//! the entries exchange no messages.
//!
//! The sum over all entries stays within the limit because of these rules:
//!
//! - A permit expires on its holder's clock, counted from when the holder *requested* it.
//! - A new home starts in debt by the number of permits that a previous home may have
//!   granted, until all entries that may have such permits have reported how many they
//!   hold.
//! - An entry acts as home only while it cannot reach any entry that precedes it in the
//!   ranking.
//! - A home that is not in contact with a majority of the entries grants only a fraction
//!   of the limit: the number of entries it is in contact with, itself included, divided
//!   by the number of all entries.
//!
//! Lost messages and exiting entries waste permits for one or two seconds but never cause
//! additional permits.
//!
//! | Module | Purpose |
//! |---|---|
//! | [`rate`] | a rate limit in requests per second, clamped to a valid range |
//! | [`signal`] | back-pressure signals in a response of a target |
//! | [`gate`] | admission control for one target, according to its last signals |
//! | [`allocation`] | the home's allocation of permits for one target |
//! | [`home`] | which entry is the home of a service |
//! | [`coordinator`] | permit requests and notification of peers |
//! | [`messages`] | messages between entries |

pub mod allocation;
pub mod coordinator;
pub mod gate;
pub mod home;
pub mod messages;
pub mod rate;
pub mod signal;
