//! Simulates elections with a store that is restored from older copies, in many random orders
//! of events.
//!
//! Each candidate takes the steps of an election one at a time, so restores, expired leases,
//! other elections and restarts of agents can occur between any two steps. A leader acts once
//! every agent has accepted its fencing token. From then on, no agent may relay commands of a
//! leader that was elected before.

use berylhook_groups::handover::{elected_fencing_token, transferred_fencing_token};
use berylhook_relay::FencingGuard;
use indexmap::{IndexMap, IndexSet};

const CANDIDATES: usize = 3;
const AGENTS: usize = 2;
const STEPS: u64 = 120;

/// Default number of simulated runs, each with its own seed.
const RUNS: u64 = 100_000;

/// Environment variable that sets another number of runs, for example
/// `BERYLHOOK_PLAYS=3000000`.
const RUNS_VARIABLE: &str = "BERYLHOOK_PLAYS";

/// Pseudorandom numbers: the finalizer of splitmix64 over a counter.
struct Random(u64);

impl Random {
    fn next_below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed ^ (mixed >> 31)) % bound
    }

    fn pick_index(&mut self, count: usize) -> usize {
        usize::try_from(self.next_below(count as u64)).expect("the number is less than `count`")
    }
}

/// The content of the store, or of a copy of it.
#[derive(Clone, Default)]
struct Contents {
    revision: u64,
    /// The candidate that holds the leader's key.
    leader: Option<usize>,
    /// The fencing token of each era, and the revision that wrote it.
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
    current: Contents,
    copies: Vec<Contents>,
}

impl Store {
    fn write(&mut self, change: impl FnOnce(&mut Contents)) {
        self.current.revision += 1;
        change(&mut self.current);
    }

    fn restore(&mut self, random: &mut Random) {
        self.copies.push(self.current.clone());
        let copy = self.copies[random.pick_index(self.copies.len())].clone();
        // A later restore uses a copy older than everything written from now on, so newer
        // copies are discarded.
        self.copies.retain(|other| other.revision <= copy.revision);
        self.current = copy;
        self.era += 1;
    }
}

/// Progress of a candidate in an election.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum CandidateState {
    #[default]
    Idle,
    /// Has read in this era that the leader's key does not exist.
    KeyIsFree { era: u64 },
    /// Has written the leader's key.
    Elected { era: u64 },
    /// Has read the fencing token in the store, and the revision that wrote it.
    TokenRead {
        era: u64,
        stored: u64,
        revision: u64,
    },
    /// Has a fencing token, which `accepted_by` agents have accepted.
    Leading { fence: u64, accepted_by: usize },
}

