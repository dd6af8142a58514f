//! Limits the requests at the target to its number of slots, and queues the others.
//!
//! [`Queue`] decides; the limiter waits, and tells the waiting requests.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::oneshot;

use crate::overload::queue::{Admission, Demand, Queue, Ticket, latest_start};
use crate::verdict::{Reason, Refusal};

/// A request that waits for a slot.
struct Waiter {
    service: String,
    expected_run: Duration,
    outcome_sender: oneshot::Sender<Result<Permit, Refusal>>,
}

#[derive(Default)]
struct State {
    queue: Queue,
    /// The waiting requests, by their tickets in the queue.
    waiters: HashMap<Ticket, Waiter>,
    /// Why new requests are refused; `None` while they are accepted.
    refusal_reason: Option<Reason>,
}

/// Concurrency limiter of one target.
pub(super) struct Limiter {
    state: Mutex<State>,
}

/// Numbers of requests at a target, and of its slots.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Occupancy {
    pub running: u32,
    pub queued: u32,
    pub slots: u32,
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
    /// Time by which the request is ordered in the queue; at most the end of the objective.
    pub due: Instant,
    /// Longest expected wait for a slot with which the request is queued.
    pub max_wait: Duration,
    /// Time until the request has to start at the latest.
    pub start_limit: Duration,
    /// Expected run time of the request at this target.
    pub expected_run: Duration,
    /// Average time for which requests hold a slot of this target.
    pub average_run: Duration,
}

impl Requirements<'_> {
    fn demand(&self, now: Instant) -> Demand {
        Demand {
            rank: self.rank,
            objective_end: self.due,
            latest_start: latest_start(self.objective_end, self.expected_run),
            wait_end: now + self.max_wait,
            leave_at: Demand::leave_at(now, self.max_wait, self.start_limit),
        }
    }
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
        state.queue.set_slots(slots);
        state.refusal_reason = None;
        drop(state);
        self.grant_slots();
    }

    /// Refuses the queued requests, and new ones until the limiter is opened again.
    pub(super) fn close(&self, reason: Reason) {
        let mut state = self.lock();
        state.refusal_reason = Some(reason);
        state.queue.clear();
        let waiters = std::mem::take(&mut state.waiters);
        drop(state);
        for (_, waiter) in waiters {
            let _ = waiter.outcome_sender.send(Err(Refusal::not_run(reason)));
        }
    }

    /// Occupancy of the slots and of the queue.
    pub(super) fn occupancy(&self) -> Occupancy {
        let queue = &self.lock().queue;
        Occupancy {
            running: queue.running(),
            queued: u32::try_from(queue.waiting()).unwrap_or(u32::MAX),
            slots: queue.slots(),
        }
    }

    /// Sum of the expected run times of the queued requests.
    pub(super) fn queued_work(&self) -> Duration {
        let state = self.lock();
        state.waiters.values().map(|w| w.expected_run).sum()
    }

    /// Waits for a slot, for at most `max_wait`. Refuses at once if the expected wait is longer.
    pub(super) async fn admit(
        self: &Arc<Self>,
        requirements: Requirements<'_>,
    ) -> Result<Permit, Refusal> {
        let demand = requirements.demand(Instant::now());
        let (ticket, mut outcome) = {
            let mut state = self.lock();
            if let Some(reason) = state.refusal_reason {
                return Err(Refusal::not_run(reason));
            }
            let average_run = requirements.average_run;
            match state.queue.arrive(Instant::now(), demand, average_run) {
                Admission::Run => {
                    return Ok(Permit {
                        limiter: self.clone(),
                    });
                }
                Admission::Refuse(expected_wait) => return Err(overloaded(expected_wait)),
                Admission::Wait(ticket) => {
                    let (outcome_sender, outcome) = oneshot::channel();
                    let service = requirements.service.to_owned();
                    let waiter = Waiter {
                        service,
                        expected_run: requirements.expected_run,
                        outcome_sender,
                    };
                    state.waiters.insert(ticket, waiter);
                    (ticket, outcome)
                }
            }
        };
        let _queue_guard = QueueGuard {
            limiter: self,
            ticket,
        };
        let on_time_until = demand.latest_start.min(demand.leave_at);
        if let Ok(outcome) = tokio::time::timeout_at(on_time_until.into(), &mut outcome).await {
            return outcome.unwrap_or_else(|_| Err(overloaded(requirements.average_run)));
        }
        let wait_end = self.lock().queue.keep_late(
            Instant::now(),
            &ticket,
            demand.leave_at,
            requirements.average_run,
        );
        let wait_end = wait_end.map_err(overloaded)?;
        match tokio::time::timeout_at(wait_end.into(), outcome).await {
            Ok(Ok(outcome)) => outcome,
            _ => Err(overloaded(requirements.average_run)),
        }
    }

    /// Frees a slot and gives it to the next request in the queue.
    fn release(self: &Arc<Self>) {
        self.lock().queue.finish();
        self.grant_slots();
    }

    /// Gives the free slots to queued requests.
    fn grant_slots(self: &Arc<Self>) {
        loop {
            let mut state = self.lock();
            let Some(ticket) = state.queue.start_next(Instant::now()) else {
                return;
            };
            let Some(waiter) = state.waiters.remove(&ticket) else {
                state.queue.finish();
                continue;
            };
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
        let (kept, other): (HashMap<_, _>, HashMap<_, _>) = std::mem::take(&mut state.waiters)
            .into_iter()
            .partition(|(_, waiter)| waiter.service == service);
        state.waiters = kept;
        for ticket in other.keys() {
            state.queue.remove(ticket);
        }
        drop(state);
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

fn overloaded(expected_wait: Duration) -> Refusal {
    Refusal {
        retry_after: Some(expected_wait),
        ..Refusal::not_run(Reason::Overloaded)
    }
}

/// Removes a request from the queue on drop, as when its future is cancelled.
struct QueueGuard<'a> {
    limiter: &'a Limiter,
    ticket: Ticket,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        let mut state = self.limiter.lock();
        state.queue.remove(&self.ticket);
        state.waiters.remove(&self.ticket);
    }
}
