//! The faults of a play: they come at random moments, overlap, and repeat.

use std::sync::Arc;
use std::time::{Duration, Instant};

use berylhook_test_support::calls::Caller;
use berylhook_test_support::{Behaviour, EXPERT_COUNT, Fault, Outage, POISON_BODY, Signal};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use crate::world::{KEY, Listed, STOP_TIME, Target, World, lock};

/// Time between two faults.
const PAUSE_MS: std::ops::Range<u64> = 30..700;

/// How long a fault lasts.
const FAULT_MS: std::ops::Range<u64> = 100..3_500;

/// Effects of a fault on requests that end within this time after it still
/// count as the fault's.
const AFTERMATH: Duration = Duration::from_secs(4);

/// Time from a target's word that it leaves to its going.
const DRAIN: Duration = Duration::from_millis(2_500);

/// Times that the guilty request comes in a row, and the time between two such rows: its
/// caller does as it pleases.
const POISON_SENDS: usize = 4;
const POISON_PAUSE_MS: std::ops::Range<u64> = 300..2_500;

/// Patience of its callers: half of the rows leave, mostly before their target has ended, and
/// the others wait for longer than their deadline.
const POISON_LEFT_MS: std::ops::Range<u64> = 5..60;
const POISON_PATIENCE: Duration = Duration::from_secs(10);

/// Sets the moments of the guilty request apart from those of the faults.
const POISON_STREAM: u64 = 0x706f_6973_6f6e;

/// Sets which of its callers leave apart from those moments.
const LEAVING_STREAM: u64 = 0x006c_6561_7665;

/// What a play does to the programs and the stand-ins.
#[derive(Clone, Copy, Debug)]
enum Action {
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

impl Action {
    fn choose(random: &mut StdRng) -> Self {
        let which = random.random_range(0..64);
        let link_fault = LINK_FAULTS[random.random_range(0..LINK_FAULTS.len())];
        let behaviour = BEHAVIOURS[random.random_range(0..BEHAVIOURS.len())];
        match random.random_range(0..20) {
            0..=2 => Self::StopEntry(which),
            3 => Self::KillEntry(which),
            4 => Self::PauseEntry(which),
            5 => Self::ReloadEntry(which),
            6 => Self::StoreFails(Outage::Refusing),
            7 => Self::StoreFails(Outage::Silent),
            8 => Self::StoreLosesAnswers(random.random_range(1..4)),
            9 | 10 => Self::StoreLink(which, link_fault),
            11 => Self::TargetLink(which, link_fault),
            12 | 13 => Self::TargetBehaves(which, behaviour),
            14 => Self::ReplaceTarget(which),
            15 | 16 => Self::ChangeConfiguration,
            17 => Self::KillAgent(which),
            18 => Self::PauseAgent(which),
            _ => Self::Shift(which % EXPERT_COUNT),
        }
    }

    /// Whether callers may lose answers to it.
    fn disturbs(self) -> bool {
        matches!(
            self,
            Self::KillEntry(_)
                | Self::PauseEntry(_)
                | Self::TargetLink(..)
                | Self::TargetBehaves(..)
        )
    }

