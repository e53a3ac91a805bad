//! A simulation of a fleet of entries that send requests to one target with a rate limit.
//! Messages between entries are delayed and lost, and entries have faults. The decisions are
//! those of the real admission gates and coordinators.

#![allow(dead_code)] // each test binary uses a different part

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::net::SocketAddr;

use berylhook_backpressure::coordinator::{Members, PermitCoordinator, RequestFailure};
use berylhook_backpressure::gate::AdmissionGate;
use berylhook_backpressure::messages::{
    LimitMessage, LimitReply, LimitReport, PermitGrant, PermitRequest,
};
use berylhook_backpressure::rate::RequestRate;
use berylhook_backpressure::signal::LimitSignal;
use berylhook_core::time::MonoMs;

/// How the entries share the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SharingPolicy {
    /// The entries ignore the limit.
    Ignored,
    /// Each entry uses an equal part, according to the number of members it knows.
    EvenParts,
    /// Only one of the entries sends requests to the target.
    OneOwner,
    /// The home grants permits.
    Permits,
}

/// A fault of one or more entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The process of this entry exits, and starts again at the end of the fault.
    Killed(usize),
    /// The process of this entry is paused.
    Paused(usize),
    /// Messages from this entry to other entries are lost; messages to it arrive.
    OutboundLoss(usize),
    /// Entries below this index and all others are partitioned from each other.
    Partition(usize),
}

/// The parameters of one simulation.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub policy: SharingPolicy,
    pub entries: usize,
    pub limit_per_s: f64,
    /// Changes of the limit: the time in milliseconds and the new limit per second, or 0
    /// for none.
    pub limit_changes: Vec<(u64, f64)>,
    /// Requests per second that each entry would send to the target without a limit.
    pub demand_per_s: Vec<f64>,
    /// Start and end of a time without demand.
    pub no_demand_ms: (u64, u64),
    /// Probability that a message between entries is lost.
    pub loss_probability: f64,
    /// The faults with their start and end in milliseconds.
    pub faults: Vec<(Fault, u64, u64)>,
    pub duration_ms: u64,
    pub seed: u64,
}

impl Scenario {
    /// Returns a simulation without faults in which all entries have equal demand: six
    /// times the limit in total, but at least eight requests per second each.
    pub fn even(policy: SharingPolicy, entries: usize, limit_per_s: f64, seed: u64) -> Self {
        let count = u32::try_from(entries).expect("a small fleet");
        let demand_per_entry = (limit_per_s * 6.0 / f64::from(count)).max(8.0);
        Self {
            policy,
            entries,
            limit_per_s,
            limit_changes: Vec::new(),
            demand_per_s: vec![demand_per_entry; entries],
            no_demand_ms: (0, 0),
            loss_probability: 0.0,
            faults: Vec::new(),
            duration_ms: 24_000,
            seed,
        }
    }
}

/// The result of a simulation.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// When requests were sent to the target, in order.
    pub sent_ms: Vec<u64>,
    /// Number of messages between entries.
    pub messages: u64,
}

impl Outcome {
    /// Returns the largest ratio of sent to allowed requests in any 4 s from `from_ms` on.
    /// The service's objective allows 1.5 times the limit plus five requests.
    pub fn max_ratio_to_allowed(&self, limit_per_s: f64, from_ms: u64) -> f64 {
        let allowed = limit_per_s * 4.0 * 1.5 + 5.0;
        let sent_after_start: Vec<u64> = self
            .sent_ms
            .iter()
            .copied()
            .filter(|at_ms| *at_ms >= from_ms)
            .collect();
        let mut window = VecDeque::new();
        let mut max_in_window = 0;
        for at_ms in sent_after_start {
            window.push_back(at_ms);
            while window.front().is_some_and(|first| first + 4_000 <= at_ms) {
                window.pop_front();
            }
            max_in_window = max_in_window.max(window.len());
        }
        f64::from(u32::try_from(max_in_window).expect("few requests")) / allowed
    }

