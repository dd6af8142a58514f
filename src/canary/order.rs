//! An operator's order, and the record of its progress.

use std::time::Duration;

use crate::canary::Stage;

/// Order to shift a service's traffic to the targets of one software version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Order {
    /// Service whose traffic shifts.
    pub service: String,
    /// Software version that the traffic shifts to.
    pub target: String,
    /// Time from the order to its deadline.
    pub duration: Duration,
}

/// Progress of an order, as stored for operators and for later drivers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Record {
    /// Identifies the order among those of its service: the time in milliseconds since 1970 at which
    /// it was first seen, increased where necessary to exceed the earlier ones.
    pub order: u64,
    /// Revision of the order's row.
    pub row: u64,
    /// Software version that the traffic shifts to.
    pub target: String,
    /// Time from the order to its deadline.
    pub duration: Duration,
    /// Stage that the order has reached.
    pub stage: Stage,
}

impl Record {
    /// Whether this is the record of `order`, which was read from the row with revision `row`.
    /// Operators may repeat a write, so the same content before the deadline is the same order.
    pub(crate) fn belongs_to(&self, order: &Order, row: u64, now_ms: u64) -> bool {
        let same = self.target == order.target && self.duration == order.duration;
        let is_due = now_ms < self.order.saturating_add(millis(self.duration));
        same && (self.row == row || is_due)
    }
}

/// Whole milliseconds of a duration.
pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
