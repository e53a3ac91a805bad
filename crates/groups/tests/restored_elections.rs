//! Elections over a store that is restored from older copies, in many random orders.
//!
//! Candidates take each step of an election by itself, so restores, lapses of leases, other
//! elections and restarts of agents fall between any two. A leader acts once every agent
//! has taken its number; from then on no agent may relay for a leader elected before it.

use berylhook_groups::handover::{elected_fencing_token, transferred_fencing_token};
use berylhook_relay::Fence;
use indexmap::{IndexMap, IndexSet};

const CANDIDATES: usize = 3;
const AGENTS: usize = 2;
const STEPS: u64 = 120;

/// Random orders played by a usual test run.
const PLAYS: u64 = 100_000;

/// Names another number of plays, such as `BERYLHOOK_PLAYS=3000000`.
const PLAYS_VARIABLE: &str = "BERYLHOOK_PLAYS";

/// Numbers that look random: the finalizer of splitmix64 over a counter.
struct Random(u64);

impl Random {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed ^ (mixed >> 31)) % bound
    }

    fn pick(&mut self, count: usize) -> usize {
        usize::try_from(self.below(count as u64)).expect("it is small")
    }
}

/// What is in the store, and in each copy of it.
#[derive(Clone, Default)]
struct Contents {
    revision: u64,
    /// The candidate that holds the leader's key.
    leader: Option<usize>,
    /// The fencing number kept in each era, and the revision that wrote it.
    fences: IndexMap<u64, (u64, u64)>,
}

impl Contents {
    fn fence(&self, era: u64) -> (u64, u64) {
        self.fences.get(&era).copied().unwrap_or_default()
    }
}

#[derive(Default)]
struct Store {
    era: u64,
    now: Contents,
    copies: Vec<Contents>,
}

impl Store {
    fn write(&mut self, change: impl FnOnce(&mut Contents)) {
        self.now.revision += 1;
        change(&mut self.now);
    }

    fn restore(&mut self, random: &mut Random) {
        self.copies.push(self.now.clone());
        let copy = self.copies[random.pick(self.copies.len())].clone();
        // A copy that is restored is older than all that is written from then on.
        self.copies.retain(|it| it.revision <= copy.revision);
        self.now = copy;
        self.era += 1;
    }
}

/// How far a candidate has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Stage {
    #[default]
    Out,
    /// It saw the leader's key free in that era.
    Standing { era: u64 },
    /// It wrote the leader's key.
    Elected { era: u64 },
    /// It read the fencing number kept, at a revision.
    HasRead { era: u64, kept: u64, revision: u64 },
    /// It has a fencing number, and so many agents have taken it.
    Leads { fence: u64, taken_by: usize },
}

struct World {
    random: Random,
    store: Store,
    candidates: [Stage; CANDIDATES],
    agents: [Fence; AGENTS],
    used: IndexSet<u64>,
    /// When each number's leader began to act.
    acting: IndexMap<u64, usize>,
}

impl World {
    fn new(seed: u64) -> Self {
        Self {
            random: Random(seed),
            store: Store::default(),
            candidates: Default::default(),
            agents: Default::default(),
            used: IndexSet::new(),
            acting: IndexMap::new(),
        }
    }

    fn step(&mut self) {
        match self.random.below(20) {
            0 => self.store.restore(&mut self.random),
            1 => {
                let copy = self.store.now.clone();
                self.store.copies.push(copy);
            }
            2 => self.store.write(|now| now.leader = None),
            3 => {
                let agent = self.random.pick(AGENTS);
                self.agents[agent] = Fence::default();
            }
            4 => {
                let agent = self.random.pick(AGENTS);
                let era = self.store.era;
                self.agents[agent].on_kept(self.store.now.fence(era).0, era);
            }
            5 => self.transfer(),
            _ => {
                let candidate = self.random.pick(CANDIDATES);
                self.candidates[candidate] = self.advance(candidate);
            }
        }
    }

