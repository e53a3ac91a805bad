//! The loop of one group, which polls the ranks, plans a new map, and switches the group to
//! it if it reduces the skew enough.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use berylhook_experts::adapt::{AdaptedMap, CopyCost, CopyLimits, GroupLoad, adapt};
use berylhook_experts::demand::{DemandTracker, RankCounts};
use berylhook_experts::switching::{
    Epoch, ExpertMap, MapVersion, Pass, RankReport, SwitchStep, next_step,
};
use berylhook_relay::{RelayReply, RelayRequest};
use berylhook_traffic::configuration::ExpertModel;
use berylhook_traffic::engine_update::Slowdown;
use tokio::time::sleep;

use crate::agent_clients::AgentClients;
use crate::counts_window::CountsWindow;
use crate::leadership::Leadership;
use crate::reservation::Reservation;

/// Interval between two polls, which is about the duration of a pass. The first poll after a
/// shift of demand shows the shift.
pub(crate) const POLL_INTERVAL: Duration = Duration::from_millis(60);

/// Minimum interval between two log lines about polls without a report of every rank.
const PARTIAL_POLL_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Minimum reduction of the skew by a new map, as a fraction of the present skew.
///
/// Copying experts makes passes a seventh longer for a tenth of a second, while the benefit
/// lasts for seconds. Smaller reductions cannot be distinguished from noise in the polls.
const MIN_GAIN: f64 = 0.12;

/// Upper limit on the estimated copy time, in case the operator's configuration of the
/// engines leads to an unrealistic value.
const MAX_COPY_MS: f64 = 1_000.0;

/// Slowdown up to which an engine counts as having the usual speed. It is not published.
const MAX_USUAL_SLOWDOWN: f64 = 1.15;

/// The engine of a rank.
#[derive(Clone, Copy, Debug, PartialEq)]
struct RankEngine {
    address: SocketAddr,
    slowdown: Slowdown,
}

/// What the leader knows of the group in its current epoch.
#[derive(Default)]
pub(crate) struct EpochState {
    /// The map in use, with its epoch and version.
    pub(crate) map: Option<(Epoch, MapVersion, ExpertMap)>,
    /// The newest version for which this leader has sent prepare commands, or 0.
    pub(crate) newest: MapVersion,
    /// A pause command that no report has confirmed yet.
    pub(crate) pending_pause: Option<PendingPause>,
}

/// A pause command that may still be executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PendingPause {
    pub(crate) epoch: Epoch,
    pub(crate) pass: Pass,
    /// The rank to which the command was sent.
    pub(crate) rank: usize,
}

/// The state of one group at its leader.
pub(crate) struct GroupLoop {
    pub(crate) leadership: Arc<Leadership>,
    pub(crate) name: Arc<str>,
    pub(crate) epoch_state: EpochState,
    clients: AgentClients,
    /// The engine of each rank. Empty until all have been polled.
    ranks: Vec<RankEngine>,
    tracker: Option<DemandTracker>,
    /// Whether every agent has replied to this leader. Before that, a previous leader may
    /// still change the state that this one has polled.
    has_all_agents: bool,
    /// Whether an agent replied to the last poll later than usual.
    had_late_reply: bool,
    /// When a poll without a report of every rank was last logged.
    partial_poll_logged_at: Option<Instant>,
    /// When a switch was last cancelled because ranks did not reply to commands.
    pub(crate) commands_unanswered_at: Option<Instant>,
    /// The rank that is reserved to pause the group, during a switch and possibly after it.
    pub(crate) reservation: Option<Reservation>,
}

impl GroupLoop {
    pub(crate) fn new(leadership: Arc<Leadership>, name: Arc<str>) -> Self {
        let model = leadership.expert_service().map(|service| service.model);
        let counters_per_rank = model.map_or(0, |model| model.layer_sets * model.experts);
        let clients = AgentClients::new(
            leadership.agent_port(),
            Arc::clone(&leadership.agent_timeouts),
            Some(CountsWindow::new(counters_per_rank)),
        );
        Self {
            leadership,
            name,
            epoch_state: EpochState::default(),
            clients,
            ranks: Vec::new(),
            tracker: None,
            has_all_agents: false,
            had_late_reply: false,
            partial_poll_logged_at: None,
            commands_unanswered_at: None,
            reservation: None,
        }
    }

