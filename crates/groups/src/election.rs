//! Who leads: the process whose lease holds the leader's key.
//!
//! Whoever holds the key takes the next fencing number, which the store keeps: every
//! leader that is elected later has a higher one, also after the store was restored from
//! an older copy. A restore ends all leases, so it ends the term too; a leader that has
//! not heard of it goes on until the agents name its successor.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use berylhook_core::lease::HeldLease;
use berylhook_core::time::MonoMs;
use berylhook_platform::store::{Lease, Put, Store, StoreError};
use berylhook_relay::{fence_key, fence_number};
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::handover::elected_fencing_token;

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
    lease: Lease,
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
        if self.is_over() {
            // The lease has ended, and its number may be another lease's by now.
            return true;
        }
        let ended = store.end(self.lease).await;
        if let Err(error) = &ended {
            log::info!(reason:% = error; "the leader's lease runs out by itself");
        }
        ended.is_ok()
    }
}

/// The keys of an office.
pub(crate) struct Office {
    /// Who holds it; ends with the holder's lease.
    pub(crate) leader_key: Arc<str>,
    /// The service whose groups its holder leads.
    pub(crate) service: Arc<str>,
}

/// Takes office if nobody holds it; `None` if somebody does.
pub(crate) async fn stand(
    store: &mut Store,
    office: &Office,
    name: &str,
) -> Result<Option<Term>, StoreError> {
    let key = &office.leader_key;
    match store.item(key).await? {
        Some(item) if is_leftover(&item.value, name) => {
            log::info!(key = &**key; "a key of a candidacy that failed is removed");
            store.remove(key, item.position).await?;
        }
        Some(_) => return Ok(None),
        None => {}
    }
    let clock = Clock::start();
    let sent_ms = clock.now_ms();
    let lease = store.grant(TTL_MS).await?;
    let token = format!("{name} {:016x} {:016x}", process(), rand::random::<u64>());
    let put = Put {
        key: Arc::clone(key),
        value: token.clone().into_bytes(),
        expected: None,
        lease: Some(lease),
    };
    match store.commit(&[put]).await {
        Ok(_) => {}
        Err(StoreError::Conflict) => return Ok(None),
        // The answer is lost; the key tells who won.
        Err(StoreError::Call(_)) => match store.item(key).await? {
            Some(item) if item.value == token.as_bytes() => {}
            _ => return Ok(None),
        },
        Err(error) => return Err(error),
    }
    let held = HeldLease::granted(lease.ttl_ms, sent_ms);
    let is_over = Arc::new(AtomicBool::new(false));
    let store_answers = Arc::new(AtomicBool::new(true));
    let renewal = Renewal {
        store: store.another(),
        clock,
        lease,
        held,
        is_over: Arc::clone(&is_over),
        store_answers: Arc::clone(&store_answers),
    };
    let mut term = Term {
        fence: 0,
        lease,
        is_over,
        store_answers,
        renewal: tokio::spawn(renewal.run()),
    };
    let taken = take_fence(store, &fence_key(&office.service, lease.era), lease.era).await;
    match taken {
        Ok(Some(fence)) => {
            term.fence = fence;
            Ok(Some(term))
        }
        taken => {
            term.close(store).await;
            taken.map(|_| None)
        }
    }
}

/// Names this process in the tokens of its candidacies, also to one that succeeds it.
fn process() -> u64 {
    static PROCESS: OnceLock<u64> = OnceLock::new();
    *PROCESS.get_or_init(rand::random)
}

/// Whether the leader's key was written by a candidacy of this process, which holds no
/// office.
///
/// A write that crosses a restore may be bound to another process's lease, which had its
/// number given out again; the key would stay for as long as that one is renewed.
fn is_leftover(token: &[u8], name: &str) -> bool {
    token.starts_with(format!("{name} {:016x} ", process()).as_bytes())
}

/// Takes the next fencing number and leaves it in the store, for agents that start;
/// `None` if another leader took it first.
///
/// # Errors
///
/// If the store did not answer, or was restored since the election; nothing may be ordered
/// then.
async fn take_fence(
    store: &mut Store,
    key: &Arc<str>,
    era: u64,
) -> Result<Option<u64>, StoreError> {
    let item = store.item(key).await?;
    let kept = item.as_ref().map_or(0, |item| fence_number(&item.value));
    let fence = elected_fencing_token(era, kept);
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

/// Renews a lease until it has ended.
struct Renewal {
    store: Store,
    clock: Clock,
    lease: Lease,
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
            let renewed = self.store.renew(self.lease).await;
            let answers = matches!(renewed, Ok(_) | Err(StoreError::LeaseGone));
            self.store_answers.store(answers, Ordering::Relaxed);
            match renewed {
                Ok(_) => self.held.on_renewed(sent_ms),
                Err(StoreError::LeaseGone) => {
                    log::warn!(lease = self.lease.id; "the leader's lease has ended");
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
