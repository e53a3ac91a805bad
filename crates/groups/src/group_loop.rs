//! One group's loop: reading its ranks, planning a map, and having it carried
//! into force.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use berylhook_experts::adapt::{AdaptedMap, CopyCost, CopyLimits, GroupLoad, adapt};
use berylhook_experts::demand::{DemandTracker, RankCounts};
use berylhook_experts::switching::{
    Epoch, ExpertMap, MapVersion, Pass, RankReport, SwitchStep, next_step,
};
use berylhook_relay::{Answer, Question};
use berylhook_traffic::configuration::ExpertModel;
use berylhook_traffic::engine_update::Slowdown;
use tokio::time::sleep;

use crate::agent_clients::Ports;
use crate::counts_window::CountsWindow;
use crate::leadership::Leadership;

/// Time between two readings of the counts: about a pass. A shift of demand is
/// seen at the first reading after it.
pub(crate) const READ_EVERY: Duration = Duration::from_millis(60);

/// Time between two log lines about readings that lack ranks.
const TELL_PARTIAL_EVERY: Duration = Duration::from_secs(1);

/// Part of the skew that a new map has to save.
///
/// Copying makes passes a seventh longer for a tenth of a second; what is
/// gained lasts for seconds. Smaller gains are lost in the noise of readings.
const LEAST_GAIN: f64 = 0.12;

/// Longest time that copies are taken to need, whatever an operator's
/// description of the engines makes of it.
const MOST_COPY_MS: f64 = 1_000.0;

/// A pace that differs by less from the usual one is left out.
const USUAL_PACE: f64 = 1.15;

/// A rank's engine.
#[derive(Clone, Copy, Debug, PartialEq)]
struct RankEngine {
    address: SocketAddr,
    pace: Slowdown,
}

/// What is known of a group's present life, from its forming to its break.
#[derive(Default)]
pub(crate) struct Life {
    /// The map in use, and its epoch and version.
    pub(crate) map: Option<(Epoch, MapVersion, ExpertMap)>,
    /// The newest version that this leader has had prepared; 0 for none.
    pub(crate) newest: MapVersion,
    /// A hold that was ordered and not seen yet.
    pub(crate) pending_hold: Option<PendingHold>,
}

/// A hold that may still arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PendingHold {
    pub(crate) epoch: Epoch,
    pub(crate) pass: Pass,
    /// The rank that it was ordered of.
    pub(crate) rank: usize,
}

/// A group as its leader sees it.
pub(crate) struct GroupLoop {
    pub(crate) leadership: Arc<Leadership>,
    pub(crate) name: Arc<str>,
    pub(crate) life: Life,
    ports: Ports,
    /// The ranks' engines, once all have been seen.
    ranks: Vec<RankEngine>,
    tracker: Option<DemandTracker>,
    /// Whether every agent has answered this leader: what was read before may
    /// have been changed by a former one since.
    has_all_agents: bool,
    /// When a reading that lacked ranks was last logged.
    told_partial: Option<Instant>,
    /// When a switch was last put off, since orders went unanswered.
    pub(crate) orders_failed: Option<Instant>,
}

impl GroupLoop {
    pub(crate) fn new(leadership: Arc<Leadership>, name: Arc<str>) -> Self {
        let model = leadership.members().map(|members| members.model);
        let numbers = model.map_or(0, |model| model.layer_sets * model.experts);
        let ports = Ports::new(leadership.agent_port(), Some(CountsWindow::new(numbers)));
        Self {
            leadership,
            name,
            life: Life::default(),
            ports,
            ranks: Vec::new(),
            tracker: None,
            has_all_agents: false,
            told_partial: None,
            orders_failed: None,
        }
    }

    /// Runs until the group has no engines any more.
    pub(crate) async fn run(mut self) {
        loop {
            let began = Instant::now();
            let engines = self.leadership.engines_of(&self.name);
            if engines.is_empty() {
                break;
            }
            if let Some(members) = self.leadership.members() {
                self.ports.set(&engines);
                let reports = self.read(&members.model).await;
                self.balance(&reports, &members.model).await;
            }
            sleep(READ_EVERY.saturating_sub(began.elapsed())).await;
        }
        log::info!(group = &*self.name; "the group has no engines any more");
        self.leadership.forget_group(&self.name);
    }

    /// Ranks of the group, once all have been seen.
    pub(crate) fn rank_count(&self) -> usize {
        self.ranks.len()
    }

