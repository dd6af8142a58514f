//! Slots of one target and the queue for them: which request runs next, and which is refused because
//! it cannot run in time.
//!
//! Answers a crest, when more requests arrive than the slots can serve. Requests of a lower rank go
//! first, and within a rank those that can still meet their latency objective: the slots would
//! otherwise be spent on requests that all miss theirs by a little. The others get the slots that
//! are left. How many are left is measured by the share of recent starts, so that a request behind a
//! lasting crest is refused on arrival instead of at its deadline.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Most requests in the queue. Bounds the memory only; each request has its own longest wait.
const MAX_QUEUED: usize = 512;
/// A request that can no longer meet its objective is refused unless what is left of its longest
/// wait is at least this many times the expected wait, because the estimate is uncertain once
/// others overtake it. It waits no longer than that.
const LATE_WAIT_FACTOR: f64 = 2.0;
/// Run time that is reserved before the end of an objective, in average run times.
const RUN_MARGIN: f64 = 1.5;
/// Longest wait of a queued request, relative to the longest expected wait with which it is queued.
const QUEUED_WAIT_FACTOR: u32 = 2;
/// Weight of the newest start in the shares of starts; about 30 starts are remembered.
const START_WEIGHT: f64 = 0.03;
/// Share of starts below which a kind of request is forgotten.
const MIN_START_SHARE: f64 = 0.001;
/// Smallest share of starts that is assumed to be left for a request.
const MIN_SHARE_LEFT: f64 = 0.02;

/// Rank at a target of a request on a route of rank `rank`. A call that a target makes while it runs
/// another request goes before all that have not started: the other request holds its slot meanwhile,
/// and is lost with the call.
pub(crate) fn effective_rank(rank: u32, nested: bool) -> u32 {
    if nested { 0 } else { rank.saturating_add(1) }
}

/// Latest start at which a request is expected to meet its objective, if its run takes `run` on
/// average. The margin covers runs that take longer: a slot that goes to the request with the nearest
/// objective is otherwise spent on one that misses it by a little, and so is the next slot.
pub(crate) fn latest_start(objective_end: Instant, run: Duration) -> Instant {
    let latest = objective_end.checked_sub(run.mul_f64(RUN_MARGIN));
    latest.unwrap_or(objective_end)
}

/// What the admission of a request depends on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Demand {
    /// Rank; 0 goes first.
    pub rank: u32,
    /// End of the latency objective.
    pub objective_end: Instant,
    /// Latest start at which the request is expected to meet its objective.
    pub latest_start: Instant,
    /// The request is refused on arrival if it is not expected to start by then.
    pub wait_end: Instant,
    /// End of the wait of a request that was not refused on arrival; at least `wait_end`. Leaving
    /// the head of a queue because the estimate was a little short costs a new wait elsewhere.
    pub leave_at: Instant,
}

impl Demand {
    /// Extends the wait of a request that may wait for `max_wait`, but not beyond `limit`.
    pub(crate) fn leave_at(now: Instant, max_wait: Duration, limit: Duration) -> Instant {
        now + (max_wait * QUEUED_WAIT_FACTOR).min(limit).max(max_wait)
    }
}

/// Order in the queue: rank, end of the latency objective, number of the arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct Ticket {
    rank: u32,
    objective_end: Instant,
    arrival: u64,
}

/// Decision about a request that arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Admission {
    /// It has a slot and runs now.
    Run,
    /// It waits; [`Queue::start_next`] returns its ticket once it has a slot.
    Wait(Ticket),
    /// It is refused because this expected wait is longer than it may wait.
    Refuse(Duration),
}

/// Requests with the same precedence: of one rank, on time or late.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Precedence {
    rank: u32,
    late: bool,
}

/// The slots of one target and the requests that wait for them.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    slots: u32,
    running: u32,
    arrivals: u64,
    waiting: BTreeMap<Ticket, Demand>,
    /// Shares of the recent starts that went to waiting requests. The rest of 1 went to requests
    /// that found a free slot.
    start_shares: BTreeMap<Precedence, f64>,
}

impl Queue {
    /// Sets the number of slots.
    pub(crate) fn set_slots(&mut self, slots: u32) {
        self.slots = slots;
    }

    /// Number of slots.
    pub(crate) fn slots(&self) -> u32 {
        self.slots
    }

    /// Number of running requests.
    pub(crate) fn running(&self) -> u32 {
        self.running
    }

