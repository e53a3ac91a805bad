//! Carrying a map into force: prepare, hold, arm, go.
//!
//! `berylhook_experts::switching` says why this order, and what is to be done
//! about whatever the reports show. Here is what it takes in time and repeats.

use std::time::{Duration, Instant};

use berylhook_experts::adapt::AdaptedMap;
use berylhook_experts::switching::{
    CommandOutcome, Epoch, ExpertMap, MapVersion, Pass, RankCommand, RankReport, SwitchStep,
    is_ready_to_switch, next_step,
};
use berylhook_relay::{Answer, Question};
use tokio::time::sleep;

use crate::group_loop::{GroupLoop, PendingHold, reports};

/// Time between two looks at whether all ranks have copied their experts.
const COPY_CHECK: Duration = Duration::from_millis(15);

/// Longest wait for the copies. One expert takes about a tenth of a second.
const COPY_TIMEOUT: Duration = Duration::from_millis(1_500);

/// A prepare order without an answer is given again after this long. The agent
/// has waited for the answer already, a repeat does no harm, and all ranks wait
/// for the one that has not begun to copy.
const REPEAT_AFTER: Duration = Duration::from_millis(15);

/// Longest wait for orders to be answered again before a switch.
const PROBE_TIME: Duration = Duration::from_millis(300);

/// Time without a switch after orders went unanswered. Each try copies experts, which makes
/// passes longer.
const PAUSE_AFTER_FAILED_ORDERS: Duration = Duration::from_secs(1);

/// Ranks of which one may leave an order unanswered as a switch begins: two rounds of orders
/// reach all of them then.
const RANKS_FOR_ONE_UNANSWERED: usize = 16;

/// Passes between the last one begun and the one that switches.
///
/// The hold has to arrive before its pass begins. It takes a few milliseconds
/// and a pass some dozens, so the very next pass is mostly reached; where it is
/// not, nothing has happened and the one after it is tried. Waiting for one
/// pass more on the safe side cost every change a pass with the old map, and
/// after a shift of demand that one is twice as long as usual.
const PASSES_AHEAD: u64 = 1;

/// Passes tried for one change before it is given up.
const HOLD_TRIES: usize = 4;

/// Pause between two looks at a switch that makes no progress.
const STALLED_CHECK: Duration = Duration::from_millis(10);

/// Time that a switch gets before all ranks are read anew: one of them may have
/// been replaced. What is under way is found again.
const TURN: Duration = Duration::from_millis(500);

impl GroupLoop {
    /// Carries a map into force.
    pub(crate) async fn switch(&mut self, epoch: Epoch, adapted: AdaptedMap) {
        let began = Instant::now();
        let version = self.issue();
        let order = RankCommand::Prepare {
            epoch,
            version,
            map: adapted.map.clone(),
        };
        let prepared = self.prepare(&order, adapted.max_copies_per_rank).await;
        let copied_ms = elapsed_ms(began);
        let held = match prepared {
            Some(prepared) if prepared.is_in_doubt && !self.do_orders_pass(&order).await => None,
            Some(prepared) => self.hold(epoch, prepared.reports).await,
            None => None,
        };
        let pass = held.as_ref().map(|(pass, _)| *pass);
        let is_switched = match held {
            Some((_, reports)) => {
                self.resolve(Some(reports)).await;
                self.has_version(version).await
            }
            None => false,
        };
        log::info!(
            group = &*self.name,
            version,
            pass = pass.unwrap_or_default(),
            copies = adapted.copies,
            skew_before = adapted.skew_before,
            skew_after = adapted.skew_after,
            slowest = self.slowest(),
            copied_ms,
            after_ms = elapsed_ms(began),
            is_switched;
            "map changed"
        );
        if is_switched {
            self.life.map = Some((epoch, version, adapted.map));
        }
    }