    /// Reads all engines; gives the reports by rank.
    async fn read(&mut self, model: &ExpertModel) -> Vec<Option<RankReport>> {
        let readings = self.ports.read(self.leadership.fence).await;
        let answers = readings.iter().map(|reading| &reading.answer);
        self.leadership.heed_fences(answers);
        let mut reports: Vec<Option<RankReport>> = Vec::new();
        let mut counts: Vec<Option<RankCounts>> = Vec::new();
        let mut ranks: Vec<Option<RankEngine>> = Vec::new();
        for reading in readings {
            let Some(report) = reading.answer.report else {
                continue;
            };
            if report.group != *self.name {
                self.leadership.assign(reading.engine, &report.group);
                continue;
            }
            let (rank, size) = (report.rank, report.size);
            if reports.len() < size {
                reports.resize(size, None);
                counts.resize(size, None);
                ranks.resize(size, None);
            }
            ranks[rank] = Some(rank_engine(reading.engine, &report));
            reports[rank] = Some(report);
            counts[rank] = reading.counts;
        }
        let mut answered = reports.iter().flatten().peekable();
        if answered.peek().is_some() {
            let is_open = answered.all(|report| report.is_group_running);
            self.leadership.publish_group(&self.name, is_open);
        }
        self.take_ranks(ranks);
        let tracker = self
            .tracker
            .get_or_insert_with(|| DemandTracker::new(model.layer_sets, model.experts));
        tracker.observe(counts);
        reports
    }

    /// Takes in who is which rank. An engine that has started anew ends the
    /// group's life: it holds no map, and no hold that was ordered before.
    fn take_ranks(&mut self, ranks: Vec<Option<RankEngine>>) {
        let whole: Option<Vec<RankEngine>> = ranks.into_iter().collect();
        let Some(ranks) = whole.filter(|ranks| !ranks.is_empty()) else {
            return;
        };
        let starts = |ranks: &[RankEngine]| -> Vec<Option<u64>> {
            ranks.iter().map(|rank| rank.pace.started_unix_ms).collect()
        };
        if starts(&ranks) != starts(&self.ranks) {
            self.life = Life {
                newest: self.life.newest,
                ..Life::default()
            };
        }
        let slow = ranks.iter().filter(|rank| rank.pace.factor > USUAL_PACE);
        let slow = slow.map(|rank| (rank.address, rank.pace)).collect();
        self.leadership.publish_paces(&self.name, slow);
        self.ranks = ranks;
    }

    /// Asks the agents of some ranks; `question` says what by rank.
    pub(crate) async fn ask(
        &mut self,
        ranks: &[usize],
        question: impl Fn(usize) -> Question,
    ) -> Vec<Answer> {
        let fence = self.leadership.fence;
        let questions = ranks.iter().map(|rank| {
            let question = Question {
                fence,
                ..question(*rank)
            };
            (self.ranks[*rank].address, question)
        });
        let questions = questions.collect();
        let answers = self.ports.ask(questions).await;
        self.leadership.heed_fences(answers.iter());
        answers
    }

    /// Asks the agents of all ranks.
    pub(crate) async fn ask_all(&mut self, question: impl Fn(usize) -> Question) -> Vec<Answer> {
        let all: Vec<usize> = (0..self.rank_count()).collect();
        self.ask(&all, question).await
    }

    /// Goes on with what is under way, or changes the map if a better one pays.
    async fn balance(&mut self, reports: &[Option<RankReport>], model: &ExpertModel) {
        let is_whole = !reports.is_empty() && reports.iter().all(Option::is_some);
        if !is_whole {
            self.tell_partial(reports);
        }
        if !self.has_all_agents {
            self.has_all_agents = is_whole;
            return;
        }
        match next_step(reports, self.life.newest) {
            SwitchStep::Wait => {}
            SwitchStep::SendCommands(_) | SwitchStep::PrepareNewVersion { .. } => {
                self.resolve(None).await;
            }
            SwitchStep::Idle { epoch, .. } if self.awaits_hold(epoch, reports) => {
                self.finish_hold().await;
            }
            SwitchStep::Idle { .. } if self.have_orders_failed() => {}
            SwitchStep::Idle { epoch, version } => {
                let state = (epoch, version);
                if !self.knows_map(state) && !self.learn_map(state).await {
                    return;
                }
                if let Some(adapted) = self.plan(model) {
                    self.switch(epoch, adapted).await;
                }
            }
        }
    }

