//! Changes to the catalogue: what is in force, what an operator wants, and
//! the documents that lead from one to the other.

use std::fmt::Write;
use std::sync::Arc;

use indexmap::IndexMap;
use thiserror::Error;

use crate::catalogue::{Catalogue, CatalogueItem};
use crate::document::{Document, ItemId, VersionKey};
use crate::ini_file::{IniError, IniFile};

/// An item's settings as written.
pub type ItemSettings = IndexMap<Arc<str>, Arc<str>>;

/// Changes in one transaction at most; the key-value service bounds it.
pub const MAX_CHANGES_PER_TRANSACTION: usize = 40;

/// Old versions kept of each item, for `berylhook catalogue history`.
pub const RETAINED_VERSIONS: u64 = 10;

/// Begins the line that names the revision a file was read at.
const REVISION_LINE: &str = "# revision ";

/// Why a file cannot be applied.
#[derive(Debug, Error, PartialEq)]
pub enum ChangeError {
    /// The file is not valid.
    #[error(transparent)]
    Invalid(#[from] IniError),
    /// An item speaks of an entry that is not there.
    #[error(
        "{item} names the entry `{entry}`, which is not in the file; add it or correct the name"
    )]
    UnknownEntry {
        /// The item.
        item: String,
        /// The entry it names.
        entry: String,
    },
    /// Two entries want the same path.
    #[error("entries {first} and {second} both have the path {path}; give one another path")]
    DuplicatePath {
        /// One entry.
        first: String,
        /// The other.
        second: String,
        /// The path.
        path: String,
    },
    /// Items are missing, and removal was not asked for.
    #[error("the file lacks {0}, which is in force; add it, or say --remove to remove it")]
    WouldRemove(String),
    /// Too many changes for one transaction.
    #[error(
        "the file changes {0} items, over the {MAX_CHANGES_PER_TRANSACTION} of one transaction; apply it in parts"
    )]
    TooManyChanges(usize),
}

/// An item in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CurrentItem {
    /// Its version; the highest valid one.
    pub version: u64,
    /// The highest version stored, valid or not.
    pub highest_stored_version: u64,
    /// Its settings; nothing where it was removed.
    pub settings: Option<ItemSettings>,
}

/// Everything stored, reduced to what is in force.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoredCatalogue {
    /// Items by name.
    pub items: IndexMap<ItemId, CurrentItem>,
}

/// One change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ItemChange {
    /// The item.
    pub id: ItemId,
    /// The version it gets.
    pub version: u64,
    /// Its settings from then on; nothing removes it.
    pub settings: Option<ItemSettings>,
}

impl StoredCatalogue {
    /// Adds a stored version; an invalid one is never in force.
    pub fn add(&mut self, key: VersionKey, value: &[u8]) {
        let checked = serde_json::from_slice::<Document>(value)
            .ok()
            .filter(|document| is_valid(&key.id, document));
        let known = self.items.entry(key.id).or_insert(CurrentItem {
            version: 0,
            highest_stored_version: 0,
            settings: None,
        });
        known.highest_stored_version = known.highest_stored_version.max(key.version);
        match checked {
            Some(document) if key.version > known.version => {
                known.version = key.version;
                known.settings = document.settings;
            }
            _ => {}
        }
    }

    /// The catalogue as a file that `apply` takes.
    #[must_use]
    pub fn to_ini(&self, revision: i64) -> String {
        let mut text = format!("{REVISION_LINE}{revision}\n");
        let mut ids: Vec<_> = self.items.keys().collect();
        ids.sort();
        for id in ids {
            if let Some(settings) = &self.items[id].settings {
                push_section(&mut text, id, settings);
            }
        }
        text
    }

