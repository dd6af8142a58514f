//! Limits how often a kind of event is logged.

use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Shortest time between two log lines of one kind.
const PERIOD: Duration = Duration::from_secs(1);

/// When a kind of event was logged last.
pub(super) struct Pace(Mutex<Option<Instant>>);

impl Pace {
    pub(super) const fn new() -> Self {
        Self(Mutex::new(None))
    }

    /// Whether an event at `now` is logged.
    pub(super) fn is_due(&self, now: Instant) -> bool {
        let mut last = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let is_due = last.is_none_or(|last| now.saturating_duration_since(last) >= PERIOD);
        if is_due {
            *last = Some(now);
        }
        is_due
    }
}
