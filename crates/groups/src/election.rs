//! Leader election: the leader is the process whose lease is bound to the leader's key in
//! the store.
//!
//! The process that has written the key takes the next fencing token and writes it to the
//! store. Every leader that is elected later has a higher token, even after the store was
//! restored from an older copy. A restore ends all leases and with them the term. A leader
//! that does not know of the restore continues until an agent reports its successor.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use berylhook_core::lease::HeldLease;
use berylhook_core::time::MonoMs;
use berylhook_platform::store::{Lease, Put, StoreClient, StoreError};
use berylhook_relay::{fencing_token_key, parse_fencing_token};
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::handover::elected_fencing_token;

/// Time to live of the leader's lease. After a crash of the leader, maps are not adapted
/// until the lease has expired, and a shift of demand in this time slows all callers down.
/// The platform grants no lease shorter than a second. A leader that loses its lease because
/// of a short delay is elected again.
const LEASE_TTL_MS: u64 = 1_200;

/// Interval between checks whether the lease has to be renewed.
const RENEWAL_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Delay before the next attempt to renew the lease after the store did not reply.
const RENEWAL_RETRY_DELAY: Duration = Duration::from_millis(400);

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

/// The term of an elected leader, which lasts as long as its lease.
pub(crate) struct Term {
    /// The fencing token. Higher than that of every earlier leader.
    pub(crate) fence: u64,
    lease: Lease,
    is_over: Arc<AtomicBool>,
    /// Whether the store has replied to the last renewal.
    is_store_reachable: Arc<AtomicBool>,
    renewal: JoinHandle<()>,
}

impl Term {
    /// Whether the store has reported that the lease has ended.
    ///
    /// The term does not end if the store is unreachable. If it is unreachable for all
    /// candidates, no other leader can be elected. Otherwise an agent reports the successor.
    pub(crate) fn is_over(&self) -> bool {
        self.is_over.load(Ordering::Relaxed)
    }

    /// Whether the store has replied to the last renewal.
    pub(crate) fn is_store_reachable(&self) -> bool {
        self.is_store_reachable.load(Ordering::Relaxed)
    }

    /// Ends the term and the lease, so that the next election need not wait until the lease
    /// has expired. Returns whether the lease has ended in the store.
    pub(crate) async fn end(self, store: &mut StoreClient) -> bool {
        self.renewal.abort();
        if self.is_over() {
            // The lease has ended, and its id may already be reused by another lease.
            return true;
        }
        let ended = store.revoke(self.lease).await;
        if let Err(error) = &ended {
            log::info!(reason:% = error; "the leader's lease was not ended; it will expire");
        }
        ended.is_ok()
    }
}

/// The keys of one service's leader in the store.
pub(crate) struct LeaderKeys {
    /// The key that names the leader. Bound to the leader's lease.
    pub(crate) leader_key: Arc<str>,
    /// The service, which determines the key of the fencing token.
    pub(crate) service: Arc<str>,
}

