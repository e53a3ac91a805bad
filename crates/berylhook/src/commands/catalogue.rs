//! `berylhook catalogue`: reads and changes the catalogue in force.
//!
//! A change names the revision it is based on. If another operator's change was accepted in
//! between, nothing is written and the difference is shown. If the response to the write is lost,
//! the change's id is read back before a result is reported.

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, bail};
use berylhook_core::time::WallMs;
use berylhook_keyvalue::{Compare, KeyValue, Kv, KvError, Put, Txn};
use berylhook_operator::ItemId;
use berylhook_operator::change::{
    ItemChange, RETAINED_VERSIONS, StoredCatalogue, base_revision, parse_desired,
};
use berylhook_operator::document::{
    CATALOGUE_HEAD_KEY, CATALOGUE_PREFIX, Document, parse_version_key, version_key,
};
use berylhook_platform::key_value::PlatformKeyValue;
use serde::Serialize;
use similar::TextDiff;

use crate::args::{CatalogueCommand, Format};

/// Exit code if another change was accepted first.
const EXIT_CONFLICT: u8 = 2;

/// Attempts to write a change, or to find out whether it was written.
const MAX_COMMIT_ATTEMPTS: u32 = 20;

/// Delay between two attempts.
const COMMIT_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Runs one of the catalogue commands.
pub(crate) fn run(command: &CatalogueCommand) -> anyhow::Result<ExitCode> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        match command {
            CatalogueCommand::Get { service, format } => {
                get(&PlatformKeyValue::new(&service.key_value)?, *format).await
            }
            CatalogueCommand::Diff { service, file } => {
                diff(&PlatformKeyValue::new(&service.key_value)?, file).await
            }
            CatalogueCommand::Apply {
                service,
                file,
                based_on,
                remove,
                author,
            } => {
                let apply = Apply {
                    file,
                    based_on: *based_on,
                    remove: *remove,
                    author,
                };
                apply.run(&PlatformKeyValue::new(&service.key_value)?).await
            }
            CatalogueCommand::History {
                service,
                item,
                format,
            } => history(&PlatformKeyValue::new(&service.key_value)?, item, *format).await,
        }
    })
}

/// The catalogue as stored in the key-value service, with its revision.
struct CatalogueSnapshot {
    stored: StoredCatalogue,
    /// Revision of the last accepted change; 0 before the first.
    revision: i64,
}

async fn read(key_value: &dyn KeyValue) -> Result<CatalogueSnapshot, KvError> {
    // The head is read first: a change made between the two reads is then in the range but not in
    // the revision, and `apply` detects that its revision is out of date.
    let head = key_value.range(CATALOGUE_HEAD_KEY).await?;
    let range = key_value.range(CATALOGUE_PREFIX).await?;
    let mut stored = StoredCatalogue::default();
    for kv in range.kvs {
        if let Some(key) = parse_version_key(&kv.key) {
            stored.add(key, &kv.value);
        }
    }
    Ok(CatalogueSnapshot {
        stored,
        revision: head.kvs.first().map_or(0, |kv| kv.mod_revision),
    })
}

async fn get(key_value: &dyn KeyValue, format: Format) -> anyhow::Result<ExitCode> {
    let current = read(key_value).await?;
    match format {
        Format::Text => print!("{}", current.stored.to_ini(current.revision)),
        Format::Json => {
            let items: serde_json::Map<_, _> = current
                .stored
                .items
                .iter()
                .filter_map(|(id, item)| {
                    let settings = item.settings.as_ref()?;
                    let value = serde_json::json!({
                        "version": item.version,
                        "settings": settings,
                    });
                    Some((id.to_string(), value))
                })
                .collect();
            let value = serde_json::json!({"revision": current.revision, "items": items});
            println!("{value:#}");
        }
    }
    Ok(ExitCode::SUCCESS)
}

