//! Takes part in the elections of one service, and leads its groups whenever elected.

use std::sync::Arc;
use std::time::{Duration, Instant};

use berylhook_platform::store::StoreClient;
use tokio::time::{sleep, timeout};

use crate::Candidate;
use crate::election::{LeaderKeys, Term, try_elect};
use crate::handover::{LeadershipTransfer, TransferResult, transferred_fencing_token};
use crate::leadership::Leadership;
use crate::service_loop;

/// Interval between attempts to be elected while there is another leader. A change of the
/// leader's key triggers the next attempt earlier.
const ELECTION_INTERVAL: Duration = Duration::from_secs(5);

/// Delay before the next attempt to be elected after the store did not reply.
const STORE_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Mean of the random delay between a change of the leader's key and a candidate's attempt
/// to be elected, so that the candidates do not call the store all at once.
const ELECTION_JITTER: Duration = Duration::from_millis(100);

/// Time for the candidates to discover each other before the first election. After a crash
/// of all candidates, the lease of the previous leader lasts longer than this.
const DISCOVERY_TIME: Duration = Duration::from_millis(400);

/// Additional delay of a candidate that knows another one with considerably more processor
/// time.
///
/// The leader of a group of 72 ranks receives 72 replies at once. On a VM with a sixth of a
/// processor, each round of replies took about 20 ms, and a map change took twice as long.
/// The delay is longer than a call to the store and the jitter of the other candidates.
const YIELD_DELAY: Duration = Duration::from_millis(250);

/// Minimum time between two resignations in favour of a candidate with more processor time.
/// If that candidate cannot reach the store, this process has to lead.
const RESIGNATION_INTERVAL: Duration = Duration::from_secs(20);

/// Delay of a leader's next candidacy after it has resigned. The candidate with more
/// processor time may have started at the same time, and then takes part only after
/// [`DISCOVERY_TIME`]. A leader that became a candidate before that would be elected again
/// and lead for the rest of [`RESIGNATION_INTERVAL`].
const RESIGNATION_DELAY: Duration = Duration::from_millis(700);

/// Maximum number of attempts to transfer the leadership, and the delay between two. All
/// candidates known at first may be shutting down too, while others are discovered later.
/// The process exits about three seconds after it begins to shut down.
const MAX_TRANSFER_ATTEMPTS: u32 = 15;
const TRANSFER_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Takes part in the elections of one service and leads its groups whenever elected, until
/// the process exits.
pub(crate) async fn run(mut candidate: Candidate, service: Arc<str>) {
    let keys = LeaderKeys {
        leader_key: format!("berylhook/leader/{service}").into(),
        service: Arc::clone(&service),
    };
    let mut store =
        StoreClient::with_observer(candidate.store, Arc::clone(&candidate.era_observer));
    let mut last_fence = 0;
    let mut resigned_at: Option<Instant> = None;
    sleep(DISCOVERY_TIME).await;
    yield_to_peer_with_more_cpu(&candidate).await;
    while !*candidate.is_stopping.borrow() {
        if let Some(fence) = new_transferred_fence(&mut candidate, &service, last_fence) {
            last_fence = fence;
            lead_by_transfer(&candidate, &service, fence).await;
            continue;
        }
        match try_elect(&mut store, &keys, &candidate.name).await {
            Ok(Some(term)) => {
                last_fence = term.fence;
                let may_resign = resigned_at.is_none_or(|at| at.elapsed() >= RESIGNATION_INTERVAL);
                lead_term(&candidate, &service, &mut store, term, may_resign).await;
                if may_resign && *candidate.has_peer_with_more_cpu.borrow() {
                    resigned_at = Some(Instant::now());
                    sleep(RESIGNATION_DELAY).await;
                }
            }
            Ok(None) => {
                tokio::select! {
                    _ = timeout(ELECTION_INTERVAL, candidate.own_key_changes.changed()) => {
                        sleep(with_jitter(ELECTION_JITTER)).await;
                        yield_to_peer_with_more_cpu(&candidate).await;
                    }
                    _ = candidate.incoming_transfer.changed() => {}
                }
            }
            Err(error) => {
                log::debug!(reason:% = error; "election attempt failed; trying again later");
                tokio::select! {
                    () = sleep(with_jitter(STORE_RETRY_DELAY)) => {}
                    _ = candidate.incoming_transfer.changed() => {}
                }
            }
        }
    }
}

