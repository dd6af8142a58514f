//! Decides on the next stage of an order.

use std::time::Duration;

use crate::canary::Stage;

/// Share of the trial, relative to the share of all requests that a bad version may receive. The
/// rest is for the time after the shift, in which an order has to be completed.
const TRIAL_SHARE: f64 = 0.4;
/// Least time of the trial, relative to the time until the deadline.
const MIN_TRIAL_TIME_SHARE: f64 = 0.5;
/// Share of the slack that is planned with. Retries, hedges and nodes that learn of a stage late
/// need the rest.
const PLANNED_SLACK_SHARE: f64 = 0.7;
/// Time from an operator's write until the nodes know the order. Until then they treat all versions
/// alike, and the deadline counts from the write.
pub(crate) const ORDER_DELAY: Duration = Duration::from_millis(400);
/// Time before the deadline from which an order is completed; a later one leaves less time for a
/// slow store, an earlier one less time to find a fault that shows only under all the load.
const COMPLETION_TIME: Duration = Duration::from_millis(1_500);
/// Time for which a version has to receive all requests before its order is completed: two intervals of
/// the reports, so that a fault which shows only then is at least suspected.
const OBSERVATION_TIME: Duration = Duration::from_millis(450);
/// Factor of the rollback time after which older answers have half the weight of new ones.
const HALF_LIFE_SHARE: f64 = 0.6;
/// Factor of the rollback time for which a fault has to last.
const CONFIRMATION_SHARE: f64 = 0.04;

/// Bounds on what a bad version may receive.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Limits {
    /// Share of the service's requests.
    pub share: f64,
    /// Number of requests in addition to the share.
    pub slack: f64,
    /// Time in which a bad version has to be rolled back.
    pub rollback: Duration,
}

impl Default for Limits {
    /// Limits by which a node judges that drives no orders itself.
    fn default() -> Self {
        Self {
            share: 0.1,
            slack: 50.0,
            rollback: Duration::from_secs(5),
        }
    }
}

impl Limits {
    /// Share of its requests that a node sends to the target version in the trial.
    pub(crate) fn trial_share(&self) -> f64 {
        self.share * TRIAL_SHARE
    }

    /// Time after which older answers have half the weight of new ones.
    pub(crate) fn half_life(&self) -> Duration {
        self.rollback.mul_f64(HALF_LIFE_SHARE)
    }

    /// Time for which a fault has to last.
    pub(crate) fn confirmation(&self) -> Duration {
        self.rollback.mul_f64(CONFIRMATION_SHARE)
    }
}

/// What is known of an order at one point in time.
#[derive(Clone, Copy, Debug)]
#[allow(clippy::struct_excessive_bools, reason = "independent facts")]
pub(crate) struct Facts {
    /// Time since the order was first seen.
    pub elapsed: Duration,
    /// Time from the order to its deadline.
    pub duration: Duration,
    /// Requests to the service since the order, over all nodes.
    pub requests: f64,
    /// Requests sent to the target version since the order, over all nodes.
    pub sent: f64,
    /// Requests to the service per second.
    pub per_s: f64,
    /// Whether a target of the version serves.
    pub target_serves: bool,
    /// Whether the version was found to be bad, or the order was deleted.
    pub withdrawn: bool,
    /// Time for which the version has received all requests.
    pub shifted_for: Duration,
    /// Whether the version may be bad, and later answers have to show whether it is.
    pub suspected: bool,
    /// Whether all nodes know of the shift and nothing is in flight at other versions.
    pub settled: bool,
}

/// The stage that follows `stage`, or `stage` itself.
pub(crate) fn next(stage: Stage, facts: &Facts, limits: &Limits) -> Stage {
    if stage.is_running() && facts.withdrawn {
        return Stage::Withdrawn;
    }
    let due = facts.duration.saturating_sub(ORDER_DELAY);
    match stage {
        Stage::Trial if facts.target_serves && may_shift(facts, due, limits) => Stage::Shift,
        Stage::Shift if may_complete(facts, due) => Stage::Done,
        Stage::Withdrawn => Stage::RolledBack,
        _ => stage,
    }
}

/// Whether no request can be lost with the old targets, and the version was seen under all the load.
fn may_complete(facts: &Facts, due: Duration) -> bool {
    let observed = facts.shifted_for >= OBSERVATION_TIME && !facts.suspected;
    observed && facts.settled && facts.elapsed + COMPLETION_TIME >= due
}

/// Whether the bound on what a bad version may receive holds even if the version receives all requests
/// from now to the deadline.
fn may_shift(facts: &Facts, due: Duration, limits: &Limits) -> bool {
    if facts.elapsed < due.mul_f64(MIN_TRIAL_TIME_SHARE) {
        return false;
    }
    let left = due.saturating_sub(facts.elapsed).as_secs_f64();
    let coming = facts.per_s * left;
    let allowed = limits.share * (facts.requests + coming) + limits.slack * PLANNED_SLACK_SHARE;
    facts.sent + coming <= allowed
}

/// Rate of requests, from their number at different times.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Pace {
    last: Option<(Duration, f64)>,
    per_s: f64,
}

impl Pace {
    /// Time over which the rate is measured.
    const WINDOW: Duration = Duration::from_secs(1);

    /// Takes the number of requests at `elapsed`, and returns the higher of the rate in the last
    /// window and the mean rate.
    pub(crate) fn update(&mut self, elapsed: Duration, requests: f64) -> f64 {
        let (since, before) = *self.last.get_or_insert((elapsed, requests));
        let passed = elapsed.saturating_sub(since);
        if passed >= Self::WINDOW {
            self.per_s = (requests - before).max(0.0) / passed.as_secs_f64();
            self.last = Some((elapsed, requests));
        }
        self.per_s
            .max(requests / elapsed.as_secs_f64().max(Self::WINDOW.as_secs_f64()))
    }
}
