//! Claims of key shards through the key-value service.
//!
//! The home of a shard is the agent that alone may run the shard's keyed requests. A shard's home
//! key is created only if it is absent, and is bound to the home's lease, so there is at most one
//! home. If the reply to a claim is lost, the key is read back and compared by the claim's random
//! ID. A claim that stays unconfirmed may still take effect, also seconds later. It is not used until
//! a maintenance pass finds it; until then this process keeps what the previous home had handed over,
//! which the claim removes from the service.
//!
//! Claims and handovers of one shard are serialized, those of different shards are not: a slow
//! service then delays a shard by its own calls only.
//!
//! A store that was restored from an older copy has lost claims whose homes still run requests.
//! Nothing is claimed there until the leases of these homes have expired, and the copy is not
//! trusted to list all previous homes and their runs: see [`initial_ledger`].

use std::cell::{Cell, RefCell};
use std::sync::Arc;

use berylhook_core::ledger::{ClockBounds, KEY_SHARDS, Ledger};
use berylhook_core::time::{MonoMs, WallMs};
use berylhook_keyvalue::{
    ClaimGuard, Compare, KeyValue, Kv, KvError, Put, RangeResponse, Txn, era_of,
};
use futures_util::future::join_all;
use indexmap::IndexMap;
use tokio::sync::{Mutex, MutexGuard, oneshot};

use crate::agent::{Agent, lock};
use crate::handover::{
    HomeDocument, ShardKeys, candidate_agents_prefix, decode, decode_published, era_marker_key,
};
use crate::home_shards::HomeClaim;

/// Maximum number of records in a shard's ledger.
const LEDGER_CAPACITY: usize = 16_384;

/// Maximum number of unconfirmed claims that are remembered. The store gives up on calls within
/// seconds, so older ones no longer take effect.
const MAX_UNCONFIRMED: usize = 2 * KEY_SHARDS as usize;

/// How long an agent does not claim a shard that it has handed over to even out the shares. Twice the
/// interval of maintenance, in which the next home claims it.
const RECLAIM_DELAY_MS: u64 = 1_000;

/// Maximum number of shards handed over to other agents in one maintenance pass.
const MAX_HANDOVERS_PER_PASS: usize = 2;

pub(crate) struct ShardClaims {
    pub(super) agent: Arc<Agent>,
    pub(super) key_value: Arc<dyn KeyValue>,
    term: Cell<LeaseTerm>,
    is_registered: Cell<bool>,
    /// Claims whose replies were lost, by their IDs. The home key may name this process although the
    /// process does not act as the shard's home.
    unconfirmed: RefCell<IndexMap<u64, ClaimAttempt>>,
    claim_guard: ClaimGuard,
    /// Serializes grants and renewals; two at once could be granted two leases.
    lease_lock: Mutex<()>,
    /// For each shard, serializes its claims and handovers.
    shard_locks: IndexMap<u32, Mutex<()>>,
    is_stopping: Cell<bool>,
    /// When this agent has handed shards over to even out the shares. Requests that still come here
    /// for them are to make another agent claim them.
    pub(super) handed_over_ms: RefCell<IndexMap<u32, MonoMs>>,
    /// Serializes publications, so that a record is not replaced by an older one.
    pub(super) publish_lock: Mutex<()>,
    /// Requests that wait until published records have been read, by shard. A shard has an entry as
    /// long as a task reads them.
    pub(super) waiting_reads: RefCell<IndexMap<u32, Vec<oneshot::Sender<()>>>>,
}

/// One lease of this agent, from its grant until the service reports it as expired.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct LeaseTerm {
    /// ID of the lease; 0 if there is none. A store that was restored uses IDs again.
    lease_id: i64,
    /// Number of leases that were lost before.
    number: u64,
}

/// A claim that was sent to the service.
struct ClaimAttempt {
    /// Random ID of the claim.
    id: u64,
    shard: u32,
    /// The lease that the home key is bound to.
    term: LeaseTerm,
    /// State of the shard that the claim replaces.
    replaced: ShardState,
}

