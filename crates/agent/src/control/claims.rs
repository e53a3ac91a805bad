//! Claims on key shards through the key-value service.
//!
//! A shard's home key is created only where it is absent and is bound to the
//! home's lease, so there is at most one. A claim whose answer was lost is
//! read back by the number drawn for it. A claim that stays in doubt is not
//! used: the next look finds it and takes the shard over as if from another
//! agent, which costs "unknown" answers and never a second run.
//!
//! A store that was restored from an older copy has lost claims whose homes still run
//! requests. Nothing is claimed there until their leases have run out, and what the
//! copy tells of former homes is taken for less than it says: see [`ledger_for`].

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
    HomeValue, MAX_MOVED_RECORDS, ShardKeys, decode, encode, members_prefix, settled_key,
};

/// Records kept per shard.
const LEDGER_CAPACITY: usize = 16_384;

/// Shards moved to other agents in one look.
const MOVES_AT_A_TIME: usize = 2;

pub(crate) struct Claims {
    agent: Arc<Agent>,
    key_value: Arc<dyn KeyValue>,
    lease_id: Cell<i64>,
    is_member: Cell<bool>,
    /// Claims of this process that may be in the service although it does not
    /// act on them: their answers were lost.
    doubtful: RefCell<IndexMap<u32, u64>>,
    gate: ClaimGuard,
    /// One claim or renewal at a time; two at once would grant two leases.
    busy: Mutex<()>,
}

/// What the service holds about a shard.
struct ShardState {
    home: Option<HomeValue>,
    was_claimed: bool,
    handover: Option<Kv>,
    /// The era of the store in which it was read.
    era: u64,
}

impl Claims {
    pub(crate) fn new(agent: Arc<Agent>, key_value: Arc<dyn KeyValue>) -> Self {
        let lease_ms = u64::from(agent.settings.lease_ttl_s) * 1_000;
        Self {
            gate: ClaimGuard::new(settled_key(&agent.settings.service), lease_ms),
            agent,
            key_value,
            lease_id: Cell::new(0),
            is_member: Cell::new(false),
            doubtful: RefCell::new(IndexMap::new()),
            busy: Mutex::new(()),
        }
    }

    /// Renews the lease, then claims or gives away shards towards an even
    /// share.
    pub(crate) async fn upkeep(&self) {
        let _busy = self.busy.lock().await;
        if let Err(error) = self.try_upkeep().await {
            log::warn!("shards of {}: {error}", self.agent.settings.service);
        }
    }

    async fn try_upkeep(&self) -> Result<(), KvError> {
        self.ensure_lease().await?;
        self.ensure_member().await?;
        let entry = &self.agent.settings.service;
        let members = self.key_value.range(&members_prefix(entry)).await?;
        let shards = self
            .key_value
            .range(&format!("berylhook/homes/{entry}/"))
            .await?;
        let even_share = (KEY_SHARDS as usize).div_ceil(members.kvs.len().max(1));
        let owned = lock(&self.agent.homes).owned();
        for shard in self.doubtful_shards() {
            self.claim_shard(shard).await?;
        }
        let free = free_shards(entry, &shards);
        for shard in free
            .into_iter()
            .take(even_share.saturating_sub(owned.len()))
        {
            self.claim_shard(shard).await?;
        }
        let excess = owned.len().saturating_sub(even_share).min(MOVES_AT_A_TIME);
        for shard in owned.into_iter().take(excess) {
            self.release(shard).await?;
        }
        Ok(())
    }

    fn doubtful_shards(&self) -> Vec<u32> {
        self.doubtful.borrow().keys().copied().collect()
    }

    /// Claims one shard on behalf of an order that waits for it.
    pub(crate) async fn claim(&self, shard: u32) {
        let _busy = self.busy.lock().await;
        let claimed = async {
            self.ensure_lease().await?;
            self.claim_shard(shard).await
        };
        if let Err(error) = claimed.await {
            log::warn!("shard {shard} could not be claimed: {error}");
        }
    }

    /// Gives all shards to whoever claims them next.
    pub(crate) async fn release_all(&self) {
        let _busy = self.busy.lock().await;
        loop {
            let owned = lock(&self.agent.homes).owned();
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
            self.confirm(sent_ms, grant.ttl_s);
            return Ok(());
        }
        if !lock(&self.agent.homes).should_renew(sent_ms) {
            return Ok(());
        }
        match self.key_value.renew(self.lease_id.get()).await {
            Ok(granted_s) => {
                self.confirm(sent_ms, granted_s);
                Ok(())
            }
            Err(KvError::LeaseGone) => {
                log::warn!("the lease has expired; all shards are given up");
                lock(&self.agent.homes).lease_gone();
                self.lease_id.set(0);
                self.is_member.set(false);
                // Their keys end with the lease, or are bound to another's by now.
                self.doubtful.borrow_mut().clear();
                Err(KvError::LeaseGone)
            }
            Err(error) => Err(error),
        }
    }

    fn confirm(&self, sent_ms: berylhook_core::time::MonoMs, ttl_s: i64) {
        let ttl_ms = u64::try_from(ttl_s).unwrap_or(0) * 1_000;
        lock(&self.agent.homes).lease_confirmed(ttl_ms, sent_ms);
    }

    async fn ensure_member(&self) -> Result<(), KvError> {
        if self.is_member.get() {
            return Ok(());
        }
        let prefix = members_prefix(&self.agent.settings.service);
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
        self.is_member.set(true);
        Ok(())
    }

