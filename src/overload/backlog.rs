//! Work that is ahead of a request at a target, and the order of targets by it.
//!
//! Answers requests of very different run times, for which the number of requests at a target says
//! little about the wait there, and many nodes that see the same report and would all choose the
//! same target.

use std::time::{Duration, Instant};

use rand::{Rng, RngExt};

/// Share of the run time, expected or elapsed, whichever is longer, that is assumed to be left at
/// least. A run that exceeds its expected time is probably one of the long ones.
const MIN_SHARE_LEFT: f64 = 0.2;
/// Run times after which a queued request is due.
const DUE_RUNS: f64 = 3.0;
/// Share of the cost of the best target by which others may cost more and still be drawn, with a
/// report of any age.
const MIN_UNCERTAINTY: f64 = 0.1;

/// Run time that is left of a request that was expected to take `expected`.
pub(crate) fn remaining(expected: Duration, elapsed: Duration) -> Duration {
    let least = expected.max(elapsed).mul_f64(MIN_SHARE_LEFT);
    expected.saturating_sub(elapsed).max(least)
}

/// Longest wait of a request at a target while others remain to be tried: not longer than its own
/// run, because a short request would otherwise wait behind long ones. At the last target it waits
/// as long as it may.
pub(crate) fn longest_wait(allowed: Duration, run: Duration, last: bool) -> Duration {
    if last { allowed } else { allowed.min(run) }
}

/// Time by which a request is ordered in a queue: the end of its objective, or a few of its own run
/// times from now, whichever is earlier. Short requests go before long ones that arrived just before
/// them, but not before those that have waited for a while.
pub(crate) fn due(now: Instant, objective_end: Instant, run: Duration) -> Instant {
    objective_end.min(now + run.mul_f64(DUE_RUNS))
}

/// Requests at a target: those that its node reported, and those of this node that the report
/// cannot contain.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Backlog {
    /// Slots of the target.
    pub slots: u32,
    /// Reported requests, running or waiting, less those that have probably ended since.
    pub reported: f64,
    /// Run time that is left of each reported request on average, in seconds.
    pub reported_left: f64,
    /// Requests that this node sent there since the report.
    pub unreported: f64,
    /// Sum of their expected run times there, in seconds.
    pub unreported_work: f64,
    /// All requests that this node has in flight there, reported or not.
    pub own: f64,
}

impl Backlog {
    /// Number of requests.
    pub(crate) fn count(&self) -> f64 {
        self.own.max(self.reported + self.unreported)
    }

    /// Expected wait for a slot in seconds: as many requests must end as there are too many, and
    /// `slots` of them run at a time. `nested` requests wait for the next free slot only.
    pub(crate) fn wait(&self, nested: bool) -> f64 {
        let slots = f64::from(self.slots.max(1));
        let known = self.reported + self.unreported;
        let too_many = (self.count() + 1.0 - slots).max(0.0);
        if too_many <= 0.0 || known <= 0.0 {
            return 0.0;
        }
        let work = self.reported * self.reported_left + self.unreported_work;
        let turns = if nested { too_many.min(1.0) } else { too_many };
        work / known * turns / slots
    }
}

/// Moves one of the best candidates to the front. Two of those whose costs differ from the best one
/// by less than the reports are exact are drawn at random, and the better of them is taken: nodes
/// that see the same reports would otherwise all choose the same target. `uncertainty` grows from 0
/// to 1 with the age of the reports. The candidates are in order of their cost.
pub(crate) fn draw<T>(
    candidates: &mut [(Duration, T)],
    run: Duration,
    uncertainty: f64,
    rng: &mut impl Rng,
) {
    let Some((best, _)) = candidates.first() else {
        return;
    };
    let limit = *best + best.mul_f64(MIN_UNCERTAINTY) + run.mul_f64(uncertainty);
    let close = candidates.iter().take_while(|(cost, _)| *cost <= limit);
    let close = close.count();
    let chosen = rng.random_range(0..close).min(rng.random_range(0..close));
    candidates[..=chosen].rotate_right(1);
}
