//! Number of events in a sliding window, in slots of equal length.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Length of a slot. An event counts for up to one slot longer than the window.
const SLOT: Duration = Duration::from_millis(100);

/// Events in a sliding window.
#[derive(Debug)]
pub(super) struct Window {
    length: Duration,
    /// Start and number of events of each slot with any, oldest first.
    slots: VecDeque<(Instant, u32)>,
    sum: u32,
}

impl Window {
    pub(super) fn new(length: Duration) -> Self {
        Self {
            length,
            slots: VecDeque::new(),
            sum: 0,
        }
    }

    /// Counts an event.
    pub(super) fn add(&mut self, now: Instant) {
        self.sum += 1;
        match self.slots.back_mut() {
            Some((start, count)) if now.saturating_duration_since(*start) < SLOT => *count += 1,
            _ => self.slots.push_back((now, 1)),
        }
    }

    /// Takes back an event counted at `at`, unless it has left the window.
    pub(super) fn remove(&mut self, at: Instant) {
        let slot = self.slots.iter_mut().rev().find(|(start, _)| *start <= at);
        if let Some((_, count)) = slot
            && *count > 0
        {
            *count -= 1;
            self.sum -= 1;
        }
    }

    /// Drops what has left the window, and returns the number of events in it.
    pub(super) fn count(&mut self, now: Instant) -> u32 {
        let length = self.length + SLOT;
        while let Some((start, count)) = self.slots.front()
            && now.saturating_duration_since(*start) > length
        {
            self.sum -= count;
            self.slots.pop_front();
        }
        self.sum
    }

    /// Number of events that leave the window within `span`.
    pub(super) fn expiring(&self, now: Instant, span: Duration) -> u32 {
        let length = self.length + SLOT;
        let leaves = |start: &Instant| now.saturating_duration_since(*start) + span > length;
        let slots = self.slots.iter().take_while(|(start, _)| leaves(start));
        slots.map(|(_, count)| count).sum()
    }
}
