//! One term of leading the groups of a service.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use berylhook_experts::adapt::{Adapted, Limits, Load, adapt};
use berylhook_experts::demand::DemandTracker;
use berylhook_experts::switching::{
    Epoch, Map, OrderAnswer, Progress, RankOrder, RankReport, Switch, Version, VersionSource,
    is_ready,
};
use berylhook_platform::store::{Put, Store, StoreError};
use berylhook_relay::{Answer, Question};
use berylhook_traffic::configuration::ExpertModel;
use futures_util::future::join_all;
use indexmap::IndexMap;
use tokio::time::sleep;

use crate::election::{Term, stand};
use crate::ports::{Fallback, Port};
use crate::{Candidate, Members};

/// Time between two readings of the counts: about a pass. A shift of
/// demand is seen at the first reading after it.
const READ_EVERY: Duration = Duration::from_millis(60);

/// Time between two looks at whether all ranks have copied their experts.
const COPY_CHECK: Duration = Duration::from_millis(15);

/// Longest wait for the copies. One expert takes about a tenth of a second.
const COPY_TIMEOUT: Duration = Duration::from_millis(1_500);

/// An order without an answer is given again after this long.
const REPEAT_AFTER: Duration = Duration::from_millis(100);

/// Passes between the last one begun and the one that switches, beside those
/// that begin while the switch is recorded: enough for the hold to arrive.
const PASSES_AHEAD: u64 = 2;

/// Most passes ahead for the sake of a slow store. A switch later than this is
/// better planned anew.
const MOST_PASSES_AHEAD: u64 = 12;

/// Shortest pass assumed: that of engines with nothing to do.
const SHORTEST_PASS: Duration = Duration::from_millis(20);

/// Pause between two looks at a switch that is under way, and the longest one
/// while it makes no progress.
const SWITCH_CHECK_MIN: Duration = Duration::from_millis(3);
const SWITCH_CHECK_MAX: Duration = Duration::from_millis(50);

/// Part of the skew that a new map has to save.
///
/// Copying makes passes a seventh longer for a tenth of a second; what is
/// gained lasts for seconds. Smaller gains are lost in the noise of readings.
const LEAST_GAIN: f64 = 0.12;

/// Part of the skew that each copy has to save.
const COPY_PRICE: f64 = 0.016;

/// New experts on one rank for one change. Copies of one rank follow each
/// other, so a second one doubles the time until the change is in force.
const NEW_ON_RANK: usize = 1;

/// Wait before standing for election again while somebody leads or the store
/// does not answer; a change of the leader's key ends it early.
const STAND_EVERY: Duration = Duration::from_secs(5);
const STORE_RETRY: Duration = Duration::from_millis(500);

/// Engines' paces by address; those of a usual pace are left out.
pub type Paces = IndexMap<SocketAddr, f64>;

/// A pace that differs by less from the usual one is left out.
const USUAL_PACE: f64 = 1.15;

/// Stands for election and leads one service, for as long as the process lives.
pub(crate) async fn lead(mut candidate: Candidate, service: Arc<str>) {
    let key: Arc<str> = format!("berylhook/leader/{service}").into();
    let mut store = Store::new(candidate.store);
    while !*candidate.is_stopping.borrow() {
        let stood = stand(&mut store, candidate.store, &key, &candidate.name).await;
        match stood {
            Ok(Some(term)) => {
                log::info!(service = &*service, fence = term.fence; "leading the service's groups");
                let mut controller = Controller::new(&candidate, Arc::clone(&service), &term);
                controller.run(&term).await;
                log::info!(service = &*service, fence = term.fence; "no longer leading");
                candidate.paces.send_replace(None);
                term.close(&mut store).await;
            }
            Ok(None) => {
                let _ = tokio::time::timeout(STAND_EVERY, candidate.own_keys.changed()).await;
                sleep(spread(STORE_RETRY / 5)).await;
            }
            Err(error) => {
                log::debug!(reason:% = error; "not standing for election");
                sleep(spread(STORE_RETRY)).await;
            }
        }
    }
}

