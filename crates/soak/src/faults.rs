//! Injects faults at random times; they may overlap and repeat.

use std::sync::Arc;
use std::time::{Duration, Instant};

use berylhook_test_support::calls::Caller;
use berylhook_test_support::interruption::PlannedWork;
use berylhook_test_support::{
    Behaviour, EXPERT_COUNT, Fault, Outage, POISON_BODY, POISON_PART, Signal,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use crate::SoakConfig;
use crate::callers::SHARED_PARTS;
use crate::cluster::{API_KEY, Cluster, Registration, STOP_TIMEOUT, Target, lock};

/// Time between the starts of two faults.
const FAULT_INTERVAL_MS: std::ops::Range<u64> = 30..700;

/// Duration of a fault.
const FAULT_DURATION_MS: std::ops::Range<u64> = 100..3_500;

/// A failure of a request is still attributed to a fault this long after the fault's end.
const FAULT_EFFECT_WINDOW: Duration = Duration::from_secs(4);

/// Time from a target's announcement that it leaves to the removal of its entry.
const DRAIN_DURATION: Duration = Duration::from_millis(2_500);

/// Number of poison requests in one burst, and the time between two bursts. Their caller does not
/// follow the `Retry-After` of a rejection.
const POISON_BURST_SIZE: usize = 4;
const POISON_BURST_INTERVAL_MS: std::ops::Range<u64> = 300..2_500;

/// Time that the callers of a burst wait for a response. In half of the bursts they disconnect
/// early, mostly before the target has exited; in the others they wait beyond their deadline.
const POISON_DISCONNECT_MS: std::ops::Range<u64> = 5..60;
const POISON_WAIT_LIMIT: Duration = Duration::from_secs(10);

/// Separates the random numbers for poison requests from those for faults.
const POISON_SEED_MASK: u64 = 0x706f_6973_6f6e;

/// Separates the random numbers for early disconnects from those for the bursts.
const DISCONNECT_SEED_MASK: u64 = 0x006c_6561_7665;

/// A fault or change that is applied to the programs and stand-ins. The variant names are part of
/// the printed list of faults.
#[derive(Clone, Copy, Debug)]
enum FaultAction {
    StopEntry(usize),
    KillEntry(usize),
    PauseEntry(usize),
    ReloadEntry(usize),
    StoreFails(Outage),
    StoreLosesAnswers(u32),
    StoreLink(usize, Fault),
    TargetLink(usize, Fault),
    TargetBehaves(usize, Behaviour),
    ReplaceTarget(usize),
    ChangeConfiguration,
    KillAgent(usize),
    PauseAgent(usize),
    /// Shifts the demand to this expert.
    Shift(usize),
}

const LINK_FAULTS: [Fault; 5] = [
    Fault::Cut,
    Fault::FreezeOpen,
    Fault::FreezeAll,
    Fault::FreezeResponses,
    Fault::Delay,
];

const BEHAVIOURS: [Behaviour; 7] = [
    Behaviour::RejectsAsNotExecuted,
    Behaviour::RejectsWithoutReason,
    Behaviour::DropsResponses,
    Behaviour::RespondsWithWrongAttemptId,
    Behaviour::RespondsWithoutSeal,
    Behaviour::CutsStreamAfter(3),
    Behaviour::Hangs,
];

impl FaultAction {
    fn choose(rng: &mut StdRng) -> Self {
        let index = rng.random_range(0..64);
        let link_fault = LINK_FAULTS[rng.random_range(0..LINK_FAULTS.len())];
        let behaviour = BEHAVIOURS[rng.random_range(0..BEHAVIOURS.len())];
        match rng.random_range(0..20) {
            0..=2 => Self::StopEntry(index),
            3 => Self::KillEntry(index),
            4 => Self::PauseEntry(index),
            5 => Self::ReloadEntry(index),
            6 => Self::StoreFails(Outage::Refusing),
            7 => Self::StoreFails(Outage::Silent),
            8 => Self::StoreLosesAnswers(rng.random_range(1..4)),
            9 | 10 => Self::StoreLink(index, link_fault),
            11 => Self::TargetLink(index, link_fault),
            12 | 13 => Self::TargetBehaves(index, behaviour),
            14 => Self::ReplaceTarget(index),
            15 | 16 => Self::ChangeConfiguration,
            17 => Self::KillAgent(index),
            18 => Self::PauseAgent(index),
            _ => Self::Shift(index % EXPERT_COUNT),
        }
    }

    /// Whether callers may lose responses to it.
    fn may_interrupt_requests(self) -> bool {
        matches!(
            self,
            Self::KillEntry(_)
                | Self::PauseEntry(_)
                | Self::TargetLink(..)
                | Self::TargetBehaves(..)
        )
    }

    async fn apply(self, cluster: Arc<Cluster>, duration: Duration) {
        if self.may_interrupt_requests() {
            cluster.record_disturbance(duration + FAULT_EFFECT_WINDOW);
        }
        let entry = |index: usize| &cluster.entries[index % cluster.entries.len()];
        let agent = |index: usize| &cluster.agents[index % cluster.agents.len()];
        match self {
            Self::StopEntry(index) => stop_entry(&cluster, index % cluster.entries.len()).await,
            Self::KillEntry(index) => entry(index).process.signal(Signal::Kill),
            Self::PauseEntry(index) => {
                entry(index).process.signal(Signal::Stop);
                sleep(duration).await;
                entry(index).process.signal(Signal::Continue);
            }
            Self::ReloadEntry(index) => reload_entry(&cluster, index % cluster.entries.len()),
            Self::StoreFails(outage) => {
                cluster.store.set_outage(outage);
                sleep(duration).await;
                cluster.store.set_outage(Outage::None);
            }
            Self::StoreLosesAnswers(count) => cluster.store.lose_responses(count),
            Self::StoreLink(index, fault) => {
                entry(index).store_link.set_fault(fault);
                sleep(duration).await;
                entry(index).store_link.set_fault(Fault::None);
            }
            Self::TargetLink(index, fault) => {
                let Some(target) = cluster.target(index) else {
                    return;
                };
                target.link.set_fault(fault);
                sleep(duration).await;
                target.link.set_fault(Fault::None);
            }
            Self::TargetBehaves(index, behaviour) => {
                let Some(target) = cluster.target(index) else {
                    return;
                };
                target.stand_in.set_behaviour(behaviour);
                sleep(duration).await;
                target.stand_in.set_behaviour(Behaviour::ExitsOnPoison);
            }
            Self::ReplaceTarget(index) => replace_target(&cluster, index).await,
            Self::ChangeConfiguration => cluster.publish_next_configuration(),
            Self::KillAgent(index) => agent(index).signal(Signal::Kill),
            Self::PauseAgent(index) => {
                agent(index).signal(Signal::Stop);
                sleep(duration).await;
                agent(index).signal(Signal::Continue);
            }
            Self::Shift(expert) => cluster.group.set_hot_expert(expert),
        }
    }
}

/// Makes an entry reload its settings.
pub(crate) fn reload_entry(cluster: &Cluster, index: usize) {
    let reload = PlannedWork::Reload { at: Instant::now() };
    cluster.record_planned(index, reload);
    cluster.entries[index].process.signal(Signal::Reload);
}

/// Stops an entry with SIGTERM and checks that its process exits.
pub(crate) async fn stop_entry(cluster: &Arc<Cluster>, index: usize) {
    let process = &cluster.entries[index].process;
    let lifetime = process.lifetime();
    let stop = PlannedWork::Stop { at: Instant::now() };
    cluster.record_planned(index, stop);
    process.signal(Signal::Terminate);
    let started_at = Instant::now();
    while process.lifetime() == lifetime {
        // A process that is paused by another fault cannot exit.
        if started_at.elapsed() > STOP_TIMEOUT && cluster.is_undisturbed(started_at, Instant::now())
        {
            return cluster
                .record_violation(format!("entry-{index} does not exit after a planned stop"));
        }
        if started_at.elapsed() > STOP_TIMEOUT * 2 {
            return;
        }
        sleep(Duration::from_millis(50)).await;
    }
}

/// Replaces the active target at `index`, if there is one.
async fn replace_target(cluster: &Arc<Cluster>, index: usize) {
    if let Some(target) = cluster.target(index) {
        retire_and_replace(cluster, &target).await;
    }
}

/// Replaces a target as the platform does: its entry announces that it leaves and is then removed,
/// and a new target starts. Does nothing if the target is retired already.
pub(crate) async fn retire_and_replace(cluster: &Arc<Cluster>, target: &Arc<Target>) {
    if !cluster.retire(target) {
        return;
    }
    target.set_registration(&cluster.store, Registration::Leaving);
    sleep(DRAIN_DURATION).await;
    target.set_registration(&cluster.store, Registration::Gone);
    target.stand_in.remove(&cluster.store);
    let successor = cluster.new_target().await;
    lock(&cluster.targets).push(successor);
}

/// Sends bursts of the poison request, concurrently with all faults. The times have random numbers
/// of their own, so that a seed always produces the same faults.
pub(crate) async fn run_poison_bursts(cluster: Arc<Cluster>, config: SoakConfig) {
    let SoakConfig { seed, duration, .. } = config;
    let mut rng = StdRng::seed_from_u64(seed ^ POISON_SEED_MASK);
    let mut disconnect_rng = StdRng::seed_from_u64(seed ^ DISCONNECT_SEED_MASK);
    let started_at = Instant::now();
    while started_at.elapsed() < duration {
        sleep(Duration::from_millis(
            rng.random_range(POISON_BURST_INTERVAL_MS),
        ))
        .await;
        cluster.record_disturbance(FAULT_EFFECT_WINDOW);
        let first_entry = rng.random_range(0..64);
        let wait_limit = if disconnect_rng.random_bool(0.5) {
            Duration::from_millis(disconnect_rng.random_range(POISON_DISCONNECT_MS))
        } else {
            POISON_WAIT_LIMIT
        };
        send_poison_burst(&cluster, config, first_entry, wait_limit).await;
    }
}

/// Sends a burst of poison requests, each through the next entry; the callers disconnect after
/// `wait_limit`.
async fn send_poison_burst(
    cluster: &Cluster,
    config: SoakConfig,
    first_entry: usize,
    wait_limit: Duration,
) {
    for index in first_entry..first_entry + POISON_BURST_SIZE {
        let entry = &cluster.entries[index % cluster.entries.len()];
        let number = cluster.next_poison_number();
        let attempt_id = format!("poison-{number}");
        let (body, parts) = if config.has_poison_part {
            let parts = format!("{SHARED_PARTS},{POISON_PART}:20,{number:x}:9");
            (attempt_id.as_str(), parts)
        } else {
            (POISON_BODY, String::new())
        };
        let headers = [
            ("host", "desk.example"),
            ("berylhook-attempt-id", attempt_id.as_str()),
            ("berylhook-deadline-ms", "2000"),
            ("berylhook-prefix-hash", parts.as_str()),
        ];
        let caller = Caller::new(API_KEY);
        let request = caller.post(entry.caller_address, "/unsafe/", body, &headers);
        // The response to a poison request is not checked.
        let _ = timeout(wait_limit, request).await;
    }
}

/// Starts faults for `duration`, and waits until the last one has ended.
pub(crate) async fn run(cluster: &Arc<Cluster>, duration: Duration, rng: &mut StdRng) {
    let started_at = Instant::now();
    let mut active_faults = JoinSet::new();
    while started_at.elapsed() < duration {
        sleep(Duration::from_millis(rng.random_range(FAULT_INTERVAL_MS))).await;
        let fault_duration = Duration::from_millis(rng.random_range(FAULT_DURATION_MS));
        let action = FaultAction::choose(rng);
        let at_s = started_at.elapsed().as_secs_f64();
        cluster.record_fault(format!("{at_s:.2} s: {action:?} for {fault_duration:?}"));
        active_faults.spawn(action.apply(Arc::clone(cluster), fault_duration));
    }
    while active_faults.join_next().await.is_some() {}
}

/// Clears the state that overlapping faults may have left behind.
pub(crate) async fn clear_all(cluster: &Arc<Cluster>) {
    cluster.store.set_outage(Outage::None);
    cluster.store.lose_responses(0);
    for entry in &cluster.entries {
        entry.process.signal(Signal::Continue);
        entry.store_link.set_fault(Fault::None);
    }
    for agent in &cluster.agents {
        agent.signal(Signal::Continue);
    }
    for target in cluster.all_targets() {
        target.link.set_fault(Fault::None);
        target.stand_in.set_behaviour(Behaviour::ExitsOnPoison);
    }
    // A process that got SIGTERM while it was paused exits only after SIGCONT.
    sleep(Duration::from_millis(300)).await;
}
