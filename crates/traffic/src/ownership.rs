//! Which targets an entry uses first, where many entries share many targets.
//!
//! An entry sees what it runs itself, and little of what others run. Fifty entries
//! that each spread a few streams evenly over two hundred targets put, by chance,
//! four times the mean at one of them: streams wait or are rejected there while most
//! places are free. So the targets are divided: each entry owns a part that follows
//! from its demand, fills that part evenly by what it knows exactly, and goes beyond
//! it only when its own targets are clearly fuller than targets are on average.
//!
//! The targets of a data centre lie on a circle, in the order of their ids, each as
//! wide as its slots. The entries divide the circle into arcs in the order of their
//! mixed addresses, each as wide as its part of the demand. A data centre with more demand
//! than its targets serve gets arcs in those that have room. Beyond its arc an entry
//! prefers the nearest targets, so two full entries spill to different places.
//!
//! Nothing is agreed on. Entries that know different members for a moment own some
//! targets twice and leave others to be used by spilling; that costs some waiting and
//! never a request. When a member comes or goes the arcs shift, and what runs stays
//! where it is.
//!
//! Of the known ways, rendezvous hashing gives each of fifty entries four of two
//! hundred targets only on average, from none to nine; fixed random subsets overlap by
//! chance; both need a correction that arcs have built in.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

use indexmap::IndexMap;

use crate::target::Target;

/// Penalty for each target between an entry's arc and the one in question, in
/// requests: half a request more or less at a target is within what chance does to
/// the load of an arc.
const PER_TARGET: f64 = 0.25;

/// Most that distance alone counts. A part whose owner is gone has to be within
/// reach of those who got its callers before they learn that it is gone.
const MOST_DISTANCE: f64 = 1.5;

/// Penalty of a target in another data centre, in requests. The way there and back
/// takes a fraction of one pass, and each byte between data centres is paid for.
const OTHER_DATA_CENTRE: f64 = 1.0;

/// Arcs are no narrower than this part of the mean, so that an entry whose demand
/// was not seen yet has somewhere to begin.
const LEAST_DEMAND: f64 = 0.1;

/// An odd number with its bits evenly spread, and how often it is multiplied with:
/// twice lets every bit of an address reach every bit of the result.
const MIX_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;
const MIX_ROUNDS: u32 = 2;

/// Weight of a newly measured second in an entry's demand, once some were seen: its
/// ten arrivals a second vary by a third, over five seconds by a seventh.
const DEMAND_WEIGHT: f64 = 0.2;

/// What one entry measures of its own demand, second by second.
#[derive(Clone, Debug, Default)]
pub struct DemandMeter {
    arrivals: u64,
    seconds: u32,
    per_s: f64,
}

impl DemandMeter {
    /// A second has passed; `arrivals` is the number of requests since the start.
    /// Returns the demand in requests a second, once there was a request.
    #[allow(clippy::cast_precision_loss)] // thousands a second at most
    pub fn observe(&mut self, arrivals: u64) -> Option<f64> {
        let new = arrivals.saturating_sub(self.arrivals);
        self.arrivals = arrivals;
        if arrivals == 0 {
            return None;
        }
        self.seconds = self.seconds.saturating_add(1);
        let weight = DEMAND_WEIGHT.max(1.0 / f64::from(self.seconds));
        self.per_s += weight * (new as f64 - self.per_s);
        Some(self.per_s)
    }
}

/// An entry that shares the targets.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Where it answers its peers.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: Arc<str>,
    /// Requests a second that arrive there; `None` while it has not been told.
    pub demand_per_s: Option<f64>,
}

/// How much an entry prefers one target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Preference {
    /// Whether the entry owns it.
    pub is_own: bool,
    /// By how many requests another target may be fuller before this one is used.
    pub penalty: f64,
}

/// An entry's preferences over the targets of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Preferences {
    /// One for each target, in the order of the targets.
    pub targets: Vec<Preference>,
    /// Slots that the entry's part has, fractions of targets included.
    pub own_slots: f64,
}

/// The entries that share the targets, as one of them knows them.
#[derive(Clone, Debug, PartialEq)]
pub struct Membership {
    own: SocketAddr,
    members: Vec<Member>,
}

/// A part of a circle of length 1.
#[derive(Clone, Copy, Debug)]
struct Arc01 {
    from: f64,
    width: f64,
}

impl Arc01 {
    /// Distance of a point from the arc, the shorter way round.
    fn distance(&self, point: f64) -> f64 {
        let middle = self.from + self.width / 2.0;
        let apart = (point - middle).abs();
        let shorter = apart.min(1.0 - apart);
        (shorter - self.width / 2.0).max(0.0)
    }
}

/// What a data centre's entries need and its targets have, in slots.
#[derive(Clone, Copy, Debug, Default)]
struct Supply {
    needed: f64,
    slots: f64,
}

impl Supply {
    fn excess(&self) -> f64 {
        (self.needed - self.slots).max(0.0)
    }

    fn room(&self) -> f64 {
        (self.slots - self.needed).max(0.0)
    }
}

impl Membership {
    /// The entry at `own` and all others that it knows to take requests.
    #[must_use]
    pub fn new(own: Member, others: impl IntoIterator<Item = Member>) -> Self {
        let address = own.address;
        let mut members: Vec<Member> = others.into_iter().collect();
        members.retain(|member| member.address != address);
        members.push(own);
        members.sort_by_key(|member| (mixed(member.address), member.address));
        members.dedup_by_key(|member| member.address);
        Self {
            own: address,
            members,
        }
    }