/// The fencing token of a transfer for the service, if this process has not yet led with it.
fn new_transferred_fence(
    candidate: &mut Candidate,
    service: &Arc<str>,
    last_fence: u64,
) -> Option<u64> {
    let transfer = candidate.incoming_transfer.borrow_and_update();
    let transfer_of_service = transfer
        .as_ref()
        .filter(|transfer| transfer.service == *service);
    let fence = transfer_of_service.map(|transfer| transfer.fence);
    fence.filter(|fence| *fence > last_fence)
}

/// Leads by transfer, until an agent reports a later leader or the process shuts down.
async fn lead_by_transfer(candidate: &Candidate, service: &Arc<str>, fence: u64) {
    let leadership = Leadership::new(candidate, Arc::clone(service), fence);
    let is_succeeded = lead(candidate, leadership, None).await;
    if !is_succeeded {
        transfer_leadership(candidate, service, fence).await;
    }
}

/// Transfers the leadership to another candidate, as the store is unavailable and no leader
/// can be elected.
async fn transfer_leadership(candidate: &Candidate, service: &Arc<str>, fence: u64) {
    let Some(next) = transferred_fencing_token(fence) else {
        log::warn!(service = &**service, fence; "leadership not transferred: fencing tokens of this election are used up");
        return;
    };
    let transfer = LeadershipTransfer {
        service: Arc::clone(service),
        fence: next,
    };
    for _ in 0..MAX_TRANSFER_ATTEMPTS {
        let result = candidate.successors.transfer(transfer.clone()).await;
        log::info!(service = &**service, fence, next, result:? = result; "leadership transfer attempted");
        if result != TransferResult::Refused {
            return;
        }
        sleep(TRANSFER_RETRY_DELAY).await;
    }
}

/// Leads until an agent reports a later leader, the term is over, or the process shuts down.
/// Returns whether there is a later leader.
async fn lead(candidate: &Candidate, leadership: Leadership, term: Option<&Term>) -> bool {
    let is_elected = term.is_some();
    let fence = leadership.fence;
    let service = leadership.service_name();
    log::info!(service = &*service, fence, is_elected; "leading the service's groups");
    let leadership = Arc::new(leadership);
    service_loop::run(&leadership, term).await;
    candidate.engine_updates.send_replace(None);
    let is_succeeded = leadership.is_succeeded();
    log::info!(service = &*service, fence, is_succeeded; "no longer leading");
    is_succeeded
}

async fn yield_to_peer_with_more_cpu(candidate: &Candidate) {
    if *candidate.has_peer_with_more_cpu.borrow() {
        sleep(YIELD_DELAY).await;
    }
}

/// Leads until the term is over, then ends the lease or transfers the leadership.
async fn lead_term(
    candidate: &Candidate,
    service: &Arc<str>,
    store: &mut StoreClient,
    term: Term,
    may_resign: bool,
) {
    let fence = term.fence;
    let mut leadership = Leadership::new(candidate, Arc::clone(service), fence);
    leadership.may_resign = may_resign;
    let is_succeeded = lead(candidate, leadership, Some(&term)).await;
    let must_transfer = !is_succeeded && !term.is_over();
    if must_transfer && !term.is_store_reachable() {
        transfer_leadership(candidate, service, fence).await;
        term.end(store).await;
        return;
    }
    let is_lease_ended = term.end(store).await;
    if must_transfer && !is_lease_ended {
        transfer_leadership(candidate, service, fence).await;
    }
}

/// Returns a random duration between 0.5 and 1.5 times `mean`.
fn with_jitter(mean: Duration) -> Duration {
    mean.mul_f64(0.5 + rand::random::<f64>())
}
