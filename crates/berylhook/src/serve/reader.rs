//! Reads the catalogue from the key-value service.
//!
//! A watch reports changes within milliseconds, but it may miss some or stop without an error. The
//! reader therefore also polls one small key, which every accepted change rewrites, and reads all
//! documents again when that key's revision is ahead of the last one seen.

use std::rc::Rc;
use std::time::Duration;

use berylhook_keyvalue::{Kv, KvError, Watch, WatchEvent};
use berylhook_operator::document::{CATALOGUE_HEAD_KEY, CATALOGUE_PREFIX, parse_version_key};
use tokio::time::{Instant, timeout};

use super::catalogue::OfferedDocument;
use super::control::Control;

/// Time between two reads of the head key.
const HEAD_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Interval of full reads, which find values that were written directly to the store instead of by
/// the operators' commands.
const FULL_READ_INTERVAL: Duration = Duration::from_mins(1);

/// Delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Keeps the catalogue up to date while this entry is one of its data centre's readers.
pub(crate) async fn follow(control: Rc<Control>) {
    loop {
        if !control.is_reader() {
            tokio::time::sleep(HEAD_POLL_INTERVAL).await;
            continue;
        }
        if let Err(error) = follow_once(&control).await {
            log::debug!("catalogue: {error}");
            tokio::time::sleep(RETRY_DELAY).await;
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
    while control.is_reader() && read_at.elapsed() < FULL_READ_INTERVAL {
        let next_poll_at = Instant::now() + HEAD_POLL_INTERVAL;
        revision = apply_events(control, &mut watch, next_poll_at, revision).await?;
        let head = control.key_value.range(CATALOGUE_HEAD_KEY).await?;
        let head_revision = head.kvs.first().map_or(0, |kv| kv.mod_revision);
        if head_revision > revision {
            log::warn!("the catalogue watch missed a change; reading all documents again");
            return Ok(());
        }
    }
    Ok(())
}

async fn read_all(control: &Rc<Control>) -> Result<i64, KvError> {
    let range = control.key_value.range(CATALOGUE_PREFIX).await?;
    let documents: Vec<_> = range.kvs.iter().filter_map(parse_document).collect();
    control.apply_documents(&documents);
    control.mark_catalogue_known("the key-value service");
    Ok(range.revision)
}

/// Applies watch events until `until`, and returns the last revision seen.
async fn apply_events(
    control: &Rc<Control>,
    watch: &mut Watch,
    until: Instant,
    mut revision: i64,
) -> Result<i64, KvError> {
    loop {
        let remaining = until.saturating_duration_since(Instant::now());
        let events = match timeout(remaining, watch.next()).await {
            Err(_elapsed) => return Ok(revision),
            Ok(events) => events?,
        };
        let mut documents = Vec::new();
        for event in &events {
            if let WatchEvent::Put(kv) = event {
                revision = revision.max(kv.mod_revision);
                documents.extend(parse_document(kv));
            }
        }
        control.apply_documents(&documents);
    }
}

fn parse_document(kv: &Kv) -> Option<OfferedDocument> {
    let key = parse_version_key(&kv.key)?;
    let body = String::from_utf8(kv.value.clone()).ok()?;
    Some(OfferedDocument {
        id: key.id,
        version: key.version,
        body: body.into(),
    })
}