    /// Returns the requests per second sent between `from_ms` and `to_ms`.
    pub fn rate_per_s(&self, from_ms: u64, to_ms: u64) -> f64 {
        let in_span = self
            .sent_ms
            .iter()
            .filter(|at_ms| (from_ms..to_ms).contains(*at_ms));
        let count = u32::try_from(in_span.count()).expect("few requests");
        let span_ms = u32::try_from(to_ms - from_ms).expect("a short span");
        f64::from(count) * 1_000.0 / f64::from(span_ms)
    }
}

/// Pseudo-random number generator (splitmix64).
struct Random(u64);

impl Random {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    fn fraction(&mut self) -> f64 {
        let bits = u32::try_from(self.next() >> 32).expect("32 bits");
        f64::from(bits) / (f64::from(u32::MAX) + 1.0)
    }

    fn below(&mut self, bound: u64) -> u64 {
        self.next() % bound
    }
}

#[derive(Clone, Debug)]
enum Event {
    Arrival(usize),
    RequestPermits(usize),
    TargetResponse {
        entry: usize,
        limit: LimitSignal,
    },
    Message {
        to: usize,
        message_seq: u64,
        message: LimitMessage<u32>,
    },
    Reply {
        to: usize,
        from: usize,
        message_seq: u64,
        reply: LimitReply<u32>,
    },
    RequestFailed {
        entry: usize,
        peer: usize,
        message_seq: u64,
        failure: RequestFailure,
    },
}

#[derive(Debug)]
struct Entry {
    gate: AdmissionGate,
    coordinator: PermitCoordinator<u32>,
    /// Sequence number and send time of the request whose reply is pending.
    pending_request: Option<(u64, u64)>,
    /// Number of restarts.
    restarts: u32,
    /// When the process was restarted; 0 if it runs since the beginning.
    started_ms: u64,
    tokens: f64,
    refilled_ms: u64,
    next_request_ms: u64,
}

const TARGET: u32 = 0;
/// Time until all entries know the limit, for the policies without messages.
const LIMIT_KNOWN_AFTER_MS: u64 = 300;
const REQUEST_INTERVAL_MS: u64 = 200;
const REQUEST_JITTER_MS: u64 = 100;
const REPLY_TIMEOUT_MS: u64 = 300;
const REFUSED_AFTER_MS: u64 = 2;
const RESPONSE_AFTER_MS: u64 = 100;
/// Time from the start of a process until it accepts requests.
const READY_AFTER_MS: u64 = 300;
/// Time after which an unreachable entry is not in [`Members::present`].
const REMOVED_AFTER_MS: u64 = 5_000;
/// Time after which an unreachable entry is not in [`Members::known`].
const FORGOTTEN_AFTER_MS: u64 = 12_000;

struct Simulation {
    scenario: Scenario,
    random: Random,
    now_ms: u64,
    event_seq: u64,
    event_queue: BinaryHeap<Reverse<(u64, u64, usize)>>,
    payloads: Vec<Option<Event>>,
    entries: Vec<Entry>,
    outcome: Outcome,
}

fn address(entry: usize) -> SocketAddr {
    let last = u8::try_from(entry + 1).expect("a small fleet");
    ([10, 0, 0, last], 7_000).into()
}

fn index(address: SocketAddr) -> usize {
    let octets = match address {
        SocketAddr::V4(address) => address.ip().octets(),
        SocketAddr::V6(_) => unreachable!("the simulation has only IPv4 addresses"),
    };
    usize::from(octets[3]) - 1
}

/// Runs the simulation of a scenario.
pub fn simulate(scenario: Scenario) -> Outcome {
    let mut simulation = Simulation::new(scenario);
    simulation.run();
    simulation.outcome
}

impl Simulation {
    fn new(scenario: Scenario) -> Self {
        let mut random = Random(scenario.seed);
        let entries = (0..scenario.entries).map(|entry| Entry {
            gate: AdmissionGate::default(),
            coordinator: PermitCoordinator::new(address(entry), "drafts"),
            pending_request: None,
            restarts: 0,
            started_ms: 0,
            tokens: random.fraction(),
            refilled_ms: 0,
            next_request_ms: 0,
        });
        let entries = entries.collect();
        Self {
            random,
            now_ms: 1,
            event_seq: 0,
            event_queue: BinaryHeap::new(),
            payloads: Vec::new(),
            entries,
            outcome: Outcome::default(),
            scenario,
        }
    }

