//! Standing for election and leading one service.

use std::sync::Arc;
use std::time::{Duration, Instant};

use berylhook_platform::store::Store;
use tokio::time::{sleep, timeout};

use crate::Candidate;
use crate::election::{Office, Term, stand};
use crate::handover::{LeadershipTransfer, TransferResult, transferred_fencing_token};
use crate::leadership::Leadership;
use crate::service_loop;

/// Wait before standing for election again while somebody leads; a change of
/// the leader's key ends it early.
const STAND_EVERY: Duration = Duration::from_secs(5);

/// Wait before the store is asked again after it did not answer.
const STORE_RETRY: Duration = Duration::from_millis(500);

/// Longest wait of a candidate after the leader's key has changed, so that
/// candidates do not call the store all at once.
const SPREAD: Duration = Duration::from_millis(100);

/// Time for the candidates to get to know each other before the first election.
/// After all were killed, the former leader's lease has longer to run.
const MEET_TIME: Duration = Duration::from_millis(400);

/// Wait of a candidate that knows one with clearly more processor time.
///
/// The leader of 72 ranks gets 72 answers at once; on a VM with a sixth of a
/// processor each round of them took some 20 ms, and a change of maps twice as
/// long. The wait is longer than a store's answer and the spread of the others.
const YIELD: Duration = Duration::from_millis(250);

/// Time for which a leader that has made room for a larger one does not do so again.
/// The larger one may be unable to reach the store, and then somebody has to lead.
const MAKE_ROOM_EVERY: Duration = Duration::from_secs(20);

/// Wait of a leader that has made room. The larger entry may have started in the same
/// moment and stands only after [`MEET_TIME`]; a leader that stood again before it would
/// win, and lead for the rest of [`MAKE_ROOM_EVERY`].
const ROOM_WAIT: Duration = Duration::from_millis(700);

/// Tries to transfer the leadership, and the wait between two. All that were asked
/// may be stopping too, while others are only just met; the process lives on for
/// some three seconds.
const TRANSFER_TRIES: u32 = 15;
const TRANSFER_RETRY: Duration = Duration::from_millis(200);

/// Stands for election and leads one service, for as long as the process lives.
pub(crate) async fn lead(mut candidate: Candidate, service: Arc<str>) {
    let office = Office {
        leader_key: format!("berylhook/leader/{service}").into(),
        service: Arc::clone(&service),
    };
    let mut store = Store::observed(candidate.store, Arc::clone(&candidate.era_observer));
    let mut served = 0;
    let mut made_room: Option<Instant> = None;
    sleep(MEET_TIME).await;
    yield_to_larger(&candidate).await;
    while !*candidate.is_stopping.borrow() {
        if let Some(fence) = transferred(&mut candidate, &service, served) {
            served = fence;
            serve_transferred(&candidate, &service, fence).await;
            continue;
        }
        match stand(&mut store, &office, &candidate.name).await {
            Ok(Some(term)) => {
                served = term.fence;
                let may_make_room = made_room.is_none_or(|at| at.elapsed() >= MAKE_ROOM_EVERY);
                serve_term(&candidate, &service, &mut store, term, may_make_room).await;
                if may_make_room && *candidate.has_peer_with_more_cpu.borrow() {
                    made_room = Some(Instant::now());
                    sleep(ROOM_WAIT).await;
                }
            }
            Ok(None) => {
                tokio::select! {
                    _ = timeout(STAND_EVERY, candidate.own_key_changes.changed()) => {
                        sleep(spread(SPREAD)).await;
                        yield_to_larger(&candidate).await;
                    }
                    _ = candidate.incoming_transfer.changed() => {}
                }
            }
            Err(error) => {
                log::debug!(reason:% = error; "not standing for election");
                tokio::select! {
                    () = sleep(spread(STORE_RETRY)) => {}
                    _ = candidate.incoming_transfer.changed() => {}
                }
            }
        }
    }
}

/// The fencing number of a transfer for the service that was not served
/// yet.
fn transferred(candidate: &mut Candidate, service: &Arc<str>, served: u64) -> Option<u64> {
    let transfer = candidate.incoming_transfer.borrow_and_update();
    let for_service = transfer.as_ref().filter(|it| it.service == *service);
    let fence = for_service.map(|transfer| transfer.fence);
    fence.filter(|fence| *fence > served)
}

/// Leads by transfer until a later leader is heard of or the process stops.
async fn serve_transferred(candidate: &Candidate, service: &Arc<str>, fence: u64) {
    let leadership = Leadership::new(candidate, Arc::clone(service), fence);
    let is_succeeded = run(candidate, leadership, None).await;
    if !is_succeeded {
        hand_over(candidate, service, fence).await;
    }
}

/// Transfers the leadership, for want of a store that would elect one.
async fn hand_over(candidate: &Candidate, service: &Arc<str>, fence: u64) {
    let Some(next) = transferred_fencing_token(fence) else {
        log::warn!(service = &**service, fence; "no fencing number is left for a transfer");
        return;
    };
    let transfer = LeadershipTransfer {
        service: Arc::clone(service),
        fence: next,
    };
    for _ in 0..TRANSFER_TRIES {
        let result = candidate.successors.transfer(transfer.clone()).await;
        log::info!(service = &**service, fence, next, result:? = result; "leadership transferred");
        if result != TransferResult::Refused {
            return;
        }
        sleep(TRANSFER_RETRY).await;
    }
}

/// Leads until a later leader is heard of, the term is over, or the process
/// stops. Returns whether it was succeeded.
async fn run(candidate: &Candidate, leadership: Leadership, term: Option<&Term>) -> bool {
    let is_elected = term.is_some();
    let fence = leadership.fence;
    let service = leadership.service();
    log::info!(service = &*service, fence, is_elected; "leading the service's groups");
    let leadership = Arc::new(leadership);
    service_loop::run(&leadership, term).await;
    candidate.engine_updates.send_replace(None);
    let is_succeeded = leadership.is_succeeded();
    log::info!(service = &*service, fence, is_succeeded; "no longer leading");
    is_succeeded
}

async fn yield_to_larger(candidate: &Candidate) {
    if *candidate.has_peer_with_more_cpu.borrow() {
        sleep(YIELD).await;
    }
}

/// Leads until the term is over, and gives the office up or on.
async fn serve_term(
    candidate: &Candidate,
    service: &Arc<str>,
    store: &mut Store,
    term: Term,
    may_make_room: bool,
) {
    let fence = term.fence;
    let mut leadership = Leadership::new(candidate, Arc::clone(service), fence);
    leadership.may_make_room = may_make_room;
    let is_succeeded = run(candidate, leadership, Some(&term)).await;
    let hands_over = !is_succeeded && !term.is_over();
    if hands_over && !term.store_answers() {
        hand_over(candidate, service, fence).await;
        term.close(store).await;
        return;
    }
    let is_taken_back = term.close(store).await;
    if hands_over && !is_taken_back {
        hand_over(candidate, service, fence).await;
    }
}

/// Between half and one and a half of `wait`.
fn spread(wait: Duration) -> Duration {
    wait.mul_f64(0.5 + rand::random::<f64>())
}