    /// The entries, this one included.
    #[must_use]
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Never true: an entry knows itself.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// This entry's preferences over the targets of one service.
    #[must_use]
    pub fn preferences(&self, targets: &[&Target]) -> Preferences {
        let demands = self.demands();
        let total_demand: f64 = demands.iter().sum();
        let total_slots: f64 = targets.iter().map(|target| slots(target)).sum();
        let scale = total_slots / total_demand;
        let supplies = self.supplies(targets, &demands, scale);
        let excess: f64 = supplies.values().map(Supply::excess).sum();
        let own = self.index();
        let mut preferences = vec![
            Preference {
                is_own: false,
                penalty: OTHER_DATA_CENTRE + MOST_DISTANCE,
            };
            targets.len()
        ];
        for (data_centre, supply) in &supplies {
            let widths = self.members.iter().zip(&demands).map(|(member, demand)| {
                let home = &supplies[&member.data_centre];
                if member.data_centre == *data_centre {
                    return demand * scale * (home.slots / home.needed).min(1.0);
                }
                let sent_away = demand * scale * home.excess() / home.needed;
                sent_away * supply.room() / excess.max(f64::MIN_POSITIVE)
            });
            let arc = arc_of(own, &widths.collect::<Vec<f64>>());
            let is_far = *data_centre != self.members[own].data_centre;
            prefer(&mut preferences, targets, data_centre, arc, is_far);
        }
        Preferences {
            targets: preferences,
            own_slots: demands[own] * scale,
        }
    }

    fn index(&self) -> usize {
        let found = self.members.iter().position(|it| it.address == self.own);
        found.expect("an entry is a member of its own view")
    }

    /// The entries' demands. Unknown ones are taken to be usual.
    #[allow(clippy::cast_precision_loss)] // a thousand at most
    fn demands(&self) -> Vec<f64> {
        let known: Vec<f64> = self.members.iter().filter_map(|it| it.demand_per_s).collect();
        let sum: f64 = known.iter().sum();
        let mean = sum / known.len().max(1) as f64;
        let usual = if mean > 0.0 { mean } else { 1.0 };
        let demands = self.members.iter().map(|it| it.demand_per_s);
        demands
            .map(|demand| demand.unwrap_or(usual).max(usual * LEAST_DEMAND))
            .collect()
    }

    fn supplies(
        &self,
        targets: &[&Target],
        demands: &[f64],
        scale: f64,
    ) -> IndexMap<Arc<str>, Supply> {
        let mut supplies: IndexMap<Arc<str>, Supply> = IndexMap::new();
        for target in targets {
            let supply = supplies.entry(Arc::clone(&target.data_centre));
            supply.or_default().slots += slots(target);
        }
        for (member, demand) in self.members.iter().zip(demands) {
            let supply = supplies.entry(Arc::clone(&member.data_centre));
            supply.or_default().needed += demand * scale;
        }
        supplies
    }
}

/// A number that spreads addresses evenly.
///
/// Those of a data centre are alike. In their plain order all entries of one data
/// centre would spill to the same place in each other one.
fn mixed(address: SocketAddr) -> u64 {
    let ip = match address.ip() {
        IpAddr::V4(ip) => u128::from(u32::from(ip)),
        IpAddr::V6(ip) => u128::from(ip),
    };
    let folded = (ip >> 64) ^ ip ^ (u128::from(address.port()) << 32);
    #[allow(clippy::cast_possible_truncation)] // folded into the lower half
    let mut bits = folded as u64;
    for _ in 0..MIX_ROUNDS {
        bits = (bits ^ (bits >> 31)).wrapping_mul(MIX_FACTOR);
    }
    bits ^ (bits >> 31)
}

fn slots(target: &Target) -> f64 {
    f64::from(target.slots.max(1))
}

/// The arc of one of some entries, as wide as its part of their widths.
fn arc_of(index: usize, widths: &[f64]) -> Arc01 {
    let total: f64 = widths.iter().sum();
    let total = total.max(f64::MIN_POSITIVE);
    let before: f64 = widths[..index].iter().sum();
    Arc01 {
        from: before / total,
        width: widths[index] / total,
    }
}

/// Sets the preferences over one data centre's targets.
fn prefer(
    preferences: &mut [Preference],
    targets: &[&Target],
    data_centre: &Arc<str>,
    arc: Arc01,
    is_far: bool,
) {
    let there = (0..targets.len()).filter(|index| targets[*index].data_centre == *data_centre);
    let mut there: Vec<usize> = there.collect();
    there.sort_by(|a, b| targets[*a].incarnation.id.cmp(&targets[*b].incarnation.id));
    let total: f64 = there.iter().map(|index| slots(targets[*index])).sum();
    #[allow(clippy::cast_precision_loss)] // ten thousand at most
    let count = there.len() as f64;
    let mut before = 0.0;
    for index in there {
        let width = slots(targets[index]);
        let distance = arc.distance((before + width / 2.0) / total) * count;
        before += width;
        let far = if is_far { OTHER_DATA_CENTRE } else { 0.0 };
        preferences[index] = Preference {
            is_own: distance <= 0.0 && arc.width > 0.0,
            penalty: far + (distance * PER_TARGET).min(MOST_DISTANCE),
        };
    }
}