/// Between half and one and a half of `wait`, so that candidates do not call
/// the store all at once.
fn spread(wait: Duration) -> Duration {
    wait.mul_f64(0.5 + rand::random::<f64>())
}

/// What is known of one group.
struct Group {
    engines: Vec<SocketAddr>,
    /// How slow each rank's engine is; over 1 is slower than usual.
    paces: Vec<f64>,
    tracker: DemandTracker,
    /// The map in use, and its epoch and version.
    map: Option<(Epoch, Version, Map)>,
    /// Revision of the group's record; `None` until this leader has taken it
    /// over.
    record_revision: Option<u64>,
}

struct Controller {
    candidate: Candidate,
    service: Arc<str>,
    store: Store,
    versions: VersionSource,
    ports: IndexMap<SocketAddr, Port>,
    groups: IndexMap<String, Group>,
    /// How long the store took for the last record.
    record_took: Duration,
}

impl Controller {
    fn new(candidate: &Candidate, service: Arc<str>, term: &Term) -> Self {
        Self {
            candidate: candidate.clone(),
            service,
            store: Store::new(candidate.store),
            versions: VersionSource::new(term.fence),
            ports: IndexMap::new(),
            groups: IndexMap::new(),
            record_took: Duration::ZERO,
        }
    }

    fn members(&self) -> Option<Members> {
        let members = self.candidate.members.borrow();
        members
            .iter()
            .find(|it| it.service == self.service)
            .cloned()
    }

