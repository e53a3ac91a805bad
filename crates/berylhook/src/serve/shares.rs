//! Who splits the limits, and the questions to it.
//!
//! One entry at a time is home to all limits. It holds a lease on a key in
//! the key-value service. While the service is down the lease cannot be
//! renewed; the home then goes on only as long as *every* listed entry keeps
//! asking it, which shows that none of them has become, or follows, another
//! home. A home that is cut off from some of them stops giving, and each
//! entry is left with its own piece of the static part.

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
use super::peers::ask;

/// Time between two questions to the home.
const ASK_EVERY: Duration = Duration::from_millis(500);

/// Time to live of the home's lease.
const LEASE_TTL_S: i64 = 5;

/// The mark that the limits may be claimed again after the store was restored.
const SETTLED_KEY: &str = "berylhook/limits-settled";

/// Every listed entry must have asked within this, for a home to go on
/// without its lease.
const UNANIMOUS_WITHIN_MS: u64 = 1_500;

/// Questions without a home's answer after which the first entry of the list
/// tries to become home; the others follow one by one, so that the service
/// sees few claimers at a time, and a first entry that is cut off from it
/// does not keep the rest without a home.
const TRIES_PER_CLAIMER: usize = 3;

/// This entry's part in splitting the limits.
pub(crate) struct Shares {
    state: RefCell<State>,
    /// Keeps a claim from being made while a home of a former era may still give shares.
    gate: ClaimGuard,
}

impl Default for Shares {
    fn default() -> Self {
        let lease_s = u64::try_from(LEASE_TTL_S).unwrap_or(0);
        Self {
            state: RefCell::default(),
            gate: ClaimGuard::new(SETTLED_KEY.into(), lease_s * 1_000),
        }
    }
}

#[derive(Default)]
struct State {
    home: Option<Split>,
    believed: Option<Arc<str>>,
    /// Questions since a home last answered.
    tries: usize,
}

/// What this entry holds while it is home.
struct Split {
    epoch: u64,
    lease_id: i64,
    lease: HeldLease,
    taken_ms: MonoMs,
    homes: IndexMap<String, LimitHome>,
    /// When each entry last asked.
    asked_ms: IndexMap<String, MonoMs>,
}

/// Asks the home for shares, for ever; becomes home where there is none.
pub(crate) async fn follow(control: Rc<Control>) {
    loop {
        tokio::time::sleep(ASK_EVERY).await;
        renew(&control).await;
        let Some(vm) = home_to_ask(&control) else {
            continue;
        };
        let now_ms = control.node.now_ms();
        let question = ShareQuestion {
            holder: control.node.incarnation.0,
            demands: control
                .node
                .limiter
                .questions(ASK_EVERY.as_secs_f64(), now_ms),
        };
        if vm.name == control.node.settings.node.name {
            let own = answer(&control, &vm.name, &question);
            take(&control, &own);
            continue;
        }
        let told = ask(&control.node, vm.address, question::Kind::Share(question)).await;
        match told.map(|told| told.kind) {
            Ok(Some(answer::Kind::Share(share))) => take(&control, &share),
            _ => control.shares.no_home(),
        }
    }
}

fn take(control: &Control, share: &ShareAnswer) {
    control.node.limiter.on_grants(&share.grants);
    if share.is_home {
        control.shares.state.borrow_mut().tries = 0;
        return;
    }
    control.shares.no_home();
    let hint = Some(share.home.as_str()).filter(|home| !home.is_empty());
    control.shares.state.borrow_mut().believed = hint.map(Arc::from);
}

impl Shares {
    fn no_home(&self) {
        let mut state = self.state.borrow_mut();
        state.believed = None;
        state.tries += 1;
    }
}