    /// Logs that ranks are missing from a reading: no map of the group changes before
    /// all of them answer.
    fn tell_partial(&mut self, reports: &[Option<RankReport>]) {
        let is_due = self
            .told_partial
            .is_none_or(|at| at.elapsed() >= TELL_PARTIAL_EVERY);
        if !is_due {
            return;
        }
        self.told_partial = Some(Instant::now());
        let answered = reports.iter().flatten().count();
        let ranks = reports.len();
        log::warn!(group = &*self.name, answered, ranks; "not all ranks were read");
    }

    fn knows_map(&self, state: (Epoch, MapVersion)) -> bool {
        let known = self.life.map.as_ref();
        known.is_some_and(|(epoch, version, _)| (*epoch, *version) == state)
    }

    /// Learns the map of a group in which nothing is under way; returns whether
    /// it is known now.
    async fn learn_map(&mut self, state: (Epoch, MapVersion)) -> bool {
        let (map, reports) = self.read_map().await;
        let (epoch, version) = state;
        // A switch between the two readings would mix two maps.
        let is_same = next_step(&reports, 0) == SwitchStep::Idle { epoch, version };
        match map {
            Some(map) if is_same => {
                self.life.map = Some((epoch, version, map));
                true
            }
            _ => false,
        }
    }

    /// Learns the map of a group in which something is under way. The experts
    /// that a rank holds do not change before the held pass begins.
    pub(crate) async fn learn_held_map(&mut self, epoch: Epoch) {
        let (map, reports) = self.read_map().await;
        let version = reports.iter().flatten().map(|report| report.version).next();
        if let (Some(map), Some(version)) = (map, version) {
            log::info!(group = &*self.name, version; "the map of a held group is known");
            self.life.map = Some((epoch, version, map));
        }
    }

    /// Reads which experts each rank holds, and a report of each after it.
    async fn read_map(&mut self) -> (Option<ExpertMap>, Vec<Option<RankReport>>) {
        let question = |_| Question {
            wants_experts: true,
            ..Question::default()
        };
        let answers = self.ask_all(question).await;
        let ranks: Option<Vec<Vec<Vec<u16>>>> = answers
            .iter()
            .map(|answer| answer.experts.clone())
            .collect();
        (ranks.map(|ranks| by_set(&ranks)), reports(answers))
    }

    fn plan(&self, model: &ExpertModel) -> Option<AdaptedMap> {
        let (_, _, map) = self.life.map.as_ref()?;
        let demand = self.tracker.as_ref()?.demand()?;
        let cost = CopyCost {
            expert_mb: model.expert_mb,
            copy_ms: model.copy_ms(),
        };
        let limits = CopyLimits::for_group(
            model.slots_per_rank,
            model.max_new_per_set,
            cost,
            self.ranks.len(),
        );
        let paces: Vec<f64> = self.ranks.iter().map(|rank| rank.pace.factor).collect();
        let load = GroupLoad {
            demand,
            slowdowns: &paces,
        };
        let adapted = adapt(map, &load, &limits);
        let gain = 1.0 - adapted.skew_after / adapted.skew_before.max(f64::MIN_POSITIVE);
        (gain >= LEAST_GAIN).then_some(adapted)
    }

    /// The time that a rank takes to copy that many experts.
    pub(crate) fn copy_time(&self, experts: usize) -> Duration {
        let model = self.leadership.members().map(|members| members.model);
        let copy_ms = model.map_or(0.0, |model| model.copy_ms());
        #[allow(clippy::cast_precision_loss)] // a few dozen
        let total_ms = copy_ms * experts as f64;
        Duration::from_secs_f64(total_ms.min(MOST_COPY_MS) / 1_000.0)
    }

    /// The pace of the group's slowest engine, for the logs.
    pub(crate) fn slowest(&self) -> f64 {
        let paces = self.ranks.iter().map(|rank| rank.pace.factor);
        paces.fold(1.0, f64::max)
    }
}

fn rank_engine(address: SocketAddr, report: &RankReport) -> RankEngine {
    RankEngine {
        address,
        pace: Slowdown {
            factor: report.slowdown,
            started_unix_ms: report.started_unix_ms,
        },
    }
}

pub(crate) fn reports(answers: Vec<Answer>) -> Vec<Option<RankReport>> {
    answers.into_iter().map(|answer| answer.report).collect()
}

/// Turns the ranks' experts by set into sets of ranks.
fn by_set(ranks: &[Vec<Vec<u16>>]) -> ExpertMap {
    let sets = ranks.first().map_or(0, Vec::len);
    let set = |index: usize| {
        let of_rank = |rank: &Vec<Vec<u16>>| rank.get(index).cloned().unwrap_or_default();
        ranks.iter().map(of_rank).collect()
    };
    (0..sets).map(set).collect()
}
