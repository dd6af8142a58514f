//! The decision of one node on a request of a tenant, without input, output or clock.

use std::time::Duration;

use crate::quota::wire::Activity;
use crate::tenant::Quota;

/// Share of the bound that nodes plan with. The rest absorbs rounding and use that is not reported
/// yet.
const PLANNED_SHARE: f64 = 0.96;
/// Part of the bound that nodes leave out of their plans in addition, in square roots of it: the
/// number of requests that arrive within the age of the totals varies at random.
const RANDOM_SHARE: f64 = 1.5;
/// Share of the remaining requests that all nodes together may admit per second. The loop over the
/// reports does not overshoot while this times the age of the totals is below 1/e; at an age of
/// 0.5 s that allows 0.73.
const GAIN_PER_S: f64 = 0.6;
/// Time span of [`Activity::demand`] and [`Activity::expiring`].
pub(super) const SPAN: Duration = Duration::from_millis(400);
/// Age of the totals from which a node spends only its own share of what remained.
const STALE_AFTER: Duration = Duration::from_millis(550);
/// Age of the totals from which a node uses at most its 1/N of the limit.
const FALLBACK_AFTER: Duration = Duration::from_millis(1_500);
/// Requests that a node may admit between two totals, in even shares of the remaining requests,
/// and in requests.
const CAP_SHARES: f64 = 0.35;
const CAP_REQUESTS: f64 = 2.0;

/// How far the requests of a tenant may exceed its quota, over all nodes and any window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Limits {
    /// Length of the sliding window.
    pub window: Duration,
    /// Share by which the requests in a window may exceed the quota.
    pub over: f64,
    /// Requests by which they may exceed it in addition.
    pub slack: f64,
}

impl Limits {
    /// Most requests of a tenant that all nodes together may send to targets in any window.
    pub(super) fn bound(&self, quota: Quota) -> f64 {
        let by_quota = quota.per_s * self.window.as_secs_f64() + quota.burst;
        by_quota * (1.0 + self.over) + self.slack
    }
}

/// What a node knows of one tenant when it decides.
#[derive(Clone, Copy, Debug)]
pub(super) struct View {
    /// Activity at all nodes, as of the last totals; `None` before the first.
    pub totals: Option<Activity>,
    /// Age of the last totals.
    pub age: Duration,
    /// Number of nodes in the directory.
    pub nodes: f64,
    /// Number of nodes whose use the totals hold.
    pub heard: f64,
    /// Time since this process started.
    pub uptime: Duration,
    /// Requests that this node has admitted in the window.
    pub own_used: f64,
    /// Requests that this node has admitted since the last totals.
    pub since_totals: f64,
    /// Requests that recently arrived at this node.
    pub own_demand: f64,
    /// Number in 0..1 that is fixed for this node and tenant and evenly distributed over nodes.
    pub position: f64,
}

/// Share of the arriving requests that a node admits, in 0..=1. The caller adds the shares of
/// successive requests and admits one whenever the sum reaches 1, so that quotas well below one
/// request per node and window are met.
pub(super) fn admitted_share(limits: &Limits, quota: Quota, view: &View) -> f64 {
    let bound = limits.bound(quota);
    let bound = bound * PLANNED_SHARE - RANDOM_SHARE * bound.sqrt();
    let even_share = 1.0 / view.nodes.max(1.0);
    let node_share = bound * even_share;
    let known = view.totals.unwrap_or_default();
    let unheard = bound * unheard_share(node_share, 1.0 - view.heard * even_share);
    let used = f64::from(known.used);
    let remaining = bound - used - f64::from(known.lost).max(unheard);
    let restarted = view.uptime < limits.window;
    if view.totals.is_none() || view.age >= FALLBACK_AFTER || restarted {
        let settled = view.uptime.as_secs_f64() / limits.window.as_secs_f64();
        let allowed = rounded(node_share * settled.min(1.0), view.position);
        return f64::from(u8::from(view.own_used + 1.0 <= allowed));
    }
    // Of a node's demand, only what can hardly be chance shows that its share is above the others'.
    let certain_demand = view.own_demand - view.own_demand.sqrt();
    let demand_share = certain_demand / f64::from(known.demand).max(1.0);
    let demand_share = demand_share.clamp(even_share, 1.0);
    let spendable = remaining.max(0.0);
    let cap = if view.age < STALE_AFTER {
        spendable * CAP_SHARES * even_share.max(demand_share) + CAP_REQUESTS
    } else {
        whole(spendable * demand_share / 2.0, view.position)
    };
    if view.since_totals + 1.0 > cap {
        return 0.0;
    }
    // Spending what leaves the window keeps the use constant. Of the use at a peak only the mean
    // is spent again, so that the peak does not recur one window later.
    let span = SPAN.as_secs_f64();
    let expiring_per_s = f64::from(known.expiring) / span;
    let mean_per_s = used / limits.window.as_secs_f64();
    let by_bound = expiring_per_s.min(mean_per_s) + GAIN_PER_S * remaining;
    // Above the quota, the tenant gets its rate and not all that the bound allows, so that some is
    // left when its load falls.
    let by_quota = quota.per_s * limits.window.as_secs_f64() + quota.burst;
    let by_rate = quota.per_s + GAIN_PER_S * (by_quota - used).max(0.0);
    let allowed_per_s = by_bound.min(by_rate);
    let demand_per_s = f64::from(known.demand).max(view.own_demand) / span;
    if allowed_per_s <= 0.0 {
        0.0
    } else if allowed_per_s >= demand_per_s {
        1.0
    } else {
        allowed_per_s / demand_per_s
    }
}

/// Number of requests that a node may send for its share. Some nodes get one request for the part
/// below one.
fn whole(share: f64, position: f64) -> f64 {
    share.floor() + f64::from(u8::from(position < share.fract()))
}

/// Number of requests that a node may send without news of the others. Of a share below one, twice
/// as many nodes get one request as the share says, because few of them use it.
fn rounded(share: f64, position: f64) -> f64 {
    let doubled = if share < 1.0 {
        (2.0 * share).min(1.0)
    } else {
        share
    };
    whole(doubled, position)
}

/// Share of the bound that is reserved for the nodes that are not heard from, by their share of all
/// nodes. It covers what [`rounded`] gives them, and leaves the others at least half of theirs.
fn unheard_share(node_share: f64, unheard: f64) -> f64 {
    let unheard = unheard.clamp(0.0, 1.0);
    if node_share < 1.0 {
        (2.0 * unheard)
            .min(f64::midpoint(1.0, unheard))
            .min(unheard / node_share)
    } else {
        unheard
    }
}
