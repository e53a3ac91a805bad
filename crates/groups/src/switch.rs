//! Carrying a map into force: prepare, hold, arm, go.
//!
//! `berylhook_experts::switching` says why this order, and what is to be done
//! about whatever the reports show. Here is what it takes in time and repeats.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use berylhook_experts::adapt::Adapted;
use berylhook_experts::switching::{
    Epoch, Map, OrderAnswer, Pass, RankOrder, RankReport, Step, Version, is_ready, next_step,
};
use berylhook_relay::Question;
use tokio::time::sleep;

use crate::controller::{Controller, reports};

/// Time between two looks at whether all ranks have copied their experts.
const COPY_CHECK: Duration = Duration::from_millis(15);

/// Longest wait for the copies. One expert takes about a tenth of a second.
const COPY_TIMEOUT: Duration = Duration::from_millis(1_500);

/// A prepare order without an answer is given again after this long. The agent
/// has waited for the answer already, a repeat does no harm, and all ranks wait
/// for the one that has not begun to copy.
const REPEAT_AFTER: Duration = Duration::from_millis(15);

/// Passes between the last one begun and the one that switches: enough for the
/// hold to arrive first.
const PASSES_AHEAD: u64 = 2;

/// The rank that holds. Any would do; always the same one finds a hold that is
/// on its way already.
const HOLDER: usize = 0;

/// Pause between two looks at a switch that makes no progress.
const STALLED_CHECK: Duration = Duration::from_millis(10);

/// Time that a switch gets before the other groups have their turn; what is
/// under way is found again at the next reading.
const TURN: Duration = Duration::from_millis(500);

impl Controller {
    /// Carries a map into force.
    pub(crate) async fn switch(
        &mut self,
        name: &str,
        engines: &[SocketAddr],
        epoch: Epoch,
        adapted: Adapted,
    ) {
        let began = Instant::now();
        let Some(version) = self.issue(name) else {
            return;
        };
        let prepared = self.prepare(engines, epoch, version, &adapted.map).await;
        let copied_ms = elapsed_ms(began);
        let pass = match prepared {
            Some(reports) => self.hold(name, engines, epoch, &reports).await,
            None => None,
        };
        if pass.is_some() {
            self.resolve(name, engines).await;
        }
        let is_switched = pass.is_some() && self.has_version(engines, version).await;
        log::info!(
            group = name,
            version,
            pass = pass.unwrap_or_default(),
            copies = adapted.copies,
            skew_before = adapted.skew_before,
            skew_after = adapted.skew_after,
            slowest = self.slowest(name),
            copied_ms,
            after_ms = elapsed_ms(began),
            is_switched;
            "map changed"
        );
        if let Some(group) = self.groups.get_mut(name).filter(|_| is_switched) {
            group.map = Some((epoch, version, adapted.map));
        }
    }

    /// A new version, remembered as the newest of its group.
    fn issue(&mut self, name: &str) -> Option<Version> {
        let group = self.groups.get_mut(name)?;
        group.newest = self.versions.issue();
        Some(group.newest)
    }

    /// Has all ranks copy the experts of a map; gives their reports once all
    /// are ready.
    async fn prepare(
        &mut self,
        engines: &[SocketAddr],
        epoch: Epoch,
        version: Version,
        map: &Map,
    ) -> Option<Vec<Option<RankReport>>> {
        let began = Instant::now();
        let order = RankOrder::Prepare {
            epoch,
            version,
            map: map.clone(),
        };
        let mut given = vec![Given::Not; engines.len()];
        while began.elapsed() < COPY_TIMEOUT && !self.is_succeeded() {
            let due: Vec<bool> = given.iter().map(Given::is_due).collect();
            let question = |rank: usize| Question {
                orders: due[rank].then(|| order.clone()).into_iter().collect(),
                ..Question::default()
            };
            let answers = self.ask(engines, question).await;
            for (given, answer) in given.iter_mut().zip(&answers) {
                match answer.orders.first() {
                    Some(OrderAnswer::Accepted) => *given = Given::Accepted,
                    // Refused after an order without an answer, it may have
                    // been accepted before.
                    Some(OrderAnswer::Refused) if *given == Given::Not => return None,
                    Some(_) => *given = Given::At(Instant::now()),
                    None => {}
                }
            }
            let reports = reports(answers);
            if is_ready(&reports, epoch, version) {
                return Some(reports);
            }
            sleep(COPY_CHECK).await;
        }
        None
    }

    /// Has a rank hold; gives the pass once a report shows the hold.
    ///
    /// No newer version may be prepared before the hold is seen or its pass has
    /// begun without it, so it is remembered until then.
    async fn hold(
        &mut self,
        name: &str,
        engines: &[SocketAddr],
        epoch: Epoch,
        ready: &[Option<RankReport>],
    ) -> Option<Pass> {
        let last = ready.iter().flatten().map(|report| report.pass).max()?;
        let pass = last + PASSES_AHEAD;
        self.groups.get_mut(name)?.pending_hold = Some((epoch, pass));
        self.see_hold(name, engines, epoch, pass).await
    }

    /// Whether a hold that was ordered may still arrive.
    pub(crate) fn awaits_hold(
        &self,
        name: &str,
        epoch: Epoch,
        reports: &[Option<RankReport>],
    ) -> bool {
        let pending = self.groups.get(name).and_then(|group| group.pending_hold);
        let has_begun = |pass: Pass| reports.iter().flatten().any(|report| report.pass >= pass);
        pending.is_some_and(|(of, pass)| of == epoch && !has_begun(pass))
    }

