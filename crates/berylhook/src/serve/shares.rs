//! Splits limits between entries.
//!
//! One entry at a time is the home (owner) of all limits: it grants shares of them to all entries.
//! It holds a lease on a key in the key-value service. While the service is down the lease cannot
//! be renewed; the home then continues only as long as *every* listed entry keeps requesting shares
//! from it, which shows that none of them has become, or follows, another home. A home that is
//! disconnected from some of them stops granting, and each entry is left with its own portion of
//! the static part.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use berylhook_core::lease::HeldLease;
use berylhook_core::limit::{LimitHome, ShareConfig, ShareRequest};
use berylhook_core::time::MonoMs;
use berylhook_keyvalue::{ClaimGuard, Compare, KvError, Put, Txn, Vm, VmState, era_of};
use berylhook_operator::document::LIMITS_HOME_KEY;
use berylhook_peer::proto::{ShareAnswer, ShareGrant, ShareQuestion, answer, question};
use indexmap::IndexMap;

use super::control::Control;
use super::peers::send_request;

/// Interval of share requests to the home.
const REQUEST_INTERVAL: Duration = Duration::from_millis(500);

/// Time to live of the home's lease.
const LEASE_TTL_S: i64 = 5;

/// Key that marks that the limits may be claimed again after the store was restored.
const CLAIMABLE_KEY: &str = "berylhook/limits-settled";

/// A home continues without a valid lease only if every listed entry has requested shares within
/// this time.
const UNANIMITY_WINDOW_MS: u64 = 1_500;

/// Share requests without a home's reply after which the first entry of the list tries to become
/// home. The others follow one by one, so that the service receives few claims at a time, and a
/// first entry that cannot reach it does not leave the rest without a home.
const FAILED_REQUESTS_PER_CLAIMANT: usize = 3;

/// Which entry this entry believes to be the home of the limits, and its own state while it is the
/// home.
pub(crate) struct Shares {
    state: RefCell<State>,
    /// Prevents a claim while a home of the store's previous era may still grant shares.
    claim_guard: ClaimGuard,
}

impl Default for Shares {
    fn default() -> Self {
        let lease_s = u64::try_from(LEASE_TTL_S).unwrap_or(0);
        Self {
            state: RefCell::default(),
            claim_guard: ClaimGuard::new(CLAIMABLE_KEY.into(), lease_s * 1_000),
        }
    }
}

#[derive(Default)]
struct State {
    home: Option<HomeState>,
    believed_home: Option<Arc<str>>,
    /// Share requests since a home last replied.
    failed_requests: usize,
}

/// The state of this entry while it is home.
struct HomeState {
    epoch: u64,
    lease_id: i64,
    lease: HeldLease,
    /// When this entry became home.
    takeover_ms: MonoMs,
    limit_homes: IndexMap<String, LimitHome>,
    /// When each entry last requested shares.
    last_request_ms: IndexMap<String, MonoMs>,
}

/// Requests shares from the home in an endless loop; tries to become home if there is none.
pub(crate) async fn request_loop(control: Rc<Control>) {
    loop {
        tokio::time::sleep(REQUEST_INTERVAL).await;
        renew_or_claim(&control).await;
        let Some(vm) = home_to_query(&control) else {
            continue;
        };
        let now_ms = control.node.now_ms();
        let share_request = ShareQuestion {
            holder: control.node.incarnation.0,
            demands: control
                .node
                .limiter
                .share_demands(REQUEST_INTERVAL.as_secs_f64(), now_ms),
        };
        if vm.name == control.node.settings.node.name {
            let reply = reply_to(&control, &vm.name, &share_request);
            apply_reply(&control, &reply);
            continue;
        }
        let reply = send_request(
            &control.node,
            vm.address,
            question::Kind::Share(share_request),
        )
        .await;
        match reply.map(|reply| reply.kind) {
            Ok(Some(answer::Kind::Share(share))) => apply_reply(&control, &share),
            _ => control.shares.on_no_home(),
        }
    }
}

