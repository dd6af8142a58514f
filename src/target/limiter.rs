//! Limits the requests at the target to its number of slots, and queues the others by rank and
//! latency objective.
//!
//! Within a rank, requests that can still meet their objective go first: under overload the slots
//! would otherwise be spent on requests that all miss theirs by a little.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::oneshot;

use crate::verdict::{Reason, Refusal};

/// Most requests in the queue. Bounds the memory only; `max_wait` bounds the wait of each request.
const MAX_QUEUED: usize = 512;

/// A request that can no longer meet its objective is refused unless what is left of its `max_wait`
/// is at least this many times the expected wait, because requests that can still meet theirs
/// overtake it.
const LATE_WAIT_FACTOR: f64 = 2.0;

/// Order in the queue: rank, end of the latency objective, number of the arrival.
type QueueKey = (u32, Instant, u64);

/// A request that waits for a slot.
struct Waiter {
    service: String,
    /// Latest time at which the request can start and still meet its objective.
    latest_start: Instant,
    outcome_sender: oneshot::Sender<Result<Permit, Refusal>>,
}

#[derive(Default)]
struct State {
    slots: u32,
    running: u32,
    /// Number of requests so far that found no free slot.
    arrivals: u64,
    queue: BTreeMap<QueueKey, Waiter>,
    /// Why new requests are refused; `None` while they are accepted.
    refusal_reason: Option<Reason>,
}

/// Concurrency limiter of one target.
pub(super) struct Limiter {
    state: Mutex<State>,
}

/// Properties of a request that its admission depends on.
#[derive(Clone, Copy, Debug)]
pub(super) struct Requirements<'a> {
    /// Service that the request is for.
    pub service: &'a str,
    /// Rank; 0 goes first.
    pub rank: u32,
    /// End of the latency objective.
    pub objective_end: Instant,
    /// Longest wait for a slot.
    pub max_wait: Duration,
    /// Expected run time: the average latency of the route's requests at the caller's node.
    pub expected_run: Duration,
    /// Average time for which requests hold a slot of this target.
    pub average_run: Duration,
}

/// The right to use one slot, which is freed on drop.
pub(super) struct Permit {
    limiter: Arc<Limiter>,
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.limiter.release();
    }
}

impl Limiter {
    /// A limiter that refuses all requests until it is opened.
    pub(super) fn new() -> Arc<Self> {
        let state = State {
            refusal_reason: Some(Reason::NoTarget),
            ..State::default()
        };
        Arc::new(Self {
            state: Mutex::new(state),
        })
    }

    /// Accepts requests and runs up to `slots` at a time.
    pub(super) fn open(self: &Arc<Self>, slots: u32) {
        let mut state = self.lock();
        state.slots = slots;
        state.refusal_reason = None;
        drop(state);
        self.grant_slots();
    }

    /// Refuses the queued requests, and new ones until the limiter is opened again.
    pub(super) fn close(&self, reason: Reason) {
        let mut state = self.lock();
        state.refusal_reason = Some(reason);
        let queue = std::mem::take(&mut state.queue);
        drop(state);
        for (_, waiter) in queue {
            let _ = waiter.outcome_sender.send(Err(Refusal::not_run(reason)));
        }
    }

    /// Number of running requests, of queued requests and of slots.
    pub(super) fn load(&self) -> (u32, u32, u32) {
        let state = self.lock();
        let queued = u32::try_from(state.queue.len()).unwrap_or(u32::MAX);
        (state.running, queued, state.slots)
    }

