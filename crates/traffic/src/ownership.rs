//! Which targets an entry prefers, where many entries share many targets.
//!
//! An entry, a front-end process that sends requests to targets, knows its own requests exactly,
//! and little about those of other entries. If fifty entries each spread a few streams evenly over
//! two hundred targets, some target gets by chance four times the mean: streams are queued or
//! rejected there while most slots are free. So the targets are divided: each entry owns a subset
//! whose size depends on its demand, spreads its requests evenly over that subset, and uses others
//! only when its owned targets are clearly fuller than targets are on average. An entry with many
//! requests per target needs no such subset and uses all targets evenly.
//!
//! The targets of a data centre lie on a ring in the order of their ids, each as wide as the number
//! of its slots. The entries divide the ring into arcs in the order of their hashed addresses, each
//! as wide as the entry's share of the demand. A data centre with more demand than its targets can
//! serve gets arcs in data centres with spare slots. Beyond its arc an entry prefers the nearest
//! targets, so two full entries spill to different places.
//!
//! This needs no agreement. While entries know different members, some targets have two owners and
//! others have none and are used only by spilling; that may queue requests, but loses none. When a
//! member joins or leaves, the arcs shift, and running requests stay where they are.
//!
//! Alternatives: with rendezvous hashing, each of fifty entries gets four of two hundred targets
//! only on average, from none to nine; fixed random subsets overlap by chance. Both would need an
//! additional correction step; arcs need none.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

use indexmap::IndexMap;

use crate::target::Target;

/// Penalty per target between an entry's arc and the target in question, in requests: enough to
/// order the targets beyond the arc, and little compared to one request more or less at a target.
const PENALTY_PER_TARGET: f64 = 0.1;

/// Largest penalty for distance alone. A target whose owner has failed must stay in reach of the
/// entries that its callers turn to, even before these entries know of the failure.
const MAX_DISTANCE_PENALTY: f64 = 1.0;

/// Penalty of an owned target in another data centre, in requests: the round trip takes a fraction
/// of one forward pass.
const OTHER_DATA_CENTRE_PENALTY: f64 = 0.3;

/// Additional penalty of a target in another data centre that is not owned. Traffic between data
/// centres is charged by the byte, and the nearest slots are mostly as good.
const UNOWNED_REMOTE_PENALTY: f64 = 1.2;

/// The number of targets over which an entry spreads its requests is this many times the square
/// root of the number of requests.
///
/// The load of a target varies for three reasons. If an entry uses its targets alone, its requests
/// come and go together, which matters less the more targets it uses. Its demand is known only to
/// within a tenth, which averages out where several entries use one target. Entries that share a
/// target do not know of each other's requests, which matters more the more entries there are. With
/// the square root, few entries with many requests share nearly all targets, and many entries with
/// few requests hardly overlap.
///
/// In simulations with the group model, 53 entries with 192 engines of six slots meet the objective
/// for 98.7% of the requests with a factor of 2 and for 99.1% with 4; 20 entries for 98.2% and
/// 99.6%; 24 entries with 72 engines of ten slots for 84.5% and 87.9%.
const SPREAD_FACTOR: f64 = 4.0;

/// An entry with at least this many requests per target uses all targets evenly. The number of its
/// requests at each target then varies less than the widths of arcs do.
///
/// In the same simulations near capacity, 12 entries with 72 engines, which is about 0.4 requests
/// per target, meet the objective for 94% of the requests with all targets and for 89% with arcs;
/// 24 entries, with 0.2 requests per target, for 80% and 89%.
const EVEN_SPREAD_THRESHOLD: f64 = 0.4;

/// Smallest demand of an entry as a fraction of the mean, so that an entry without measured demand
/// has an arc to begin with.
const MIN_DEMAND_FRACTION: f64 = 0.1;

/// Odd multiplier with evenly distributed bits, and the number of multiplications: two let every
/// bit of an address affect every bit of the hash.
const HASH_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
const HASH_ROUNDS: u32 = 2;

/// Weight of the newest second in an entry's demand, except for the first seconds: ten arrivals per
/// second vary by a third, and the average over five seconds by a seventh.
const DEMAND_WEIGHT: f64 = 0.2;

