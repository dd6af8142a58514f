//! Admission at the target's node: as many requests at a time as the target has slots, the rest in
//! a queue that is ordered by tenant share and deadline, early refusal of what cannot finish.

mod queue;

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::oneshot;

use crate::admission::queue::{Queue, Waiting};
use crate::bundle::ClassKind;
use crate::http::Release;
use crate::route::Load;
use crate::verdict::{Reason, Refusal};

const SERVICE_TIME_WEIGHT: f64 = 0.1;
const SHORT_START: Duration = Duration::from_millis(1);
const LONG_START: Duration = Duration::from_millis(50);
/// Share of the remaining time that a request may be expected to wait in the queue.
const WAIT_SHARE: f64 = 0.25;

/// A request that asks for a slot.
#[derive(Clone, Debug)]
pub(crate) struct Ticket {
    /// Tenant.
    pub tenant: String,
    /// Weight of the tenant.
    pub weight: u32,
    /// Kind of the class.
    pub kind: ClassKind,
    /// Share of the slots that long classes may not use, in percent.
    pub reserved_short_percent: u32,
    /// When the caller gives up.
    pub deadline: Instant,
}

struct State {
    running: HashMap<ClassKind, u32>,
    service_time: HashMap<ClassKind, Duration>,
    queue: Queue,
    draining: bool,
}

/// The slots of one target.
pub(crate) struct Admission {
    slots: u32,
    queue_limit: usize,
    state: Mutex<State>,
}

/// A slot in use; dropping it frees the slot.
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
        self.admission.finish(self.kind, self.began.elapsed());
    }
}

impl Admission {
    /// Admission to a target with `slots`, with at most `queue_limit` requests waiting.
    pub(crate) fn new(slots: u32, queue_limit: usize) -> Arc<Self> {
        let state = State {
            running: HashMap::new(),
            service_time: HashMap::from([
                (ClassKind::Short, SHORT_START),
                (ClassKind::Long, LONG_START),
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
        let waiting = {
            let mut state = self.lock();
            if state.draining {
                return Err(Refusal::not_run(Reason::Draining));
            }
            if state.queue.is_empty() && self.has_slot(&state, &ticket) {
                return Ok(self.start(&mut state, kind));
            }
            self.check_wait(&state, &ticket)?;
            let (granted, waiting) = oneshot::channel();
            state.queue.push(Waiting { ticket, granted });
            let unclaimed = self.grant(&mut state);
            drop(state);
            drop(unclaimed);
            waiting
        };
        match tokio::time::timeout_at(deadline.into(), waiting).await {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(_)) | Err(_) => Err(Refusal::not_run(Reason::Overloaded)),
        }
    }

    /// Refuses new requests and those that wait.
    pub(crate) fn drain(&self) {
        let mut state = self.lock();
        state.draining = true;
        for waiting in state.queue.take_all() {
            let _ = waiting
                .granted
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
        let at = |kind| state.running.get(&kind).copied().unwrap_or(0) + state.queue.count(kind);
        Load([at(ClassKind::Short), at(ClassKind::Long)])
    }

    fn has_slot(&self, state: &State, ticket: &Ticket) -> bool {
        let running: u32 = state.running.values().sum();
        if running >= self.slots {
            return false;
        }
        let long = state.running.get(&ClassKind::Long).copied().unwrap_or(0);
        ticket.kind == ClassKind::Short || long < self.long_slots(ticket.reserved_short_percent)
    }

    /// Slots that long classes may use; at least one.
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
        let left = ticket.deadline.saturating_duration_since(Instant::now());
        let in_time = wait <= left.mul_f64(WAIT_SHARE) && wait + service_time <= left;
        if in_time && state.queue.len() < self.queue_limit {
            return Ok(());
        }
        Err(Refusal {
            retry_after: Some(wait),
            ..Refusal::not_run(Reason::Overloaded)
        })
    }

    fn start(self: &Arc<Self>, state: &mut State, kind: ClassKind) -> Permit {
        *state.running.entry(kind).or_default() += 1;
        Permit {
            admission: self.clone(),
            kind,
            began: Instant::now(),
        }
    }

    fn finish(self: &Arc<Self>, kind: ClassKind, took: Duration) {
        let mut state = self.lock();
        let running = state.running.entry(kind).or_default();
        *running = running.saturating_sub(1);
        if let Some(estimate) = state.service_time.get_mut(&kind) {
            let change = took.as_secs_f64() - estimate.as_secs_f64();
            let next = estimate.as_secs_f64() + SERVICE_TIME_WEIGHT * change;
            *estimate = Duration::from_secs_f64(next.max(0.0));
        }
        let unclaimed = self.grant(&mut state);
        drop(state);
        drop(unclaimed);
    }

    /// Gives free slots to waiting requests, and refuses those that would finish too late.
    /// Returns permits of requests that were cancelled meanwhile, to be dropped without the lock.
    fn grant(self: &Arc<Self>, state: &mut State) -> Vec<Permit> {
        let mut unclaimed = Vec::new();
        loop {
            let service_time = state.service_time.clone();
            for late in state.queue.take_late(&service_time) {
                let _ = late.granted.send(Err(Refusal::not_run(Reason::Overloaded)));
            }
            let Some(index) = state.queue.best(|ticket| self.has_slot(state, ticket)) else {
                return unclaimed;
            };
            let waiting = state.queue.take(index, &service_time);
            let kind = waiting.ticket.kind;
            let permit = self.start(state, kind);
            if let Err(Ok(permit)) = waiting.granted.send(Ok(permit)) {
                unclaimed.push(permit);
            }
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[cfg(all(test, feature = "standin"))]
mod tests;
