//! Catalogue items as they are stored and sent between processes.
//!
//! Each accepted version of an item is a separate document under
//! `berylhook/catalogue/<kind>/<name>/<version>`, which is created once and never rewritten. A
//! value that was written without validation therefore hides no earlier version: the current
//! version is the highest *valid* one, also for a process that starts later and reads only the
//! key-value service.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Prefix of the keys of all documents in the key-value service.
pub const CATALOGUE_PREFIX: &str = "berylhook/catalogue/";

/// Zero-padding makes the versions of an item sort by number.
const VERSION_DIGITS: usize = 10;

/// Kind of a catalogue item.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ItemKind {
    /// A model or plain HTTP service.
    Entry,
    /// A client account.
    Account,
    /// An expert-parallel group of ranks.
    Group,
}

impl ItemKind {
    /// All kinds, in the order of the variants.
    pub const ALL: [Self; 3] = [Self::Entry, Self::Account, Self::Group];

    /// Returns the name used in section titles and stored keys.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Entry => "entry",
            Self::Account => "account",
            Self::Group => "group",
        }
    }
}

/// Identifies a catalogue item, independent of its version.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ItemId {
    /// Kind of the item.
    pub kind: ItemKind,
    /// Name of the item, unique within its kind.
    pub name: Arc<str>,
}

/// The text is not the identifier of a catalogue item.
#[derive(Debug, Error, PartialEq, Eq)]
#[error("`{0}` names no catalogue item; write `entry NAME`, `account NAME` or `group NAME`")]
pub struct ParseItemIdError(String);

impl FromStr for ItemId {
    type Err = ParseItemIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let invalid = || ParseItemIdError(text.to_owned());
        let (kind, name) = text.split_once([' ', '/']).ok_or_else(invalid)?;
        let kind = ItemKind::ALL
            .into_iter()
            .find(|known| known.as_str() == kind)
            .ok_or_else(invalid)?;
        let name = name.trim();
        if !is_valid_name(name) {
            return Err(invalid());
        }
        Ok(Self {
            kind,
            name: name.into(),
        })
    }
}

/// Restricts names to characters that are safe in stored keys, paths and metric names.
fn is_valid_name(name: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    !name.is_empty() && name.len() <= 64 && name.chars().all(allowed)
}

impl fmt::Display for ItemId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.kind.as_str(), self.name)
    }
}

/// One version of one catalogue item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Random identifier set by the operator's command. It tells the command whether a write was
    /// applied when the response to the write was lost.
    pub change_id: Arc<str>,
    /// Operator who applied the change.
    pub author: Arc<str>,
    /// Time of the change by the author's clock. Shown to operators; no decision depends on it.
    pub applied_unix_ms: u64,
    /// Settings of the item; `None` if this version removes it.
    pub settings: Option<IndexMap<Arc<str>, Arc<str>>>,
}

/// Returns the key under which a version of an item is stored.
#[must_use]
pub fn version_key(id: &ItemId, version: u64) -> Arc<str> {
    let kind = id.kind.as_str();
    let name = &id.name;
    format!("{CATALOGUE_PREFIX}{kind}/{name}/{version:0VERSION_DIGITS$}").into()
}

/// Parses a stored key; `None` if it is not the key of a catalogue document.
#[must_use]
pub fn parse_version_key(key: &str) -> Option<VersionKey> {
    let rest = key.strip_prefix(CATALOGUE_PREFIX)?;
    let (item, version) = rest.rsplit_once('/')?;
    Some(VersionKey {
        id: item.parse().ok()?,
        version: version.parse().ok()?,
    })
}

/// The components of the stored key of a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionKey {
    /// Item that the document belongs to.
    pub id: ItemId,
    /// Version of the item, counted from 1.
    pub version: u64,
}

/// Key that every accepted change rewrites, so that one small read shows whether the catalogue has
/// changed.
pub const CATALOGUE_HEAD_KEY: &str = "berylhook/catalogue-head";

/// Key that holds the name of the limits' home, the entry process that divides the traffic limits
/// among all entry processes. The key is bound to that process's lease.
pub const LIMITS_HOME_KEY: &str = "berylhook/limits-home";
