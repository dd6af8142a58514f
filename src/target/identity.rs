//! Which target stands beside the node, from its heartbeats.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::dialect::Heartbeat;

/// Targets that have left and whose late heartbeats are ignored, at most.
const MAX_DEPARTED: usize = 64;

/// What became of a heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Taken {
    /// It says nothing new.
    Unchanged,
    /// It changed what the node knows of its target.
    Changed,
    /// It is older than what the node knows.
    Stale,
}

/// The target beside the node, as far as its heartbeats tell.
#[derive(Debug, Default)]
pub(crate) struct Identity {
    current: Option<Heartbeat>,
    heard: Option<Instant>,
    /// Identities and starts of targets that have said that they leave for good.
    departed: VecDeque<(String, u64)>,
}

impl Identity {
    /// The newest heartbeat of the target that is beside the node.
    pub(crate) fn current(&self) -> Option<&Heartbeat> {
        self.current.as_ref()
    }

    /// Time since the last heartbeat that was not stale.
    pub(crate) fn age(&self) -> Option<Duration> {
        self.heard.map(|heard| heard.elapsed())
    }

    /// Takes a heartbeat unless it is older than what is known, as after a long delay.
    pub(crate) fn take(&mut self, heartbeat: Heartbeat) -> Taken {
        let name = (heartbeat.id.clone(), heartbeat.started_ms);
        if self.departed.contains(&name) {
            return Taken::Stale;
        }
        let newer = self.current.as_ref().is_none_or(|known| {
            (heartbeat.started_ms, heartbeat.sequence) > (known.started_ms, known.sequence)
        });
        if !newer {
            return Taken::Stale;
        }
        let same = self.current.as_ref().is_some_and(|known| {
            known.id == heartbeat.id
                && known.started_ms == heartbeat.started_ms
                && known.service == heartbeat.service
                && known.slots == heartbeat.slots
                && known.phase == heartbeat.phase
        });
        self.heard = Some(Instant::now());
        self.current = Some(heartbeat);
        if same {
            Taken::Unchanged
        } else {
            Taken::Changed
        }
    }

    /// Notes that a target leaves for good; returns whether it is the one beside the node.
    pub(crate) fn leave(&mut self, id: &str, started_ms: Option<u64>) -> bool {
        let current = self.current.as_ref().filter(|known| {
            known.id == id && started_ms.is_none_or(|started| started == known.started_ms)
        });
        let Some(started) = current.map(|known| known.started_ms).or(started_ms) else {
            return false;
        };
        let left = current.is_some();
        if self.departed.len() == MAX_DEPARTED {
            self.departed.pop_front();
        }
        self.departed.push_back((id.to_owned(), started));
        if left {
            self.current = None;
        }
        left
    }
}
