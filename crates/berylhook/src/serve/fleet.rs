//! The targets of each catalogue entry and the links to their agents.

use std::collections::HashSet;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use berylhook_core::retry::RetryBudget;
use berylhook_core::route::{
    Availability, RouteConfig, RouteQuery, Router, SentRequest, TargetId, subset,
};
use berylhook_core::time::MonoMs;
use berylhook_keyvalue::{Vm, VmState};
use berylhook_operator::RetryPolicy;
use berylhook_peer::proto::Pong;
use indexmap::IndexMap;

use super::link::{Link, LinkEvents};
use super::node::{Node, lock};

/// Maximum number of targets of one catalogue entry that this process connects to. An idle link
/// costs 0.012% of a core; ten models with this many links each stay within the share of a node's
/// CPU that control may use. Entries whose requests must not be repeated have no maximum, since any
/// of their agents may be the home (owner) of a key.
const MAX_LINKS_PER_SERVICE: usize = 16;

/// Interval of removing idle links to VMs that are no longer listed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

const DEFAULT_RETRY_PERCENT: u32 = 10;

/// The targets of one catalogue entry.
pub(crate) struct Service {
    pub(crate) name: Arc<str>,
    pub(crate) router: Mutex<Router>,
    pub(crate) retry_budget: Mutex<RetryBudget>,
    targets: Mutex<IndexMap<TargetId, Arc<Target>>>,
    /// The agent believed to be the home (owner) of each key shard.
    pub(crate) shard_homes: Mutex<IndexMap<u32, Arc<str>>>,
}

/// One target and the link to its agent.
pub(crate) struct Target {
    pub(crate) id: TargetId,
    pub(crate) link: Arc<Link>,
    service: Arc<Service>,
    node: Arc<Node>,
    connected: AtomicBool,
    /// Whether the agent reports that it is draining.
    draining: AtomicBool,
    /// Whether the VM is leaving by the platform's list, or is no longer listed.
    leaving: AtomicBool,
}

/// The services of all catalogue entries.
#[derive(Default)]
pub(crate) struct Fleet {
    services: Mutex<IndexMap<Arc<str>, Arc<Service>>>,
    next_target: AtomicU32,
}

impl Service {
    fn new(name: Arc<str>) -> Arc<Self> {
        Arc::new(Self {
            name,
            router: Mutex::new(Router::new(RouteConfig::default())),
            retry_budget: Mutex::new(RetryBudget::new(DEFAULT_RETRY_PERCENT)),
            targets: Mutex::new(IndexMap::new()),
            shard_homes: Mutex::new(IndexMap::new()),
        })
    }

    /// Picks a target by its load.
    pub(crate) fn pick(
        &self,
        blocks: &[u64],
        exclude: &[TargetId],
        now_ms: MonoMs,
    ) -> Option<Arc<Target>> {
        let query = RouteQuery { blocks, exclude };
        let id = lock(&self.router).pick(&query, now_ms, &mut rand::random::<u64>)?;
        lock(&self.targets).get(&id).cloned()
    }

    /// Estimated time to first token of a request at a target.
    pub(crate) fn estimate_ms(&self, id: TargetId, blocks: &[u64], now_ms: MonoMs) -> f64 {
        let router = lock(&self.router);
        router.estimate_ms(id, blocks, now_ms).unwrap_or(0.0)
    }

    /// The target whose agent is named as the home of a shard, if it is connected. A leaving agent
    /// alone may run the keys of its shards until it has handed them over.
    pub(crate) fn target_of_home(&self, agent: &str) -> Option<Arc<Target>> {
        let targets = lock(&self.targets);
        let mut connected = targets
            .values()
            .filter(|target| target.availability() != Availability::Down);
        connected
            .find(|target| &*target.link.agent == agent)
            .cloned()
    }

    /// All known targets.
    pub(crate) fn targets(&self) -> Vec<Arc<Target>> {
        lock(&self.targets).values().cloned().collect()
    }
}

impl Target {
    /// The availability by the agent's own report and the platform's list. The list lags behind the
    /// report; either of the two is enough to keep new requests away.
    pub(crate) fn availability(&self) -> Availability {
        let connected = self.connected.load(Ordering::SeqCst);
        let leaving = self.draining.load(Ordering::SeqCst) || self.leaving.load(Ordering::SeqCst);
        match (connected, leaving) {
            (false, _) => Availability::Down,
            (true, true) => Availability::Leaving,
            (true, false) => Availability::Up,
        }
    }

    /// A run command was sent.
    pub(crate) fn on_dispatch(&self, sent: &SentRequest<'_>, now_ms: MonoMs) {
        lock(&self.service.router).on_dispatch(self.id, sent, now_ms);
    }

    /// The first chunk of the response to the run command sent at `sent_ms` arrived.
    pub(crate) fn on_first_token(&self, sent_ms: MonoMs) {
        let now_ms = self.node.now_ms();
        if let Some(load) = lock(&self.service.router).load_mut(self.id) {
            load.on_first_token(sent_ms, now_ms);
        }
    }

    /// The run started by the command sent at `sent_ms` ended.
    pub(crate) fn on_request_end(&self, sent_ms: MonoMs) {
        if let Some(load) = lock(&self.service.router).load_mut(self.id) {
            load.on_request_end(sent_ms, self.node.now_ms());
        }
    }

    fn publish_availability(&self) {
        lock(&self.service.router).set_availability(self.id, self.availability());
    }