    /// Whether most ranks answer orders at present.
    ///
    /// A group that is held stands still until the last rank is armed, so no switch begins
    /// while orders have to be given again and again. What is asked for here has been carried
    /// out already, and giving it once more does nothing.
    async fn do_orders_pass(&mut self, prepared: &RankCommand) -> bool {
        let began = Instant::now();
        while began.elapsed() < PROBE_TIME && !self.leadership.is_succeeded() {
            let question = |_| Question {
                orders: vec![prepared.clone()],
                ..Question::default()
            };
            let answers = self.ask_all(question).await;
            let unanswered = answers.iter().filter(|answer| !has_answered(answer));
            if unanswered.count() * RANKS_FOR_ONE_UNANSWERED <= answers.len() {
                return true;
            }
            sleep(COPY_CHECK).await;
        }
        log::info!(group = &*self.name; "no switch begins while orders go unanswered");
        self.orders_failed = Some(Instant::now());
        false
    }

    /// Whether orders went unanswered a short while ago.
    pub(crate) fn have_orders_failed(&self) -> bool {
        let failed = self.orders_failed;
        failed.is_some_and(|at| at.elapsed() < PAUSE_AFTER_FAILED_ORDERS)
    }

    /// A new version, remembered as the newest of its group.
    fn issue(&mut self) -> MapVersion {
        self.life.newest = self.leadership.issue_version();
        self.life.newest
    }

    /// Has all ranks copy the experts of a map; gives their reports once all
    /// are ready. The most that a rank has to copy is `copies` experts.
    ///
    /// A leader of 72 ranks that asked all of them every few milliseconds was
    /// kept so busy by the answers that a change took 0.1 s longer. So a rank
    /// that has accepted the order is left alone for the time that its copies
    /// take, and one that was seen ready is not asked again: it stays so until
    /// this leader orders something else.
    async fn prepare(&mut self, order: &RankCommand, copies: usize) -> Option<Prepared> {
        let RankCommand::Prepare { epoch, version, .. } = *order else {
            return None;
        };
        let ranks = self.rank_count();
        let began = Instant::now();
        let copied_at = began + self.copy_time(copies);
        let mut given = vec![Given::Not; ranks];
        let mut seen: Vec<Option<RankReport>> = vec![None; ranks];
        let mut is_in_doubt = false;
        while began.elapsed() < COPY_TIMEOUT && !self.leadership.is_succeeded() {
            let is_copied = Instant::now() >= copied_at;
            let is_unready =
                |rank: &usize| !is_ready_to_switch(&seen[*rank..=*rank], epoch, version);
            let asked: Vec<usize> = (0..ranks)
                .filter(is_unready)
                .filter(|rank| is_copied || given[*rank].is_due())
                .collect();
            let question = |rank: usize| Question {
                orders: given[rank]
                    .is_due()
                    .then(|| order.clone())
                    .into_iter()
                    .collect(),
                ..Question::default()
            };
            let answers = self.ask(&asked, question).await;
            for (rank, answer) in asked.into_iter().zip(answers) {
                match answer.orders.first() {
                    Some(CommandOutcome::Accepted) => given[rank] = Given::Accepted,
                    // Refused after an order without an answer, it may have
                    // been accepted before.
                    Some(CommandOutcome::Refused) if given[rank] == Given::Not => return None,
                    Some(_) => {
                        given[rank] = Given::At(Instant::now());
                        is_in_doubt = true;
                    }
                    None => {}
                }
                seen[rank] = answer.report;
            }
            if is_ready_to_switch(&seen, epoch, version) {
                return Some(Prepared {
                    reports: seen,
                    is_in_doubt,
                });
            }
            if seen.iter().flatten().any(|report| report.epoch != epoch) {
                return None;
            }
            sleep(COPY_CHECK).await;
        }
        None
    }