/// State of a shard in the key-value service.
pub(super) struct ShardState {
    pub(super) home: Option<StoredHome>,
    was_claimed: bool,
    handover: Option<Kv>,
    /// Records published by previous homes.
    published: Vec<Kv>,
    /// Era of the store in which the state was read.
    era: u64,
}

/// The home key of a shard.
pub(super) struct StoredHome {
    pub(super) document: HomeDocument,
    pub(super) revision: i64,
}

impl ShardClaims {
    pub(crate) fn new(agent: Arc<Agent>, key_value: Arc<dyn KeyValue>) -> Self {
        let lease_ms = u64::from(agent.settings.lease_ttl_s) * 1_000;
        Self {
            claim_guard: ClaimGuard::new(era_marker_key(&agent.settings.service), lease_ms),
            agent,
            key_value,
            term: Cell::new(LeaseTerm::default()),
            is_registered: Cell::new(false),
            unconfirmed: RefCell::new(IndexMap::new()),
            lease_lock: Mutex::new(()),
            shard_locks: (0..KEY_SHARDS)
                .map(|shard| (shard, Mutex::new(())))
                .collect(),
            is_stopping: Cell::new(false),
            handed_over_ms: RefCell::new(IndexMap::new()),
            publish_lock: Mutex::new(()),
            waiting_reads: RefCell::new(IndexMap::new()),
        }
    }

    /// Claims or hands over shards so that each agent gets an even share.
    pub(crate) async fn maintain(&self) {
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
        self.take_published(&shards).await;
        let even_share = (KEY_SHARDS as usize).div_ceil(candidates.kvs.len().max(1));
        let owned = lock(&self.agent.home_shards).owned_shards();
        let missing = even_share.saturating_sub(owned.len());
        let free = free_shards(entry, &shards);
        let unused = self.shards_named_unused(&shards);
        let wanted = unused.into_iter().chain(free.take(missing));
        join_all(wanted.map(|shard| self.claim(shard))).await;
        let excess = owned.len().saturating_sub(even_share);
        let surplus = owned.into_iter().take(excess.min(MAX_HANDOVERS_PER_PASS));
        join_all(surplus.map(|shard| self.hand_over_if_idle(shard))).await;
        Ok(())
    }

    /// The shards whose home key names this agent although it does not act as their home.
    fn shards_named_unused(&self, range: &RangeResponse) -> Vec<u32> {
        let service = &self.agent.settings.service;
        let home_shards = lock(&self.agent.home_shards);
        let unused = (0..KEY_SHARDS).filter(|shard| !home_shards.is_home_to(*shard));
        unused
            .filter(|shard| {
                let state = ShardState::read(&ShardKeys::new(service, *shard), range);
                state.home.is_some_and(|home| self.is_named_by(&home))
            })
            .collect()
    }

    fn is_named_by(&self, home: &StoredHome) -> bool {
        home.document.agent == *self.agent.settings.node.name
    }

    /// Claims one shard unless the agent is stopping.
    pub(crate) async fn claim(&self, shard: u32) {
        let Some(_guard) = self.lock_shard(shard).await else {
            return;
        };
        if self.is_stopping() || self.was_handed_over(shard) {
            return;
        }
        let claim_attempt = async {
            let term = self.ensure_lease().await?;
            self.claim_shard(shard, term).await
        };
        if let Err(error) = claim_attempt.await {
            log::warn!("shard {shard} could not be claimed: {error}");
        }
    }

    fn was_handed_over(&self, shard: u32) -> bool {
        let now_ms = self.agent.now_ms();
        let mut handed_over_ms = self.handed_over_ms.borrow_mut();
        handed_over_ms.retain(|_, at_ms| now_ms.since(*at_ms) < RECLAIM_DELAY_MS);
        handed_over_ms.contains_key(&shard)
    }

