//! One map in every pass, with engines that keep no promise but their orders.
//!
//! The engines of a group know four orders. *Prepare* copies the experts of a
//! new map beside those in use. *Hold* keeps the whole group from beginning a
//! pass. *Arm* makes a rank switch as a pass begins. *Go* ends a hold. An order
//! may get no answer and be carried out seconds later, after newer ones.
//! Engines keep no fencing numbers.
//!
//! The agents beside them do: an agent relays nothing of a leader whose fencing
//! number is lower than one it has seen. A new leader has its number written to
//! the store, where an agent that starts reads it, and then asks every agent.
//! Once all have answered, no order of a former leader begins any more, and
//! what a former leader had seen before is still to be seen.
//!
//! A switch goes forward only:
//!
//! 1. Every rank prepares version V. Versions contain the fencing number, so no
//!    two leaders give one version two contents.
//! 2. One rank holds before pass S. Nothing is armed until a report shows the
//!    hold, and V prepared at every rank. No newer version is prepared until the
//!    hold was seen or S has begun without it.
//! 3. Every rank is armed with (V, S). Nobody disarms, and nobody releases the
//!    hold, until reports show every rank armed.
//! 4. Go.
//!
//! [`next_step`] reads off the reports where a switch stands, so any leader can
//! go on with it, its own or not, and the store is not needed for it: maps
//! follow the demand also while the store is down. A hold that is found without
//! a common prepared map, such as one that was carried out late, is put to use:
//! a new version is prepared everywhere and armed for its pass. Releasing it
//! instead would not be safe, since that order may itself come late, when a
//! successor has begun to arm.
//!
//! An order that comes late finds its pass begun, its version not higher, or
//! its epoch over, and is refused.

use serde::{Deserialize, Serialize};

/// A version of a group's expert map; only ever grows within an epoch.
pub type MapVersion = u64;

/// A pass of a group, counted from its start.
pub type Pass = u64;

/// One life of a group, from its forming to its break.
pub type Epoch = u64;

/// The experts of each set and rank.
pub type ExpertMap = Vec<Vec<Vec<u16>>>;

/// What a rank is armed with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ArmedSwitch {
    /// The version it switches to.
    pub version: MapVersion,
    /// The pass from which on.
    pub pass: Pass,
}

/// What an engine tells of itself and its rank.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RankReport {
    /// Unix time of the engine's start in milliseconds, if it tells it.
    pub started_unix_ms: Option<u64>,
    /// The group's name.
    pub group: String,
    /// The group's life.
    pub epoch: Epoch,
    /// The rank within the group.
    pub rank: usize,
    /// Ranks of the group.
    pub size: usize,
    /// Whether the group runs.
    #[serde(rename = "is_open")]
    pub is_group_running: bool,
    /// The last pass begun.
    pub pass: Pass,
    /// The version in use.
    pub version: MapVersion,
    /// The version copied and ready, if any.
    pub prepared: Option<MapVersion>,
    /// What the rank is armed with, if anything.
    pub armed: Option<ArmedSwitch>,
    /// The pass that the rank keeps from beginning, if any.
    #[serde(rename = "held")]
    pub paused_before: Option<Pass>,
    /// Generations that run.
    pub running: u32,
    /// Generations that wait.
    pub waiting: u32,
    /// How slow the engine is; over 1 is slower than usual.
    #[serde(rename = "pace")]
    pub slowdown: f64,
}

/// An order to a rank. It is refused in any other epoch.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RankCommand {
    /// Copy the experts of a map.
    Prepare {
        /// The group's life.
        epoch: Epoch,
        /// The new version; higher than any the rank has had.
        version: MapVersion,
        /// Its content.
        map: ExpertMap,
    },
    /// Do not begin the pass.
    #[serde(rename = "Hold")]
    Pause {
        /// The group's life.
        epoch: Epoch,
        /// The pass.
        pass: Pass,
    },
    /// Switch as the pass begins.
    Arm {
        /// The group's life.
        epoch: Epoch,
        /// The version to switch to.
        version: MapVersion,
        /// The pass.
        pass: Pass,
    },
    /// The pass may begin.
    #[serde(rename = "Go")]
    Release {
        /// The group's life.
        epoch: Epoch,
        /// The pass.
        pass: Pass,
    },
}

impl RankCommand {
    /// Whether the order lets a pass begin.
    #[must_use]
    pub fn is_release(&self) -> bool {
        matches!(self, Self::Release { .. })
    }
}

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CommandOutcome {
    /// It has begun, or the state holds already.
    Accepted,
    /// The engine refused it.
    Refused,
    /// No answer came; it may be carried out now, later or never.
    Unknown,
}