    /// Has a rank hold; gives the pass once a report shows the hold, and the
    /// ranks' reports with it.
    ///
    /// No newer version may be prepared before the hold is seen or its pass has
    /// begun without it, so it is remembered until then.
    async fn hold(
        &mut self,
        epoch: Epoch,
        mut ready: Vec<Option<RankReport>>,
    ) -> Option<(Pass, Vec<Option<RankReport>>)> {
        let mut last = ready.iter().flatten().map(|report| report.pass).max()?;
        let rank = holder(&ready)?;
        for _ in 0..HOLD_TRIES {
            let pass = last + PASSES_AHEAD;
            let hold = PendingHold { epoch, pass, rank };
            self.life.pending_hold = Some(hold);
            match self.see_hold(hold).await {
                HoldSeen::Holds => {
                    ready[rank].as_mut()?.paused_before = Some(pass);
                    return Some((pass, ready));
                }
                HoldSeen::Missed { begun } => last = begun,
                HoldSeen::Unknown => return None,
            }
        }
        None
    }

    /// Whether a hold that was ordered may still arrive.
    pub(crate) fn awaits_hold(&self, epoch: Epoch, reports: &[Option<RankReport>]) -> bool {
        let pending = self.life.pending_hold;
        let has_begun = |pass: Pass| reports.iter().flatten().any(|report| report.pass >= pass);
        pending.is_some_and(|hold| hold.epoch == epoch && !has_begun(hold.pass))
    }

    /// Goes on with a hold that was ordered and not seen.
    pub(crate) async fn finish_hold(&mut self) {
        let Some(hold) = self.life.pending_hold else {
            return;
        };
        if self.see_hold(hold).await == HoldSeen::Holds {
            self.resolve(None).await;
        }
    }

    /// Orders the hold until a report shows it or its pass has begun, for a turn.
    async fn see_hold(&mut self, hold: PendingHold) -> HoldSeen {
        let PendingHold { epoch, pass, rank } = hold;
        let began = Instant::now();
        let order = RankCommand::Pause { epoch, pass };
        while began.elapsed() < TURN && !self.leadership.is_succeeded() {
            let question = |_| Question {
                orders: vec![order.clone()],
                ..Question::default()
            };
            let answers = self.ask(&[rank], question).await;
            let report = answers.into_iter().find_map(|answer| answer.report);
            match report.map(|report| seen_in(&report, epoch, pass)) {
                Some(HoldSeen::Unknown) => {}
                Some(seen) => {
                    self.life.pending_hold = None;
                    return seen;
                }
                None => sleep(STALLED_CHECK).await,
            }
        }
        HoldSeen::Unknown
    }

    /// Goes on with whatever is under way until nothing is, or for a turn.
    ///
    /// `known` are reports read since this leader's last order; without them all
    /// ranks are read first. Only ranks that get an order are asked: what the
    /// others have shown stays so while a rank holds.
    pub(crate) async fn resolve(&mut self, mut known: Option<Vec<Option<RankReport>>>) {
        let began = Instant::now();
        let newest = self.life.newest;
        while began.elapsed() < TURN && !self.leadership.is_succeeded() {
            let mut seen = match known.take() {
                Some(seen) => seen,
                None => reports(self.ask_all(|_| Question::default()).await),
            };
            match next_step(&seen, newest) {
                SwitchStep::Idle { .. } => return,
                SwitchStep::SendCommands(orders) => {
                    let is_last = orders.iter().all(|(_, order)| order.is_release());
                    self.give(orders, &mut seen).await;
                    // A pass that has begun has changed every rank.
                    known = (!is_last).then_some(seen);
                }
                SwitchStep::PrepareNewVersion { epoch } => return self.renew(epoch).await,
                SwitchStep::Wait => sleep(STALLED_CHECK).await,
            }
        }
        log::warn!(group = &*self.name, after_ms = elapsed_ms(began); "a switch is still under way");
    }

