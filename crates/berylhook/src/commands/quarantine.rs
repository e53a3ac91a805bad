//! `berylhook quarantine`: which requests are held back because targets end under them.
//!
//! What is shown and changed stands in the platform's store, so it works while no entry
//! runs, and all entries follow it. A change that another one overtook is made again on
//! what that one left.

use std::process::ExitCode;
use std::sync::Arc;

use anyhow::bail;
use berylhook_core::digest::RequestDigest;
use berylhook_core::quarantine::{Hold, HoldKind};
use berylhook_core::time::WallMs;
use berylhook_keyvalue::{Compare, KeyValue, Put, Txn};
use berylhook_platform::key_value::PlatformKeyValue;
use berylhook_quarantine::stored::{self, StoredItem};
use indexmap::{IndexMap, IndexSet};
use serde_json::json;

use crate::args::{Format, QuarantineCommand};

/// Tries to write a change before others are blamed for overtaking each.
const COMMIT_TRIES: u32 = 5;

/// What the store has of one request.
#[derive(Debug, Default)]
struct Known {
    ends: IndexSet<Arc<str>>,
    hold: Option<Hold>,
    /// Revision of the hold; `None` if there is none.
    revision: Option<i64>,
}

impl Known {
    fn kind(&self) -> &'static str {
        let kind = self.hold.as_ref().map(|hold| hold.kind);
        kind.map_or("suspected", stored::kind_name)
    }
}

/// Runs one of the commands.
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
                change(&key_value, digest.parse()?, HoldKind::Pinned).await
            }
            QuarantineCommand::Lift { service, digest } => {
                let key_value = PlatformKeyValue::new(&service.key_value)?;
                change(&key_value, digest.parse()?, HoldKind::Lifted).await
            }
        }
    })
}

async fn read(key_value: &dyn KeyValue) -> anyhow::Result<IndexMap<RequestDigest, Known>> {
    let mut known: IndexMap<RequestDigest, Known> = IndexMap::new();
    for item in key_value.range(stored::PREFIX).await?.kvs {
        match stored::read(&item.key, Some(&item.value)) {
            Ok(StoredItem::Exit {
                target, suspects, ..
            }) => {
                for suspect in suspects {
                    let request = known.entry(suspect.digest).or_default();
                    request.ends.insert(Arc::clone(&target));
                }
            }
            Ok(StoredItem::Hold { digest, hold }) => {
                let request = known.entry(digest).or_default();
                request.hold = hold;
                request.revision = Some(item.mod_revision);
            }
            Ok(StoredItem::SurvivedRun { .. } | StoredItem::Irrelevant) => {}
            Err(error) => eprintln!("{}: {error}", item.key),
        }
    }
    Ok(known)
}

async fn list(key_value: &dyn KeyValue, format: Format) -> anyhow::Result<ExitCode> {
    let mut known = read(key_value).await?;
    // What is held first, then by the number of targets that ended.
    known.sort_by_key(|_, it| std::cmp::Reverse((it.hold.is_some(), it.ends.len())));
    match format {
        Format::Text => {
            for (digest, it) in &known {
                let ends: Vec<&str> = it.ends.iter().map(|end| &**end).collect();
                println!("{digest}  {:9}  ended: {}", it.kind(), ends.join(" "));
            }
        }
        Format::Json => {
            let rows = known.iter().map(|(digest, it)| {
                json!({
                    "digest": digest.to_string(),
                    "standing": it.kind(),
                    "ended": it.ends,
                    "since_unix_ms": it.hold.as_ref().map(|hold| hold.since.0),
                    "failed_trials": it.hold.as_ref().map(|hold| hold.failed_trials),
                })
            });
            println!("{:#}", rows.collect::<serde_json::Value>());
        }
    }
    Ok(ExitCode::SUCCESS)
}

async fn change(
    key_value: &dyn KeyValue,
    digest: RequestDigest,
    kind: HoldKind,
) -> anyhow::Result<ExitCode> {
    for _ in 0..COMMIT_TRIES {
        let known = read(key_value)
            .await?
            .swap_remove(&digest)
            .unwrap_or_default();
        let key = stored::hold_key(digest);
        let hold = Hold {
            lifted: match kind {
                HoldKind::Lifted => known.ends.into_iter().collect(),
                HoldKind::Held | HoldKind::Pinned => Vec::new(),
            },
            ..Hold::new(kind, WallMs::now())
        };
        let txn = Txn {
            compares: vec![match known.revision {
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
            println!("{digest}  {}", stored::kind_name(kind));
            return Ok(ExitCode::SUCCESS);
        }
    }
    bail!("others changed {digest} each time; look at `berylhook quarantine list` and try again")
}
