//! Contains only the example `generate`, which regenerates the message types of `berylhook-peer`
//! from the protocol file.
//!
//! It is a separate package so that it builds even while `berylhook-peer` does not compile with the
//! old generated file.