    /// Gives orders by rank and takes in the reports of these ranks.
    async fn give(&mut self, orders: Vec<(usize, RankCommand)>, seen: &mut [Option<RankReport>]) {
        let ranks: Vec<usize> = orders.iter().map(|(rank, _)| *rank).collect();
        let question = |rank: usize| Question {
            orders: orders_of(&orders, rank),
            ..Question::default()
        };
        let answers = self.ask(&ranks, question).await;
        for (rank, answer) in ranks.into_iter().zip(answers) {
            seen[rank] = answer.report;
        }
    }

    /// Puts a hold without a common prepared map to use: the map in use is
    /// prepared as a new version, which copies nothing, and armed at the next
    /// turn.
    async fn renew(&mut self, epoch: Epoch) {
        let map = self.life.map.clone();
        let Some((_, _, map)) = map.filter(|(known, _, _)| *known == epoch) else {
            return self.learn_held_map(epoch).await;
        };
        let version = self.issue();
        log::warn!(group = &*self.name, version; "a hold without a common map is put to use");
        self.prepare_held(epoch, version, &map).await;
    }

    /// Prepares at ranks of which one holds; [`prepare`](Self::prepare) waits
    /// for ranks that do not.
    async fn prepare_held(&mut self, epoch: Epoch, version: MapVersion, map: &ExpertMap) {
        let began = Instant::now();
        let order = RankCommand::Prepare {
            epoch,
            version,
            map: map.clone(),
        };
        while began.elapsed() < TURN && !self.leadership.is_succeeded() {
            let question = |_| Question {
                orders: vec![order.clone()],
                ..Question::default()
            };
            let reports = reports(self.ask_all(question).await);
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

    /// Whether the group has begun a pass with the version. All ranks begin a
    /// pass together, so one of them tells.
    async fn has_version(&mut self, version: MapVersion) -> bool {
        let answers = self.ask(&[0], |_| Question::default()).await;
        let reports = reports(answers);
        reports
            .iter()
            .flatten()
            .any(|report| report.version == version)
    }
}

/// The rank that is to hold: the one with the least work.
///
/// Any rank may hold, but where its VM freezes before the hold is over, what it has cannot be
/// taken from it while the whole group stands still.
fn holder(reports: &[Option<RankReport>]) -> Option<usize> {
    let ranks = reports.iter().enumerate();
    let known = ranks.filter_map(|(rank, report)| Some((rank, report.as_ref()?)));
    let least = known.min_by_key(|(_, report)| (report.waiting, report.running));
    least.map(|(rank, _)| rank)
}

/// Ranks that have copied the experts of a map.
struct Prepared {
    /// Their reports.
    reports: Vec<Option<RankReport>>,
    /// Whether an order went unanswered on the way.
    is_in_doubt: bool,
}

fn has_answered(answer: &Answer) -> bool {
    let order = answer.orders.first();
    answer.report.is_some() && order.is_some_and(|it| *it != CommandOutcome::Unknown)
}

/// What a report shows of a hold that was ordered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HoldSeen {
    /// The rank holds.
    Holds,
    /// The pass has begun, or the group has formed anew: the hold can't arrive
    /// any more.
    Missed {
        /// The last pass begun.
        begun: Pass,
    },
    /// It may still arrive.
    Unknown,
}

fn seen_in(report: &RankReport, epoch: Epoch, pass: Pass) -> HoldSeen {
    match report.paused_before {
        _ if report.epoch != epoch || report.pass >= pass => {
            HoldSeen::Missed { begun: report.pass }
        }
        Some(held) if held == pass => HoldSeen::Holds,
        _ => HoldSeen::Unknown,
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

fn orders_of(orders: &[(usize, RankCommand)], rank: usize) -> Vec<RankCommand> {
    let of_rank = orders.iter().filter(|(to, _)| *to == rank);
    of_rank.map(|(_, order)| order.clone()).collect()
}

fn elapsed_ms(since: Instant) -> u64 {
    u64::try_from(since.elapsed().as_millis()).unwrap_or(u64::MAX)
}