    /// Schedules an event.
    fn schedule(&mut self, at_ms: u64, event: Event) {
        self.event_seq += 1;
        self.payloads.push(Some(event));
        let payload = self.payloads.len() - 1;
        self.event_queue
            .push(Reverse((at_ms, self.event_seq, payload)));
    }

    fn run(&mut self) {
        for entry in 0..self.scenario.entries {
            self.schedule_next_arrival(entry);
            let at_ms = 1 + self.random.below(REQUEST_INTERVAL_MS);
            self.entries[entry].next_request_ms = at_ms;
            self.schedule(at_ms, Event::RequestPermits(entry));
        }
        while let Some(Reverse((at_ms, _, payload))) = self.event_queue.pop() {
            if at_ms > self.scenario.duration_ms {
                return;
            }
            self.now_ms = at_ms;
            let event = self.payloads[payload]
                .take()
                .expect("each event is handled once");
            self.restart_killed();
            self.handle(event);
        }
    }

    /// Restarts killed entries whose fault has ended, with empty state.
    fn restart_killed(&mut self) {
        for (fault, _, to_ms) in self.scenario.faults.clone() {
            if let Fault::Killed(entry) = fault
                && self.now_ms >= to_ms
                && self.entries[entry].restarts == 0
            {
                let restarted_ms = self.now_ms;
                self.entries[entry] = Entry {
                    gate: AdmissionGate::default(),
                    coordinator: PermitCoordinator::new(address(entry), "drafts"),
                    pending_request: None,
                    restarts: 1,
                    started_ms: restarted_ms,
                    tokens: 0.0,
                    refilled_ms: restarted_ms,
                    next_request_ms: restarted_ms,
                };
                self.schedule(restarted_ms, Event::RequestPermits(entry));
                self.query_peer(entry);
            }
        }
    }

    /// A process that has just started queries a peer for the limits known to it.
    fn query_peer(&mut self, entry: usize) {
        let peer = (entry + 1) % self.scenario.entries;
        let message = self.message(entry, Vec::new());
        self.send_message(entry, peer, message, false);
    }

    /// Returns until when the process of an entry is paused or down.
    fn paused_until_ms(&self, entry: usize) -> Option<u64> {
        self.scenario
            .faults
            .iter()
            .find_map(|(fault, from_ms, to_ms)| {
                let is_stopped = *fault == Fault::Killed(entry) || *fault == Fault::Paused(entry);
                (is_stopped && (*from_ms..*to_ms).contains(&self.now_ms)).then_some(*to_ms)
            })
    }

    fn is_killed(&self, entry: usize) -> bool {
        self.scenario.faults.iter().any(|(fault, from_ms, to_ms)| {
            *fault == Fault::Killed(entry) && (*from_ms..*to_ms).contains(&self.now_ms)
        })
    }

    /// Whether `event` is a request arrival that the simulation drops: during the time without
    /// demand, or while the process has just started and queries a peer.
    fn drops_arrival(&self, event: &Event) -> bool {
        let Event::Arrival(entry) = event else {
            return false;
        };
        let started_ms = self.entries[*entry].started_ms;
        let is_starting = started_ms > 0 && self.now_ms < started_ms + READY_AFTER_MS;
        is_starting
            || (self.scenario.no_demand_ms.0..self.scenario.no_demand_ms.1).contains(&self.now_ms)
    }

    /// Whether a message between two entries is lost, by a fault or at random.
    fn is_lost(&mut self, from: usize, to: usize) -> bool {
        let now_ms = self.now_ms;
        let is_blocked = self.scenario.faults.iter().any(|(fault, from_ms, to_ms)| {
            let is_affected = match fault {
                Fault::OutboundLoss(entry) => *entry == from,
                Fault::Partition(boundary) => (from < *boundary) != (to < *boundary),
                Fault::Killed(_) | Fault::Paused(_) => false,
            };
            is_affected && (*from_ms..*to_ms).contains(&now_ms)
        });
        is_blocked || self.random.fraction() < self.scenario.loss_probability
    }

