//! One term of leading the groups of a service: reading the ranks, planning a
//! better map, and having it carried into force.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use berylhook_experts::adapt::{Adapted, CopyCost, Limits, Load, adapt};
use berylhook_experts::demand::{DemandTracker, RankCounts};
use berylhook_experts::switching::{
    Epoch, Map, Pass, RankReport, Step, Version, VersionSource, next_step,
};
use berylhook_relay::{Answer, Question};
use berylhook_traffic::configuration::ExpertModel;
use futures_util::future::join_all;
use indexmap::IndexMap;
use rand::seq::SliceRandom;
use tokio::time::sleep;

use crate::election::Term;
use crate::ports::Port;
use crate::{Candidate, Members};

/// Time between two readings of the counts: about a pass. A shift of demand is
/// seen at the first reading after it.
const READ_EVERY: Duration = Duration::from_millis(60);

/// Part of the skew that a new map has to save.
///
/// Copying makes passes a seventh longer for a tenth of a second; what is
/// gained lasts for seconds. Smaller gains are lost in the noise of readings.
const LEAST_GAIN: f64 = 0.12;

/// Longest time that copies are taken to need, whatever an operator's
/// description of the engines makes of it.
const MOST_COPY_MS: f64 = 1_000.0;

/// Engines' paces by address; those of a usual pace are left out.
pub type Paces = IndexMap<SocketAddr, f64>;

/// A pace that differs by less from the usual one is left out.
const USUAL_PACE: f64 = 1.15;

/// What is known of one group.
pub(crate) struct Group {
    pub(crate) engines: Vec<SocketAddr>,
    /// How slow each rank's engine is; over 1 is slower than usual.
    paces: Vec<f64>,
    tracker: DemandTracker,
    /// The map in use, and its epoch and version.
    pub(crate) map: Option<(Epoch, Version, Map)>,
    /// The newest version that this leader has had prepared; 0 for none.
    pub(crate) newest: Version,
    /// A hold that was ordered and not seen yet: epoch and pass.
    pub(crate) pending_hold: Option<(Epoch, Pass)>,
    /// Whether every agent has answered this leader: what was read before may
    /// have been changed by a former one since.
    has_all_agents: bool,
}

impl Group {
    fn new(ranks: usize, model: &ExpertModel) -> Self {
        Self {
            engines: Vec::new(),
            paces: Vec::new(),
            tracker: DemandTracker::new(ranks, model.sets, model.experts),
            map: None,
            newest: 0,
            pending_hold: None,
            has_all_agents: false,
        }
    }
}

/// What one reading told of a rank.
struct RankReading {
    engine: SocketAddr,
    report: RankReport,
    counts: Option<RankCounts>,
}

/// The leader of a service's groups.
pub(crate) struct Controller {
    candidate: Candidate,
    service: Arc<str>,
    pub(crate) fence: u64,
    /// Whether an agent has named a later leader.
    is_succeeded: bool,
    pub(crate) versions: VersionSource,
    ports: IndexMap<SocketAddr, Port>,
    pub(crate) groups: IndexMap<String, Group>,
}

impl Controller {
    pub(crate) fn new(candidate: &Candidate, service: Arc<str>, fence: u64) -> Self {
        Self {
            candidate: candidate.clone(),
            service,
            fence,
            is_succeeded: false,
            versions: VersionSource::new(fence),
            ports: IndexMap::new(),
            groups: IndexMap::new(),
        }
    }

    fn members(&self) -> Option<Members> {
        let members = self.candidate.members.borrow();
        members
            .iter()
            .find(|it| it.service == self.service)
            .cloned()
    }

    /// Whether this leader has to stop giving orders.
    pub(crate) fn is_succeeded(&self) -> bool {
        self.is_succeeded
    }

    /// Leads until the term is over, a later leader is heard of, or the process
    /// stops. A leader by transfer has no term of its own.
    pub(crate) async fn run(&mut self, term: Option<&Term>) {
        while !term.is_some_and(Term::is_over)
            && !self.is_succeeded
            && !*self.candidate.is_stopping.borrow()
        {
            let began = Instant::now();
            if let Some(members) = self.members() {
                self.set_ports(&members);
                let readings = self.read(&members.model).await;
                self.publish_paces();
                for (name, reports) in readings {
                    self.balance(&name, &reports, &members.model).await;
                }
            }
            sleep(READ_EVERY.saturating_sub(began.elapsed())).await;
        }
    }

    fn set_ports(&mut self, members: &Members) {
        let port = self.candidate.agent_port;
        self.ports
            .retain(|engine, _| members.engines.contains(engine));
        for engine in &members.engines {
            self.ports
                .entry(*engine)
                .or_insert_with(|| Port::new(*engine, port));
        }
    }

