//! Who is home for a service's limits, who asks, and who is told.
//!
//! The entries order themselves by rendezvous hashing of the service's name with their
//! addresses; the first one is home. One that does not answer is passed over until it is
//! heard again, which it is at once: whoever takes itself for home tells all entries that
//! it does not hear. The next one takes its place only once it does not reach it either: an
//! entry that alone is cut off from the home gets no permits, and there are no two homes.

use std::hash::Hash;
use std::net::{IpAddr, SocketAddr};

use berylhook_core::time::MonoMs;
use indexmap::IndexMap;

use crate::allocation::Allocation;
use crate::messages::{PermitGrant, PermitRequest};
use crate::rate::RequestRate;

/// Questions in a row without an answer after which an entry is passed over. One is lost
/// now and then.
const UNANSWERED_TO_PASS: u32 = 2;

/// How long an entry is passed over from which nothing is heard.
const PASSED_OVER_MS: u64 = 10_000;

/// An entry that sent nothing for this long is not heard: a few questions.
const HEARD_WITHIN_MS: u64 = 1_000;

/// A ration that nobody asked for in this time is begun anew, since another entry may have
/// been home meanwhile.
const RATION_KEPT_MS: u64 = 1_000;

/// Odd numbers with their bits evenly spread.
const HASH_START: u64 = 0xcbf2_9ce4_8422_2325;
const HASH_FACTOR: u64 = 0x0000_0100_0000_01b3;
const MIX_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;

/// The entries, as one of them knows them.
#[derive(Clone, Debug, Default)]
pub struct Members {
    /// Those that take requests, the entry itself among them.
    pub present: Vec<SocketAddr>,
    /// All that may send, also those that did not answer of late.
    pub known: Vec<SocketAddr>,
}

/// How a question went without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestFailure {
    /// Nothing came in time.
    NoReply,
    /// Nobody listens there, or what listens does not know such questions.
    Refused,
}

/// Questions to one entry that brought no answer.
#[derive(Clone, Copy, Debug)]
struct Failures {
    in_a_row: u32,
    last_ms: MonoMs,
    how: RequestFailure,
}

/// One service's limits, as one entry deals with them.
#[derive(Debug)]
pub struct PermitCoordinator<T> {
    own: SocketAddr,
    service: u64,
    unanswered: IndexMap<SocketAddr, Failures>,
    heard: IndexMap<SocketAddr, MonoMs>,
    rations: IndexMap<T, (Allocation, MonoMs)>,
    /// What all were told last.
    told: Vec<(T, Option<RequestRate>)>,
}

impl<T: Clone + Eq + Hash> PermitCoordinator<T> {
    /// The part of the entry that answers its peers at `own`.
    #[must_use]
    pub fn new(own: SocketAddr, service: &str) -> Self {
        Self {
            own,
            service: hash(HASH_START, service.as_bytes()),
            unanswered: IndexMap::new(),
            heard: IndexMap::new(),
            rations: IndexMap::new(),
            told: Vec::new(),
        }
    }

    /// The home, as far as this entry can tell.
    #[must_use]
    pub fn home(&self, members: &Members, now_ms: MonoMs) -> SocketAddr {
        let present = members.present.iter().copied();
        let reached =
            present.filter(|member| *member == self.own || !self.is_passed_over(*member, now_ms));
        reached
            .max_by_key(|member| (self.weight(*member), *member))
            .unwrap_or(self.own)
    }

    fn is_passed_over(&self, member: SocketAddr, now_ms: MonoMs) -> bool {
        let unanswered = self.unanswered.get(&member);
        unanswered.is_some_and(|failures| {
            failures.in_a_row >= UNANSWERED_TO_PASS
                && now_ms.since(failures.last_ms) < PASSED_OVER_MS
        })
    }

    fn weight(&self, member: SocketAddr) -> u64 {
        let hashed = match member.ip() {
            IpAddr::V4(ip) => hash(self.service, &ip.octets()),
            IpAddr::V6(ip) => hash(self.service, &ip.octets()),
        };
        mixed(hash(hashed, &member.port().to_be_bytes()))
    }

