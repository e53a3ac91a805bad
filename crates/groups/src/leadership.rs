//! State that the tasks of one leader share: its fencing token, the source of map versions,
//! the group of each engine, and the state of each group as published to all entries.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use berylhook_experts::switching::{MapVersion, VersionSource};
use berylhook_relay::RelayReply;
use berylhook_traffic::engine_update::{EngineUpdate, GroupUpdate, PauseNotice, Slowdowns};
use indexmap::{IndexMap, IndexSet};

use crate::agent_clients::AgentTimeouts;
use crate::{Candidate, ExpertService};

/// The state of one group that is published to all entries.
#[derive(Clone, Debug, PartialEq)]
struct PublishedGroup {
    slow_engines: Slowdowns,
    engines: Vec<SocketAddr>,
    is_open: bool,
}

/// One leader's state, shared by all its tasks.
pub(crate) struct Leadership {
    candidate: Candidate,
    service_name: Arc<str>,
    /// The leader's fencing token.
    pub(crate) fence: u64,
    /// Whether the leader may resign in favour of an entry with more processor time.
    pub(crate) may_resign: bool,
    is_succeeded: AtomicBool,
    is_closing: AtomicBool,
    pause_notices_sent: AtomicU64,
    pub(crate) agent_timeouts: Arc<AgentTimeouts>,
    versions: Mutex<VersionSource>,
    /// The group that each engine was last seen in.
    group_by_engine: Mutex<IndexMap<SocketAddr, Arc<str>>>,
    /// The last published state of each group.
    published: Mutex<IndexMap<Arc<str>, PublishedGroup>>,
}

impl Leadership {
    pub(crate) fn new(candidate: &Candidate, service_name: Arc<str>, fence: u64) -> Self {
        Self {
            candidate: candidate.clone(),
            service_name,
            fence,
            may_resign: false,
            is_succeeded: AtomicBool::new(false),
            is_closing: AtomicBool::new(false),
            pause_notices_sent: AtomicU64::new(0),
            agent_timeouts: Arc::default(),
            versions: Mutex::new(VersionSource::new(fence)),
            group_by_engine: Mutex::new(IndexMap::new()),
            published: Mutex::new(IndexMap::new()),
        }
    }

    /// The name of the service whose groups it leads.
    pub(crate) fn service_name(&self) -> Arc<str> {
        Arc::clone(&self.service_name)
    }

    /// The service with its engines, or `None` if the service is not configured.
    pub(crate) fn expert_service(&self) -> Option<ExpertService> {
        let services = self.candidate.services.borrow();
        services
            .iter()
            .find(|service| service.name == self.service_name)
            .cloned()
    }

    pub(crate) fn agent_port(&self) -> u16 {
        self.candidate.agent_port
    }

    /// Whether there is a later leader, so that this one must not send any more commands.
    pub(crate) fn is_succeeded(&self) -> bool {
        self.is_succeeded.load(Ordering::Relaxed)
    }

    /// Whether this leader is about to hand over, so that it begins no switch and only completes
    /// those whose groups are paused.
    pub(crate) fn is_closing(&self) -> bool {
        self.is_closing.load(Ordering::Relaxed)
    }

    /// Begins no further switch.
    pub(crate) fn begin_closing(&self) {
        self.is_closing.store(true, Ordering::Relaxed);
    }

    pub(crate) fn is_stopping(&self) -> bool {
        *self.candidate.is_stopping.borrow()
    }

    /// Whether this leader may resign, and knows an entry with more processor time.
    ///
    /// Entries that start at the same time, for example after a power failure, hold the
    /// election before they have discovered each other, so a VM with a fifth of the others'
    /// bandwidth may be elected. Transferring the counts of 192 ranks takes a quarter of a
    /// second on such a link, and so do their maps.
    pub(crate) fn should_resign(&self) -> bool {
        self.may_resign && *self.candidate.has_peer_with_more_cpu.borrow()
    }

