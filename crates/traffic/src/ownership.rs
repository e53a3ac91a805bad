//! Which targets an entry uses first, where many entries share many targets.
//!
//! An entry sees what it runs itself, and little of what others run. Fifty entries
//! that each spread a few streams evenly over two hundred targets put, by chance,
//! four times the mean at one of them: streams wait or are rejected there while most
//! places are free. So the targets are divided: each entry owns a part that follows
//! from its demand, fills that part evenly by what it knows exactly, and goes beyond
//! it only when its own targets are clearly fuller than targets are on average. An
//! entry that has many requests for each target needs no part: it uses all evenly.
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
/// requests: enough to order the targets beyond the arc, and little beside a request more
/// or less at one of them.
const PER_TARGET: f64 = 0.1;

/// Most that distance alone counts. A part whose owner is gone has to be within
/// reach of those who got its callers before they learn that it is gone.
const MOST_DISTANCE: f64 = 1.0;

/// Penalty of an own target in another data centre, in requests: the way there and back
/// takes a fraction of one pass.
const OTHER_DATA_CENTRE: f64 = 0.3;

/// Further penalty of a target in another data centre that is not own. Each byte between
/// data centres is paid for, and the nearest places are mostly as good.
const FOREIGN: f64 = 1.2;

/// An entry spreads its requests over this many times the square root of their number.
///
/// How full one target gets varies for three reasons. The requests of an entry with a
/// part for itself alone come and go together, which counts less the more targets it
/// uses; its demand is known to a tenth only, which evens out where several entries use
/// one target; and entries that share a target do not know of each other's requests,
/// which counts more the more of them there are. With the root, few entries with many
/// requests use nearly all targets together, and many entries with few requests hardly
/// overlap.
///
/// On the model of a group, 53 entries before 192 engines of six slots answer 98.7% in
/// goal with a factor of 2 and 99.1% with 4; 20 entries 98.2% and 99.6%; 24 entries
/// before 72 engines of ten slots 84.5% and 87.9%.
const SPREAD: f64 = 4.0;

/// An entry that has this many requests for each target, or more, uses all targets
/// evenly. What it puts at each then varies by less than the width of parts does.
///
/// On the same model near capacity, 12 entries before 72 engines, with some 0.4 requests
/// for each target, answer 94% in goal with all targets and 89% with parts; 24 entries,
/// with 0.2, answer 80% and 89%.
const EVEN_FROM: f64 = 0.4;

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

/// Seconds after which a demand is told. The first ones vary most, and entries hear of
/// each other some seconds apart, so they would compare what is not alike.
const FIRST_SECONDS: u32 = 5;

/// What one entry measures of its own demand, second by second.
#[derive(Clone, Debug, Default)]
pub struct DemandMeter {
    arrivals: u64,
    seconds: u32,
    per_s: f64,
}

impl DemandMeter {
    /// A second has passed; `arrivals` is the number of requests since the start.
    /// Returns the demand in requests a second, some seconds after the first one.
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
        (self.seconds >= FIRST_SECONDS).then_some(self.per_s)
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
    pub is_owned: bool,
    /// By how many requests another target may be fuller before this one is used.
    pub penalty: f64,
}

/// An entry's preferences over the targets of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Preferences {
    /// One for each target, in the order of the targets.
    pub targets: Vec<Preference>,
    /// The entry's part of all slots by its demand, from 0 to 1.
    pub share: f64,
    /// How many times as wide as its share the part is over which the entry spreads its
    /// requests; others use these targets too if it is more than 1.
    pub overlap: f64,
}

/// The entries that share the targets, as one of them knows them.
#[derive(Clone, Debug, PartialEq)]
pub struct Membership {
    own: SocketAddr,
    members: Vec<Member>,
}

/// A part of a data centre's circle of targets; the whole circle has length 1.
#[derive(Clone, Copy, Debug)]
struct CircleArc {
    middle: f64,
    width: f64,
}

impl CircleArc {
    const WHOLE: Self = Self {
        middle: 0.5,
        width: 1.0,
    };

