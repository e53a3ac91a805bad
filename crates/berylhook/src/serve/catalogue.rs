//! The catalogue in force: offered documents are checked, and only a valid
//! one of a higher version replaces what is there.

use std::sync::Arc;

use berylhook_core::versions::OfferOutcome;
use berylhook_operator::catalogue::CatalogueItem;
use berylhook_operator::document::Document;
use berylhook_operator::{Catalogue, ItemId, ItemKind};
use berylhook_peer::Documents;

/// The control thread's catalogue.
#[derive(Default)]
pub(crate) struct Store {
    pub(crate) documents: Documents,
    pub(crate) catalogue: Catalogue,
}

impl Store {
    /// Takes a version up if it is valid and higher than the one in force.
    ///
    /// What goes wrong without the check: an operator's broken value with a
    /// higher version would hide the last good one from every process.
    pub(crate) fn offer(&mut self, id: &ItemId, version: u64, body: &str) -> bool {
        if version <= self.documents.version(id) {
            return false;
        }
        let item = match check(id, body) {
            Ok(item) => item,
            Err(error) => {
                log::error!(
                    "{id} version {version} is not valid and stays out of force: {error:#}"
                );
                return false;
            }
        };
        if self.documents.offer(id.clone(), version, body.into()) == OfferOutcome::NotNewer {
            return false;
        }
        match item {
            Some(item) => self.catalogue.insert(item),
            None => self.remove(id),
        }
        log::info!("{id} version {version} is in force");
        true
    }

    fn remove(&mut self, id: &ItemId) {
        match id.kind {
            ItemKind::Entry => {
                self.catalogue.entries.shift_remove(&id.name);
            }
            ItemKind::Account => {
                self.catalogue.accounts.shift_remove(&id.name);
            }
            ItemKind::Group => {
                self.catalogue.groups.shift_remove(&id.name);
            }
        }
    }
}

/// The checked item of a stored document; nothing where it was removed.
pub(crate) fn check(id: &ItemId, body: &str) -> anyhow::Result<Option<CatalogueItem>> {
    let document: Document = serde_json::from_str(body)?;
    match document.settings {
        Some(settings) => Ok(Some(CatalogueItem::from_settings(id, &settings)?)),
        None => Ok(None),
    }
}

/// A document offered to the control thread.
#[derive(Clone, Debug)]
pub(crate) struct OfferedDocument {
    pub(crate) id: ItemId,
    pub(crate) version: u64,
    pub(crate) body: Arc<str>,
}

impl OfferedDocument {
    /// Reads a peer's message; `None` if its name is not allowed.
    pub(crate) fn from_message(message: &berylhook_peer::proto::Document) -> Option<Self> {
        Some(Self {
            id: berylhook_peer::item_id(&message.kind, &message.name).ok()?,
            version: message.version,
            body: message.body.as_str().into(),
        })
    }
}