    /// Number of waiting requests.
    pub(crate) fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Decides about a request that arrives at `now`. `average_run` is the time for which requests
    /// hold a slot.
    pub(crate) fn arrive(
        &mut self,
        now: Instant,
        demand: Demand,
        average_run: Duration,
    ) -> Admission {
        if self.running < self.slots {
            self.running += 1;
            self.record_start(None);
            return Admission::Run;
        }
        self.arrivals += 1;
        let ticket = Ticket {
            rank: demand.rank,
            objective_end: demand.objective_end,
            arrival: self.arrivals,
        };
        let expected_wait = self.expected_wait(now, &ticket, demand.latest_start, average_run);
        if now + expected_wait > demand.wait_end || self.waiting.len() >= MAX_QUEUED {
            return Admission::Refuse(expected_wait);
        }
        self.waiting.insert(ticket, demand);
        Admission::Wait(ticket)
    }

    /// Decides whether a waiting request that can no longer meet its objective goes on waiting, and
    /// until when; otherwise returns the expected wait for which it is refused.
    pub(crate) fn keep_late(
        &self,
        now: Instant,
        ticket: &Ticket,
        wait_end: Instant,
        average_run: Duration,
    ) -> Result<Instant, Duration> {
        let expected_wait = self.expected_wait(now, ticket, now, average_run);
        let until = now + expected_wait.mul_f64(LATE_WAIT_FACTOR);
        if until > wait_end {
            return Err(expected_wait);
        }
        Ok(until)
    }

    /// Frees the slot of a request that ran.
    pub(crate) fn finish(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Gives a free slot to the next waiting request: of the lowest rank, the first that can meet
    /// its objective, or else the first. Returns `None` if no slot is free or none waits.
    pub(crate) fn start_next(&mut self, now: Instant) -> Option<Ticket> {
        if self.running >= self.slots {
            return None;
        }
        let (first, _) = self.waiting.first_key_value()?;
        let rank = first.rank;
        let same_rank = self.waiting.iter().take_while(|(key, _)| key.rank == rank);
        let mut on_time = same_rank.filter(|(_, demand)| demand.latest_start >= now);
        let (next, late) = match on_time.next() {
            Some((ticket, _)) => (*ticket, false),
            None => (*first, true),
        };
        self.waiting.remove(&next);
        self.running += 1;
        self.record_start(Some(Precedence { rank, late }));
        Some(next)
    }

    /// Removes a waiting request, as when its caller has left.
    pub(crate) fn remove(&mut self, ticket: &Ticket) {
        self.waiting.remove(ticket);
    }

    /// Removes all waiting requests.
    pub(crate) fn clear(&mut self) {
        self.waiting.clear();
    }

    /// Expected wait of a request with this ticket. A request that cannot meet its objective, or
    /// would miss it by waiting for its turn, is overtaken by all of its rank that can.
    fn expected_wait(
        &self,
        now: Instant,
        ticket: &Ticket,
        latest_start: Instant,
        average_run: Duration,
    ) -> Duration {
        if latest_start > now {
            let wait = self.wait_with_precedence(now, ticket, false, average_run);
            if now + wait <= latest_start {
                return wait;
            }
        }
        self.wait_with_precedence(now, ticket, true, average_run)
    }

    /// Expected wait of a request that is on time, or late: the turns of all that are ahead of it,
    /// at the rate that is left beside the requests which will arrive later and overtake it.
    fn wait_with_precedence(
        &self,
        now: Instant,
        ticket: &Ticket,
        late: bool,
        average_run: Duration,
    ) -> Duration {
        let is_ahead = |(other, demand): &(&Ticket, &Demand)| {
            let other_late = demand.latest_start <= now;
            match other.rank.cmp(&ticket.rank) {
                Ordering::Less => true,
                Ordering::Greater => false,
                Ordering::Equal if late == other_late => *other < ticket,
                Ordering::Equal => late,
            }
        };
        let ahead = self.waiting.iter().filter(is_ahead).count();
        let turns = u32::try_from(ahead + 1).unwrap_or(u32::MAX);
        let own = Precedence {
            rank: ticket.rank,
            late,
        };
        let overtaking: f64 = self.start_shares.range(..own).map(|(_, share)| share).sum();
        let share_left = (1.0 - overtaking).max(MIN_SHARE_LEFT);
        (average_run * turns / self.slots.max(1)).div_f64(share_left)
    }

    /// Counts a start: of a waiting request with this precedence, or of one that found a free slot.
    fn record_start(&mut self, precedence: Option<Precedence>) {
        self.start_shares.retain(|_, share| {
            *share *= 1.0 - START_WEIGHT;
            *share > MIN_START_SHARE
        });
        if let Some(precedence) = precedence {
            *self.start_shares.entry(precedence).or_default() += START_WEIGHT;
        }
    }
}
