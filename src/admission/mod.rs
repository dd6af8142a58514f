//! Admission at the target's node: runs as many requests at a time as the target has slots, queues
//! the others by tenant share and deadline, and refuses early those that cannot finish in time.

mod queue;

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::oneshot;

use crate::admission::queue::{Queue, Waiter};
use crate::bundle::ClassKind;
use crate::http::Release;
use crate::route::Load;
use crate::verdict::{Reason, Refusal};

/// Weight of the newest run in the moving average of the service time.
const NEWEST_SERVICE_TIME_WEIGHT: f64 = 0.1;
/// Service time assumed for short classes before any has been measured.
const INITIAL_SHORT_SERVICE_TIME: Duration = Duration::from_millis(1);
/// Service time assumed for long classes before any has been measured.
const INITIAL_LONG_SERVICE_TIME: Duration = Duration::from_millis(50);
/// Largest expected wait in the queue, as a share of the time until the deadline.
const MAX_WAIT_SHARE: f64 = 0.25;

/// Properties of a request that its admission depends on.
#[derive(Clone, Debug)]
pub(crate) struct Ticket {
    /// Tenant that the request is accounted to.
    pub tenant: String,
    /// Weight of the tenant in the share of the slots.
    pub weight: u32,
    /// Whether the class of the request is short or long.
    pub kind: ClassKind,
    /// Share of the slots that long classes may not use, in percent.
    pub reserved_short_percent: u32,
    /// When the caller gives up.
    pub deadline: Instant,
}

struct State {
    /// Slots in use.
    running: HashMap<ClassKind, u32>,
    /// Moving average of the service time.
    service_time: HashMap<ClassKind, Duration>,
    queue: Queue,
    draining: bool,
}

/// Admission to the slots of one target.
pub(crate) struct Admission {
    slots: u32,
    queue_limit: usize,
    state: Mutex<State>,
}

/// A slot in use, which is freed on drop.
pub(crate) struct Permit {
    admission: Arc<Admission>,
    kind: ClassKind,
    began: Instant,
}

impl std::fmt::Debug for Permit {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "Permit({})", self.kind)
    }
}

impl Release for Permit {
    fn release(self) {}
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.admission.free_slot(self.kind, self.began.elapsed());
    }
}

impl Admission {
    /// Admission to a target with `slots`, with at most `queue_limit` requests queued.
    pub(crate) fn new(slots: u32, queue_limit: usize) -> Arc<Self> {
        let state = State {
            running: HashMap::new(),
            service_time: HashMap::from([
                (ClassKind::Short, INITIAL_SHORT_SERVICE_TIME),
                (ClassKind::Long, INITIAL_LONG_SERVICE_TIME),
            ]),
            queue: Queue::default(),
            draining: false,
        };
        Arc::new(Self {
            slots,
            queue_limit,
            state: Mutex::new(state),
        })
    }

