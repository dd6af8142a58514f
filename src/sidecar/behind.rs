//! When to ask another node for its version.

use std::time::{Duration, Instant};

/// Time for the store's feed to bring a version that a node of another data centre already has,
/// before that node is asked for it: about twice what the feed usually takes.
pub(super) const FEED_GRACE: Duration = Duration::from_millis(700);
/// Time for the watcher to pass a version on that a neighbour already has, before that neighbour is
/// asked for it.
pub(super) const WATCHER_GRACE: Duration = Duration::from_millis(150);
/// Pause between questions for a version, so that not every message of a newer peer asks.
const ASK_PAUSE: Duration = Duration::from_millis(300);

/// Versions that other nodes have and this one lacks.
#[derive(Default)]
pub(super) struct Behind {
    /// Highest version that any node was heard to have.
    highest: u64,
    /// Since when this node lacks one.
    since: Option<Instant>,
    asked: Option<Instant>,
}

impl Behind {
    /// Highest version that any node was heard to have.
    pub(super) fn highest(&self) -> u64 {
        self.highest
    }

    /// Takes the version of another node; returns whether to ask that node for it, which is once
    /// the version has been lacking for `grace`.
    pub(super) fn hear(&mut self, version: u64, own: u64, grace: Duration) -> bool {
        self.highest = self.highest.max(version);
        if own >= self.highest {
            self.since = None;
        }
        if version <= own {
            return false;
        }
        let since = *self.since.get_or_insert_with(Instant::now);
        let lately = self.asked.is_some_and(|at| at.elapsed() < ASK_PAUSE);
        if lately || since.elapsed() < grace {
            return false;
        }
        self.asked = Some(Instant::now());
        true
    }
}

#[cfg(test)]
mod tests;