    /// Returns the target's current limit per second, or 0 if there is none.
    fn limit(&self) -> f64 {
        let last_change = self
            .scenario
            .limit_changes
            .iter()
            .rfind(|(at_ms, _)| *at_ms <= self.now_ms);
        last_change.map_or(self.scenario.limit_per_s, |(_, per_s)| *per_s)
    }

    /// Returns the members known to the entry `observer`.
    fn members(&self, observer: usize) -> Members {
        let unreachable_ms = |entry: usize| {
            let faults = self
                .scenario
                .faults
                .iter()
                .filter(|(fault, from_ms, to_ms)| {
                    let is_affected = match fault {
                        Fault::Killed(stopped) | Fault::Paused(stopped) => *stopped == entry,
                        Fault::Partition(boundary) => (observer < *boundary) != (entry < *boundary),
                        Fault::OutboundLoss(_) => false,
                    };
                    is_affected && (*from_ms..*to_ms).contains(&self.now_ms)
                });
            faults
                .map(|(_, from_ms, _)| self.now_ms - from_ms)
                .max()
                .unwrap_or(0)
        };
        let indices = 0..self.scenario.entries;
        Members {
            present: indices
                .clone()
                .filter(|entry| unreachable_ms(*entry) < REMOVED_AFTER_MS)
                .map(address)
                .collect(),
            known: indices
                .filter(|entry| unreachable_ms(*entry) < FORGOTTEN_AFTER_MS)
                .map(address)
                .collect(),
        }
    }

    fn handle(&mut self, event: Event) {
        let receiver = match &event {
            Event::Arrival(entry)
            | Event::RequestPermits(entry)
            | Event::TargetResponse { entry, .. }
            | Event::RequestFailed { entry, .. } => *entry,
            Event::Message { to, .. } | Event::Reply { to, .. } => *to,
        };
        if self.is_killed(receiver) || self.drops_arrival(&event) {
            if let Event::Arrival(entry) = event {
                self.schedule_next_arrival(entry);
            }
            return;
        }
        if let Some(until_ms) = self.paused_until_ms(receiver) {
            return self.schedule(until_ms, event);
        }
        let now_ms = MonoMs(self.now_ms);
        match event {
            Event::Arrival(entry) => {
                self.on_arrival(entry);
                self.schedule_next_arrival(entry);
            }
            Event::RequestPermits(entry) => self.request_permits(entry),
            Event::TargetResponse { entry, limit } => {
                let is_changed = self.entries[entry]
                    .gate
                    .on_limit_signal(limit, now_ms)
                    .is_some();
                if is_changed {
                    self.request_permits_now(entry);
                }
            }
            Event::Message {
                to,
                message_seq,
                message,
            } => self.reply(to, message_seq, &message),
            Event::Reply {
                to,
                from,
                message_seq,
                reply,
            } => self.on_reply(to, from, message_seq, &reply),
            Event::RequestFailed {
                entry,
                peer,
                message_seq,
                failure,
            } => {
                let pending_request = &mut self.entries[entry].pending_request;
                let was_pending = pending_request
                    .take_if(|(seq, _)| *seq == message_seq)
                    .is_some();
                if was_pending || failure == RequestFailure::Refused {
                    let coordinator = &mut self.entries[entry].coordinator;
                    coordinator.on_request_failed(address(peer), failure, now_ms);
                }
                if was_pending {
                    self.request_permits_now(entry);
                }
            }
        }
    }

    fn schedule_next_arrival(&mut self, entry: usize) {
        let per_ms = self.scenario.demand_per_s[entry] / 1_000.0;
        if per_ms <= 0.0 {
            return;
        }
        let delay_ms = -(1.0 - self.random.fraction()).ln() / per_ms;
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // seconds
        let delay_ms = delay_ms as u64;
        self.schedule(self.now_ms + delay_ms.max(1), Event::Arrival(entry));
    }

