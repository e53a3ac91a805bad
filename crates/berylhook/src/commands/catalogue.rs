//! `berylhook catalogue`: reading and changing what is in force.
//!
//! A change names the revision it was based on. If another operator's change
//! came in between, nothing is written and the difference is shown. If the
//! answer to the write is lost, the change's id is read back before anything
//! is said.

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

/// Exit code where another change came first.
const CONFLICT: u8 = 2;

/// Tries to write a change, or to find out what became of it.
const COMMIT_TRIES: u32 = 20;

/// Wait between two of them.
const COMMIT_WAIT: Duration = Duration::from_millis(250);

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

/// What the service holds.
struct Read {
    stored: StoredCatalogue,
    /// Revision of the last accepted change; 0 before the first.
    revision: i64,
}

async fn read(key_value: &dyn KeyValue) -> Result<Read, KvError> {
    // The head first: if a change comes in between, it is in the range but
    // not in the revision, and `apply` then finds that it was overtaken.
    let head = key_value.range(CATALOGUE_HEAD_KEY).await?;
    let range = key_value.range(CATALOGUE_PREFIX).await?;
    let mut stored = StoredCatalogue::default();
    for kv in range.kvs {
        if let Some(key) = parse_version_key(&kv.key) {
            stored.add(key, &kv.value);
        }
    }
    Ok(Read {
        stored,
        revision: head.kvs.first().map_or(0, |kv| kv.mod_revision),
    })
}

async fn get(key_value: &dyn KeyValue, format: Format) -> anyhow::Result<ExitCode> {
    let read = read(key_value).await?;
    match format {
        Format::Text => print!("{}", read.stored.to_ini(read.revision)),
        Format::Json => {
            let items: serde_json::Map<_, _> = read
                .stored
                .items
                .iter()
                .filter_map(|(id, known)| {
                    let settings = known.settings.as_ref()?;
                    let value = serde_json::json!({
                        "version": known.version,
                        "settings": settings,
                    });
                    Some((id.to_string(), value))
                })
                .collect();
            let value = serde_json::json!({"revision": read.revision, "items": items});
            println!("{value:#}");
        }
    }
    Ok(ExitCode::SUCCESS)
}

async fn diff(key_value: &dyn KeyValue, file: &Path) -> anyhow::Result<ExitCode> {
    let text = read_file(file)?;
    let read = read(key_value).await?;
    print!("{}", diff_of(&read, &text));
    Ok(ExitCode::SUCCESS)
}

fn diff_of(read: &Read, wanted: &str) -> String {
    let in_force = read.stored.to_ini(read.revision);
    TextDiff::from_lines(&in_force, wanted)
        .unified_diff()
        .header("in force", "the file")
        .to_string()
}

fn read_file(path: &Path) -> anyhow::Result<String> {
    std::fs::read_to_string(path)
        .with_context(|| format!("{} cannot be read; check the path", path.display()))
}

/// One `catalogue apply`.
struct Apply<'a> {
    file: &'a Path,
    based_on: Option<i64>,
    remove: bool,
    author: &'a str,
}

impl Apply<'_> {
    async fn run(&self, key_value: &dyn KeyValue) -> anyhow::Result<ExitCode> {
        let text = read_file(self.file)?;
        let wanted = parse_desired(&text).with_context(|| self.file.display().to_string())?;
        let Some(based_on) = self.based_on.or_else(|| base_revision(&text)) else {
            bail!(
                "the file does not say which revision it is based on; start from `berylhook \
                 catalogue get`, or give --based-on (0 for the very first)"
            );
        };
        let read = read(key_value).await?;
        if read.revision != based_on {
            return Ok(conflict(&read, based_on, &text));
        }
        let changes = read.stored.changes_to(&wanted, self.remove)?;
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
            let read = read(key_value).await?;
            return Ok(conflict(&read, based_on, text));
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

fn conflict(read: &Read, based_on: i64, text: &str) -> ExitCode {
    eprintln!(
        "not applied: the file is based on revision {based_on}, but {} is in force. Take the \
         difference below into a fresh `berylhook catalogue get` and apply that:",
        read.revision
    );
    print!("{}", diff_of(read, text));
    ExitCode::from(CONFLICT)
}

/// Commits a change; if the answer is lost, finds out what became of it.
///
/// The same transaction may be sent again: it only takes effect where its
/// keys are absent and the head is unchanged, so a copy of a write that took
/// effect fails, and the change's id then tells whose write it was.
async fn commit(
    key_value: &dyn KeyValue,
    txn: Txn,
    change: &ItemChange,
    change_id: &str,
) -> anyhow::Result<bool> {
    let key = version_key(&change.id, change.version);
    let mut is_in_doubt = false;
    for _ in 0..COMMIT_TRIES {
        match key_value.commit(txn.clone()).await {
            Ok(answer) if answer.succeeded => return Ok(true),
            Ok(_) if !is_in_doubt => return Ok(false),
            Ok(_) => return was_written(key_value, &key, change_id).await,
            Err(error) if error.may_have_applied() => {
                eprintln!("the answer to the write was lost; finding out what became of it");
                is_in_doubt = true;
            }
            Err(error) if is_in_doubt => eprintln!("still in doubt: {error}"),
            Err(error) => return Err(error.into()),
        }
        tokio::time::sleep(COMMIT_WAIT).await;
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

/// A version of an item as `history` shows it.
#[derive(Serialize)]
struct Version {
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
    let versions: Vec<_> = range.kvs.iter().filter_map(version_of).collect();
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

fn version_of(kv: &Kv) -> Option<Version> {
    let key = parse_version_key(&kv.key)?;
    let mut check = StoredCatalogue::default();
    let version = key.version;
    check.add(key, &kv.value);
    let is_valid = check.items.values().any(|known| known.version == version);
    let document: Option<Document> = serde_json::from_slice(&kv.value).ok();
    let document = document.unwrap_or(Document {
        change_id: "?".into(),
        author: "?".into(),
        applied_unix_ms: 0,
        settings: None,
    });
    Some(Version {
        version,
        is_valid,
        author: document.author.to_string(),
        change_id: document.change_id.to_string(),
        applied_unix_ms: document.applied_unix_ms,
    })
}
