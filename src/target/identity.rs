//! Which target stands beside the node, from its heartbeats.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::dialect::Heartbeat;

/// Targets that have left and whose late heartbeats are ignored, at most.
const MAX_DEPARTED: usize = 64;
/// Time for which they are ignored; far above the delay of any message, and short enough for a clock
/// that was set back.
const DEPARTED_TERM: Duration = Duration::from_mins(1);

/// What became of a heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
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
    departed: VecDeque<Departure>,
    /// Identity, start and heartbeat that an earlier process of the node went by.
    recalled: Option<(String, u64, u64)>,
}

/// A target that has said that it leaves for good.
#[derive(Debug)]
struct Departure {
    id: String,
    /// Latest start of the targets that are meant, in milliseconds since 1970. A target that starts
    /// later under the same identity is another one.
    started_until_ms: u64,
    heard: Instant,
}

impl Departure {
    fn means(&self, heartbeat: &Heartbeat) -> bool {
        self.id == heartbeat.id
            && heartbeat.started_ms <= self.started_until_ms
            && self.heard.elapsed() < DEPARTED_TERM
    }
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

    /// Goes by what an earlier process of the node knew: heartbeats up to `sequence` are old.
    pub(crate) fn recall(&mut self, id: &str, started_ms: u64, sequence: u64) {
        self.recalled = Some((id.to_owned(), started_ms, sequence));
    }

    fn is_recalled(&self, heartbeat: &Heartbeat) -> bool {
        self.recalled
            .as_ref()
            .is_some_and(|(id, started_ms, sequence)| {
                let earlier = heartbeat.started_ms < *started_ms;
                let same = heartbeat.id == *id && heartbeat.started_ms == *started_ms;
                earlier || same && heartbeat.sequence <= *sequence
            })
    }

    /// Takes a heartbeat unless it is older than what is known, as after a long delay.
    pub(crate) fn take(&mut self, heartbeat: Heartbeat) -> Outcome {
        let left = self.departed.iter().any(|left| left.means(&heartbeat));
        if left || self.is_recalled(&heartbeat) {
            return Outcome::Stale;
        }
        let newer = self.current.as_ref().is_none_or(|known| {
            (heartbeat.started_ms, heartbeat.sequence) > (known.started_ms, known.sequence)
        });
        if !newer {
            return Outcome::Stale;
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
            Outcome::Unchanged
        } else {
            Outcome::Changed
        }
    }

    /// Notes that a target leaves for good; returns whether it is the one beside the node. A node
    /// that has just started may not know the target yet: without a start, every target under that
    /// identity that started before `now_ms` is meant.
    pub(crate) fn leave(&mut self, id: &str, started_ms: Option<u64>, now_ms: u64) -> bool {
        let current = self.current.as_ref().filter(|known| {
            known.id == id && started_ms.is_none_or(|started| started == known.started_ms)
        });
        let left = current.is_some();
        let started_until_ms = current.map(|known| known.started_ms).or(started_ms);
        if self.departed.len() == MAX_DEPARTED {
            self.departed.pop_front();
        }
        self.departed.push_back(Departure {
            id: id.to_owned(),
            started_until_ms: started_until_ms.unwrap_or(now_ms),
            heard: Instant::now(),
        });
        if left {
            self.current = None;
        }
        left
    }
}
