//! What the loops of one leader share: its fencing number, its versions, which
//! engine belongs to which group, and the engines' paces.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

use berylhook_experts::switching::{MapVersion, VersionSource};
use berylhook_relay::Answer;
use berylhook_traffic::engine_update::{EngineUpdate, GroupUpdate, Slowdowns};
use indexmap::{IndexMap, IndexSet};

use crate::{Candidate, ExpertService};

/// What is told of one group.
#[derive(Clone, Debug, PartialEq)]
struct ToldGroup {
    slow: Slowdowns,
    engines: Vec<SocketAddr>,
    is_open: bool,
}

/// One leader's term, seen by all its loops.
pub(crate) struct Leadership {
    candidate: Candidate,
    service: Arc<str>,
    /// The leader's fencing number.
    pub(crate) fence: u64,
    /// Whether it leaves the office to an entry that would lead better.
    pub(crate) may_make_room: bool,
    is_succeeded: AtomicBool,
    versions: Mutex<VersionSource>,
    /// The group that each engine was last seen in.
    group_of: Mutex<IndexMap<SocketAddr, Arc<str>>>,
    /// What is told of each group.
    told: Mutex<IndexMap<Arc<str>, ToldGroup>>,
}

impl Leadership {
    pub(crate) fn new(candidate: &Candidate, service: Arc<str>, fence: u64) -> Self {
        Self {
            candidate: candidate.clone(),
            service,
            fence,
            may_make_room: false,
            is_succeeded: AtomicBool::new(false),
            versions: Mutex::new(VersionSource::new(fence)),
            group_of: Mutex::new(IndexMap::new()),
            told: Mutex::new(IndexMap::new()),
        }
    }

    /// The service whose groups it leads.
    pub(crate) fn service(&self) -> Arc<str> {
        Arc::clone(&self.service)
    }

    /// The service's engines, once it is known.
    pub(crate) fn members(&self) -> Option<ExpertService> {
        let members = self.candidate.services.borrow();
        members.iter().find(|it| it.name == self.service).cloned()
    }

    pub(crate) fn agent_port(&self) -> u16 {
        self.candidate.agent_port
    }

    /// Whether this leader has to stop giving orders.
    pub(crate) fn is_succeeded(&self) -> bool {
        self.is_succeeded.load(Ordering::Relaxed)
    }

    pub(crate) fn is_stopping(&self) -> bool {
        *self.candidate.is_stopping.borrow()
    }

    /// Whether this leader has met an entry that would lead better, and may leave the
    /// office to it.
    ///
    /// Entries that start together, as after a loss of power, stand for election before
    /// they know each other, and a VM with a fifth of the others' link may be elected. The
    /// counts and maps of 192 ranks take such a link a quarter of a second each.
    pub(crate) fn makes_room(&self) -> bool {
        self.may_make_room && *self.candidate.has_peer_with_more_cpu.borrow()
    }

    /// Notes whether an agent has named a later leader.
    pub(crate) fn heed_fences<'a>(&self, mut answers: impl Iterator<Item = &'a Answer>) {
        if let Some(later) = answers.find_map(|answer| answer.fenced_by) {
            log::info!(fence = self.fence, later; "an agent has heard of a later leader");
            self.is_succeeded.store(true, Ordering::Relaxed);
        }
    }

    /// A new version, the same for no two groups: an engine that moves from one
    /// to another takes only versions higher than all that it has had.
    pub(crate) fn issue_version(&self) -> MapVersion {
        self.versions.lock().expect("no holder panics").issue()
    }

    /// An engine was seen in a group.
    pub(crate) fn assign(&self, engine: SocketAddr, group: &str) {
        let mut group_of = self.group_of.lock().expect("no holder panics");
        let known = group_of.get(&engine);
        if known.is_none_or(|known| **known != *group) {
            log::info!(engine:% = engine, group; "engine belongs to a group");
            group_of.insert(engine, group.into());
        }
    }

    /// Forgets the groups of engines that are gone.
    pub(crate) fn retain_engines(&self, engines: &[SocketAddr]) {
        let mut group_of = self.group_of.lock().expect("no holder panics");
        group_of.retain(|engine, _| engines.contains(engine));
    }

    /// Whether the engine's group is known.
    pub(crate) fn is_assigned(&self, engine: &SocketAddr) -> bool {
        let group_of = self.group_of.lock().expect("no holder panics");
        group_of.contains_key(engine)
    }

    /// The engines last seen in a group.
    pub(crate) fn engines_of(&self, group: &str) -> Vec<SocketAddr> {
        let group_of = self.group_of.lock().expect("no holder panics");
        let of_group = group_of.iter().filter(|(_, of)| ***of == *group);
        of_group.map(|(engine, _)| *engine).collect()
    }

    /// All groups that engines were seen in.
    pub(crate) fn groups(&self) -> IndexSet<Arc<str>> {
        let group_of = self.group_of.lock().expect("no holder panics");
        group_of.values().cloned().collect()
    }

    /// Tells this entry and, through it, its peers which engines of a group are
    /// slow.
    pub(crate) fn publish_paces(&self, group: &Arc<str>, slow: Slowdowns) {
        self.publish(group, |told| told.slow = slow);
    }

    /// Tells them which engines form the group, and whether it runs.
    pub(crate) fn publish_group(&self, group: &Arc<str>, is_open: bool) {
        let engines = self.engines_of(group);
        self.publish(group, |told| {
            told.engines = engines;
            told.is_open = is_open;
        });
    }

    fn publish(&self, group: &Arc<str>, change: impl FnOnce(&mut ToldGroup)) {
        let mut told = self.told.lock().expect("no holder panics");
        let before = told.get(group).cloned();
        let mut now = before.clone().unwrap_or_else(|| ToldGroup {
            slow: Slowdowns::new(),
            engines: Vec::new(),
            is_open: true,
        });
        change(&mut now);
        if before.as_ref() != Some(&now) {
            told.insert(Arc::clone(group), now);
            self.tell(&told);
        }
    }

    /// Forgets a group that has no engines any more.
    pub(crate) fn forget_group(&self, group: &str) {
        let mut told = self.told.lock().expect("no holder panics");
        if told.shift_remove(group).is_some() {
            self.tell(&told);
        }
    }

    fn tell(&self, told: &IndexMap<Arc<str>, ToldGroup>) {
        let slow = told.values().flat_map(|group| &group.slow);
        let groups = told.iter().map(|(name, group)| GroupUpdate {
            name: Arc::clone(name),
            engines: group.engines.clone(),
            is_open: group.is_open,
        });
        let news = EngineUpdate {
            slowdowns: slow.map(|(at, pace)| (*at, *pace)).collect(),
            groups: groups.collect(),
        };
        self.candidate.engine_updates.send_if_modified(|current| {
            let is_changed = current.as_ref() != Some(&news);
            *current = Some(news);
            is_changed
        });
    }
}