    /// Runs until the group has no engines left, or the leader hands over and the group is not
    /// paused.
    pub(crate) async fn run(mut self) {
        loop {
            let began = Instant::now();
            let engines = self.leadership.engines_of(&self.name);
            if engines.is_empty() {
                break;
            }
            if let Some(service) = self.leadership.expert_service() {
                self.clients.set(&engines);
                let reports = self.poll(&service.model).await;
                if self.leadership.is_closing() && !self.may_be_paused(&reports) {
                    return self.end_reservation();
                }
                self.balance(&reports, &service.model).await;
            }
            sleep(POLL_INTERVAL.saturating_sub(began.elapsed())).await;
        }
        log::info!(group = &*self.name; "the group has no engines left");
        self.leadership.remove_group(&self.name);
    }

    /// Number of ranks in the group, or 0 until all have been polled.
    pub(crate) fn rank_count(&self) -> usize {
        self.ranks.len()
    }

    /// Polls all engines. Returns the reports by rank.
    async fn poll(&mut self, model: &ExpertModel) -> Vec<Option<RankReport>> {
        let results = self.clients.poll(self.leadership.fence).await;
        let replies = results.iter().map(|result| &result.reply);
        self.leadership.check_fences(replies);
        self.had_late_reply = results.iter().any(|result| result.is_late);
        let mut reports: Vec<Option<RankReport>> = Vec::new();
        let mut counts: Vec<Option<RankCounts>> = Vec::new();
        let mut ranks: Vec<Option<RankEngine>> = Vec::new();
        for result in results {
            let Some(report) = result.reply.report else {
                continue;
            };
            if report.group != *self.name {
                self.leadership.assign(result.engine, &report.group);
                continue;
            }
            let (rank, size) = (report.rank, report.size);
            if reports.len() < size {
                reports.resize(size, None);
                counts.resize(size, None);
                ranks.resize(size, None);
            }
            ranks[rank] = Some(rank_engine(result.engine, &report));
            reports[rank] = Some(report);
            counts[rank] = result.counts;
        }
        let mut answered = reports.iter().flatten().peekable();
        if answered.peek().is_some() {
            let is_running = answered.all(|report| report.is_group_running);
            self.leadership.publish_group(&self.name, is_running);
        }
        self.update_ranks(ranks);
        let tracker = self
            .tracker
            .get_or_insert_with(|| DemandTracker::new(model.layer_sets, model.experts));
        tracker.observe(counts);
        reports
    }

    /// Updates the engine of each rank. A restart of an engine ends the epoch of the group,
    /// as the engine has lost its map and any pause.
    fn update_ranks(&mut self, ranks: Vec<Option<RankEngine>>) {
        let complete: Option<Vec<RankEngine>> = ranks.into_iter().collect();
        let Some(ranks) = complete.filter(|ranks| !ranks.is_empty()) else {
            return;
        };
        let start_times = |ranks: &[RankEngine]| -> Vec<Option<u64>> {
            ranks
                .iter()
                .map(|rank| rank.slowdown.started_unix_ms)
                .collect()
        };
        if start_times(&ranks) != start_times(&self.ranks) {
            self.epoch_state = EpochState {
                newest: self.epoch_state.newest,
                ..EpochState::default()
            };
        }
        let slow_engines = ranks
            .iter()
            .filter(|rank| rank.slowdown.factor > MAX_USUAL_SLOWDOWN);
        let slow_engines = slow_engines
            .map(|rank| (rank.address, rank.slowdown))
            .collect();
        self.leadership
            .publish_slow_engines(&self.name, slow_engines);
        self.ranks = ranks;
    }