    /// Waits for a slot. A refusal is always [`crate::verdict::Verdict::NotRun`].
    pub(crate) async fn admit(self: &Arc<Self>, ticket: Ticket) -> Result<Permit, Refusal> {
        let kind = ticket.kind;
        let deadline = ticket.deadline;
        let outcome = {
            let mut state = self.lock();
            if state.draining {
                return Err(Refusal::not_run(Reason::Draining));
            }
            if state.queue.is_empty() && self.has_slot(&state, &ticket) {
                return Ok(self.occupy_slot(&mut state, kind));
            }
            self.check_wait(&state, &ticket)?;
            let (outcome_sender, outcome) = oneshot::channel();
            state.queue.push(Waiter {
                ticket,
                outcome_sender,
            });
            let cancelled_permits = self.grant_slots(&mut state);
            drop(state);
            drop(cancelled_permits);
            outcome
        };
        match tokio::time::timeout_at(deadline.into(), outcome).await {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(_)) | Err(_) => Err(Refusal::not_run(Reason::Overloaded)),
        }
    }

    /// Refuses the queued requests and all new ones.
    pub(crate) fn drain(&self) {
        let mut state = self.lock();
        state.draining = true;
        for waiter in state.queue.remove_all() {
            let _ = waiter
                .outcome_sender
                .send(Err(Refusal::not_run(Reason::Draining)));
        }
    }

    /// Number of requests that hold a slot.
    pub(crate) fn running(&self) -> u32 {
        self.lock().running.values().sum()
    }

    /// Requests that hold a slot or wait for one.
    pub(crate) fn load(&self) -> Load {
        let state = self.lock();
        let load_of =
            |kind| state.running.get(&kind).copied().unwrap_or(0) + state.queue.count(kind);
        Load([load_of(ClassKind::Short), load_of(ClassKind::Long)])
    }

    /// Whether a slot is free that the request may use.
    fn has_slot(&self, state: &State, ticket: &Ticket) -> bool {
        let running: u32 = state.running.values().sum();
        if running >= self.slots {
            return false;
        }
        let long = state.running.get(&ClassKind::Long).copied().unwrap_or(0);
        ticket.kind == ClassKind::Short || long < self.long_slots(ticket.reserved_short_percent)
    }

    /// Slots that long classes may use; at least one, even if all are reserved.
    fn long_slots(&self, reserved_short_percent: u32) -> u32 {
        let reserved = (self.slots * reserved_short_percent).div_ceil(100);
        self.slots.saturating_sub(reserved).max(1)
    }

    /// Refuses a request that is not expected to get its slot early enough.
    fn check_wait(&self, state: &State, ticket: &Ticket) -> Result<(), Refusal> {
        let slots = match ticket.kind {
            ClassKind::Short => self.slots,
            ClassKind::Long => self.long_slots(ticket.reserved_short_percent),
        };
        let service_time = state.service_time[&ticket.kind];
        let ahead = u32::try_from(state.queue.ahead_of(ticket)).unwrap_or(u32::MAX);
        let wait = service_time.mul_f64(f64::from(ahead) + 1.0) / slots;
        let remaining = ticket.deadline.saturating_duration_since(Instant::now());
        let starts_early_enough =
            wait <= remaining.mul_f64(MAX_WAIT_SHARE) && wait + service_time <= remaining;
        if starts_early_enough && state.queue.len() < self.queue_limit {
            return Ok(());
        }
        Err(Refusal {
            retry_after: Some(wait),
            ..Refusal::not_run(Reason::Overloaded)
        })
    }

    /// Counts a slot as in use.
    fn occupy_slot(self: &Arc<Self>, state: &mut State, kind: ClassKind) -> Permit {
        *state.running.entry(kind).or_default() += 1;
        Permit {
            admission: self.clone(),
            kind,
            began: Instant::now(),
        }
    }

    /// Frees a slot, updates the average service time and grants the slot to a queued request.
    fn free_slot(self: &Arc<Self>, kind: ClassKind, took: Duration) {
        let mut state = self.lock();
        let running = state.running.entry(kind).or_default();
        *running = running.saturating_sub(1);
        if let Some(estimate) = state.service_time.get_mut(&kind) {
            let change = took.as_secs_f64() - estimate.as_secs_f64();
            let next = estimate.as_secs_f64() + NEWEST_SERVICE_TIME_WEIGHT * change;
            *estimate = Duration::from_secs_f64(next.max(0.0));
        }
        let cancelled_permits = self.grant_slots(&mut state);
        drop(state);
        drop(cancelled_permits);
    }

    /// Gives free slots to queued requests, and refuses those that would finish after their
    /// deadline. Returns the permits of requests that were cancelled meanwhile; the caller drops
    /// them after it has released the lock, which dropping a permit takes.
    fn grant_slots(self: &Arc<Self>, state: &mut State) -> Vec<Permit> {
        let mut cancelled_permits = Vec::new();
        loop {
            let service_time = state.service_time.clone();
            for late in state.queue.remove_late(&service_time) {
                let _ = late
                    .outcome_sender
                    .send(Err(Refusal::not_run(Reason::Overloaded)));
            }
            let Some(index) = state
                .queue
                .next_index(|ticket| self.has_slot(state, ticket))
            else {
                return cancelled_permits;
            };
            let waiter = state.queue.remove(index, &service_time);
            let kind = waiter.ticket.kind;
            let permit = self.occupy_slot(state, kind);
            if let Err(Ok(permit)) = waiter.outcome_sender.send(Ok(permit)) {
                cancelled_permits.push(permit);
            }
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[cfg(all(test, feature = "standin"))]
mod tests;
