//! Randomized tests of at-most-once execution with a store that is restored from backups.
//!
//! Two agents claim one key shard, renew leases, run keys that callers repeat, hand over
//! records, restart and pause, while restores of the store discard acknowledged writes. The
//! steps interleave at random, and a caller may repeat a key at either agent at any time.

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

/// A restore uses one of this many latest backups.
const RECENT_BACKUPS: usize = 3;

/// Capacity of each ledger.
const CAPACITY: usize = 64;

/// Default number of random runs.
const DEFAULT_RUNS: u64 = 20_000;

/// Environment variable that sets another number of runs, such as `BERYLHOOK_PLAYS=3000000`.
const RUNS_VARIABLE: &str = "BERYLHOOK_PLAYS";

/// Pseudo-random number generator (splitmix64).
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
        usize::try_from(self.below(count as u64)).expect("the number is below `count`")
    }
}

/// The contents of the store and of each backup.
#[derive(Clone, Default)]
struct Contents {
    /// The number of the home's claim on the shard, and when its lease expires.
    home: Option<(u64, u64)>,
    was_claimed: bool,
    handover: Option<Handover>,
    /// Revision of the last handover.
    revision: u64,
    /// The last era that an agent marked as safe for claims.
    marked_era: Option<u64>,
}

/// Records that a home exported for the next home.
#[derive(Clone)]
struct Handover {
    era: u64,
    revision: u64,
    exported: LedgerExport,
}

impl Contents {
    fn handover_revision(&self) -> Option<u64> {
        self.handover.as_ref().map(|handover| handover.revision)
    }
}

#[derive(Default)]
struct Store {
    era: u64,
    contents: Contents,
    backups: Vec<Contents>,
}

struct ShardHome {
    claim: u64,
    ledger: Ledger,
}

struct Agent {
    guard: EraGuard,
    /// The lease and the era of its grant.
    lease: Option<(HeldLease, u64)>,
    home: Option<ShardHome>,
    /// The era and the contents that the agent read as the basis of a claim.
    claim_basis: Option<(u64, Contents)>,
}

impl Agent {
    fn new() -> Self {
        Self {
            guard: EraGuard::new(LEASE_MS),
            lease: None,
            home: None,
            claim_basis: None,
        }
    }

    fn lose_lease(&mut self) {
        self.lease = None;
        self.home = None;
        self.claim_basis = None;
    }
}

struct Simulation {
    random: Random,
    now_ms: u64,
    store: Store,
    agents: [Agent; AGENTS],
    /// When each key was issued, and the number of times it ran.
    keys: IndexMap<u128, (u64, u32)>,
    claims: u64,
}