fn apply_reply(control: &Control, reply: &ShareAnswer) {
    control.node.limiter.on_grants(&reply.grants);
    if reply.is_home {
        control.shares.state.borrow_mut().failed_requests = 0;
        return;
    }
    control.shares.on_no_home();
    let hint = Some(reply.home.as_str()).filter(|home| !home.is_empty());
    control.shares.state.borrow_mut().believed_home = hint.map(Arc::from);
}

impl Shares {
    fn on_no_home(&self) {
        let mut state = self.state.borrow_mut();
        state.believed_home = None;
        state.failed_requests += 1;
    }
}

/// The believed home, or else each entry in turn, since one of them knows the home.
fn home_to_query(control: &Control) -> Option<Vm> {
    let entries = sorted_entries(control);
    let state = control.shares.state.borrow();
    let known_home = entries
        .iter()
        .find(|vm| Some(&vm.name) == state.believed_home.as_ref());
    let next_in_turn = entries.get(state.failed_requests % entries.len().max(1));
    known_home.or(next_in_turn).cloned()
}

fn sorted_entries(control: &Control) -> Vec<Vm> {
    let snapshot = control.node.snapshot.load();
    let mut entries: Vec<Vm> = live_entries(&snapshot.vms).cloned().collect();
    entries.sort_by(|a, b| a.name.cmp(&b.name));
    entries
}

fn live_entries(vms: &[Vm]) -> impl Iterator<Item = &Vm> {
    vms.iter()
        .filter(|vm| vm.service.is_empty() && vm.state == VmState::Live)
}

/// Replies to a share request: with grants if this entry is home, otherwise with the believed home.
pub(crate) fn reply_to(
    control: &Control,
    requester: &str,
    share_request: &ShareQuestion,
) -> ShareAnswer {
    let now_ms = control.node.now_ms();
    let listed_vms = Arc::clone(&control.node.snapshot.load().vms);
    let mut state = control.shares.state.borrow_mut();
    let believed_home = state.believed_home.clone().unwrap_or_default();
    let Some(home_state) = &mut state.home else {
        return ShareAnswer {
            home: believed_home.to_string(),
            ..ShareAnswer::default()
        };
    };
    home_state
        .last_request_ms
        .insert(requester.to_owned(), now_ms);
    if !home_state.may_grant(&listed_vms, now_ms) {
        // Another entry may be home by now; the requester searches for it.
        return ShareAnswer::default();
    }
    ShareAnswer {
        grants: home_state.grants(control, share_request, now_ms),
        is_home: true,
        home: String::new(),
    }
}

impl HomeState {
    fn may_grant(&self, listed_vms: &[Vm], now_ms: MonoMs) -> bool {
        let has_requested = |vm: &Vm| {
            self.last_request_ms
                .get(&*vm.name)
                .is_some_and(|requested_ms| now_ms.since(*requested_ms) <= UNANIMITY_WINDOW_MS)
        };
        self.lease.is_valid(now_ms) || live_entries(listed_vms).all(has_requested)
    }

    fn grants(
        &mut self,
        control: &Control,
        share_request: &ShareQuestion,
        now_ms: MonoMs,
    ) -> Vec<ShareGrant> {
        let (epoch, takeover_ms) = (self.epoch, self.takeover_ms);
        let demands = share_request.demands.iter();
        demands
            .filter_map(|demand| {
                let limit = control.node.limiter.limit_value(&demand.limit)?;
                let home = self
                    .limit_homes
                    .entry(demand.limit.clone())
                    .or_insert_with(|| {
                        LimitHome::takeover(ShareConfig::default(), limit, epoch, takeover_ms)
                    });
                home.set_limit(limit);
                let request = ShareRequest {
                    holder: share_request.holder,
                    request_seq: demand.asked,
                    demand: demand.demand,
                    in_use: demand.in_use,
                    confirmed_seq: Some(demand.confirmed).filter(|seq| *seq > 0),
                };
                let grant = home.on_request(&request, now_ms);
                Some(ShareGrant {
                    limit: demand.limit.clone(),
                    share: grant.share,
                    epoch: grant.epoch,
                    valid_ms: grant.valid_ms,
                    asked: grant.request_seq,
                })
            })
            .collect()
    }
}

