//! Which node of a data centre reads the platform's store for the others.
//!
//! The source's capacity does not grow with the fleet, so one node of each data centre, the
//! watcher, follows the store and notifies its neighbours. There is no lease: all nodes rank the
//! members of their data centre in the same order, and the first that is alive and hears the store
//! is the watcher. Two watchers at a time do no harm, and no watcher lasts only until the next in
//! rank has missed a few signs of life.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64;

/// How often a node asks those that rank above it for a sign of life.
pub(super) const PING_PERIOD: Duration = Duration::from_millis(300);
/// Age of the last sign of life after which a node is passed over: two missed ones. With the time
/// to read a version it stays well below the time in which a version has to be in force.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(800);
/// Time for a node to begin to hear the store before it is passed over.
const STORE_GRACE: Duration = Duration::from_millis(500);
/// How often the watcher asks all its neighbours for a sign of life.
pub(super) const SWEEP_PERIOD: Duration = Duration::from_secs(2);
/// Time for which a neighbour could not be reached after which its entry is deleted; well above a
/// restart, and a node that was only cut off announces itself again.
pub(super) const LOST_AFTER: Duration = Duration::from_secs(30);
/// Nodes that a node watches above it in rank.
const WATCHED: usize = 4;

/// What is known of one neighbour.
#[derive(Clone, Copy, Debug)]
struct Health {
    incarnation: u64,
    heard: Instant,
    /// Since when it does not hear the store, if so.
    unreachable_since: Option<Instant>,
}

/// Signs of life of the neighbours.
#[derive(Debug, Default)]
pub(super) struct Neighbours {
    health: HashMap<String, Health>,
}

impl Neighbours {
    /// Notes a sign of life, and whether the neighbour hears the store.
    pub(super) fn heard(&mut self, node: &str, store_reachable: bool) {
        let Some(health) = self.health.get_mut(node) else {
            return;
        };
        health.heard = Instant::now();
        health.unreachable_since = match (store_reachable, health.unreachable_since) {
            (true, _) => None,
            (false, Some(since)) => Some(since),
            (false, None) => Some(Instant::now()),
        };
    }

    /// Notes a neighbour's incarnation; a new process starts with a clean record.
    pub(super) fn note(&mut self, node: &str, incarnation: u64) {
        let fresh = Health {
            incarnation,
            heard: Instant::now(),
            unreachable_since: None,
        };
        let health = self.health.entry(node.to_owned()).or_insert(fresh);
        if health.incarnation != incarnation {
            *health = fresh;
        }
    }

    /// Forgets all neighbours that are not in `nodes`.
    pub(super) fn retain(&mut self, nodes: &[String]) {
        self.health.retain(|node, _| nodes.contains(node));
    }

    /// Whether the neighbour can be the watcher, as far as known.
    fn is_fit(&self, node: &str) -> bool {
        self.health.get(node).is_some_and(|health| {
            health.heard.elapsed() < HEARTBEAT_TIMEOUT
                && health
                    .unreachable_since
                    .is_none_or(|since| since.elapsed() < STORE_GRACE)
        })
    }

    /// The watcher among `ranked`, which holds this node too.
    pub(super) fn watcher<'a>(&self, own: &str, ranked: &'a [String]) -> Option<&'a str> {
        let fit = |node: &&String| *node == own || self.is_fit(node);
        ranked.iter().find(fit).map(String::as_str)
    }
}

/// The nodes of a data centre in the order in which they become its watcher. The order spreads the
/// watchers' work over the data centres' nodes by chance.
pub(super) fn rank(mut nodes: Vec<String>) -> Vec<String> {
    nodes.sort_by_cached_key(|node| (xxh3_64(node.as_bytes()), node.clone()));
    nodes
}

/// Nodes that a node asks for signs of life: those next above it in rank and the first ones.
pub(super) fn watched<'a>(own: &str, ranked: &'a [String]) -> &'a [String] {
    let rank = ranked.iter().position(|node| node == own).unwrap_or(0);
    &ranked[..rank.min(WATCHED)]
}

#[cfg(test)]
mod tests;
