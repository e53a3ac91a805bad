//! Switches all ranks of a group to a new expert map at the same forward pass.
//!
//! Engines execute four commands. *Prepare* copies the experts of a new map next
//! to those in use. *Pause* keeps the whole group from beginning a given pass.
//! *Arm* makes a rank switch to the prepared map when a given pass begins.
//! *Release* ends a pause. A command may get no reply and still be executed
//! seconds later, after newer commands. Engines do not check fencing tokens.
//!
//! The agents beside the engines do: an agent relays nothing from a leader whose
//! fencing token is lower than the highest it has seen. A new leader writes its
//! token to the store, from which an agent reads it on startup, and then sends a
//! request to every agent. Once all agents have replied, no command of a
//! previous leader can start any more, and any state that a previous leader has
//! seen in the reports is still visible there.
//!
//! A switch only moves forward:
//!
//! 1. Every rank prepares version V. Versions contain the fencing token, so two
//!    leaders never use one version for two different maps.
//! 2. One rank pauses the group before pass S. No rank is armed until reports
//!    show the pause, and V prepared at every rank. No newer version is prepared
//!    until a report has shown the pause, or S has begun without it.
//! 3. Every rank is armed with (V, S). No rank is disarmed, and the pause is not
//!    released, until reports show every rank armed.
//! 4. The pause is released.
//!
//! [`next_step`] derives the progress of a switch from the reports alone. Any
//! leader can therefore continue a switch that another one started, and maps
//! follow the demand even if the store is unavailable. If the group is paused
//! but its ranks have no prepared version in common, for example because a pause
//! command was executed late, a new version is prepared at every rank and armed
//! for the paused pass. Releasing the pause instead would be unsafe: the release
//! may itself be executed late, after a successor has begun to arm ranks.
//!
//! Engines refuse a late command because its pass has already begun, its version
//! is not higher than one they have had, or its epoch is over.

use serde::{Deserialize, Serialize};

/// Version of a group's expert map. Increases strictly within an epoch.
pub type MapVersion = u64;

/// Number of a forward pass, counted from the start of the group.
pub type Pass = u64;

/// Number of the period from the formation of a group to its failure. A group
/// that forms again has a higher epoch.
pub type Epoch = u64;

/// The experts held for each layer set by each rank, as `map[set][rank]`.
pub type ExpertMap = Vec<Vec<Vec<u16>>>;

/// The switch that a rank is armed for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ArmedSwitch {
    /// The version to switch to.
    pub version: MapVersion,
    /// The first pass that uses this version.
    pub pass: Pass,
}

/// Status report of a model engine and its rank.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RankReport {
    /// Unix time of the engine's start in milliseconds, if the engine reports it.
    pub started_unix_ms: Option<u64>,
    /// The group's name.
    pub group: String,
    /// The current epoch of the group.
    pub epoch: Epoch,
    /// The rank within the group.
    pub rank: usize,
    /// Number of ranks in the group.
    pub size: usize,
    /// Whether the group is complete and runs passes.
    #[serde(rename = "is_open")]
    pub is_group_running: bool,
    /// The last pass begun.
    pub pass: Pass,
    /// The version in use.
    pub version: MapVersion,
    /// The version whose experts are copied and ready for a switch, if any.
    pub prepared: Option<MapVersion>,
    /// The switch that the rank is armed for, if any.
    pub armed: Option<ArmedSwitch>,
    /// The pass that the rank keeps the group from beginning, if any.
    #[serde(rename = "held")]
    pub paused_before: Option<Pass>,
    /// Generations in progress.
    pub running: u32,
    /// Generations queued.
    pub waiting: u32,
    /// Duration of the engine's work as a multiple of the usual one. Above 1 if the
    /// engine is slower than usual.
    #[serde(rename = "pace")]
    pub slowdown: f64,
}

/// A command to a rank. Engines refuse commands of any other epoch.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RankCommand {
    /// Copies the experts of a map.
    Prepare {
        /// The epoch in which the command is valid.
        epoch: Epoch,
        /// The new version. Higher than any that the rank has had.
        version: MapVersion,
        /// The experts of all layer sets and ranks.
        map: ExpertMap,
    },
    /// Keeps the whole group from beginning a pass.
    #[serde(rename = "Hold")]
    Pause {
        /// The epoch in which the command is valid.
        epoch: Epoch,
        /// The pass that must not begin.
        pass: Pass,
    },
    /// Makes the rank switch to the prepared map when a pass begins.
    Arm {
        /// The epoch in which the command is valid.
        epoch: Epoch,
        /// The version to switch to.
        version: MapVersion,
        /// The first pass that uses this version.
        pass: Pass,
    },
    /// Ends a pause, so that the pass may begin.
    #[serde(rename = "Go")]
    Release {
        /// The epoch in which the command is valid.
        epoch: Epoch,
        /// The pass before which the group is paused.
        pass: Pass,
    },
}