/// Renews the lease as home, or tries to become home if none is known.
async fn renew_or_claim(control: &Rc<Control>) {
    let now_ms = control.node.now_ms();
    let held_lease_id = control
        .shares
        .state
        .borrow()
        .home
        .as_ref()
        .map(|home_state| home_state.lease_id);
    if let Some(lease_id) = held_lease_id {
        match control.key_value.renew(lease_id).await {
            Ok(_) => {
                if let Some(home_state) = &mut control.shares.state.borrow_mut().home {
                    home_state.lease.on_renewed(now_ms);
                }
            }
            Err(KvError::LeaseGone) => {
                log::warn!(
                    "the lease on the limits has expired; this entry is no longer their home"
                );
                let mut state = control.shares.state.borrow_mut();
                state.home = None;
                state.believed_home = None;
            }
            Err(error) => log::debug!("cannot renew the lease on the limits: {error}"),
        }
        return;
    }
    if should_claim(control)
        && let Err(error) = claim(control).await
    {
        log::debug!("cannot claim the limits: {error}");
    }
}

fn should_claim(control: &Control) -> bool {
    let own_name = &control.node.settings.node.name;
    let entries = sorted_entries(control);
    let Some(rank) = entries.iter().position(|vm| vm.name == *own_name) else {
        return false;
    };
    control.shares.state.borrow().failed_requests > rank * FAILED_REQUESTS_PER_CLAIMANT
}

async fn claim(control: &Rc<Control>) -> Result<(), KvError> {
    let own_name = &control.node.settings.node.name;
    let stored = control.key_value.range(LIMITS_HOME_KEY).await?;
    if let Some(kv) = stored.kvs.first() {
        let holder = String::from_utf8_lossy(&kv.value).into_owned();
        let holder = holder.split('/').next().unwrap_or_default();
        // A key of this entry's previous incarnation expires with its lease.
        if holder != &**own_name {
            control.shares.state.borrow_mut().believed_home = Some(holder.into());
        }
        return Ok(());
    }
    let sent_ms = control.node.now_ms();
    let era = era_of(stored.revision);
    let claim_guard = &control.shares.claim_guard;
    if !claim_guard
        .may_claim(&*control.key_value, era, sent_ms)
        .await?
    {
        return Ok(());
    }
    let sent_ms = control.node.now_ms();
    let grant = control.key_value.grant(LEASE_TTL_S).await?;
    let value = format!("{own_name}/{}", control.node.incarnation);
    let txn = Txn {
        compares: vec![Compare::Absent(LIMITS_HOME_KEY.into())],
        puts: vec![Put {
            key: LIMITS_HOME_KEY.into(),
            value: value.into_bytes(),
            lease_id: grant.id,
        }],
        deletes: Vec::new(),
    };
    // A claim whose outcome is unknown is not used; its lease is not renewed and expires.
    let outcome = control.key_value.commit(txn).await?;
    if !outcome.succeeded {
        return Ok(());
    }
    let ttl_ms = u64::try_from(grant.ttl_s).unwrap_or(0) * 1_000;
    log::info!("became home of the limits, epoch {}", outcome.revision);
    let mut state = control.shares.state.borrow_mut();
    state.believed_home = Some(Arc::clone(own_name));
    state.home = Some(HomeState {
        epoch: u64::try_from(outcome.revision).unwrap_or(0),
        lease_id: grant.id,
        lease: HeldLease::granted(ttl_ms, sent_ms),
        takeover_ms: control.node.now_ms(),
        limit_homes: IndexMap::new(),
        last_request_ms: IndexMap::new(),
    });
    Ok(())
}