    /// Sends requests to the agents of some ranks. `request` returns the request for a rank.
    pub(crate) async fn request(
        &mut self,
        ranks: &[usize],
        request: impl Fn(usize) -> RelayRequest,
    ) -> Vec<RelayReply> {
        let fence = self.leadership.fence;
        let requests = ranks.iter().map(|rank| {
            let request = RelayRequest {
                fencing_token: fence,
                ..request(*rank)
            };
            (self.ranks[*rank].address, request)
        });
        let requests = requests.collect();
        let replies = self.clients.request(requests).await;
        self.leadership.check_fences(replies.iter());
        replies
    }

    /// Addresses of the engines by rank.
    pub(crate) fn engines(&self) -> Vec<SocketAddr> {
        self.ranks.iter().map(|engine| engine.address).collect()
    }

    /// Sends requests to the agents of all ranks.
    pub(crate) async fn request_all(
        &mut self,
        request: impl Fn(usize) -> RelayRequest,
    ) -> Vec<RelayReply> {
        let all: Vec<usize> = (0..self.rank_count()).collect();
        self.request(&all, request).await
    }

    /// Continues a switch in progress, or starts one if a new map reduces the skew enough.
    async fn balance(&mut self, reports: &[Option<RankReport>], model: &ExpertModel) {
        let is_complete = !reports.is_empty() && reports.iter().all(Option::is_some);
        if !is_complete {
            self.log_partial_poll(reports);
        }
        if !self.has_all_agents {
            self.has_all_agents = is_complete;
            return;
        }
        let step = next_step(reports, self.epoch_state.newest);
        self.update_reservation(self.is_switching(&step, reports));
        match step {
            SwitchStep::Wait => {}
            SwitchStep::SendCommands(_) | SwitchStep::PrepareNewVersion { .. } => {
                self.advance_switch(Some(reports.to_vec())).await;
            }
            SwitchStep::Idle { epoch, .. } if self.is_pause_pending(epoch, reports) => {
                self.resume_pending_pause().await;
            }
            SwitchStep::Idle { .. } if self.were_commands_unanswered() => {}
            // A switch stalls the group for several replies of its slowest agent.
            SwitchStep::Idle { .. } if self.had_late_reply => {}
            SwitchStep::Idle { epoch, version } => {
                let version_in_use = (epoch, version);
                if !self.is_map_known(version_in_use) && !self.fetch_map(version_in_use).await {
                    return;
                }
                if let Some(adapted) = self.plan_map(model) {
                    self.reserve_rank(epoch, reports);
                    self.switch(epoch, adapted).await;
                }
            }
        }
    }

    /// Whether the group is paused, or may still be paused by a command of this leader.
    fn is_switching(&self, step: &SwitchStep, reports: &[Option<RankReport>]) -> bool {
        match step {
            SwitchStep::Idle { epoch, .. } => self.is_pause_pending(*epoch, reports),
            _ => true,
        }
    }

    /// Whether a rank pauses the group, or may do so by a command of this leader. A rank that has not
    /// replied may pause it.
    fn may_be_paused(&self, reports: &[Option<RankReport>]) -> bool {
        reports.iter().any(|report| {
            report.as_ref().is_none_or(|report| {
                report.paused_before.is_some()
                    || report.armed.is_some()
                    || self.is_pause_pending(report.epoch, reports)
            })
        })
    }

    /// Logs that reports are missing from a poll. The map of the group does not change until
    /// all ranks reply.
    fn log_partial_poll(&mut self, reports: &[Option<RankReport>]) {
        let is_due = self
            .partial_poll_logged_at
            .is_none_or(|at| at.elapsed() >= PARTIAL_POLL_LOG_INTERVAL);
        if !is_due {
            return;
        }
        self.partial_poll_logged_at = Some(Instant::now());
        let answered = reports.iter().flatten().count();
        let ranks = reports.len();
        log::warn!(group = &*self.name, answered, ranks; "poll incomplete: not all ranks replied");
    }

    fn is_map_known(&self, version_in_use: (Epoch, MapVersion)) -> bool {
        let known = self.epoch_state.map.as_ref();
        known.is_some_and(|(epoch, version, _)| (*epoch, *version) == version_in_use)
    }

