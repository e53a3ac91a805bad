//! Catalogue items as they are stored and passed between processes.
//!
//! Each accepted version of an item is a document of its own under
//! `berylhook/catalogue/<kind>/<name>/<version>`, created once and never
//! rewritten. A value that was written past the checks therefore hides
//! nothing: the highest version that is *valid* is in force, also for a
//! process that is born later and has only the service to ask.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Where the documents are kept.
pub const CATALOGUE_PREFIX: &str = "berylhook/catalogue/";

const VERSION_DIGITS: usize = 10;

/// The kinds of catalogue items.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ItemKind {
    /// A model or plain service.
    Entry,
    /// A client account.
    Account,
    /// A group of ranks in lock-step.
    Group,
}

impl ItemKind {
    /// All kinds.
    pub const ALL: [Self; 3] = [Self::Entry, Self::Account, Self::Group];

    /// The name in section titles and keys.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Entry => "entry",
            Self::Account => "account",
            Self::Group => "group",
        }
    }
}

/// Names an item across its versions.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ItemId {
    /// What it is.
    pub kind: ItemKind,
    /// Its name.
    pub name: Arc<str>,
}

/// The text names no catalogue item.
#[derive(Debug, Error, PartialEq, Eq)]
#[error("`{0}` names no catalogue item; write `entry NAME`, `account NAME` or `group NAME`")]
pub struct ParseItemIdError(String);

impl FromStr for ItemId {
    type Err = ParseItemIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let bad = || ParseItemIdError(text.to_owned());
        let (kind, name) = text.split_once([' ', '/']).ok_or_else(bad)?;
        let kind = ItemKind::ALL
            .into_iter()
            .find(|known| known.as_str() == kind)
            .ok_or_else(bad)?;
        let name = name.trim();
        if !is_name(name) {
            return Err(bad());
        }
        Ok(Self {
            kind,
            name: name.into(),
        })
    }
}

/// Names become parts of keys, paths and metric names.
fn is_name(name: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    !name.is_empty() && name.len() <= 64 && name.chars().all(allowed)
}

impl fmt::Display for ItemId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.kind.as_str(), self.name)
    }
}

/// One version of one item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Drawn by the operator's command, to find a write whose answer was
    /// lost.
    pub change_id: Arc<str>,
    /// Who applied it.
    pub author: Arc<str>,
    /// When, by the author's clock; for people only.
    pub applied_unix_ms: u64,
    /// The settings, or nothing where the item was removed.
    pub settings: Option<IndexMap<Arc<str>, Arc<str>>>,
}

/// The key of a version of an item.
#[must_use]
pub fn version_key(id: &ItemId, version: u64) -> Arc<str> {
    let kind = id.kind.as_str();
    let name = &id.name;
    format!("{CATALOGUE_PREFIX}{kind}/{name}/{version:0VERSION_DIGITS$}").into()
}

/// Reads a key back; `None` if it is no key of the catalogue.
#[must_use]
pub fn parse_version_key(key: &str) -> Option<VersionKey> {
    let rest = key.strip_prefix(CATALOGUE_PREFIX)?;
    let (item, version) = rest.rsplit_once('/')?;
    Some(VersionKey {
        id: item.parse().ok()?,
        version: version.parse().ok()?,
    })
}

/// A key taken apart.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionKey {
    /// The item.
    pub id: ItemId,
    /// The version, from 1.
    pub version: u64,
}

/// Rewritten by every accepted change, so that one small read tells whether
/// anything has changed.
pub const CATALOGUE_HEAD_KEY: &str = "berylhook/catalogue-head";

/// Names the entry that splits the limits; bound to its lease.
pub const LIMITS_HOME_KEY: &str = "berylhook/limits-home";
