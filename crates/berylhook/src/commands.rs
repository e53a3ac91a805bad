//! The operators' commands.

pub(crate) mod burn;
pub(crate) mod catalogue;
pub(crate) mod causes;
pub(crate) mod check;
mod fleet;
pub(crate) mod quarantine;
pub(crate) mod status;
