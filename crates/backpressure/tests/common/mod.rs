//! A model of a fleet of entries before one target that names a limit: entries on their own
//! clocks, messages that take time and get lost, faults. Real gates and exchanges decide.

#![allow(dead_code)] // each test binary uses a part

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
pub enum Way {
    /// They do not heed it.
    NotHeeded,
    /// Each takes an even part, by the members that it knows.
    EvenParts,
    /// One of them alone sends to the target.
    OneOwner,
    /// Permits from one home.
    Permits,
}

/// Something that happens to some entries for a while.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Its process ends and starts again at the end of the fault.
    Killed(usize),
    /// It stands still.
    Frozen(usize),
    /// What it sends to other entries is lost, and what they send to it arrives.
    Mute(usize),
    /// Entries below this number and all others do not reach each other.
    Split(usize),
}

/// One play.
#[derive(Clone, Debug)]
pub struct Play {
    pub way: Way,
    pub entries: usize,
    pub limit_per_s: f64,
    /// What the limit is from some moments on; 0 for none.
    pub changes: Vec<(u64, f64)>,
    /// Requests a second that each entry would send to the target.
    pub demand_per_s: Vec<f64>,
    /// From when to when there is no demand.
    pub quiet_ms: (u64, u64),
    pub lost_part: f64,
    pub faults: Vec<(Fault, u64, u64)>,
    pub lasting_ms: u64,
    pub seed: u64,
}

impl Play {
    /// Even demand, each entry eight requests a second or more of which any could go to the
    /// target, and no fault.
    pub fn even(way: Way, entries: usize, limit_per_s: f64, seed: u64) -> Self {
        let count = u32::try_from(entries).expect("a small fleet");
        let each = (limit_per_s * 6.0 / f64::from(count)).max(8.0);
        Self {
            way,
            entries,
            limit_per_s,
            changes: Vec::new(),
            demand_per_s: vec![each; entries],
            quiet_ms: (0, 0),
            lost_part: 0.0,
            faults: Vec::new(),
            lasting_ms: 24_000,
            seed,
        }
    }
}

/// What a play came to.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// When requests were sent, in order.
    pub sent_ms: Vec<u64>,
    /// Messages between entries.
    pub messages: u64,
}

impl Outcome {
    /// The largest part of what the users allow in any 4 s from `from_ms` on: half as much
    /// again as the limit and five requests.
    pub fn worst_part(&self, limit_per_s: f64, from_ms: u64) -> f64 {
        let allowed = limit_per_s * 4.0 * 1.5 + 5.0;
        let counted: Vec<u64> = self
            .sent_ms
            .iter()
            .copied()
            .filter(|it| *it >= from_ms)
            .collect();
        let mut window = VecDeque::new();
        let mut most = 0;
        for at_ms in counted {
            window.push_back(at_ms);
            while window.front().is_some_and(|first| first + 4_000 <= at_ms) {
                window.pop_front();
            }
            most = most.max(window.len());
        }
        f64::from(u32::try_from(most).expect("few requests")) / allowed
    }

    /// Requests a second in that span.
    pub fn rate_per_s(&self, from_ms: u64, to_ms: u64) -> f64 {
        let in_span = self
            .sent_ms
            .iter()
            .filter(|it| (from_ms..to_ms).contains(*it));
        let count = u32::try_from(in_span.count()).expect("few requests");
        let span_ms = u32::try_from(to_ms - from_ms).expect("a short span");
        f64::from(count) * 1_000.0 / f64::from(span_ms)
    }
}

/// A small generator of even random numbers.
struct Random(u64);

