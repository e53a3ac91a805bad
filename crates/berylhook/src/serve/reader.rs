//! Reading the catalogue from the key-value service.
//!
//! A watch tells of changes within milliseconds, but it may miss some or go
//! silent without an error. So a reader also reads one small key, which every
//! accepted change rewrites, and reads everything again when that key's
//! revision is ahead of what it has seen.

use std::rc::Rc;
use std::time::Duration;

use berylhook_keyvalue::{Kv, KvError, Watch, WatchEvent};
use berylhook_operator::document::{CATALOGUE_HEAD_KEY, CATALOGUE_PREFIX, parse_version_key};
use tokio::time::{Instant, timeout};

use super::catalogue::OfferedDocument;
use super::control::Control;

/// Time between two reads of the head key.
const HEAD_EVERY: Duration = Duration::from_secs(1);

/// Time between two full reads, for values written past the tools.
const FULL_EVERY: Duration = Duration::from_mins(1);

/// Wait after a failed call.
const RETRY_AFTER: Duration = Duration::from_millis(250);

/// Follows the catalogue for as long as this entry is a reader.
pub(crate) async fn follow(control: Rc<Control>) {
    loop {
        if !control.is_reader() {
            tokio::time::sleep(HEAD_EVERY).await;
            continue;
        }
        if let Err(error) = follow_once(&control).await {
            log::debug!("catalogue: {error}");
            tokio::time::sleep(RETRY_AFTER).await;
        }
    }
}

async fn follow_once(control: &Rc<Control>) -> Result<(), KvError> {
    let mut revision = read_all(control).await?;
    let mut watch = control
        .key_value
        .watch(CATALOGUE_PREFIX, revision + 1)
        .await?;
    let read_at = Instant::now();
    while control.is_reader() && read_at.elapsed() < FULL_EVERY {
        let quiet_at = Instant::now() + HEAD_EVERY;
        revision = take_events(control, &mut watch, quiet_at, revision).await?;
        let head = control.key_value.range(CATALOGUE_HEAD_KEY).await?;
        let head_revision = head.kvs.first().map_or(0, |kv| kv.mod_revision);
        if head_revision > revision {
            log::warn!("the watch has missed a change; reading everything again");
            return Ok(());
        }
    }
    Ok(())
}

async fn read_all(control: &Rc<Control>) -> Result<i64, KvError> {
    let range = control.key_value.range(CATALOGUE_PREFIX).await?;
    let documents: Vec<_> = range.kvs.iter().filter_map(document_of).collect();
    control.take_up(&documents);
    control.has_catalogue("the key-value service");
    Ok(range.revision)
}

/// Takes events until `until`; gives the last revision seen.
async fn take_events(
    control: &Rc<Control>,
    watch: &mut Watch,
    until: Instant,
    mut revision: i64,
) -> Result<i64, KvError> {
    loop {
        let left = until.saturating_duration_since(Instant::now());
        let events = match timeout(left, watch.next()).await {
            Err(_elapsed) => return Ok(revision),
            Ok(events) => events?,
        };
        let mut documents = Vec::new();
        for event in &events {
            if let WatchEvent::Put(kv) = event {
                revision = revision.max(kv.mod_revision);
                documents.extend(document_of(kv));
            }
        }
        control.take_up(&documents);
    }
}

fn document_of(kv: &Kv) -> Option<OfferedDocument> {
    let key = parse_version_key(&kv.key)?;
    let body = String::from_utf8(kv.value.clone()).ok()?;
    Some(OfferedDocument {
        id: key.id,
        version: key.version,
        body: body.into(),
    })
}
