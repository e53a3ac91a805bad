//! Sharing the slots of all targets between the entries by their demand.

#![allow(clippy::cast_precision_loss)] // small counts

use std::net::SocketAddr;
use std::sync::Arc;

use berylhook_core::time::MonoMs;
use berylhook_traffic::demand::SlotDemand;
use berylhook_traffic::slot_sharing::messages::{QuotaList, SlotReply, SlotReport};
use berylhook_traffic::slot_sharing::smoothing::SmoothedDemand;
use berylhook_traffic::slot_sharing::{SharedTarget, SlotSharing};
use indexmap::IndexMap;

const REPORT_INTERVAL_MS: u64 = 200;

/// Time that a request holds its slot in this model.
const SLOT_MS: u64 = 1_400;

/// Arrivals of the three levels in a service with drafts, summaries and batch requests, in parts.
const LEVEL_PARTS: [(u32, u32); 3] = [(0, 80), (1, 35), (2, 105)];

/// A small generator of reproducible random numbers (xorshift).
struct Random(u64);

impl Random {
    /// A number from 0 to 1.
    fn fraction(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        f64::from((self.0 >> 40) as u32) / f64::from(1_u32 << 24)
    }

    fn level(&mut self) -> u32 {
        let total: u32 = LEVEL_PARTS.iter().map(|(_, part)| part).sum();
        let mut left = self.fraction() * f64::from(total);
        for (level, part) in LEVEL_PARTS {
            left -= f64::from(part);
            if left < 0.0 {
                return level;
            }
        }
        LEVEL_PARTS[2].0
    }
}

/// An entry that runs requests within its quotas at each target and refuses all others.
struct Entry {
    address: SocketAddr,
    data_centre: Arc<str>,
    /// Mean arrivals per second.
    rate: f64,
    is_reporting: bool,
    /// Whether reports list the requests in lost slots. Without them, slots change owners at once.
    lists_over_quota: bool,
    demand: SlotDemand,
    smoothed: SmoothedDemand,
    quotas: IndexMap<Arc<str>, u32>,
    version: Option<u64>,
    /// When the running requests end, by target.
    ends_ms: IndexMap<Arc<str>, Vec<u64>>,
    arrived: u32,
    refused: u32,
}

impl Entry {
    fn quota_in(&self, data_centre: &str) -> u32 {
        let quotas = self.quotas.iter();
        let there = quotas.filter(|(id, _)| id.starts_with(data_centre));
        there.map(|(_, quota)| quota).sum()
    }

    fn running_at(&self, id: &str) -> u32 {
        let running = self.ends_ms.get(id).map_or(0, Vec::len);
        u32::try_from(running).expect("hundreds at most")
    }

    /// Running requests beyond the quota at each target.
    fn over_quota(&self) -> QuotaList {
        let excesses = self.ends_ms.keys().map(|id| {
            let quota = self.quotas.get(id).copied().unwrap_or(0);
            (Arc::clone(id), self.running_at(id).saturating_sub(quota))
        });
        excesses.filter(|(_, excess)| *excess > 0).collect()
    }

    fn end_requests(&mut self, now_ms: u64) {
        for ends_ms in self.ends_ms.values_mut() {
            ends_ms.retain(|end_ms| *end_ms > now_ms);
        }
    }

    fn report(&mut self, lists_quotas: bool, now_ms: u64) -> SlotReport {
        self.smoothed.update(&mut self.demand, MonoMs(now_ms));
        let quotas: QuotaList = self.quotas.clone().into_iter().collect();
        SlotReport {
            data_centre: Arc::clone(&self.data_centre),
            arrivals_per_s: self.smoothed.arrivals_per_s(),
            recent_per_s: self.smoothed.recent_per_s(),
            mean_slot_ms: self.demand.mean_slot_ms(),
            running: self.ends_ms.keys().map(|id| self.running_at(id)).sum(),
            queued: 0,
            limit: None,
            version: self.version,
            quotas: (lists_quotas && self.version.is_some()).then_some(quotas),
            over_quota: if self.lists_over_quota {
                self.over_quota()
            } else {
                QuotaList::new()
            },
        }
    }