impl Random {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    fn part(&mut self) -> f64 {
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
    Ask(usize),
    Answer {
        entry: usize,
        limit: LimitSignal,
    },
    Question {
        to: usize,
        number: u64,
        question: LimitMessage<u32>,
    },
    Reply {
        to: usize,
        from: usize,
        number: u64,
        reply: LimitReply<u32>,
    },
    Unanswered {
        entry: usize,
        of: usize,
        number: u64,
        how: RequestFailure,
    },
}

#[derive(Debug)]
struct Entry {
    gate: AdmissionGate,
    exchange: PermitCoordinator<u32>,
    /// The question that waits for its reply, and when it was sent.
    asked: Option<(u64, u64)>,
    starts: u32,
    /// 0 for one that was there from the beginning.
    started_ms: u64,
    tokens: f64,
    filled_ms: u64,
    next_ask_ms: u64,
}

const TARGET: u32 = 0;
const NEWS_LATER_MS: u64 = 300;
const ASK_EVERY_MS: u64 = 200;
const ASK_SPREAD_MS: u64 = 100;
const REPLY_TIMEOUT_MS: u64 = 300;
const REFUSED_AFTER_MS: u64 = 2;
const ANSWER_AFTER_MS: u64 = 100;
const READY_AFTER_MS: u64 = 300;
/// Until an entry that does not answer is taken out of the members, and forgotten.
const MISSED_AFTER_MS: u64 = 5_000;
const FORGOTTEN_AFTER_MS: u64 = 12_000;

struct Model {
    play: Play,
    random: Random,
    now_ms: u64,
    order: u64,
    events: BinaryHeap<Reverse<(u64, u64, usize)>>,
    payloads: Vec<Option<Event>>,
    entries: Vec<Entry>,
    outcome: Outcome,
}

fn address(entry: usize) -> SocketAddr {
    let last = u8::try_from(entry + 1).expect("a small fleet");
    ([10, 0, 0, last], 7_000).into()
}

fn index(of: SocketAddr) -> usize {
    let octets = match of {
        SocketAddr::V4(it) => it.ip().octets(),
        SocketAddr::V6(_) => unreachable!("the model has no such addresses"),
    };
    usize::from(octets[3]) - 1
}

/// Plays it.
pub fn play(play: Play) -> Outcome {
    let mut model = Model::new(play);
    model.run();
    model.outcome
}

impl Model {
    fn new(play: Play) -> Self {
        let mut random = Random(play.seed);
        let entries = (0..play.entries).map(|number| Entry {
            gate: AdmissionGate::default(),
            exchange: PermitCoordinator::new(address(number), "drafts"),
            asked: None,
            starts: 0,
            started_ms: 0,
            tokens: random.part(),
            filled_ms: 0,
            next_ask_ms: 0,
        });
        let entries = entries.collect();
        Self {
            random,
            now_ms: 1,
            order: 0,
            events: BinaryHeap::new(),
            payloads: Vec::new(),
            entries,
            outcome: Outcome::default(),
            play,
        }
    }

    fn at(&mut self, at_ms: u64, event: Event) {
        self.order += 1;
        self.payloads.push(Some(event));
        let payload = self.payloads.len() - 1;
        self.events.push(Reverse((at_ms, self.order, payload)));
    }

    fn run(&mut self) {
        for entry in 0..self.play.entries {
            self.next_arrival(entry);
            let at_ms = 1 + self.random.below(ASK_EVERY_MS);
            self.entries[entry].next_ask_ms = at_ms;
            self.at(at_ms, Event::Ask(entry));
        }
        while let Some(Reverse((at_ms, _, payload))) = self.events.pop() {
            if at_ms > self.play.lasting_ms {
                return;
            }
            self.now_ms = at_ms;
            let event = self.payloads[payload]
                .take()
                .expect("each event happens once");
            self.restart_killed();
            self.happen(event);
        }
    }

    /// A process that has started again knows nothing.
    fn restart_killed(&mut self) {
        for (fault, _, to_ms) in self.play.faults.clone() {
            if let Fault::Killed(entry) = fault
                && self.now_ms >= to_ms
                && self.entries[entry].starts == 0
            {
                let asked_ms = self.now_ms;
                self.entries[entry] = Entry {
                    gate: AdmissionGate::default(),
                    exchange: PermitCoordinator::new(address(entry), "drafts"),
                    asked: None,
                    starts: 1,
                    started_ms: asked_ms,
                    tokens: 0.0,
                    filled_ms: asked_ms,
                    next_ask_ms: asked_ms,
                };
                self.at(asked_ms, Event::Ask(entry));
                self.meet(entry);
            }
        }
    }