    /// Checks replies of agents for a later leader, and marks this one as succeeded if there
    /// is one.
    pub(crate) fn check_fences<'a>(&self, mut replies: impl Iterator<Item = &'a RelayReply>) {
        if let Some(later) = replies.find_map(|reply| reply.fenced_by) {
            log::info!(fence = self.fence, later; "an agent reports a later leader");
            self.is_succeeded.store(true, Ordering::Relaxed);
        }
    }

    /// Issues a new map version. Versions are unique over all groups, as an engine that moves
    /// to another group accepts only versions higher than all that it has had.
    pub(crate) fn issue_version(&self) -> MapVersion {
        self.versions
            .lock()
            .expect("no panic while the lock is held")
            .issue()
    }

    /// Records the group that an engine has reported.
    pub(crate) fn assign(&self, engine: SocketAddr, group: &str) {
        let mut group_by_engine = self
            .group_by_engine
            .lock()
            .expect("no panic while the lock is held");
        let known_group = group_by_engine.get(&engine);
        if known_group.is_none_or(|known| **known != *group) {
            log::info!(engine:% = engine, group; "engine assigned to a group");
            group_by_engine.insert(engine, group.into());
        }
    }

    /// Removes all engines that are not in `engines`.
    pub(crate) fn retain_engines(&self, engines: &[SocketAddr]) {
        let mut group_by_engine = self
            .group_by_engine
            .lock()
            .expect("no panic while the lock is held");
        group_by_engine.retain(|engine, _| engines.contains(engine));
        drop(group_by_engine);
        self.agent_timeouts.retain_engines(engines);
    }

    /// Whether the group of an engine is known.
    pub(crate) fn is_assigned(&self, engine: &SocketAddr) -> bool {
        let group_by_engine = self
            .group_by_engine
            .lock()
            .expect("no panic while the lock is held");
        group_by_engine.contains_key(engine)
    }

    /// The engines that last reported this group.
    pub(crate) fn engines_of(&self, group: &str) -> Vec<SocketAddr> {
        let group_by_engine = self
            .group_by_engine
            .lock()
            .expect("no panic while the lock is held");
        let engines_of_group = group_by_engine
            .iter()
            .filter(|(_, assigned)| ***assigned == *group);
        engines_of_group.map(|(engine, _)| *engine).collect()
    }

    /// All groups that engines have reported.
    pub(crate) fn groups(&self) -> IndexSet<Arc<str>> {
        let group_by_engine = self
            .group_by_engine
            .lock()
            .expect("no panic while the lock is held");
        group_by_engine.values().cloned().collect()
    }

    /// Publishes the slow engines of a group to this entry and, through it, to its peers.
    pub(crate) fn publish_slow_engines(&self, group: &Arc<str>, slow_engines: Slowdowns) {
        self.update_group(group, |published| published.slow_engines = slow_engines);
    }

    /// Publishes the engines of a group, and whether it runs.
    pub(crate) fn publish_group(&self, group: &Arc<str>, is_open: bool) {
        let engines = self.engines_of(group);
        self.update_group(group, |published| {
            published.engines = engines;
            published.is_open = is_open;
        });
    }

    fn update_group(&self, group: &Arc<str>, change: impl FnOnce(&mut PublishedGroup)) {
        let mut published = self
            .published
            .lock()
            .expect("no panic while the lock is held");
        let before = published.get(group).cloned();
        let mut after = before.clone().unwrap_or_else(|| PublishedGroup {
            slow_engines: Slowdowns::new(),
            engines: Vec::new(),
            is_open: true,
        });
        change(&mut after);
        if before.as_ref() != Some(&after) {
            published.insert(Arc::clone(group), after);
            self.send_update(&published);
        }
    }

    /// Notifies all entries for how long an engine takes no new requests, as its rank pauses
    /// its group.
    pub(crate) fn notify_pause(&self, engine: SocketAddr, duration: Duration) {
        self.candidate.pause_notices.notify(PauseNotice {
            fencing_token: self.fence,
            number: self.pause_notices_sent.fetch_add(1, Ordering::Relaxed),
            engine,
            duration_ms: u64::try_from(duration.as_millis()).unwrap_or(u64::MAX),
        });
    }

    /// Removes a group without engines.
    pub(crate) fn remove_group(&self, group: &str) {
        let mut published = self
            .published
            .lock()
            .expect("no panic while the lock is held");
        if published.shift_remove(group).is_some() {
            self.send_update(&published);
        }
    }

    fn send_update(&self, published: &IndexMap<Arc<str>, PublishedGroup>) {
        let slow_engines = published.values().flat_map(|group| &group.slow_engines);
        let groups = published.iter().map(|(name, group)| GroupUpdate {
            name: Arc::clone(name),
            engines: group.engines.clone(),
            is_open: group.is_open,
        });
        let update = EngineUpdate {
            slowdowns: slow_engines
                .map(|(engine, slowdown)| (*engine, *slowdown))
                .collect(),
            groups: groups.collect(),
        };
        self.candidate.engine_updates.send_if_modified(|current| {
            let is_changed = current.as_ref() != Some(&update);
            *current = Some(update);
            is_changed
        });
    }
}
