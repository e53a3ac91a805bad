//! What operators write: the catalogue, and the daemons' settings.
//!
//! Both are INI. Low-level parsing ([`ini_file`]) knows sections, settings
//! and line numbers; the checked forms ([`catalogue`], [`settings`]) know
//! what is allowed. Every error names the line, the setting and the remedy,
//! and an unknown setting is an error that names the nearest known one.

pub mod catalogue;
pub mod change;
pub mod document;
pub mod ini_file;
pub mod settings;

pub use catalogue::{
    Account, Catalogue, Entry, EntryKind, Group, Objectives, PriorityClass, RetryPolicy,
};
pub use document::{Document, ItemId, ItemKind};
pub use ini_file::{IniError, IniFile, Section};