impl RankCommand {
    /// Whether the command ends a pause.
    #[must_use]
    pub fn is_release(&self) -> bool {
        matches!(self, Self::Release { .. })
    }
}

/// Outcome of a command, as known to its sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CommandOutcome {
    /// The engine has begun to execute the command, or had already executed it.
    Accepted,
    /// The engine refused the command.
    Refused,
    /// The engine did not reply. It may execute the command now, later or never.
    Unknown,
}

/// The next action of a group's leader, as derived from the reports of its ranks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SwitchStep {
    /// No switch is in progress, and all ranks use the same version.
    Idle {
        /// The current epoch of the group.
        epoch: Epoch,
        /// The version in use.
        version: MapVersion,
    },
    /// Send these commands, each to the given rank, and read the reports again.
    SendCommands(Vec<(usize, RankCommand)>),
    /// The group is paused, but the ranks have no prepared version in common.
    /// Prepare a new version at every rank, or repeat the prepare command in
    /// progress.
    PrepareNewVersion {
        /// The current epoch of the group.
        epoch: Epoch,
    },
    /// No action is possible yet. Read the reports again.
    Wait,
}

/// Derives the next action from one report per rank. All reports must have been
/// read after every agent had replied to this leader. `newest` is the newest
/// version for which this leader has sent prepare commands, or 0.
///
/// A version older than `newest` is not armed, even if every rank has prepared
/// it: the prepare command of the newer one may still arrive at some ranks, and
/// a rank that has executed it can no longer be armed with the older version.
#[must_use]
pub fn next_step(reports: &[Option<RankReport>], newest: MapVersion) -> SwitchStep {
    let Some(reports) = all_in_one_epoch(reports) else {
        return SwitchStep::Wait;
    };
    let epoch = reports[0].epoch;
    let version = reports[0].version;
    let paused_pass = reports.iter().find_map(|report| report.paused_before);
    let is_armed = |report: &&RankReport| report.armed.is_some();
    let armed_ranks = reports.iter().copied().filter(is_armed).count();
    match paused_pass {
        None if armed_ranks > 0 => SwitchStep::Wait,
        None if reports.iter().any(|report| report.version != version) => SwitchStep::Wait,
        None => SwitchStep::Idle { epoch, version },
        Some(pass) => {
            match common_next_version(&reports, pass).filter(|version| *version >= newest) {
                Some(_) if armed_ranks == reports.len() => {
                    SwitchStep::SendCommands(release_commands(&reports, epoch))
                }
                Some(version) => {
                    SwitchStep::SendCommands(arm_commands(&reports, epoch, version, pass))
                }
                None => SwitchStep::PrepareNewVersion { epoch },
            }
        }
    }
}

/// The reports, if every rank has one and all belong to the same running epoch.
fn all_in_one_epoch(reports: &[Option<RankReport>]) -> Option<Vec<&RankReport>> {
    let reports: Option<Vec<&RankReport>> = reports.iter().map(Option::as_ref).collect();
    let reports = reports.filter(|reports| !reports.is_empty())?;
    let epoch = reports[0].epoch;
    let is_in_epoch = |report: &&RankReport| report.epoch == epoch && report.is_group_running;
    reports.iter().all(is_in_epoch).then_some(reports)
}

/// The version that every rank has either prepared or is armed with for `pass`.
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

fn release_commands(reports: &[&RankReport], epoch: Epoch) -> Vec<(usize, RankCommand)> {
    let ranks = reports.iter().enumerate();
    ranks
        .filter_map(|(rank, report)| {
            let pass = report.paused_before?;
            Some((rank, RankCommand::Release { epoch, pass }))
        })
        .collect()
}

fn arm_commands(
    reports: &[&RankReport],
    epoch: Epoch,
    version: MapVersion,
    pass: Pass,
) -> Vec<(usize, RankCommand)> {
    let command = RankCommand::Arm {
        epoch,
        version,
        pass,
    };
    let ranks = reports.iter().enumerate();
    ranks
        .filter(|(_, report)| report.armed.is_none())
        .map(|(rank, _)| (rank, command.clone()))
        .collect()
}

/// Whether every rank is ready for a switch to `version`: it has prepared the
/// version in this epoch, and it is neither armed nor paused by an earlier
/// switch.
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

/// Low bits of a version that count the versions of one leader. The fencing
/// token is in the bits above.
const COUNTER_BITS: u32 = 20;

/// Issues the map versions of one leader. They are higher than all versions of
/// leaders with a lower fencing token, including those issued later.
#[derive(Clone, Copy, Debug)]
pub struct VersionSource {
    next: MapVersion,
}

impl VersionSource {
    /// Creates the source for the leader with the fencing token `fence`.
    #[must_use]
    pub fn new(fence: u64) -> Self {
        Self {
            next: (fence << COUNTER_BITS) + 1,
        }
    }

    /// Returns the next version. Never returns the same version twice.
    pub fn issue(&mut self) -> MapVersion {
        let version = self.next;
        self.next += 1;
        version
    }
}
