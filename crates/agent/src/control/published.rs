//! Records that outlive the home which recorded them.
//!
//! A home that loses a shard without a handover, because its process was frozen or cut off, still
//! knows how its runs ended. It publishes these records in the key-value service, also those of
//! runs that end later, and the next home takes them. A key that the next home has to answer with
//! "unknown" is thereby settled.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use berylhook_core::ledger::KEY_SHARDS;
use berylhook_keyvalue::{Compare, Kv, KvError, Put, RangeResponse, Txn};
use futures_util::future::join_all;
use tokio::sync::oneshot;
use tokio::time::sleep;

use super::claims::ShardClaims;
use crate::agent::lock;
use crate::handover::{ShardKeys, decode_published, encode};
use crate::home_shards::RecordsExport;

/// Interval between two reads of a shard's published records for requests that wait for them.
const READ_INTERVAL: Duration = Duration::from_millis(50);

impl ShardClaims {
    /// Publishes the records of all shards that this agent is home to.
    pub(super) async fn publish_all(&self) {
        let _guard = self.publish_lock.lock().await;
        let exports = lock(&self.agent.home_shards).export_all();
        join_all(exports.iter().map(|export| self.publish(export))).await;
    }

    /// Publishes the records of lost shards that the next homes cannot read yet.
    pub(super) async fn publish_retired(&self) {
        let _guard = self.publish_lock.lock().await;
        let exports = lock(&self.agent.home_shards).export_retired();
        join_all(exports.iter().map(|export| self.publish(export))).await;
    }

    async fn publish(&self, export: &RecordsExport) {
        let shard = export.shard;
        let keys = ShardKeys::new(&self.agent.settings.service, shard);
        let put = Put {
            key: keys.published_by(export.claim.id),
            // Published records are read in any era.
            value: encode(&export.records, 0),
            lease_id: 0,
        };
        let txn = Txn {
            puts: vec![put],
            ..Txn::default()
        };
        match self.key_value.commit(txn).await {
            Ok(_) => {
                let records = export.records.records.len();
                log::info!("{records} records of shard {shard} published for its next home");
                lock(&self.agent.home_shards).on_published(export);
            }
            Err(error) => {
                log::warn!("records of shard {shard} could not be published yet: {error}");
            }
        }
    }

    /// Reads the published records of a shard soon, and notifies `done`.
    pub(super) fn request_read(self: &Rc<Self>, shard: u32, done: oneshot::Sender<()>) {
        let mut waiting_reads = self.waiting_reads.borrow_mut();
        match waiting_reads.get_mut(&shard) {
            Some(waiting) => waiting.push(done),
            None => {
                waiting_reads.insert(shard, vec![done]);
                tokio::task::spawn_local(Rc::clone(self).read_while_requested(shard));
            }
        }
    }

    async fn read_while_requested(self: Rc<Self>, shard: u32) {
        loop {
            let waiting = self.take_waiting_reads(shard);
            if waiting.is_empty() {
                return;
            }
            if let Err(error) = self.read_published(shard).await {
                log::warn!("published records of shard {shard} could not be read: {error}");
            }
            for done in waiting {
                // The request may have stopped waiting.
                let _ = done.send(());
            }
            sleep(READ_INTERVAL).await;
        }
    }

    /// Takes the requests that wait for a read of the shard; ends its entry if there are none.
    fn take_waiting_reads(&self, shard: u32) -> Vec<oneshot::Sender<()>> {
        let mut waiting_reads = self.waiting_reads.borrow_mut();
        let waiting = waiting_reads.get_mut(&shard).map(std::mem::take);
        let waiting = waiting.unwrap_or_default();
        if waiting.is_empty() {
            waiting_reads.swap_remove(&shard);
        }
        waiting
    }

    async fn read_published(&self, shard: u32) -> Result<(), KvError> {
        let keys = ShardKeys::new(&self.agent.settings.service, shard);
        let range = self.key_value.range(&keys.published).await?;
        for kv in &range.kvs {
            self.take_published_value(shard, kv).await;
        }
        Ok(())
    }

    /// Takes the published records in `range` of all shards that this agent is home to.
    pub(super) async fn take_published(&self, range: &RangeResponse) {
        let service = &self.agent.settings.service;
        for shard in 0..KEY_SHARDS {
            let prefix = ShardKeys::new(service, shard).published;
            let published = range.kvs.iter().filter(|kv| kv.key.starts_with(&prefix));
            for kv in published {
                self.take_published_value(shard, kv).await;
            }
        }
    }

    async fn take_published_value(&self, shard: u32, kv: &Kv) {
        let Some(export) = decode_published(&kv.value) else {
            log::warn!("the records published under {} cannot be decoded", kv.key);
            return;
        };
        if !lock(&self.agent.home_shards).add_earlier_records(shard, &export.records) {
            return;
        }
        log::info!(
            "{} records of a previous home of shard {shard} taken",
            export.records.len()
        );
        let txn = Txn {
            // The previous home may have published further records since.
            compares: vec![Compare::ModRevision(Arc::clone(&kv.key), kv.mod_revision)],
            deletes: vec![Arc::clone(&kv.key)],
            ..Txn::default()
        };
        if let Err(error) = self.key_value.commit(txn).await {
            log::info!("{} is not deleted yet: {error}", kv.key);
        }
    }
}