/// Seconds after which an entry publishes its demand. The first seconds vary most, and entries
/// learn of each other at times that differ by seconds, so their values would not be comparable.
const WARM_UP_S: u32 = 5;

/// Measures the demand of one entry, second by second.
#[derive(Clone, Debug, Default)]
pub struct DemandMeter {
    arrivals: u64,
    seconds: u32,
    demand_per_s: f64,
}

impl DemandMeter {
    /// Records that a second has passed; `arrivals` is the number of requests since the start.
    /// Returns the demand in requests per second, or `None` in the first seconds.
    #[allow(clippy::cast_precision_loss)] // thousands a second at most
    pub fn observe(&mut self, arrivals: u64) -> Option<f64> {
        let new = arrivals.saturating_sub(self.arrivals);
        self.arrivals = arrivals;
        if arrivals == 0 {
            return None;
        }
        self.seconds = self.seconds.saturating_add(1);
        let weight = DEMAND_WEIGHT.max(1.0 / f64::from(self.seconds));
        self.demand_per_s += weight * (new as f64 - self.demand_per_s);
        (self.seconds >= WARM_UP_S).then_some(self.demand_per_s)
    }
}

/// An entry that shares the targets.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Address on which the entry serves its peers.
    pub address: SocketAddr,
    /// Data centre of the entry.
    pub data_centre: Arc<str>,
    /// Requests per second that arrive at the entry; `None` if it has not published its demand yet.
    pub demand_per_s: Option<f64>,
}

/// How much an entry prefers one target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Preference {
    /// Whether the entry owns the target.
    pub is_owned: bool,
    /// Added to the target's score, in requests: other targets may be fuller by this much before
    /// this one is used.
    pub penalty: f64,
}

/// An entry's preferences for the targets of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Preferences {
    /// One per target, in the order of the targets.
    pub targets: Vec<Preference>,
    /// The entry's share of all slots by its demand, from 0 to 1.
    pub share: f64,
    /// Width of the arc over which the entry spreads its requests, as a multiple of its share.
    /// Other entries use the same targets if it is more than 1.
    pub overlap: f64,
}

/// The entries that share the targets, as known to one of them.
#[derive(Clone, Debug, PartialEq)]
pub struct Membership {
    own_address: SocketAddr,
    members: Vec<Member>,
}

/// An arc of a data centre's ring of targets; the whole ring has length 1.
#[derive(Clone, Copy, Debug)]
struct RingArc {
    centre: f64,
    width: f64,
}

impl RingArc {
    const WHOLE: Self = Self {
        centre: 0.5,
        width: 1.0,
    };

    /// Distance of a point from the arc, in the shorter direction.
    fn distance(&self, point: f64) -> f64 {
        let direct = (point - self.centre).abs();
        let shortest = direct.min(1.0 - direct);
        (shortest - self.width / 2.0).max(0.0)
    }
}

/// Slots that the entries of a data centre need, and slots that its targets have.
#[derive(Clone, Copy, Debug, Default)]
struct SlotBalance {
    needed: f64,
    slots: f64,
}

impl SlotBalance {
    fn shortage(&self) -> f64 {
        (self.needed - self.slots).max(0.0)
    }

    fn spare(&self) -> f64 {
        (self.slots - self.needed).max(0.0)
    }
}

impl Membership {
    /// The entry `own`, and all others that are known to accept requests.
    #[must_use]
    pub fn new(own: Member, others: impl IntoIterator<Item = Member>) -> Self {
        let address = own.address;
        let mut members: Vec<Member> = others.into_iter().collect();
        members.retain(|member| member.address != address);
        members.push(own);
        members.sort_by_key(|member| (hash_address(member.address), member.address));
        members.dedup_by_key(|member| member.address);
        Self {
            own_address: address,
            members,
        }
    }