    async fn run(&mut self, term: &Term) {
        while term.holds() && !*self.candidate.is_stopping.borrow() {
            let began = Instant::now();
            if let Some(members) = self.members() {
                self.set_ports(&members);
                self.read(&members.model).await;
                self.publish_paces();
                let names: Vec<String> = self.groups.keys().cloned().collect();
                for name in names {
                    self.balance(&name, &members.model, term).await;
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

    fn publish_paces(&self) {
        let groups = self.groups.values();
        let paces = groups.flat_map(|group| group.engines.iter().zip(&group.paces));
        let slow: Paces = paces
            .filter(|(_, pace)| **pace > USUAL_PACE)
            .map(|(engine, pace)| (*engine, *pace))
            .collect();
        let paces = &self.candidate.paces;
        paces.send_if_modified(|current| {
            let is_changed = current.as_ref() != Some(&slow);
            *current = Some(slow);
            is_changed
        });
    }

    /// Reads all engines and sorts them into their groups.
    async fn read(&mut self, model: &ExpertModel) {
        let question = Question {
            wants_counts: true,
            ..Question::default()
        };
        let engines: Vec<SocketAddr> = self.ports.keys().copied().collect();
        let asked = self
            .ports
            .values_mut()
            .map(|port| port.ask(&question, Fallback::None));
        let answers = join_all(asked).await;
        let mut readings: IndexMap<String, Vec<Option<(SocketAddr, Answer)>>> = IndexMap::new();
        for (engine, answer) in engines.into_iter().zip(answers) {
            let Some(report) = &answer.report else {
                continue;
            };
            let ranks = readings.entry(report.group.clone()).or_default();
            let rank = report.rank;
            if ranks.len() < report.size.max(rank + 1) {
                ranks.resize_with(report.size.max(rank + 1), || None);
            }
            ranks[rank] = Some((engine, answer));
        }
        for (name, ranks) in readings {
            self.take_reading(name, ranks, model);
        }
    }

    fn take_reading(
        &mut self,
        name: String,
        ranks: Vec<Option<(SocketAddr, Answer)>>,
        model: &ExpertModel,
    ) {
        let size = ranks.len();
        let group = self.groups.entry(name).or_insert_with(|| Group {
            engines: Vec::new(),
            paces: Vec::new(),
            tracker: DemandTracker::new(size, model.sets, model.experts),
            map: None,
            record_revision: None,
        });
        let pace = |rank: &Option<(SocketAddr, Answer)>| {
            let report = rank.as_ref().and_then(|(_, answer)| answer.report.as_ref());
            report.map_or(1.0, |report| report.pace)
        };
        group.paces = ranks.iter().map(pace).collect();
        let is_whole = ranks.iter().all(Option::is_some);
        if is_whole {
            let engines = ranks.iter().flatten().map(|(engine, _)| *engine);
            group.engines = engines.collect();
        }
        let counts = ranks
            .into_iter()
            .map(|rank| rank.and_then(|(_, answer)| answer.counts));
        group.tracker.observe(counts.collect());
    }

    /// Asks the ranks of a group; each question goes to its rank.
    async fn ask(
        &mut self,
        engines: &[SocketAddr],
        question: impl Fn(usize) -> Question,
        fallback: Fallback,
    ) -> Vec<Answer> {
        let questions: Vec<Question> = (0..engines.len()).map(question).collect();
        // Each port makes one call at a time, so they are taken out for the
        // time of the question.
        let mut taken: Vec<Option<Port>> = engines
            .iter()
            .map(|engine| self.ports.shift_remove(engine))
            .collect();
        let asked = taken
            .iter_mut()
            .zip(&questions)
            .map(|(port, question)| async move {
                match port {
                    Some(port) => port.ask(question, fallback).await,
                    None => Answer::default(),
                }
            });
        let answers = join_all(asked).await;
        for (engine, port) in engines.iter().zip(taken) {
            if let Some(port) = port {
                self.ports.insert(*engine, port);
            }
        }
        answers
    }

    async fn balance(&mut self, name: &str, model: &ExpertModel, term: &Term) {
        let Some(group) = self.groups.get(name) else {
            return;
        };
        let engines = group.engines.clone();
        if engines.is_empty() {
            return;
        }
        if group.record_revision.is_none() {
            match self.take_over(name, &engines).await {
                Ok(()) => {}
                Err(error) => {
                    log::warn!(group = name, reason:% = error; "the group's record is not taken over");
                    return;
                }
            }
        }
        let answers = self
            .ask(&engines, |_| Question::default(), Fallback::None)
            .await;
        let reports: Vec<Option<RankReport>> = reports(answers);
        let Some(state) = common_state(&reports) else {
            return;
        };
        if !self.knows_map(name, state) && !self.learn_map(name, &engines, state).await {
            return;
        }
        let Some(adapted) = self.plan(name, model) else {
            return;
        };
        if term.holds() {
            self.switch(name, &engines, state.0, adapted).await;
        }
    }

    /// The pace of the group's slowest engine, for the logs.
    fn slowest(&self, name: &str) -> f64 {
        let paces = self
            .groups
            .get(name)
            .map(|group| group.paces.iter().copied());
        paces.into_iter().flatten().fold(1.0, f64::max)
    }

    fn record_key(&self, name: &str) -> Arc<str> {
        format!("berylhook/switch/{}/{name}", self.service).into()
    }

    /// Makes the group's record this leader's: a former leader can record no
    /// more, and what it had recorded is carried out.
    async fn take_over(&mut self, name: &str, engines: &[SocketAddr]) -> Result<(), StoreError> {
        let key = self.record_key(name);
        let item = self.store.item(&key).await?;
        let (value, expected_revision) = match item {
            Some(item) => (item.value, item.revision),
            None => (b"null".to_vec(), 0),
        };
        let recorded: Option<Switch> = serde_json::from_slice(&value).unwrap_or_else(|error| {
            log::error!(group = name, reason:% = error; "the group's record cannot be read");
            None
        });
        let put = Put {
            key,
            value,
            expected_revision,
            lease_id: 0,
        };
        let revision = self.store.commit(&[put]).await?;
        if let Some(switch) = recorded {
            self.complete(name, engines, switch).await;
        }
        if let Some(group) = self.groups.get_mut(name) {
            group.record_revision = Some(revision);
        }
        Ok(())
    }

    fn knows_map(&self, name: &str, state: (Epoch, Version)) -> bool {
        let known = self.groups.get(name).and_then(|group| group.map.as_ref());
        known.is_some_and(|(epoch, version, _)| (*epoch, *version) == state)
    }

    async fn learn_map(
        &mut self,
        name: &str,
        engines: &[SocketAddr],
        state: (Epoch, Version),
    ) -> bool {
        let question = |_| Question {
            wants_experts: true,
            ..Question::default()
        };
        let answers = self.ask(engines, question, Fallback::None).await;
        let experts: Option<Vec<Vec<Vec<u16>>>> = answers
            .iter()
            .map(|answer| answer.experts.clone())
            .collect();
        // A switch between the two readings would mix two maps.
        let is_same = common_state(&reports(answers)) == Some(state);
        match (experts, self.groups.get_mut(name)) {
            (Some(ranks), Some(group)) if is_same => {
                group.map = Some((state.0, state.1, by_set(&ranks)));
                true
            }
            _ => false,
        }
    }

    fn plan(&self, name: &str, model: &ExpertModel) -> Option<Adapted> {
        let group = self.groups.get(name)?;
        let (_, _, map) = group.map.as_ref()?;
        let demand = group.tracker.demand()?;
        let limits = Limits {
            places: model.places,
            new_in_set: model.new_in_set,
            new_on_rank: NEW_ON_RANK,
            copy_price: COPY_PRICE,
        };
        let load = Load {
            demand,
            paces: &group.paces,
        };
        let adapted = adapt(map, &load, &limits);
        let gain = 1.0 - adapted.skew_after / adapted.skew_before.max(f64::MIN_POSITIVE);
        (gain >= LEAST_GAIN).then_some(adapted)
    }

    /// Carries a map into force.
    async fn switch(&mut self, name: &str, engines: &[SocketAddr], epoch: Epoch, adapted: Adapted) {
        let began = Instant::now();
        let version = self.versions.issue();
        let prepared = self.prepare(engines, epoch, version, &adapted.map).await;
        let Some(reports) = prepared else {
            log::warn!(group = name, version; "a map was not copied in time");
            return;
        };
        let copied_ms = elapsed_ms(began);
        let last = reports.iter().flatten().map(|report| report.pass).max();
        let switch = Switch {
            epoch,
            version,
            pass: last.unwrap_or_default() + self.passes_ahead(),
            holder: 0,
        };
        if let Err(error) = self.record(name, &switch).await {
            log::warn!(group = name, version, reason:% = error; "a switch was not recorded");
            return;
        }
        let progress = self.complete(name, engines, switch).await;
        let is_switched = progress == Progress::Switched;
        log::info!(
            group = name,
            version,
            pass = switch.pass,
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
        let mut given: Vec<Option<Instant>> = vec![None; engines.len()];
        while began.elapsed() < COPY_TIMEOUT {
            let is_due = |rank: usize| match given[rank] {
                Some(at) => at.elapsed() >= REPEAT_AFTER,
                None => true,
            };
            let due: Vec<bool> = (0..engines.len()).map(is_due).collect();
            let question = |rank: usize| Question {
                orders: if due[rank] {
                    vec![order.clone()]
                } else {
                    Vec::new()
                },
                ..Question::default()
            };
            let answers = self.ask(engines, question, Fallback::None).await;
            for (rank, answer) in answers.iter().enumerate() {
                let is_prepared = answer
                    .report
                    .as_ref()
                    .is_some_and(|report| report.prepared == Some(version));
                match answer.orders.first() {
                    // Accepted once, it needs no repeat, however long it takes.
                    Some(OrderAnswer::Accepted) => given[rank] = Some(far_future()),
                    Some(OrderAnswer::Refused) if !is_prepared && given[rank].is_none() => {
                        return None;
                    }
                    Some(_) => given[rank] = Some(Instant::now()),
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

    /// Passes from the last one begun to the one that switches.
    ///
    /// The pass is fixed by the record, so it must not begin before the record
    /// is confirmed. With a store that answers in a quarter of a second every
    /// switch would come too late, and the map would never change.
    fn passes_ahead(&self) -> u64 {
        let during_record = self.record_took.as_millis() / SHORTEST_PASS.as_millis();
        let during_record = u64::try_from(during_record).unwrap_or(MOST_PASSES_AHEAD);
        (PASSES_AHEAD + during_record).min(MOST_PASSES_AHEAD)
    }

    /// Records a switch. Nothing irrevocable may be ordered before this has
    /// been confirmed.
    async fn record(&mut self, name: &str, switch: &Switch) -> Result<(), StoreError> {
        let key = self.record_key(name);
        let Some(group) = self.groups.get_mut(name) else {
            return Err(StoreError::Conflict);
        };
        // Whatever happens now, the record is another than the one known; if
        // it is not confirmed it has to be taken over again.
        let Some(expected_revision) = group.record_revision.take() else {
            return Err(StoreError::Conflict);
        };
        let put = Put {
            key,
            value: serde_json::to_vec(switch).expect("plain structures serialize"),
            expected_revision,
            lease_id: 0,
        };
        let began = Instant::now();
        let committed = self.store.commit(&[put]).await;
        self.record_took = began.elapsed();
        group.record_revision = Some(committed?);
        Ok(())
    }

    /// Carries a recorded switch to its end.
    ///
    /// There is no giving up: ranks that are armed and a group that is held
    /// can only go forward.
    async fn complete(&mut self, name: &str, engines: &[SocketAddr], switch: Switch) -> Progress {
        let began = Instant::now();
        let mut pause = SWITCH_CHECK_MIN;
        let answers = self
            .ask(engines, |_| Question::default(), Fallback::Engine)
            .await;
        let mut reports = reports(answers);
        loop {
            let orders = match switch.progress(&reports) {
                Progress::Give(orders) => orders,
                over => return over,
            };
            if orders.is_empty() {
                sleep(pause).await;
                pause = (pause * 2).min(SWITCH_CHECK_MAX);
            }
            if began.elapsed() > COPY_TIMEOUT {
                log::warn!(group = name, version = switch.version, after_ms = elapsed_ms(began); "a switch is still under way");
                sleep(pause).await;
            }
            let question = |rank: usize| Question {
                orders: orders
                    .iter()
                    .filter(|(to, _)| *to == rank)
                    .map(|(_, order)| order.clone())
                    .collect(),
                ..Question::default()
            };
            let answers = self.ask(engines, question, Fallback::Engine).await;
            reports = self::reports(answers);
        }
    }
}

fn elapsed_ms(since: Instant) -> u64 {
    u64::try_from(since.elapsed().as_millis()).unwrap_or(u64::MAX)
}

fn far_future() -> Instant {
    Instant::now() + COPY_TIMEOUT * 10
}

fn reports(answers: Vec<Answer>) -> Vec<Option<RankReport>> {
    answers.into_iter().map(|answer| answer.report).collect()
}

/// The epoch and version that all ranks have, if the group runs and nothing
/// is under way.
fn common_state(reports: &[Option<RankReport>]) -> Option<(Epoch, Version)> {
    let first = reports.first()?.as_ref()?;
    let is_common = reports.iter().all(|report| {
        report.as_ref().is_some_and(|report| {
            report.is_open
                && report.epoch == first.epoch
                && report.version == first.version
                && report.armed.is_none()
                && report.held.is_none()
        })
    });
    is_common.then_some((first.epoch, first.version))
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