    /// Goes on with a hold that was ordered and not seen.
    pub(crate) async fn finish_hold(&mut self, name: &str, engines: &[SocketAddr], epoch: Epoch) {
        let pending = self.groups.get(name).and_then(|group| group.pending_hold);
        let Some((_, pass)) = pending else {
            return;
        };
        if self.see_hold(name, engines, epoch, pass).await.is_some() {
            self.resolve(name, engines).await;
        }
    }

    /// Orders the hold until a report shows it or its pass has begun, for a turn.
    async fn see_hold(
        &mut self,
        name: &str,
        engines: &[SocketAddr],
        epoch: Epoch,
        pass: Pass,
    ) -> Option<Pass> {
        let began = Instant::now();
        let order = RankOrder::Hold { epoch, pass };
        let holder = *engines.get(HOLDER)?;
        while began.elapsed() < TURN && !self.is_succeeded() {
            let question = |_| Question {
                orders: vec![order.clone()],
                ..Question::default()
            };
            let answers = self.ask(&[holder], question).await;
            let report = answers.into_iter().find_map(|answer| answer.report);
            let is_over = |report: &RankReport| report.epoch != epoch || report.pass >= pass;
            match report {
                Some(report) if is_over(&report) => {
                    self.groups.get_mut(name)?.pending_hold = None;
                    return None;
                }
                Some(report) if report.held == Some(pass) => {
                    self.groups.get_mut(name)?.pending_hold = None;
                    return Some(pass);
                }
                Some(_) => {}
                None => sleep(STALLED_CHECK).await,
            }
        }
        None
    }

    /// Goes on with whatever is under way until nothing is, or for a turn.
    pub(crate) async fn resolve(&mut self, name: &str, engines: &[SocketAddr]) {
        let began = Instant::now();
        let newest = self.groups.get(name).map_or(0, |group| group.newest);
        let mut orders: Vec<(usize, RankOrder)> = Vec::new();
        while began.elapsed() < TURN && !self.is_succeeded() {
            let question = |rank: usize| Question {
                orders: orders_of(&orders, rank),
                ..Question::default()
            };
            let answers = self.ask(engines, question).await;
            orders = match next_step(&reports(answers), newest) {
                Step::Idle { .. } => return,
                Step::Give(orders) => orders,
                Step::Renew { epoch } => return self.renew(name, engines, epoch).await,
                Step::Wait => {
                    sleep(STALLED_CHECK).await;
                    Vec::new()
                }
            };
        }
        log::warn!(group = name, after_ms = elapsed_ms(began); "a switch is still under way");
    }

    /// Puts a hold without a common prepared map to use: the map in use is
    /// prepared as a new version, which copies nothing, and armed at the next
    /// turn.
    async fn renew(&mut self, name: &str, engines: &[SocketAddr], epoch: Epoch) {
        let map = self.groups.get(name).and_then(|group| group.map.clone());
        let Some((_, _, map)) = map.filter(|(known, _, _)| *known == epoch) else {
            return self.learn_held_map(name, engines, epoch).await;
        };
        let Some(version) = self.issue(name) else {
            return;
        };
        log::warn!(group = name, version; "a hold without a common map is put to use");
        self.prepare_held(engines, epoch, version, &map).await;
    }

    /// Prepares at ranks of which one holds; [`prepare`](Self::prepare) waits
    /// for ranks that do not.
    async fn prepare_held(
        &mut self,
        engines: &[SocketAddr],
        epoch: Epoch,
        version: Version,
        map: &Map,
    ) {
        let began = Instant::now();
        let order = RankOrder::Prepare {
            epoch,
            version,
            map: map.clone(),
        };
        while began.elapsed() < TURN && !self.is_succeeded() {
            let question = |_| Question {
                orders: vec![order.clone()],
                ..Question::default()
            };
            let reports = reports(self.ask(engines, question).await);
            let has_it = |report: &Option<RankReport>| {
                report
                    .as_ref()
                    .is_some_and(|it| it.prepared == Some(version))
            };
            if reports.iter().all(has_it) {
                return;
            }
            sleep(COPY_CHECK).await;
        }
    }

    async fn has_version(&mut self, engines: &[SocketAddr], version: Version) -> bool {
        let answers = self.ask(engines, |_| Question::default()).await;
        let reports = reports(answers);
        let has_it = |report: &Option<RankReport>| {
            report
                .as_ref()
                .is_some_and(|report| report.version == version)
        };
        reports.iter().any(has_it)
    }
}

/// What became of an order that may have to be given again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Given {
    /// It was not given yet.
    Not,
    /// It was given then, and not answered.
    At(Instant),
    /// It was accepted.
    Accepted,
}

impl Given {
    fn is_due(&self) -> bool {
        match self {
            Self::Not => true,
            Self::At(at) => at.elapsed() >= REPEAT_AFTER,
            Self::Accepted => false,
        }
    }
}

fn orders_of(orders: &[(usize, RankOrder)], rank: usize) -> Vec<RankOrder> {
    let of_rank = orders.iter().filter(|(to, _)| *to == rank);
    of_rank.map(|(_, order)| order.clone()).collect()
}

fn elapsed_ms(since: Instant) -> u64 {
    u64::try_from(since.elapsed().as_millis()).unwrap_or(u64::MAX)
}
