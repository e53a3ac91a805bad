//! Anti-entropy for catalogue documents: two processes compare digests of the versions that they
//! hold, then exchange the documents that one of them lacks.

use std::sync::Arc;

use berylhook_core::versions::{BUCKETS, VersionMap, VersionSummary, Versioned};
use berylhook_operator::ItemId;
use berylhook_operator::document::ParseItemIdError;
use indexmap::IndexMap;

use crate::proto::{Catalogue, Digest, DigestAnswer, Document, DocumentVersion, Want};

/// Current document of each item, as the JSON text that is stored.
pub type Documents = VersionMap<ItemId, Arc<str>>;

/// Result of the comparison with a peer: documents to send and documents to request.
#[derive(Debug, Default)]
pub struct Comparison {
    /// Documents that are newer here than at the peer.
    pub offer: Catalogue,
    /// Versions that are newer at the peer.
    pub want: Want,
}

impl Comparison {
    /// Whether both processes hold the same versions.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.offer.documents.is_empty() && self.want.versions.is_empty()
    }
}

/// Builds an item id from the kind and name in a message.
///
/// # Errors
///
/// If the kind is unknown or the name is not allowed.
pub fn item_id(kind: &str, name: &str) -> Result<ItemId, ParseItemIdError> {
    format!("{kind} {name}").parse()
}

/// Builds the digest of `documents`: one hash per bucket of items.
#[must_use]
pub fn digest(documents: &Documents) -> Digest {
    Digest {
        buckets: documents.summary().to_vec(),
    }
}

/// Builds the reply to a peer's digest: the versions of all items in buckets whose hashes differ.
#[must_use]
pub fn reply_to_digest(documents: &Documents, digest: &Digest) -> DigestAnswer {
    let peer_summary = summary_from_buckets(&digest.buckets);
    let versions = documents
        .differing(&peer_summary)
        .map(|(id, item)| version_message(id, item.version))
        .collect();
    DigestAnswer {
        versions,
        buckets: documents.summary().to_vec(),
    }
}

/// Compares the versions in a peer's reply to the current documents of this process.
#[must_use]
pub fn compare_versions(documents: &Documents, reply: &DigestAnswer) -> Comparison {
    let mut comparison = Comparison::default();
    let mut peer_versions = IndexMap::new();
    for item in &reply.versions {
        let Ok(id) = item_id(&item.kind, &item.name) else {
            continue;
        };
        if documents.version(&id) < item.version {
            comparison.want.versions.push(item.clone());
        }
        peer_versions.insert(id, item.version);
    }
    let peer_summary = summary_from_buckets(&reply.buckets);
    for (id, item) in documents.differing(&peer_summary) {
        let peer_version = peer_versions.get(id).copied().unwrap_or(0);
        if item.version > peer_version {
            comparison.offer.documents.push(document_message(id, item));
        }
    }
    comparison
}

/// Returns the documents of the items in `versions` that this process holds.
#[must_use]
pub fn documents_for(documents: &Documents, versions: &[DocumentVersion]) -> Catalogue {
    let documents = versions
        .iter()
        .filter_map(|requested| {
            let id = item_id(&requested.kind, &requested.name).ok()?;
            documents.get(&id).map(|item| document_message(&id, item))
        })
        .collect();
    Catalogue { documents }
}

/// Builds the message for a document.
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

fn summary_from_buckets(buckets: &[u64]) -> VersionSummary {
    let mut summary = [0; BUCKETS];
    for (slot, bucket) in summary.iter_mut().zip(buckets) {
        *slot = *bucket;
    }
    summary
}