    /// A process that has just started asks a peer what it knows.
    fn meet(&mut self, entry: usize) {
        let peer = (entry + 1) % self.play.entries;
        let question = self.question(entry, Vec::new());
        self.send_question(entry, peer, question, false);
    }

    fn stands_still(&self, entry: usize) -> Option<u64> {
        self.play.faults.iter().find_map(|(fault, from_ms, to_ms)| {
            let is_it = *fault == Fault::Killed(entry) || *fault == Fault::Frozen(entry);
            (is_it && (*from_ms..*to_ms).contains(&self.now_ms)).then_some(*to_ms)
        })
    }

    fn is_killed(&self, entry: usize) -> bool {
        self.play.faults.iter().any(|(fault, from_ms, to_ms)| {
            *fault == Fault::Killed(entry) && (*from_ms..*to_ms).contains(&self.now_ms)
        })
    }

    /// Callers come to a process once it has started, and met a peer before.
    fn takes_no_callers(&self, event: &Event) -> bool {
        let Event::Arrival(entry) = event else {
            return false;
        };
        let started_ms = self.entries[*entry].started_ms;
        let is_starting = started_ms > 0 && self.now_ms < started_ms + READY_AFTER_MS;
        is_starting || (self.play.quiet_ms.0..self.play.quiet_ms.1).contains(&self.now_ms)
    }

    fn is_lost(&mut self, from: usize, to: usize) -> bool {
        let now_ms = self.now_ms;
        let is_cut = self.play.faults.iter().any(|(fault, from_ms, to_ms)| {
            let is_between = match fault {
                Fault::Mute(entry) => *entry == from,
                Fault::Split(at) => (from < *at) != (to < *at),
                Fault::Killed(_) | Fault::Frozen(_) => false,
            };
            is_between && (*from_ms..*to_ms).contains(&now_ms)
        });
        is_cut || self.random.part() < self.play.lost_part
    }

    fn limit(&self) -> f64 {
        let past = self
            .play
            .changes
            .iter()
            .rfind(|(at_ms, _)| *at_ms <= self.now_ms);
        past.map_or(self.play.limit_per_s, |(_, per_s)| *per_s)
    }

    fn members(&self, of: usize) -> Members {
        let silent_ms = |entry: usize| {
            let faults = self.play.faults.iter().filter(|(fault, from_ms, to_ms)| {
                let is_gone = match fault {
                    Fault::Killed(it) | Fault::Frozen(it) => *it == entry,
                    Fault::Split(at) => (of < *at) != (entry < *at),
                    Fault::Mute(_) => false,
                };
                is_gone && (*from_ms..*to_ms).contains(&self.now_ms)
            });
            faults
                .map(|(_, from_ms, _)| self.now_ms - from_ms)
                .max()
                .unwrap_or(0)
        };
        let all = 0..self.play.entries;
        Members {
            present: all
                .clone()
                .filter(|it| silent_ms(*it) < MISSED_AFTER_MS)
                .map(address)
                .collect(),
            known: all
                .filter(|it| silent_ms(*it) < FORGOTTEN_AFTER_MS)
                .map(address)
                .collect(),
        }
    }

