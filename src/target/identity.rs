//! Identity and state of the target beside the node, from its heartbeats and departure notices.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::dialect::Heartbeat;

/// Most departures that are kept so that delayed heartbeats of those targets are ignored.
const MAX_DEPARTURES: usize = 64;
/// Time for which heartbeats of a departed target are ignored: far above the delay of any message,
/// and short enough that a target whose clock was set back is soon accepted again.
const DEPARTURE_TTL: Duration = Duration::from_mins(1);

/// Effect of a heartbeat on the known state of the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The heartbeat is newer, but the identity, service, slots and phase are the same.
    Unchanged,
    /// The identity, service, slots or phase of the target changed.
    Changed,
    /// The heartbeat is not newer than the known state, or belongs to a departed target; it was
    /// ignored.
    Stale,
}

/// Tracks which target is beside the node.
#[derive(Debug, Default)]
pub(crate) struct Identity {
    current: Option<Heartbeat>,
    /// Arrival of the last heartbeat that was not stale.
    received_at: Option<Instant>,
    departures: VecDeque<Departure>,
    /// Target that an earlier process of this node announced.
    restored: Option<RestoredTarget>,
}

/// Target that an earlier process of this node announced, with the sequence number of the heartbeat
/// that the announcement was based on.
#[derive(Debug)]
struct RestoredTarget {
    id: String,
    started_ms: u64,
    sequence: u64,
}

impl RestoredTarget {
    /// Whether the heartbeat is not newer than the announcement.
    fn covers(&self, heartbeat: &Heartbeat) -> bool {
        let started_earlier = heartbeat.started_ms < self.started_ms;
        started_earlier || self.is_same(heartbeat) && heartbeat.sequence <= self.sequence
    }

    /// Whether the announcement is newer than the heartbeat of the same target.
    fn replaces(&self, heartbeat: &Heartbeat) -> bool {
        self.is_same(heartbeat) && heartbeat.sequence < self.sequence
    }

    fn is_same(&self, heartbeat: &Heartbeat) -> bool {
        heartbeat.id == self.id && heartbeat.started_ms == self.started_ms
    }
}

/// A target's notice that it is leaving for good.
#[derive(Debug)]
struct Departure {
    id: String,
    /// Latest start of the targets that the notice covers, in milliseconds since 1970. A target
    /// that starts later under the same id is another one.
    started_until_ms: u64,
    received_at: Instant,
}

impl Departure {
    /// Whether the target with this id and start is the one that departed.
    fn covers(&self, id: &str, started_ms: u64) -> bool {
        self.id == id
            && started_ms <= self.started_until_ms
            && self.received_at.elapsed() < DEPARTURE_TTL
    }
}

impl Identity {
    /// Newest heartbeat of the target, `None` before the first and after the target departed.
    pub(crate) fn current(&self) -> Option<&Heartbeat> {
        self.current.as_ref()
    }

    /// Time since the last heartbeat that was not stale.
    pub(crate) fn heartbeat_age(&self) -> Option<Duration> {
        self.received_at.map(|at| at.elapsed())
    }

    /// Sets the target that an earlier process of the node announced. It does not become the current
    /// one, but its heartbeats up to `sequence`, and those of targets that started before it, count
    /// as stale. If the current target is this one, known from an earlier heartbeat, it is no longer
    /// current. Has no effect, and returns `false`, if another target is current or a newer
    /// announcement was restored.
    pub(crate) fn restore(&mut self, id: &str, started_ms: u64, sequence: u64) -> bool {
        let is_older =
            |known: &RestoredTarget| (started_ms, sequence) < (known.started_ms, known.sequence);
        if self.restored.as_ref().is_some_and(is_older) {
            return false;
        }
        let restored = RestoredTarget {
            id: id.to_owned(),
            started_ms,
            sequence,
        };
        if self
            .current
            .as_ref()
            .is_some_and(|current| !restored.is_same(current))
        {
            return false;
        }
        self.current.take_if(|current| restored.replaces(current));
        self.restored = Some(restored);
        true
    }

    /// Whether a departure of the target was recorded.
    pub(crate) fn has_departed(&self, id: &str, started_ms: u64) -> bool {
        let mut departures = self.departures.iter();
        departures.any(|departure| departure.covers(id, started_ms))
    }

    /// Applies a heartbeat, unless it is [`Outcome::Stale`], for example because it was delayed.
    pub(crate) fn apply(&mut self, heartbeat: Heartbeat) -> Outcome {
        let has_departed = self.has_departed(&heartbeat.id, heartbeat.started_ms);
        let restored = self.restored.as_ref();
        if has_departed || restored.is_some_and(|restored| restored.covers(&heartbeat)) {
            return Outcome::Stale;
        }
        let is_newer = self.current.as_ref().is_none_or(|current| {
            (heartbeat.started_ms, heartbeat.sequence) > (current.started_ms, current.sequence)
        });
        if !is_newer {
            return Outcome::Stale;
        }
        let is_unchanged = self.current.as_ref().is_some_and(|current| {
            current.id == heartbeat.id
                && current.started_ms == heartbeat.started_ms
                && current.service == heartbeat.service
                && current.slots == heartbeat.slots
                && current.phase == heartbeat.phase
        });
        self.received_at = Some(Instant::now());
        self.current = Some(heartbeat);
        if is_unchanged {
            Outcome::Unchanged
        } else {
            Outcome::Changed
        }
    }

    /// Records that a target leaves for good; returns whether it is the current one. A node that
    /// has just started may not know the target yet: if the notice gives no start either, it covers
    /// every target with that id that started up to `now_ms`.
    pub(crate) fn apply_departure(
        &mut self,
        id: &str,
        started_ms: Option<u64>,
        now_ms: u64,
    ) -> bool {
        let current = self.current.as_ref().filter(|current| {
            current.id == id && started_ms.is_none_or(|started| started == current.started_ms)
        });
        let is_current = current.is_some();
        let started_until_ms = current.map(|current| current.started_ms).or(started_ms);
        if self.departures.len() == MAX_DEPARTURES {
            self.departures.pop_front();
        }
        self.departures.push_back(Departure {
            id: id.to_owned(),
            started_until_ms: started_until_ms.unwrap_or(now_ms),
            received_at: Instant::now(),
        });
        if is_current {
            self.current = None;
        }
        is_current
    }
}
