//! Decides when to compare entries with another node.

use std::time::{Duration, Instant};

/// Time for which the entries of the node that reads the store may differ from this node's before they
/// are compared: updates may still be in transit.
const ROSTER_GRACE: Duration = Duration::from_millis(700);
/// Least time between two comparisons; doubled with each further one up to the longest pause while the
/// entries go on to differ, as they do while many nodes start.
const MIN_PAUSE: Duration = Duration::from_millis(700);
const MAX_PAUSE: Duration = Duration::from_secs(4);

/// Tracks for how long the entries of another node have differed from this node's.
#[derive(Default)]
pub(super) struct RosterLag {
    /// The node whose entries differ, and since when.
    differs: Option<(String, Instant)>,
    last_comparison: Option<Instant>,
    pause: Duration,
}

impl RosterLag {
    /// Records whether the entries of `node` differ from this node's. Returns whether to compare them now.
    /// Only statuses of a node that has to know all entries count: those of others say nothing about
    /// what this node lacks. `at_once` leaves out the grace time, if updates reach no node for certain.
    pub(super) fn record(&mut self, node: &str, differs: bool, at_once: bool) -> bool {
        if !differs {
            self.differs.take_if(|(differing, _)| differing == node);
            self.pause = MIN_PAUSE;
            return false;
        }
        let now = Instant::now();
        let known = self.differs.take_if(|(differing, _)| differing == node);
        let (_, since) = self
            .differs
            .insert(known.unwrap_or_else(|| (node.to_owned(), now)));
        let grace = if at_once {
            Duration::ZERO
        } else {
            ROSTER_GRACE
        };
        let pauses = self
            .last_comparison
            .is_some_and(|last| now.saturating_duration_since(last) < self.pause);
        if pauses || now.saturating_duration_since(*since) < grace {
            return false;
        }
        self.last_comparison = Some(now);
        self.pause = (self.pause * 2).clamp(MIN_PAUSE, MAX_PAUSE);
        true
    }
}

#[cfg(test)]
mod tests;