impl Simulation {
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
            1 | 2 => self.store.backups.push(self.store.contents.clone()),
            3 => self.agents[agent] = Agent::new(),
            4 | 5 => self.hand_over(agent),
            6..=19 => self.renew(agent),
            20..=29 => self.read_for_claim(agent),
            30..=39 => self.claim(agent),
            _ => self.send_request(agent),
        }
    }

    fn restore(&mut self) {
        self.store.backups.push(self.store.contents.clone());
        let newest = self.store.backups.len() - 1;
        let at = newest.saturating_sub(self.random.pick(RECENT_BACKUPS));
        self.store.backups.truncate(at + 1);
        self.store.contents = self.store.backups[at].clone();
        self.store.era += 1;
    }

    fn home_in_store(&self) -> Option<u64> {
        let valid = self
            .store
            .contents
            .home
            .filter(|(_, expires_ms)| self.now_ms < *expires_ms);
        valid.map(|(claim, _)| claim)
    }

    /// Renews the agent's lease, or requests one.
    fn renew(&mut self, agent: usize) {
        let era = self.store.era;
        let now_ms = MonoMs(self.now_ms);
        let own_claim = self.agents[agent].home.as_ref().map(|home| home.claim);
        match &mut self.agents[agent].lease {
            Some((_, granted_in)) if *granted_in != era => self.agents[agent].lose_lease(),
            Some((lease, _)) if !lease.is_valid(now_ms) => self.agents[agent].lose_lease(),
            Some((lease, _)) => {
                lease.on_renewed(now_ms);
                self.extend_home(own_claim);
            }
            lease @ None => *lease = Some((HeldLease::granted(LEASE_MS, now_ms), era)),
        }
    }

    fn extend_home(&mut self, claim: Option<u64>) {
        let expires_ms = self.now_ms + LEASE_MS;
        match &mut self.store.contents.home {
            Some((holder, ends_ms)) if Some(*holder) == claim => *ends_ms = expires_ms,
            _ => {}
        }
    }

    /// Reads the store's contents as the basis of a claim, if the era guard allows a claim.
    fn read_for_claim(&mut self, agent: usize) {
        let era = self.store.era;
        let marker = self.store.contents.marked_era;
        let now_ms = MonoMs(self.now_ms);
        match self.agents[agent].guard.decide(era, marker, now_ms) {
            ClaimDecision::Wait => return,
            ClaimDecision::AllowAndMark => self.store.contents.marked_era = Some(era),
            ClaimDecision::Allow => {}
        }
        self.agents[agent].claim_basis = Some((era, self.store.contents.clone()));
    }

    /// Claims the shard, if its state is unchanged since it was read.
    fn claim(&mut self, agent: usize) {
        let era = self.store.era;
        let Some((read_in, state)) = self.agents[agent].claim_basis.take() else {
            return;
        };
        let Some((lease, granted_in)) = self.agents[agent].lease else {
            return;
        };
        let is_free = self.home_in_store().is_none()
            && state
                .home
                .is_none_or(|(_, expires_ms)| self.now_ms >= expires_ms);
        let is_unchanged = state.handover_revision() == self.store.contents.handover_revision()
            && state.was_claimed == self.store.contents.was_claimed;
        if !is_free || !is_unchanged {
            return;
        }
        self.claims += 1;
        let expires_ms = lease.valid_until_ms().0.max(self.now_ms) + LEASE_MS / 10;
        self.store.contents.home = Some((self.claims, expires_ms));
        self.store.contents.was_claimed = true;
        self.store.contents.handover = None;
        if granted_in != era || read_in != era || !lease.is_valid(MonoMs(self.now_ms)) {
            return;
        }
        let ledger = self.ledger(era, state);
        self.agents[agent].home = Some(ShardHome {
            claim: self.claims,
            ledger,
        });
    }

    fn ledger(&self, era: u64, state: Contents) -> Ledger {
        let clock_bounds = ClockBounds::default();
        let exported = state.handover.filter(|handover| handover.era == era);
        match exported {
            Some(handover) => Ledger::import(clock_bounds, &handover.exported, CAPACITY),
            None if state.was_claimed || era > 0 => {
                Ledger::takeover(clock_bounds, WallMs(self.now_ms), CAPACITY)
            }
            None => Ledger::for_new_shard(clock_bounds, CAPACITY),
        }
    }

    /// Ends the agent's role as home and exports its records for the next home.
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
            self.store.contents.home = None;
            self.store.contents.revision += 1;
            self.store.contents.handover = Some(Handover {
                era,
                revision: self.store.contents.revision,
                exported: home.ledger.export(CAPACITY),
            });
        }
    }

    /// A caller sends a request with a new or a known key to the agent.
    fn send_request(&mut self, agent: usize) {
        let number = match self.random.pick(self.keys.len() + 1) {
            new if new == self.keys.len() => {
                let key = self.keys.len() as u128;
                self.keys.insert(key, (self.now_ms, 0));
                new
            }
            known => known,
        };
        let (key, (issued_ms, _)) = self.keys.get_index(number).expect("the key was issued");
        let request = KeyedRequest {
            key: *key,
            issued_ms: WallMs(*issued_ms),
            digest: 1,
        };
        if self.try_run(agent, request) {
            let (issued_ms, runs) = &mut self.keys[number];
            *runs += 1;
            assert_eq!(*runs, 1, "the key issued at {issued_ms} ran again");
        }
    }

    fn try_run(&mut self, agent: usize, request: KeyedRequest) -> bool {
        let agent = &mut self.agents[agent];
        let now_ms = MonoMs(self.now_ms);
        let is_lease_valid = agent.lease.is_some_and(|(lease, _)| lease.is_valid(now_ms));
        let Some(home) = agent.home.as_mut().filter(|_| is_lease_valid) else {
            return false;
        };
        let admission = home.ledger.admit(request, WallMs(self.now_ms));
        if admission != Admission::Run {
            return false;
        }
        let response = RecordedResponse {
            status: 200,
            content_type: String::new(),
            body: None,
        };
        home.ledger.finish(request.key, response.into());
        true
    }
}

fn run_count() -> u64 {
    let value = std::env::var(RUNS_VARIABLE);
    value.map_or(DEFAULT_RUNS, |text| {
        text.parse().expect("the value is a number of runs")
    })
}

/// Guards against a second run of a key: a restore discards the home's claim, and another
/// agent claims the shard while the previous home still runs requests.
#[test]
fn no_key_runs_twice_after_restores() {
    let mut runs = 0;
    for seed in 0..run_count() {
        let mut simulation = Simulation::new(seed);
        for _ in 0..STEPS {
            simulation.step();
        }
        runs += simulation
            .keys
            .values()
            .filter(|(_, runs)| *runs > 0)
            .count();
    }
    assert!(runs > 0, "no key ran");
}

/// Guards against a wait that a second restore cuts short, and against accepting a marker
/// that was restored from a backup.
#[test]
fn claims_wait_for_the_leases_of_the_previous_era() {
    let mut guard = EraGuard::new(LEASE_MS);
    let mut other_guard = EraGuard::new(LEASE_MS);

    let first_decision = guard.decide(1, None, MonoMs(0));
    let after_second_restore = guard.decide(2, Some(1), MonoMs(LEASE_MS - 1));
    let too_soon = guard.decide(2, None, MonoMs(LEASE_MS + 1));
    let in_time = guard.decide(2, None, MonoMs(2 * LEASE_MS));
    let marked = guard.decide(2, Some(2), MonoMs(2 * LEASE_MS));
    let other_marked = other_guard.decide(2, Some(2), MonoMs(0));

    assert_eq!(
        [first_decision, after_second_restore, too_soon],
        [
            ClaimDecision::Wait,
            ClaimDecision::Wait,
            ClaimDecision::Wait
        ]
    );
    assert_eq!(in_time, ClaimDecision::AllowAndMark);
    assert_eq!([marked, other_marked], [ClaimDecision::Allow; 2]);
}
