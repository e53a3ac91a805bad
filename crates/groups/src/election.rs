//! Who leads: the process whose lease holds the leader's key.
//!
//! The revision at which the key was written is the leader's fencing number:
//! every later leader has a higher one.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use berylhook_core::lease::HeldLease;
use berylhook_core::time::MonoMs;
use berylhook_platform::store::{Put, Store, StoreError};
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// Time to live of a leader's lease. Nobody adapts the maps until it has run
/// out, which on a shift costs every caller; the platform grants no shorter one
/// than a second. A leader that loses it in a slow moment is elected again.
const TTL_MS: u64 = 1_200;

/// Time between two looks at whether a renewal is due.
const RENEW_CHECK: Duration = Duration::from_millis(100);

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
    clock: Clock,
    /// End of the term on this process's clock, in milliseconds.
    valid_until_ms: Arc<AtomicU64>,
    renewal: JoinHandle<()>,
}

impl Term {
    /// Whether the leader may still begin something new.
    pub(crate) fn holds(&self) -> bool {
        self.clock.now_ms().0 < self.valid_until_ms.load(Ordering::Relaxed)
    }

    /// Ends the term and gives the office up, so that the next leader need not
    /// wait for the lease to run out.
    pub(crate) async fn close(self, store: &mut Store) {
        self.renewal.abort();
        if let Err(error) = store.end(self.lease_id).await {
            log::info!(reason:% = error; "the leader's lease runs out by itself");
        }
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
    let fence = match store.commit(&[put]).await {
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
    let valid_until_ms = Arc::new(AtomicU64::new(held.valid_until_ms().0));
    let renewal = Renewal {
        store: Store::new(store_address),
        clock,
        lease_id: lease.id,
        held,
        valid_until_ms: Arc::clone(&valid_until_ms),
    };
    Ok(Some(Term {
        fence,
        lease_id: lease.id,
        clock,
        valid_until_ms,
        renewal: tokio::spawn(renewal.run()),
    }))
}

/// Renews a lease until it has ended.
struct Renewal {
    store: Store,
    clock: Clock,
    lease_id: u64,
    held: HeldLease,
    valid_until_ms: Arc<AtomicU64>,
}

impl Renewal {
    async fn run(mut self) {
        loop {
            sleep(RENEW_CHECK).await;
            let sent_ms = self.clock.now_ms();
            if !self.held.should_renew(sent_ms) {
                continue;
            }
            match self.store.renew(self.lease_id).await {
                Ok(_) => {
                    self.held.renewed(sent_ms);
                    let until_ms = self.held.valid_until_ms().0;
                    self.valid_until_ms.store(until_ms, Ordering::Relaxed);
                }
                Err(StoreError::LeaseGone) => {
                    log::warn!(lease = self.lease_id; "the leader's lease has ended");
                    self.valid_until_ms.store(0, Ordering::Relaxed);
                    return;
                }
                Err(error) => log::warn!(reason:% = error; "the leader's lease was not renewed"),
            }
        }
    }
}
