//! Election of the watcher: the node of a data centre that reads the platform's store for the
//! others.
//!
//! The store's capacity does not grow with the fleet, so only one node of each data centre, the
//! watcher, follows the store and notifies its neighbours. There is no lease: all nodes rank the
//! members of their data centre in the same order, and the first that is alive and reaches the
//! store is the watcher. Two watchers at a time do no harm. If the watcher fails, the next in rank
//! takes over after a few unanswered pings.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64;

/// Interval at which a node pings those that rank above it.
pub(super) const PING_PERIOD: Duration = Duration::from_millis(300);
/// Time without a status from a node after which it is not eligible: two missed pongs. Together
/// with the time to read a version, it stays well below the time in which a version has to be in
/// force.
const STATUS_TIMEOUT: Duration = Duration::from_millis(800);
/// Time for which the store may be unreachable from a node before the node is not eligible.
const STORE_GRACE: Duration = Duration::from_millis(500);
/// Interval at which the watcher pings all its neighbours and removes lost ones.
pub(super) const SWEEP_PERIOD: Duration = Duration::from_secs(2);
/// Time for which a neighbour has to be unreachable before its entry is deleted; well above the
/// time of a restart. A node that was only unreachable announces itself again.
pub(super) const LOST_AFTER: Duration = Duration::from_secs(30);
/// Number of higher-ranked nodes that a node pings at most.
const MAX_MONITORED: usize = 4;

/// Last known state of one neighbour.
#[derive(Clone, Copy, Debug)]
struct Health {
    incarnation: u64,
    /// Arrival of its last status.
    last_seen: Instant,
    /// Since when it has reported the store as unreachable, if so.
    store_lost_since: Option<Instant>,
}

/// Health of the nodes of the data centre, by node name. That of this node itself is not used.
#[derive(Debug, Default)]
pub(super) struct Neighbours {
    health: HashMap<String, Health>,
}

impl Neighbours {
    /// Records that a status arrived from a neighbour, and whether the neighbour reaches the store.
    pub(super) fn record_status(&mut self, node: &str, store_reachable: bool) {
        let Some(health) = self.health.get_mut(node) else {
            return;
        };
        health.last_seen = Instant::now();
        health.store_lost_since = match (store_reachable, health.store_lost_since) {
            (true, _) => None,
            (false, Some(since)) => Some(since),
            (false, None) => Some(Instant::now()),
        };
    }

    /// Adds a neighbour, or resets its health if its process has restarted.
    pub(super) fn track(&mut self, node: &str, incarnation: u64) {
        let initial = Health {
            incarnation,
            last_seen: Instant::now(),
            store_lost_since: None,
        };
        let health = self.health.entry(node.to_owned()).or_insert(initial);
        if health.incarnation != incarnation {
            *health = initial;
        }
    }

    /// Removes all neighbours that are not in `nodes`.
    pub(super) fn retain(&mut self, nodes: &[String]) {
        self.health.retain(|node, _| nodes.contains(node));
    }

    /// Whether the neighbour can be the watcher, by its last known state.
    fn is_eligible(&self, node: &str) -> bool {
        self.health.get(node).is_some_and(|health| {
            health.last_seen.elapsed() < STATUS_TIMEOUT
                && health
                    .store_lost_since
                    .is_none_or(|since| since.elapsed() < STORE_GRACE)
        })
    }

    /// The first node of `ranked` that has answered of late, whether or not it reaches the store.
    pub(super) fn first_alive<'a>(&self, own_node: &str, ranked: &'a [String]) -> Option<&'a str> {
        let is_alive = |node: &&String| {
            let health = self.health.get(*node);
            *node == own_node
                || health.is_some_and(|health| health.last_seen.elapsed() < STATUS_TIMEOUT)
        };
        ranked.iter().find(is_alive).map(String::as_str)
    }

    /// The watcher: the first eligible node of `ranked`. This node (`own_node`) is always eligible.
    pub(super) fn watcher<'a>(&self, own_node: &str, ranked: &'a [String]) -> Option<&'a str> {
        let eligible = |node: &&String| *node == own_node || self.is_eligible(node);
        ranked.iter().find(eligible).map(String::as_str)
    }
}

/// Sorts the nodes of a data centre into the order in which they become its watcher. Sorting by
/// hash spreads the watchers' work over the nodes regardless of their names.
pub(super) fn rank(mut nodes: Vec<String>) -> Vec<String> {
    nodes.sort_by_cached_key(|node| (xxh3_64(node.as_bytes()), node.clone()));
    nodes
}

/// The nodes that a node pings: the first ones in rank, as far as they rank above it.
pub(super) fn monitored<'a>(own_node: &str, ranked: &'a [String]) -> &'a [String] {
    let rank = ranked.iter().position(|node| node == own_node).unwrap_or(0);
    &ranked[..rank.min(MAX_MONITORED)]
}

#[cfg(test)]
mod tests;
