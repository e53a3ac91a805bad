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

pub use catalogue::{Account, Catalogue, Class, Entry, Group, Kind, Objectives, Repeat};
pub use document::{Document, DocumentId, ItemKind};
pub use ini_file::{IniError, IniFile, Section};
