//! Decides when to fetch a newer version from another node.

use std::time::{Duration, Instant};

/// Time for the store's feed to deliver a version that a node of another data centre already has,
/// before it is fetched from that node: about twice what the feed usually takes.
pub(super) const FEED_GRACE: Duration = Duration::from_millis(700);
/// Time for the watcher to send a version that a neighbour already has, before it is fetched from
/// that neighbour.
pub(super) const WATCHER_GRACE: Duration = Duration::from_millis(150);
/// Least time between two fetches, so that not every message of a peer with a higher version
/// triggers one.
const FETCH_PAUSE: Duration = Duration::from_millis(300);

/// Number of a version, and the era in which it was read. Of two contents of one number, the one read
/// in the later era counts as higher.
pub(super) type Order = (u64, u64);

/// Tracks whether, and for how long, other nodes have a higher version than this one.
#[derive(Default)]
pub(super) struct VersionLag {
    /// Highest version that any node has reported.
    highest: Order,
    /// When this node first learned of a version higher than its own.
    lagging_since: Option<Instant>,
    last_fetch: Option<Instant>,
}

impl VersionLag {
    /// Highest version that any node has reported.
    pub(super) fn highest(&self) -> Order {
        self.highest
    }

    /// Records the version of another node; returns whether to fetch it from that node. That is the
    /// case once this node has lagged behind for `grace`.
    pub(super) fn record(&mut self, version: Order, own_version: Order, grace: Duration) -> bool {
        self.highest = self.highest.max(version);
        if own_version >= self.highest {
            self.lagging_since = None;
        }
        if version <= own_version {
            return false;
        }
        let lagging_since = *self.lagging_since.get_or_insert_with(Instant::now);
        let fetched_recently = self.last_fetch.is_some_and(|at| at.elapsed() < FETCH_PAUSE);
        if fetched_recently || lagging_since.elapsed() < grace {
            return false;
        }
        self.last_fetch = Some(Instant::now());
        true
    }
}

#[cfg(test)]
mod tests;