/// What is to be done about a group, by the reports of its ranks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SwitchStep {
    /// Nothing is under way; all ranks have this version.
    Idle {
        /// The group's life.
        epoch: Epoch,
        /// The version in use.
        version: MapVersion,
    },
    /// Give these orders, by rank, and read the reports again.
    SendCommands(Vec<(usize, RankCommand)>),
    /// A hold has no common prepared map: prepare a new version at every rank,
    /// or the same again if one is on its way.
    PrepareNewVersion {
        /// The group's life.
        epoch: Epoch,
    },
    /// Read the reports again.
    Wait,
}

/// Where a group stands, by a report of each rank that was read after every
/// agent had answered this leader. `newest` is the newest version that this
/// leader has had prepared; 0 for none.
///
/// An older version is not armed, though every rank may have it: the newer one
/// may be on its way to some of them, and a rank that has it can't be armed
/// with the older one any more.
#[must_use]
pub fn next_step(reports: &[Option<RankReport>], newest: MapVersion) -> SwitchStep {
    let Some(reports) = all_of_one_life(reports) else {
        return SwitchStep::Wait;
    };
    let epoch = reports[0].epoch;
    let version = reports[0].version;
    let held = reports.iter().find_map(|report| report.paused_before);
    let is_armed = |report: &&RankReport| report.armed.is_some();
    let armed = reports.iter().copied().filter(is_armed).count();
    match held {
        None if armed > 0 => SwitchStep::Wait,
        None if reports.iter().any(|report| report.version != version) => SwitchStep::Wait,
        None => SwitchStep::Idle { epoch, version },
        Some(pass) => match common_next_version(&reports, pass).filter(|it| *it >= newest) {
            Some(_) if armed == reports.len() => SwitchStep::SendCommands(go(&reports, epoch)),
            Some(version) => SwitchStep::SendCommands(arm(&reports, epoch, version, pass)),
            None => SwitchStep::PrepareNewVersion { epoch },
        },
    }
}

/// The reports, if every rank has one and all are of one life of the group.
fn all_of_one_life(reports: &[Option<RankReport>]) -> Option<Vec<&RankReport>> {
    let reports: Option<Vec<&RankReport>> = reports.iter().map(Option::as_ref).collect();
    let reports = reports.filter(|reports| !reports.is_empty())?;
    let epoch = reports[0].epoch;
    let is_one = |report: &&RankReport| report.epoch == epoch && report.is_group_running;
    reports.iter().all(is_one).then_some(reports)
}

/// The version that every rank has prepared, or is armed with for the pass.
fn common_next_version(reports: &[&RankReport], pass: Pass) -> Option<MapVersion> {
    let next = |report: &RankReport| match report.armed {
        Some(armed) if armed.pass == pass => Some(armed.version),
        Some(_) => None,
        None => report.prepared.filter(|version| *version > report.version),
    };
    let first = next(reports[0])?;
    let is_common = |report: &&RankReport| next(report) == Some(first);
    reports.iter().all(is_common).then_some(first)
}

fn go(reports: &[&RankReport], epoch: Epoch) -> Vec<(usize, RankCommand)> {
    let ranks = reports.iter().enumerate();
    ranks
        .filter_map(|(rank, report)| {
            let pass = report.paused_before?;
            Some((rank, RankCommand::Release { epoch, pass }))
        })
        .collect()
}

fn arm(
    reports: &[&RankReport],
    epoch: Epoch,
    version: MapVersion,
    pass: Pass,
) -> Vec<(usize, RankCommand)> {
    let order = RankCommand::Arm {
        epoch,
        version,
        pass,
    };
    let ranks = reports.iter().enumerate();
    ranks
        .filter(|(_, report)| report.armed.is_none())
        .map(|(rank, _)| (rank, order.clone()))
        .collect()
}

/// Whether every rank is ready for a switch to `version`: prepared, in one
/// epoch, and with nothing left of an earlier switch.
#[must_use]
pub fn is_ready_to_switch(
    reports: &[Option<RankReport>],
    epoch: Epoch,
    version: MapVersion,
) -> bool {
    reports.iter().all(|report| {
        report.as_ref().is_some_and(|report| {
            report.epoch == epoch
                && report.is_group_running
                && report.prepared == Some(version)
                && report.armed.is_none()
                && report.paused_before.is_none()
        })
    })
}

/// Bits of a version that count within one controller's term.
const COUNT_BITS: u32 = 20;

/// The versions of one controller: higher than those of every controller with
/// a lower fencing number, whatever these still give.
#[derive(Clone, Copy, Debug)]
pub struct VersionSource {
    next: MapVersion,
}

impl VersionSource {
    /// The versions of the controller with that fencing number.
    #[must_use]
    pub fn new(fence: u64) -> Self {
        Self {
            next: (fence << COUNT_BITS) + 1,
        }
    }

    /// The next version; never the same twice.
    pub fn issue(&mut self) -> MapVersion {
        let version = self.next;
        self.next += 1;
        version
    }
}
