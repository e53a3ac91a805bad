//! Claims of key shards through the key-value service.
//!
//! The home of a shard is the agent that alone may run the shard's keyed requests. A shard's home
//! key is created only if it is absent, and is bound to the home's lease, so there is at most one
//! home. If the reply to a claim is lost, the key is read back and compared by the claim's random
//! ID. A claim that stays unconfirmed is not used: the next maintenance pass finds it and takes the
//! shard over as if from another agent, which costs "unknown" responses but never a second run.
//!
//! A store that was restored from an older copy has lost claims whose homes still run requests.
//! Nothing is claimed there until the leases of these homes have expired, and the copy is not
//! trusted to list all previous homes and their runs: see [`initial_ledger`].

use std::cell::{Cell, RefCell};
use std::sync::Arc;

use berylhook_core::ledger::{ClockBounds, KEY_SHARDS, Ledger};
use berylhook_core::time::WallMs;
use berylhook_keyvalue::{
    ClaimGuard, Compare, KeyValue, Kv, KvError, Put, RangeResponse, Txn, era_of,
};
use indexmap::IndexMap;
use tokio::sync::Mutex;

use crate::agent::{Agent, lock};
use crate::handover::{
    HomeDocument, MAX_EXPORTED_RECORDS, ShardKeys, candidate_agents_prefix, decode, encode,
    era_marker_key,
};

/// Maximum number of records in a shard's ledger.
const LEDGER_CAPACITY: usize = 16_384;

/// Maximum number of shards released to other agents in one maintenance pass.
const MAX_RELEASES_PER_PASS: usize = 2;

pub(crate) struct ShardClaims {
    agent: Arc<Agent>,
    key_value: Arc<dyn KeyValue>,
    lease_id: Cell<i64>,
    is_registered: Cell<bool>,
    /// Claim IDs by shard, of claims and releases whose replies were lost. The home key may name
    /// this process although the process does not act as the shard's home.
    unconfirmed: RefCell<IndexMap<u32, u64>>,
    claim_guard: ClaimGuard,
    /// Serializes claims and renewals; two at once could be granted two leases.
    claim_lock: Mutex<()>,
}

/// State of a shard in the key-value service.
struct ShardState {
    home: Option<HomeDocument>,
    was_claimed: bool,
    handover: Option<Kv>,
    /// Era of the store in which the state was read.
    era: u64,
}

impl ShardClaims {
    pub(crate) fn new(agent: Arc<Agent>, key_value: Arc<dyn KeyValue>) -> Self {
        let lease_ms = u64::from(agent.settings.lease_ttl_s) * 1_000;
        Self {
            claim_guard: ClaimGuard::new(era_marker_key(&agent.settings.service), lease_ms),
            agent,
            key_value,
            lease_id: Cell::new(0),
            is_registered: Cell::new(false),
            unconfirmed: RefCell::new(IndexMap::new()),
            claim_lock: Mutex::new(()),
        }
    }

    /// Renews the lease, then claims or releases shards so that each agent gets an even share.
    pub(crate) async fn maintain(&self) {
        let _guard = self.claim_lock.lock().await;
        if let Err(error) = self.try_maintain().await {
            log::warn!(
                "maintenance of the shards of {} failed: {error}",
                self.agent.settings.service
            );
        }
    }

    async fn try_maintain(&self) -> Result<(), KvError> {
        self.ensure_lease().await?;
        self.ensure_registered().await?;
        let entry = &self.agent.settings.service;
        let candidates = self
            .key_value
            .range(&candidate_agents_prefix(entry))
            .await?;
        let shards = self
            .key_value
            .range(&format!("berylhook/homes/{entry}/"))
            .await?;
        let even_share = (KEY_SHARDS as usize).div_ceil(candidates.kvs.len().max(1));
        let owned = lock(&self.agent.home_shards).owned_shards();
        for shard in self.unconfirmed_shards() {
            self.claim_shard(shard).await?;
        }
        let free = free_shards(entry, &shards);
        for shard in free
            .into_iter()
            .take(even_share.saturating_sub(owned.len()))
        {
            self.claim_shard(shard).await?;
        }
        let excess = owned
            .len()
            .saturating_sub(even_share)
            .min(MAX_RELEASES_PER_PASS);
        for shard in owned.into_iter().take(excess) {
            self.release(shard).await?;
        }
        Ok(())
    }