    /// The number of entries, including this one.
    #[must_use]
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Always false: an entry knows itself.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// This entry's preferences for the targets of one service, at which it has `running` requests.
    #[must_use]
    pub fn preferences(&self, targets: &[&Target], running: f64) -> Preferences {
        let demands = self.demands();
        let total_demand: f64 = demands.iter().sum();
        let total_slots: f64 = targets.iter().map(|target| slots(target)).sum();
        let scale = total_slots / total_demand;
        let slot_balances = self.slot_balances(targets, &demands, scale);
        let own = self.own_index();
        let own_data_centre = &self.members[own].data_centre;
        let arcs: IndexMap<&Arc<str>, RingArc> = slot_balances
            .keys()
            .map(|data_centre| {
                (
                    data_centre,
                    self.arc(data_centre, &slot_balances, &demands, scale),
                )
            })
            .collect();
        let share = demands[own] / total_demand;
        let fraction = fraction_of_targets(targets.len(), running, share);
        let overlap = fraction / share;
        let widened = if fraction >= 1.0 {
            arcs.keys().map(|name| (*name, RingArc::WHOLE)).collect()
        } else {
            widened(&arcs, &slot_balances, own_data_centre, overlap)
        };
        let least_preferred = Preference {
            is_owned: false,
            penalty: OTHER_DATA_CENTRE_PENALTY + UNOWNED_REMOTE_PENALTY + MAX_DISTANCE_PENALTY,
        };
        let mut preferences = vec![least_preferred; targets.len()];
        for (data_centre, arc) in widened {
            set_preferences(
                &mut preferences,
                targets,
                data_centre,
                arc,
                data_centre != own_data_centre,
            );
        }
        Preferences {
            targets: preferences,
            share,
            overlap,
        }
    }

    /// This entry's arc in a data centre, by its share of the demand.
    fn arc(
        &self,
        data_centre: &Arc<str>,
        slot_balances: &IndexMap<Arc<str>, SlotBalance>,
        demands: &[f64],
        scale: f64,
    ) -> RingArc {
        let balance = &slot_balances[data_centre];
        let shortage: f64 = slot_balances.values().map(SlotBalance::shortage).sum();
        let widths = self.members.iter().zip(demands).map(|(member, demand)| {
            let member_balance = &slot_balances[&member.data_centre];
            if member.data_centre == *data_centre {
                return demand * scale * (member_balance.slots / member_balance.needed).min(1.0);
            }
            let sent_away = demand * scale * member_balance.shortage() / member_balance.needed;
            sent_away * balance.spare() / shortage.max(f64::MIN_POSITIVE)
        });
        arc_of(
            self.own_index(),
            &widths.collect::<Vec<f64>>(),
            balance.slots,
        )
    }

    fn own_index(&self) -> usize {
        let found = self
            .members
            .iter()
            .position(|it| it.address == self.own_address);
        found.expect("an entry is a member of its own view")
    }

    /// The demands of all entries. Unknown ones are assumed to be average.
    #[allow(clippy::cast_precision_loss)] // a thousand at most
    fn demands(&self) -> Vec<f64> {
        let known: Vec<f64> = self
            .members
            .iter()
            .filter_map(|it| it.demand_per_s)
            .collect();
        let sum: f64 = known.iter().sum();
        let mean = sum / known.len().max(1) as f64;
        let average = if mean > 0.0 { mean } else { 1.0 };
        let demands = self.members.iter().map(|it| it.demand_per_s);
        demands
            .map(|demand| demand.unwrap_or(average).max(average * MIN_DEMAND_FRACTION))
            .collect()
    }

    fn slot_balances(
        &self,
        targets: &[&Target],
        demands: &[f64],
        scale: f64,
    ) -> IndexMap<Arc<str>, SlotBalance> {
        let mut slot_balances: IndexMap<Arc<str>, SlotBalance> = IndexMap::new();
        for target in targets {
            let balance = slot_balances.entry(Arc::clone(&target.data_centre));
            balance.or_default().slots += slots(target);
        }
        for (member, demand) in self.members.iter().zip(demands) {
            let balance = slot_balances.entry(Arc::clone(&member.data_centre));
            balance.or_default().needed += demand * scale;
        }
        slot_balances
    }
}

/// The fraction of the targets over which an entry with that many requests spreads them; at least
/// its share by demand.
fn fraction_of_targets(targets: usize, running: f64, share: f64) -> f64 {
    #[allow(clippy::cast_precision_loss)] // ten thousand at most
    let count = targets.max(1) as f64;
    if running >= EVEN_SPREAD_THRESHOLD * count {
        1.0
    } else {
        (SPREAD_FACTOR * running.sqrt() / count).clamp(share, 1.0)
    }
}