    /// Reads the map of a group without a switch in progress. Returns whether the map is
    /// known afterwards.
    async fn fetch_map(&mut self, version_in_use: (Epoch, MapVersion)) -> bool {
        let (map, reports) = self.read_map().await;
        let (epoch, version) = version_in_use;
        // A switch while the ranks are read would give a mixture of two maps.
        let is_unchanged = next_step(&reports, 0) == SwitchStep::Idle { epoch, version };
        match map {
            Some(map) if is_unchanged => {
                self.epoch_state.map = Some((epoch, version, map));
                true
            }
            _ => false,
        }
    }

    /// Reads the map of a paused group. The experts of the ranks do not change before the
    /// paused pass begins.
    pub(crate) async fn fetch_map_of_paused_group(&mut self, epoch: Epoch) {
        let (map, reports) = self.read_map().await;
        let version = reports.iter().flatten().map(|report| report.version).next();
        if let (Some(map), Some(version)) = (map, version) {
            log::info!(group = &*self.name, version; "read the map of a paused group");
            self.epoch_state.map = Some((epoch, version, map));
        }
    }

    /// Reads the experts of each rank, and a report of each rank taken before its experts.
    async fn read_map(&mut self) -> (Option<ExpertMap>, Vec<Option<RankReport>>) {
        let request = |_| RelayRequest {
            wants_experts: true,
            ..RelayRequest::default()
        };
        let replies = self.request_all(request).await;
        let ranks: Option<Vec<Vec<Vec<u16>>>> =
            replies.iter().map(|reply| reply.experts.clone()).collect();
        (
            ranks.map(|ranks| map_from_ranks(&ranks)),
            reports_from(replies),
        )
    }

    fn plan_map(&self, model: &ExpertModel) -> Option<AdaptedMap> {
        let (_, _, map) = self.epoch_state.map.as_ref()?;
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
        let slowdowns: Vec<f64> = self.ranks.iter().map(|rank| rank.slowdown.factor).collect();
        let load = GroupLoad {
            demand,
            slowdowns: &slowdowns,
        };
        let adapted = adapt(map, &load, &limits);
        let gain = 1.0 - adapted.skew_after / adapted.skew_before.max(f64::MIN_POSITIVE);
        (gain >= MIN_GAIN).then_some(adapted)
    }

    /// The estimated time that a rank takes to copy this number of experts.
    pub(crate) fn copy_time(&self, experts: usize) -> Duration {
        let model = self
            .leadership
            .expert_service()
            .map(|service| service.model);
        let copy_ms = model.map_or(0.0, |model| model.copy_ms());
        #[allow(clippy::cast_precision_loss)] // a few dozen
        let total_ms = copy_ms * experts as f64;
        Duration::from_secs_f64(total_ms.min(MAX_COPY_MS) / 1_000.0)
    }

    /// The slowdown of the group's slowest engine, for the logs.
    pub(crate) fn max_slowdown(&self) -> f64 {
        let slowdowns = self.ranks.iter().map(|rank| rank.slowdown.factor);
        slowdowns.fold(1.0, f64::max)
    }
}

fn rank_engine(address: SocketAddr, report: &RankReport) -> RankEngine {
    RankEngine {
        address,
        slowdown: Slowdown {
            factor: report.slowdown,
            started_unix_ms: report.started_unix_ms,
        },
    }
}

pub(crate) fn reports_from(replies: Vec<RelayReply>) -> Vec<Option<RankReport>> {
    replies.into_iter().map(|reply| reply.report).collect()
}

/// Converts experts by rank and layer set into a map by layer set and rank.
fn map_from_ranks(ranks: &[Vec<Vec<u16>>]) -> ExpertMap {
    let sets = ranks.first().map_or(0, Vec::len);
    let set = |index: usize| {
        let of_rank = |rank: &Vec<Vec<u16>>| rank.get(index).cloned().unwrap_or_default();
        ranks.iter().map(of_rank).collect()
    };
    (0..sets).map(set).collect()
}