    fn unconfirmed_shards(&self) -> Vec<u32> {
        self.unconfirmed.borrow().keys().copied().collect()
    }

    /// Claims one shard for a request that waits for it.
    pub(crate) async fn claim(&self, shard: u32) {
        let _guard = self.claim_lock.lock().await;
        let claim_attempt = async {
            self.ensure_lease().await?;
            self.claim_shard(shard).await
        };
        if let Err(error) = claim_attempt.await {
            log::warn!("shard {shard} could not be claimed: {error}");
        }
    }

    /// Releases all shards to other agents; tries again until none is left.
    pub(crate) async fn release_all(&self) {
        let _guard = self.claim_lock.lock().await;
        loop {
            let owned = lock(&self.agent.home_shards).owned_shards();
            if owned.is_empty() {
                return;
            }
            for shard in owned {
                if let Err(error) = self.release(shard).await {
                    log::warn!("shard {shard} could not be handed over: {error}");
                }
            }
            tokio::time::sleep(std::time::Duration::from_millis(20)).await;
        }
    }

    pub(crate) async fn end_lease(&self) {
        if self.lease_id.get() != 0 {
            let _ = self.key_value.revoke(self.lease_id.get()).await;
        }
    }

    async fn ensure_lease(&self) -> Result<(), KvError> {
        let sent_ms = self.agent.now_ms();
        let ttl_s = i64::from(self.agent.settings.lease_ttl_s);
        if self.lease_id.get() == 0 {
            let grant = self.key_value.grant(ttl_s).await?;
            self.lease_id.set(grant.id);
            self.confirm_lease(sent_ms, grant.ttl_s);
            return Ok(());
        }
        if !lock(&self.agent.home_shards).should_renew(sent_ms) {
            return Ok(());
        }
        match self.key_value.renew(self.lease_id.get()).await {
            Ok(granted_s) => {
                self.confirm_lease(sent_ms, granted_s);
                Ok(())
            }
            Err(KvError::LeaseGone) => {
                log::warn!("the lease has expired; all shards are lost");
                lock(&self.agent.home_shards).on_lease_expired();
                self.lease_id.set(0);
                self.is_registered.set(false);
                // Their keys were deleted with the lease, or are bound to another agent's lease
                // by now.
                self.unconfirmed.borrow_mut().clear();
                Err(KvError::LeaseGone)
            }
            Err(error) => Err(error),
        }
    }

    fn confirm_lease(&self, sent_ms: berylhook_core::time::MonoMs, ttl_s: i64) {
        let ttl_ms = u64::try_from(ttl_s).unwrap_or(0) * 1_000;
        lock(&self.agent.home_shards).on_lease_confirmed(ttl_ms, sent_ms);
    }

    async fn ensure_registered(&self) -> Result<(), KvError> {
        if self.is_registered.get() {
            return Ok(());
        }
        let prefix = candidate_agents_prefix(&self.agent.settings.service);
        let put = Put {
            key: format!("{prefix}{}", self.agent.settings.node.name).into(),
            value: Vec::new(),
            lease_id: self.lease_id.get(),
        };
        let txn = Txn {
            puts: vec![put],
            ..Txn::default()
        };
        self.key_value.commit(txn).await?;
        self.is_registered.set(true);
        Ok(())
    }