    /// Waits for the end of all claims and handovers of the shard; `None` if there is no such shard.
    pub(super) async fn lock_shard(&self, shard: u32) -> Option<MutexGuard<'_, ()>> {
        Some(self.shard_locks.get(&shard)?.lock().await)
    }

    /// Starts no claim from now on: a shard that a stopping agent claims is lost with its lease.
    pub(crate) fn stop_claiming(&self) {
        self.is_stopping.set(true);
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.is_stopping.get()
    }

    /// Takes this agent off the list of those that can be home to shards, so that the others take
    /// over its share.
    pub(crate) async fn unregister(&self) {
        let txn = Txn {
            deletes: vec![self.candidate_key()],
            ..Txn::default()
        };
        if let Err(error) = self.key_value.commit(txn).await {
            // The key is bound to the lease, so it is gone when the agent has stopped.
            log::info!("the agent is still listed as a home of shards: {error}");
        }
    }

    pub(crate) async fn end_lease(&self) {
        let _guard = self.lease_lock.lock().await;
        let term = self.term.get();
        if term.lease_id != 0 {
            let _ = self.key_value.revoke(term.lease_id).await;
        }
        self.term.set(term.after_loss());
    }

    /// Renews the lease if it is due, and logs a failure.
    pub(crate) async fn renew_lease(&self) {
        if self.term.get().lease_id == 0 {
            return;
        }
        if let Err(error) = self.ensure_lease().await {
            log::warn!("the lease could not be renewed: {error}");
        }
    }

    /// Renews the lease if it is due, or requests one.
    async fn ensure_lease(&self) -> Result<LeaseTerm, KvError> {
        let _guard = self.lease_lock.lock().await;
        let sent_ms = self.agent.now_ms();
        let ttl_s = i64::from(self.agent.settings.lease_ttl_s);
        let term = self.term.get();
        if term.lease_id == 0 {
            if self.is_stopping() {
                return Err(KvError::LeaseGone);
            }
            let grant = self.key_value.grant(ttl_s).await?;
            let term = LeaseTerm {
                lease_id: grant.id,
                ..term
            };
            self.term.set(term);
            self.confirm_lease(sent_ms, grant.ttl_s);
            return Ok(term);
        }
        if !lock(&self.agent.home_shards).should_renew(sent_ms) {
            return Ok(term);
        }
        match self.key_value.renew(term.lease_id).await {
            Ok(granted_s) => {
                self.confirm_lease(sent_ms, granted_s);
                Ok(term)
            }
            Err(KvError::LeaseGone) => {
                lock(&self.agent.home_shards).drop_lease();
                // Published before the shards are dropped, which sends callers to the next homes.
                self.publish_all().await;
                lock(&self.agent.home_shards).retire_all();
                log::warn!("the lease has expired; all shards are lost");
                self.term.set(term.after_loss());
                self.is_registered.set(false);
                // Their keys were deleted with the lease, or are bound to another agent's lease
                // by now.
                self.unconfirmed.borrow_mut().clear();
                Err(KvError::LeaseGone)
            }
            Err(error) => Err(error),
        }
    }

    fn confirm_lease(&self, sent_ms: MonoMs, ttl_s: i64) {
        let ttl_ms = u64::try_from(ttl_s).unwrap_or(0) * 1_000;
        lock(&self.agent.home_shards).on_lease_confirmed(ttl_ms, sent_ms);
    }

    async fn ensure_registered(&self) -> Result<(), KvError> {
        if self.is_registered.get() {
            return Ok(());
        }
        let put = Put {
            key: self.candidate_key(),
            value: Vec::new(),
            lease_id: self.term.get().lease_id,
        };
        let txn = Txn {
            puts: vec![put],
            ..Txn::default()
        };
        self.key_value.commit(txn).await?;
        self.is_registered.set(true);
        Ok(())
    }

    fn candidate_key(&self) -> Arc<str> {
        let prefix = candidate_agents_prefix(&self.agent.settings.service);
        format!("{prefix}{}", self.agent.settings.node.name).into()
    }

    /// Reads the state of a shard.
    pub(super) async fn read_shard(&self, keys: &ShardKeys) -> Result<ShardState, KvError> {
        let range = self.key_value.range(&keys.prefix).await?;
        Ok(ShardState::read(keys, &range))
    }

    async fn claim_shard(&self, shard: u32, term: LeaseTerm) -> Result<(), KvError> {
        let keys = ShardKeys::new(&self.agent.settings.service, shard);
        let state = self.read_shard(&keys).await?;
        match &state.home {
            Some(home) if self.is_named_by(home) => {
                if self.may_claim(state.era).await? {
                    self.resolve_own_claim(shard, home, state.era);
                }
                Ok(())
            }
            Some(home) => {
                let home_agent = home.document.agent.as_str().into();
                lock(&self.agent.home_shards).record_other_home(shard, home_agent);
                Ok(())
            }
            None if self.may_claim(state.era).await? => {
                self.claim_free(shard, &keys, state, term).await
            }
            None => Ok(()),
        }
    }

    /// Handles a home key that names this agent.
    ///
    /// If this process made the claim and the reply was lost, it becomes home now: no other agent
    /// can have been home since, and the key is bound to its own lease, which it renews, so the
    /// shard would otherwise have no home as long as the process runs. If an earlier incarnation
    /// made the claim, that process may merely be frozen: its lease has to expire first.
    fn resolve_own_claim(&self, shard: u32, home: &StoredHome, era: u64) {
        if lock(&self.agent.home_shards).is_home_to(shard) {
            return;
        }
        let attempt = self.unconfirmed.borrow_mut().swap_remove(&home.claim().id);
        match attempt {
            Some(attempt) => {
                log::info!("home to shard {shard} by a claim whose reply was lost");
                self.become_home(&attempt, home.revision, era);
            }
            None => log::info!("shard {shard} is bound to an earlier incarnation's lease"),
        }
    }

    /// Acts as home from now on, by a claim that the service has recorded in `era`, unless the lease
    /// was lost meanwhile: the home key is gone with it, and another agent may be home.
    fn become_home(&self, attempt: &ClaimAttempt, revision: i64, era: u64) {
        let shard = attempt.shard;
        let claim = HomeClaim {
            id: attempt.id,
            revision,
        };
        // Created after the claim is confirmed, so that the low-water mark lies above every key
        // that the previous home may have accepted.
        let ledger = initial_ledger(&attempt.replaced, era);
        let records = ledger.len();
        let low_water_ms = ledger.low_water_ms().0;
        let mut home_shards = lock(&self.agent.home_shards);
        home_shards.add_claimed(shard, claim, ledger);
        if attempt.term != self.term.get() {
            log::warn!("the lease was lost while shard {shard} was claimed");
            return home_shards.retire(shard);
        }
        drop(home_shards);
        log::info!(
            "home to shard {shard} of {} with {records} records, low-water mark {low_water_ms}",
            self.agent.settings.service,
        );
        // While the home key exists, no other claim of the shard can take effect, and what was
        // handed over to them is gone afterwards.
        let mut unconfirmed = self.unconfirmed.borrow_mut();
        unconfirmed.retain(|_, other| other.shard != shard);
    }

    /// Becomes home to the shard by a claim whose reply was lost, if the claim has taken effect.
    pub(super) async fn resolve_unconfirmed(&self, shard: u32) {
        let is_unconfirmed = |attempt: &ClaimAttempt| attempt.shard == shard;
        if !self.unconfirmed.borrow().values().any(is_unconfirmed) {
            return;
        }
        let keys = ShardKeys::new(&self.agent.settings.service, shard);
        match self.read_shard(&keys).await {
            Ok(state) => {
                let home = state.home.filter(|home| self.is_named_by(home));
                if let Some(home) = home {
                    self.resolve_own_claim(shard, &home, state.era);
                }
            }
            Err(error) => log::warn!("the claim of shard {shard} is not confirmed: {error}"),
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
        state: ShardState,
        term: LeaseTerm,
    ) -> Result<(), KvError> {
        let attempt = ClaimAttempt {
            id: rand::random(),
            shard,
            term,
            replaced: state,
        };
        let era = attempt.replaced.era;
        match self.key_value.commit(self.claim_txn(keys, &attempt)).await {
            Ok(response) if response.succeeded => {
                self.become_home(&attempt, response.revision, era);
            }
            Ok(_) => {}
            Err(error) if error.may_have_applied() => {
                let claim_id = attempt.id;
                self.remember_unconfirmed(attempt);
                let stored = self.read_shard(keys).await?;
                // A key that was read in another era does not show which agent is home in this one.
                let home = stored.home.filter(|_| stored.era == era);
                if let Some(home) = home.filter(|home| home.document.claim == claim_id) {
                    self.resolve_own_claim(shard, &home, era);
                }
            }
            Err(error) => return Err(error),
        }
        Ok(())
    }

    fn remember_unconfirmed(&self, attempt: ClaimAttempt) {
        let mut unconfirmed = self.unconfirmed.borrow_mut();
        if unconfirmed.len() >= MAX_UNCONFIRMED {
            unconfirmed.shift_remove_index(0);
        }
        unconfirmed.insert(attempt.id, attempt);
    }

    fn claim_txn(&self, keys: &ShardKeys, attempt: &ClaimAttempt) -> Txn {
        let state = &attempt.replaced;
        let value = HomeDocument {
            agent: self.agent.settings.node.name.to_string(),
            claim: attempt.id,
        };
        let mut txn = Txn {
            compares: vec![Compare::Absent(Arc::clone(&keys.home))],
            puts: vec![Put {
                key: Arc::clone(&keys.home),
                value: serde_json::to_vec(&value).expect("home values serialize"),
                lease_id: attempt.term.lease_id,
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
}

/// Creates the ledger of a shard that was claimed in `era`, in place of its state before.
///
/// In a restored store, the absence of a previous home proves nothing, and neither does a handover of
/// a previous era: other agents may have run keys since.
fn initial_ledger(replaced: &ShardState, era: u64) -> Ledger {
    let clocks = ClockBounds::default();
    let handover = replaced.handover.as_ref();
    let export = handover.and_then(|kv| decode(&kv.value, era));
    let may_have_been_home = replaced.was_claimed || era > 0;
    let mut ledger = match export {
        Some(export) => Ledger::import(clocks, &export, LEDGER_CAPACITY),
        None if may_have_been_home => Ledger::takeover(clocks, WallMs::now(), LEDGER_CAPACITY),
        None => Ledger::for_new_shard(clocks, LEDGER_CAPACITY),
    };
    let published = replaced.published.iter();
    for published in published.filter_map(|kv| decode_published(&kv.value)) {
        ledger.add_earlier_records(&published.records);
    }
    ledger
}

impl LeaseTerm {
    fn after_loss(self) -> Self {
        Self {
            lease_id: 0,
            number: self.number + 1,
        }
    }
}

impl StoredHome {
    fn decode(kv: &Kv) -> Option<Self> {
        Some(Self {
            document: serde_json::from_slice(&kv.value).ok()?,
            revision: kv.mod_revision,
        })
    }

    pub(super) fn claim(&self) -> HomeClaim {
        HomeClaim {
            id: self.document.claim,
            revision: self.revision,
        }
    }
}

impl ShardState {
    fn read(keys: &ShardKeys, range: &RangeResponse) -> Self {
        let find = |key: &Arc<str>| range.kvs.iter().find(|kv| kv.key == *key);
        Self {
            home: find(&keys.home).and_then(StoredHome::decode),
            was_claimed: find(&keys.claimed).is_some(),
            handover: find(&keys.handover).cloned(),
            published: range
                .kvs
                .iter()
                .filter(|kv| kv.key.starts_with(&keys.published))
                .cloned()
                .collect(),
            era: era_of(range.revision),
        }
    }
}

/// The shards that have no home.
fn free_shards(entry: &str, range: &RangeResponse) -> impl Iterator<Item = u32> {
    (0..KEY_SHARDS).filter(|shard| {
        let home = ShardKeys::new(entry, *shard).home;
        !range.kvs.iter().any(|kv| kv.key == home)
    })
}