    async fn carry_out(self, world: Arc<World>, time: Duration) {
        if self.disturbs() {
            world.disturb(time + AFTERMATH);
        }
        let entry = |index: usize| &world.entries[index % world.entries.len()];
        let agent = |index: usize| &world.agents[index % world.agents.len()];
        match self {
            Self::StopEntry(index) => stop_entry(&world, index % world.entries.len()).await,
            Self::KillEntry(index) => entry(index).slot.signal(Signal::Kill),
            Self::PauseEntry(index) => {
                entry(index).slot.signal(Signal::Stop);
                sleep(time).await;
                entry(index).slot.signal(Signal::Continue);
            }
            Self::ReloadEntry(index) => entry(index).slot.signal(Signal::Reload),
            Self::StoreFails(outage) => {
                world.store.set_outage(outage);
                sleep(time).await;
                world.store.set_outage(Outage::None);
            }
            Self::StoreLosesAnswers(count) => world.store.lose_responses(count),
            Self::StoreLink(index, fault) => {
                entry(index).store_link.set_fault(fault);
                sleep(time).await;
                entry(index).store_link.set_fault(Fault::None);
            }
            Self::TargetLink(index, fault) => {
                let Some(target) = world.target(index) else {
                    return;
                };
                target.link.set_fault(fault);
                sleep(time).await;
                target.link.set_fault(Fault::None);
            }
            Self::TargetBehaves(index, behaviour) => {
                let Some(target) = world.target(index) else {
                    return;
                };
                target.stand_in.set_behaviour(behaviour);
                sleep(time).await;
                target.stand_in.set_behaviour(Behaviour::ExitsOnPoison);
            }
            Self::ReplaceTarget(index) => replace_target(&world, index).await,
            Self::ChangeConfiguration => world.change_configuration(),
            Self::KillAgent(index) => agent(index).signal(Signal::Kill),
            Self::PauseAgent(index) => {
                agent(index).signal(Signal::Stop);
                sleep(time).await;
                agent(index).signal(Signal::Continue);
            }
            Self::Shift(expert) => world.group.set_hot_expert(expert),
        }
    }
}

/// Stops an entry as planned, and sees that it ends.
async fn stop_entry(world: &Arc<World>, index: usize) {
    let slot = &world.entries[index].slot;
    let lifetime = slot.lifetime();
    slot.signal(Signal::Terminate);
    let began = Instant::now();
    while slot.lifetime() == lifetime {
        // A process that is paused meanwhile cannot end.
        if began.elapsed() > STOP_TIME && world.is_undisturbed(began, Instant::now()) {
            return world.note_broken(format!("entry-{index} does not end after a planned stop"));
        }
        if began.elapsed() > STOP_TIME * 2 {
            return;
        }
        sleep(Duration::from_millis(50)).await;
    }
}

/// A target says that it leaves, goes, and another comes.
async fn replace_target(world: &Arc<World>, index: usize) {
    if let Some(target) = world.target(index) {
        replace(world, &target).await;
    }
}

/// The same for that target, unless it leaves already.
pub(crate) async fn replace(world: &Arc<World>, target: &Arc<Target>) {
    if !world.retire(target) {
        return;
    }
    target.list(&world.store, Listed::Leaving);
    sleep(DRAIN).await;
    target.list(&world.store, Listed::Gone);
    target.stand_in.remove(&world.store);
    let successor = world.new_target().await;
    lock(&world.targets).push(successor);
}

/// Has a caller come again and again with a request under which targets end, beside all
/// other faults. Its moments are drawn apart from theirs, so that a seed goes on meaning
/// the same faults.
pub(crate) async fn poison(world: Arc<World>, seed: u64, length: Duration) {
    let mut random = StdRng::seed_from_u64(seed ^ POISON_STREAM);
    let mut leaving = StdRng::seed_from_u64(seed ^ LEAVING_STREAM);
    let began = Instant::now();
    while began.elapsed() < length {
        sleep(Duration::from_millis(random.random_range(POISON_PAUSE_MS))).await;
        world.disturb(AFTERMATH);
        let first = random.random_range(0..64);
        let patience = if leaving.random_bool(0.5) {
            Duration::from_millis(leaving.random_range(POISON_LEFT_MS))
        } else {
            POISON_PATIENCE
        };
        send_poison(&world, first, patience).await;
    }
}

/// Sends the guilty request through one entry after the other; its callers leave after
/// `patience`.
async fn send_poison(world: &World, first: usize, patience: Duration) {
    for index in first..first + POISON_SENDS {
        let entry = &world.entries[index % world.entries.len()];
        let attempt = format!("poison-{}", world.next_poison());
        let headers = [
            ("host", "desk.example"),
            ("berylhook-attempt-id", attempt.as_str()),
            ("berylhook-deadline-ms", "2000"),
        ];
        let caller = Caller::new(KEY);
        let sent = caller.post(entry.callers, "/unsafe/", POISON_BODY, &headers);
        // What the caller is told does not matter here.
        let _ = timeout(patience, sent).await;
    }
}

/// Plays faults for that long, and waits for the last of them to be over.
pub(crate) async fn play(world: &Arc<World>, length: Duration, random: &mut StdRng) {
    let began = Instant::now();
    let mut running = JoinSet::new();
    while began.elapsed() < length {
        sleep(Duration::from_millis(random.random_range(PAUSE_MS))).await;
        let time = Duration::from_millis(random.random_range(FAULT_MS));
        let action = Action::choose(random);
        let at_s = began.elapsed().as_secs_f64();
        world.note_fault(format!("{at_s:.2} s: {action:?} for {time:?}"));
        running.spawn(action.carry_out(Arc::clone(world), time));
    }
    while running.join_next().await.is_some() {}
}

/// Ends whatever overlapping faults may have left behind.
pub(crate) async fn end_all(world: &Arc<World>) {
    world.store.set_outage(Outage::None);
    world.store.lose_responses(0);
    for entry in &world.entries {
        entry.slot.signal(Signal::Continue);
        entry.store_link.set_fault(Fault::None);
    }
    for agent in &world.agents {
        agent.signal(Signal::Continue);
    }
    for target in world.all_targets() {
        target.link.set_fault(Fault::None);
        target.stand_in.set_behaviour(Behaviour::ExitsOnPoison);
    }
    // A process that was told to stop while it was paused ends only now.
    sleep(Duration::from_millis(300)).await;
}