    /// Distance of a point from the arc, the shorter way round.
    fn distance(&self, point: f64) -> f64 {
        let apart = (point - self.middle).abs();
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

    /// This entry's preferences over the targets of one service, at which it has
    /// `running` requests.
    #[must_use]
    pub fn preferences(&self, targets: &[&Target], running: f64) -> Preferences {
        let demands = self.demands();
        let total_demand: f64 = demands.iter().sum();
        let total_slots: f64 = targets.iter().map(|target| slots(target)).sum();
        let scale = total_slots / total_demand;
        let supplies = self.supplies(targets, &demands, scale);
        let own = self.index();
        let home = &self.members[own].data_centre;
        let arcs: IndexMap<&Arc<str>, CircleArc> = supplies
            .keys()
            .map(|data_centre| {
                (
                    data_centre,
                    self.arc(data_centre, &supplies, &demands, scale),
                )
            })
            .collect();
        let share = demands[own] / total_demand;
        let part = part_of_targets(targets.len(), running, share);
        let overlap = part / share;
        let widened = if part >= 1.0 {
            arcs.keys().map(|name| (*name, CircleArc::WHOLE)).collect()
        } else {
            widened(&arcs, &supplies, home, overlap)
        };
        let last = Preference {
            is_owned: false,
            penalty: OTHER_DATA_CENTRE + FOREIGN + MOST_DISTANCE,
        };
        let mut preferences = vec![last; targets.len()];
        for (data_centre, arc) in widened {
            prefer(
                &mut preferences,
                targets,
                data_centre,
                arc,
                data_centre != home,
            );
        }
        Preferences {
            targets: preferences,
            share,
            overlap,
        }
    }

    /// This entry's arc in a data centre, by its part of the demand.
    fn arc(
        &self,
        data_centre: &Arc<str>,
        supplies: &IndexMap<Arc<str>, Supply>,
        demands: &[f64],
        scale: f64,
    ) -> CircleArc {
        let supply = &supplies[data_centre];
        let excess: f64 = supplies.values().map(Supply::excess).sum();
        let widths = self.members.iter().zip(demands).map(|(member, demand)| {
            let home = &supplies[&member.data_centre];
            if member.data_centre == *data_centre {
                return demand * scale * (home.slots / home.needed).min(1.0);
            }
            let sent_away = demand * scale * home.excess() / home.needed;
            sent_away * supply.room() / excess.max(f64::MIN_POSITIVE)
        });
        arc_of(self.index(), &widths.collect::<Vec<f64>>(), supply.slots)
    }

    fn index(&self) -> usize {
        let found = self.members.iter().position(|it| it.address == self.own);
        found.expect("an entry is a member of its own view")
    }

    /// The entries' demands. Unknown ones are taken to be usual.
    #[allow(clippy::cast_precision_loss)] // a thousand at most
    fn demands(&self) -> Vec<f64> {
        let known: Vec<f64> = self
            .members
            .iter()
            .filter_map(|it| it.demand_per_s)
            .collect();
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

/// The part of the targets over which an entry with that many requests spreads them; not
/// less than its share by demand.
fn part_of_targets(targets: usize, running: f64, share: f64) -> f64 {
    #[allow(clippy::cast_precision_loss)] // ten thousand at most
    let count = targets.max(1) as f64;
    if running >= EVEN_FROM * count {
        1.0
    } else {
        (SPREAD * running.sqrt() / count).clamp(share, 1.0)
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

/// The arc of one of some entries on a circle of that many slots. Where the widths leave
/// room, the arcs lie apart; an entry without a width stands at an even distance from the
/// others.
fn arc_of(index: usize, widths: &[f64], slots: f64) -> CircleArc {
    let total: f64 = widths.iter().sum();
    let total = total.max(f64::MIN_POSITIVE);
    let before: f64 = widths[..index].iter().sum();
    // Without a width of their own all entries of a data centre would stand at one of
    // its ends in each other one, and spill to the same targets.
    #[allow(clippy::cast_precision_loss)] // a thousand at most
    let evenly = (index as f64 + 0.5) / widths.len() as f64;
    let middle = if widths[index] > 0.0 {
        (before + widths[index] / 2.0) / total
    } else {
        evenly
    };
    CircleArc {
        middle,
        width: widths[index] / slots.max(total),
    }
}

/// The arcs `overlap` times as wide. What does not fit into a data centre is spread over
/// the others.
fn widened<'a>(
    arcs: &IndexMap<&'a Arc<str>, CircleArc>,
    supplies: &IndexMap<Arc<str>, Supply>,
    home: &Arc<str>,
    overlap: f64,
) -> Vec<(&'a Arc<str>, CircleArc)> {
    let at_home = &arcs[home];
    let left_over = (at_home.width * overlap - 1.0).max(0.0) * supplies[home].slots;
    let elsewhere = supplies
        .iter()
        .filter(|(data_centre, _)| *data_centre != home);
    let slots: f64 = elsewhere.map(|(_, supply)| supply.slots).sum();
    let added = left_over / slots.max(f64::MIN_POSITIVE);
    let widened = arcs.iter().map(|(data_centre, arc)| {
        let added = if *data_centre == home { 0.0 } else { added };
        let width = (arc.width * overlap + added).min(1.0);
        (*data_centre, CircleArc { width, ..*arc })
    });
    widened.collect()
}

/// Sets the preferences over one data centre's targets.
fn prefer(
    preferences: &mut [Preference],
    targets: &[&Target],
    data_centre: &Arc<str>,
    arc: CircleArc,
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
        let is_owned = distance <= 0.0 && arc.width > 0.0;
        let far = match is_far {
            true if is_owned => OTHER_DATA_CENTRE,
            true => OTHER_DATA_CENTRE + FOREIGN,
            false => 0.0,
        };
        preferences[index] = Preference {
            is_owned,
            penalty: far + (distance * PER_TARGET).min(MOST_DISTANCE),
        };
    }
}