    /// An entry did not answer.
    pub fn on_request_failed(&mut self, member: SocketAddr, how: RequestFailure, now_ms: MonoMs) {
        let before = self.unanswered.get(&member).map_or(0, |it| it.in_a_row);
        let in_a_row = match how {
            RequestFailure::NoReply => before + 1,
            RequestFailure::Refused => UNANSWERED_TO_PASS,
        };
        let last_ms = now_ms;
        self.unanswered.insert(
            member,
            Failures {
                in_a_row,
                last_ms,
                how,
            },
        );
    }

    /// An entry has sent or answered something.
    pub fn on_received(&mut self, member: SocketAddr, now_ms: MonoMs) {
        self.unanswered.shift_remove(&member);
        self.heard.insert(member, now_ms);
    }

    /// An entry, maybe this one, asks for permits; `None` if this one is not home.
    pub fn on_permit_requests(
        &mut self,
        from: SocketAddr,
        wishes: &[PermitRequest<T>],
        limit_of: impl Fn(&T) -> Option<RequestRate>,
        members: &Members,
        now_ms: MonoMs,
    ) -> Option<Vec<PermitGrant<T>>> {
        self.on_received(from, now_ms);
        if self.home(members, now_ms) != self.own {
            return None;
        }
        let part = self.part(members, now_ms);
        let holders: Vec<SocketAddr> = self.senders(members).collect();
        self.rations
            .retain(|_, (_, asked_ms)| now_ms.since(*asked_ms) < RATION_KEPT_MS);
        let mut grants = Vec::new();
        for wish in wishes {
            let Some(limit) = limit_of(&wish.target) else {
                continue;
            };
            let begun = || (Allocation::after_takeover(limit, now_ms), now_ms);
            let (ration, asked_ms) = self
                .rations
                .entry(wish.target.clone())
                .or_insert_with(begun);
            *asked_ms = now_ms;
            if let Some(held) = wish.held {
                ration.on_held_permits(from, held, &holders);
            }
            let permits = ration.grant(limit, part, (from, wish.requests), now_ms);
            if permits > 0 {
                grants.push(PermitGrant {
                    target: wish.target.clone(),
                    permits,
                    valid_ms: Allocation::permit_ttl_ms(limit),
                });
            }
        }
        Some(grants)
    }

    /// The part of a limit that this home gives out: all of it where it hears a majority
    /// of the entries that have not ended.
    #[allow(clippy::cast_precision_loss)] // a few thousand entries
    fn part(&self, members: &Members, now_ms: MonoMs) -> f64 {
        let others = self.heard.iter().filter(|(member, at_ms)| {
            **member != self.own && now_ms.since(**at_ms) < HEARD_WITHIN_MS
        });
        let heard = others.count() + 1;
        let known = self.senders(members).count();
        if heard * 2 > known {
            1.0
        } else {
            heard as f64 / known as f64
        }
    }

    /// The entries that may send, without those that have ended.
    fn senders<'a>(&'a self, members: &'a Members) -> impl Iterator<Item = SocketAddr> + 'a {
        let has_ended = |member: &SocketAddr| {
            let failures = self.unanswered.get(member);
            failures.is_some_and(|failures| failures.how == RequestFailure::Refused)
        };
        let known = members.known.iter().copied();
        known.filter(move |member| !has_ended(member))
    }

    /// Whom this home tells of the limits: all if any has changed, else those that it does
    /// not hear.
    pub fn peers_to_notify(
        &mut self,
        limits: Vec<(T, Option<RequestRate>)>,
        members: &Members,
        now_ms: MonoMs,
    ) -> Vec<SocketAddr> {
        let is_changed = self.told != limits;
        self.told = limits;
        let others = members.present.iter().copied().filter(|it| *it != self.own);
        let is_heard = |member: &SocketAddr| {
            let heard_ms = self.heard.get(member);
            heard_ms.is_some_and(|at_ms| now_ms.since(*at_ms) < HEARD_WITHIN_MS)
        };
        others
            .filter(|member| is_changed || !is_heard(member))
            .collect()
    }
}

/// FNV-1a. All entries have to come to the same, also those of another version.
fn hash(start: u64, bytes: &[u8]) -> u64 {
    let next = |hashed: u64, byte: &u8| (hashed ^ u64::from(*byte)).wrapping_mul(HASH_FACTOR);
    bytes.iter().fold(start, next)
}

/// Spreads the difference of near addresses over all bits.
fn mixed(hashed: u64) -> u64 {
    let mixed = (hashed ^ (hashed >> 32)).wrapping_mul(MIX_FACTOR);
    mixed ^ (mixed >> 29)
}