/// Tries to become the leader. Returns `None` if there is another leader.
pub(crate) async fn try_elect(
    store: &mut StoreClient,
    keys: &LeaderKeys,
    name: &str,
) -> Result<Option<Term>, StoreError> {
    let key = &keys.leader_key;
    match store.item(key).await? {
        Some(item) if is_from_failed_candidacy(&item.value, name) => {
            log::info!(key = &**key; "removing the leader's key of a failed candidacy");
            store.remove(key, item.position).await?;
        }
        Some(_) => return Ok(None),
        None => {}
    }
    let clock = Clock::start();
    let sent_ms = clock.now_ms();
    let lease = store.grant(LEASE_TTL_MS).await?;
    let key_value = format!(
        "{name} {:016x} {:016x}",
        process_id(),
        rand::random::<u64>()
    );
    let put = Put {
        key: Arc::clone(key),
        value: key_value.clone().into_bytes(),
        expected: None,
        lease: Some(lease),
    };
    match store.commit(&[put]).await {
        Ok(_) => {}
        Err(StoreError::Conflict) => return Ok(None),
        // The reply was lost. The key's value tells whether it was written.
        Err(StoreError::Call(_)) => match store.item(key).await? {
            Some(item) if item.value == key_value.as_bytes() => {}
            _ => return Ok(None),
        },
        Err(error) => return Err(error),
    }
    let held_lease = HeldLease::granted(lease.ttl_ms, sent_ms);
    let is_over = Arc::new(AtomicBool::new(false));
    let is_store_reachable = Arc::new(AtomicBool::new(true));
    let renewal = Renewal {
        store: store.new_connection(),
        clock,
        lease,
        held_lease,
        is_over: Arc::clone(&is_over),
        is_store_reachable: Arc::clone(&is_store_reachable),
    };
    let mut term = Term {
        fence: 0,
        lease,
        is_over,
        is_store_reachable,
        renewal: tokio::spawn(renewal.run()),
    };
    let result = claim_fencing_token(
        store,
        &fencing_token_key(&keys.service, lease.era),
        lease.era,
    )
    .await;
    match result {
        Ok(Some(fence)) => {
            term.fence = fence;
            Ok(Some(term))
        }
        result => {
            term.end(store).await;
            result.map(|_| None)
        }
    }
}

/// A random id of this process, which is part of the value that it writes to the leader's key.
fn process_id() -> u64 {
    static PROCESS_ID: OnceLock<u64> = OnceLock::new();
    *PROCESS_ID.get_or_init(rand::random)
}

/// Whether the leader's key was written by an earlier candidacy of this process, which is not
/// the leader.
///
/// If the store is restored during a candidacy, the key can be bound to the lease of another
/// process that got the same lease id after the restore. It would then last for as long as
/// that process renews its lease.
fn is_from_failed_candidacy(key_value: &[u8], name: &str) -> bool {
    key_value.starts_with(format!("{name} {:016x} ", process_id()).as_bytes())
}

/// Takes the next fencing token and writes it to the store, from which agents read it on
/// startup. Returns `None` if another leader took it first.
///
/// # Errors
///
/// If the store did not reply, or was restored since the election. The process must not send
/// commands in this case.
async fn claim_fencing_token(
    store: &mut StoreClient,
    key: &Arc<str>,
    era: u64,
) -> Result<Option<u64>, StoreError> {
    let item = store.item(key).await?;
    let stored = item
        .as_ref()
        .map_or(0, |item| parse_fencing_token(&item.value));
    let fence = elected_fencing_token(era, stored);
    let put = Put {
        key: Arc::clone(key),
        value: fence.to_string().into_bytes(),
        expected: item.map(|item| item.position),
        lease: None,
    };
    match store.commit(&[put]).await {
        Ok(position) if position.era == era => Ok(Some(fence)),
        Ok(_) => Err(StoreError::Restored),
        Err(StoreError::Conflict) => Ok(None),
        Err(error) => Err(error),
    }
}

/// Renews the leader's lease until it has ended.
struct Renewal {
    store: StoreClient,
    clock: Clock,
    lease: Lease,
    held_lease: HeldLease,
    is_over: Arc<AtomicBool>,
    is_store_reachable: Arc<AtomicBool>,
}

impl Renewal {
    async fn run(mut self) {
        loop {
            sleep(RENEWAL_CHECK_INTERVAL).await;
            let sent_ms = self.clock.now_ms();
            if !self.held_lease.should_renew(sent_ms) {
                continue;
            }
            let renewed = self.store.renew(self.lease).await;
            let is_reachable = matches!(renewed, Ok(_) | Err(StoreError::LeaseGone));
            self.is_store_reachable
                .store(is_reachable, Ordering::Relaxed);
            match renewed {
                Ok(_) => self.held_lease.on_renewed(sent_ms),
                Err(StoreError::LeaseGone) => {
                    log::warn!(lease = self.lease.id; "the leader's lease has ended");
                    self.is_over.store(true, Ordering::Relaxed);
                    return;
                }
                Err(error) => {
                    log::warn!(reason:% = error; "the leader's lease was not renewed");
                    sleep(RENEWAL_RETRY_DELAY).await;
                }
            }
        }
    }
}