    fn apply(&mut self, reply: SlotReply) {
        if let Some(quotas) = reply.quotas {
            self.quotas = quotas.into_iter().collect();
            self.version = reply.version;
        }
    }

    /// Returns the target at which the request runs; `None` if it is refused.
    fn arrive(&mut self, random: &mut Random, now_ms: u64) -> Option<Arc<str>> {
        self.demand.on_arrival(random.level(), MonoMs(now_ms));
        self.arrived += 1;
        let mut quotas = self.quotas.iter();
        let free = quotas.find(|(id, quota)| self.running_at(id) < **quota);
        if let Some(target) = free.map(|(id, _)| Arc::clone(id)) {
            #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
            let held_ms = (SLOT_MS as f64 * (0.5 + random.fraction())) as u64;
            let ends_ms = self.ends_ms.entry(Arc::clone(&target)).or_default();
            ends_ms.push(now_ms + held_ms);
            self.demand.on_completed(held_ms as f64);
            Some(target)
        } else {
            self.refused += 1;
            None
        }
    }
}

/// Entries that share targets, and the present home.
struct Fleet {
    entries: Vec<Entry>,
    targets: Vec<SharedTarget>,
    home: SlotSharing,
    random: Random,
    now_ms: u64,
    /// The fraction of the slots that the home allocates.
    fraction: f64,
    /// Whether the home does not know the entries' quotas.
    is_home_new: bool,
    moved: Vec<u32>,
    /// Requests that began at a target where all slots were in use.
    queued_at_targets: u32,
}

impl Fleet {
    /// Entries and targets in equal numbers in three data centres; the whole demand is `load` times
    /// what the slots can serve.
    fn new(entries: usize, targets: usize, slots: u32, load: f64) -> Self {
        let total = f64::from(slots) * targets as f64;
        let rate = load * total * 1_000.0 / SLOT_MS as f64 / entries as f64;
        let entries = (0..entries).map(|index| Entry {
            address: ([10, 0, 0, u8::try_from(index).expect("few")], 7_000).into(),
            data_centre: data_centre(index),
            rate,
            is_reporting: true,
            lists_over_quota: false,
            demand: SlotDemand::new(SLOT_MS as f64),
            smoothed: SmoothedDemand::default(),
            quotas: IndexMap::new(),
            version: None,
            ends_ms: IndexMap::new(),
            arrived: 0,
            refused: 0,
        });
        let targets = (0..targets).map(|index| SharedTarget {
            data_centre: data_centre(index),
            id: format!("{}-engine-{index:03}", data_centre(index)).into(),
            slots,
        });
        Self {
            entries: entries.collect(),
            targets: targets.collect(),
            home: SlotSharing::new(1_000),
            random: Random(0x2545_f491_4f6c_dd1d),
            now_ms: 10_000,
            fraction: 1.0,
            is_home_new: true,
            moved: Vec::new(),
            queued_at_targets: 0,
        }
    }

    /// Lets time pass. The entries report in turn, spread over each interval.
    fn run_s(&mut self, seconds: u64) {
        let end_ms = self.now_ms + seconds * 1_000;
        while self.now_ms < end_ms {
            self.now_ms += 1;
            let now_ms = self.now_ms;
            let mut placed: Vec<Arc<str>> = Vec::new();
            for entry in &mut self.entries {
                entry.end_requests(now_ms);
                if self.random.fraction() < entry.rate / 1_000.0 {
                    placed.extend(entry.arrive(&mut self.random, now_ms));
                }
            }
            for id in placed {
                let running: u32 = self.entries.iter().map(|it| it.running_at(&id)).sum();
                let target = self.targets.iter().find(|target| target.id == id);
                let slots = target.map_or(0, |target| target.slots);
                self.queued_at_targets += u32::from(running > slots);
            }
            for index in 0..self.entries.len() {
                let offset_ms = 3 * index as u64;
                if now_ms % REPORT_INTERVAL_MS == offset_ms && self.entries[index].is_reporting {
                    self.report(index);
                }
            }
            if now_ms % REPORT_INTERVAL_MS == REPORT_INTERVAL_MS - 1 {
                self.moved.push(self.home.moved_slots());
            }
        }
    }

