//! Parsing and validation of the files that operators write: the catalogue of services and
//! client accounts, and the settings of the daemons.
//!
//! Both formats are INI. [`ini_file`] parses sections and settings and records their line
//! numbers; [`catalogue`] and [`settings`] validate them and convert them to typed structs. Each
//! error names the line, the setting and how to correct it. An unknown setting is an error that
//! suggests the known setting with the most similar name.

pub mod catalogue;
pub mod change;
pub mod document;
pub mod ini_file;
mod process_limits;
pub mod settings;

pub use catalogue::{
    Account, Catalogue, Entry, EntryKind, Group, Objectives, PriorityClass, RetryPolicy,
};
pub use document::{Document, ItemId, ItemKind};
pub use ini_file::{IniError, IniFile, Section};
pub use process_limits::{ProcessLimits, RESERVED_DESCRIPTORS};
