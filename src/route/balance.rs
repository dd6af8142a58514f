//! Choice among the targets of a group: nearest tier first, two random choices by expected cost,
//! ejected and slow targets left out up to a bound.

use std::collections::HashMap;
use std::sync::Arc;

use arc_swap::ArcSwap;
use rand::seq::IndexedRandom;

use crate::bundle::ClassKind;
use crate::roster::{Member, Presence, Roster};
use crate::route::Endpoint;

const SLOW_MULTIPLE: f64 = 3.0;
const LATENCY_FLOOR: f64 = 0.000_5;

/// Where this node is, for telling near targets from far ones.
#[derive(Clone, Debug)]
pub(crate) struct Place {
    /// Region.
    pub region: String,
    /// Data centre.
    pub data_center: String,
}

/// How far a target is; each step costs more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Tier {
    SameCenter,
    SameRegion,
    OtherRegion,
}

impl Place {
    fn tier(&self, member: &Member) -> Tier {
        if member.data_center == self.data_center {
            Tier::SameCenter
        } else if member.region == self.region {
            Tier::SameRegion
        } else {
            Tier::OtherRegion
        }
    }
}

type Groups = HashMap<String, Vec<Arc<Endpoint>>>;

/// The targets of all groups, as seen from one node.
pub(crate) struct Balancer {
    place: Place,
    eject_percent: u32,
    groups: ArcSwap<Groups>,
}

impl Balancer {
    /// A balancer at `place` that ejects at most `eject_percent` of a tier's targets.
    pub(crate) fn new(place: Place, eject_percent: u32) -> Self {
        Self {
            place,
            eject_percent,
            groups: ArcSwap::default(),
        }
    }

    /// Takes a new roster; what was seen of targets that are still there is kept.
    pub(crate) fn update(&self, roster: &Roster) {
        let current = self.groups.load();
        let first = current.is_empty();
        let mut groups = Groups::with_capacity(roster.groups.len());
        for (name, members) in &roster.groups {
            let known = current.get(name).map_or(&[][..], Vec::as_slice);
            let endpoints = members.iter().map(|member| renew(known, member, !first));
            groups.insert(name.clone(), endpoints.collect());
        }
        self.groups.store(Arc::new(groups));
    }

    /// Chooses a target of `group` for a request of `kind`, none of those in `tried`. `None` if none is left.
    pub(crate) fn choose(
        &self,
        group: &str,
        kind: ClassKind,
        tried: &[String],
    ) -> Option<Arc<Endpoint>> {
        let groups = self.groups.load();
        let mut endpoints: Vec<&Arc<Endpoint>> = groups
            .get(group)?
            .iter()
            .filter(|endpoint| endpoint.serving() && !tried.contains(&endpoint.member.node))
            .collect();
        endpoints.sort_by_key(|endpoint| self.place.tier(&endpoint.member));
        let tiers =
            || endpoints.chunk_by(|a, b| self.place.tier(&a.member) == self.place.tier(&b.member));
        let free = tiers().find_map(|tier| {
            let usable = self.without_ejected(tier);
            let open: Vec<_> = usable.into_iter().filter(|e| !e.refusing()).collect();
            pick(&open, kind)
        });
        free.or_else(|| tiers().find_map(|tier| pick(&self.without_ejected(tier), kind)))
    }

    /// Leaves out ejected targets, but never more of them than the bound allows.
    fn without_ejected<'a>(&self, tier: &[&'a Arc<Endpoint>]) -> Vec<&'a Arc<Endpoint>> {
        let allowed = tier.len() * self.eject_percent as usize / 100;
        let (ejected, mut usable): (Vec<_>, Vec<_>) = tier
            .iter()
            .copied()
            .partition(|endpoint| endpoint.ejected());
        usable.extend(ejected.into_iter().skip(allowed.max(1)));
        usable
    }
}

fn renew(known: &[Arc<Endpoint>], member: &Arc<Member>, fresh: bool) -> Arc<Endpoint> {
    let same = known.iter().find(|endpoint| {
        let old = &endpoint.member;
        old.node == member.node && old.incarnation == member.incarnation
    });
    match same {
        Some(endpoint) if endpoint.member == *member => endpoint.clone(),
        Some(endpoint) => {
            let back = endpoint.member.presence == Presence::Down;
            if back {
                Arc::new(Endpoint::new(member.clone(), true))
            } else {
                Arc::new(endpoint.with_member(member.clone()))
            }
        }
        None => Arc::new(Endpoint::new(member.clone(), fresh)),
    }
}

/// Two random choices by cost, among the targets that are not far slower than the median. A slow
/// one is tried again once its latency estimate has faded.
fn pick(tier: &[&Arc<Endpoint>], kind: ClassKind) -> Option<Arc<Endpoint>> {
    if tier.len() <= 1 {
        return tier.first().map(|endpoint| (*endpoint).clone());
    }
    let limit = median_latency(tier, kind).max(LATENCY_FLOOR) * SLOW_MULTIPLE;
    let normal: Vec<_> = tier
        .iter()
        .copied()
        .filter(|e| e.latency(kind) <= limit)
        .collect();
    let from = if normal.is_empty() { tier } else { &normal };
    let mut rng = rand::rng();
    let mut choices = from.sample(&mut rng, 2);
    let one = choices.next()?;
    let other = choices.next().unwrap_or(one);
    let cheaper = if one.cost(kind, LATENCY_FLOOR) <= other.cost(kind, LATENCY_FLOOR) {
        one
    } else {
        other
    };
    Some((*cheaper).clone())
}

fn median_latency(tier: &[&Arc<Endpoint>], kind: ClassKind) -> f64 {
    let mut latencies: Vec<f64> = tier.iter().map(|endpoint| endpoint.latency(kind)).collect();
    latencies.sort_by(f64::total_cmp);
    latencies[(latencies.len() - 1) / 2]
}