    async fn claim_shard(&self, shard: u32) -> Result<(), KvError> {
        let keys = ShardKeys::new(&self.agent.settings.service, shard);
        let range = self.key_value.range(&keys.prefix).await?;
        let state = ShardState::read(&keys, &range);
        match state.home {
            Some(home) if home.agent == *self.agent.settings.node.name => {
                if self.may_claim(state.era).await? {
                    self.resolve_own_claim(shard, &home);
                }
                Ok(())
            }
            Some(home) => {
                let home_agent = home.agent.as_str().into();
                lock(&self.agent.home_shards).record_other_home(shard, home_agent);
                Ok(())
            }
            None if self.may_claim(state.era).await? => self.claim_free(shard, &keys, &state).await,
            None => Ok(()),
        }
    }

    /// Handles a home key that names this agent.
    ///
    /// If this process made the claim and the reply was lost, it becomes home now, as if it took
    /// the shard over from another agent: the key is bound to its own lease, which it renews, so
    /// the shard would otherwise have no home as long as the process runs. If an earlier
    /// incarnation made the claim, that process may merely be frozen: its lease has to expire
    /// first.
    fn resolve_own_claim(&self, shard: u32, home: &HomeDocument) {
        let is_unconfirmed = self.unconfirmed.borrow().get(&shard) == Some(&home.claim);
        let mut home_shards = lock(&self.agent.home_shards);
        match home_shards.owned_shards().contains(&shard) {
            true => {}
            false if is_unconfirmed => {
                let ledger =
                    Ledger::takeover(ClockBounds::default(), WallMs::now(), LEDGER_CAPACITY);
                home_shards.add_claimed(shard, home.claim, ledger);
                self.unconfirmed.borrow_mut().swap_remove(&shard);
                log::info!("home to shard {shard} by a claim whose reply was lost");
            }
            false => log::info!("shard {shard} is bound to an earlier incarnation's lease"),
        }
    }

    /// Whether claims are safe in `era`: no home of a previous era can still act on its claim.
    async fn may_claim(&self, era: u64) -> Result<bool, KvError> {
        let now_ms = self.agent.now_ms();
        let key_value = &*self.key_value;
        self.claim_guard.may_claim(key_value, era, now_ms).await
    }

    async fn claim_free(
        &self,
        shard: u32,
        keys: &ShardKeys,
        state: &ShardState,
    ) -> Result<(), KvError> {
        let claim = rand::random();
        let txn = self.claim_txn(keys, state, claim);
        let is_claimed = match self.key_value.commit(txn).await {
            Ok(response) => response.succeeded,
            Err(error) if error.may_have_applied() => {
                self.unconfirmed.borrow_mut().insert(shard, claim);
                self.is_claim_stored(keys, claim, state.era).await?
            }
            Err(error) => return Err(error),
        };
        self.unconfirmed.borrow_mut().swap_remove(&shard);
        if !is_claimed {
            return Ok(());
        }
        // Created after the claim is confirmed, so that the low-water mark lies above every key
        // that the previous home may have accepted.
        let ledger = initial_ledger(state);
        log::info!(
            "home to shard {shard} of {}, low-water mark {}",
            self.agent.settings.service,
            ledger.low_water_ms().0
        );
        lock(&self.agent.home_shards).add_claimed(shard, claim, ledger);
        Ok(())
    }

    fn claim_txn(&self, keys: &ShardKeys, state: &ShardState, claim: u64) -> Txn {
        let value = HomeDocument {
            agent: self.agent.settings.node.name.to_string(),
            claim,
        };
        let mut txn = Txn {
            compares: vec![Compare::Absent(Arc::clone(&keys.home))],
            puts: vec![Put {
                key: Arc::clone(&keys.home),
                value: serde_json::to_vec(&value).expect("home values serialize"),
                lease_id: self.lease_id.get(),
            }],
            deletes: Vec::new(),
        };
        if !state.was_claimed {
            txn.compares
                .push(Compare::Absent(Arc::clone(&keys.claimed)));
            txn.puts.push(Put {
                key: Arc::clone(&keys.claimed),
                value: Vec::new(),
                lease_id: 0,
            });
        }
        match &state.handover {
            Some(handover) => {
                let unchanged =
                    Compare::ModRevision(Arc::clone(&keys.handover), handover.mod_revision);
                txn.compares.push(unchanged);
                txn.deletes.push(Arc::clone(&keys.handover));
            }
            None => txn
                .compares
                .push(Compare::Absent(Arc::clone(&keys.handover))),
        }
        txn
    }

