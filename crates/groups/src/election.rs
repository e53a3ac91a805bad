//! Who leads: the process whose lease holds the leader's key.
//!
//! The leader's fencing number is made of the revision at which the key was
//! written: every leader that is elected later has a higher one.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use berylhook_core::lease::HeldLease;
use berylhook_core::time::MonoMs;
use berylhook_platform::store::{Put, Store, StoreError};
use berylhook_relay::fence_number;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::handover::elected_fence;

/// Time to live of a leader's lease. Nobody adapts the maps until it has run
/// out, which on a shift costs every caller; the platform grants no shorter one
/// than a second. A leader that loses it in a slow moment is elected again.
const TTL_MS: u64 = 1_200;

/// Time between two looks at whether a renewal is due.
const RENEW_CHECK: Duration = Duration::from_millis(100);

/// Wait after a renewal that the store did not answer.
const RENEW_RETRY: Duration = Duration::from_millis(400);

/// A monotonic clock.
#[derive(Clone, Copy)]
pub(crate) struct Clock(Instant);

impl Clock {
    pub(crate) fn start() -> Self {
        Self(Instant::now())
    }

    pub(crate) fn now_ms(self) -> MonoMs {
        MonoMs(u64::try_from(self.0.elapsed().as_millis()).unwrap_or(u64::MAX))
    }
}

/// One term of office.
pub(crate) struct Term {
    /// Higher than that of every earlier leader.
    pub(crate) fence: u64,
    lease_id: u64,
    is_over: Arc<AtomicBool>,
    /// Whether the store has answered the last renewal.
    store_answers: Arc<AtomicBool>,
    renewal: JoinHandle<()>,
}

impl Term {
    /// Whether the store has said that the term is over.
    ///
    /// A store that says nothing ends no term: nobody else can be elected
    /// without it, and where it serves others, the agents tell a leader that it
    /// has been succeeded.
    pub(crate) fn is_over(&self) -> bool {
        self.is_over.load(Ordering::Relaxed)
    }

    /// Whether the store has answered the last renewal.
    pub(crate) fn store_answers(&self) -> bool {
        self.store_answers.load(Ordering::Relaxed)
    }

    /// Ends the term and gives the office up, so that the next leader need not
    /// wait for the lease to run out. Returns whether the store has taken it
    /// back.
    pub(crate) async fn close(self, store: &mut Store) -> bool {
        self.renewal.abort();
        let ended = store.end(self.lease_id).await;
        if let Err(error) = &ended {
            log::info!(reason:% = error; "the leader's lease runs out by itself");
        }
        ended.is_ok()
    }
}

/// Takes office if nobody holds it; `None` if somebody does.
pub(crate) async fn stand(
    store: &mut Store,
    store_address: std::net::SocketAddr,
    key: &Arc<str>,
    name: &str,
) -> Result<Option<Term>, StoreError> {
    if store.item(key).await?.is_some() {
        return Ok(None);
    }
    let clock = Clock::start();
    let sent_ms = clock.now_ms();
    let lease = store.grant(TTL_MS).await?;
    let token = format!("{name} {:016x}", rand::random::<u64>());
    let put = Put {
        key: Arc::clone(key),
        value: token.clone().into_bytes(),
        expected_revision: 0,
        lease_id: lease.id,
    };
    let revision = match store.commit(&[put]).await {
        Ok(revision) => revision,
        Err(StoreError::Conflict) => return Ok(None),
        // The answer is lost; the key tells who won.
        Err(StoreError::Call(_)) => match store.item(key).await? {
            Some(item) if item.value == token.as_bytes() => item.revision,
            _ => return Ok(None),
        },
        Err(error) => return Err(error),
    };
    let held = HeldLease::granted(lease.ttl_ms, sent_ms);
    let is_over = Arc::new(AtomicBool::new(false));
    let store_answers = Arc::new(AtomicBool::new(true));
    let renewal = Renewal {
        store: Store::new(store_address),
        clock,
        lease_id: lease.id,
        held,
        is_over: Arc::clone(&is_over),
        store_answers: Arc::clone(&store_answers),
    };
    Ok(Some(Term {
        fence: elected_fence(revision),
        lease_id: lease.id,
        is_over,
        store_answers,
        renewal: tokio::spawn(renewal.run()),
    }))
}

/// Leaves the leader's fencing number in the store, for agents that start.
///
/// Returns whether it was left; `false` means that a later leader has left its
/// own.
///
/// # Errors
///
/// If the store did not answer; nothing may be ordered then.
pub(crate) async fn leave_fence(
    store: &mut Store,
    key: &Arc<str>,
    fence: u64,
) -> Result<bool, StoreError> {
    let item = store.item(key).await?;
    let known = item.as_ref().map_or(0, |item| fence_number(&item.value));
    if known >= fence {
        return Ok(known == fence);
    }
    let put = Put {
        key: Arc::clone(key),
        value: fence.to_string().into_bytes(),
        expected_revision: item.map_or(0, |item| item.revision),
        lease_id: 0,
    };
    store.commit(&[put]).await?;
    Ok(true)
}

/// Renews a lease until it has ended.
struct Renewal {
    store: Store,
    clock: Clock,
    lease_id: u64,
    held: HeldLease,
    is_over: Arc<AtomicBool>,
    store_answers: Arc<AtomicBool>,
}

impl Renewal {
    async fn run(mut self) {
        loop {
            sleep(RENEW_CHECK).await;
            let sent_ms = self.clock.now_ms();
            if !self.held.should_renew(sent_ms) {
                continue;
            }
            let renewed = self.store.renew(self.lease_id).await;
            let answers = matches!(renewed, Ok(_) | Err(StoreError::LeaseGone));
            self.store_answers.store(answers, Ordering::Relaxed);
            match renewed {
                Ok(_) => self.held.renewed(sent_ms),
                Err(StoreError::LeaseGone) => {
                    log::warn!(lease = self.lease_id; "the leader's lease has ended");
                    self.is_over.store(true, Ordering::Relaxed);
                    return;
                }
                Err(error) => {
                    log::warn!(reason:% = error; "the leader's lease was not renewed");
                    sleep(RENEW_RETRY).await;
                }
            }
        }
    }
}