struct Simulation {
    random: Random,
    store: Store,
    candidates: [CandidateState; CANDIDATES],
    agents: [FencingGuard; AGENTS],
    used: IndexSet<u64>,
    /// The fencing tokens of all leaders that have begun to act, with their order.
    leader_order: IndexMap<u64, usize>,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        Self {
            random: Random(seed),
            store: Store::default(),
            candidates: Default::default(),
            agents: Default::default(),
            used: IndexSet::new(),
            leader_order: IndexMap::new(),
        }
    }

    fn step(&mut self) {
        match self.random.next_below(20) {
            0 => self.store.restore(&mut self.random),
            1 => {
                let copy = self.store.current.clone();
                self.store.copies.push(copy);
            }
            2 => self.store.write(|current| current.leader = None),
            3 => {
                let agent = self.random.pick_index(AGENTS);
                self.agents[agent] = FencingGuard::default();
            }
            4 => {
                let agent = self.random.pick_index(AGENTS);
                let era = self.store.era;
                self.agents[agent].on_stored_token(self.store.current.fence(era).0, era);
            }
            5 => self.transfer(),
            _ => {
                let candidate = self.random.pick_index(CANDIDATES);
                self.candidates[candidate] = self.advance(candidate);
            }
        }
    }

    fn advance(&mut self, candidate: usize) -> CandidateState {
        let era = self.store.era;
        match self.candidates[candidate] {
            CandidateState::Idle if self.store.current.leader.is_none() => {
                CandidateState::KeyIsFree { era }
            }
            CandidateState::Idle => CandidateState::Idle,
            CandidateState::KeyIsFree { era: era_before } => {
                self.write_leader_key(candidate, era_before)
            }
            CandidateState::Elected { era: era_before } if era_before == era => {
                CandidateState::TokenRead {
                    era,
                    stored: self.store.current.fence(era).0,
                    revision: self.store.current.fence(era).1,
                }
            }
            CandidateState::Elected { .. } => CandidateState::Idle,
            CandidateState::TokenRead {
                era,
                stored,
                revision,
            } => self.claim_fencing_token(era, stored, revision),
            CandidateState::Leading { fence, accepted_by } => self.send_request(fence, accepted_by),
        }
    }

    fn write_leader_key(&mut self, candidate: usize, era_before: u64) -> CandidateState {
        if self.store.current.leader.is_some() {
            return CandidateState::Idle;
        }
        self.store.write(|current| current.leader = Some(candidate));
        match self.store.era {
            era if era == era_before => CandidateState::Elected { era },
            _ => CandidateState::Idle,
        }
    }

    /// The store compares only revisions when it writes. The candidate checks the era in the
    /// reply.
    fn claim_fencing_token(&mut self, era: u64, stored: u64, revision: u64) -> CandidateState {
        if self.store.current.fence(era).1 != revision {
            return CandidateState::Idle;
        }
        let fence = elected_fencing_token(era, stored);
        self.store.write(|current| {
            current.fences.insert(era, (fence, current.revision));
        });
        if self.store.era != era {
            return CandidateState::Idle;
        }
        assert!(
            self.used.insert(fence),
            "two leaders have the fencing token {fence}"
        );
        CandidateState::Leading {
            fence,
            accepted_by: 0,
        }
    }

    fn send_request(&mut self, fence: u64, accepted_by: usize) -> CandidateState {
        let agent = match accepted_by {
            accepted if accepted < AGENTS => accepted,
            _ => self.random.pick_index(AGENTS),
        };
        if !self.agents[agent].may_relay_commands() {
            return CandidateState::Leading { fence, accepted_by };
        }
        match self.agents[agent].check(fence) {
            Err(_) => CandidateState::Idle,
            Ok(()) if accepted_by < AGENTS => self.token_accepted(fence, accepted_by + 1),
            Ok(()) => {
                self.assert_newest(fence);
                CandidateState::Leading { fence, accepted_by }
            }
        }
    }

    fn token_accepted(&mut self, fence: u64, accepted_by: usize) -> CandidateState {
        if accepted_by == AGENTS {
            let order = self.leader_order.len();
            self.leader_order.insert(fence, order);
        }
        CandidateState::Leading { fence, accepted_by }
    }

    /// Asserts that no command of a leader is relayed after a later one has begun to act.
    fn assert_newest(&self, fence: u64) {
        let own_order = self.leader_order[&fence];
        let newest_order = self.leader_order.len() - 1;
        assert_eq!(
            own_order, newest_order,
            "commands of {fence} are still relayed: {:?}",
            self.leader_order
        );
    }

    /// A leader transfers its leadership to another candidate, and sends no more commands.
    fn transfer(&mut self) {
        let (from, to) = (
            self.random.pick_index(CANDIDATES),
            self.random.pick_index(CANDIDATES),
        );
        let CandidateState::Leading { fence, .. } = self.candidates[from] else {
            return;
        };
        let Some(next) = transferred_fencing_token(fence).filter(|_| from != to) else {
            return;
        };
        assert!(
            self.used.insert(next),
            "two leaders have the fencing token {next}"
        );
        self.candidates[from] = CandidateState::Idle;
        self.candidates[to] = CandidateState::Leading {
            fence: next,
            accepted_by: 0,
        };
    }
}

fn runs() -> u64 {
    let variable = std::env::var(RUNS_VARIABLE);
    variable.map_or(RUNS, |runs| runs.parse().expect("the variable is a number"))
}

/// Guards against ranks that use different maps in one pass. This occurs if a restored store
/// issues the fencing token of a lost election again, or holds the token of a leader that has
/// been succeeded.
#[test]
fn no_command_is_relayed_after_a_later_leader_acts() {
    let mut leaders_acted = 0;
    for seed in 0..runs() {
        let mut simulation = Simulation::new(seed);
        for _ in 0..STEPS {
            simulation.step();
        }
        leaders_acted += simulation.leader_order.len();
    }
    assert!(leaders_acted > 0, "no leader has acted in any run");
}

/// Guards against fencing tokens that are not higher than all tokens of the previous era.
#[test]
fn token_of_a_later_era_is_higher_than_all_before() {
    let mut last = elected_fencing_token(0, 0);
    while let Some(next) = transferred_fencing_token(last) {
        last = next;
    }

    let next_election = elected_fencing_token(0, last);
    let next_era = elected_fencing_token(1, 0);

    assert!(next_election > last);
    assert!(next_era > elected_fencing_token(0, 1 << 29));
}
