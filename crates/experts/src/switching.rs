//! One map in every pass, with engines that keep no promise but their orders.
//!
//! The engines of a group know four orders. *Prepare* copies the experts of a
//! new map beside those in use. *Hold* keeps the whole group from beginning a
//! pass. *Arm* makes a rank switch as a pass begins. *Go* ends a hold. An order
//! may get no answer and be carried out seconds later, after newer ones.
//! Engines keep no fencing numbers, and any process may give orders.
//!
//! A switch goes forward only:
//!
//! 1. Every rank prepares version V. Versions contain the controller's fencing
//!    number, so two controllers never give one version two contents.
//! 2. The controller *records* (epoch, V, pass S, holding rank) in the store by
//!    compare-and-swap. A successor changes the record before it gives any
//!    order, so a controller that was paused cannot record any more.
//! 3. The holding rank holds before S. Nothing is armed until a report shows
//!    the hold.
//! 4. Every rank is armed with (V, S). Nobody disarms, and nobody releases the
//!    hold, until reports show every rank armed.
//! 5. Go.
//!
//! What each step relies on stays true once it was seen: a hold stays until
//! go, a rank stays armed until S begins, and S, once begun, never begins
//! again. So reports may be old, and any number of controllers may carry out
//! the same record at once. An order that comes late finds its pass begun, its
//! version not higher, or its epoch over, and is refused. If S begins before
//! the hold was in place, nothing was armed, and the attempt is over.

use serde::{Deserialize, Serialize};

/// A version of a group's expert map; only ever grows within an epoch.
pub type Version = u64;

/// A pass of a group, counted from its start.
pub type Pass = u64;

/// One life of a group, from its forming to its break.
pub type Epoch = u64;

/// The experts of each set and rank.
pub type Map = Vec<Vec<Vec<u16>>>;

/// What a rank is armed with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Armed {
    /// The version it switches to.
    pub version: Version,
    /// The pass from which on.
    pub pass: Pass,
}

/// What an engine tells of itself and its rank.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RankReport {
    /// The group's name.
    pub group: String,
    /// The group's life.
    pub epoch: Epoch,
    /// The rank within the group.
    pub rank: usize,
    /// Ranks of the group.
    pub size: usize,
    /// Whether the group runs.
    pub is_open: bool,
    /// The last pass begun.
    pub pass: Pass,
    /// The version in use.
    pub version: Version,
    /// The version copied and ready, if any.
    pub prepared: Option<Version>,
    /// What the rank is armed with, if anything.
    pub armed: Option<Armed>,
    /// The pass that the rank keeps from beginning, if any.
    pub held: Option<Pass>,
    /// Generations that run.
    pub running: u32,
    /// Generations that wait.
    pub waiting: u32,
    /// How slow the engine is; over 1 is slower than usual.
    pub pace: f64,
}

/// An order to a rank. It is refused in any other epoch.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RankOrder {
    /// Copy the experts of a map.
    Prepare {
        /// The group's life.
        epoch: Epoch,
        /// The new version; higher than any the rank has had.
        version: Version,
        /// Its content.
        map: Map,
    },
    /// Do not begin the pass.
    Hold {
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
        version: Version,
        /// The pass.
        pass: Pass,
    },
    /// The pass may begin.
    Go {
        /// The group's life.
        epoch: Epoch,
        /// The pass.
        pass: Pass,
    },
}

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderAnswer {
    /// It has begun, or the state holds already.
    Accepted,
    /// The engine refused it.
    Refused,
    /// No answer came; it may be carried out now, later or never.
    Unknown,
}

/// A switch that has been decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Switch {
    /// The group's life.
    pub epoch: Epoch,
    /// The version to switch to.
    pub version: Version,
    /// The pass from which on.
    pub pass: Pass,
    /// The rank that holds.
    pub holder: usize,
}

/// What is to be done about a recorded switch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Progress {
    /// Give these orders, by rank, and read the reports again.
    Give(Vec<(usize, RankOrder)>),
    /// The pass has begun with the new map.
    Switched,
    /// The pass has begun without the new map, or the group has formed anew.
    Void,
}

impl Switch {
    /// What to do next, by the newest report of each rank.
    ///
    /// A rank without a report counts as neither holding nor armed.
    #[must_use]
    pub fn progress(&self, reports: &[Option<RankReport>]) -> Progress {
        let known = || reports.iter().flatten();
        if known().any(|report| report.epoch > self.epoch) {
            return Progress::Void;
        }
        let current = || known().filter(|report| report.epoch == self.epoch);
        if current().any(|report| report.version == self.version) {
            return Progress::Switched;
        }
        if current().any(|report| report.pass >= self.pass) {
            return Progress::Void;
        }
        let unarmed: Vec<usize> = self.unarmed(reports);
        let held = self.is_held(reports);
        match (unarmed.is_empty(), held) {
            (true, true) => Progress::Give(vec![(self.holder, self.go())]),
            (true, false) => Progress::Give(Vec::new()),
            (false, true) => {
                let arm = |rank| (rank, self.arm());
                Progress::Give(unarmed.into_iter().map(arm).collect())
            }
            // A rank that is armed proves that the hold was in place, and it
            // has not been released while a rank is not armed.
            (false, false) if unarmed.len() < reports.len() => Progress::Give(Vec::new()),
            (false, false) => Progress::Give(vec![(self.holder, self.hold())]),
        }
    }

    fn unarmed(&self, reports: &[Option<RankReport>]) -> Vec<usize> {
        let wanted = Armed {
            version: self.version,
            pass: self.pass,
        };
        let is_armed = |report: &Option<RankReport>| {
            report
                .as_ref()
                .is_some_and(|report| report.armed == Some(wanted) && report.epoch == self.epoch)
        };
        let ranks = reports.iter().enumerate();
        ranks
            .filter(|(_, report)| !is_armed(report))
            .map(|(rank, _)| rank)
            .collect()
    }

    fn is_held(&self, reports: &[Option<RankReport>]) -> bool {
        let holder = reports.get(self.holder).and_then(Option::as_ref);
        holder.is_some_and(|report| report.held == Some(self.pass) && report.epoch == self.epoch)
    }

    fn hold(&self) -> RankOrder {
        RankOrder::Hold {
            epoch: self.epoch,
            pass: self.pass,
        }
    }

    fn arm(&self) -> RankOrder {
        RankOrder::Arm {
            epoch: self.epoch,
            version: self.version,
            pass: self.pass,
        }
    }

    fn go(&self) -> RankOrder {
        RankOrder::Go {
            epoch: self.epoch,
            pass: self.pass,
        }
    }
}

/// Whether every rank is ready for a switch to `version`: prepared, in one
/// epoch, and with nothing left of an earlier switch.
#[must_use]
pub fn is_ready(reports: &[Option<RankReport>], epoch: Epoch, version: Version) -> bool {
    reports.iter().all(|report| {
        report.as_ref().is_some_and(|report| {
            report.epoch == epoch
                && report.is_open
                && report.prepared == Some(version)
                && report.armed.is_none()
                && report.held.is_none()
        })
    })
}

/// Bits of a version that count within one controller's term.
const COUNT_BITS: u32 = 20;

/// The versions of one controller: higher than those of every controller with
/// a lower fencing number, whatever these still give.
#[derive(Clone, Copy, Debug)]
pub struct VersionSource {
    next: Version,
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
    pub fn issue(&mut self) -> Version {
        let version = self.next;
        self.next += 1;
        version
    }
}
