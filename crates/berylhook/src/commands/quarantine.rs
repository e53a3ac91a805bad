//! `berylhook quarantine`: lists and changes which requests are rejected because targets exited
//! while running them.
//!
//! The data is in the platform's store, so the commands work while no entry runs, and all entries
//! follow its changes. A change that conflicts with a concurrent one is made again on top of it.

use std::process::ExitCode;
use std::sync::Arc;

use anyhow::bail;
use berylhook_core::digest::{DigestKind, RequestDigest};
use berylhook_core::quarantine::{Hold, HoldKind};
use berylhook_core::time::WallMs;
use berylhook_keyvalue::{Compare, KeyValue, Put, Txn};
use berylhook_platform::key_value::PlatformKeyValue;
use berylhook_quarantine::stored::{self, StoredItem};
use indexmap::{IndexMap, IndexSet};
use serde_json::json;

use crate::args::{Format, QuarantineCommand};

/// Attempts to write a change before the command fails because of concurrent changes.
const MAX_COMMIT_ATTEMPTS: u32 = 5;

/// The data in the store about one request, or one part of prompts.
#[derive(Debug, Default)]
struct RequestRecord {
    exited_targets: IndexSet<Arc<str>>,
    hold: Option<Hold>,
    /// Revision of the hold; `None` if there is none.
    revision: Option<i64>,
}

impl RequestRecord {
    fn status_name(&self) -> &'static str {
        let kind = self.hold.as_ref().map(|hold| hold.kind);
        kind.map_or("suspected", stored::kind_name)
    }
}

/// Runs one of the quarantine commands.
pub(crate) fn run(command: &QuarantineCommand) -> anyhow::Result<ExitCode> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        match command {
            QuarantineCommand::List { service, format } => {
                list(&PlatformKeyValue::new(&service.key_value)?, *format).await
            }
            QuarantineCommand::Pin { service, digest } => {
                let key_value = PlatformKeyValue::new(&service.key_value)?;
                write_hold(&key_value, digest.parse()?, HoldKind::Pinned).await
            }
            QuarantineCommand::Lift { service, digest } => {
                let key_value = PlatformKeyValue::new(&service.key_value)?;
                write_hold(&key_value, digest.parse()?, HoldKind::Lifted).await
            }
        }
    })
}

async fn read(key_value: &dyn KeyValue) -> anyhow::Result<IndexMap<RequestDigest, RequestRecord>> {
    let mut records: IndexMap<RequestDigest, RequestRecord> = IndexMap::new();
    for item in key_value.range(stored::PREFIX).await?.kvs {
        match stored::read(&item.key, Some(&item.value)) {
            Ok(StoredItem::Exit {
                target, suspects, ..
            }) => {
                for suspect in suspects {
                    let digest = match suspect.digest.kind() {
                        DigestKind::QueuedPart(part) => RequestDigest::of_part(part),
                        DigestKind::Content | DigestKind::Part(_) => suspect.digest,
                    };
                    let request = records.entry(digest).or_default();
                    request.exited_targets.insert(Arc::clone(&target));
                }
            }
            Ok(StoredItem::Hold { digest, hold }) => {
                let request = records.entry(digest).or_default();
                request.hold = hold;
                request.revision = Some(item.mod_revision);
            }
            Ok(StoredItem::SurvivedRuns(_) | StoredItem::Irrelevant) => {}
            Err(error) => eprintln!("{}: {error}", item.key),
        }
    }
    Ok(records)
}

async fn list(key_value: &dyn KeyValue, format: Format) -> anyhow::Result<ExitCode> {
    let mut records = read(key_value).await?;
    // Requests with a hold first, then by the number of targets that exited.
    records.sort_by_key(|_, record| {
        std::cmp::Reverse((record.hold.is_some(), record.exited_targets.len()))
    });
    match format {
        Format::Text => {
            for (digest, record) in &records {
                let exited_targets: Vec<&str> = record
                    .exited_targets
                    .iter()
                    .map(|target| &**target)
                    .collect();
                println!(
                    "{}  {:9}  ended: {}",
                    digest.name(),
                    record.status_name(),
                    exited_targets.join(" ")
                );
            }
        }
        Format::Json => {
            let rows = records.iter().map(|(digest, record)| {
                json!({
                    "digest": digest.name(),
                    "standing": record.status_name(),
                    "ended": record.exited_targets,
                    "since_unix_ms": record.hold.as_ref().map(|hold| hold.since.0),
                    "failed_trials": record.hold.as_ref().map(|hold| hold.failed_trials),
                })
            });
            println!("{:#}", rows.collect::<serde_json::Value>());
        }
    }
    Ok(ExitCode::SUCCESS)
}

async fn write_hold(
    key_value: &dyn KeyValue,
    digest: RequestDigest,
    kind: HoldKind,
) -> anyhow::Result<ExitCode> {
    for _ in 0..MAX_COMMIT_ATTEMPTS {
        let record = read(key_value)
            .await?
            .swap_remove(&digest)
            .unwrap_or_default();
        let key = stored::hold_key(digest);
        let hold = Hold {
            lifted: match kind {
                HoldKind::Lifted => record.exited_targets.into_iter().collect(),
                HoldKind::Held | HoldKind::Pinned => Vec::new(),
            },
            ..Hold::new(kind, WallMs::now())
        };
        let txn = Txn {
            compares: vec![match record.revision {
                Some(revision) => Compare::ModRevision(Arc::clone(&key), revision),
                None => Compare::Absent(Arc::clone(&key)),
            }],
            puts: vec![Put {
                key,
                value: stored::hold_value(&hold),
                lease_id: 0,
            }],
            deletes: Vec::new(),
        };
        if key_value.commit(txn).await?.succeeded {
            println!("{}  {}", digest.name(), stored::kind_name(kind));
            return Ok(ExitCode::SUCCESS);
        }
    }
    let name = digest.name();
    bail!("others changed {name} each time; check `berylhook quarantine list` and try again")
}