    /// Waits for a slot, for at most `max_wait`. Refuses at once if the expected wait is longer.
    pub(super) async fn admit(
        self: &Arc<Self>,
        requirements: Requirements<'_>,
    ) -> Result<Permit, Refusal> {
        let (key, outcome) = {
            let mut state = self.lock();
            if let Some(reason) = state.refusal_reason {
                return Err(Refusal::not_run(reason));
            }
            if state.running < state.slots {
                state.running += 1;
                return Ok(Permit {
                    limiter: self.clone(),
                });
            }
            state.arrivals += 1;
            let key = (
                requirements.rank,
                requirements.objective_end,
                state.arrivals,
            );
            let latest_start = requirements
                .objective_end
                .checked_sub(requirements.expected_run);
            let latest_start = latest_start.unwrap_or(requirements.objective_end);
            let expected_wait = state.expected_wait(&key, latest_start, requirements.average_run);
            if expected_wait > requirements.max_wait || state.queue.len() >= MAX_QUEUED {
                return Err(overloaded(expected_wait));
            }
            let (sender, outcome) = oneshot::channel();
            let waiter = Waiter {
                service: requirements.service.to_owned(),
                latest_start,
                outcome_sender: sender,
            };
            state.queue.insert(key, waiter);
            (key, outcome)
        };
        let _queue_guard = QueueGuard { limiter: self, key };
        let mut outcome = outcome;
        let end = Instant::now() + requirements.max_wait;
        // Until then, a slot comes early enough to meet the objective.
        let on_time_until = requirements
            .objective_end
            .checked_sub(requirements.expected_run)
            .unwrap_or(end)
            .min(end);
        if let Ok(outcome) = tokio::time::timeout_at(on_time_until.into(), &mut outcome).await {
            return outcome.unwrap_or_else(|_| Err(overloaded(requirements.average_run)));
        }
        // From here on, every request of the rank that can still meet its objective goes before
        // this one.
        let expected_wait =
            self.lock()
                .expected_wait(&key, on_time_until, requirements.average_run);
        if expected_wait.mul_f64(LATE_WAIT_FACTOR) > end.saturating_duration_since(Instant::now()) {
            return Err(overloaded(expected_wait));
        }
        match tokio::time::timeout_at(end.into(), outcome).await {
            Ok(Ok(outcome)) => outcome,
            _ => Err(overloaded(requirements.average_run)),
        }
    }

    /// Frees a slot and gives it to the next request in the queue.
    fn release(self: &Arc<Self>) {
        self.lock().running -= 1;
        self.grant_slots();
    }

    /// Gives the free slots to queued requests.
    fn grant_slots(self: &Arc<Self>) {
        loop {
            let mut state = self.lock();
            if state.running >= state.slots {
                return;
            }
            let Some(waiter) = state.pop_next() else {
                return;
            };
            state.running += 1;
            drop(state);
            let permit = Permit {
                limiter: self.clone(),
            };
            // If the request was cancelled meanwhile, dropping its permit frees the slot again.
            let _ = waiter.outcome_sender.send(Ok(permit));
        }
    }

    /// Refuses the queued requests that are for another service than `service`.
    pub(super) fn retain_service(&self, service: &str) {
        let mut state = self.lock();
        let (kept, other) = std::mem::take(&mut state.queue)
            .into_iter()
            .partition(|(_, waiter)| waiter.service == service);
        state.queue = kept;
        drop(state);
        let other: BTreeMap<QueueKey, Waiter> = other;
        for (_, waiter) in other {
            let _ = waiter
                .outcome_sender
                .send(Err(Refusal::not_run(Reason::NoTarget)));
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Removes the next request from the queue: of the lowest rank, the first that can meet its
    /// objective, or else the first.
    fn pop_next(&mut self) -> Option<Waiter> {
        let now = Instant::now();
        let (first, _) = self.queue.first_key_value()?;
        let (rank, first) = (first.0, *first);
        let same_rank = self.queue.iter().take_while(|(key, _)| key.0 == rank);
        let mut on_time = same_rank.filter(|(_, waiter)| waiter.latest_start >= now);
        let next = on_time.next().map_or(first, |(key, _)| *key);
        self.queue.remove(&next)
    }

    /// Expected wait of a request with this key. Within a rank, requests that can still meet their
    /// objective overtake those that cannot.
    fn expected_wait(
        &self,
        key: &QueueKey,
        latest_start: Instant,
        average_run: Duration,
    ) -> Duration {
        let now = Instant::now();
        let can_meet_objective = latest_start > now;
        let is_ahead = |(other, waiter): &(&QueueKey, &Waiter)| {
            let other_can_meet_objective = waiter.latest_start > now;
            match other.0.cmp(&key.0) {
                Ordering::Less => true,
                Ordering::Greater => false,
                Ordering::Equal if can_meet_objective == other_can_meet_objective => *other < key,
                Ordering::Equal => other_can_meet_objective,
            }
        };
        let ahead = self.queue.iter().filter(is_ahead).count();
        let turns = u32::try_from(ahead + 1).unwrap_or(u32::MAX);
        average_run * turns / self.slots.max(1)
    }
}

fn overloaded(expected_wait: Duration) -> Refusal {
    Refusal {
        retry_after: Some(expected_wait),
        ..Refusal::not_run(Reason::Overloaded)
    }
}

/// Removes a request from the queue on drop, as when its future is cancelled.
struct QueueGuard<'a> {
    limiter: &'a Limiter,
    key: QueueKey,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        self.limiter.lock().queue.remove(&self.key);
    }
}
