//! Changes to the catalogue: the stored state, the state that an operator's file describes, and
//! the new document versions that lead from one to the other.

use std::fmt::Write;
use std::sync::Arc;

use indexmap::IndexMap;
use thiserror::Error;

use crate::catalogue::{Catalogue, CatalogueItem};
use crate::document::{Document, ItemId, VersionKey};
use crate::ini_file::{IniError, IniFile};

/// Settings of an item as written in a catalogue file, in the order of the file.
pub type ItemSettings = IndexMap<Arc<str>, Arc<str>>;

/// Maximum number of item changes in one transaction. The key-value service limits the size of a
/// transaction.
pub const MAX_CHANGES_PER_TRANSACTION: usize = 40;

/// Number of old versions retained for each item, for `berylhook catalogue history`.
pub const RETAINED_VERSIONS: u64 = 10;

/// Start of the comment line that holds the store revision at which a file was read.
const REVISION_LINE: &str = "# revision ";

/// Reason why a catalogue file cannot be applied.
#[derive(Debug, Error, PartialEq)]
pub enum ChangeError {
    /// The file is not a valid catalogue.
    #[error(transparent)]
    Invalid(#[from] IniError),
    /// An item refers to an entry that the file does not define.
    #[error(
        "{item} names the entry `{entry}`, which is not in the file; add it or correct the name"
    )]
    UnknownEntry {
        /// Item that holds the reference.
        item: String,
        /// Name of the missing entry.
        entry: String,
    },
    /// Two entries have the same path.
    #[error(
        "entries {first} and {second} both have the path {path}; change the path of one of them"
    )]
    DuplicatePath {
        /// Entry that comes first in the file.
        first: String,
        /// Entry that repeats the path.
        second: String,
        /// The path of both entries.
        path: String,
    },
    /// A stored item is missing from the file, and removal was not requested.
    #[error("the file lacks {0}, which is in force; add it, or say --remove to remove it")]
    WouldRemove(String),
    /// More changes than [`MAX_CHANGES_PER_TRANSACTION`].
    #[error(
        "the file changes {0} items, more than the {MAX_CHANGES_PER_TRANSACTION} of one \
         transaction; apply it in parts"
    )]
    TooManyChanges(usize),
}

/// The current state of an item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CurrentItem {
    /// Highest valid version; 0 if there is none.
    pub version: u64,
    /// Highest stored version, valid or not. The next version follows this one.
    pub highest_stored_version: u64,
    /// Settings of the current version; `None` if the item was removed or has no valid version.
    pub settings: Option<ItemSettings>,
}

/// The current state of all items, built from all stored versions.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoredCatalogue {
    /// Items by kind and name, including removed ones.
    pub items: IndexMap<ItemId, CurrentItem>,
}

/// A new version of one item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ItemChange {
    /// Item to change.
    pub id: ItemId,
    /// Version number of the change.
    pub version: u64,
    /// New settings; `None` removes the item.
    pub settings: Option<ItemSettings>,
}

impl StoredCatalogue {
    /// Adds a stored version. An invalid version never becomes the current one.
    pub fn add(&mut self, key: VersionKey, value: &[u8]) {
        let valid_document = serde_json::from_slice::<Document>(value)
            .ok()
            .filter(|document| is_valid(&key.id, document));
        let current = self.items.entry(key.id).or_insert(CurrentItem {
            version: 0,
            highest_stored_version: 0,
            settings: None,
        });
        current.highest_stored_version = current.highest_stored_version.max(key.version);
        match valid_document {
            Some(document) if key.version > current.version => {
                current.version = key.version;
                current.settings = document.settings;
            }
            _ => {}
        }
    }

    /// Formats the catalogue as a file that `berylhook catalogue apply` accepts.
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

    /// Returns the changes that lead from the stored state to `desired`.
    ///
    /// # Errors
    ///
    /// If there are more than [`MAX_CHANGES_PER_TRANSACTION`] changes, or if items would be removed
    /// and `remove` is not set.
    pub fn changes_to(
        &self,
        desired: &IndexMap<ItemId, ItemSettings>,
        remove: bool,
    ) -> Result<Vec<ItemChange>, ChangeError> {
        let mut changes = Vec::new();
        for (id, settings) in desired {
            let current = self.items.get(id);
            if current.and_then(|current| current.settings.as_ref()) != Some(settings) {
                changes.push(self.next_version(id, Some(settings.clone())));
            }
        }
        for (id, current) in &self.items {
            match current.settings {
                Some(_) if !desired.contains_key(id) && !remove => {
                    return Err(ChangeError::WouldRemove(id.to_string()));
                }
                Some(_) if !desired.contains_key(id) => changes.push(self.next_version(id, None)),
                _ => {}
            }
        }
        if changes.len() > MAX_CHANGES_PER_TRANSACTION {
            return Err(ChangeError::TooManyChanges(changes.len()));
        }
        Ok(changes)
    }

    fn next_version(&self, id: &ItemId, settings: Option<ItemSettings>) -> ItemChange {
        let highest_version = self
            .items
            .get(id)
            .map_or(0, |current| current.highest_stored_version);
        ItemChange {
            id: id.clone(),
            version: highest_version + 1,
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

/// Returns the store revision at which the catalogue in the file was read, if the file names it.
#[must_use]
pub fn base_revision(text: &str) -> Option<i64> {
    text.lines()
        .find_map(|line| line.strip_prefix(REVISION_LINE))
        .and_then(|revision| revision.trim().parse().ok())
}

/// Validates a catalogue file and returns its items as written.
///
/// # Errors
///
/// If an item is invalid, refers to an entry that is not in the file, or repeats the path of
/// another entry.
pub fn parse_desired(text: &str) -> Result<IndexMap<ItemId, ItemSettings>, ChangeError> {
    let catalogue = Catalogue::parse(text)?;
    check_references(&catalogue)?;
    check_paths(&catalogue)?;
    let mut desired = IndexMap::new();
    for section in IniFile::parse(text)?.sections {
        let Ok(id) = section.title.parse() else {
            continue; // unreachable: `Catalogue::parse` accepted every title
        };
        let settings = section
            .settings
            .into_iter()
            .map(|setting| (setting.name, setting.value))
            .collect();
        desired.insert(id, settings);
    }
    Ok(desired)
}

fn check_references(catalogue: &Catalogue) -> Result<(), ChangeError> {
    let account_references = catalogue.accounts.values().flat_map(|account| {
        let item = format!("account {}", account.name);
        account
            .entries
            .iter()
            .map(move |entry| (item.clone(), entry))
    });
    let group_references = catalogue
        .groups
        .values()
        .map(|group| (format!("group {}", group.name), &group.entry));
    for (item, entry) in account_references.chain(group_references) {
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
    let mut entry_by_path = IndexMap::new();
    for entry in catalogue.entries.values() {
        let Some(path) = &entry.path else {
            continue;
        };
        if let Some(first) = entry_by_path.insert(Arc::clone(path), Arc::clone(&entry.name)) {
            return Err(ChangeError::DuplicatePath {
                first: first.to_string(),
                second: entry.name.to_string(),
                path: path.to_string(),
            });
        }
    }
    Ok(())
}