/// A hash of an address with an even distribution.
///
/// Addresses within a data centre are similar. Without the hash, all entries of one data centre
/// would spill to the same part of each other one.
fn hash_address(address: SocketAddr) -> u64 {
    let ip = match address.ip() {
        IpAddr::V4(ip) => u128::from(u32::from(ip)),
        IpAddr::V6(ip) => u128::from(ip),
    };
    let folded = (ip >> 64) ^ ip ^ (u128::from(address.port()) << 32);
    #[allow(clippy::cast_possible_truncation)] // folded into the lower half
    let mut bits = folded as u64;
    for _ in 0..HASH_ROUNDS {
        bits = (bits ^ (bits >> 31)).wrapping_mul(HASH_MULTIPLIER);
    }
    bits ^ (bits >> 31)
}

fn slots(target: &Target) -> f64 {
    f64::from(target.slots.max(1))
}

/// The arc of the entry at `index` on a ring with that many slots. If the widths leave room, the
/// arcs lie apart; the arc of an entry with a width of 0 lies at an even distance from the others.
fn arc_of(index: usize, widths: &[f64], slots: f64) -> RingArc {
    let total: f64 = widths.iter().sum();
    let total = total.max(f64::MIN_POSITIVE);
    let before: f64 = widths[..index].iter().sum();
    // Otherwise all entries of a data centre that need no slots in another one would lie at one end
    // of its ring, and spill to the same targets.
    #[allow(clippy::cast_precision_loss)] // a thousand at most
    let even_centre = (index as f64 + 0.5) / widths.len() as f64;
    let centre = if widths[index] > 0.0 {
        (before + widths[index] / 2.0) / total
    } else {
        even_centre
    };
    RingArc {
        centre,
        width: widths[index] / slots.max(total),
    }
}

/// Makes the arcs `overlap` times as wide. What exceeds the ring of the own data centre is spread
/// over the others.
fn widened<'a>(
    arcs: &IndexMap<&'a Arc<str>, RingArc>,
    slot_balances: &IndexMap<Arc<str>, SlotBalance>,
    own_data_centre: &Arc<str>,
    overlap: f64,
) -> Vec<(&'a Arc<str>, RingArc)> {
    let own_arc = &arcs[own_data_centre];
    let overflow_slots =
        (own_arc.width * overlap - 1.0).max(0.0) * slot_balances[own_data_centre].slots;
    let elsewhere = slot_balances
        .iter()
        .filter(|(data_centre, _)| *data_centre != own_data_centre);
    let slots: f64 = elsewhere.map(|(_, balance)| balance.slots).sum();
    let added = overflow_slots / slots.max(f64::MIN_POSITIVE);
    let widened = arcs.iter().map(|(data_centre, arc)| {
        let added = if *data_centre == own_data_centre {
            0.0
        } else {
            added
        };
        let width = (arc.width * overlap + added).min(1.0);
        (*data_centre, RingArc { width, ..*arc })
    });
    widened.collect()
}

/// Sets the preferences for the targets of one data centre.
fn set_preferences(
    preferences: &mut [Preference],
    targets: &[&Target],
    data_centre: &Arc<str>,
    arc: RingArc,
    is_remote: bool,
) {
    let indices = (0..targets.len()).filter(|index| targets[*index].data_centre == *data_centre);
    let mut indices: Vec<usize> = indices.collect();
    indices.sort_by(|a, b| targets[*a].incarnation.id.cmp(&targets[*b].incarnation.id));
    let total: f64 = indices.iter().map(|index| slots(targets[*index])).sum();
    #[allow(clippy::cast_precision_loss)] // ten thousand at most
    let count = indices.len() as f64;
    let mut before = 0.0;
    for index in indices {
        let width = slots(targets[index]);
        let distance = arc.distance((before + width / 2.0) / total) * count;
        before += width;
        let is_owned = distance <= 0.0 && arc.width > 0.0;
        let data_centre_penalty = match is_remote {
            true if is_owned => OTHER_DATA_CENTRE_PENALTY,
            true => OTHER_DATA_CENTRE_PENALTY + UNOWNED_REMOTE_PENALTY,
            false => 0.0,
        };
        preferences[index] = Preference {
            is_owned,
            penalty: data_centre_penalty
                + (distance * PENALTY_PER_TARGET).min(MAX_DISTANCE_PENALTY),
        };
    }
}