    fn happen(&mut self, event: Event) {
        let at = match &event {
            Event::Arrival(entry)
            | Event::Ask(entry)
            | Event::Answer { entry, .. }
            | Event::Unanswered { entry, .. } => *entry,
            Event::Question { to, .. } | Event::Reply { to, .. } => *to,
        };
        if self.is_killed(at) || self.takes_no_callers(&event) {
            if let Event::Arrival(entry) = event {
                self.next_arrival(entry);
            }
            return;
        }
        if let Some(until_ms) = self.stands_still(at) {
            return self.at(until_ms, event);
        }
        let now_ms = MonoMs(self.now_ms);
        match event {
            Event::Arrival(entry) => {
                self.arrive(entry);
                self.next_arrival(entry);
            }
            Event::Ask(entry) => self.ask(entry),
            Event::Answer { entry, limit } => {
                let is_changed = self.entries[entry]
                    .gate
                    .on_limit_signal(limit, now_ms)
                    .is_some();
                if is_changed {
                    self.ask_now(entry);
                }
            }
            Event::Question {
                to,
                number,
                question,
            } => self.reply(to, number, &question),
            Event::Reply {
                to,
                from,
                number,
                reply,
            } => self.take_reply(to, from, number, &reply),
            Event::Unanswered {
                entry,
                of,
                number,
                how,
            } => {
                let asked = &mut self.entries[entry].asked;
                let is_waited_for = asked.take_if(|(asked, _)| *asked == number).is_some();
                if is_waited_for || how == RequestFailure::Refused {
                    let exchange = &mut self.entries[entry].exchange;
                    exchange.on_request_failed(address(of), how, now_ms);
                }
                if is_waited_for {
                    self.ask_now(entry);
                }
            }
        }
    }

    fn next_arrival(&mut self, entry: usize) {
        let per_ms = self.play.demand_per_s[entry] / 1_000.0;
        if per_ms <= 0.0 {
            return;
        }
        let pause_ms = -(1.0 - self.random.part()).ln() / per_ms;
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // seconds
        let pause_ms = pause_ms as u64;
        self.at(self.now_ms + pause_ms.max(1), Event::Arrival(entry));
    }