    fn set_leaving(&self, leaving: bool) {
        if self.leaving.swap(leaving, Ordering::SeqCst) != leaving {
            log::info!(
                "agent {}: leaving = {leaving} by the platform's list",
                self.link.agent
            );
            self.publish_availability();
        }
    }
}

impl LinkEvents for Target {
    fn on_connected(&self, connected: bool) {
        if !connected {
            self.draining.store(false, Ordering::SeqCst);
        }
        self.connected.store(connected, Ordering::SeqCst);
        self.publish_availability();
    }

    fn on_pong(&self, pong: &Pong) {
        if self.draining.swap(pong.draining, Ordering::SeqCst) != pong.draining {
            log::info!("agent {}: draining = {}", self.link.agent, pong.draining);
            self.publish_availability();
        }
        let now_ms = self.node.now_ms();
        if let Some(load) = &pong.load {
            let as_of_ms = MonoMs(now_ms.0.saturating_sub(load.age_ms));
            let mut router = lock(&self.service.router);
            if let Some(target_load) = router.load_mut(self.id) {
                target_load.on_load_report(load.running, load.waiting, load.slots, as_of_ms);
            }
        }
    }
}

impl Fleet {
    /// The targets of a catalogue entry.
    pub(crate) fn service(&self, name: &Arc<str>) -> Arc<Service> {
        let mut services = lock(&self.services);
        let service = services
            .entry(Arc::clone(name))
            .or_insert_with(|| Service::new(Arc::clone(name)));
        Arc::clone(service)
    }

    /// All known services.
    pub(crate) fn services(&self) -> Vec<Arc<Service>> {
        lock(&self.services).values().cloned().collect()
    }

    fn reconcile(&self, node: &Arc<Node>) {
        let snapshot = node.snapshot.load();
        for entry in snapshot.catalogue.entries.values() {
            let service = self.service(&entry.name);
            lock(&service.retry_budget).set_percent(entry.retry_percent);
        }
        let mut listed: IndexMap<Arc<str>, Vec<&Vm>> = IndexMap::new();
        for vm in snapshot.vms.iter().filter(|vm| !vm.service.is_empty()) {
            listed.entry(Arc::clone(&vm.service)).or_default().push(vm);
        }
        for (name, vms) in &listed {
            let is_keyed = snapshot
                .catalogue
                .entries
                .get(name)
                .is_none_or(|entry| entry.repeat == RetryPolicy::Never);
            let vms = if is_keyed {
                vms.clone()
            } else {
                link_subset(&node.settings.node.name, vms)
            };
            self.reconcile_service(node, &self.service(name), &vms);
        }
        for service in self.services() {
            if !listed.contains_key(&service.name) {
                self.reconcile_service(node, &service, &[]);
            }
        }
    }

    fn reconcile_service(&self, node: &Arc<Node>, service: &Arc<Service>, vms: &[&Vm]) {
        for target in service.targets() {
            let listed = vms
                .iter()
                .find(|vm| vm.name == target.link.agent && vm.address == target.link.address);
            match listed {
                Some(vm) => target.set_leaving(vm.state == VmState::Leaving),
                // No longer listed, but its requests in flight may still finish.
                None => {
                    target.set_leaving(true);
                    remove_if_idle(service, &target);
                }
            }
        }
        let known: HashSet<_> = service
            .targets()
            .iter()
            .map(|target| (Arc::clone(&target.link.agent), target.link.address))
            .collect();
        for vm in vms {
            if !known.contains(&(Arc::clone(&vm.name), vm.address)) {
                self.add_target(node, service, vm);
            }
        }
    }

    fn add_target(&self, node: &Arc<Node>, service: &Arc<Service>, vm: &Vm) {
        let id = TargetId(self.next_target.fetch_add(1, Ordering::SeqCst));
        let target = Arc::new(Target {
            id,
            link: Link::new(Arc::clone(&vm.name), vm.address),
            service: Arc::clone(service),
            node: Arc::clone(node),
            connected: AtomicBool::new(false),
            draining: AtomicBool::new(false),
            leaving: AtomicBool::new(vm.state == VmState::Leaving),
        });
        lock(&service.targets).insert(id, Arc::clone(&target));
        let link = Arc::clone(&target.link);
        tokio::spawn(link.run(Arc::clone(node), target));
    }
}

fn remove_if_idle(service: &Service, target: &Target) {
    if !target.link.is_idle() {
        return;
    }
    target.link.close();
    lock(&service.targets).swap_remove(&target.id);
    lock(&service.router).remove(target.id);
}

/// At most [`MAX_LINKS_PER_SERVICE`] of the VMs, chosen so that entries differ in their choice.
fn link_subset<'a>(own_name: &str, vms: &[&'a Vm]) -> Vec<&'a Vm> {
    if vms.len() <= MAX_LINKS_PER_SERVICE {
        return vms.to_vec();
    }
    let names: Vec<&str> = vms.iter().map(|vm| &*vm.name).collect();
    let chosen: HashSet<&str> = subset(own_name, &names, MAX_LINKS_PER_SERVICE)
        .into_iter()
        .collect();
    let chosen = vms.iter().filter(|vm| chosen.contains(&*vm.name));
    chosen.copied().collect()
}

/// Updates the targets when the list of VMs or the catalogue changes, and once per sweep interval.
pub(crate) async fn reconcile_loop(node: Arc<Node>, fleet: Arc<Fleet>) {
    let mut published = node.published.subscribe();
    loop {
        published.mark_unchanged();
        fleet.reconcile(&node);
        let _ = tokio::time::timeout(SWEEP_INTERVAL, published.changed()).await;
    }
}
