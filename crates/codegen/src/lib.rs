//! Holds the example `generate`, which writes the message types of
//! `berylhook-peer` anew from its protocol file.
//!
//! It is a package of its own because it must build while the generated file
//! does not fit the rest of `berylhook-peer`.