    fn report(&mut self, index: usize) {
        let entry = &mut self.entries[index];
        let mut report = entry.report(self.is_home_new, self.now_ms);
        let mut reply = self.reply(index, &report);
        if reply.wants_quotas {
            report = self.entries[index].report(true, self.now_ms);
            reply = self.reply(index, &report);
        }
        self.entries[index].apply(reply);
    }

    fn reply(&mut self, index: usize, report: &SlotReport) -> SlotReply {
        let address = self.entries[index].address;
        let targets = || self.targets.clone();
        let now_ms = MonoMs(self.now_ms);
        let fraction = self.fraction;
        self.home
            .on_report(address, report, targets, fraction, now_ms)
    }

    fn replace_home(&mut self) {
        self.home = SlotSharing::new(5_000_000);
        self.is_home_new = true;
    }

    fn restart_counts(&mut self) {
        self.moved.clear();
        self.queued_at_targets = 0;
        for entry in &mut self.entries {
            (entry.arrived, entry.refused) = (0, 0);
        }
    }

    /// The quotas of the reporting entries in one allocation. Those that entries apply differ for
    /// the time between two reports.
    fn allocation(&mut self) -> Vec<IndexMap<Arc<str>, u32>> {
        let reporting = (0..self.entries.len()).filter(|it| self.entries[*it].is_reporting);
        let mut allocation = Vec::new();
        for index in reporting.collect::<Vec<usize>>() {
            let mut report = self.entries[index].report(false, self.now_ms);
            report.version = None;
            let quotas = self.reply(index, &report).quotas;
            allocation.push(quotas.into_iter().flatten().collect());
        }
        allocation
    }

    /// The number of slots of each reporting entry in one allocation.
    fn shares(&mut self) -> Vec<u32> {
        let allocation = self.allocation();
        allocation
            .iter()
            .map(|quotas| quotas.values().sum())
            .collect()
    }

    /// The slots of the entries of one data centre.
    fn share_of(&mut self, data_centre: &str) -> u32 {
        let shares = self.shares();
        let entries = self.entries.iter().zip(shares);
        let local = entries.filter(|(entry, _)| &*entry.data_centre == data_centre);
        local.map(|(_, share)| share).sum()
    }

    fn set_rates(&mut self, data_centre: &str, factor: f64) {
        for entry in &mut self.entries {
            if &*entry.data_centre == data_centre {
                entry.rate *= factor;
            }
        }
    }

    /// Fails if the quotas of one allocation at a target add up to more than its slots.
    fn assert_no_slot_given_twice(&mut self) {
        let allocation = self.allocation();
        for target in &self.targets {
            let quotas = allocation
                .iter()
                .filter_map(|quotas| quotas.get(&target.id));
            let sum: u32 = quotas.sum();
            assert!(sum <= target.slots, "{sum} quotas at {}", target.id);
        }
    }
}

fn data_centre(index: usize) -> Arc<str> {
    ["east", "north", "west"][index % 3].into()
}

/// A report of an entry that has only requests of one urgency, each of one second.
fn report_of(urgency: u32, per_s: f64) -> SlotReport {
    SlotReport {
        data_centre: "east".into(),
        arrivals_per_s: vec![(urgency, per_s)],
        recent_per_s: per_s,
        mean_slot_ms: 1_000.0,
        running: 0,
        queued: 0,
        limit: None,
        version: None,
        quotas: None,
        over_quota: Vec::new(),
    }
}

fn sum(quotas: &[u32]) -> u32 {
    quotas.iter().sum()
}

/// Fails unless all slots are in use by quotas, but for those that change owners at the moment.
fn assert_all_given(shares: &[u32], slots: u32) {
    let given = sum(shares);
    assert!(
        given <= slots && given >= slots * 96 / 100,
        "{given} of {slots} in {shares:?}"
    );
}

