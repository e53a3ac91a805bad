//! At most once over a store that is restored from older copies, in many random orders.
//!
//! Two agents claim one shard, renew leases, run keys that callers repeat, hand records
//! over and are frozen, while the store loses what it has acknowledged. Each step is taken
//! by itself, and a caller may send a key again at either agent at any time.

use berylhook_core::era_guard::{ClaimDecision, EraGuard};
use berylhook_core::lease::HeldLease;
use berylhook_core::ledger::{
    Admission, ClockBounds, KeyedRequest, Ledger, LedgerExport, RecordedResponse,
};
use berylhook_core::time::{MonoMs, WallMs};
use indexmap::IndexMap;

const AGENTS: usize = 2;
const STEPS: usize = 300;
const LEASE_MS: u64 = 4_000;

/// A restored copy is one of so many last ones.
const COPIES: usize = 3;

/// Records that a ledger keeps.
const CAPACITY: usize = 64;

/// Random orders played by a usual test run.
const PLAYS: u64 = 20_000;

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
    /// The shard's home, by the claim's number, and until when its lease lasts.
    home: Option<(u64, u64)>,
    was_claimed: bool,
    handover: Option<Handover>,
    /// Counts the records that were left.
    revision: u64,
    settled: Option<u64>,
}

/// Records that a home left for the next one.
#[derive(Clone)]
struct Handover {
    era: u64,
    revision: u64,
    moved: LedgerExport,
}

impl Contents {
    fn handover_revision(&self) -> Option<u64> {
        self.handover.as_ref().map(|it| it.revision)
    }
}

#[derive(Default)]
struct Store {
    era: u64,
    now: Contents,
    copies: Vec<Contents>,
}

struct Home {
    claim: u64,
    ledger: Ledger,
}

struct Agent {
    guard: EraGuard,
    /// The lease and the era of its grant.
    lease: Option<(HeldLease, u64)>,
    home: Option<Home>,
    /// A claim that was decided on what the store had: the era, and the records to begin
    /// with.
    read: Option<(u64, Contents)>,
}

impl Agent {
    fn new() -> Self {
        Self {
            guard: EraGuard::new(LEASE_MS),
            lease: None,
            home: None,
            read: None,
        }
    }

    fn lose_lease(&mut self) {
        self.lease = None;
        self.home = None;
        self.read = None;
    }
}

struct World {
    random: Random,
    now_ms: u64,
    store: Store,
    agents: [Agent; AGENTS],
    /// When each key was issued, and how often it ran.
    keys: IndexMap<u128, (u64, u32)>,
    claims: u64,
}

impl World {
    fn new(seed: u64) -> Self {
        Self {
            random: Random(seed),
            now_ms: 10_000,
            store: Store::default(),
            agents: [Agent::new(), Agent::new()],
            keys: IndexMap::new(),
            claims: 0,
        }
    }

    fn step(&mut self) {
        self.now_ms += self.random.below(200);
        let agent = self.random.pick(AGENTS);
        match self.random.below(60) {
            0 => self.restore(),
            1 | 2 => self.store.copies.push(self.store.now.clone()),
            3 => self.agents[agent] = Agent::new(),
            4 | 5 => self.hand_over(agent),
            6..=19 => self.renew(agent),
            20..=29 => self.read(agent),
            30..=39 => self.claim(agent),
            _ => self.order(agent),
        }
    }

    fn restore(&mut self) {
        self.store.copies.push(self.store.now.clone());
        let newest = self.store.copies.len() - 1;
        let at = newest.saturating_sub(self.random.pick(COPIES));
        self.store.copies.truncate(at + 1);
        self.store.now = self.store.copies[at].clone();
        self.store.era += 1;
    }

    fn home_in_store(&self) -> Option<u64> {
        let held = self
            .store
            .now
            .home
            .filter(|(_, until)| self.now_ms < *until);
        held.map(|(claim, _)| claim)
    }

    /// Renews or asks for a lease.
    fn renew(&mut self, agent: usize) {
        let era = self.store.era;
        let now_ms = MonoMs(self.now_ms);
        let held = self.agents[agent].home.as_ref().map(|home| home.claim);
        match &mut self.agents[agent].lease {
            Some((_, granted_in)) if *granted_in != era => self.agents[agent].lose_lease(),
            Some((lease, _)) if !lease.is_valid(now_ms) => self.agents[agent].lose_lease(),
            Some((lease, _)) => {
                lease.on_renewed(now_ms);
                self.extend_home(held);
            }
            lease @ None => *lease = Some((HeldLease::granted(LEASE_MS, now_ms), era)),
        }
    }

    fn extend_home(&mut self, claim: Option<u64>) {
        let until = self.now_ms + LEASE_MS;
        match &mut self.store.now.home {
            Some((holder, ends)) if Some(*holder) == claim => *ends = until,
            _ => {}
        }
    }

    /// Reads what the store has of the shard, if a claim may be made.
    fn read(&mut self, agent: usize) {
        let era = self.store.era;
        let mark = self.store.now.settled;
        let now_ms = MonoMs(self.now_ms);
        match self.agents[agent].guard.decide(era, mark, now_ms) {
            ClaimDecision::Wait => return,
            ClaimDecision::AllowAndMark => self.store.now.settled = Some(era),
            ClaimDecision::Allow => {}
        }
        self.agents[agent].read = Some((era, self.store.now.clone()));
    }