    /// Tells this entry and, through it, its peers which engines are slow.
    fn publish_paces(&self) {
        let groups = self.groups.values();
        let paces = groups.flat_map(|group| group.engines.iter().zip(&group.paces));
        let slow: Paces = paces
            .filter(|(_, pace)| **pace > USUAL_PACE)
            .map(|(engine, pace)| (*engine, *pace))
            .collect();
        self.candidate.paces.send_if_modified(|current| {
            let is_changed = current.as_ref() != Some(&slow);
            *current = Some(slow);
            is_changed
        });
    }

    /// Reads all engines; gives the reports by group and rank.
    async fn read(&mut self, model: &ExpertModel) -> IndexMap<String, Vec<Option<RankReport>>> {
        let fence = self.fence;
        let fence_peers = self.fence_peers();
        let ports = self.ports.values_mut();
        let answers = join_all(ports.map(|port| port.read(fence, &fence_peers))).await;
        self.heed_fences(answers.iter().map(|(answer, _)| answer));
        let engines = self.ports.keys().copied();
        let mut ranks_of: IndexMap<String, Vec<Option<RankReading>>> = IndexMap::new();
        for (engine, (answer, counts)) in engines.zip(answers) {
            let Some(report) = answer.report else {
                continue;
            };
            let rank = report.rank;
            let ranks = ranks_of.entry(report.group.clone()).or_default();
            let size = report.size.max(rank + 1);
            if ranks.len() < size {
                ranks.resize_with(size, || None);
            }
            ranks[rank] = Some(RankReading {
                engine,
                report,
                counts,
            });
        }
        let mut reports = IndexMap::new();
        for (name, ranks) in ranks_of {
            let of_group = ranks.iter().map(|rank| Some(rank.as_ref()?.report.clone()));
            reports.insert(name.clone(), of_group.collect());
            self.take_reading(name, ranks, model);
        }
        reports
    }

    /// Agents that know the fencing number, in random order; none while nobody
    /// asks for them.
    fn fence_peers(&self) -> Vec<SocketAddr> {
        let is_asked_for = self.ports.values().any(Port::lacks_fence);
        if !is_asked_for {
            return Vec::new();
        }
        let knowing = self.ports.values().filter(|port| !port.lacks_fence());
        let mut addresses: Vec<SocketAddr> = knowing.map(Port::address).collect();
        addresses.shuffle(&mut rand::rng());
        addresses
    }

    fn take_reading(&mut self, name: String, ranks: Vec<Option<RankReading>>, model: &ExpertModel) {
        let size = ranks.len();
        let group = self
            .groups
            .entry(name)
            .or_insert_with(|| Group::new(size, model));
        let pace = |rank: &Option<RankReading>| rank.as_ref().map_or(1.0, |it| it.report.pace);
        group.paces = ranks.iter().map(pace).collect();
        if ranks.iter().all(Option::is_some) {
            let engines = ranks.iter().flatten().map(|rank| rank.engine);
            group.engines = engines.collect();
        }
        let counts = ranks.into_iter().map(|rank| rank?.counts);
        group.tracker.observe(counts.collect());
    }

    /// Asks the agents of some engines; `question` says what by position.
    pub(crate) async fn ask(
        &mut self,
        engines: &[SocketAddr],
        question: impl Fn(usize) -> Question,
    ) -> Vec<Answer> {
        let fence = self.fence;
        let questions: Vec<Question> = (0..engines.len())
            .map(|rank| Question {
                fence,
                ..question(rank)
            })
            .collect();
        // Each port makes one call at a time, so they are taken out for the
        // time of the question.
        let mut taken: Vec<Option<Port>> = engines
            .iter()
            .map(|engine| self.ports.swap_remove(engine))
            .collect();
        let asked = taken.iter_mut().zip(&questions).map(ask_port);
        let answers = join_all(asked).await;
        for (engine, port) in engines.iter().zip(taken) {
            if let Some(port) = port {
                self.ports.insert(*engine, port);
            }
        }
        self.heed_fences(answers.iter());
        answers
    }