async fn diff(key_value: &dyn KeyValue, file: &Path) -> anyhow::Result<ExitCode> {
    let text = read_file(file)?;
    let current = read(key_value).await?;
    print!("{}", unified_diff(&current, &text));
    Ok(ExitCode::SUCCESS)
}

fn unified_diff(current: &CatalogueSnapshot, desired: &str) -> String {
    let in_force = current.stored.to_ini(current.revision);
    TextDiff::from_lines(&in_force, desired)
        .unified_diff()
        .header("in force", "the file")
        .to_string()
}

fn read_file(path: &Path) -> anyhow::Result<String> {
    std::fs::read_to_string(path)
        .with_context(|| format!("{} cannot be read; check the path", path.display()))
}

/// The arguments of `catalogue apply`.
struct Apply<'a> {
    file: &'a Path,
    based_on: Option<i64>,
    remove: bool,
    author: &'a str,
}

impl Apply<'_> {
    async fn run(&self, key_value: &dyn KeyValue) -> anyhow::Result<ExitCode> {
        let text = read_file(self.file)?;
        let desired = parse_desired(&text).with_context(|| self.file.display().to_string())?;
        let Some(based_on) = self.based_on.or_else(|| base_revision(&text)) else {
            bail!(
                "the file does not say which revision it is based on; start from `berylhook \
                 catalogue get`, or give --based-on (0 for the very first)"
            );
        };
        let current = read(key_value).await?;
        if current.revision != based_on {
            return Ok(report_conflict(&current, based_on, &text));
        }
        let changes = current.stored.changes_to(&desired, self.remove)?;
        if changes.is_empty() {
            println!("nothing to change; revision {based_on} stays in force");
            return Ok(ExitCode::SUCCESS);
        }
        self.write(key_value, based_on, &changes, &text).await
    }

    async fn write(
        &self,
        key_value: &dyn KeyValue,
        based_on: i64,
        changes: &[ItemChange],
        text: &str,
    ) -> anyhow::Result<ExitCode> {
        let change_id: Arc<str> = uuid::Uuid::now_v7().to_string().into();
        let txn = self.txn(based_on, changes, &change_id);
        let accepted = commit(key_value, txn, &changes[0], &change_id).await?;
        if !accepted {
            let current = read(key_value).await?;
            return Ok(report_conflict(&current, based_on, text));
        }
        for change in changes {
            let verb = if change.settings.is_some() {
                "set"
            } else {
                "removed"
            };
            println!("{verb} {} version {}", change.id, change.version);
        }
        println!("accepted as change {change_id}");
        Ok(ExitCode::SUCCESS)
    }

    fn txn(&self, based_on: i64, changes: &[ItemChange], change_id: &Arc<str>) -> Txn {
        let head: Arc<str> = CATALOGUE_HEAD_KEY.into();
        let unchanged = match based_on {
            0 => Compare::Absent(Arc::clone(&head)),
            revision => Compare::ModRevision(Arc::clone(&head), revision),
        };
        let mut txn = Txn {
            compares: vec![unchanged],
            puts: vec![Put {
                key: head,
                value: change_id.as_bytes().to_vec(),
                lease_id: 0,
            }],
            deletes: Vec::new(),
        };
        for change in changes {
            let key = version_key(&change.id, change.version);
            txn.compares.push(Compare::Absent(Arc::clone(&key)));
            txn.puts.push(Put {
                key,
                value: self.document(change, change_id),
                lease_id: 0,
            });
            if let Some(old) = change
                .version
                .checked_sub(RETAINED_VERSIONS)
                .filter(|old| *old > 0)
            {
                txn.deletes.push(version_key(&change.id, old));
            }
        }
        txn
    }

    fn document(&self, change: &ItemChange, change_id: &Arc<str>) -> Vec<u8> {
        let document = Document {
            change_id: Arc::clone(change_id),
            author: self.author.into(),
            applied_unix_ms: WallMs::now().0,
            settings: change.settings.clone(),
        };
        serde_json::to_vec(&document).expect("documents serialize")
    }
}