/// Guards against equal shares: the callers of a large entry would be refused while a small one
/// has free slots.
#[test]
fn an_entry_with_three_times_the_demand_gets_three_times_the_slots() {
    let mut fleet = Fleet::new(16, 63, 10, 1.2);
    for entry in &mut fleet.entries[..8] {
        entry.rate *= 1.5;
    }
    for entry in &mut fleet.entries[8..] {
        entry.rate *= 0.5;
    }

    fleet.run_s(8);

    let quotas = fleet.shares();
    let ratio = f64::from(sum(&quotas[..8])) / f64::from(sum(&quotas[8..]));
    assert_all_given(&quotas, 630);
    assert!((2.6..=3.4).contains(&ratio), "{ratio} in {quotas:?}");
    fleet.assert_no_slot_given_twice();
}

/// Guards against refusals that depend on the entry that a caller was assigned to.
#[test]
fn all_entries_refuse_about_the_same_fraction() {
    let mut fleet = Fleet::new(16, 63, 10, 1.6);
    for (index, entry) in fleet.entries.iter_mut().enumerate() {
        entry.rate *= 0.7 + 0.04 * index as f64;
    }
    fleet.run_s(6);
    fleet.restart_counts();

    fleet.run_s(30);

    let entries = fleet.entries.iter();
    let fractions: Vec<f64> = entries
        .map(|entry| f64::from(entry.refused) / f64::from(entry.arrived))
        .collect();
    let mean = fractions.iter().sum::<f64>() / fractions.len() as f64;
    for fraction in &fractions {
        assert!((fraction - mean).abs() < 0.05, "{mean} in {fractions:?}");
    }
}

/// Guards against allocations that follow the noise of measured demand: each moved slot may queue a
/// request at its target.
#[test]
fn few_slots_move_while_the_demand_is_steady() {
    let mut fleet = Fleet::new(16, 63, 10, 1.2);
    fleet.run_s(6);
    fleet.restart_counts();

    fleet.run_s(20);

    let moved = f64::from(sum(&fleet.moved)) / fleet.moved.len() as f64;
    assert!(moved < 0.02 * 630.0, "{moved} per allocation");
    fleet.assert_no_slot_given_twice();
}

/// Guards against slots that are granted while their previous owner still uses them: requests of
/// both would queue at the target.
#[test]
fn no_target_runs_more_requests_than_it_has_slots_while_the_demand_is_steady() {
    let mut fleet = Fleet::new(16, 63, 10, 1.2);
    for entry in &mut fleet.entries {
        entry.lists_over_quota = true;
    }
    fleet.run_s(6);
    fleet.restart_counts();

    fleet.run_s(20);

    let arrived: u32 = fleet.entries.iter().map(|entry| entry.arrived).sum();
    assert!(arrived > 5_000, "{arrived} requests");
    assert_eq!(fleet.queued_at_targets, 0);
}

/// Guards against shares that lag behind a data centre whose demand doubles.
#[test]
fn a_doubled_demand_of_a_data_centre_is_followed_within_seconds() {
    let mut fleet = Fleet::new(16, 63, 10, 0.9);
    fleet.run_s(6);
    let before = fleet.share_of("north");
    fleet.set_rates("north", 2.0);

    fleet.run_s(2);

    let after = fleet.share_of("north");
    assert!(
        after > before * 13 / 10,
        "{before} slots before, {after} after"
    );
    fleet.assert_no_slot_given_twice();
}

/// Guards against slots that stay in other data centres once a wave of demand has passed: bytes
/// between data centres are charged.
#[test]
fn after_a_wave_entries_have_slots_of_their_own_data_centre_again() {
    let mut fleet = Fleet::new(15, 63, 10, 1.2);
    fleet.run_s(4);
    fleet.set_rates("east", 1.5);
    fleet.run_s(4);
    fleet.set_rates("east", 1.0 / 1.5);

    fleet.run_s(8);

    let entries = fleet.entries.iter();
    let local: u32 = entries
        .map(|entry| entry.quota_in(&entry.data_centre))
        .sum();
    assert!(local > 630 * 8 / 10, "{local} slots are local");
}