    /// Notes whether an agent has named a later leader.
    fn heed_fences<'a>(&mut self, mut answers: impl Iterator<Item = &'a Answer>) {
        if let Some(later) = answers.find_map(|answer| answer.fenced_by) {
            log::info!(fence = self.fence, later; "an agent has heard of a later leader");
            self.is_succeeded = true;
        }
    }

    /// Goes on with what is under way in a group, or changes its map if a
    /// better one pays.
    async fn balance(&mut self, name: &str, reports: &[Option<RankReport>], model: &ExpertModel) {
        let Some(group) = self.groups.get_mut(name) else {
            return;
        };
        let is_whole = reports.iter().all(Option::is_some);
        if !group.has_all_agents {
            group.has_all_agents = is_whole;
            return;
        }
        let engines = group.engines.clone();
        match next_step(reports, group.newest) {
            Step::Wait => {}
            Step::Give(_) | Step::Renew { .. } => self.resolve(name, &engines, None).await,
            Step::Idle { epoch, .. } if self.awaits_hold(name, epoch, reports) => {
                self.finish_hold(name, &engines, epoch).await;
            }
            Step::Idle { epoch, version } => {
                let state = (epoch, version);
                let is_known = self.knows_map(name, state);
                if !is_known && !self.learn_map(name, &engines, state).await {
                    return;
                }
                if let Some(adapted) = self.plan(name, model) {
                    self.switch(name, &engines, epoch, adapted).await;
                }
            }
        }
    }

    fn knows_map(&self, name: &str, state: (Epoch, Version)) -> bool {
        let known = self.groups.get(name).and_then(|group| group.map.as_ref());
        known.is_some_and(|(epoch, version, _)| (*epoch, *version) == state)
    }

    /// Learns the map of a group in which nothing is under way; returns whether
    /// it is known now.
    async fn learn_map(
        &mut self,
        name: &str,
        engines: &[SocketAddr],
        state: (Epoch, Version),
    ) -> bool {
        let (map, reports) = self.read_map(engines).await;
        let (epoch, version) = state;
        // A switch between the two readings would mix two maps.
        let is_same = next_step(&reports, 0) == Step::Idle { epoch, version };
        match (map, self.groups.get_mut(name)) {
            (Some(map), Some(group)) if is_same => {
                group.map = Some((epoch, version, map));
                true
            }
            _ => false,
        }
    }

    /// Learns the map of a group in which something is under way. The experts
    /// that a rank holds do not change before the held pass begins.
    pub(crate) async fn learn_held_map(
        &mut self,
        name: &str,
        engines: &[SocketAddr],
        epoch: Epoch,
    ) {
        let (map, reports) = self.read_map(engines).await;
        let version = reports.iter().flatten().map(|report| report.version).next();
        if let (Some(map), Some(version), Some(group)) = (map, version, self.groups.get_mut(name)) {
            log::info!(group = name, version; "the map of a held group is known");
            group.map = Some((epoch, version, map));
        }
    }

    /// Reads which experts each rank holds, and a report of each after it.
    async fn read_map(&mut self, engines: &[SocketAddr]) -> (Option<Map>, Vec<Option<RankReport>>) {
        let question = |_| Question {
            wants_experts: true,
            ..Question::default()
        };
        let answers = self.ask(engines, question).await;
        let ranks: Option<Vec<Vec<Vec<u16>>>> = answers
            .iter()
            .map(|answer| answer.experts.clone())
            .collect();
        (ranks.map(|ranks| by_set(&ranks)), reports(answers))
    }

    fn plan(&self, name: &str, model: &ExpertModel) -> Option<Adapted> {
        let group = self.groups.get(name)?;
        let (_, _, map) = group.map.as_ref()?;
        let demand = group.tracker.demand()?;
        let cost = CopyCost {
            expert_mb: model.expert_mb,
            copy_ms: model.copy_ms(),
        };
        let ranks = group.paces.len();
        let limits = Limits::for_group(model.places, model.new_in_set, cost, ranks);
        let load = Load {
            demand,
            paces: &group.paces,
        };
        let adapted = adapt(map, &load, &limits);
        let gain = 1.0 - adapted.skew_after / adapted.skew_before.max(f64::MIN_POSITIVE);
        (gain >= LEAST_GAIN).then_some(adapted)
    }

    /// The time that a rank takes to copy that many experts.
    pub(crate) fn copy_time(&self, experts: usize) -> Duration {
        let model = self.members().map(|members| members.model);
        let copy_ms = model.map_or(0.0, |model| model.copy_ms());
        #[allow(clippy::cast_precision_loss)] // a few dozen
        let total_ms = copy_ms * experts as f64;
        Duration::from_secs_f64(total_ms.min(MOST_COPY_MS) / 1_000.0)
    }

    /// The pace of the group's slowest engine, for the logs.
    pub(crate) fn slowest(&self, name: &str) -> f64 {
        let paces = self
            .groups
            .get(name)
            .map(|group| group.paces.iter().copied());
        paces.into_iter().flatten().fold(1.0, f64::max)
    }
}

async fn ask_port((port, question): (&mut Option<Port>, &Question)) -> Answer {
    match port {
        Some(port) => port.ask(question).await,
        None => Answer::default(),
    }
}

pub(crate) fn reports(answers: Vec<Answer>) -> Vec<Option<RankReport>> {
    answers.into_iter().map(|answer| answer.report).collect()
}

/// Turns the ranks' experts by set into sets of ranks.
fn by_set(ranks: &[Vec<Vec<u16>>]) -> Map {
    let sets = ranks.first().map_or(0, Vec::len);
    let set = |index: usize| {
        let of_rank = |rank: &Vec<Vec<u16>>| rank.get(index).cloned().unwrap_or_default();
        ranks.iter().map(of_rank).collect()
    };
    (0..sets).map(set).collect()
}
