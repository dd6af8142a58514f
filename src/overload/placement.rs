//! To which target a request is offered, and how long it may wait there.
//!
//! Answers a crest in which the near targets are full: a far one is worth a try only while it is not
//! known to be full too. Each futile offer costs a round trip, which a call with a short deadline
//! cannot afford, and all nodes that know nothing of a far target would choose it at the same time.

use std::time::Duration;

/// Share of the latency objective for which a request may wait for a slot at a target while other
/// targets remain to be tried.
const QUEUE_WAIT_SHARE: f64 = 0.125;
/// The same for a request with a large body at the first target.
const LARGE_WAIT_SHARE: f64 = 0.5;
/// Overload refusals after which a request waits for a slot at the best target that is left,
/// instead of trying more.
const MAX_OVERLOAD_REFUSALS: usize = 2;
/// Time for which a data centre of another region that refused a request for overload counts as
/// full. A few requests run meanwhile.
const REMOTE_FULL_TTL: Duration = Duration::from_secs(1);

/// Time that must be left of the objective after the trip to another region, in expected latencies.
/// Below 1, because a request may well be faster than the average.
const MIN_TIME_LEFT_LATENCIES: f64 = 0.5;

/// A target that a request could be offered to. Candidates are in order of their cost.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidate {
    /// Whether the target reported just now that all its slots are taken.
    pub full: bool,
    /// Round trip time to the target's node.
    pub round_trip: Duration,
    /// Whether the target is in another region.
    pub remote: bool,
    /// Time since a target of the same service and data centre last refused a request of this node
    /// for overload; matters only for targets of other regions.
    pub overloaded_for: Option<Duration>,
}

/// State of a request that is to be placed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Demand {
    /// Latency objective of the route.
    pub objective: Duration,
    /// Time left until the objective is missed.
    pub objective_left: Duration,
    /// Time left until the deadline.
    pub time_left: Duration,
    /// Expected latency of the request.
    pub expected_latency: Duration,
    /// Whether a target makes the request while it runs another one.
    pub nested: bool,
    /// Whether the body is so large that the transfer to a farther target costs more than a wait.
    pub large: bool,
    /// Overload refusals so far.
    pub overload_refusals: usize,
}

/// Where a request is offered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Choice {
    /// Index of the candidate.
    pub index: usize,
    /// Longest wait for a slot.
    pub max_wait: Duration,
    /// Whether a refusal for overload is final.
    pub last: bool,
}

/// Chooses one of the candidates; `None` if there is none. Looks at no more of them than it needs.
pub(crate) fn choose(
    mut candidates: impl ExactSizeIterator<Item = Candidate>,
    demand: &Demand,
) -> Option<Choice> {
    let count = candidates.len();
    if count == 0 {
        return None;
    }
    let latest_start = demand.time_left.saturating_sub(demand.expected_latency);
    if demand.nested {
        // It goes before the requests in the queue, so a target that is full is soon free for it.
        let last = demand.overload_refusals >= MAX_OVERLOAD_REFUSALS || count == 1;
        return Some(Choice {
            index: 0,
            max_wait: if last {
                latest_start
            } else {
                latest_start.min(demand.objective)
            },
            last,
        });
    }
    if demand.large && demand.overload_refusals == 0 {
        // The first candidate is the best with the cost of the transfer, even if it is full.
        return Some(Choice {
            index: 0,
            max_wait: latest_start.min(demand.objective.mul_f64(LARGE_WAIT_SHARE)),
            last: count == 1,
        });
    }
    let may_try_more = demand.overload_refusals < MAX_OVERLOAD_REFUSALS && count > 1;
    let open = candidates.position(|candidate| is_worth_a_try(&candidate, demand));
    match open {
        Some(index) if may_try_more => Some(Choice {
            index,
            max_wait: demand.objective.mul_f64(QUEUE_WAIT_SHARE),
            last: false,
        }),
        // With no better target to try, the request queues as long as its deadline allows.
        _ => Some(Choice {
            index: 0,
            max_wait: latest_start,
            last: true,
        }),
    }
}

/// Whether a target would probably accept a request, and in time.
fn is_worth_a_try(candidate: &Candidate, demand: &Demand) -> bool {
    if candidate.full {
        return false;
    }
    if !candidate.remote {
        return true;
    }
    let known_full = candidate
        .overloaded_for
        .is_some_and(|elapsed| elapsed < REMOTE_FULL_TTL);
    let in_time = candidate.round_trip + demand.expected_latency.mul_f64(MIN_TIME_LEFT_LATENCIES);
    !known_full && in_time < demand.objective_left
}
