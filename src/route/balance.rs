//! Load balancing among the targets of a group: the nearest tier first, and within a tier the
//! cheaper of two random targets by expected cost. Ejected targets are left out up to a bound, and
//! so are targets far slower than the median.

use std::collections::HashMap;
use std::sync::Arc;

use arc_swap::ArcSwap;
use rand::seq::IndexedRandom;

use crate::bundle::ClassKind;
use crate::roster::{Member, Presence, Roster};
use crate::route::Endpoint;

/// Targets slower than this multiple of their tier's median latency are not chosen.
const SLOW_LATENCY_MULTIPLE: f64 = 3.0;
/// Lower bound of latency estimates, in seconds, for comparisons and costs.
const MIN_LATENCY_S: f64 = 0.000_5;

/// Region and data centre of this node, from which the tiers of targets follow.
#[derive(Clone, Debug)]
pub(crate) struct Locality {
    pub region: String,
    pub data_center: String,
}

/// Distance of a target from this node, nearest first; each step adds latency and cost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Tier {
    SameDataCenter,
    SameRegion,
    OtherRegion,
}

impl Locality {
    fn tier(&self, member: &Member) -> Tier {
        if member.data_center == self.data_center {
            Tier::SameDataCenter
        } else if member.region == self.region {
            Tier::SameRegion
        } else {
            Tier::OtherRegion
        }
    }
}

type Groups = HashMap<String, Vec<Arc<Endpoint>>>;

/// Chooses targets by what this node has measured of them.
pub(crate) struct Balancer {
    locality: Locality,
    eject_percent: u32,
    groups: ArcSwap<Groups>,
}

impl Balancer {
    /// A balancer of a node at `locality` that ejects at most `eject_percent` of a tier's targets.
    pub(crate) fn new(locality: Locality, eject_percent: u32) -> Self {
        Self {
            locality,
            eject_percent,
            groups: ArcSwap::default(),
        }
    }

    /// Replaces the targets by those of a new roster. Measurements of targets that stay are kept.
    /// Targets of the first roster get no slow start, as they may have been running for long.
    pub(crate) fn update(&self, roster: &Roster) {
        let current = self.groups.load();
        let first_roster = current.is_empty();
        let mut groups = Groups::with_capacity(roster.groups.len());
        for (name, members) in &roster.groups {
            let previous = current.get(name).map_or(&[][..], Vec::as_slice);
            let endpoints = members
                .iter()
                .map(|member| reuse_or_create(previous, member, !first_roster));
            groups.insert(name.clone(), endpoints.collect());
        }
        self.groups.store(Arc::new(groups));
    }

    /// Chooses a serving target of `group` for a request of `kind`, except those in `tried`; `None`
    /// if there is none.
    ///
    /// Prefers a target that has not just refused a request, even in a farther tier. An ejected target is
    /// chosen if there is no other: its failures may concern few of its requests.
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
            .filter(|endpoint| endpoint.is_serving() && !tried.contains(&endpoint.member.node))
            .collect();
        endpoints.sort_by_key(|endpoint| self.locality.tier(&endpoint.member));
        let tiers = || {
            endpoints
                .chunk_by(|a, b| self.locality.tier(&a.member) == self.locality.tier(&b.member))
        };
        let accepting = tiers().find_map(|tier| {
            let usable = self.usable(tier);
            let accepting: Vec<_> = usable.into_iter().filter(|e| !e.is_paused()).collect();
            pick_of_two(&accepting, kind)
        });
        accepting
            .or_else(|| tiers().find_map(|tier| pick_of_two(&self.usable(tier), kind)))
            .or_else(|| tiers().find_map(|tier| pick_of_two(tier, kind)))
    }

    /// Targets of a tier without the ejected ones. Leaves out at most `eject_percent` of the tier,
    /// or one target if that is more.
    fn usable<'a>(&self, tier: &[&'a Arc<Endpoint>]) -> Vec<&'a Arc<Endpoint>> {
        let max_ejected = tier.len() * self.eject_percent as usize / 100;
        let (ejected, mut usable): (Vec<_>, Vec<_>) = tier
            .iter()
            .copied()
            .partition(|endpoint| endpoint.is_ejected());
        usable.extend(ejected.into_iter().skip(max_ejected.max(1)));
        usable
    }
}

/// Endpoint for a member of a new roster. Measurements carry over within an incarnation, but not
/// from a target that was down: it restarts with a slow start.
fn reuse_or_create(
    existing: &[Arc<Endpoint>],
    member: &Arc<Member>,
    slow_start: bool,
) -> Arc<Endpoint> {
    let previous = existing.iter().find(|endpoint| {
        let old = &endpoint.member;
        old.node == member.node && old.incarnation == member.incarnation
    });
    match previous {
        Some(endpoint) if endpoint.member == *member => endpoint.clone(),
        Some(endpoint) => {
            let recovered = endpoint.member.presence == Presence::Down;
            if recovered {
                Arc::new(Endpoint::new(member.clone(), true))
            } else {
                Arc::new(endpoint.with_member(member.clone()))
            }
        }
        None => Arc::new(Endpoint::new(member.clone(), slow_start)),
    }
}

/// Power of two choices: the cheaper of two random targets that are not far slower than the
/// median. A slow target is tried again once its latency estimate has decayed.
fn pick_of_two(tier: &[&Arc<Endpoint>], kind: ClassKind) -> Option<Arc<Endpoint>> {
    if tier.len() <= 1 {
        return tier.first().map(|endpoint| (*endpoint).clone());
    }
    let limit = median_latency(tier, kind).max(MIN_LATENCY_S) * SLOW_LATENCY_MULTIPLE;
    let normal: Vec<_> = tier
        .iter()
        .copied()
        .filter(|e| e.latency(kind) <= limit)
        .collect();
    let candidates = if normal.is_empty() { tier } else { &normal };
    let mut rng = rand::rng();
    let mut sample = candidates.sample(&mut rng, 2);
    let one = sample.next()?;
    let other = sample.next().unwrap_or(one);
    let cheaper = if one.cost(kind, MIN_LATENCY_S) <= other.cost(kind, MIN_LATENCY_S) {
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

#[cfg(test)]
mod tests;