    fn on_arrival(&mut self, entry: usize) {
        let now_ms = MonoMs(self.now_ms);
        let may_send = match self.scenario.policy {
            SharingPolicy::Ignored => true,
            SharingPolicy::EvenParts => {
                let member_count = self.members(entry).present.len();
                self.take_token(
                    entry,
                    f64::from(u32::try_from(member_count).expect("a small fleet")),
                )
            }
            SharingPolicy::OneOwner => {
                let members = self.members(entry);
                let owner = self.entries[entry].coordinator.home(&members, now_ms);
                owner == address(entry) && self.take_token(entry, 1.0)
            }
            SharingPolicy::Permits => {
                let gate = &mut self.entries[entry].gate;
                if gate.can_place(now_ms) {
                    gate.place();
                    gate.admit(now_ms).is_ok()
                } else {
                    gate.withhold(now_ms);
                    false
                }
            }
        };
        if may_send {
            self.outcome.sent_ms.push(self.now_ms);
            let limit = match self.limit() {
                per_s if per_s > 0.0 => LimitSignal::Named(RequestRate::clamped(per_s)),
                _ => LimitSignal::Absent,
            };
            self.schedule(
                self.now_ms + RESPONSE_AFTER_MS,
                Event::TargetResponse { entry, limit },
            );
        }
    }

    /// Takes a token from the bucket of an entry that uses an equal part of the limit; returns
    /// whether there was one. No limit applies until the entries know of it.
    fn take_token(&mut self, entry: usize, part_count: f64) -> bool {
        if self.now_ms < LIMIT_KNOWN_AFTER_MS || self.limit() <= 0.0 {
            return true;
        }
        let per_ms = self.limit() / part_count / 1_000.0;
        let elapsed_ms = self.now_ms - self.entries[entry].refilled_ms;
        let elapsed_ms = f64::from(u32::try_from(elapsed_ms).expect("a short simulation"));
        let state = &mut self.entries[entry];
        state.refilled_ms = self.now_ms;
        state.tokens = (state.tokens + per_ms * elapsed_ms).min(1.0);
        let has_token = state.tokens >= 1.0;
        state.tokens -= f64::from(u8::from(has_token));
        has_token
    }

    fn request_permits_now(&mut self, entry: usize) {
        if self.scenario.policy == SharingPolicy::Permits
            && self.entries[entry].pending_request.is_none()
        {
            self.entries[entry].next_request_ms = self.now_ms;
            self.schedule(self.now_ms, Event::RequestPermits(entry));
        }
    }

    fn request_permits(&mut self, entry: usize) {
        if self.scenario.policy != SharingPolicy::Permits
            || self.now_ms < self.entries[entry].next_request_ms
        {
            return;
        }
        let next_ms = self.now_ms + REQUEST_INTERVAL_MS + self.random.below(REQUEST_JITTER_MS);
        self.entries[entry].next_request_ms = next_ms;
        self.schedule(next_ms, Event::RequestPermits(entry));
        let now_ms = MonoMs(self.now_ms);
        let Some(state) = self.entries[entry].gate.take_state(now_ms) else {
            return;
        };
        let permit_requests: Vec<PermitRequest<u32>> = state
            .limit
            .map(|_| PermitRequest {
                target: TARGET,
                requests: state.requested,
                held: Some(state.held),
            })
            .into_iter()
            .collect();
        let members = self.members(entry);
        let home = self.entries[entry].coordinator.home(&members, now_ms);
        if home == address(entry) {
            let limit = state.limit;
            let coordinator = &mut self.entries[entry].coordinator;
            let grants =
                coordinator.on_permit_requests(home, &permit_requests, |_| limit, &members, now_ms);
            let to_notify = coordinator.peers_to_notify(vec![(TARGET, limit)], &members, now_ms);
            self.apply_grants(entry, &grants.unwrap_or_default(), self.now_ms);
            for member in to_notify {
                let message = self.message(entry, Vec::new());
                self.send_message(entry, index(member), message, false);
            }
        } else if self.entries[entry].pending_request.is_none() {
            let message = self.message(entry, permit_requests);
            self.send_message(entry, index(home), message, true);
        }
    }