/// Guards against slots that nobody may use after an entry was killed.
#[test]
fn the_slots_of_an_entry_that_does_not_report_go_to_the_others() {
    let mut fleet = Fleet::new(16, 63, 10, 1.2);
    fleet.run_s(4);
    fleet.entries[3].is_reporting = false;

    fleet.run_s(2);

    assert_all_given(&fleet.shares(), 630);
    fleet.assert_no_slot_given_twice();
}

/// Guards against an entry that was frozen or cut off and takes slots from others that got them in
/// the meantime.
#[test]
fn an_entry_that_returns_with_old_quotas_gets_no_slot_of_another_entry_twice() {
    let mut fleet = Fleet::new(16, 63, 10, 1.2);
    fleet.run_s(4);
    fleet.entries[3].is_reporting = false;
    fleet.run_s(3);
    fleet.entries[3].is_reporting = true;

    fleet.run_s(2);

    let quotas = fleet.shares();
    assert_all_given(&quotas, 630);
    assert!(quotas[3] > 25, "{quotas:?}");
    fleet.assert_no_slot_given_twice();
}

/// Guards against an entry that has just started and finds all slots taken.
#[test]
fn an_entry_that_has_just_started_gets_its_slots_within_a_second() {
    let mut fleet = Fleet::new(16, 63, 10, 1.2);
    fleet.entries[5].is_reporting = false;
    fleet.run_s(4);
    fleet.entries[5].is_reporting = true;

    fleet.run_s(1);

    // An equal share is 39; the demand of the first second is known only to within a half.
    let shares = fleet.shares();
    assert!(shares[5] >= 19, "{shares:?}");
    fleet.assert_no_slot_given_twice();
}

/// Guards against requests of two entries that meet at a target: a slot is granted to its new owner
/// only when the previous one no longer runs a request there.
#[test]
fn a_slot_is_granted_once_its_previous_owner_cannot_use_it() {
    let mut home = SlotSharing::new(1);
    let targets = || {
        vec![SharedTarget {
            data_centre: "east".into(),
            id: "a".into(),
            slots: 10,
        }]
    };
    let report = |version: Option<u64>, per_s: f64, over_quota: u32| SlotReport {
        running: 5,
        version,
        over_quota: Vec::from_iter((over_quota > 0).then(|| ("a".into(), over_quota))),
        ..report_of(0, per_s)
    };
    let mut send = |last: u8, report: &SlotReport, at_ms: u64| {
        let from = ([10, 0, 0, last], 7_000).into();
        home.on_report(from, report, targets, 1.0, MonoMs(at_ms))
    };
    let slots = |reply: &SlotReply| reply.quotas.iter().flatten().map(|(_, slots)| slots).sum();
    let (mut first, mut second) = (SlotReply::default(), SlotReply::default());
    for at_ms in (0..=2_000).step_by(200) {
        first = send(1, &report(first.version, 5.0, 0), at_ms);
        second = send(2, &report(second.version, 5.0, 0), at_ms);
    }

    // The demand moves to the second entry, and the first still runs two requests too many.
    first = send(1, &report(first.version, 2.0, 0), 2_200);
    let unacknowledged = send(2, &report(None, 8.0, 0), 2_210);
    first = send(1, &report(first.version, 2.0, 2), 2_400);
    let still_running = send(2, &report(None, 8.0, 0), 2_410);
    send(1, &report(first.version, 2.0, 0), 2_600);
    let free = send(2, &report(None, 8.0, 0), 2_610);

    // The allocation tolerates a deviation of one slot from the ideal shares of two and eight.
    let granted: Vec<u32> = [unacknowledged, still_running, free]
        .iter()
        .map(slots)
        .collect();
    assert_eq!(granted, [5, 5, 7]);
}