    /// The changes that lead to `wanted`.
    ///
    /// # Errors
    ///
    /// If there are too many, or items would be removed without `remove`.
    pub fn changes_to(
        &self,
        wanted: &IndexMap<ItemId, ItemSettings>,
        remove: bool,
    ) -> Result<Vec<ItemChange>, ChangeError> {
        let mut changes = Vec::new();
        for (id, settings) in wanted {
            let known = self.items.get(id);
            if known.and_then(|known| known.settings.as_ref()) != Some(settings) {
                changes.push(self.change(id, Some(settings.clone())));
            }
        }
        for (id, known) in &self.items {
            match known.settings {
                Some(_) if !wanted.contains_key(id) && !remove => {
                    return Err(ChangeError::WouldRemove(id.to_string()));
                }
                Some(_) if !wanted.contains_key(id) => changes.push(self.change(id, None)),
                _ => {}
            }
        }
        if changes.len() > MAX_CHANGES_PER_TRANSACTION {
            return Err(ChangeError::TooManyChanges(changes.len()));
        }
        Ok(changes)
    }

    fn change(&self, id: &ItemId, settings: Option<ItemSettings>) -> ItemChange {
        let highest = self
            .items
            .get(id)
            .map_or(0, |known| known.highest_stored_version);
        ItemChange {
            id: id.clone(),
            version: highest + 1,
            settings,
        }
    }
}

fn is_valid(id: &ItemId, document: &Document) -> bool {
    match &document.settings {
        Some(settings) => CatalogueItem::from_settings(id, settings).is_ok(),
        None => true,
    }
}

fn push_section(text: &mut String, id: &ItemId, settings: &ItemSettings) {
    writeln!(text, "\n[{id}]").expect("strings can be written to");
    for (name, value) in settings {
        writeln!(text, "{name} = {value}").expect("strings can be written to");
    }
}

/// The revision that a file says it was read at.
#[must_use]
pub fn base_revision(text: &str) -> Option<i64> {
    text.lines()
        .find_map(|line| line.strip_prefix(REVISION_LINE))
        .and_then(|revision| revision.trim().parse().ok())
}

/// Checks a file and gives its items as written.
///
/// # Errors
///
/// If an item is not valid by itself, or does not fit the others.
pub fn parse_desired(text: &str) -> Result<IndexMap<ItemId, ItemSettings>, ChangeError> {
    let catalogue = Catalogue::parse(text)?;
    check_references(&catalogue)?;
    check_paths(&catalogue)?;
    let mut wanted = IndexMap::new();
    for section in IniFile::parse(text)?.sections {
        let Ok(id) = section.title.parse() else {
            continue; // cannot be: the catalogue has parsed
        };
        let settings = section
            .settings
            .into_iter()
            .map(|setting| (setting.name, setting.value))
            .collect();
        wanted.insert(id, settings);
    }
    Ok(wanted)
}

fn check_references(catalogue: &Catalogue) -> Result<(), ChangeError> {
    let of_accounts = catalogue.accounts.values().flat_map(|account| {
        let item = format!("account {}", account.name);
        account
            .entries
            .iter()
            .map(move |entry| (item.clone(), entry))
    });
    let of_groups = catalogue
        .groups
        .values()
        .map(|group| (format!("group {}", group.name), &group.entry));
    for (item, entry) in of_accounts.chain(of_groups) {
        if !catalogue.entries.contains_key(entry) {
            return Err(ChangeError::UnknownEntry {
                item,
                entry: entry.to_string(),
            });
        }
    }
    Ok(())
}

fn check_paths(catalogue: &Catalogue) -> Result<(), ChangeError> {
    let mut by_path = IndexMap::new();
    for entry in catalogue.entries.values() {
        let Some(path) = &entry.path else {
            continue;
        };
        if let Some(first) = by_path.insert(Arc::clone(path), Arc::clone(&entry.name)) {
            return Err(ChangeError::DuplicatePath {
                first: first.to_string(),
                second: entry.name.to_string(),
                path: path.to_string(),
            });
        }
    }
    Ok(())
}
