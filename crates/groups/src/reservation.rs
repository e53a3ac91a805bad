//! Reserves the rank that pauses the group for a switch.
//!
//! If the VM of the pausing rank freezes before the release, the group makes no pass until the VM
//! resumes. Until then, requests that have reached this rank's engine can be neither served nor
//! cancelled, although their callers disconnect. The rank is therefore selected before the experts
//! are copied, and entries are notified that its engine takes no new requests. The engine begins
//! the requests that it has while the ranks copy their experts.
//!
//! A large group keeps its reservation for a while after a switch, as changes of demand come in
//! series: the next switch then need not wait until the engine has begun its requests, and there
//! are none left that its VM could strand.
//!
//! A notice may get lost, and an entry that misses it still sends requests to the engine. If the
//! engine has not begun all its requests in time, the rank with the least work pauses the group.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use berylhook_experts::switching::{Epoch, Pass, RankReport};
use berylhook_relay::RelayRequest;
use tokio::time::sleep;

use crate::group_loop::{GroupLoop, reports_from};

/// How long entries withhold requests from the reserved rank's engine, unless the leader renews or
/// ends the reservation. The time-outs of a switch that misses no pass add up to less.
const NOTICE_TTL: Duration = Duration::from_secs(4);

/// Interval between two notices while a reservation lasts. One of them may get lost.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(1_500);

/// Smallest group that keeps its reservation after a switch. The reserved rank's share of the slots
/// is unused meanwhile.
const MIN_RANKS_TO_KEEP: usize = 12;

/// How long a large group keeps its reservation after a switch.
const KEEP_TIME: Duration = Duration::from_secs(5);

/// Smallest group in which a rank is reserved. In smaller ones, the other ranks could not take the
/// requests of one.
const MIN_RANKS: usize = 4;

/// Passes in which an engine begins the requests that it had when the entries were notified. The
/// pass in progress does not take them up, and requests that were sent before the notice arrived
/// reach the engine during the next one.
const PASSES_TO_BEGIN: Pass = 3;

/// Time-out of waiting until the reserved rank's engine has begun its requests. The group uses the
/// previous map meanwhile.
const BEGIN_TIMEOUT: Duration = Duration::from_millis(250);

/// Interval between polls of the reserved rank.
const BEGIN_POLL_INTERVAL: Duration = Duration::from_millis(15);

/// The rank that is reserved to pause the group.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Reservation {
    rank: usize,
    engine: SocketAddr,
    epoch: Epoch,
    /// The pass in which all requests that arrived before the first notice have begun.
    begun_from: Pass,
    /// When entries were last notified.
    notified_at: Instant,
    /// When the last switch began that uses the reservation.
    used_at: Instant,
}

impl Reservation {
    /// Whether the engine has begun all requests that it had when the entries were notified.
    fn has_begun_all(&self, report: &RankReport) -> bool {
        let is_idle = report.running == 0;
        report.waiting == 0 && (is_idle || report.pass >= self.begun_from)
    }
}

impl GroupLoop {
    /// Reserves a rank for a switch: the one that is still reserved, or the one with the least work.
    pub(crate) fn reserve_rank(&mut self, epoch: Epoch, reports: &[Option<RankReport>]) {
        let engines = self.engines();
        match &mut self.reservation {
            Some(it) if it.epoch == epoch && engines.get(it.rank) == Some(&it.engine) => {
                it.used_at = Instant::now();
            }
            _ => self.reserve_least_loaded_rank(epoch, reports),
        }
    }

    fn reserve_least_loaded_rank(&mut self, epoch: Epoch, reports: &[Option<RankReport>]) {
        let last_pass = reports.iter().flatten().map(|report| report.pass).max();
        let Some((rank, last_pass)) = least_loaded_rank(reports).zip(last_pass) else {
            return;
        };
        let Some(engine) = self.engines().get(rank).copied() else {
            return;
        };
        if self.reservation.is_some_and(|it| it.engine != engine) {
            self.end_reservation();
        }
        self.notify_entries(engine, NOTICE_TTL);
        self.reservation = Some(Reservation {
            rank,
            engine,
            epoch,
            begun_from: last_pass + PASSES_TO_BEGIN,
            notified_at: Instant::now(),
            used_at: Instant::now(),
        });
    }

    /// Returns the rank that is to pause the group, and updates its report in `reports`.
    ///
    /// This is the reserved rank, or the one with the least work by new reports of all ranks if
    /// the reserved one does not begin its requests in time. `None` if the epoch is over.
    pub(crate) async fn pausing_rank(
        &mut self,
        reports: &mut Vec<Option<RankReport>>,
    ) -> Option<usize> {
        let reservation = self.reservation?;
        let began = Instant::now();
        while began.elapsed() < BEGIN_TIMEOUT && !self.leadership.is_succeeded() {
            let request = |_| RelayRequest::default();
            let replies = self.request(&[reservation.rank], request).await;
            match replies.into_iter().find_map(|reply| reply.report) {
                Some(report) if report.epoch != reservation.epoch => return None,
                Some(report) if reservation.has_begun_all(&report) => {
                    reports[reservation.rank] = Some(report);
                    return Some(reservation.rank);
                }
                _ => sleep(BEGIN_POLL_INTERVAL).await,
            }
        }
        *reports = reports_from(self.request_all(|_| RelayRequest::default()).await);
        self.reserve_least_loaded_rank(reservation.epoch, reports);
        self.reservation.map(|reservation| reservation.rank)
    }

    /// Renews the reservation while it is needed, and ends it afterwards.
    pub(crate) fn update_reservation(&mut self, is_switching: bool) {
        let is_large = self.rank_count() >= MIN_RANKS_TO_KEEP;
        let is_kept = |it: &Reservation| is_large && it.used_at.elapsed() < KEEP_TIME;
        match &mut self.reservation {
            Some(reservation) if !is_switching && !is_kept(reservation) => self.end_reservation(),
            Some(reservation) if reservation.notified_at.elapsed() >= RENEWAL_INTERVAL => {
                reservation.notified_at = Instant::now();
                let engine = reservation.engine;
                self.notify_entries(engine, NOTICE_TTL);
            }
            _ => {}
        }
    }

    /// The address of the reserved rank's engine for the logs, or `-`.
    pub(crate) fn reserved_engine(&self) -> String {
        let engine = self.reservation.map(|reservation| reservation.engine);
        engine.map_or_else(|| "-".to_owned(), |engine| engine.to_string())
    }

    pub(crate) fn end_reservation(&mut self) {
        if let Some(reservation) = self.reservation.take() {
            self.notify_entries(reservation.engine, Duration::ZERO);
        }
    }

    /// Notifies entries for how long an engine takes no new requests.
    fn notify_entries(&self, engine: SocketAddr, duration: Duration) {
        if self.rank_count() >= MIN_RANKS {
            self.leadership.notify_pause(engine, duration);
        }
    }
}

/// Selects the rank with the least work.
fn least_loaded_rank(reports: &[Option<RankReport>]) -> Option<usize> {
    let ranks = reports.iter().enumerate();
    let known = ranks.filter_map(|(rank, report)| Some((rank, report.as_ref()?)));
    let least_loaded = known.min_by_key(|(_, report)| (report.waiting, report.running));
    least_loaded.map(|(rank, _)| rank)
}