/// Guards against a change of the home that moves slots: requests of both owners would meet at the
/// targets.
#[test]
fn a_new_home_keeps_the_quotas_in_force() {
    let mut fleet = Fleet::new(16, 63, 10, 1.2);
    fleet.run_s(6);
    let before: Vec<IndexMap<Arc<str>, u32>> = fleet
        .entries
        .iter()
        .map(|entry| entry.quotas.clone())
        .collect();
    fleet.replace_home();
    fleet.entries[0].is_reporting = false;
    fleet.run_s(1);
    let adopted: Vec<IndexMap<Arc<str>, u32>> = fleet
        .entries
        .iter()
        .map(|entry| entry.quotas.clone())
        .collect();
    fleet.is_home_new = false;
    fleet.restart_counts();

    fleet.run_s(1);

    assert_eq!(adopted, before);
    // In the first allocation of its own, the slots of the previous home move, and few others.
    let lost: u32 = before[0].values().sum();
    assert!(fleet.moved[0] < 2 * lost, "{:?} slots moved", fleet.moved);
    fleet.assert_no_slot_given_twice();
}

/// Guards against quotas at targets that were lost: an entry would count on slots that it cannot
/// use.
#[test]
fn when_a_data_centre_is_lost_its_slots_are_not_allocated() {
    let mut fleet = Fleet::new(16, 63, 10, 1.2);
    fleet.run_s(4);
    fleet
        .targets
        .retain(|target| &*target.data_centre != "west");

    fleet.run_s(1);

    assert_all_given(&fleet.shares(), 420);
    fleet.assert_no_slot_given_twice();
}

/// Guards against a limit that leaves an entry no headroom while most slots are free.
#[test]
fn at_low_load_each_entry_has_headroom() {
    let mut fleet = Fleet::new(16, 63, 10, 0.3);
    fleet.run_s(4);
    fleet.restart_counts();

    fleet.run_s(10);

    let refused: u32 = fleet.entries.iter().map(|entry| entry.refused).sum();
    assert_eq!(refused, 0, "{:?}", fleet.shares());
}

/// Guards against shares that favour less urgent requests: slots must go where the most urgent
/// demand is.
#[test]
fn the_most_urgent_demand_gets_slots_first() {
    let mut home = SlotSharing::new(1);
    let targets = || {
        vec![SharedTarget {
            data_centre: "east".into(),
            id: "a".into(),
            slots: 100,
        }]
    };
    let mut replies = Vec::new();

    for at_ms in (0..=2_000).step_by(200) {
        let mut send = |last: u8, report: &SlotReport| {
            let from = ([10, 0, 0, last], 7_000).into();
            home.on_report(from, report, targets, 1.0, MonoMs(at_ms))
        };
        replies = vec![send(1, &report_of(0, 80.0)), send(2, &report_of(2, 200.0))];
    }

    let totals: Vec<u32> = replies
        .iter()
        .map(|reply| reply.quotas.iter().flatten().map(|(_, quota)| quota).sum())
        .collect();
    assert_eq!(totals, [80, 20]);
    assert_eq!(replies[1].scarce_level, Some(2));
}

/// Guards against a size of the fleet at which each entry has few slots at small targets.
#[test]
fn many_entries_share_many_small_targets() {
    let mut fleet = Fleet::new(53, 192, 6, 1.2);

    fleet.run_s(4);

    let quotas = fleet.shares();
    assert_all_given(&quotas, 1_152);
    assert!(quotas.iter().all(|quota| *quota >= 2), "{quotas:?}");
    fleet.assert_no_slot_given_twice();
}

