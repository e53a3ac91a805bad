//! Catalogue documents between processes: who lacks what.

use std::sync::Arc;

use berylhook_core::versions::{BUCKETS, VersionMap, VersionSummary, Versioned};
use berylhook_operator::ItemId;
use berylhook_operator::document::ParseItemIdError;
use indexmap::IndexMap;

use crate::proto::{Catalogue, Digest, DigestAnswer, Document, DocumentVersion, Want};

/// Documents in force by item, as stored.
pub type Documents = VersionMap<ItemId, Arc<str>>;

/// What to send to and ask of a peer after comparing versions.
#[derive(Debug, Default)]
pub struct Comparison {
    /// Documents the peer lacks.
    pub offer: Catalogue,
    /// Items this process lacks.
    pub want: Want,
}

impl Comparison {
    /// Whether both sides hold the same.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.offer.documents.is_empty() && self.want.versions.is_empty()
    }
}

/// The id a message speaks of.
///
/// # Errors
///
/// If kind or name is not allowed.
pub fn item_id(kind: &str, name: &str) -> Result<ItemId, ParseItemIdError> {
    format!("{kind} {name}").parse()
}

/// The digest of `documents`.
#[must_use]
pub fn digest(documents: &Documents) -> Digest {
    Digest {
        buckets: documents.summary().to_vec(),
    }
}

/// The versions that the sender of `digest` has to look at.
#[must_use]
pub fn reply_to_digest(documents: &Documents, digest: &Digest) -> DigestAnswer {
    let theirs = summary_of(&digest.buckets);
    let versions = documents
        .differing(&theirs)
        .map(|(id, item)| version_message(id, item.version))
        .collect();
    DigestAnswer {
        versions,
        buckets: documents.summary().to_vec(),
    }
}

/// Compares a peer's answer to what is in force here.
#[must_use]
pub fn compare_versions(documents: &Documents, answer: &DigestAnswer) -> Comparison {
    let mut comparison = Comparison::default();
    let mut theirs = IndexMap::new();
    for item in &answer.versions {
        let Ok(id) = item_id(&item.kind, &item.name) else {
            continue;
        };
        if documents.version(&id) < item.version {
            comparison.want.versions.push(item.clone());
        }
        theirs.insert(id, item.version);
    }
    let summary = summary_of(&answer.buckets);
    for (id, item) in documents.differing(&summary) {
        let their_version = theirs.get(id).copied().unwrap_or(0);
        if item.version > their_version {
            comparison.offer.documents.push(document_message(id, item));
        }
    }
    comparison
}

/// The documents of the items in `versions`.
#[must_use]
pub fn documents_for(documents: &Documents, versions: &[DocumentVersion]) -> Catalogue {
    let documents = versions
        .iter()
        .filter_map(|wanted| {
            let id = item_id(&wanted.kind, &wanted.name).ok()?;
            documents.get(&id).map(|item| document_message(&id, item))
        })
        .collect();
    Catalogue { documents }
}

/// A document as a message.
#[must_use]
pub fn document_message(id: &ItemId, item: &Versioned<Arc<str>>) -> Document {
    Document {
        kind: id.kind.as_str().to_owned(),
        name: id.name.to_string(),
        version: item.version,
        body: item.value.to_string(),
    }
}

fn version_message(id: &ItemId, version: u64) -> DocumentVersion {
    DocumentVersion {
        kind: id.kind.as_str().to_owned(),
        name: id.name.to_string(),
        version,
    }
}

fn summary_of(buckets: &[u64]) -> VersionSummary {
    let mut summary = [0; BUCKETS];
    for (slot, bucket) in summary.iter_mut().zip(buckets) {
        *slot = *bucket;
    }
    summary
}