    fn reports(&self, entry: usize) -> Vec<LimitReport<u32>> {
        let state = self.entries[entry].gate.state(MonoMs(self.now_ms));
        let report = state.map(|state| LimitReport {
            target: TARGET,
            limit: state.limit,
            age_ms: MonoMs(self.now_ms).since(state.reported_ms),
        });
        report.into_iter().collect()
    }

    fn message(&self, entry: usize, permit_requests: Vec<PermitRequest<u32>>) -> LimitMessage<u32> {
        LimitMessage {
            from: address(entry),
            service: "drafts".into(),
            reports: self.reports(entry),
            permit_requests,
        }
    }

    fn send_message(
        &mut self,
        from: usize,
        to: usize,
        message: LimitMessage<u32>,
        expects_reply: bool,
    ) {
        self.event_seq += 1;
        let message_seq = self.event_seq;
        self.outcome.messages += 1;
        if expects_reply {
            self.entries[from].pending_request = Some((message_seq, self.now_ms));
        }
        let expected_failure = if self.is_killed(to) {
            Some((RequestFailure::Refused, REFUSED_AFTER_MS))
        } else {
            expects_reply.then_some((RequestFailure::NoReply, REPLY_TIMEOUT_MS))
        };
        if let Some((failure, after_ms)) = expected_failure {
            let event = Event::RequestFailed {
                entry: from,
                peer: to,
                message_seq,
                failure,
            };
            self.schedule(self.now_ms + after_ms, event);
        }
        if !self.is_lost(from, to) {
            let after_ms = 1 + self.random.below(4);
            self.schedule(
                self.now_ms + after_ms,
                Event::Message {
                    to,
                    message_seq,
                    message,
                },
            );
        }
    }

    fn apply_reports(&mut self, entry: usize, reports: &[LimitReport<u32>]) {
        let mut is_changed = false;
        for report in reports {
            let reported_ms = MonoMs(self.now_ms.saturating_sub(report.age_ms));
            let gate = &mut self.entries[entry].gate;
            is_changed |= gate.on_peer_report(report.limit, reported_ms).is_some();
        }
        if is_changed {
            self.request_permits_now(entry);
        }
    }

    fn reply(&mut self, to: usize, message_seq: u64, message: &LimitMessage<u32>) {
        self.apply_reports(to, &message.reports);
        let members = self.members(to);
        let now_ms = MonoMs(self.now_ms);
        let limit = self.entries[to].gate.limit();
        let coordinator = &mut self.entries[to].coordinator;
        let grants = coordinator.on_permit_requests(
            message.from,
            &message.permit_requests,
            |_| limit,
            &members,
            now_ms,
        );
        let reply = LimitReply {
            is_home: grants.is_some(),
            reports: self.reports(to),
            grants: grants.unwrap_or_default(),
        };
        let requester = index(message.from);
        if !self.is_lost(to, requester) {
            let after_ms = 1 + self.random.below(4);
            let reply = Event::Reply {
                to: requester,
                from: to,
                message_seq,
                reply,
            };
            self.schedule(self.now_ms + after_ms, reply);
        }
    }

    fn on_reply(&mut self, to: usize, from: usize, message_seq: u64, reply: &LimitReply<u32>) {
        let now_ms = MonoMs(self.now_ms);
        self.entries[to]
            .coordinator
            .on_received(address(from), now_ms);
        let pending_request = self.entries[to]
            .pending_request
            .take_if(|(seq, _)| *seq == message_seq);
        self.apply_reports(to, &reply.reports);
        if let Some((_, requested_ms)) = pending_request {
            self.apply_grants(to, &reply.grants, requested_ms);
        }
    }

    fn apply_grants(&mut self, entry: usize, grants: &[PermitGrant<u32>], requested_ms: u64) {
        for grant in grants {
            let until_ms = MonoMs(requested_ms + grant.valid_ms);
            self.entries[entry]
                .gate
                .add_permits(grant.permits, until_ms);
        }
    }
}