/// Guards against a new home that reports too few slots in use: only entries that have reported to
/// it count.
#[test]
fn a_home_names_no_fraction_in_use_before_it_knows_the_entries() {
    let mut home = SlotSharing::new(1);
    let targets = || {
        vec![SharedTarget {
            data_centre: "east".into(),
            id: "a".into(),
            slots: 10,
        }]
    };
    let mut send = |last: u8, version: Option<u64>, quotas: Option<QuotaList>, at_ms: u64| {
        let report = SlotReport {
            running: 4,
            version,
            quotas,
            ..report_of(0, 4.0)
        };
        let from = ([10, 0, 0, last], 7_000).into();
        let reply = home.on_report(from, &report, targets, 1.0, MonoMs(at_ms));
        serde_json::to_value(reply).expect("a plain structure")
    };
    let fraction = |reply: &serde_json::Value| reply.get("fraction_in_use").cloned();

    let first = send(1, Some(7), Some(vec![("a".into(), 5)]), 0);
    let unlisted = send(2, Some(8), None, 10);
    let second = send(2, Some(8), Some(vec![("a".into(), 5)]), 20);
    for at_ms in (200..1_000).step_by(200) {
        send(1, Some(7), None, at_ms);
        send(2, Some(8), None, at_ms + 10);
    }
    let adopted = send(1, Some(7), None, 1_000);
    let late = send(3, Some(9), None, 1_010);

    assert_eq!(unlisted["wants_quotas"], true);
    assert_eq!(late["wants_quotas"], true);
    assert_eq!(
        [&first, &unlisted, &second, &late].map(fraction),
        [const { None }; 4]
    );
    assert_eq!(fraction(&adopted), Some(0.8.into()));
}

/// Guards against a home that was cut off and gives the slots of entries it has not heard of to
/// itself once it is in contact again.
#[test]
fn a_home_that_is_in_contact_again_adopts_the_quotas_of_the_others_first() {
    let mut fleet = Fleet::new(3, 6, 10, 1.2);
    fleet.run_s(4);
    let before: Vec<IndexMap<Arc<str>, u32>> = fleet.entries[1..]
        .iter()
        .map(|entry| entry.quotas.clone())
        .collect();
    fleet.fraction = 1.0 / 3.0;
    fleet.entries[1].is_reporting = false;
    fleet.entries[2].is_reporting = false;
    fleet.run_s(2);
    fleet.fraction = 1.0;
    fleet.entries[1].is_reporting = true;
    fleet.entries[2].is_reporting = true;

    fleet.run_s(1);

    let after: Vec<IndexMap<Arc<str>, u32>> = fleet.entries[1..]
        .iter()
        .map(|entry| entry.quotas.clone())
        .collect();
    assert_eq!(after, before);
    fleet.run_s(2);
    fleet.assert_no_slot_given_twice();
    assert_all_given(&fleet.shares(), 60);
}

/// Guards against an entry that refuses or holds everything because the home has no free slot for
/// it yet.
#[test]
fn an_entry_gets_no_quotas_before_a_slot_is_free_for_it() {
    let mut home = SlotSharing::new(1);
    let targets = || {
        vec![SharedTarget {
            data_centre: "east".into(),
            id: "a".into(),
            slots: 10,
        }]
    };
    let mut send = |last: u8, version: Option<u64>, over_quota: u32, at_ms: u64| {
        let report = SlotReport {
            running: 10 * u32::from(last == 1),
            version,
            over_quota: Vec::from_iter((over_quota > 0).then(|| ("a".into(), over_quota))),
            ..report_of(0, 10.0)
        };
        let from = ([10, 0, 0, last], 7_000).into();
        home.on_report(from, &report, targets, 1.0, MonoMs(at_ms))
    };
    let mut first = SlotReply::default();
    for at_ms in (0..=2_000).step_by(200) {
        first = send(1, first.version, 0, at_ms);
    }

    let taken = send(2, None, 0, 2_100);
    first = send(1, first.version, 0, 2_200);
    first = send(1, first.version, 5, 2_400);
    let running = send(2, None, 0, 2_410);
    send(1, first.version, 0, 2_600);
    let free = send(2, None, 0, 2_610);

    assert_eq!((taken.version, taken.quotas), (None, None));
    assert_eq!((running.version, running.quotas), (None, None));
    assert!(free.version.is_some());
    assert_eq!(free.quotas, Some(vec![("a".into(), 5)]));
}