    async fn is_claim_stored(
        &self,
        keys: &ShardKeys,
        claim: u64,
        era: u64,
    ) -> Result<bool, KvError> {
        let range = self.key_value.range(&keys.prefix).await?;
        let state = ShardState::read(keys, &range);
        // A key that was read in another era does not show which agent is home in this one.
        Ok(state.era == era && state.home.is_some_and(|home| home.claim == claim))
    }

    /// Releases a shard and hands its records over, if no request runs in it.
    async fn release(&self, shard: u32) -> Result<(), KvError> {
        let keys = ShardKeys::new(&self.agent.settings.service, shard);
        let range = self.key_value.range(&keys.prefix).await?;
        let home_kv = range.kvs.iter().find(|kv| kv.key == keys.home);
        let Some(home_kv) = home_kv.filter(|kv| names_agent(kv, &self.agent)) else {
            return Ok(());
        };
        let Some(home) = lock(&self.agent.home_shards).release_if_idle(shard) else {
            return Ok(());
        };
        let export = home.ledger.export(MAX_EXPORTED_RECORDS);
        let txn = Txn {
            // If this agent's lease has expired, the key may already belong to a successor.
            compares: vec![Compare::ModRevision(
                Arc::clone(&keys.home),
                home_kv.mod_revision,
            )],
            puts: vec![Put {
                key: Arc::clone(&keys.handover),
                value: encode(&export, era_of(range.revision)),
                lease_id: 0,
            }],
            deletes: vec![Arc::clone(&keys.home)],
        };
        if let Err(error) = self.key_value.commit(txn).await {
            // If the transaction did not take effect, the key still names this process.
            self.unconfirmed.borrow_mut().insert(shard, home.claim);
            return Err(error);
        }
        log::info!(
            "shard {shard} handed over with {} records",
            export.records.len()
        );
        Ok(())
    }
}

/// Creates the ledger of a newly claimed shard. In a restored store, the absence of a previous
/// home proves nothing, and neither does a handover of a previous era: other agents may have run
/// keys since.
fn initial_ledger(state: &ShardState) -> Ledger {
    let clocks = ClockBounds::default();
    let handover = state.handover.as_ref();
    let export = handover.and_then(|kv| decode(&kv.value, state.era));
    let may_have_been_home = state.was_claimed || state.era > 0;
    match export {
        Some(export) => Ledger::import(clocks, &export, LEDGER_CAPACITY),
        None if may_have_been_home => Ledger::takeover(clocks, WallMs::now(), LEDGER_CAPACITY),
        None => Ledger::for_new_shard(clocks, LEDGER_CAPACITY),
    }
}

fn names_agent(kv: &Kv, agent: &Agent) -> bool {
    serde_json::from_slice::<HomeDocument>(&kv.value)
        .is_ok_and(|home| home.agent == *agent.settings.node.name)
}

impl ShardState {
    fn read(keys: &ShardKeys, range: &RangeResponse) -> Self {
        let find = |key: &Arc<str>| range.kvs.iter().find(|kv| kv.key == *key);
        Self {
            home: find(&keys.home).and_then(|kv| serde_json::from_slice(&kv.value).ok()),
            was_claimed: find(&keys.claimed).is_some(),
            handover: find(&keys.handover).cloned(),
            era: era_of(range.revision),
        }
    }
}

/// The shards that have no home.
fn free_shards(entry: &str, range: &RangeResponse) -> Vec<u32> {
    (0..KEY_SHARDS)
        .filter(|shard| {
            let home = ShardKeys::new(entry, *shard).home;
            !range.kvs.iter().any(|kv| kv.key == home)
        })
        .collect()
}
