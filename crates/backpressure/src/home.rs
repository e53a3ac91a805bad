//! Selects the entry that is the *home* of a service: it allocates what all entries share.
//!
//! All entries rank each other by rendezvous hashing of the service's name with their
//! addresses; the highest-ranked entry is the home. An entry that does not reply is
//! skipped until a message from it arrives again. That happens soon, because an entry that
//! considers itself the home notifies all entries from which it receives nothing. The next
//! entry in the ranking acts as home only once it cannot reach the skipped entry either.
//! An entry further down that is the only one cut off from the home therefore gets nothing
//! allocated, and there is no second home. There may be two homes if the next entry is cut
//! off from the home, as in a partition of the network. A home that is not in contact with
//! a majority of the entries allocates only a fraction.

use std::net::{IpAddr, SocketAddr};

use berylhook_core::time::MonoMs;
use indexmap::IndexMap;

/// Consecutive requests without a reply after which an entry is skipped. A single message
/// is lost now and then.
const FAILURES_TO_SKIP: u32 = 2;

/// How long an entry from which nothing arrives is skipped.
const SKIP_DURATION_MS: u64 = 10_000;

/// Time without a message after which an entry counts as out of contact; entries send a
/// few requests in this time.
const CONTACT_TIMEOUT_MS: u64 = 1_000;

const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// An odd multiplier whose bits are evenly distributed.
const MIX_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;

/// The entries known to one entry.
#[derive(Clone, Debug, Default)]
pub struct Members {
    /// Entries that accept requests, including the entry itself.
    pub present: Vec<SocketAddr>,
    /// All entries that may send requests to targets, including those that have not replied
    /// recently.
    pub known: Vec<SocketAddr>,
}

/// Why a request to another entry got no reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestFailure {
    /// No reply arrived in time.
    NoReply,
    /// The connection was refused, or the listening process does not serve such requests.
    Refused,
}

/// Recent requests to one entry that got no reply.
#[derive(Clone, Copy, Debug)]
struct Failures {
    consecutive: u32,
    last_ms: MonoMs,
    /// The last failure.
    failure: RequestFailure,
}

/// One entry's view of which entries reply, and of which one is the home of a service.
#[derive(Debug)]
pub struct HomeSelector {
    own: SocketAddr,
    service: u64,
    failures: IndexMap<SocketAddr, Failures>,
    /// When the last message from each entry arrived.
    last_contact_ms: IndexMap<SocketAddr, MonoMs>,
}

impl HomeSelector {
    /// Creates the view of the entry with the peer address `own`.
    #[must_use]
    pub fn new(own: SocketAddr, service: &str) -> Self {
        Self {
            own,
            service: hash(FNV_OFFSET_BASIS, service.as_bytes()),
            failures: IndexMap::new(),
            last_contact_ms: IndexMap::new(),
        }
    }

    /// Returns the home according to this entry: the highest-ranked entry that is not skipped.
    #[must_use]
    pub fn home(&self, members: &Members, now_ms: MonoMs) -> SocketAddr {
        let present = members.present.iter().copied();
        let candidates =
            present.filter(|member| *member == self.own || !self.is_skipped(*member, now_ms));
        candidates
            .max_by_key(|member| (self.weight(*member), *member))
            .unwrap_or(self.own)
    }

    fn is_skipped(&self, member: SocketAddr, now_ms: MonoMs) -> bool {
        let failures = self.failures.get(&member);
        failures.is_some_and(|failures| {
            failures.consecutive >= FAILURES_TO_SKIP
                && now_ms.since(failures.last_ms) < SKIP_DURATION_MS
        })
    }

    fn weight(&self, member: SocketAddr) -> u64 {
        let hashed = match member.ip() {
            IpAddr::V4(ip) => hash(self.service, &ip.octets()),
            IpAddr::V6(ip) => hash(self.service, &ip.octets()),
        };
        mix(hash(hashed, &member.port().to_be_bytes()))
    }

    /// Records that a request to another entry got no reply.
    pub fn on_request_failed(
        &mut self,
        member: SocketAddr,
        failure: RequestFailure,
        now_ms: MonoMs,
    ) {
        let previous = self
            .failures
            .get(&member)
            .map_or(0, |failures| failures.consecutive);
        let consecutive = match failure {
            RequestFailure::NoReply => previous + 1,
            RequestFailure::Refused => FAILURES_TO_SKIP,
        };
        let last_ms = now_ms;
        self.failures.insert(
            member,
            Failures {
                consecutive,
                last_ms,
                failure,
            },
        );
    }

    /// Records that a message from another entry arrived.
    pub fn on_received(&mut self, member: SocketAddr, now_ms: MonoMs) {
        self.failures.shift_remove(&member);
        self.last_contact_ms.insert(member, now_ms);
    }

    /// Whether a message from the entry has arrived recently.
    #[must_use]
    pub fn is_in_contact(&self, member: SocketAddr, now_ms: MonoMs) -> bool {
        let contact_ms = self.last_contact_ms.get(&member);
        contact_ms.is_some_and(|at_ms| now_ms.since(*at_ms) < CONTACT_TIMEOUT_MS)
    }

    /// Returns the other entries that accept requests and from which nothing has arrived recently.
    /// An entry that considers itself the home notifies them.
    pub fn out_of_contact<'a>(
        &'a self,
        members: &'a Members,
        now_ms: MonoMs,
    ) -> impl Iterator<Item = SocketAddr> + 'a {
        let others = members.present.iter().copied();
        others.filter(move |member| *member != self.own && !self.is_in_contact(*member, now_ms))
    }

    /// Returns the fraction that this home allocates: 1 if it is in contact with a
    /// majority of the entries that have not exited.
    #[must_use]
    #[allow(clippy::cast_precision_loss)] // a few thousand entries are exact in an f64
    pub fn allocated_fraction(&self, members: &Members, now_ms: MonoMs) -> f64 {
        let others = self
            .last_contact_ms
            .keys()
            .filter(|member| **member != self.own && self.is_in_contact(**member, now_ms));
        let in_contact = others.count() + 1;
        let known = self.senders(members).count();
        if in_contact * 2 > known {
            1.0
        } else {
            in_contact as f64 / known as f64
        }
    }

    /// Returns the entries that may send requests to targets, without those that have exited.
    pub(crate) fn senders<'a>(
        &'a self,
        members: &'a Members,
    ) -> impl Iterator<Item = SocketAddr> + 'a {
        let has_exited = |member: &SocketAddr| {
            let failures = self.failures.get(member);
            failures.is_some_and(|failures| failures.failure == RequestFailure::Refused)
        };
        let known = members.known.iter().copied();
        known.filter(move |member| !has_exited(member))
    }
}

/// FNV-1a hash. All entries, also those of other versions, must compute the same value.
fn hash(start: u64, bytes: &[u8]) -> u64 {
    let next = |hashed: u64, byte: &u8| (hashed ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
    bytes.iter().fold(start, next)
}

/// Distributes the differences between similar addresses over all bits.
fn mix(hashed: u64) -> u64 {
    let mixed = (hashed ^ (hashed >> 32)).wrapping_mul(MIX_FACTOR);
    mixed ^ (mixed >> 29)
}
