//! The catalogue in force. Offered documents are validated, and only a valid document of a higher
//! version replaces the one in force.

use std::sync::Arc;

use berylhook_core::versions::OfferOutcome;
use berylhook_operator::catalogue::CatalogueItem;
use berylhook_operator::document::Document;
use berylhook_operator::{Catalogue, ItemId, ItemKind};
use berylhook_peer::Documents;

/// The catalogue as the control thread holds it.
#[derive(Default)]
pub(crate) struct CatalogueStore {
    pub(crate) documents: Documents,
    pub(crate) catalogue: Catalogue,
}

impl CatalogueStore {
    /// Puts a version in force if it is valid and higher than the one in force.
    ///
    /// Without the validation, an operator's invalid document with a higher version would hide the
    /// last valid one from every process.
    pub(crate) fn offer(&mut self, id: &ItemId, version: u64, body: &str) -> bool {
        if version <= self.documents.version(id) {
            return false;
        }
        let item = match parse_item(id, body) {
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

/// Parses and validates a stored document; `None` if the document removes its item.
pub(crate) fn parse_item(id: &ItemId, body: &str) -> anyhow::Result<Option<CatalogueItem>> {
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