    /// Claims the shard on what was read.
    fn claim(&mut self, agent: usize) {
        let era = self.store.era;
        let Some((read_in, state)) = self.agents[agent].read.take() else {
            return;
        };
        let Some((lease, granted_in)) = self.agents[agent].lease else {
            return;
        };
        let is_free = self.home_in_store().is_none()
            && state.home.is_none_or(|(_, until)| self.now_ms >= until);
        let is_unchanged = state.handover_revision() == self.store.now.handover_revision()
            && state.was_claimed == self.store.now.was_claimed;
        if !is_free || !is_unchanged {
            return;
        }
        self.claims += 1;
        let until = lease.valid_until_ms().0.max(self.now_ms) + LEASE_MS / 10;
        self.store.now.home = Some((self.claims, until));
        self.store.now.was_claimed = true;
        self.store.now.handover = None;
        if granted_in != era || read_in != era || !lease.is_valid(MonoMs(self.now_ms)) {
            return;
        }
        let ledger = self.ledger(era, state);
        self.agents[agent].home = Some(Home {
            claim: self.claims,
            ledger,
        });
    }

    fn ledger(&self, era: u64, state: Contents) -> Ledger {
        let clocks = ClockBounds::default();
        let moved = state.handover.filter(|left| left.era == era);
        match moved {
            Some(left) => Ledger::import(clocks, &left.moved, CAPACITY),
            None if state.was_claimed || era > 0 => {
                Ledger::takeover(clocks, WallMs(self.now_ms), CAPACITY)
            }
            None => Ledger::for_new_shard(clocks, CAPACITY),
        }
    }

    /// Leaves the records for the next home.
    fn hand_over(&mut self, agent: usize) {
        let era = self.store.era;
        let Some(home) = self.agents[agent].home.take() else {
            return;
        };
        if self.home_in_store() != Some(home.claim) {
            return;
        }
        let granted_in = self.agents[agent].lease.map(|(_, era)| era);
        if granted_in == Some(era) {
            self.store.now.home = None;
            self.store.now.revision += 1;
            self.store.now.handover = Some(Handover {
                era,
                revision: self.store.now.revision,
                moved: home.ledger.export(CAPACITY),
            });
        }
    }

    /// A caller sends a new key or an old one.
    fn order(&mut self, agent: usize) {
        let number = match self.random.pick(self.keys.len() + 1) {
            new if new == self.keys.len() => {
                let key = self.keys.len() as u128;
                self.keys.insert(key, (self.now_ms, 0));
                new
            }
            known => known,
        };
        let (key, (issued_ms, _)) = self.keys.get_index(number).expect("it was issued");
        let request = KeyedRequest {
            key: *key,
            issued_ms: WallMs(*issued_ms),
            digest: 1,
        };
        if self.runs(agent, request) {
            let (issued_ms, runs) = &mut self.keys[number];
            *runs += 1;
            assert_eq!(*runs, 1, "the key issued at {issued_ms} ran again");
        }
    }

    fn runs(&mut self, agent: usize, request: KeyedRequest) -> bool {
        let agent = &mut self.agents[agent];
        let now_ms = MonoMs(self.now_ms);
        let holds = agent.lease.is_some_and(|(lease, _)| lease.is_valid(now_ms));
        let Some(home) = agent.home.as_mut().filter(|_| holds) else {
            return false;
        };
        let admission = home.ledger.admit(request, WallMs(self.now_ms));
        if admission != Admission::Run {
            return false;
        }
        let answer = RecordedResponse {
            status: 200,
            content_type: String::new(),
            body: None,
        };
        home.ledger.finish(request.key, answer.into());
        true
    }
}

fn plays() -> u64 {
    let named = std::env::var(PLAYS_VARIABLE);
    named.map_or(PLAYS, |plays| plays.parse().expect("a number of plays"))
}

/// Guards against a second run: the claim is lost in a restore, and another agent claims the
/// shard while the first one still runs keys.
#[test]
fn no_key_runs_twice_whatever_is_restored() {
    let mut runs = 0;
    for seed in 0..plays() {
        let mut world = World::new(seed);
        for _ in 0..STEPS {
            world.step();
        }
        runs += world.keys.values().filter(|(_, runs)| *runs > 0).count();
    }
    assert!(runs > 0, "some key runs");
}

/// Guards against a wait that another restore cuts short, and against a mark that a copy
/// brought back.
#[test]
fn leases_of_an_era_before_are_waited_for_once() {
    let mut guard = EraGuard::new(LEASE_MS);
    let mut late = EraGuard::new(LEASE_MS);

    let at_first = guard.decide(1, None, MonoMs(0));
    let restored = guard.decide(2, Some(1), MonoMs(LEASE_MS - 1));
    let too_soon = guard.decide(2, None, MonoMs(LEASE_MS + 1));
    let in_time = guard.decide(2, None, MonoMs(2 * LEASE_MS));
    let settled = guard.decide(2, Some(2), MonoMs(2 * LEASE_MS));
    let of_another = late.decide(2, Some(2), MonoMs(0));

    assert_eq!(
        [at_first, restored, too_soon],
        [
            ClaimDecision::Wait,
            ClaimDecision::Wait,
            ClaimDecision::Wait
        ]
    );
    assert_eq!(in_time, ClaimDecision::AllowAndMark);
    assert_eq!([settled, of_another], [ClaimDecision::Allow; 2]);
}