    fn arrive(&mut self, entry: usize) {
        let now_ms = MonoMs(self.now_ms);
        let may_send = match self.play.way {
            Way::NotHeeded => true,
            Way::EvenParts => {
                let part = self.members(entry).present.len();
                self.take_token(
                    entry,
                    f64::from(u32::try_from(part).expect("a small fleet")),
                )
            }
            Way::OneOwner => {
                let members = self.members(entry);
                let owner = self.entries[entry].exchange.home(&members, now_ms);
                owner == address(entry) && self.take_token(entry, 1.0)
            }
            Way::Permits => {
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
            self.at(
                self.now_ms + ANSWER_AFTER_MS,
                Event::Answer { entry, limit },
            );
        }
    }

    /// One token of an even part of the limit; all entries know it after a moment.
    fn take_token(&mut self, entry: usize, parts: f64) -> bool {
        if self.now_ms < NEWS_LATER_MS || self.limit() <= 0.0 {
            return true;
        }
        let per_ms = self.limit() / parts / 1_000.0;
        let elapsed_ms = self.now_ms - self.entries[entry].filled_ms;
        let elapsed_ms = f64::from(u32::try_from(elapsed_ms).expect("a short play"));
        let it = &mut self.entries[entry];
        it.filled_ms = self.now_ms;
        it.tokens = (it.tokens + per_ms * elapsed_ms).min(1.0);
        let has_one = it.tokens >= 1.0;
        it.tokens -= f64::from(u8::from(has_one));
        has_one
    }

    fn ask_now(&mut self, entry: usize) {
        if self.play.way == Way::Permits && self.entries[entry].asked.is_none() {
            self.entries[entry].next_ask_ms = self.now_ms;
            self.at(self.now_ms, Event::Ask(entry));
        }
    }

    fn ask(&mut self, entry: usize) {
        if self.play.way != Way::Permits || self.now_ms < self.entries[entry].next_ask_ms {
            return;
        }
        let next_ms = self.now_ms + ASK_EVERY_MS + self.random.below(ASK_SPREAD_MS);
        self.entries[entry].next_ask_ms = next_ms;
        self.at(next_ms, Event::Ask(entry));
        let now_ms = MonoMs(self.now_ms);
        let Some(state) = self.entries[entry].gate.take_state(now_ms) else {
            return;
        };
        let wishes: Vec<PermitRequest<u32>> = state
            .limit
            .map(|_| PermitRequest {
                target: TARGET,
                requests: state.requested,
                held: Some(state.held),
            })
            .into_iter()
            .collect();
        let members = self.members(entry);
        let home = self.entries[entry].exchange.home(&members, now_ms);
        if home == address(entry) {
            let limit = state.limit;
            let exchange = &mut self.entries[entry].exchange;
            let grants = exchange.on_permit_requests(home, &wishes, |_| limit, &members, now_ms);
            let tell = exchange.peers_to_notify(vec![(TARGET, limit)], &members, now_ms);
            self.take_grants(entry, &grants.unwrap_or_default(), self.now_ms);
            for member in tell {
                let question = self.question(entry, Vec::new());
                self.send_question(entry, index(member), question, false);
            }
        } else if self.entries[entry].asked.is_none() {
            let question = self.question(entry, wishes);
            self.send_question(entry, index(home), question, true);
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

    fn question(&self, entry: usize, wishes: Vec<PermitRequest<u32>>) -> LimitMessage<u32> {
        LimitMessage {
            from: address(entry),
            service: "drafts".into(),
            reports: self.reports(entry),
            permit_requests: wishes,
        }
    }

    fn send_question(&mut self, from: usize, to: usize, question: LimitMessage<u32>, waits: bool) {
        self.order += 1;
        let number = self.order;
        self.outcome.messages += 1;
        if waits {
            self.entries[from].asked = Some((number, self.now_ms));
        }
        let unanswered = if self.is_killed(to) {
            Some((RequestFailure::Refused, REFUSED_AFTER_MS))
        } else {
            waits.then_some((RequestFailure::NoReply, REPLY_TIMEOUT_MS))
        };
        if let Some((how, after_ms)) = unanswered {
            let unanswered = Event::Unanswered {
                entry: from,
                of: to,
                number,
                how,
            };
            self.at(self.now_ms + after_ms, unanswered);
        }
        if !self.is_lost(from, to) {
            let after_ms = 1 + self.random.below(4);
            self.at(
                self.now_ms + after_ms,
                Event::Question {
                    to,
                    number,
                    question,
                },
            );
        }
    }

    fn take_reports(&mut self, entry: usize, reports: &[LimitReport<u32>]) {
        let mut is_changed = false;
        for report in reports {
            let heard_ms = MonoMs(self.now_ms.saturating_sub(report.age_ms));
            let gate = &mut self.entries[entry].gate;
            is_changed |= gate.on_peer_report(report.limit, heard_ms).is_some();
        }
        if is_changed {
            self.ask_now(entry);
        }
    }

    fn reply(&mut self, to: usize, number: u64, question: &LimitMessage<u32>) {
        self.take_reports(to, &question.reports);
        let members = self.members(to);
        let now_ms = MonoMs(self.now_ms);
        let limit = self.entries[to].gate.limit();
        let exchange = &mut self.entries[to].exchange;
        let grants = exchange.on_permit_requests(
            question.from,
            &question.permit_requests,
            |_| limit,
            &members,
            now_ms,
        );
        let reply = LimitReply {
            is_home: grants.is_some(),
            reports: self.reports(to),
            grants: grants.unwrap_or_default(),
        };
        let back = index(question.from);
        if !self.is_lost(to, back) {
            let after_ms = 1 + self.random.below(4);
            let reply = Event::Reply {
                to: back,
                from: to,
                number,
                reply,
            };
            self.at(self.now_ms + after_ms, reply);
        }
    }

    fn take_reply(&mut self, to: usize, from: usize, number: u64, reply: &LimitReply<u32>) {
        let now_ms = MonoMs(self.now_ms);
        self.entries[to].exchange.on_received(address(from), now_ms);
        let asked = self.entries[to]
            .asked
            .take_if(|(asked, _)| *asked == number);
        self.take_reports(to, &reply.reports);
        if let Some((_, asked_ms)) = asked {
            self.take_grants(to, &reply.grants, asked_ms);
        }
    }

    fn take_grants(&mut self, entry: usize, grants: &[PermitGrant<u32>], asked_ms: u64) {
        for grant in grants {
            let until_ms = MonoMs(asked_ms + grant.valid_ms);
            self.entries[entry]
                .gate
                .add_permits(grant.permits, until_ms);
        }
    }
}