    fn advance(&mut self, candidate: usize) -> Stage {
        let era = self.store.era;
        match self.candidates[candidate] {
            Stage::Out if self.store.now.leader.is_none() => Stage::Standing { era },
            Stage::Out => Stage::Out,
            Stage::Standing { era: before } => self.take_office(candidate, before),
            Stage::Elected { era: before } if before == era => Stage::HasRead {
                era,
                kept: self.store.now.fence(era).0,
                revision: self.store.now.fence(era).1,
            },
            Stage::Elected { .. } => Stage::Out,
            Stage::HasRead {
                era,
                kept,
                revision,
            } => self.take_fence(era, kept, revision),
            Stage::Leads { fence, taken_by } => self.lead(fence, taken_by),
        }
    }

    fn take_office(&mut self, candidate: usize, before: u64) -> Stage {
        if self.store.now.leader.is_some() {
            return Stage::Out;
        }
        self.store.write(|now| now.leader = Some(candidate));
        match self.store.era {
            era if era == before => Stage::Elected { era },
            _ => Stage::Out,
        }
    }

    /// The store compares revisions alone; the answer tells the era.
    fn take_fence(&mut self, era: u64, kept: u64, revision: u64) -> Stage {
        if self.store.now.fence(era).1 != revision {
            return Stage::Out;
        }
        let fence = elected_fencing_token(era, kept);
        self.store.write(|now| {
            now.fences.insert(era, (fence, now.revision));
        });
        if self.store.era != era {
            return Stage::Out;
        }
        assert!(
            self.used.insert(fence),
            "two leaders have the number {fence}"
        );
        Stage::Leads { fence, taken_by: 0 }
    }

    fn lead(&mut self, fence: u64, taken_by: usize) -> Stage {
        let agent = match taken_by {
            asked if asked < AGENTS => asked,
            _ => self.random.pick(AGENTS),
        };
        if !self.agents[agent].may_order() {
            return Stage::Leads { fence, taken_by };
        }
        match self.agents[agent].check(fence) {
            Err(_) => Stage::Out,
            Ok(()) if taken_by < AGENTS => self.is_taken(fence, taken_by + 1),
            Ok(()) => {
                self.assert_newest(fence);
                Stage::Leads { fence, taken_by }
            }
        }
    }

    fn is_taken(&mut self, fence: u64, taken_by: usize) -> Stage {
        if taken_by == AGENTS {
            let order = self.acting.len();
            self.acting.insert(fence, order);
        }
        Stage::Leads { fence, taken_by }
    }

    /// No order is relayed for a leader after a later one has begun to act.
    fn assert_newest(&self, fence: u64) {
        let own = self.acting[&fence];
        let newest = self.acting.len() - 1;
        assert_eq!(own, newest, "{fence} still orders: {:?}", self.acting);
    }

    /// A leader that stops hands its leadership over, and gives no order any more.
    fn transfer(&mut self) {
        let (from, to) = (self.random.pick(CANDIDATES), self.random.pick(CANDIDATES));
        let Stage::Leads { fence, .. } = self.candidates[from] else {
            return;
        };
        let Some(next) = transferred_fencing_token(fence).filter(|_| from != to) else {
            return;
        };
        assert!(self.used.insert(next), "two leaders have the number {next}");
        self.candidates[from] = Stage::Out;
        self.candidates[to] = Stage::Leads {
            fence: next,
            taken_by: 0,
        };
    }
}

fn plays() -> u64 {
    let named = std::env::var(PLAYS_VARIABLE);
    named.map_or(PLAYS, |plays| plays.parse().expect("a number of plays"))
}

/// Guards against two maps in one pass: a restored store gives the number of a lost election
/// out again, or keeps that of a leader that was succeeded.
#[test]
fn no_leader_orders_after_a_later_one_acts_whatever_is_restored() {
    let mut acted = 0;
    for seed in 0..plays() {
        let mut world = World::new(seed);
        for _ in 0..STEPS {
            world.step();
        }
        acted += world.acting.len();
    }
    assert!(acted > 0, "some leader acts");
}

/// Guards against a number that is not above all of the era before.
#[test]
fn a_number_of_a_later_era_is_higher_than_all_before() {
    let mut last = elected_fencing_token(0, 0);
    while let Some(next) = transferred_fencing_token(last) {
        last = next;
    }

    let next_election = elected_fencing_token(0, last);
    let next_era = elected_fencing_token(1, 0);

    assert!(next_election > last);
    assert!(next_era > elected_fencing_token(0, 1 << 29));
}
