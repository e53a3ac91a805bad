//! The operators' commands.

pub(crate) mod check;