fn report_conflict(current: &CatalogueSnapshot, based_on: i64, text: &str) -> ExitCode {
    eprintln!(
        "not applied: the file is based on revision {based_on}, but {} is in force. Take the \
         difference below into a fresh `berylhook catalogue get` and apply that:",
        current.revision
    );
    print!("{}", unified_diff(current, text));
    ExitCode::from(EXIT_CONFLICT)
}

/// Commits a change; if the response is lost, finds out whether the change was written.
///
/// The same transaction may be sent again: it only takes effect if its keys are absent and the head
/// is unchanged. A repeat of a write that took effect therefore fails, and the stored change id
/// then shows which write took effect.
async fn commit(
    key_value: &dyn KeyValue,
    txn: Txn,
    change: &ItemChange,
    change_id: &str,
) -> anyhow::Result<bool> {
    let key = version_key(&change.id, change.version);
    let mut may_be_written = false;
    for _ in 0..MAX_COMMIT_ATTEMPTS {
        match key_value.commit(txn.clone()).await {
            Ok(outcome) if outcome.succeeded => return Ok(true),
            Ok(_) if !may_be_written => return Ok(false),
            Ok(_) => return was_written(key_value, &key, change_id).await,
            Err(error) if error.may_have_applied() => {
                eprintln!("the answer to the write was lost; checking whether it was written");
                may_be_written = true;
            }
            Err(error) if may_be_written => eprintln!("outcome still unknown: {error}"),
            Err(error) => return Err(error.into()),
        }
        tokio::time::sleep(COMMIT_RETRY_DELAY).await;
    }
    bail!(
        "it is not known whether change {change_id} was written; look for it with `berylhook \
         catalogue history` of {} before you apply again",
        change.id
    )
}

async fn was_written(key_value: &dyn KeyValue, key: &str, change_id: &str) -> anyhow::Result<bool> {
    let range = key_value.range(key).await?;
    let written = range.kvs.first().and_then(change_id_of);
    Ok(written.as_deref() == Some(change_id))
}

fn change_id_of(kv: &Kv) -> Option<String> {
    let document: Document = serde_json::from_slice(&kv.value).ok()?;
    Some(document.change_id.to_string())
}

/// A version of an item, as shown by `history`.
#[derive(Serialize)]
struct VersionRow {
    version: u64,
    is_valid: bool,
    author: String,
    change_id: String,
    applied_unix_ms: u64,
}

async fn history(key_value: &dyn KeyValue, item: &str, format: Format) -> anyhow::Result<ExitCode> {
    let id: ItemId = item.parse()?;
    let prefix = format!("{CATALOGUE_PREFIX}{}/{}/", id.kind.as_str(), id.name);
    let range = key_value.range(&prefix).await?;
    let versions: Vec<_> = range.kvs.iter().filter_map(parse_version).collect();
    match format {
        Format::Json => println!("{:#}", serde_json::to_value(&versions)?),
        Format::Text => {
            for version in &versions {
                let note = if version.is_valid {
                    ""
                } else {
                    "  (not valid, never in force)"
                };
                println!(
                    "version {}  by {}  change {}{note}",
                    version.version, version.author, version.change_id
                );
            }
        }
    }
    Ok(ExitCode::SUCCESS)
}

fn parse_version(kv: &Kv) -> Option<VersionRow> {
    let key = parse_version_key(&kv.key)?;
    let mut stored = StoredCatalogue::default();
    let version = key.version;
    stored.add(key, &kv.value);
    let is_valid = stored.items.values().any(|item| item.version == version);
    let document: Option<Document> = serde_json::from_slice(&kv.value).ok();
    let document = document.unwrap_or(Document {
        change_id: "?".into(),
        author: "?".into(),
        applied_unix_ms: 0,
        settings: None,
    });
    Some(VersionRow {
        version,
        is_valid,
        author: document.author.to_string(),
        change_id: document.change_id.to_string(),
        applied_unix_ms: document.applied_unix_ms,
    })
}