/// The believed home, or one entry after the other: one of them knows.
fn home_to_ask(control: &Control) -> Option<Vm> {
    let entries = sorted_entries(control);
    let state = control.shares.state.borrow();
    let found = entries
        .iter()
        .find(|vm| Some(&vm.name) == state.believed.as_ref());
    let next = entries.get(state.tries % entries.len().max(1));
    found.or(next).cloned()
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

/// Answers an entry's question, as home or with a hint.
pub(crate) fn answer(control: &Control, asker: &str, question: &ShareQuestion) -> ShareAnswer {
    let now_ms = control.node.now_ms();
    let listed = Arc::clone(&control.node.snapshot.load().vms);
    let mut state = control.shares.state.borrow_mut();
    let believed = state.believed.clone().unwrap_or_default();
    let Some(split) = &mut state.home else {
        return ShareAnswer {
            home: believed.to_string(),
            ..ShareAnswer::default()
        };
    };
    split.asked_ms.insert(asker.to_owned(), now_ms);
    if !split.may_give(&listed, now_ms) {
        // Another may be home by now; the asker looks for it.
        return ShareAnswer::default();
    }
    ShareAnswer {
        grants: split.grants(control, question, now_ms),
        is_home: true,
        home: String::new(),
    }
}

impl Split {
    fn may_give(&self, listed: &[Vm], now_ms: MonoMs) -> bool {
        let has_asked = |vm: &Vm| {
            self.asked_ms
                .get(&*vm.name)
                .is_some_and(|asked| now_ms.since(*asked) <= UNANIMOUS_WITHIN_MS)
        };
        self.lease.is_valid(now_ms) || live_entries(listed).all(has_asked)
    }

    fn grants(
        &mut self,
        control: &Control,
        question: &ShareQuestion,
        now_ms: MonoMs,
    ) -> Vec<ShareGrant> {
        let (epoch, taken_ms) = (self.epoch, self.taken_ms);
        let demands = question.demands.iter();
        demands
            .filter_map(|demand| {
                let limit = control.node.limiter.limit_of(&demand.limit)?;
                let home = self.homes.entry(demand.limit.clone()).or_insert_with(|| {
                    LimitHome::takeover(ShareConfig::default(), limit, epoch, taken_ms)
                });
                home.set_limit(limit);
                let ask = ShareRequest {
                    holder: question.holder,
                    request_seq: demand.asked,
                    demand: demand.demand,
                    in_use: demand.in_use,
                    confirmed_seq: Some(demand.confirmed).filter(|asked| *asked > 0),
                };
                let grant = home.on_request(&ask, now_ms);
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

/// Renews the lease as home, or tries to become home where none is known.
async fn renew(control: &Rc<Control>) {
    let now_ms = control.node.now_ms();
    let held = control
        .shares
        .state
        .borrow()
        .home
        .as_ref()
        .map(|split| split.lease_id);
    if let Some(lease_id) = held {
        match control.key_value.renew(lease_id).await {
            Ok(_) => {
                if let Some(split) = &mut control.shares.state.borrow_mut().home {
                    split.lease.on_renewed(now_ms);
                }
            }
            Err(KvError::LeaseGone) => {
                log::warn!("the lease on the limits has expired; no longer their home");
                let mut state = control.shares.state.borrow_mut();
                state.home = None;
                state.believed = None;
            }
            Err(error) => log::debug!("the lease on the limits is not renewed: {error}"),
        }
        return;
    }
    if should_claim(control)
        && let Err(error) = claim(control).await
    {
        log::debug!("the limits have no home yet: {error}");
    }
}

fn should_claim(control: &Control) -> bool {
    let own = &control.node.settings.node.name;
    let entries = sorted_entries(control);
    let Some(rank) = entries.iter().position(|vm| vm.name == *own) else {
        return false;
    };
    control.shares.state.borrow().tries > rank * TRIES_PER_CLAIMER
}

async fn claim(control: &Rc<Control>) -> Result<(), KvError> {
    let own = &control.node.settings.node.name;
    let found = control.key_value.range(LIMITS_HOME_KEY).await?;
    if let Some(kv) = found.kvs.first() {
        let holder = String::from_utf8_lossy(&kv.value).into_owned();
        let holder = holder.split('/').next().unwrap_or_default();
        // Our own key of a former incarnation ends with its lease.
        if holder != &**own {
            control.shares.state.borrow_mut().believed = Some(holder.into());
        }
        return Ok(());
    }
    let sent_ms = control.node.now_ms();
    let era = era_of(found.revision);
    let gate = &control.shares.gate;
    if !gate.may_claim(&*control.key_value, era, sent_ms).await? {
        return Ok(());
    }
    let sent_ms = control.node.now_ms();
    let grant = control.key_value.grant(LEASE_TTL_S).await?;
    let value = format!("{own}/{}", control.node.incarnation);
    let txn = Txn {
        compares: vec![Compare::Absent(LIMITS_HOME_KEY.into())],
        puts: vec![Put {
            key: LIMITS_HOME_KEY.into(),
            value: value.into_bytes(),
            lease_id: grant.id,
        }],
        deletes: Vec::new(),
    };
    // A claim in doubt is not used; its lease is not renewed and ends.
    let answer = control.key_value.commit(txn).await?;
    if !answer.succeeded {
        return Ok(());
    }
    let ttl_ms = u64::try_from(grant.ttl_s).unwrap_or(0) * 1_000;
    log::info!("home to the limits, epoch {}", answer.revision);
    let mut state = control.shares.state.borrow_mut();
    state.believed = Some(Arc::clone(own));
    state.home = Some(Split {
        epoch: u64::try_from(answer.revision).unwrap_or(0),
        lease_id: grant.id,
        lease: HeldLease::granted(ttl_ms, sent_ms),
        taken_ms: control.node.now_ms(),
        homes: IndexMap::new(),
        asked_ms: IndexMap::new(),
    });
    Ok(())
}