    async fn claim_shard(&self, shard: u32) -> Result<(), KvError> {
        let keys = ShardKeys::new(&self.agent.settings.service, shard);
        let range = self.key_value.range(&keys.prefix).await?;
        let state = ShardState::read(&keys, &range);
        match state.home {
            Some(home) if home.agent == *self.agent.settings.node.name => {
                if self.may_claim(state.era).await? {
                    self.settle_own(shard, &home);
                }
                Ok(())
            }
            Some(home) => {
                let holder = home.agent.as_str().into();
                lock(&self.agent.homes).held_elsewhere(shard, holder);
                Ok(())
            }
            None if self.may_claim(state.era).await? => self.claim_free(shard, &keys, &state).await,
            None => Ok(()),
        }
    }

    /// The service says that this agent is home.
    ///
    /// Where this process itself made the claim and its answer was lost, it
    /// becomes home now, as if it took over from another: the key is bound to
    /// its own lease, which it renews, so the shard would have no home for as
    /// long as the process lives. Where an earlier incarnation made the claim,
    /// that one may only be frozen: its lease has to end first.
    fn settle_own(&self, shard: u32, home: &HomeValue) {
        let is_doubtful = self.doubtful.borrow().get(&shard) == Some(&home.claim);
        let mut homes = lock(&self.agent.homes);
        match homes.owned().contains(&shard) {
            true => {}
            false if is_doubtful => {
                let ledger =
                    Ledger::takeover(ClockBounds::default(), WallMs::now(), LEDGER_CAPACITY);
                homes.claimed(shard, home.claim, ledger);
                self.doubtful.borrow_mut().swap_remove(&shard);
                log::info!("home to shard {shard} by a claim whose answer was lost");
            }
            false => log::info!("shard {shard} is still bound to an earlier incarnation"),
        }
    }

    /// Whether no home of an era before can act on its claim any more.
    async fn may_claim(&self, era: u64) -> Result<bool, KvError> {
        let now_ms = self.agent.now_ms();
        let key_value = &*self.key_value;
        self.gate.may_claim(key_value, era, now_ms).await
    }

    async fn claim_free(
        &self,
        shard: u32,
        keys: &ShardKeys,
        state: &ShardState,
    ) -> Result<(), KvError> {
        let claim = rand::random();
        let txn = self.claim_txn(keys, state, claim);
        let won = match self.key_value.commit(txn).await {
            Ok(answer) => answer.succeeded,
            Err(error) if error.may_have_applied() => {
                self.doubtful.borrow_mut().insert(shard, claim);
                self.read_back(keys, claim, state.era).await?
            }
            Err(error) => return Err(error),
        };
        self.doubtful.borrow_mut().swap_remove(&shard);
        if !won {
            return Ok(());
        }
        // Made after the claim is certain, so that the floor lies after
        // everything the former home may have accepted.
        let ledger = ledger_for(state);
        log::info!(
            "home to shard {shard} of {}, floor {}",
            self.agent.settings.service,
            ledger.low_water_ms().0
        );
        lock(&self.agent.homes).claimed(shard, claim, ledger);
        Ok(())
    }

    fn claim_txn(&self, keys: &ShardKeys, state: &ShardState, claim: u64) -> Txn {
        let value = HomeValue {
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

    async fn read_back(&self, keys: &ShardKeys, claim: u64, era: u64) -> Result<bool, KvError> {
        let range = self.key_value.range(&keys.prefix).await?;
        let state = ShardState::read(keys, &range);
        // What was read in an era before says nothing of who is home in this one.
        Ok(state.era == era && state.home.is_some_and(|home| home.claim == claim))
    }

    /// Hands a shard's records over, if nothing runs in it.
    async fn release(&self, shard: u32) -> Result<(), KvError> {
        let keys = ShardKeys::new(&self.agent.settings.service, shard);
        let range = self.key_value.range(&keys.prefix).await?;
        let own = range.kvs.iter().find(|kv| kv.key == keys.home);
        let Some(own) = own.filter(|kv| is_own(kv, &self.agent)) else {
            return Ok(());
        };
        let Some(home) = lock(&self.agent.homes).take_idle(shard) else {
            return Ok(());
        };
        let moved = home.ledger.export(MAX_MOVED_RECORDS);
        let txn = Txn {
            // After its lease has ended the key may be a successor's.
            compares: vec![Compare::ModRevision(
                Arc::clone(&keys.home),
                own.mod_revision,
            )],
            puts: vec![Put {
                key: Arc::clone(&keys.handover),
                value: encode(&moved, era_of(range.revision)),
                lease_id: 0,
            }],
            deletes: vec![Arc::clone(&keys.home)],
        };
        if let Err(error) = self.key_value.commit(txn).await {
            // If it did not take effect, the key still names this process.
            self.doubtful.borrow_mut().insert(shard, home.claim);
            return Err(error);
        }
        log::info!(
            "shard {shard} handed over with {} records",
            moved.records.len()
        );
        Ok(())
    }
}

/// The records to begin with. In a restored store the absence of a former home proves
/// nothing, and neither do records that were left in a former era: others may have run keys
/// since.
fn ledger_for(state: &ShardState) -> Ledger {
    let clocks = ClockBounds::default();
    let handover = state.handover.as_ref();
    let moved = handover.and_then(|kv| decode(&kv.value, state.era));
    let may_have_been_home = state.was_claimed || state.era > 0;
    match moved {
        Some(moved) => Ledger::import(clocks, &moved, LEDGER_CAPACITY),
        None if may_have_been_home => Ledger::takeover(clocks, WallMs::now(), LEDGER_CAPACITY),
        None => Ledger::for_new_shard(clocks, LEDGER_CAPACITY),
    }
}

fn is_own(kv: &Kv, agent: &Agent) -> bool {
    serde_json::from_slice::<HomeValue>(&kv.value)
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
